//! Which calls are tried again.

use call::Verdict;
use clock::{Clock, Manual};
use policy::hedge::Hedge;
use policy::retry::{Budget, Cause, Decision, Stop, Try};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use yare::parameterized;

fn make_try(clock: &Manual, verdict: Verdict, cause: Cause) -> Try {
    Try {
        verdict,
        cause,
        repeatable: false,
        tries: 1,
        reached: 1,
        crashes: 0,
        attempts: 3,
        retried_above: false,
        untried: true,
        deadline: clock.now() + Duration::from_secs(1),
        expected: Duration::from_millis(10),
    }
}

fn decide(change: fn(&mut Try), verdict: Verdict, cause: Cause) -> Decision {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut tried = make_try(&clock, verdict, cause);
    change(&mut tried);
    Budget::new(clock.now(), 10).decide(clock.now(), &tried, &mut rng)
}

// A booking must land once: only a sure "not run" lets it be tried again.
#[parameterized(
    not_run = { |_| {}, Verdict::NotRun, Cause::Full, None },
    may_have_run = { |_| {}, Verdict::MayHaveRun, Cause::Failed, Some(Stop::Unsafe) },
    ran = { |tried| tried.repeatable = true, Verdict::Ran, Cause::Failed, Some(Stop::Unsafe) },
    repeatable = { |tried| tried.repeatable = true, Verdict::MayHaveRun, Cause::Failed, None },
    attempts_used = { |tried| tried.reached = 3, Verdict::NotRun, Cause::Shed, Some(Stop::Exhausted) },
    full_attempts = { |tried| tried.reached = 3, Verdict::NotRun, Cause::Full, None },
    unreached_is_free = { |tried| tried.reached = 3, Verdict::NotRun, Cause::Unreached, None },
    unreached_late = { |tried| tried.expected = Duration::from_secs(2), Verdict::NotRun, Cause::Unreached, Some(Stop::Late) },
    doors_used = { |tried| tried.tries = 3, Verdict::NotRun, Cause::Full, Some(Stop::Exhausted) },
    leaving_is_free = { |tried| tried.tries = 3, Verdict::NotRun, Cause::Leaving, None },
    all_tried = { |tried| tried.untried = false, Verdict::NotRun, Cause::Leaving, Some(Stop::Exhausted) },
    layer_above = { |tried| tried.retried_above = true, Verdict::NotRun, Cause::Full, Some(Stop::Layer) },
    too_late = { |tried| tried.expected = Duration::from_secs(2), Verdict::NotRun, Cause::Full, Some(Stop::Late) },
)]
fn safe_only(change: fn(&mut Try), verdict: Verdict, cause: Cause, stop: Option<Stop>) {
    match (decide(change, verdict, cause), stop) {
        (Decision::Stop(got), Some(stop)) => assert_eq!(got, stop),
        (Decision::Again(_), None) => {}
        (got, wanted) => panic!("{got:?} in place of {wanted:?}"),
    }
}

// Everything fails at once, and each call would be tried three times over: the
// load must not be multiplied.
#[test]
fn budget_bounds() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut budget = Budget::new(clock.now(), 10);
    let mut retries = 0;
    for _ in 0..1_000 {
        let tried = make_try(&clock, Verdict::NotRun, Cause::Shed);
        let decision = budget.decide(clock.now(), &tried, &mut rng);
        retries += u32::from(matches!(decision, Decision::Again(_)));
        clock.advance(Duration::from_millis(1));
    }
    assert!(retries <= 11, "{retries} retries");
    (0..100).for_each(|_| budget.succeed());
    assert!(budget.spend(clock.now()));
}

// Copies that never win are load for nothing; they stop but for one in twenty.
#[test]
fn hedge_pays() {
    let clock = Manual::new();
    let mut hedge = Hedge::new(clock.now());
    (0..100).for_each(|_| hedge.see(Duration::from_millis(10)));
    assert_eq!(hedge.wait(clock.now(), false), None);
    assert!(hedge.wait(clock.now(), true).is_some());
    (0..100).for_each(|_| hedge.settle(false));
    let sent = (0..100).filter(|_| hedge.wait(clock.now(), true).is_some());
    assert_eq!(sent.count(), 5);
    (0..100).for_each(|_| hedge.settle(true));
    hedge.refused(clock.now());
    assert_eq!(hedge.wait(clock.now(), true), None);
    clock.advance(Duration::from_secs(2));
    assert!(hedge.wait(clock.now(), true).is_some());
}

/// A call must not go on to a third backend server when two have ended under it.
#[parameterized(
    first_crash = { 1, Cause::Failed, None },
    second_crash = { 2, Cause::Failed, Some(Stop::Crashes) },
    held = { 0, Cause::Held, Some(Stop::Crashes) },
)]
fn crashes(crashes: u8, cause: Cause, stop: Option<Stop>) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let tried = Try {
        repeatable: true,
        crashes,
        ..make_try(&clock, Verdict::MayHaveRun, cause)
    };
    let decided = Budget::new(clock.now(), 10).decide(clock.now(), &tried, &mut rng);
    let stopped = match decided {
        Decision::Again(_) => None,
        Decision::Stop(stop) => Some(stop),
    };
    assert_eq!(stopped, stop);
}
