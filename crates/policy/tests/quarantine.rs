//! Which requests are held and cleared, and that the histories of all nodes converge.

use call::{Crash, Digest};
use clock::{Clock, Manual};
use policy::quarantine::{
    CRASH_RETENTION, CrashHistory, HOLD_THRESHOLD, HOLD_TIME, MAX_CRASHES_PER_REQUEST,
    MAX_REQUESTS, RequestStatus,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

fn request(number: usize) -> Digest {
    Digest::of("", "GET", "", &format!("/records/{number}"), b"")
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

fn is_held(history: &CrashHistory, now: Instant, number: usize) -> bool {
    matches!(
        history.status(now, request(number)),
        RequestStatus::Held { .. }
    )
}

/// A request is held from its third crash on, and not before.
#[test]
fn third_crash() {
    let now = Manual::new().now();
    let mut history = CrashHistory::default();
    assert_eq!(history.status(now, request(1)), RequestStatus::Clear);
    for id in 0..3 {
        assert!(!is_held(&history, now, 1));
        assert!(history.merge(now, &crash(id, 1, true)));
        assert_ne!(history.status(now, request(1)), RequestStatus::Clear);
    }
    let status = history.status(now, request(1));
    assert_eq!(status, RequestStatus::Held { wait: HOLD_TIME });
    assert_eq!(history.status(now, request(2)), RequestStatus::Clear);
    assert_eq!(history.count_held(now), 1);
}

/// A crash that is reported repeatedly counts once.
#[test]
fn repeated_report() {
    let now = Manual::new().now();
    let mut history = CrashHistory::default();
    assert!(history.merge(now, &crash(7, 1, true)));
    for _ in 0..5 {
        assert!(!history.merge(now, &crash(7, 1, true)));
    }
    assert!(!is_held(&history, now, 1));
}

/// A request that ran at the same time as a suspect at each crash is not held.
#[test]
fn never_sole_suspect() {
    let now = Manual::new().now();
    let mut history = CrashHistory::default();
    for id in 0..8 {
        history.merge(now, &crash(id, 1, false));
    }
    assert_eq!(history.status(now, request(1)), RequestStatus::Suspect);
}

/// A request that was answered on any node is cleared on all nodes, including a node that learns of
/// the answer before it learns of the crash.
#[test]
fn cleared_by_answer() {
    let now = Manual::new().now();
    let mut local = CrashHistory::default();
    let mut remote = CrashHistory::default();
    for id in 0..3 {
        local.merge(now, &crash(id, 1, true));
    }
    assert!(is_held(&local, now, 1));
    let cleared = local.clear(now, request(1));
    assert_eq!(cleared.len(), 3);
    assert_eq!(local.status(now, request(1)), RequestStatus::Clear);
    for crash in &cleared {
        assert!(remote.merge(now, crash));
    }
    for id in 0..3 {
        assert!(!remote.merge(now, &crash(id, 1, true)));
    }
    assert_eq!(remote.status(now, request(1)), RequestStatus::Clear);
    assert!(local.clear(now, request(1)).is_empty());
}

/// A hold expires, a single further crash renews it, and after another hour the request is
/// forgotten.
#[test]
fn hold_expires() {
    let clock = Manual::new();
    let mut history = CrashHistory::default();
    for id in 0..3 {
        history.merge(clock.now(), &crash(id, 1, true));
    }
    clock.advance(HOLD_TIME);
    assert_eq!(
        history.status(clock.now(), request(1)),
        RequestStatus::Suspect
    );
    history.merge(clock.now(), &crash(3, 1, true));
    assert!(is_held(&history, clock.now(), 1));
    clock.advance(CRASH_RETENTION);
    assert_eq!(
        history.status(clock.now(), request(1)),
        RequestStatus::Clear
    );
    history.expire(clock.now());
    assert!(history.is_empty());
}

/// A crash that is reported late expires no later than one that is reported at once.
#[test]
fn late_report() {
    let now = Manual::new().now();
    let mut history = CrashHistory::default();
    let aged = |id: u64, age: Duration| Crash {
        age_ms: u32::try_from(age.as_millis()).unwrap(),
        ..crash(id, 1, true)
    };
    assert!(!history.merge(now, &aged(0, CRASH_RETENTION)));
    for id in 1..4 {
        assert!(history.merge(now, &aged(id, HOLD_TIME / 2)));
    }
    let status = history.status(now, request(1));
    assert_eq!(
        status,
        RequestStatus::Held {
            wait: HOLD_TIME / 2
        }
    );
    assert!(
        history
            .list(now)
            .iter()
            .all(|crash| crash.age_ms == 300_000)
    );
}

/// Many other crashing requests do not evict one that is held.
#[test]
fn held_not_evicted() {
    let clock = Manual::new();
    let mut history = CrashHistory::default();
    for id in 0..3 {
        history.merge(clock.now(), &crash(id, 0, true));
    }
    for number in 1..5 * MAX_REQUESTS {
        clock.advance(Duration::from_millis(1));
        history.merge(clock.now(), &crash(100 + number as u64, number, true));
    }
    assert_eq!(history.len(), MAX_REQUESTS);
    assert!(is_held(&history, clock.now(), 0));
    let newest = 5 * MAX_REQUESTS - 1;
    assert_eq!(
        history.status(clock.now(), request(newest)),
        RequestStatus::Suspect
    );
    for id in 0..1_000 {
        history.merge(clock.now(), &crash(10_000 + id, 0, true));
    }
    let kept = history.list(clock.now());
    let kept = kept
        .iter()
        .filter(|crash| crash.request == request(0))
        .count();
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
    Send {
        from: usize,
        to: usize,
    },
    Restart {
        node: usize,
    },
}

/// Number of nodes in the randomised test.
const NODES: usize = 4;

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let number = 0..3usize;
    prop_oneof![
        4 => (node.clone(), number.clone(), any::<bool>())
            .prop_map(|(node, number, is_alone)| Step::Crash { node, number, is_alone }),
        1 => (node.clone(), number).prop_map(|(node, number)| Step::Answer { node, number }),
        4 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::Send { from, to }),
        1 => node.prop_map(|node| Step::Restart { node }),
    ]
}

fn sorted(history: &CrashHistory, now: Instant) -> Vec<Crash> {
    let mut list = history.list(now);
    list.sort_by_key(|crash| (crash.id, crash.request));
    list
}

proptest! {
    /// Nodes that exchange their records in any order and any number of times converge to the same
    /// history, and hold no request that crashed fewer than [`HOLD_THRESHOLD`] servers.
    #[test]
    fn nodes_converge(steps in proptest::collection::vec(any_step(), 0..60)) {
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
                Step::Send { from, to } => {
                    for crash in nodes[from].list(now) {
                        nodes[to].merge(now, &crash);
                    }
                }
                Step::Restart { node } => nodes[node] = CrashHistory::default(),
            }
        }
        // Two rounds bring all remaining records to all nodes; the second sends them in reverse
        // order.
        for round in 0..2 {
            for from in 0..NODES {
                let mut sent = nodes[from].list(now);
                if round == 1 {
                    sent.reverse();
                }
                for to in (0..NODES).rev() {
                    for crash in &sent {
                        nodes[to].merge(now, crash);
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

/// Number of steps in each sequence of the exhaustive test.
const EXHAUSTIVE_STEPS: usize = 5;

/// Number of nodes in the exhaustive test.
const EXHAUSTIVE_NODES: usize = 2;

/// State of a fleet in the exhaustive test: the crash records of its nodes, and how often the
/// request has crashed a backend server.
#[derive(Clone)]
struct Fleet {
    nodes: Vec<Vec<Crash>>,
    crashes: usize,
}

/// Returns the possible next steps of a fleet.
fn list_steps() -> Vec<Step> {
    let mut steps = Vec::new();
    for node in 0..EXHAUSTIVE_NODES {
        for is_alone in [false, true] {
            steps.push(Step::Crash {
                node,
                number: 0,
                is_alone,
            });
        }
        steps.push(Step::Answer { node, number: 0 });
        steps.push(Step::Restart { node });
        let others = (0..EXHAUSTIVE_NODES).filter(|to| *to != node);
        steps.extend(others.map(|to| Step::Send { from: node, to }));
    }
    steps
}

fn history_of(records: &[Crash], now: Instant) -> CrashHistory {
    let mut history = CrashHistory::default();
    for crash in records {
        history.merge(now, crash);
    }
    history
}

fn apply(fleet: &Fleet, step: &Step, id: u64, now: Instant) -> Fleet {
    let mut next = fleet.clone();
    let change = |records: &mut Vec<Crash>, change: &dyn Fn(&mut CrashHistory)| {
        let mut history = history_of(records, now);
        change(&mut history);
        *records = history.list(now);
    };
    match *step {
        Step::Crash { node, is_alone, .. } => {
            next.crashes += 1;
            change(&mut next.nodes[node], &|history| {
                history.merge(now, &crash(id, 0, is_alone));
            });
        }
        Step::Answer { node, .. } => change(&mut next.nodes[node], &|history| {
            history.clear(now, request(0));
        }),
        Step::Send { from, to } => {
            let sent = fleet.nodes[from].clone();
            change(&mut next.nodes[to], &|history| {
                for crash in &sent {
                    history.merge(now, crash);
                }
            });
        }
        Step::Restart { node } => next.nodes[node].clear(),
    }
    next
}

/// In every order of a few crashes, answers, messages and restarts, no node holds a request that
/// crashed fewer than three servers, nor one that it has just answered.
#[test]
fn every_order() {
    let now = Manual::new().now();
    let steps = list_steps();
    let mut fleets = vec![Fleet {
        nodes: vec![Vec::new(); EXHAUSTIVE_NODES],
        crashes: 0,
    }];
    let mut held = 0;
    for step_index in 0..EXHAUSTIVE_STEPS {
        let mut next = Vec::new();
        for fleet in &fleets {
            for step in &steps {
                let after = apply(fleet, step, step_index as u64, now);
                for records in &after.nodes {
                    let is_held = is_held(&history_of(records, now), now, 0);
                    held += usize::from(is_held);
                    assert!(!is_held || after.crashes >= HOLD_THRESHOLD, "{step:?}");
                }
                if let Step::Answer { node, .. } = *step {
                    let history = history_of(&after.nodes[node], now);
                    assert_eq!(history.status(now, request(0)), RequestStatus::Clear);
                }
                next.push(after);
            }
        }
        fleets = next;
    }
    assert!(held > 1_000, "{held} of {} end with a hold", fleets.len());
}
