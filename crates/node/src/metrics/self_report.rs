//! Metrics of what the local backend server reports about itself in its responses.

use policy::self_report::Rate;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// Metrics of what the local backend server reports about itself.
#[derive(Debug, Default)]
pub struct SelfReportMetrics {
    requests: Counter,
    has_limit: Gauge,
    limit: Gauge<f64, AtomicU64>,
    invalid: Counter,
}

impl SelfReportMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Requests that this node has sent to the own backend server";
        registry.register("backend_requests", help, self.requests.clone());
        let help = "Whether the own backend server names a rate limit, 0 or 1";
        registry.register("backend_has_rate_limit", help, self.has_limit.clone());
        let help = "Requests per second that the own backend server takes; 0 if it names no limit";
        registry.register("backend_rate_limit", help, self.limit.clone());
        let help = "Values about the own backend server in its responses that could not be read";
        registry.register("backend_reports_invalid", help, self.invalid.clone());
    }

    /// Counts a request to the backend server.
    pub(crate) fn count_request(&self) {
        self.requests.inc();
    }

    /// Counts invalid values.
    pub(crate) fn count_invalid(&self, count: u32) {
        self.invalid.inc_by(count.into());
    }

    /// Sets the rate limit, if there is one.
    pub(crate) fn set_limit(&self, limit: Option<Rate>) {
        self.has_limit.set(i64::from(limit.is_some()));
        self.limit.set(limit.map_or(0.0, Rate::per_second));
    }
}
