//! Expiry of a shard's keys, by this process's monotonic clock.

use call::reserve::MAX_SHARD_KEYS;
use clock::Clock;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which keys are held. Automatic repeats come within minutes; a person
/// may repeat a request by hand within a working day.
const KEY_TTL: Duration = Duration::from_hours(24);

/// Time for which keys are held when the shard is nearly full. Within this time
/// callers' automatic repeats end, and so does every call (five minutes at most).
const REDUCED_KEY_TTL: Duration = Duration::from_mins(15);

/// Fill level from which on [`REDUCED_KEY_TTL`] applies, in eighths of [`MAX_SHARD_KEYS`].
const NEARLY_FULL_EIGHTHS: usize = 7;

/// Minimum time between the commits of two sampled records.
const SAMPLE_INTERVAL: Duration = Duration::from_mins(1);

/// Tracks when records were committed, to find those whose keys have expired.
///
/// Ages are measured by this process's monotonic clock, from when the process
/// first knew that a record was committed: the clocks of two nodes may differ by
/// hours, and a key that is removed too early may let its call run twice. A new
/// process starts without samples and therefore holds keys longer, never shorter.
#[derive(Debug, Clone, Default)]
pub(crate) struct KeyExpiry {
    /// When sampled records were known to be committed, and their numbers, oldest first.
    samples: VecDeque<(Instant, u64)>,
}

impl KeyExpiry {
    /// Records that the journal's record `number` has been committed.
    pub(crate) fn record_commit<C>(&mut self, clock: &C, number: u64)
    where
        C: Clock,
    {
        let now = clock.now();
        let last = self.samples.back();
        if last.is_none_or(|(at, _)| now.duration_since(*at) >= SAMPLE_INTERVAL) {
            self.samples.push_back((now, number));
        }
    }

    /// Returns the number of the last record whose keys have expired, if any, for a table of
    /// `key_count` keys.
    pub(crate) fn last_expired<C>(&self, clock: &C, key_count: usize) -> Option<u64>
    where
        C: Clock,
    {
        let nearly_full = key_count * 8 >= MAX_SHARD_KEYS * NEARLY_FULL_EIGHTHS;
        let ttl = if nearly_full {
            REDUCED_KEY_TTL
        } else {
            KEY_TTL
        };
        let now = clock.now();
        let expired = |(at, _): &&(Instant, u64)| now.duration_since(*at) >= ttl;
        let last = self.samples.iter().take_while(expired).last();
        last.map(|(_, number)| *number)
    }

    /// Drops the samples of records up to `through`, whose keys have been removed.
    pub(crate) fn remove_through(&mut self, through: u64) {
        self.samples.retain(|(_, number)| *number > through);
    }
}
