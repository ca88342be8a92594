//! Concurrent proposals are linearizable: each history agrees with one sequential list of versions.

use clock::System;
use config::{Patch, Version};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::memory::Faults;
use store::propose::{Outcome, Proposal, Refusal, propose, resolve};
use store::version::{Id, JOURNAL, load};
use store::{Journal, MemoryStore};
use todc_utils::{Action, History, Specification, WGLChecker};
use yare::parameterized;

type VersionJournal = Journal<MemoryStore, System>;

/// The proposal that a version's number belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holder {
    id: String,
    void: bool,
}

/// What an operator's proposal or read has returned; `Started` until it returns.
#[derive(Debug, Clone)]
enum Operation {
    Started,
    Accepted(Id),
    NeverApplied(Id),
    /// The proposal was refused because another one holds its number.
    Crossed(Id, Holder),
    NoSuchBase(Id),
    Read(u64, BTreeSet<String>),
}

/// The sequential specification: a list of versions.
struct VersionList;

impl Specification for VersionList {
    type State = Vec<Holder>;
    type Operation = Operation;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(op: &Operation, state: &Self::State) -> (bool, Self::State) {
        let unchanged = |valid| (valid, state.clone());
        match op {
            Operation::Started => unchanged(false),
            Operation::Accepted(id) => assign(state, id, false),
            Operation::NeverApplied(id) => assign(state, id, true),
            Operation::Crossed(id, holder) => {
                let is_holder = state.get(index(id)) == Some(holder);
                unchanged(is_holder && holder.id != id.to_string())
            }
            Operation::NoSuchBase(id) => unchanged(index(id) > state.len()),
            Operation::Read(version, services) => {
                let accepted = state.iter().filter(|holder| !holder.void);
                let names = accepted.map(|holder| service_name(&holder.id)).collect();
                unchanged(*version == state.len() as u64 && *services == names)
            }
        }
    }
}

fn index(id: &Id) -> usize {
    usize::try_from(id.base.0).unwrap()
}

/// Assigns a proposal's number to the proposal. If the number is already assigned, returns whether
/// it belongs to this proposal, as it does when a proposal is submitted again.
fn assign(state: &[Holder], id: &Id, void: bool) -> (bool, Vec<Holder>) {
    let holder = Holder {
        id: id.to_string(),
        void,
    };
    let mut state = state.to_vec();
    if state.len() == index(id) {
        state.push(holder);
        return (true, state);
    }
    (state.get(index(id)) == Some(&holder), state)
}

fn service_name(id: &str) -> String {
    format!("s{id}")
}

fn sample_proposal(rng: &mut SmallRng, base: Version) -> Proposal {
    let id = Id {
        base,
        nonce: format!("{:08x}", rng.random::<u32>()).into(),
    };
    let name = service_name(&id.to_string());
    let line = format!("{{\"put_service\":{{\"name\":\"{name}\",\"service\":{{}}}}}}");
    Proposal {
        id,
        author: "ann".into(),
        patch: Patch::parse(&line).unwrap(),
    }
}

/// Submits a proposal and resolves it until the outcome is known; now and then submits it again.
async fn submit(journal: &VersionJournal, proposal: &Proposal, rng: &mut SmallRng) -> Operation {
    let id = proposal.id.clone();
    let mut outcome = propose(journal, proposal).await;
    loop {
        match outcome {
            Outcome::Accepted(version) => {
                assert_eq!(version, id.base.next());
                return Operation::Accepted(id);
            }
            Outcome::NeverApplied => return Operation::NeverApplied(id),
            Outcome::Refused(Refusal::Crossed(step)) => {
                let holder = Holder {
                    id: step.entry.proposal.to_string(),
                    void: step.entry.void,
                };
                return Operation::Crossed(id, holder);
            }
            Outcome::Refused(Refusal::NoSuchBase(_)) => return Operation::NoSuchBase(id),
            Outcome::Refused(other) => panic!("{other:?}"),
            Outcome::NotSent(_) | Outcome::Unknown(_) => {}
        }
        pause(rng).await;
        outcome = if rng.random_bool(0.1) {
            propose(journal, proposal).await
        } else {
            resolve(journal, &id, "ann").await
        };
    }
}

async fn pause(rng: &mut SmallRng) {
    let ms = rng.random_range(0..40);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

type Actions = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

async fn run_operator(
    process: usize,
    journal: VersionJournal,
    actions: Actions,
    mut rng: SmallRng,
) {
    for _ in 0..12 {
        pause(&mut rng).await;
        let Ok(seen) = load(&journal).await else {
            continue;
        };
        actions
            .lock()
            .unwrap()
            .push((process, Action::Call(Operation::Started)));
        let operation = if rng.random_bool(0.2) {
            match load(&journal).await {
                Ok(state) => {
                    let names = state.mesh.services.keys().map(ToString::to_string);
                    Operation::Read(state.version.0, names.collect())
                }
                Err(error) => panic!("only writes fail here: {error}"),
            }
        } else {
            let proposal = sample_proposal(&mut rng, seen.version);
            submit(&journal, &proposal, &mut rng).await
        };
        actions
            .lock()
            .unwrap()
            .push((process, Action::Response(operation)));
    }
}

/// Delays some writes and delivers them later, while other writes go on.
async fn inject_faults(memory: MemoryStore, mut rng: SmallRng) {
    loop {
        let faults = Faults {
            slow_ms: 3,
            lose_percent: 30,
            late_next: rng.random_range(4..16),
            ..Faults::default()
        };
        memory.set_faults(faults);
        for _ in 0..5 {
            pause(&mut rng).await;
        }
        memory.deliver_late_writes();
    }
}

async fn record(seed: u64) -> Vec<(usize, Action<Operation>)> {
    let memory = MemoryStore::with_seed(seed);
    let journal = Journal::open(memory.clone(), System, JOURNAL);
    let actions = Actions::default();
    let injector = tokio::spawn(inject_faults(memory.clone(), SmallRng::seed_from_u64(seed)));
    let operators = (0..3).map(|process| {
        let rng = SmallRng::seed_from_u64(seed * 10 + process as u64);
        tokio::spawn(run_operator(
            process,
            journal.clone(),
            Arc::clone(&actions),
            rng,
        ))
    });
    for operator in operators.collect::<Vec<_>>() {
        operator.await.unwrap();
    }
    injector.abort();
    actions.lock().unwrap().clone()
}

#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 12 },
    fourth = { 13 },
    fifth = { 14 },
    sixth = { 15 }
)]
#[test_macro(tokio::test(start_paused = true))]
async fn linearizable(seed: u64) {
    let actions = record(seed).await;
    let count = |matches_kind: fn(&Operation) -> bool| {
        let responses = actions.iter().filter_map(|(_, action)| match action {
            Action::Response(operation) => Some(operation),
            Action::Call(_) => None,
        });
        responses
            .filter(|operation| matches_kind(operation))
            .count()
    };
    let accepted = count(|operation| matches!(operation, Operation::Accepted(_)));
    let crossed = count(|operation| matches!(operation, Operation::Crossed(..)));
    let never_applied = count(|operation| matches!(operation, Operation::NeverApplied(_)));
    assert!(
        accepted > 2 && crossed > 2 && never_applied > 0,
        "{accepted} {crossed} {never_applied}"
    );
    let history = History::from_actions(actions.clone());
    assert!(
        WGLChecker::<VersionList>::is_linearizable(history),
        "{actions:#?}"
    );
}

// The check itself must detect a wrong outcome: here an operator is told "never applied", and
// another operator reads the patch afterwards.
#[test]
fn false_never_applied() {
    let id = Id {
        base: Version::ZERO,
        nonce: "a".into(),
    };
    let names = BTreeSet::from([service_name(&id.to_string())]);
    let actions = vec![
        (0, Action::Call(Operation::Started)),
        (0, Action::Response(Operation::NeverApplied(id))),
        (1, Action::Call(Operation::Started)),
        (1, Action::Response(Operation::Read(1, names))),
    ];
    let history = History::from_actions(actions);
    assert!(!WGLChecker::<VersionList>::is_linearizable(history));
}
