//! Hedges of calls to a backend server that does not respond.

use crate::forward::{Forwarder, Mode};
use crate::mesh::{Node, call, spawn_node, spawn_server};
use bytes::Bytes;
use config::{Class, Mesh, Repeat, Retry, Route, Service, Target, Version, View};
use http::{Method, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Number of calls from which the node learns the usual latency.
const WARM_UP_CALLS: usize = 120;

/// Number of calls made while the connection to the first backend server is held.
const HELD_CALLS: usize = 8;

/// Duration of the call that occupies the second backend server's slot: longer than a look-up
/// waits for a slot (0.3 s), shorter than the time to detect a silent link (1 s).
const OCCUPANT_WORK_MS: &str = "500";

fn hedged_mesh() -> Mesh {
    let mut mesh = Mesh::default();
    mesh.services.insert("desk".into(), Service::default());
    let rule = Retry {
        attempts: 3,
        budget_percent: 20,
        hedge: true,
        repeat_may_have_run: true,
    };
    mesh.retries.insert("reads".into(), rule);
    let route = Route {
        targets: vec![Target {
            service: "desk".into(),
            percent: 100,
        }],
        class: Class::Lookup,
        repeat: Repeat::ByMethod,
        retry: Some("reads".into()),
        timeout_ms: 5_000,
        limit_ms: None,
        target_ms: None,
        public: false,
    };
    mesh.routes.insert("/desk".into(), route);
    mesh
}

// The connection to the first backend server's node is held. The calls may be repeated and their
// retry rule allows hedges, so hedges to the second backend server must answer them. Without a
// hedge, a caller would wait until the silent link is detected.
#[tokio::test(flavor = "multi_thread")]
async fn hedge_answers() {
    let (caller, first, second) = tokio::join!(
        spawn_node("caller"),
        spawn_node("first"),
        spawn_node("second")
    );
    let forwarder = Forwarder::spawn(first.nodes_address).await;
    let mut run_logs = Vec::new();
    for node in [&first, &second] {
        let (address, run_log) = spawn_server(6).await;
        node.announce("desk", address, 6);
        run_logs.push(run_log);
    }
    let endpoints = [
        first.endpoint("desk", forwarder.address),
        second.endpoint("desk", second.nodes_address),
    ];
    let view = View::build(Version(1), &hedged_mesh(), &endpoints);
    caller.shared.view.store(Arc::new(view));
    let entry = caller.outbound.address();
    let look_up = || call(entry, Method::GET, "/desk/history", &[], Bytes::new());
    for _ in 0..WARM_UP_CALLS {
        assert_eq!(look_up().await.unwrap().status, StatusCode::OK);
    }
    let before = run_logs[1].entries().len();
    forwarder.set_modes(Mode::Hold, Mode::Hold);
    let start = Instant::now();
    // The calls are concurrent, so that some of them go to the first backend server.
    let mut held = JoinSet::new();
    for _ in 0..HELD_CALLS {
        held.spawn(look_up());
    }
    for answer in held.join_all().await {
        let answer = answer.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    }
    assert!(start.elapsed() < Duration::from_millis(500));
    // The second backend server answered all calls, including those that were first sent to the
    // first backend server.
    assert_eq!(run_logs[1].entries().len() - before, HELD_CALLS);
}

// The link to the first backend server has gone silent, and the hedge is refused because the only
// slot of the second backend server is occupied. By the time the silence is detected, that slot is
// free again, and the call must be answered. Regression: the call failed, because the refusal by
// the full backend server counted as a used attempt.
#[tokio::test(flavor = "multi_thread")]
async fn hedge_refused() {
    let (caller, first, second) = tokio::join!(
        spawn_node("caller"),
        spawn_node("first"),
        spawn_node("second")
    );
    let forwarder = Forwarder::spawn(first.nodes_address).await;
    for (node, slots) in [(&first, 6), (&second, 1)] {
        let (address, _run_log) = spawn_server(slots).await;
        node.announce("desk", address, slots);
    }
    let mut first_endpoint = first.endpoint("desk", forwarder.address);
    first_endpoint.zone = caller.shared.settings.zone.clone();
    let second_endpoint = second.endpoint("desk", second.nodes_address);
    let view = View::build(
        Version(1),
        &hedged_mesh(),
        &[first_endpoint, second_endpoint.clone()],
    );
    caller.shared.view.store(Arc::new(view));
    second.shared.view.store(Arc::new(View::build(
        Version(1),
        &hedged_mesh(),
        &[second_endpoint],
    )));
    let look_up = |node: &Node, work_ms: &'static str| {
        let entry = node.outbound.address();
        async move {
            let headers = [("x-work-ms", work_ms)];
            call(entry, Method::GET, "/desk/history", &headers, Bytes::new())
                .await
                .unwrap()
        }
    };
    for _ in 0..WARM_UP_CALLS {
        assert_eq!(look_up(&caller, "0").await.status, StatusCode::OK);
    }
    let occupant = tokio::spawn(look_up(&second, OCCUPANT_WORK_MS));
    forwarder.set_modes(Mode::Hold, Mode::Hold);
    let answer = look_up(&caller, "0").await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    assert_eq!(occupant.await.unwrap().status, StatusCode::OK);
}
