//! A graceful stop: the time limit of each step, and the report of what it waits for.

mod support;

use node::stop::{StopPlan, StopStep};
use node::{announce, operate};
use status::Status;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::{bind, make_shared, request};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use yare::parameterized;

/// How long a listener may take to stop.
const LISTENER_STOP_LIMIT: Duration = Duration::from_millis(300);

// Guards against a stop that exceeds its limit. When a backend server was killed in the middle of
// an announcement, the listener waited 5 s for the rest of it. For a peer that did not read its
// response, the listener waited without any limit.
#[tokio::test]
async fn half_request() {
    let handle = announce::spawn(bind().await, make_shared()).unwrap();
    let mut stream = TcpStream::connect(handle.address()).await.unwrap();
    let half = b"PUT /v1/announce HTTP/1.1\r\nhost: node\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(half).await.unwrap();
    // The response shows that the listener has also accepted the earlier connection, `stream`.
    request(handle.address(), "GET /v1/announce", "").await;
    let start = Instant::now();
    handle.stop(LISTENER_STOP_LIMIT).await;
    assert!(
        start.elapsed() < 4 * LISTENER_STOP_LIMIT,
        "{:?}",
        start.elapsed()
    );
}

// Guards against a node that is killed while it announces to other nodes that it leaves: the calls
// used up the whole time limit of the stop, and the steps after the calls had independent limits or
// none.
#[parameterized(
    killed_after_6_s = { 5_500 },
    default = { 30_000 },
    short = { 100 },
)]
fn steps_within_limit(limit_ms: u64) {
    let limit = Duration::from_millis(limit_ms);
    let start = Instant::now();
    let plan = StopPlan::new(start, limit);
    let mut now = plan.cleanup_start();
    for step in [StopStep::Outcomes, StopStep::Farewell, StopStep::Listeners] {
        let time = plan.step_time(step, now);
        assert!(time > Duration::ZERO, "{step:?} must have some time");
        now += time;
    }
    assert!(now <= start + limit);
    assert!(
        plan.cleanup_start() >= start + limit * 7 / 8 && plan.call_end() >= start + limit * 15 / 16,
        "calls must have most of the time"
    );
    assert!(
        plan.call_end() < start + limit,
        "answers must have some time"
    );
}

#[tokio::test]
async fn waits_reported() {
    let shared = make_shared();
    shared.leaving.send_replace(true);
    shared.stopping.store(true, Ordering::Release);
    shared.unread_answers.send_replace(3);
    shared.keyed_calls.send_replace(1);
    *shared.stop_step.lock() = Some(StopStep::Farewell);
    let handle = operate::spawn(bind().await, Arc::clone(&shared)).unwrap();
    let (_, text) = request(handle.address(), "GET /v1/status", "").await;
    let status: Status = serde_json::from_str(&text).unwrap();
    assert_eq!((status.waits.answers, status.waits.keyed), (3, 1));
    assert_eq!((status.waits.farewell, status.waits.listeners), (1, 0));
    let (_, text) = request(handle.address(), "GET /metrics", "").await;
    for row in [
        "kind=\"answers\"} 3",
        "kind=\"keyed\"} 1",
        "kind=\"callers\"} 0",
    ] {
        assert!(
            text.contains(&format!("stop_waits{{{row}")),
            "{row}: {text}"
        );
    }
    handle.stop(LISTENER_STOP_LIMIT).await;
}
