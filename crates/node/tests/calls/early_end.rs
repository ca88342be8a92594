//! Calls that end early: cancelled, past the deadline, broken off, or refused by a leaving
//! server.

use crate::forward::{Forwarder, Mode};
use crate::mesh::{Answer, Node, bind, call, spawn_node, spawn_server, wait_for_run};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use standin::record::{Outcome, RunLog};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Starts a node for callers and a node whose backend server has one slot. Returns both nodes and
/// the run log of the backend server.
async fn spawn_pair() -> (Node, Node, RunLog) {
    let (address, run_log) = spawn_server(1).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 1);
    near.set_route(
        "jobs",
        Repeat::Never,
        &[far.endpoint("jobs", far.nodes_address)],
    );
    far.set_route(
        "jobs",
        Repeat::Never,
        &[far.endpoint("jobs", far.nodes_address)],
    );
    (near, far, run_log)
}

async fn post(address: SocketAddr, request: &str, work_ms: &str, timeout_ms: &str) -> Answer {
    let headers = [
        ("x-request", request),
        ("x-work-ms", work_ms),
        ("bluebellpick-timeout-ms", timeout_ms),
    ];
    call(address, Method::POST, "/jobs/1", &headers, Bytes::new())
        .await
        .unwrap()
}

/// The node that a caller connects to: `Far` is the node next to the backend server, `Near` the
/// other node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryNode {
    Near,
    Far,
}

fn entry_address(entry: EntryNode, near: &Node, far: &Node) -> SocketAddr {
    match entry {
        EntryNode::Near => near.outbound.address(),
        EntryNode::Far => far.outbound.address(),
    }
}

// The node of a service's only backend server restarts, and the backend server keeps running.
// Regression: the node refused calls from all other nodes from the start of its stop, although it
// served its own callers for another second. During that second, the node must accept calls from
// other nodes as well, and break none of them off.
#[tokio::test]
async fn last_endpoint_restarts() {
    let (near, far, run_log) = spawn_pair().await;
    let limit = Duration::from_secs(4);
    let ending = node::node::end_calls(&far.shared, &far.inbound, &far.outbound, limit);
    let calling = async {
        let mut answered = 0;
        while !*far.shared.leaving.borrow() {
            let answer = post(near.outbound.address(), "r", "10", "1000").await;
            answered += u32::from(answer.status == StatusCode::OK);
        }
        let late = post(near.outbound.address(), "late", "10", "1000").await;
        (answered, late)
    };
    let (remaining, (answered, late)) = tokio::join!(ending, calling);
    assert_eq!(remaining, (0, 0));
    assert!(answered > 20, "{answered}");
    assert_eq!(late.verdict(), "not-run");
    assert!(run_log.entries().iter().all(|run| run.request == "r"));
}

// A call crosses the announcement that the node it was sent to leaves. It must be refused as "not
// run" before the process of that node ends; otherwise its sender can't know whether it ran.
#[tokio::test]
async fn crosses_announcement() {
    let (near, far, run_log) = spawn_pair().await;
    let forwarder = Forwarder::spawn(far.nodes_address).await;
    let endpoint = far.endpoint("jobs", forwarder.address);
    near.set_route("jobs", Repeat::Never, &[endpoint]);
    // Establishes the link.
    let warm = post(near.outbound.address(), "warm", "0", "3000").await;
    assert_eq!(warm.status, StatusCode::OK);
    let ending = async {
        let limit = Duration::from_secs(4);
        let ended = node::node::end_calls(&far.shared, &far.inbound, &far.outbound, limit).await;
        forwarder.close();
        ended
    };
    let arriving = async {
        let mut leaving = far.shared.leaving.subscribe();
        leaving.wait_for(|leaving| *leaving).await.unwrap();
        // A call takes this long from one region to another.
        tokio::time::sleep(Duration::from_millis(35)).await;
        forwarder.set_modes(Mode::Pass, Mode::Pass);
    };
    let calling = async {
        // The call is held back for less time than after which its link counts as silent.
        tokio::time::sleep(Duration::from_millis(700)).await;
        forwarder.set_modes(Mode::Hold, Mode::Hold);
        post(near.outbound.address(), "crossing", "0", "3000").await
    };
    let (remaining, answer, ()) = tokio::join!(ending, calling, arriving);
    assert_eq!(
        (answer.status, answer.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert_eq!(remaining, (0, 0));
    assert!(run_log.entries().iter().all(|run| run.request == "warm"));
}

// A caller disconnects while its call runs. The backend server must be notified and stop the work,
// whichever node the call entered on.
#[yare::parameterized(remote = { EntryNode::Near }, local = { EntryNode::Far })]
#[test_macro(tokio::test)]
async fn cancelled(entry: EntryNode) {
    let (near, far, run_log) = spawn_pair().await;
    let address = entry_address(entry, &near, &far);
    let mut caller = TcpStream::connect(address).await.unwrap();
    let head = "POST /jobs/1 HTTP/1.1\r\nhost: m\r\nx-request: r1\r\nx-work-ms: 4000\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    wait_for_run(&run_log, |run| run.request == "r1").await;
    drop(caller);
    wait_for_run(&run_log, |run| run.outcome == Outcome::Cancelled).await;
    assert_eq!(far.inbound.drain(Duration::from_secs(1)).await, 0);
}

// The deadline of a call passes while the call runs, and the deadline of another call while that
// call waits for the slot. Each call must be answered at its deadline, and only the waiting call
// with "not run".
#[yare::parameterized(remote = { EntryNode::Near }, local = { EntryNode::Far })]
#[test_macro(tokio::test)]
async fn deadline(entry: EntryNode) {
    let (near, far, run_log) = spawn_pair().await;
    let address = entry_address(entry, &near, &far);
    let started = Instant::now();
    let running = tokio::spawn(async move { post(address, "r1", "4000", "400").await });
    wait_for_run(&run_log, |run| run.request == "r1").await;
    let waited = post(address, "r2", "0", "200").await;
    assert_eq!(
        (waited.status, waited.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert!(waited.headers.contains_key("retry-after"));
    let ran = running.await.unwrap();
    assert!(
        started.elapsed() < Duration::from_millis(600),
        "responded late"
    );
    // The backend server's own response at its deadline, or the inbound proxy's.
    assert_eq!(ran.status, StatusCode::GATEWAY_TIMEOUT);
    assert_ne!(ran.verdict(), "not-run");
    assert!(run_log.entries().iter().all(|run| run.request != "r2"));
}

// A backend server announces that it leaves, or its node is stopped, while a call runs and another
// call waits. New calls and the waiting call must be refused immediately as "not run" and run on
// another backend server; the running call must not be broken off.
#[yare::parameterized(backend_server = { false }, node = { true })]
#[test_macro(tokio::test)]
async fn leaving(node: bool) {
    let (near, far, run_log) = spawn_pair().await;
    let address = near.outbound.address();
    let running = tokio::spawn(async move { post(address, "r1", "500", "3000").await });
    wait_for_run(&run_log, |run| run.request == "r1").await;
    let (other_address, other_run_log) = spawn_server(1).await;
    let other = spawn_node("other").await;
    other.announce("jobs", other_address, 1);
    let endpoints = [
        far.endpoint("jobs", far.nodes_address),
        other.endpoint("jobs", other.nodes_address),
    ];
    let waiting = tokio::spawn(async move { post(address, "r2", "0", "3000").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    near.set_route("jobs", Repeat::Never, &endpoints);
    if node {
        far.shared.leaving.send_replace(true);
    } else {
        far.shared
            .backend
            .send_modify(|backend| backend.as_mut().unwrap().leaving = true);
    }
    let started = Instant::now();
    for index in 0..8 {
        let answer = post(address, &format!("new-{index}"), "0", "3000").await;
        assert_eq!((answer.status, answer.verdict()), (StatusCode::OK, "ran"));
    }
    assert_eq!(waiting.await.unwrap().status, StatusCode::OK);
    assert!(
        started.elapsed() < Duration::from_millis(300),
        "waited for the leaving server"
    );
    assert_eq!(far.inbound.drain(Duration::from_secs(2)).await, 0);
    assert_eq!(running.await.unwrap().status, StatusCode::OK);
    assert_eq!(run_log.entries().len(), 1);
    assert_eq!(other_run_log.entries().len(), 9);
}

// The time limit of a graceful stop ends the wait for a running call.
#[tokio::test]
async fn drain_limit() {
    let (near, far, run_log) = spawn_pair().await;
    let address = near.outbound.address();
    let running = tokio::spawn(async move { post(address, "r1", "900", "3000").await });
    wait_for_run(&run_log, |run| run.request == "r1").await;
    assert_eq!(far.inbound.drain(Duration::from_millis(100)).await, 1);
    assert_eq!(running.await.unwrap().status, StatusCode::OK);
    assert_eq!(far.inbound.drain(Duration::from_secs(1)).await, 0);
}

// A node stops while callers keep connections to it. The response in flight must be complete and
// announce that the connection ends; then the connection must be closed.
#[tokio::test]
async fn connections_closed() {
    let (near, _far, run_log) = spawn_pair().await;
    let mut caller = TcpStream::connect(near.outbound.address()).await.unwrap();
    let head = "POST /jobs/1 HTTP/1.1\r\nhost: m\r\nx-request: r1\r\nx-work-ms: 300\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    wait_for_run(&run_log, |run| run.request == "r1").await;
    assert_eq!(near.outbound.drain(Duration::from_secs(5)).await, 0);
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.contains("\"request\":\"r1\""), "{answer}");
}

// A caller connects to a node that is being stopped, and its request is in transit when the node
// closes its listener. The caller must get the complete response. Regression: the node closed the
// connection, and the caller couldn't tell whether the call had run.
#[tokio::test]
async fn stopped_after_connect() {
    let (near, _far, _run_log) = spawn_pair().await;
    let address = near.outbound.address();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let calling = async {
        while TcpStream::connect(address).await.is_ok() {
            // Until the node has closed its listener.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let head = "POST /jobs/1 HTTP/1.1\r\nhost: m\r\nx-request: r1\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(head.as_bytes()).await.unwrap();
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        answer
    };
    let (remaining, answer) = tokio::join!(near.outbound.drain(Duration::from_secs(5)), calling);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert_eq!(remaining, 0);
}

// A backend server dies in the middle of a response. The caller must see that the response is
// truncated.
#[yare::parameterized(
    remote_length = { EntryNode::Near, "content-length: 1000" },
    remote_chunked = { EntryNode::Near, "transfer-encoding: chunked" },
    local_length = { EntryNode::Far, "content-length: 1000" },
    local_chunked = { EntryNode::Far, "transfer-encoding: chunked" },
)]
#[test_macro(tokio::test)]
async fn truncated_response(entry: EntryNode, framing: &'static str) {
    let (near, far, _run_log) = spawn_pair().await;
    let (listener, address) = bind().await;
    far.announce("jobs", address, 1);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        let _head = stream.read(&mut head).await.unwrap();
        let half = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n5\r\nhello\r\n");
        stream.write_all(half.as_bytes()).await.unwrap();
    });
    let address = entry_address(entry, &near, &far);
    let answer = call(address, Method::GET, "/jobs/1", &[], Bytes::new()).await;
    assert!(answer.is_err(), "{answer:?}");
}

// A backend server dies before it responds. The caller must be told that the call may have run.
#[yare::parameterized(remote = { EntryNode::Near }, local = { EntryNode::Far })]
#[test_macro(tokio::test)]
async fn connection_broken(entry: EntryNode) {
    let (near, far, _run_log) = spawn_pair().await;
    let (listener, address) = bind().await;
    far.announce("jobs", address, 1);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        let _head = stream.read(&mut head).await.unwrap();
        drop(stream);
        drop(listener);
    });
    let address = entry_address(entry, &near, &far);
    let first = post(address, "r1", "0", "1000").await;
    assert_eq!(
        (first.status, first.verdict()),
        (StatusCode::BAD_GATEWAY, "may-have-run")
    );
    // Nothing listens at the address any more, so the request was not sent.
    let second = post(address, "r2", "0", "1000").await;
    assert_eq!(
        (second.status, second.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
}

// The only backend server of a service leaves. Regression: all callers of the service were told to
// retry after a millisecond, and retried in lockstep for the whole restart. A leaving server has no
// measured wait time to report, and the outbound proxy passed the value from that server on to
// callers.
#[yare::parameterized(leaving = { true }, gone = { false })]
#[test_macro(tokio::test)]
async fn retry_after_spread(is_leaving: bool) {
    let (near, far, _run_log) = spawn_pair().await;
    if is_leaving {
        let backend = &far.shared.backend;
        backend.send_modify(|backend| backend.as_mut().unwrap().leaving = true);
    } else {
        let (closed, address) = bind().await;
        drop(closed);
        near.set_route("jobs", Repeat::Never, &[far.endpoint("jobs", address)]);
    }
    let mut waits = Vec::new();
    for index in 0..20 {
        let address = near.outbound.address();
        let answer = post(address, &format!("r{index}"), "0", "1000").await;
        assert_eq!(answer.verdict(), "not-run");
        let header = &answer.headers["bluebellpick-retry-after-ms"];
        waits.push(header.to_str().unwrap().parse::<u64>().unwrap());
        assert_eq!(answer.headers["retry-after"], "1");
    }
    assert!(
        waits.iter().all(|wait| (500..=1_000).contains(wait)),
        "{waits:?}"
    );
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 10, "in lockstep: {waits:?}");
}

// A backend server restarts while its node keeps running. Calls must reach the server again once it
// is back. Regression: the server stayed idle while the other backend servers were full, because a
// backend server that had once announced that it leaves was never tried again.
#[tokio::test]
async fn backend_returns() {
    let (near, far, run_log) = spawn_pair().await;
    let address = near.outbound.address();
    assert_eq!(
        post(address, "before", "0", "1000").await.status,
        StatusCode::OK
    );
    let set_leaving = |leaving: bool| {
        let backend = &far.shared.backend;
        backend.send_modify(|backend| backend.as_mut().unwrap().leaving = leaving);
    };
    set_leaving(true);
    let refused = post(address, "while", "0", "1000").await;
    assert_eq!(
        (refused.status, refused.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    set_leaving(false);
    // Installs the view that says that the backend server is back.
    near.set_route(
        "jobs",
        Repeat::Never,
        &[far.endpoint("jobs", far.nodes_address)],
    );
    let mut after = post(address, "after", "0", "1000").await;
    for _ in 0..100 {
        if after.status == StatusCode::OK {
            break;
        }
        after = post(address, "after", "0", "1000").await;
    }
    assert_eq!(after.status, StatusCode::OK);
    assert_eq!(run_log.entries().len(), 2);
}

/// Headers by which a backend server states that it hasn't started the call. `OWN` stands for the
/// id of the call.
const NOT_RUN_HEADERS: &str = "bluebellpick-verdict: not-run\r\nbluebellpick-call: OWN\r\n";

/// Headers that state the same about another call.
const FORWARDED_HEADERS: &str =
    "bluebellpick-verdict: not-run\r\nbluebellpick-call: 00000000000000aa-1\r\n";

/// Starts a backend server that sheds each call with `status`, and adds `header` to its response.
async fn spawn_shedding(status: u16, header: &'static str) -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 2_048];
            let length = stream.read(&mut head).await.unwrap();
            let head = String::from_utf8_lossy(&head[..length]);
            let mut lines = head.lines();
            let call = lines.find_map(|line| line.strip_prefix("bluebellpick-call: "));
            let header = header.replace("OWN", call.unwrap());
            let answer = format!("HTTP/1.1 {status} Busy\r\n{header}content-length: 4\r\n\r\nbusy");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    address
}

// A full backend server sheds a call. If it states that it hasn't started the call, the call must
// run on another backend server. Without that statement, the caller must be told that the call may
// have run, and the call must not be retried. The same holds if the backend server forwards such a
// statement about a nested call, after work of its own.
#[yare::parameterized(
    stated_remote = { EntryNode::Near, 503, NOT_RUN_HEADERS, 200, "ran", 1 },
    stated_local = { EntryNode::Far, 503, NOT_RUN_HEADERS, 200, "ran", 1 },
    unstated_remote = { EntryNode::Near, 503, "", 503, "may-have-run", 0 },
    unstated_local = { EntryNode::Far, 503, "", 503, "may-have-run", 0 },
    forwarded_remote = { EntryNode::Near, 503, FORWARDED_HEADERS, 503, "may-have-run", 0 },
    forwarded_local = { EntryNode::Far, 503, FORWARDED_HEADERS, 503, "may-have-run", 0 },
    without_call_id = { EntryNode::Near, 503, "bluebellpick-verdict: not-run\r\n", 503, "may-have-run", 0 },
    failed_after = { EntryNode::Near, 500, FORWARDED_HEADERS, 500, "ran", 0 },
)]
#[test_macro(tokio::test)]
async fn shed(
    entry: EntryNode,
    backend_status: u16,
    header: &'static str,
    status: u16,
    verdict: &str,
    runs: usize,
) {
    let (near, far, _run_log) = spawn_pair().await;
    far.announce("jobs", spawn_shedding(backend_status, header).await, 1);
    let other = spawn_node("other").await;
    let (server, run_log) = spawn_server(1).await;
    other.announce("jobs", server, 1);
    // The spare endpoint is in another region, so that it isn't the first choice.
    let mut spare = other.endpoint("jobs", other.nodes_address);
    spare.region = "jb".into();
    for node in [&near, &far] {
        let endpoints = [far.endpoint("jobs", far.nodes_address), spare.clone()];
        node.set_route("jobs", Repeat::Never, &endpoints);
    }
    let got = post(entry_address(entry, &near, &far), "r1", "0", "2000").await;
    assert_eq!((got.status.as_u16(), got.verdict()), (status, verdict));
    assert_eq!(run_log.entries().len(), runs);
}
