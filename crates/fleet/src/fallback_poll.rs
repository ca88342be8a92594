//! Polling of the platform by a node that hears from no root.
//!
//! Load pattern: the parent of a node freezes, loses power or leaves together
//! with all roots of its zone just when operators write a version. Detecting
//! that the parent is silent takes 3.5 s and finding another root some seconds
//! more, which is longer than a version may take to come into force. Without
//! polling, such a node would serve the old version meanwhile, although the
//! platform would answer within milliseconds.

use crate::event::{Action, PlatformRequest};
use crate::link::{Link, Role};
use crate::node::Node;
use std::time::{Duration, Instant};

/// Time without contact to a root after which a node polls the platform.
///
/// Heartbeats come every second, so at least one is missing after this time. A version then comes
/// into force about 1.5 s after it was written; it may take 2 s at most.
const MAX_SILENCE: Duration = Duration::from_millis(1_400);

/// Minimum interval between two polls of a node, so that a node that polls gets a version within a
/// second after it was written.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of polls per second by all nodes of a zone together. 15 zones without any root
/// then use 750 of the platform's 2,000 reads per second.
const ZONE_POLL_RATE: u32 = 50;

/// When a node last heard from a root, and last polled the platform.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FallbackPoll {
    root_heard_at: Instant,
    polled_at: Option<Instant>,
    interval: Duration,
}

impl FallbackPoll {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            root_heard_at: now,
            polled_at: None,
            interval: MIN_INTERVAL,
        }
    }

    /// Records that the path to a root was up at `at`.
    fn record_root_contact(&mut self, at: Instant) {
        self.root_heard_at = self.root_heard_at.max(at);
    }

    /// Returns when the next poll is due unless a root is heard from before.
    fn due_at(&self) -> Instant {
        let due_at = self.root_heard_at + MAX_SILENCE;
        self.polled_at
            .map_or(due_at, |polled_at| due_at.max(polled_at + self.interval))
    }
}

/// Returns the interval between a node's polls if all `nodes` nodes of its zone poll.
pub(crate) fn poll_interval(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(Duration::from_secs(1) * nodes / ZONE_POLL_RATE)
}

impl Node {
    /// Returns when this node polls the platform next.
    ///
    /// `None` if this node does not serve yet, is shutting down, or is a root.
    pub(crate) fn next_fallback_poll(&self) -> Option<Instant> {
        let may_poll = self.readiness_gate.is_open() && !self.is_leaving && !self.lease.is_root();
        may_poll.then(|| self.fallback_poll.due_at())
    }

    /// Polls the platform if no root has been heard from for too long.
    pub(crate) fn step_fallback_poll(&mut self, now: Instant) {
        if self.lease.is_root() {
            self.fallback_poll.record_root_contact(now);
        } else if self.has_root() {
            let parents = self.links.values().filter(|link| link.role == Role::Parent);
            if let Some(heard) = parents.map(Link::last_heard).max() {
                self.fallback_poll.record_root_contact(heard);
            }
        }
        if self.next_fallback_poll().is_none_or(|due| now < due) {
            return;
        }
        self.fallback_poll.polled_at = Some(now);
        self.fallback_poll.interval = poll_interval(self.count_zone_nodes());
        if self.renews_confirmations() {
            self.request_from_platform(now);
        } else {
            let after = self.version();
            self.actions
                .push(Action::QueryPlatform(PlatformRequest::FetchLatest {
                    after,
                }));
        }
        self.query_crashes();
        self.query_rollouts();
    }

    /// Returns the number of nodes in this node's zone, as far as known.
    pub(crate) fn count_zone_nodes(&self) -> usize {
        let zone = &self.settings.local.zone;
        let endpoints = self.endpoint_table.iter();
        endpoints.filter(|endpoint| endpoint.zone == *zone).count()
    }
}
