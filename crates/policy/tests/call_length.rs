//! What is known of the length of calls.

use policy::call_length::CallLengths;
use std::time::{Duration, Instant};

const ROUTE: u64 = 7;
const MS: Duration = Duration::from_millis(1);

/// Runs calls of the given length, one after the other; returns the time of the last one's end.
fn run(lengths: &mut CallLengths, from: Instant, count: u32, length: Duration) -> Instant {
    let mut now = from;
    for _ in 0..count {
        lengths.begin(ROUTE, now);
        lengths.finish(ROUTE, now, now + length, true);
        now += length;
    }
    now
}

#[test]
fn too_few_calls() {
    let mut lengths = CallLengths::default();
    let now = run(&mut lengths, Instant::now(), 99, 10 * MS);
    assert_eq!(lengths.expect(ROUTE, now), None);
    let now = run(&mut lengths, now, 1, 10 * MS);
    assert_eq!(lengths.expect(ROUTE, now), Some(15 * MS));
    assert_eq!(lengths.expect(ROUTE + 1, now), None);
}

#[test]
fn longest_counts() {
    let mut lengths = CallLengths::default();
    let now = run(&mut lengths, Instant::now(), 100, 5 * MS);
    let now = run(&mut lengths, now, 1, 800 * MS);
    let now = run(&mut lengths, now, 100, 5 * MS);
    assert_eq!(lengths.expect(ROUTE, now), Some(1_200 * MS));
}

// A backend server becomes slow. Calls that have not ended yet already show it.
#[test]
fn running_call() {
    let mut lengths = CallLengths::default();
    let now = run(&mut lengths, Instant::now(), 100, 5 * MS);
    lengths.begin(ROUTE, now);
    assert_eq!(lengths.expect(ROUTE, now + 2_000 * MS), Some(3_000 * MS));
    lengths.finish(ROUTE, now, now + 2_000 * MS, false);
    assert_eq!(
        lengths.expect(ROUTE, now + 2_000 * MS),
        Some(7_500 * MS / 1_000)
    );
}

#[test]
fn refused_calls() {
    let mut lengths = CallLengths::default();
    let now = Instant::now();
    for _ in 0..100 {
        lengths.begin(ROUTE, now);
        lengths.finish(ROUTE, now, now + MS, false);
    }
    assert_eq!(lengths.expect(ROUTE, now), None);
}

#[test]
fn old_calls() {
    let mut lengths = CallLengths::default();
    let now = run(&mut lengths, Instant::now(), 100, 5 * MS);
    assert!(lengths.expect(ROUTE, now + 15_000 * MS).is_some());
    assert_eq!(lengths.expect(ROUTE, now + 25_000 * MS), None);
}

#[test]
fn many_routes() {
    let mut lengths = CallLengths::default();
    let now = Instant::now();
    for route in 0..10_000 {
        lengths.begin(route, now);
        lengths.finish(route, now, now + MS, true);
    }
    // Routes without recent calls are dropped in favour of new ones.
    let now = run(&mut lengths, now + 60_000 * MS, 100, 10 * MS);
    assert_eq!(lengths.expect(ROUTE, now), Some(15 * MS));
    for route in 20_000..20_020 {
        run(&mut lengths, now, 1, MS);
        lengths.begin(route, now);
    }
    assert!(lengths.expect(ROUTE, now).is_some());
}
