//! What an outbound proxy knows of one backend server.

use crate::balance::{Candidate, Distance, Identity};
use crate::outlier::Health;
use std::time::{Duration, Instant};

/// Time over which a new backend server, or one that is back, gets its full
/// share: caches and connection pools fill in seconds (1 ms a connection, 110
/// connections, and cold code).
const SLOW_START: Duration = Duration::from_secs(5);

/// Share of its calls that a cold backend server begins with.
const COLD: f64 = 0.1;

/// Time over which what an inbound proxy said of its load is forgotten.
const HINT_MEMORY: f64 = 0.3;

/// Time over which a bad latency is forgotten if no call renews it: one that is
/// avoided would otherwise be avoided for ever.
const STRETCH_MEMORY: f64 = 10.0;

/// Weight of a new latency.
const WEIGHT: f64 = 0.1;

/// What failures add to a score: at 10% failures it doubles.
const FAILURE_COST: f64 = 10.0;

/// Answers seen before one's own latency counts.
const ENOUGH: u32 = 3;

/// A backend server as one outbound proxy sees it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) identity: Identity,
    pub(crate) generation: u32,
    pub(crate) present: bool,
    pub(crate) leaving: bool,
    pub(crate) distance: Distance,
    pub(crate) slots: f64,
    pub(crate) in_flight: u32,
    stretch: f64,
    answers: u32,
    seen_at: Instant,
    load: f64,
    load_at: Instant,
    pub(crate) warm_from: Option<Instant>,
    pub(crate) health: Health,
}

impl Server {
    /// Starts as healthy and fast; cold, unless it is one of the `first` seen.
    pub(crate) fn new(now: Instant, candidate: &Candidate, first: bool) -> Self {
        Self {
            identity: candidate.identity.clone(),
            generation: 0,
            present: true,
            leaving: false,
            distance: candidate.distance,
            slots: 1.0,
            in_flight: 0,
            stretch: 1.0,
            answers: 0,
            seen_at: now,
            load: 0.0,
            load_at: now,
            // At one's own start all are new, and none of them is cold for that.
            warm_from: (!first).then_some(now),
            health: Health::new(now),
        }
    }

    /// Starts again as it is back from an ejection.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.warm_from = Some(now);
        self.stretch = 1.0;
        self.answers = 0;
    }

    /// Gives a figure that is the lower, the sooner a further call would be answered.
    pub(crate) fn score(&self, now: Instant) -> f64 {
        let queue = self.load(now) + 1.0 / self.slots;
        let failures = 1.0 + FAILURE_COST * self.health.failures();
        queue * self.stretch(now) * failures
    }

    /// Gives the load in slots' worth: one's own calls, or what the inbound
    /// proxy said lately, whichever is more.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.load_at).as_secs_f64();
        let told = self.load * (-age / HINT_MEMORY).exp();
        told.max(f64::from(self.in_flight) / self.slots)
    }

    pub(crate) fn tell_load(&mut self, now: Instant, load: f64) {
        self.load = load;
        self.load_at = now;
    }

    pub(crate) fn see(&mut self, now: Instant, stretch: f64) {
        self.stretch = self.stretch(now);
        self.stretch += WEIGHT * (stretch - self.stretch);
        self.answers = self.answers.saturating_add(1);
        self.seen_at = now;
    }

    fn stretch(&self, now: Instant) -> f64 {
        if self.answers < ENOUGH {
            return 1.0;
        }
        let age = now.saturating_duration_since(self.seen_at).as_secs_f64();
        1.0 + (self.stretch - 1.0) * (-age / STRETCH_MEMORY).exp()
    }

    pub(crate) fn warmth(&self, now: Instant) -> f64 {
        let Some(from) = self.warm_from else {
            return 1.0;
        };
        let age = now.saturating_duration_since(from);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(COLD, 1.0)
    }
}
