//! A node's place in its zone's tree: finding a parent, no cycles.
//!
//! Paths from the root are carried down. A node never joins below itself: it
//! refuses a parent whose path names it, and leaves one whose path comes to.

use crate::backoff::Backoff;
use crate::event::{Action, Request};
use crate::link::{LinkKey, Purpose, Role};
use crate::node::Node;
use crate::parent::Source;
use crate::relay;
use rand::Rng;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::control::{Frame, Peer};

/// Bounds of the wait between rounds of tries among nodes that answer.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(3));

/// Bounds of the wait between readings of the platform: 14,000 nodes without
/// any root, each waiting half of this on average, read 1,400 times a second.
const READINGS: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(20));

/// Tries in a row without a wait: each refusal names others that have room.
const TRIES: u32 = 6;

/// Spread of a herd's first look; 1,000 nodes then read the platform at 2,000 a second.
const START: Duration = Duration::from_millis(500);

/// Longest wait for the platform's answer before the seeds are asked.
const LEASES: Duration = Duration::from_secs(1);

/// Time that a parent may be without a root before its children look elsewhere.
const PATIENCE: (Duration, Duration) = (Duration::from_secs(3), Duration::from_mins(1));

/// The search for a parent.
#[derive(Debug)]
pub(crate) struct Search {
    /// When to try next; none while there is a parent or an answer is awaited.
    try_at: Option<Instant>,
    backoff: Backoff,
    readings: Backoff,
    tries: u32,
    /// Whether any node answered in this round.
    is_answered: bool,
    /// Whether the platform is to be asked before the next try.
    wants_leases: bool,
    dialled: Option<(LinkKey, SocketAddr)>,
    leave_at: Option<Instant>,
    patience: Duration,
    /// Whether the last parent was lost without a farewell.
    pub(crate) was_lost: bool,
}

impl Search {
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
            dialled: None,
            leave_at: None,
            patience: PATIENCE.0,
            was_lost: false,
        }
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        let try_at = self.try_at.filter(|_| self.dialled.is_none());
        [try_at, self.leave_at].into_iter().flatten().min()
    }

    /// Tells whether there is no parent yet.
    pub(crate) fn is_on(&self) -> bool {
        self.try_at.is_some()
    }

    /// Takes the link out that is being opened.
    pub(crate) fn take_dialled(&mut self) -> Option<LinkKey> {
        self.dialled.take().map(|(link, _)| link)
    }

    pub(crate) fn hurry(&mut self, at: Instant) {
        if self.try_at.is_some() {
            self.try_at = Some(at);
            self.wants_leases = false;
        }
    }

    pub(crate) fn stop(&mut self) {
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
        if self.is_leaving || self.lease.is_held() {
            return;
        }
        self.search.stop();
        self.candidates.reset();
        self.search.try_at = Some(now + self.draw(BACKOFF.0 / 4));
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
            self.actions.push(Action::Ask(Request::Leases));
            return;
        }
        let name = self.settings.own.node.clone();
        let next = (self.search.tries < TRIES)
            .then(|| self.candidates.pick(&name, now))
            .flatten();
        match next {
            Some(address) if self.is_candidate(address) => {
                self.search.tries += 1;
                let link = self.dial(address, Purpose::Join, now);
                self.search.dialled = Some((link, address));
            }
            Some(address) => self.candidates.postpone(address, now + PATIENCE.0),
            None => self.pause_search(now),
        }
    }

    /// Waits before the next round; one in which no node answered begins with the platform's leases.
    pub(crate) fn pause_search(&mut self, now: Instant) {
        let is_answered = std::mem::take(&mut self.search.is_answered);
        let wait = if is_answered {
            self.search.backoff.next(&mut self.rng)
        } else {
            self.search.readings.next(&mut self.rng)
        };
        self.search.tries = 0;
        self.search.try_at = Some(now + wait);
        self.search.wants_leases = !is_answered;
    }

    /// Goes on with the search after a try came to nothing.
    fn resume_search(&mut self, now: Instant) {
        self.search.dialled = None;
        if self.search.is_on() {
            self.search.try_at = Some(now);
        }
    }

    fn is_candidate(&self, address: SocketAddr) -> bool {
        let is_child = self.links.values().any(|link| {
            let peer = link.peer.as_ref();
            link.role == Role::Child && peer.is_some_and(|peer| peer.address == address)
        });
        address != self.settings.own.address && !is_child
    }

    /// Leaves a parent that has had no root for too long.
    fn leave_parent(&mut self, now: Instant) {
        self.search.leave_at = None;
        let patience = (self.search.patience * 2).min(PATIENCE.1);
        for parent in self.find_links(|link| link.role == Role::Parent) {
            let parents = Vec::new();
            self.send(parent, Frame::Leave { parents });
            self.lose_link(now, parent, true);
        }
        self.search.patience = patience;
    }

    pub(crate) fn on_connected(&mut self, now: Instant, key: LinkKey, peer: Peer) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let Role::Dialled(purpose) = link.role else {
            return;
        };
        link.peer = Some(peer);
        link.hear(now);
        let (address, version) = (self.settings.own.address, self.version());
        let frame = match purpose {
            Purpose::Join => Frame::Join { address, version },
            Purpose::Meet => Frame::Meet { address, version },
            Purpose::Ask => Frame::Ask,
        };
        self.send(key, frame);
    }

    pub(crate) fn settle_link(
        &mut self,
        now: Instant,
        key: LinkKey,
        role: Role,
        version: config::Version,
    ) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        link.settle(role, now);
        link.version = version;
        if let Some(peer) = &link.peer {
            self.guard.find(&peer.node);
        }
        self.hear_version(now, key, version);
    }

    pub(crate) fn learn_hints(&mut self, now: Instant, hints: Vec<Peer>) {
        for hint in hints.into_iter().take(relay::MAX_HINTS) {
            if hint.zone == self.settings.own.zone && hint.node != self.settings.own.node {
                self.candidates.learn(hint.address, Source::Hint, now);
            }
        }
    }

    /// Takes the answer to this node's first frame.
    pub(crate) fn on_reply(&mut self, now: Instant, key: LinkKey, purpose: Purpose, frame: Frame) {
        match (frame, purpose) {
            (
                Frame::Admit {
                    path,
                    version,
                    is_ready,
                    parents,
                },
                Purpose::Join,
            ) => {
                self.hear_source(now, key, version, is_ready);
                self.learn_hints(now, parents);
                self.take_parent(now, key, path, version);
            }
            (
                Frame::Admit {
                    version, is_ready, ..
                },
                Purpose::Meet,
            ) if self.lease.is_held() => {
                self.hear_source(now, key, version, is_ready);
                self.settle_link(now, key, Role::Equal, version);
                self.send_sums(key, false);
            }
            (
                Frame::Refuse {
                    wait_ms,
                    version,
                    is_ready,
                    parents,
                },
                _,
            ) => {
                self.hear_source(now, key, version, is_ready);
                self.learn_hints(now, parents);
                self.on_refused(now, key, Duration::from_millis(wait_ms.into()));
            }
            _ => self.lose_link(now, key, false),
        }
    }

    fn on_refused(&mut self, now: Instant, key: LinkKey, wait: Duration) {
        self.close(key);
        if let Some((dialled, address)) = self.search.dialled
            && dialled == key
        {
            // Half as much again, so that those refused together don't come back together.
            let wait = wait + self.draw(wait / 2);
            self.candidates.postpone(address, now + wait);
            self.search.is_answered = true;
            self.resume_search(now);
        }
    }

    fn take_parent(
        &mut self,
        now: Instant,
        key: LinkKey,
        path: Vec<SmolStr>,
        version: config::Version,
    ) {
        let is_cycle = path.contains(&self.settings.own.node);
        if is_cycle || path.is_empty() || path.len() >= relay::MAX_DEPTH || self.lease.is_held() {
            self.lose_link(now, key, false);
            return;
        }
        self.search.dialled = None;
        self.search.stop();
        self.counters.parents += 1;
        self.settle_link(now, key, Role::Parent, version);
        self.set_path(path);
        self.send_sums(key, false);
        if std::mem::take(&mut self.search.was_lost) {
            // The former parent may live and count this node as lost.
            self.refresh(now);
        }
        self.ask_second(now);
    }

    /// Asks another node what it holds, before this process serves.
    fn ask_second(&mut self, now: Instant) {
        if !self.gate.wants_source() {
            return;
        }
        let name = self.settings.own.node.clone();
        let parents = self.find_links(|link| link.role == Role::Parent);
        let parent = parents.first().and_then(|key| self.links.get(key));
        let parent = parent.and_then(|link| link.peer.as_ref().map(|peer| peer.address));
        for _ in 0..2 {
            let other = self.candidates.pick(&name, now);
            if let Some(address) = other.filter(|other| Some(*other) != parent) {
                if self.is_candidate(address) {
                    self.dial(address, Purpose::Ask, now);
                }
                return;
            }
        }
    }

    pub(crate) fn on_path(&mut self, now: Instant, key: LinkKey, path: Vec<SmolStr>) {
        let is_parent = self
            .links
            .get(&key)
            .is_some_and(|link| link.role == Role::Parent);
        if !is_parent {
            return;
        }
        if path.contains(&self.settings.own.node) || path.len() >= relay::MAX_DEPTH {
            self.send(
                key,
                Frame::Leave {
                    parents: Vec::new(),
                },
            );
            self.lose_link(now, key, true);
            return;
        }
        if path.is_empty() {
            let wait = self.search.patience + self.draw(self.search.patience / 2);
            self.search.leave_at.get_or_insert(now + wait);
        } else {
            self.search.leave_at = None;
        }
        self.set_path(path);
    }

    /// Sets the path of the parent, empty for none, and tells the children.
    pub(crate) fn set_path(&mut self, mut path: Vec<SmolStr>) {
        if !path.is_empty() {
            let own = &self.settings.own.node;
            assert!(!path.contains(own), "no node is below itself");
            path.push(own.clone());
        }
        self.tell_path(path);
    }

    pub(crate) fn tell_path(&mut self, path: Vec<SmolStr>) {
        if path == self.path {
            return;
        }
        self.path = path;
        for child in self.find_links(|link| link.role == Role::Child) {
            self.send(child, Frame::Path(self.path.clone()));
        }
    }

    /// Forgets a link that ended; `is_clean` when it ended on purpose.
    pub(crate) fn lose_link(&mut self, now: Instant, key: LinkKey, is_clean: bool) {
        let Some(link) = self.close(key) else {
            return;
        };
        if let Some((dialled, address)) = self.search.dialled
            && dialled == key
        {
            self.candidates.miss(address, now);
            self.resume_search(now);
        }
        let is_neighbour = match (link.role, &link.peer) {
            (Role::Child, Some(_)) => true,
            (Role::Equal, Some(peer)) => peer.zone == self.settings.own.zone,
            _ => false,
        };
        if let Some(peer) = &link.peer {
            if is_neighbour && !is_clean {
                self.guard.lose(&peer.node, now);
            }
            if link.role == Role::Parent {
                self.candidates.learn(peer.address, Source::Hint, now);
                self.candidates.miss(peer.address, now);
            }
        }
        if link.role == Role::Parent {
            self.search.was_lost = !is_clean;
            self.set_path(Vec::new());
            self.start_search(now);
        }
    }

    pub(crate) fn drop_silent(&mut self, now: Instant) {
        for key in self.find_links(|link| now >= link.deadline()) {
            self.lose_link(now, key, false);
        }
    }

    pub(crate) fn leave(&mut self, now: Instant) {
        self.retire(now);
        self.step_news(now);
        self.is_leaving = true;
        self.search.stop();
        for key in self.find_links(crate::link::Link::is_settled) {
            let parents = self.hints(key);
            self.send(key, Frame::Leave { parents });
            self.close(key);
        }
        if let Some(slot) = self.lease.slot() {
            self.lease.lose(slot);
            self.actions.push(Action::Ask(Request::Unfollow));
            self.actions.push(Action::Ask(Request::Release { slot }));
        }
    }

    pub(crate) fn peer_name(&self, key: LinkKey) -> Option<SmolStr> {
        let peer = self.links.get(&key)?.peer.as_ref()?;
        Some(peer.node.clone())
    }
}
