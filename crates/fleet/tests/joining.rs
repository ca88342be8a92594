//! Joining: bounded admission, no cycles, and serving only with the newest version heard of.

use config::Version;
use fleet::bootstrap::ReadinessGate;
use fleet::leaky_bucket::LeakyBucket;
use fleet::lease::LeaseClient;
use fleet::parent::{Candidates, Source};
use fleet::{
    Action, Event, LinkKey, Node, Peer, PlatformRequest, PlatformResponse, RootLease, Settings,
};
use policy::backoff::Backoff;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::control::{BUCKET_COUNT, Frame};

const MS: Duration = Duration::from_millis(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// A thousand nodes try to join one root at once. The root must admit a few, tell the others when to
// retry, and later admit no more than its rate allows.
#[test]
fn bounded_admission() {
    let start = Instant::now();
    let mut limiter = LeakyBucket::new(1_600 * MS);
    let admitted = |limiter: &mut LeakyBucket, at| {
        let attempts = (0..1_000).map(|_| limiter.admit(at, 200 * MS));
        attempts.flatten().count()
    };
    assert_eq!(admitted(&mut limiter, start), 8);
    let wait = limiter.admit(start, 200 * MS).expect_err("full");
    assert!(wait <= 200 * MS);
    assert_eq!(admitted(&mut limiter, start + wait), 1);
    assert_eq!(admitted(&mut limiter, start + Duration::from_hours(1)), 8);
}

// All twenty nodes of a zone restart and join the same root, which sends 20 kB to each. The nodes
// waited up to 1.3 s, one after the other, because the limiter charged for each child the megabyte
// that is sent to a child in the largest fleet.
#[test]
fn small_children_together() {
    let start = Instant::now();
    let mut limiter = LeakyBucket::new(1_600 * MS);
    assert!((0..20).all(|_| limiter.admit(start, 4 * MS).is_ok()));
}

// A zone that lost power refused all calls for 10 s after its VMs were back, though the platform
// answered. The zone's only lease was held by a VM that had been replaced: another VM now used the
// holder's address, so the holder seemed to be reachable, but the node at that address was not a
// root. The log had `started` of all nodes at 40.5 to 40.7 s and the first `version_installed` at
// 51.0 s, when the lease expired.
#[test]
fn lease_address_reused() {
    let peer = |node: &str, port| Peer {
        node: node.into(),
        zone: "kl-a".into(),
        address: address(port),
    };
    let mut lease = LeaseClient::new(Instant::now());
    lease.set_leases(vec![RootLease {
        slot: 1,
        holder: peer("kl-a-2", 2),
        is_live: true,
    }]);
    let reached = |_: &Peer| false;
    assert_eq!(lease.slot_to_claim(&peer("kl-a-9", 2), reached), Some(1));
    assert_eq!(lease.slot_to_claim(&peer("kl-a-2", 5), reached), Some(1));
    assert_eq!(lease.slot_to_claim(&peer("kl-a-3", 3), reached), None);
    assert!(lease.slot_to_claim(&peer("kl-a-3", 3), |_| true).is_some());
}

// In a large fleet, one child alone can cost more than the burst of the limiter. Such a child must
// still be admitted while no other child is being served.
#[test]
fn oversized_child() {
    let start = Instant::now();
    let mut limiter = LeakyBucket::new(1_600 * MS);
    assert_eq!(limiter.admit(start, 5_000 * MS), Ok(()));
    let wait = limiter.admit(start, 5_000 * MS).expect_err("full");
    assert_eq!(limiter.admit(start + wait, 5_000 * MS), Ok(()));
}

#[test]
fn jittered_backoff() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut backoff = Backoff::new(200 * MS, 3_000 * MS);
    let waits: Vec<_> = (0..200).map(|_| backoff.next_delay(&mut rng)).collect();
    assert!(waits.iter().all(|wait| *wait <= 3_000 * MS));
    let early = waits[8..].iter().filter(|wait| **wait < 1_500 * MS).count();
    assert!(
        (70..122).contains(&early),
        "{early} of 192 in the first half"
    );
}

// All nodes of a zone choose among the same parent candidates; no candidate may be chosen by much
// more than its share of the nodes.
#[test]
fn even_parent_choice() {
    let now = Instant::now();
    let mut chosen: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for node in 0..2_400 {
        let mut candidates = Candidates::default();
        for port in 1..=24 {
            candidates.add(address(port), Source::Hint, now);
        }
        let first = candidates.pick(&format!("vm-{node}"), now).expect("some");
        *chosen.entry(first).or_default() += 1;
    }
    assert!(
        chosen.values().all(|count| (60..150).contains(count)),
        "{chosen:?}"
    );
}

#[test]
fn postponed_parent() {
    let now = Instant::now();
    let mut candidates = Candidates::default();
    candidates.add(address(1), Source::Root, now);
    candidates.add(address(2), Source::Seed, now);
    assert_eq!(candidates.pick("vm", now), Some(address(1)));
    candidates.postpone(address(1), now + 100 * MS);
    assert_eq!(candidates.pick("vm", now), Some(address(2)));
    candidates.mark_unreachable(address(2), now);
    assert_eq!(candidates.pick("vm", now), None);
    assert!(candidates.is_unreachable(address(2)) && !candidates.is_unreachable(address(1)));
    assert_eq!(candidates.pick("vm", now + 100 * MS), Some(address(1)));
}

// A VM served version 40 when its process was killed, and the platform is down. The new process
// first hears from a node that was partitioned at version 39, then from a node in a zone that lags.
// The process must not serve version 39 before it has heard from a node of its own zone.
#[test]
fn lagging_peer() {
    let now = Instant::now();
    let mut gate = ReadinessGate::new();
    gate.record_peer_version(&"cut-off".into(), Version(39), false);
    assert!(
        !gate.begin_platform_query(Version(38), now),
        "the version heard of is not held yet"
    );
    assert!(
        gate.begin_platform_query(Version(39), now) && !gate.begin_platform_query(Version(39), now)
    );
    assert!(
        !gate.try_open(Version(39)),
        "the platform has not answered yet"
    );
    gate.record_platform_failure(now);
    assert!(!gate.try_open(Version(39)));
    assert!(gate.begin_peer_query(now) && !gate.begin_peer_query(now));
    gate.record_peer_version(&"other-zone".into(), Version(39), false);
    assert!(!gate.try_open(Version(39)), "no source in this zone");
    gate.record_peer_version(&"own-zone".into(), Version(40), true);
    assert!(!gate.try_open(Version(39)));
    assert!(
        gate.begin_platform_query(Version(40), now + Duration::from_secs(5)),
        "the platform is queried again"
    );
    assert!(gate.try_open(Version(40)));
    assert!(gate.deadline().is_none());
}

// As in `lagging_peer`, but many nodes of a lagging zone are heard from first. These nodes filled
// the bounded set of sources, and the node with the higher version was ignored.
#[test]
fn many_lagging_peers() {
    let now = Instant::now();
    let mut gate = ReadinessGate::new();
    gate.record_platform_failure(now);
    for node in 0..20 {
        gate.record_peer_version(&format!("vm-{node}").into(), Version(72), false);
    }
    gate.record_peer_version(&"own-zone".into(), Version(81), true);
    assert!(!gate.try_open(Version(72)));
    assert!(gate.try_open(Version(81)));
}

#[test]
fn platform_suffices() {
    let mut gate = ReadinessGate::new();
    assert!(!gate.try_open(Version(0)), "no source");
    gate.record_peer_version(&"only".into(), Version(7), false);
    gate.record_platform_version(Version(9));
    assert!(!gate.try_open(Version(7)));
    assert!(
        gate.try_open(Version(9)),
        "the platform needs no second source"
    );
}

fn peer(node: &str, port: u16) -> Peer {
    Peer {
        node: node.into(),
        zone: "a".into(),
        address: address(port),
    }
}

/// Creates a node that searches for a parent, one second after its start.
fn searching(now: Instant) -> Node {
    let settings = Settings {
        local: peer("vm-1", 1),
        region: "r".into(),
        incarnation: 1,
        started_ms: 1,
        seeds: vec![address(2)],
        follows_rollouts: false,
        sends_full: false,
        max_config_age: None,
    };
    let mut node = Node::new(settings, 1, now);
    node.handle(now + Duration::from_secs(1), Event::Wake);
    node
}

/// Creates a node that has just connected to its seed.
fn connected(now: Instant) -> (Node, LinkKey) {
    let mut node = searching(now);
    let failed = Event::Platform(PlatformResponse::Failed(PlatformRequest::Leases {
        is_exact: true,
    }));
    let later = now + Duration::from_secs(2);
    let mut actions = node.handle(now + Duration::from_secs(1), failed);
    actions.extend(node.handle(later, Event::Wake));
    let dialled = actions.iter().find_map(|action| match action {
        Action::Connect { link, .. } => Some(*link),
        _ => None,
    });
    let link = dialled.expect("the seed is dialled when the platform is down");
    let event = Event::Connected {
        link,
        peer: peer("vm-2", 2),
    };
    node.handle(later, event);
    (node, link)
}

// A node loses its parent and unknowingly tries to join one of its own descendants.
// The resulting cycle would be cut off from all versions, and no node in it would
// notice.
#[test]
fn no_cycle() {
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    let path =
        |names: &[&str]| -> Vec<SmolStr> { names.iter().map(|name| (*name).into()).collect() };
    for (names, is_accepted) in [(["vm-9", "vm-2"], true), (["vm-1", "vm-2"], false)] {
        let (mut node, link) = connected(now);
        let frame = Frame::Admit {
            path: path(&names),
            version: Version(1),
            is_ready: true,
            parents: Vec::new(),
        };
        node.handle(later, Event::Frame { link, frame });
        assert_eq!(!node.path().is_empty(), is_accepted, "{names:?}");
    }
    let (mut node, link) = connected(now);
    let frame = Frame::Admit {
        path: path(&["vm-9", "vm-2"]),
        version: Version(1),
        is_ready: true,
        parents: Vec::new(),
    };
    node.handle(later, Event::Frame { link, frame });
    let frame = Frame::Path(path(&["vm-9", "vm-1", "vm-2"]));
    let actions = node.handle(later, Event::Frame { link, frame });
    let left = actions
        .iter()
        .any(|action| matches!(action, Action::Close { link: closed } if *closed == link));
    assert!(left && node.path().is_empty(), "{actions:?}");
}

// A root's VM is restarted under load and acquires its lease again. The root served at once, with
// the platform's version but with no endpoint except its own backend server: until it was linked to
// another root, its callers were told that no other service had an endpoint. The cause was that the
// platform's response about the version also counted as knowledge of the endpoints.
#[yare::parameterized(
    met = { true, true },
    silent = { true, false },
    alone = { false, false },
)]
fn endpoints_before_serving(is_other_known: bool, is_met: bool) {
    let start = Instant::now();
    let mut node = searching(start);
    let lease = |slot, name: &str, port| RootLease {
        slot,
        holder: peer(name, port),
        is_live: true,
    };
    let mut leases = vec![lease(0, "vm-1", 1)];
    leases.extend(is_other_known.then(|| lease(1, "vm-2", 2)));
    let granted_at = start + Duration::from_secs(1);
    let installs = |actions: &[Action]| {
        let is_view = |action: &Action| matches!(action, Action::InstallView(_));
        actions.iter().any(is_view)
    };
    let mut answer = |answer| node.handle(granted_at, Event::Platform(answer));
    answer(PlatformResponse::Leases(leases));
    answer(PlatformResponse::LeaseGranted { slot: 0 });
    answer(PlatformResponse::Crashes(Vec::new()));
    answer(PlatformResponse::Farewells(Vec::new()));
    let actions = answer(PlatformResponse::LatestVersion(Version(0)));
    assert_eq!(installs(&actions), !is_other_known);
    let later = granted_at + 1_900 * MS;
    assert!(!installs(&node.handle(later, Event::Wake)));
    if is_met {
        let link = node.accept(peer("vm-2", 2), later);
        for frame in [
            Frame::Meet {
                address: address(2),
                version: Version(0),
            },
            Frame::Checksums {
                checksums: vec![0; BUCKET_COUNT],
                is_reply: true,
            },
        ] {
            node.handle(later, Event::Frame { link, frame });
        }
        assert!(installs(&node.handle(later + 60 * MS, Event::Wake)));
    } else if is_other_known {
        let limit = granted_at + Duration::from_secs(2);
        let mut actions = node.handle(limit, Event::Wake);
        actions.extend(node.handle(limit + 60 * MS, Event::Wake));
        assert!(installs(&actions), "the wait has a limit");
    }
}

// Every VM that starts reads the roots of its zone from the platform, and fleets of hundreds of VMs
// are restarted every day. A read that may be some seconds stale suffices, and costs the platform a
// tenth of an exact read; but a lease that is free in a stale read may be taken by now, so
// acquiring a lease needs an exact read.
#[yare::parameterized(
    roots_there = { 3, true },
    none_seen = { 0, false },
)]
fn stale_read_first(roots: u8, dials_root: bool) {
    let start = Instant::now();
    let mut node = searching(start);
    let names = ["vm-2", "vm-3", "vm-4"];
    let leases = || {
        let leases = (0..roots).zip(names).map(|(slot, name)| RootLease {
            slot,
            holder: peer(name, 2 + u16::from(slot)),
            is_live: true,
        });
        Event::Platform(PlatformResponse::Leases(leases.collect()))
    };
    let now = start + Duration::from_secs(1);
    let later = now + 100 * MS;
    let mut actions = node.handle(now, leases());
    actions.extend(node.handle(later, Event::Wake));
    let queries = |actions: &[Action], wanted: PlatformRequest| {
        let is_wanted =
            |action: &Action| matches!(action, Action::QueryPlatform(asked) if *asked == wanted);
        actions.iter().any(is_wanted)
    };
    let exact = PlatformRequest::Leases { is_exact: true };
    let acquires = |action: &Action| {
        matches!(
            action,
            Action::QueryPlatform(PlatformRequest::AcquireLease { .. })
        )
    };
    let dials = |action: &Action| matches!(action, Action::Connect { .. });
    assert_eq!(actions.iter().any(dials), dials_root, "{actions:?}");
    assert_eq!(queries(&actions, exact), !dials_root, "{actions:?}");
    assert!(!actions.iter().any(acquires), "{actions:?}");
    if !dials_root {
        let actions = node.handle(later, leases());
        assert!(actions.iter().any(acquires), "{actions:?}");
    }
}
