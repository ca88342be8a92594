//! Timeout of calls to a platform that may be slow.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Maximum number of doublings of the timeout: a call on a connection that has gone silent must
/// fail within the few seconds in which a version has to be in force.
const MAX_DOUBLINGS: u32 = 2;

/// Timeout of a call, which doubles while the platform is slow.
///
/// With a short fixed timeout, every call to a platform whose responses take slightly longer
/// would fail, although the platform answers all of them. With a long fixed timeout, a call on a
/// silent connection would fail only after that long.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    base: Duration,
    doublings: AtomicU32,
}

impl AdaptiveTimeout {
    /// Creates a timeout that starts at `base`.
    #[must_use]
    pub fn new(base: Duration) -> Self {
        Self {
            base,
            doublings: AtomicU32::new(0),
        }
    }

    /// Returns the timeout of the next call.
    #[must_use]
    pub fn current(&self) -> Duration {
        self.base * (1 << self.doublings.load(Ordering::Relaxed))
    }

    /// Records that a call got no response within `timeout`.
    pub fn record_timeout(&self, timeout: Duration) {
        let doublings = self.doublings.load(Ordering::Relaxed);
        // Concurrent calls that all timed out count as one.
        if timeout == self.current() && doublings < MAX_DOUBLINGS {
            self.doublings.store(doublings + 1, Ordering::Relaxed);
        }
    }

    /// Records that a call got its response after `time`; a response in less than half the initial
    /// timeout resets the timeout to its initial value.
    pub fn record_response(&self, time: Duration) {
        if time < self.base / 2 {
            self.doublings.store(0, Ordering::Relaxed);
        }
    }
}
