//! Admission of nodes as children.
//!
//! Load pattern: a zone of 1,000 nodes restarts at once, and all ask its three roots. For each new
//! child, the parent sends the full configuration and list of endpoints, about a megabyte.
//! Without a limit, the roots would send gigabytes and answer no node in time. Children are
//! therefore admitted up to a fixed number, and at a rate limited by the bytes to be sent. A node
//! that is refused learns at once when to retry and which other nodes to ask, and the tree grows
//! level by level.

use crate::link::{LinkKey, Role};
use crate::node::Node;
use rand::seq::IndexedRandom;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::control::{Frame, Peer};

/// Most children of a node that is not a root.
pub const FAN_OUT: usize = 24;

/// Most children of a root, which also has links to the other roots.
///
/// Three roots then have capacity for 48 + 48 × 24 = 1,200 nodes.
pub const ROOT_FAN_OUT: usize = 16;

/// Longest path from a root to a leaf: longer ones would add hops but no capacity.
pub const MAX_DEPTH: usize = 6;

/// Maximum sending time of all recently admitted children together: eight of a megabyte each.
pub const JOIN_BURST: Duration = Duration::from_millis(1_600);

/// Time to send a byte to a new child, at 40 Mbit/s.
///
/// The limit is on bytes, not on the number of children: at one child every 200 ms, the 20 nodes
/// of a zone had to wait for each other after a restart of all, although a hundred endpoints and
/// 2,000 routes are just 18 kB by the figures below.
const JOIN_TIME_PER_BYTE: Duration = Duration::from_nanos(200);

/// Bytes of an endpoint sent to a new child.
const ENDPOINT_BYTES: u32 = 60;

/// Bytes of a compressed route: the names on one host differ in a few characters only.
const ROUTE_BYTES: u32 = 6;

/// Retry delay given by a node without capacity, as it won't have any soon.
pub const RETRY_AFTER_FULL: Duration = Duration::from_secs(5);

/// Retry delay given by a node that has no path to a root or is not ready.
pub const RETRY_AFTER_UNREADY: Duration = Duration::from_millis(250);

/// Most other parents named in one reply.
pub const MAX_HINTS: usize = 8;

impl Node {
    /// Handles the handshake frame of a peer that has connected.
    pub(crate) fn on_handshake(&mut self, now: Instant, key: LinkKey, frame: &Frame) {
        match frame {
            Frame::Join { address, version } => {
                self.set_address(key, *address);
                match self.check_join(key, now) {
                    Ok(()) => self.admit(now, key, Role::Child, *version),
                    Err(retry_after) => self.refuse(key, retry_after),
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
                        self.add_refused_root(&peer, now);
                    }
                }
            }
            Frame::QueryVersion => self.refuse(key, Duration::ZERO),
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
        // A child that reconnects replaces its old link.
        let is_same = |other: &SmolStr| *other == name;
        let replaced = self.find_links(|link| {
            link.role == Role::Child && link.peer.as_ref().is_some_and(|peer| is_same(&peer.node))
        });
        for link in replaced {
            self.close(link);
        }
        if self.child_capacity() == 0 {
            return Err(RETRY_AFTER_FULL);
        }
        self.join_limiter.admit(now, self.join_cost())
    }

    /// Returns the time to send the configuration and the endpoints to a new child.
    fn join_cost(&self) -> Duration {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let endpoints = count(self.table.iter().count()).saturating_mul(ENDPOINT_BYTES);
        let routes = count(self.replica.held().mesh().routes.len()).saturating_mul(ROUTE_BYTES);
        JOIN_TIME_PER_BYTE.saturating_mul(endpoints.saturating_add(routes))
    }

    /// Returns the number of further children that this node accepts.
    pub(crate) fn child_capacity(&self) -> u8 {
        let is_able = self.has_root() && self.is_ready() && self.path.len() < MAX_DEPTH;
        if !is_able || self.is_leaving {
            return 0;
        }
        let limit = if self.lease.is_root() {
            ROOT_FAN_OUT
        } else {
            FAN_OUT
        };
        let remaining = limit.saturating_sub(self.count_links(Role::Child));
        u8::try_from(remaining).unwrap_or(u8::MAX)
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
        if role == Role::RootPeer && !self.has_synced_endpoints {
            // The checksum exchange that the dialling root starts completes only that root's
            // endpoints. This root therefore starts one too.
            self.send_checksums(key, false);
        }
    }

    fn refuse(&mut self, key: LinkKey, retry_after: Duration) {
        let frame = Frame::Refuse {
            wait_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            version: self.version(),
            is_ready: self.is_ready(),
            parents: self.parent_hints(key),
        };
        self.send(key, frame);
        self.close(key);
    }

    /// Returns other parents for the peer of `key`: children with capacity, this node's own parent,
    /// and the zone's roots.
    pub(crate) fn parent_hints(&mut self, key: LinkKey) -> Vec<Peer> {
        let zone = &self.settings.local.zone;
        let name = self.peer_name(key).unwrap_or_default();
        let available = self.links.iter().filter(|(other, link)| {
            **other != key
                && (link.role == Role::Parent
                    || (link.role == Role::Child && link.child_capacity > 0))
        });
        let available: Vec<_> = available
            .filter_map(|(_, link)| link.peer.clone())
            .collect();
        let mut hints: Vec<_> = available
            .choose_multiple(&mut self.rng, MAX_HINTS)
            .cloned()
            .collect();
        let leases = self.lease.leases().iter().filter(|lease| lease.is_live);
        hints.extend(
            leases
                .map(|lease| &lease.holder)
                .filter(|holder| holder.zone == *zone)
                .cloned(),
        );
        hints.retain(|hint| hint.zone == *zone && hint.node != name);
        hints.truncate(MAX_HINTS);
        hints
    }
}
