//! The endpoint table and failure detection: merging, expiry, departures and mass losses.

mod world;

use config::{Endpoint, Farewell, State};
use fleet::departure::{DepartureGuard, REAPPEAR_TIMEOUT};
use fleet::endpoints::{ENDPOINT_TTL, EndpointTable, MergeOutcome};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::sync::Arc;
use std::time::{Duration, Instant};
use world::{MS, NetworkFaults, S, World};

/// Node, start, sequence number and state of an announcement, and a farewell that it carries.
type Announcement = (usize, u64, u64, State, Option<(u64, u64)>);

fn endpoint(node: usize, started_ms: u64, sequence: u64, state: State) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        node: format!("vm-{node}").into(),
        incarnation: started_ms,
        started_ms,
        sequence,
        service: "claims".into(),
        version: "".into(),
        zone: "a".into(),
        region: "r".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 6,
        process: 0,
        cold_ms: None,
        state,
        farewells: Vec::new(),
    })
}

// Two nodes get the same announcements over different paths, in another order
// and partly twice. Both must end up with the same table, and a late frame must
// not bring back a backend server that has left, nor may a newer announcement
// that lacks its farewell.
#[test]
fn merge_order_irrelevant() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(256), rng);
    let state = prop_oneof![
        Just(State::Serving),
        Just(State::Leaving),
        Just(State::Gone)
    ];
    let farewell = prop::option::of((0..3_u64, 0..3_u64));
    let announcement = (0..4_usize, 1..3_u64, 1..4_u64, state, farewell);
    let all = prop::collection::vec(announcement, 1..24);
    let shuffled = all.prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle()));
    let result = runner.run(&shuffled, |(one, other)| {
        let now = Instant::now();
        let fill = |announcements: &[Announcement]| {
            let mut table = EndpointTable::default();
            // Both tables know all nodes, as a tombstone of an unknown node is dropped.
            for node in 0..4 {
                table.merge(&endpoint(node, 0, 0, State::Serving), now);
            }
            for (node, started_ms, sequence, state, farewell) in announcements {
                let mut announced =
                    Endpoint::clone(&endpoint(*node, *started_ms, *sequence, *state));
                announced.process = (started_ms + sequence) % 3;
                let farewell = farewell.map(|(left_ms, process)| Farewell { left_ms, process });
                announced.add_farewells(farewell.as_slice());
                table.merge(&Arc::new(announced), now);
            }
            table
        };
        let (one, other) = (fill(&one), fill(&other));
        prop_assert!(one.iter().eq(other.iter()));
        for endpoint in one.iter() {
            let mut farewells = endpoint.farewells.iter();
            let has_left = farewells.any(|farewell| farewell.process == endpoint.process);
            prop_assert!(!has_left || endpoint.state != State::Serving);
        }
        prop_assert_eq!(one.checksum(), other.checksum());
        prop_assert!(one.differing_endpoints(other.bucket_checksums()).is_empty());
        Ok(())
    });
    result.expect("order and repetition don't matter");
}

#[test]
fn late_announcement() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    assert_eq!(
        table.merge(&endpoint(1, 1, 1, State::Serving), now),
        MergeOutcome::Changed
    );
    assert_eq!(
        table.merge(&endpoint(1, 1, 2, State::Serving), now),
        MergeOutcome::Refreshed
    );
    assert!(table.mark_gone("vm-1", now).is_some());
    assert_eq!(
        table.merge(&endpoint(1, 1, 2, State::Serving), now),
        MergeOutcome::Ignored
    );
    // A later announcement of the node, or of its new process, overrides the tombstone.
    assert_eq!(
        table.merge(&endpoint(1, 1, 3, State::Serving), now),
        MergeOutcome::Changed
    );
    assert_eq!(
        table.merge(&endpoint(1, 2, 1, State::Leaving), now),
        MergeOutcome::Changed
    );
    assert_eq!(
        table.merge(&endpoint(1, 1, 9, State::Serving), now),
        MergeOutcome::Ignored
    );
}

#[test]
fn endpoint_then_tombstone_expires() {
    let now = Instant::now();
    let mut table = EndpointTable::default();
    table.merge(&endpoint(1, 1, 1, State::Serving), now);
    table.expire(now + ENDPOINT_TTL);
    assert_eq!(
        table.get("vm-1").map(|known| known.state),
        Some(State::Gone)
    );
    table.expire(now + ENDPOINT_TTL + ENDPOINT_TTL);
    assert!(table.get("vm-1").is_none(), "tombstones go too");
    assert_eq!(table.checksum(), EndpointTable::default().checksum());
}

// A switch fails and a parent loses most of its children at once, though they still serve. Removing
// their endpoints would refuse calls needlessly. The loss of one or two nodes must count as their
// departure, and the loss of many as a network fault.
#[test]
fn many_nodes_lost() {
    let now = Instant::now();
    let later = now + REAPPEAR_TIMEOUT;
    let lose = |count: usize, neighbours: usize, has_root: bool| {
        let mut guard = DepartureGuard::default();
        for node in 0..count {
            guard.record_lost(&format!("vm-{node}").into(), now);
        }
        assert!(
            guard
                .take_departed(neighbours, has_root, now + MS)
                .is_empty()
        );
        guard.take_departed(neighbours, has_root, later).len()
    };
    assert_eq!(lose(1, 20, true), 1);
    assert_eq!(lose(2, 0, true), 2);
    assert_eq!(lose(6, 18, true), 6);
    assert_eq!(lose(7, 17, true), 0);
    assert_eq!(
        lose(1, 20, false),
        0,
        "a node without a path to a root declares no node departed"
    );
}

fn started(seed: u64) -> World {
    let mut world = World::new(3, 12, seed);
    world.run(15 * S);
    let version = world.propose();
    world.run_until(S, "the first version", |world| world.all_serve(version));
    assert_eq!(world.serving_count(0), 36);
    world
}

fn leaf(world: &World) -> usize {
    let is_leaf = |vm: &world::Vm| vm.node.as_ref().is_some_and(|node| !node.is_root());
    world
        .vms
        .iter()
        .position(is_leaf)
        .expect("there are leaves")
}

// A backend server announces that it is leaving. Nodes in all zones must learn of this within 300
// ms, so that they stop sending calls to the backend server.
#[test]
fn leaving_propagates() {
    let mut world = started(21);
    let vm = leaf(&world);
    world.set_backend(vm, State::Leaving);
    let took = world.run_until(S, "leaving", |world| {
        (0..36).all(|other| world.serving_count(other) == 35)
    });
    assert!(took <= 300 * MS, "{took:?}");
}

// The frames that announce the departure of a backend server are lost. If nodes did not compare the
// checksums in heartbeats, some would go on sending calls to this backend server for hours.
#[test]
fn lost_departure() {
    let mut world = started(25);
    let vm = leaf(&world);
    world.network_faults = NetworkFaults {
        drop: 1.0,
        ..NetworkFaults::default()
    };
    world.set_backend(vm, State::Leaving);
    world.run(S);
    world.network_faults = NetworkFaults::default();
    assert!((0..36).any(|other| world.serving_count(other) == 36));
    world.run_until(20 * S, "compared", |world| {
        (0..36).all(|other| world.serving_count(other) == 35)
    });
}

// A VM fails silently. Its parent detects the silence, waits for the node to appear elsewhere, and
// then declares the node gone. After a restart under the same name, the node must be back in all
// tables within 3 s.
#[test]
fn killed_node() {
    let mut world = started(22);
    let vm = leaf(&world);
    world.kill(vm, true);
    let all_others_see = |world: &World, count: usize| {
        (0..36)
            .filter(|other| *other != vm)
            .all(|other| world.serving_count(other) == count)
    };
    world.run_until(10 * S, "declared gone", |world| all_others_see(world, 35));
    world.spawn(vm);
    world.run_until(3 * S, "back", |world| all_others_see(world, 36));
}

// A node no longer receives anything over its links, and finds another parent. Its backend server
// serves all the time and must stay in all tables.
#[test]
fn changed_parent() {
    let mut world = started(23);
    let vm = leaf(&world);
    world.drop_incoming(vm);
    for _ in 0..200 {
        world.run(50 * MS);
        assert!(
            (0..36).all(|other| world.serving_count(other) == 36),
            "{}",
            world.describe()
        );
    }
    assert!(world.all_rooted());
}

// The clock of a VM is set back and its process restarts. Without a correction, the last
// announcement of the old process would outrank all announcements of the new process, forever.
#[test]
fn clock_set_back() {
    let mut world = started(24);
    let vm = leaf(&world);
    for back in [0, 10] {
        world.kill(vm, false);
        world.set_clock_back(vm, Duration::from_secs(back));
        world.spawn(vm);
        world.run(3 * S);
    }
    world.set_backend(vm, State::Leaving);
    world.run_until(3 * S, "the new process is heard", |world| {
        (0..36).all(|other| world.serving_count(other) == 35)
    });
}
