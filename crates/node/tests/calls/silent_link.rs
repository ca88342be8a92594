//! Calls over links that go silent: resolved by a query, never run twice.

use crate::forward::{Forwarder, Mode};
use crate::mesh::{Answer, Node, bind, call, spawn_node, spawn_server, wait_for_run};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use standin::record::RunLog;
use std::time::{Duration, Instant};

/// A node for callers, and a node with a backend server behind a forwarder.
struct Pair {
    near: Node,
    far: Node,
    run_log: RunLog,
    forwarder: Forwarder,
}

async fn spawn_pair(repeat: Repeat) -> Pair {
    let (address, run_log) = spawn_server(1).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 1);
    let forwarder = Forwarder::spawn(far.nodes_address).await;
    near.set_route("jobs", repeat, &[far.endpoint("jobs", forwarder.address)]);
    let pair = Pair {
        near,
        far,
        run_log,
        forwarder,
    };
    // Establishes the link.
    assert_eq!(pair.post("warm", "0").await.status, StatusCode::OK);
    pair
}

impl Pair {
    async fn post(&self, request: &str, work_ms: &str) -> Answer {
        post(self.near.outbound.address(), request, work_ms).await
    }

    fn runs_of(&self, request: &str) -> usize {
        let entries = self.run_log.entries();
        entries.iter().filter(|run| run.request == request).count()
    }
}

async fn post(address: std::net::SocketAddr, request: &str, work_ms: &str) -> Answer {
    let headers = [("x-request", request), ("x-work-ms", work_ms)];
    call(
        address,
        Method::POST,
        "/jobs/1",
        &headers,
        Bytes::from_static(b"job"),
    )
    .await
    .unwrap()
}

// A request arrives, then the response direction of the connection is lost while the call runs.
// The caller must get the response, and the call must run once. Only the inbound proxy knows the
// outcome of the call.
#[tokio::test]
async fn response_lost() {
    let pair = spawn_pair(Repeat::Never).await;
    let address = pair.near.outbound.address();
    let calling = tokio::spawn(async move { post(address, "r1", "300").await });
    wait_for_run(&pair.run_log, |run| run.request == "r1").await;
    pair.forwarder.set_modes(Mode::Pass, Mode::Drop);
    let started = Instant::now();
    let answer = calling.await.unwrap();
    assert_eq!((answer.status, answer.verdict()), (StatusCode::OK, "ran"));
    assert!(answer.body.starts_with(br#"{"body_bytes":3"#));
    assert!(started.elapsed() < Duration::from_secs(2), "resolved late");
    assert_eq!(pair.runs_of("r1"), 1);
    assert_eq!(pair.forwarder.count(), 2);
}

// The request direction of a connection goes silent, with the bytes of a request still in transit.
// The caller is told "not run", and the repeat must run on another backend server. The first
// backend server must not run the call when the delayed request arrives later.
#[tokio::test]
async fn request_delayed() {
    let pair = spawn_pair(Repeat::Never).await;
    let (address, other_run_log) = spawn_server(1).await;
    let other = spawn_node("other").await;
    other.announce("jobs", address, 1);
    pair.forwarder.set_modes(Mode::Hold, Mode::Pass);
    let late = pair.far.endpoint("jobs", pair.forwarder.address);
    pair.near.set_route("jobs", Repeat::Never, &[late]);
    let address = pair.near.outbound.address();
    let calling = tokio::spawn(async move { post(address, "r1", "0").await });
    let answer = calling.await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.verdict(), "not-run");
    pair.near.set_route(
        "jobs",
        Repeat::Never,
        &[other.endpoint("jobs", other.nodes_address)],
    );
    assert_eq!(pair.post("r1", "0").await.status, StatusCode::OK);
    pair.forwarder.set_modes(Mode::Pass, Mode::Pass);
    // The far node reads the frames of the old link before it answers a call over the new link.
    let far = pair.far.endpoint("jobs", pair.forwarder.address);
    pair.near.set_route("jobs", Repeat::Never, &[far]);
    for _ in 0..20 {
        assert_eq!(pair.post("after", "1").await.status, StatusCode::OK);
    }
    assert_eq!(pair.runs_of("r1"), 0);
    assert_eq!(other_run_log.entries().len(), 1);
}

// Two calls are sent to a backend server with one slot, and the connection goes silent. The waiting
// call must be withdrawn and reported as not run; the response of the running call must arrive.
#[tokio::test]
async fn queued_withdrawn() {
    let pair = spawn_pair(Repeat::Never).await;
    let address = pair.near.outbound.address();
    let running = tokio::spawn(async move { post(address, "r1", "1500").await });
    wait_for_run(&pair.run_log, |run| run.request == "r1").await;
    let waiting = tokio::spawn(async move { post(address, "r2", "0").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    pair.forwarder.set_modes(Mode::Drop, Mode::Drop);
    let waited = waiting.await.unwrap();
    assert_eq!(
        (waited.status, waited.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert_eq!(running.await.unwrap().status, StatusCode::OK);
    assert_eq!((pair.runs_of("r1"), pair.runs_of("r2")), (1, 0));
}

// The inbound proxy is killed while a call runs, and another process starts at its address. The
// caller must be told immediately that the call may have run, and the new process must not run the
// call: the attempt table of that process doesn't contain it.
#[tokio::test]
async fn peer_restarted() {
    let pair = spawn_pair(Repeat::Never).await;
    let address = pair.near.outbound.address();
    let calling = tokio::spawn(async move { post(address, "r1", "3000").await });
    wait_for_run(&pair.run_log, |run| run.request == "r1").await;
    let restarted = spawn_node("far").await;
    pair.forwarder.set_target(restarted.nodes_address);
    pair.forwarder.set_modes(Mode::Drop, Mode::Drop);
    let started = Instant::now();
    let answer = calling.await.unwrap();
    assert_eq!(
        (answer.status, answer.verdict()),
        (StatusCode::BAD_GATEWAY, "may-have-run")
    );
    assert!(started.elapsed() < Duration::from_secs(2), "responded late");
    assert_eq!(pair.runs_of("r1"), 1);
}

// A look-up is sent over a connection that has gone silent. It must be retried immediately,
// without resolving the first attempt, because a look-up may run twice.
#[tokio::test]
async fn lookup_retried() {
    let pair = spawn_pair(Repeat::Always).await;
    let (address, _run_log) = spawn_server(1).await;
    let other = spawn_node("other").await;
    other.announce("jobs", address, 1);
    pair.forwarder.set_modes(Mode::Drop, Mode::Drop);
    let far = pair.far.endpoint("jobs", pair.forwarder.address);
    let spare = other.endpoint("jobs", other.nodes_address);
    pair.near.set_route("jobs", Repeat::Always, &[far, spare]);
    let started = Instant::now();
    for _ in 0..4 {
        assert_eq!(pair.post("r1", "0").await.status, StatusCode::OK);
    }
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "more than one silence timeout"
    );
}

// A connection goes silent in the middle of a long response. The caller must get the rest over
// another connection, without duplicated or missing bytes.
#[tokio::test]
async fn response_resumed() {
    let pair = spawn_pair(Repeat::Never).await;
    let address = pair.near.outbound.address();
    let calling = tokio::spawn(async move {
        let headers = [("x-request", "r1"), ("x-answer-bytes", "8000000")];
        call(address, Method::GET, "/jobs/1", &headers, Bytes::new()).await
    });
    wait_for_run(&pair.run_log, |run| run.request == "r1").await;
    pair.forwarder.set_modes(Mode::Pass, Mode::Drop);
    let answer = calling.await.unwrap().unwrap();
    assert_eq!(
        (answer.status, answer.body.len()),
        (StatusCode::OK, 8_000_000)
    );
    let reported: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(reported["request"], "r1");
    assert_eq!(pair.runs_of("r1"), 1);
}

// A link has been idle for a while when a call of half a second is sent over it. The link must not
// be taken for silent: before the call, nothing was expected of the peer. Regression: look-ups were
// answered with "may have run" because an idle link was taken for silent.
#[tokio::test]
async fn idle_is_not_silent() {
    let pair = spawn_pair(Repeat::Always).await;
    // The link counts the checks of its own timer, so real time has to pass.
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let answer = pair.post("r1", "500").await;
    assert_eq!((answer.status, answer.verdict()), (StatusCode::OK, "ran"));
    assert_eq!((pair.runs_of("r1"), pair.forwarder.count()), (1, 1));
}

// An availability zone is unreachable: connections to a node in that zone are never answered.
// Twenty callers call at the same time. All of them must be told "not run" when the first attempt
// to connect is given up, and a later caller must be told so immediately. Regression: each call
// waited for the attempts to connect of the calls before it, and then made another attempt of its
// own.
#[tokio::test]
async fn unreachable_zone() {
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    // The backlog accepts connections that nobody answers.
    let (_listener, address) = bind().await;
    near.set_route("jobs", Repeat::Never, &[far.endpoint("jobs", address)]);
    let callers = near.outbound.address();
    let started = Instant::now();
    let calls: Vec<_> = (0..20)
        .map(|_| tokio::spawn(async move { post(callers, "r1", "0").await }))
        .collect();
    for call in calls {
        let answer = call.await.unwrap();
        assert_eq!(
            (answer.status, answer.verdict()),
            (StatusCode::SERVICE_UNAVAILABLE, "not-run")
        );
    }
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
    let started = Instant::now();
    let next = post(callers, "r2", "0").await;
    assert_eq!(next.verdict(), "not-run");
    assert!(
        started.elapsed() < Duration::from_millis(200),
        "{:?}",
        started.elapsed()
    );
}
