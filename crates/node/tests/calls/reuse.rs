//! Connections to the own backend server are used again.

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

// Look-ups that enter at the backend server's own VM take twice as long as
// direct ones, and the backend server sees a new connection for each. The
// caller's side stops reading an answer of known length at its last byte and
// never asks for the end, so that the connection was dropped, not kept.
#[yare::parameterized(
    no_body = { "0" },
    short_body = { "100" },
    long_body = { "200000" },
)]
#[test_macro(tokio::test)]
async fn local(length: &str) {
    let (server, _record) = spawn_server(6).await;
    let (address, count) = spawn_counter(server).await;
    let own = spawn_node("own").await;
    own.announce("jobs", address, 6);
    own.set_route(
        "jobs",
        Repeat::Never,
        &[own.endpoint("jobs", own.nodes_address)],
    );
    for _ in 0..5 {
        let headers = [("x-answer-bytes", length)];
        let at = own.outbound.address();
        let got = call(at, Method::GET, "/jobs/1", &headers, Bytes::new()).await;
        assert_eq!(got.unwrap().status, StatusCode::OK);
    }
    assert_eq!(count.load(Ordering::Relaxed), 1);
}
