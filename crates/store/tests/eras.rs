//! Guarantees when the platform is restored from a backup that is some seconds old.

use clock::Manual;
use serde_json::json;
use std::time::Duration;
use store::{Error, Lease, MemoryStore, ObjectWatcher, Store};

const LEASE_DURATION: Duration = Duration::from_secs(10);

/// An update conditional on a lost revision must fail, although a new object reuses the number of
/// that revision.
#[tokio::test]
async fn reused_revision() {
    let store = MemoryStore::new();
    store.create("things/a", &json!(1)).await.unwrap();
    let backup = store.backup();
    let lost = store.create("things/b", &json!("lost")).await.unwrap();
    store.restore(backup);
    let reused = store.create("things/b", &json!("other")).await.unwrap();
    assert_eq!(lost.number, reused.number);
    let written = store.update("things/b", &json!("mine"), lost).await;
    assert_eq!(written, Err(Error::Gone));
    assert!(reused > lost);
}

/// A reader must not resume its watch at a revision number of the previous era: it would miss
/// the writes of the new era for good.
#[tokio::test(start_paused = true)]
async fn watch_after_restore() {
    let store = MemoryStore::new();
    store.create("things/a", &json!(1)).await.unwrap();
    let backup = store.backup();
    let mut watcher = ObjectWatcher::open(store.clone(), "things/a");
    assert_eq!(watcher.next().await.value, json!(1));
    for number in 2..6 {
        let current = store.get("things/a").await.unwrap().unwrap();
        let next = json!(number);
        let written = store.update("things/a", &next, current.revision).await;
        written.unwrap();
        assert_eq!(watcher.next().await.value, next);
    }
    store.restore(backup);
    let current = store.get("things/a").await.unwrap().unwrap();
    store
        .update("things/a", &json!("new"), current.revision)
        .await
        .unwrap();
    let read = async {
        loop {
            if watcher.next().await.value == json!("new") {
                return;
            }
        }
    };
    let limit = Duration::from_secs(3);
    tokio::time::timeout(limit, read).await.unwrap();
}

/// A lease whose last renewals are lost must stay with its holder, unless another process has
/// acquired it since.
#[tokio::test]
async fn lease_after_restore() {
    let store = MemoryStore::new();
    let clock = Manual::new();
    let open = |holder: &str| {
        Lease::open(
            store.clone(),
            clock.clone(),
            "roots/a.0",
            holder,
            LEASE_DURATION,
        )
    };
    let before = store.backup();
    let (mut one, mut two) = (open("one"), open("two"));
    assert!(one.acquire_or_renew().await.unwrap());
    let acquired = store.backup();
    assert!(one.acquire_or_renew().await.unwrap());
    // The backup contains the holder's acquisition, but not its renewal.
    store.restore(acquired);
    assert!(one.acquire_or_renew().await.unwrap());
    // The backup contains no lease.
    store.restore(before.clone());
    assert!(one.acquire_or_renew().await.unwrap());
    // Another process was faster.
    store.restore(before);
    assert!(two.acquire_or_renew().await.unwrap());
    assert!(!one.acquire_or_renew().await.unwrap());
    assert!(two.acquire_or_renew().await.unwrap());
}
