//! A limit on calls a second.

use std::time::{Duration, Instant};

/// Refills a bucket of one second's calls; over that, calls are refused.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    left: f64,
    refilled: Instant,
}

impl RateLimiter {
    /// Makes a full bucket.
    #[must_use]
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: per_second.into(),
            left: per_second.into(),
            refilled: now,
        }
    }

    /// Takes one call, or tells how long until there is room for one.
    ///
    /// # Errors
    ///
    /// The wait.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        let gained = now.duration_since(self.refilled).as_secs_f64() * self.per_second;
        self.left = (self.left + gained).min(self.per_second);
        self.refilled = now;
        if self.left < 1.0 {
            let missing = (1.0 - self.left) / self.per_second.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX));
        }
        self.left -= 1.0;
        Ok(())
    }
}
