//! Calls with an idempotency key that their callers repeat at other nodes.

use crate::forward::{Forwarder, Mode};
use crate::mesh::{
    Answer, Node, bind, call, spawn_node, spawn_node_with, spawn_server, wait_for_run,
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

/// Nodes `one` and `two`, which callers call, and node `far`, whose backend server runs the calls.
struct TestNodes {
    one: Node,
    two: Node,
    far: Node,
    run_log: RunLog,
    store: MemoryStore,
}

async fn spawn_nodes() -> TestNodes {
    let store = MemoryStore::new();
    let (address, run_log) = spawn_server(2).await;
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
    TestNodes {
        one,
        two,
        far,
        run_log,
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

// A completed call is repeated at another node. The repeat gets the stored
// response, and nothing runs again.
#[tokio::test]
async fn repeat_replayed() {
    let nodes = spawn_nodes().await;
    let first = book(nodes.one.outbound.address(), "k1", "r1", "0").await;
    assert_eq!((first.status, first.verdict()), (StatusCode::OK, "ran"));
    let repeat = book(nodes.two.outbound.address(), "k1", "r2", "0").await;
    assert_eq!((repeat.status, repeat.verdict()), (StatusCode::OK, "ran"));
    assert_eq!(repeat.headers["idempotent-replayed"], "true");
    assert_eq!(repeat.body, first.body);
    assert_eq!(nodes.run_log.entries().len(), 1);
}

// A repeat arrives while the first call still runs. It is told "may have run"
// at once, and nothing runs again.
#[tokio::test]
async fn repeat_while_running() {
    let nodes = spawn_nodes().await;
    let address = nodes.one.outbound.address();
    let first = tokio::spawn(async move { book(address, "k1", "r1", "400").await });
    wait_for_run(&nodes.run_log, |run| run.request == "r1").await;
    let repeat = book(nodes.two.outbound.address(), "k1", "r2", "0").await;
    assert_eq!(
        (repeat.status, repeat.verdict()),
        (StatusCode::CONFLICT, "may-have-run")
    );
    assert_eq!(first.await.unwrap().status, StatusCode::OK);
    assert_eq!(nodes.run_log.entries().len(), 1);
}

// The caller's connection breaks while the call runs. The call continues, so that the repeat gets
// the response of the call rather than "may have run".
#[tokio::test]
async fn caller_disconnected() {
    let nodes = spawn_nodes().await;
    let mut caller = TcpStream::connect(nodes.one.outbound.address())
        .await
        .unwrap();
    let head = "POST /jobs/1 HTTP/1.1\r\nhost: m\r\nidempotency-key: k1\r\nx-request: r1\r\nx-work-ms: 200\r\ncontent-length: 5\r\n\r\nbay 3";
    caller.write_all(head.as_bytes()).await.unwrap();
    wait_for_run(&nodes.run_log, |run| run.request == "r1").await;
    drop(caller);
    wait_for_run(&nodes.run_log, |run| run.end_us.is_some()).await;
    let address = nodes.two.outbound.address();
    let mut repeat = book(address, "k1", "r2", "0").await;
    // The response is stored under the key shortly after the call has ended.
    for _ in 0..200 {
        if repeat.status == StatusCode::OK {
            break;
        }
        assert_eq!(repeat.verdict(), "may-have-run");
        repeat = book(address, "k1", "r2", "0").await;
    }
    assert_eq!(repeat.status, StatusCode::OK);
    let stored: serde_json::Value = serde_json::from_slice(&repeat.body).unwrap();
    assert_eq!(stored["request"], "r1");
    assert_eq!(nodes.run_log.entries().len(), 1);
}

// A call is refused as "not run" because its backend server is leaving. The key
// is released, and the repeat runs.
#[tokio::test]
async fn repeat_after_refusal() {
    let nodes = spawn_nodes().await;
    nodes.far.shared.leaving.send_replace(true);
    let refused = book(nodes.one.outbound.address(), "k1", "r1", "0").await;
    assert_eq!(
        (refused.status, refused.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    let other = spawn_node("other").await;
    let (address, run_log) = spawn_server(1).await;
    other.announce("jobs", address, 1);
    nodes.two.set_route(
        "jobs",
        Repeat::Never,
        &[other.endpoint("jobs", other.nodes_address)],
    );
    let mut repeat = book(nodes.two.outbound.address(), "k1", "r2", "0").await;
    for _ in 0..200 {
        if repeat.status == StatusCode::OK {
            break;
        }
        repeat = book(nodes.two.outbound.address(), "k1", "r2", "0").await;
    }
    assert_eq!((repeat.status, repeat.verdict()), (StatusCode::OK, "ran"));
    assert_eq!(
        (nodes.run_log.entries().len(), run_log.entries().len()),
        (0, 1)
    );
}

// The platform is down. A call that needs its key reserved is refused at once
// with a retry delay, and a call without a key runs.
#[tokio::test]
async fn platform_down() {
    let nodes = spawn_nodes().await;
    nodes.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = book(nodes.one.outbound.address(), "k1", "r1", "0").await;
    assert_eq!(
        (refused.status, refused.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert!(refused.headers.contains_key("retry-after"));
    let plain = call(
        nodes.one.outbound.address(),
        Method::POST,
        "/jobs/1",
        &[],
        Bytes::new(),
    );
    assert_eq!(plain.await.unwrap().status, StatusCode::OK);
    assert_eq!(nodes.run_log.entries().len(), 1);
}

// Two different requests use the same key by mistake. The second is rejected
// and does not get the response to the first.
#[tokio::test]
async fn key_of_another_request() {
    let nodes = spawn_nodes().await;
    let first = book(nodes.one.outbound.address(), "k1", "r1", "0").await;
    assert_eq!(first.status, StatusCode::OK);
    let headers = [("idempotency-key", "k1")];
    let body = Bytes::from_static(b"bay 4");
    let second = call(
        nodes.two.outbound.address(),
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
    assert_eq!(nodes.run_log.entries().len(), 1);
}

// The link goes silent while a call runs, and the node that runs it is replaced by a new process,
// so the outcome of the call stays unknown. Every repeat with the key is told "may have run".
#[tokio::test]
async fn outcome_unknown() {
    let nodes = spawn_nodes().await;
    let forwarder = Forwarder::spawn(nodes.far.nodes_address).await;
    let far = nodes.far.endpoint("jobs", forwarder.address);
    nodes.one.set_route("jobs", Repeat::Never, &[far]);
    let address = nodes.one.outbound.address();
    let first = tokio::spawn(async move { book(address, "k1", "r1", "3000").await });
    wait_for_run(&nodes.run_log, |run| run.request == "r1").await;
    forwarder.set_target(spawn_node("far").await.nodes_address);
    forwarder.set_modes(Mode::Drop, Mode::Drop);
    assert_eq!(first.await.unwrap().verdict(), "may-have-run");
    let repeat = book(nodes.two.outbound.address(), "k1", "r2", "0").await;
    assert_eq!(
        (repeat.status, repeat.verdict()),
        (StatusCode::CONFLICT, "may-have-run")
    );
    assert_eq!(nodes.run_log.entries().len(), 1);
}

// Responses from the backend server's node are held beyond the deadline, as if the node were
// stopped for some seconds. The caller is told "may have run". Once the node resumes, the repeat
// gets the response, and nothing runs again. If the caller's node did not wait for the outcome past
// the deadline, the repeats would be told "may have run" forever, although the backend server's
// node knows the outcome.
#[tokio::test]
async fn resolved_after_deadline() {
    let nodes = spawn_nodes().await;
    let forwarder = Forwarder::spawn(nodes.far.nodes_address).await;
    let far = nodes.far.endpoint("jobs", forwarder.address);
    nodes.one.set_route("jobs", Repeat::Never, &[far]);
    let address = nodes.one.outbound.address();
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
    wait_for_run(&nodes.run_log, |run| run.request == "r1").await;
    forwarder.set_modes(Mode::Pass, Mode::Hold);
    let response = first.await.unwrap().unwrap();
    assert_eq!(
        (response.status, response.verdict()),
        (StatusCode::GATEWAY_TIMEOUT, "may-have-run")
    );
    forwarder.set_modes(Mode::Pass, Mode::Pass);
    let address = nodes.two.outbound.address();
    let mut repeat = book(address, "k1", "r2", "0").await;
    for _ in 0..500 {
        if repeat.status == StatusCode::OK {
            break;
        }
        assert_eq!(repeat.verdict(), "may-have-run");
        repeat = book(address, "k1", "r2", "0").await;
    }
    assert_eq!((repeat.status, repeat.verdict()), (StatusCode::OK, "ran"));
    assert_eq!(nodes.run_log.entries().len(), 2);
}

/// Spawns a backend server that responds to its first call when `resume` is notified. The returned
/// `Notify` signals that the server has received the call.
async fn spawn_paused_server(resume: Arc<Notify>) -> (SocketAddr, Arc<Notify>) {
    let (listener, address) = bind().await;
    let reached = Arc::new(Notify::new());
    let notify = Arc::clone(&reached);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 2_048];
        let _head = stream.read(&mut head).await.unwrap();
        notify.notify_one();
        resume.notified().await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nbooked";
        stream.write_all(answer).await.unwrap();
        std::future::pending::<()>().await;
    });
    (address, reached)
}

// The backend server is stopped during a call and resumes after the deadline. The repeat gets the
// response of that call, whether the call entered on the backend server's own VM or on another VM.
#[yare::parameterized(remote = { false }, local = { true })]
#[test_macro(tokio::test)]
async fn server_stopped(local: bool) {
    let nodes = spawn_nodes().await;
    let resume = Arc::new(Notify::new());
    let (server, reached) = spawn_paused_server(Arc::clone(&resume)).await;
    nodes.far.announce("jobs", server, 2);
    let node = if local { &nodes.far } else { &nodes.one };
    for node in [&nodes.one, &nodes.two, &nodes.far] {
        node.set_route_of_class(
            Class::Commit,
            "jobs",
            Repeat::Never,
            &[nodes.far.endpoint("jobs", nodes.far.nodes_address)],
        );
    }
    let address = node.outbound.address();
    let headers = [
        ("idempotency-key", "k1"),
        ("bluebellpick-timeout-ms", "400"),
    ];
    let body = Bytes::from_static(b"bay 3");
    let first = call(address, Method::POST, "/jobs/1", &headers, body.clone());
    let (response, ()) = tokio::join!(first, reached.notified());
    let response = response.unwrap();
    assert_eq!(
        (response.status, response.verdict()),
        (StatusCode::GATEWAY_TIMEOUT, "may-have-run")
    );
    resume.notify_one();
    let address = nodes.two.outbound.address();
    let mut repeat = book(address, "k1", "r2", "0").await;
    for _ in 0..500 {
        if repeat.status == StatusCode::OK {
            break;
        }
        assert_eq!(repeat.verdict(), "may-have-run");
        repeat = book(address, "k1", "r2", "0").await;
    }
    assert_eq!(
        (repeat.status, &*repeat.body),
        (StatusCode::OK, &b"booked"[..])
    );
}

// The node that owns the key has received the request for a reservation and is writing the
// reservation when its replies begin to be lost. The caller is told "not run" in the end, but the
// key has been reserved. The repeat must run, rather than be told "may have run" because of a call
// that never runs.
#[tokio::test]
async fn reservation_reply_lost() {
    let nodes = spawn_nodes().await;
    let front = Forwarder::spawn(nodes.far.nodes_address).await;
    let far = nodes.far.endpoint("jobs", front.address);
    nodes.one.set_route("jobs", Repeat::Never, &[far]);
    let address = nodes.one.outbound.address();
    assert_eq!(book(address, "k0", "r0", "0").await.status, StatusCode::OK);
    nodes.store.set_faults(Faults {
        slow_ms: 400,
        ..Faults::default()
    });
    let before = nodes.store.request_counts();
    let first = tokio::spawn(async move { book(address, "k1", "r1", "0").await });
    while nodes.store.request_counts() == before {
        tokio::task::yield_now().await;
    }
    front.set_modes(Mode::Pass, Mode::Drop);
    let first = first.await.unwrap();
    assert_eq!(
        (first.status, first.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    nodes.store.set_faults(Faults::default());
    let address = nodes.two.outbound.address();
    let mut repeat = book(address, "k1", "r2", "0").await;
    for _ in 0..500 {
        if repeat.status == StatusCode::OK {
            break;
        }
        repeat = book(address, "k1", "r2", "0").await;
    }
    assert_eq!((repeat.status, repeat.verdict()), (StatusCode::OK, "ran"));
    assert_eq!(nodes.run_log.entries().len(), 2);
}
