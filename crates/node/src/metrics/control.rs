//! What a node counts of distribution.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// What a node counts of distribution.
#[derive(Debug, Clone, Default)]
pub struct Control {
    /// Versions applied.
    pub versions: Counter,
    /// Versions that could not be applied.
    pub refusals: Counter,
    /// Parents taken.
    pub parents: Counter,
    /// Nodes declared gone.
    pub departures: Counter,
    /// Views older than the one before, which were not served by.
    pub reverts: Counter,
    /// Views made, for configuration or endpoints.
    pub views: Counter,
    /// Frames that a slow link had no room for; the link is closed then.
    pub overflows: Counter,
}

impl Control {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let all = [
            ("config_versions", "Versions applied", &self.versions),
            (
                "config_refusals",
                "Versions that could not be applied",
                &self.refusals,
            ),
            (
                "config_reverts",
                "Views older than the one before, not served by; never above zero",
                &self.reverts,
            ),
            ("views", "Views made", &self.views),
            ("control_parents", "Parents taken", &self.parents),
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
