//! Measured throughput of a backend server, and the backlog of work that it refused.
//!
//! Refused callers retry during an overload. With a constant Retry-After that is too short, the
//! same calls are refused again and again; with one that is too long, slots stay idle. Retry-After
//! is therefore computed: refused work is counted as a virtual queue that drains at the measured
//! throughput.

use std::time::Instant;

/// Shortest and longest Retry-After, in seconds: a shorter one would not be worth the round trips
/// of another refusal, and before the end of a longer one, a person has given up waiting.
const RETRY_AFTER_RANGE: (f64, f64) = (0.05, 10.0);

/// Time constant of the speed, in seconds: one second of 6 slots is 200 calls of 30 ms.
const SPEED_DECAY_TIME: f64 = 1.0;

/// Slot-seconds at the expected speed that are mixed into a measurement, so that a single unusual
/// call has little weight.
const PRIOR_WORK: f64 = 0.2;

/// Lower bound of the speed, which keeps waits finite.
const MIN_SPEED: f64 = 0.02;

/// Speed of a slot: how long its calls were expected to take, divided by how long they took.
///
/// It is derived from durations and not from the number of completions, which is irregular when
/// jobs of a second run among calls of milliseconds. A backend server that hangs completes nothing
/// at all; it is recognized by the age of its running calls.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotSpeed {
    /// Expected durations of finished calls, as a decayed sum in seconds.
    expected: f64,
    /// Actual durations of finished calls, as a decayed sum in seconds.
    took: f64,
    updated_at: Instant,
    epoch: Instant,
    /// Number of running calls.
    running: f64,
    /// Sum of the expected durations of the running calls, in seconds.
    running_expected: f64,
    /// Sum of the start times of the running calls, in seconds since `epoch`.
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
            // Resets the sums of floats while idle, so that rounding errors do not accumulate.
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

/// Minimum time constant of a lane's rate, in seconds.
const LANE_DECAY_TIME: f64 = 0.5;

/// Time constant, in seconds, with which the rate of a lane without waiting calls approaches the
/// total rate. It is longer than [`LANE_DECAY_TIME`]: a lane with a small share has waiting calls
/// only intermittently, and with a faster approach the low rate was forgotten each time.
const IDLE_DECAY_TIME: f64 = 2.0;

/// Minimum number of calls over which a lane's rate is averaged.
const MIN_LANE_CALLS: f64 = 8.0;

/// Slot-seconds per second that a lane (the short or the long calls of one tier) gets.
///
/// The rate is only observable while calls of the lane wait. While none waits, it approaches the
/// rate of all slots, because a lane that is served without waiting could get more.
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

    /// Records that no call of the lane has waited since the last update.
    pub(crate) fn record_idle(&mut self, now: Instant, total_rate: f64) {
        let decay = decay(now, self.updated_at, IDLE_DECAY_TIME);
        self.rate = total_rate + (self.rate - total_rate) * decay;
        self.updated_at = now;
    }

    /// Records that a waiting call was started.
    pub(crate) fn record_served(&mut self, now: Instant, work: f64) {
        let decay_time = LANE_DECAY_TIME.max(MIN_LANE_CALLS * work);
        self.rate = self.rate * decay(now, self.updated_at, decay_time) + work / decay_time;
        self.updated_at = now;
    }

    /// Returns the rate for calls that are expected to take `work` slot-seconds.
    pub(crate) fn get(self, now: Instant, work: f64) -> f64 {
        self.rate
            * decay(
                now,
                self.updated_at,
                LANE_DECAY_TIME.max(MIN_LANE_CALLS * work),
            )
    }
}

/// Time constant of the offered work, in seconds.
const OFFERED_DECAY_TIME: f64 = 1.0;

/// Number of ranges of durations, each of which spans a factor of two.
const DURATION_RANGES: usize = 20;

/// Upper end of the first range of durations, in seconds, as a power of two: 1/1024 s.
const FIRST_RANGE_LOG2: f64 = -10.0;

/// Slots that arriving calls would keep busy if all of them were served, by expected duration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OfferedWork {
    /// Slot-seconds per second of the calls in each range of durations.
    rates: [f64; DURATION_RANGES],
    updated_at: Instant,
}

impl OfferedWork {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rates: [0.0; DURATION_RANGES],
            updated_at: now,
        }
    }

    /// Records the arrival of a call that is expected to take `seconds`.
    pub(crate) fn record(&mut self, now: Instant, seconds: f64) {
        let decay = decay(now, self.updated_at, OFFERED_DECAY_TIME);
        for rate in &mut self.rates {
            *rate *= decay;
        }
        self.rates[duration_range(seconds)] += seconds / OFFERED_DECAY_TIME;
        self.updated_at = now;
    }

    /// Returns the number of slots that calls of shorter ranges than that of `seconds` would keep
    /// busy.
    pub(crate) fn shorter_than(&self, now: Instant, seconds: f64) -> f64 {
        let shorter = &self.rates[..duration_range(seconds)];
        shorter.iter().sum::<f64>() * decay(now, self.updated_at, OFFERED_DECAY_TIME)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the ranges"
)]
fn duration_range(seconds: f64) -> usize {
    let range = (seconds.log2() - FIRST_RANGE_LOG2).ceil().max(0.0) as usize;
    range.min(DURATION_RANGES - 1)
}

fn decay(now: Instant, from: Instant, decay_time: f64) -> f64 {
    (-now.saturating_duration_since(from).as_secs_f64() / decay_time).exp()
}

/// Refused work whose callers were told to return later.
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

    /// Adds refused work and returns the seconds until it can be served.
    pub(crate) fn add(&mut self, now: Instant, work: f64, rate: f64) -> f64 {
        let drained = now.saturating_duration_since(self.updated_at).as_secs_f64() * rate;
        // Beyond the longest Retry-After, more deferred work gives no further information and would
        // only outlast the overload.
        let max_work = RETRY_AFTER_RANGE.1 * rate;
        self.work = ((self.work - drained).max(0.0) + work).min(max_work);
        self.updated_at = now;
        (self.work / rate).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}
