//! How a node stands, as operators see it.

use config::Version;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The own backend server, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls that it says it runs at once.
    pub slots: u16,
    /// Whether it leaves.
    pub leaving: bool,
}

/// How many nodes hold a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The version.
    pub version: Version,
    /// Nodes that hold it.
    pub nodes: u32,
}

/// A version that a node could not apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Name of the node.
    pub node: SmolStr,
    /// The version.
    pub version: Version,
    /// Why.
    pub reason: SmolStr,
}

/// What a fleet, or a part of it, holds, in bounded size.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Nodes per version, lowest first.
    pub counts: Vec<Count>,
    /// Some of the nodes that are behind the highest version.
    pub laggards: Vec<SmolStr>,
    /// Some of the versions that could not be applied.
    pub refusals: Vec<Refusal>,
}

/// A node's part in distribution.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Distribution {
    /// Version held, which is served by once the process is ready.
    pub held: Version,
    /// Nodes from its root down to it; empty when it is cut off from every root.
    pub path: Vec<SmolStr>,
    /// Children that it relays to.
    pub children: usize,
    /// Roots that it is linked to, if it is one.
    pub roots: usize,
    /// Versions applied since the process started.
    pub versions: u64,
    /// Versions that could not be applied.
    pub refusals: u64,
    /// Parents taken since the process started.
    pub parents: u64,
    /// Nodes that it declared gone.
    pub departures: u64,
    /// Views made, for configuration or endpoints.
    pub views: u64,
    /// Views that were older than the one before; never above zero.
    pub reverts: u64,
    /// What the fleet holds.
    pub fleet: Fleet,
}

/// What a node's stop waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopWaits {
    /// Connections of callers.
    pub callers: usize,
    /// Calls that wait for the own backend server or run on it.
    pub calls: usize,
    /// Calls of other nodes whose answers have not been taken.
    pub answers: usize,
    /// Calls with a key that run, be their callers there or not.
    pub keyed: usize,
    /// 1 while outcomes of keyed calls go to the platform at last.
    pub outcomes: usize,
    /// 1 while other nodes are told that it leaves.
    pub farewell: usize,
    /// 1 while the listeners for the backend server and operators end.
    pub listeners: usize,
}

impl StopWaits {
    /// Gives each count with its name in metrics and logs.
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

/// How a node stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node.
    pub node: SmolStr,
    /// Availability zone of the node.
    pub zone: SmolStr,
    /// Region of the node.
    pub region: SmolStr,
    /// Random number of its process.
    pub incarnation: u64,
    /// How long it has run, in seconds.
    pub uptime_s: u64,
    /// Version of the configuration that calls are served by.
    pub version: Version,
    /// Why it does not take calls; empty when it does.
    pub not_ready: Vec<String>,
    /// Whether the node leaves.
    pub leaving: bool,
    /// Calls that wait for the own backend server or run on it.
    pub in_flight: usize,
    /// What its stop waits for, or would if it came now.
    #[serde(default)]
    pub waits: StopWaits,
    /// The own backend server, once announced.
    pub backend: Option<Backend>,
    /// Endpoints that take new work, by service.
    pub endpoints: BTreeMap<SmolStr, usize>,
    /// Routes withheld until their services are there.
    pub withheld_routes: Vec<SmolStr>,
    /// Its part in distribution.
    #[serde(default)]
    pub distribution: Distribution,
}
