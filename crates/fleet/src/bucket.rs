//! A token bucket, which says how long to wait when it is empty.

use std::time::{Duration, Instant};

/// A token bucket, kept as the time at which it will be full again.
#[derive(Debug, Clone)]
pub struct Bucket {
    interval: Duration,
    burst: u32,
    full_at: Option<Instant>,
}

impl Bucket {
    /// Makes a full bucket of `burst` tokens that gains one each `interval`.
    #[must_use]
    pub fn new(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            burst,
            full_at: None,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Gives the time until there is one.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let full_at = self.full_at.map_or(now, |at| at.max(now)) + self.interval;
        let debt = full_at - now;
        let limit = self.interval * self.burst;
        match debt.checked_sub(limit) {
            Some(wait) if !wait.is_zero() => Err(wait),
            _ => {
                self.full_at = Some(full_at);
                Ok(())
            }
        }
    }
}
