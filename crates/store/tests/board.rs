//! Crashes that roots write to the platform, and who reads them.

use call::{Crash, Digest};
use clock::Manual;
use serde_json::json;
use std::time::Duration;
use store::board::FOLDER;
use store::memory::Faults;
use store::{CrashStore, MemoryStore, ObjectWatcher, Store};

fn crash(id: u64, age_ms: u32) -> Crash {
    Crash {
        id,
        request: Digest::of("GET", "", "/records/1", b""),
        node: "vm-1".into(),
        service: "records".into(),
        method: "GET".into(),
        path: "/records/1".into(),
        age_ms,
        is_alone: true,
        is_cleared: false,
    }
}

fn open() -> (MemoryStore, Manual, CrashStore<MemoryStore, Manual>) {
    let (memory, clock) = (MemoryStore::new(), Manual::new());
    let board = CrashStore::open(memory.clone(), clock.clone());
    (memory, clock, board)
}

/// What two seats wrote must be read together, as old as it is by then.
#[tokio::test(start_paused = true)]
async fn two_seats() {
    let (_, clock, board) = open();
    board.write("kl-a.0", &[crash(1, 500)]).await.unwrap();
    board.write("kl-b.0", &[crash(2, 0)]).await.unwrap();
    clock.advance(Duration::from_secs(2));
    board
        .write("kl-b.0", &[crash(2, 2_000), crash(3, 0)])
        .await
        .unwrap();
    clock.advance(Duration::from_secs(1));
    let mut found = board.list().await.unwrap();
    found.sort_by_key(|crash| crash.id);
    assert_eq!(found, [crash(1, 3_500), crash(2, 3_000), crash(3, 1_000)]);
}

/// What another program writes must not hide what can be read.
#[tokio::test(start_paused = true)]
async fn other_writers() {
    let (memory, _, board) = open();
    board.write("kl-a.0", &[crash(1, 0)]).await.unwrap();
    for (seat, value) in [
        ("other.0", json!({"told_ms": "soon"})),
        ("other.1", json!(7)),
        ("other.2", json!({"told_ms": 0, "crashes": [{"id": 4}, 5]})),
    ] {
        memory
            .create(&format!("{FOLDER}{seat}"), &value)
            .await
            .unwrap();
    }
    assert_eq!(board.list().await.unwrap(), [crash(1, 0)]);
}

/// A reader must get each seat's news, also those of an outage that its watch did not outlive.
#[tokio::test(start_paused = true)]
async fn watched() {
    let (memory, _, board) = open();
    board.write("kl-a.0", &[crash(1, 0)]).await.unwrap();
    let mut objects = ObjectWatcher::open_folder(memory.clone(), FOLDER);
    assert_eq!(board.decode(&objects.next().await), [crash(1, 0)]);
    board.write("kl-b.0", &[crash(2, 0)]).await.unwrap();
    assert_eq!(board.decode(&objects.next().await), [crash(2, 0)]);
    memory.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    board.write("kl-a.0", &[crash(3, 0)]).await.unwrap_err();
    memory.set_faults(Faults::default());
    memory.compact_history();
    board.write("kl-a.0", &[crash(3, 0)]).await.unwrap();
    board.write("kl-c.0", &[crash(4, 0)]).await.unwrap();
    let mut found = Vec::new();
    for _ in 0..2 {
        found.extend(board.decode(&objects.next().await));
    }
    assert_eq!(found, [crash(3, 0), crash(4, 0)]);
}
