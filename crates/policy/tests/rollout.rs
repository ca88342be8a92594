//! Which versions are rolled back, and how soon, for given failure rates and latencies.

use config::Rollout;
use config::rollout::{OrderRevision, Stage, Tally};
use policy::balance::Track;
use policy::rollout::{
    Decision, Endpoint, Evaluator, Sampler, StopReason, track_of, trial_endpoint_count, trial_share,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(250);

/// Calls per second to the service.
const CALL_RATE: u32 = 400;

/// Share of calls that may reach a bad version.
const ALLOWED_SHARE: f64 = 0.1;

/// Rates of failed and slow calls of one kind at a version.
#[derive(Debug, Clone, Copy, Default)]
struct Quality {
    failed: f64,
    slow: f64,
}

/// A service with two kinds of calls, of which the second makes up a tenth.
#[derive(Debug, Clone, Copy)]
struct Model {
    old: Quality,
    /// Rates at the new version, for the first and the second kind of call.
    new: [Quality; 2],
    /// Time from which the new version's faults show.
    fault_start: Duration,
    /// Time allowed for the roll-out.
    duration: Duration,
}

impl Model {
    fn good() -> Self {
        let baseline = Quality {
            failed: 0.001,
            slow: 0.05,
        };
        Self {
            old: baseline,
            new: [baseline; 2],
            fault_start: Duration::ZERO,
            duration: Duration::from_secs(14),
        }
    }

    fn bad(new: Quality) -> Self {
        Self {
            new: [new; 2],
            ..Self::good()
        }
    }
}

/// Outcome of a simulated roll-out.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    stage: Stage,
    stop_reason: Option<StopReason>,
    /// Time until the roll-out ended.
    after: Duration,
    /// Calls that reached the new version within the duration of the roll-out.
    exposed: f64,
    /// All calls within the duration of the roll-out.
    calls: f64,
}

fn make_rollout(duration: Duration) -> Rollout {
    Rollout {
        service: "records".into(),
        target: "v2".into(),
        order: OrderRevision {
            era: 0,
            revision: 1,
        },
        duration_ms: u32::try_from(duration.as_millis()).unwrap(),
        age_ms: 0,
        stage: Stage::Canary,
    }
}

fn simulate(model: &Model, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut rollout = make_rollout(model.duration);
    let mut evaluator = Evaluator::new(start);
    let mut sampler = Sampler::new(rng.random());
    let mut tally = Tally::default();
    let (mut exposed, mut stop_reason, mut after) = (0.0, None, Duration::MAX);
    let steps = 2 * model.duration.as_millis() / STEP.as_millis();
    for step in 1..=u32::try_from(steps).unwrap() {
        let age = STEP * step;
        for call in 0..CALL_RATE / 4 {
            let is_new = match rollout.stage {
                Stage::Canary => sampler.sample(trial_share(ALLOWED_SHARE)),
                Stage::Both => call % 2 == 0,
                Stage::Whole | Stage::Completed => true,
                Stage::Stopped | Stage::RolledBack => false,
            };
            let kind = usize::from(rng.random_bool(0.1));
            let quality = if is_new && age >= model.fault_start {
                model.new[kind]
            } else {
                model.old
            };
            let counts = if is_new {
                exposed += f64::from(u8::from(age <= model.duration));
                &mut tally.trial[kind]
            } else {
                &mut tally.stable[kind]
            };
            counts.ended += 1;
            counts.failed += u32::from(rng.random_bool(quality.failed));
            counts.slow += u32::from(rng.random_bool(quality.slow));
        }
        rollout.age_ms = u32::try_from(age.as_millis()).unwrap();
        evaluator.observe(start + age, &tally);
        rollout.stage = match evaluator.decide(start + age, &rollout) {
            Decision::Remain => rollout.stage,
            Decision::Advance(stage) => stage,
            Decision::Stop(reason) => {
                stop_reason = Some(reason);
                Stage::RolledBack
            }
        };
        if rollout.stage.is_final() {
            after = after.min(age);
        }
    }
    Outcome {
        stage: rollout.stage,
        stop_reason,
        after,
        exposed,
        calls: f64::from(CALL_RATE) * model.duration.as_secs_f64(),
    }
}

/// Simulates 1,000 roll-outs; returns the share that ended at `stage`, and all outcomes.
fn simulate_many(model: &Model, stage: Stage) -> (f64, Vec<Outcome>) {
    let outcomes: Vec<_> = (0..1_000).map(|seed| simulate(model, seed)).collect();
    let ended = outcomes.iter().filter(|outcome| outcome.stage == stage);
    (ended.map(|_| 0.001).sum(), outcomes)
}

/// A version that is no worse than the old one is not rolled back.
#[yare::parameterized(
    calm = { Quality { failed: 0.001, slow: 0.05 } },
    burst = { Quality { failed: 0.05, slow: 0.4 } },
    lost_answers = { Quality { failed: 0.2, slow: 0.05 } },
)]
fn good_version_completes(baseline: Quality) {
    let model = Model {
        old: baseline,
        new: [baseline; 2],
        ..Model::good()
    };
    let (completed, outcomes) = simulate_many(&model, Stage::Completed);
    let late = outcomes
        .iter()
        .filter(|outcome| outcome.after > model.duration);
    println!("completed {completed:.3}, late {}", late.clone().count());
    assert!(completed >= 0.995 && late.count() <= 5);
}

/// A bad version is rolled back, and within two seconds of its first faults if they are frequent.
#[yare::parameterized(
    errors = { Quality { failed: 0.3, slow: 0.05 }, 2_000 },
    some_errors = { Quality { failed: 0.2, slow: 0.05 }, 5_000 },
    slow = { Quality { failed: 0.001, slow: 0.5 }, 2_000 },
)]
fn bad_version_rolled_back(new: Quality, limit_ms: u64) {
    for fault_start in [
        Duration::ZERO,
        Duration::from_secs(3),
        Duration::from_secs(5),
    ] {
        let model = Model {
            fault_start,
            ..Model::bad(new)
        };
        let (stopped, outcomes) = simulate_many(&model, Stage::RolledBack);
        let mut times: Vec<_> = outcomes.iter().map(|outcome| outcome.after).collect();
        times.sort();
        let median = times[500].saturating_sub(fault_start);
        println!("from {fault_start:?}: stopped {stopped:.3}, median {median:?}");
        assert!(stopped >= 0.999);
        assert!(median <= Duration::from_millis(limit_ms), "{median:?}");
        assert!(
            outcomes
                .iter()
                .all(|outcome| outcome.stop_reason != Some(StopReason::Overdue))
        );
        let is_within_share =
            |outcome: &Outcome| outcome.exposed <= ALLOWED_SHARE * outcome.calls + 50.0;
        assert!(outcomes.iter().all(is_within_share));
    }
}

/// A version that fails only a rare kind of call is rolled back for that kind.
#[test]
fn rare_kind() {
    let baseline = Model::good().old;
    let model = Model {
        new: [
            baseline,
            Quality {
                failed: 0.6,
                ..baseline
            },
        ],
        ..Model::good()
    };
    let (stopped, outcomes) = simulate_many(&model, Stage::RolledBack);
    println!("stopped {stopped:.3}");
    assert!(stopped >= 0.995);
    let is_within_share =
        |outcome: &Outcome| outcome.exposed <= ALLOWED_SHARE * outcome.calls + 50.0;
    assert!(outcomes.iter().all(is_within_share));
}

/// A version that received no calls does not replace the old one: it is stopped at the end of the
/// roll-out's duration.
#[test]
fn no_calls() {
    let start = Instant::now();
    let mut evaluator = Evaluator::new(start);
    let mut rollout = make_rollout(Duration::from_secs(10));
    rollout.age_ms = 9_900;
    evaluator.observe(start, &Tally::default());
    assert_eq!(evaluator.decide(start, &rollout), Decision::Remain);
    rollout.age_ms = 10_000;
    assert_eq!(
        evaluator.decide(start, &rollout),
        Decision::Stop(StopReason::Overdue)
    );
}

/// At every stage of a roll-out, the endpoints of at least one version take the calls of the
/// service.
#[yare::parameterized(
    canary_old = { Stage::Canary, false, false, true, Track::Stable },
    canary_in_trial = { Stage::Canary, true, true, true, Track::Trial },
    canary_not_in_trial = { Stage::Canary, true, false, true, Track::Excluded },
    both_new = { Stage::Both, true, false, true, Track::Stable },
    whole_old = { Stage::Whole, false, false, true, Track::Excluded },
    whole_new = { Stage::Whole, true, false, true, Track::Stable },
    stopped_old = { Stage::Stopped, false, false, true, Track::Stable },
    stopped_new = { Stage::Stopped, true, true, true, Track::Excluded },
    rolled_back_new = { Stage::RolledBack, true, true, true, Track::Excluded },
    same_version_again = { Stage::Canary, true, false, false, Track::Stable },
    only_new_left = { Stage::RolledBack, true, false, false, Track::Stable },
)]
fn endpoints_remain(stage: Stage, is_new: bool, is_in_trial: bool, has_old: bool, track: Track) {
    let endpoint = Endpoint {
        is_new,
        is_in_trial,
    };
    assert_eq!(track_of(stage, endpoint, has_old), track);
}

/// Many proxies with few calls each keep to the allowed share in total.
#[yare::parameterized(
    few = { 10, 1_000 },
    many = { 2_000, 5 },
)]
fn share_kept(proxies: u32, calls: u32) {
    let mut rng = SmallRng::seed_from_u64(3);
    let share = trial_share(ALLOWED_SHARE);
    let sampled: u32 = (0..proxies)
        .map(|_| {
            let mut sampler = Sampler::new(rng.random());
            (0..calls)
                .map(|_| u32::from(sampler.sample(share)))
                .sum::<u32>()
        })
        .sum();
    let all = f64::from(proxies * calls);
    let sampled_share = f64::from(sampled) / all;
    assert!((sampled_share - share).abs() < 0.005, "{sampled_share}");
}

/// The trial uses only so many of the new endpoints that each is as loaded as those of the old
/// version.
#[yare::parameterized(
    large = { 30, 30, 2 },
    small = { 4, 4, 1 },
    none_new = { 30, 0, 1 },
    few_new = { 300, 3, 3 },
)]
fn few_in_trial(old: usize, new: usize, expected: usize) {
    assert_eq!(
        trial_endpoint_count(trial_share(ALLOWED_SHARE), old, new),
        expected
    );
}
