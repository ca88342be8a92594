//! Bad input on the HTTP listeners of a node. The node must respond with an error or close the
//! connection, and serve other connections meanwhile.

mod support;

use node::listener::{Handle, Limits};
use node::shared::Shared;
use node::{announce, operate};
use std::sync::Arc;
use std::time::Duration;
use support::{bind, exchange, make_shared, request, split_answer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// Short timeouts, so that the tests of timeouts are fast.
const LIMITS: Limits = Limits {
    connections: 4,
    head_timeout: Duration::from_millis(150),
    body_timeout: Duration::from_millis(150),
    head_bytes: 8 << 10,
    body_bytes: 1 << 10,
};

/// What a listener sends before it closes an idle connection.
const FINAL_RESPONSE: &str = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\
    bluebellpick-verdict: not-run\r\ncontent-type: application/json\r\n\
    content-length: 70\r\n\r\n\
    {\"verdict\":\"not-run\",\"reason\":\"connection-closed\",\"retry_after_ms\":0}\n";

async fn spawn_listeners(shared: &Arc<Shared<clock::System>>) -> [Handle; 2] {
    [
        announce::spawn_with_limits(bind().await, Arc::clone(shared), LIMITS).unwrap(),
        operate::spawn_with_limits(bind().await, Arc::clone(shared), LIMITS).unwrap(),
    ]
}

/// Returns pseudo-random bytes, the same each time, from a linear congruential generator.
fn make_noise(length: usize) -> Vec<u8> {
    let mut state = 2_026_u32;
    let mut next = || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        state.to_le_bytes()[3]
    };
    (0..length).map(|_| next()).collect()
}

fn make_oversized_head() -> Vec<u8> {
    let filler = "x".repeat(64 << 10);
    format!("GET /metrics HTTP/1.1\r\nhost: node\r\nfiller: {filler}\r\n\r\n").into_bytes()
}

fn make_many_headers() -> Vec<u8> {
    let filler = "a: b\r\n".repeat(1_000);
    format!("GET /metrics HTTP/1.1\r\n{filler}\r\n").into_bytes()
}

#[parameterized(
    noise = { make_noise(4 << 10) },
    much_noise = { make_noise(1 << 20) },
    oversized_head = { make_oversized_head() },
    many_headers = { make_many_headers() },
    truncated_head = { b"GET /metrics HT".to_vec() },
    truncated_line = { b"GET /metrics HTTP/1.1\r\nhost".to_vec() },
    nothing = { Vec::new() },
    other_protocol = { b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec() },
    two_lengths = { b"PUT /v1/announce HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx".to_vec() },
    bad_chunk = { b"PUT /v1/announce HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec() },
)]
#[test_macro(tokio::test)]
async fn refused_or_closed(bytes: Vec<u8>) {
    let shared = make_shared();
    for handle in spawn_listeners(&shared).await {
        // `exchange` returns only when the listener closes the connection.
        let answer = exchange(handle.address(), &bytes).await;
        let (status, _) = split_answer(&answer);
        assert!(
            answer.is_empty() || (400..500).contains(&status),
            "{answer}"
        );
        let (status, _) = request(handle.address(), "GET /nowhere", "").await;
        assert_eq!(status, 404);
    }
    assert!(shared.backend.borrow().is_none());
}

// Guards against slow clients that block a listener: they open all of its
// connections and send a header byte now and then, but never the end of the
// headers. Operators could then not reach a node that still served calls.
#[tokio::test]
async fn endless_headers() {
    let shared = make_shared();
    for handle in spawn_listeners(&shared).await {
        let mut slow_clients = Vec::new();
        for _ in 0..LIMITS.connections {
            let mut stream = TcpStream::connect(handle.address()).await.unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
            slow_clients.push(tokio::spawn(send_slowly(stream)));
        }
        let (status, _) = request(handle.address(), "GET /nowhere", "").await;
        assert_eq!(status, 404);
        for task in slow_clients {
            task.await.unwrap();
        }
    }
    let text = shared
        .metrics
        .render(&node::metrics::GaugeValues::default());
    assert!(
        text.contains("bluebellpick_bad_requests_total{listener=\"operators\"} 4"),
        "{text}"
    );
}

/// Sends a header byte every 10 ms until the peer closes the connection.
async fn send_slowly(mut stream: TcpStream) {
    let pause = Duration::from_millis(10);
    while stream.write_all(b"x").await.is_ok() {
        let mut answer = [0; 512];
        let read = tokio::time::timeout(pause, stream.read(&mut answer)).await;
        if matches!(read, Ok(Ok(0) | Err(_))) {
            return;
        }
    }
}

#[parameterized(
    incomplete = { "content-length: 100", r#"{"service":"#, 408, "did not end in time" },
    oversized = { "content-length: 2000", "", 413, "over 1024 bytes" },
    oversized_chunks = { "transfer-encoding: chunked", "7d0\r\n", 413, "over 1024 bytes" },
)]
#[test_macro(tokio::test)]
async fn bad_body(header: &str, body: &str, expected: u16, message: &str) {
    let shared = make_shared();
    let handle = announce::spawn_with_limits(bind().await, Arc::clone(&shared), LIMITS).unwrap();
    let filler = if expected == 413 {
        "x".repeat(2_000)
    } else {
        String::new()
    };
    let text = format!("PUT /v1/announce HTTP/1.1\r\nhost: node\r\n{header}\r\n\r\n{body}{filler}");
    let answer = exchange(handle.address(), text.as_bytes()).await;
    let (status, text) = split_answer(&answer);
    assert_eq!(status, expected, "{answer}");
    assert!(text.contains(message), "{text}");
    assert!(shared.backend.borrow().is_none());
}

#[tokio::test]
async fn truncated_body() {
    let shared = make_shared();
    let handle = announce::spawn_with_limits(bind().await, Arc::clone(&shared), LIMITS).unwrap();
    let mut stream = TcpStream::connect(handle.address()).await.unwrap();
    let head = b"PUT /v1/announce HTTP/1.1\r\nhost: node\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = String::new();
    let _closed = stream.read_to_string(&mut answer).await;
    assert!(
        answer.is_empty() || split_answer(&answer).0 == 400,
        "{answer}"
    );
    assert!(shared.backend.borrow().is_none());
}

// Guards against idle timeouts that are counted as bad requests: a scraper keeps its connection
// open, and each idle timeout of that connection used to be counted.
#[tokio::test]
async fn idle_connection() {
    let shared = make_shared();
    let handle = operate::spawn_with_limits(bind().await, Arc::clone(&shared), LIMITS).unwrap();
    let request = b"GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n";
    // `exchange` returns when the listener closes the connection.
    let answer = exchange(handle.address(), request).await;
    let answer = answer.strip_suffix(FINAL_RESPONSE).expect(&answer);
    assert_eq!(split_answer(answer), (200, "alive\n".into()));
    assert_eq!(exchange(handle.address(), b"").await, FINAL_RESPONSE);
    let text = shared
        .metrics
        .render(&node::metrics::GaugeValues::default());
    assert!(
        text.contains("bluebellpick_bad_requests_total{listener=\"operators\"} 0"),
        "{text}"
    );
}
