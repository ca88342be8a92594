//! Rate limiter for calls.

use std::time::{Duration, Instant};

/// Token bucket with a capacity of one second's calls.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateLimiter {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: per_second.into(),
            tokens: per_second.into(),
            refilled: now,
        }
    }

    /// Takes a token for a call.
    ///
    /// # Errors
    ///
    /// The time until a token is available, if there is none.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        let added = now.duration_since(self.refilled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + added).min(self.per_second);
        self.refilled = now;
        if self.tokens < 1.0 {
            let missing = (1.0 - self.tokens) / self.per_second.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
