//! One link to another node, and whether it still lives.

use config::Version;
use std::time::{Duration, Instant};
use wire::control::{Beat, Part, Peer, Status};

/// Time between signs of life: 27 bytes a second each way.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A peer that said nothing for so long is lost: three beats and a half, so
/// that two may be late, and a new parent is found well within 6 s.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// A peer that hasn't heard us for so long is lost; one beat more, as what it
/// heard comes back with its next beat.
pub const ECHO_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Longest wait for a connection or for the answer to the first frame.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait for the connection alone, to a parent in the own zone.
///
/// A VM without power answers nothing, and its name stands in leases and lists
/// for some seconds more: after a restart of all, a node would spend most of its time
/// on one. A VM of a tenth of a core that starts up itself answers within a fraction
/// of this.
const SAME_ZONE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Names a link of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkKey(pub u64);

/// What a link that is being opened is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// To find a parent.
    Join,
    /// To reach another root.
    Meet,
    /// To hear what another node holds.
    Ask,
}

/// What the peer is to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Being connected, or waits for the answer to its first frame.
    Dialled(Purpose),
    /// Accepted; its first frame will tell.
    Accepted,
    /// The parent.
    Parent,
    /// A child.
    Child,
    /// Another root.
    RootPeer,
}

/// One link to another node.
#[derive(Debug)]
pub(crate) struct Link {
    /// Who is at the other end, once known.
    pub(crate) peer: Option<Peer>,
    /// What the peer is to this node.
    pub(crate) role: Role,
    /// Version that the peer holds or was sent.
    pub(crate) version: Version,
    /// Children that the peer would still take.
    pub(crate) child_capacity: u8,
    /// What the peer's part of the fleet holds.
    pub(crate) status: Option<Status>,
    /// What it was told last.
    pub(crate) sent_status: Option<Status>,
    /// What the peer's part of the fleet has counted of roll-outs.
    pub(crate) tallies: Vec<Part>,
    /// What it was told of them last.
    pub(crate) sent_tallies: Vec<Part>,
    /// Beats in a row that showed other endpoints than ours.
    pub(crate) mismatches: u8,
    opened_at: Instant,
    last_heard: Instant,
    sent_count: u32,
    received_count: u32,
    echoed_count: u32,
    echoed_at: Instant,
}

impl Link {
    pub(crate) fn new(role: Role, peer: Option<Peer>, now: Instant) -> Self {
        Self {
            peer,
            role,
            version: Version::ZERO,
            child_capacity: 0,
            status: None,
            sent_status: None,
            tallies: Vec::new(),
            sent_tallies: Vec::new(),
            mismatches: 0,
            opened_at: now,
            last_heard: now,
            sent_count: 0,
            received_count: 0,
            echoed_count: 0,
            echoed_at: now,
        }
    }

    /// Gives the link its role once both ends know it.
    pub(crate) fn establish(&mut self, role: Role, now: Instant) {
        self.role = role;
        self.last_heard = now;
        self.echoed_at = now;
    }

    /// Tells whether news flow over the link.
    pub(crate) fn is_established(&self) -> bool {
        matches!(self.role, Role::Parent | Role::Child | Role::RootPeer)
    }

    /// Gives when something last came from the peer.
    pub(crate) fn last_heard(&self) -> Instant {
        self.last_heard
    }

    /// Notes that something came from the peer.
    pub(crate) fn mark_heard(&mut self, now: Instant) {
        self.last_heard = now;
    }

    /// Notes a beat of the peer's.
    pub(crate) fn record_heartbeat(&mut self, beat: &Beat, now: Instant) {
        self.received_count = beat.count;
        self.child_capacity = beat.room;
        if beat.echo > self.echoed_count {
            self.echoed_count = beat.echo;
            self.echoed_at = now;
        }
        if let Some(status) = &beat.status {
            self.status = Some(status.clone());
        }
    }

    /// Gives the counters of the next beat: its own and the peer's.
    pub(crate) fn next_heartbeat_counts(&mut self) -> (u32, u32) {
        self.sent_count += 1;
        (self.sent_count, self.received_count)
    }

    /// Gives when the link is lost unless something comes before.
    ///
    /// Guards against a connection that goes silent because something between
    /// the ends has lost track of it: no error shows, and the node would hold
    /// yesterday's configuration for good. The echo covers the case in which
    /// only our own direction is dead: the peer's beats still come then.
    pub(crate) fn deadline(&self) -> Instant {
        if self.is_established() {
            (self.last_heard + SILENCE_TIMEOUT).min(self.echoed_at + ECHO_TIMEOUT)
        } else if self.role == Role::Dialled(Purpose::Join) && self.peer.is_none() {
            self.opened_at + SAME_ZONE_CONNECT_TIMEOUT
        } else {
            self.opened_at + DIAL_TIMEOUT
        }
    }
}
