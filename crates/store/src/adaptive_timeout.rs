//! How long to wait for an answer of a platform that may be slow.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Times that the limit is doubled at most: a call that is lost to a silent
/// connection must end within the few seconds that a version may take.
const MAX_DOUBLINGS: u32 = 2;

/// The time limit of a call: doubled while the platform is slow.
///
/// With a fixed limit a platform that takes a little longer than that would
/// serve nobody, for as long as it is slow, although it answers every call.
/// With a long one each silent connection would cost as much.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    base: Duration,
    doublings: AtomicU32,
}

impl AdaptiveTimeout {
    /// Starts with `base` as the limit.
    #[must_use]
    pub fn new(base: Duration) -> Self {
        Self {
            base,
            doublings: AtomicU32::new(0),
        }
    }

    /// Gives the limit for the next call.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.base * (1 << self.doublings.load(Ordering::Relaxed))
    }

    /// Notes that a call got no answer within `limit`.
    pub fn record_timeout(&self, limit: Duration) {
        let doublings = self.doublings.load(Ordering::Relaxed);
        // Calls that ran at once and all ended so count as one.
        if limit == self.limit() && doublings < MAX_DOUBLINGS {
            self.doublings.store(doublings + 1, Ordering::Relaxed);
        }
    }

    /// Notes that a call was answered after `time`.
    pub fn record_answer(&self, time: Duration) {
        if time < self.base / 2 {
            self.doublings.store(0, Ordering::Relaxed);
        }
    }
}
