//! Metrics of calls that start before those ahead of them on their connection have been answered.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of early calls.
#[derive(Debug, Default)]
pub struct PipelineMetrics {
    started: Counter,
    used: Counter,
    discarded: Counter,
}

impl PipelineMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Calls started before those ahead of them on their connection were answered";
        registry.register("pipelined_started", help, self.started.clone());
        let help = "Calls started early whose turn came";
        registry.register("pipelined_used", help, self.used.clone());
        let help = "Calls started early and sent whose response no caller gets";
        registry.register("pipelined_discarded", help, self.discarded.clone());
    }

    /// Counts an early call.
    pub(crate) fn count_started(&self) {
        self.started.inc();
    }

    /// Counts an early call whose turn came.
    pub(crate) fn count_used(&self) {
        self.used.inc();
    }

    /// Counts an early call that was sent and whose response no caller gets.
    pub(crate) fn count_discarded(&self) {
        self.discarded.inc();
    }

    /// Returns the numbers of early calls: started, used and discarded.
    #[must_use]
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.started.get(), self.used.get(), self.discarded.get())
    }
}
