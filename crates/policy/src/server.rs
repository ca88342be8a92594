//! What an outbound proxy knows of one backend server.

use crate::balance::{Candidate, Distance, Identity, Track};
use crate::outlier::Health;
use std::time::{Duration, Instant};

/// Time over which a new backend server that does not tell it, or one that is
/// back, gets its full share: caches and connection pools fill in seconds (1 ms a
/// connection, 110 connections, and cold code).
///
/// One whose node alone was restarted tells that it is warm, and gets its share
/// at once: in a rolling restart of all nodes some VM was always taken for cold.
const SLOW_START: Duration = Duration::from_secs(5);

/// Share of its calls that a cold backend server begins with.
const COLD: f64 = 0.1;

/// Time over which what an inbound proxy said of its load is forgotten.
const HINT_MEMORY: f64 = 0.3;

/// Time over which a bad latency is forgotten if no call renews it: one that is
/// avoided would otherwise be avoided for ever.
const STRETCH_MEMORY: f64 = 10.0;

/// Share of its slots up to which a further call finds one free, however old
/// the figures are.
///
/// From there on the wait is taken to grow with the square of what is over: a
/// quarter of a call's duration when the last slot is taken, and a whole one
/// at half as many calls again as slots.
const FREE: f64 = 0.5;

/// Weight of a new latency.
const WEIGHT: f64 = 0.1;

/// Time for which one that did not tell its outlook is not asked again: each question that
/// nobody answers holds its call up by the whole patience of whoever asks.
const UNHEARD: Duration = Duration::from_millis(500);

/// What failures add to a score: at 10% failures it doubles.
const FAILURE_COST: f64 = 10.0;

/// The same for calls that may not be repeated, each of which is lost if it
/// fails: after one failure, nearly any other backend server is better.
const UNSAFE_FAILURE_COST: f64 = 100.0;

/// Answers seen before one's own latency counts.
const ENOUGH: u32 = 3;

/// A backend server as one outbound proxy sees it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) identity: Identity,
    pub(crate) generation: u32,
    /// The process behind its node, as it was last told.
    process: u64,
    pub(crate) present: bool,
    pub(crate) leaving: bool,
    pub(crate) distance: Distance,
    pub(crate) arm: Track,
    pub(crate) slots: f64,
    pub(crate) in_flight: u32,
    /// Sum of the starts of the calls in flight, in seconds since `epoch`.
    starts: f64,
    epoch: Instant,
    stretch: f64,
    answers: u32,
    seen_at: Instant,
    load: f64,
    load_at: Instant,
    pub(crate) warm_from: Option<Instant>,
    /// Time from then on until it gets its full share.
    slow_start: Duration,
    /// Until when it is not asked, as it did not answer.
    unheard_until: Option<Instant>,
    pub(crate) health: Health,
}

impl Server {
    /// Starts as healthy and fast; cold, unless it is one of the `first` seen.
    pub(crate) fn new(now: Instant, candidate: &Candidate, first: bool) -> Self {
        Self {
            identity: candidate.identity.clone(),
            generation: 0,
            process: candidate.process,
            present: true,
            leaving: false,
            distance: candidate.distance,
            arm: candidate.track,
            slots: 1.0,
            in_flight: 0,
            starts: 0.0,
            epoch: now,
            stretch: 1.0,
            answers: 0,
            seen_at: now,
            load: 0.0,
            load_at: now,
            // At one's own start all are new, and none of them is cold for that.
            warm_from: (!first).then_some(now),
            slow_start: candidate.warm_up.unwrap_or(SLOW_START),
            unheard_until: None,
            health: Health::new(now),
        }
    }

    /// Starts again if another process of the backend server is behind the same node.
    ///
    /// Its node was not restarted, so that nothing else tells it from the former
    /// one: it would get a warm one's share of the calls while it is cold, and be
    /// judged by what the other did.
    pub(crate) fn meet(&mut self, now: Instant, candidate: &Candidate) {
        if self.process == candidate.process {
            return;
        }
        self.process = candidate.process;
        self.health = Health::new(now);
        self.restart(now);
        self.slow_start = candidate.warm_up.unwrap_or(SLOW_START);
    }

    /// Starts again as it is back from an ejection.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.warm_from = Some(now);
        self.slow_start = SLOW_START;
        self.stretch = 1.0;
        self.answers = 0;
    }

    /// Gives a figure that evens out load: the lower, the less there is in front of a further call.
    /// `usual` is the mean duration, in seconds, of the service's calls.
    pub(crate) fn score(&self, now: Instant, usual: f64, repeatable: bool) -> f64 {
        (self.load(now) + 1.0 / self.slots) * self.slowness(now, usual, repeatable)
    }

    /// Gives how soon a further call would be answered, in usual durations.
    pub(crate) fn finish(&self, now: Instant, usual: f64, repeatable: bool) -> f64 {
        let busy = self.load(now) + 1.0 / self.slots;
        let wait = (busy - FREE).max(0.0).powi(2);
        (1.0 + wait) * self.slowness(now, usual, repeatable)
    }

    fn slowness(&self, now: Instant, usual: f64, repeatable: bool) -> f64 {
        let slowness = self.stretch(now).max(self.mean_age(now) / usual);
        slowness * self.failure_factor(repeatable)
    }

    /// Gives how many times its cost a call to it is weighed for its failures.
    pub(crate) fn failure_factor(&self, repeatable: bool) -> f64 {
        let cost = if repeatable {
            FAILURE_COST
        } else {
            UNSAFE_FAILURE_COST
        };
        1.0 + cost * self.health.failures()
    }

    /// Counts a call to it.
    pub(crate) fn start(&mut self, now: Instant) {
        self.in_flight += 1;
        self.starts += self.since_epoch(now);
    }

    /// Takes a call out of the count.
    pub(crate) fn end(&mut self, started: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.starts = if self.in_flight == 0 {
            0.0
        } else {
            self.starts - self.since_epoch(started)
        };
    }

    /// Gives the mean age of the calls in flight: a backend server that
    /// swallows calls shows by it long before the first deadline.
    fn mean_age(&self, now: Instant) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        self.since_epoch(now) - self.starts / f64::from(self.in_flight)
    }

    fn since_epoch(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
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

    /// Notes that it did not tell its outlook.
    pub(crate) fn miss(&mut self, now: Instant) {
        self.unheard_until = Some(now + UNHEARD);
    }

    /// Tells whether it may be asked.
    pub(crate) fn is_heard(&self, now: Instant) -> bool {
        self.unheard_until.is_none_or(|until| until <= now)
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
        if age >= self.slow_start {
            return 1.0;
        }
        (age.as_secs_f64() / self.slow_start.as_secs_f64()).clamp(COLD, 1.0)
    }
}
