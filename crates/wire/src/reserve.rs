//! Frames of reservations between a node and the owner of a shard.

use call::reserve::{Claim, Entry, Reply};
use serde::{Deserialize, Serialize};

/// Part of a reservation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// To the owner: a call asks for its key.
    Claim {
        /// Names the question on this link.
        serial: u64,
        /// The question.
        claim: Claim,
    },
    /// From the owner: the question has come; its reply may take a while.
    #[serde(rename = "Heard")]
    Acknowledged {
        /// The question.
        serial: u64,
    },
    /// From the owner: what came of it.
    Reply {
        /// The question.
        serial: u64,
        /// The answer.
        reply: Reply,
    },
    /// To the owner: a completion or a release, which has no reply.
    #[serde(rename = "Note")]
    Outcome(Entry),
}
