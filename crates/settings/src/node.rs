//! Settings of `bluebellpick-node`.

use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the node, unique in the fleet.
    pub name: SmolStr,
    /// Availability zone of the VM.
    pub zone: SmolStr,
    /// Region of the availability zone.
    pub region: SmolStr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the backend server on the same VM announces itself.
    pub backend: SocketAddr,
    /// Where other nodes connect.
    pub nodes: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Addresses of the platform's object API.
    pub platform: SocketAddr,
    /// Other nodes to ask when the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Longest wait for calls in flight at a graceful stop.
    pub drain_timeout: Duration,
    /// Token that operators' writes must carry.
    pub token: Token,
}

/// A secret that is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(pub String);

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Token(..)")
    }
}
