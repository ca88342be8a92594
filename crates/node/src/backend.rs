//! Pool of HTTP/1 connections to the local backend server, on loopback.
//!
//! The task of a call drives the connection that the call uses. A call thus
//! never waits for another task, and dropping the call closes its connection,
//! which tells the backend server that nobody waits for the answer any more.

mod metered_stream;

use crate::backend::metered_stream::{Allowance, MAX_BYTES_WITHOUT_PROGRESS, MeteredStream};
use crate::forwarded_body::ForwardedBody;
use crate::framing::{Flaw, check_answer};
use bytes::Bytes;
use clock::Clock;
use http::{HeaderMap, HeaderName, Request, Response};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use quick_error::quick_error;
use std::error::Error as _;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Names the time after which the backend server closes an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How long a connection may be idle before it is closed.
///
/// Servers close idle connections too; of the common servers, Node.js has the shortest timeout,
/// 5 s. A request that is sent while the server closes the connection may or may not have run.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How much earlier than announced by the backend server a connection counts as closed: a request may
/// be on its way while the timeout passes, or the process may pause.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(250);

/// Maximum number of idle connections: over twice a backend server's usual 6 slots, and far
/// below the 110 connections of a backend server.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Timeout for connecting on loopback, which takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why the backend server did not answer.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be made, so the request was not sent.
        Connect {
            display("the backend server can't be reached")
        }
        /// The connection failed after part of the request may have been sent.
        Broken {
            display("the backend server broke off")
        }
        /// What the backend server sent can't be used, and its connection is closed.
        Rejected(flaw: Flaw) {
            display("the backend server sent what is no answer: {}", flaw.name())
        }
    }
}

/// Idle connections to the local backend server, ready to be reused.
#[derive(Debug)]
pub(crate) struct ConnectionPool<C> {
    clock: C,
    #[expect(
        clippy::vec_box,
        reason = "moved between pool and calls, most of a kilobyte each"
    )]
    idle: Mutex<Vec<Box<Connection>>>,
}

#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<ForwardedBody>,
    driver: http1::Connection<TokioIo<MeteredStream>, ForwardedBody>,
    allowance: Arc<Allowance>,
    idle_since: Instant,
    /// How long the connection may be idle, by the last response on it.
    idle_timeout: Duration,
}

/// The body of a backend server's response.
///
/// Returns its connection to the pool once it has been read to the end.
#[derive(Debug)]
pub(crate) struct ResponseBody<C>
where
    C: Clock,
{
    incoming: Incoming,
    connection: Option<Box<Connection>>,
    pool: Arc<ConnectionPool<C>>,
}

/// Why an exchange has no response.
#[derive(Debug)]
enum Failure {
    /// The connection closed before any of the request was sent.
    Unsent(Box<Request<ForwardedBody>>),
    /// The request may have been sent.
    Sent(Error),
}

impl<C> ConnectionPool<C>
where
    C: Clock,
{
    pub(crate) fn new(clock: C) -> Arc<Self> {
        Arc::new(Self {
            clock,
            idle: Mutex::default(),
        })
    }

    /// Takes the most recently used connection, so that the others can reach the idle timeout.
    fn take_idle(&self, address: SocketAddr) -> Option<Box<Connection>> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|connection| {
            connection.address == address
                && now.saturating_duration_since(connection.idle_since) < connection.idle_timeout
        });
        idle.pop()
    }

    fn put_idle(&self, mut connection: Box<Connection>) {
        connection.idle_since = self.clock.now();
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Drops the idle connections that the backend server has closed.
    ///
    /// Without this, an idle connection is polled only when a call takes it: after a restart of the
    /// backend server, 1 to 6 connections stayed half closed at its node until calls arrived again.
    pub(crate) fn remove_closed(&self) {
        // The next call that takes a connection polls it with its own waker.
        let mut cx = Context::from_waker(Waker::noop());
        let mut idle = self.idle.lock();
        idle.retain_mut(|connection| Pin::new(&mut connection.driver).poll(&mut cx).is_pending());
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<ForwardedBody>,
    ) -> Result<Response<ResponseBody<C>>, Error> {
        let method = request.method().clone();
        loop {
            let idle = self.take_idle(address);
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(address).await?,
            };
            if connection.is_closed().await {
                // A backend server that sends before it is asked would be connected to without end.
                if is_new {
                    return Err(Error::Connect);
                }
                self.remove_closed();
                continue;
            }
            match connection.exchange(request).await {
                Ok(mut response) => {
                    check_answer(&method, &mut response).map_err(Error::Rejected)?;
                    connection.idle_timeout = read_idle_timeout(response.headers());
                    return Ok(self.wrap_response(response, connection));
                }
                // The connection closed before any of the request was sent.
                Err(Failure::Unsent(unsent)) if !is_new => request = *unsent,
                Err(Failure::Unsent(_)) => return Err(Error::Connect),
                Err(Failure::Sent(error)) => return Err(error),
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Box<Connection>, Error> {
        let connecting = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (stream, allowance) = MeteredStream::new(stream);
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_BYTES_WITHOUT_PROGRESS);
            let (sender, driver) = builder.handshake(TokioIo::new(stream)).await.ok()?;
            Some((sender, driver, allowance))
        };
        let made = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let (sender, driver, allowance) = made.ok().flatten().ok_or(Error::Connect)?;
        Ok(Box::new(Connection {
            address,
            sender,
            driver,
            allowance,
            idle_since: self.clock.now(),
            idle_timeout: IDLE_TIMEOUT,
        }))
    }

    /// Returns whether connections to an address on this VM are refused.
    pub(crate) async fn has_no_listener(&self, address: SocketAddr) -> bool {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        matches!(connecting.await, Ok(Err(error)) if refused(&error))
    }

    fn wrap_response(
        self: &Arc<Self>,
        response: Response<Incoming>,
        connection: Box<Connection>,
    ) -> Response<ResponseBody<C>> {
        response.map(|incoming| ResponseBody {
            incoming,
            connection: Some(connection),
            pool: Arc::clone(self),
        })
    }
}

/// Returns how long the connection of a response may be idle before its next request.
///
/// The header `keep-alive` announces after how many seconds without a request the backend server
/// closes the connection; of several values, the first valid one counts.
fn read_idle_timeout(headers: &HeaderMap) -> Duration {
    let values = headers.get_all(KEEP_ALIVE).iter();
    let mut parameters = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    let announced = parameters.find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse().ok())?
    });
    announced.map_or(IDLE_TIMEOUT, |seconds| {
        let timeout = Duration::from_secs(seconds);
        timeout.saturating_sub(KEEP_ALIVE_MARGIN).min(IDLE_TIMEOUT)
    })
}

impl Connection {
    /// Polls the connection once and returns whether it is closed.
    async fn is_closed(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(Pin::new(&mut self.driver).poll(cx).is_ready())).await
    }

    /// Sends a request and waits for the head of the response.
    async fn exchange(
        &mut self,
        request: Request<ForwardedBody>,
    ) -> Result<Response<Incoming>, Failure> {
        let mut answer = pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let allowance = &self.allowance;
        allowance.renew();
        let mut driving = true;
        poll_fn(|cx| {
            if driving {
                driving = Pin::new(&mut *driver).poll(cx).is_pending();
            }
            match answer.as_mut().poll(cx) {
                Poll::Pending if allowance.is_used_up() => {
                    Poll::Ready(Err(Failure::Sent(Error::Rejected(Flaw::TooLong))))
                }
                Poll::Pending => Poll::Pending,
                Poll::Ready(Ok(response)) => {
                    allowance.renew();
                    Poll::Ready(Ok(response))
                }
                Poll::Ready(Err(mut error)) => Poll::Ready(Err(match error.take_message() {
                    Some(unsent) => Failure::Unsent(Box::new(unsent)),
                    None => Failure::Sent(classify(error.error())),
                })),
            }
        })
        .await
    }

    /// Drives the connection past the end of a response, and returns whether it can take another
    /// request.
    fn is_reusable(&mut self, cx: &mut Context<'_>) -> bool {
        Pin::new(&mut self.driver).poll(cx).is_pending() && self.sender.is_ready()
    }
}

impl<C> ResponseBody<C>
where
    C: Clock,
{
    /// Polls for the next chunk of the body; `None` marks its end.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Error>>> {
        loop {
            let mut next = Pin::new(&mut self.incoming).poll_frame(cx);
            if next.is_pending()
                && let Some(connection) = &mut self.connection
            {
                let is_closed = Pin::new(&mut connection.driver).poll(cx).is_ready();
                next = Pin::new(&mut self.incoming).poll_frame(cx);
                if next.is_pending() && connection.allowance.is_used_up() {
                    self.connection = None;
                    return Poll::Ready(Some(Err(Error::Rejected(Flaw::TooLong))));
                }
                if is_closed {
                    self.connection = None;
                }
            }
            match next {
                Poll::Pending if self.connection.is_none() => {
                    return Poll::Ready(Some(Err(Error::Broken)));
                }
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.release(cx);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    return Poll::Ready(Some(Err(classify(&error))));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    if let Some(connection) = &self.connection {
                        connection.allowance.renew();
                    }
                    if let Ok(bytes) = frame.into_data() {
                        return Poll::Ready(Some(Ok(bytes)));
                    }
                }
            }
        }
    }

    /// Drops the response and closes its connection instead of returning it to the pool.
    pub(crate) fn discard(mut self) {
        self.connection = None;
    }

    /// Returns whether the whole body has been read.
    pub(crate) fn is_end(&self) -> bool {
        self.incoming.is_end_stream()
    }

    /// Returns whether the head gives the length of the body.
    pub(crate) fn has_known_length(&self) -> bool {
        self.incoming.size_hint().exact().is_some()
    }

    /// Returns the connection to the pool for another call.
    fn release(&mut self, cx: &mut Context<'_>) {
        if let Some(mut connection) = self.connection.take()
            && connection.is_reusable(cx)
        {
            self.pool.put_idle(connection);
        }
    }
}

impl<C> Drop for ResponseBody<C>
where
    C: Clock,
{
    /// Returns the connection to the pool if the body has been read to the end.
    ///
    /// The reader of a response of known length stops at the last byte and never polls for the end
    /// of the body. Without this implementation of `Drop`, each such call would cost the backend
    /// server a new connection.
    fn drop(&mut self) {
        if self.is_end() {
            // The next call that takes the connection polls it with its own waker.
            self.release(&mut Context::from_waker(Waker::noop()));
        }
    }
}

/// Maps an error of the HTTP client, after at least part of the request was sent.
fn classify(error: &hyper::Error) -> Error {
    if error.is_parse_too_large() {
        return Error::Rejected(Flaw::TooLong);
    }
    if error.is_parse() {
        return Error::Rejected(Flaw::Malformed);
    }
    let cause = error.source().and_then(|source| source.downcast_ref());
    match cause.map(io::Error::kind) {
        // The limits on chunk extensions and trailers.
        Some(io::ErrorKind::InvalidData) => Error::Rejected(Flaw::TooLong),
        Some(io::ErrorKind::InvalidInput) => Error::Rejected(Flaw::Malformed),
        _ => Error::Broken,
    }
}
