//! Metrics of what the local backend server reports about itself in its responses.

use policy::self_report::{Load, Rate};
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
    running: Gauge,
    waiting: Gauge,
    pace: Gauge<f64, AtomicU64>,
    predicted_pace: Gauge<f64, AtomicU64>,
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
        let help = "Calls that run on the own backend server, as it last reported";
        registry.register("backend_running_calls", help, self.running.clone());
        let help = "Calls that wait in the own backend server, as it last reported";
        registry.register("backend_waiting_calls", help, self.waiting.clone());
        let help = "Duration of work on the machine of the own backend server in multiples of the usual, as it last reported";
        registry.register("backend_pace", help, self.pace.clone());
        let help = "Duration of calls of the own backend server in multiples of the usual, as predicted when it last reported its load";
        registry.register("backend_predicted_pace", help, self.predicted_pace.clone());
    }

    /// Counts a request to the backend server.
    pub(crate) fn count_request(&self) {
        self.requests.inc();
    }

    /// Counts invalid values.
    pub(crate) fn count_invalid(&self, count: u32) {
        self.invalid.inc_by(count.into());
    }

    /// Sets the reported load, and how long calls are predicted to take by it.
    pub(crate) fn set_load(&self, load: &Load, predicted_pace: f64) {
        self.running.set(load.running.into());
        self.waiting.set(load.waiting.into());
        if let Some(pace) = load.pace {
            self.pace.set(pace.ratio());
            self.predicted_pace.set(predicted_pace);
        }
    }

    /// Sets the rate limit, if there is one.
    pub(crate) fn set_limit(&self, limit: Option<Rate>) {
        self.has_limit.set(i64::from(limit.is_some()));
        self.limit.set(limit.map_or(0.0, Rate::per_second));
    }
}
