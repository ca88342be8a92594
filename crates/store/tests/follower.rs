//! Following a journal through outages.

use clock::Manual;
use serde_json::json;
use std::time::Duration;
use store::follow::{Follower, JournalUpdate};
use store::memory::Faults;
use store::retention::{RETENTION, RetentionTracker};
use store::{Journal, MemoryStore};

type Numbers = Journal<MemoryStore, Manual>;

fn open() -> (MemoryStore, Manual, Numbers) {
    let memory = MemoryStore::new();
    let clock = Manual::new();
    let journal = Journal::open(memory.clone(), clock.clone(), "numbers");
    (memory, clock, journal)
}

async fn append(journal: &Numbers, number: u64) {
    let free = journal.now();
    journal
        .append(number, "n", &json!(number), free)
        .await
        .unwrap();
}

async fn expect(follower: &mut Follower<MemoryStore, Manual>, number: u64) {
    match follower.next().await {
        JournalUpdate::Record(record) => assert_eq!(record.number, number),
        other @ JournalUpdate::Reset(_) => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn each_once() {
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
        expect(&mut follower, number).await;
    }
}

// The platform is away, and when it comes back it no longer holds the events
// since; the watch is told "gone". No version may be skipped.
#[tokio::test(start_paused = true)]
async fn outage() {
    let (memory, _, journal) = open();
    append(&journal, 1).await;
    let mut follower = Follower::open(journal.clone(), Some(0));
    expect(&mut follower, 1).await;
    for number in 2..5 {
        append(&journal, number).await;
    }
    memory.compact_history();
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    memory.set_faults(down);
    let hour = tokio::time::timeout(Duration::from_hours(1), follower.next()).await;
    assert_eq!(hour.ok(), None);
    memory.set_faults(Faults::default());
    for number in 2..5 {
        expect(&mut follower, number).await;
    }
    assert!(follower.is_connected());
}

// A reader sleeps for so long that records which it lacks are removed. It must
// get the whole instead of a gap.
#[tokio::test(start_paused = true)]
async fn removed_in_between() {
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
    let news = follower.next().await;
    assert!(
        matches!(&news, JournalUpdate::Reset(loaded) if loaded.snapshot == Some(json!("eight"))),
        "{news:?}"
    );
}
