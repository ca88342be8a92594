//! Responses that nobody reads: of peers that have died, and of live peers that have stalled.

use crate::mesh::{Node, bind, call, spawn_node, spawn_server, wait_for_run};
use crate::raw_peer::{encode, make_request, open_link, read_frame};
use bytes::Bytes;
use config::{Class, Repeat};
use http::{Method, StatusCode};
use standin::record::{Outcome, RunLog};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::call::Frame;
use wire::codec;

/// Size in bytes of a response that the node holds in full.
const SHORT_RESPONSE_BYTES: usize = 200_000;

/// Size in bytes of a response that exceeds all buffers on its way.
const LONG_RESPONSE_BYTES: usize = 40 << 20;

/// Longest time that an unread response may hold a slot or delay a stop.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time added to the limits of these tests for a busy machine.
const MARGIN: Duration = Duration::from_secs(2);

/// Starts a node for callers and a node whose backend server has one slot. Returns both nodes and
/// the run log of the backend server.
async fn spawn_pair() -> (Node, Node, RunLog) {
    let (address, run_log) = spawn_server(1).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 1);
    for node in [&near, &far] {
        let endpoints = [far.endpoint("jobs", far.nodes_address)];
        node.set_route_of_class(Class::Commit, "jobs", Repeat::Never, &endpoints);
    }
    (near, far, run_log)
}

/// Repeats a call until it succeeds; returns how long that took. Panics if that takes longer than
/// `limit`.
async fn wait_slot(address: SocketAddr, limit: Duration) -> Duration {
    let start = Instant::now();
    while start.elapsed() < limit {
        let headers = [("bluebellpick-timeout-ms", "300")];
        let answer = call(address, Method::POST, "/jobs/1", &headers, Bytes::new());
        if answer.await.unwrap().status == StatusCode::OK {
            return start.elapsed();
        }
    }
    panic!("no slot within {limit:?}");
}

/// The state of a peer in the middle of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerState {
    /// Its process was killed.
    Killed,
    /// It is alive and reads nothing more.
    Stalled,
}

// Regression: a node was killed while a large response was being sent to it. 65,296 bytes of the
// response remained unread at the node next to the backend server, and the slot remained taken for
// 32 s. Only the reader of a response grants credit, and the wait for credit ended 30 s after the
// deadline of the call, which is how long a commit may run past its deadline. A stop of the node
// next to the backend server was delayed by as much, without a `cut_off` line in its log.
#[yare::parameterized(
    killed_short = { PeerState::Killed, SHORT_RESPONSE_BYTES, Duration::ZERO },
    stalled_short = { PeerState::Stalled, SHORT_RESPONSE_BYTES, Duration::ZERO },
    killed_long = { PeerState::Killed, LONG_RESPONSE_BYTES, STALL_TIMEOUT },
    stalled_long = { PeerState::Stalled, LONG_RESPONSE_BYTES, STALL_TIMEOUT },
)]
#[test_macro(tokio::test)]
async fn slot_freed(state: PeerState, answer_bytes: usize, limit: Duration) {
    let (near, far, run_log) = spawn_pair().await;
    let peer = spawn_node("peer").await;
    let mut stream = open_link(&peer, &far).await;
    let request = make_request(&peer, Class::Commit, answer_bytes, 1_000);
    stream
        .write_all(&encode(Frame::Request(request)))
        .await
        .unwrap();
    let Frame::Answer(_) = read_frame(&mut stream).await else {
        panic!("no answer");
    };
    wait_for_run(&run_log, |run| run.outcome == Outcome::Completed).await;
    if state == PeerState::Killed {
        drop(stream);
    }
    let took = wait_slot(near.outbound.address(), limit + MARGIN).await;
    println!("{state:?}, {answer_bytes} bytes: a slot after {took:?}");
    let stop_start = Instant::now();
    let calls_left = far.inbound.drain(4 * STALL_TIMEOUT).await;
    assert_eq!(calls_left, 0);
    assert!(
        stop_start.elapsed() < STALL_TIMEOUT + MARGIN,
        "{:?}",
        stop_start.elapsed()
    );
}

// A caller stalls in the middle of a response. Regression: the connection of the caller was kept
// open, and the slot of the backend server stayed taken, without any limit if the call entered on
// the backend server's own VM, because nothing limited how long a caller may stall.
#[yare::parameterized(local = { true }, remote = { false })]
#[test_macro(tokio::test)]
async fn caller_reads_nothing(is_local: bool) {
    let (near, far, run_log) = spawn_pair().await;
    let entry = if is_local { &far } else { &near };
    let mut stream = TcpStream::connect(entry.outbound.address()).await.unwrap();
    let request = format!(
        "POST /jobs/1 HTTP/1.1\r\nhost: mesh\r\nx-answer-bytes: {LONG_RESPONSE_BYTES}\r\n\
         bluebellpick-timeout-ms: 60000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    wait_for_run(&run_log, |run| run.outcome == Outcome::Completed).await;
    let other = if is_local { &near } else { &far };
    let took = wait_slot(other.outbound.address(), 2 * STALL_TIMEOUT + MARGIN).await;
    println!("local {is_local}: a slot after {took:?}");
    assert!(took > STALL_TIMEOUT / 2, "a short stall is tolerated");
    drop(stream);
}

// A response was complete in time, but its reader read it only after the deadline, because the
// reader's VM had been paused. Regression: the rest of the response was cut off and the caller was
// told "may have run", although the response was complete.
#[tokio::test]
async fn read_after_deadline() {
    let (_near, far, _run_log) = spawn_pair().await;
    let peer = spawn_node("peer").await;
    let mut stream = open_link(&peer, &far).await;
    let request = make_request(&peer, Class::Lookup, SHORT_RESPONSE_BYTES, 300);
    let id = request.id;
    stream
        .write_all(&encode(Frame::Request(request)))
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let credit = encode(Frame::Credit {
        id,
        bytes: u32::try_from(SHORT_RESPONSE_BYTES).unwrap(),
    });
    stream.write_all(&credit).await.unwrap();
    let mut received = 0;
    loop {
        match read_frame(&mut stream).await {
            Frame::Answer(_) => {}
            Frame::Body { bytes, end, .. } => {
                received += bytes.len();
                if end {
                    break;
                }
            }
            other => panic!("{other:?} after {received} bytes"),
        }
    }
    assert!(received >= SHORT_RESPONSE_BYTES, "{received}");
}

// A backend server restarts. Regression: its node kept the half-closed sockets to the previous
// process until the next call. In a fault experiment, 1 to 6 such sockets were left 2 s after all
// faults had ended.
#[tokio::test]
async fn idle_sockets_closed() {
    let far = spawn_node("far").await;
    let (listener, address) = bind().await;
    far.announce("jobs", address, 1);
    far.set_route_of_class(
        Class::Lookup,
        "jobs",
        Repeat::Never,
        &[far.endpoint("jobs", far.nodes_address)],
    );
    let answering = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.unwrap();
        stream
    };
    let address = far.outbound.address();
    let calling = call(address, Method::GET, "/jobs/1", &[], Bytes::new());
    let (mut stream, answer) = tokio::join!(answering, calling);
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    stream.shutdown().await.unwrap();
    // The close arrives before the next process announces itself.
    tokio::time::sleep(Duration::from_millis(50)).await;
    far.announce("jobs", address, 2);
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(MARGIN, stream.read_to_end(&mut rest)).await;
    ended.expect("the node closes its end").unwrap();
}

// Regression: the process of a peer restarted, and the node kept the socket of the previous link
// half closed (CLOSE-WAIT) for as long as the node remembered the response to a call over it or the
// last link of the peer. A node had up to 4 such sockets for 20 s. Each of them takes a file
// descriptor at the node and is a half-closed connection at the peer.
#[tokio::test]
async fn peer_socket_closed() {
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    let (listener, address) = bind().await;
    near.set_route("jobs", Repeat::Never, &[far.endpoint("jobs", address)]);
    let calling = call(
        near.outbound.address(),
        Method::POST,
        "/jobs/1",
        &[],
        Bytes::new(),
    );
    let serving = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let peer_hello = codec::read_hello(&mut stream).await.unwrap();
        let own_hello = node::nodes::make_hello(&far.shared, peer_hello.link);
        codec::write(&mut stream, &own_hello).await.unwrap();
        while !matches!(read_frame(&mut stream).await, Frame::Request(_)) {}
        drop(listener);
        stream.shutdown().await.unwrap();
        let mut rest = Vec::new();
        tokio::time::timeout(MARGIN, stream.read_to_end(&mut rest))
            .await
            .expect("the other side closes, too")
    };
    let (_answer, ended) = tokio::join!(calling, serving);
    ended.unwrap();
}

// A VM loses power while it sends a large request body. Nothing closes the connection of the VM.
// Regression: the backend server waited for the rest of the body until 30 s after the call's
// deadline, with a slot taken.
#[tokio::test]
async fn incomplete_upload() {
    let (near, far, run_log) = spawn_pair().await;
    let peer = spawn_node("peer").await;
    let mut stream = open_link(&peer, &far).await;
    let mut request = make_request(&peer, Class::Commit, 0, 60_000);
    let id = request.id;
    request.length = 4 << 20;
    request.end = false;
    stream
        .write_all(&encode(Frame::Request(request)))
        .await
        .unwrap();
    let mut sent = 0;
    while sent < 3 << 20 {
        let Frame::Credit { bytes, .. } = read_frame(&mut stream).await else {
            panic!("no credit for the body");
        };
        sent += bytes;
        for chunk in vec![7; bytes as usize].chunks(16 << 10) {
            let body = Frame::Body {
                id,
                bytes: Bytes::copy_from_slice(chunk),
                end: false,
            };
            stream.write_all(&encode(body)).await.unwrap();
        }
    }
    let took = wait_slot(near.outbound.address(), STALL_TIMEOUT + 2 * MARGIN).await;
    println!("a slot after {took:?}");
    let completed = |run: &standin::record::Entry| run.outcome == Outcome::Completed;
    assert_eq!(
        run_log
            .entries()
            .iter()
            .filter(|run| completed(run))
            .count(),
        1
    );
}
