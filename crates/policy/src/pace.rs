//! Pace of a backend server: how long work takes on its machine at this moment, as it reports.
//!
//! Consider dozens of backend servers on machines that others use as well. At any time one in seven
//! is two or three times as slow as usual, each for some tenths of a second. What is learned from
//! durations is known only after slow calls have ended, when another backend server is slow, and
//! the mean of a route varies with the share of slow calls in it.
//!
//! Durations are therefore learned at the usual pace, and predictions are multiplied by the pace of
//! now. A report may be missing, old, wrong or frozen, so it is believed only as far as durations
//! confirm it:
//!
//! - The usual pace is the mean of the readings, so that a constant reading has no effect.
//! - The weight of the readings follows the durations by normalised least mean squares (Widrow and
//!   Hoff, 1960): it falls to nothing if calls take as long as before whatever is reported.
//! - A reading loses its effect as it ages.

use crate::duration::Mean;
use crate::self_report::Percent;
use std::time::{Duration, Instant};

/// Time after which a reading has a third of its effect. Backend servers with traffic report many
/// times in this time, and a spell of other work on the machine lasts about as long.
const FADE_TIME: Duration = Duration::from_millis(500);

/// Age after which a reading has no effect.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Lowest and highest pace that a reading can have, in multiples of the usual one.
const RANGE: (f64, f64) = (0.25, 8.0);

/// Readings after which the usual pace becomes a moving average. At 40 responses a second, it spans
/// some three seconds, which is several spells.
const USUAL_SAMPLES: u32 = 128;

/// Step of the weight of the readings for each call.
const WEIGHT_STEP: f64 = 1.0 / 32.0;

/// Weight up to which readings have no effect. Readings that vary at random are now and then
/// confirmed by chance.
const MIN_WEIGHT: f64 = 0.2;

/// Added to the variance of the readings, so that hardly varying readings decide nothing.
const MIN_VARIANCE: f64 = 0.02;

/// Lower bound of the ratio of two durations, which keeps its logarithm finite.
const MIN_RATIO: f64 = 1e-3;

/// Largest error of a prediction, as a logarithm, that counts: one call that happens to take many
/// times as long as others says nothing of the pace.
const MAX_ERROR: f64 = 1.0;

/// Ratio of durations at a pace to those at the usual pace, as known at some time; it approaches 1
/// with the age.
#[derive(Debug, Clone, Copy)]
pub struct Slowness {
    log: f64,
    at: Instant,
}

impl Slowness {
    /// Creates a ratio that is known at the time `at`.
    #[must_use]
    pub fn new(at: Instant, ratio: f64) -> Self {
        let ratio = if ratio.is_finite() { ratio } else { 1.0 };
        let log = ratio.clamp(RANGE.0, RANGE.1).ln();
        Self { log, at }
    }

    /// Returns the ratio that is left at the time `now`.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        self.faded_log(now).exp()
    }

    /// Returns the logarithm of the ratio that is left at the time `now`.
    ///
    /// What has faded on one node continues to fade on another as if the age had been sent along.
    fn faded_log(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        if age > MAX_AGE {
            return 0.0;
        }
        self.log * (-age.as_secs_f64() / FADE_TIME.as_secs_f64()).exp()
    }
}

/// Pace of the backend server that is next to a node, from its reports.
#[derive(Debug, Clone, Copy)]
pub struct Tracker {
    /// Last reading, relative to the usual pace at that time.
    last: Option<Slowness>,
    /// Mean of the logarithms of the readings.
    usual: Mean<USUAL_SAMPLES>,
    /// Variance of the logarithms of the readings.
    variance: Mean<USUAL_SAMPLES>,
    /// How far durations confirm the readings, from 0 to 1.
    weight: f64,
}

/// What was known of the pace when a call started.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    /// Logarithm of the last reading at the time, relative to the usual pace.
    log: f64,
}

impl Tracker {
    /// Creates a tracker without a reading; the first ones have no effect yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            last: None,
            usual: Mean::default(),
            variance: Mean::default(),
            weight: 0.0,
        }
    }

    /// Records a reading.
    pub fn record(&mut self, now: Instant, pace: Percent) {
        let log = pace.ratio().clamp(RANGE.0, RANGE.1).ln();
        self.usual.add(log);
        let deviation = log - self.usual.get().unwrap_or(log);
        self.variance.add(deviation.powi(2));
        self.last = Some(Slowness {
            log: deviation,
            at: now,
        });
    }

    /// Returns the ratio of durations now to those at the usual pace.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        (self.confirmed() * self.last_log(now)).exp()
    }

    /// Returns the ratio as it is reported to other nodes; `None` if there is no reading that has an
    /// effect.
    #[must_use]
    pub fn known(&self, now: Instant) -> Option<f64> {
        let is_current = |last: &Slowness| now.saturating_duration_since(last.at) <= MAX_AGE;
        self.last.filter(is_current).map(|_| self.get(now))
    }

    /// Returns what has to be kept of the pace for a call that starts now.
    #[must_use]
    pub fn start(&self, now: Instant) -> Start {
        Start {
            log: self.last_log(now),
        }
    }

    /// Returns how long a call that took `took` would have taken at the usual pace.
    #[must_use]
    pub fn at_usual_pace(&self, start: Start, took: Duration) -> Duration {
        took.div_f64((self.confirmed() * start.log).exp())
    }

    /// Compares the readings with a call that has ended. `usual` is its duration as returned by
    /// [`Self::at_usual_pace`], and `expected` the mean of earlier calls of its route, in seconds.
    pub fn learn(&mut self, start: Start, usual: Duration, expected: f64) {
        let error = (usual.as_secs_f64() / expected).max(MIN_RATIO).ln();
        let error = error.clamp(-MAX_ERROR, MAX_ERROR);
        let variance = self.variance.get().unwrap_or(0.0) + MIN_VARIANCE;
        let step = WEIGHT_STEP * error * start.log / variance;
        self.weight = (self.weight + step).clamp(0.0, 1.0);
    }

    /// Returns the share of a reading that is used.
    fn confirmed(&self) -> f64 {
        ((self.weight - MIN_WEIGHT) / (1.0 - MIN_WEIGHT)).max(0.0)
    }

    fn last_log(&self, now: Instant) -> f64 {
        self.last.map_or(0.0, |last| last.faded_log(now))
    }
}

impl Default for Tracker {
    fn default() -> Self {
        Self::new()
    }
}
