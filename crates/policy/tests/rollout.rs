//! Which versions are taken back, and how soon, by what calls come to.

use config::Rollout;
use config::rollout::{Place, Stage, Tally};
use policy::balance::Track;
use policy::rollout::{
    Decision, Endpoint, Evaluator, Sampler, StopReason, track_of, trial_endpoint_count, trial_share,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(250);

/// Calls a second that the model's service gets.
const CALLS: u32 = 400;

/// Share of calls that may reach a bad version.
const ALLOWED: f64 = 0.1;

/// What calls of one kind come to at a version, as shares.
#[derive(Debug, Clone, Copy, Default)]
struct Quality {
    failed: f64,
    slow: f64,
}

/// A service of two kinds of calls, one of which is a tenth of the other.
#[derive(Debug, Clone, Copy)]
struct Model {
    old: Quality,
    /// The new version, for the first and the second kind.
    new: [Quality; 2],
    /// When the new version's faults begin.
    from: Duration,
    duration: Duration,
}

impl Model {
    fn good() -> Self {
        let usual = Quality {
            failed: 0.001,
            slow: 0.05,
        };
        Self {
            old: usual,
            new: [usual; 2],
            from: Duration::ZERO,
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

/// What became of a drawn roll-out.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    stage: Stage,
    fault: Option<StopReason>,
    /// When it ended.
    after: Duration,
    /// Calls that reached the new version, of all until its time was up.
    exposed: f64,
    calls: f64,
}

fn make_rollout(duration: Duration) -> Rollout {
    Rollout {
        service: "records".into(),
        target: "v2".into(),
        place: Place {
            era: 0,
            revision: 1,
        },
        duration_ms: u32::try_from(duration.as_millis()).unwrap(),
        age_ms: 0,
        stage: Stage::Canary,
    }
}

fn play(model: &Model, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut rollout = make_rollout(model.duration);
    let mut judge = Evaluator::new(start);
    let mut sampler = Sampler::new(rng.random());
    let mut tally = Tally::default();
    let (mut exposed, mut fault, mut after) = (0.0, None, Duration::MAX);
    let steps = 2 * model.duration.as_millis() / STEP.as_millis();
    for step in 1..=u32::try_from(steps).unwrap() {
        let age = STEP * step;
        for call in 0..CALLS / 4 {
            let is_new = match rollout.stage {
                Stage::Canary => sampler.sample(trial_share(ALLOWED)),
                Stage::Both => call % 2 == 0,
                Stage::Whole | Stage::Completed => true,
                Stage::Stopped | Stage::RolledBack => false,
            };
            let kind = usize::from(rng.random_bool(0.1));
            let quality = if is_new && age >= model.from {
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
        judge.observe(start + age, &tally);
        rollout.stage = match judge.decide(start + age, &rollout) {
            Decision::Remain => rollout.stage,
            Decision::Advance(stage) => stage,
            Decision::Stop(why) => {
                fault = Some(why);
                Stage::RolledBack
            }
        };
        if rollout.stage.is_final() {
            after = after.min(age);
        }
    }
    Outcome {
        stage: rollout.stage,
        fault,
        after,
        exposed,
        calls: f64::from(CALLS) * model.duration.as_secs_f64(),
    }
}

/// Draws 1,000 roll-outs and gives the share that ended at `stage`, and all of them.
fn draw(model: &Model, stage: Stage) -> (f64, Vec<Outcome>) {
    let outcomes: Vec<_> = (0..1_000).map(|seed| play(model, seed)).collect();
    let ended = outcomes.iter().filter(|one| one.stage == stage);
    (ended.map(|_| 0.001).sum(), outcomes)
}

/// A good version must not be taken back for what the old one does as well.
#[yare::parameterized(
    calm = { Quality { failed: 0.001, slow: 0.05 } },
    burst = { Quality { failed: 0.05, slow: 0.4 } },
    lost_answers = { Quality { failed: 0.2, slow: 0.05 } },
)]
fn good_kept(usual: Quality) {
    let model = Model {
        old: usual,
        new: [usual; 2],
        ..Model::good()
    };
    let (completed, outcomes) = draw(&model, Stage::Completed);
    let late = outcomes.iter().filter(|one| one.after > model.duration);
    println!("completed {completed:.3}, late {}", late.clone().count());
    assert!(completed >= 0.995 && late.count() <= 5);
}

/// A bad version must be taken back, within two seconds of its first faults if these are plain.
#[yare::parameterized(
    errors = { Quality { failed: 0.3, slow: 0.05 }, 2_000 },
    some_errors = { Quality { failed: 0.2, slow: 0.05 }, 5_000 },
    slow = { Quality { failed: 0.001, slow: 0.5 }, 2_000 },
)]
fn bad_stopped(new: Quality, limit_ms: u64) {
    for from in [
        Duration::ZERO,
        Duration::from_secs(3),
        Duration::from_secs(5),
    ] {
        let model = Model {
            from,
            ..Model::bad(new)
        };
        let (stopped, outcomes) = draw(&model, Stage::RolledBack);
        let mut took: Vec<_> = outcomes.iter().map(|one| one.after).collect();
        took.sort();
        let median = took[500].saturating_sub(from);
        println!("from {from:?}: stopped {stopped:.3}, median {median:?}");
        assert!(stopped >= 0.999);
        assert!(median <= Duration::from_millis(limit_ms), "{median:?}");
        assert!(
            outcomes
                .iter()
                .all(|one| one.fault != Some(StopReason::Overdue))
        );
        let is_within = |one: &Outcome| one.exposed <= ALLOWED * one.calls + 50.0;
        assert!(outcomes.iter().all(is_within));
    }
}

/// A version that fails a rare kind of calls alone must be found by that kind.
#[test]
fn rare_kind() {
    let usual = Model::good().old;
    let model = Model {
        new: [
            usual,
            Quality {
                failed: 0.6,
                ..usual
            },
        ],
        ..Model::good()
    };
    let (stopped, outcomes) = draw(&model, Stage::RolledBack);
    println!("stopped {stopped:.3}");
    assert!(stopped >= 0.995);
    let is_within = |one: &Outcome| one.exposed <= ALLOWED * one.calls + 50.0;
    assert!(outcomes.iter().all(is_within));
}

/// A version that nobody has tried must not take over: it is taken back when its time is up.
#[test]
fn untried() {
    let start = Instant::now();
    let mut judge = Evaluator::new(start);
    let mut rollout = make_rollout(Duration::from_secs(10));
    rollout.age_ms = 9_900;
    judge.observe(start, &Tally::default());
    assert_eq!(judge.decide(start, &rollout), Decision::Remain);
    rollout.age_ms = 10_000;
    assert_eq!(
        judge.decide(start, &rollout),
        Decision::Stop(StopReason::Overdue)
    );
}

/// A roll-out must never leave a service with fewer endpoints than one of its versions has.
#[yare::parameterized(
    canary_old = { Stage::Canary, false, false, true, Track::Stable },
    canary_tried = { Stage::Canary, true, true, true, Track::Trial },
    canary_untried = { Stage::Canary, true, false, true, Track::Excluded },
    both_new = { Stage::Both, true, false, true, Track::Stable },
    whole_old = { Stage::Whole, false, false, true, Track::Excluded },
    whole_new = { Stage::Whole, true, false, true, Track::Stable },
    stopped_old = { Stage::Stopped, false, false, true, Track::Stable },
    stopped_new = { Stage::Stopped, true, true, true, Track::Excluded },
    rolled_back_new = { Stage::RolledBack, true, true, true, Track::Excluded },
    ordered_again = { Stage::Canary, true, false, false, Track::Stable },
    nothing_else = { Stage::RolledBack, true, false, false, Track::Stable },
)]
fn endpoints_left(stage: Stage, is_new: bool, is_in_trial: bool, has_old: bool, arm: Track) {
    let endpoint = Endpoint {
        is_new,
        is_in_trial,
    };
    assert_eq!(track_of(stage, endpoint, has_old), arm);
}

/// Many proxies with few calls each must keep to the share together.
#[yare::parameterized(
    few = { 10, 1_000 },
    many = { 2_000, 5 },
)]
fn share_kept(proxies: u32, calls: u32) {
    let mut rng = SmallRng::seed_from_u64(3);
    let share = trial_share(ALLOWED);
    let drawn: u32 = (0..proxies)
        .map(|_| {
            let mut sampler = Sampler::new(rng.random());
            (0..calls)
                .map(|_| u32::from(sampler.sample(share)))
                .sum::<u32>()
        })
        .sum();
    let all = f64::from(proxies * calls);
    let share_drawn = f64::from(drawn) / all;
    assert!((share_drawn - share).abs() < 0.005, "{share_drawn}");
}

/// The trial must load its endpoints like the others, not spread over all of the new ones.
#[yare::parameterized(
    large = { 30, 30, 2 },
    small = { 4, 4, 1 },
    none_new = { 30, 0, 1 },
    few_new = { 300, 3, 3 },
)]
fn few_tried(old: usize, new: usize, expected: usize) {
    assert_eq!(
        trial_endpoint_count(trial_share(ALLOWED), old, new),
        expected
    );
}
