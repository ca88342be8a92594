//! Versions reach the nodes that the platform answers, however their roots are kept from it.

mod world;

use config::Version;
use fleet::Node;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use world::{Denial, MS, S, World};
use yare::parameterized;

/// Time in which a version has to be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after which a node that the platform answers again counts as connected.
const STABILITY: Duration = Duration::from_secs(3);

fn started(zones: usize, per_zone: usize, seed: u64) -> World {
    let mut world = World::start(zones, per_zone, seed, true);
    world.run(15 * S);
    let version = world.propose();
    world.run_until(S, "the first version", |world| world.all_serve(version));
    world.run(4 * S);
    world
}

fn roots(world: &World) -> Vec<usize> {
    let is_root = |vm: &usize| world.vms[*vm].node.as_ref().is_some_and(Node::is_root);
    (0..world.vms.len()).filter(is_root).collect()
}

/// Publishes versions at random times for `time`, and checks that each is in force in time on every
/// node that runs and that the platform answers.
fn check_versions(world: &mut World, time: Duration, rng: &mut SmallRng) {
    let end = world.now + time;
    while world.now < end {
        let version = world.propose();
        let due = world.now + APPLY_TIME;
        world.run(Duration::from_millis(rng.random_range(50..2_500)));
        let so_far = world.now.max(due);
        world.run(so_far.saturating_sub(world.now));
        check_applied(world, version, due);
    }
}

fn check_applied(world: &World, version: Version, due: Duration) {
    for (vm, state) in world.vms.iter().enumerate() {
        let is_bound =
            state.node.is_some() && !world.platform.denials.contains_key(&vm) && world.is_awake(vm);
        let applied = state.installed.range(version..).map(|(_, at)| *at).min();
        assert!(
            !is_bound || applied.is_some_and(|at| at <= due),
            "vm-{vm} has {version} at {applied:?} and not by {due:?}\n{}",
            world.describe()
        );
    }
}

// The platform turns all roots away and answers the nodes below them, which had the old version for
// as long as it did so.
#[parameterized(
    refused = { Denial::Refused, 1 },
    silent = { Denial::Silent, 1 },
    slow = { Denial::Slow, 1 },
    refused_zones = { Denial::Refused, 3 },
    silent_zones = { Denial::Silent, 3 },
)]
fn roots_denied(denial: Denial, zones: usize) {
    for seed in 1..=4 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = started(zones, 12, seed);
        for root in roots(&world) {
            world.set_denial(root, Some(denial));
        }
        check_versions(&mut world, 25 * S, &mut rng);
        for vm in 0..world.vms.len() {
            world.set_denial(vm, None);
        }
        world.run(STABILITY);
        check_versions(&mut world, 10 * S, &mut rng);
    }
}

// Nodes that are restarted release their leases and join the one root that is left, which the
// platform turns away.
#[parameterized(
    single_zone = { 1 },
    three_zones = { 3 },
)]
fn restarted_below(zones: usize) {
    for seed in 1..=6 {
        let mut rng = SmallRng::seed_from_u64(seed);
        // With three nodes in a zone, all of them are roots.
        let mut world = started(zones, 3, seed);
        let others: Vec<_> = (zones..world.vms.len()).collect();
        for vm in 0..zones {
            world.set_denial(vm, Some(Denial::Refused));
        }
        for vm in others {
            world.leave(vm);
            world.run(300 * MS);
            world.spawn(vm);
            world.run(Duration::from_millis(rng.random_range(100..1_500)));
        }
        world.run(STABILITY);
        check_versions(&mut world, 25 * S, &mut rng);
    }
}

// A root is frozen, or its links lose what they carry in one direction.
#[test]
fn roots_unheard() {
    for seed in 1..=9 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = started(1, 12, seed);
        for root in roots(&world) {
            match seed % 3 {
                0 => world.freeze(root),
                1 => world.drop_outgoing(root),
                _ => world.drop_incoming(root),
            }
        }
        let version = world.propose();
        let due = world.now + APPLY_TIME;
        world.run(APPLY_TIME);
        check_applied(&world, version, due);
        check_versions(&mut world, 10 * S, &mut rng);
    }
}

// The platform turns the roots of a zone away, then its other nodes, and so on. The leases must not
// move each time.
#[test]
fn denied_in_turn() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut world = started(1, 6, 5);
    let first = roots(&world);
    let before = world.platform.lease_changes;
    for round in 0..20 {
        for vm in 0..6 {
            let is_denied = first.contains(&vm) == (round % 2 == 0);
            world.set_denial(vm, is_denied.then_some(Denial::Refused));
        }
        world.run(STABILITY);
        check_versions(&mut world, 4 * S, &mut rng);
    }
    let changes = world.platform.lease_changes - before;
    assert!(changes <= 3, "three leases changed {changes} times");
}

// All roots of a zone are turned away for good: another node takes over, so that the zone no longer
// depends on polls.
#[test]
fn root_replaced() {
    let mut world = started(1, 12, 3);
    for root in roots(&world) {
        world.set_denial(root, Some(Denial::Refused));
    }
    world.run(15 * S);
    let answered = |vm: &usize| !world.platform.denials.contains_key(vm);
    let reading: Vec<_> = roots(&world).into_iter().filter(answered).collect();
    assert!(!reading.is_empty(), "{}", world.describe());
    world.run(10 * S);
    let polls = |world: &World| -> u64 {
        let nodes = world.vms.iter().filter_map(|vm| vm.node.as_ref());
        nodes.map(|node| node.counters().fallback_polls).sum()
    };
    let before = polls(&world);
    world.run(20 * S);
    assert!(polls(&world) <= before + 2, "the tree is fed by its root");
}

// The platform is out for all: 984 nodes must not all call it, neither meanwhile nor when it is back.
#[test]
fn total_outage() {
    let mut world = World::start(15, 66, 1, true);
    world.run(12 * S);
    let version = world.propose();
    world.run_until(5 * S, "a version", |world| world.all_serve(version));
    world.platform.is_down = true;
    let mut calls = Vec::new();
    for _ in 0..10 {
        let before = world.platform.calls;
        world.run(S);
        calls.push(world.platform.calls - before);
    }
    // 15 zones may send 750 of the 2,000 reads a second that the platform takes.
    assert!(calls.iter().all(|calls| *calls <= 750), "{calls:?}");
    // 15 zones may repeat 16 polls a second each; their 45 roots go on with their leases.
    let steady = calls[5..].iter().sum::<u64>() / 5;
    assert!(steady <= 300, "{calls:?}");
    world.restore_platform();
    let before = world.platform.calls;
    world.run(S);
    let after = world.platform.calls - before;
    println!("calls a second: {calls:?}, then {after}");
    assert!(
        after <= 300,
        "{after} calls in the first second, {calls:?} before"
    );
    assert!(world.all_rooted());
    let version = world.propose();
    world.run_until(APPLY_TIME, "a version", |world| world.all_serve(version));
}
