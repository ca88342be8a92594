//! Connections that the node closes while a request is on the way. The request must be answered, and
//! the answer may be that the request has not run; the connection must not just end.
//!
//! The tests run on one thread and write to a socket between two steps of the node, which forces the
//! order of events.

use crate::mesh::{Node, bind, spawn_node_with_limits, spawn_server};
use config::Repeat;
use std::future::poll_fn;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use store::MemoryStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time limit of a node's drain.
const DRAIN_LIMIT: Duration = Duration::from_millis(600);

/// Margin around a timer, larger than the resolution of the timers and the delays of a busy machine.
const TIMER_MARGIN: Duration = Duration::from_millis(40);

/// Timeout for an answer, long enough for a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

const REQUEST: &[u8] = b"GET /jobs/1 HTTP/1.1\r\nhost: node\r\n\r\n";

/// What a caller receives for a request.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// The connection was refused, so nothing was sent.
    Refused,
    /// A complete answer with this status and verdict.
    Answered(u16, String),
    /// The connection ended without a complete answer.
    Ended,
    /// The connection failed, usually with a reset.
    Failed(io::ErrorKind),
}

impl Outcome {
    fn is_true_answer(&self) -> bool {
        match self {
            Self::Answered(408 | 503, verdict) => verdict == "not-run",
            Self::Answered(status, _) => *status < 500,
            Self::Refused => true,
            Self::Ended | Self::Failed(_) => false,
        }
    }
}

/// A caller whose writes take effect at once, without a step of the node.
#[derive(Debug)]
struct Caller {
    writer: std::net::TcpStream,
    reader: TcpStream,
}

impl Caller {
    /// Connects. The kernel completes the connection, whether the node accepts it or not.
    fn open(address: SocketAddr) -> Self {
        Self::try_open(address).expect("connection refused")
    }

    /// Connects, and returns `None` if the connection is refused.
    fn try_open(address: SocketAddr) -> Option<Self> {
        let connected = std::net::TcpStream::connect(address);
        if let Err(error) = &connected {
            assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused, "{error}");
        }
        let writer = connected.ok()?;
        writer.set_nodelay(true).unwrap();
        writer.set_nonblocking(true).unwrap();
        let reader = TcpStream::from_std(writer.try_clone().unwrap()).unwrap();
        Some(Self { writer, reader })
    }

    fn write(&mut self, bytes: &[u8]) {
        self.writer.write_all(bytes).unwrap();
    }

    async fn read_answer(&mut self) -> Outcome {
        let reading = tokio::time::timeout(ANSWER_TIMEOUT, read_answer(&mut self.reader));
        match reading.await.expect("no answer in time") {
            Ok(Some((status, verdict))) => Outcome::Answered(status, verdict),
            Ok(None) => Outcome::Ended,
            Err(error) => Outcome::Failed(error.kind()),
        }
    }
}

/// Reads the status and the verdict of an answer with a known length. Returns `None` if the
/// connection ends before the end of the answer.
async fn read_answer(stream: &mut TcpStream) -> io::Result<Option<(u16, String)>> {
    let mut answer = Vec::new();
    loop {
        if stream.read_buf(&mut answer).await? == 0 {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&answer);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let find = |name: &str| {
            let mut lines = head.lines();
            lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
        };
        let length = find("content-length:").map_or(0, |length| length.parse().unwrap());
        if body.len() >= length {
            let status = head[9..12].parse().unwrap();
            let verdict = find("bluebellpick-verdict:").unwrap_or_default();
            return Ok(Some((status, verdict)));
        }
    }
}

/// Polls a future once, without a step of the node.
async fn poll_once<F>(mut future: Pin<&mut F>) -> Poll<F::Output>
where
    F: Future,
{
    poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))).await
}

/// Starts a node with further limits, and a backend server next to it.
async fn spawn_serving(limits: &str) -> Node {
    let (server, _run_log) = spawn_server(6).await;
    spawn_serving_from(server, limits).await
}

/// Starts a node with further limits, next to the backend server at `server`.
async fn spawn_serving_from(server: SocketAddr, limits: &str) -> Node {
    let node = spawn_node_with_limits("own", &MemoryStore::new(), limits).await;
    node.announce("jobs", server, 6);
    let endpoint = node.endpoint("jobs", node.nodes_address);
    node.set_route("jobs", Repeat::Never, &[endpoint]);
    node
}

/// Drains a node up to the moment at which it closes its connections, calls `act` before the node
/// closes any, and finishes the drain while the caller that `act` returns reads its answer.
async fn act_at_close<F>(node: &Node, act: F) -> Outcome
where
    F: FnOnce() -> Option<Caller>,
{
    let mut drain = pin!(node.outbound.drain(DRAIN_LIMIT));
    assert!(poll_once(drain.as_mut()).await.is_pending());
    tokio::time::sleep(node::outbound::lame_duck_duration(DRAIN_LIMIT) + TIMER_MARGIN).await;
    assert!(poll_once(drain.as_mut()).await.is_pending());
    let caller = act();
    let reading = async {
        match caller {
            Some(mut caller) => caller.read_answer().await,
            None => Outcome::Refused,
        }
    };
    let (outcome, _open) = tokio::join!(reading, drain);
    outcome
}

// A connection that the kernel completes as the listener closes must be served, not reset.
#[tokio::test]
async fn connect_at_close() {
    let node = spawn_serving("").await;
    let address = node.outbound.address();
    let outcome = act_at_close(&node, || {
        let mut caller = Caller::try_open(address)?;
        caller.write(REQUEST);
        Some(caller)
    })
    .await;
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

// A connection that waits in the accept queue because the limit is reached must not be reset.
#[tokio::test]
async fn full_at_close() {
    let finish = Arc::new(Notify::new());
    let server = spawn_slow_server(Arc::clone(&finish)).await;
    let node = spawn_serving_from(server, "connections = 1").await;
    let mut holder = Caller::open(node.outbound.address());
    holder.write(REQUEST);
    holder.reader.read_u8().await.unwrap();
    let mut caller = Caller::open(node.outbound.address());
    caller.write(REQUEST);
    let finishing = async {
        tokio::time::sleep(node::outbound::lame_duck_duration(DRAIN_LIMIT) + 2 * TIMER_MARGIN)
            .await;
        finish.notify_one();
        tokio::time::sleep(TIMER_MARGIN).await;
        finish.notify_one();
    };
    let (outcome, ()) = tokio::join!(act_at_close(&node, || Some(caller)), finishing);
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

/// Starts a backend server that sends the last byte of each response when `finish` is notified.
async fn spawn_slow_server(finish: Arc<Notify>) -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _length = stream.read(&mut [0; 2_048]).await.unwrap();
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\na";
            stream.write_all(head).await.unwrap();
            finish.notified().await;
            stream.write_all(b"b").await.unwrap();
        }
    });
    address
}

// A call whose link is reset in the accept queue of a node that stops must be answered as not run.
#[tokio::test]
async fn link_at_close() {
    let node = spawn_serving("").await;
    let (listener, address) = bind().await;
    let far = node.endpoint("jobs", address);
    let near = spawn_node_with_limits("near", &MemoryStore::new(), "").await;
    near.set_route("jobs", Repeat::Never, &[far]);
    let mut caller = Caller::open(near.outbound.address());
    caller.write(REQUEST);
    let closing = async {
        tokio::time::sleep(TIMER_MARGIN).await;
        drop(listener);
    };
    let (outcome, ()) = tokio::join!(caller.read_answer(), closing);
    assert_eq!(outcome, Outcome::Answered(503, "not-run".into()));
}
