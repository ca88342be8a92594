//! What a node counts of reservations.

use call::reserve::Reply;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

/// Bounds of the times of claims, in seconds: from the platform's milliseconds
/// to the longest wait for a reservation, with a shard's pace in between.
const CLAIM_BOUNDS: [f64; 8] = [0.002, 0.005, 0.01, 0.05, 0.1, 0.2, 0.5, 1.5];

/// Label values of replies.
const REPLIES: [&str; 6] = [
    "granted",
    "known",
    "ran",
    "unsettled",
    "mismatch",
    "refused",
];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReplyLabel {
    reply: &'static str,
}

/// What a node counts of reservations.
#[derive(Debug, Clone)]
pub struct Reserve {
    claims: Family<ReplyLabel, Counter>,
    durations: Histogram,
}

impl Default for Reserve {
    /// Starts all replies at zero, so that a rate of the first ones can be told.
    fn default() -> Self {
        let claims = Family::<ReplyLabel, Counter>::default();
        for reply in REPLIES {
            drop(claims.get_or_create(&ReplyLabel { reply }));
        }
        Self {
            claims,
            durations: Histogram::new(CLAIM_BOUNDS),
        }
    }
}

impl Reserve {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Claims of idempotency keys by this node's callers, by what they were told";
        registry.register("reservation_claims", help, self.claims.clone());
        let help = "Time from a claim to its reply";
        let durations = self.durations.clone();
        registry.register_with_unit("reservation_claim_duration", help, Unit::Seconds, durations);
    }

    /// Counts a claim that was told `reply` after `time`.
    pub(crate) fn count(&self, reply: &Reply, time: Duration) {
        let reply = match reply {
            Reply::Granted => "granted",
            Reply::Known(_) => "known",
            Reply::Ran => "ran",
            Reply::Unsettled => "unsettled",
            Reply::Mismatch => "mismatch",
            Reply::Refused { .. } => "refused",
        };
        self.claims.get_or_create(&ReplyLabel { reply }).inc();
        self.durations.observe(time.as_secs_f64());
    }
}
