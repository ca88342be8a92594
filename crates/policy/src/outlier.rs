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
const IN_A_ROW: u32 = 5;

/// Slow answers in a row that make an outlier at once: with service times that
/// vary as much as their mean, by chance 1 in 160,000 calls.
const SLOW_IN_A_ROW: u32 = 3;

/// Share of failures beyond the others' that makes an outlier.
const FAILING: f64 = 0.3;

/// Times the others' stretch that makes an outlier.
pub(crate) const SLOW: f64 = 4.0;

/// Weight of a new sample: a window of about ten calls.
const WEIGHT: f64 = 0.1;

/// Samples needed before the shares mean anything.
const ENOUGH: u32 = 10;

/// First ejection; each further one doubles it.
const FIRST: Duration = Duration::from_secs(5);

/// Longest ejection.
const LONGEST: Duration = Duration::from_mins(1);

/// Good probes in a row that bring it back in.
const PROBES: u32 = 3;

/// Time in service after which former ejections are forgotten.
const FORGIVEN: Duration = Duration::from_mins(1);

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
pub enum Phase {
    /// It is.
    In,
    /// It is not.
    Out,
    /// One call at a time may try it.
    Probe,
}

/// What calls to one backend server came to.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    failures: f64,
    stretch: f64,
    samples: u32,
    in_a_row: u32,
    slow_in_a_row: u32,
    ejected: Option<Ejection>,
    times: u32,
    in_since: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Instant,
    good: u32,
}

impl Health {
    /// Starts as healthy.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            failures: 0.0,
            stretch: 1.0,
            samples: 0,
            in_a_row: 0,
            slow_in_a_row: 0,
            ejected: None,
            times: 0,
            in_since: now,
        }
    }

    /// Gives the share of calls that failed lately.
    #[must_use]
    pub fn failures(&self) -> f64 {
        self.failures
    }

    /// Gives how many times the usual duration calls took lately.
    #[must_use]
    pub fn stretch(&self) -> f64 {
        self.stretch
    }

    /// Tells whether it is in the choice.
    #[must_use]
    pub fn phase(&self, now: Instant) -> Phase {
        match self.ejected {
            None => Phase::In,
            Some(ejection) if now < ejection.until => Phase::Out,
            Some(_) => Phase::Probe,
        }
    }

    /// Gives the end of its ejection.
    #[must_use]
    pub fn out_until(&self) -> Option<Instant> {
        self.ejected.map(|ejection| ejection.until)
    }

    /// Takes in what a call came to; tells whether a probe brought it back in.
    pub fn take<R>(&mut self, now: Instant, sample: Sample, others: &Others, rng: &mut R) -> bool
    where
        R: Rng,
    {
        self.count(sample);
        let Some(ejection) = &mut self.ejected else {
            return false;
        };
        let good = match sample {
            Sample::Answered(stretch) => stretch < SLOW * others.stretch,
            Sample::Failed => false,
        };
        if !good {
            // Answers to calls from before the ejection come in as well.
            if now >= ejection.until {
                self.eject(now, rng);
            }
            return false;
        }
        ejection.good += 1;
        if now < ejection.until || ejection.good < PROBES {
            return false;
        }
        let times = self.times;
        *self = Self {
            times,
            ..Self::new(now)
        };
        true
    }

    /// Tells whether it is far off from the others of its service.
    #[must_use]
    pub fn is_outlier(&self, others: &Others) -> bool {
        if self.in_a_row >= IN_A_ROW && others.failures < FAILING {
            return true;
        }
        if self.slow_in_a_row >= SLOW_IN_A_ROW && others.stretch < SLOW / 2.0 {
            return true;
        }
        if self.samples < ENOUGH {
            return false;
        }
        self.failures > others.failures + FAILING || self.stretch > SLOW * others.stretch
    }

    /// Takes it out of the choice, for a time that doubles and is spread by jitter.
    pub fn eject<R>(&mut self, now: Instant, rng: &mut R)
    where
        R: Rng,
    {
        if self.ejected.is_none() && now.saturating_duration_since(self.in_since) > FORGIVEN {
            self.times = 0;
        }
        let wait = FIRST.saturating_mul(1 << self.times.min(8)).min(LONGEST);
        self.times += 1;
        self.ejected = Some(Ejection {
            until: now + wait.mul_f64(rng.random_range(0.75..1.25)),
            good: 0,
        });
    }

    /// Takes in a sample if it is one of the usual, and tells whether it was.
    ///
    /// Judging looks at all others of the service. Most calls are answered as
    /// usual by one that is in the choice, which can make no outlier of it.
    pub fn take_usual(&mut self, now: Instant, sample: Sample) -> bool {
        let usual = matches!(sample, Sample::Answered(stretch) if stretch < SLOW);
        let usual = usual && self.phase(now) == Phase::In;
        if usual {
            self.count(sample);
        }
        usual
    }

    fn count(&mut self, sample: Sample) {
        self.samples = self.samples.saturating_add(1);
        let failed = match sample {
            Sample::Answered(stretch) => {
                self.in_a_row = 0;
                self.slow_in_a_row = if stretch < SLOW {
                    0
                } else {
                    self.slow_in_a_row + 1
                };
                // One freak value may not eject: ten times the usual is as bad as it gets.
                self.stretch += WEIGHT * (stretch.min(10.0) - self.stretch);
                0.0
            }
            Sample::Failed => {
                self.in_a_row += 1;
                1.0
            }
        };
        self.failures += WEIGHT * (failed - self.failures);
    }
}

/// The other backend servers of a service, on average.
#[derive(Debug, Clone, Copy)]
pub struct Others {
    /// Share of calls that failed.
    pub failures: f64,
    /// Times the usual duration.
    pub stretch: f64,
}

/// Tells whether one more may be taken out of `total`, when `out` are already.
#[must_use]
pub fn leaves_enough(total: usize, out: usize) -> bool {
    (out + 1) * 2 <= total
}
