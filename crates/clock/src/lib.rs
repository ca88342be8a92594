//! A clock trait with two implementations: the operating system's clock, and one that tests
//! advance manually.
//!
//! ```
//! use clock::{Clock, Manual};
//! use std::time::Duration;
//!
//! let clock = Manual::new();
//! let start = clock.now();
//! clock.advance(Duration::from_secs(5));
//! assert_eq!(clock.now() - start, Duration::from_secs(5));
//! ```

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time, for deadlines and measured durations.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for records that people read.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock whose time changes only when it is advanced; clones share the time.
#[derive(Debug, Clone)]
pub struct Manual {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl Manual {
    /// Creates a clock whose wall-clock time starts at the Unix epoch.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Arc::default(),
        }
    }

    /// Advances the time by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
