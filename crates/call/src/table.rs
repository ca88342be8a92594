//! The table of calls at an inbound proxy: what became of each try.
//!
//! The table answers one question truthfully: was this try given to a backend
//! server, or will it be? Tries of one outbound proxy come over numbered
//! links, in the order of their own numbers. So one number a link, the highest
//! try that came over it, tells those that never came from those that the
//! table has forgotten; and one number a peer, the lowest link still open,
//! keeps those that come late out for good. Neither grows with calls.

use crate::Id;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long the outcome of a call is kept for a peer that may ask.
///
/// A peer asks once it has found its link silent (1 s), has made a new one
/// (1 s at most, but for a cut) and only while its caller waits. A call whose
/// outcome is forgotten sooner counts as one that may have run.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(10);

/// How long a peer's links are remembered after its last sign of life.
///
/// Linux gives up on a segment that nobody acknowledges after 924 s
/// (`tcp_retries2`); later than that nothing that a peer sent can still come.
pub const PEER_RETENTION: Duration = Duration::from_mins(20);

/// Outcomes kept at most; the oldest are forgotten first.
///
/// A backend server with 6 slots at 10 ms a call ends 600 calls a second, and
/// 10 s of them are 6,000.
pub const MAX_OUTCOMES: usize = 8_192;

/// Whether a try that has just come may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It is queued now.
    Queued,
    /// Its link was voided before it came: it must not run.
    Late,
    /// It, or a later one, has come over this link before: it must not run (again).
    Duplicate,
}

/// What became of a try that a peer asks about.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome<'a, S> {
    /// It never came, and can't be accepted any more.
    NeverReceived,
    /// It was still queued, and is withdrawn now.
    Withdrawn(&'a S),
    /// It runs.
    Running(&'a S),
    /// It is over; the call knows how.
    Finished(&'a S),
    /// It came, and the table has forgotten how it ended.
    Unknown,
}

/// Links of one peer that are remembered; an older one's tries count as forgotten.
///
/// A peer makes a new link only after the last one failed, once a second at
/// the worst, and asks about a try within its caller's deadline.
const MAX_LINKS: usize = 64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Running,
    Over,
}

#[derive(Debug)]
struct Entry<S> {
    stage: Stage,
    call: S,
}

#[derive(Debug)]
struct Peer {
    /// Links below this number are void.
    lowest: u64,
    /// Highest try that came, by link.
    highest: BTreeMap<u64, u64>,
    /// Links below this number are no longer in `highest`.
    forgotten: u64,
    seen: Instant,
}

/// The table of calls, whose parts of the program that run them are `S`.
#[derive(Debug)]
pub struct AttemptTable<S> {
    peers: HashMap<u64, Peer>,
    calls: HashMap<Id, Entry<S>>,
    over: VecDeque<(Instant, Id)>,
}

impl<S> Default for AttemptTable<S> {
    fn default() -> Self {
        Self {
            peers: HashMap::new(),
            calls: HashMap::new(),
            over: VecDeque::new(),
        }
    }
}

impl<S> AttemptTable<S> {
    fn peer(&mut self, origin: u64, now: Instant) -> &mut Peer {
        let peer = self.peers.entry(origin).or_insert_with(|| Peer {
            lowest: 0,
            highest: BTreeMap::new(),
            forgotten: 0,
            seen: now,
        });
        peer.seen = now;
        peer
    }

    /// Opens a link of a peer and voids the peer's lower-numbered ones.
    ///
    /// A request may lie in the buffer of a link that its sender has given up,
    /// and be read after the sender was told that the call has not run.
    /// Because the links are void before any question about them is answered,
    /// such a request is refused whenever it comes.
    pub fn open_link(&mut self, origin: u64, link: u64, now: Instant) {
        let peer = self.peer(origin, now);
        peer.lowest = peer.lowest.max(link);
    }

    /// Takes in a try.
    pub fn receive(&mut self, id: Id, link: u64, call: S, now: Instant) -> Arrival {
        let peer = self.peer(id.origin, now);
        if link < peer.lowest {
            return Arrival::Late;
        }
        let highest = peer.highest.entry(link).or_insert(0);
        if id.sequence <= *highest {
            return Arrival::Duplicate;
        }
        *highest = id.sequence;
        if peer.highest.len() > MAX_LINKS
            && let Some((oldest, _)) = peer.highest.pop_first()
        {
            peer.forgotten = oldest + 1;
        }
        let stage = Stage::Queued;
        self.calls.insert(id, Entry { stage, call });
        Arrival::Queued
    }

    /// Marks a queued try as running; false when it was withdrawn, and must not run.
    #[must_use]
    pub fn start(&mut self, id: Id) -> bool {
        match self.calls.get_mut(&id) {
            Some(entry) if entry.stage == Stage::Queued => {
                entry.stage = Stage::Running;
                true
            }
            _ => false,
        }
    }

    /// Marks a try as over, whether it ran or not; its call is kept for a while.
    pub fn finish(&mut self, id: Id, now: Instant) {
        if let Some(entry) = self.calls.get_mut(&id)
            && entry.stage != Stage::Over
        {
            entry.stage = Stage::Over;
            self.over.push_back((now, id));
        }
        self.expire_outcomes(now);
    }

    /// Tells what became of a try that was sent over `link`, which must be void by now.
    ///
    /// A queued one is withdrawn: the peer that asks has a caller who may be
    /// better served elsewhere, and can be told for sure that it has not run.
    pub fn query(&mut self, id: Id, link: u64, now: Instant) -> Outcome<'_, S> {
        let peer = self.peer(id.origin, now);
        if link >= peer.lowest || link < peer.forgotten {
            return Outcome::Unknown;
        }
        if peer
            .highest
            .get(&link)
            .is_none_or(|&highest| id.sequence > highest)
        {
            return Outcome::NeverReceived;
        }
        let withdrawn = self.withdraw(id, now);
        match self.calls.get(&id) {
            Some(entry) if withdrawn => Outcome::Withdrawn(&entry.call),
            Some(entry) if entry.stage == Stage::Running => Outcome::Running(&entry.call),
            Some(entry) => Outcome::Finished(&entry.call),
            None => Outcome::Unknown,
        }
    }

    /// Tells whether a try runs.
    #[must_use]
    pub fn is_running(&self, id: Id) -> bool {
        let entry = self.calls.get(&id);
        entry.is_some_and(|entry| entry.stage == Stage::Running)
    }

    /// Marks a queued try as over, so that it never starts; false when it is not queued.
    #[must_use]
    pub fn withdraw(&mut self, id: Id, now: Instant) -> bool {
        let queued = self
            .calls
            .get(&id)
            .is_some_and(|entry| entry.stage == Stage::Queued);
        if queued {
            self.finish(id, now);
        }
        queued
    }

    /// Gives a call that has not been forgotten.
    #[must_use]
    pub fn get(&self, id: Id) -> Option<&S> {
        self.calls.get(&id).map(|entry| &entry.call)
    }

    /// Forgets a try that is over and that its peer will not ask about.
    pub fn acknowledge(&mut self, id: Id) {
        if self
            .calls
            .get(&id)
            .is_some_and(|entry| entry.stage == Stage::Over)
        {
            self.calls.remove(&id);
        }
    }

    /// Forgets the oldest outcomes that are past their time or too many.
    pub fn expire_outcomes(&mut self, now: Instant) {
        while let Some(&(at, id)) = self.over.front() {
            let expired = now.saturating_duration_since(at) > OUTCOME_RETENTION;
            let settled = !self.calls.contains_key(&id);
            if !expired && !settled && self.over.len() <= MAX_OUTCOMES {
                break;
            }
            self.over.pop_front();
            self.calls.remove(&id);
        }
    }

    /// Forgets the peers from which nothing can come any more.
    pub fn expire_peers(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.seen) <= PEER_RETENTION);
    }

    /// Gives how many calls and peers are held.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize) {
        (self.calls.len(), self.peers.len())
    }
}
