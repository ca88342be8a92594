//! What a graceful stop waits for: bounded at each step, and told.

mod support;

use node::stop::{Plan, Step};
use node::{announce, operate};
use status::Status;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::{bind, make_shared, request};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use yare::parameterized;

/// How long a listener may take to end.
const LIMIT: Duration = Duration::from_millis(300);

// An operator restarts a VM, and the node's stop takes seconds longer than its limit. A
// backend server was killed in the midst of an announcement, and the listener waited for
// the rest of it: 5 s, and without end for a peer that reads nothing of its answer.
#[tokio::test]
async fn half_request() {
    let handle = announce::spawn(bind().await, make_shared()).unwrap();
    let mut stream = TcpStream::connect(handle.address()).await.unwrap();
    let half = b"PUT /v1/announce HTTP/1.1\r\nhost: node\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(half).await.unwrap();
    // Answered, so that the listener has taken the connection before.
    request(handle.address(), "GET /v1/announce", "").await;
    let start = Instant::now();
    handle.stop(LIMIT).await;
    assert!(start.elapsed() < 4 * LIMIT, "{:?}", start.elapsed());
}

// A node is killed half way through its farewell: the calls had taken all of the time that
// whoever stops it allows, and each part that followed had a bound of its own or none.
#[parameterized(
    killed_after_6_s = { 3_300 },
    default = { 30_000 },
    short = { 100 },
)]
fn sum_under_limit(limit_ms: u64) {
    let limit = Duration::from_millis(limit_ms);
    let start = Instant::now();
    let plan = Plan::new(start, limit);
    let mut now = start + plan.call_time(start);
    for step in [Step::Outcomes, Step::Farewell, Step::Listeners] {
        let time = plan.step_time(step, now);
        assert!(time > Duration::ZERO, "{step:?} has some time");
        now += time;
    }
    assert!(now <= start + limit);
    assert!(
        plan.call_time(start) >= limit * 7 / 8,
        "calls have most of it"
    );
}

#[tokio::test]
async fn told() {
    let shared = make_shared();
    shared.leaving.send_replace(true);
    shared.stopping.store(true, Ordering::Release);
    shared.unread_answers.send_replace(3);
    shared.keyed_calls.send_replace(1);
    *shared.stop_step.lock() = Some(Step::Farewell);
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
    handle.stop(LIMIT).await;
}
