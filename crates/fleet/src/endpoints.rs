//! The table of all endpoints that a node knows of, merged from announcements.
//!
//! Announcements are ordered by [`Endpoint::rank`], so the result of merging announcements does not
//! depend on the order in which they arrive, on repetition or on their path. Departed endpoints are
//! kept as tombstones. Two nodes find the entries in which their tables differ by comparing one
//! checksum per bucket of entries (anti-entropy).

use config::{Endpoint, State};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::control::{BUCKET_COUNT, MAX_ENDPOINTS};

/// Interval at which a node announces its endpoint again even if the endpoint has not changed.
///
/// In a fleet of 14,000 nodes, each link then carries 0.65 such announcements (about 50 bytes) per
/// second.
pub const REFRESH_INTERVAL: Duration = Duration::from_hours(6);

/// Time without an announcement after which an endpoint counts as gone.
///
/// Three refresh intervals, which is longer than partitions between regions last.
pub const ENDPOINT_TTL: Duration = Duration::from_hours(18);

/// Maximum number of entries of the table: four times the 14,000 nodes of the largest planned
/// fleet.
pub const MAX_TABLE_SIZE: usize = 56_000;

/// Effect of merging an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The announcement was not newer than the node's entry. Or the node has no entry and gets
    /// none, because the announcement is a tombstone or the table is full.
    Ignored,
    /// The announcement was newer, but differed from the node's entry only in its sequence number.
    Refreshed,
    /// The announcement has changed or created the node's entry.
    Changed,
}

#[derive(Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    updated_at: Instant,
}

/// The endpoints that a node knows of, by node name.
#[derive(Debug)]
pub struct EndpointTable {
    entries: BTreeMap<SmolStr, Entry>,
    bucket_checksums: Vec<u64>,
}

impl Default for EndpointTable {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            bucket_checksums: vec![0; BUCKET_COUNT],
        }
    }
}

impl EndpointTable {
    /// Merges an announcement; returns its effect.
    ///
    /// Farewells are kept from older announcements too: the process that made the newer one may
    /// not know of them yet.
    ///
    /// A tombstone of an unknown node is ignored. Otherwise tombstones would circulate forever
    /// between nodes that drop tombstones at different times.
    pub fn merge(&mut self, endpoint: &Arc<Endpoint>, now: Instant) -> MergeOutcome {
        let Some(known) = self.get(&endpoint.node) else {
            if endpoint.state == State::Gone || self.entries.len() >= MAX_TABLE_SIZE {
                return MergeOutcome::Ignored;
            }
            self.insert(Arc::clone(endpoint), now);
            return MergeOutcome::Changed;
        };
        let is_newer = endpoint.rank() > known.rank();
        let (newer, older) = if is_newer {
            (endpoint, known)
        } else {
            (known, endpoint)
        };
        let mut merged = Arc::clone(newer);
        let lacks = |farewell| !newer.farewells.contains(farewell);
        let has_grown = older.farewells.iter().any(lacks)
            && Arc::make_mut(&mut merged).add_farewells(&older.farewells);
        if !is_newer && !has_grown {
            return MergeOutcome::Ignored;
        }
        let is_refresh = is_refresh_of(known, &merged);
        self.insert(merged, now);
        if is_refresh {
            MergeOutcome::Refreshed
        } else {
            MergeOutcome::Changed
        }
    }

    fn insert(&mut self, endpoint: Arc<Endpoint>, now: Instant) {
        let old = self.get(&endpoint.node).map_or(0, |old| contribution(old));
        self.bucket_checksums[bucket_index(&endpoint.node)] ^= old ^ contribution(&endpoint);
        let node = endpoint.node.clone();
        let entry = Entry {
            endpoint,
            updated_at: now,
        };
        self.entries.insert(node, entry);
    }

    /// Returns the endpoint of a node, or its tombstone.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&Arc<Endpoint>> {
        self.entries.get(node).map(|entry| &entry.endpoint)
    }

    /// Replaces the endpoint of a node by a tombstone; returns the tombstone.
    ///
    /// Returns `None` if the node has no endpoint or is gone already.
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

    /// Replaces expired endpoints by tombstones and drops expired tombstones.
    pub fn expire(&mut self, now: Instant) {
        let is_expired =
            |entry: &Entry| now.saturating_duration_since(entry.updated_at) >= ENDPOINT_TTL;
        self.entries
            .retain(|_, entry| entry.endpoint.state != State::Gone || !is_expired(entry));
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.mark_gone(&node, now);
        }
    }

    /// Iterates over all endpoints and tombstones, ordered by node name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// Returns the checksum of the whole table.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        self.bucket_checksums
            .iter()
            .fold(0, |sum: u64, part| sum.rotate_left(1) ^ part)
    }

    /// Returns the checksum of each bucket.
    #[must_use]
    pub fn bucket_checksums(&self) -> &[u64] {
        &self.bucket_checksums
    }

    /// Returns the endpoints of all buckets whose checksum differs from `checksums`, in lists that
    /// fit a frame.
    #[must_use]
    pub fn differing_endpoints(&self, checksums: &[u64]) -> Vec<Vec<Arc<Endpoint>>> {
        let is_differing = |node: &str| {
            let index = bucket_index(node);
            checksums.get(index) != Some(&self.bucket_checksums[index])
        };
        let differing: Vec<_> = self
            .iter()
            .filter(|endpoint| is_differing(&endpoint.node))
            .cloned()
            .collect();
        differing
            .chunks(MAX_ENDPOINTS)
            .map(<[Arc<Endpoint>]>::to_vec)
            .collect()
    }
}

/// Returns whether `newer` differs from `known` in nothing but its sequence number.
fn is_refresh_of(known: &Endpoint, newer: &Endpoint) -> bool {
    let known = Endpoint {
        sequence: newer.sequence,
        ..known.clone()
    };
    known == *newer
}

/// Returns the index of a node's bucket.
fn bucket_index(node: &str) -> usize {
    index_for_hash(stable_hash(node.as_bytes()), BUCKET_COUNT)
}

/// Returns the contribution of an endpoint to the checksum of its bucket.
///
/// Tombstones contribute nothing, as nodes drop them at different times.
fn contribution(endpoint: &Endpoint) -> u64 {
    if endpoint.state == State::Gone {
        return 0;
    }
    let (started, incarnation, sequence, state) = endpoint.rank();
    let farewells = endpoint.farewells.iter();
    let farewells = farewells.flat_map(|farewell| [farewell.process, farewell.left_ms]);
    [started, incarnation, sequence, state as u64]
        .into_iter()
        .chain(farewells)
        .fold(stable_hash(endpoint.node.as_bytes()), |hash, field| {
            mix(hash ^ mix(field))
        })
}

/// Maps a hash to an index below `count`.
pub(crate) fn index_for_hash(hash: u64, count: usize) -> usize {
    let index = hash % u64::try_from(count).unwrap_or(u64::MAX);
    usize::try_from(index).unwrap_or_default()
}

/// Hashes bytes with FNV-1a, which unlike the standard library's hasher is the same in every build.
pub(crate) fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash)
}

/// Mixes the bits of a hash (the finalizer of `SplitMix64`).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
