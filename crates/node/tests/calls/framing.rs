//! Messages whose headers disagree, or say little, on where they end.

use crate::mesh::{Node, bind, call, spawn_node};
use crate::raw_server::{RawServer, Script};
use bytes::Bytes;
use config::Repeat;
use http::{Method, header};
use node::metrics::GaugeValues;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use yare::parameterized;

/// Upper bound of the time that an exchange takes, and a node's close of a connection.
const LIMIT: Duration = Duration::from_secs(2);

const CHUNKS: &str = "\r\n5\r\nhello\r\n3\r\n wo\r\n0\r\n\r\n";

/// Starts a node for callers and a node beside the backend server at `address`.
async fn spawn_pair(address: std::net::SocketAddr) -> (Node, Node) {
    let (near, far) = tokio::join!(spawn_node("near"), spawn_node("far"));
    far.announce("jobs", address, 6);
    for node in [&near, &far] {
        node.set_route(
            "jobs",
            Repeat::Never,
            &[far.endpoint("jobs", far.nodes_address)],
        );
    }
    (near, far)
}

/// What a caller must get.
#[derive(Debug, Clone, Copy)]
enum Expected {
    /// The answer with this body, and this length in its headers if it has any.
    Passed(&'static str, Option<&'static str>),
    /// A 502, and the name of the flaw in the metrics of the node beside the backend server.
    Rejected(&'static str),
}

use Expected::{Passed, Rejected};

// An answer with both a length of 5 and chunks was passed on cut to 5 bytes, whole to look at.
#[parameterized(
    length = { "GET", "200 OK\r\ncontent-length: 5\r\n\r\nhello", "", Passed("hello", Some("5")) },
    chunked = { "GET", "200 OK\r\ntransfer-encoding: chunked\r\n", CHUNKS, Passed("hello wo", None) },
    chunked_upper_case = { "GET", "200 OK\r\ntransfer-encoding: Chunked\r\n", CHUNKS, Passed("hello wo", None) },
    both = { "GET", "200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n", CHUNKS, Rejected("two-lengths") },
    both_reversed = { "GET", "200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n", CHUNKS, Rejected("two-lengths") },
    two_lengths = { "GET", "200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello!", "", Rejected("malformed") },
    same_lengths = { "GET", "200 OK\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nhello", "", Passed("hello", Some("5")) },
    list = { "GET", "200 OK\r\ncontent-length: 5, 6\r\n\r\nhello!", "", Rejected("malformed") },
    same_list = { "GET", "200 OK\r\ncontent-length: 5, 5\r\n\r\nhello", "", Passed("hello", Some("5")) },
    no_number = { "GET", "200 OK\r\ncontent-length: +5\r\n\r\nhello", "", Rejected("malformed") },
    too_large = { "GET", "200 OK\r\ncontent-length: 99999999999999999999\r\n\r\nhello", "", Rejected("malformed") },
    coded = { "GET", "200 OK\r\ntransfer-encoding: gzip, chunked\r\n", CHUNKS, Rejected("unknown-coding") },
    coded_twice = { "GET", "200 OK\r\ntransfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n", CHUNKS, Rejected("unknown-coding") },
    chunked_not_last = { "GET", "200 OK\r\ntransfer-encoding: chunked, gzip\r\n", CHUNKS, Rejected("unknown-coding") },
    chunked_twice = { "GET", "200 OK\r\ntransfer-encoding: chunked, chunked\r\n", CHUNKS, Rejected("unknown-coding") },
    unknown_coding = { "GET", "200 OK\r\ntransfer-encoding: sent\r\n", "\r\nhello", Rejected("unknown-coding") },
    no_content = { "GET", "204 No Content\r\ncontent-length: 5\r\n\r\nhello", "", Passed("", None) },
    no_content_coded = { "GET", "204 No Content\r\ntransfer-encoding: chunked\r\n", CHUNKS, Passed("", None) },
    not_modified = { "GET", "304 Not Modified\r\ncontent-length: 5\r\n\r\n", "", Passed("", None) },
    head = { "HEAD", "200 OK\r\ncontent-length: 5\r\n\r\n", "", Passed("", Some("5")) },
    head_no_number = { "HEAD", "200 OK\r\ncontent-length: 5, 6\r\n\r\n", "", Passed("", None) },
    head_both = { "HEAD", "200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n", "", Passed("", None) },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn answer(method: &str, head: &str, rest: &str, expected: Expected) {
    let method = Method::from_bytes(method.as_bytes()).unwrap();
    let text = format!("HTTP/1.1 {head}{rest}");
    check_answer(&method, &text, expected).await;
}

// As above, of a backend server that speaks HTTP/1.0.
#[parameterized(
    length = { "content-length: 5\r\n\r\nhello", Passed("hello", Some("5")) },
    both = { "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Rejected("malformed") },
    chunked = { "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Rejected("malformed") },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn old_answer(rest: &str, expected: Expected) {
    let text = format!("HTTP/1.0 200 OK\r\n{rest}");
    check_answer(&Method::GET, &text, expected).await;
}

async fn check_answer(method: &Method, text: &str, expected: Expected) {
    let server = RawServer::spawn(Script::new(text.to_owned().leak(), "")).await;
    let (near, far) = spawn_pair(server.address).await;
    for (count, node) in [&near, &far].into_iter().enumerate() {
        let address = node.outbound.address();
        let answer = call(address, method.clone(), "/jobs/1", &[], Bytes::new());
        let answer = timeout(LIMIT, answer).await.unwrap().unwrap();
        let status = answer.status.as_u16();
        match expected {
            Passed(body, length) => {
                assert!(status < 400, "{answer:?}");
                assert_eq!(answer.body, body);
                let sent = answer.headers.get(header::CONTENT_LENGTH);
                assert_eq!(sent.map(|value| value.to_str().unwrap()), length);
            }
            Rejected(flaw) => {
                assert_eq!((status, answer.verdict()), (502, "may-have-run"));
                let body = String::from_utf8_lossy(&answer.body);
                assert!(body.contains("\"malformed\""), "{body}");
                let metrics = far.shared.metrics.render(&GaugeValues::default());
                let line = format!("answers_rejected_total{{flaw=\"{flaw}\"}} {}\n", count + 1);
                assert!(metrics.contains(&line), "{metrics}");
                server.wait_closed(count + 1, LIMIT).await;
            }
        }
    }
}

/// Sends raw bytes to a node and returns all that it sends until it closes the connection.
async fn send_raw(node: &Node, text: &str) -> String {
    let mut stream = TcpStream::connect(node.outbound.address()).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let reading = timeout(LIMIT, stream.read_to_end(&mut received)).await;
    reading.expect("the connection stays open").unwrap();
    String::from_utf8(received).unwrap()
}

// Two servers that disagree on the end of a request take a part of its body for another request. A
// node that announced the close of such a connection sent a 408 after its answer.
#[parameterized(
    two_lengths = { "content-length: 5\r\ncontent-length: 6\r\n\r\nhello!", "400", None },
    list = { "content-length: 5, 6\r\n\r\nhello!", "400", None },
    no_number = { "content-length: +5\r\n\r\nhello", "400", None },
    both = { "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "200", Some("hello") },
    both_reversed = { "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "200", Some("hello") },
    coded = { "transfer-encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "501", None },
    chunked_not_last = { "transfer-encoding: chunked, gzip\r\n\r\nhello", "400", None },
    unknown_coding = { "transfer-encoding: sent\r\n\r\nhello", "400", None },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn request(rest: &str, status: &str, forwarded: Option<&str>) {
    check_request("1.1", rest, status, forwarded).await;
}

// As above, of a caller that speaks HTTP/1.0.
#[parameterized(
    length = { "content-length: 5\r\n\r\nhello", "200", Some("hello") },
    chunked = { "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "400", None },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn old_request(rest: &str, status: &str, forwarded: Option<&str>) {
    check_request("1.0", rest, status, forwarded).await;
}

async fn check_request(version: &str, rest: &str, status: &str, forwarded: Option<&str>) {
    let (listener, address) = bind().await;
    let (near, _far) = spawn_pair(address).await;
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"0\r\n\r\n") && !request.ends_with(b"hello") {
            request.push(stream.read_u8().await.unwrap());
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).await.unwrap();
        String::from_utf8(request).unwrap()
    });
    let text = format!("POST /jobs/1 HTTP/{version}\r\nhost: m\r\n{rest}");
    let received = send_raw(&near, &text).await;
    assert_eq!(received.get(9..12), Some(status), "{received}");
    assert_eq!(received.matches("HTTP/1.").count(), 1, "{received}");
    match forwarded {
        None => assert!(!serving.is_finished()),
        Some(body) => {
            let request = timeout(LIMIT, serving).await.unwrap().unwrap();
            assert!(request.contains(body), "{request}");
            let lengths = request.matches("content-length").count();
            let codings = request.matches("transfer-encoding").count();
            assert_eq!(lengths + codings, 1, "{request}");
        }
    }
}
