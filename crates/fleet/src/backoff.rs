//! Waits between tries, with full jitter.
//!
//! Load pattern: all nodes of a zone lose their parents in the same instant.
//! With fixed waits they would come back in step, again and again. A wait
//! drawn evenly from zero up to a bound that doubles spreads them at once, and
//! gives the least total work of the usual schemes (Brooker, "Exponential
//! Backoff And Jitter", AWS Architecture Blog, 2015).

use rand::Rng;
use std::time::Duration;

/// Counts tries and gives the wait before the next.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    tries: u32,
}

impl Backoff {
    /// Makes one whose bound starts at `base` and doubles up to `cap`.
    #[must_use]
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            tries: 0,
        }
    }

    /// Draws the next wait.
    pub fn next<R>(&mut self, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let bound = self
            .base
            .saturating_mul(1 << self.tries.min(16))
            .min(self.cap);
        self.tries += 1;
        bound.mul_f64(rng.random::<f64>())
    }

    /// Starts again after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
