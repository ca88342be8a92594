//! HTTP requests to operators' listeners of nodes.

use crate::error::Error;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum size of a response, in bytes: enough for the counts of a few thousand services.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Body of an error response.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: String,
}

/// Sends a request and parses the response as JSON.
pub(crate) async fn fetch<T>(
    address: SocketAddr,
    request: Request<Empty<Bytes>>,
    timeout: Duration,
) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let response = match tokio::time::timeout(timeout, send(address, request)).await {
        Ok(response) => response.map_err(|error| Error::Node(address, error.to_string()))?,
        Err(_) => return Err(Error::Node(address, "no answer in time".to_owned())),
    };
    let (status, body) = response;
    if status.is_success() {
        return serde_json::from_slice(&body)
            .map_err(|error| Error::Node(address, format!("not understood: {error}")));
    }
    let why = match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => format!("{status}: {}", body.error),
        Err(_) => status.to_string(),
    };
    Err(Error::Node(address, why))
}

async fn send(
    address: SocketAddr,
    request: Request<Empty<Bytes>>,
) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The task ends when `sender` is dropped. Its result is not needed, because `sender` returns
    // the errors of the connection too.
    tokio::spawn(connection);
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    Ok((status, body.collect().await?.to_bytes()))
}

/// Builds a request without a body. A `token` is needed for requests that change something.
pub(crate) fn make_request(
    address: SocketAddr,
    method: Method,
    path: &'static str,
    token: Option<&str>,
) -> Result<Request<Empty<Bytes>>, Error> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close");
    if let Some(token) = token {
        request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    request
        .body(Empty::new())
        .map_err(|error| Error::Node(address, error.to_string()))
}
