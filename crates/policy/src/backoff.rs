//! Backoff delays with jitter between attempts.
//!
//! Many processes can lose the same peer at the same instant and retry. Without jitter they would
//! return together after every doubling and overload the peer again as soon as it is back. Full
//! jitter needs the fewest calls in total among the methods compared in "Exponential Backoff And
//! Jitter" (AWS Architecture Blog, 2015).

use rand::Rng;
use std::time::Duration;

/// Exponential backoff with full jitter: each delay is drawn between zero and a ceiling that grows
/// with each attempt.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    ceiling: Duration,
}

impl Backoff {
    /// Creates a backoff whose ceiling starts at `base` and doubles with each attempt, up to `cap`.
    #[must_use]
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            ceiling: base.min(cap),
        }
    }

    /// Draws the delay before the next attempt.
    pub fn next_delay<R>(&mut self, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let wait = rng.random_range(Duration::ZERO..=self.ceiling);
        self.ceiling = self.ceiling.saturating_mul(2).min(self.cap);
        wait
    }

    /// Resets the ceiling to the base after a success.
    pub fn reset(&mut self) {
        self.ceiling = self.base.min(self.cap);
    }
}

/// Adds jitter to a delay that must not be shortened: the result is between `wait` and twice
/// `wait`.
///
/// A Retry-After is the time until the node that refused a call is expected to have room. Returning
/// earlier is useless, and if all callers returned exactly at the end of that time, they would form
/// the next burst.
#[must_use]
pub fn add_jitter<R>(wait: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    rng.random_range(wait..=wait.saturating_mul(2))
}
