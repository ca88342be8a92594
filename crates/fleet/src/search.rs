//! The search for a parent: whom to ask, when, and when to ask the platform.

use crate::event::{Action, PlatformRequest};
use crate::link::{LinkKey, Purpose, Role};
use crate::node::Node;
use policy::backoff::Backoff;
use rand::Rng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::control::Frame;

/// Bounds of the wait between rounds of tries among nodes that answer.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(3));

/// Bounds of the wait between readings of the platform: 14,000 nodes without
/// any root, each waiting half of this on average, read 1,400 times a second.
const READINGS: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(20));

/// Tries in a row without a wait: each refusal names others that have room.
const TRIES: u32 = 6;

/// Spread of a herd's first look; each node reads the platform three times at
/// its start, so that 300 nodes stay below its 2,000 reads a second, and more
/// are told when to come back.
const START: Duration = Duration::from_millis(500);

/// Longest wait for the platform's answer before the seeds are asked.
const LEASES: Duration = Duration::from_secs(1);

/// Time that a parent may be without a root before its children look elsewhere.
const PATIENCE: (Duration, Duration) = (Duration::from_secs(3), Duration::from_mins(1));

/// How new the platform's word on the leases is to be.
///
/// The first look does with what stood some seconds ago, which the platform gives for a tenth of
/// the price: nearly always the roots that are there still. What rests on a root's being gone
/// is decided by an exact one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    Recent,
    Exact,
}

/// The search for a parent.
#[derive(Debug)]
pub(crate) struct ParentSearch {
    /// When to try next; none while there is a parent or an answer is awaited.
    try_at: Option<Instant>,
    backoff: Backoff,
    readings: Backoff,
    tries: u32,
    /// Whether any node answered in this round.
    is_answered: bool,
    /// Whether the platform is to be asked before the next try.
    wants_leases: bool,
    /// What it is asked for.
    freshness: Freshness,
    dialled: Option<(LinkKey, SocketAddr)>,
    leave_at: Option<Instant>,
    patience: Duration,
    /// Whether the last parent was lost without a farewell.
    pub(crate) was_parent_lost: bool,
}

impl ParentSearch {
    pub(crate) fn new<R>(now: Instant, rng: &mut R) -> Self
    where
        R: Rng,
    {
        Self {
            try_at: Some(now + START.mul_f64(rng.random::<f64>())),
            backoff: Backoff::new(BACKOFF.0, BACKOFF.1),
            readings: Backoff::new(READINGS.0, READINGS.1),
            tries: 0,
            is_answered: false,
            wants_leases: true,
            freshness: Freshness::Recent,
            dialled: None,
            leave_at: None,
            patience: PATIENCE.0,
            was_parent_lost: false,
        }
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        let try_at = self.try_at.filter(|_| self.dialled.is_none());
        [try_at, self.leave_at].into_iter().flatten().min()
    }

    /// Tells whether there is no parent yet.
    pub(crate) fn is_active(&self) -> bool {
        self.try_at.is_some()
    }

    /// Takes the link out that is being opened.
    pub(crate) fn take_pending_dial(&mut self) -> Option<LinkKey> {
        self.dialled.take().map(|(link, _)| link)
    }

    /// Ends the opening of a link, if it is the one that is being opened; gives its address.
    pub(crate) fn finish_dial(&mut self, link: LinkKey) -> Option<SocketAddr> {
        let (_, address) = self.dialled.take_if(|(dialled, _)| *dialled == link)?;
        Some(address)
    }

    /// Goes on after a try came to nothing, by an answer or by none.
    pub(crate) fn continue_after_attempt(&mut self, is_answered: bool, now: Instant) {
        self.is_answered |= is_answered;
        if self.is_active() {
            self.try_at = Some(now);
        }
    }

    /// Notes whether the parent has a way to a root; one that has none for long is left.
    pub(crate) fn update_parent_rooted<R>(&mut self, is_rooted: bool, now: Instant, rng: &mut R)
    where
        R: Rng,
    {
        let wait = self.patience + (self.patience / 2).mul_f64(rng.random::<f64>());
        if is_rooted {
            self.leave_at = None;
        } else {
            self.leave_at.get_or_insert(now + wait);
        }
    }

    /// Tries again at `at` without asking the platform first.
    pub(crate) fn retry_at(&mut self, at: Instant) {
        if self.try_at.is_some() {
            self.try_at = Some(at);
            self.wants_leases = false;
        }
    }

    /// Asks the platform again, for what stands now, if its last word may have been old.
    pub(crate) fn require_exact_leases(&mut self, now: Instant) -> bool {
        if self.freshness == Freshness::Exact || !self.is_active() {
            return false;
        }
        self.freshness = Freshness::Exact;
        self.wants_leases = true;
        self.try_at = Some(now);
        true
    }

    pub(crate) fn stop(&mut self) {
        self.freshness = Freshness::Recent;
        self.try_at = None;
        self.leave_at = None;
        self.tries = 0;
        self.patience = PATIENCE.0;
        self.backoff.reset();
        self.readings.reset();
    }
}

impl Node {
    pub(crate) fn start_search(&mut self, now: Instant) {
        if self.is_leaving || self.lease.is_root() {
            return;
        }
        self.search.stop();
        self.candidates.reset_attempts();
        self.search.try_at = Some(now + self.jitter(BACKOFF.0 / 4));
        self.search.wants_leases = false;
    }

    pub(crate) fn step_search(&mut self, now: Instant) {
        if self.search.leave_at.is_some_and(|at| now >= at) {
            self.leave_parent(now);
        }
        let is_due = self.search.try_at.is_some_and(|at| now >= at);
        if !is_due || self.search.dialled.is_some() {
            return;
        }
        if self.search.wants_leases {
            self.search.wants_leases = false;
            self.search.try_at = Some(now + LEASES);
            let is_exact = self.search.freshness == Freshness::Exact;
            self.actions
                .push(Action::QueryPlatform(PlatformRequest::Leases { is_exact }));
            return;
        }
        let name = self.settings.local.node.clone();
        let next = (self.search.tries < TRIES)
            .then(|| self.candidates.pick(&name, now))
            .flatten();
        match next {
            Some(address) if self.is_eligible_parent(address) => {
                self.search.tries += 1;
                let link = self.dial(address, Purpose::Join, now);
                self.search.dialled = Some((link, address));
            }
            Some(address) => self.candidates.postpone(address, now + PATIENCE.0),
            None => self.back_off_search(now),
        }
    }

    /// Waits before the next round; one in which no node answered begins with the platform's leases.
    pub(crate) fn back_off_search(&mut self, now: Instant) {
        let is_answered = std::mem::take(&mut self.search.is_answered);
        let wait = if is_answered {
            self.search.backoff.next_delay(&mut self.rng)
        } else {
            let zone = &self.settings.local.zone;
            let nodes = self.table.iter().filter(|one| one.zone == *zone).count();
            let longest = crate::fallback_poll::poll_interval(nodes);
            self.search.readings.next_delay(&mut self.rng).min(longest)
        };
        self.search.tries = 0;
        self.search.try_at = Some(now + wait);
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

    /// Leaves a parent that has had no root for too long.
    fn leave_parent(&mut self, now: Instant) {
        self.search.leave_at = None;
        let patience = (self.search.patience * 2).min(PATIENCE.1);
        for parent in self.find_links(|link| link.role == Role::Parent) {
            let parents = Vec::new();
            self.send(parent, Frame::Leave { parents });
            self.drop_link(now, parent, true);
        }
        self.search.patience = patience;
    }
}
