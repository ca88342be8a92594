//! The search for a parent: which node to ask, when, and when to query the platform.

use crate::event::{Action, PlatformRequest};
use crate::link::{LinkKey, Purpose, Role};
use crate::node::Node;
use policy::backoff::Backoff;
use rand::Rng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::control::Frame;

/// Bounds of the backoff between rounds of attempts while nodes answer.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(3));

/// Bounds of the backoff between reads of the leases while no node answers. 14,000 nodes without
/// any root, each waiting half the maximum on average, read 1,400 times per second.
const READ_BACKOFF: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(20));

/// Maximum number of attempts in a row without a wait; each refusal names other nodes that have
/// capacity.
const MAX_ATTEMPTS: u32 = 6;

/// Maximum random delay before the first attempt of a new process.
///
/// Each node reads the platform three times at its start. With this delay, 300 nodes that start
/// together stay below the platform's limit of 2,000 reads per second; if more nodes start
/// together, the platform tells some of them when to retry.
const START_JITTER: Duration = Duration::from_millis(500);

/// Maximum wait for the leases from the platform before the known candidates, such as the seeds,
/// are asked.
const LEASES_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of the time that a parent may have no path to a root before its children leave it.
const ROOTLESS_TIMEOUT: (Duration, Duration) = (Duration::from_secs(3), Duration::from_mins(1));

/// Consistency of the next read of the leases.
///
/// The first read may be some seconds stale. A stale read costs the platform a tenth of an exact
/// read, and nearly always names the current roots. Decisions that depend on a root being gone need
/// an exact read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    MaybeStale,
    Exact,
}

/// The search for a parent.
#[derive(Debug)]
pub(crate) struct ParentSearch {
    /// When the next attempt is due; none while this node has a parent or is a root.
    next_attempt_at: Option<Instant>,
    backoff: Backoff,
    read_backoff: Backoff,
    attempts: u32,
    /// Whether any node has answered in this round of attempts.
    any_node_answered: bool,
    /// Whether to read the leases before the next attempt.
    wants_leases: bool,
    /// Consistency required of the next read of the leases.
    freshness: Freshness,
    pending_dial: Option<(LinkKey, SocketAddr)>,
    /// When to leave a parent that has no path to a root.
    leave_parent_at: Option<Instant>,
    rootless_timeout: Duration,
    /// Whether the last parent was lost without sending a `Leave` frame.
    pub(crate) was_parent_lost: bool,
}

impl ParentSearch {
    pub(crate) fn new<R>(now: Instant, rng: &mut R) -> Self
    where
        R: Rng,
    {
        Self {
            next_attempt_at: Some(now + START_JITTER.mul_f64(rng.random::<f64>())),
            backoff: Backoff::new(BACKOFF.0, BACKOFF.1),
            read_backoff: Backoff::new(READ_BACKOFF.0, READ_BACKOFF.1),
            attempts: 0,
            any_node_answered: false,
            wants_leases: true,
            freshness: Freshness::MaybeStale,
            pending_dial: None,
            leave_parent_at: None,
            rootless_timeout: ROOTLESS_TIMEOUT.0,
            was_parent_lost: false,
        }
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        let next_attempt_at = self.next_attempt_at.filter(|_| self.pending_dial.is_none());
        [next_attempt_at, self.leave_parent_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns whether this node is looking for a parent.
    pub(crate) fn is_active(&self) -> bool {
        self.next_attempt_at.is_some()
    }

    /// Takes the link to a candidate that is being opened, if there is one.
    pub(crate) fn take_pending_dial(&mut self) -> Option<LinkKey> {
        self.pending_dial.take().map(|(link, _)| link)
    }

    /// Clears the pending dial if `link` is the link being opened; returns the address that was
    /// dialled.
    pub(crate) fn finish_dial(&mut self, link: LinkKey) -> Option<SocketAddr> {
        let (_, address) = self
            .pending_dial
            .take_if(|(pending_dial, _)| *pending_dial == link)?;
        Some(address)
    }

    /// Continues the search after a failed attempt; `is_answered` tells whether the asked node
    /// answered.
    pub(crate) fn continue_after_attempt(&mut self, is_answered: bool, now: Instant) {
        self.any_node_answered |= is_answered;
        if self.is_active() {
            self.next_attempt_at = Some(now);
        }
    }

    /// Records whether the parent has a path to a root; if it has none, schedules leaving it.
    pub(crate) fn update_parent_rooted<R>(&mut self, has_root: bool, now: Instant, rng: &mut R)
    where
        R: Rng,
    {
        let wait = self.rootless_timeout + (self.rootless_timeout / 2).mul_f64(rng.random::<f64>());
        if has_root {
            self.leave_parent_at = None;
        } else {
            self.leave_parent_at.get_or_insert(now + wait);
        }
    }

    /// Schedules the next attempt for `at`, without reading the leases first.
    pub(crate) fn retry_at(&mut self, at: Instant) {
        if self.next_attempt_at.is_some() {
            self.next_attempt_at = Some(at);
            self.wants_leases = false;
        }
    }

    /// Schedules an exact read of the leases if the last read may have been stale.
    ///
    /// Returns whether a read was scheduled.
    pub(crate) fn require_exact_leases(&mut self, now: Instant) -> bool {
        if self.freshness == Freshness::Exact || !self.is_active() {
            return false;
        }
        self.freshness = Freshness::Exact;
        self.wants_leases = true;
        self.next_attempt_at = Some(now);
        true
    }

    pub(crate) fn stop(&mut self) {
        self.freshness = Freshness::MaybeStale;
        self.next_attempt_at = None;
        self.leave_parent_at = None;
        self.attempts = 0;
        self.rootless_timeout = ROOTLESS_TIMEOUT.0;
        self.backoff.reset();
        self.read_backoff.reset();
    }
}

impl Node {
    pub(crate) fn start_search(&mut self, now: Instant) {
        if self.is_leaving || self.lease.is_root() {
            return;
        }
        self.search.stop();
        self.candidates.reset_attempts();
        self.search.next_attempt_at = Some(now + self.jitter(BACKOFF.0 / 4));
        self.search.wants_leases = false;
    }

    pub(crate) fn step_search(&mut self, now: Instant) {
        if self.search.leave_parent_at.is_some_and(|at| now >= at) {
            self.leave_parent(now);
        }
        let is_due = self.search.next_attempt_at.is_some_and(|at| now >= at);
        if !is_due || self.search.pending_dial.is_some() {
            return;
        }
        if self.search.wants_leases {
            self.search.wants_leases = false;
            self.search.next_attempt_at = Some(now + LEASES_TIMEOUT);
            let is_exact = self.search.freshness == Freshness::Exact;
            self.actions
                .push(Action::QueryPlatform(PlatformRequest::Leases { is_exact }));
            return;
        }
        let name = self.settings.local.node.clone();
        let next = (self.search.attempts < MAX_ATTEMPTS)
            .then(|| self.candidates.pick(&name, now))
            .flatten();
        match next {
            Some(address) if self.is_eligible_parent(address) => {
                self.search.attempts += 1;
                let link = self.dial(address, Purpose::Join, now);
                self.search.pending_dial = Some((link, address));
            }
            Some(address) => self.candidates.postpone(address, now + ROOTLESS_TIMEOUT.0),
            None => self.back_off_search(now),
        }
    }

    /// Schedules the next round of attempts after a backoff.
    ///
    /// If no node answered in the last round, the next round begins by reading the leases.
    pub(crate) fn back_off_search(&mut self, now: Instant) {
        let is_answered = std::mem::take(&mut self.search.any_node_answered);
        let wait = if is_answered {
            self.search.backoff.next_delay(&mut self.rng)
        } else {
            let longest = crate::fallback_poll::poll_interval(self.count_zone_nodes());
            self.search
                .read_backoff
                .next_delay(&mut self.rng)
                .min(longest)
        };
        self.search.attempts = 0;
        self.search.next_attempt_at = Some(now + wait);
        self.search.wants_leases = !is_answered;
        self.search.freshness = Freshness::Exact;
    }

    pub(crate) fn is_eligible_parent(&self, address: SocketAddr) -> bool {
        let is_child = self.links.values().any(|link| {
            let peer = link.peer.as_ref();
            link.role == Role::Child && peer.is_some_and(|peer| peer.address == address)
        });
        address != self.settings.local.address && !is_child
    }

    /// Leaves the parent for the node at `address`.
    pub(crate) fn change_parent(&mut self, now: Instant, address: SocketAddr) {
        self.leave_parent(now);
        let link = self.dial(address, Purpose::Join, now);
        self.search.pending_dial = Some((link, address));
    }

    /// Leaves a parent that has had no path to a root for too long.
    fn leave_parent(&mut self, now: Instant) {
        self.search.leave_parent_at = None;
        let rootless_timeout = (self.search.rootless_timeout * 2).min(ROOTLESS_TIMEOUT.1);
        for parent in self.find_links(|link| link.role == Role::Parent) {
            let parents = Vec::new();
            self.send(parent, Frame::Leave { parents });
            self.drop_link(now, parent, true);
        }
        self.search.rootless_timeout = rootless_timeout;
    }
}
