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
const MIN_SLOW_START_WEIGHT: f64 = 0.1;

/// Time over which what an inbound proxy said of its load is forgotten.
const LOAD_DECAY_TIME: f64 = 0.3;

/// Time over which a bad latency is forgotten if no call renews it: one that is
/// avoided would otherwise be avoided for ever.
const SLOWDOWN_DECAY_TIME: f64 = 10.0;

/// Share of its slots up to which a further call finds one free, however old
/// the figures are.
///
/// From there on the wait is taken to grow with the square of what is over: a
/// quarter of a call's duration when the last slot is taken, and a whole one
/// at half as many calls again as slots.
const FREE_LOAD: f64 = 0.5;

/// Weight of a new latency.
const SLOWDOWN_WEIGHT: f64 = 0.1;

/// Time for which one that did not tell its outlook is not asked again: each question that
/// nobody answers holds its call up by the whole patience of whoever asks.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// What failures add to a score: at 10% failures it doubles.
const FAILURE_COST: f64 = 10.0;

/// The same for calls that may not be repeated, each of which is lost if it
/// fails: after one failure, nearly any other backend server is better.
const UNREPEATABLE_FAILURE_COST: f64 = 100.0;

/// Answers seen before one's own latency counts.
const MIN_ANSWERS: u32 = 3;

/// A backend server as one outbound proxy sees it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) identity: Identity,
    pub(crate) generation: u32,
    /// The process behind its node, as it was last told.
    process: u64,
    pub(crate) in_view: bool,
    pub(crate) leaving: bool,
    pub(crate) distance: Distance,
    pub(crate) arm: Track,
    pub(crate) slots: f64,
    pub(crate) in_flight: u32,
    /// Sum of the starts of the calls in flight, in seconds since `epoch`.
    start_sum: f64,
    epoch: Instant,
    slowdown: f64,
    answers: u32,
    answered_at: Instant,
    load: f64,
    load_reported_at: Instant,
    pub(crate) slow_start_from: Option<Instant>,
    /// Time from then on until it gets its full share.
    slow_start: Duration,
    /// Until when it is not asked, as it did not answer.
    probes_paused_until: Option<Instant>,
    pub(crate) health: Health,
}

impl Server {
    /// Starts as healthy and fast; cold, unless it is one of the `first` seen.
    pub(crate) fn new(now: Instant, candidate: &Candidate, is_initial: bool) -> Self {
        Self {
            identity: candidate.identity.clone(),
            generation: 0,
            process: candidate.process,
            in_view: true,
            leaving: false,
            distance: candidate.distance,
            arm: candidate.track,
            slots: 1.0,
            in_flight: 0,
            start_sum: 0.0,
            epoch: now,
            slowdown: 1.0,
            answers: 0,
            answered_at: now,
            load: 0.0,
            load_reported_at: now,
            // At one's own start all are new, and none of them is cold for that.
            slow_start_from: (!is_initial).then_some(now),
            slow_start: candidate.warm_up.unwrap_or(SLOW_START),
            probes_paused_until: None,
            health: Health::new(now),
        }
    }

    /// Starts again if another process of the backend server is behind the same node.
    ///
    /// Its node was not restarted, so that nothing else tells it from the former
    /// one: it would get a warm one's share of the calls while it is cold, and be
    /// judged by what the other did.
    pub(crate) fn update_process(&mut self, now: Instant, candidate: &Candidate) {
        if self.process == candidate.process {
            return;
        }
        self.process = candidate.process;
        self.health = Health::new(now);
        self.restart_slow_start(now);
        self.slow_start = candidate.warm_up.unwrap_or(SLOW_START);
    }

    /// Starts again as it is back from an ejection.
    pub(crate) fn restart_slow_start(&mut self, now: Instant) {
        self.slow_start_from = Some(now);
        self.slow_start = SLOW_START;
        self.slowdown = 1.0;
        self.answers = 0;
    }

    /// Gives a figure that evens out load: the lower, the less there is in front of a further call.
    /// `usual` is the mean duration, in seconds, of the service's calls.
    pub(crate) fn load_score(&self, now: Instant, mean_duration: f64, repeatable: bool) -> f64 {
        (self.load(now) + 1.0 / self.slots) * self.cost_factor(now, mean_duration, repeatable)
    }

    /// Gives how soon a further call would be answered, in usual durations.
    pub(crate) fn expected_finish(
        &self,
        now: Instant,
        mean_duration: f64,
        repeatable: bool,
    ) -> f64 {
        let busy = self.load(now) + 1.0 / self.slots;
        let wait = (busy - FREE_LOAD).max(0.0).powi(2);
        (1.0 + wait) * self.cost_factor(now, mean_duration, repeatable)
    }

    fn cost_factor(&self, now: Instant, mean_duration: f64, repeatable: bool) -> f64 {
        let slowdown = self
            .slowdown(now)
            .max(self.mean_call_age(now) / mean_duration);
        slowdown * self.failure_factor(repeatable)
    }

    /// Gives how many times its cost a call to it is weighed for its failures.
    pub(crate) fn failure_factor(&self, repeatable: bool) -> f64 {
        let cost = if repeatable {
            FAILURE_COST
        } else {
            UNREPEATABLE_FAILURE_COST
        };
        1.0 + cost * self.health.failure_rate()
    }

    /// Counts a call to it.
    pub(crate) fn start_call(&mut self, now: Instant) {
        self.in_flight += 1;
        self.start_sum += self.since_epoch(now);
    }

    /// Takes a call out of the count.
    pub(crate) fn end_call(&mut self, started: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.start_sum = if self.in_flight == 0 {
            0.0
        } else {
            self.start_sum - self.since_epoch(started)
        };
    }

    /// Gives the mean age of the calls in flight: a backend server that
    /// swallows calls shows by it long before the first deadline.
    fn mean_call_age(&self, now: Instant) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        self.since_epoch(now) - self.start_sum / f64::from(self.in_flight)
    }

    fn since_epoch(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }

    /// Gives the load in slots' worth: one's own calls, or what the inbound
    /// proxy said lately, whichever is more.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.load_reported_at)
            .as_secs_f64();
        let reported = self.load * (-age / LOAD_DECAY_TIME).exp();
        reported.max(f64::from(self.in_flight) / self.slots)
    }

    pub(crate) fn set_load(&mut self, now: Instant, load: f64) {
        self.load = load;
        self.load_reported_at = now;
    }

    /// Notes that it did not tell its outlook.
    pub(crate) fn record_missed_probe(&mut self, now: Instant) {
        self.probes_paused_until = Some(now + PROBE_PAUSE);
    }

    /// Tells whether it may be asked.
    pub(crate) fn may_probe(&self, now: Instant) -> bool {
        self.probes_paused_until.is_none_or(|until| until <= now)
    }

    pub(crate) fn record_slowdown(&mut self, now: Instant, slowdown: f64) {
        self.slowdown = self.slowdown(now);
        self.slowdown += SLOWDOWN_WEIGHT * (slowdown - self.slowdown);
        self.answers = self.answers.saturating_add(1);
        self.answered_at = now;
    }

    fn slowdown(&self, now: Instant) -> f64 {
        if self.answers < MIN_ANSWERS {
            return 1.0;
        }
        let age = now
            .saturating_duration_since(self.answered_at)
            .as_secs_f64();
        1.0 + (self.slowdown - 1.0) * (-age / SLOWDOWN_DECAY_TIME).exp()
    }

    pub(crate) fn slow_start_weight(&self, now: Instant) -> f64 {
        let Some(from) = self.slow_start_from else {
            return 1.0;
        };
        let age = now.saturating_duration_since(from);
        if age >= self.slow_start {
            return 1.0;
        }
        (age.as_secs_f64() / self.slow_start.as_secs_f64()).clamp(MIN_SLOW_START_WEIGHT, 1.0)
    }
}
