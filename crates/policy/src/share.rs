//! Who has had how much lately, in memory that does not grow with the callers.
//!
//! *Load pattern:* one caller sends ten times what the others send together.
//! *Without it* whoever sends most gets most, and a parent's refresh loop
//! leaves no room for anybody else. *Grounds:* max-min fairness by a bound
//! that shrinks with recent use. Callers are hashed to a fixed number of
//! buckets (stochastic fair queueing, `McKenney` 1990), so a flood of made-up
//! callers costs no memory; the seed differs from process to process, so two
//! callers that share a bucket at one node do not at the next.

use std::time::{Duration, Instant};

/// Buckets of a table: with one hot caller, another one shares its bucket with
/// a chance of 1 in 512 at one node, and at two nodes with 1 in 262,144.
pub const BUCKETS: usize = 512;

/// Time over which use is forgotten: long against a call, short against the
/// 3 s in which things are to be normal again after a burst.
const MEMORY: Duration = Duration::from_secs(1);

/// Least factor of the bound, for one who has had four times the fair share or more.
const LEAST: f64 = 0.25;

/// Greatest factor of the bound, for one who has had half of the fair share or less.
const MOST: f64 = 1.0;

/// A caller's place in a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bucket(u16);

impl Bucket {
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// What each caller of a class has had lately.
#[derive(Debug, Clone)]
pub struct Table {
    seed: u64,
    uses: Box<[Use]>,
    total: Use,
    epoch: u32,
    epoch_start: Instant,
    active: u32,
    active_before: u32,
}

#[derive(Debug, Clone, Copy)]
struct Use {
    amount: f64,
    at: Instant,
    epoch: u32,
}

impl Use {
    fn get(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.amount * (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, amount: f64) {
        self.amount = (self.get(now) + amount).max(0.0);
        self.at = now;
    }
}

impl Table {
    /// Makes an empty table; `seed` spreads the callers.
    #[must_use]
    pub fn new(now: Instant, seed: u64) -> Self {
        let none = Use {
            amount: 0.0,
            at: now,
            epoch: 0,
        };
        Self {
            seed,
            uses: vec![none; BUCKETS].into_boxed_slice(),
            total: none,
            epoch: 1,
            epoch_start: now,
            active: 0,
            active_before: 0,
        }
    }

    fn bucket(&self, caller: u64) -> Bucket {
        // The finalizer of SplitMix64 spreads neighbouring hashes.
        let mut mixed = caller ^ self.seed;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let index = (mixed ^ (mixed >> 31)) % BUCKETS as u64;
        Bucket(u16::try_from(index).unwrap_or(0))
    }

    /// Takes in that the caller asks for work, whether or not it gets any; gives its bucket.
    pub fn ask(&mut self, now: Instant, caller: u64) -> Bucket {
        let bucket = self.bucket(caller);
        if now.saturating_duration_since(self.epoch_start) >= MEMORY {
            self.epoch = self.epoch.wrapping_add(1);
            self.epoch_start = now;
            self.active_before = self.active;
            self.active = 0;
        }
        let used = &mut self.uses[bucket.index()];
        if used.epoch != self.epoch {
            used.epoch = self.epoch;
            self.active += 1;
        }
        bucket
    }

    /// Takes in work given to the caller, in slot-seconds; negative to correct a guess.
    pub fn charge(&mut self, now: Instant, bucket: Bucket, work: f64) {
        self.uses[bucket.index()].add(now, work);
        self.total.add(now, work);
    }

    /// Gives the factor by which the caller's bound on waiting is scaled.
    ///
    /// At a full queue the bound decides who gets in. One who has had more than
    /// the fair share finds it full earlier, one who has had less finds room
    /// above the others' bound, so that use evens out without quotas: with
    /// nobody else about, anyone may use all there is.
    #[must_use]
    pub fn factor(&self, now: Instant, bucket: Bucket) -> f64 {
        let active = f64::from(self.active.max(self.active_before).max(1));
        let fair = self.total.get(now) / active;
        let used = self.uses[bucket.index()].get(now);
        if used <= f64::EPSILON {
            return MOST;
        }
        (fair / used).clamp(LEAST, MOST)
    }
}
