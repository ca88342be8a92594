//! How far a reported pace changes what is expected of calls.

use clock::{Clock, Manual};
use policy::pace::{Slowness, Tracker};
use policy::self_report::{Load, Percent};
use std::time::Duration;
use yare::parameterized;

/// Duration of a call at the usual pace, in seconds.
const USUAL: f64 = 0.1;

fn percent(figure: u32) -> Percent {
    let load = Load::parse(&format!("1,0,6,{figure}")).unwrap();
    load.pace.unwrap()
}

/// Runs 400 calls, every tenth of which is reported to run at a pace of 250, and returns what the
/// last report of that pace is believed to mean. `took` gives a call's duration by the report.
fn believed(took: fn(f64) -> f64) -> (Manual, Tracker) {
    let clock = Manual::new();
    let mut tracker = Tracker::new();
    let mut mean = USUAL;
    for call in 0..400 {
        let pace = percent(if call % 10 == 9 { 250 } else { 100 });
        tracker.record(clock.now(), pace);
        let start = tracker.start(clock.now());
        clock.advance(Duration::from_millis(10));
        let took = Duration::from_secs_f64(took(pace.ratio()));
        let usual = tracker.at_usual_pace(start, took);
        tracker.learn(start, usual, mean);
        mean += (usual.as_secs_f64() - mean) / 16.0;
    }
    tracker.record(clock.now(), percent(250));
    (clock, tracker)
}

#[test]
fn confirmed_report() {
    let (clock, tracker) = believed(|pace| USUAL * pace);
    let slowness = tracker.get(clock.now());
    assert!((2.0..2.6).contains(&slowness), "{slowness}");
    assert_eq!(tracker.known(clock.now()), Some(slowness));
}

#[parameterized(
    unrelated = { |_| USUAL },
    reversed = { |pace| USUAL / pace },
)]
fn contradicted_report(took: fn(f64) -> f64) {
    let (clock, tracker) = believed(took);
    assert!((tracker.get(clock.now()) - 1.0).abs() < 0.01);
}

// A backend server whose report is no longer renewed must not be avoided because of it.
#[test]
fn old_report() {
    let (clock, tracker) = believed(|pace| USUAL * pace);
    let fresh = tracker.get(clock.now());
    clock.advance(Duration::from_millis(500));
    let faded = tracker.get(clock.now());
    assert!(faded > 1.0 && faded < 0.7 * fresh);
    clock.advance(Duration::from_millis(501));
    assert!((tracker.get(clock.now()) - 1.0).abs() < f64::EPSILON);
    assert_eq!(tracker.known(clock.now()), None);
}

#[parameterized(
    not_a_number = { f64::NAN, 1.0 },
    infinite = { f64::INFINITY, 1.0 },
    zero = { 0.0, 0.25 },
    negative = { -3.0, 0.25 },
    huge = { 600.0, 8.0 },
)]
fn odd_ratios(ratio: f64, expected: f64) {
    let now = Manual::new().now();
    assert!((Slowness::new(now, ratio).get(now) - expected).abs() < 1e-9);
}
