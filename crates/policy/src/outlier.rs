//! Outlier detection: which backend servers are ejected, for how long, and how they return.
//!
//! A faulty backend server may answer with errors within a millisecond, or ten times as slowly as
//! the others, while reporting that it is healthy. Fast errors look like speed and free slots and
//! would attract the calls of all proxies.
//!
//! Only the outcomes of calls are used, never a health report. A backend server is compared with
//! its peers in the same service, so that a fault common to all of them ejects none. At most half
//! of them are ejected (Envoy's outlier detection has a similar limit): with too few left, the rest
//! would be overloaded one after the other.

use rand::Rng;
use std::time::{Duration, Instant};

/// Number of consecutive failures that make a backend server an outlier at once; at an overall
/// failure rate of 10%, this happens by chance once in 100,000 calls.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Number of consecutive slow answers that make a backend server an outlier at once; with service
/// times that vary as much as their mean, this happens by chance once in 160,000 calls.
const MAX_CONSECUTIVE_SLOW: u32 = 3;

/// Amount by which the failure rate of an outlier exceeds that of its peers.
const EXCESS_FAILURE_RATE: f64 = 0.3;

/// Multiple of the peers' slowdown above which a backend server is an outlier, and slowdown from
/// which a single answer counts as slow.
pub(crate) const SLOW_FACTOR: f64 = 4.0;

/// Weight of a new sample in the moving averages, which span about ten calls.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Number of samples needed before the averages are used.
const MIN_SAMPLES: u32 = 10;

/// Duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Upper bound of the duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_mins(1);

/// Number of good calls since the start of an ejection that are needed to end the ejection, once
/// its time has passed; a bad test call starts a new ejection.
const RECOVERY_CALLS: u32 = 3;

/// Time without an ejection after which earlier ejections are forgotten.
const EJECTION_MEMORY: Duration = Duration::from_mins(1);

/// Outcome of a call, as far as it concerns the health of its backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// The call was answered after this multiple of the normal duration of its route.
    Answered(f64),
    /// The call failed.
    Failed,
}

/// Whether a backend server may be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionState {
    /// The backend server may be selected.
    Active,
    /// The backend server may not be selected.
    Ejected,
    /// The backend server may be tested by one call at a time.
    HalfOpen,
}

/// Health of one backend server, from the outcomes of its calls.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    failure_rate: f64,
    slowdown: f64,
    samples: u32,
    consecutive_failures: u32,
    consecutive_slow: u32,
    ejection: Option<Ejection>,
    /// Number of ejections, forgotten as [`EJECTION_MEMORY`] says.
    ejection_count: u32,
    active_since: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Instant,
    good_calls: u32,
}

impl Health {
    /// Creates the state of a healthy backend server.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            failure_rate: 0.0,
            slowdown: 1.0,
            samples: 0,
            consecutive_failures: 0,
            consecutive_slow: 0,
            ejection: None,
            ejection_count: 0,
            active_since: now,
        }
    }

    /// Returns the moving average of the failure rate.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the moving average of the slowdown: the duration of a call in multiples of the
    /// normal duration of its route.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns whether the backend server may be selected.
    #[must_use]
    pub fn state(&self, now: Instant) -> EjectionState {
        match self.ejection {
            None => EjectionState::Active,
            Some(ejection) if now < ejection.until => EjectionState::Ejected,
            Some(_) => EjectionState::HalfOpen,
        }
    }

    /// Returns the end of the ejection time, if the backend server is not active.
    #[must_use]
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejection.map(|ejection| ejection.until)
    }

    /// Records the outcome of a call. Returns whether the call ended an ejection.
    pub fn record<R>(
        &mut self,
        now: Instant,
        sample: Sample,
        peers: &PeerAverages,
        rng: &mut R,
    ) -> bool
    where
        R: Rng,
    {
        self.count(sample);
        let Some(ejection) = &mut self.ejection else {
            return false;
        };
        let is_good = match sample {
            Sample::Answered(slowdown) => slowdown < SLOW_FACTOR * peers.slowdown,
            Sample::Failed => false,
        };
        if !is_good {
            // A call that fails before the end of the ejection time began before the ejection,
            // which is not renewed for it.
            if now >= ejection.until {
                self.eject(now, rng);
            }
            return false;
        }
        ejection.good_calls += 1;
        if now < ejection.until || ejection.good_calls < RECOVERY_CALLS {
            return false;
        }
        self.readmit(now);
        true
    }

    /// Returns whether the last calls have all failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Ends an ejection before its time; former samples no longer count.
    pub fn readmit(&mut self, now: Instant) {
        *self = Self {
            ejection_count: self.ejection_count,
            ..Self::new(now)
        };
    }

    /// Returns whether the backend server differs widely from its peers.
    #[must_use]
    pub fn is_outlier(&self, peers: &PeerAverages) -> bool {
        if self.is_failing() && peers.failure_rate < EXCESS_FAILURE_RATE {
            return true;
        }
        if self.consecutive_slow >= MAX_CONSECUTIVE_SLOW && peers.slowdown < SLOW_FACTOR / 2.0 {
            return true;
        }
        if self.samples < MIN_SAMPLES {
            return false;
        }
        self.failure_rate > peers.failure_rate + EXCESS_FAILURE_RATE
            || self.slowdown > SLOW_FACTOR * peers.slowdown
    }

    /// Ejects the backend server for a time that doubles with each ejection and is spread by
    /// jitter.
    pub fn eject<R>(&mut self, now: Instant, rng: &mut R)
    where
        R: Rng,
    {
        if self.ejection.is_none()
            && now.saturating_duration_since(self.active_since) > EJECTION_MEMORY
        {
            self.ejection_count = 0;
        }
        let wait = FIRST_EJECTION_TIME
            .saturating_mul(1 << self.ejection_count.min(8))
            .min(MAX_EJECTION_TIME);
        self.ejection_count += 1;
        self.ejection = Some(Ejection {
            until: now + wait.mul_f64(rng.random_range(0.75..1.25)),
            good_calls: 0,
        });
    }

    /// Records a sample if it is a normal answer of an active backend server, and returns whether
    /// it was.
    ///
    /// A normal answer cannot make an outlier, so most samples skip the comparison with all peers
    /// of the service.
    pub fn record_if_normal(&mut self, now: Instant, sample: Sample) -> bool {
        let is_normal = matches!(sample, Sample::Answered(slowdown) if slowdown < SLOW_FACTOR);
        let is_normal = is_normal && self.state(now) == EjectionState::Active;
        if is_normal {
            self.count(sample);
        }
        is_normal
    }

    fn count(&mut self, sample: Sample) {
        self.samples = self.samples.saturating_add(1);
        let failed = match sample {
            Sample::Answered(slowdown) => {
                self.consecutive_failures = 0;
                self.consecutive_slow = if slowdown < SLOW_FACTOR {
                    0
                } else {
                    self.consecutive_slow + 1
                };
                // A single extreme value must not cause an ejection, so the slowdown is capped at
                // ten.
                self.slowdown += SAMPLE_WEIGHT * (slowdown.min(10.0) - self.slowdown);
                0.0
            }
            Sample::Failed => {
                self.consecutive_failures += 1;
                1.0
            }
        };
        self.failure_rate += SAMPLE_WEIGHT * (failed - self.failure_rate);
    }
}

/// Averages over the other backend servers of a service.
#[derive(Debug, Clone, Copy)]
pub struct PeerAverages {
    /// Share of calls that failed.
    pub failure_rate: f64,
    /// Duration of calls in multiples of the normal duration.
    pub slowdown: f64,
}

/// Returns whether another of the service's `endpoints` may be ejected when `ejected` of them are
/// already.
#[must_use]
pub fn can_eject_another(endpoints: usize, ejected: usize) -> bool {
    (ejected + 1) * 2 <= endpoints
}
