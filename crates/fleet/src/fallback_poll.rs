//! A node that hears from no root looks for versions itself.
//!
//! Load pattern: the parent of a node freezes, loses power or leaves with all
//! roots of its zone just as the operators write a version. Finding the parent
//! silent takes 3.5 s and another root some seconds more, longer than a version
//! may take. Without the lookout such a node serves by the old one meanwhile,
//! though the platform would answer it in milliseconds.

use crate::event::{Action, PlatformRequest};
use crate::link::{Link, Role};
use crate::node::Node;
use std::time::{Duration, Instant};

/// Silence of the way to a root after which a node asks the platform itself:
/// beats come every second, so that one must be missing. With the answer a
/// version is in force some 1.5 s after it was written, of the 2 s it may take.
const PATIENCE: Duration = Duration::from_millis(1_400);

/// Least time between two questions: a version then comes within a second.
const AGAIN: Duration = Duration::from_secs(1);

/// Rounds of questions a second of all nodes of a zone: 15 zones without any root then
/// take 750 of the platform's 2,000 reads a second.
const ZONE_RATE: u32 = 50;

/// When a node last heard from a root, and last asked the platform.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FallbackPoll {
    heard: Instant,
    asked: Option<Instant>,
    again: Duration,
}

impl FallbackPoll {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            heard: now,
            asked: None,
            again: AGAIN,
        }
    }

    /// Notes that the way to a root is open.
    fn hear(&mut self, now: Instant) {
        self.heard = self.heard.max(now);
    }

    /// Gives when the platform is to be asked unless a root is heard of before.
    fn due_at(&self) -> Instant {
        let patient = self.heard + PATIENCE;
        self.asked
            .map_or(patient, |asked| patient.max(asked + self.again))
    }
}

/// Gives the time between a node's questions when all `nodes` of its zone ask.
pub(crate) fn poll_interval(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    AGAIN.max(Duration::from_secs(1) * nodes / ZONE_RATE)
}

impl Node {
    /// Gives when the platform is to be asked, if this node does so at all.
    pub(crate) fn next_fallback_poll(&self) -> Option<Instant> {
        let looks = self.gate.is_open() && !self.is_leaving && !self.lease.is_root();
        looks.then(|| self.fallback_poll.due_at())
    }

    /// Asks the platform for versions when no root has been heard of for too long.
    pub(crate) fn step_fallback_poll(&mut self, now: Instant) {
        if self.lease.is_root() {
            self.fallback_poll.hear(now);
        } else if self.has_root() {
            let parents = self.links.values().filter(|link| link.role == Role::Parent);
            if let Some(heard) = parents.map(Link::last_heard).max() {
                self.fallback_poll.hear(heard);
            }
        }
        if self.next_fallback_poll().is_none_or(|due| now < due) {
            return;
        }
        let zone = &self.settings.local.zone;
        let nodes = self.table.iter().filter(|one| one.zone == *zone).count();
        self.fallback_poll.asked = Some(now);
        self.fallback_poll.again = poll_interval(nodes);
        let after = self.version();
        self.actions
            .push(Action::QueryPlatform(PlatformRequest::FetchLatest {
                after,
            }));
        self.query_crashes();
        self.query_rollouts();
    }
}
