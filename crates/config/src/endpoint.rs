//! A backend server as its node announces it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes new work.
    Serving,
    /// Ends what it has and takes nothing new.
    Leaving,
    /// Has left for good; kept as a tombstone so that late news can't bring it back.
    Gone,
}

/// A backend server behind its node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the node, unique in the fleet.
    pub node: SmolStr,
    /// Random number of the node's process; a restart gives a new one.
    pub incarnation: u64,
    /// Start of the node's process, in milliseconds since the Unix epoch: orders incarnations.
    pub started_ms: u64,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Service that the backend server belongs to.
    pub service: SmolStr,
    /// Availability zone of the node.
    pub zone: SmolStr,
    /// Region of the node.
    pub region: SmolStr,
    /// Where the node listens for other nodes.
    pub address: SocketAddr,
    /// Calls that the backend server says it runs at once.
    pub slots: u16,
    /// Whether it takes new work.
    pub state: State,
}
