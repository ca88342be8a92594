//! Tests of the fleet-wide limit on retries.

use clock::{Clock, Manual};
use policy::retry::RetryBudget;
use policy::retry_quota::{FleetLimits, RetryQuota};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const NODES: usize = 68;

const LIMITS: FleetLimits = FleetLimits {
    share: 0.2,
    extra: 176.0,
    window: Duration::from_secs(10),
    min_nodes: 1,
};

/// Requests that each node receives per step, a tenth of a second.
const REQUESTS_PER_STEP: usize = 1;

/// Returns the highest number of retries of the fleet in any window, and the highest number that
/// the limits allow.
///
/// Every request is refused by the backend server; `retry` returns whether a node may send it
/// again.
fn worst_window<F>(mut retry: F) -> (usize, usize)
where
    F: FnMut(&Manual, usize) -> bool,
{
    let clock = Manual::new();
    let mut sent = Vec::new();
    for _ in 0..300 {
        clock.advance(Duration::from_millis(100));
        let count = (0..NODES * REQUESTS_PER_STEP).filter(|node| retry(&clock, node % NODES));
        sent.push(count.count());
    }
    let windows = sent.windows(100).map(|window| window.iter().sum());
    let allowed = NODES * REQUESTS_PER_STEP * 100 / 5 + 176;
    (windows.max().unwrap_or(0), allowed)
}

// Guards against a retry storm when the backend servers of a service shed all calls: with
// independent budgets, each of 68 nodes has ten retries saved up, and all of them arrive at
// once.
#[test]
fn fleet_limit() {
    let start = Manual::new().now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut independent: Vec<_> = (0..NODES).map(|_| RetryBudget::new(start, 20)).collect();
    let (worst, allowed) = worst_window(|clock, node| {
        independent[node].record_success();
        independent[node].spend(clock.now(), &mut rng)
    });
    println!("independent: {worst} of {allowed}");
    assert!(
        worst > allowed,
        "{worst} of {allowed}: the case is too mild"
    );
    let mut coordinated: Vec<_> = (0..NODES)
        .map(|_| {
            let mut quota = RetryQuota::new(LIMITS);
            quota.set_node_count(NODES);
            quota
        })
        .collect();
    let (worst, allowed) = worst_window(|clock, node| {
        coordinated[node].record_request(clock.now());
        coordinated[node].spend(clock.now(), &mut rng)
    });
    println!("coordinated: {worst} of {allowed}");
    assert!(worst <= allowed, "{worst} of {allowed}");
    assert!(
        worst * 10 > allowed * 7,
        "{worst} of {allowed}: too little is used"
    );
}

// A node that is cut off from all others must not use the extra retries of the whole fleet.
#[test]
fn partitioned_node() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut isolated = RetryQuota::new(LIMITS);
    isolated.set_node_count(NODES);
    for _ in 0..100 {
        isolated.record_request(clock.now());
        clock.advance(LIMITS.window / 100);
    }
    isolated.set_node_count(1);
    let retries = (0..100)
        .filter(|_| isolated.spend(clock.now(), &mut rng))
        .count();
    assert!(retries <= 3, "{retries}");
}

// A node that is killed and restarted after each retry must not exceed its part of the limit,
// although the new process doesn't know what the previous ones have sent.
#[test]
fn restarted_node() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let retries = (0..100).filter(|_| {
        let mut restarted = RetryQuota::new(LIMITS);
        restarted.set_node_count(NODES);
        restarted.record_request(clock.now());
        clock.advance(Duration::from_millis(100));
        restarted.spend(clock.now(), &mut rng)
    });
    assert!(retries.count() <= 3);
}
