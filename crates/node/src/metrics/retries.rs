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
pub(crate) enum Payment {
    /// The retry budget of this node.
    Budget,
    /// Nothing: no backend server has received the earlier attempt.
    NotNeeded,
    /// Nothing: a call made while running a call that is itself a retry arrives whether the budget
    /// has room or not.
    Nested,
}

/// Label values of the payments, in the order of [`Payment`].
const PAYMENT_LABELS: [&str; 3] = ["budget", "not-needed", "nested"];

/// The counters of repeated attempts of all services.
#[derive(Debug, Default)]
pub(crate) struct RetryFamilies {
    sent: Family<RetryLabel, Counter>,
    denied: Family<ServiceLabel, Counter>,
}

/// The counters of repeated attempts of one service.
#[derive(Debug)]
pub(crate) struct RetryCounters {
    sent: [Counter; PAYMENT_LABELS.len()],
    denied: Counter,
}

impl RetryFamilies {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Repeated attempts and hedges, by service and what pays for them";
        registry.register("retries", help, self.sent.clone());
        let help = "Retries and hedges that the budget did not allow, by service";
        registry.register("retries_denied", help, self.denied.clone());
    }

    /// Returns the counters of a service.
    pub(crate) fn counters(&self, service: &str) -> RetryCounters {
        let service = service.to_owned();
        RetryCounters {
            sent: PAYMENT_LABELS.map(|payment| {
                let service = service.clone();
                self.sent
                    .get_or_create_owned(&RetryLabel { service, payment })
            }),
            denied: self.denied.get_or_create_owned(&ServiceLabel { service }),
        }
    }
}

impl RetryCounters {
    /// Counts a repeated attempt.
    pub(crate) fn count_sent(&self, payment: Payment) {
        self.sent[payment as usize].inc();
    }

    /// Counts a retry or hedge that the budget did not allow.
    pub(crate) fn count_denied(&self) {
        self.denied.inc();
    }
}
