//! Appending to a journal, reading it, and removing old records.

use clock::Manual;
use serde_json::{Value, json};
use store::journal::{AppendOutcome, FLOOR_CHECK_AFTER};
use store::memory::Faults;
use store::retention::{RETENTION, RetentionTracker};
use store::{Error, Journal, MemoryStore, Store};
use yare::parameterized;

type TestJournal = Journal<MemoryStore, Manual>;

fn open() -> (MemoryStore, Manual, TestJournal) {
    let memory = MemoryStore::new();
    let clock = Manual::new();
    let journal = Journal::open(memory.clone(), clock.clone(), "numbers");
    (memory, clock, journal)
}

async fn append(journal: &TestJournal, number: u64, nonce: &str) -> Result<AppendOutcome, Error> {
    let free_at = journal.now();
    journal.append(number, nonce, &json!(nonce), free_at).await
}

fn is_taken_by(outcome: &Result<AppendOutcome, Error>, nonce: &str) -> bool {
    matches!(outcome, Ok(AppendOutcome::Taken(record)) if record.nonce == nonce)
}

fn lose_responses(lose_next: u32) -> Faults {
    Faults {
        lose_next,
        ..Faults::default()
    }
}

// The response is lost after the record was written. The writer must not report
// a failure, write a second record, or take its own record for another's.
#[parameterized(
    none_lost = { 0, true },
    one_lost = { 1, true },
    two_lost = { 2, true },
    all_lost = { 3, false },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn response_lost(lost: u32, written: bool) {
    let (memory, _, journal) = open();
    memory.set_faults(lose_responses(lost));
    let outcome = append(&journal, 1, "a").await;
    assert_eq!(outcome == Ok(AppendOutcome::Written), written);
    assert_eq!(append(&journal, 1, "a").await, Ok(AppendOutcome::Written));
    assert!(is_taken_by(&append(&journal, 1, "b").await, "a"));
    let tail = journal.read_after(0).await.unwrap().unwrap();
    assert_eq!(tail.records.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn certain_failure_in_outage() {
    let (memory, _, journal) = open();
    memory.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let outcome = append(&journal, 1, "a").await;
    assert!(outcome.is_err_and(|error| !error.may_have_taken_effect()));
}

// All creation requests of an append are delayed and arrive after another writer has taken the
// number. That writer must keep the number.
#[tokio::test(start_paused = true)]
async fn late_write() {
    let (memory, _, journal) = open();
    memory.set_faults(Faults {
        late_next: 3,
        ..Faults::default()
    });
    let outcome = append(&journal, 1, "a").await;
    assert!(outcome.is_err_and(|error| error.may_have_taken_effect()));
    assert_eq!(append(&journal, 1, "b").await, Ok(AppendOutcome::Written));
    memory.deliver_late_writes();
    assert!(is_taken_by(&append(&journal, 1, "a").await, "b"));
}

#[tokio::test(start_paused = true)]
async fn large_value() {
    let (memory, _, journal) = open();
    memory.set_faults(lose_responses(1));
    let value = Value::String("\"é\"".repeat(700_000));
    let free_at = journal.now();
    let outcome = journal.append(1, "a", &value, free_at).await;
    assert_eq!(outcome, Ok(AppendOutcome::Written));
    let tail = journal.read_after(0).await.unwrap().unwrap();
    assert_eq!(tail.records[0].value, value);
    let names = memory.list("", "", 100).await.unwrap().items;
    assert!(names.len() > 4, "{}", names.len());
}

/// Writes twelve records with snapshots at 5 and 10, and removes the records that have expired.
async fn fill_and_remove(clock: &Manual, journal: &TestJournal) {
    let mut retention = RetentionTracker::default();
    for number in 1..=12 {
        append(journal, number, &format!("n{number}"))
            .await
            .unwrap();
        if number % 5 == 0 {
            journal
                .write_snapshot(number, "s", &json!(number))
                .await
                .unwrap();
            journal.remove_old(&mut retention, 0).await.unwrap();
            clock.advance(RETENTION.mul_f64(0.9));
        }
    }
    while journal.remove_old(&mut retention, 0).await.unwrap() {}
}

#[tokio::test]
async fn readable_after_removal() {
    let (memory, clock, journal) = open();
    fill_and_remove(&clock, &journal).await;
    let left = memory.list("numbers/log/", "", 100).await.unwrap().items;
    assert_eq!(left.len(), 7, "the snapshot at 10 is too recent");
    let loaded = journal.load().await.unwrap();
    assert_eq!((loaded.snapshot_number, loaded.last_number()), (10, 12));
    assert_eq!(loaded.snapshot, Some(json!(10)));
    assert_eq!(journal.read_after(4).await.unwrap(), None);
    let numbers = journal.read_after(5).await.unwrap().unwrap().records;
    assert!(numbers.iter().map(|record| record.number).eq(6..=12));
    assert_eq!(journal.get(3).await, Ok(None));
}

// A writer is paused between reading that a number is free and creating its record. Meanwhile
// another record is stored at the number and removed again, so that the creation succeeds when the
// writer resumes. The append must fail, or an operator would be told "accepted", and no reader may
// return the record.
#[tokio::test(start_paused = true)]
async fn paused_beyond_removal() {
    let (_, clock, journal) = open();
    let free_at = journal.now();
    fill_and_remove(&clock, &journal).await;
    assert!(free_at.max_elapsed(&clock) > FLOOR_CHECK_AFTER);
    let outcome = journal.append(2, "paused", &json!("paused"), free_at).await;
    assert_eq!(outcome, Err(Error::Gone));
    assert_eq!(journal.get(2).await, Err(Error::Gone));
    assert_eq!(journal.read_after(1).await, Ok(None));
    assert_eq!(journal.load().await.unwrap().last_number(), 12);
}

#[tokio::test]
async fn removal_waits_after_restart() {
    let (_, clock, journal) = open();
    append(&journal, 1, "a").await.unwrap();
    journal.write_snapshot(1, "s", &json!(1)).await.unwrap();
    clock.advance(RETENTION * 2);
    journal
        .remove_old(&mut RetentionTracker::default(), 0)
        .await
        .unwrap();
    assert_eq!(
        journal.read_after(0).await.unwrap().unwrap().records.len(),
        1
    );
}
