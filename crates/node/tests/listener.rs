//! Graceful stop of an HTTP listener.

use http::StatusCode;
use node::listener::{self, Limits, build_response};
use prometheus_client::metrics::counter::Counter;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

// A node stops while the body of a request is still arriving. The request must be answered, and new
// connections must be refused.
#[tokio::test]
async fn graceful_stop() {
    let limits = Limits::default();
    let entered = Arc::new(Notify::new());
    let signal = Arc::clone(&entered);
    let handler = move |request: http::Request<hyper::body::Incoming>| {
        signal.notify_one();
        async move {
            match listener::read_body(request.into_body(), limits).await {
                Ok(body) => build_response(StatusCode::OK, "text/plain", body),
                Err(response) => response,
            }
        }
    };
    let tcp = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let handle = listener::spawn(tcp, limits, Counter::default(), handler).unwrap();
    let address = handle.address();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = b"PUT / HTTP/1.1\r\nhost: node\r\ncontent-length: 4\r\n\r\nab";
    stream.write_all(head).await.unwrap();
    entered.notified().await;
    let stopping = tokio::spawn(handle.stop(limits.body_timeout));
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    stream.write_all(b"cd").await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    assert!(
        text.starts_with("HTTP/1.1 200 ") && text.ends_with("abcd"),
        "{text}"
    );
    stopping.await.unwrap();
}
