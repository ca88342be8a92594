//! Metrics of reservations of idempotency keys.

use call::reserve::Reply;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

/// Upper bounds of the claim durations, in seconds. They range from the platform's
/// response time of a few milliseconds, over a shard's commit interval, to the
/// maximum time to wait for a reservation.
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

/// Metrics of reservations of idempotency keys.
#[derive(Debug, Clone)]
pub struct ReserveMetrics {
    claims: Family<ReplyLabel, Counter>,
    durations: Histogram,
}

impl Default for ReserveMetrics {
    /// Starts the counter of each reply at zero, so that rates include the first replies.
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

impl ReserveMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Claims of idempotency keys by this node's callers, by what they were told";
        registry.register("reservation_claims", help, self.claims.clone());
        let help = "Time from a claim to its reply";
        let durations = self.durations.clone();
        registry.register_with_unit("reservation_claim_duration", help, Unit::Seconds, durations);
    }

    /// Records a claim that got `reply` after `duration`.
    pub(crate) fn record_claim(&self, reply: &Reply, duration: Duration) {
        let reply = match reply {
            Reply::Granted => "granted",
            Reply::Known(_) => "known",
            Reply::Ran => "ran",
            Reply::Unsettled => "unsettled",
            Reply::Mismatch => "mismatch",
            Reply::Refused { .. } => "refused",
        };
        self.claims.get_or_create(&ReplyLabel { reply }).inc();
        self.durations.observe(duration.as_secs_f64());
    }
}
