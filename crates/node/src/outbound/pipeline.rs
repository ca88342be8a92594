//! Calls that start before the requests ahead of them on their connection have been answered.
//!
//! `policy::pipeline` decides which of them start. Each is served as any other call, in a task of
//! its own, and its response waits until its turn: a short one in memory, a long one behind the flow
//! control of its link or of its backend server's connection.

use crate::connection::{self, Target};
use crate::outbound::plan::{caller_name, kind_of_target};
use crate::outbound::response::Body;
use crate::outbound::{Inner, ShutdownStage, respond};
use bytes::BytesMut;
use clock::Clock;
use http::{Request, Response, Uri, request};
use http_body_util::BodyExt;
use log::info;
use policy::pipeline::{Decision, Kind, Limits, Position, decide};
use settings::node::Settings;
use smol_str::SmolStr;
use std::fmt;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Bytes of a response that are held in memory until its turn. The slot of a response that is
/// complete is free. Half a window, so that holding them grants the sender no further window.
const HELD_BYTES: usize = wire::call::INITIAL_WINDOW / 2;

/// Longest wait of an incomplete response. Its sender gives up on a reader that takes nothing for
/// 5 s.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// The early calls of the process.
#[derive(Debug)]
pub(crate) struct EarlyCalls {
    limits: Limits,
    count: AtomicUsize,
}

impl EarlyCalls {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            limits: Limits {
                per_connection: settings.pipelined_calls.map_or(0, usize::from),
                total: settings.pipelined_calls_total.map_or(0, usize::from),
            },
            count: AtomicUsize::new(0),
        }
    }

    /// Counts the call of the request at `position`, if it may start.
    fn try_add(&self, position: Position) -> bool {
        let add = |all| {
            let decision = decide(self.limits, position, all);
            (decision == Decision::Start).then_some(all + 1)
        };
        let added = self
            .count
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.is_ok()
    }
}

/// Starts early calls of one connection.
#[derive(Debug)]
pub(crate) struct Starter<C>
where
    C: Clock,
{
    inner: Arc<Inner<C>>,
    peer: IpAddr,
}

impl<C> Starter<C>
where
    C: Clock,
{
    /// Returns `None` if settings don't let calls start early.
    pub(crate) fn new(inner: &Arc<Inner<C>>, peer: IpAddr) -> Option<Self> {
        inner.early_calls.limits.allow_any().then(|| Self {
            inner: Arc::clone(inner),
            peer,
        })
    }
}

impl<C> connection::Starter<Body<C>> for Starter<C>
where
    C: Clock,
{
    type Call = EarlyCall<C>;

    fn kind_of(&self, target: &Target) -> Kind {
        kind_of_target(&self.inner.shared.view.load(), target)
    }

    fn start(&self, head: &request::Parts, position: Position) -> Option<EarlyCall<C>> {
        let inner = &self.inner;
        let is_serving = *inner.stage.borrow() < ShutdownStage::LameDuck;
        if !is_serving || !inner.early_calls.try_add(position) {
            return None;
        }
        let is_sent = Arc::<AtomicBool>::default();
        let call = EarlyCall {
            inner: Arc::clone(inner),
            is_sent: Arc::clone(&is_sent),
            id: caller_name(inner, head),
            uri: head.uri.clone(),
            task: tokio::spawn(run(
                Arc::clone(inner),
                Request::from_parts(head.clone(), None),
                self.peer,
                is_sent,
            )),
            is_waiting: true,
        };
        inner.shared.metrics.pipeline.count_started();
        Some(call)
    }
}

/// The response of an early call.
#[derive(Debug)]
struct Held<C>
where
    C: Clock,
{
    response: Response<Body<C>>,
    /// When the rest of the response began to wait; `None` if it is complete.
    since: Option<Instant>,
}

/// A call that was started early. Dropping it cancels the call.
pub(crate) struct EarlyCall<C>
where
    C: Clock,
{
    inner: Arc<Inner<C>>,
    task: JoinHandle<Held<C>>,
    is_sent: Arc<AtomicBool>,
    id: SmolStr,
    uri: Uri,
    /// Whether requests before it are still being served.
    is_waiting: bool,
}

impl<C> fmt::Debug for EarlyCall<C>
where
    C: Clock,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EarlyCall").finish_non_exhaustive()
    }
}

impl<C> EarlyCall<C>
where
    C: Clock,
{
    fn end_wait(&mut self) -> bool {
        let was_waiting = std::mem::replace(&mut self.is_waiting, false);
        if was_waiting {
            self.inner.early_calls.count.fetch_sub(1, Ordering::Relaxed);
        }
        was_waiting
    }

    /// Counts and logs a call that was sent and whose response no caller gets.
    fn record_discard(&self) {
        if !self.is_sent.load(Ordering::Relaxed) {
            return;
        }
        let shared = &self.inner.shared;
        shared.metrics.pipeline.count_discarded();
        let elapsed = shared.metrics.elapsed(shared.clock.now());
        if let Some(left_out) = shared.log_limits.calls.admit(elapsed) {
            let (id, path) = (self.id.as_str(), self.uri.path());
            info!(id, path, left_out; "pipelined_discarded");
        }
    }
}

impl<C> Future for EarlyCall<C>
where
    C: Clock,
{
    type Output = Option<Response<Body<C>>>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        if self.end_wait() {
            self.inner.shared.metrics.pipeline.count_used();
        }
        let held = ready!(Pin::new(&mut self.task).poll(cx));
        let now = self.inner.shared.clock.now();
        let is_fresh = |held: &Held<C>| {
            held.since
                .is_none_or(|since| now.saturating_duration_since(since) < MAX_WAIT)
        };
        let Some(held) = held.ok().filter(is_fresh) else {
            self.record_discard();
            return Poll::Ready(None);
        };
        Poll::Ready(Some(held.response))
    }
}

impl<C> Drop for EarlyCall<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        self.task.abort();
        if self.end_wait() {
            self.record_discard();
        }
    }
}

/// Serves an early call and reads the start of its response.
async fn run<C>(
    inner: Arc<Inner<C>>,
    request: Request<Option<connection::RequestBody>>,
    peer: IpAddr,
    is_sent: Arc<AtomicBool>,
) -> Held<C>
where
    C: Clock,
{
    let (head, mut body) = respond(&inner, request, peer, &is_sent).await.into_parts();
    if matches!(body, Body::Full(_)) {
        return Held {
            response: Response::from_parts(head, body),
            since: None,
        };
    }
    let mut start = BytesMut::new();
    while start.len() < HELD_BYTES {
        match body.frame().await {
            Some(Ok(frame)) => start.extend(frame.into_data()),
            Some(Err(_)) => body = Body::Truncated,
            None => body = Body::Full(None),
        }
        if matches!(body, Body::Truncated | Body::Full(_)) {
            break;
        }
    }
    let is_complete = matches!(body, Body::Truncated | Body::Full(_));
    let since = (!is_complete).then(|| inner.shared.clock.now());
    let body = Body::Prefixed(Some(start.freeze()), Box::new(body));
    Held {
        response: Response::from_parts(head, body),
        since,
    }
}
