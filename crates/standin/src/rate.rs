//! Rate limiter for calls.

use std::time::{Duration, Instant};

/// Token bucket with a capacity of one second's calls.
#[derive(Debug)]
pub struct RateLimiter {
    tokens_per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            tokens_per_second: per_second.into(),
            tokens: per_second.into(),
            refilled_at: now,
        }
    }

    /// Takes a token for a call.
    ///
    /// # Errors
    ///
    /// The time until the next token is available, if the bucket is empty.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        let added = now.duration_since(self.refilled_at).as_secs_f64() * self.tokens_per_second;
        self.tokens = (self.tokens + added).min(self.tokens_per_second);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            let missing = (1.0 - self.tokens) / self.tokens_per_second.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
