//! Versions reach every node, in an idle fleet and under each kind of fault.

mod world;

use world::{MS, S, World, zone_name};

#[test]
fn quiet_fleet() {
    let mut world = World::new(3, 20, 1);
    world.run_until(10 * S, "start", World::all_rooted);
    world.run(10 * S);
    for zone in 0..3 {
        let roots = world.platform.roots(&zone_name(zone), world.now);
        assert_eq!(roots.len(), 3, "each zone has three roots");
    }
    for _ in 0..5 {
        let version = world.propose();
        let took = world.run_until(S, "a version", |world| world.all_serve(version));
        assert!(took <= 100 * MS, "{took:?}");
    }
    assert_eq!(world.serving_count(0), 60);
    let before = world.platform.calls;
    let bytes = world.sent_bytes;
    world.run(60 * S);
    let calls = world.platform.calls - before;
    // Each of the nine roots renews its lease every 3 s (20 times a minute) and reads the leases
    // every 5 s (12 times a minute).
    assert!(calls <= 9 * (20 + 12), "{calls} calls in a minute");
    let bytes = (world.sent_bytes - bytes) / 60 / 60;
    assert!(bytes < 200, "{bytes} idle bytes a second a node");
}

fn started(zones: usize, per_zone: usize, seed: u64) -> World {
    // The processes have no seeds in their settings, so that each zone must recover by itself.
    let mut world = World::start(zones, per_zone, seed, false);
    world.run(15 * S);
    let version = world.propose();
    world.run_until(S, "the first version", |world| world.all_serve(version));
    world
}

fn roots(world: &World, zone: usize) -> Vec<usize> {
    let holders = world.platform.roots(&zone_name(zone), world.now);
    let find = |holder: &fleet::Peer| world.vms.iter().position(|vm| vm.peer == *holder);
    holders.iter().filter_map(find).collect()
}

// A rack that hosts all three roots of a zone fails. The zone's nodes keep the configuration that
// they hold, but the next version would not reach them, because their only paths to the platform
// went through these roots. The next version must be in force within 2 s, long before there are new
// roots.
#[test]
fn roots_killed() {
    for is_vm in [false, true] {
        let mut world = started(3, 20, 2);
        for root in roots(&world, 0) {
            world.kill(root, is_vm);
        }
        let version = world.propose();
        world.run_until(2 * S, "roots killed", |world| world.all_serve(version));
        world.run_until(20 * S, "new roots", |world| roots(world, 0).len() == 3);
    }
}

// A zone can't reach the platform, but reaches the other zones: its nodes must still switch routes
// together with the nodes of the other zones.
#[test]
fn platform_cut_from_zone() {
    let mut world = started(3, 10, 3);
    for root in roots(&world, 1) {
        world.platform.silent_watchers.insert(root);
    }
    let version = world.propose();
    world.run_until(S, "through other zones", |world| world.all_serve(version));
}

// A zone is partitioned from all other zones and gets no updates from the platform. The zone must
// continue to serve with a complete list of endpoints, and must catch up in one step after the
// partition.
#[test]
fn zone_partitioned() {
    let mut world = started(3, 10, 4);
    world.partition(2, 0);
    world.partition(2, 1);
    world.platform.unreachable_zones.insert(zone_name(2));
    let mut version = world.propose();
    for _ in 0..99 {
        version = world.propose();
    }
    world.run(60 * S);
    for vm in 0..world.vms.len() {
        assert_eq!(
            world.serving_count(vm),
            30,
            "a partition removes no endpoints"
        );
        assert_eq!(world.vms[vm].served < version, vm % 3 == 2);
    }
    world.partitions.clear();
    world.platform.unreachable_zones.clear();
    let follow = world.propose();
    world.run_until(6 * S, "after the partition", |world| {
        world.all_serve(follow)
    });
    let behind = &world.vms[2].installed;
    assert!(behind.len() <= 4, "caught up in steps: {behind:?}");
}

// All VMs of a zone restart in the same second and look for parents at once.
#[test]
fn zone_restart() {
    let mut world = started(3, 60, 5);
    for _ in 0..20 {
        world.propose();
    }
    world.run(2 * S);
    let zone: Vec<_> = (0..180).filter(|vm| vm % 3 == 0).collect();
    let calls = world.platform.calls;
    for vm in &zone {
        world.kill(*vm, false);
    }
    world.run(2 * S);
    for vm in &zone {
        world.spawn(*vm);
    }
    let version = world.propose();
    world.run_until(6 * S, "a restart of a zone", |world| {
        world.all_serve(version)
    });
    let calls = world.platform.calls - calls;
    assert!(calls < 400, "{calls} calls for 60 processes in 8 s");
}

// During a long outage of the platform (here 600 s), versions of the operators wait and nodes
// continue to serve. When the outage ends, the nodes must not overload the platform, and the next
// version must reach all of them.
#[test]
fn platform_outage() {
    let mut world = started(3, 10, 6);
    world.platform.is_down = true;
    world.run(600 * S);
    assert!(world.all_rooted(), "{}", world.describe());
    let calls = world.platform.calls;
    world.restore_platform();
    world.run(10 * S);
    let calls = world.platform.calls - calls;
    assert!(calls < 9 * 8, "{calls} calls in 10 s after the outage");
    let version = world.propose();
    world.run_until(S, "after the outage", |world| world.all_serve(version));
}

// A root is stopped (SIGSTOP) until its lease has expired and another node holds it. When the
// frozen root is resumed, it still acts as the holder of the lease, with an outdated version. Its
// former children must not go back to that version, and it must stop being a root.
#[test]
fn root_frozen() {
    let mut world = started(2, 12, 7);
    let frozen = roots(&world, 0)[0];
    world.freeze(frozen);
    world.run(30 * S);
    let version = world.propose();
    world.run_until(S, "without the frozen root", |world| {
        world.all_serve(version)
    });
    assert!(!roots(&world, 0).contains(&frozen));
    world.unfreeze(frozen);
    world.run_until(6 * S, "resumed", |world| world.all_serve(version));
    let node = world.vms[frozen].node.as_ref().expect("runs");
    assert!(
        !node.is_root(),
        "a node whose lease was taken over is no root"
    );
}

// A device between a child and its parent has dropped the state of their connection: no frame
// arrives any more, and neither end sees an error. The child would keep an outdated version
// forever.
#[test]
fn link_silent() {
    let mut world = started(2, 12, 8);
    for vm in 0..24 {
        if world.vms[vm]
            .node
            .as_ref()
            .is_some_and(|node| !node.is_root())
        {
            world.drop_incoming(vm);
        }
    }
    let version = world.propose();
    world.run_until(6 * S, "silent links", |world| world.all_serve(version));
}

// A connection is dead in one direction only: a child gets its parent's heartbeats, but the parent
// gets nothing and drops the child without the child's knowledge. The child would get no updates
// until it dropped the parent in turn. The echo in the parent's heartbeats shows the child earlier
// that its own heartbeats are lost.
#[test]
fn link_one_way() {
    let mut world = started(2, 12, 10);
    let leaves = (0..24).filter(|vm| {
        let node = world.vms[*vm].node.as_ref();
        node.is_some_and(|node| !node.is_root())
    });
    for vm in leaves.collect::<Vec<_>>() {
        world.drop_outgoing(vm);
    }
    world.run(3_700 * MS);
    let version = world.propose();
    world.run_until(2 * S, "one-way links", |world| world.all_serve(version));
}

// The platform's responses to renewals are lost after the writes took effect. Roots must not give
// up the leases that they hold, and other nodes must not take them.
#[test]
fn renewal_answer_lost() {
    let mut world = started(2, 8, 9);
    let before = roots(&world, 0);
    world.platform.drops_responses = true;
    world.run(30 * S);
    world.platform.drops_responses = false;
    world.run(10 * S);
    assert_eq!(roots(&world, 0), before, "a lost response costs no lease");
    let version = world.propose();
    world.run_until(S, "after lost responses", |world| world.all_serve(version));
}

// During an outage of the platform, all VMs of a zone are restarted one after the other. A new
// process has no node to ask, and once the zone's roots are gone no other node can take a lease.
// Callers at each restarted VM would be refused until the outage ends, if nodes could not become
// acting roots, which serve as roots without a lease until the platform answers.
#[test]
fn restarts_without_platform() {
    let mut world = started(3, 4, 11);
    world.platform.is_down = true;
    world.run(2 * S);
    let zone: Vec<_> = (0..12).filter(|vm| vm % 3 == 1).collect();
    for vm in &zone {
        world.kill(*vm, false);
        world.run(S);
        world.spawn(*vm);
        world.run(2 * S);
    }
    world.run_until(4 * S, "found again", |world| {
        (0..12).all(|vm| world.serving_count(vm) == 12)
    });
    world.restore_platform();
    let version = world.propose();
    world.run_until(6 * S, "after the outage", |world| world.all_serve(version));
    world.run_until(20 * S, "roots", |world| roots(world, 1).len() == 3);
}

// All roots of a zone fail during an outage of the platform. Without acting roots, the zone's list
// of endpoints would become stale: it gets no updates of nodes that join or leave in other zones.
#[test]
fn roots_killed_without_platform() {
    let mut world = started(3, 8, 12);
    world.platform.is_down = true;
    world.run(2 * S);
    let dead = roots(&world, 2);
    for root in &dead {
        world.kill(*root, true);
    }
    world.run(6 * S);
    let living: Vec<_> = (0..24)
        .filter(|vm| vm % 3 == 2 && !dead.contains(vm))
        .collect();
    let before: Vec<_> = living.iter().map(|vm| world.serving_count(*vm)).collect();
    world.set_backend(0, config::State::Leaving);
    world.run_until(2 * S, "an update from another zone", |world| {
        let now = living.iter().map(|vm| world.serving_count(*vm));
        now.zip(&before).all(|(now, before)| now + 1 == *before)
    });
}

// All VMs lose power in the same second and start again. Calls were refused for two seconds longer
// than the start takes, as each VM knew no endpoint but its own: each had read the leases before
// the other VMs were roots again, and read the leases again only 5 s later.
#[test]
fn all_restarted() {
    let mut world = started(3, 3, 13);
    for vm in 0..9 {
        world.kill(vm, true);
    }
    world.run(S);
    for vm in 0..9 {
        world.spawn(vm);
    }
    world.run_until(2_500 * MS, "all endpoints", |world| {
        (0..9).all(|vm| world.serving_count(vm) == 9)
    });
}
