//! What holds when the platform comes back from a copy that is some seconds old.

use clock::Manual;
use serde_json::json;
use std::time::Duration;
use store::{Error, Lease, MemoryStore, ObjectWatcher, Store};

const TERM: Duration = Duration::from_secs(10);

/// A write bound to a revision that was given out again must not hit what stands there now.
#[tokio::test]
async fn revision_again() {
    let store = MemoryStore::new();
    store.create("things/a", &json!(1)).await.unwrap();
    let copy = store.backup();
    let lost = store.create("things/b", &json!("lost")).await.unwrap();
    store.restore(copy);
    let again = store.create("things/b", &json!("other")).await.unwrap();
    assert_eq!(lost.number, again.number);
    let written = store.update("things/b", &json!("mine"), lost).await;
    assert_eq!(written, Err(Error::Gone));
    assert!(again > lost);
}

/// A reader must not take up its watch in the numbers of another era, and miss writes for good.
#[tokio::test(start_paused = true)]
async fn watch_again() {
    let store = MemoryStore::new();
    store.create("things/a", &json!(1)).await.unwrap();
    let copy = store.backup();
    let mut latest = ObjectWatcher::open(store.clone(), "things/a");
    assert_eq!(latest.next().await.value, json!(1));
    for number in 2..6 {
        let stands = store.get("things/a").await.unwrap().unwrap();
        let next = json!(number);
        let written = store.update("things/a", &next, stands.revision).await;
        written.unwrap();
        assert_eq!(latest.next().await.value, next);
    }
    store.restore(copy);
    let stands = store.get("things/a").await.unwrap().unwrap();
    store
        .update("things/a", &json!("new"), stands.revision)
        .await
        .unwrap();
    let read = async {
        loop {
            if latest.next().await.value == json!("new") {
                return;
            }
        }
    };
    let limit = Duration::from_secs(3);
    tokio::time::timeout(limit, read).await.unwrap();
}

/// A lease whose last renewals are lost must stay with its holder, or go to who took it since.
#[tokio::test]
async fn lease_again() {
    let store = MemoryStore::new();
    let clock = Manual::new();
    let open = |holder: &str| Lease::open(store.clone(), clock.clone(), "roots/a.0", holder, TERM);
    let before = store.backup();
    let (mut one, mut two) = (open("one"), open("two"));
    assert!(one.acquire_or_renew().await.unwrap());
    let taken = store.backup();
    assert!(one.acquire_or_renew().await.unwrap());
    // Its own older grant stands.
    store.restore(taken);
    assert!(one.acquire_or_renew().await.unwrap());
    // Nothing stands.
    store.restore(before.clone());
    assert!(one.acquire_or_renew().await.unwrap());
    // Somebody else was faster.
    store.restore(before);
    assert!(two.acquire_or_renew().await.unwrap());
    assert!(!one.acquire_or_renew().await.unwrap());
    assert!(two.acquire_or_renew().await.unwrap());
}
