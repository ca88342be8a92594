//! Connections to the local backend server are reused.

use crate::mesh::{bind, call, spawn_node, spawn_server};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;

/// Forwards connections to `server` and counts them.
async fn spawn_counter(server: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, address) = bind().await;
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut inner, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::Relaxed);
            let mut outer = TcpStream::connect(server).await.unwrap();
            tokio::spawn(async move { copy_bidirectional(&mut inner, &mut outer).await });
        }
    });
    (address, count)
}

// Regression: calls that entered on the backend server's own VM took twice as long as direct calls,
// because each call opened a new connection to the backend server. The caller's side stops reading
// a response of known length at its last byte and never polls for the end, so the connection was
// dropped instead of reused.
#[yare::parameterized(
    no_body = { "0" },
    short_body = { "100" },
    long_body = { "200000" },
)]
#[test_macro(tokio::test)]
async fn local_connection_reused(length: &str) {
    let (server, _run_log) = spawn_server(6).await;
    let (address, count) = spawn_counter(server).await;
    let node = spawn_node("own").await;
    node.announce("jobs", address, 6);
    node.set_route(
        "jobs",
        Repeat::Never,
        &[node.endpoint("jobs", node.nodes_address)],
    );
    for _ in 0..5 {
        let headers = [("x-answer-bytes", length)];
        let entry = node.outbound.address();
        let answer = call(entry, Method::GET, "/jobs/1", &headers, Bytes::new()).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }
    assert_eq!(count.load(Ordering::Relaxed), 1);
}
