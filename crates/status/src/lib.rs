//! The status that nodes report to operators.

use config::Version;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The node's local backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Service that it implements.
    pub service: SmolStr,
    /// Address on which it accepts calls.
    pub address: SocketAddr,
    /// Number of concurrent calls that it advertises.
    pub slots: u16,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The number of nodes that hold a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCount {
    /// The version.
    pub version: Version,
    /// Number of nodes that hold it.
    pub nodes: u32,
}

/// A version that a node could not apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedVersion {
    /// Name of the node.
    pub node: SmolStr,
    /// The version.
    pub version: Version,
    /// Why the node could not apply it.
    pub reason: SmolStr,
}

/// The versions that a fleet, or a part of it, holds; bounded in size.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetVersions {
    /// Number of nodes per version, lowest version first.
    pub counts: Vec<VersionCount>,
    /// Some of the nodes that are behind the highest version.
    pub laggards: Vec<SmolStr>,
    /// Some of the versions that could not be applied.
    pub refusals: Vec<RefusedVersion>,
}

/// A node's part in the distribution of configurations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Distribution {
    /// Version held; calls are served by it once the process is ready.
    #[serde(rename = "held")]
    pub held_version: Version,
    /// Nodes on the path from its root to this node; empty if it is cut off from every root.
    pub path: Vec<SmolStr>,
    /// Number of its children in the distribution tree.
    pub children: usize,
    /// Number of roots that it has links to, if it is a root itself.
    pub roots: usize,
    /// Number of versions applied since the process started.
    #[serde(rename = "versions")]
    pub applied_versions: u64,
    /// Number of versions that could not be applied.
    #[serde(rename = "refusals")]
    pub refused_versions: u64,
    /// Number of parents that it has had since the process started.
    #[serde(rename = "parents")]
    pub parent_joins: u64,
    /// Number of nodes that it declared departed.
    pub departures: u64,
    /// Number of views built, after changes of the configuration or of endpoints.
    #[serde(rename = "views")]
    pub built_views: u64,
    /// Number of views with an older version than the view before; must stay zero.
    pub reverts: u64,
    /// The versions that the fleet holds.
    pub fleet: FleetVersions,
}

/// What a graceful stop of a node waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopWaits {
    /// Open connections of callers.
    pub callers: usize,
    /// Calls that are queued for the local backend server or run on it.
    pub calls: usize,
    /// Calls of other nodes whose answers have not been read yet.
    pub answers: usize,
    /// Running calls with an idempotency key, whether or not their callers are still connected.
    pub keyed: usize,
    /// 1 while the last outcomes of keyed calls are written to the platform.
    pub outcomes: usize,
    /// 1 while the node tells other nodes that it is leaving.
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
    /// Version of the configuration by which calls are served.
    pub version: Version,
    /// Why the node does not accept calls; empty if it does.
    pub not_ready: Vec<String>,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// Calls that are queued for the local backend server or run on it.
    pub in_flight: usize,
    /// What its graceful stop waits for, or would wait for if it started now.
    #[serde(default)]
    pub waits: StopWaits,
    /// The local backend server, once it is announced.
    pub backend: Option<Backend>,
    /// Number of endpoints that accept new calls, by service.
    pub endpoints: BTreeMap<SmolStr, usize>,
    /// Routes that are withheld until the services they name exist.
    pub withheld_routes: Vec<SmolStr>,
    /// Its part in the distribution of configurations.
    #[serde(default)]
    pub distribution: Distribution,
}
