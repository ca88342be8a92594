//! Tests of which calls are retried and hedged.

use call::Verdict;
use clock::{Clock, Manual};
use policy::hedge::HedgePolicy;
use policy::retry::{Cause, Decision, FailedAttempt, GiveUpReason, RetryBudget};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use yare::parameterized;

fn make_attempt(clock: &Manual, verdict: Verdict, cause: Cause) -> FailedAttempt {
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
    let mut failed = make_attempt(&clock, verdict, cause);
    change(&mut failed);
    RetryBudget::new(clock.now(), 10).decide(clock.now(), &failed, &mut rng)
}

// A booking must take effect only once: it is retried only if it certainly has not run.
#[parameterized(
    not_run = { |_| {}, Verdict::NotRun, Cause::Full, None },
    may_have_run = { |_| {}, Verdict::MayHaveRun, Cause::Failed, Some(GiveUpReason::Unsafe) },
    ran = { |failed| failed.repeatable = true, Verdict::Ran, Cause::Failed, Some(GiveUpReason::Unsafe) },
    repeatable = { |failed| failed.repeatable = true, Verdict::MayHaveRun, Cause::Failed, None },
    attempts_used = { |failed| failed.dispatched = 3, Verdict::NotRun, Cause::Shed, Some(GiveUpReason::Exhausted) },
    full_is_free = { |failed| failed.dispatched = 3, Verdict::NotRun, Cause::Full, None },
    unreached_is_free = { |failed| failed.dispatched = 3, Verdict::NotRun, Cause::Unreached, None },
    unreached_late = { |failed| failed.expected_duration = Duration::from_secs(2), Verdict::NotRun, Cause::Unreached, Some(GiveUpReason::Deadline) },
    full_attempts_used = { |failed| failed.attempts = 3, Verdict::NotRun, Cause::Full, Some(GiveUpReason::Exhausted) },
    leaving_is_free = { |failed| failed.attempts = 3, Verdict::NotRun, Cause::Leaving, None },
    all_tried = { |failed| failed.has_alternative = false, Verdict::NotRun, Cause::Leaving, Some(GiveUpReason::Exhausted) },
    retried_by_caller = { |failed| failed.retried_by_caller = true, Verdict::NotRun, Cause::Full, Some(GiveUpReason::RetriedByCaller) },
    too_late = { |failed| failed.expected_duration = Duration::from_secs(2), Verdict::NotRun, Cause::Full, Some(GiveUpReason::Deadline) },
)]
fn safe_retries_only(
    change: fn(&mut FailedAttempt),
    verdict: Verdict,
    cause: Cause,
    reason: Option<GiveUpReason>,
) {
    match (decide(change, verdict, cause), reason) {
        (Decision::GiveUp(got), Some(reason)) => assert_eq!(got, reason),
        (Decision::Retry(_), None) => {}
        (got, wanted) => panic!("expected {wanted:?}, got {got:?}"),
    }
}

// When everything fails and each call could make three attempts, the budget must keep the load from
// multiplying.
#[test]
fn budget_limits_retries() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut budget = RetryBudget::new(clock.now(), 10);
    let mut retries = 0;
    for _ in 0..1_000 {
        let failed = make_attempt(&clock, Verdict::NotRun, Cause::Shed);
        let decision = budget.decide(clock.now(), &failed, &mut rng);
        retries += u32::from(matches!(decision, Decision::Retry(_)));
        clock.advance(Duration::from_millis(1));
    }
    assert!(retries <= 11, "{retries} retries");
    (0..100).for_each(|_| budget.record_success());
    assert!(budget.spend(clock.now(), &mut rng));
}

// Hedges that never win only add load: all but one in twenty are suppressed.
#[test]
fn losing_hedges_stop() {
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

/// A call must not go to a third backend server after two have ended while running it.
#[parameterized(
    first_crash = { 1, Cause::Failed, None },
    second_crash = { 2, Cause::Failed, Some(GiveUpReason::Crashes) },
    held = { 0, Cause::Held, Some(GiveUpReason::Crashes) },
)]
fn crash_limit(crashes: u8, cause: Cause, reason: Option<GiveUpReason>) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let failed = FailedAttempt {
        repeatable: true,
        crashes,
        ..make_attempt(&clock, Verdict::MayHaveRun, cause)
    };
    let decided = RetryBudget::new(clock.now(), 10).decide(clock.now(), &failed, &mut rng);
    let given_up = match decided {
        Decision::Retry(_) => None,
        Decision::GiveUp(reason) => Some(reason),
    };
    assert_eq!(given_up, reason);
}
