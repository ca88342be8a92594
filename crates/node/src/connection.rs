//! HTTP/1.1 on one accepted connection, and a close that leaves no request unanswered.
//!
//! A server that closes an idle connection can't know whether a request is on its way to it. The
//! sender of such a request sees a closed connection and can't tell whether the request has run. A
//! connection is therefore closed in these steps:
//!
//! 1. A request that has arrived on an idle connection is answered, and its response announces the
//!    close.
//! 2. If none has arrived, a response with status 408 states that no further request on this
//!    connection has run or will run (RFC 9110, section 15.5.9). It answers a request that crosses
//!    the close.
//! 3. The write side is closed, and what still arrives is read and dropped until the peer closes
//!    its side (RFC 9112, section 9.6). Closing a socket with unread bytes would reset the
//!    connection, and a reset can destroy a response that the peer has not read yet.

mod pipeline;
mod stream;

pub(crate) use crate::connection::pipeline::{Starter, Target};

use crate::connection::pipeline::Pipeline;
use crate::connection::stream::{Progress, Stream};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version, header};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use std::convert::Infallible;
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;

/// How long a closing connection waits for the first request of a peer that has just connected, for
/// the rest of a request head, and for the peer to close its side: long enough for many round trips
/// to the farthest callers, which are 8 ms away.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Response to a request that crosses the close of an idle connection.
const FINAL_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    connection: close\r\n\
    bluebellpick-verdict: not-run\r\n\
    content-type: application/json\r\n\
    content-length: 70\r\n\r\n\
    {\"verdict\":\"not-run\",\"reason\":\"connection-closed\",\"retry_after_ms\":0}\n";

/// Limits on one connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Timeout for reading a whole request head, and for the next request.
    pub(crate) head_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub(crate) head_bytes: usize,
    /// Maximum time for which the peer may read nothing of a response; `None` for no limit.
    pub(crate) write_timeout: Option<Duration>,
}

/// How a listener closes its connections.
#[derive(Debug)]
pub(crate) struct Closing<A, S> {
    /// Returns whether responses announce that their connection closes.
    pub(crate) is_announced: A,
    /// Completes when idle connections are to be closed.
    pub(crate) started: S,
}

/// The last request of a connection and its response.
#[derive(Debug, Default)]
struct Exchange {
    phase: Phase,
    request_body: BodyProgress,
    /// No further request can follow: either side has announced the close, or the end of the
    /// connection marks the end of the response.
    is_last: bool,
    /// The next response announces that the connection closes.
    closes_after_response: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// No request has been received.
    #[default]
    New,
    /// A request is being answered.
    Running,
    /// The whole response is in the buffer of the HTTP server.
    Answered,
}

/// How much of a request's body is read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum BodyProgress {
    /// All of it, or there is no body.
    #[default]
    Complete,
    /// Its reader has not reached the end.
    Incomplete,
    /// Its reader stopped before the end.
    Abandoned,
    /// Unknown.
    Untracked,
}

type SharedExchange = Arc<Mutex<Exchange>>;

/// The body of a request, which records how much of it is read.
#[derive(Debug)]
pub(crate) struct RequestBody {
    incoming: Incoming,
    tracker: BodyTracker,
}

impl RequestBody {
    fn new(incoming: Incoming, exchange: &SharedExchange) -> Self {
        let tracker = BodyTracker(Arc::clone(exchange));
        let is_complete = incoming.is_end_stream();
        tracker.set(if is_complete {
            BodyProgress::Complete
        } else {
            BodyProgress::Incomplete
        });
        Self { incoming, tracker }
    }

    /// Returns the body without a record of how much of it is read.
    pub(crate) fn into_untracked(self) -> Incoming {
        if self.tracker.get() == BodyProgress::Incomplete {
            self.tracker.set(BodyProgress::Untracked);
        }
        self.incoming
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if frame.is_none() || self.incoming.is_end_stream() {
            self.tracker.set(BodyProgress::Complete);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

#[derive(Debug)]
struct BodyTracker(SharedExchange);

impl BodyTracker {
    fn get(&self) -> BodyProgress {
        self.0.lock().request_body
    }

    fn set(&self, progress: BodyProgress) {
        self.0.lock().request_body = progress;
    }
}

impl Drop for BodyTracker {
    fn drop(&mut self) {
        if self.get() == BodyProgress::Incomplete {
            self.set(BodyProgress::Abandoned);
        }
    }
}

/// The body of a response. Its drop ends the exchange.
struct ResponseBody<B> {
    body: B,
    exchange: SharedExchange,
}

impl<B> Body for ResponseBody<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for ResponseBody<B> {
    fn drop(&mut self) {
        self.exchange.lock().phase = Phase::Answered;
    }
}

/// Serves one connection until its peer closes it, it times out, or `closing` has started.
///
/// With a `starter`, calls may start before those ahead of them have been answered. `bad_requests`
/// counts a connection that ends because of a malformed or incomplete request.
pub(crate) async fn serve<H, F, B, E, A, S>(
    tcp: TcpStream,
    limits: Limits,
    handler: H,
    starter: Option<E>,
    closing: Closing<A, S>,
    bad_requests: &Counter,
) where
    H: Fn(Request<RequestBody>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Error + Send + Sync + 'static,
    E: Starter<B>,
    A: Fn() -> bool,
    S: Future<Output = ()>,
{
    if tcp.set_nodelay(true).is_err() {
        return;
    }
    let exchange = SharedExchange::default();
    let is_close_announced = &closing.is_announced;
    let pipeline = &Pipeline::new(starter);
    let handler = &handler;
    let service = service_fn(|request: Request<Incoming>| {
        let exchange = Arc::clone(&exchange);
        exchange.lock().phase = Phase::Running;
        let peer = PeerRequest::new(&request);
        let early_call = pipeline.begin(&request);
        let request = request.map(|body| RequestBody::new(body, &exchange));
        async move {
            let early_response = match early_call {
                Some(call) => call.await,
                None => None,
            };
            let mut response = match early_response {
                Some(response) => response,
                None => handler(request).await,
            };
            // Early calls that are under way are answered before the connection closes.
            let is_closing = is_close_announced() && pipeline.is_empty();
            let mut state = exchange.lock();
            // The HTTP server closes a connection whose request body is not read to its end.
            let is_body_abandoned = state.request_body == BodyProgress::Abandoned;
            if is_closing || state.closes_after_response || is_body_abandoned {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            state.is_last = peer.is_last(&response);
            drop(state);
            Ok::<_, Infallible>(response.map(|body| ResponseBody { body, exchange }))
        }
    });
    let mut stream = Stream::new(tcp, limits.write_timeout);
    if let Some(ahead) = pipeline.read_ahead() {
        stream.set_read_ahead(ahead, Arc::clone(&exchange));
    }
    let progress = stream.progress();
    let mut connection = Server {
        connection: build_server(limits).serve_connection(TokioIo::new(stream), &service),
        pipeline,
        exchange: &exchange,
        progress,
    };
    let (result, was_idle) = run(&mut connection, closing.started).await;
    if pipeline.cancel() {
        // Requests that follow have run, and must not be told otherwise.
        exchange.lock().is_last = true;
    }
    let mut socket = OpenSocket::new(result, connection.connection.into_parts());
    if was_idle && socket.take_arrived_request(&exchange.lock()) {
        exchange.lock().closes_after_response = true;
        let (result, parts) = serve_last(socket.stream, limits, &service).await;
        socket = OpenSocket::new(result, parts);
    }
    if socket.is_bad_request() {
        bad_requests.inc();
    }
    socket.close(&exchange).await;
}

/// The HTTP server of a connection, and the early calls behind the request that it is serving.
struct Server<'a, S, E, C, B>
where
    S: HttpService<Incoming, ResBody = ResponseBody<B>>,
{
    connection: http1::Connection<TokioIo<Stream>, S>,
    pipeline: &'a Pipeline<E, C>,
    exchange: &'a Mutex<Exchange>,
    progress: Progress,
}

impl<S, E, C, B> Server<'_, S, E, C, B>
where
    S: HttpService<Incoming, ResBody = ResponseBody<B>>,
{
    /// Returns whether the HTTP server can be given the next head that was read ahead.
    fn can_go_on(&self) -> bool {
        let phase = self.exchange.lock().phase;
        phase == Phase::Answered && self.progress.is_flushed()
    }
}

impl<S, E, C, B> Future for Server<'_, S, E, C, B>
where
    S: HttpService<Incoming, ResBody = ResponseBody<B>>,
    S::Error: Error + Send + Sync + 'static,
    B: Body + Unpin + 'static,
    B::Error: Error + Send + Sync + 'static,
    E: Starter<B, Call = C>,
{
    type Output = Result<(), hyper::Error>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let mut last_taken = None;
        loop {
            let polled = Pin::new(&mut self.connection).poll(cx);
            if polled.is_ready() {
                return polled;
            }
            self.pipeline.start_calls(self.exchange);
            // The HTTP server waits for the socket, although the next head has been read from it.
            let taken = self.pipeline.bytes_taken();
            if taken == last_taken || !self.can_go_on() {
                return Poll::Pending;
            }
            last_taken = taken;
        }
    }
}

/// Runs the HTTP server of a connection until it ends, or until the connection is to be closed and
/// no request is running. Returns the result, and whether the connection was idle.
async fn run<S, E, C, B, F>(
    connection: &mut Server<'_, S, E, C, B>,
    close_started: F,
) -> (Result<(), hyper::Error>, bool)
where
    S: HttpService<Incoming, ResBody = ResponseBody<B>>,
    S::Error: Error + Send + Sync + 'static,
    B: Body + Unpin + 'static,
    B::Error: Error + Send + Sync + 'static,
    E: Starter<B, Call = C>,
    F: Future<Output = ()>,
{
    let mut ended = tokio::select! {
        biased;
        result = &mut *connection => Some(result),
        () = close_started => None,
    };
    // The first request of a connection that was just accepted is usually already on the way.
    if ended.is_none() && connection.exchange.lock().phase == Phase::New {
        let first = tokio::time::timeout(CLOSE_TIMEOUT, &mut *connection);
        ended = first.await.ok();
    }
    if ended.is_none() && !connection.pipeline.is_empty() {
        let pipeline = connection.pipeline;
        ended = poll_until(&mut *connection, || pipeline.is_empty()).await;
    }
    if let Some(result) = ended {
        // The HTTP server has ended the connection by itself and announced that in its response, as
        // after a request that has both a length and a transfer coding.
        let mut exchange = connection.exchange.lock();
        exchange.is_last |= result.is_ok() && exchange.request_body == BodyProgress::Complete;
        drop(exchange);
        // The timer runs only while the HTTP server waits for a request head.
        let is_idle_timeout = result.as_ref().is_err_and(hyper::Error::is_timeout);
        return (result, is_idle_timeout);
    }
    let phase = connection.exchange.lock().phase;
    if phase == Phase::New {
        // The HTTP server would wait for the rest of a first head.
        return (Ok(()), true);
    }
    let is_idle = phase == Phase::Answered && connection.progress.is_flushed();
    Pin::new(&mut connection.connection).graceful_shutdown();
    (connection.await, is_idle)
}

/// Polls a future until `is_done` after a poll. Returns the output if the future completes before.
async fn poll_until<F, D>(future: &mut F, is_done: D) -> Option<F::Output>
where
    F: Future + Unpin,
    D: Fn() -> bool,
{
    poll_fn(|cx| match Pin::new(&mut *future).poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending if is_done() => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    })
    .await
}

/// What a request says about the end of its connection.
#[derive(Debug, Clone, Copy)]
struct PeerRequest {
    announces_close: bool,
    version: Version,
    is_connect: bool,
}

impl PeerRequest {
    fn new<B>(request: &Request<B>) -> Self {
        let (headers, version) = (request.headers(), request.version());
        let keeps_old_version = has_connection_token(headers, "keep-alive");
        Self {
            announces_close: has_connection_token(headers, "close")
                || (version < Version::HTTP_11 && !keeps_old_version),
            version,
            is_connect: request.method() == Method::CONNECT,
        }
    }

    /// Returns whether no further request can follow this one and its `response`.
    fn is_last<B>(self, response: &Response<B>) -> bool
    where
        B: Body,
    {
        let ends_with_connection =
            self.version < Version::HTTP_11 && response.body().size_hint().exact().is_none();
        let is_tunnel = response.status() == StatusCode::SWITCHING_PROTOCOLS
            || (self.is_connect && response.status().is_success());
        self.announces_close
            || has_connection_token(response.headers(), "close")
            || ends_with_connection
            || is_tunnel
    }
}

/// Serves a request that arrived as its connection was about to close. The response announces the
/// close.
async fn serve_last<S, B>(
    stream: Stream,
    limits: Limits,
    service: S,
) -> (Result<(), hyper::Error>, http1::Parts<TokioIo<Stream>, S>)
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Error + Send + Sync + 'static,
    B: Body + 'static,
    B::Error: Error + Send + Sync + 'static,
{
    let limits = Limits {
        head_timeout: limits.head_timeout.min(CLOSE_TIMEOUT),
        ..limits
    };
    let mut server = build_server(limits);
    server.keep_alive(false);
    let mut connection = server.serve_connection(TokioIo::new(stream), service);
    let result = (&mut connection).await;
    (result, connection.into_parts())
}

/// A socket that is still open after its HTTP server has ended.
struct OpenSocket {
    stream: Stream,
    result: Result<(), hyper::Error>,
    /// Whether the HTTP server has read bytes that it has not handled.
    has_unhandled_bytes: bool,
}

impl OpenSocket {
    fn new<S>(result: Result<(), hyper::Error>, parts: http1::Parts<TokioIo<Stream>, S>) -> Self {
        let mut stream = parts.io.into_inner();
        let has_unhandled_bytes = !parts.read_buf.is_empty() || stream.has_read_ahead();
        stream.put_back(parts.read_buf);
        Self {
            stream,
            result,
            has_unhandled_bytes,
        }
    }

    /// Returns whether the peer sent a malformed or incomplete request.
    ///
    /// A timeout without bytes of a request head is an idle connection. If it were counted, each
    /// idle timeout of a scraper's connection would be a bad request.
    fn is_bad_request(&self) -> bool {
        self.result.as_ref().is_err_and(|error| {
            error.is_parse()
                || error.is_incomplete_message()
                || error.is_timeout() && self.has_unhandled_bytes
        })
    }

    /// Returns whether the next bytes in both directions are a request and its response.
    fn is_between_exchanges(&self, exchange: &Exchange) -> bool {
        let progress = self.stream.progress();
        let is_body_read = matches!(
            exchange.request_body,
            BodyProgress::Complete | BodyProgress::Untracked
        );
        !self.result.as_ref().is_err_and(|error| !error.is_timeout())
            && exchange.phase != Phase::Running
            && is_body_read
            && !exchange.is_last
            && progress.is_flushed()
            && !progress.has_peer_closed()
    }

    /// Returns whether bytes of a request have arrived that the HTTP server has not handled.
    ///
    /// If the body of the last request may not be read to its end, arrived bytes may belong to that
    /// body, and must not be run as a request.
    fn take_arrived_request(&mut self, exchange: &Exchange) -> bool {
        self.is_between_exchanges(exchange)
            && exchange.request_body == BodyProgress::Complete
            // A head that its sender has not completed in time is no request.
            && !self.is_bad_request()
            && self.stream.take_arrived()
    }

    /// Closes the connection. A peer that may send another request is sent the final response.
    async fn close(mut self, exchange: &Mutex<Exchange>) {
        let (awaits_request, is_body_read) = {
            let exchange = exchange.lock();
            let is_body_read = exchange.request_body == BodyProgress::Complete;
            (self.is_between_exchanges(&exchange), is_body_read)
        };
        // The HTTP server answers malformed requests.
        let is_answered = self
            .result
            .as_ref()
            .err()
            .is_none_or(hyper::Error::is_parse);
        let response = if awaits_request {
            FINAL_RESPONSE
        } else if is_answered && (!is_body_read || self.stream.take_arrived()) {
            &[]
        } else {
            return;
        };
        // After the timeout, the peer takes no part in the close.
        drop(tokio::time::timeout(CLOSE_TIMEOUT, self.stream.close(response)).await);
    }
}

/// Builds the HTTP server of one connection.
///
/// Guards against peers that never complete their headers, each of which would hold a connection
/// and its buffer for ever: the timeout closes the connection, and headers over the buffer limit
/// are answered with status 431.
fn build_server(limits: Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes);
    builder
}

fn has_connection_token(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut tokens = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    tokens.any(|candidate| candidate.trim().eq_ignore_ascii_case(token))
}
