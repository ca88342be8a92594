//! Checks each call for the version that it was handled by.
//!
//! Version N adds a route of its own, and moves the route [`MOVED_ROUTE`] to another service, in
//! turn. A call is bound by the newest version that was acknowledged long enough before it was sent.

use crate::denials::APPLY_TIME;
use http::StatusCode;
use std::time::{Duration, Instant};

/// Prefix of the route that each version moves.
pub(crate) const MOVED_ROUTE: &str = "/moved";

/// Services to which the route is moved, in turn.
pub(crate) const SERVICES: [&str; 3] = ["claims", "jobs", "records"];

/// Time after a disturbance of a node from which its calls are bound.
const STABILITY: Duration = Duration::from_secs(3);

/// Returns the service to which a version moves the route.
pub(crate) fn service_of(version: u64) -> &'static str {
    let index = usize::try_from(version % 3).unwrap_or_default();
    SERVICES[index]
}

/// Returns the prefix of the route that a version adds.
pub(crate) fn route_of(version: u64) -> String {
    format!("/version-{version}")
}

/// The versions written so far, and the nodes that are bound by them.
#[derive(Debug)]
pub(crate) struct History {
    /// When each version was acknowledged, the oldest first.
    acknowledged: Vec<(u64, Instant)>,
    /// Last version that was sent to the platform.
    newest_sent: u64,
    /// Since when each node is undisturbed; `None` for one that is disturbed.
    undisturbed_since: Vec<Option<Instant>>,
}

impl History {
    /// Creates the history of `nodes` nodes that serve a version without these routes.
    pub(crate) fn new(nodes: usize, now: Instant) -> Self {
        Self {
            acknowledged: Vec::new(),
            newest_sent: 0,
            undisturbed_since: vec![Some(now); nodes],
        }
    }

    pub(crate) fn record_sent(&mut self, version: u64) {
        self.newest_sent = version;
    }

    pub(crate) fn record_acknowledged(&mut self, version: u64, now: Instant) {
        self.acknowledged.push((version, now));
    }

    /// Records that a node is disturbed, or no longer is.
    pub(crate) fn set_disturbed(&mut self, node: usize, is_disturbed: bool, now: Instant) {
        self.undisturbed_since[node] = (!is_disturbed).then_some(now);
    }

    /// Returns the version that binds a call that a node gets now; `None` if none does.
    pub(crate) fn bound(&self, node: usize, now: Instant) -> Option<u64> {
        let since = self.undisturbed_since[node]?;
        if now < since + STABILITY {
            return None;
        }
        let due = self.acknowledged.iter().rev();
        let mut due = due.filter(|(_, at)| now >= *at + APPLY_TIME);
        due.next().map(|(version, _)| *version)
    }

    /// Returns whether a node was undisturbed from `sent` until now.
    pub(crate) fn is_undisturbed_since(&self, node: usize, sent: Instant) -> bool {
        self.undisturbed_since[node].is_some_and(|since| since <= sent)
    }

    /// Returns whether a call of the route that `bound` has added shows an older version.
    pub(crate) fn is_route_missing(status: StatusCode) -> bool {
        status == StatusCode::NOT_FOUND
    }

    /// Returns whether `service`, which ran a call of the moved route, shows a version older than
    /// `bound`.
    pub(crate) fn is_former_service(&self, service: &str, bound: u64) -> bool {
        let mut versions = bound..=self.newest_sent;
        !versions.any(|version| service_of(version) == service)
    }
}
