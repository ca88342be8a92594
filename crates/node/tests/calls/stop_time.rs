//! Calls that a stopping node takes or refuses, by the time that it has left.

use crate::mesh::{Answer, Node, call, spawn_node, spawn_server, wait_for_run};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode, header};
use standin::record::RunLog;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

/// Time that the routes of the test environment give a call.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);

/// A node that callers call, a node with a backend server of `slots` slots, and the server's runs.
async fn spawn_pair(slots: u16) -> (Node, Node, RunLog) {
    let (address, run_log) = spawn_server(slots).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, slots);
    for node in [&near, &far] {
        node.set_route(
            "jobs",
            Repeat::Never,
            &[far.endpoint("jobs", far.nodes_address)],
        );
    }
    (near, far, run_log)
}

async fn post(address: SocketAddr, request: &str, work: Duration, timeout: Duration) -> Answer {
    let (work, timeout) = (
        work.as_millis().to_string(),
        timeout.as_millis().to_string(),
    );
    let headers = [
        ("x-request", request),
        ("x-work-ms", &work),
        ("bluebellpick-timeout-ms", &timeout),
    ];
    call(address, Method::POST, "/jobs/1", &headers, Bytes::new())
        .await
        .unwrap()
}

/// Sets the end of the calls of a node to `left` from now.
fn stop_within(node: &Node, left: Duration) {
    node.shared.call_end.set(Instant::now() + left);
}

/// The node that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stopping {
    /// The node that the caller calls.
    Caller,
    /// The node beside the backend server.
    Server,
    /// One node that is both.
    Both,
}

/// Returns the node that stops and the node that is called.
fn choose(stopping: Stopping, near: Node, far: Node) -> (Node, Node, bool) {
    match stopping {
        Stopping::Caller => (near, far, true),
        Stopping::Server | Stopping::Both => (far, near, stopping == Stopping::Both),
    }
}

/// A call whose time limit ends after the node has to must not be taken: it would be broken off.
#[parameterized(
    caller = { Stopping::Caller },
    server = { Stopping::Server },
    both = { Stopping::Both },
)]
#[test_macro(tokio::test)]
async fn too_long(stopping: Stopping) {
    let (near, far, run_log) = spawn_pair(6).await;
    let (stopped, other, is_called) = choose(stopping, near, far);
    let called = if is_called { &stopped } else { &other };
    stop_within(&stopped, 2_000 * MS);
    let started = Instant::now();
    let answer = post(called.outbound.address(), "long", 2_100 * MS, ROUTE_TIMEOUT).await;
    assert_eq!(
        (answer.status, answer.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert!(started.elapsed() < 500 * MS, "{:?}", started.elapsed());
    if is_called {
        assert_eq!(answer.headers[header::CONNECTION], "close");
    }
    assert!(run_log.entries().is_empty());
    // A call whose time limit ends before is taken.
    let answer = post(called.outbound.address(), "short", 100 * MS, 1_500 * MS).await;
    assert_eq!(answer.status, StatusCode::OK);
}

/// Calls of a route that is known to be short must not be refused for its long time limit.
#[parameterized(
    caller = { Stopping::Caller },
    server = { Stopping::Server },
    both = { Stopping::Both },
)]
#[test_macro(tokio::test)]
async fn known_to_be_short(stopping: Stopping) {
    let (near, far, _run_log) = spawn_pair(6).await;
    let (stopped, other, is_called) = choose(stopping, near, far);
    let called = if is_called { &stopped } else { &other };
    for _ in 0..120 {
        let answer = post(called.outbound.address(), "r", 5 * MS, ROUTE_TIMEOUT).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    stop_within(&stopped, 1_000 * MS);
    let answer = post(called.outbound.address(), "late", 5 * MS, ROUTE_TIMEOUT).await;
    assert_eq!(answer.status, StatusCode::OK);
    tokio::time::sleep(960 * MS).await;
    let answer = post(called.outbound.address(), "last", 5 * MS, ROUTE_TIMEOUT).await;
    assert_ne!(answer.verdict(), "may-have-run");
}

/// A call that is running when the calls of its node have to end must not be left without an answer.
#[parameterized(
    caller = { Stopping::Caller, false },
    server = { Stopping::Server, false },
    both = { Stopping::Both, false },
    keyed = { Stopping::Both, true },
)]
#[test_macro(tokio::test)]
async fn running_at_end(stopping: Stopping, is_keyed: bool) {
    let (near, far, run_log) = spawn_pair(6).await;
    let (stopped, other, is_called) = choose(stopping, near, far);
    let called = if is_called { &stopped } else { &other };
    let mut headers = vec![("x-request", "r1"), ("x-work-ms", "4000")];
    headers.extend(is_keyed.then_some(("idempotency-key", "k1")));
    let calling = call(
        called.outbound.address(),
        Method::POST,
        "/jobs/1",
        &headers,
        Bytes::new(),
    );
    let ending = async {
        wait_for_run(&run_log, |run| run.request == "r1").await;
        stop_within(&stopped, 300 * MS);
    };
    let started = Instant::now();
    let (answer, ()) = tokio::join!(calling, ending);
    let answer = answer.unwrap();
    assert_eq!(
        (answer.status, answer.verdict()),
        (StatusCode::BAD_GATEWAY, "may-have-run")
    );
    assert!(started.elapsed() < 1_500 * MS, "{:?}", started.elapsed());
    assert_eq!(stopped.shared.call_end.cut_off(), 1);
}

/// A call that waits for a slot when the calls of its node have to end has not run, and its caller
/// must be told so.
#[tokio::test]
async fn waiting_at_end() {
    let (_near, far, run_log) = spawn_pair(1).await;
    let address = far.outbound.address();
    let first = post(address, "r1", 4_000 * MS, ROUTE_TIMEOUT);
    let second = async {
        wait_for_run(&run_log, |run| run.request == "r1").await;
        post(address, "r2", 10 * MS, ROUTE_TIMEOUT).await
    };
    let ending = async {
        wait_for_run(&run_log, |run| run.request == "r1").await;
        tokio::time::sleep(100 * MS).await;
        node::node::end_calls(&far.shared, &far.inbound, &far.outbound, 600 * MS).await
    };
    stop_within(&far, ROUTE_TIMEOUT + 100 * MS);
    let (_, second, _) = tokio::join!(tokio::time::timeout(1_000 * MS, first), second, ending);
    assert_eq!(second.verdict(), "not-run", "{second:?}");
    assert!(run_log.entries().iter().all(|run| run.request == "r1"));
}

/// A call that gets its slot only when it can't end any more must not be started.
#[tokio::test]
async fn slot_too_late() {
    let (_near, far, run_log) = spawn_pair(1).await;
    let address = far.outbound.address();
    let first = post(address, "r1", 200 * MS, ROUTE_TIMEOUT);
    let second = async {
        wait_for_run(&run_log, |run| run.request == "r1").await;
        post(address, "r2", 900 * MS, ROUTE_TIMEOUT).await
    };
    let stopping = async {
        wait_for_run(&run_log, |run| run.request == "r1").await;
        tokio::time::sleep(50 * MS).await;
        stop_within(&far, 700 * MS);
    };
    let (first, second, ()) = tokio::join!(first, second, stopping);
    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(second.verdict(), "not-run", "{second:?}");
    assert!(run_log.entries().iter().all(|run| run.request == "r1"));
}

/// A caller whose body is still on its way when calls have to end must be told that its call has
/// not run.
#[tokio::test]
async fn body_on_its_way() {
    let (near, _far, run_log) = spawn_pair(6).await;
    let mut caller = TcpStream::connect(near.outbound.address()).await.unwrap();
    let head =
        "POST /jobs/1 HTTP/1.1\r\nhost: m\r\nx-request: r1\r\ncontent-length: 10\r\n\r\nhalf";
    caller.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(50 * MS).await;
    stop_within(&near, 200 * MS);
    let mut answer = String::new();
    let reading = caller.read_to_string(&mut answer);
    tokio::time::timeout(1_000 * MS, reading)
        .await
        .expect("the call is answered in time")
        .unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
    assert!(run_log.entries().is_empty());
}

/// The backend server's nested calls must be served for as long as it runs the calls that make them.
#[tokio::test]
async fn nested_call() {
    let (near, far, run_log) = spawn_pair(6).await;
    let limit = 3_000 * MS;
    stop_within(&far, limit);
    let parent = post(near.outbound.address(), "parent", 2_000 * MS, 2_500 * MS);
    let nested = async {
        wait_for_run(&run_log, |run| run.request == "parent").await;
        // The stand-in doesn't call by itself; this is the call that it would make.
        tokio::time::sleep(node::outbound::lame_duck_duration(limit) + 300 * MS).await;
        TcpStream::connect(far.outbound.address()).await
    };
    let ending = async {
        wait_for_run(&run_log, |run| run.request == "parent").await;
        node::node::end_calls(&far.shared, &far.inbound, &far.outbound, limit).await
    };
    let (parent, nested, remaining) = tokio::join!(parent, nested, ending);
    assert_eq!(parent.status, StatusCode::OK);
    assert!(nested.is_ok(), "{nested:?}");
    assert_eq!(remaining, (0, 0));
}
