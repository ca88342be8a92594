//! HTTP helpers shared by both stand-ins.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Response body of both stand-ins, which is complete in memory.
pub type Body = BoxBody<Bytes, Infallible>;

quick_error! {
    /// Error that closes a connection without a response.
    #[derive(Debug)]
    pub enum Error {
        /// The request gets no response.
        NoResponse {
            display("no response is sent for this request")
        }
    }
}

/// Opens a listener and prints a line with its address to the standard output.
///
/// # Errors
///
/// If the address is in use or not local.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    println!("listening on {}", listener.local_addr()?);
    Ok(listener)
}

/// Creates a response with a JSON body.
pub fn json_response<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let json = serde_json::to_vec(value).unwrap_or_default();
    let mut response = bytes_response(status, json.into());
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Creates a response with the given body.
#[must_use]
pub fn bytes_response(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(bytes).boxed());
    *response.status_mut() = status;
    response
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
///
/// The status code for the response.
pub async fn read_json<T>(body: Incoming, limit: usize) -> Result<T, StatusCode>
where
    T: DeserializeOwned,
{
    let body = Limited::new(body, limit).collect().await;
    let Ok(body) = body else {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    };
    serde_json::from_slice(&body.to_bytes()).or(Err(StatusCode::BAD_REQUEST))
}
