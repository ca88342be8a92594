//! Polling of the platform by nodes whose last reading of it is too old.
//!
//! Load pattern: the platform refuses the root of a zone, or the root freezes, just when operators
//! write a version. The nodes below hear nothing of it, although the platform would answer them
//! within milliseconds. Each node therefore polls the platform by itself once no younger reading
//! has reached it in time, and its neighbours get what it reads, so that one poll serves the tree.
//!
//! A poll that fails is repeated at a rate that the number of zones bounds, not the number of
//! nodes: the platform may be out for all.

use crate::event::{Action, PlatformRequest};
use crate::lease::PRIMARY_SLOT;
use crate::node::Node;
use rand::Rng;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// Age of a reading at which a node polls the platform. A version has to be in force 2 s after it
/// was written, and takes some 100 ms from the poll.
const MAX_READING_AGE: Duration = Duration::from_millis(1_500);

/// Age of a reading at which the primary root of the first zone reads the platform, early enough for
/// the nodes below it.
const MAX_ROOT_READING_AGE: Duration = Duration::from_millis(1_050);

/// Further age at which the primary root of the next zone reads it. After a change all watches are
/// new, so that no reading comes for seconds, and the roots of all zones would read at once.
const ZONE_DELAY: Duration = Duration::from_millis(120);

/// Largest number of zones that a zone waits for, and the number that the other roots of a zone
/// wait for.
const MAX_ZONE_DELAYS: u32 = 3;

/// Most first polls a second by the nodes of a zone that begin to poll together.
const ZONE_POLL_RATE: u32 = 48;

/// Most polls a second by such nodes that are repeated for the first time. It is below
/// [`ZONE_POLL_RATE`], so that the zone's first polls are over before.
const ZONE_FIRST_RETRY_RATE: u32 = 40;

/// Most further polls a second by the nodes of a zone that the platform doesn't answer.
const ZONE_RETRY_RATE: u32 = 16;

/// Minimum time between two polls of a node.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time from a poll without an answer to the next one, on average.
///
/// It counts from when the poll was sent and not from when it is given up: a platform that is back
/// still leaves the polls of before without an answer, and a node has to read it within the 3 s
/// after which the node counts as connected.
const MIN_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Share of the interval by which a repeated poll is early or late, so that nodes that began to
/// poll together don't go on together.
const RETRY_JITTER: f64 = 0.15;

/// Time without a reading by a root after which a node that reads the platform claims a lease.
const ORPHAN_TIME: Duration = Duration::from_secs(5);

/// Minimum time between two claims of a node, so that leases don't move between nodes that the
/// platform refuses in turn.
const CLAIM_INTERVAL: Duration = Duration::from_secs(10);

/// When a node polls the platform next.
#[derive(Debug)]
pub(crate) struct FallbackPoll {
    /// Start of the process, from which the age of a reading counts as long as there is none.
    started_at: Instant,
    not_before: Instant,
    /// Random share of the longest delay of a poll.
    delay_share: f64,
    /// Number of nodes in this node's zone when a poll was last due.
    zone_nodes: u32,
    /// Number of zones with roots whose names come before that of this node's zone.
    pub(crate) zone_rank: u32,
    /// Whether a request for a confirmation has failed since the platform's last answer to one.
    has_failed: bool,
    claim_not_before: Instant,
    /// The root beside which this node claims a lease, from the read of the leases to the outcome.
    pub(crate) replaced_root: Option<SmolStr>,
}

impl FallbackPoll {
    pub(crate) fn new<R>(now: Instant, rng: &mut R) -> Self
    where
        R: Rng,
    {
        Self {
            started_at: now,
            not_before: now,
            delay_share: rng.random(),
            zone_nodes: 0,
            zone_rank: 0,
            has_failed: false,
            claim_not_before: now,
            replaced_root: None,
        }
    }
}

/// Returns the interval between a node's polls if all `nodes` nodes of its zone poll at `rate`.
fn interval_at_rate(nodes: u32, rate: u32) -> Duration {
    Duration::from_secs(1) * nodes / rate
}

/// Returns the interval between a node's requests if all `nodes` nodes of its zone send them.
pub(crate) fn poll_interval(nodes: u32) -> Duration {
    MIN_INTERVAL.max(interval_at_rate(nodes, ZONE_POLL_RATE))
}

impl Node {
    /// Returns when this node polls the platform next; `None` if it does not serve yet or is
    /// shutting down.
    pub(crate) fn next_fallback_poll(&self) -> Option<Instant> {
        if !self.readiness_gate.is_open() || self.is_leaving {
            return None;
        }
        let poll = &self.fallback_poll;
        let fresh_at = self.fresh_at().unwrap_or(poll.started_at);
        let age = if let Some(slot) = self.lease.slot() {
            let is_primary = slot == PRIMARY_SLOT;
            let rank = if is_primary { poll.zone_rank } else { u32::MAX };
            MAX_ROOT_READING_AGE + ZONE_DELAY * rank.min(MAX_ZONE_DELAYS)
        } else {
            let spread = interval_at_rate(poll.zone_nodes, ZONE_POLL_RATE);
            MAX_READING_AGE + spread.mul_f64(poll.delay_share)
        };
        Some((fresh_at + age).max(poll.not_before))
    }

    /// Polls the platform if the last reading of it is too old.
    pub(crate) fn step_fallback_poll(&mut self, now: Instant) {
        let is_due = |node: &Self| node.next_fallback_poll().is_some_and(|due| now >= due);
        if !is_due(self) {
            return;
        }
        // Counted only when a poll is due, as it takes a pass over all endpoints.
        self.fallback_poll.zone_nodes = self.count_zone_nodes();
        if !is_due(self) {
            return;
        }
        self.fallback_poll.delay_share = self.rng.random();
        self.counters.fallback_polls += u64::from(self.lease.slot().is_none());
        self.poll_platform(now);
    }

    /// Delays the next poll after a request for a confirmation, as if it will get no answer.
    pub(crate) fn delay_fallback_poll(&mut self, now: Instant) {
        let interval = interval_at_rate(self.count_zone_nodes(), ZONE_RETRY_RATE);
        let interval = interval.max(MIN_RETRY_INTERVAL);
        let share = 1.0 + RETRY_JITTER * self.rng.random_range(-1.0..1.0);
        self.fallback_poll.not_before = now + interval.mul_f64(share);
    }

    /// Handles that the latest request for a confirmation, sent at `sent_at`, has failed.
    ///
    /// The first one may only show that an idle connection had gone silent. The next poll uses a new
    /// connection, and must not wait as long as in an outage: all links may be in the same state.
    pub(crate) fn on_poll_failed(&mut self, now: Instant, sent_at: Instant) {
        if !std::mem::replace(&mut self.fallback_poll.has_failed, true) {
            let interval = interval_at_rate(self.count_zone_nodes(), ZONE_FIRST_RETRY_RATE);
            self.fallback_poll.not_before = now.max(sent_at + interval);
        }
    }

    /// Handles that the latest request for a confirmation, sent at `sent_at`, was answered.
    pub(crate) fn allow_fallback_poll(&mut self, sent_at: Instant) {
        self.fallback_poll.has_failed = false;
        let not_before = &mut self.fallback_poll.not_before;
        *not_before = (sent_at + MIN_INTERVAL).min(*not_before);
    }

    /// Handles the platform's answer to a poll: the tree brings no readings, and perhaps neither
    /// crashes nor roll-outs.
    pub(crate) fn on_poll_answered(&mut self, now: Instant) {
        if self.lease.slot().is_some() {
            return;
        }
        self.query_crashes();
        self.query_rollouts();
        self.claim_lease(now);
    }

    /// Reads the leases, to claim one if no root has read the platform for some time.
    fn claim_lease(&mut self, now: Instant) {
        let poll = &self.fallback_poll;
        let read_at = self.freshness.root_read_at.unwrap_or(poll.started_at);
        if now < poll.claim_not_before || now < read_at + ORPHAN_TIME {
            return;
        }
        // Without a path to a root, the search for a parent claims a lease.
        let Some(root) = self.path.first().cloned() else {
            return;
        };
        let wait = CLAIM_INTERVAL + self.jitter(CLAIM_INTERVAL / 2);
        self.fallback_poll.claim_not_before = now + wait;
        self.fallback_poll.replaced_root = Some(root);
        self.actions
            .push(Action::QueryPlatform(PlatformRequest::Leases {
                is_exact: true,
            }));
    }

    /// Returns the number of nodes in this node's zone, as far as known.
    pub(crate) fn count_zone_nodes(&self) -> u32 {
        let zone = &self.settings.local.zone;
        let endpoints = self.endpoint_table.iter();
        let count = endpoints.filter(|endpoint| endpoint.zone == *zone).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
