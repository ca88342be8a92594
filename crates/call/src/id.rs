//! The identity of one try of a call.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Names one try of a call through the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Incarnation of the outbound proxy that made the try.
    pub origin: u64,
    /// Counts that incarnation's tries.
    pub sequence: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.origin, self.sequence)
    }
}
