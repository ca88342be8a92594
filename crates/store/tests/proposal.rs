//! Proposals, as an operator sees them.

use clock::Manual;
use config::{Patch, Version};
use store::memory::Faults;
use store::propose::{Outcome, Proposal, Refusal, SNAPSHOT_INTERVAL, propose, resolve};
use store::version::{Id, JOURNAL, load};
use store::{Journal, MemoryStore};

type Versions = Journal<MemoryStore, Manual>;

fn open() -> (MemoryStore, Versions) {
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

fn late(late_next: u32) -> Faults {
    Faults {
        late_next,
        ..Faults::default()
    }
}

/// More tries than a proposal or a settlement makes.
const ALL: u32 = 100;

async fn service_names(journal: &Versions) -> Vec<String> {
    let state = load(journal).await.unwrap();
    state
        .mesh
        .services
        .keys()
        .map(ToString::to_string)
        .collect()
}

// Two operators patch the same version. One must win, and the other must learn
// by whom it was beaten.
#[tokio::test]
async fn crossing() {
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
async fn refused() {
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

// The platform takes a proposal, and all its answers are lost. The operator is
// told that it isn't known, asks again, and must learn that it was accepted.
#[tokio::test(start_paused = true)]
async fn answers_lost() {
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

// A proposal is lost on the way; the operator asks what became of it, is told
// "never applied" and writes another patch. Then the first one arrives after
// all. It must not be applied: the number has to be taken before it is said.
#[tokio::test(start_paused = true)]
async fn never_applied() {
    let (memory, journal) = open();
    memory.set_faults(late(ALL));
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

// As above, but the write arrives before the question.
#[tokio::test(start_paused = true)]
async fn late_but_accepted() {
    let (memory, journal) = open();
    memory.set_faults(late(ALL));
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

// An operator proposes while the platform is down, and must not wait for it
// nor wonder: nothing was sent.
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
async fn remembered_by_snapshot() {
    let (_, journal) = open();
    let first = put_service(0, "s0");
    propose(&journal, &first).await;
    let shut_out = Id::generate(Version(1));
    resolve(&journal, &shut_out, "ann").await;
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
    let outcome = resolve(&journal, &shut_out, "ann").await;
    assert!(matches!(outcome, Outcome::NeverApplied), "{outcome:?}");
    let outcome = resolve(&journal, &Id::generate(Version::ZERO), "ann").await;
    assert!(
        matches!(outcome, Outcome::Refused(Refusal::Superseded(Version(1)))),
        "{outcome:?}"
    );
}
