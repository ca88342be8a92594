//! Calls that start before the requests ahead of them on their connection have been answered.
//!
//! The HTTP server parses and answers one request at a time, and it alone judges where a request
//! ends. While it waits for a response, [`Stream`](super::stream::Stream) keeps the bytes that
//! arrive, and the calls of complete heads in them are started. When the server has parsed such a
//! request itself, the response of its early call is used if both heads are equal. Otherwise all
//! early calls are cancelled, and the request starts anew.

use crate::connection::{Exchange, Phase, has_connection_token};
use crate::header::IDEMPOTENCY_KEY;
use bytes::{Buf, BytesMut};
use http::request;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version, header};
use hyper::body::{Body as _, Incoming};
use parking_lot::Mutex;
use policy::pipeline::{Kind, Position};
use std::collections::VecDeque;
use std::future::Pending;
use std::sync::Arc;
use tokio::io::ReadBuf;

/// Size of the bytes read ahead on one connection from which on no more are read. Forty heads of
/// browsers without cookies fit.
pub(super) const MAX_AHEAD_BYTES: usize = 16 << 10;

/// Maximum number of headers of a request, the same as the HTTP server's.
const MAX_HEADERS: usize = 100;

/// End of a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Starts calls early.
pub(crate) trait Starter<B> {
    /// A call that was started early. Its drop cancels the call. The output is `None` if the call
    /// must start anew.
    type Call: Future<Output = Option<Response<B>>> + Unpin;

    /// Returns the kind of requests for `target` that have no body.
    fn kind_of(&self, target: &Target) -> Kind;

    /// Starts the call of the request at `position`, if it may start now.
    fn start(&self, head: &request::Parts, position: Position) -> Option<Self::Call>;
}

/// Starts no calls early.
impl<B> Starter<B> for () {
    type Call = Pending<Option<Response<B>>>;

    fn kind_of(&self, _target: &Target) -> Kind {
        Kind::Alone
    }

    fn start(&self, _head: &request::Parts, _position: Position) -> Option<Self::Call> {
        None
    }
}

/// What determines the route of a request.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) host: Option<HeaderValue>,
}

impl Target {
    fn of(method: &Method, uri: &Uri, headers: &HeaderMap) -> Self {
        Self {
            method: method.clone(),
            uri: uri.clone(),
            host: headers.get(header::HOST).cloned(),
        }
    }
}

/// Bytes that have arrived and that the HTTP server has not been given yet.
#[derive(Debug, Default)]
pub(super) struct ReadAhead {
    bytes: BytesMut,
    /// Length of the heads at the start of `bytes` whose calls have been started.
    started: usize,
    /// The head behind these; `None` until it is complete.
    next: Option<Next>,
    /// Number of bytes behind `started` in which no head ends.
    searched: usize,
    /// Whether the HTTP server has no bytes behind the request that it is serving.
    is_at_boundary: bool,
    /// Number of bytes that the HTTP server has been given.
    taken: usize,
}

pub(super) type SharedReadAhead = Arc<Mutex<ReadAhead>>;

/// A complete head that the HTTP server has not been given yet.
#[derive(Debug)]
struct Next {
    /// The head of a request that may start early; `None` for all others.
    head: Option<Box<request::Parts>>,
    length: usize,
    kind: Kind,
}

impl ReadAhead {
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub(super) fn keep(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Records that the HTTP server looks for the end of the connection while it serves a request.
    /// It does so only if it has no bytes behind that request.
    pub(super) fn set_at_boundary(&mut self) {
        self.is_at_boundary = true;
    }

    /// Moves the first head to `buf`, or everything if no head is complete.
    pub(super) fn take_head(&mut self, buf: &mut ReadBuf<'_>) {
        let length = find_head_end(&self.bytes).unwrap_or(self.bytes.len());
        self.take(length, buf);
    }

    /// Moves everything that fits to `buf`.
    pub(super) fn take_all(&mut self, buf: &mut ReadBuf<'_>) {
        self.take(self.bytes.len(), buf);
    }

    fn take(&mut self, length: usize, buf: &mut ReadBuf<'_>) {
        let length = length.min(buf.remaining());
        buf.put_slice(&self.bytes[..length]);
        self.bytes.advance(length);
        self.taken = self.taken.wrapping_add(length);
        if self.bytes.is_empty() {
            // Most connections never have bytes here.
            self.bytes = BytesMut::new();
        }
        if length > self.started {
            self.restart();
        } else {
            self.started -= length;
        }
    }

    /// Forgets which calls have been started.
    fn restart(&mut self) {
        self.started = 0;
        self.searched = 0;
        self.next = None;
    }

    /// Reads the head behind those whose calls have been started.
    fn read_next<F>(&mut self, kind_of: F) -> Option<&Next>
    where
        F: FnOnce(&Target) -> Kind,
    {
        if self.next.is_none() {
            let rest = &self.bytes[self.started..];
            let Some(length) = find_head_end(&rest[self.searched..]) else {
                self.searched = rest.len().saturating_sub(HEAD_END.len() - 1);
                return None;
            };
            let length = self.searched + length;
            let head = parse_head(&rest[..length]).map(Box::new);
            let kind = head.as_ref().map_or(Kind::Alone, |head| {
                kind_of(&Target::of(&head.method, &head.uri, &head.headers))
            });
            self.next = Some(Next { head, length, kind });
        }
        self.next.as_ref()
    }

    /// Takes the head that was read last, whose call has been started.
    fn take_next(&mut self) -> Option<request::Parts> {
        let next = self.next.take()?;
        self.started += next.length;
        self.searched = 0;
        next.head.map(|head| *head)
    }
}

/// Returns the length of `bytes` up to the end of the first head.
pub(super) fn find_head_end(bytes: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(HEAD_END.len());
    let start = windows.position(|window| window == HEAD_END)?;
    Some(start + HEAD_END.len())
}

/// Parses the head of a request. Returns `None` unless the request may start early as far as its
/// head tells.
fn parse_head(bytes: &[u8]) -> Option<request::Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(bytes).ok()?;
    let path = parsed.path.filter(|path| path.starts_with('/'))?;
    if status != httparse::Status::Complete(bytes.len()) || parsed.version != Some(1) {
        return None;
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = path.parse().ok()?;
    for header in &*parsed.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    let (head, ()) = request.into_parts();
    is_plain(head.version, &head.headers).then_some(head)
}

/// Returns whether a request has no body and says nothing about its connection, nor that it must
/// not run twice.
fn is_plain(version: Version, headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    version == Version::HTTP_11
        && lengths.all(|length| length == "0")
        && !headers.contains_key(header::TRANSFER_ENCODING)
        && !headers.contains_key(header::EXPECT)
        && !headers.contains_key(header::UPGRADE)
        && !headers.contains_key(IDEMPOTENCY_KEY)
        && !has_connection_token(headers, "close")
}

/// The early calls of one connection.
#[derive(Debug)]
pub(super) struct Pipeline<S, C> {
    /// `None` if calls don't start early.
    starter: Option<S>,
    ahead: SharedReadAhead,
    queue: Mutex<Queue<C>>,
}

#[derive(Debug)]
struct Queue<C> {
    running: Running,
    calls: VecDeque<(request::Parts, C)>,
}

/// The request that is being served.
#[derive(Debug)]
enum Running {
    /// It has no body; whether it overlaps is found out when another request arrives.
    Plain(Target),
    Known(Kind),
}

impl Running {
    fn kind<F>(&mut self, kind_of: F) -> Kind
    where
        F: FnOnce(&Target) -> Kind,
    {
        let kind = match self {
            Self::Plain(target) => kind_of(target),
            Self::Known(kind) => *kind,
        };
        *self = Self::Known(kind);
        kind
    }
}

impl<S, C> Pipeline<S, C> {
    pub(super) fn new(starter: Option<S>) -> Self {
        Self {
            starter,
            ahead: SharedReadAhead::default(),
            queue: Mutex::new(Queue {
                running: Running::Known(Kind::Alone),
                calls: VecDeque::new(),
            }),
        }
    }

    /// Returns the buffer for bytes read ahead; `None` if calls don't start early.
    pub(super) fn read_ahead(&self) -> Option<SharedReadAhead> {
        self.starter.as_ref().map(|_| Arc::clone(&self.ahead))
    }

    /// Returns whether no early call waits for its turn.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.lock().calls.is_empty()
    }

    /// Returns how many of the bytes read ahead the HTTP server has been given; `None` if none are
    /// left.
    pub(super) fn bytes_taken(&self) -> Option<usize> {
        let ahead = self.ahead.lock();
        (!ahead.is_empty()).then_some(ahead.taken)
    }

    /// Cancels all early calls. Returns whether there were any.
    pub(super) fn cancel(&self) -> bool {
        let calls = std::mem::take(&mut self.queue.lock().calls);
        self.ahead.lock().restart();
        !calls.is_empty()
    }

    /// Begins a request that the HTTP server has parsed, and returns its early call, if it has one.
    pub(super) fn begin(&self, request: &Request<Incoming>) -> Option<C> {
        self.starter.as_ref()?;
        self.ahead.lock().is_at_boundary = false;
        let (uri, headers) = (request.uri(), request.headers());
        let is_plain = request.body().is_end_stream() && is_plain(request.version(), headers);
        let mut queue = self.queue.lock();
        queue.running = if is_plain {
            Running::Plain(Target::of(request.method(), uri, headers))
        } else {
            Running::Known(Kind::Alone)
        };
        let (head, call) = queue.calls.pop_front()?;
        drop(queue);
        let is_same = head.method == *request.method()
            && head.uri == *uri
            && head.version == request.version()
            && head.headers == *headers;
        if !is_same {
            drop(call);
            self.cancel();
            return None;
        }
        Some(call)
    }

    /// Starts the calls of requests that have arrived, as far as they may start now.
    pub(super) fn start_calls<B>(&self, exchange: &Mutex<Exchange>)
    where
        S: Starter<B, Call = C>,
    {
        let Some(starter) = &self.starter else {
            return;
        };
        let mut ahead = self.ahead.lock();
        if !ahead.is_at_boundary || ahead.is_empty() || exchange.lock().phase != Phase::Running {
            return;
        }
        let mut queue = self.queue.lock();
        let before = queue.running.kind(|target| starter.kind_of(target));
        while let Some(next) = ahead.read_next(|target| starter.kind_of(target)) {
            let position = Position {
                before,
                kind: next.kind,
                own: queue.calls.len(),
            };
            let head = next.head.as_ref();
            let Some(call) = head.and_then(|head| starter.start(head, position)) else {
                return;
            };
            let head = ahead.take_next();
            queue.calls.extend(head.map(|head| (head, call)));
        }
    }
}
