//! Announcements of the backend server on the same VM.

mod support;

use node::announce;
use std::time::Duration;
use support::{bind, make_shared, request};
use yare::parameterized;

const PUT: &str = "PUT /v1/announce";

#[tokio::test]
async fn whole_life() {
    let shared = make_shared();
    let handle = announce::spawn(bind().await, std::sync::Arc::clone(&shared)).unwrap();
    let address = handle.address();
    let mut news = shared.backend.subscribe();
    let body = r#"{"service":"records","address":"127.0.0.1:9000","slots":6}"#;

    let (status, text) = request(address, PUT, body).await;
    assert_eq!(
        (status, text.trim()),
        (200, r#"{"in_flight":0,"leaving":false}"#)
    );
    let backend = news.borrow_and_update().clone().unwrap();
    assert_eq!((backend.service.as_str(), backend.slots), ("records", 6));

    request(address, PUT, body).await;
    assert!(!news.has_changed().unwrap(), "a heartbeat is no change");

    shared.in_flight.send_replace(2);
    let (_, text) = request(address, "DELETE /v1/announce", "").await;
    assert_eq!(text.trim(), r#"{"in_flight":2,"leaving":true}"#);
    assert!(news.borrow_and_update().as_ref().unwrap().leaving);
    let (_, text) = request(address, "GET /v1/announce", "").await;
    assert_eq!(text.trim(), r#"{"in_flight":2,"leaving":true}"#);
    handle.stop(Duration::from_secs(1)).await;
}

// A backend server says that it leaves, and ends; a clerk's next call is still
// sent to it and fails. Cause: its heartbeat thread had one more announcement
// under way on another connection, which arrived after the departure.
#[tokio::test]
async fn late_heartbeat() {
    let shared = make_shared();
    let handle = announce::spawn(bind().await, std::sync::Arc::clone(&shared)).unwrap();
    let old = r#"{"service":"jobs","address":"127.0.0.1:9000","slots":6,"incarnation":1}"#;
    request(handle.address(), PUT, old).await;
    request(handle.address(), "DELETE /v1/announce", "").await;
    let (status, _) = request(handle.address(), PUT, old).await;
    assert_eq!(status, 409);
    assert!(shared.backend.borrow().as_ref().unwrap().leaving);

    let new = old.replace("\"incarnation\":1", "\"incarnation\":2");
    let (status, _) = request(handle.address(), PUT, &new).await;
    assert_eq!(status, 200);
    assert!(!shared.backend.borrow().as_ref().unwrap().leaving);
}

// A node is killed and started again, and its backend server is told to stop
// before the next heartbeat. The stop took 30 s, until whoever asked for it lost
// patience. Cause: the departure of one that the new node had not heard of left
// no trace, and the backend server waited for its node to say that it leaves.
#[tokio::test]
async fn leaves_unheard() {
    let shared = make_shared();
    let handle = announce::spawn(bind().await, std::sync::Arc::clone(&shared)).unwrap();
    let wanted = r#"{"in_flight":0,"leaving":true}"#;
    for question in ["DELETE /v1/announce", "GET /v1/announce"] {
        let (_, text) = request(handle.address(), question, "").await;
        assert_eq!(text.trim(), wanted, "{question}");
    }
}

#[parameterized(
    not_json = { "records", "expected value" },
    unknown_field = { r#"{"service":"a","address":"127.0.0.1:9","slots":1,"zone":"b"}"#, "unknown field `zone`" },
    no_service = { r#"{"service":"","address":"127.0.0.1:9","slots":1}"#, "service: want a name" },
    off_loopback = { r#"{"service":"a","address":"10.0.0.1:9","slots":1}"#, "address: want a loopback address" },
    no_port = { r#"{"service":"a","address":"127.0.0.1:0","slots":1}"#, "address: want a loopback address" },
    no_slots = { r#"{"service":"a","address":"127.0.0.1:9","slots":0}"#, "slots: want at least 1" },
)]
#[test_macro(tokio::test)]
async fn refused(body: &str, message: &str) {
    let shared = make_shared();
    let handle = announce::spawn(bind().await, std::sync::Arc::clone(&shared)).unwrap();
    let (status, text) = request(handle.address(), PUT, body).await;
    assert_eq!(status, 400);
    assert!(text.contains(message), "{text}");
    assert!(shared.backend.borrow().is_none());
}
