//! How old the configuration in force may be, as the calls of this node see it.

use clock::Clock;
use parking_lot::Mutex;
use std::time::{Duration, Instant};

/// Growth of the time for which the VM was suspended, above which a confirmation counts as too old.
/// Less is an error of reading two clocks one after the other.
const MAX_SUSPENSION: Duration = Duration::from_millis(20);

/// The latest confirmation that the configuration in force is the newest.
#[derive(Debug, Default)]
pub struct Freshness(Mutex<Option<Confirmation>>);

#[derive(Debug, Clone, Copy)]
struct Confirmation {
    at: Instant,
    /// For how long the VM had been suspended when the confirmation was recorded.
    suspended: Duration,
}

impl Freshness {
    /// Records that the configuration in force was the newest at `at`; `None` if that is unknown.
    pub fn set<C>(&self, clock: &C, at: Option<Instant>)
    where
        C: Clock,
    {
        let suspended = clock.suspended();
        *self.0.lock() = at.map(|at| Confirmation { at, suspended });
    }

    /// Returns the time since the configuration in force was the newest for certain; `None` if that
    /// is unknown.
    #[must_use]
    pub fn age<C>(&self, clock: &C) -> Option<Duration>
    where
        C: Clock,
    {
        let confirmation = (*self.0.lock())?;
        let slept = clock.suspended().saturating_sub(confirmation.suspended);
        (slept <= MAX_SUSPENSION).then(|| clock.now().saturating_duration_since(confirmation.at))
    }
}

/// Notices that the VM was suspended.
#[derive(Debug)]
pub(crate) struct SuspensionDetector {
    suspended: Duration,
}

impl SuspensionDetector {
    pub(crate) fn new<C>(clock: &C) -> Self
    where
        C: Clock,
    {
        Self {
            suspended: clock.suspended(),
        }
    }

    /// Returns whether the VM was suspended since the last call.
    pub(crate) fn was_suspended<C>(&mut self, clock: &C) -> bool
    where
        C: Clock,
    {
        let suspended = clock.suspended();
        let slept = suspended.saturating_sub(self.suspended);
        if slept > MAX_SUSPENSION {
            self.suspended = suspended;
        }
        slept > MAX_SUSPENSION
    }
}
