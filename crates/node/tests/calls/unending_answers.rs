//! Backend servers that send without end, until their connection is closed.

use crate::mesh::{Answer, Node, call, spawn_node, spawn_node_with_limits, spawn_server};
use crate::raw_server::{RawServer, Script};
use bytes::Bytes;
use config::{Class, Repeat};
use http::{Method, StatusCode};
use node::metrics::GaugeValues;
use std::time::{Duration, Instant};
use store::MemoryStore;
use yare::parameterized;

/// Timeout of the calls, in milliseconds.
const TIMEOUT_MS: u64 = 4_000;

/// Time within which an answer must be rejected that can be rejected before the deadline.
const PROMPT: Duration = Duration::from_secs(2);

/// Upper bound of what the sockets' buffers and a node take of an answer that is cut off.
const MAX_TAKEN_BYTES: usize = 16 << 20;

/// 16 kB of zeros, and as much of other bytes.
const ZEROS: &str = match std::str::from_utf8(&[b'0'; 16 << 10]) {
    Ok(text) => text,
    Err(_) => unreachable!(),
};
const SPACES: &str = match std::str::from_utf8(&[b' '; 16 << 10]) {
    Ok(text) => text,
    Err(_) => unreachable!(),
};

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";

/// Where a call enters: at the node beside the backend server, or at another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    Beside,
    Other,
}

struct Setup {
    near: Node,
    far: Node,
    server: RawServer,
}

impl Setup {
    async fn spawn(script: Script) -> Self {
        let server = RawServer::spawn(script).await;
        let (near, far) = tokio::join!(spawn_node("near"), spawn_node("far"));
        far.announce("jobs", server.address, 6);
        let setup = Self { near, far, server };
        setup.set_routes(Class::Lookup);
        setup
    }

    fn set_routes(&self, class: Class) {
        let endpoint = self.far.endpoint("jobs", self.far.nodes_address);
        for node in [&self.near, &self.far] {
            node.set_route_of_class(
                class,
                "jobs",
                Repeat::Never,
                std::slice::from_ref(&endpoint),
            );
        }
    }

    fn entry(&self, entry: Entry) -> &Node {
        match entry {
            Entry::Beside => &self.far,
            Entry::Other => &self.near,
        }
    }

    fn rejected(&self, flaw: &str) -> bool {
        let metrics = self.far.shared.metrics.render(&GaugeValues::default());
        metrics.contains(&format!("answers_rejected_total{{flaw=\"{flaw}\"}} 1\n"))
    }
}

async fn post(node: &Node, timeout_ms: u64) -> Result<Answer, hyper::Error> {
    let timeout = timeout_ms.to_string();
    let headers = [("bluebellpick-timeout-ms", timeout.as_str())];
    let address = node.outbound.address();
    call(address, Method::POST, "/jobs/1", &headers, Bytes::new()).await
}

// What never becomes the head of an answer holds a slot and a connection until the deadline, or
// fills the memory of the node.
#[parameterized(
    status_line = { "HTTP/1.1 200 ", SPACES, "too-long", Entry::Other },
    header = { "HTTP/1.1 200 OK\r\nx: ", ZEROS, "too-long", Entry::Other },
    headers = { "HTTP/1.1 200 OK\r\n", "x: y\r\n", "too-long", Entry::Other },
    informational = { "", "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n", "too-long", Entry::Other },
    informational_beside = { "", "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n", "too-long", Entry::Beside },
    header_beside = { "HTTP/1.1 200 OK\r\nx: ", ZEROS, "too-long", Entry::Beside },
    blank_lines = { "", "\r\n\r\n\r\n\r\n", "too-long", Entry::Other },
    no_http = { "", ZEROS, "malformed", Entry::Other },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn no_head(start: &'static str, endless: &'static str, flaw: &str, entry: Entry) {
    let start = if start.is_empty() { endless } else { start };
    let setup = Setup::spawn(Script::new(start, endless)).await;
    let started = Instant::now();
    let answer = post(setup.entry(entry), TIMEOUT_MS).await.unwrap();
    assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.verdict(), "may-have-run");
    let body = String::from_utf8_lossy(&answer.body);
    assert!(body.contains("\"malformed\""), "{body}");
    let taken = setup.server.wait_closed(1, PROMPT).await;
    assert!(taken < MAX_TAKEN_BYTES, "{taken}");
    assert!(setup.rejected(flaw));
}

// As above, for what comes in the middle of a body: the caller waits for the rest until its
// deadline, and takes what it has for the whole if the end is made up.
#[parameterized(
    size_digits = { ZEROS, Entry::Other },
    size_space = { SPACES, Entry::Other },
    size_space_beside = { SPACES, Entry::Beside },
    extension = { "5;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nhello\r\n", Entry::Other },
    trailer = { "a: b\r\n", Entry::Other },
    trailer_beside = { "a: b\r\n", Entry::Beside },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn no_body_end(endless: &'static str, entry: Entry) {
    let start = match endless.as_bytes()[0] {
        b' ' => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n5 ",
        b'a' => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        _ => CHUNKED_HEAD,
    };
    let setup = Setup::spawn(Script::new(start, endless)).await;
    let started = Instant::now();
    let answer = post(setup.entry(entry), TIMEOUT_MS).await;
    assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
    assert!(answer.is_err(), "{answer:?}");
    let taken = setup.server.wait_closed(1, PROMPT).await;
    assert!(taken < MAX_TAKEN_BYTES, "{taken}");
    assert!(setup.rejected("too-long"));
}

// Bytes beyond the length of an answer reach the next caller as the start of its answer.
#[parameterized(
    body = { "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", Duration::ZERO },
    later = { "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", Duration::from_millis(50) },
    no_content = { "HTTP/1.1 204 No Content\r\n\r\n", Duration::ZERO },
    chunked = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Duration::ZERO },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn beyond_length(start: &'static str, pause: Duration) {
    let junk = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\njunk";
    let setup = Setup::spawn(Script {
        pause,
        ..Script::new(start, junk)
    })
    .await;
    for count in 1..=3 {
        let answer = post(&setup.near, TIMEOUT_MS).await.unwrap();
        assert!(answer.status.is_success());
        assert_ne!(answer.body, "junk");
        if !pause.is_zero() {
            // Bytes that arrive on an idle connection are noticed when a call takes it.
            tokio::time::sleep(pause * 3).await;
        }
        assert_eq!(setup.server.accepted(), count);
    }
    setup.server.wait_closed(2, PROMPT).await;
}

// A server that speaks first is connected to again and again within one call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn speaks_first() {
    let setup = Setup::spawn(Script {
        awaits_request: false,
        ..Script::new(ZEROS, ZEROS)
    })
    .await;
    let started = Instant::now();
    let answer = post(&setup.near, TIMEOUT_MS).await.unwrap();
    assert!(started.elapsed() < PROMPT);
    assert!(answer.status.is_server_error());
    let accepted = setup.server.accepted();
    assert!(accepted <= 3, "{accepted}");
    setup.server.wait_closed(accepted, PROMPT).await;
}

// An answer whose head comes byte by byte holds its call beyond the deadline.
#[parameterized(other = { Entry::Other }, beside = { Entry::Beside })]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn slow_head(entry: Entry) {
    let setup = Setup::spawn(Script {
        pause: Duration::from_millis(20),
        ..Script::new("HTTP/1.1 200 OK\r\nx: ", "0")
    })
    .await;
    let started = Instant::now();
    let answer = post(setup.entry(entry), 400).await.unwrap();
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(started.elapsed() < Duration::from_millis(900));
    setup.server.wait_closed(1, PROMPT).await;
}

// A body without a length is streamed for as long as its backend server likes, with its slot held.
#[parameterized(
    close_delimited = { "HTTP/1.1 200 OK\r\n\r\n", "hello", Entry::Other },
    close_delimited_beside = { "HTTP/1.1 200 OK\r\n\r\n", "hello", Entry::Beside },
    chunked_beside = { CHUNKED_HEAD, "5\r\nhello\r\n", Entry::Beside },
    size_line_beside = { CHUNKED_HEAD, "0", Entry::Beside },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn ends_at_deadline(start: &'static str, endless: &'static str, entry: Entry) {
    let setup = Setup::spawn(Script {
        pause: Duration::from_millis(5),
        ..Script::new(start, endless)
    })
    .await;
    let started = Instant::now();
    let answer = post(setup.entry(entry), 400).await;
    assert!(started.elapsed() < Duration::from_millis(900));
    assert!(answer.is_err(), "{answer:?}");
    setup.server.wait_closed(1, PROMPT).await;
}

// The rest of an answer that isn't passed on is read until its backend server ends it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn discarded() {
    let script = Script::new("HTTP/1.1 200 OK\r\nattempt-id: other\r\n\r\n", ZEROS);
    let server = RawServer::spawn(script).await;
    let settings = "[fleet]\ninterface = platform\n[node]\nservice = jobs";
    let node = spawn_node_with_limits("near", &MemoryStore::new(), settings).await;
    node.announce("jobs", server.address, 6);
    node.set_route(
        "jobs",
        Repeat::Never,
        &[node.endpoint("jobs", node.nodes_address)],
    );
    let answer = post(&node, TIMEOUT_MS).await.unwrap();
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let taken = server.wait_closed(1, PROMPT).await;
    assert!(taken < MAX_TAKEN_BYTES, "{taken}");
}

// A backend server that fails all of its calls, or all of its bodies, keeps its share of calls.
#[parameterized(
    no_head = { "HTTP/1.1 200 OK\r\nx: ", ZEROS },
    no_body_end = { CHUNKED_HEAD, ZEROS },
    not_chunked = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nx", "" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn ejected(start: &'static str, endless: &'static str) {
    let setup = Setup::spawn(Script::new(start, endless)).await;
    let (good, run_log) = spawn_server(6).await;
    setup.near.announce("jobs", good, 6);
    let endpoints = [
        setup.far.endpoint("jobs", setup.far.nodes_address),
        setup.near.endpoint("jobs", setup.near.nodes_address),
    ];
    setup.near.set_route("jobs", Repeat::Never, &endpoints);
    let caller = spawn_node("caller").await;
    caller.set_route("jobs", Repeat::Never, &endpoints);
    for _ in 0..200 {
        drop(post(&caller, TIMEOUT_MS).await);
    }
    let runs = run_log.entries().len();
    assert!(runs > 150, "{runs} of 200 calls ran on the healthy server");
}

// A call that may run more than once is not tried on another backend server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tried_again() {
    let setup = Setup::spawn(Script::new("HTTP/1.1 200 OK\r\nx: ", ZEROS)).await;
    let (good, _run_log) = spawn_server(6).await;
    setup.near.announce("jobs", good, 6);
    let endpoints = [
        setup.far.endpoint("jobs", setup.far.nodes_address),
        setup.near.endpoint("jobs", setup.near.nodes_address),
    ];
    let caller = spawn_node("caller").await;
    caller.set_route("jobs", Repeat::Always, &endpoints);
    for _ in 0..20 {
        let answer = post(&caller, TIMEOUT_MS).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
}
