//! Outcomes of proposals, as operators see them.

use clock::Manual;
use config::{Patch, Version};
use store::memory::Faults;
use store::propose::{Outcome, Proposal, Refusal, SNAPSHOT_INTERVAL, propose, resolve};
use store::version::{Id, JOURNAL, load};
use store::{Journal, MemoryStore};

type VersionJournal = Journal<MemoryStore, Manual>;

fn open() -> (MemoryStore, VersionJournal) {
    let memory = MemoryStore::new();
    let journal = Journal::open(memory.clone(), Manual::new(), JOURNAL);
    (memory, journal)
}

fn put_service(base: u64, name: &str) -> Proposal {
    let line = format!("{{\"put_service\":{{\"name\":\"{name}\",\"service\":{{}}}}}}");
    Proposal {
        id: Id::generate(Version(base)),
        author: "ann".into(),
        patch: Patch::parse(&line).unwrap(),
    }
}

fn delay_writes(late_next: u32) -> Faults {
    Faults {
        late_next,
        ..Faults::default()
    }
}

/// More writes than the submission or the resolution of a proposal makes.
const ALL_WRITES: u32 = 100;

async fn service_names(journal: &VersionJournal) -> Vec<String> {
    let state = load(journal).await.unwrap();
    state
        .mesh
        .services
        .keys()
        .map(ToString::to_string)
        .collect()
}

// Two operators submit patches against the same version. One must succeed, and
// the other must learn which proposal became the version.
#[tokio::test]
async fn concurrent_proposals() {
    let (_, journal) = open();
    let (first, second) = (put_service(0, "claims"), put_service(0, "jobs"));
    let outcome = propose(&journal, &first).await;
    assert!(
        matches!(outcome, Outcome::Accepted(Version(1))),
        "{outcome:?}"
    );
    match propose(&journal, &second).await {
        Outcome::Refused(Refusal::Crossed(step)) => assert_eq!(step.entry.proposal, first.id),
        other => panic!("{other:?}"),
    }
    let again = propose(&journal, &first).await;
    assert!(matches!(again, Outcome::Accepted(Version(1))), "{again:?}");
    assert_eq!(service_names(&journal).await, ["claims"]);
}

#[tokio::test]
async fn invalid_proposals() {
    let (_, journal) = open();
    let outcome = propose(&journal, &put_service(1, "claims")).await;
    let missing = matches!(
        outcome,
        Outcome::Refused(Refusal::NoSuchBase(Version::ZERO))
    );
    assert!(missing, "{outcome:?}");
    let invalid = Proposal {
        patch: Patch::parse("\n{\"remove_service\":{\"name\":\"claims\"}}").unwrap(),
        ..put_service(0, "claims")
    };
    match propose(&journal, &invalid).await {
        Outcome::Refused(Refusal::Invalid(error)) => {
            assert!(error.to_string().starts_with("line 2: "), "{error}");
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(load(&journal).await.unwrap().version, Version::ZERO);
}

// The platform stores a proposal, but the first response to the proposal is lost. The proposal must
// be reported as accepted, and so must a later query for its outcome.
#[tokio::test(start_paused = true)]
async fn response_lost() {
    let (memory, journal) = open();
    memory.set_faults(Faults {
        lose_next: 1,
        ..Faults::default()
    });
    let proposal = put_service(0, "claims");
    let outcome = propose(&journal, &proposal).await;
    assert!(
        matches!(outcome, Outcome::Accepted(Version(1))),
        "{outcome:?}"
    );
    let outcome = resolve(&journal, &proposal.id, "ann").await;
    assert!(
        matches!(outcome, Outcome::Accepted(Version(1))),
        "{outcome:?}"
    );
}

// The write of a proposal is delayed; the operator queries the outcome and is told "never applied".
// Then the write arrives after all. The proposal must not be applied: its version number has to be
// taken before the outcome is reported.
#[tokio::test(start_paused = true)]
async fn never_applied() {
    let (memory, journal) = open();
    memory.set_faults(delay_writes(ALL_WRITES));
    let proposal = put_service(0, "claims");
    let outcome = propose(&journal, &proposal).await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    let outcome = resolve(&journal, &proposal.id, "ann").await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    memory.set_faults(Faults::default());
    let outcome = resolve(&journal, &proposal.id, "ann").await;
    assert!(matches!(outcome, Outcome::NeverApplied), "{outcome:?}");
    memory.deliver_late_writes();
    let outcome = propose(&journal, &proposal).await;
    assert!(matches!(outcome, Outcome::NeverApplied), "{outcome:?}");
    assert!(service_names(&journal).await.is_empty());
}

// As in `never_applied`, but the write arrives before the operator queries the outcome.
#[tokio::test(start_paused = true)]
async fn delayed_but_accepted() {
    let (memory, journal) = open();
    memory.set_faults(delay_writes(ALL_WRITES));
    let proposal = put_service(0, "claims");
    let outcome = propose(&journal, &proposal).await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    memory.set_faults(Faults::default());
    memory.deliver_late_writes();
    let outcome = resolve(&journal, &proposal.id, "ann").await;
    assert!(
        matches!(outcome, Outcome::Accepted(Version(1))),
        "{outcome:?}"
    );
}

// An operator submits a proposal while the platform is down. The call must return
// at once with a certain outcome: nothing was sent.
#[tokio::test]
async fn outage() {
    let (memory, journal) = open();
    memory.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let outcome = propose(&journal, &put_service(0, "claims")).await;
    assert!(matches!(outcome, Outcome::NotSent(_)), "{outcome:?}");
}

#[tokio::test]
async fn outcomes_in_snapshot() {
    let (_, journal) = open();
    let first = put_service(0, "s0");
    propose(&journal, &first).await;
    let ruled_out = Id::generate(Version(1));
    resolve(&journal, &ruled_out, "ann").await;
    for base in 2..SNAPSHOT_INTERVAL as u64 + 2 {
        let proposal = put_service(base, &format!("s{base}"));
        let outcome = propose(&journal, &proposal).await;
        assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
    }
    let loaded = journal.load().await.unwrap();
    assert_eq!(loaded.snapshot_number, SNAPSHOT_INTERVAL as u64);
    let outcome = resolve(&journal, &first.id, "ann").await;
    assert!(
        matches!(outcome, Outcome::Accepted(Version(1))),
        "{outcome:?}"
    );
    let outcome = resolve(&journal, &ruled_out, "ann").await;
    assert!(matches!(outcome, Outcome::NeverApplied), "{outcome:?}");
    let outcome = resolve(&journal, &Id::generate(Version::ZERO), "ann").await;
    assert!(
        matches!(outcome, Outcome::Refused(Refusal::Superseded(Version(1)))),
        "{outcome:?}"
    );
}
