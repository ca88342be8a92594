//! Following a journal across outages and removals.

use clock::Manual;
use serde_json::json;
use std::time::Duration;
use store::follow::{Follower, JournalUpdate};
use store::memory::Faults;
use store::retention::{RETENTION, RetentionTracker};
use store::{Journal, MemoryStore};

type TestJournal = Journal<MemoryStore, Manual>;

fn open() -> (MemoryStore, Manual, TestJournal) {
    let memory = MemoryStore::new();
    let clock = Manual::new();
    let journal = Journal::open(memory.clone(), clock.clone(), "numbers");
    (memory, clock, journal)
}

async fn append(journal: &TestJournal, number: u64) {
    let free_at = journal.now();
    journal
        .append(number, "n", &json!(number), free_at)
        .await
        .unwrap();
}

async fn assert_next(follower: &mut Follower<MemoryStore, Manual>, number: u64) {
    match follower.next().await {
        JournalUpdate::Record(record) => assert_eq!(record.number, number),
        other @ JournalUpdate::Reset(_) => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn each_record_once() {
    let (_, _, journal) = open();
    append(&journal, 1).await;
    let mut follower = Follower::open(journal.clone(), None);
    let first = follower.next().await;
    assert!(
        matches!(&first, JournalUpdate::Reset(loaded) if loaded.last_number() == 1),
        "{first:?}"
    );
    for number in 2..200 {
        append(&journal, number).await;
        assert_next(&mut follower, number).await;
    }
}

// After an outage the platform no longer holds the events since the watch's revision, and
// the watch fails with `Gone`. No record may be skipped.
#[tokio::test(start_paused = true)]
async fn outage() {
    let (memory, _, journal) = open();
    append(&journal, 1).await;
    let mut follower = Follower::open(journal.clone(), Some(0));
    assert_next(&mut follower, 1).await;
    for number in 2..5 {
        append(&journal, number).await;
    }
    memory.compact_history();
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    memory.set_faults(down);
    let result = tokio::time::timeout(Duration::from_hours(1), follower.next()).await;
    assert_eq!(result.ok(), None);
    memory.set_faults(Faults::default());
    for number in 2..5 {
        assert_next(&mut follower, number).await;
    }
    assert!(follower.is_connected());
}

// A reader is paused for so long that records it has not read are removed. The reader must get the
// snapshot and all later records instead of a gap.
#[tokio::test(start_paused = true)]
async fn reset_after_removal() {
    let (_, clock, journal) = open();
    append(&journal, 1).await;
    let mut follower = Follower::open(journal.clone(), Some(1));
    for number in 2..9 {
        append(&journal, number).await;
    }
    journal
        .write_snapshot(8, "s", &json!("eight"))
        .await
        .unwrap();
    let mut retention = RetentionTracker::default();
    journal.remove_old(&mut retention, 0).await.unwrap();
    clock.advance(RETENTION);
    while journal.remove_old(&mut retention, 0).await.unwrap() {}
    let update = follower.next().await;
    assert!(
        matches!(&update, JournalUpdate::Reset(loaded) if loaded.snapshot == Some(json!("eight"))),
        "{update:?}"
    );
}
