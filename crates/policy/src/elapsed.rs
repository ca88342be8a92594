//! Estimates how long a caller has waited already, from the time that it has left.
//!
//! In an overload, refused callers come back. If a node takes a returning caller for a new one, the
//! node assumes a latency target that is too late: the real one has passed, and a slot goes to a
//! late answer instead of one that would have been in time.
//!
//! Callers of one route are assumed to start with the same timeout, and each request states how
//! much of the timeout is left. The difference between the longest time left seen on the route and
//! the time that a request has left is therefore taken as the time that its caller has waited. A
//! caller that starts with a shorter timeout is mistaken for one that came back, and is then served
//! after the others.

use std::time::Duration;

/// Number of rows, the same as [`crate::duration::SERVICE_ROWS`]; they take 0.5 KB per service.
const ROWS: usize = 32;

/// With each call that has less time left, the longest time seen is lowered by this share of the
/// difference, so that a timeout which operators shorten is learned within a thousand calls.
const DECAY_PER_CALL: f64 = 1.0 / 256.0;

/// Share of the longest time that may be spent in transit, in timers and in connection queues
/// without counting as waiting: 125 ms of 2.5 s.
const TRANSIT_TOLERANCE: f64 = 0.05;

/// Estimates how long callers have waited, from the longest time that callers of each route had
/// left.
#[derive(Debug, Clone)]
pub struct Estimator {
    rows: Box<[Row]>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Row {
    route: u64,
    /// Longest time that a caller had left, in seconds; lowered as [`DECAY_PER_CALL`] says.
    longest_remaining: f64,
}

impl Estimator {
    /// Creates an estimator without any samples.
    #[must_use]
    pub fn new() -> Self {
        Self {
            rows: vec![Row::default(); ROWS].into_boxed_slice(),
        }
    }

    /// Records how much time a caller of `route` has `remaining`, and returns how long it has
    /// waited already.
    pub fn observe(&mut self, route: u64, remaining: Duration) -> Duration {
        let index = usize::try_from(route % self.rows.len() as u64).unwrap_or(0);
        let row = &mut self.rows[index];
        let remaining = remaining.as_secs_f64();
        if row.route != route {
            *row = Row {
                route,
                longest_remaining: 0.0,
            };
        }
        let missing = row.longest_remaining - remaining;
        row.longest_remaining = remaining.max(row.longest_remaining - missing * DECAY_PER_CALL);
        if missing <= row.longest_remaining * TRANSIT_TOLERANCE {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing).unwrap_or(Duration::ZERO)
    }
}

impl Default for Estimator {
    fn default() -> Self {
        Self::new()
    }
}
