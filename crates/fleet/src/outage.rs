//! How nodes find each other while the platform does not answer.
//!
//! Load pattern: nodes are restarted one after the other during an outage of
//! the platform. A restarted node knows nobody, and one whose roots are all
//! gone can't have new ones, as leases can't be taken. Without what stands
//! here both refuse nearly all calls until the outage is over: they know of no
//! endpoint but their own.
//!
//! Two things help. Whoever loses a neighbour *redials* it: it dials the
//! neighbour's address, and a process that has come up there learns whom to
//! join. And a node that serves, has no root and gets no answer from the
//! platform *stands in* as root of its zone until the platform answers. Leases
//! save work and carry no correctness, so that two stand-ins do no harm; they
//! meet each other and the other zones' roots through the endpoints they know.

use crate::event::PlatformRequest;
use crate::link::{Link, Purpose, Role};
use crate::node::Node;
use crate::parent::Source;
use config::State;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::control::Peer;

/// Time between two dials of a lost neighbour; a process starts in about a second.
const REDIAL_INTERVAL: Duration = Duration::from_millis(700);

/// How long a lost neighbour is dialled: the slowest restart of a VM, and a bit.
const REDIAL_FOR: Duration = Duration::from_secs(20);

/// Lost neighbours that are dialled; a root has 16 children and some equals.
const MAX_REDIALS: usize = 32;

/// Least time without a root before a node stands in; as long again at random,
/// so that the others of the zone mostly find the first one that does.
const STAND_IN: Duration = Duration::from_millis(500);

/// Time between a stand-in's rounds: it asks for the leases and dials one more
/// node of each zone that it has no link to.
const ROUND: Duration = Duration::from_millis(700);

/// A neighbour that was lost.
#[derive(Debug, Clone, Copy)]
struct Redial {
    address: SocketAddr,
    next_at: Instant,
    until: Instant,
}

/// What a node does about an outage of the platform.
#[derive(Debug, Default)]
pub(crate) struct OutageState {
    /// Whether the platform left the last question without an answer.
    is_out: bool,
    redials: BTreeMap<SmolStr, Redial>,
    stand_in_at: Option<Instant>,
    round_at: Option<Instant>,
    /// Rounds so far, for dialling other nodes in each.
    rounds: usize,
}

impl OutageState {
    pub(crate) fn deadline(&self) -> Option<Instant> {
        let redials = self.redials.values().map(|redial| redial.next_at);
        let others = [self.stand_in_at, self.round_at].into_iter().flatten();
        redials.chain(others).min()
    }
}

impl Node {
    /// Notes whether the platform answered.
    pub(crate) fn record_platform_response(&mut self, now: Instant, answers: bool) {
        self.outage.is_out = !answers;
        if answers {
            self.outage.stand_in_at = None;
            self.outage.round_at = None;
            if self.lease.is_acting() {
                self.step_aside(now);
            }
        }
    }

    /// Begins to dial a neighbour that was lost.
    pub(crate) fn start_redial(&mut self, peer: &Peer, now: Instant) {
        if self.outage.redials.len() < MAX_REDIALS && !self.is_leaving {
            let redial = Redial {
                address: peer.address,
                next_at: now + REDIAL_INTERVAL,
                until: now + REDIAL_FOR,
            };
            self.outage.redials.insert(peer.node.clone(), redial);
        }
    }

    /// Notes that a neighbour is linked again.
    pub(crate) fn stop_redial(&mut self, node: &str) {
        self.outage.redials.remove(node);
    }

    pub(crate) fn step_outage(&mut self, now: Instant) {
        if self.is_leaving {
            self.outage = OutageState::default();
            return;
        }
        self.dial_lost(now);
        self.stand_in(now);
        if self.outage.round_at.is_some_and(|at| now >= at) {
            self.outage.round_at = Some(now + ROUND);
            self.outage.rounds += 1;
            self.actions.push(crate::event::Action::QueryPlatform(
                PlatformRequest::Leases { is_exact: true },
            ));
            self.meet_known(now);
        }
    }

    fn dial_lost(&mut self, now: Instant) {
        self.outage.redials.retain(|_, redial| now < redial.until);
        let is_rooted = self.has_root();
        let due = self.outage.redials.values_mut();
        let due: Vec<_> = due
            .filter(|redial| now >= redial.next_at)
            .map(|redial| {
                redial.next_at = now + REDIAL_INTERVAL;
                redial.address
            })
            .collect();
        // Without a root there is nothing yet to invite it to.
        for address in due.into_iter().filter(|_| is_rooted) {
            self.dial(address, Purpose::Meet, now);
        }
    }

    fn stand_in(&mut self, now: Instant) {
        let wants = self.outage.is_out && self.gate.is_open() && !self.has_root();
        if !wants {
            self.outage.stand_in_at = None;
            return;
        }
        let Some(at) = self.outage.stand_in_at else {
            let wait = STAND_IN + self.jitter(STAND_IN);
            self.outage.stand_in_at = Some(now + wait);
            self.learn_neighbours(now);
            return;
        };
        if now < at || self.lease.is_root() {
            return;
        }
        self.outage.stand_in_at = None;
        self.outage.round_at = Some(now);
        self.lease.start_acting();
        for parent in self.find_links(|link| link.role == Role::Parent) {
            self.close(parent);
        }
        self.search.stop();
        if let Some(dialled) = self.search.take_pending_dial() {
            self.close(dialled);
        }
        self.propagate_path(vec![self.settings.local.node.clone()]);
    }

    /// Takes the nodes of the own zone for possible parents: one of them may stand in.
    fn learn_neighbours(&mut self, now: Instant) {
        for address in self.known_nodes(|zone, own| zone == own) {
            self.candidates.add(address, Source::Hint, now);
        }
    }

    fn known_nodes<F>(&self, is_wanted: F) -> Vec<SocketAddr>
    where
        F: Fn(&str, &str) -> bool,
    {
        let own = &self.settings.local;
        let others = self.table.iter().filter(|one| one.node != own.node);
        let living = others.filter(|one| one.state != State::Gone);
        living
            .filter(|one| is_wanted(&one.zone, &own.zone))
            .map(|one| one.address)
            .take(crate::parent::MAX_CANDIDATES / 2)
            .collect()
    }

    /// Dials a node of each zone that no link leads to, and one of the own zone.
    fn meet_known(&mut self, now: Instant) {
        let linked = |node: &str| {
            let mut links = self.links.values().filter(|link| link.is_established());
            links.any(|link| link.peer.as_ref().is_some_and(|peer| peer.node == node))
        };
        let mut zones: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        let own = &self.settings.local;
        for one in self.table.iter() {
            let is_met = one.zone != own.zone && self.meets_zone(&one.zone);
            if one.node != own.node && one.state != State::Gone && !is_met && !linked(&one.node) {
                zones.entry(&one.zone).or_default().push(one.address);
            }
        }
        let round = self.outage.rounds;
        let chosen: Vec<_> = zones
            .values()
            .map(|nodes| nodes[round % nodes.len()])
            .collect();
        for address in chosen {
            self.dial(address, Purpose::Meet, now);
        }
    }

    fn meets_zone(&self, zone: &str) -> bool {
        let is_there = |link: &Link| link.peer.as_ref().is_some_and(|peer| peer.zone == zone);
        let mut equals = self
            .links
            .values()
            .filter(|link| link.role == Role::RootPeer);
        equals.any(is_there)
    }

    /// Gives the place of a root up, as the platform can give out leases again.
    fn step_aside(&mut self, now: Instant) {
        self.lease.stop_acting();
        self.leave_equals();
        self.set_path(Vec::new());
        self.start_search(now);
    }

    /// Takes the sender of a first frame that this node can't answer as wished for one to join.
    pub(crate) fn add_caller_as_candidate(&mut self, peer: &Peer, now: Instant) {
        if self.has_root() {
            return;
        }
        let source = if peer.zone == self.settings.local.zone {
            Source::Root
        } else {
            Source::OtherZone
        };
        self.candidates.add(peer.address, source, now);
        if source == Source::Root {
            self.search.retry_at(now);
        }
    }
}
