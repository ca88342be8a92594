//! Concurrent appends, removals and reads of a journal, with long pauses, late writes, lost
//! responses and outages.

use clock::Clock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};
use store::follow::{Follower, JournalUpdate};
use store::journal::AppendOutcome;
use store::memory::Faults;
use store::retention::RetentionTracker;
use store::{Error, Journal, MemoryStore};
use yare::parameterized;

/// Clock of the paused tokio runtime.
#[derive(Debug, Clone, Copy)]
struct TokioClock(tokio::time::Instant);

impl Clock for TokioClock {
    fn suspended(&self) -> Duration {
        Duration::ZERO
    }

    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.0.elapsed()
    }
}

type NameJournal = Journal<MemoryStore, TokioClock>;

/// Result that a writer got for its record.
#[derive(Debug, Clone)]
enum WriteResult {
    Written(u64, String),
    NotWritten(String),
    Taken(u64, String),
}

type Log = Arc<Mutex<Vec<WriteResult>>>;

const RUN_TIME: Duration = Duration::from_hours(6);

fn random_pause(rng: &mut SmallRng) -> Duration {
    // One pause in eight exceeds the retention period.
    let seconds = if rng.random_bool(0.125) {
        rng.random_range(600..2_500)
    } else {
        rng.random_range(0..30)
    };
    Duration::from_secs(seconds)
}

/// Reads all names in the journal, in order.
async fn read_all(journal: &NameJournal) -> Result<Vec<String>, Error> {
    let loaded = journal.load().await?;
    let snapshot = loaded.snapshot.unwrap_or_else(|| json!([]));
    let mut names: Vec<String> = serde_json::from_value(snapshot).unwrap();
    assert_eq!(
        names.len() as u64,
        loaded.snapshot_number,
        "a snapshot contains all records up to its number"
    );
    names.extend(
        loaded
            .tail
            .records
            .into_iter()
            .map(|record| record.nonce.to_string()),
    );
    Ok(names)
}

async fn write(journal: NameJournal, writer: u32, log: Log, mut rng: SmallRng) {
    for count in 0.. {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let name = format!("{writer}-{count}");
        let free_at = journal.now();
        let Ok(names) = read_all(&journal).await else {
            continue;
        };
        let number = names.len() as u64 + 1;
        tokio::time::sleep(random_pause(&mut rng)).await;
        let result = match journal.append(number, &name, &json!(name), free_at).await {
            Ok(AppendOutcome::Written) => WriteResult::Written(number, name),
            Ok(AppendOutcome::Taken(record)) => {
                WriteResult::Taken(number, record.nonce.to_string())
            }
            Err(Error::Unknown(_) | Error::Gone) => continue,
            Err(_) => WriteResult::NotWritten(name),
        };
        log.lock().unwrap().push(result);
    }
}

async fn snapshot_and_remove(journal: NameJournal, mut rng: SmallRng) {
    let mut retention = RetentionTracker::default();
    loop {
        tokio::time::sleep(Duration::from_secs(rng.random_range(1..120))).await;
        if let Ok(names) = read_all(&journal).await {
            let (number, nonce) = (names.len() as u64, rng.random::<u32>().to_string());
            // A failure is ignored: lost responses and outages are part of the test.
            drop(journal.write_snapshot(number, &nonce, &json!(names)).await);
        }
        while matches!(journal.remove_old(&mut retention, 2).await, Ok(true)) {}
    }
}

/// Follows the journal with random pauses and records the names seen, in order.
async fn follow(journal: NameJournal, mut rng: SmallRng, seen: Arc<Mutex<Vec<String>>>) {
    let mut follower = Follower::open(journal, None);
    loop {
        let update = follower.next().await;
        apply_update(update, &mut seen.lock().unwrap());
        tokio::time::sleep(random_pause(&mut rng)).await;
    }
}

fn apply_update(update: JournalUpdate, seen: &mut Vec<String>) {
    match update {
        JournalUpdate::Record(record) => {
            assert_eq!(
                record.number,
                seen.len() as u64 + 1,
                "records come in order"
            );
            seen.push(record.nonce.to_string());
        }
        JournalUpdate::Reset(loaded) => {
            let snapshot = loaded.snapshot.unwrap_or_else(|| json!([]));
            let mut names: Vec<String> = serde_json::from_value(snapshot).unwrap();
            let tail = loaded.tail.records.iter();
            names.extend(tail.map(|record| record.nonce.to_string()));
            assert!(names.starts_with(seen), "names seen before must not change");
            *seen = names;
        }
    }
}

async fn inject_faults(memory: MemoryStore, mut rng: SmallRng) {
    loop {
        memory.set_faults(Faults {
            slow_ms: rng.random_range(0..500),
            lose_percent: 20,
            late_next: rng.random_range(0..6),
            down: rng.random_bool(0.1),
            ..Faults::default()
        });
        tokio::time::sleep(random_pause(&mut rng)).await;
        if rng.random_bool(0.2) {
            memory.compact_history();
        }
        memory.deliver_late_writes();
    }
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 }, five = { 5 })]
#[test_macro(tokio::test(start_paused = true))]
async fn consistent_history(seed: u64) {
    let memory = MemoryStore::with_seed(seed);
    let clock = TokioClock(tokio::time::Instant::now());
    let journal = Journal::open(memory.clone(), clock, "names");
    let rng = |stream| SmallRng::seed_from_u64(seed * 100 + stream);
    let log = Log::default();
    let seen = [Arc::default(), Arc::default()];
    let mut tasks = vec![tokio::spawn(inject_faults(memory.clone(), rng(0)))];
    tasks.push(tokio::spawn(snapshot_and_remove(journal.clone(), rng(1))));
    for writer in 0..4 {
        let rng = rng(10 + u64::from(writer));
        tasks.push(tokio::spawn(write(
            journal.clone(),
            writer,
            Arc::clone(&log),
            rng,
        )));
    }
    for (stream, seen) in (20..).zip(&seen) {
        tasks.push(tokio::spawn(follow(
            journal.clone(),
            rng(stream),
            Arc::clone(seen),
        )));
    }
    tokio::time::sleep(RUN_TIME).await;
    for task in tasks {
        task.abort();
        let ended = task.await;
        assert!(
            ended.is_err_and(|error| error.is_cancelled()),
            "a task failed"
        );
    }
    memory.set_faults(Faults::default());
    memory.deliver_late_writes();
    let names = read_all(&journal).await.unwrap();
    for seen in &seen {
        assert!(names.starts_with(&seen.lock().unwrap()));
    }
    assert_results(&names, &log.lock().unwrap());
    let kept = journal.load().await.unwrap().snapshot_number;
    assert!(kept > 100, "{kept} records in the snapshot");
}

/// Asserts that the writers' results agree with the journal's final content.
fn assert_results(names: &[String], log: &[WriteResult]) {
    let name_at = |number: u64| {
        usize::try_from(number - 1)
            .ok()
            .and_then(|index| names.get(index))
    };
    let mut written = 0;
    for result in log {
        match result {
            WriteResult::Written(number, name) => {
                assert_eq!(name_at(*number), Some(name), "{result:?}");
                written += 1;
            }
            WriteResult::Taken(number, by) => assert_eq!(name_at(*number), Some(by), "{result:?}"),
            WriteResult::NotWritten(name) => assert!(!names.contains(name), "{result:?}"),
        }
    }
    assert!(written > 100, "{written}");
}
