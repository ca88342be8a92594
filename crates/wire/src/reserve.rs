//! Frames between a node and the owner of a shard of idempotency keys.

use call::reserve::{Claim, Entry, Reply};
use serde::{Deserialize, Serialize};

/// Message about a reservation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// To the owner: claims the key of a call.
    Claim {
        /// Identifies the claim on this link.
        serial: u64,
        /// The claim.
        claim: Claim,
    },
    /// From the owner: the claim has been received; the reply may take a while.
    #[serde(rename = "Heard")]
    Acknowledged {
        /// Serial of the claim.
        serial: u64,
    },
    /// From the owner: the result of a claim.
    Reply {
        /// Serial of the claim.
        serial: u64,
        /// The result.
        reply: Reply,
    },
    /// To the owner: the outcome of a granted claim, which is a completion or a release.
    #[serde(rename = "Note")]
    Outcome {
        /// Identifies the outcome on this link.
        serial: u64,
        /// The outcome.
        entry: Entry,
        /// Whether a caller waits for [`Frame::Written`], so that the owner does not delay it.
        is_awaited: bool,
    },
    /// From the owner: an outcome is on the platform.
    Written {
        /// Serial of the outcome.
        serial: u64,
    },
}
