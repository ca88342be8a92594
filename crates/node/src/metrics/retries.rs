//! Metrics of repeated attempts, by what pays for them.

use crate::metrics::ServiceLabel;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabel {
    service: String,
    payment: &'static str,
}

/// What pays for a repeated attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Payment {
    /// The retry budget of this node.
    Budget,
    /// Nothing: no backend server has received the earlier attempt.
    NotNeeded,
    /// Nothing: a call made while running a call that is itself a retry arrives whether the budget
    /// has room or not.
    Nested,
}

/// Counters of repeated attempts.
#[derive(Debug, Default)]
pub struct RetryMetrics {
    sent: Family<RetryLabel, Counter>,
    denied: Family<ServiceLabel, Counter>,
}

impl RetryMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Repeated attempts and hedges, by service and what pays for them";
        registry.register("retries", help, self.sent.clone());
        let help = "Retries and hedges that the budget did not allow, by service";
        registry.register("retries_denied", help, self.denied.clone());
    }

    /// Counts a repeated attempt.
    pub fn count_sent(&self, service: &str, payment: Payment) {
        let payment = match payment {
            Payment::Budget => "budget",
            Payment::NotNeeded => "not-needed",
            Payment::Nested => "nested",
        };
        let service = service.to_owned();
        self.sent
            .get_or_create(&RetryLabel { service, payment })
            .inc();
    }

    /// Counts a retry or hedge that the budget did not allow.
    pub fn count_denied(&self, service: &str) {
        let service = service.to_owned();
        self.denied.get_or_create(&ServiceLabel { service }).inc();
    }
}
