//! Helpers for the tests of a node's listeners.

use clock::System;
use node::shared::Shared;
use settings::node::Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Operator token of the nodes in tests.
pub const TOKEN: &str = "0123456789abcdef";

/// Creates the shared state of a node.
pub fn make_shared() -> Arc<Shared<System>> {
    let text = format!(
        "[node]\nname = records-1\nzone = kl-a\nregion = kl\n\
         [listen]\ncallers = 127.0.0.1:1\nbackend = 127.0.0.1:2\n\
         nodes = 127.0.0.1:3\noperators = 127.0.0.1:4\n\
         [fleet]\nplatform = 127.0.0.1:5\n[operators]\ntoken = {TOKEN}\n"
    );
    Shared::new(Settings::parse(&text, "test").unwrap(), 7, System)
}

/// Binds a free port on loopback.
pub async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Sends raw bytes and returns everything received until the connection closes.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The peer may close the connection before it has read everything.
    let _sent = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _closed = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends a request on a new connection and returns the status and the body.
pub async fn request(address: SocketAddr, head: &str, body: &str) -> (u16, String) {
    let length = body.len();
    let text = format!(
        "{head} HTTP/1.1\r\nhost: node\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let answer = exchange(address, text.as_bytes()).await;
    split_answer(&answer)
}

/// Returns the status and the body of a response.
pub fn split_answer(answer: &str) -> (u16, String) {
    let status = answer.get(9..12).and_then(|code| code.parse().ok());
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status.unwrap_or(0), body.to_owned())
}
