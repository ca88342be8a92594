//! Times that a backend server or a configuration announces for idle connections.

use crate::mesh::{bind, call, spawn_node, spawn_node_with_limits, spawn_server};
use bytes::Bytes;
use config::{Repeat, View};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::MemoryStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Starts a backend server that closes each connection without notice after it was idle for the
/// time that its responses announce, a second.
async fn spawn_forgetful_server() -> SocketAddr {
    const RESPONSE: &[u8] =
        b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 0\r\n\r\n";
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let idle = Duration::from_secs(1);
                while let Ok(Ok(1..)) = timeout(idle, stream.read(&mut request)).await {
                    stream.write_all(RESPONSE).await.unwrap();
                }
                // Closes the connection at the next request, without a response to it.
                drop(stream.read(&mut request).await);
            });
        }
    });
    address
}

// A booking is sent over a connection after the idle time that its backend server announced, and
// its caller is told that it may have run.
#[tokio::test]
async fn server_keep_alive() {
    let server = spawn_forgetful_server().await;
    let node = spawn_node("own").await;
    node.announce("jobs", server, 6);
    let endpoint = node.endpoint("jobs", node.nodes_address);
    node.set_route("jobs", Repeat::Never, &[endpoint]);
    for _ in 0..2 {
        let entry = node.outbound.address();
        let answer = call(entry, Method::POST, "/jobs/1", &[], Bytes::new()).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
}

// Callers rely on the idle timeout in the configuration, and find their connections closed before.
#[tokio::test]
async fn configured_idle_timeout() {
    let (server, _run_log) = spawn_server(6).await;
    let limits = "head_timeout = 200 ms";
    let node = spawn_node_with_limits("own", &MemoryStore::new(), limits).await;
    node.announce("jobs", server, 6);
    let configuration = include_str!("../../../../platform/tests/idle_timeout.json");
    let (version, mesh) = platform::mesh::parse(configuration).unwrap();
    let endpoint = node.endpoint("jobs", node.nodes_address);
    let view = View::build(version, &mesh, [endpoint]);
    node.shared.view.store(Arc::new(view));
    let stream = TcpStream::connect(node.outbound.address()).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    for _ in 0..2 {
        let request = Request::get("/jobs/1").header("host", "mesh");
        let request = request.body(Empty::<Bytes>::new()).unwrap();
        let response = sender.send_request(request).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        response.into_body().collect().await.unwrap();
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
}
