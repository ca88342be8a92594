//! Propagation of roll-outs and their outcomes.

mod world;

use config::rollout::{Counts, Stage, Tally};
use fleet::Node;
use std::time::Duration;
use world::{Denial, MS, S, World};

const SERVICE: &str = "s0";

/// Duration of a roll-out, as ordered by operators.
const DURATION: Duration = Duration::from_secs(12);

/// Counts of one proxy after `seconds` seconds, with 4 calls per second to the new version and 40
/// to the old version.
fn tally(seconds: u32, failed_percent: u32) -> Tally {
    let mut tally = Tally::default();
    tally.trial[0] = Counts {
        ended: 4 * seconds,
        failed: 4 * seconds * failed_percent / 100,
        slow: 0,
    };
    tally.stable[0].ended = 40 * seconds;
    tally
}

/// Runs the world for up to `seconds` seconds while all nodes count calls.
///
/// Returns the first second after which all nodes were at stage `end`, or `None` if there was none.
fn run_with_calls(world: &mut World, seconds: u32, failed_percent: u32, end: Stage) -> Option<u32> {
    for second in 1..=seconds {
        for vm in 0..world.vms.len() {
            world.report_tally(vm, SERVICE, tally(second, failed_percent));
        }
        world.run(S);
        if all_at(world, end) {
            return Some(second);
        }
    }
    None
}

fn all_at(world: &World, stage: Stage) -> bool {
    let running = |vm: &usize| world.vms[*vm].node.is_some();
    let mut vms = (0..world.vms.len()).filter(running);
    vms.all(|vm| world.stage(vm, SERVICE) == Some(stage))
}

/// A good version must be completed at all nodes within the ordered duration.
#[test]
fn good_version() {
    let mut world = World::serving_nodes(8);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run_until(200 * MS, "to hear of it", |world| {
        all_at(world, Stage::Canary)
    });
    let took = run_with_calls(&mut world, 12, 0, Stage::Completed);
    assert!(took.is_some(), "{:?}", world.stage(0, SERVICE));
    assert_eq!(
        (world.platform.outcome_writes, world.stopped_rollouts),
        (1, 0)
    );
}

/// A bad version must be rolled back at all nodes within two seconds.
#[test]
fn bad_version() {
    let mut world = World::serving_nodes(20);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    let took = run_with_calls(&mut world, 3, 30, Stage::RolledBack);
    assert!(took.is_some_and(|took| took <= 2), "{took:?}");
    assert_eq!(world.platform.outcome_writes, 1);
}

/// Partitioned zones must all stop a bad version; they learn of the outcome through the platform.
#[test]
fn partitioned_zones() {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    for (one, other) in [(0, 1), (1, 2), (0, 2)] {
        world.partition(one, other);
    }
    let took = run_with_calls(&mut world, 5, 30, Stage::RolledBack);
    assert!(took.is_some_and(|took| took <= 3), "{took:?}");
}

/// A bad version must be stopped even if the platform is down, and the outcome must be written once
/// the platform is back.
#[test]
fn platform_down() {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    world.platform.is_down = true;
    assert!(run_with_calls(&mut world, 3, 30, Stage::Stopped).is_some());
    world.platform.is_down = false;
    assert!(run_with_calls(&mut world, 3, 30, Stage::RolledBack).is_some());
    assert_eq!(world.platform.outcome_writes, 1);
}

/// A good version must not be completed while the platform is down, or the old endpoints would keep
/// running.
#[test]
fn completion_waits_for_platform() {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    world.platform.is_down = true;
    assert_eq!(run_with_calls(&mut world, 14, 0, Stage::Completed), None);
    // In each zone, the simulation retries the write of the root with the lowest slot, about three
    // times per second.
    let before = world.rollout_write_attempts;
    world.run(S);
    assert!((1..=12).contains(&(world.rollout_write_attempts - before)));
    assert!(
        all_at(&world, Stage::Whole),
        "{:?}",
        world.stage(0, SERVICE)
    );
    world.platform.is_down = false;
    assert!(run_with_calls(&mut world, 3, 0, Stage::Completed).is_some());
}

/// An outcome that the platform has lost must be written again, and stay in effect at all nodes.
#[yare::parameterized(
    good = { 0, Stage::Completed },
    bad = { 30, Stage::RolledBack },
)]
fn outcome_lost(failed_percent: u32, end: Stage) {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(500 * MS);
    assert!(run_with_calls(&mut world, 14, failed_percent, end).is_some());
    let calls = world.platform.calls;
    world.restore_from_backup();
    world.run(2 * S);
    assert!(all_at(&world, end));
    let rollouts = world.platform.rollouts();
    assert_eq!(rollouts.first().map(|rollout| rollout.stage), Some(end));
    assert!(world.platform.calls - calls <= 60, "too many calls");
}

/// A node that starts must know of a roll-out before it serves, also when all nodes start at once.
#[test]
fn known_before_serving() {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    let all: Vec<_> = (0..world.vms.len()).collect();
    for group in [&[4, 9, 14][..], &all] {
        world.restart(group);
        world.check_when_ready(group, |world, vm| world.stage(vm, SERVICE).is_some());
    }
}

/// If all roots are lost during a roll-out, the roll-out must still end in exactly one outcome,
/// which the results of the calls determine.
#[yare::parameterized(
    good = { 0, Stage::Completed },
    bad = { 30, Stage::RolledBack },
)]
fn roots_lost(failed_percent: u32, end: Stage) {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", 2 * DURATION);
    world.run(500 * MS);
    let is_root = |world: &World, vm: usize| {
        let node = world.vms[vm].node.as_ref();
        node.is_some_and(fleet::Node::is_root)
    };
    let roots: Vec<_> = (0..world.vms.len())
        .filter(|vm| is_root(&world, *vm))
        .collect();
    for vm in &roots {
        world.kill(*vm, true);
    }
    let took = run_with_calls(&mut world, 24, failed_percent, end);
    assert!(took.is_some(), "{}", world.describe());
    assert_eq!(world.platform.outcome_writes, 1);
}

/// A roll-out must cost each node at most 2,048 bytes per second, less than half of its control
/// traffic, regardless of the number of nodes.
#[test]
fn cost_per_rollout() {
    for per_zone in [4, 40, 120] {
        let mut world = World::serving_nodes(per_zone);
        world.order_rollout(SERVICE, "v2", DURATION);
        world.run(S);
        let before = world.rollout_bytes;
        run_with_calls(&mut world, 5, 0, Stage::Completed);
        let nodes = world.vms.len() as u64;
        let bytes = (world.rollout_bytes - before) / nodes / 5;
        println!("{nodes} nodes: {bytes} bytes a node a second");
        assert!(bytes <= 2_048, "{nodes}: {bytes}");
    }
}

/// A fault seen only by a partitioned zone must end the roll-out once the partition heals.
#[test]
fn fault_in_partitioned_zone() {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", 2 * DURATION);
    world.run(S);
    for other in [1, 2] {
        world.partition(0, other);
    }
    world.platform.unreachable_zones.insert("zone-0".to_owned());
    for second in 1..=4 {
        for vm in (0..world.vms.len()).step_by(3) {
            world.report_tally(vm, SERVICE, tally(4 * second, 30));
        }
        world.run(S);
    }
    assert_eq!(world.stage(0, SERVICE), Some(Stage::Stopped));
    assert_eq!(world.platform.outcome_writes, 0);
    world.partitions.clear();
    world.platform.unreachable_zones.clear();
    world.run_until(10 * S, "to roll back", |world| {
        all_at(world, Stage::RolledBack)
    });
    assert_eq!(world.platform.outcome_writes, 1);
}

// The platform turns all roots away. The nodes below them did not know of an order that came
// meanwhile, and would have sent the new version as many calls as any other.
#[test]
fn order_below_denied_roots() {
    let mut world = World::serving_nodes(6);
    let is_root = |vm: &usize| world.vms[*vm].node.as_ref().is_some_and(Node::is_root);
    let roots: Vec<_> = (0..world.vms.len()).filter(is_root).collect();
    for root in &roots {
        world.set_denial(*root, Some(Denial::Refused));
    }
    world.run(2 * S);
    world.order_rollout(SERVICE, "v2", 2 * DURATION);
    world.run_until(2 * S, "to follow the order", |world| {
        let mut others = (0..world.vms.len()).filter(|vm| !roots.contains(vm));
        others.all(|vm| world.stage(vm, SERVICE) == Some(Stage::Canary))
    });
}
