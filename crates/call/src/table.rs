//! The attempt table of an inbound proxy: the state and outcome of each received attempt.
//!
//! The table answers one question reliably: was this attempt passed to a
//! backend server, or will it be? Attempts of one outbound proxy arrive over
//! numbered links, in the order of their sequence numbers. One number per link,
//! the highest sequence number received, therefore distinguishes attempts that
//! never arrived from those that the table no longer stores. One number per
//! peer, the lowest valid link, permanently rejects attempts that arrive late.
//! Neither number takes more memory as calls accumulate.

use crate::Id;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long the outcome of an attempt is kept for a query from the peer.
///
/// A peer sends a query after it has detected that its link is silent (1 s) and
/// has opened a new one (at most 1 s, unless the network is partitioned), and
/// only while its caller waits. An attempt whose outcome is evicted sooner is
/// reported as one that may have run.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(10);

/// How long a peer's link state is kept after the peer was last heard from.
///
/// Linux gives up on an unacknowledged segment after 924 s (`tcp_retries2`), so nothing that a peer
/// sent can arrive later than that.
pub const PEER_RETENTION: Duration = Duration::from_mins(20);

/// Maximum number of outcomes kept; the oldest are evicted first.
///
/// A backend server with 6 slots and 10 ms per call finishes 600 calls per
/// second, which is 6,000 in 10 s.
pub const MAX_OUTCOMES: usize = 8_192;

/// Whether an attempt that has just arrived is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The attempt is accepted and queued.
    Queued,
    /// The link was invalidated before the attempt arrived: the attempt must not run.
    Late,
    /// The attempt or a later one has already arrived over this link: the attempt must not run, or
    /// not run again.
    Duplicate,
}

/// The state of an attempt that a peer queries.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome<'a, S> {
    /// The attempt never arrived and can no longer be accepted.
    NeverReceived,
    /// The attempt was still queued and has now been withdrawn.
    Withdrawn(&'a S),
    /// The attempt is running.
    Running(&'a S),
    /// The attempt has finished; the stored value contains its result.
    Finished(&'a S),
    /// Nothing certain is known: the outcome was evicted, or the link is still valid or no longer
    /// tracked.
    Unknown,
}

/// Links tracked per peer; the outcome of attempts on older links is unknown.
///
/// A peer opens a new link only after the previous one failed, at most once a
/// second, and queries an attempt within its caller's deadline.
const MAX_LINKS_PER_PEER: usize = 64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Running,
    Finished,
}

#[derive(Debug)]
struct Entry<S> {
    stage: Stage,
    call: S,
}

/// The state of the links from one peer: an incarnation of an outbound proxy.
#[derive(Debug)]
struct Peer {
    /// Links with lower numbers are invalid.
    lowest_valid_link: u64,
    /// Highest sequence number received, by link.
    highest_received: BTreeMap<u64, u64>,
    /// Links with lower numbers have been evicted from `highest_received`.
    lowest_tracked_link: u64,
    last_seen: Instant,
}

/// The attempts received by an inbound proxy; `S` is the value that the proxy stores for each
/// attempt.
#[derive(Debug)]
pub struct AttemptTable<S> {
    peers: HashMap<u64, Peer>,
    attempts: HashMap<Id, Entry<S>>,
    finished: VecDeque<(Instant, Id)>,
}

impl<S> Default for AttemptTable<S> {
    fn default() -> Self {
        Self {
            peers: HashMap::new(),
            attempts: HashMap::new(),
            finished: VecDeque::new(),
        }
    }
}

impl<S> AttemptTable<S> {
    /// Returns the state of a peer and records that it was heard from.
    fn touch_peer(&mut self, origin: u64, now: Instant) -> &mut Peer {
        let peer = self.peers.entry(origin).or_insert_with(|| Peer {
            lowest_valid_link: 0,
            highest_received: BTreeMap::new(),
            lowest_tracked_link: 0,
            last_seen: now,
        });
        peer.last_seen = now;
        peer
    }

    /// Opens a link of a peer and invalidates the peer's lower-numbered links.
    ///
    /// A request may remain in the buffer of a link that its sender has
    /// abandoned, and be read after the sender was told that the call did not
    /// run. Because links are invalidated before any query about them is
    /// answered, such a request is rejected whenever it arrives.
    pub fn open_link(&mut self, origin: u64, link: u64, now: Instant) {
        let peer = self.touch_peer(origin, now);
        peer.lowest_valid_link = peer.lowest_valid_link.max(link);
    }

    /// Records an attempt that arrived over `link` and decides whether it is accepted.
    pub fn receive(&mut self, id: Id, link: u64, call: S, now: Instant) -> Arrival {
        let peer = self.touch_peer(id.origin, now);
        if link < peer.lowest_valid_link {
            return Arrival::Late;
        }
        let highest = peer.highest_received.entry(link).or_insert(0);
        if id.sequence <= *highest {
            return Arrival::Duplicate;
        }
        *highest = id.sequence;
        if peer.highest_received.len() > MAX_LINKS_PER_PEER
            && let Some((oldest, _)) = peer.highest_received.pop_first()
        {
            peer.lowest_tracked_link = oldest + 1;
        }
        let stage = Stage::Queued;
        self.attempts.insert(id, Entry { stage, call });
        Arrival::Queued
    }

    /// Marks a queued attempt as running; returns false if it was withdrawn and must not run.
    #[must_use]
    pub fn start(&mut self, id: Id) -> bool {
        match self.attempts.get_mut(&id) {
            Some(entry) if entry.stage == Stage::Queued => {
                entry.stage = Stage::Running;
                true
            }
            _ => false,
        }
    }

    /// Marks an attempt as finished, whether or not it ran; the value stored for it is kept for
    /// [`OUTCOME_RETENTION`].
    pub fn finish(&mut self, id: Id, now: Instant) {
        if let Some(entry) = self.attempts.get_mut(&id)
            && entry.stage != Stage::Finished
        {
            entry.stage = Stage::Finished;
            self.finished.push_back((now, id));
        }
        self.expire_outcomes(now);
    }

    /// Returns the outcome of an attempt that was sent over `link`, which must have been
    /// invalidated before.
    ///
    /// A queued attempt is withdrawn: its caller may be better served elsewhere,
    /// and the peer can then be told with certainty that the attempt did not run.
    pub fn query(&mut self, id: Id, link: u64, now: Instant) -> Outcome<'_, S> {
        let peer = self.touch_peer(id.origin, now);
        if link >= peer.lowest_valid_link || link < peer.lowest_tracked_link {
            return Outcome::Unknown;
        }
        if peer
            .highest_received
            .get(&link)
            .is_none_or(|&highest| id.sequence > highest)
        {
            return Outcome::NeverReceived;
        }
        let withdrawn = self.withdraw(id, now);
        match self.attempts.get(&id) {
            Some(entry) if withdrawn => Outcome::Withdrawn(&entry.call),
            Some(entry) if entry.stage == Stage::Running => Outcome::Running(&entry.call),
            Some(entry) => Outcome::Finished(&entry.call),
            None => Outcome::Unknown,
        }
    }

    /// Returns whether an attempt is running.
    #[must_use]
    pub fn is_running(&self, id: Id) -> bool {
        let entry = self.attempts.get(&id);
        entry.is_some_and(|entry| entry.stage == Stage::Running)
    }

    /// Marks a queued attempt as finished so that it never starts; returns false if it is not queued.
    #[must_use]
    pub fn withdraw(&mut self, id: Id, now: Instant) -> bool {
        let queued = self
            .attempts
            .get(&id)
            .is_some_and(|entry| entry.stage == Stage::Queued);
        if queued {
            self.finish(id, now);
        }
        queued
    }

    /// Returns the value stored for an attempt, unless it has been evicted.
    #[must_use]
    pub fn get(&self, id: Id) -> Option<&S> {
        self.attempts.get(&id).map(|entry| &entry.call)
    }

    /// Removes a finished attempt that its peer has acknowledged and will not query.
    pub fn acknowledge(&mut self, id: Id) {
        if self
            .attempts
            .get(&id)
            .is_some_and(|entry| entry.stage == Stage::Finished)
        {
            self.attempts.remove(&id);
        }
    }

    /// Removes outcomes older than [`OUTCOME_RETENTION`], and the oldest beyond [`MAX_OUTCOMES`].
    pub fn expire_outcomes(&mut self, now: Instant) {
        while let Some(&(finished_at, id)) = self.finished.front() {
            let expired = now.saturating_duration_since(finished_at) > OUTCOME_RETENTION;
            let acknowledged = !self.attempts.contains_key(&id);
            if !expired && !acknowledged && self.finished.len() <= MAX_OUTCOMES {
                break;
            }
            self.finished.pop_front();
            self.attempts.remove(&id);
        }
    }

    /// Removes peers from which nothing can arrive any more.
    pub fn expire_peers(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.last_seen) <= PEER_RETENTION);
    }

    /// Returns the number of attempts and the number of peers stored.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize) {
        (self.attempts.len(), self.peers.len())
    }
}
