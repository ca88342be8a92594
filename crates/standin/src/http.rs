//! What both stand-ins need of HTTP.

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

/// Body of an answer.
pub type Body = BoxBody<Bytes, Infallible>;

quick_error! {
    /// Ends a connection without an answer.
    #[derive(Debug)]
    pub enum Error {
        /// The stand-in was told to give no answer.
        NoResponse {
            display("told to give no answer")
        }
    }
}

/// Opens a listener and tells its address on the standard output, in one line.
///
/// # Errors
///
/// When the address is taken or not this machine's.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    println!("listening on {}", listener.local_addr()?);
    Ok(listener)
}

/// Makes an answer with a JSON body.
pub fn json_response<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let json = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = bytes_response(status, json.into());
    let kind = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

/// Makes an answer with that body.
#[must_use]
pub fn bytes_response(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut answer = Response::new(Full::new(bytes).boxed());
    *answer.status_mut() = status;
    answer
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
///
/// The status to answer with.
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
