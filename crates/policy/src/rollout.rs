//! Whether a new version of a service may take over, and which calls try it.
//!
//! *Load pattern:* operators bring a version in that fails a part of its calls, or runs several
//! times slower: at once, some seconds after a good start, on one kind of call alone, or only
//! under load. *Without it* placement gives the new endpoints as much as all others, and thousands
//! of calls fail before anybody looks. *Grounds:* each outbound proxy sends a fixed share of its
//! own calls to the version under trial, so that the sum over the fleet keeps to the share with no
//! message at all. That share goes to so few endpoints that each is as busy as those of the
//! version that serves: an idle one would hide what shows under load only. What the calls come to
//! is compared with the version that serves, kind by kind in the same seconds, by Wald's
//! sequential probability ratio test ("Sequential Tests of Statistical Hypotheses", 1945), so that
//! a burst, a slow zone or a worse old version tells nothing against the new one.

use crate::balance::Track;
use config::rollout::{Counts, KINDS, Rollout, Stage, Tally};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Share of a roll-out's time for which the new version is only tried.
const TRIAL_PART: f64 = 0.5;

/// Share of a roll-out's time for which both versions then take calls alike.
const BOTH_PART: f64 = 0.06;

/// Least time for which they do.
const MIN_BOTH: Duration = Duration::from_millis(600);

/// Least time between the last call to the old version and its end: news that it takes none
/// cross a few links.
const MIN_WHOLE: Duration = Duration::from_millis(1_200);

/// Time for which no call must have run at the old version before its end.
const QUIET: Duration = Duration::from_millis(500);

/// Longest wait for the calls that run at the old version; those that nobody ends by then have
/// lost their callers.
const MAX_WHOLE: Duration = Duration::from_secs(4);

/// Calls that the new version must have ended before it may take over.
const MIN_TRIED: u32 = 30;

/// Ratio of likelihoods at which a version counts as bad, as a logarithm: one good version in
/// 100,000 looks so by chance at a given look.
const BAD: f64 = 11.5;

/// Failures that no version is free of, as a share.
const USUAL_FAILED: f64 = 0.02;

/// Share of failures on top of those of the old version that makes a bad one.
const EXTRA_FAILED: f64 = 0.12;

/// Slow calls that no version is free of, as a share: backend servers of one service differ.
const USUAL_SLOW: f64 = 0.04;

/// Share of slow calls on top of those of the old version that makes a bad one.
const EXTRA_SLOW: f64 = 0.3;

/// Calls of the old version from which its own share counts.
const ENOUGH: u32 = 20;

/// Time between two looks that are remembered.
const STEP: Duration = Duration::from_millis(500);

/// Looks remembered: a version that turns bad after a long good time is found by its last
/// seconds.
const LOOKS: usize = 8;

/// Times its usual duration from which a call counts as slow.
pub const SLOW_FACTOR: f64 = 3.0;

/// Part of the allowed share that is used: retries and calls of nodes that hear late add to it.
const SAFE_PART: f64 = 0.7;

/// Gives the share of calls that try a new version, of that which may reach a bad one.
#[must_use]
pub fn trial_share(allowed: f64) -> f64 {
    SAFE_PART * allowed
}

/// Draws the calls that try a new version: a fixed share, whatever their number.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sampler {
    credit: f64,
}

impl Sampler {
    /// Starts at a random place, so that many proxies with few calls each keep to the share too.
    #[must_use]
    pub fn new(start: f64) -> Self {
        Self { credit: start }
    }

    /// Tells whether the next call is one of them.
    pub fn sample(&mut self, share: f64) -> bool {
        self.credit += share;
        let is_drawn = self.credit >= 1.0;
        if is_drawn {
            self.credit -= 1.0;
        }
        is_drawn
    }
}

/// Gives the number of endpoints that a trial goes to, of so many of the old and the new version.
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

/// An endpoint of a service of which a version is brought in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Whether it is of that version.
    pub is_new: bool,
    /// Whether the trial goes to it.
    pub is_in_trial: bool,
}

/// Tells which calls an endpoint takes; `has_old` when there are endpoints of other versions.
///
/// Without any of these the service has nothing else to run on, be it that the version which
/// runs was ordered once more, or that all others have gone.
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

/// Why a version counts as bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// It fails calls that the old one doesn't.
    Failures,
    /// It takes several times as long.
    Slowness,
    /// Its time is over before it was known to be good.
    Overdue,
}

impl StopReason {
    /// Names it in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Slowness => "slowness",
            Self::Overdue => "overdue",
        }
    }
}

/// What is to become of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It stays as it is.
    Remain,
    /// It goes on to this stage.
    Advance(Stage),
    /// The new version is to get nothing more.
    Stop(StopReason),
}

/// Follows one roll-out by what the whole fleet has counted.
#[derive(Debug, Clone)]
pub struct Evaluator {
    /// Counts some seconds back, the oldest first.
    looks: VecDeque<(Instant, Tally)>,
    now: Tally,
    stage: Stage,
    since: Instant,
    /// Since when nothing has run at the old version.
    quiet_since: Option<Instant>,
}

impl Evaluator {
    /// Begins to follow one.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            looks: VecDeque::new(),
            now: Tally::default(),
            stage: Stage::Canary,
            since: now,
            quiet_since: None,
        }
    }

    /// Takes in what the fleet has counted.
    pub fn observe(&mut self, now: Instant, tally: &Tally) {
        let last = self.looks.back().map(|(at, _)| *at);
        if last.is_none_or(|at| now >= at + STEP) {
            if self.looks.len() >= LOOKS {
                self.looks.pop_front();
            }
            self.looks.push_back((now, self.now));
        }
        self.now = *tally;
        if tally.pending > 0 {
            self.quiet_since = None;
        } else {
            self.quiet_since.get_or_insert(now);
        }
    }

    /// Tells what is to become of a roll-out that stands so.
    pub fn decide(&mut self, now: Instant, rollout: &Rollout) -> Decision {
        if rollout.stage != self.stage {
            self.stage = rollout.stage;
            self.since = now;
        }
        if self.stage >= Stage::Stopped {
            return Decision::Remain;
        }
        if let Some(fault) = self.find_fault() {
            return Decision::Stop(fault);
        }
        let age = Duration::from_millis(rollout.age_ms.into());
        let duration = Duration::from_millis(rollout.duration_ms.into());
        let stood = now.saturating_duration_since(self.since);
        match self.stage {
            Stage::Canary if age >= duration => Decision::Stop(StopReason::Overdue),
            Stage::Canary if age >= duration.mul_f64(TRIAL_PART) && self.is_tried() => {
                Decision::Advance(Stage::Both)
            }
            Stage::Both if stood >= MIN_BOTH.max(duration.mul_f64(BOTH_PART)) => {
                Decision::Advance(Stage::Whole)
            }
            Stage::Whole if self.is_handed_over(now, stood) => Decision::Advance(Stage::Completed),
            _ => Decision::Remain,
        }
    }

    fn is_tried(&self) -> bool {
        self.now.tried() >= MIN_TRIED
    }

    fn is_handed_over(&self, now: Instant, stood: Duration) -> bool {
        let quiet = self.quiet_since;
        let is_quiet = quiet.is_some_and(|since| now.saturating_duration_since(since) >= QUIET);
        stood >= MAX_WHOLE || (stood >= MIN_WHOLE && is_quiet)
    }

    /// Compares both versions kind by kind, over all the time and over its last seconds.
    fn find_fault(&self) -> Option<StopReason> {
        let from = self
            .looks
            .front()
            .map_or_else(Tally::default, |(_, tally)| *tally);
        let spans = [Tally::default(), from];
        let mut kinds = (0..KINDS).flat_map(|kind| spans.iter().map(move |from| (kind, from)));
        kinds.find_map(|(kind, from)| {
            let trial = self.now.trial[kind].since(&from.trial[kind]);
            let stable = self.now.stable[kind].since(&from.stable[kind]);
            compare(&trial, &stable)
        })
    }
}

fn compare(trial: &Counts, stable: &Counts) -> Option<StopReason> {
    let failed = Test {
        usual: share(stable.failed, stable.ended).max(USUAL_FAILED),
        extra: EXTRA_FAILED,
    };
    if failed.weigh(trial.failed, trial.ended) >= BAD {
        return Some(StopReason::Failures);
    }
    let slow = Test {
        usual: share(stable.slow, stable.ended).max(USUAL_SLOW),
        extra: EXTRA_SLOW,
    };
    (slow.weigh(trial.slow, trial.ended) >= BAD).then_some(StopReason::Slowness)
}

fn share(part: u32, whole: u32) -> f64 {
    if whole < ENOUGH {
        return 0.0;
    }
    f64::from(part) / f64::from(whole)
}

/// A choice between two shares of bad calls.
struct Test {
    usual: f64,
    extra: f64,
}

impl Test {
    /// Gives the logarithm of how much likelier the calls are with the higher share.
    fn weigh(&self, bad: u32, ended: u32) -> f64 {
        let usual = self.usual.min(0.9);
        let higher = (usual + self.extra).min(0.98);
        let good = f64::from(ended.saturating_sub(bad));
        f64::from(bad) * (higher / usual).ln() + good * ((1.0 - higher) / (1.0 - usual)).ln()
    }
}
