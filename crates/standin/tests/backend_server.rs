//! The simulated backend server, tested by calls over HTTP.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use standin::backend::{Backend, Behavior, CrashTrigger, RequestPattern, fingerprint};
use standin::record::{Outcome, RunLog};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

type Caller = Client<HttpConnector, Full<Bytes>>;

const BEHAVIOR: Behavior = Behavior {
    slots: 1,
    max_queued: 1,
    mean_work: Duration::from_millis(1),
    long_percent: 0,
    long_work: Duration::ZERO,
    warm_up: Duration::ZERO,
    crash_trigger: None,
};

async fn open() -> (SocketAddr, RunLog, Backend, Caller) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let run_log = RunLog::open(None).unwrap();
    let backend = Backend::spawn(listener, BEHAVIOR, run_log.clone(), 1);
    let caller = Client::builder(TokioExecutor::new()).build_http();
    (address, run_log, backend, caller)
}

async fn post(
    caller: &Caller,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (StatusCode, Bytes) {
    let mut request = Request::post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let response = caller.request(request).await.unwrap();
    let status = response.status();
    (
        status,
        response.into_body().collect().await.unwrap().to_bytes(),
    )
}

/// Waits until `is_reached` returns true, for at most 5 s.
async fn wait_until<F>(is_reached: F)
where
    F: Fn() -> bool,
{
    let poll = async {
        while !is_reached() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), poll)
        .await
        .unwrap();
}

#[tokio::test]
async fn response_describes_request() {
    let (address, run_log, _, caller) = open().await;
    let headers = [
        ("x-request", "r1"),
        ("idempotency-key", "k1"),
        ("x-answer-bytes", "5000"),
    ];
    let (status, body) = post(&caller, address, "/claims/1?x=2", &headers, "pay").await;
    assert_eq!((status, body.len()), (StatusCode::OK, 5000));
    let description: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(description["path"], "/claims/1?x=2");
    assert_eq!(description["request"], "r1");
    assert_eq!(description["body_fingerprint"], json!(fingerprint(b"pay")));
    let entries = run_log.entries();
    assert_eq!(
        (entries[0].key.as_str(), entries[0].outcome),
        ("k1", Outcome::Completed)
    );
}

#[tokio::test]
async fn sheds_over_queue() {
    let (address, run_log, backend, caller) = open().await;
    let slow = [("x-work-ms", "60000")];
    for _ in 0..2 {
        let caller = caller.clone();
        tokio::spawn(async move { post(&caller, address, "/jobs", &slow, "").await });
    }
    wait_until(|| backend.in_flight() == 2).await;
    let (status, _) = post(&caller, address, "/jobs", &[], "").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    wait_until(|| run_log.entries().len() == 1).await;
}

#[tokio::test]
async fn stops_when_cancelled() {
    let (address, run_log, backend, _) = open().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /jobs HTTP/1.1\r\nhost: x\r\nx-work-ms: 60000\r\n\r\n";
    stream.write_all(request).await.unwrap();
    wait_until(|| run_log.entries().len() == 1).await;
    drop(stream);
    wait_until(|| backend.in_flight() == 0).await;
    assert_eq!(run_log.entries()[0].outcome, Outcome::Cancelled);
}

#[tokio::test]
async fn enforces_deadline() {
    let (address, run_log, _, caller) = open().await;
    let headers = [("x-work-ms", "60000"), ("bluebellpick-timeout-ms", "5")];
    let (status, _) = post(&caller, address, "/jobs", &headers, "").await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(run_log.entries()[0].outcome, Outcome::Expired);
}

#[tokio::test]
async fn false_reports() {
    let (address, _, backend, caller) = open().await;
    let faults = r#"{"load": 0, "health": true, "fail_percent": 100}"#;
    let (status, _) = post(&caller, address, "/fault", &[], faults).await;
    assert_eq!(status, StatusCode::OK);
    let (status, _) = post(&caller, address, "/jobs", &[], "").await;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream
        .write_all(b"GET /health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .await
        .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert_eq!(backend.in_flight(), 0);
}

/// A request that matches the trigger must crash the server with all its calls; no other request
/// may crash it.
#[yare::parameterized(
    path = { RequestPattern::Path("deadly".to_owned()), "/deadly", None, "" },
    header = { RequestPattern::Header("x-deadly".to_owned()), "/a", Some(("x-deadly", "1")), "" },
    body = { RequestPattern::Body("deadly".to_owned()), "/a", None, "a deadly one" },
)]
#[test_macro(tokio::test)]
async fn crash_trigger(
    pattern: RequestPattern,
    path: &str,
    header: Option<(&str, &str)>,
    body: &str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let run_log = RunLog::open(None).unwrap();
    let delay = Duration::from_millis(5);
    let behavior = Behavior {
        crash_trigger: Some(CrashTrigger { pattern, delay }),
        ..BEHAVIOR
    };
    let backend = Backend::spawn(listener, behavior, run_log.clone(), 1);
    let caller = Client::builder(TokioExecutor::new()).build_http();
    let (status, _) = post(&caller, address, "/a", &[], "harmless").await;
    assert_eq!(status, StatusCode::OK);
    let headers: Vec<_> = header.into_iter().collect();
    let mut request = Request::post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(name, value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    caller.request(request).await.unwrap_err();
    backend.crashed().await;
    wait_until(|| run_log.entries().len() == 2).await;
    assert_eq!(run_log.entries()[1].outcome, Outcome::Crashed);
    let refused = async { while TcpStream::connect(address).await.is_ok() {} };
    tokio::time::timeout(Duration::from_secs(5), refused)
        .await
        .expect("the listener must be closed");
}
