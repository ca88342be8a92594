//! What all nodes together may repeat.

use clock::{Clock, Manual};
use policy::retry::RetryBudget;
use policy::retry_quota::{FleetLimits, RetryQuota};
use std::time::Duration;

const NODES: usize = 68;

const BOUNDS: FleetLimits = FleetLimits {
    share: 0.2,
    extra: 176.0,
    window: Duration::from_secs(10),
};

/// Requests of one node in each tenth of a second.
const RATE: usize = 1;

/// Most repeats of the fleet in any span, and most that the bounds allow there.
///
/// Every request is refused by the backend server, and `repeat` tells whether a
/// node may send it again.
fn worst_span<F>(mut repeat: F) -> (usize, usize)
where
    F: FnMut(&Manual, usize) -> bool,
{
    let clock = Manual::new();
    let mut sent = Vec::new();
    for _ in 0..300 {
        clock.advance(Duration::from_millis(100));
        let count = (0..NODES * RATE).filter(|node| repeat(&clock, node % NODES));
        sent.push(count.count());
    }
    let spans = sent.windows(100).map(|span| span.iter().sum());
    let allowed = NODES * RATE * 100 / 5 + 176;
    (spans.max().unwrap_or(0), allowed)
}

// The backend servers of a service shed all calls. Each of 68 nodes had ten
// repeats saved up, and they came at once on a service in trouble. Cause: each
// node had a budget of its own, and nobody added them up.
#[test]
fn fleet_bounds() {
    let start = Manual::new().now();
    let mut apart: Vec<_> = (0..NODES).map(|_| RetryBudget::new(start, 20)).collect();
    let (worst, allowed) = worst_span(|clock, node| {
        apart[node].record_success();
        apart[node].spend(clock.now())
    });
    println!("apart: {worst} of {allowed}");
    assert!(
        worst > allowed,
        "{worst} of {allowed}: the case is too mild"
    );
    let mut together: Vec<_> = (0..NODES)
        .map(|_| {
            let mut one = RetryQuota::new(start, BOUNDS);
            one.set_node_count(start, NODES);
            one
        })
        .collect();
    let (worst, allowed) = worst_span(|clock, node| {
        together[node].record_request(clock.now());
        together[node].spend(clock.now())
    });
    println!("together: {worst} of {allowed}");
    assert!(worst <= allowed, "{worst} of {allowed}");
    assert!(
        worst * 10 > allowed * 7,
        "{worst} of {allowed}: too little is used"
    );
}

// A node is cut off with none but itself in sight, while the others go on. It
// must not take the whole fleet's extra repeats for its own.
#[test]
fn cut_off() {
    let clock = Manual::new();
    let mut lone = RetryQuota::new(clock.now(), BOUNDS);
    lone.set_node_count(clock.now(), NODES);
    clock.advance(BOUNDS.window);
    lone.set_node_count(clock.now(), 1);
    let repeats = (0..100).filter(|_| lone.spend(clock.now())).count();
    assert!(repeats <= 3, "{repeats}");
}

// A node is killed and started again after each repeat. What its former
// processes have sent still counts, and the new one can't know of it.
#[test]
fn restarted() {
    let clock = Manual::new();
    let repeats = (0..100).filter(|_| {
        let mut young = RetryQuota::new(clock.now(), BOUNDS);
        young.set_node_count(clock.now(), NODES);
        clock.advance(Duration::from_millis(100));
        young.spend(clock.now())
    });
    assert!(repeats.count() <= 3);
}
