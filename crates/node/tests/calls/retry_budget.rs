//! Which calls pay for the retries of the fleet.

use crate::mesh::{Node, call, spawn_node, spawn_node_with_limits, spawn_server};
use bytes::Bytes;
use config::{Class, Mesh, Repeat, Route, Service, Target, Version, View};
use http::{Method, StatusCode};
use standin::backend::Faults;
use standin::record::RunLog;
use std::sync::Arc;
use store::MemoryStore;

/// Number of calls of each kind.
const CALLS: usize = 20;

fn mesh() -> Mesh {
    let mut mesh = Mesh::default();
    mesh.services.insert("desk".into(), Service::default());
    let route = Route {
        targets: vec![Target {
            service: "desk".into(),
            percent: 100,
        }],
        class: Class::Lookup,
        repeat: Repeat::ByMethod,
        retry: None,
        timeout_ms: 5_000,
        limit_ms: None,
        target_ms: None,
        public: false,
    };
    mesh.routes.insert("/desk".into(), route);
    mesh
}

/// Starts a backend server that rejects all calls, beside `node`.
async fn spawn_rejecting_server(node: &Node) -> RunLog {
    let (address, run_log) = spawn_server(6).await;
    let faults = Faults {
        reject_percent: 100,
        ..Faults::default()
    };
    let body = serde_json::to_vec(&faults).unwrap();
    let answer = call(address, Method::POST, "/fault", &[], body.into()).await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    node.announce("desk", address, 6);
    run_log
}

// After a restart, a node gets nested calls of requests that its predecessor passed on. If they
// counted as callers' requests, they would pay for retries that the fleet may not send.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_parent() {
    let store = MemoryStore::new();
    let caller = spawn_node_with_limits("caller", &store, "repeat_share = 1").await;
    let (first, second) = tokio::join!(spawn_node("first"), spawn_node("second"));
    let nodes = [&first, &second];
    let mut run_logs = Vec::new();
    for node in nodes {
        run_logs.push(spawn_rejecting_server(node).await);
    }
    let endpoints = nodes.map(|node| node.endpoint("desk", node.nodes_address));
    let view = View::build(Version(1), &mesh(), &endpoints);
    caller.shared.view.store(Arc::new(view));
    let entry = caller.outbound.address();
    let arrivals = || {
        run_logs
            .iter()
            .map(|log| log.entries().len())
            .sum::<usize>()
    };
    let mut before = 0;
    for (headers, pays) in [
        (&[("bluebellpick-parent", "7-7")][..], false),
        (&[][..], true),
    ] {
        for _ in 0..CALLS {
            let answer = call(entry, Method::GET, "/desk/history", headers, Bytes::new()).await;
            assert_eq!(answer.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
        }
        let retries = arrivals() - before - CALLS;
        assert_eq!(retries > 0, pays, "{retries} retries");
        before = arrivals();
    }
}
