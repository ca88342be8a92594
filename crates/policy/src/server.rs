//! State that an outbound proxy keeps about one backend server.

use crate::balance::{Candidate, Distance, Identity, Track};
use crate::outlier::Health;
use crate::pace::Slowness;
use std::time::{Duration, Instant};

/// Slow-start period of a backend server that does not advertise one, or that returns from an
/// ejection: caches and connection pools fill within seconds (1 ms a connection, 110 connections,
/// and cold code).
///
/// A backend server whose node alone was restarted advertises that it is warm and gets its full
/// share at once. Otherwise a rolling restart of all nodes would keep some VM in slow start at all
/// times.
const SLOW_START: Duration = Duration::from_secs(5);

/// Share of its calls that a backend server gets at the beginning of slow start.
const MIN_SLOW_START_WEIGHT: f64 = 0.1;

/// Time constant, in seconds, with which a reported load decays.
const LOAD_DECAY_TIME: f64 = 0.3;

/// Time constant, in seconds, with which a measured slowdown decays while no call updates it.
/// Without decay, a backend server that is avoided would be avoided forever.
const SLOWDOWN_DECAY_TIME: f64 = 10.0;

/// Load up to which a further call is expected to find a free slot, however old the figures are.
///
/// Above it, the expected wait grows with the square of the excess: a quarter of a call's duration
/// when the last slot is taken, and a whole duration at one and a half times as many calls as
/// slots.
const FREE_LOAD: f64 = 0.5;

/// Weight of a new sample in the mean slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;

/// Time for which a backend server that did not answer a load probe is not probed again: each
/// unanswered probe delays its call by the full probe timeout.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Weight of the failure rate in a score: a failure rate of 10% doubles the score.
const FAILURE_COST: f64 = 10.0;

/// Weight of the failure rate in the score for calls that must not be repeated, each of which is
/// lost if it fails: after one failure, nearly any other backend server is better.
const UNREPEATABLE_FAILURE_COST: f64 = 100.0;

/// Answers needed before the measured slowdown of a backend server is used.
const MIN_ANSWERS: u32 = 3;

/// A backend server as seen by one outbound proxy.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) identity: Identity,
    pub(crate) generation: u32,
    /// The process behind its node, as last advertised.
    process: u64,
    pub(crate) in_view: bool,
    pub(crate) leaving: bool,
    /// Whether the backend server has named a limit on the rate of its calls. Calls are sent to it
    /// only after a load probe: how many calls other proxies send to it is not known here.
    pub(crate) is_rate_limited: bool,
    pub(crate) distance: Distance,
    pub(crate) track: Track,
    pub(crate) slots: f64,
    pub(crate) in_flight: u32,
    /// Sum of the start times of the calls in flight, in seconds since `epoch`.
    start_sum: f64,
    epoch: Instant,
    /// Mean slowdown of the calls, as of `answered_at`.
    slowdown: f64,
    answers: u32,
    answered_at: Instant,
    /// Load that was last reported, or assumed after a refusal.
    load: f64,
    load_reported_at: Instant,
    /// Pace that was last reported.
    pace: Option<Slowness>,
    pub(crate) slow_start_from: Option<Instant>,
    /// Length of the slow start that began at `slow_start_from`.
    slow_start_duration: Duration,
    /// End of the pause after an unanswered load probe.
    probes_paused_until: Option<Instant>,
    pub(crate) health: Health,
}

impl Server {
    /// Creates the state of a backend server, which is assumed to be healthy and fast. The backend
    /// server is in slow start unless `is_initial` is set, which means that it was in the first
    /// view of this proxy.
    pub(crate) fn new(now: Instant, candidate: &Candidate, is_initial: bool) -> Self {
        Self {
            identity: candidate.identity.clone(),
            generation: 0,
            process: candidate.process,
            in_view: true,
            leaving: false,
            is_rate_limited: false,
            distance: candidate.distance,
            track: candidate.track,
            slots: 1.0,
            in_flight: 0,
            start_sum: 0.0,
            epoch: now,
            slowdown: 1.0,
            answers: 0,
            answered_at: now,
            load: 0.0,
            load_reported_at: now,
            pace: None,
            // When the proxy itself starts, all backend servers are new to the proxy; that does not
            // make them cold.
            slow_start_from: (!is_initial).then_some(now),
            slow_start_duration: candidate.warm_up.unwrap_or(SLOW_START),
            probes_paused_until: None,
            health: Health::new(now),
        }
    }

    /// Resets the health and restarts the slow start if the node's backend server is now another
    /// process.
    ///
    /// The identity names the process of the node, which was not restarted, so the identity does
    /// not change then. Without the reset, a cold process would get the share of a warm one and be
    /// judged by the calls of its predecessor.
    pub(crate) fn update_process(&mut self, now: Instant, candidate: &Candidate) {
        if self.process == candidate.process {
            return;
        }
        self.process = candidate.process;
        self.pace = None;
        self.health = Health::new(now);
        self.restart_slow_start(now);
        self.slow_start_duration = candidate.warm_up.unwrap_or(SLOW_START);
    }

    /// Restarts the slow start, as after an ejection.
    pub(crate) fn restart_slow_start(&mut self, now: Instant) {
        self.slow_start_from = Some(now);
        self.slow_start_duration = SLOW_START;
        self.slowdown = 1.0;
        self.answers = 0;
    }

    /// Returns the load with one more call, multiplied by a factor for slowness and failures; the
    /// server with the lowest score is preferred.
    ///
    /// `mean_duration` is the mean duration of the service's calls in seconds. Failures weigh more
    /// if the call is not `repeatable`, because it is then lost if it fails.
    pub(crate) fn load_score(&self, now: Instant, mean_duration: f64, repeatable: bool) -> f64 {
        (self.load(now) + 1.0 / self.slots) * self.cost_factor(now, mean_duration, repeatable)
    }

    /// Returns how soon a further call would be answered, in multiples of its normal duration. The
    /// arguments are those of [`Self::load_score`].
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

    /// Returns the factor by which slowness and failures of the backend server raise the cost of a
    /// call.
    fn cost_factor(&self, now: Instant, mean_duration: f64, repeatable: bool) -> f64 {
        let slowdown =
            (self.slowdown(now) * self.pace(now)).max(self.mean_call_age(now) / mean_duration);
        slowdown * self.failure_factor(repeatable)
    }

    /// Returns the factor by which failures of the backend server raise the cost of a call.
    pub(crate) fn failure_factor(&self, repeatable: bool) -> f64 {
        let cost = if repeatable {
            FAILURE_COST
        } else {
            UNREPEATABLE_FAILURE_COST
        };
        1.0 + cost * self.health.failure_rate()
    }

    /// Counts the start of a call.
    pub(crate) fn start_call(&mut self, now: Instant) {
        self.in_flight += 1;
        self.start_sum += self.since_epoch(now);
    }

    /// Counts the end of a call that began at `started`.
    pub(crate) fn end_call(&mut self, started: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.start_sum = if self.in_flight == 0 {
            0.0
        } else {
            self.start_sum - self.since_epoch(started)
        };
    }

    /// Returns the mean age of the calls in flight, in seconds. A high age reveals a backend server
    /// that never answers long before the first deadline expires.
    fn mean_call_age(&self, now: Instant) -> f64 {
        if self.in_flight == 0 {
            return 0.0;
        }
        self.since_epoch(now) - self.start_sum / f64::from(self.in_flight)
    }

    fn since_epoch(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }

    /// Returns the load as a share of the slots: the greater of this proxy's own calls in flight
    /// and the recently reported load.
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

    /// Sets the reported pace; without a report, the last one fades.
    pub(crate) fn set_pace(&mut self, now: Instant, pace: Option<f64>) {
        if let Some(pace) = pace {
            self.pace = Some(Slowness::new(now, pace));
        }
    }

    fn pace(&self, now: Instant) -> f64 {
        self.pace.map_or(1.0, |pace| pace.get(now))
    }

    /// Records that the backend server did not answer a load probe.
    pub(crate) fn record_missed_probe(&mut self, now: Instant) {
        self.pause_probes(now, PROBE_PAUSE);
    }

    /// Sends no load probes to the backend server for some time.
    pub(crate) fn pause_probes(&mut self, now: Instant, pause: Duration) {
        self.probes_paused_until = Some(now + pause);
    }

    /// Returns whether the backend server has recently used up its rate limit.
    pub(crate) fn is_rate_used_up(&self, now: Instant) -> bool {
        self.is_rate_limited && !self.may_probe(now)
    }

    /// Returns whether the backend server may be probed.
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

    /// Returns the share of its calls that the backend server gets; less than 1 in slow start.
    pub(crate) fn slow_start_weight(&self, now: Instant) -> f64 {
        let Some(from) = self.slow_start_from else {
            return 1.0;
        };
        let age = now.saturating_duration_since(from);
        if age >= self.slow_start_duration {
            return 1.0;
        }
        (age.as_secs_f64() / self.slow_start_duration.as_secs_f64())
            .clamp(MIN_SLOW_START_WEIGHT, 1.0)
    }
}
