//! Which calls are tried again.

use call::Verdict;
use clock::{Clock, Manual};
use policy::hedge::HedgePolicy;
use policy::retry::{Cause, Decision, FailedAttempt, GiveUpReason, RetryBudget};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use yare::parameterized;

fn make_try(clock: &Manual, verdict: Verdict, cause: Cause) -> FailedAttempt {
    FailedAttempt {
        verdict,
        cause,
        repeatable: false,
        attempts: 1,
        dispatched: 1,
        crashes: 0,
        max_attempts: 3,
        retried_by_caller: false,
        has_alternative: true,
        deadline: clock.now() + Duration::from_secs(1),
        expected_duration: Duration::from_millis(10),
    }
}

fn decide(change: fn(&mut FailedAttempt), verdict: Verdict, cause: Cause) -> Decision {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut tried = make_try(&clock, verdict, cause);
    change(&mut tried);
    RetryBudget::new(clock.now(), 10).decide(clock.now(), &tried, &mut rng)
}

// A booking must land once: only a sure "not run" lets it be tried again.
#[parameterized(
    not_run = { |_| {}, Verdict::NotRun, Cause::Full, None },
    may_have_run = { |_| {}, Verdict::MayHaveRun, Cause::Failed, Some(GiveUpReason::Unsafe) },
    ran = { |tried| tried.repeatable = true, Verdict::Ran, Cause::Failed, Some(GiveUpReason::Unsafe) },
    repeatable = { |tried| tried.repeatable = true, Verdict::MayHaveRun, Cause::Failed, None },
    attempts_used = { |tried| tried.dispatched = 3, Verdict::NotRun, Cause::Shed, Some(GiveUpReason::Exhausted) },
    full_attempts = { |tried| tried.dispatched = 3, Verdict::NotRun, Cause::Full, None },
    unreached_is_free = { |tried| tried.dispatched = 3, Verdict::NotRun, Cause::Unreached, None },
    unreached_late = { |tried| tried.expected_duration = Duration::from_secs(2), Verdict::NotRun, Cause::Unreached, Some(GiveUpReason::Deadline) },
    doors_used = { |tried| tried.attempts = 3, Verdict::NotRun, Cause::Full, Some(GiveUpReason::Exhausted) },
    leaving_is_free = { |tried| tried.attempts = 3, Verdict::NotRun, Cause::Leaving, None },
    all_tried = { |tried| tried.has_alternative = false, Verdict::NotRun, Cause::Leaving, Some(GiveUpReason::Exhausted) },
    layer_above = { |tried| tried.retried_by_caller = true, Verdict::NotRun, Cause::Full, Some(GiveUpReason::RetriedByCaller) },
    too_late = { |tried| tried.expected_duration = Duration::from_secs(2), Verdict::NotRun, Cause::Full, Some(GiveUpReason::Deadline) },
)]
fn safe_only(
    change: fn(&mut FailedAttempt),
    verdict: Verdict,
    cause: Cause,
    stop: Option<GiveUpReason>,
) {
    match (decide(change, verdict, cause), stop) {
        (Decision::GiveUp(got), Some(stop)) => assert_eq!(got, stop),
        (Decision::Retry(_), None) => {}
        (got, wanted) => panic!("{got:?} in place of {wanted:?}"),
    }
}

// Everything fails at once, and each call would be tried three times over: the
// load must not be multiplied.
#[test]
fn budget_bounds() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut budget = RetryBudget::new(clock.now(), 10);
    let mut retries = 0;
    for _ in 0..1_000 {
        let tried = make_try(&clock, Verdict::NotRun, Cause::Shed);
        let decision = budget.decide(clock.now(), &tried, &mut rng);
        retries += u32::from(matches!(decision, Decision::Retry(_)));
        clock.advance(Duration::from_millis(1));
    }
    assert!(retries <= 11, "{retries} retries");
    (0..100).for_each(|_| budget.record_success());
    assert!(budget.spend(clock.now()));
}

// Copies that never win are load for nothing; they stop but for one in twenty.
#[test]
fn hedge_pays() {
    let clock = Manual::new();
    let mut hedge = HedgePolicy::new(clock.now());
    (0..100).for_each(|_| hedge.record_latency(Duration::from_millis(10)));
    assert_eq!(hedge.delay(clock.now(), false), None);
    assert!(hedge.delay(clock.now(), true).is_some());
    (0..100).for_each(|_| hedge.record_result(false));
    let sent = (0..100).filter(|_| hedge.delay(clock.now(), true).is_some());
    assert_eq!(sent.count(), 5);
    (0..100).for_each(|_| hedge.record_result(true));
    hedge.pause(clock.now());
    assert_eq!(hedge.delay(clock.now(), true), None);
    clock.advance(Duration::from_secs(2));
    assert!(hedge.delay(clock.now(), true).is_some());
}

/// A call must not go on to a third backend server when two have ended under it.
#[parameterized(
    first_crash = { 1, Cause::Failed, None },
    second_crash = { 2, Cause::Failed, Some(GiveUpReason::Crashes) },
    held = { 0, Cause::Held, Some(GiveUpReason::Crashes) },
)]
fn crashes(crashes: u8, cause: Cause, stop: Option<GiveUpReason>) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let tried = FailedAttempt {
        repeatable: true,
        crashes,
        ..make_try(&clock, Verdict::MayHaveRun, cause)
    };
    let decided = RetryBudget::new(clock.now(), 10).decide(clock.now(), &tried, &mut rng);
    let stopped = match decided {
        Decision::Retry(_) => None,
        Decision::GiveUp(stop) => Some(stop),
    };
    assert_eq!(stopped, stop);
}
