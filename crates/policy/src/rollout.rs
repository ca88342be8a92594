//! Canary analysis: which calls go to a new version of a service, and whether it replaces the old.
//!
//! Operators may roll out a version that fails some of its calls, or is several times slower: at
//! once, after some seconds without faults, for one kind of call only, or only under load. Without
//! canary analysis, load balancing gives the new endpoints the same share as all others, and
//! thousands of calls fail before an operator notices. Instead, each outbound proxy sends a fixed
//! share of its own calls to the new version, so the fleet as a whole keeps to that share without
//! any coordination. The share goes to so few endpoints that each is as busy as those of the old
//! version: an idle endpoint would hide faults that appear only under load. The results are
//! compared with those of the old version, by kind of call and over the same seconds, using Wald's
//! sequential probability ratio test ("Sequential Tests of Statistical Hypotheses", 1945), so that
//! a burst, a slow zone or a faulty old version does not count against the new version.

use crate::balance::Track;
use config::rollout::{Counts, KIND_COUNT, Rollout, Stage, Tally};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of a roll-out's duration that the canary stage lasts.
const CANARY_FRACTION: f64 = 0.5;

/// Fraction of a roll-out's duration that the next stage lasts, in which both versions take calls
/// equally ([`Stage::Both`]).
const BOTH_FRACTION: f64 = 0.06;

/// Minimum duration of [`Stage::Both`].
const MIN_BOTH_TIME: Duration = Duration::from_millis(600);

/// Minimum duration of [`Stage::Whole`], in which only the new version takes calls: the change of
/// stage crosses several links before all nodes stop sending calls to the old version.
const MIN_WHOLE_TIME: Duration = Duration::from_millis(1_200);

/// Time without pending calls at the old version that must pass before completion.
const IDLE_TIME: Duration = Duration::from_millis(500);

/// Maximum duration of [`Stage::Whole`]: the callers of calls that are still pending at the old
/// version by then are gone.
const MAX_WHOLE_TIME: Duration = Duration::from_secs(4);

/// Minimum number of calls that the new version must have finished to pass the canary stage.
const MIN_CANARY_CALLS: u32 = 30;

/// Log-likelihood ratio from which a version counts as bad: at a given evaluation, one good version
/// in 100,000 reaches it by chance.
const BAD_LOG_RATIO: f64 = 11.5;

/// Failure rate that any version is assumed to have.
const MIN_FAILURE_RATE: f64 = 0.02;

/// Difference between the failure rates of the new and the old version under the hypothesis that
/// the new version is bad.
const EXCESS_FAILURE_RATE: f64 = 0.12;

/// Rate of slow calls that any version is assumed to have: backend servers of one service differ.
const MIN_SLOW_RATE: f64 = 0.04;

/// Difference between the slow-call rates of the new and the old version under the hypothesis that
/// the new version is bad.
const EXCESS_SLOW_RATE: f64 = 0.3;

/// Minimum number of calls to the old version for its own rates to be used.
const MIN_BASELINE_CALLS: u32 = 20;

/// Minimum time between two snapshots of the tally.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of snapshots kept. They allow the last seconds to be evaluated on their own, which
/// finds a version that turns bad after a long good time.
const MAX_SNAPSHOTS: usize = 8;

/// Multiple of its usual duration above which a call counts as slow.
pub const SLOW_FACTOR: f64 = 3.0;

/// Fraction of the allowed share that is used: retries, and calls of nodes that learn late of a
/// change of stage, add to the share that is used.
const SHARE_MARGIN: f64 = 0.7;

/// Returns the share of calls to send to a new version, given the share that may reach a bad
/// version.
#[must_use]
pub fn trial_share(allowed: f64) -> f64 {
    SHARE_MARGIN * allowed
}

/// Selects the calls that go to a new version: a fixed share, whatever the number of calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sampler {
    credit: f64,
}

impl Sampler {
    /// Creates a sampler with an initial credit, which should be random, so that many proxies with
    /// few calls each also keep to the share.
    #[must_use]
    pub fn new(credit: f64) -> Self {
        Self { credit }
    }

    /// Returns whether the next call is selected.
    pub fn sample(&mut self, share: f64) -> bool {
        self.credit += share;
        let is_selected = self.credit >= 1.0;
        if is_selected {
            self.credit -= 1.0;
        }
        is_selected
    }
}

/// Returns the number of endpoints of the new version that take part in the trial, given the
/// number of endpoints of each version.
#[must_use]
pub fn trial_endpoint_count(share: f64, old: usize, new: usize) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a share of a few thousand endpoints"
    )]
    let wanted = (share * old as f64).round() as usize;
    wanted.clamp(1, new.max(1))
}

/// An endpoint of a service during a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Whether it runs the new version.
    pub is_new: bool,
    /// Whether it takes part in the trial.
    pub is_in_trial: bool,
}

/// Returns which calls an endpoint takes; `has_old` tells whether other versions have endpoints.
///
/// If other versions have no endpoints, those of the new version take all calls: the running
/// version was rolled out again, or all other endpoints are gone.
#[must_use]
pub fn track_of(stage: Stage, endpoint: Endpoint, has_old: bool) -> Track {
    if !has_old {
        return Track::Stable;
    }
    match stage {
        Stage::Canary if endpoint.is_new && endpoint.is_in_trial => Track::Trial,
        Stage::Canary | Stage::Stopped | Stage::RolledBack if endpoint.is_new => Track::Excluded,
        Stage::Whole | Stage::Completed if !endpoint.is_new => Track::Excluded,
        _ => Track::Stable,
    }
}

/// Reason for which a roll-out is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The new version fails more calls than the old one.
    Failures,
    /// The new version is several times slower than the old one.
    Slowness,
    /// The roll-out's duration passed before the new version was known to be good.
    Overdue,
}

impl StopReason {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Slowness => "slowness",
            Self::Overdue => "overdue",
        }
    }
}

/// Next step of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The roll-out remains at its stage.
    Remain,
    /// The roll-out advances to this stage.
    Advance(Stage),
    /// The new version gets no more calls.
    Stop(StopReason),
}

/// Evaluates one roll-out by the call counts of the whole fleet.
#[derive(Debug, Clone)]
pub struct Evaluator {
    /// Tallies of the last seconds, oldest first.
    snapshots: VecDeque<(Instant, Tally)>,
    latest: Tally,
    stage: Stage,
    stage_since: Instant,
    /// Time since which no call has been pending at the old version.
    idle_since: Option<Instant>,
}

impl Evaluator {
    /// Creates an evaluator for a roll-out in the canary stage.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            snapshots: VecDeque::new(),
            latest: Tally::default(),
            stage: Stage::Canary,
            stage_since: now,
            idle_since: None,
        }
    }

    /// Updates the evaluator with the fleet's current tally.
    pub fn observe(&mut self, now: Instant, tally: &Tally) {
        let last = self.snapshots.back().map(|(at, _)| *at);
        if last.is_none_or(|at| now >= at + SNAPSHOT_INTERVAL) {
            if self.snapshots.len() >= MAX_SNAPSHOTS {
                self.snapshots.pop_front();
            }
            self.snapshots.push_back((now, self.latest));
        }
        self.latest = *tally;
        if tally.pending > 0 {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Decides on the next step of the roll-out, given its current state.
    pub fn decide(&mut self, now: Instant, rollout: &Rollout) -> Decision {
        if rollout.stage != self.stage {
            self.stage = rollout.stage;
            self.stage_since = now;
        }
        if self.stage >= Stage::Stopped {
            return Decision::Remain;
        }
        if let Some(reason) = self.find_regression() {
            return Decision::Stop(reason);
        }
        let age = Duration::from_millis(rollout.age_ms.into());
        let duration = Duration::from_millis(rollout.duration_ms.into());
        let stage_time = now.saturating_duration_since(self.stage_since);
        match self.stage {
            Stage::Canary if age >= duration => Decision::Stop(StopReason::Overdue),
            Stage::Canary
                if age >= duration.mul_f64(CANARY_FRACTION) && self.has_enough_calls() =>
            {
                Decision::Advance(Stage::Both)
            }
            Stage::Both if stage_time >= MIN_BOTH_TIME.max(duration.mul_f64(BOTH_FRACTION)) => {
                Decision::Advance(Stage::Whole)
            }
            Stage::Whole if self.is_old_drained(now, stage_time) => {
                Decision::Advance(Stage::Completed)
            }
            _ => Decision::Remain,
        }
    }

    fn has_enough_calls(&self) -> bool {
        self.latest.trial_ended() >= MIN_CANARY_CALLS
    }

    fn is_old_drained(&self, now: Instant, stage_time: Duration) -> bool {
        let idle = self.idle_since;
        let is_idle = idle.is_some_and(|since| now.saturating_duration_since(since) >= IDLE_TIME);
        stage_time >= MAX_WHOLE_TIME || (stage_time >= MIN_WHOLE_TIME && is_idle)
    }

    /// Compares both versions by kind of call, over the whole roll-out and over its last seconds.
    fn find_regression(&self) -> Option<StopReason> {
        let from = self
            .snapshots
            .front()
            .map_or_else(Tally::default, |(_, tally)| *tally);
        let spans = [Tally::default(), from];
        let mut kinds = (0..KIND_COUNT).flat_map(|kind| spans.iter().map(move |from| (kind, from)));
        kinds.find_map(|(kind, from)| {
            let trial = self.latest.trial[kind].since(&from.trial[kind]);
            let stable = self.latest.stable[kind].since(&from.stable[kind]);
            compare(&trial, &stable)
        })
    }
}

fn compare(trial: &Counts, stable: &Counts) -> Option<StopReason> {
    let failures = RatioTest {
        baseline: rate(stable.failed, stable.ended).max(MIN_FAILURE_RATE),
        excess: EXCESS_FAILURE_RATE,
    };
    if failures.log_ratio(trial.failed, trial.ended) >= BAD_LOG_RATIO {
        return Some(StopReason::Failures);
    }
    let slow_calls = RatioTest {
        baseline: rate(stable.slow, stable.ended).max(MIN_SLOW_RATE),
        excess: EXCESS_SLOW_RATE,
    };
    (slow_calls.log_ratio(trial.slow, trial.ended) >= BAD_LOG_RATIO).then_some(StopReason::Slowness)
}

fn rate(bad: u32, ended: u32) -> f64 {
    if ended < MIN_BASELINE_CALLS {
        return 0.0;
    }
    f64::from(bad) / f64::from(ended)
}

/// A sequential probability ratio test between two rates of bad calls.
struct RatioTest {
    /// Rate under the hypothesis that the new version is as good as the old one.
    baseline: f64,
    /// Amount by which the rate is higher under the hypothesis that the new version is bad.
    excess: f64,
}

impl RatioTest {
    /// Returns the logarithm of the likelihood ratio of the higher rate to the baseline.
    fn log_ratio(&self, bad: u32, ended: u32) -> f64 {
        let baseline = self.baseline.min(0.9);
        let higher = (baseline + self.excess).min(0.98);
        let good = f64::from(ended.saturating_sub(bad));
        f64::from(bad) * (higher / baseline).ln() + good * ((1.0 - higher) / (1.0 - baseline)).ln()
    }
}
