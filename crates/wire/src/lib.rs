//! The protocol between nodes: frames and their codec.
//!
//! Nodes are connected by TCP links. On each link the connecting side and the
//! accepting side first send one [`Hello`] each; after that, both send
//! [`Frame`]s. A frame is encoded as its length (four bytes, little endian)
//! followed by its `postcard` encoding.

pub mod call;
pub mod codec;
pub mod control;
pub mod reserve;

mod error;
mod hello;

pub use error::Error;
pub use hello::{Hello, LinkKind, PROTOCOL_VERSION};

use serde::{Deserialize, Serialize};

/// Message on a link after both hellos.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Calls between an outbound and an inbound proxy.
    Call(call::Frame),
    /// Distribution of configuration, endpoints and status.
    Control(control::Frame),
    /// Reservations of idempotency keys.
    Reserve(reserve::Frame),
}
