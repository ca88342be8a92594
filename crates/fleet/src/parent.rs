//! Which node to ask to be the parent.
//!
//! Load pattern: a zone's nodes all look for parents in the same second. If
//! all tried the same names in the same order, a few would be overrun while
//! others stay empty. Each node ranks the names by a hash of its own name
//! with theirs (rendezvous hashing, Thaler and Ravishankar 1998), so that the
//! load spreads evenly and a name more or less moves few.

use crate::endpoints::stable_hash;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Most candidates remembered: the roots, and some relays that they named.
pub const MAX_CANDIDATES: usize = 64;

/// Time before a node that could not be reached is tried again.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Where a candidate's address comes from; earlier ones are tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// Named by a node that had no room.
    Hint,
    /// Holds the lease of a root of the zone.
    Root,
    /// In the settings.
    Seed,
    /// Of another zone: no parent, only asked what it holds.
    OtherZone,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    source: Source,
    attempts: u32,
    /// Times that it was asked what it holds.
    version_queries: u32,
    not_before: Instant,
    is_unreachable: bool,
}

/// The nodes that may become the parent.
#[derive(Debug, Default)]
pub struct Candidates {
    known: BTreeMap<SocketAddr, Candidate>,
}

impl Candidates {
    /// Notes a candidate; a root is one even if it was only a hint before.
    pub fn add(&mut self, address: SocketAddr, source: Source, now: Instant) {
        if self.known.len() >= MAX_CANDIDATES && !self.known.contains_key(&address) {
            self.evict_worst();
        }
        let known = self.known.entry(address).or_insert(Candidate {
            source,
            attempts: 0,
            version_queries: 0,
            not_before: now,
            is_unreachable: false,
        });
        if source == Source::Root {
            known.source = source;
        }
    }

    fn evict_worst(&mut self) {
        let hints = self
            .known
            .iter()
            .filter(|(_, at)| matches!(at.source, Source::Hint | Source::OtherZone));
        let worst = hints
            .max_by_key(|(_, at)| at.attempts)
            .map(|(address, _)| *address);
        if let Some(address) = worst {
            self.known.remove(&address);
        }
    }

    /// Gives the candidate to try next: the least tried, then by source, then by rendezvous.
    pub fn pick(&mut self, own: &str, now: Instant) -> Option<SocketAddr> {
        let is_ready = |at: &Candidate| at.source != Source::OtherZone && at.not_before <= now;
        let ready = self.known.iter_mut().filter(|(_, at)| is_ready(at));
        let best = ready.min_by_key(|(address, at)| {
            let rank = std::cmp::Reverse(rendezvous(own, **address));
            (at.attempts, at.source, rank)
        });
        let (address, candidate) = best?;
        candidate.attempts += 1;
        Some(*address)
    }

    /// Gives one to ask what it holds, in turn; last those that the parent may have named.
    pub fn pick_version_source(&mut self, parent: Option<SocketAddr>) -> Option<SocketAddr> {
        let others = self.known.iter_mut();
        let others = others.filter(|(address, _)| Some(**address) != parent);
        let best = others
            .min_by_key(|(_, known)| (known.version_queries, std::cmp::Reverse(known.source)));
        let (address, known) = best?;
        known.version_queries += 1;
        Some(*address)
    }

    /// Notes that a candidate asked to wait.
    pub fn postpone(&mut self, address: SocketAddr, until: Instant) {
        if let Some(known) = self.known.get_mut(&address) {
            known.not_before = until;
            known.is_unreachable = false;
        }
    }

    /// Notes that a candidate could not be reached or fell silent.
    pub fn mark_unreachable(&mut self, address: SocketAddr, now: Instant) {
        if let Some(known) = self.known.get_mut(&address) {
            known.not_before = now + UNREACHABLE_RETRY_DELAY;
            known.is_unreachable = true;
        }
    }

    /// Tells whether the last try to reach a node failed.
    #[must_use]
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        self.known
            .get(&address)
            .is_some_and(|known| known.is_unreachable)
    }

    /// Starts a new search: all are as good as untried, but for those just lost.
    pub fn reset_attempts(&mut self) {
        for known in self.known.values_mut() {
            known.attempts = 0;
        }
    }

    /// Gives when the first candidate may be asked.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let parents = self.known.values();
        let parents = parents.filter(|known| known.source != Source::OtherZone);
        parents.map(|known| known.not_before).min()
    }
}

/// Ranks a candidate for a node.
fn rendezvous(own: &str, address: SocketAddr) -> u64 {
    let pair = format!("{own} {address}");
    stable_hash(pair.as_bytes())
}
