//! How one call is run on the node's own backend server.

use crate::backend::{Error, Reply};
use crate::header::put_headers;
use crate::inbound::admission_gate::{Offer, Permit};
use crate::inbound::body_receiver::Held;
use crate::inbound::crash::{Exclusive, InFlight, is_suspected};
use crate::inbound::deliver::{deliver, send_answer};
use crate::inbound::inbound_call::InboundCall;
use crate::inbound::running_calls::RunningCall;
use crate::inbound::{Inner, body_receiver, crash};
use crate::millis::whole_ms;
use crate::outbound::response::reason_name;
use crate::shared::{Backend, Counted};
use crate::upload::{Rest, Upload};
use bytes::Bytes;
use call::{Digest, Verdict};
use clock::Clock;
use config::Class;
use http::{HeaderName, HeaderValue, Method, Response, StatusCode, Uri};
use log::info;
use platform::header;
use policy::admission;
use policy::balance::LoadReport;
use policy::body_scheduler;
use policy::in_flight;
use policy::limit::Outcome;
use policy::retry;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;
use wire::call::{EAGER, Header, Reason, Request};

/// Header with the time that a call has left, in milliseconds; from callers, and to backend servers.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("bluebellpick-timeout-ms");

/// How long a commit may run on after its deadline; most stops of a process are shorter.
pub(crate) const MAX_COMMIT_OVERRUN: Duration = Duration::from_secs(30);

/// Why a call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) verdict: Verdict,
    pub(crate) reason: Reason,
    pub(crate) retry_after_ms: u32,
}

/// A backend server's answer, with what it holds until its body ends.
#[derive(Debug)]
pub(crate) struct BackendResponse<C>
where
    C: Clock,
{
    reply: Reply<C>,
    permit: Permit<C>,
    /// How long it waited for its body and its slot, in milliseconds.
    waited_ms: u32,
    /// How full the VM's link is, in per cent, for a call whose body was asked for; else nought.
    link_percent: u16,
    /// Counts the call as in flight.
    in_flight: Box<InFlight<C>>,
    _counted: Counted<C>,
}

impl Refused {
    /// Refuses a call that has not run; a wait of nought leaves it to the answer to name one.
    pub(crate) fn not_run(reason: Reason, retry_after_ms: u32) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after_ms,
        }
    }

    /// Refuses a request that is held for so long.
    pub(crate) fn held(wait: Duration) -> Self {
        Self::not_run(Reason::Held, whole_ms(wait).max(1))
    }

    /// Gives up on a call that may have run.
    pub(crate) fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after_ms: 0,
        }
    }
}

/// Runs a call that came over a link.
pub(crate) fn spawn<C>(inner: Arc<Inner<C>>, call: Arc<InboundCall>, request: Request)
where
    C: Clock,
{
    tokio::spawn(async move {
        let id = call.id;
        let _counted = inner.shared.count(|shared| &shared.answers);
        let deadline = deadline_of(&inner, request.timeout_ms);
        let ahead = tokio::select! {
            biased;
            () = call.cancelled() => {
                end_early(&inner, &call, Reason::Cancelled);
                None
            }
            () = overdue(&inner, &call, request.class, deadline) => {
                end_early(&inner, &call, Reason::Deadline);
                None
            }
            ahead = serve(&inner, &call, request, deadline) => ahead,
        };
        call.drop_upload();
        deliver(&inner, &call).await;
        drop(ahead);
        inner.finish(id);
    });
}

/// Waits until a call's time is over.
///
/// A commit that runs has some time more: its caller is told by the outbound
/// proxy, which cancels it then, unless it asks on for the sake of the call's
/// key. Cut off here, nobody could ever say whether it took effect. One whose
/// body has not come whole by then waits for its sender, not for the backend
/// server, and has none.
async fn overdue<C>(inner: &Inner<C>, call: &InboundCall, class: Class, deadline: Instant)
where
    C: Clock,
{
    sleep_until(inner, deadline).await;
    let runs = inner.table(call.id.origin).lock().is_running(call.id);
    if runs && class == Class::Commit && !call.wants_more() {
        tokio::time::sleep(MAX_COMMIT_OVERRUN).await;
    }
}

/// Refuses a call that nobody waits for any more; dropping its exchange has told the backend server.
pub(super) fn end_early<C>(inner: &Inner<C>, call: &InboundCall, reason: Reason)
where
    C: Clock,
{
    let verdict = if inner
        .table(call.id.origin)
        .lock()
        .withdraw(call.id, inner.shared.clock.now())
    {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    };
    call.refuse(verdict, reason, 0);
}

/// Runs a call and sends its answer, until the backend server is done with it.
///
/// Gives what allows the answer to be ahead of its reader, if it is.
async fn serve<C>(
    inner: &Arc<Inner<C>>,
    call: &Arc<InboundCall>,
    request: Request,
    deadline: Instant,
) -> Option<OwnedSemaphorePermit>
where
    C: Clock,
{
    let came = inner.shared.clock.now();
    let held = match pull(inner, call, &request, deadline).await {
        Ok(held) => held,
        Err(refused) => {
            call.refuse(refused.verdict, refused.reason, refused.retry_after_ms);
            return None;
        }
    };
    let upload = match call.take_whole() {
        Some(upload) => upload,
        None => Upload {
            ready: None,
            rest: Rest::Link(Arc::clone(call)),
        },
    };
    let start = || inner.table(call.id.origin).lock().start(call.id);
    let ahead = match run(inner, request, upload, deadline, came, start).await {
        Ok(response) => send_answer(inner, call, response).await,
        Err(refused) => {
            call.refuse(refused.verdict, refused.reason, refused.retry_after_ms);
            None
        }
    };
    drop(held);
    ahead
}

/// Longest part of a body that is held here before its call gets a slot.
///
/// A slot that is taken earlier is held while the body trickles in: at 8 Mbit/s
/// a photograph of 60 kB takes as long as the work on it. Longer bodies than this
/// are streams, which no VM of 160 MB can hold by the dozen.
const MOST_HELD: u64 = 1 << 20;

/// Waits until the body of a call is here, if the call may get a slot after it; one that
/// came with its head is not waited for.
async fn pull<C>(
    inner: &Arc<Inner<C>>,
    call: &Arc<InboundCall>,
    request: &Request,
    deadline: Instant,
) -> Result<Option<Held<C>>, Refused>
where
    C: Clock,
{
    if !call.has_unasked() {
        return Ok(None);
    }
    is_suspected(inner, request)?;
    inner
        .find_backend(&request.service)
        .map_err(|reason| Refused::not_run(reason, 0))?;
    let asked = ask_gate(inner, request, deadline);
    if let Some(refusal) = inner.gate.foresee(&asked) {
        return Err(turn_away(inner, request, deadline, refusal));
    }
    let ask = body_scheduler::BodyOffer {
        call: asked,
        length: request.length.min(MOST_HELD),
        run: inner.gate.expect(request.route),
    };
    let pulled = tokio::select! {
        biased;
        pulled = inner.bodies.pull(call, &ask) => pulled,
        () = inner.left() => return Err(Refused::not_run(Reason::Leaving, 0)),
    };
    pulled.map(Some).map_err(|error| match error {
        body_receiver::Error::Refused(refusal) => turn_away(inner, request, deadline, refusal),
        body_receiver::Error::BrokenOff => Refused::not_run(Reason::Cancelled, 0),
    })
}

/// Waits for a slot and gives a request to the backend server.
///
/// What a call has waited is counted from when it `came`.
/// `start` is asked right before: it is false for a call that was withdrawn
/// while it waited.
pub(crate) async fn run<C, S>(
    inner: &Arc<Inner<C>>,
    request: Request,
    upload: Upload,
    deadline: Instant,
    came: Instant,
    start: S,
) -> Result<Response<BackendResponse<C>>, Refused>
where
    C: Clock,
    S: FnOnce() -> bool,
{
    let find = || {
        inner
            .find_backend(&request.service)
            .map_err(|reason| Refused::not_run(reason, 0))
    };
    let counted = inner.shared.count(|shared| &shared.in_flight);
    let exclusive = Exclusive::wait(inner, &request).await?;
    let asked = inner.shared.clock.now();
    let mut permit = enter(inner, &request, deadline, find()?.slots).await?;
    let entered = inner.shared.clock.now();
    let waited = entered.saturating_duration_since(came);
    let at_gate = entered.saturating_duration_since(asked);
    inner.shared.metrics.causes.see_wait(at_gate);
    let parent_name = name_parent(inner, &request);
    let is_heavy = request.length > EAGER as u64;
    let is_repeat = |header: &Header| header.name == retry::HEADER;
    let own_run = RunningCall {
        class: request.class,
        is_retry: request.headers.iter().any(is_repeat),
    };
    let backend = find()?;
    let exclusive = exclusive.confirm(inner, &request)?;
    let digest = request.digest;
    let mut in_flight = InFlight::new(inner, &backend, &request, exclusive);
    let mut request = make_request(request, upload, left(inner, deadline))
        .ok_or(Refused::not_run(Reason::Backend, 0))?;
    let attempt = platform::header::find_attempt(request.headers());
    if inner.shared.is_on_platform() {
        let (left, instance) = (left(inner, deadline), backend.instance.as_ref());
        platform::header::write_handover(request.headers_mut(), left, instance);
    }
    if !start() {
        return Err(Refused::not_run(Reason::Cancelled, 0));
    }
    in_flight.begin(inner.parents.enter(parent_name, own_run));
    match inner.pool.exchange(backend.address, request).await {
        Ok(response) => {
            if inner.shared.is_on_platform()
                && let Err((refused, outcome)) = check_answer(attempt.as_ref(), &response)
            {
                permit.outcome = outcome;
                if refused.verdict == Verdict::MayHaveRun {
                    response.into_body().discard();
                } else {
                    in_flight.set_outcome(in_flight::Outcome::NotRun);
                }
                return Err(refused);
            }
            permit.outcome = outcome_of(response.status());
            Ok(response.map(|reply| BackendResponse {
                reply,
                permit,
                waited_ms: whole_ms(waited),
                link_percent: if is_heavy {
                    percent_of(inner.bodies.load())
                } else {
                    0
                },
                in_flight: Box::new(in_flight),
                _counted: counted,
            }))
        }
        Err(Error::Connect) => {
            in_flight.set_outcome(in_flight::Outcome::NotRun);
            drop(in_flight);
            crash::look(inner, &backend).await;
            Err(Refused::not_run(Reason::Backend, 0))
        }
        Err(Error::Broken) => {
            let has_ended = in_flight.finish_broken().await;
            tell_broken(inner, &backend, digest, has_ended);
            let reason = if has_ended {
                Reason::Crashed
            } else {
                Reason::Backend
            };
            Err(Refused::may_have_run(reason))
        }
    }
}

/// Tells that the backend server broke off a call, and whether nobody listens there any more.
fn tell_broken<C>(inner: &Inner<C>, backend: &Backend, request: Digest, has_ended: bool)
where
    C: Clock,
{
    let shared = &inner.shared;
    let elapsed = shared.metrics.counted(shared.clock.now());
    if let Some(left_out) = shared.lines.gate.take(elapsed) {
        info!(
            request:%,
            service = backend.service.as_str(),
            process = backend.process(),
            has_ended,
            in_flight = *shared.in_flight.borrow(),
            left_out;
            "backend_broke_off"
        );
    }
}

/// Gives the name by which the calls that the backend server makes for a request know it.
fn name_parent<C>(inner: &Inner<C>, request: &Request) -> u64
where
    C: Clock,
{
    if inner.shared.is_on_platform() {
        policy::hash(&request.caller)
    } else {
        policy::hash(&request.id.to_string())
    }
}

/// Tells why an answer is not the backend server's to this request, and what it says of its load.
fn check_answer<B>(
    attempt: Option<&HeaderValue>,
    response: &Response<B>,
) -> Result<(), (Refused, Outcome)> {
    let judged = platform::header::judge(attempt, response.status(), response.headers());
    let refused = match judged {
        header::Answer::Whole => return Ok(()),
        header::Answer::NotBegun { retry_after } => {
            let wait = retry_after.unwrap_or_default().as_millis();
            let wait = u32::try_from(wait).unwrap_or(u32::MAX);
            (Refused::not_run(Reason::Shed, wait), Outcome::Shed)
        }
        header::Answer::Elsewhere => (Refused::not_run(Reason::NoService, 0), Outcome::Failed),
        header::Answer::Foreign => (Refused::may_have_run(Reason::Backend), Outcome::Failed),
    };
    Err(refused)
}

/// Waits at the gate.
async fn enter<C>(
    inner: &Arc<Inner<C>>,
    request: &Request,
    deadline: Instant,
    slots: u16,
) -> Result<Permit<C>, Refused>
where
    C: Clock,
{
    let asked = ask_gate(inner, request, deadline);
    let decided = match inner.gate.offer(slots, &asked) {
        Offer::Run(permit) => Ok(permit),
        Offer::Refuse(refusal) => Err(refusal),
        // What waits when the server begins to leave is refused at that instant.
        Offer::Wait(waiting) => tokio::select! {
            biased;
            decided = waiting.decided() => decided,
            () = inner.left() => return Err(Refused::not_run(Reason::Leaving, 0)),
        },
    };
    decided.map_err(|refusal| turn_away(inner, request, deadline, refusal))
}

fn ask_gate<C>(inner: &Inner<C>, request: &Request, deadline: Instant) -> admission::Request
where
    C: Clock,
{
    let path = request.path.split('?').next().unwrap_or_default();
    let target = request.target_ms.map(|target| deadline_of(inner, target));
    admission::Request {
        class: request.class,
        caller: policy::hash(&request.caller),
        key: policy::hash(path),
        route: request.route,
        deadline,
        target,
        nested: request.nested,
    }
}

/// Tells that a call was refused, and gives what its sender is told.
fn turn_away<C>(
    inner: &Inner<C>,
    request: &Request,
    deadline: Instant,
    refusal: admission::Refusal,
) -> Refused
where
    C: Clock,
{
    let reason = match refusal.reason {
        admission::Reason::Full => Reason::Full,
        admission::Reason::Deadline => Reason::Deadline,
    };
    let wait = whole_ms(refusal.retry_after);
    let refused = Refused::not_run(reason, wait.max(1));
    tell_gate(inner, request, refused, left(inner, deadline));
    refused
}

/// Tells that the gate turned a call away, and how full it was.
fn tell_gate<C>(inner: &Inner<C>, request: &Request, refused: Refused, left: Duration)
where
    C: Clock,
{
    let shared = &inner.shared;
    let reason = reason_name(refused.reason);
    shared.metrics.causes.count_turned_away(reason);
    let elapsed = shared.metrics.counted(shared.clock.now());
    if let Some(left_out) = shared.lines.gate.take(elapsed) {
        let load = inner.gate.load();
        info!(
            id = request.caller.as_str(),
            call:% = request.id,
            service = request.service.as_str(),
            reason,
            load,
            retry_after_ms = refused.retry_after_ms,
            left_ms = left.as_millis(),
            left_out;
            "call_turned_away"
        );
    }
}

/// Tells what an answer's status says of the backend server's load.
fn outcome_of(status: StatusCode) -> Outcome {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Shed,
        status if status.is_server_error() => Outcome::Failed,
        _ => Outcome::Done,
    }
}

impl<C> BackendResponse<C>
where
    C: Clock,
{
    /// Waits for the next part of the body; `None` ends it.
    pub(crate) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        let part = self.reply.poll_part(cx);
        if matches!(part, Poll::Ready(Some(Err(_)))) {
            self.permit.outcome = Outcome::Failed;
            self.in_flight.look_later();
        }
        part
    }

    /// Tells whether no part follows.
    pub(crate) fn is_end(&self) -> bool {
        self.reply.is_end()
    }

    /// Gives what the outbound proxy is told along with the answer.
    pub(crate) fn load_report(&self) -> LoadReport {
        LoadReport {
            load: self.permit.load().max(f64::from(self.link_percent) / 100.0),
            queue_wait: Duration::from_millis(self.waited_ms.into()),
        }
    }
}

impl<C> Drop for BackendResponse<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if self.reply.is_end() {
            self.in_flight.set_outcome(in_flight::Outcome::Answered);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to what fits"
)]
pub(super) fn percent_of(load: f64) -> u16 {
    (load * 100.0).clamp(0.0, f64::from(u16::MAX)) as u16
}

fn make_request(request: Request, upload: Upload, left: Duration) -> Option<http::Request<Upload>> {
    let mut made = http::Request::new(upload);
    *made.method_mut() = Method::from_bytes(request.method.as_bytes()).ok()?;
    *made.uri_mut() = Uri::try_from(request.path.as_str()).ok()?;
    put_headers(request.headers, made.headers_mut());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    made.headers_mut()
        .insert(TIMEOUT_HEADER, HeaderValue::from(left));
    Some(made)
}

pub(crate) fn deadline_of<C>(inner: &Inner<C>, timeout_ms: u32) -> Instant
where
    C: Clock,
{
    inner.shared.clock.now() + Duration::from_millis(timeout_ms.into())
}

fn left<C>(inner: &Inner<C>, deadline: Instant) -> Duration
where
    C: Clock,
{
    deadline.saturating_duration_since(inner.shared.clock.now())
}

pub(crate) async fn sleep_until<C>(inner: &Inner<C>, deadline: Instant)
where
    C: Clock,
{
    tokio::time::sleep(left(inner, deadline)).await;
}
