//! A leaky bucket that returns how long to wait when it is full.

use std::time::{Duration, Instant};

/// A leaky bucket of work, which is measured by the time that it takes. The level of the bucket is
/// stored as the time at which the bucket will be empty.
#[derive(Debug, Clone)]
pub struct LeakyBucket {
    capacity: Duration,
    drained_at: Option<Instant>,
}

impl LeakyBucket {
    /// Creates an empty bucket that holds up to `capacity` of work.
    #[must_use]
    pub fn new(capacity: Duration) -> Self {
        Self {
            capacity,
            drained_at: None,
        }
    }

    /// Adds work if it fits. An empty bucket accepts any amount.
    ///
    /// # Errors
    ///
    /// If the bucket is too full, returns the time until the work fits or the bucket is empty,
    /// whichever comes first.
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
