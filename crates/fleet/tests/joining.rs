//! Joining: bounded admission, no cycles, and serving only by the newest version heard.

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
use wire::control::{BUCKETS, Frame};

const MS: Duration = Duration::from_millis(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// A thousand nodes ask one root at once. It takes a few, tells the others
// when to come back, and takes no more than its rate later.
#[test]
fn bounded_admission() {
    let start = Instant::now();
    let mut door = LeakyBucket::new(1_600 * MS);
    let taken = |door: &mut LeakyBucket, at| {
        let tries = (0..1_000).map(|_| door.admit(at, 200 * MS));
        tries.flatten().count()
    };
    assert_eq!(taken(&mut door, start), 8);
    let wait = door.admit(start, 200 * MS).expect_err("full");
    assert!(wait <= 200 * MS);
    assert_eq!(taken(&mut door, start + wait), 1);
    assert_eq!(taken(&mut door, start + Duration::from_hours(1)), 8);
}

// All twenty nodes of a zone restart and ask the same root, which has 20 kB for
// each. They waited up to 1.3 s, one after the other. Cause: the door counted
// children, by the megabyte that each costs in the largest fleet.
#[test]
fn small_children() {
    let start = Instant::now();
    let mut door = LeakyBucket::new(1_600 * MS);
    assert!((0..20).all(|_| door.admit(start, 4 * MS).is_ok()));
}

// A zone loses power, and refuses all calls for 10 s after it is back, though the platform
// answers. Its only lease was of a VM that had been replaced: another VM had its address
// since, could be reached there, and was no root. The log had `started` of all nodes at
// 40.5 to 40.7 s and the first `version_installed` at 51.0 s, as the lease ran out.
#[test]
fn address_used_again() {
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

// A fleet grows until one child alone costs more than the door lets in at
// once. It must still be let in, when nothing else is on the way.
#[test]
fn huge_child() {
    let start = Instant::now();
    let mut door = LeakyBucket::new(1_600 * MS);
    assert_eq!(door.admit(start, 5_000 * MS), Ok(()));
    let wait = door.admit(start, 5_000 * MS).expect_err("full");
    assert_eq!(door.admit(start + wait, 5_000 * MS), Ok(()));
}

#[test]
fn jittered_waits() {
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

// A zone's nodes look for parents among the same names; no name may get much
// more than its share.
#[test]
fn even_choice() {
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

// A VM served by version 40 when its process was killed, and the platform is
// out. The first peer that the new process hears is a relay that was cut off
// at 39, then one of a zone that is behind; the VM must not serve by 39
// before a node of its own zone was heard.
#[test]
fn older_peer() {
    let now = Instant::now();
    let mut gate = ReadinessGate::new();
    gate.record_peer_version(&"cut-off".into(), Version(39), false);
    assert!(
        !gate.begin_platform_query(Version(38), now),
        "first what was heard of"
    );
    assert!(
        gate.begin_platform_query(Version(39), now) && !gate.begin_platform_query(Version(39), now)
    );
    assert!(!gate.try_open(Version(39)), "the platform was asked");
    gate.record_platform_failure(now);
    assert!(!gate.try_open(Version(39)));
    assert!(gate.begin_peer_query(now) && !gate.begin_peer_query(now));
    gate.record_peer_version(&"other-zone".into(), Version(39), false);
    assert!(!gate.try_open(Version(39)), "none of the own zone");
    gate.record_peer_version(&"own-zone".into(), Version(40), true);
    assert!(!gate.try_open(Version(39)));
    assert!(
        gate.begin_platform_query(Version(40), now + Duration::from_secs(5)),
        "asked again"
    );
    assert!(gate.try_open(Version(40)));
    assert!(gate.deadline().is_none());
}

// As before, but many nodes of a zone that is behind were heard first: the
// memory for sources was full, and the one that knew better was forgotten.
#[test]
fn many_behind() {
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
fn platform_knows() {
    let mut gate = ReadinessGate::new();
    assert!(!gate.try_open(Version(0)), "nothing heard");
    gate.record_peer_version(&"only".into(), Version(7), false);
    gate.record_platform_version(Version(9));
    assert!(!gate.try_open(Version(7)));
    assert!(gate.try_open(Version(9)), "the platform needs no second");
}

fn peer(node: &str, port: u16) -> Peer {
    Peer {
        node: node.into(),
        zone: "a".into(),
        address: address(port),
    }
}

/// A node that looks for its place, a second after its start.
fn searching(now: Instant) -> Node {
    let settings = Settings {
        local: peer("vm-1", 1),
        region: "r".into(),
        incarnation: 1,
        started_ms: 1,
        seeds: vec![address(2)],
        follows_rollouts: false,
        sends_full: false,
    };
    let mut node = Node::new(settings, 1, now);
    node.handle(now + Duration::from_secs(1), Event::Wake);
    node
}

/// A node that has just connected to its seed.
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
    let link = dialled.expect("the seed is asked when the platform is out");
    let event = Event::Connected {
        link,
        peer: peer("vm-2", 2),
    };
    node.handle(later, event);
    (node, link)
}

// A relay loses its parent and, without knowing it, asks one of its own
// descendants. If it were taken, the two would hold each other up: no version
// would ever reach them again, and neither would notice.
#[test]
fn no_cycle() {
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    let path =
        |names: &[&str]| -> Vec<SmolStr> { names.iter().map(|name| (*name).into()).collect() };
    for (names, is_taken) in [(["vm-9", "vm-2"], true), (["vm-1", "vm-2"], false)] {
        let (mut node, link) = connected(now);
        let frame = Frame::Admit {
            path: path(&names),
            version: Version(1),
            is_ready: true,
            parents: Vec::new(),
        };
        node.handle(later, Event::Frame { link, frame });
        assert_eq!(!node.path().is_empty(), is_taken, "{names:?}");
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

// A root's VM is restarted under load and takes up its lease again. It served
// at once by the platform's version with its own backend server alone: until
// it met another root, its callers were told that no other service had an
// endpoint. Cause: the platform's word on the version counted as one on endpoints.
#[yare::parameterized(
    met = { true, true },
    silent = { true, false },
    alone = { false, false },
)]
fn endpoints_first(is_other_known: bool, is_met: bool) {
    let start = Instant::now();
    let mut node = searching(start);
    let seat = |slot, name: &str, port| RootLease {
        slot,
        holder: peer(name, port),
        is_live: true,
    };
    let mut seats = vec![seat(0, "vm-1", 1)];
    seats.extend(is_other_known.then(|| seat(1, "vm-2", 2)));
    let granted_at = start + Duration::from_secs(1);
    let installs = |actions: &[Action]| {
        let is_view = |action: &Action| matches!(action, Action::InstallView(_));
        actions.iter().any(is_view)
    };
    let mut answer = |answer| node.handle(granted_at, Event::Platform(answer));
    answer(PlatformResponse::Leases(seats));
    answer(PlatformResponse::LeaseGranted { slot: 0 });
    answer(PlatformResponse::Crashes(Vec::new()));
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
            Frame::Sums {
                sums: vec![0; BUCKETS],
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

// Every VM that starts asks the platform who its zone's roots are, and a fleet of hundreds is
// restarted day by day. A word that is some seconds old does, and costs a tenth; but a seat
// that looks free in it may be taken by now, and is taken only on the platform's exact word.
#[yare::parameterized(
    roots_there = { 3, true },
    none_seen = { 0, false },
)]
fn recent_word_first(roots: u8, goes_on: bool) {
    let start = Instant::now();
    let mut node = searching(start);
    let names = ["vm-2", "vm-3", "vm-4"];
    let seats = || {
        let seats = (0..roots).zip(names).map(|(slot, name)| RootLease {
            slot,
            holder: peer(name, 2 + u16::from(slot)),
            is_live: true,
        });
        Event::Platform(PlatformResponse::Leases(seats.collect()))
    };
    let now = start + Duration::from_secs(1);
    let later = now + 100 * MS;
    let mut actions = node.handle(now, seats());
    actions.extend(node.handle(later, Event::Wake));
    let asks = |actions: &[Action], wanted: PlatformRequest| {
        let is_wanted =
            |action: &Action| matches!(action, Action::QueryPlatform(asked) if *asked == wanted);
        actions.iter().any(is_wanted)
    };
    let exact = PlatformRequest::Leases { is_exact: true };
    let takes = |action: &Action| {
        matches!(
            action,
            Action::QueryPlatform(PlatformRequest::AcquireLease { .. })
        )
    };
    let dials = |action: &Action| matches!(action, Action::Connect { .. });
    assert_eq!(actions.iter().any(dials), goes_on, "{actions:?}");
    assert_eq!(asks(&actions, exact), !goes_on, "{actions:?}");
    assert!(!actions.iter().any(takes), "{actions:?}");
    if !goes_on {
        let actions = node.handle(later, seats());
        assert!(actions.iter().any(takes), "{actions:?}");
    }
}
