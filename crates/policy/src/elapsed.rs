//! How long a caller has waited before, told from the time that it has left.
//!
//! *Load pattern:* an overload whose refused callers come back. *Without it* a
//! node takes them for fresh ones: it aims at a target that has gone by, and a
//! slot goes to an answer that is late in place of one that would have been in
//! time. *Grounds:* callers of one route start with the same time and name what
//! is left of it, so that what one lacks to the longest seen has gone by. A
//! caller that starts with less is taken for one that came back, and is then
//! served after the others.

use std::time::Duration;

/// Rows: 0.5 KB a service, as many as of [`crate::duration::SERVICE_ROWS`].
const ROWS: usize = 32;

/// Share of the difference to a shorter time by which the longest seen fades
/// with each call: one that operators shorten is learnt within a thousand calls.
const DECAY: f64 = 1.0 / 256.0;

/// Share of the longest time that may be missing on the way, with timers and
/// queues of connections: 125 ms of 2.5 s.
const TRANSIT_TOLERANCE: f64 = 0.05;

/// The longest times that callers start with, by route.
#[derive(Debug, Clone)]
pub struct Estimator {
    rows: Box<[Row]>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Row {
    route: u64,
    longest: f64,
}

impl Estimator {
    /// Makes a table that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            rows: vec![Row::default(); ROWS].into_boxed_slice(),
        }
    }

    /// Takes in how much time a caller of `route` has `left`, and gives how long it has waited.
    pub fn observe(&mut self, route: u64, remaining: Duration) -> Duration {
        let index = usize::try_from(route % self.rows.len() as u64).unwrap_or(0);
        let row = &mut self.rows[index];
        let remaining = remaining.as_secs_f64();
        if row.route != route {
            *row = Row {
                route,
                longest: 0.0,
            };
        }
        let missing = row.longest - remaining;
        row.longest = remaining.max(row.longest - missing * DECAY);
        if missing <= row.longest * TRANSIT_TOLERANCE {
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
