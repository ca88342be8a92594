//! Which backend servers are asked about a call, and which of them gets it.

use clock::{Clock, Manual};
use policy::balance::{
    Balancer, Candidate, Distance, Identity, Key, LoadReport, Outcome, PickArgs,
};
use policy::load_probe::{Estimate, ProbeResult};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use yare::parameterized;

/// How long calls run that have taught the balance what is usual.
const USUAL: Duration = Duration::from_millis(100);

/// A service of four backend servers in the own zone and two in another one.
fn spawn_balance(clock: &Manual, rng: &mut SmallRng, load: f64) -> Balancer {
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
    };
    let mut balance = Balancer::new();
    balance.sync(clock.now(), (0..6).map(make));
    for _ in 0..40 {
        let key = balance.pick(clock.now(), &ask(&[], None), rng).unwrap();
        let told = LoadReport {
            load,
            queue_wait: Duration::ZERO,
        };
        let done = Outcome::Answered(Some(told));
        balance.finish(clock.now(), key, 1, USUAL, done, rng);
    }
    balance
}

fn ask(tried: &[Key], target: Option<std::time::Instant>) -> PickArgs<'_> {
    PickArgs {
        tried,
        repeatable: false,
        route: 1,
        target,
    }
}

fn told(wait_ms: u64, run_ms: u64) -> Estimate {
    Estimate {
        accepts: true,
        wait: Duration::from_millis(wait_ms),
        run: Some(Duration::from_millis(run_ms)),
        load: 0.9,
    }
}

#[parameterized(
    free = { 0.2, 0 },
    busy = { 0.9, 3 },
)]
fn asks_when_busy(load: f64, asked: usize) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let balance = spawn_balance(&clock, &mut rng, load);
    let keys = balance.probe_targets(clock.now(), &ask(&[], None), &mut rng);
    assert_eq!(keys.len(), asked);
    let near = |key: &Key| balance.identity(*key).unwrap().incarnation < 4;
    assert!(keys.iter().all(near));
}

// A call fails while the service is far from busy: its backend server lost power. The next
// bookings went there as well, since nothing was asked of anybody. Cause: a load alone was
// taken for trouble.
#[test]
fn asks_after_failure() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(2);
    let mut balance = spawn_balance(&clock, &mut rng, 0.1);
    let key = balance.pick(clock.now(), &ask(&[], None), &mut rng);
    let key = key.unwrap();
    balance.finish(clock.now(), key, 1, USUAL, Outcome::Failed, &mut rng);
    let asked = |clock: &Manual, rng: &mut SmallRng| {
        let keys = balance.probe_targets(clock.now(), &ask(&[], None), rng);
        keys.len()
    };
    assert_eq!(asked(&clock, &mut rng), 3);
    clock.advance(Duration::from_secs(6));
    assert_eq!(asked(&clock, &mut rng), 0);
}

#[parameterized(
    shorter_wait = { Some(told(80, 100)), told(20, 100), 1 },
    faster = { Some(told(0, 300)), told(60, 100), 1 },
    silent = { None, told(500, 100), 1 },
    turns_away = { Some(Estimate { accepts: false, ..told(0, 100) }), told(500, 100), 1 },
    unknown_there = { Some(Estimate { run: None, ..told(0, 100) }), told(20, 100), 1 },
    emptier = { Some(told(0, 100)), Estimate { load: 0.2, ..told(0, 110) }, 1 },
    sooner_there = { Some(told(0, 100)), told(1, 100), 0 },
)]
fn soonest_gets_it(one: Option<Estimate>, two: Estimate, chosen: usize) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut balance = spawn_balance(&clock, &mut rng, 0.9);
    let keys = balance.probe_targets(clock.now(), &ask(&[], None), &mut rng);
    let seen = [(keys[0], one), (keys[1], Some(two))].map(|(key, outlook)| ProbeResult {
        key,
        estimate: outlook,
    });
    let picked = balance.pick_probed(clock.now(), &ask(&[], None), &seen, &mut rng);
    assert_eq!(picked, Some(keys[chosen]));
}

// Each zone has its own backend servers, and bytes between zones are paid for. Another zone is
// asked only for a call that would be late in its own, and gets it only if it is sooner there.
#[parameterized(
    in_time_near = { 100, 0, 0, false },
    late_near = { 900, 2, 0, true },
    late_everywhere = { 900, 2, 850, false },
)]
fn further_when_late(near_wait: u64, asked: usize, far_wait: u64, goes_far: bool) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(4);
    let mut balance = spawn_balance(&clock, &mut rng, 0.9);
    let target = Some(clock.now() + Duration::from_millis(500));
    let ask = ask(&[], target);
    let near = balance.probe_targets(clock.now(), &ask, &mut rng);
    let mut seen: Vec<_> = near
        .into_iter()
        .map(|key| ProbeResult {
            key,
            estimate: Some(told(near_wait, 100)),
        })
        .collect();
    let further = balance.further_probe_targets(clock.now(), &ask, &seen, &mut rng);
    assert_eq!(further.len(), asked);
    seen.extend(further.into_iter().map(|key| ProbeResult {
        key,
        estimate: Some(told(far_wait, 100)),
    }));
    let picked = balance.pick_probed(clock.now(), &ask, &seen, &mut rng);
    let picked = balance.identity(picked.unwrap()).unwrap();
    assert_eq!(picked.incarnation >= 4, goes_far);
}

// A VM is without power for seconds before it is taken out of the view, and every third call
// of each node was held up by the question to it. Cause: it was asked again and again.
#[test]
fn silent_left_alone() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(6);
    let mut balance = spawn_balance(&clock, &mut rng, 0.9);
    let keys = balance.probe_targets(clock.now(), &ask(&[], None), &mut rng);
    let seen = [(keys[0], None), (keys[1], Some(told(0, 100)))];
    let seen = seen.map(|(key, outlook)| ProbeResult {
        key,
        estimate: outlook,
    });
    balance.pick_probed(clock.now(), &ask(&[], None), &seen, &mut rng);
    let mut is_asked = |clock: &Manual| {
        (0..50).any(|_| {
            let keys = balance.probe_targets(clock.now(), &ask(&[], None), &mut rng);
            keys.contains(&seen[0].key)
        })
    };
    assert!(!is_asked(&clock));
    clock.advance(Duration::from_millis(600));
    assert!(is_asked(&clock));
}

// Nobody answers: the node itself is cut off, or all are gone. The call is still sent
// somewhere, as it would have been without asking.
#[test]
fn nobody_answers() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(5);
    let mut balance = spawn_balance(&clock, &mut rng, 0.9);
    let keys = balance.probe_targets(clock.now(), &ask(&[], None), &mut rng);
    let seen: Vec<_> = keys
        .into_iter()
        .map(|key| ProbeResult {
            key,
            estimate: None,
        })
        .collect();
    let picked = balance.pick_probed(clock.now(), &ask(&[], None), &seen, &mut rng);
    assert!(picked.is_some());
}
