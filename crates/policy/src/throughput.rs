//! How fast a backend server works off what waits, and what was told to come back.
//!
//! *Load pattern:* an overload whose refused callers try again. *Without it*
//! Retry-After is a constant: too short and the same calls are refused over and
//! over, too long and slots stand idle. *Grounds:* the rate is measured, and
//! refused work is counted as a queue of its own that drains at that rate.

use std::time::Instant;

/// Bounds of a Retry-After, in seconds: the round trips of a refusal are not
/// worth less, and a person has gone away after more.
const RETRY_AFTER_RANGE: (f64, f64) = (0.05, 10.0);

/// Time over which the speed is averaged: a second of 6 slots is 200 calls of 30 ms.
const SPEED_DECAY_TIME: f64 = 1.0;

/// Slot-seconds at the expected speed with which a measurement is mixed, so
/// that one odd call alone does not count.
const PRIOR_WORK: f64 = 0.2;

/// Least speed assumed, so that waits stay finite.
const MIN_SPEED: f64 = 0.02;

/// Work done by a slot a second, as a share of what its calls were expected to take.
///
/// It is taken from durations, not from counting what ends: with jobs of a
/// second among calls of milliseconds, counts come in lumps. A backend server
/// that hangs ends nothing at all; it shows by the age of the calls that run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotSpeed {
    expected: f64,
    took: f64,
    updated_at: Instant,
    epoch: Instant,
    running: f64,
    running_expected: f64,
    running_start_sum: f64,
}

impl SlotSpeed {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            expected: 0.0,
            took: 0.0,
            updated_at: now,
            epoch: now,
            running: 0.0,
            running_expected: 0.0,
            running_start_sum: 0.0,
        }
    }

    pub(crate) fn start(&mut self, now: Instant, expected: f64) {
        self.running += 1.0;
        self.running_expected += expected;
        self.running_start_sum += self.since_epoch(now);
    }

    pub(crate) fn finish(&mut self, now: Instant, started: Instant, expected: f64) {
        self.running -= 1.0;
        if self.running < 0.5 {
            // An idle backend server is exactly idle: sums of floats would drift.
            self.running_expected = 0.0;
            self.running_start_sum = 0.0;
        } else {
            self.running_expected -= expected;
            self.running_start_sum -= self.since_epoch(started);
        }
        let decay = decay(now, self.updated_at, SPEED_DECAY_TIME);
        self.expected = self.expected * decay + expected;
        self.took = self.took * decay + now.saturating_duration_since(started).as_secs_f64();
        self.updated_at = now;
    }

    pub(crate) fn get(&self, now: Instant) -> f64 {
        let decay = decay(now, self.updated_at, SPEED_DECAY_TIME);
        let ages = self.running * self.since_epoch(now) - self.running_start_sum;
        let overdue = (ages - self.running_expected).max(0.0);
        let speed =
            (self.expected * decay + PRIOR_WORK) / (self.took * decay + PRIOR_WORK + overdue);
        speed.max(MIN_SPEED)
    }

    fn since_epoch(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.epoch).as_secs_f64()
    }
}

/// Time over which a lane's rate is averaged, at the least.
const LANE_DECAY_TIME: f64 = 0.5;

/// Time over which a lane that does not wait drifts to the whole. Longer than
/// the other: a class that gets little waits on and off, and a quick drift
/// forgot each time how little.
const IDLE_DECAY_TIME: f64 = 2.0;

/// Calls over which a lane's rate is averaged, at the least.
const MIN_LANE_CALLS: f64 = 8.0;

/// Slot-seconds a second that one class and kind of calls gets.
///
/// It is only seen while such calls wait. While none does, it drifts to what
/// all slots give: a lane that gets by without waiting could get more.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LaneRate {
    rate: f64,
    updated_at: Instant,
}

impl LaneRate {
    pub(crate) fn new(now: Instant, rate: f64) -> Self {
        Self {
            rate,
            updated_at: now,
        }
    }

    /// Takes in that none has waited since it was last asked.
    pub(crate) fn record_idle(&mut self, now: Instant, total_rate: f64) {
        let decay = decay(now, self.updated_at, IDLE_DECAY_TIME);
        self.rate = total_rate + (self.rate - total_rate) * decay;
        self.updated_at = now;
    }

    /// Takes in that one which waited has got its turn.
    pub(crate) fn record_served(&mut self, now: Instant, work: f64) {
        let decay_time = LANE_DECAY_TIME.max(MIN_LANE_CALLS * work);
        self.rate = self.rate * decay(now, self.updated_at, decay_time) + work / decay_time;
        self.updated_at = now;
    }

    /// Gives the rate for calls that are expected to take `work`.
    pub(crate) fn get(self, now: Instant, work: f64) -> f64 {
        self.rate
            * decay(
                now,
                self.updated_at,
                LANE_DECAY_TIME.max(MIN_LANE_CALLS * work),
            )
    }
}

fn decay(now: Instant, from: Instant, decay_time: f64) -> f64 {
    (-now.saturating_duration_since(from).as_secs_f64() / decay_time).exp()
}

/// Work that was refused and sent to come back later.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DeferredWork {
    work: f64,
    updated_at: Instant,
}

impl DeferredWork {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            work: 0.0,
            updated_at: now,
        }
    }

    /// Adds refused work; gives the seconds until it can be served.
    pub(crate) fn add(&mut self, now: Instant, work: f64, rate: f64) -> f64 {
        let drained = now.saturating_duration_since(self.updated_at).as_secs_f64() * rate;
        // Beyond the longest Retry-After more promises tell nothing new, and
        // would only outlast the overload.
        let max_work = RETRY_AFTER_RANGE.1 * rate;
        self.work = ((self.work - drained).max(0.0) + work).min(max_work);
        self.updated_at = now;
        (self.work / rate).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}
