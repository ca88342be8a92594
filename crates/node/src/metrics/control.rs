//! Metrics of configuration distribution.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of configuration distribution.
#[derive(Debug, Clone, Default)]
pub struct ControlMetrics {
    /// Configuration versions applied.
    pub applied_versions: Counter,
    /// Configuration versions that could not be applied.
    pub refused_versions: Counter,
    /// Parents that accepted this node as a child.
    pub parent_joins: Counter,
    /// Polls of the platform because no reading of it had arrived in time.
    pub fallback_polls: Counter,
    /// Such polls, and those of roots, that the platform did not answer.
    pub failed_polls: Counter,
    /// Nodes declared departed.
    pub departures: Counter,
    /// Views that were discarded because they were older than the view in use.
    pub reverts: Counter,
    /// Views built after a change of configuration or endpoints.
    pub built_views: Counter,
    /// Links closed because a frame did not fit into the send queue.
    pub overflows: Counter,
}

impl ControlMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let all = [
            (
                "config_versions",
                "Versions applied",
                &self.applied_versions,
            ),
            (
                "config_refusals",
                "Versions that could not be applied",
                &self.refused_versions,
            ),
            (
                "config_reverts",
                "Views older than the one before, not served by; never above zero",
                &self.reverts,
            ),
            ("views", "Views made", &self.built_views),
            ("control_parents", "Parents taken", &self.parent_joins),
            (
                "control_polls",
                "Polls of the platform because no reading of it had arrived in time",
                &self.fallback_polls,
            ),
            (
                "control_failed_polls",
                "Polls that the platform did not answer, those of root relays included",
                &self.failed_polls,
            ),
            (
                "control_departures",
                "Nodes declared gone",
                &self.departures,
            ),
            (
                "control_overflows",
                "Control links closed because they took nothing more",
                &self.overflows,
            ),
        ];
        for (name, help, counter) in all {
            registry.register(name, help, counter.clone());
        }
    }
}
