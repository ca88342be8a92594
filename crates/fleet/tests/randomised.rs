//! Long runs of kills, partitions, freezes, outages and races, with fixed seeds.
//!
//! The world checks every view that a VM installs: the view's version must never be lower than that
//! of the VM's previous view, also across restarts, and its configuration must be complete. Each
//! view checks by itself that its references all resolve.

mod world;

use config::State;
use world::{MS, NetworkFaults, S, World, zone_name};
use yare::parameterized;

const ZONES: usize = 3;
const NODES: usize = 36;
const STEPS: usize = 250;

/// Injects a random fault, or ends faults of a random kind.
fn inject_fault(world: &mut World) {
    let vm = world.random_index(NODES);
    match world.random_index(18) {
        0 | 1 => world.kill(vm, false),
        2 => world.kill(vm, true),
        3 => world.leave(vm),
        4..=6 => {
            let down = (0..NODES).find(|vm| world.vms[*vm].node.is_none());
            if let Some(vm) = down {
                world.spawn(vm);
            }
        }
        7 => world.freeze(vm),
        8 | 9 => (0..NODES).for_each(|vm| world.unfreeze(vm)),
        10 => world.drop_incoming(vm),
        11 => world.platform.is_down = true,
        12 => {
            world.platform.drops_responses = !world.platform.drops_responses;
            world.restore_platform();
        }
        13 => {
            let (a, b) = (world.random_index(ZONES), world.random_index(ZONES));
            if a != b {
                world.partition(a, b);
            }
        }
        14 => world.partitions.clear(),
        15 => {
            let zone = world.random_index(ZONES);
            world.platform.unreachable_zones.insert(zone_name(zone));
        }
        16 => {
            world.platform.unreachable_zones.clear();
            world.restore_platform();
        }
        _ => {
            let states = [State::Serving, State::Leaving];
            let state = states[world.random_index(2)];
            world.set_backend(vm, state);
        }
    }
}

/// Ends all faults and starts all processes that are down.
fn end_faults(world: &mut World) {
    world.network_faults = NetworkFaults::default();
    world.partitions.clear();
    world.platform.drops_responses = false;
    world.platform.silent_watchers.clear();
    world.platform.unreachable_zones.clear();
    world.restore_platform();
    for vm in 0..NODES {
        world.unfreeze(vm);
        if world.vms[vm].node.is_none() {
            world.spawn(vm);
        }
        world.set_backend(vm, State::Serving);
    }
}

#[parameterized(
    first = { 11 }, second = { 12 }, third = { 13 }, fourth = { 14 },
    fifth = { 15 }, sixth = { 16 }, seventh = { 17 }, eighth = { 18 },
    sources_full = { 2027 },
)]
fn random_faults(seed: u64) {
    let mut world = World::new(ZONES, NODES / ZONES, seed);
    world.run(5 * S);
    for step in 0..STEPS {
        if step % 50 == 25 {
            world.network_faults = NetworkFaults {
                drop: 0.05,
                duplicate: 0.05,
                delay: 0.1,
            };
        }
        if step % 50 == 49 {
            world.network_faults = NetworkFaults::default();
        }
        inject_fault(&mut world);
        if world.random_index(2) == 0 && !world.platform.is_down {
            world.propose();
        }
        let pause = u32::try_from(world.random_index(900)).unwrap_or_default();
        world.run(pause * MS);
    }
    end_faults(&mut world);
    let version = world.propose();
    world.run_until(30 * S, "faults ended", |world| {
        world.all_serve(version) && world.all_rooted()
    });
    world.run_until(30 * S, "endpoints", |world| {
        (0..NODES).all(|vm| world.serving_count(vm) == NODES)
    });
}
