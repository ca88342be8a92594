//! How calls end early: cancelled, late, cut off, or refused by one that leaves.

use crate::mesh::{Answer, Node, bind, call, spawn_node, spawn_server, wait_recorded};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use standin::record::{Outcome, Record};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A node for callers, one whose backend server has one slot, and where that one listens.
async fn spawn_pair() -> (Node, Node, Record) {
    let (address, record) = spawn_server(1).await;
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
    (near, far, record)
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

/// Which node a caller uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    Near,
    Far,
}

fn entry_of(entry: Entry, near: &Node, far: &Node) -> SocketAddr {
    match entry {
        Entry::Near => near.outbound.address(),
        Entry::Far => far.outbound.address(),
    }
}

// The node beside the last backend server of a service is restarted, and the backend
// server stays. Callers of all other nodes were refused from the first instant on,
// though the node went on for another second with its own callers. It must take
// the calls of others for as long, and end with none cut off.
#[tokio::test]
async fn last_of_service_restarts() {
    let (near, far, record) = spawn_pair().await;
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
    let (left, (answered, late)) = tokio::join!(ending, calling);
    assert_eq!(left, (0, 0));
    assert!(answered > 20, "{answered}");
    assert_eq!(late.verdict(), "not-run");
    assert!(record.entries().iter().all(|run| run.request == "r"));
}

// A clerk closes the page while a job is being booked. The backend server must
// learn of it and stop, whichever node the clerk's call came in by.
#[yare::parameterized(remote = { Entry::Near }, local = { Entry::Far })]
#[test_macro(tokio::test)]
async fn cancelled(entry: Entry) {
    let (near, far, record) = spawn_pair().await;
    let address = entry_of(entry, &near, &far);
    let mut caller = TcpStream::connect(address).await.unwrap();
    let head = "POST /jobs/1 HTTP/1.1\r\nhost: m\r\nx-request: r1\r\nx-work-ms: 4000\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    wait_recorded(&record, |run| run.request == "r1").await;
    drop(caller);
    wait_recorded(&record, |run| run.outcome == Outcome::Cancelled).await;
    assert_eq!(far.inbound.drain(Duration::from_secs(1)).await, 0);
}

// A call's time is over while it runs, and that of another while it waits for
// the slot. Each is told at its deadline, and only the second is "not run".
#[yare::parameterized(remote = { Entry::Near }, local = { Entry::Far })]
#[test_macro(tokio::test)]
async fn deadline(entry: Entry) {
    let (near, far, record) = spawn_pair().await;
    let address = entry_of(entry, &near, &far);
    let started = Instant::now();
    let running = tokio::spawn(async move { post(address, "r1", "4000", "400").await });
    wait_recorded(&record, |run| run.request == "r1").await;
    let waited = post(address, "r2", "0", "200").await;
    assert_eq!(
        (waited.status, waited.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert!(waited.headers.contains_key("retry-after"));
    let ran = running.await.unwrap();
    assert!(started.elapsed() < Duration::from_millis(600), "told late");
    // The backend server's own answer at its deadline, or the inbound proxy's.
    assert_eq!(ran.status, StatusCode::GATEWAY_TIMEOUT);
    assert_ne!(ran.verdict(), "not-run");
    assert!(record.entries().iter().all(|run| run.request != "r2"));
}

// A backend server announces that it leaves, or its node is stopped, while it
// runs a job and another waits. New calls and the one that waits are refused
// at once as "not run" and run elsewhere; the job that runs is not cut off.
#[yare::parameterized(backend_server = { false }, node = { true })]
#[test_macro(tokio::test)]
async fn leaving(node: bool) {
    let (near, far, record) = spawn_pair().await;
    let address = near.outbound.address();
    let running = tokio::spawn(async move { post(address, "r1", "500", "3000").await });
    wait_recorded(&record, |run| run.request == "r1").await;
    let (other_address, other_record) = spawn_server(1).await;
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
            .send_modify(|own| own.as_mut().unwrap().leaving = true);
    }
    let started = Instant::now();
    for index in 0..8 {
        let answer = post(address, &format!("new-{index}"), "0", "3000").await;
        assert_eq!((answer.status, answer.verdict()), (StatusCode::OK, "ran"));
    }
    assert_eq!(waiting.await.unwrap().status, StatusCode::OK);
    assert!(
        started.elapsed() < Duration::from_millis(300),
        "waited for the one that leaves"
    );
    assert_eq!(far.inbound.drain(Duration::from_secs(2)).await, 0);
    assert_eq!(running.await.unwrap().status, StatusCode::OK);
    assert_eq!(record.entries().len(), 1);
    assert_eq!(other_record.entries().len(), 9);
}

// The time limit of a graceful stop ends the wait for a job that goes on.
#[tokio::test]
async fn drain_limit() {
    let (near, far, record) = spawn_pair().await;
    let address = near.outbound.address();
    let running = tokio::spawn(async move { post(address, "r1", "900", "3000").await });
    wait_recorded(&record, |run| run.request == "r1").await;
    assert_eq!(far.inbound.drain(Duration::from_millis(100)).await, 1);
    assert_eq!(running.await.unwrap().status, StatusCode::OK);
    assert_eq!(far.inbound.drain(Duration::from_secs(1)).await, 0);
}

// A node stops while callers keep connections to it. The answer in flight is
// whole and says that the connection ends; then the connection is closed.
#[tokio::test]
async fn callers_told() {
    let (near, _far, record) = spawn_pair().await;
    let mut caller = TcpStream::connect(near.outbound.address()).await.unwrap();
    let head = "POST /jobs/1 HTTP/1.1\r\nhost: m\r\nx-request: r1\r\nx-work-ms: 300\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    wait_recorded(&record, |run| run.request == "r1").await;
    assert_eq!(near.outbound.drain(Duration::from_secs(5)).await, 0);
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.contains("\"request\":\"r1\""), "{answer}");
}

// A caller connects to a node that is stopped for an update, and its request is
// on the way when the node closes. It must get the whole answer: the connection
// was closed under it, and it could not tell whether the call had run.
#[tokio::test]
async fn just_connected() {
    let (near, _far, _record) = spawn_pair().await;
    let address = near.outbound.address();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let asking = async {
        while TcpStream::connect(address).await.is_ok() {
            // Looks on until the node has closed its listener.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let head = "POST /jobs/1 HTTP/1.1\r\nhost: m\r\nx-request: r1\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(head.as_bytes()).await.unwrap();
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        answer
    };
    let (left, answer) = tokio::join!(near.outbound.drain(Duration::from_secs(5)), asking);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert_eq!(left, 0);
}

// A backend server dies half way through an answer. The caller must see that
// it is cut off, not take the half for the whole.
#[yare::parameterized(
    remote_length = { Entry::Near, "content-length: 1000" },
    remote_chunked = { Entry::Near, "transfer-encoding: chunked" },
    local_length = { Entry::Far, "content-length: 1000" },
    local_chunked = { Entry::Far, "transfer-encoding: chunked" },
)]
#[test_macro(tokio::test)]
async fn cut_half_way(entry: Entry, framing: &'static str) {
    let (near, far, _record) = spawn_pair().await;
    let (listener, address) = bind().await;
    far.announce("jobs", address, 1);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        let _head = stream.read(&mut head).await.unwrap();
        let half = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n5\r\nhello\r\n");
        stream.write_all(half.as_bytes()).await.unwrap();
    });
    let address = entry_of(entry, &near, &far);
    let answer = call(address, Method::GET, "/jobs/1", &[], Bytes::new()).await;
    assert!(answer.is_err(), "{answer:?}");
}

// A backend server dies before it answers. The call may have run.
#[yare::parameterized(remote = { Entry::Near }, local = { Entry::Far })]
#[test_macro(tokio::test)]
async fn broke_off(entry: Entry) {
    let (near, far, _record) = spawn_pair().await;
    let (listener, address) = bind().await;
    far.announce("jobs", address, 1);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        let _head = stream.read(&mut head).await.unwrap();
        drop(stream);
        drop(listener);
    });
    let address = entry_of(entry, &near, &far);
    let first = post(address, "r1", "0", "1000").await;
    assert_eq!(
        (first.status, first.verdict()),
        (StatusCode::BAD_GATEWAY, "may-have-run")
    );
    // Nobody listens there any more: nothing was sent.
    let second = post(address, "r2", "0", "1000").await;
    assert_eq!(
        (second.status, second.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
}

// The only backend server of a service leaves, and its callers are told to come
// back after a millisecond, all of them: they hammered the node for as long as
// the restart took, in step. Cause: the one that leaves measures no wait, and
// the outbound proxy passed that on.
#[yare::parameterized(leaving = { true }, gone = { false })]
#[test_macro(tokio::test)]
async fn told_when(is_there: bool) {
    let (near, far, _record) = spawn_pair().await;
    if is_there {
        let own = &far.shared.backend;
        own.send_modify(|own| own.as_mut().unwrap().leaving = true);
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
    assert!(waits.len() > 10, "in step: {waits:?}");
}

// A backend server is restarted for an update while its node stays. Calls must
// reach it again once it is back; it stood idle while the others were full.
// Cause: what had once said that it leaves was never asked again.
#[tokio::test]
async fn back_again() {
    let (near, far, record) = spawn_pair().await;
    let address = near.outbound.address();
    assert_eq!(
        post(address, "before", "0", "1000").await.status,
        StatusCode::OK
    );
    let set_leaving = |leaving: bool| {
        let own = &far.shared.backend;
        own.send_modify(|own| own.as_mut().unwrap().leaving = leaving);
    };
    set_leaving(true);
    let refused = post(address, "while", "0", "1000").await;
    assert_eq!(
        (refused.status, refused.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    set_leaving(false);
    // The news of its return, as the view brings it.
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
    assert_eq!(record.entries().len(), 2);
}

/// A backend server's own word that it has not begun with a call.
const OWN_WORD: &str = "bluebellpick-verdict: not-run\r\nbluebellpick-call: OWN\r\n";

/// The same of another call.
const PASSED_ON: &str =
    "bluebellpick-verdict: not-run\r\nbluebellpick-call: 00000000000000aa-1\r\n";

/// A backend server that sheds each call, and says whether it has begun with it.
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

// A backend server is full and sheds a booking. If it says that it has not
// begun, another one takes it; if it says nothing, the clerk is told that the
// job may have run, and it is not tried again. Nor is it when the backend server
// passes on such words of a call that it made itself, after work of its own.
#[yare::parameterized(
    says_so_remote = { Entry::Near, 503, OWN_WORD, 200, "ran", 1 },
    says_so_local = { Entry::Far, 503, OWN_WORD, 200, "ran", 1 },
    silent_remote = { Entry::Near, 503, "", 503, "may-have-run", 0 },
    silent_local = { Entry::Far, 503, "", 503, "may-have-run", 0 },
    passed_on_remote = { Entry::Near, 503, PASSED_ON, 503, "may-have-run", 0 },
    passed_on_local = { Entry::Far, 503, PASSED_ON, 503, "may-have-run", 0 },
    unnamed = { Entry::Near, 503, "bluebellpick-verdict: not-run\r\n", 503, "may-have-run", 0 },
    failed_after = { Entry::Near, 500, PASSED_ON, 500, "ran", 0 },
)]
#[test_macro(tokio::test)]
async fn shed(
    entry: Entry,
    said: u16,
    header: &'static str,
    status: u16,
    verdict: &str,
    runs: usize,
) {
    let (near, far, _record) = spawn_pair().await;
    far.announce("jobs", spawn_shedding(said, header).await, 1);
    let other = spawn_node("other").await;
    let (server, record) = spawn_server(1).await;
    other.announce("jobs", server, 1);
    // The other one is in another region, so that it is not the first choice.
    let mut spare = other.endpoint("jobs", other.nodes_address);
    spare.region = "jb".into();
    for node in [&near, &far] {
        let endpoints = [far.endpoint("jobs", far.nodes_address), spare.clone()];
        node.set_route("jobs", Repeat::Never, &endpoints);
    }
    let got = post(entry_of(entry, &near, &far), "r1", "0", "2000").await;
    assert_eq!((got.status.as_u16(), got.verdict()), (status, verdict));
    assert_eq!(record.entries().len(), runs);
}
