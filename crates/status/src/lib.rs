//! The status that nodes report to operators.

use config::Version;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The backend server on the VM of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Service that the backend server implements.
    pub service: SmolStr,
    /// Address on which the backend server accepts calls.
    pub address: SocketAddr,
    /// Number of concurrent calls that the backend server announces it can run.
    pub slots: u16,
    /// Whether the backend server is leaving.
    pub leaving: bool,
}

/// The number of nodes that hold a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCount {
    /// Version that the nodes hold.
    pub version: Version,
    /// Number of nodes that hold this version.
    pub nodes: u32,
}

/// A version that a node could not apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedVersion {
    /// Name of the node.
    pub node: SmolStr,
    /// Version that the node could not apply.
    pub version: Version,
    /// Why the node could not apply the version.
    pub reason: SmolStr,
}

/// Versions that the nodes of a fleet, or of a part of a fleet, hold; bounded in size.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVersions {
    /// Number of nodes per version, lowest version first.
    pub counts: Vec<VersionCount>,
    /// Some of the nodes that are behind the highest version.
    pub laggards: Vec<SmolStr>,
    /// Some of the versions that nodes could not apply.
    pub refusals: Vec<RefusedVersion>,
}

/// State of a node in the distribution of configurations, and what the node knows of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Distribution {
    /// Version that the node holds; calls are routed by this version once the process is ready.
    #[serde(rename = "held")]
    pub held_version: Version,
    /// Nodes on the path from the root of the distribution tree to this node; empty if this node is
    /// cut off from every root.
    pub path: Vec<SmolStr>,
    /// Number of the node's children in the distribution tree.
    pub children: usize,
    /// Number of other roots that the node has links to, if the node is a root.
    pub roots: usize,
    /// Number of versions that the node has applied since its process started.
    #[serde(rename = "versions")]
    pub applied_versions: u64,
    /// Number of versions that the node could not apply since its process started.
    #[serde(rename = "refusals")]
    pub refused_versions: u64,
    /// Number of times that the node has joined a parent since its process started.
    #[serde(rename = "parents")]
    pub parent_joins: u64,
    /// Number of times that the node has polled the platform since its process started, because no
    /// reading of it had reached the node in time.
    #[serde(default, rename = "polls")]
    pub fallback_polls: u64,
    /// Number of such polls, also by a root, that the platform did not answer.
    #[serde(default)]
    pub failed_polls: u64,
    /// Number of other nodes that this node has declared departed since its process started.
    pub departures: u64,
    /// Number of views (configuration joined with endpoints) that the node has built after changes
    /// of the configuration or of endpoints.
    #[serde(rename = "views")]
    pub built_views: u64,
    /// Number of views that the node refused because their version was older than that of the view
    /// in use; must stay zero.
    pub reverts: u64,
    /// Versions that the fleet holds, as far as this node knows.
    pub fleet: FleetVersions,
}

/// What a graceful stop of a node waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopWaits {
    /// Open connections of callers.
    pub callers: usize,
    /// Calls that are queued for the local backend server or run on it.
    pub calls: usize,
    /// Calls from other nodes whose answers those nodes have not read yet.
    pub answers: usize,
    /// Running calls with an idempotency key, whether or not their callers are still connected.
    pub keyed: usize,
    /// 1 while the last outcomes of keyed calls are written to the platform.
    pub outcomes: usize,
    /// 1 while the node announces to other nodes that it is leaving.
    pub farewell: usize,
    /// 1 while the listeners for the backend server and operators close.
    pub listeners: usize,
}

impl StopWaits {
    /// Returns each count with its name in metrics and logs.
    #[must_use]
    pub fn kinds(&self) -> [(&'static str, usize); 7] {
        [
            ("callers", self.callers),
            ("calls", self.calls),
            ("answers", self.answers),
            ("keyed", self.keyed),
            ("outcomes", self.outcomes),
            ("farewell", self.farewell),
            ("listeners", self.listeners),
        ]
    }
}

/// The status of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node.
    pub node: SmolStr,
    /// Availability zone of the node.
    pub zone: SmolStr,
    /// Region of the node.
    pub region: SmolStr,
    /// Random number that identifies the process of the node.
    pub incarnation: u64,
    /// How long the process has run, in seconds.
    pub uptime_s: u64,
    /// Version of the configuration by which the node routes calls.
    pub version: Version,
    /// Reasons why the node is not ready for calls; empty if the node is ready.
    pub not_ready: Vec<String>,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// Calls that are queued for the local backend server or run on it.
    pub in_flight: usize,
    /// What the node's graceful stop waits for, or would wait for if the stop began now.
    #[serde(default)]
    pub waits: StopWaits,
    /// The local backend server, once it is announced.
    pub backend: Option<Backend>,
    /// Number of endpoints that accept new calls, by service.
    pub endpoints: BTreeMap<SmolStr, usize>,
    /// Routes that are withheld because none of the services that they name has an endpoint.
    pub withheld_routes: Vec<SmolStr>,
    /// State of the node in the distribution of configurations.
    #[serde(default)]
    pub distribution: Distribution,
}

/// Calls of one team at one node, since the node's process started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCalls {
    /// Calls that ran, or may have run.
    pub run: u64,
    /// Calls that were refused and have not run, by reason.
    pub refused: BTreeMap<SmolStr, u64>,
}

/// Calls of teams at one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Name of the node.
    pub node: SmolStr,
    /// Random number that identifies the process of the node.
    pub incarnation: u64,
    /// How long the process has run, in milliseconds.
    pub uptime_ms: u64,
    /// The teams that called the node and are in its configuration.
    pub teams: BTreeMap<SmolStr, TeamCalls>,
}
