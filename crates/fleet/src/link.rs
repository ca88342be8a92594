//! A link to another node and the detection of dead links.

use config::Version;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use wire::control::{Heartbeat, Peer, RolloutTally, Status};

/// Time between heartbeats: 27 bytes a second in each direction.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without any frame from the peer after which a link counts as dead.
///
/// 3.5 heartbeat intervals: two heartbeats in a row may be late, and a node whose parent is dead
/// still finds a new parent well within 6 s.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time without a new echo of this node's heartbeats after which a link counts as dead.
///
/// One heartbeat longer than [`SILENCE_TIMEOUT`], because the echo comes with the peer's next
/// heartbeat.
pub const ECHO_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Longest time from the start of a link to the end of its handshake.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait for the connection to a candidate parent in the same zone, without the handshake.
///
/// A VM that has lost power doesn't answer, but leases and endpoint lists still name it for some
/// seconds. With a longer timeout, a node would spend most of its time after a restart of all VMs
/// waiting for connections to such VMs. A VM with a tenth of a core that is itself starting up
/// answers within a fraction of this timeout.
const SAME_ZONE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of heartbeats whose sending times are kept, to relate readings of the platform to them.
const KEPT_HEARTBEATS: usize = 8;

/// Identifies a link of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkKey(pub u64);

/// Why a link is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// To join the tree as a child of the peer.
    Join,
    /// To link to another root.
    Meet,
    /// To query the version that the peer holds.
    QueryVersion,
}

/// The state of a link and, once the link is established, the peer's relation to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Dialled by this node; connecting, or waiting for the reply to the handshake frame.
    Dialled(Purpose),
    /// Accepted by this node; waiting for the peer's handshake frame.
    Accepted,
    /// The peer is this node's parent.
    Parent,
    /// The peer is a child of this node.
    Child,
    /// Both nodes are roots.
    RootPeer,
}

/// One link to another node.
#[derive(Debug)]
pub(crate) struct Link {
    /// The node at the other end, once known.
    pub(crate) peer: Option<Peer>,
    /// State of the link, and the peer's relation to this node.
    pub(crate) role: Role,
    /// Highest version that the peer is known to hold or was sent.
    pub(crate) version: Version,
    /// Number of further children that the peer accepts.
    pub(crate) child_capacity: u8,
    /// Latest status of the peer's part of the fleet.
    pub(crate) status: Option<Status>,
    /// Status last sent to the peer.
    pub(crate) sent_status: Option<Status>,
    /// Latest roll-out tallies of the peer's part of the fleet.
    pub(crate) tallies: Vec<RolloutTally>,
    /// Roll-out tallies last sent to the peer.
    pub(crate) sent_tallies: Vec<RolloutTally>,
    /// Number of consecutive heartbeats of the peer whose endpoint checksum differed from this
    /// node's.
    pub(crate) mismatches: u8,
    /// Moment of the youngest reading of the platform that the peer is known to have.
    pub(crate) reading_at: Option<Instant>,
    /// The last heartbeats that were sent, by number, and when.
    sent_at: VecDeque<(u32, Instant)>,
    /// Number and arrival of the last heartbeat received.
    last_received: Option<(u32, Instant)>,
    opened_at: Instant,
    last_heard: Instant,
    heartbeats_sent: u32,
    highest_echo: u32,
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
            reading_at: None,
            sent_at: VecDeque::new(),
            last_received: None,
            opened_at: now,
            last_heard: now,
            heartbeats_sent: 0,
            highest_echo: 0,
            echoed_at: now,
        }
    }

    /// Sets the role once the handshake is complete.
    pub(crate) fn establish(&mut self, role: Role, now: Instant) {
        self.role = role;
        self.last_heard = now;
        self.echoed_at = now;
    }

    /// Returns whether the handshake is complete, so that updates are exchanged.
    pub(crate) fn is_established(&self) -> bool {
        matches!(self.role, Role::Parent | Role::Child | Role::RootPeer)
    }

    /// Records that a frame arrived from the peer.
    pub(crate) fn mark_heard(&mut self, now: Instant) {
        self.last_heard = now;
    }

    /// Records a heartbeat of the peer.
    pub(crate) fn record_heartbeat(&mut self, beat: &Heartbeat, now: Instant) {
        self.last_received = Some((beat.count, now));
        self.child_capacity = beat.child_capacity;
        if beat.echo > self.highest_echo {
            self.highest_echo = beat.echo;
            self.echoed_at = now;
        }
        if let Some(status) = &beat.status {
            self.status = Some(status.clone());
        }
    }

    /// Returns the `count` and the `echo` of the next heartbeat: the number of this heartbeat, and
    /// the number of the last heartbeat received from the peer.
    pub(crate) fn next_heartbeat_counts(&mut self, now: Instant) -> (u32, u32) {
        self.heartbeats_sent += 1;
        self.sent_at.push_back((self.heartbeats_sent, now));
        if self.sent_at.len() > KEPT_HEARTBEATS {
            self.sent_at.pop_front();
        }
        let echo = self.last_received.map_or(0, |(count, _)| count);
        (self.heartbeats_sent, echo)
    }

    /// Returns when the heartbeat `count` was sent, if it is one of the last.
    pub(crate) fn heartbeat_sent_at(&self, count: u32) -> Option<Instant> {
        let mut sent = self.sent_at.iter();
        sent.find(|(other, _)| *other == count).map(|(_, at)| *at)
    }

    /// Returns number and arrival of the last heartbeat received.
    pub(crate) fn last_received(&self) -> Option<(u32, Instant)> {
        self.last_received
    }

    /// Forgets all times that readings of the platform are related to.
    pub(crate) fn forget_readings(&mut self) {
        self.reading_at = None;
        self.sent_at.clear();
        self.last_received = None;
    }

    /// Returns when the link counts as dead unless the peer is heard from before.
    ///
    /// Guards against a connection that goes silent because a network device between the nodes has
    /// dropped the connection's state: neither end sees an error, and the node would keep an
    /// outdated configuration forever. The echo covers the case in which only the direction towards
    /// the peer is dead: the peer's heartbeats still arrive then.
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
