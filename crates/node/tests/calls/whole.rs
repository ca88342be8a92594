//! Calls through both proxies: whole answers, to the right caller.

use crate::mesh::{call, spawn_node, spawn_server};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use standin::backend;
use std::time::Duration;

#[yare::parameterized(
    small = { 0, 0 },
    some = { 3_000, 10_000 },
    window = { 64 << 10, 64 << 10 },
    large = { 700_000, 900_000 },
)]
#[test_macro(tokio::test)]
async fn remote(upload: usize, answer: usize) {
    let (address, record) = spawn_server(6).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 6);
    near.serve_by("jobs", Repeat::Never, &[far.endpoint("jobs", far.nodes)]);
    let body = Bytes::from(vec![7; upload]);
    let length = answer.to_string();
    let headers = [("x-request", "r1"), ("x-answer-bytes", length.as_str())];
    let got = call(
        near.outbound.address(),
        Method::POST,
        "/jobs/1",
        &headers,
        body.clone(),
    )
    .await
    .unwrap();
    assert_eq!(got.status, StatusCode::OK);
    assert_eq!(got.verdict(), "ran");
    assert!(got.body.len() >= answer);
    let told: serde_json::Value = serde_json::from_slice(&got.body).unwrap();
    assert_eq!(told["request"], "r1");
    assert_eq!(told["body_fingerprint"], backend::fingerprint(&body));
    assert_eq!(far.inbound.drain(Duration::from_secs(5)).await, 0);
    assert_eq!(record.entries().len(), 1);
}

#[tokio::test]
async fn local() {
    let (address, _record) = spawn_server(6).await;
    let own = spawn_node("own").await;
    own.announce("jobs", address, 6);
    own.serve_by("jobs", Repeat::Never, &[own.endpoint("jobs", own.nodes)]);
    let body = Bytes::from(vec![7; 500_000]);
    let got = call(
        own.outbound.address(),
        Method::POST,
        "/jobs/1",
        &[],
        body.clone(),
    )
    .await
    .unwrap();
    assert_eq!((got.status, got.verdict()), (StatusCode::OK, "ran"));
    let told: serde_json::Value = serde_json::from_slice(&got.body).unwrap();
    assert_eq!(told["body_fingerprint"], backend::fingerprint(&body));
}

#[tokio::test]
async fn no_route() {
    let own = spawn_node("own").await;
    let got = call(
        own.outbound.address(),
        Method::GET,
        "/jobs",
        &[],
        Bytes::new(),
    )
    .await
    .unwrap();
    assert_eq!(
        (got.status, got.verdict()),
        (StatusCode::NOT_FOUND, "not-run")
    );
}
