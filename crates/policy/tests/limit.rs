//! What refusals of a backend server say of its slots.

use policy::limit::{ConcurrencyLimit, Outcome};
use std::time::{Duration, Instant};

/// Ends `calls` calls that were started as the limit allows, one each 10 ms;
/// `sheds` tells of each, by its number and the calls that run, whether it is refused.
fn min_slots_after<F>(calls: u32, is_shed: F) -> f64
where
    F: Fn(u32, u32) -> bool,
{
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now, 6);
    let mut min_slots = f64::MAX;
    for call in 0..calls {
        now += Duration::from_millis(10);
        // As many run as may, then one after the other ends.
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

// A service is half as fast as it could be, and its callers are turned away:
// each of its backend servers refuses every other call, also when it runs one
// alone. Cause: each refusal was taken for a sign of too many calls at once.
#[test]
fn refusals_at_any_load() {
    assert!(min_slots_after(2_000, |call, _| call.is_multiple_of(2)) >= 5.0);
}

#[test]
fn refusals_when_full() {
    let min_slots = min_slots_after(2_000, |_, running| running > 3);
    assert!((2.0..=4.0).contains(&min_slots), "{min_slots}");
}
