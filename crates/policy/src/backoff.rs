//! Waits between tries, spread so that a herd does not come back as one.
//!
//! *Load pattern:* many processes lose the same peer at the same instant and
//! try again. *Without it* they return together, at every doubling, and the
//! peer that comes back is pushed over again. *Grounds:* full jitter gives the
//! fewest calls in total among the ways compared in "Exponential Backoff And
//! Jitter" (AWS Architecture Blog, 2015).

use rand::Rng;
use std::time::Duration;

/// Waits that grow from try to try, each drawn anew from nought to the ceiling.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    ceiling: Duration,
}

impl Backoff {
    /// Starts with a ceiling of `base`, which doubles up to `cap`.
    #[must_use]
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            ceiling: base.min(cap),
        }
    }

    /// Draws the wait before the next try.
    pub fn next_delay<R>(&mut self, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let wait = rng.random_range(Duration::ZERO..=self.ceiling);
        self.ceiling = self.ceiling.saturating_mul(2).min(self.cap);
        wait
    }

    /// Starts again from the base, after a success.
    pub fn reset(&mut self) {
        self.ceiling = self.base.min(self.cap);
    }
}

/// Spreads a wait that must not be cut short over once to twice its length.
///
/// A Retry-After is the time until there is room: coming earlier is in vain,
/// and all coming exactly then is the next burst.
#[must_use]
pub fn add_jitter<R>(wait: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    rng.random_range(wait..=wait.saturating_mul(2))
}
