//! Whom a node takes as a child.
//!
//! Load pattern: a zone of 1,000 nodes restarts at once and asks its three
//! roots. Each new child costs its parent the whole configuration and list of
//! endpoints, about a megabyte. Without a bound the roots would send
//! gigabytes and answer nobody in time. So children are taken up to a fixed
//! number and at a rate bounded by what they cost; the others learn at once when to come back
//! and whom else to ask, and the tree grows level by level.

use crate::link::{LinkKey, Role};
use crate::node::Node;
use rand::seq::IndexedRandom;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::control::{Frame, Peer};

/// Children of one node that is no root.
pub const FAN_OUT: usize = 24;

/// Children of a root, which also has links to the other roots: three roots
/// then make room for 48 + 48 × 24 = 1,200 nodes.
pub const ROOT_FAN_OUT: usize = 16;

/// Longest path from a root to a leaf; deeper ones would add hops, not room.
pub const MAX_DEPTH: usize = 6;

/// What children that were just taken may cost together: eight of a megabyte.
pub const JOIN_BURST: Duration = Duration::from_millis(1_600);

/// Time that a byte for a new child takes, at 40 Mbit/s.
///
/// Children are let in by what they cost and not by their number: at one each
/// 200 ms the 20 nodes of a zone waited for each other after a restart of all,
/// though a hundred endpoints and 2,000 routes are 18 kB by the figures below.
const JOIN_TIME_PER_BYTE: Duration = Duration::from_nanos(200);

/// Bytes of an endpoint on its way to a new child.
const ENDPOINT_BYTES: u32 = 60;

/// Bytes of a route, compressed: names of one host differ in a few characters.
const ROUTE_BYTES: u32 = 6;

/// Wait given by a node that has no room; it will not have any soon.
pub const RETRY_AFTER_FULL: Duration = Duration::from_secs(5);

/// Wait given by a node that has no root itself or is not ready.
pub const RETRY_AFTER_UNREADY: Duration = Duration::from_millis(250);

/// Other parents named in one answer.
pub const MAX_HINTS: usize = 8;

impl Node {
    /// Takes the first frame of a peer that connected.
    pub(crate) fn on_handshake(&mut self, now: Instant, key: LinkKey, frame: &Frame) {
        match frame {
            Frame::Join { address, version } => {
                self.set_address(key, *address);
                match self.check_join(key, now) {
                    Ok(()) => self.admit(now, key, Role::Child, *version),
                    Err(wait) => self.refuse(key, wait),
                }
            }
            Frame::Meet { address, version } => {
                self.set_address(key, *address);
                if self.lease.is_root() && !self.is_leaving {
                    self.admit(now, key, Role::RootPeer, *version);
                } else {
                    let peer = self.links.get(&key).and_then(|link| link.peer.clone());
                    self.refuse(key, RETRY_AFTER_FULL);
                    if let Some(peer) = peer {
                        self.add_caller_as_candidate(&peer, now);
                    }
                }
            }
            Frame::Ask => self.refuse(key, Duration::ZERO),
            _ => {
                self.close(key);
            }
        }
    }

    fn set_address(&mut self, key: LinkKey, address: SocketAddr) {
        if let Some(peer) = self.links.get_mut(&key).and_then(|link| link.peer.as_mut()) {
            peer.address = address;
        }
    }

    fn check_join(&mut self, key: LinkKey, now: Instant) -> Result<(), Duration> {
        let name = self.peer_name(key).unwrap_or_default();
        if !self.has_root() || !self.is_ready() || self.is_leaving || self.path.contains(&name) {
            return Err(RETRY_AFTER_UNREADY);
        }
        // A child that reconnects takes its own place, not a further one.
        let is_old = |other: &SmolStr| *other == name;
        let old = self.find_links(|link| {
            link.role == Role::Child && link.peer.as_ref().is_some_and(|peer| is_old(&peer.node))
        });
        for old in old {
            self.close(old);
        }
        if self.child_capacity() == 0 {
            return Err(RETRY_AFTER_FULL);
        }
        self.join_limiter.admit(now, self.join_cost())
    }

    /// Gives how long the configuration and the endpoints take to go out to a new child.
    fn join_cost(&self) -> Duration {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let endpoints = count(self.table.iter().count()).saturating_mul(ENDPOINT_BYTES);
        let routes = count(self.replica.held().mesh().routes.len()).saturating_mul(ROUTE_BYTES);
        JOIN_TIME_PER_BYTE.saturating_mul(endpoints.saturating_add(routes))
    }

    /// Counts the children that this node would still take.
    pub(crate) fn child_capacity(&self) -> u8 {
        let is_able = self.has_root() && self.is_ready() && self.path.len() < MAX_DEPTH;
        if !is_able || self.is_leaving {
            return 0;
        }
        let most = if self.lease.is_root() {
            ROOT_FAN_OUT
        } else {
            FAN_OUT
        };
        let free = most.saturating_sub(self.count_links(Role::Child));
        u8::try_from(free).unwrap_or(u8::MAX)
    }

    fn admit(&mut self, now: Instant, key: LinkKey, role: Role, version: config::Version) {
        let frame = Frame::Admit {
            path: self.path.clone(),
            version: self.version(),
            is_ready: self.is_ready(),
            parents: self.parent_hints(key),
        };
        self.send(key, frame);
        self.establish_link(now, key, role, version);
        if role == Role::RootPeer && !self.is_synced {
            // The caller learns what this one knows by its own question only.
            self.send_sums(key, false);
        }
    }

    fn refuse(&mut self, key: LinkKey, wait: Duration) {
        let frame = Frame::Refuse {
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            version: self.version(),
            is_ready: self.is_ready(),
            parents: self.parent_hints(key),
        };
        self.send(key, frame);
        self.close(key);
    }

    /// Names other parents for the peer of `key`: children with room, the own parent, roots of the zone.
    pub(crate) fn parent_hints(&mut self, key: LinkKey) -> Vec<Peer> {
        let zone = &self.settings.local.zone;
        let name = self.peer_name(key).unwrap_or_default();
        let roomy = self.links.iter().filter(|(other, link)| {
            **other != key
                && (link.role == Role::Parent
                    || (link.role == Role::Child && link.child_capacity > 0))
        });
        let roomy: Vec<_> = roomy.filter_map(|(_, link)| link.peer.clone()).collect();
        let mut hints: Vec<_> = roomy
            .choose_multiple(&mut self.rng, MAX_HINTS)
            .cloned()
            .collect();
        let seats = self.lease.leases().iter().filter(|seat| seat.is_live);
        hints.extend(
            seats
                .map(|seat| &seat.holder)
                .filter(|holder| holder.zone == *zone)
                .cloned(),
        );
        hints.retain(|hint| hint.zone == *zone && hint.node != name);
        hints.truncate(MAX_HINTS);
        hints
    }
}
