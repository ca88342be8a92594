//! Tests of which backend servers are probed before a call, and which of them gets it.

use clock::{Clock, Manual};
use policy::balance::{
    Balancer, Candidate, Distance, Identity, Key, LoadReport, Outcome, PickArgs,
};
use policy::load_probe::{Estimate, ProbeResult};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use yare::parameterized;

/// Duration of the calls from which the balancer learns the expected duration.
const NORMAL_DURATION: Duration = Duration::from_millis(100);

/// Creates the balancer of a service with four backend servers in the local zone and two in another
/// one.
fn make_balancer(clock: &Manual, rng: &mut SmallRng, load: f64) -> Balancer {
    let make = |index: u64| Candidate {
        identity: Identity {
            node: format!("vm-{index}").into(),
            incarnation: index,
        },
        distance: if index < 4 {
            Distance::Zone
        } else {
            Distance::Region
        },
        slots: 6,
        process: 1,
        warm_up: None,
        track: policy::balance::Track::Stable,
        is_rate_limited: false,
        has_left: false,
    };
    let mut balancer = Balancer::new();
    balancer.sync(clock.now(), (0..6).map(make));
    for _ in 0..40 {
        let key = balancer
            .pick(clock.now(), &pick_args(&[], None), rng)
            .unwrap();
        let report = LoadReport {
            load,
            queue_wait: Duration::ZERO,
            pace: None,
        };
        let done = Outcome::Answered(Some(report));
        balancer.finish(clock.now(), key, 1, NORMAL_DURATION, done, rng);
    }
    balancer
}

fn pick_args(tried: &[Key], target: Option<std::time::Instant>) -> PickArgs<'_> {
    PickArgs {
        tried,
        repeatable: false,
        route: 1,
        target,
    }
}

fn estimate(wait_ms: u64, run_ms: u64) -> Estimate {
    Estimate {
        accepts: true,
        wait: Duration::from_millis(wait_ms),
        run: Some(Duration::from_millis(run_ms)),
        load: 0.9,
        pace: None,
    }
}

#[parameterized(
    free = { 0.2, 0 },
    busy = { 0.9, 3 },
)]
fn probes_when_busy(load: f64, probed: usize) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let balancer = make_balancer(&clock, &mut rng, load);
    let keys = balancer.probe_targets(clock.now(), &pick_args(&[], None), &mut rng);
    assert_eq!(keys.len(), probed);
    let near = |key: &Key| balancer.identity(*key).unwrap().incarnation < 4;
    assert!(keys.iter().all(near));
}

// A call fails while the service has low load, because its backend server lost power. The next
// calls must be preceded by probes. When probing depended on load alone, the next bookings were
// sent to the same backend server.
#[test]
fn probes_after_failure() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(2);
    let mut balancer = make_balancer(&clock, &mut rng, 0.1);
    let key = balancer.pick(clock.now(), &pick_args(&[], None), &mut rng);
    let key = key.unwrap();
    balancer.finish(
        clock.now(),
        key,
        1,
        NORMAL_DURATION,
        Outcome::Failed,
        &mut rng,
    );
    let probed = |clock: &Manual, rng: &mut SmallRng| {
        let keys = balancer.probe_targets(clock.now(), &pick_args(&[], None), rng);
        keys.len()
    };
    assert_eq!(probed(&clock, &mut rng), 3);
    clock.advance(Duration::from_secs(6));
    assert_eq!(probed(&clock, &mut rng), 0);
}

#[parameterized(
    shorter_wait = { Some(estimate(80, 100)), estimate(20, 100), 1 },
    faster = { Some(estimate(0, 300)), estimate(60, 100), 1 },
    unanswered = { None, estimate(500, 100), 1 },
    refuses = { Some(Estimate { accepts: false, ..estimate(0, 100) }), estimate(500, 100), 1 },
    unknown_duration = { Some(Estimate { run: None, ..estimate(0, 100) }), estimate(20, 100), 1 },
    lower_load = { Some(estimate(0, 100)), Estimate { load: 0.2, ..estimate(0, 110) }, 1 },
    first_is_sooner = { Some(estimate(0, 100)), estimate(1, 100), 0 },
)]
fn soonest_is_picked(one: Option<Estimate>, two: Estimate, chosen: usize) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut balancer = make_balancer(&clock, &mut rng, 0.9);
    let keys = balancer.probe_targets(clock.now(), &pick_args(&[], None), &mut rng);
    let results =
        [(keys[0], one), (keys[1], Some(two))].map(|(key, estimate)| ProbeResult { key, estimate });
    let picked = balancer.pick_probed(clock.now(), &pick_args(&[], None), &results, &mut rng);
    assert_eq!(picked, Some(keys[chosen]));
}

// Each zone has its own backend servers, and traffic between zones costs money. Another zone is
// probed only for a call that would be late in the local zone, and gets the call only if it would
// finish sooner there.
#[parameterized(
    in_time_near = { 100, 0, 0, false },
    late_near = { 900, 2, 0, true },
    late_everywhere = { 900, 2, 850, false },
)]
fn other_zone_when_late(near_wait: u64, probed: usize, far_wait: u64, goes_far: bool) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(4);
    let mut balancer = make_balancer(&clock, &mut rng, 0.9);
    let target = Some(clock.now() + Duration::from_millis(500));
    let args = pick_args(&[], target);
    let near = balancer.probe_targets(clock.now(), &args, &mut rng);
    let mut results: Vec<_> = near
        .into_iter()
        .map(|key| ProbeResult {
            key,
            estimate: Some(estimate(near_wait, 100)),
        })
        .collect();
    let further = balancer.further_probe_targets(clock.now(), &args, &results, &mut rng);
    assert_eq!(further.len(), probed);
    results.extend(further.into_iter().map(|key| ProbeResult {
        key,
        estimate: Some(estimate(far_wait, 100)),
    }));
    let picked = balancer.pick_probed(clock.now(), &args, &results, &mut rng);
    let picked = balancer.identity(picked.unwrap()).unwrap();
    assert_eq!(picked.incarnation >= 4, goes_far);
}

// A VM without power stays in the view for some seconds. Unless probes to it pause, every third
// call of each node is delayed by an unanswered probe.
#[test]
fn unanswered_probes_pause() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(6);
    let mut balancer = make_balancer(&clock, &mut rng, 0.9);
    let keys = balancer.probe_targets(clock.now(), &pick_args(&[], None), &mut rng);
    let results = [(keys[0], None), (keys[1], Some(estimate(0, 100)))];
    let results = results.map(|(key, estimate)| ProbeResult { key, estimate });
    balancer.pick_probed(clock.now(), &pick_args(&[], None), &results, &mut rng);
    let mut is_probed = |clock: &Manual| {
        (0..50).any(|_| {
            let keys = balancer.probe_targets(clock.now(), &pick_args(&[], None), &mut rng);
            keys.contains(&results[0].key)
        })
    };
    assert!(!is_probed(&clock));
    clock.advance(Duration::from_millis(600));
    assert!(is_probed(&clock));
}

// No probe is answered because the node itself is cut off or all backend servers are gone. The call
// must still be sent, as it would be without probes.
#[test]
fn no_probe_answered() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(5);
    let mut balancer = make_balancer(&clock, &mut rng, 0.9);
    let keys = balancer.probe_targets(clock.now(), &pick_args(&[], None), &mut rng);
    let results: Vec<_> = keys
        .into_iter()
        .map(|key| ProbeResult {
            key,
            estimate: None,
        })
        .collect();
    let picked = balancer.pick_probed(clock.now(), &pick_args(&[], None), &results, &mut rng);
    assert!(picked.is_some());
}
