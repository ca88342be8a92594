//! How fast a backend server works off what waits, and what was told to come back.
//!
//! *Load pattern:* an overload whose refused callers try again. *Without it*
//! Retry-After is a constant: too short and the same calls are refused over and
//! over, too long and slots stand idle. *Grounds:* the rate is measured, and
//! refused work is counted as a queue of its own that drains at that rate.

use std::time::Instant;

/// Bounds of a Retry-After, in seconds: the round trips of a refusal are not
/// worth less, and a person has gone away after more.
const RETRY_AFTER: (f64, f64) = (0.05, 10.0);

/// Slot-seconds of work done a second, measured while all slots are busy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rate {
    rate: f64,
    at: Instant,
}

impl Rate {
    /// Time over which the rate is averaged: a backend server that hangs is
    /// seen in it, and 6 slots of 10 ms end 300 calls in it.
    const MEMORY: f64 = 0.5;

    /// Least rate assumed, as a share of the limit, so that waits stay finite.
    pub(crate) const LEAST: f64 = 0.02;

    pub(crate) fn new(now: Instant, rate: f64) -> Self {
        Self { rate, at: now }
    }

    pub(crate) fn get(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.rate * (-age / Self::MEMORY).exp()
    }

    pub(crate) fn add(&mut self, now: Instant, work: f64) {
        self.rate = self.get(now) + work / Self::MEMORY;
        self.at = now;
    }

    pub(crate) fn reset(&mut self, now: Instant, rate: f64) {
        self.rate = rate;
        self.at = now;
    }
}

/// Work that was refused and sent to come back later.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Promise {
    work: f64,
    at: Instant,
}

impl Promise {
    pub(crate) fn new(now: Instant) -> Self {
        Self { work: 0.0, at: now }
    }

    /// Adds refused work; gives the seconds until it can be served.
    pub(crate) fn add(&mut self, now: Instant, work: f64, rate: f64) -> f64 {
        let drained = now.saturating_duration_since(self.at).as_secs_f64() * rate;
        // Beyond the longest Retry-After more promises tell nothing new, and
        // would only outlast the overload.
        let most = RETRY_AFTER.1 * rate;
        self.work = ((self.work - drained).max(0.0) + work).min(most);
        self.at = now;
        (self.work / rate).clamp(RETRY_AFTER.0, RETRY_AFTER.1)
    }
}
