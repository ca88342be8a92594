//! Calls over links that go silent: settled by asking, never run twice.

use crate::forward::{Forwarder, Mode};
use crate::mesh::{Answer, Node, bind, call, spawn_node, spawn_server, wait_recorded};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use standin::record::Record;
use std::time::{Duration, Instant};

/// A node for the caller, and one with a backend server behind a forwarder.
struct Pair {
    near: Node,
    far: Node,
    record: Record,
    forwarder: Forwarder,
}

async fn spawn_pair(repeat: Repeat) -> Pair {
    let (address, record) = spawn_server(1).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 1);
    let forwarder = Forwarder::spawn(far.nodes_address).await;
    near.set_route("jobs", repeat, &[far.endpoint("jobs", forwarder.address)]);
    let pair = Pair {
        near,
        far,
        record,
        forwarder,
    };
    // The link is up before anything is done to it.
    assert_eq!(pair.post("warm", "0").await.status, StatusCode::OK);
    pair
}

impl Pair {
    async fn post(&self, request: &str, work_ms: &str) -> Answer {
        post(self.near.outbound.address(), request, work_ms).await
    }

    fn runs_of(&self, request: &str) -> usize {
        let entries = self.record.entries();
        entries
            .iter()
            .filter(|entry| entry.request == request)
            .count()
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

// A clerk books a job; the request arrives, then the connection's way back is
// lost while the job runs. The clerk must get the answer, and the job must be
// booked once. Cause: only the inbound proxy knows what became of the call.
#[tokio::test]
async fn answer_lost() {
    let pair = spawn_pair(Repeat::Never).await;
    let address = pair.near.outbound.address();
    let booking = tokio::spawn(async move { post(address, "r1", "300").await });
    wait_recorded(&pair.record, |entry| entry.request == "r1").await;
    pair.forwarder.set(Mode::Pass, Mode::Drop);
    let started = Instant::now();
    let answer = booking.await.unwrap();
    assert_eq!((answer.status, answer.verdict()), (StatusCode::OK, "ran"));
    assert!(answer.body.starts_with(br#"{"body_bytes":3"#));
    assert!(started.elapsed() < Duration::from_secs(2), "found late");
    assert_eq!(pair.runs_of("r1"), 1);
    assert_eq!(pair.forwarder.count(), 2);
}

// A clerk books a job over a connection that has lost its way there. The job
// must run on another backend server, and nowhere else when the lost request
// turns up later. Cause: the bytes lie somewhere on the way until then.
#[tokio::test]
async fn request_late() {
    let pair = spawn_pair(Repeat::Never).await;
    let (address, other_record) = spawn_server(1).await;
    let other = spawn_node("other").await;
    other.announce("jobs", address, 1);
    pair.forwarder.set(Mode::Hold, Mode::Pass);
    let late = pair.far.endpoint("jobs", pair.forwarder.address);
    pair.near.set_route("jobs", Repeat::Never, &[late]);
    let address = pair.near.outbound.address();
    let booking = tokio::spawn(async move { post(address, "r1", "0").await });
    let answer = booking.await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.verdict(), "not-run");
    pair.near.set_route(
        "jobs",
        Repeat::Never,
        &[other.endpoint("jobs", other.nodes_address)],
    );
    assert_eq!(pair.post("r1", "0").await.status, StatusCode::OK);
    pair.forwarder.set(Mode::Pass, Mode::Pass);
    // What the old link brings is read before a call over the new one is answered.
    let far = pair.far.endpoint("jobs", pair.forwarder.address);
    pair.near.set_route("jobs", Repeat::Never, &[far]);
    for _ in 0..20 {
        assert_eq!(pair.post("after", "1").await.status, StatusCode::OK);
    }
    assert_eq!(pair.runs_of("r1"), 0);
    assert_eq!(other_record.entries().len(), 1);
}

// Two jobs are sent to a backend server that runs one at a time, and the
// connection goes silent. The one that waits must be withdrawn and said not to
// have run; the other one's answer must come.
#[tokio::test]
async fn queued_withdrawn() {
    let pair = spawn_pair(Repeat::Never).await;
    let address = pair.near.outbound.address();
    let running = tokio::spawn(async move { post(address, "r1", "1500").await });
    wait_recorded(&pair.record, |entry| entry.request == "r1").await;
    let waiting = tokio::spawn(async move { post(address, "r2", "0").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    pair.forwarder.set(Mode::Drop, Mode::Drop);
    let waited = waiting.await.unwrap();
    assert_eq!(
        (waited.status, waited.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert_eq!(running.await.unwrap().status, StatusCode::OK);
    assert_eq!((pair.runs_of("r1"), pair.runs_of("r2")), (1, 0));
}

// The inbound proxy is killed while a job runs, and another process starts at
// its address. The clerk must hear that the job may have run, at once, and the
// new process must not run it. Cause: its table of calls knows nothing of it.
#[tokio::test]
async fn peer_restarted() {
    let pair = spawn_pair(Repeat::Never).await;
    let address = pair.near.outbound.address();
    let booking = tokio::spawn(async move { post(address, "r1", "3000").await });
    wait_recorded(&pair.record, |entry| entry.request == "r1").await;
    let restarted = spawn_node("far").await;
    pair.forwarder.set_target(restarted.nodes_address);
    pair.forwarder.set(Mode::Drop, Mode::Drop);
    let started = Instant::now();
    let answer = booking.await.unwrap();
    assert_eq!(
        (answer.status, answer.verdict()),
        (StatusCode::BAD_GATEWAY, "may-have-run")
    );
    assert!(started.elapsed() < Duration::from_secs(2), "told late");
    assert_eq!(pair.runs_of("r1"), 1);
}

// A fitter looks a part up over a connection that has gone silent. It is asked
// again at once, without settling the first, for a look-up may run twice.
#[tokio::test]
async fn lookup_again() {
    let pair = spawn_pair(Repeat::Always).await;
    let (address, _record) = spawn_server(1).await;
    let other = spawn_node("other").await;
    other.announce("jobs", address, 1);
    pair.forwarder.set(Mode::Drop, Mode::Drop);
    let far = pair.far.endpoint("jobs", pair.forwarder.address);
    let spare = other.endpoint("jobs", other.nodes_address);
    pair.near.set_route("jobs", Repeat::Always, &[far, spare]);
    let started = Instant::now();
    for _ in 0..4 {
        assert_eq!(pair.post("r1", "0").await.status, StatusCode::OK);
    }
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "more than one silence"
    );
}

// A long answer is half way when its connection goes silent. The caller must
// get the rest over another one: nothing twice, nothing left out.
#[tokio::test]
async fn answer_resumed() {
    let pair = spawn_pair(Repeat::Never).await;
    let address = pair.near.outbound.address();
    let asking = tokio::spawn(async move {
        let headers = [("x-request", "r1"), ("x-answer-bytes", "8000000")];
        call(address, Method::GET, "/jobs/1", &headers, Bytes::new()).await
    });
    wait_recorded(&pair.record, |entry| entry.request == "r1").await;
    pair.forwarder.set(Mode::Pass, Mode::Drop);
    let answer = asking.await.unwrap().unwrap();
    assert_eq!(
        (answer.status, answer.body.len()),
        (StatusCode::OK, 8_000_000)
    );
    let told: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(told["request"], "r1");
    assert_eq!(pair.runs_of("r1"), 1);
}

// A quiet link has carried nothing for a while; then a job of half a second is
// booked over it. It must not be taken for silent: it owed nothing until now.
// Seen as look-ups that were told "may have run" for no reason.
#[tokio::test]
async fn quiet_is_not_silent() {
    let pair = spawn_pair(Repeat::Always).await;
    // The link's own time has to pass, as it is measured in its ticks.
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let answer = pair.post("r1", "500").await;
    assert_eq!((answer.status, answer.verdict()), (StatusCode::OK, "ran"));
    assert_eq!((pair.runs_of("r1"), pair.forwarder.count()), (1, 1));
}

// An availability zone is cut off: connections to a node there are taken by
// nobody, and say nothing. Twenty clerks book at once. All must hear "not run"
// when the first try to connect is given up, and who comes next at once.
// Cause: each waited for the try of the one before, and then made its own.
#[tokio::test]
async fn cut_off_zone() {
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    // Its backlog takes connections, and nobody ever answers them.
    let (_listener, address) = bind().await;
    near.set_route("jobs", Repeat::Never, &[far.endpoint("jobs", address)]);
    let callers = near.outbound.address();
    let started = Instant::now();
    let clerks: Vec<_> = (0..20)
        .map(|_| tokio::spawn(async move { post(callers, "r1", "0").await }))
        .collect();
    for clerk in clerks {
        let answer = clerk.await.unwrap();
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
