//! Tests of how refusals by a backend server change its concurrency limit.

use policy::limit::{ConcurrencyLimit, Outcome};
use std::time::{Duration, Instant};

/// Runs `calls` calls, as many at once as the limit allows, of which one ends every 10 ms; returns
/// the lowest limit during the second half of the calls. `is_shed` decides for each call, by its
/// number and the number of running calls, whether the backend server refuses it.
fn min_slots_after<F>(calls: u32, is_shed: F) -> f64
where
    F: Fn(u32, u32) -> bool,
{
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now, 6);
    let mut min_slots = f64::MAX;
    for call in 0..calls {
        now += Duration::from_millis(10);
        // As many calls run as the limit allows, then they end one after the other.
        let max_running = (1..=6).take_while(|count| f64::from(*count) <= limit.slots());
        let max_running = max_running.last().unwrap_or(1);
        let running = 1 + call % max_running;
        let (outcome, slowdown) = if is_shed(call, running) {
            (Outcome::Shed, None)
        } else {
            (Outcome::Done, Some(1.0))
        };
        limit.record(now, running, outcome, slowdown);
        if call > calls / 2 {
            min_slots = min_slots.min(limit.slots());
        }
    }
    min_slots
}

// A backend server that refuses every other call, even when it runs only one, must keep its limit:
// if each refusal counted as a sign of excess concurrency, the service would run at half of its
// speed.
#[test]
fn refusals_at_any_load() {
    assert!(min_slots_after(2_000, |call, _| call.is_multiple_of(2)) >= 5.0);
}

#[test]
fn refusals_when_full() {
    let min_slots = min_slots_after(2_000, |_, running| running > 3);
    assert!((2.0..=4.0).contains(&min_slots), "{min_slots}");
}
