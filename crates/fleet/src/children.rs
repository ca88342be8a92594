//! Admission of nodes as children.
//!
//! Load pattern: all 1,000 nodes of a zone restart at once, and all of them ask the zone's three
//! roots for admission. To each new child, a parent sends the full configuration and the list of
//! endpoints, about a megabyte. Without a limit, the roots would send gigabytes and answer no node
//! in time. A node therefore admits children only up to a fixed number, and at a rate that is
//! limited by the bytes to be sent to them. A node that is refused learns at once when to retry and
//! which other nodes to ask, so that the tree grows level by level.

use crate::link::{LinkKey, Role};
use crate::node::Node;
use rand::seq::IndexedRandom;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::control::{Frame, Peer};

/// Maximum number of children of a node that is not a root.
pub const FAN_OUT: usize = 24;

/// Maximum number of children of a root, which also has links to the other roots.
///
/// The two levels below a zone's three roots then have room for 48 + 48 × 24 = 1,200 nodes.
pub const ROOT_FAN_OUT: usize = 16;

/// Maximum number of nodes on a path from a root to a leaf, both included; longer paths would add
/// hops but no capacity.
pub const MAX_DEPTH: usize = 6;

/// Maximum total time to send the data of all recently admitted children: enough for eight children
/// with a megabyte each.
pub const JOIN_BURST: Duration = Duration::from_millis(1_600);

/// Time to send one byte to a new child, at 40 Mbit/s.
///
/// The rate of admission is limited by bytes and not by the number of children. With one child
/// every 200 ms, the 20 nodes of a zone had to wait for each other after all of them were
/// restarted, although a hundred endpoints and 2,000 routes are just 18 kB, at [`ENDPOINT_BYTES`]
/// and [`ROUTE_BYTES`] each.
const JOIN_TIME_PER_BYTE: Duration = Duration::from_nanos(200);

/// Bytes that one endpoint takes up when it is sent to a new child.
const ENDPOINT_BYTES: u32 = 60;

/// Bytes that one route takes up in the compressed configuration: the names of one host's routes
/// differ in a few characters only.
const ROUTE_BYTES: u32 = 6;

/// Retry delay that a node sends when it refuses a child because it has its maximum number of
/// children, which won't change soon. A node that is not a root also sends it in reply to
/// [`Frame::Meet`].
pub const RETRY_AFTER_FULL: Duration = Duration::from_secs(5);

/// Retry delay that a node sends when it can't be the parent of the asking node now: it has no path
/// to a root, does not serve yet, is shutting down, or is a descendant of the asking node.
pub const RETRY_AFTER_UNREADY: Duration = Duration::from_millis(250);

/// Maximum number of other candidates for a parent that are named in one reply.
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
        // When a child reconnects, its new link replaces the old one.
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
        self.join_limiter.admit(now, self.join_sending_time())
    }

    /// Returns the time to send the configuration and the endpoints to a new child.
    fn join_sending_time(&self) -> Duration {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let endpoints = count(self.endpoint_table.iter().count()).saturating_mul(ENDPOINT_BYTES);
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
            // The dialling root starts an exchange of checksums that completes only its own
            // endpoints. This root therefore starts another exchange.
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
