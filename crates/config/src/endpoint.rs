//! A backend server, as announced by its node.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;

/// The life-cycle state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts new calls.
    Serving,
    /// Draining: finishes its calls in flight and accepts no new ones.
    Leaving,
    /// Permanently gone; kept as a tombstone so that a delayed announcement can't restore it.
    Gone,
}

/// A backend server and the node in front of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the node, unique in the fleet.
    pub node: SmolStr,
    /// Random identifier of the node's process; changes with every restart.
    pub incarnation: u64,
    /// Start time of the node's process, in milliseconds since the Unix epoch; orders incarnations.
    pub started_ms: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// Service that the backend server belongs to.
    pub service: SmolStr,
    /// Version of the backend server's software; empty if not announced.
    pub version: SmolStr,
    /// Availability zone of the node.
    pub zone: SmolStr,
    /// Region of the node.
    pub region: SmolStr,
    /// Address on which the node listens for other nodes.
    pub address: SocketAddr,
    /// Number of calls that the backend server announces it can run concurrently.
    pub slots: u16,
    /// Identifies the backend server's process, which can be replaced while the node's process stays the
    /// same; a new one has to warm up.
    pub process: u64,
    /// Time from its announcement during which the backend server warms up and is slow, in milliseconds,
    /// if announced.
    pub cold_ms: Option<u32>,
    /// Whether the backend server accepts new calls, is leaving or is gone.
    pub state: State,
}

impl Endpoint {
    /// Returns a key that orders announcements of one node: the higher one is newer.
    ///
    /// An announcement after a restart supersedes all of the previous process.
    /// Among announcements with the same sequence number, the state closer to
    /// departure wins, so that a departure declared by other nodes holds until
    /// the node itself makes a new announcement.
    #[must_use]
    pub fn rank(&self) -> (u64, u64, u64, State) {
        (self.started_ms, self.incarnation, self.sequence, self.state)
    }
}

impl From<&Endpoint> for Arc<Endpoint> {
    fn from(endpoint: &Endpoint) -> Self {
        Self::new(endpoint.clone())
    }
}
