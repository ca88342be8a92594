//! Selection among backend servers of which some have named a limit on the rate of their calls.

use clock::{Clock, Manual};
use policy::balance::{Balancer, Candidate, Distance, Identity, Key, Outcome, PickArgs, Track};
use policy::load_probe::{Estimate, ProbeResult};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const ARGS: PickArgs<'_> = PickArgs {
    tried: &[],
    repeatable: true,
    route: 1,
    target: None,
};

/// Creates a balancer of `count` backend servers, the first `limited` of which have a rate limit.
fn make_balancer(clock: &Manual, count: u64, limited: u64) -> Balancer {
    let mut balancer = Balancer::new();
    balancer.sync(
        clock.now(),
        (0..count).map(|index| candidate(index, index < limited)),
    );
    balancer
}

fn candidate(index: u64, is_rate_limited: bool) -> Candidate {
    Candidate {
        identity: Identity {
            node: format!("vm-{index}").into(),
            incarnation: index,
        },
        distance: Distance::Zone,
        slots: 6,
        process: 1,
        warm_up: None,
        track: Track::Stable,
        is_rate_limited,
        has_left: false,
    }
}

fn result(key: Key, accepts: bool, wait_ms: u64) -> ProbeResult {
    ProbeResult {
        key,
        estimate: Some(Estimate {
            accepts,
            wait: Duration::from_millis(wait_ms),
            run: None,
            load: 0.0,
            pace: None,
        }),
    }
}

/// Returns a backend server with a rate limit that is probed before a call.
fn draw_limited(balancer: &Balancer, clock: &Manual, rng: &mut SmallRng) -> Key {
    let draws = (0..100).map(|_| balancer.draw_rate_limited(clock.now(), &ARGS, rng));
    draws
        .flatten()
        .next()
        .expect("a limited backend server is drawn")
}

/// Returns how many of 100 calls are preceded by a probe.
fn count_probed(balancer: &Balancer, clock: &Manual, rng: &mut SmallRng) -> usize {
    let probed = (0..100).map(|_| balancer.probe_targets(clock.now(), &ARGS, rng));
    probed.filter(|targets| !targets.is_empty()).count()
}

// A node sends calls to a limited backend server without knowing how many others send.
#[test]
fn not_without_probe() {
    let (clock, mut rng) = (Manual::new(), SmallRng::seed_from_u64(1));
    let mut balancer = make_balancer(&clock, 3, 1);
    for _ in 0..200 {
        let key = balancer.pick(clock.now(), &ARGS, &mut rng).unwrap();
        assert!(!balancer.is_rate_limited(key));
        balancer.finish(
            clock.now(),
            key,
            1,
            Duration::from_millis(1),
            Outcome::Cancelled,
            &mut rng,
        );
    }
}

// A limited backend server that could take calls is kept idle.
#[test]
fn probed_and_used() {
    let (clock, mut rng) = (Manual::new(), SmallRng::seed_from_u64(1));
    let mut balancer = make_balancer(&clock, 3, 1);
    // It is one of three.
    assert!(count_probed(&balancer, &clock, &mut rng) > 20);
    let limited = draw_limited(&balancer, &clock, &mut rng);
    let results = [result(limited, true, 0)];
    let picked = balancer.pick_probed(clock.now(), &ARGS, &results, &mut rng);
    assert_eq!(picked, Some(limited));
}

// A call waits for, or bounces off, a limited backend server while another one has room.
#[yare::parameterized(
    refuses = { false },
    waits = { true },
)]
fn used_up(accepts: bool) {
    let (clock, mut rng) = (Manual::new(), SmallRng::seed_from_u64(1));
    let mut balancer = make_balancer(&clock, 3, 1);
    let limited = draw_limited(&balancer, &clock, &mut rng);
    let results = [result(limited, accepts, 40)];
    let picked = balancer.pick_probed(clock.now(), &ARGS, &results, &mut rng);
    assert!(!balancer.is_rate_limited(picked.unwrap()));
    // Until the next token is due, it is not probed again.
    assert_eq!(count_probed(&balancer, &clock, &mut rng), 0);
    clock.advance(Duration::from_millis(50));
    assert!(count_probed(&balancer, &clock, &mut rng) > 20);
}

// With only limited backend servers, calls are sent to the first one, full or not.
#[test]
fn all_limited() {
    let (clock, mut rng) = (Manual::new(), SmallRng::seed_from_u64(1));
    let mut balancer = make_balancer(&clock, 4, 4);
    let targets = balancer.probe_targets(clock.now(), &ARGS, &mut rng);
    assert!(targets.len() > 1, "{targets:?}");
    let mut results: Vec<_> = targets.iter().map(|key| result(*key, false, 100)).collect();
    let free = targets[targets.len() - 1];
    *results.last_mut().unwrap() = result(free, true, 0);
    let picked = balancer.pick_probed(clock.now(), &ARGS, &results, &mut rng);
    assert_eq!(picked, Some(free));
}

// A call is tried at one limited backend server after the other although none can take it.
#[test]
fn no_room_left() {
    let (clock, mut rng) = (Manual::new(), SmallRng::seed_from_u64(1));
    let mut balancer = make_balancer(&clock, 2, 2);
    let targets = balancer.probe_targets(clock.now(), &ARGS, &mut rng);
    let results: Vec<_> = targets.iter().map(|key| result(*key, false, 100)).collect();
    assert_eq!(results.len(), 2);
    let picked = balancer
        .pick_probed(clock.now(), &ARGS, &results, &mut rng)
        .unwrap();
    assert!(!balancer.has_room(clock.now(), &[picked]));
}

// A process that has reported that it leaves gets calls as long as its node announces it.
#[test]
fn left() {
    let (clock, mut rng) = (Manual::new(), SmallRng::seed_from_u64(1));
    let mut balancer = make_balancer(&clock, 2, 0);
    let leaving = Candidate {
        has_left: true,
        ..candidate(0, false)
    };
    balancer.sync(clock.now(), [leaving, candidate(1, false)]);
    for _ in 0..50 {
        let key = balancer.pick(clock.now(), &ARGS, &mut rng).unwrap();
        assert_eq!(balancer.identity(key).unwrap().node, "vm-1");
    }
    // A new process of the same node is another one.
    balancer.sync(clock.now(), [candidate(0, false), candidate(1, false)]);
    assert_eq!(balancer.len(), 2);
}
