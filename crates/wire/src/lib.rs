//! The protocol between nodes: frames and their codec.
//!
//! Nodes keep TCP links to each other. A link opens with one [`Hello`] from the
//! side that connected and one from the side that accepted; after that, each
//! side sends [`Frame`]s. A frame is its length (four bytes, little endian)
//! and its `postcard` form.

pub mod call;
pub mod codec;
pub mod control;
pub mod reserve;

mod error;
mod hello;

pub use error::Error;
pub use hello::{Hello, LinkKind, PROTOCOL_VERSION};

use serde::{Deserialize, Serialize};

/// What goes over a link after both hellos.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Part of a call between an outbound and an inbound proxy.
    Call(call::Frame),
    /// News of configuration, endpoints and status.
    Control(control::Frame),
    /// Reservation of a call's idempotency key.
    Reserve(reserve::Frame),
}
