//! Which backend servers are taken out of the choice, for how long, and how they come back.
//!
//! *Load pattern:* one backend server answers errors within a millisecond, or
//! everything ten times as slowly, and reports that it is well. *Without it*
//! fast errors look like speed and a free slot, and draw the calls of all.
//! *Grounds:* only what calls came to is believed, never a health report; a
//! backend server is compared with the others of its service, so that a fault
//! common to all ejects none. Never more than half are out (Envoy's outlier
//! detection has such a floor as well): with too few left the rest would be
//! pushed over in turn.

use rand::Rng;
use std::time::{Duration, Instant};

/// Failures in a row that make an outlier at once: by chance, at 10% failures
/// of all, that is 1 in 100,000 calls.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Slow answers in a row that make an outlier at once: with service times that
/// vary as much as their mean, by chance 1 in 160,000 calls.
const MAX_CONSECUTIVE_SLOW: u32 = 3;

/// Share of failures beyond the others' that makes an outlier.
const EXCESS_FAILURE_RATE: f64 = 0.3;

/// Times the others' stretch that makes an outlier.
pub(crate) const SLOW_FACTOR: f64 = 4.0;

/// Weight of a new sample: a window of about ten calls.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Samples needed before the shares mean anything.
const MIN_SAMPLES: u32 = 10;

/// First ejection; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(5);

/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_mins(1);

/// Good probes in a row that bring it back in.
const RECOVERY_CALLS: u32 = 3;

/// Time in service after which former ejections are forgotten.
const EJECTION_MEMORY: Duration = Duration::from_mins(1);

/// What a call says of the health of its backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// It was answered, in that many times the usual duration of its route.
    Answered(f64),
    /// It failed.
    Failed,
}

/// Whether a backend server is in the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionState {
    /// It is.
    Active,
    /// It is not.
    Ejected,
    /// One call at a time may try it.
    HalfOpen,
}

/// What calls to one backend server came to.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    failure_rate: f64,
    slowdown: f64,
    samples: u32,
    consecutive_failures: u32,
    consecutive_slow: u32,
    ejection: Option<Ejection>,
    ejections: u32,
    active_since: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Instant,
    good_calls: u32,
}

impl Health {
    /// Starts as healthy.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            failure_rate: 0.0,
            slowdown: 1.0,
            samples: 0,
            consecutive_failures: 0,
            consecutive_slow: 0,
            ejection: None,
            ejections: 0,
            active_since: now,
        }
    }

    /// Gives the share of calls that failed lately.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Gives how many times the usual duration calls took lately.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Tells whether it is in the choice.
    #[must_use]
    pub fn state(&self, now: Instant) -> EjectionState {
        match self.ejection {
            None => EjectionState::Active,
            Some(ejection) if now < ejection.until => EjectionState::Ejected,
            Some(_) => EjectionState::HalfOpen,
        }
    }

    /// Gives the end of its ejection.
    #[must_use]
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejection.map(|ejection| ejection.until)
    }

    /// Takes in what a call came to; tells whether a probe brought it back in.
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
            // Answers to calls from before the ejection come in as well.
            if now >= ejection.until {
                self.eject(now, rng);
            }
            return false;
        }
        ejection.good_calls += 1;
        if now < ejection.until || ejection.good_calls < RECOVERY_CALLS {
            return false;
        }
        let ejections = self.ejections;
        *self = Self {
            ejections,
            ..Self::new(now)
        };
        true
    }

    /// Tells whether it is far off from the others of its service.
    #[must_use]
    pub fn is_outlier(&self, peers: &PeerAverages) -> bool {
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            && peers.failure_rate < EXCESS_FAILURE_RATE
        {
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

    /// Takes it out of the choice, for a time that doubles and is spread by jitter.
    pub fn eject<R>(&mut self, now: Instant, rng: &mut R)
    where
        R: Rng,
    {
        if self.ejection.is_none()
            && now.saturating_duration_since(self.active_since) > EJECTION_MEMORY
        {
            self.ejections = 0;
        }
        let wait = FIRST_EJECTION
            .saturating_mul(1 << self.ejections.min(8))
            .min(MAX_EJECTION);
        self.ejections += 1;
        self.ejection = Some(Ejection {
            until: now + wait.mul_f64(rng.random_range(0.75..1.25)),
            good_calls: 0,
        });
    }

    /// Takes in a sample if it is one of the usual, and tells whether it was.
    ///
    /// Judging looks at all others of the service. Most calls are answered as
    /// usual by one that is in the choice, which can make no outlier of it.
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
                // One freak value may not eject: ten times the usual is as bad as it gets.
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

/// The other backend servers of a service, on average.
#[derive(Debug, Clone, Copy)]
pub struct PeerAverages {
    /// Share of calls that failed.
    pub failure_rate: f64,
    /// Times the usual duration.
    pub slowdown: f64,
}

/// Tells whether one more may be taken out of `total`, when `out` are already.
#[must_use]
pub fn can_eject_another(endpoints: usize, ejected: usize) -> bool {
    (ejected + 1) * 2 <= endpoints
}
