//! Connections that the node closes while a request is on the way. The request must be answered, and
//! the answer may be that the request has not run; the connection must not just end.
//!
//! The tests run on one thread and write to a socket between two steps of the node, which forces the
//! order of events.

use crate::mesh::{Node, bind, spawn_node_with_limits, spawn_server};
use config::Repeat;
use node::listener::{self, Limits};
use node::{announce, operate};
use socket2::{Domain, Socket, Type};
use std::future::poll_fn;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;
use std::time::Duration;
use store::MemoryStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time limit of a node's drain.
const DRAIN_LIMIT: Duration = Duration::from_millis(600);

/// Timeout of idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_millis(150);

/// The same timeout in the settings of a node.
const IDLE_LIMIT: &str = "head_timeout = 150 ms";

/// Margin around a timer, larger than the resolution of the timers and the delays of a busy machine.
const TIMER_MARGIN: Duration = Duration::from_millis(40);

/// How long a test waits for a node to close an idle connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for an answer, long enough for a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of a request that exceeds the buffers of the node, but not those of the sockets.
static UPLOAD: [u8; 400_000] = [b'x'; 400_000];

/// Size of a response that exceeds the buffers of the caller, but not those of both sockets.
const ANSWER_BYTES: usize = 1_000_000;

/// Number of requests in the body of another one, which together exceed the buffers of the node.
const BODY_REQUESTS: usize = 8_000;

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

    /// Connects, and uses the connection for a request.
    async fn open_used(address: SocketAddr) -> Self {
        let mut caller = Self::open(address);
        caller.write(REQUEST);
        let outcome = caller.read_answer().await;
        assert!(matches!(outcome, Outcome::Answered(..)), "{outcome:?}");
        caller
    }

    fn write(&mut self, bytes: &[u8]) {
        self.writer.write_all(bytes).unwrap();
    }

    /// Like [`write`](Self::write), for a caller that may find the connection reset already.
    fn try_write(&mut self, bytes: &[u8]) {
        let _written = self.writer.write_all(bytes);
    }

    /// Returns whether the node has neither sent anything nor closed the connection.
    fn is_quiet(&self) -> bool {
        let peeked = self.writer.peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the node sends something or closes the connection; returns `false` at the timeout.
    async fn wait_for_close(&self) -> bool {
        let closed = async {
            while self.is_quiet() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_ok()
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

/// Makes the head of a request with the body [`UPLOAD`].
fn make_upload_head(path: &str) -> String {
    let length = UPLOAD.len();
    format!("PUT {path} HTTP/1.1\r\nhost: node\r\ncontent-length: {length}\r\n\r\n")
}

/// Lets the idle timeout of a connection that was used just now pass, and returns before the node
/// has handled it.
async fn pass_idle_timeout() {
    let now = tokio::time::Instant::now();
    let mut timer = pin!(tokio::time::sleep_until(now + IDLE_TIMEOUT / 2));
    assert!(poll_once(timer.as_mut()).await.is_pending());
    // Both timers expire while the thread is blocked, and the test continues first.
    std::thread::sleep(IDLE_TIMEOUT + TIMER_MARGIN);
    timer.await;
}

// A stopping node must answer a request that has arrived before the node closes an idle connection.
#[tokio::test]
async fn request_before_close() {
    let node = spawn_serving("").await;
    let mut caller = Caller::open_used(node.outbound.address()).await;
    let outcome = act_at_close(&node, || {
        assert!(caller.is_quiet());
        caller.write(REQUEST);
        Some(caller)
    })
    .await;
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

// A stopping node must answer a request whose head has arrived in part when idle connections close.
#[tokio::test]
async fn partial_head() {
    let node = spawn_serving("").await;
    let mut caller = Caller::open_used(node.outbound.address()).await;
    let (first, rest) = REQUEST.split_at(REQUEST.len() / 2);
    caller.write(first);
    let outcome = act_at_close(&node, || {
        caller.write(rest);
        Some(caller)
    })
    .await;
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

// A request that crosses the close of an idle connection in a stop must be answered as not run.
#[tokio::test]
async fn crossing_stop() {
    let node = spawn_serving("").await;
    let mut caller = Caller::open_used(node.outbound.address()).await;
    let writing = async {
        tokio::time::sleep(node::outbound::lame_duck_duration(DRAIN_LIMIT)).await;
        // The caller writes without a look at the close, as if that were still on the way.
        caller.wait_for_close().await;
        caller.try_write(REQUEST);
        caller.read_answer().await
    };
    let (outcome, _open) = tokio::join!(writing, node.outbound.drain(2 * DRAIN_LIMIT));
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

// A request that arrives as the idle timeout of its connection expires must be answered.
#[tokio::test]
async fn request_at_timeout() {
    let node = spawn_serving(IDLE_LIMIT).await;
    let mut caller = Caller::open_used(node.outbound.address()).await;
    pass_idle_timeout().await;
    assert!(caller.is_quiet());
    caller.write(REQUEST);
    let outcome = caller.read_answer().await;
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

// A request that crosses the close after the idle timeout must be answered as not run.
#[tokio::test]
async fn crossing_timeout() {
    let node = spawn_serving(IDLE_LIMIT).await;
    let mut caller = Caller::open_used(node.outbound.address()).await;
    // The caller writes without a look at the close, as if that were still on the way.
    caller.wait_for_close().await;
    caller.try_write(REQUEST);
    let outcome = caller.read_answer().await;
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

// The first request of a connection must be answered if it arrives as the idle timeout expires.
#[tokio::test]
async fn first_request_at_timeout() {
    let node = spawn_serving(IDLE_LIMIT).await;
    let mut caller = Caller::open(node.outbound.address());
    // The node accepts connections in order, so it has accepted the first one too.
    drop(Caller::open_used(node.outbound.address()).await);
    pass_idle_timeout().await;
    assert!(caller.is_quiet());
    caller.write(REQUEST);
    let outcome = caller.read_answer().await;
    assert!(outcome.is_true_answer(), "{outcome:?}");
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

// A caller whose request is refused before its body has arrived must be able to send the rest.
#[tokio::test]
async fn refused_body() {
    let node = spawn_serving("").await;
    let mut caller = Caller::open(node.outbound.address());
    let head = make_upload_head("/nowhere");
    let (first, rest) = UPLOAD.split_at(UPLOAD.len() / 4);
    caller.write(head.as_bytes());
    caller.write(first);
    // The node has answered.
    assert!(caller.wait_for_close().await);
    tokio::time::sleep(TIMER_MARGIN).await;
    for chunk in rest.chunks(UPLOAD.len() / 4) {
        caller.write(chunk);
        tokio::task::yield_now().await;
    }
    let outcome = caller.read_answer().await;
    assert_eq!(outcome, Outcome::Answered(404, "not-run".into()));
}

// The unread rest of a refused request's body must not be taken for requests.
#[tokio::test]
async fn unread_body() {
    let (server, run_log) = spawn_server(6).await;
    let node = spawn_serving_from(server, "").await;
    let mut caller = Caller::open(node.outbound.address());
    let body = REQUEST.repeat(BODY_REQUESTS);
    let length = body.len();
    let head = format!("PUT /nowhere HTTP/1.1\r\nhost: node\r\ncontent-length: {length}\r\n\r\n");
    caller.write(&[head.as_bytes(), &body].concat());
    let mut answers = Vec::new();
    // The connection may be reset while the rest of the body is still arriving.
    let _closed = caller.reader.read_to_end(&mut answers).await;
    let answers = String::from_utf8(answers).unwrap();
    let statuses: Vec<_> = answers
        .split("HTTP/1.1 ")
        .skip(1)
        .map(|answer| &answer[..3])
        .collect();
    assert!(
        matches!(statuses[..], ["404"] | ["404", "408"]),
        "{answers}"
    );
    assert!(run_log.entries().is_empty());
}

// A response must be complete if its caller has sent another request and reads slowly.
#[tokio::test]
async fn pipelined_requests() {
    let node = spawn_serving("").await;
    let mut caller = Caller::open(node.outbound.address());
    let first =
        format!("GET /jobs/1 HTTP/1.1\r\nhost: node\r\nx-answer-bytes: {ANSWER_BYTES}\r\n\r\n");
    let mut drain = pin!(node.outbound.drain(DRAIN_LIMIT));
    assert!(poll_once(drain.as_mut()).await.is_pending());
    caller.write(first.as_bytes());
    caller.write(make_upload_head("/jobs/1").as_bytes());
    caller.write(&UPLOAD);
    // The node writes the whole response to its socket and closes the connection.
    tokio::time::sleep(CLOSE_TIMEOUT / 2).await;
    let (outcome, _open) = tokio::join!(caller.read_answer(), drain);
    assert_eq!(outcome, Outcome::Answered(200, "ran".into()));
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

// A caller whose response began before a stop isn't told of the close; its next request must be
// answered.
#[tokio::test]
async fn next_after_stream() {
    let finish = Arc::new(Notify::new());
    let server = spawn_slow_server(Arc::clone(&finish)).await;
    let node = spawn_serving_from(server, "").await;
    let mut caller = Caller::open(node.outbound.address());
    caller.write(REQUEST);
    let mut begun = Vec::new();
    while !begun.ends_with(b"\r\n\r\na") {
        caller.reader.read_buf(&mut begun).await.unwrap();
    }
    let text = String::from_utf8(begun).unwrap();
    assert!(!text.contains("connection: close"), "{text}");
    let outcome = {
        let mut drain = pin!(node.outbound.drain(DRAIN_LIMIT));
        let lame_duck = node::outbound::lame_duck_duration(DRAIN_LIMIT) + TIMER_MARGIN;
        let passed = tokio::time::timeout(lame_duck, drain.as_mut()).await;
        assert!(passed.is_err(), "the drain must wait for the response");
        finish.notify_one();
        let next = async {
            assert_eq!(caller.reader.read_u8().await.unwrap(), b'b');
            caller.try_write(REQUEST);
            // Another response of the backend server may be needed.
            finish.notify_one();
            caller.read_answer().await
        };
        let (outcome, _open) = tokio::join!(next, drain);
        outcome
    };
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

/// The HTTP listeners besides that of callers.
#[derive(Debug, Clone, Copy)]
enum Side {
    Backend,
    Operators,
}

async fn spawn_listener(side: Side, limits: Limits) -> listener::Handle {
    let node = spawn_serving("").await;
    let (tcp, _) = bind().await;
    match side {
        Side::Backend => announce::spawn_with_limits(tcp, node.shared, limits),
        Side::Operators => operate::spawn_with_limits(tcp, node.shared, limits),
    }
    .unwrap()
}

/// When a request is written to a listener that stops.
#[derive(Debug, Clone, Copy)]
enum Order {
    /// On an idle connection, before the close.
    Reused,
    /// On a new connection, before the close.
    New,
    /// On a new connection that waits for the end of another one.
    Full,
}

// A listener for the backend server or operators that stops must answer requests that have arrived.
#[yare::parameterized(
    backend_reused = { Side::Backend, Order::Reused },
    backend_new = { Side::Backend, Order::New },
    backend_full = { Side::Backend, Order::Full },
    operators_reused = { Side::Operators, Order::Reused },
    operators_new = { Side::Operators, Order::New },
    operators_full = { Side::Operators, Order::Full },
)]
#[test_macro(tokio::test)]
async fn listener_stop(side: Side, order: Order) {
    let connections = if matches!(order, Order::Full) { 1 } else { 64 };
    let limits = Limits {
        connections,
        ..Limits::default()
    };
    let handle = spawn_listener(side, limits).await;
    let address = handle.address();
    // Held open, so that it takes the only permit of a full listener.
    let used = Caller::open_used(address).await;
    let mut caller = match order {
        Order::Full => Caller::open(address),
        Order::Reused | Order::New => used,
    };
    let mut stop = pin!(handle.stop(DRAIN_LIMIT));
    assert!(poll_once(stop.as_mut()).await.is_pending());
    if matches!(order, Order::New) {
        caller = Caller::open(address);
    }
    assert!(caller.is_quiet());
    caller.write(REQUEST);
    let (outcome, ()) = tokio::join!(caller.read_answer(), stop);
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

// A listener must answer a request that arrives as the idle timeout of its connection expires.
#[yare::parameterized(backend = { Side::Backend }, operators = { Side::Operators })]
#[test_macro(tokio::test)]
async fn listener_timeout(side: Side) {
    let limits = Limits {
        head_timeout: IDLE_TIMEOUT,
        ..Limits::default()
    };
    let handle = spawn_listener(side, limits).await;
    let mut caller = Caller::open_used(handle.address()).await;
    pass_idle_timeout().await;
    assert!(caller.is_quiet());
    caller.write(REQUEST);
    let outcome = caller.read_answer().await;
    assert!(outcome.is_true_answer(), "{outcome:?}");
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

/// Starts a backend server that writes `answer` for each request as soon as its head has arrived,
/// and then closes the connection.
async fn spawn_raw_server(answer: &'static [u8]) -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _length = stream.read(&mut [0; 2_048]).await;
                let _written = stream.write_all(answer).await;
            });
        }
    });
    address
}

// A response that is truncated or ends with its connection must not be followed by a final response.
#[yare::parameterized(
    until_close = {
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        b"GET /jobs/1 HTTP/1.0\r\nhost: node\r\nconnection: keep-alive\r\n\r\n",
        "\r\n\r\nhello",
    },
    short_body = { b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhello", REQUEST, "" },
    short_chunks = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", REQUEST, "" },
    switched = {
        b"HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        b"GET /jobs/1 HTTP/1.1\r\nhost: node\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        "",
    },
)]
#[test_macro(tokio::test)]
async fn no_final_response(answer: &'static [u8], request: &[u8], end: &str) {
    let server = spawn_raw_server(answer).await;
    let node = spawn_serving_from(server, IDLE_LIMIT).await;
    let mut caller = Caller::open(node.outbound.address());
    caller.write(request);
    let mut received = Vec::new();
    let _closed = caller.reader.read_to_end(&mut received).await;
    let received = String::from_utf8(received).unwrap();
    assert!(
        received.ends_with(end) && !received.contains("408"),
        "{received}"
    );
}

/// Starts a backend server that answers requests without a body, counts them in `run_count`, and
/// closes the connections of other requests unanswered when `hang_up` is notified.
async fn spawn_hanging_server(run_count: Arc<AtomicUsize>, hang_up: Arc<Notify>) -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (run_count, hang_up) = (Arc::clone(&run_count), Arc::clone(&hang_up));
            tokio::spawn(async move {
                let mut head = [0; 2_048];
                let length = stream.read(&mut head).await.unwrap();
                if !head[..length].starts_with(b"GET") {
                    return hang_up.notified().await;
                }
                run_count.fetch_add(1, Ordering::Relaxed);
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(answer).await.unwrap();
            });
        }
    });
    address
}

/// Writes `bytes` and collects what arrives, both without blocking, for `duration`.
async fn write_for(caller: &mut Caller, bytes: &mut &[u8], duration: Duration) -> String {
    let end = tokio::time::Instant::now() + duration;
    let mut received = Vec::new();
    while tokio::time::Instant::now() < end {
        let length = caller.writer.write(&bytes[..bytes.len().min(1 << 16)]);
        *bytes = &bytes[length.unwrap_or(0)..];
        let _length = caller.reader.try_read_buf(&mut received);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    String::from_utf8(received).unwrap()
}

// The rest of a body that is still being read after its response must not be taken for a request.
#[tokio::test]
async fn body_after_response() {
    let (run_count, hang_up) = (Arc::<AtomicUsize>::default(), Arc::new(Notify::new()));
    let server = spawn_hanging_server(Arc::clone(&run_count), Arc::clone(&hang_up)).await;
    let node = spawn_serving_from(server, "").await;
    let mut caller = Caller::open(node.outbound.address());
    // Requests of 64 bytes, after a head of 256, so that reads of whole buffers end between them.
    let padding = "y".repeat(23);
    let body =
        format!("GET /jobs/1 HTTP/1.1\r\nhost: node\r\nx: {padding}\r\n\r\n").repeat(1 << 18);
    let length = body.len();
    let head = format!(
        "PUT /jobs/1 HTTP/1.1\r\nhost: node\r\nidempotency-key: k\r\nbluebellpick-timeout-ms: 200\r\n\
         content-length: {length}\r\nx: "
    );
    let request = format!("{head:y<252}\r\n\r\n{body}");
    let mut rest = request.as_bytes();
    // The deadline passes, and the body is still read for the outcome of the call.
    let first = write_for(&mut caller, &mut rest, Duration::from_millis(400)).await;
    assert!(first.starts_with("HTTP/1.1 504"), "{first}");
    let writing = async {
        let lame_duck = node::outbound::lame_duck_duration(2 * DRAIN_LIMIT);
        let closing = lame_duck + TIMER_MARGIN;
        let mut received = write_for(&mut caller, &mut rest, closing).await;
        hang_up.notify_one();
        received += &write_for(&mut caller, &mut rest, CLOSE_TIMEOUT).await;
        received
    };
    let (received, _open) = tokio::join!(writing, node.outbound.drain(2 * DRAIN_LIMIT));
    assert_eq!(run_count.load(Ordering::Relaxed), 0, "{received}");
    assert!(!received.contains("HTTP/1.1 4"), "{received}");
}

// A stop must not wait for the idle timeout of a connection whose first head is incomplete.
#[tokio::test]
async fn partial_first_head() {
    let node = spawn_serving("").await;
    let mut caller = Caller::open(node.outbound.address());
    caller.write(&REQUEST[..10]);
    let (outcome, open) = tokio::join!(caller.read_answer(), node.outbound.drain(4 * DRAIN_LIMIT));
    assert!(outcome.is_true_answer(), "{outcome:?}");
    assert_eq!(open, 0);
}

// A connection whose handshake is half done when the listener closes must not be reset.
#[tokio::test]
async fn handshake_at_close() {
    let node = spawn_serving("").await;
    let address = node.outbound.address();
    let mut drain = pin!(node.outbound.drain(DRAIN_LIMIT));
    assert!(poll_once(drain.as_mut()).await.is_pending());
    tokio::time::sleep(node::outbound::lame_duck_duration(DRAIN_LIMIT) + TIMER_MARGIN).await;
    assert!(poll_once(drain.as_mut()).await.is_pending());
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // The last packet of the handshake is delayed until the first bytes are written.
    socket.set_tcp_quickack(false).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    let writer = std::net::TcpStream::from(socket);
    let reader = TcpStream::from_std(writer.try_clone().unwrap()).unwrap();
    let mut caller = Caller { writer, reader };
    let asking = async {
        // Longer than the way to the farthest callers and back.
        tokio::time::sleep(Duration::from_millis(10)).await;
        caller.try_write(REQUEST);
        caller.read_answer().await
    };
    let (outcome, _open) = tokio::join!(asking, drain);
    assert!(outcome.is_true_answer(), "{outcome:?}");
}

// A response must announce that its connection closes because the body of its request is unread.
#[tokio::test]
async fn unread_body_announced() {
    let node = spawn_serving("").await;
    let mut caller = Caller::open(node.outbound.address());
    caller.write(make_upload_head("/nowhere").as_bytes());
    let mut received = Vec::new();
    let _closed = caller.reader.read_to_end(&mut received).await;
    let received = String::from_utf8(received).unwrap();
    let (head, _) = received.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("connection: close"), "{received}");
}
