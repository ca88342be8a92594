//! Small HTTP listeners that bad input can't hold up or fill.

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};

/// Response of a small listener.
pub type HttpResponse = Response<Full<Bytes>>;

/// Wait after a failed accept: running out of file descriptors would spin otherwise.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What one connection and all of them may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections at once; more wait in the system's accept queue.
    pub connections: usize,
    /// Longest wait for a whole request head, and for the next request.
    pub head_timeout: Duration,
    /// Longest wait for a whole request body.
    pub body_timeout: Duration,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    /// A node has one backend server and few operators, who send a few hundred bytes:
    /// 64 connections of 16 kB each keep this under 2 MB of the 32 MB at the worst.
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

/// A running listener; dropping it ends it and its connections at once.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Gives the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the listener once the requests in flight are answered, or after `limit`.
    ///
    /// Guards against a peer that stops in the midst of its request or reads nothing
    /// of its answer: the stop of the node waited for it.
    pub async fn stop(mut self, limit: Duration) {
        drop(self.stop.take());
        // The task ends by itself; a panic in it has already been reported.
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

/// Serves HTTP on `tcp` with `answer` until the handle is stopped; counts the connections
/// that failed in `bad_requests`.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn spawn<H, F>(
    tcp: TcpListener,
    limits: Limits,
    bad_requests: Counter,
    answer: H,
) -> io::Result<Handle>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let address = tcp.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(accept_all(tcp, limits, bad_requests, answer, stopped));
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
    answer: H,
    mut stopped: oneshot::Receiver<()>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let connections = Arc::new(Semaphore::new(limits.connections));
    let stopping = watch::Sender::new(false);
    // Owns the connections, so that an aborted listener leaves none behind.
    let mut served = JoinSet::new();
    loop {
        while served.try_join_next().is_some() {}
        let accepted = tokio::select! {
            _ = &mut stopped => break,
            accepted = accept_one(&tcp, &connections) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => {
                let served_one = serve(stream, limits, answer.clone(), stopping.subscribe());
                let bad_requests = bad_requests.clone();
                served.spawn(async move {
                    if served_one.await == ConnectionEnd::BadRequest {
                        bad_requests.inc();
                    }
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(tcp);
    stopping.send_replace(true);
    while served.join_next().await.is_some() {}
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// By either side's wish, or with the network.
    Normal,
    /// Because of what the peer sent, or left out.
    BadRequest,
}

impl ConnectionEnd {
    /// Judges the end of a connection that has `unread` bytes of a request's head.
    ///
    /// A timeout without any is an idle connection, which is no fault: a
    /// scraper's would be counted all day.
    pub(crate) fn classify(ended: &Result<(), hyper::Error>, unread: usize) -> Self {
        match ended {
            Err(error) if error.is_parse() || error.is_incomplete_message() => Self::BadRequest,
            Err(error) if error.is_timeout() && unread > 0 => Self::BadRequest,
            _ => Self::Normal,
        }
    }
}

/// Serves one connection until its peer ends it, it idles, or the listener stops.
async fn serve<H, F>(
    stream: TcpStream,
    limits: Limits,
    answer: H,
    mut stopping: watch::Receiver<bool>,
) -> ConnectionEnd
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let service = service_fn(move |request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut connection = build_server(limits).serve_connection(TokioIo::new(stream), service);
    let early = tokio::select! {
        ended = &mut connection => Some(ended),
        () = wait_stop(&mut stopping) => None,
    };
    let ended = if let Some(ended) = early {
        ended
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        (&mut connection).await
    };
    ConnectionEnd::classify(&ended, connection.into_parts().read_buf.len())
}

async fn wait_stop(stopping: &mut watch::Receiver<bool>) {
    // The sender lives until all connections have ended.
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
    stream.set_nodelay(true)?;
    Ok((stream, permit))
}

/// Builds the server of one connection.
///
/// Guards against peers that never end their headers: each would hold a
/// connection and its buffer for ever. The timeout closes it, and the buffer
/// limit answers 431, whatever else the peer sends.
fn build_server(limits: Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes);
    builder
}

/// Reads a whole body within its limits, or gives the answer that refuses it.
///
/// # Errors
///
/// Gives 413 for a body over the limit, 408 for one that stops half way, 400 for one cut off.
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

/// Why a request is refused, as JSON.
#[derive(Debug, Serialize)]
struct Refusal<'a> {
    error: &'a str,
}

/// Answers with an error and its message as JSON.
#[must_use]
pub fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    json_response(status, &Refusal { error: message })
}

/// Answers with a JSON value.
///
/// # Panics
///
/// Panics on a value without a JSON form, which is a bug of the caller.
#[must_use]
pub fn json_response<T>(status: StatusCode, value: &T) -> HttpResponse
where
    T: Serialize,
{
    let mut json = serde_json::to_vec(value).expect("answers have a JSON form");
    json.push(b'\n');
    build_response(status, "application/json", json)
}

/// Answers with a body of a media type.
#[must_use]
pub fn build_response<B>(status: StatusCode, media_type: &'static str, body: B) -> HttpResponse
where
    B: Into<Bytes>,
{
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let value = header::HeaderValue::from_static(media_type);
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}
