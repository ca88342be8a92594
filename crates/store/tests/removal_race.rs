//! Writers that are paused for long, late writes, removal and readers, all at once.

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

/// The time of the paused runtime.
#[derive(Debug, Clone, Copy)]
struct Virtual(tokio::time::Instant);

impl Clock for Virtual {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.0.elapsed()
    }
}

type Names = Journal<MemoryStore, Virtual>;

/// What a writer was told of its record.
#[derive(Debug, Clone)]
enum Told {
    Written(u64, String),
    NotWritten(String),
    Taken(u64, String),
}

type Log = Arc<Mutex<Vec<Told>>>;

const RUN: Duration = Duration::from_hours(6);

fn draw_pause(rng: &mut SmallRng) -> Duration {
    // One in eight outlasts the retention.
    let seconds = if rng.random_bool(0.125) {
        rng.random_range(600..2_500)
    } else {
        rng.random_range(0..30)
    };
    Duration::from_secs(seconds)
}

/// Gives all names that the journal holds, first to last.
async fn read_all(journal: &Names) -> Result<Vec<String>, Error> {
    let loaded = journal.load().await?;
    let snapshot = loaded.snapshot.unwrap_or_else(|| json!([]));
    let mut names: Vec<String> = serde_json::from_value(snapshot).unwrap();
    assert_eq!(
        names.len() as u64,
        loaded.snapshot_number,
        "a snapshot holds all up to its number"
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

async fn write(journal: Names, writer: u32, log: Log, mut rng: SmallRng) {
    for count in 0.. {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let name = format!("{writer}-{count}");
        let free = journal.now();
        let Ok(names) = read_all(&journal).await else {
            continue;
        };
        let number = names.len() as u64 + 1;
        tokio::time::sleep(draw_pause(&mut rng)).await;
        let told = match journal.append(number, &name, &json!(name), free).await {
            Ok(AppendOutcome::Written) => Told::Written(number, name),
            Ok(AppendOutcome::Taken(record)) => Told::Taken(number, record.nonce.to_string()),
            Err(Error::Unknown(_) | Error::Gone) => continue,
            Err(_) => Told::NotWritten(name),
        };
        log.lock().unwrap().push(told);
    }
}

async fn shorten(journal: Names, mut rng: SmallRng) {
    let mut retention = RetentionTracker::default();
    loop {
        tokio::time::sleep(Duration::from_secs(rng.random_range(1..120))).await;
        if let Ok(names) = read_all(&journal).await {
            let (number, nonce) = (names.len() as u64, rng.random::<u32>().to_string());
            // Lost answers and outages are part of the test.
            drop(journal.write_snapshot(number, &nonce, &json!(names)).await);
        }
        while matches!(journal.remove_old(&mut retention, 2).await, Ok(true)) {}
    }
}

/// Follows with pauses, and notes what it saw: each name at its number.
async fn follow(journal: Names, mut rng: SmallRng, seen: Arc<Mutex<Vec<String>>>) {
    let mut follower = Follower::open(journal, None);
    loop {
        let news = follower.next().await;
        note(news, &mut seen.lock().unwrap());
        tokio::time::sleep(draw_pause(&mut rng)).await;
    }
}

fn note(news: JournalUpdate, seen: &mut Vec<String>) {
    match news {
        JournalUpdate::Record(record) => {
            assert_eq!(record.number, seen.len() as u64 + 1, "one after the other");
            seen.push(record.nonce.to_string());
        }
        JournalUpdate::Reset(loaded) => {
            let snapshot = loaded.snapshot.unwrap_or_else(|| json!([]));
            let mut names: Vec<String> = serde_json::from_value(snapshot).unwrap();
            let tail = loaded.tail.records.iter();
            names.extend(tail.map(|record| record.nonce.to_string()));
            assert!(names.starts_with(seen), "nothing that was seen changes");
            *seen = names;
        }
    }
}

async fn disturb(memory: MemoryStore, mut rng: SmallRng) {
    loop {
        memory.set_faults(Faults {
            slow_ms: rng.random_range(0..500),
            lose_percent: 20,
            late_next: rng.random_range(0..6),
            down: rng.random_bool(0.1),
            ..Faults::default()
        });
        tokio::time::sleep(draw_pause(&mut rng)).await;
        if rng.random_bool(0.2) {
            memory.compact_history();
        }
        memory.deliver_late_writes();
    }
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 }, five = { 5 })]
#[test_macro(tokio::test(start_paused = true))]
async fn one_history(seed: u64) {
    let memory = MemoryStore::with_seed(seed);
    let clock = Virtual(tokio::time::Instant::now());
    let journal = Journal::open(memory.clone(), clock, "names");
    let rng = |part| SmallRng::seed_from_u64(seed * 100 + part);
    let log = Log::default();
    let seen = [Arc::default(), Arc::default()];
    let mut tasks = vec![tokio::spawn(disturb(memory.clone(), rng(0)))];
    tasks.push(tokio::spawn(shorten(journal.clone(), rng(1))));
    for writer in 0..4 {
        let rng = rng(10 + u64::from(writer));
        tasks.push(tokio::spawn(write(
            journal.clone(),
            writer,
            Arc::clone(&log),
            rng,
        )));
    }
    for (part, seen) in (20..).zip(&seen) {
        tasks.push(tokio::spawn(follow(
            journal.clone(),
            rng(part),
            Arc::clone(seen),
        )));
    }
    tokio::time::sleep(RUN).await;
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
    check(&names, &log.lock().unwrap());
    let kept = journal.load().await.unwrap().snapshot_number;
    assert!(kept > 100, "{kept} records in the snapshot");
}

/// Checks that what writers were told is what stands.
fn check(names: &[String], log: &[Told]) {
    let stands = |number: u64| {
        usize::try_from(number - 1)
            .ok()
            .and_then(|index| names.get(index))
    };
    let mut written = 0;
    for told in log {
        match told {
            Told::Written(number, name) => {
                assert_eq!(stands(*number), Some(name), "{told:?}");
                written += 1;
            }
            Told::Taken(number, by) => assert_eq!(stands(*number), Some(by), "{told:?}"),
            Told::NotWritten(name) => assert!(!names.contains(name), "{told:?}"),
        }
    }
    assert!(written > 100, "{written}");
}
