//! What is held, what is cleared, and that all nodes come to the same.

use call::{Crash, Digest};
use clock::{Clock, Manual};
use policy::quarantine::{
    CrashHistory, HOLD_THRESHOLD, HOLD_TIME, MAX_CRASHES_PER_REQUEST, MAX_REQUESTS, RETENTION,
    RequestStatus,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

fn request(number: usize) -> Digest {
    Digest::of("GET", "", &format!("/records/{number}"), b"")
}

fn crash(id: u64, number: usize, is_alone: bool) -> Crash {
    Crash {
        id,
        request: request(number),
        node: "vm-1".into(),
        service: "records".into(),
        method: "GET".into(),
        path: "/records".into(),
        age_ms: 0,
        is_alone,
        is_cleared: false,
    }
}

fn is_held(ledger: &CrashHistory, now: Instant, number: usize) -> bool {
    matches!(
        ledger.status(now, request(number)),
        RequestStatus::Held { .. }
    )
}

/// A request must be refused once it has crashed three servers, and not before.
#[test]
fn third_crash() {
    let now = Manual::new().now();
    let mut ledger = CrashHistory::default();
    assert_eq!(ledger.status(now, request(1)), RequestStatus::Clear);
    for id in 0..3 {
        assert!(!is_held(&ledger, now, 1));
        assert!(ledger.merge(now, &crash(id, 1, true)));
        assert_ne!(ledger.status(now, request(1)), RequestStatus::Clear);
    }
    let standing = ledger.status(now, request(1));
    assert_eq!(standing, RequestStatus::Held { wait: HOLD_TIME });
    assert_eq!(ledger.status(now, request(2)), RequestStatus::Clear);
    assert_eq!(ledger.count_held(now), 1);
}

/// One crash that three nodes tell of must not count three times.
#[test]
fn told_again() {
    let now = Manual::new().now();
    let mut ledger = CrashHistory::default();
    assert!(ledger.merge(now, &crash(7, 1, true)));
    for _ in 0..5 {
        assert!(!ledger.merge(now, &crash(7, 1, true)));
    }
    assert!(!is_held(&ledger, now, 1));
}

/// What ran beside a deadly request at each crash must not be held with it.
#[test]
fn beside_it() {
    let now = Manual::new().now();
    let mut ledger = CrashHistory::default();
    for id in 0..8 {
        ledger.merge(now, &crash(id, 1, false));
    }
    assert_eq!(ledger.status(now, request(1)), RequestStatus::Suspect);
}

/// A request that is answered anywhere must be run again as before, also where the answer is
/// heard of before the crash.
#[test]
fn answered() {
    let now = Manual::new().now();
    let mut here = CrashHistory::default();
    let mut there = CrashHistory::default();
    for id in 0..3 {
        here.merge(now, &crash(id, 1, true));
    }
    assert!(is_held(&here, now, 1));
    let cleared = here.clear(now, request(1));
    assert_eq!(cleared.len(), 3);
    assert_eq!(here.status(now, request(1)), RequestStatus::Clear);
    for one in &cleared {
        assert!(there.merge(now, one));
    }
    for id in 0..3 {
        assert!(!there.merge(now, &crash(id, 1, true)));
    }
    assert_eq!(there.status(now, request(1)), RequestStatus::Clear);
    assert!(here.clear(now, request(1)).is_empty());
}

/// A hold must end, and one further crash renews it; an hour later nothing is known.
#[test]
fn hold_ends() {
    let clock = Manual::new();
    let mut ledger = CrashHistory::default();
    for id in 0..3 {
        ledger.merge(clock.now(), &crash(id, 1, true));
    }
    clock.advance(HOLD_TIME);
    assert_eq!(
        ledger.status(clock.now(), request(1)),
        RequestStatus::Suspect
    );
    ledger.merge(clock.now(), &crash(3, 1, true));
    assert!(is_held(&ledger, clock.now(), 1));
    clock.advance(RETENTION);
    assert_eq!(ledger.status(clock.now(), request(1)), RequestStatus::Clear);
    ledger.expire(clock.now());
    assert!(ledger.is_empty());
}

/// A crash that is told late must not be held against a request for longer.
#[test]
fn old_news() {
    let now = Manual::new().now();
    let mut ledger = CrashHistory::default();
    let aged = |id: u64, age: Duration| Crash {
        age_ms: u32::try_from(age.as_millis()).unwrap(),
        ..crash(id, 1, true)
    };
    assert!(!ledger.merge(now, &aged(0, RETENTION)));
    for id in 1..4 {
        assert!(ledger.merge(now, &aged(id, HOLD_TIME / 2)));
    }
    let standing = ledger.status(now, request(1));
    assert_eq!(
        standing,
        RequestStatus::Held {
            wait: HOLD_TIME / 2
        }
    );
    assert!(ledger.list(now).iter().all(|one| one.age_ms == 300_000));
}

/// A flood of requests that crash servers must not push out one that is held.
#[test]
fn flood() {
    let clock = Manual::new();
    let mut ledger = CrashHistory::default();
    for id in 0..3 {
        ledger.merge(clock.now(), &crash(id, 0, true));
    }
    for number in 1..5 * MAX_REQUESTS {
        clock.advance(Duration::from_millis(1));
        ledger.merge(clock.now(), &crash(100 + number as u64, number, true));
    }
    assert_eq!(ledger.len(), MAX_REQUESTS);
    assert!(is_held(&ledger, clock.now(), 0));
    let newest = 5 * MAX_REQUESTS - 1;
    assert_eq!(
        ledger.status(clock.now(), request(newest)),
        RequestStatus::Suspect
    );
    for id in 0..1_000 {
        ledger.merge(clock.now(), &crash(10_000 + id, 0, true));
    }
    let kept = ledger.list(clock.now());
    let kept = kept.iter().filter(|one| one.request == request(0)).count();
    assert_eq!(kept, MAX_CRASHES_PER_REQUEST);
}

#[derive(Debug, Clone)]
enum Step {
    Crash {
        node: usize,
        number: usize,
        is_alone: bool,
    },
    Answer {
        node: usize,
        number: usize,
    },
    Tell {
        from: usize,
        to: usize,
    },
    Restart {
        node: usize,
    },
}

/// Nodes of the model.
const NODES: usize = 4;

fn draw_step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let number = 0..3usize;
    prop_oneof![
        4 => (node.clone(), number.clone(), any::<bool>())
            .prop_map(|(node, number, is_alone)| Step::Crash { node, number, is_alone }),
        1 => (node.clone(), number).prop_map(|(node, number)| Step::Answer { node, number }),
        4 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::Tell { from, to }),
        1 => node.prop_map(|node| Step::Restart { node }),
    ]
}

fn sorted(ledger: &CrashHistory, now: Instant) -> Vec<Crash> {
    let mut list = ledger.list(now);
    list.sort_by_key(|one| (one.id, one.request));
    list
}

proptest! {
    /// Nodes that tell each other all they know, in any order and any number of times, must
    /// come to the same, and to no more crashes than there were.
    #[test]
    fn same_everywhere(steps in proptest::collection::vec(draw_step(), 0..60)) {
        let now = Manual::new().now();
        let mut nodes: Vec<CrashHistory> = (0..NODES).map(|_| CrashHistory::default()).collect();
        let mut crashes = [0; 3];
        for (id, step) in (0..).zip(steps) {
            match step {
                Step::Crash { node, number, is_alone } => {
                    crashes[number] += 1;
                    nodes[node].merge(now, &crash(id, number, is_alone));
                }
                Step::Answer { node, number } => drop(nodes[node].clear(now, request(number))),
                Step::Tell { from, to } => {
                    for one in nodes[from].list(now) {
                        nodes[to].merge(now, &one);
                    }
                }
                Step::Restart { node } => nodes[node] = CrashHistory::default(),
            }
        }
        // Two rounds bring all that is left to all nodes, the last one backwards.
        for round in 0..2 {
            for from in 0..NODES {
                let mut told = nodes[from].list(now);
                if round == 1 {
                    told.reverse();
                }
                for to in (0..NODES).rev() {
                    for one in &told {
                        nodes[to].merge(now, one);
                    }
                }
            }
        }
        for node in &nodes {
            prop_assert_eq!(sorted(node, now), sorted(&nodes[0], now));
            for (number, crashes) in crashes.iter().enumerate() {
                prop_assert!(!is_held(node, now, number) || *crashes >= HOLD_THRESHOLD);
            }
        }
    }
}

/// Steps of the fleet that is looked at exhaustively.
const DEPTH: usize = 5;

/// Nodes of that fleet.
const FEW: usize = 2;

/// A fleet after some steps: what its nodes know, and how often the request crashed a server.
#[derive(Clone)]
struct Fleet {
    nodes: Vec<Vec<Crash>>,
    crashes: usize,
}

/// What may happen next to a fleet.
fn list_steps() -> Vec<Step> {
    let mut steps = Vec::new();
    for node in 0..FEW {
        for is_alone in [false, true] {
            steps.push(Step::Crash {
                node,
                number: 0,
                is_alone,
            });
        }
        steps.push(Step::Answer { node, number: 0 });
        steps.push(Step::Restart { node });
        let others = (0..FEW).filter(|to| *to != node);
        steps.extend(others.map(|to| Step::Tell { from: node, to }));
    }
    steps
}

fn ledger_of(known: &[Crash], now: Instant) -> CrashHistory {
    let mut ledger = CrashHistory::default();
    for one in known {
        ledger.merge(now, one);
    }
    ledger
}

fn step(fleet: &Fleet, step: &Step, id: u64, now: Instant) -> Fleet {
    let mut next = fleet.clone();
    let change = |known: &mut Vec<Crash>, change: &dyn Fn(&mut CrashHistory)| {
        let mut ledger = ledger_of(known, now);
        change(&mut ledger);
        *known = ledger.list(now);
    };
    match *step {
        Step::Crash { node, is_alone, .. } => {
            next.crashes += 1;
            change(&mut next.nodes[node], &|ledger| {
                ledger.merge(now, &crash(id, 0, is_alone));
            });
        }
        Step::Answer { node, .. } => change(&mut next.nodes[node], &|ledger| {
            ledger.clear(now, request(0));
        }),
        Step::Tell { from, to } => {
            let told = fleet.nodes[from].clone();
            change(&mut next.nodes[to], &|ledger| {
                for one in &told {
                    ledger.merge(now, one);
                }
            });
        }
        Step::Restart { node } => next.nodes[node].clear(),
    }
    next
}

/// In every order of a few crashes, answers, losses and restarts, no node may hold a request
/// that crashed fewer than three servers, nor one that it has just seen answered.
#[test]
fn every_order() {
    let now = Manual::new().now();
    let steps = list_steps();
    let mut fleets = vec![Fleet {
        nodes: vec![Vec::new(); FEW],
        crashes: 0,
    }];
    let mut held = 0;
    for depth in 0..DEPTH {
        let mut next = Vec::new();
        for fleet in &fleets {
            for one in &steps {
                let after = step(fleet, one, depth as u64, now);
                for known in &after.nodes {
                    let is_held = is_held(&ledger_of(known, now), now, 0);
                    held += usize::from(is_held);
                    assert!(!is_held || after.crashes >= HOLD_THRESHOLD, "{one:?}");
                }
                if let Step::Answer { node, .. } = *one {
                    let ledger = ledger_of(&after.nodes[node], now);
                    assert_eq!(ledger.status(now, request(0)), RequestStatus::Clear);
                }
                next.push(after);
            }
        }
        fleets = next;
    }
    assert!(held > 1_000, "{held} of {} end with a hold", fleets.len());
}
