//! Metrics of requests that crash backend servers.

use call::Crash;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of requests that crash backend servers.
#[derive(Debug, Default)]
pub struct QuarantineMetrics {
    suspicions: Counter,
    cleared: Counter,
    refused: Counter,
}

impl QuarantineMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Crashes under which a request fell under suspicion, as far as this node knows";
        registry.register("request_suspicions", help, self.suspicions.clone());
        let help = "Suspicions that other nodes told were lifted by an answer";
        registry.register("request_suspicions_cleared", help, self.cleared.clone());
        let help = "Calls that were refused because their request crashes backend servers";
        registry.register("held_requests_refused", help, self.refused.clone());
    }

    pub(crate) fn record_crash(&self, crash: &Crash) {
        if crash.is_cleared {
            self.cleared.inc();
        } else {
            self.suspicions.inc();
        }
    }

    pub(crate) fn count_refused(&self) {
        self.refused.inc();
    }
}
