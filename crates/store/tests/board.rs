//! Crashes that roots write to the platform, and their readers.

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
        request: Digest::of("", "GET", "", "/records/1", b""),
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
    let crash_store = CrashStore::open(memory.clone(), clock.clone());
    (memory, clock, crash_store)
}

/// The crashes of two root leases must be read together, each with its current age.
#[tokio::test(start_paused = true)]
async fn two_root_leases() {
    let (_, clock, crash_store) = open();
    crash_store.write("kl-a.0", &[crash(1, 500)]).await.unwrap();
    crash_store.write("kl-b.0", &[crash(2, 0)]).await.unwrap();
    clock.advance(Duration::from_secs(2));
    crash_store
        .write("kl-b.0", &[crash(2, 2_000), crash(3, 0)])
        .await
        .unwrap();
    clock.advance(Duration::from_secs(1));
    let mut found = crash_store.list().await.unwrap();
    found.sort_by_key(|crash| crash.id);
    assert_eq!(found, [crash(1, 3_500), crash(2, 3_000), crash(3, 1_000)]);
}

/// Objects and crashes that can't be decoded, written by another program, must not hide the others.
#[tokio::test(start_paused = true)]
async fn undecodable_objects() {
    let (memory, _, crash_store) = open();
    crash_store.write("kl-a.0", &[crash(1, 0)]).await.unwrap();
    for (lease, value) in [
        ("other.0", json!({"told_ms": "soon"})),
        ("other.1", json!(7)),
        ("other.2", json!({"told_ms": 0, "crashes": [{"id": 4}, 5]})),
    ] {
        memory
            .create(&format!("{FOLDER}{lease}"), &value)
            .await
            .unwrap();
    }
    assert_eq!(crash_store.list().await.unwrap(), [crash(1, 0)]);
}

/// A reader must get the updates of every root lease, including those written after an outage
/// whose events its watch can no longer resume from.
#[tokio::test(start_paused = true)]
async fn watch_across_outage() {
    let (memory, _, crash_store) = open();
    crash_store.write("kl-a.0", &[crash(1, 0)]).await.unwrap();
    let mut objects = ObjectWatcher::open_folder(memory.clone(), FOLDER);
    assert_eq!(crash_store.decode(&objects.next().await), [crash(1, 0)]);
    crash_store.write("kl-b.0", &[crash(2, 0)]).await.unwrap();
    assert_eq!(crash_store.decode(&objects.next().await), [crash(2, 0)]);
    memory.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    crash_store
        .write("kl-a.0", &[crash(3, 0)])
        .await
        .unwrap_err();
    memory.set_faults(Faults::default());
    memory.compact_history();
    crash_store.write("kl-a.0", &[crash(3, 0)]).await.unwrap();
    crash_store.write("kl-c.0", &[crash(4, 0)]).await.unwrap();
    let mut found = Vec::new();
    for _ in 0..2 {
        found.extend(crash_store.decode(&objects.next().await));
    }
    assert_eq!(found, [crash(3, 0), crash(4, 0)]);
}
