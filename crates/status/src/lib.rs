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
    /// Calls that the own backend server runs.
    pub in_flight: usize,
    /// The own backend server, once announced.
    pub backend: Option<Backend>,
    /// Endpoints that take new work, by service.
    pub endpoints: BTreeMap<SmolStr, usize>,
    /// Routes withheld until their services are there.
    pub withheld_routes: Vec<SmolStr>,
}
