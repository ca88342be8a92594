//! All endpoints that a node knows of, merged from announcements.
//!
//! Announcements are ordered by [`Endpoint::rank`], so that it doesn't matter
//! in which order, how often or by which way they come. Departures stay as
//! tombstones. Sums by bucket show two nodes what they hold differently.

use config::{Endpoint, State};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::control::{BUCKETS, MAX_ENDPOINTS};

/// Time after which a node announces its endpoint again, unchanged: 14,000
/// nodes then cost each link 0.65 announcements, some 50 bytes, a second.
pub const REFRESH_INTERVAL: Duration = Duration::from_hours(6);

/// Time without news after which an endpoint counts as gone: three refreshes,
/// longer than regions lose each other for.
pub const EXPIRE: Duration = Duration::from_hours(18);

/// Most endpoints held: four times the 14,000 that are planned for.
pub const MAX_TABLE_SIZE: usize = 56_000;

/// What an announcement was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// No news.
    Ignored,
    /// A sign that all is as before.
    Refreshed,
    /// News that matter to calls.
    Changed,
}

#[derive(Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    heard: Instant,
}

/// All endpoints that a node knows of.
#[derive(Debug)]
pub struct EndpointTable {
    entries: BTreeMap<SmolStr, Entry>,
    sums: Vec<u64>,
}

impl Default for EndpointTable {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            sums: vec![0; BUCKETS],
        }
    }
}

impl EndpointTable {
    /// Takes an announcement; tells what it was.
    ///
    /// A departure of a node that was never heard of is none: kept, it would
    /// go round for ever between nodes that dropped it at different times.
    pub fn merge(&mut self, endpoint: &Arc<Endpoint>, now: Instant) -> MergeOutcome {
        let known = self.get(&endpoint.node);
        let is_news = match known {
            Some(known) => endpoint.rank() > known.rank(),
            None => endpoint.state != State::Gone && self.entries.len() < MAX_TABLE_SIZE,
        };
        if !is_news {
            return MergeOutcome::Ignored;
        }
        let is_refresh = known.is_some_and(|known| is_same(known, endpoint));
        let old = known.map_or(0, |known| weigh(known));
        self.sums[bucket(&endpoint.node)] ^= old ^ weigh(endpoint);
        let entry = Entry {
            endpoint: Arc::clone(endpoint),
            heard: now,
        };
        self.entries.insert(endpoint.node.clone(), entry);
        if is_refresh {
            MergeOutcome::Refreshed
        } else {
            MergeOutcome::Changed
        }
    }

    /// Gives what is known of a node.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&Arc<Endpoint>> {
        self.entries.get(node).map(|entry| &entry.endpoint)
    }

    /// Declares a node gone, if it has an endpoint; gives the tombstone.
    pub fn mark_gone(&mut self, node: &str, now: Instant) -> Option<Arc<Endpoint>> {
        let known = self.get(node)?;
        if known.state == State::Gone {
            return None;
        }
        let mut endpoint = Endpoint::clone(known);
        endpoint.state = State::Gone;
        let endpoint = Arc::new(endpoint);
        self.merge(&endpoint, now);
        Some(endpoint)
    }

    /// Turns endpoints without news into tombstones and drops old tombstones.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |entry: &Entry| now.saturating_duration_since(entry.heard) >= EXPIRE;
        self.entries
            .retain(|_, entry| entry.endpoint.state != State::Gone || !is_old(entry));
        let old: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_old(entry))
            .map(|(node, _)| node.clone())
            .collect();
        for node in old {
            self.mark_gone(&node, now);
        }
    }

    /// Gives all endpoints, tombstones included, in the order of their nodes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// Gives the sum of the whole table.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        self.sums
            .iter()
            .fold(0, |sum: u64, part| sum.rotate_left(1) ^ part)
    }

    /// Gives the sum of each bucket.
    #[must_use]
    pub fn bucket_checksums(&self) -> &[u64] {
        &self.sums
    }

    /// Gives the endpoints of all buckets whose sums are others, in lists that fit a frame.
    #[must_use]
    pub fn differing_endpoints(&self, sums: &[u64]) -> Vec<Vec<Arc<Endpoint>>> {
        let is_other = |node: &str| {
            let bucket = bucket(node);
            sums.get(bucket) != Some(&self.sums[bucket])
        };
        let differing: Vec<_> = self
            .iter()
            .filter(|endpoint| is_other(&endpoint.node))
            .cloned()
            .collect();
        differing
            .chunks(MAX_ENDPOINTS)
            .map(<[Arc<Endpoint>]>::to_vec)
            .collect()
    }
}

/// Tells whether calls would see no difference.
fn is_same(known: &Endpoint, news: &Endpoint) -> bool {
    let known = Endpoint {
        sequence: news.sequence,
        ..known.clone()
    };
    known == *news
}

/// Gives the bucket that a node's endpoint is summed up in.
fn bucket(node: &str) -> usize {
    index_for_hash(stable_hash(node.as_bytes()), BUCKETS)
}

/// Gives what an endpoint adds to its bucket's sum; tombstones add nothing,
/// as nodes may drop them at different times.
fn weigh(endpoint: &Endpoint) -> u64 {
    if endpoint.state == State::Gone {
        return 0;
    }
    let (started, incarnation, sequence, state) = endpoint.rank();
    [started, incarnation, sequence, state as u64]
        .iter()
        .fold(stable_hash(endpoint.node.as_bytes()), |sum, part| {
            mix(sum ^ mix(*part))
        })
}

/// Gives an index below `count` for a hash.
pub(crate) fn index_for_hash(hash: u64, count: usize) -> usize {
    let index = hash % u64::try_from(count).unwrap_or(u64::MAX);
    usize::try_from(index).unwrap_or_default()
}

/// Hashes bytes by FNV-1a, the same in every build, unlike the standard library's hasher.
pub(crate) fn stable_hash(bytes: &[u8]) -> u64 {
    let sum = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(sum)
}

/// Spreads a sum's bits (the finalizer of `SplitMix64`).
fn mix(sum: u64) -> u64 {
    let sum = (sum ^ (sum >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let sum = (sum ^ (sum >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    sum ^ (sum >> 31)
}
