//! How nodes find each other during an outage of the platform.
//!
//! Load pattern: nodes are restarted one after the other while the platform is down. A restarted
//! node knows no other node, and a zone that has lost all its roots cannot get new roots, because
//! no lease can be acquired. Without the measures below, such nodes refuse nearly all calls until
//! the outage is over, as they know of no endpoint but their own.
//!
//! A node that loses a neighbour *redials* it: it keeps dialling the neighbour's address, so that a
//! new process at that address learns which node to join. A node that serves, has no path to a root
//! and gets no answer from the platform becomes an *acting root* of its zone until the platform
//! answers. Leases limit load and are not needed for correctness, so two acting roots do no harm.
//! To link to each other and to the roots of other zones, acting roots dial the endpoints that they
//! know.

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

/// Interval between dials of a lost neighbour; a process starts in about a second.
const REDIAL_INTERVAL: Duration = Duration::from_millis(700);

/// How long a lost neighbour is dialled: slightly longer than the slowest restart of a VM takes.
const REDIAL_DURATION: Duration = Duration::from_secs(20);

/// Maximum number of lost neighbours that are dialled: enough for a root, which has 16 children and
/// links to some other roots.
const MAX_REDIALS: usize = 32;

/// Minimum time without a root before a node becomes an acting root.
///
/// A random time of at most the same length is added, so that one node becomes the zone's first
/// acting root and the other nodes usually find it.
const MIN_ROOTLESS_TIME: Duration = Duration::from_millis(500);

/// Interval between the rounds of an acting root.
///
/// In each round, the acting root reads the leases, and dials one node of its own zone and one node
/// of each zone that it has no link to.
const ROUND_INTERVAL: Duration = Duration::from_millis(700);

/// A lost neighbour that is being dialled.
#[derive(Debug, Clone, Copy)]
struct Redial {
    address: SocketAddr,
    next_at: Instant,
    give_up_at: Instant,
}

/// Progress of the measures against an outage of the platform.
#[derive(Debug, Default)]
pub(crate) struct OutageState {
    /// Whether the last request to the platform failed.
    platform_failed: bool,
    redials: BTreeMap<SmolStr, Redial>,
    start_acting_at: Option<Instant>,
    next_round_at: Option<Instant>,
    /// Number of rounds so far, which selects the nodes to dial.
    rounds: usize,
}

impl OutageState {
    pub(crate) fn deadline(&self) -> Option<Instant> {
        let redials = self.redials.values().map(|redial| redial.next_at);
        let others = [self.start_acting_at, self.next_round_at]
            .into_iter()
            .flatten();
        redials.chain(others).min()
    }
}

impl Node {
    /// Records whether the platform answered.
    pub(crate) fn record_platform_response(&mut self, now: Instant, has_responded: bool) {
        self.outage.platform_failed = !has_responded;
        if has_responded {
            self.outage.start_acting_at = None;
            self.outage.next_round_at = None;
            if self.lease.is_acting() {
                self.resign_acting_root(now);
            }
        }
    }

    /// Starts dialling a lost neighbour.
    pub(crate) fn start_redial(&mut self, peer: &Peer, now: Instant) {
        if self.outage.redials.len() < MAX_REDIALS && !self.is_leaving {
            let redial = Redial {
                address: peer.address,
                next_at: now + REDIAL_INTERVAL,
                give_up_at: now + REDIAL_DURATION,
            };
            self.outage.redials.insert(peer.node.clone(), redial);
        }
    }

    /// Stops dialling a neighbour that is linked again.
    pub(crate) fn stop_redial(&mut self, node: &str) {
        self.outage.redials.remove(node);
    }

    pub(crate) fn step_outage(&mut self, now: Instant) {
        if self.is_leaving {
            self.outage = OutageState::default();
            return;
        }
        self.dial_lost_neighbours(now);
        self.step_acting_root(now);
        if self.outage.next_round_at.is_some_and(|at| now >= at) {
            self.outage.next_round_at = Some(now + ROUND_INTERVAL);
            self.outage.rounds += 1;
            self.actions.push(crate::event::Action::QueryPlatform(
                PlatformRequest::Leases { is_exact: true },
            ));
            self.dial_unlinked_zones(now);
        }
    }

    fn dial_lost_neighbours(&mut self, now: Instant) {
        self.outage
            .redials
            .retain(|_, redial| now < redial.give_up_at);
        let has_root = self.has_root();
        let due = self.outage.redials.values_mut();
        let due: Vec<_> = due
            .filter(|redial| now >= redial.next_at)
            .map(|redial| {
                redial.next_at = now + REDIAL_INTERVAL;
                redial.address
            })
            .collect();
        // Without a path to a root, this node has no tree that the neighbour could join.
        for address in due.into_iter().filter(|_| has_root) {
            self.dial(address, Purpose::Meet, now);
        }
    }

    fn step_acting_root(&mut self, now: Instant) {
        let is_needed =
            self.outage.platform_failed && self.readiness_gate.is_open() && !self.has_root();
        if !is_needed {
            self.outage.start_acting_at = None;
            return;
        }
        let Some(at) = self.outage.start_acting_at else {
            let wait = MIN_ROOTLESS_TIME + self.jitter(MIN_ROOTLESS_TIME);
            self.outage.start_acting_at = Some(now + wait);
            self.add_zone_candidates(now);
            return;
        };
        if now < at || self.lease.is_root() {
            return;
        }
        self.outage.start_acting_at = None;
        self.outage.next_round_at = Some(now);
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

    /// Adds the nodes of this zone as parent candidates: one of these nodes may be an acting root.
    fn add_zone_candidates(&mut self, now: Instant) {
        for address in self.known_nodes(|zone, own| zone == own) {
            self.candidates.add(address, Source::Hint, now);
        }
    }

    fn known_nodes<F>(&self, is_wanted: F) -> Vec<SocketAddr>
    where
        F: Fn(&str, &str) -> bool,
    {
        let own = &self.settings.local;
        let others = self
            .endpoint_table
            .iter()
            .filter(|endpoint| endpoint.node != own.node);
        let present = others.filter(|endpoint| endpoint.state != State::Gone);
        present
            .filter(|endpoint| is_wanted(&endpoint.zone, &own.zone))
            .map(|endpoint| endpoint.address)
            .take(crate::parent::MAX_CANDIDATES / 2)
            .collect()
    }

    /// Dials one node of each other zone without a root that is linked to this one, and one
    /// unlinked node of this root's own zone.
    fn dial_unlinked_zones(&mut self, now: Instant) {
        let is_linked = |node: &str| {
            let mut links = self.links.values().filter(|link| link.is_established());
            links.any(|link| link.peer.as_ref().is_some_and(|peer| peer.node == node))
        };
        let mut zones: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        let own = &self.settings.local;
        for endpoint in self.endpoint_table.iter() {
            let is_linked_zone = endpoint.zone != own.zone && self.has_root_link_to(&endpoint.zone);
            if endpoint.node != own.node
                && endpoint.state != State::Gone
                && !is_linked_zone
                && !is_linked(&endpoint.node)
            {
                zones
                    .entry(&endpoint.zone)
                    .or_default()
                    .push(endpoint.address);
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

    fn has_root_link_to(&self, zone: &str) -> bool {
        let is_in_zone = |link: &Link| link.peer.as_ref().is_some_and(|peer| peer.zone == zone);
        let mut root_links = self
            .links
            .values()
            .filter(|link| link.role == Role::RootPeer);
        root_links.any(is_in_zone)
    }

    /// Resigns as acting root, because the platform answers again and can grant leases.
    fn resign_acting_root(&mut self, now: Instant) {
        self.lease.stop_acting();
        self.leave_other_roots();
        self.set_path(Vec::new());
        self.start_search(now);
    }

    /// Adds a root to the candidates after this node has refused the root's `Meet` frame, because
    /// this node is not a root itself.
    pub(crate) fn add_refused_root(&mut self, peer: &Peer, now: Instant) {
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
