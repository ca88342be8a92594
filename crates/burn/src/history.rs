//! Call counts of the last three days in bounded memory.

use crate::counts::{Counts, Outcome, Tally, Window};
use std::time::Duration;

/// Width of the buckets for the windows up to an hour: a fifth of the shortest window.
const FINE_BUCKET_WIDTH: Duration = Duration::from_mins(1);

/// Width of the buckets for the windows longer than an hour: a twelfth of six hours, the shorter
/// of these windows.
const COARSE_BUCKET_WIDTH: Duration = Duration::from_mins(30);

/// Call counts of one time slot.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the time slot, counted from the start of the time. Buckets are reused for later
    /// slots; this number tells which slot the counts belong to.
    slot: u64,
    counts: Counts,
}

/// Ring buffer of buckets of one width.
#[derive(Debug)]
struct Ring {
    width: Duration,
    buckets: Vec<Bucket>,
}

impl Ring {
    fn new(width: Duration, span: Window) -> Self {
        let length = span.length().as_secs() / width.as_secs();
        Self {
            width,
            buckets: vec![Bucket::default(); usize::try_from(length).unwrap_or(1)],
        }
    }

    fn slot(&self, now: Duration) -> u64 {
        now.as_secs() / self.width.as_secs()
    }

    fn record(&mut self, now: Duration, outcome: Outcome) {
        let slot = self.slot(now);
        let index = usize::try_from(slot).unwrap_or(0) % self.buckets.len();
        let bucket = &mut self.buckets[index];
        if bucket.slot != slot {
            *bucket = Bucket {
                slot,
                counts: Counts::default(),
            };
        }
        bucket.counts.record(outcome);
    }

    /// Returns the sum of the buckets in the window that ends at `now`. The latest of these buckets
    /// is still filling, so the sum covers up to one bucket width less than the window.
    fn sum(&self, now: Duration, window: Window) -> Counts {
        let slot = self.slot(now);
        let first = (slot + 1).saturating_sub(window.length().as_secs() / self.width.as_secs());
        let mut sum = Counts::default();
        for bucket in &self.buckets {
            if (first..=slot).contains(&bucket.slot) {
                sum += bucket.counts;
            }
        }
        sum
    }
}

/// Outcomes of the calls to one service in the last three days, in about 6 kB.
#[derive(Debug)]
pub struct History {
    fine: Ring,
    coarse: Ring,
}

impl Default for History {
    fn default() -> Self {
        Self {
            fine: Ring::new(FINE_BUCKET_WIDTH, Window::Hour),
            coarse: Ring::new(COARSE_BUCKET_WIDTH, Window::ThreeDays),
        }
    }
}

impl History {
    /// Counts a call that ended at `now`, the time since any fixed start.
    pub fn record(&mut self, now: Duration, outcome: Outcome) {
        self.fine.record(now, outcome);
        self.coarse.record(now, outcome);
    }

    /// Returns the counts of all windows that end at `now`.
    #[must_use]
    pub fn tally(&self, now: Duration) -> Tally {
        let mut tally = Tally::default();
        for window in Window::ALL {
            let ring = if window <= Window::Hour {
                &self.fine
            } else {
                &self.coarse
            };
            tally.add(window, ring.sum(now, window));
        }
        tally
    }
}
