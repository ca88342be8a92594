//! Announcements of the backend server on the same VM.

mod support;

use node::announce;
use std::time::Duration;
use support::{bind, make_shared, request};
use yare::parameterized;

const PUT: &str = "PUT /v1/announce";

#[tokio::test]
async fn announce_and_leave() {
    let shared = make_shared();
    let handle = announce::spawn(bind().await, std::sync::Arc::clone(&shared)).unwrap();
    let address = handle.address();
    let mut changes = shared.backend.subscribe();
    let body = r#"{"service":"records","address":"127.0.0.1:9000","slots":6}"#;

    let (status, text) = request(address, PUT, body).await;
    assert_eq!(
        (status, text.trim()),
        (200, r#"{"in_flight":0,"leaving":false}"#)
    );
    let backend = changes.borrow_and_update().clone().unwrap();
    assert_eq!((backend.service.as_str(), backend.slots), ("records", 6));

    request(address, PUT, body).await;
    assert!(!changes.has_changed().unwrap(), "a heartbeat is no change");

    shared.in_flight.send_replace(2);
    let (_, text) = request(address, "DELETE /v1/announce", "").await;
    assert_eq!(text.trim(), r#"{"in_flight":2,"leaving":true}"#);
    assert!(changes.borrow_and_update().as_ref().unwrap().leaving);
    let (_, text) = request(address, "GET /v1/announce", "").await;
    assert_eq!(text.trim(), r#"{"in_flight":2,"leaving":true}"#);
    handle.stop(Duration::from_secs(1)).await;
}

// A backend server that has left and exited must get no further calls, because they would fail.
// Guards against an announcement that the heartbeat thread of the server still had in flight on
// another connection, and that arrives after the leave request.
#[tokio::test]
async fn heartbeat_after_leave() {
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

// A node restarts, and its backend server is stopped before the server's next heartbeat.
// Regression: the restarted node ignored the leave request of a server that the node did not know
// yet. The server waited for the node to report `leaving`, and its stop took 30 s, until the wait
// timed out.
#[tokio::test]
async fn leave_before_announcement() {
    let shared = make_shared();
    let handle = announce::spawn(bind().await, std::sync::Arc::clone(&shared)).unwrap();
    let expected = r#"{"in_flight":0,"leaving":true}"#;
    for request_line in ["DELETE /v1/announce", "GET /v1/announce"] {
        let (_, text) = request(handle.address(), request_line, "").await;
        assert_eq!(text.trim(), expected, "{request_line}");
    }
}

#[parameterized(
    not_json = { "records", "expected value" },
    unknown_field = { r#"{"service":"a","address":"127.0.0.1:9","slots":1,"zone":"b"}"#, "unknown field `zone`" },
    no_service = { r#"{"service":"","address":"127.0.0.1:9","slots":1}"#, "service: must be 1 to 63 bytes long" },
    off_loopback = { r#"{"service":"a","address":"10.0.0.1:9","slots":1}"#, "address: must be a loopback address" },
    no_port = { r#"{"service":"a","address":"127.0.0.1:0","slots":1}"#, "address: must be a loopback address" },
    no_slots = { r#"{"service":"a","address":"127.0.0.1:9","slots":0}"#, "slots: must be at least 1" },
)]
#[test_macro(tokio::test)]
async fn invalid_announcement(body: &str, message: &str) {
    let shared = make_shared();
    let handle = announce::spawn(bind().await, std::sync::Arc::clone(&shared)).unwrap();
    let (status, text) = request(handle.address(), PUT, body).await;
    assert_eq!(status, 400);
    assert!(text.contains(message), "{text}");
    assert!(shared.backend.borrow().is_none());
}
