//! Propagation of crash reports to every node.

mod world;

use call::Digest;
use policy::quarantine::RequestStatus;
use std::time::Duration;
use world::{MS, S, World};

/// Maximum time until a node with a path to the platform holds a request after its third crash.
const HOLD_DEADLINE: Duration = Duration::from_secs(3);

fn crashing_request() -> Digest {
    Digest::of("", "GET", "", "/s0/deadly", b"")
}

fn is_held(status: RequestStatus) -> bool {
    matches!(status, RequestStatus::Held { .. })
}

fn all_hold(world: &World) -> bool {
    world.all_request_status(crashing_request(), is_held)
}

/// Crashes seen by three different nodes add up to three at every node, within milliseconds.
#[test]
fn crashes_on_three_nodes() {
    let mut world = World::serving_nodes(20);
    for (id, vm) in (1..).zip([3, 22, 44]) {
        assert!(!all_hold(&world));
        world.crash(vm, crashing_request(), id);
        world.run(S);
    }
    assert!(all_hold(&world), "{}", world.describe());
    let mut world = World::serving_nodes(20);
    for (id, vm) in (1..).zip([3, 22, 44]) {
        world.crash(vm, crashing_request(), id);
    }
    let took = world.run_until(HOLD_DEADLINE, "to hold", all_hold);
    assert!(took <= 50 * MS, "{took:?}");
}

/// An answer at any node clears the request at all nodes.
#[test]
fn cleared_by_answer() {
    let mut world = World::serving_nodes(8);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, crashing_request(), id);
    }
    world.run_until(HOLD_DEADLINE, "to hold", all_hold);
    world.answer(17, crashing_request());
    world.run_until(HOLD_DEADLINE, "to clear", |world| {
        world.all_request_status(crashing_request(), |status| status == RequestStatus::Clear)
    });
}

/// Three partitioned zones that see one crash each must all hold the request.
#[test]
fn partitioned_zones() {
    for delay in [10 * S, Duration::ZERO] {
        let mut world = World::serving_nodes(6);
        world.partition(0, 1);
        world.partition(1, 2);
        world.partition(0, 2);
        world.run(delay);
        for (id, vm) in (1..).zip([0, 1, 2]) {
            world.crash(vm, crashing_request(), id);
        }
        world.run_until(HOLD_DEADLINE, "to hold", all_hold);
    }
}

/// A node that can reach only the platform must learn of new crashes from it.
#[test]
fn partitioned_node() {
    let mut world = World::serving_nodes(6);
    let isolated = 16;
    world.drop_incoming(isolated);
    world.drop_outgoing(isolated);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, crashing_request(), id);
    }
    world.run_until(HOLD_DEADLINE, "to hold", all_hold);
}

/// A restarted node must know the held requests before it serves.
#[test]
fn restarted_nodes() {
    let mut world = World::serving_nodes(6);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, crashing_request(), id);
    }
    world.run_until(HOLD_DEADLINE, "to hold", all_hold);
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
            is_held(world.request_status(vm, crashing_request())),
            "{}",
            world.describe()
        );
    }
}

/// The held requests must survive a kill of all nodes at once.
#[test]
fn whole_fleet_restarted() {
    let mut world = World::serving_nodes(6);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, crashing_request(), id);
    }
    world.run(S);
    let all: Vec<_> = (0..world.vms.len()).collect();
    world.restart(&all);
    world.run_until(5 * S, "to hold again", all_hold);
}

/// If all nodes restart at once, none may serve before it knows the held requests.
#[test]
fn known_before_serving() {
    let mut world = World::serving_nodes(6);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, crashing_request(), id);
    }
    world.run(S);
    let all: Vec<_> = (0..world.vms.len()).collect();
    world.restart(&all);
    world.check_when_ready(&all, |world, vm| {
        is_held(world.request_status(vm, crashing_request()))
    });
}

/// Crashes that the platform has lost in a restore must be written again, because a fleet that
/// restarts as a whole reads them from the platform.
#[test]
fn platform_restored() {
    let mut world = World::serving_nodes(6);
    for (id, vm) in (1..).zip([0, 1, 2]) {
        world.crash(vm, crashing_request(), id);
    }
    world.run(S);
    world.restore_from_backup();
    world.run(2 * S);
    assert!(!world.platform.crashes().is_empty());
}

/// A crash must cost each node at most 300 bytes and the platform at most 2 writes, regardless of
/// the number of nodes.
#[test]
fn cost_per_crash() {
    for per_zone in [4, 40, 120] {
        let mut world = World::serving_nodes(per_zone);
        let before = (world.crash_report_bytes, world.platform.crash_writes);
        world.crash(1, crashing_request(), 1);
        world.run(5 * S);
        let nodes = world.vms.len() as u64;
        let bytes = (world.crash_report_bytes - before.0) / nodes;
        let writes = world.platform.crash_writes - before.1;
        println!("{nodes} nodes: {bytes} bytes a node, {writes} writes");
        assert!(bytes <= 300 && writes <= 2, "{nodes}: {bytes}, {writes}");
    }
}
