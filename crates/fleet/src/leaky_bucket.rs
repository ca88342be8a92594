//! A leaky bucket, which says how long to wait when it is full.

use std::time::{Duration, Instant};

/// A leaky bucket of work, kept as the time at which the work will be done.
#[derive(Debug, Clone)]
pub struct LeakyBucket {
    capacity: Duration,
    drained_at: Option<Instant>,
}

impl LeakyBucket {
    /// Makes an empty bucket that holds `capacity` work.
    #[must_use]
    pub fn new(capacity: Duration) -> Self {
        Self {
            capacity,
            drained_at: None,
        }
    }

    /// Takes work in, if there is room; into an empty one, however much it is.
    ///
    /// # Errors
    ///
    /// Gives the time until there is room.
    pub fn admit(&mut self, now: Instant, work: Duration) -> Result<(), Duration> {
        let begins_at = self.drained_at.map_or(now, |at| at.max(now));
        let done_at = begins_at + work;
        match (done_at - now).checked_sub(self.capacity) {
            Some(wait) if !wait.is_zero() && begins_at > now => Err(wait.min(begins_at - now)),
            _ => {
                self.drained_at = Some(done_at);
                Ok(())
            }
        }
    }
}
