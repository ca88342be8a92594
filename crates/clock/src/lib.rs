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

use rustix::time::{ClockId, clock_gettime};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of time.
pub trait Clock: Clone + Unpin + Send + Sync + 'static {
    /// Returns the monotonic time, for deadlines and measured durations.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for records that people read.
    fn wall(&self) -> SystemTime;

    /// Returns for how long the machine has been suspended since it started, which [`Clock::now`]
    /// does not count.
    fn suspended(&self) -> Duration;
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

    fn suspended(&self) -> Duration {
        let mut shortest = (Duration::MAX, Duration::ZERO);
        for _ in 0..MAX_SUSPENDED_READS {
            let before = read(ClockId::Monotonic);
            let since_boot = read(ClockId::Boottime);
            let took = read(ClockId::Monotonic).saturating_sub(before);
            if took < shortest.0 {
                shortest = (took, since_boot.saturating_sub(before));
            }
            if took < MAX_SUSPENDED_ERROR {
                break;
            }
        }
        shortest.1
    }
}

/// Time between the two readings of a clock around that of another, above which they are repeated,
/// because the thread was paused in between.
const MAX_SUSPENDED_ERROR: Duration = Duration::from_millis(1);

/// Maximum number of such repeats.
const MAX_SUSPENDED_READS: u32 = 4;

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(time.tv_sec).unwrap_or_default(), nanos)
}

/// A clock whose time changes only when it is advanced; clones share the time.
#[derive(Debug, Clone)]
pub struct Manual {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
    suspended: Arc<Mutex<Duration>>,
}

impl Manual {
    /// Creates a clock whose wall-clock time starts at the Unix epoch.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Arc::default(),
            suspended: Arc::default(),
        }
    }

    /// Advances the time by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    /// Suspends the machine for `length`, which the monotonic time does not count.
    pub fn suspend(&self, length: Duration) {
        *self
            .suspended
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += length;
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
        SystemTime::UNIX_EPOCH + self.elapsed() + self.suspended()
    }

    fn suspended(&self) -> Duration {
        *self
            .suspended
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
