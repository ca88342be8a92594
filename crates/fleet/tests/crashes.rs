//! How news of requests that crash backend servers reaches every node.

mod world;

use call::Digest;
use policy::quarantine::RequestStatus;
use std::time::Duration;
use world::{MS, S, World};

/// Time in which a node with a path to the platform must know of a third crash.
const KNOWN: Duration = Duration::from_secs(3);

fn deadly() -> Digest {
    Digest::of("GET", "", "/s0/deadly", b"")
}

fn is_held(standing: RequestStatus) -> bool {
    matches!(standing, RequestStatus::Held { .. })
}

fn all_hold(world: &World) -> bool {
    world.all_request_status(deadly(), is_held)
}

/// Three crashes that three nodes saw must count as three at every node, within milliseconds.
#[test]
fn three_nodes() {
    let mut world = World::serving_nodes(20);
    for (id, vm) in (1..).zip([3, 22, 44]) {
        assert!(!all_hold(&world));
        world.crash(vm, deadly(), id);
        world.run(S);
    }
    assert!(all_hold(&world), "{}", world.describe());
    let mut world = World::serving_nodes(20);
    for (id, vm) in (1..).zip([3, 22, 44]) {
        world.crash(vm, deadly(), id);
    }
    let took = world.run_until(KNOWN, "to hold", all_hold);
    assert!(took <= 50 * MS, "{took:?}");
}

/// An answer anywhere must lift the suspicion everywhere.
#[test]
fn answered() {
    let mut world = World::serving_nodes(8);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, deadly(), id);
    }
    world.run_until(KNOWN, "to hold", all_hold);
    world.answer(17, deadly());
    world.run_until(KNOWN, "to clear", |world| {
        world.all_request_status(deadly(), |standing| standing == RequestStatus::Clear)
    });
}

/// Zones that are cut from each other and see a crash each must all hold the request.
#[test]
fn cut_zones() {
    for warning in [10 * S, Duration::ZERO] {
        let mut world = World::serving_nodes(6);
        world.partition(0, 1);
        world.partition(1, 2);
        world.partition(0, 2);
        world.run(warning);
        for (id, vm) in (1..).zip([0, 1, 2]) {
            world.crash(vm, deadly(), id);
        }
        world.run_until(KNOWN, "to hold", all_hold);
    }
}

/// A node that only the platform reaches must not go on by what it knew before.
#[test]
fn cut_node() {
    let mut world = World::serving_nodes(6);
    let cut = 16;
    world.drop_incoming(cut);
    world.drop_outgoing(cut);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, deadly(), id);
    }
    world.run_until(KNOWN, "to hold", all_hold);
}

/// A node that starts again must know what is held before it serves.
#[test]
fn restarted() {
    let mut world = World::serving_nodes(6);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, deadly(), id);
    }
    world.run_until(KNOWN, "to hold", all_hold);
    for vm in [4, 9, 14] {
        world.kill(vm, false);
        world.run(100 * MS);
        world.spawn(vm);
        let serves = move |world: &World| {
            let node = world.vms[vm].node.as_ref();
            node.is_some_and(fleet::Node::is_ready)
        };
        while !serves(&world) {
            world.run(MS);
        }
        assert!(
            is_held(world.request_status(vm, deadly())),
            "{}",
            world.describe()
        );
    }
}

/// A fleet whose nodes are all killed at once must not forget what is held.
#[test]
fn all_restarted() {
    let mut world = World::serving_nodes(6);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, deadly(), id);
    }
    world.run(S);
    let all: Vec<_> = (0..world.vms.len()).collect();
    world.restart(&all);
    world.run_until(5 * S, "to hold again", all_hold);
}

/// A fleet that restarts whole must not serve before it knows what is held.
#[test]
fn known_before_served() {
    let mut world = World::serving_nodes(6);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, deadly(), id);
    }
    world.run(S);
    let all: Vec<_> = (0..world.vms.len()).collect();
    world.restart(&all);
    world.check_when_ready(&all, |world, vm| {
        is_held(world.request_status(vm, deadly()))
    });
}

/// What the platform has lost of crashes must be written again: a fleet that restarts needs it.
#[test]
fn platform_restored() {
    let mut world = World::serving_nodes(6);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, deadly(), id);
    }
    world.run(S);
    world.restore_from_copy();
    world.run(2 * S);
    assert!(!world.platform.crashes().is_empty());
}

/// A crash must cost a node a few hundred bytes and the platform a few writes, however many
/// nodes there are.
#[test]
fn cost_a_crash() {
    for per_zone in [4, 40, 120] {
        let mut world = World::serving_nodes(per_zone);
        let before = (world.crash_report_bytes, world.platform.crash_writes);
        world.crash(1, deadly(), 1);
        world.run(5 * S);
        let nodes = world.vms.len() as u64;
        let bytes = (world.crash_report_bytes - before.0) / nodes;
        let writes = world.platform.crash_writes - before.1;
        println!("{nodes} nodes: {bytes} bytes a node, {writes} writes");
        assert!(bytes <= 300 && writes <= 2, "{nodes}: {bytes}, {writes}");
    }
}
