//! HTTP listeners with bounds on connections, sizes and times, so that malformed or slow requests
//! can't block them or exhaust memory.

use crate::accept;
use crate::connection::{self, Closing, RequestBody};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};

/// Response of a listener, with its whole body in memory.
pub type HttpResponse = Response<Full<Bytes>>;

/// Delay after a failed accept. Without the delay, the loop would spin when file descriptors run
/// out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits on one connection and on all connections of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent connections; further ones wait in the kernel's accept queue.
    pub connections: usize,
    /// Timeout for reading a whole request head, and for the next request on a connection.
    pub head_timeout: Duration,
    /// Timeout for reading a whole request body.
    pub body_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    /// A node has one backend server and few operators, and their requests have a few hundred
    /// bytes. At worst, 64 connections of 16 kB each take less than 2 MB of the node's 32 MB.
    fn default() -> Self {
        Self {
            connections: 64,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            head_bytes: 16 << 10,
            body_bytes: 16 << 10,
        }
    }
}

/// A running listener. Dropping it closes the listener and its connections at once.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the listener once the requests in flight are answered, or after `limit`.
    ///
    /// Without the limit, a peer that stops in the middle of its request or does not read its
    /// response would delay the stop of the node.
    pub async fn stop(mut self, limit: Duration) {
        drop(self.stop.take());
        // The task ends by itself. A panic in it has already been reported.
        if let Err(_elapsed) = tokio::time::timeout(limit, &mut self.task).await {
            log::info!(listener:% = self.address; "listener_cut_off");
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves HTTP on `tcp` with `handler` until the handle is stopped. `bad_requests` counts the
/// connections that ended because of malformed or incomplete requests.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn spawn<H, F>(
    tcp: TcpListener,
    limits: Limits,
    bad_requests: Counter,
    handler: H,
) -> io::Result<Handle>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let address = tcp.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(accept_all(tcp, limits, bad_requests, handler, stopped));
    Ok(Handle {
        address,
        stop: Some(stop),
        task,
    })
}

async fn accept_all<H, F>(
    tcp: TcpListener,
    limits: Limits,
    bad_requests: Counter,
    handler: H,
    mut stopped: oneshot::Receiver<()>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let connections = Arc::new(Semaphore::new(limits.connections));
    let stopping = watch::Sender::new(false);
    // Owns the connections, so that aborting the listener closes them.
    let mut tasks = JoinSet::new();
    let serve_accepted = |tcp, permit: Option<OwnedSemaphorePermit>| {
        let (handler, stopping) = (handler.clone(), stopping.subscribe());
        let bad_requests = bad_requests.clone();
        async move {
            serve(tcp, limits, handler, stopping, &bad_requests).await;
            drop(permit);
        }
    };
    loop {
        while tasks.try_join_next().is_some() {}
        let accepted = tokio::select! {
            _ = &mut stopped => break,
            accepted = accept_one(&tcp, &connections) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => {
                tasks.spawn(serve_accepted(stream, Some(permit)));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    stopping.send_replace(true);
    for stream in accept::close(tcp) {
        tasks.spawn(serve_accepted(stream, None));
    }
    while tasks.join_next().await.is_some() {}
}

/// Serves one connection until its peer closes it, it times out, or the listener stops.
async fn serve<H, F>(
    tcp: TcpStream,
    limits: Limits,
    handler: H,
    stopping: watch::Receiver<bool>,
    bad_requests: &Counter,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let limits = connection::Limits {
        head_timeout: limits.head_timeout,
        head_bytes: limits.head_bytes,
        write_timeout: None,
    };
    let mut stopped = stopping.clone();
    let closing = Closing {
        is_announced: || *stopping.borrow(),
        started: wait_stop(&mut stopped),
    };
    let handler = |request: Request<RequestBody>| handler(request.map(RequestBody::into_untracked));
    connection::serve(tcp, limits, handler, None::<()>, closing, bad_requests).await;
}

async fn wait_stop(stopping: &mut watch::Receiver<bool>) {
    // The sender outlives all connections.
    drop(stopping.wait_for(|stops| *stops).await);
}

async fn accept_one(
    tcp: &TcpListener,
    connections: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(connections)
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, _) = tcp.accept().await?;
    Ok((stream, permit))
}

/// Reads a whole request body, within the limits on its size and time.
///
/// # Errors
///
/// Returns the error response to send: status 413 for a body over the size limit, 408 for one that
/// is not complete in time, 400 for one that is cut off.
pub async fn read_body(body: Incoming, limits: Limits) -> Result<Bytes, HttpResponse> {
    let whole = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.body_timeout, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("body is over {} bytes", limits.body_bytes);
            Err(error_response(StatusCode::PAYLOAD_TOO_LARGE, &message))
        }
        Ok(Err(_)) => Err(error_response(StatusCode::BAD_REQUEST, "body was cut off")),
        Err(_) => Err(error_response(
            StatusCode::REQUEST_TIMEOUT,
            "body did not end in time",
        )),
    }
}

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Builds an error response with a message as JSON.
#[must_use]
pub fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    json_response(status, &ErrorBody { error: message })
}

/// Builds a response with a JSON value.
///
/// # Panics
///
/// Panics if the value can't be written as JSON, which is a bug in the calling code.
#[must_use]
pub fn json_response<T>(status: StatusCode, value: &T) -> HttpResponse
where
    T: Serialize,
{
    let mut json = serde_json::to_vec(value).expect("response can be written as JSON");
    json.push(b'\n');
    build_response(status, "application/json", json)
}

/// Builds a response with a body of the given media type.
#[must_use]
pub fn build_response<B>(status: StatusCode, media_type: &'static str, body: B) -> HttpResponse
where
    B: Into<Bytes>,
{
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(media_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
