//! Answers that nobody takes: of peers that are gone, and of those that live and don't read.

use crate::mesh::{Node, bind, call, spawn_node, spawn_server, wait_recorded};
use crate::raw_peer::{encode, make_request, open_link, read_frame};
use bytes::Bytes;
use config::{Class, Repeat};
use http::{Method, StatusCode};
use standin::record::{Outcome, Record};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::call::Frame;
use wire::codec;

/// An answer that the node holds whole.
const SHORT: usize = 200_000;

/// An answer that no buffer on the way holds.
const LONG: usize = 40 << 20;

/// Longest time that an answer which nobody takes may hold a slot or a stop.
const TAKE_LIMIT: Duration = Duration::from_secs(5);

/// What a busy machine may add.
const MARGIN: Duration = Duration::from_secs(2);

/// A node beside a backend server with one slot, and one for callers.
async fn spawn_pair() -> (Node, Node, Record) {
    let (address, record) = spawn_server(1).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 1);
    for node in [&near, &far] {
        let endpoints = [far.endpoint("jobs", far.nodes_address)];
        node.set_route_of_class(Class::Commit, "jobs", Repeat::Never, &endpoints);
    }
    (near, far, record)
}

/// Calls again and again until an answer comes; gives how long that took.
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

/// What becomes of a peer in the midst of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// Its process is killed.
    Killed,
    /// It lives and takes nothing more.
    Silent,
}

// Clerks wait for claims that have free slots. A node was killed while a large answer
// was on its way to it; the node beside the backend server had 65,296 bytes of it unread
// from then on, and its slot stayed taken for 32 s: room for more is given by the reader
// alone, and the wait for it ended with the deadline plus the 30 s that a commit may run
// on for. Its own stop waited as long (`Node(3) to end`, no `cut_off` line).
#[yare::parameterized(
    killed_short = { Fate::Killed, SHORT, Duration::ZERO },
    silent_short = { Fate::Silent, SHORT, Duration::ZERO },
    killed_long = { Fate::Killed, LONG, TAKE_LIMIT },
    silent_long = { Fate::Silent, LONG, TAKE_LIMIT },
)]
#[test_macro(tokio::test)]
async fn slot_freed(fate: Fate, answer: usize, limit: Duration) {
    let (near, far, record) = spawn_pair().await;
    let peer = spawn_node("peer").await;
    let mut stream = open_link(&peer, &far).await;
    let request = make_request(&peer, Class::Commit, answer, 1_000);
    stream
        .write_all(&encode(Frame::Request(request)))
        .await
        .unwrap();
    let Frame::Answer(_) = read_frame(&mut stream).await else {
        panic!("no answer");
    };
    wait_recorded(&record, |run| run.outcome == Outcome::Completed).await;
    if fate == Fate::Killed {
        drop(stream);
    }
    let took = wait_slot(near.outbound.address(), limit + MARGIN).await;
    println!("{fate:?}, {answer} bytes: a slot after {took:?}");
    let stop = Instant::now();
    let left = far.inbound.drain(4 * TAKE_LIMIT).await;
    assert_eq!(left, 0);
    assert!(stop.elapsed() < TAKE_LIMIT + MARGIN, "{:?}", stop.elapsed());
}

// A rider's browser stands still in the midst of an answer. Its connection was kept and
// the slot of the backend server with it, for good where the caller's node is the one
// beside the server: nothing bounds how long a caller may take nothing.
#[yare::parameterized(local = { true }, remote = { false })]
#[test_macro(tokio::test)]
async fn caller_reads_nothing(is_local: bool) {
    let (near, far, record) = spawn_pair().await;
    let entry = if is_local { &far } else { &near };
    let mut stream = TcpStream::connect(entry.outbound.address()).await.unwrap();
    let request = format!(
        "POST /jobs/1 HTTP/1.1\r\nhost: mesh\r\nx-answer-bytes: {LONG}\r\n\
         bluebellpick-timeout-ms: 60000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    wait_recorded(&record, |run| run.outcome == Outcome::Completed).await;
    let other = if is_local { &near } else { &far };
    let took = wait_slot(other.outbound.address(), 2 * TAKE_LIMIT + MARGIN).await;
    println!("local {is_local}: a slot after {took:?}");
    assert!(took > TAKE_LIMIT / 2, "a short stall is borne");
    drop(stream);
}

// An answer was whole in time, and its reader came to it only after the deadline, as its
// VM had stood still: the rest was cut off, and the caller told "may have run", although
// all was there.
#[tokio::test]
async fn delivered_late() {
    let (_near, far, _record) = spawn_pair().await;
    let peer = spawn_node("peer").await;
    let mut stream = open_link(&peer, &far).await;
    let request = make_request(&peer, Class::Lookup, SHORT, 300);
    let id = request.id;
    stream
        .write_all(&encode(Frame::Request(request)))
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let room = encode(Frame::Credit {
        id,
        bytes: u32::try_from(SHORT).unwrap(),
    });
    stream.write_all(&room).await.unwrap();
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
    assert!(received >= SHORT, "{received}");
}

// A backend server is restarted, and its node holds the sockets of the former process half
// closed for as long as no call comes: 1 to 6 of them 2 s after all faults had ended.
#[tokio::test]
async fn idle_closed() {
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
    let own = far.outbound.address();
    let calling = call(own, Method::GET, "/jobs/1", &[], Bytes::new());
    let (mut stream, answer) = tokio::join!(answering, calling);
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    stream.shutdown().await.unwrap();
    // The close is there before the next process announces itself.
    tokio::time::sleep(Duration::from_millis(50)).await;
    far.announce("jobs", address, 2);
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(MARGIN, stream.read_to_end(&mut rest)).await;
    ended.expect("the node closes its end").unwrap();
}

// A peer's process was restarted, and the socket of the former link stayed half closed
// (CLOSE-WAIT) for as long as a call's answer or the peer's last link was remembered:
// up to 4 of them at a node for 20 s, each a descriptor here and a half-closed
// connection there.
#[tokio::test]
async fn socket_closed() {
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
        let theirs = codec::read_hello(&mut stream).await.unwrap();
        let own = node::nodes::make_hello(&far.shared, theirs.link);
        codec::write(&mut stream, &own).await.unwrap();
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

// A VM loses power in the midst of a large form that one of its clerks sends. Nothing
// ends its connection, and the backend server waited for the rest with a slot until the
// call's deadline and 30 s more.
#[tokio::test]
async fn upload_without_end() {
    let (near, far, record) = spawn_pair().await;
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
            panic!("no room for the body");
        };
        sent += bytes;
        for part in vec![7; bytes as usize].chunks(16 << 10) {
            let body = Frame::Body {
                id,
                bytes: Bytes::copy_from_slice(part),
                end: false,
            };
            stream.write_all(&encode(body)).await.unwrap();
        }
    }
    let took = wait_slot(near.outbound.address(), TAKE_LIMIT + 2 * MARGIN).await;
    println!("a slot after {took:?}");
    let completed = |run: &standin::record::Entry| run.outcome == Outcome::Completed;
    assert_eq!(
        record.entries().iter().filter(|run| completed(run)).count(),
        1
    );
}
