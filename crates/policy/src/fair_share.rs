//! Recent use of slots by each caller or key, in memory that does not grow with their number.
//!
//! One caller may send ten times what all others send together. Without fair shares, the caller
//! that sends most gets most, and a single caller's refresh loop leaves no room for any other.
//!
//! Max-min fairness is approximated by a bound on waiting that shrinks with recent use. Callers are
//! hashed to a fixed number of cells (stochastic fair queueing, `McKenney` 1990), so a flood of
//! made-up callers costs no memory. The hash seed differs from process to process, so two callers
//! that share a cell on one node rarely share one on another.

use std::time::{Duration, Instant};

/// Cells in each of the two rows. A caller has one cell in each row, and the cell with the lower
/// use counts (a count-min sketch, Cormode and Muthukrishnan 2005). With one row, one of 30 callers
/// shares the hot caller's cell in 6% of the sketches.
const CELLS_PER_ROW: usize = 512;

/// Time constant with which use decays: long compared with a call, short compared with the 3 s
/// within which service must be normal again after a burst.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Lower bound of [`UsageSketch::wait_factor`], for callers that have used many times their fair
/// share.
const MIN_WAIT_FACTOR: f64 = 0.25;

/// Multiple of the fair share up to which use counts as ordinary; the same multiple of the
/// call's own cost is allowed on top, as callers with a few calls a second exceed their share
/// by chance half of the time.
const ORDINARY_USE_FACTOR: f64 = 2.0;

/// Cells of one caller or key in a sketch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cells([u16; 2]);

/// Count-min sketch of the recent use by each caller or key of a tier.
#[derive(Debug, Clone)]
pub struct UsageSketch {
    seed: u64,
    rows: [Box<[Usage]>; 2],
    total: Usage,
    /// Number of the current period of length [`DECAY_TIME`], in which active cells are counted.
    epoch: u32,
    epoch_start: Instant,
    /// Cells of the first row for which work was requested in the current epoch.
    active_cells: u32,
    previous_active_cells: u32,
}

#[derive(Debug, Clone, Copy)]
struct Usage {
    /// Slot-seconds, decayed up to `at`.
    amount: f64,
    at: Instant,
    /// Epoch of the last request.
    epoch: u32,
}

impl Usage {
    fn decayed(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.amount * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, amount: f64) {
        self.amount = (self.decayed(now) + amount).max(0.0);
        self.at = now;
    }
}

impl UsageSketch {
    /// Creates an empty sketch; `seed` varies the hash.
    #[must_use]
    pub fn new(now: Instant, seed: u64) -> Self {
        let unused = Usage {
            amount: 0.0,
            at: now,
            epoch: 0,
        };
        Self {
            seed,
            rows: [0, 1].map(|_| vec![unused; CELLS_PER_ROW].into_boxed_slice()),
            total: unused,
            epoch: 1,
            epoch_start: now,
            active_cells: 0,
            previous_active_cells: 0,
        }
    }

    /// Returns the cells of a caller or key, given by its [`crate::hash`].
    pub(crate) fn cells(&self, caller: u64) -> Cells {
        // The finalizer of SplitMix64 spreads similar hashes over all cells.
        let mut mixed = caller ^ self.seed;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        Cells([mixed, mixed >> 32].map(|half| {
            let index = half % CELLS_PER_ROW as u64;
            u16::try_from(index).unwrap_or(0)
        }))
    }

    /// Records that the caller asks for work, whether or not it gets any; returns its cells.
    pub fn record_request(&mut self, now: Instant, caller: u64) -> Cells {
        let cells = self.cells(caller);
        if now.saturating_duration_since(self.epoch_start) >= DECAY_TIME {
            self.epoch = self.epoch.wrapping_add(1);
            self.epoch_start = now;
            self.previous_active_cells = self.active_cells;
            self.active_cells = 0;
        }
        let usage = &mut self.rows[0][usize::from(cells.0[0])];
        if usage.epoch != self.epoch {
            usage.epoch = self.epoch;
            self.active_cells += 1;
        }
        cells
    }

    /// Charges work to the caller, in slot-seconds; a negative amount corrects an estimate.
    pub fn charge(&mut self, now: Instant, cells: Cells, work: f64) {
        for (row, index) in self.rows.iter_mut().zip(cells.0) {
            row[usize::from(index)].add(now, work);
        }
        self.total.add(now, work);
    }

    /// Returns the factor by which the caller's bound on waiting is scaled, for a call of `cost`
    /// slot-seconds.
    ///
    /// When the queue is full, the bound decides which calls are admitted. A caller that has used
    /// more than its fair share finds the queue full earlier, which leaves room for callers that
    /// have used less, so use evens out without quotas. A caller that is alone may use the whole
    /// capacity.
    #[must_use]
    pub fn wait_factor(&self, now: Instant, cells: Cells, cost: f64) -> f64 {
        let active = f64::from(self.active_cells.max(self.previous_active_cells).max(1));
        let fair_share = self.total.decayed(now) / active;
        let usages = self.rows.iter().zip(cells.0);
        let used = usages
            .map(|(row, index)| row[usize::from(index)].decayed(now))
            .fold(f64::MAX, f64::min);
        let allowed = ORDINARY_USE_FACTOR * (fair_share + cost);
        if used <= allowed {
            return 1.0;
        }
        (allowed / used).max(MIN_WAIT_FACTOR)
    }
}
