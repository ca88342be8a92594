//! The first frame of each side of a link.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Version of the protocol; peers with another version are refused.
pub const PROTOCOL_VERSION: u16 = 10;

/// What a link is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Link")]
pub enum LinkKind {
    /// Calls from an outbound to an inbound proxy.
    Call,
    /// Configuration, endpoints and status.
    Control,
    /// Reservations of idempotency keys, to the owner of their shard.
    Reserve,
}

/// Introduces the sender to the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol that the sender speaks.
    pub protocol: u16,
    /// Name of the sender's node.
    pub node: SmolStr,
    /// Random number that identifies the sender's process.
    pub incarnation: u64,
    /// Availability zone of the sender.
    pub zone: SmolStr,
    /// What the link is for.
    pub link: LinkKind,
}
