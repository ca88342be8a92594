//! How old a shard's records are, by this process's own clock.

use call::reserve::MAX_KEYS;
use clock::Clock;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time that keys are held: a caller's repeats come within minutes, a clerk's
/// second try within a working day.
const KEPT: Duration = Duration::from_hours(24);

/// Time that keys are held when there is no room for more. Callers' automatic
/// repeats have ended by then, and so has every call (five minutes at most).
const KEPT_WHEN_FULL: Duration = Duration::from_mins(15);

/// Share of the room above which keys go earlier, in eighths.
const FULL_EIGHTHS: usize = 7;

/// Time between two notes.
const GRAIN: Duration = Duration::from_mins(1);

/// When which record was seen to stand.
///
/// Only this process's monotonic clock counts, from when it first saw a
/// record: clocks of two nodes may differ by hours, and a key forgotten too
/// early may let its call run twice. A new process starts from nothing and
/// thus holds keys longer, never shorter.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ages {
    seen: VecDeque<(Instant, u64)>,
}

impl Ages {
    /// Notes that record `number` stands.
    pub(crate) fn note<C>(&mut self, clock: &C, number: u64)
    where
        C: Clock,
    {
        let now = clock.now();
        let last = self.seen.back();
        if last.is_none_or(|(at, _)| now.duration_since(*at) >= GRAIN) {
            self.seen.push_back((now, number));
        }
    }

    /// Gives the last record whose keys may be forgotten, if there are any.
    pub(crate) fn expired<C>(&self, clock: &C, keys: usize) -> Option<u64>
    where
        C: Clock,
    {
        let full = keys * 8 >= MAX_KEYS * FULL_EIGHTHS;
        let kept = if full { KEPT_WHEN_FULL } else { KEPT };
        let now = clock.now();
        let aged = |(at, _): &&(Instant, u64)| now.duration_since(*at) >= kept;
        let last = self.seen.iter().take_while(aged).last();
        last.map(|(_, number)| *number)
    }

    /// Notes that the keys of records up to `through` are forgotten.
    pub(crate) fn forget(&mut self, through: u64) {
        self.seen.retain(|(_, number)| *number > through);
    }
}
