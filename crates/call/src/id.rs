//! The identity of one attempt of a call.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one attempt of a call, uniquely in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Incarnation of the outbound proxy that made the attempt.
    pub origin: u64,
    /// Sequence number of the attempt within that incarnation.
    pub sequence: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.origin, self.sequence)
    }
}
