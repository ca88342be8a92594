//! Selection of the candidate parent to ask next.
//!
//! Load pattern: all nodes of a zone look for parents in the same second. If all nodes tried the
//! same candidates in the same order, a few candidates would be overloaded while the others stay
//! unused. Each node ranks the candidates by a hash of its own name with their address (rendezvous
//! hashing, Thaler and Ravishankar 1998), so that the load spreads evenly, and adding or removing a
//! candidate moves only a few nodes.

use crate::endpoints::stable_hash;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of candidates kept: the roots, and some other nodes that the roots named.
pub const MAX_CANDIDATES: usize = 64;

/// Time before the next attempt at a node that could not be reached.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Where a candidate's address comes from; earlier variants are tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// Named by another node, for example by a node that had no capacity itself.
    Hint,
    /// Holder of one of the zone's root leases.
    Root,
    /// Listed in the settings.
    Seed,
    /// Node of another zone: it never becomes the parent, and is only queried for the version that
    /// it holds.
    OtherZone,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    source: Source,
    attempts: u32,
    /// Number of times that the candidate was queried for the version that it holds.
    version_queries: u32,
    not_before: Instant,
    is_unreachable: bool,
}

/// The nodes that may become the parent of this node, and nodes of other zones, which are only
/// queried for their version.
#[derive(Debug, Default)]
pub struct Candidates {
    known: BTreeMap<SocketAddr, Candidate>,
}

impl Candidates {
    /// Adds a candidate. A candidate that is already known keeps its source unless `source` is
    /// [`Source::Root`].
    pub fn add(&mut self, address: SocketAddr, source: Source, now: Instant) {
        if self.known.len() >= MAX_CANDIDATES && !self.known.contains_key(&address) {
            self.evict_worst();
        }
        let candidate = self.known.entry(address).or_insert(Candidate {
            source,
            attempts: 0,
            version_queries: 0,
            not_before: now,
            is_unreachable: false,
        });
        if source == Source::Root {
            candidate.source = source;
        }
    }

    fn evict_worst(&mut self) {
        let hints = self
            .known
            .iter()
            .filter(|(_, candidate)| matches!(candidate.source, Source::Hint | Source::OtherZone));
        let worst = hints
            .max_by_key(|(_, candidate)| candidate.attempts)
            .map(|(address, _)| *address);
        if let Some(address) = worst {
            self.known.remove(&address);
        }
    }

    /// Returns the candidate to try next: by fewest attempts, then source, then rendezvous hash.
    pub fn pick(&mut self, own: &str, now: Instant) -> Option<SocketAddr> {
        let is_ready = |candidate: &Candidate| {
            candidate.source != Source::OtherZone && candidate.not_before <= now
        };
        let ready = self
            .known
            .iter_mut()
            .filter(|(_, candidate)| is_ready(candidate));
        let best = ready.min_by_key(|(address, candidate)| {
            let rank = std::cmp::Reverse(rendezvous(own, **address));
            (candidate.attempts, candidate.source, rank)
        });
        let (address, candidate) = best?;
        candidate.attempts += 1;
        Some(*address)
    }

    /// Returns a candidate other than the parent to query for its version.
    ///
    /// Returns the candidate that was queried least often. If several were queried equally often,
    /// returns the candidate that the parent is least likely to have named.
    pub fn pick_version_source(&mut self, parent: Option<SocketAddr>) -> Option<SocketAddr> {
        let others = self.known.iter_mut();
        let others = others.filter(|(address, _)| Some(**address) != parent);
        let best = others.min_by_key(|(_, candidate)| {
            (
                candidate.version_queries,
                std::cmp::Reverse(candidate.source),
            )
        });
        let (address, candidate) = best?;
        candidate.version_queries += 1;
        Some(*address)
    }

    /// Records that a candidate asked this node to wait.
    pub fn postpone(&mut self, address: SocketAddr, until: Instant) {
        if let Some(candidate) = self.known.get_mut(&address) {
            candidate.not_before = until;
            candidate.is_unreachable = false;
        }
    }

    /// Records that a candidate could not be reached or went silent.
    pub fn mark_unreachable(&mut self, address: SocketAddr, now: Instant) {
        if let Some(candidate) = self.known.get_mut(&address) {
            candidate.not_before = now + UNREACHABLE_RETRY_DELAY;
            candidate.is_unreachable = true;
        }
    }

    /// Returns whether the last attempt to reach a node failed.
    #[must_use]
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        self.known
            .get(&address)
            .is_some_and(|candidate| candidate.is_unreachable)
    }

    /// Resets the attempt counts for a new search. Retry delays stay, such as the delay after the
    /// loss of the last parent.
    pub fn reset_attempts(&mut self) {
        for candidate in self.known.values_mut() {
            candidate.attempts = 0;
        }
    }

    /// Returns the earliest time at which a candidate parent may be tried.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let parents = self.known.values();
        let parents = parents.filter(|candidate| candidate.source != Source::OtherZone);
        parents.map(|candidate| candidate.not_before).min()
    }
}

/// Returns the rendezvous hash of a node and a candidate.
fn rendezvous(own: &str, address: SocketAddr) -> u64 {
    let pair = format!("{own} {address}");
    stable_hash(pair.as_bytes())
}
