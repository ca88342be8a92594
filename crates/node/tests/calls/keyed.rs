//! Calls with an idempotency key, repeated by their callers at other nodes.

use crate::forward::{Forwarder, Mode};
use crate::mesh::{
    Answer, Node, bind, call, spawn_node, spawn_node_with, spawn_server, wait_recorded,
};
use bytes::Bytes;
use config::{Class, Repeat};
use http::{Method, StatusCode};
use standin::record::RunLog;
use std::net::SocketAddr;
use std::sync::Arc;
use store::MemoryStore;
use store::memory::Faults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Two nodes for callers, and one whose backend server runs what is booked.
struct Mesh {
    one: Node,
    two: Node,
    far: Node,
    record: RunLog,
    store: MemoryStore,
}

async fn spawn_mesh() -> Mesh {
    let store = MemoryStore::new();
    let (address, record) = spawn_server(2).await;
    let one = spawn_node_with("one", &store).await;
    let two = spawn_node_with("two", &store).await;
    let far = spawn_node_with("far", &store).await;
    far.announce("jobs", address, 2);
    for node in [&one, &two] {
        node.set_route(
            "jobs",
            Repeat::Never,
            &[far.endpoint("jobs", far.nodes_address)],
        );
    }
    Mesh {
        one,
        two,
        far,
        record,
        store,
    }
}

async fn book(address: SocketAddr, key: &str, request: &str, work_ms: &str) -> Answer {
    let headers = [
        ("idempotency-key", key),
        ("x-request", request),
        ("x-work-ms", work_ms),
    ];
    let body = Bytes::from_static(b"bay 3");
    call(address, Method::POST, "/jobs/1", &headers, body)
        .await
        .unwrap()
}

// A clerk's browser sends a booking again at another node, a minute later by
// the clerk's watch. It gets the first one's answer, and nothing runs again.
#[tokio::test]
async fn answered_again() {
    let mesh = spawn_mesh().await;
    let first = book(mesh.one.outbound.address(), "k1", "r1", "0").await;
    assert_eq!((first.status, first.verdict()), (StatusCode::OK, "ran"));
    let again = book(mesh.two.outbound.address(), "k1", "r2", "0").await;
    assert_eq!((again.status, again.verdict()), (StatusCode::OK, "ran"));
    assert_eq!(again.headers["idempotent-replayed"], "true");
    assert_eq!(again.body, first.body);
    assert_eq!(mesh.record.entries().len(), 1);
}

// The repeat comes while the first one still runs: it is told that the job may
// have run, at once, and doesn't run it.
#[tokio::test]
async fn first_still_runs() {
    let mesh = spawn_mesh().await;
    let address = mesh.one.outbound.address();
    let first = tokio::spawn(async move { book(address, "k1", "r1", "400").await });
    wait_recorded(&mesh.record, |entry| entry.request == "r1").await;
    let again = book(mesh.two.outbound.address(), "k1", "r2", "0").await;
    assert_eq!(
        (again.status, again.verdict()),
        (StatusCode::CONFLICT, "may-have-run")
    );
    assert_eq!(first.await.unwrap().status, StatusCode::OK);
    assert_eq!(mesh.record.entries().len(), 1);
}

// The clerk's connection breaks while the job is booked. The booking goes on,
// so that the repeat gets its answer rather than "may have run".
#[tokio::test]
async fn caller_gone() {
    let mesh = spawn_mesh().await;
    let mut caller = TcpStream::connect(mesh.one.outbound.address())
        .await
        .unwrap();
    let head = "POST /jobs/1 HTTP/1.1\r\nhost: m\r\nidempotency-key: k1\r\nx-request: r1\r\nx-work-ms: 200\r\ncontent-length: 5\r\n\r\nbay 3";
    caller.write_all(head.as_bytes()).await.unwrap();
    wait_recorded(&mesh.record, |entry| entry.request == "r1").await;
    drop(caller);
    wait_recorded(&mesh.record, |entry| entry.end_us.is_some()).await;
    let address = mesh.two.outbound.address();
    let mut again = book(address, "k1", "r2", "0").await;
    // The answer reaches the record of the key a moment after its end.
    for _ in 0..200 {
        if again.status == StatusCode::OK {
            break;
        }
        assert_eq!(again.verdict(), "may-have-run");
        again = book(address, "k1", "r2", "0").await;
    }
    assert_eq!(again.status, StatusCode::OK);
    let told: serde_json::Value = serde_json::from_slice(&again.body).unwrap();
    assert_eq!(told["request"], "r1");
    assert_eq!(mesh.record.entries().len(), 1);
}

// A booking is refused as "not run", for its backend server leaves. The key is
// free again, and the repeat books the job.
#[tokio::test]
async fn refused_then_run() {
    let mesh = spawn_mesh().await;
    mesh.far.shared.leaving.send_replace(true);
    let refused = book(mesh.one.outbound.address(), "k1", "r1", "0").await;
    assert_eq!(
        (refused.status, refused.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    let other = spawn_node("other").await;
    let (address, record) = spawn_server(1).await;
    other.announce("jobs", address, 1);
    mesh.two.set_route(
        "jobs",
        Repeat::Never,
        &[other.endpoint("jobs", other.nodes_address)],
    );
    let mut again = book(mesh.two.outbound.address(), "k1", "r2", "0").await;
    for _ in 0..200 {
        if again.status == StatusCode::OK {
            break;
        }
        again = book(mesh.two.outbound.address(), "k1", "r2", "0").await;
    }
    assert_eq!((again.status, again.verdict()), (StatusCode::OK, "ran"));
    assert_eq!(
        (mesh.record.entries().len(), record.entries().len()),
        (0, 1)
    );
}

// The platform is down. A booking that needs its key reserved is refused at
// once with a time to come back, and a call without a key goes on.
#[tokio::test]
async fn platform_down() {
    let mesh = spawn_mesh().await;
    mesh.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = book(mesh.one.outbound.address(), "k1", "r1", "0").await;
    assert_eq!(
        (refused.status, refused.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert!(refused.headers.contains_key("retry-after"));
    let plain = call(
        mesh.one.outbound.address(),
        Method::POST,
        "/jobs/1",
        &[],
        Bytes::new(),
    );
    assert_eq!(plain.await.unwrap().status, StatusCode::OK);
    assert_eq!(mesh.record.entries().len(), 1);
}

// Two families take the same key by mistake: the second is told, and not
// answered with the other's booking.
#[tokio::test]
async fn other_request() {
    let mesh = spawn_mesh().await;
    let first = book(mesh.one.outbound.address(), "k1", "r1", "0").await;
    assert_eq!(first.status, StatusCode::OK);
    let headers = [("idempotency-key", "k1")];
    let body = Bytes::from_static(b"bay 4");
    let second = call(
        mesh.two.outbound.address(),
        Method::POST,
        "/jobs/1",
        &headers,
        body,
    );
    let second = second.await.unwrap();
    assert_eq!(
        (second.status, second.verdict()),
        (StatusCode::UNPROCESSABLE_ENTITY, "not-run")
    );
    assert_eq!(mesh.record.entries().len(), 1);
}

// The link goes silent for good while a booking runs, and its node is gone:
// nobody knows. The key says "may have run" from then on, to every repeat.
#[tokio::test]
async fn nobody_knows() {
    let mesh = spawn_mesh().await;
    let forwarder = Forwarder::spawn(mesh.far.nodes_address).await;
    let far = mesh.far.endpoint("jobs", forwarder.address);
    mesh.one.set_route("jobs", Repeat::Never, &[far]);
    let address = mesh.one.outbound.address();
    let first = tokio::spawn(async move { book(address, "k1", "r1", "3000").await });
    wait_recorded(&mesh.record, |entry| entry.request == "r1").await;
    forwarder.set_target(spawn_node("far").await.nodes_address);
    forwarder.set(Mode::Drop, Mode::Drop);
    assert_eq!(first.await.unwrap().verdict(), "may-have-run");
    let again = book(mesh.two.outbound.address(), "k1", "r2", "0").await;
    assert_eq!(
        (again.status, again.verdict()),
        (StatusCode::CONFLICT, "may-have-run")
    );
    assert_eq!(mesh.record.entries().len(), 1);
}

// The node in front of the backend server is stopped for some seconds, longer
// than the clerk waits. The clerk is told "may have run" at the deadline. Once
// the node goes on, the repeat gets the booking's answer, and runs nothing.
// Without it, the key said "may have run" for good, though the node knew.
#[tokio::test]
async fn settled_late() {
    let mesh = spawn_mesh().await;
    let forwarder = Forwarder::spawn(mesh.far.nodes_address).await;
    let far = mesh.far.endpoint("jobs", forwarder.address);
    mesh.one.set_route("jobs", Repeat::Never, &[far]);
    let address = mesh.one.outbound.address();
    let warm = book(address, "k0", "r0", "0").await;
    assert_eq!(warm.status, StatusCode::OK);
    let headers = [
        ("idempotency-key", "k1"),
        ("x-request", "r1"),
        ("x-work-ms", "100"),
        ("bluebellpick-timeout-ms", "600"),
    ];
    let body = Bytes::from_static(b"bay 3");
    let first =
        tokio::spawn(async move { call(address, Method::POST, "/jobs/1", &headers, body).await });
    wait_recorded(&mesh.record, |entry| entry.request == "r1").await;
    forwarder.set(Mode::Pass, Mode::Hold);
    let told = first.await.unwrap().unwrap();
    assert_eq!(
        (told.status, told.verdict()),
        (StatusCode::GATEWAY_TIMEOUT, "may-have-run")
    );
    forwarder.set(Mode::Pass, Mode::Pass);
    let address = mesh.two.outbound.address();
    let mut again = book(address, "k1", "r2", "0").await;
    for _ in 0..500 {
        if again.status == StatusCode::OK {
            break;
        }
        assert_eq!(again.verdict(), "may-have-run");
        again = book(address, "k1", "r2", "0").await;
    }
    assert_eq!((again.status, again.verdict()), (StatusCode::OK, "ran"));
    assert_eq!(mesh.record.entries().len(), 2);
}

/// A backend server that answers its first call only when told to.
async fn spawn_stopped(go_on: Arc<Notify>) -> (SocketAddr, Arc<Notify>) {
    let (listener, address) = bind().await;
    let reached = Arc::new(Notify::new());
    let reach = Arc::clone(&reached);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 2_048];
        let _head = stream.read(&mut head).await.unwrap();
        reach.notify_one();
        go_on.notified().await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nbooked";
        stream.write_all(answer).await.unwrap();
        std::future::pending::<()>().await;
    });
    (address, reached)
}

// The backend server is stopped in the middle of a booking and goes on after
// the clerk's deadline. The clerk's repeat is answered by that booking, whether
// the call came in on the backend server's own VM or on another.
#[yare::parameterized(remote = { false }, local = { true })]
#[test_macro(tokio::test)]
async fn server_stopped(local: bool) {
    let mesh = spawn_mesh().await;
    let go_on = Arc::new(Notify::new());
    let (server, reached) = spawn_stopped(Arc::clone(&go_on)).await;
    mesh.far.announce("jobs", server, 2);
    let node = if local { &mesh.far } else { &mesh.one };
    for node in [&mesh.one, &mesh.two, &mesh.far] {
        node.set_route_of_class(
            Class::Commit,
            "jobs",
            Repeat::Never,
            &[mesh.far.endpoint("jobs", mesh.far.nodes_address)],
        );
    }
    let address = node.outbound.address();
    let headers = [
        ("idempotency-key", "k1"),
        ("bluebellpick-timeout-ms", "400"),
    ];
    let body = Bytes::from_static(b"bay 3");
    let first = call(address, Method::POST, "/jobs/1", &headers, body.clone());
    let (told, ()) = tokio::join!(first, reached.notified());
    let told = told.unwrap();
    assert_eq!(
        (told.status, told.verdict()),
        (StatusCode::GATEWAY_TIMEOUT, "may-have-run")
    );
    go_on.notify_one();
    let address = mesh.two.outbound.address();
    let mut again = book(address, "k1", "r2", "0").await;
    for _ in 0..500 {
        if again.status == StatusCode::OK {
            break;
        }
        assert_eq!(again.verdict(), "may-have-run");
        again = book(address, "k1", "r2", "0").await;
    }
    assert_eq!(
        (again.status, &*again.body),
        (StatusCode::OK, &b"booked"[..])
    );
}

// The owner of a clerk's key has heard of it and is reserving it when its
// answers begin to be lost. The clerk is told "not run" in the end, and the
// reservation stands. The repeat must book the job, and not hear "may have
// run" of a call that nobody runs.
#[tokio::test]
async fn reservation_lost() {
    let mesh = spawn_mesh().await;
    let front = Forwarder::spawn(mesh.far.nodes_address).await;
    let far = mesh.far.endpoint("jobs", front.address);
    mesh.one.set_route("jobs", Repeat::Never, &[far]);
    let address = mesh.one.outbound.address();
    assert_eq!(book(address, "k0", "r0", "0").await.status, StatusCode::OK);
    mesh.store.set_faults(Faults {
        slow_ms: 400,
        ..Faults::default()
    });
    let before = mesh.store.counts();
    let first = tokio::spawn(async move { book(address, "k1", "r1", "0").await });
    while mesh.store.counts() == before {
        tokio::task::yield_now().await;
    }
    front.set(Mode::Pass, Mode::Drop);
    let first = first.await.unwrap();
    assert_eq!(
        (first.status, first.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    mesh.store.set_faults(Faults::default());
    let address = mesh.two.outbound.address();
    let mut again = book(address, "k1", "r2", "0").await;
    for _ in 0..500 {
        if again.status == StatusCode::OK {
            break;
        }
        again = book(address, "k1", "r2", "0").await;
    }
    assert_eq!((again.status, again.verdict()), (StatusCode::OK, "ran"));
    assert_eq!(mesh.record.entries().len(), 2);
}
