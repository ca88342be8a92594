//! How roll-outs of versions spread, and what stands in the end.

mod world;

use config::rollout::{Counts, Stage, Tally};
use std::time::Duration;
use world::{MS, S, World};

const SERVICE: &str = "s0";

/// Time that operators give a roll-out.
const DURATION: Duration = Duration::from_secs(12);

/// What one proxy has counted after so many seconds of 4 calls to the new and 40 to the old version.
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

/// Runs second by second while all nodes count calls, and ends early once all take it for `end`.
fn play(world: &mut World, seconds: u32, failed_percent: u32, end: Stage) -> Option<u32> {
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

/// A good version must take over everywhere before its time is up.
#[test]
fn good_version() {
    let mut world = World::serving_nodes(8);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run_until(200 * MS, "to hear of it", |world| {
        all_at(world, Stage::Canary)
    });
    let took = play(&mut world, 12, 0, Stage::Completed);
    assert!(took.is_some(), "{:?}", world.stage(0, SERVICE));
    assert_eq!((world.platform.verdicts, world.stopped_versions), (1, 0));
}

/// A bad version must get nothing more within two seconds, at no node.
#[test]
fn bad_version() {
    let mut world = World::serving_nodes(20);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    let took = play(&mut world, 3, 30, Stage::RolledBack);
    assert!(took.is_some_and(|took| took <= 2), "{took:?}");
    assert_eq!(world.platform.verdicts, 1);
}

/// Zones that are cut from each other must all stop a bad version, by way of the platform.
#[test]
fn cut_zones() {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    for (one, other) in [(0, 1), (1, 2), (0, 2)] {
        world.partition(one, other);
    }
    let took = play(&mut world, 5, 30, Stage::RolledBack);
    assert!(took.is_some_and(|took| took <= 3), "{took:?}");
}

/// A verdict that can't be written must stop the version all the same, and be written later.
#[test]
fn platform_out() {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    world.platform.is_down = true;
    assert!(play(&mut world, 3, 30, Stage::Stopped).is_some());
    world.platform.is_down = false;
    assert!(play(&mut world, 3, 30, Stage::RolledBack).is_some());
    assert_eq!(world.platform.verdicts, 1);
}

/// A good version must not take over while the platform can't be told: the old endpoints would live on.
#[test]
fn handover_waits() {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    world.platform.is_down = true;
    assert_eq!(play(&mut world, 14, 0, Stage::Completed), None);
    // Each zone's first root goes on by itself, thrice a second here.
    let before = world.report_attempts;
    world.run(S);
    assert!((1..=12).contains(&(world.report_attempts - before)));
    assert!(
        all_at(&world, Stage::Whole),
        "{:?}",
        world.stage(0, SERVICE)
    );
    world.platform.is_down = false;
    assert!(play(&mut world, 3, 0, Stage::Completed).is_some());
}

/// A verdict that the platform has lost must be written again, and stand everywhere meanwhile.
#[yare::parameterized(
    good = { 0, Stage::Completed },
    bad = { 30, Stage::RolledBack },
)]
fn verdict_lost(failed_percent: u32, end: Stage) {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(500 * MS);
    assert!(play(&mut world, 14, failed_percent, end).is_some());
    let calls = world.platform.calls;
    world.restore_from_copy();
    world.run(2 * S);
    assert!(all_at(&world, end));
    let stands = world.platform.rollouts();
    assert_eq!(stands.first().map(|rollout| rollout.stage), Some(end));
    assert!(world.platform.calls - calls <= 60, "a storm");
}

/// A node that starts must know of a trial before it serves, also when all start at once.
#[test]
fn known_before_served() {
    let mut world = World::serving_nodes(6);
    world.order_rollout(SERVICE, "v2", DURATION);
    world.run(S);
    let all: Vec<_> = (0..world.vms.len()).collect();
    for group in [&[4, 9, 14][..], &all] {
        world.restart(group);
        world.check_when_ready(group, |world, vm| world.stage(vm, SERVICE).is_some());
    }
}

/// All roots lost in the midst of a trial must leave one verdict, and the one that the calls show.
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
    let took = play(&mut world, 24, failed_percent, end);
    assert!(took.is_some(), "{}", world.describe());
    assert_eq!(world.platform.verdicts, 1);
}

/// A trial must cost a node less than half of its control bytes, however many nodes there are.
#[test]
fn cost_a_trial() {
    for per_zone in [4, 40, 120] {
        let mut world = World::serving_nodes(per_zone);
        world.order_rollout(SERVICE, "v2", DURATION);
        world.run(S);
        let before = world.rollout_bytes;
        play(&mut world, 5, 0, Stage::Completed);
        let nodes = world.vms.len() as u64;
        let bytes = (world.rollout_bytes - before) / nodes / 5;
        println!("{nodes} nodes: {bytes} bytes a node a second");
        assert!(bytes <= 2_048, "{nodes}: {bytes}");
    }
}

/// A fault that only a zone which is cut off has seen must end the roll-out once it is back.
#[test]
fn found_apart() {
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
    assert_eq!(world.platform.verdicts, 0);
    world.partitions.clear();
    world.platform.unreachable_zones.clear();
    world.run_until(10 * S, "to roll back", |world| {
        all_at(world, Stage::RolledBack)
    });
    assert_eq!(world.platform.verdicts, 1);
}
