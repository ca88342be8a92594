//! Runs one call on the backend server of this node.

use crate::backend::{Error, ResponseBody};
use crate::call_length::Measurement;
use crate::forwarded_body::{ForwardedBody, Rest};
use crate::header::append_headers;
use crate::inbound::admission_gate::{GateDecision, Permit};
use crate::inbound::body_receiver::HeldBody;
use crate::inbound::crash::{InFlightCall, SuspectPermit, check_quarantine};
use crate::inbound::deliver::{deliver, send_response};
use crate::inbound::inbound_call::InboundCall;
use crate::inbound::report::{apply_response, current_report};
use crate::inbound::running_calls::RunningCall;
use crate::inbound::{Inner, body_receiver, crash};
use crate::millis::whole_ms;
use crate::outbound::response::reason_name;
use crate::shared::{Backend, CountGuard};
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
use wire::call::{Header, MAX_EAGER_BODY_BYTES, Reason, Request};

/// Header with the time that a call has left, in milliseconds. Callers send it to a node, and a
/// node sends it to its backend server.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("bluebellpick-timeout-ms");

/// How long a commit may run past its deadline; most pauses of a process are shorter.
pub(crate) const MAX_COMMIT_OVERRUN: Duration = Duration::from_secs(30);

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) verdict: Verdict,
    pub(crate) reason: Reason,
    pub(crate) retry_after_ms: u32,
}

/// A response of the backend server, with the resources that it holds until its body ends.
#[derive(Debug)]
pub(crate) struct BackendResponse<C>
where
    C: Clock,
{
    body: ResponseBody<C>,
    permit: Permit<C>,
    /// Time that the call waited for its body and its slot, in milliseconds.
    queue_wait_ms: u32,
    /// Load of the VM's link in percent, for a call whose body was requested; otherwise 0.
    link_percent: u16,
    /// Keeps the call registered as in flight.
    in_flight: Box<InFlightCall<C>>,
    _counted: CountGuard<C>,
    _measurement: Box<Measurement<C>>,
}

impl Refused {
    /// Refuses a call that hasn't run; with a `retry_after_ms` of 0, the code that responds to
    /// the caller chooses the wait.
    pub(crate) fn not_run(reason: Reason, retry_after_ms: u32) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after_ms,
        }
    }

    /// Refuses a request that stays held in quarantine for another `wait`.
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

/// Runs a call that arrived over a link.
pub(crate) fn spawn<C>(inner: Arc<Inner<C>>, call: Arc<InboundCall>, request: Request)
where
    C: Clock,
{
    // Counted before the task runs, so that a node that stops doesn't miss the call.
    let counted = inner.shared.count(|shared| &shared.unread_answers);
    tokio::spawn(async move {
        let _counted = counted;
        let id = call.id;
        let deadline = deadline_after(&inner, request.timeout_ms);
        let read_ahead = tokio::select! {
            biased;
            () = call.cancelled() => {
                abandon_call(&inner, &call, Reason::Cancelled);
                None
            }
            () = wait_overdue(&inner, &call, request.class, deadline) => {
                abandon_call(&inner, &call, Reason::Deadline);
                None
            }
            () = inner.shared.call_end.reached(&inner.shared.clock) => {
                inner.shared.call_end.count_cut_off();
                abandon_call(&inner, &call, Reason::Leaving);
                None
            }
            read_ahead = serve(&inner, &call, request, deadline) => read_ahead,
        };
        call.discard_request_body();
        deliver(&inner, &call).await;
        drop(read_ahead);
        inner.finish(id);
    });
}

/// Waits until a call's time is over.
///
/// A running commit gets extra time: at the deadline, the outbound proxy responds to its caller and
/// cancels the call, unless it still needs the outcome for the idempotency key. If the call were
/// cut off here, nobody could find out whether it took effect. A commit whose body is incomplete at
/// its deadline waits for its sender rather than for the backend server, and gets no extra time.
async fn wait_overdue<C>(inner: &Inner<C>, call: &InboundCall, class: Class, deadline: Instant)
where
    C: Clock,
{
    sleep_until(inner, deadline).await;
    let runs = inner
        .attempt_table(call.id.origin)
        .lock()
        .is_running(call.id);
    if runs && class == Class::Commit && !call.expects_body() {
        tokio::time::sleep(MAX_COMMIT_OVERRUN).await;
    }
}

/// Refuses a call that nobody waits for any more; if the call was running, dropping it has closed
/// its connection, which tells the backend server that nobody waits for the answer.
pub(super) fn abandon_call<C>(inner: &Inner<C>, call: &InboundCall, reason: Reason)
where
    C: Clock,
{
    let verdict = if inner
        .attempt_table(call.id.origin)
        .lock()
        .withdraw(call.id, inner.shared.clock.now())
    {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    };
    call.refuse(verdict, reason, 0);
}

/// Runs a call and sends its response, until the backend server has finished it.
///
/// Returns the read-ahead permit of the response, if it has one.
async fn serve<C>(
    inner: &Arc<Inner<C>>,
    call: &Arc<InboundCall>,
    request: Request,
    deadline: Instant,
) -> Option<OwnedSemaphorePermit>
where
    C: Clock,
{
    let received_at = inner.shared.clock.now();
    if !can_end(inner, &request, deadline) {
        refuse_call(inner, call, Refused::not_run(Reason::Deadline, 0));
        return None;
    }
    let held = match receive_body(inner, call, &request, deadline).await {
        Ok(held) => held,
        Err(refused) => {
            refuse_call(inner, call, refused);
            return None;
        }
    };
    let body = match call.take_complete_body() {
        Some(body) => body,
        None => ForwardedBody {
            prefix: None,
            rest: Rest::Link(Arc::clone(call)),
        },
    };
    let start = || inner.attempt_table(call.id.origin).lock().start(call.id);
    let read_ahead = match run(inner, request, body, deadline, received_at, start).await {
        Ok(response) => send_response(inner, call, response).await,
        Err(refused) => {
            refuse_call(inner, call, refused);
            None
        }
    };
    drop(held);
    read_ahead
}

/// Returns whether a call can end before this node stops. A call that can't is refused like one
/// whose deadline would pass: this node may still serve shorter calls.
fn can_end<C>(inner: &Inner<C>, request: &Request, deadline: Instant) -> bool
where
    C: Clock,
{
    inner
        .lengths
        .can_end(&inner.shared, request.route, deadline)
}

/// Refuses a call. The sender of a call that is refused because of the rate limit learns the limit,
/// so that it asks before its next call.
fn refuse_call<C>(inner: &Inner<C>, call: &InboundCall, refused: Refused)
where
    C: Clock,
{
    let is_limited = refused.reason == Reason::RateLimit;
    let report = is_limited.then(|| current_report(inner)).flatten();
    call.refuse_with_report(refused, report);
}

/// Maximum number of bytes of a body that are received before the call gets a slot.
///
/// If the call got its slot earlier, the slot would be held while the body arrives: at 8 Mbit/s, a
/// photograph of 60 kB takes as long to arrive as the backend server then works on it. The rest of
/// a longer body is streamed, because a VM of 160 MB can't hold dozens of such bodies.
const MAX_HELD_BODY_BYTES: u64 = 1 << 20;

/// Waits until the body of a call has been received, up to [`MAX_HELD_BODY_BYTES`]; refuses a call
/// that would get no slot afterwards. A body that arrived with its head needs no wait.
async fn receive_body<C>(
    inner: &Arc<Inner<C>>,
    call: &Arc<InboundCall>,
    request: &Request,
    deadline: Instant,
) -> Result<Option<HeldBody<C>>, Refused>
where
    C: Clock,
{
    if !call.needs_body_credit() {
        return Ok(None);
    }
    check_quarantine(inner, request)?;
    inner
        .find_backend(&request.service)
        .map_err(|reason| Refused::not_run(reason, 0))?;
    let gate_request = admission_request(inner, request, deadline);
    if let Some(refusal) = inner.gate.precheck(&gate_request) {
        return Err(refuse_at_gate(inner, request, deadline, refusal));
    }
    let offer = body_scheduler::BodyOffer {
        call: gate_request,
        length: request.length.min(MAX_HELD_BODY_BYTES),
        run: inner.gate.expected_duration(request.route),
    };
    let received = tokio::select! {
        biased;
        received = inner.body_receiver.receive(call, &offer) => received,
        () = inner.wait_leaving() => return Err(Refused::not_run(Reason::Leaving, 0)),
    };
    received.map(Some).map_err(|error| match error {
        body_receiver::Error::Refused(refusal) => refuse_at_gate(inner, request, deadline, refusal),
        body_receiver::Error::Aborted => Refused::not_run(Reason::Cancelled, 0),
    })
}

/// Waits for a slot and sends the request to the backend server.
///
/// The call's queueing time is counted from `received_at`. `start` is called right before the
/// request is sent; it returns false if the call was withdrawn while it waited.
pub(crate) async fn run<C, S>(
    inner: &Arc<Inner<C>>,
    request: Request,
    body: ForwardedBody,
    deadline: Instant,
    received_at: Instant,
    start: S,
) -> Result<Response<BackendResponse<C>>, Refused>
where
    C: Clock,
    S: FnOnce() -> bool,
{
    let find_backend = || {
        inner
            .find_backend(&request.service)
            .map_err(|reason| Refused::not_run(reason, 0))
    };
    let counted = inner.shared.count(|shared| &shared.in_flight);
    if request.known_report.is_some() {
        let backend = find_backend()?;
        inner
            .gate
            .adopt_report(&backend, request.known_report.as_ref());
    }
    let mut measurement = inner.lengths.begin(request.route);
    let suspect_permit = SuspectPermit::acquire(inner, &request).await?;
    let offered_at = inner.shared.clock.now();
    let mut permit = wait_admission(inner, &request, deadline, &find_backend()?).await?;
    let admitted_at = inner.shared.clock.now();
    let queue_wait = admitted_at.saturating_duration_since(received_at);
    let gate_wait = admitted_at.saturating_duration_since(offered_at);
    inner.shared.metrics.failures.record_gate_wait(gate_wait);
    let parent_key = parent_key(inner, &request);
    let is_large_body = request.length > MAX_EAGER_BODY_BYTES as u64;
    let is_retry_header = |header: &Header| header.name == retry::HEADER;
    let running_call = RunningCall {
        class: request.class,
        is_retry: request.headers.iter().any(is_retry_header),
    };
    let backend = find_backend()?;
    if !can_end(inner, &request, deadline) {
        return Err(Refused::not_run(Reason::Deadline, 0));
    }
    let suspect_permit = suspect_permit.recheck(inner, &request)?;
    let digest = request.digest;
    let mut in_flight = InFlightCall::new(inner, &backend, &request, suspect_permit);
    let mut request = make_request(request, body, time_left(inner, deadline))
        .ok_or(Refused::not_run(Reason::Backend, 0))?;
    let attempt = platform::header::attempt_id(request.headers());
    if inner.shared.uses_platform_interface() {
        let (left, instance) = (time_left(inner, deadline), backend.instance.as_ref());
        platform::header::set_forward_headers(request.headers_mut(), left, instance);
    }
    if !start() {
        return Err(Refused::not_run(Reason::Cancelled, 0));
    }
    measurement.has_run = true;
    in_flight.mark_begun(inner.running_calls.register(parent_key, running_call));
    inner.shared.metrics.self_report.count_request();
    match inner.pool.exchange(backend.address, request).await {
        Ok(response) => {
            if platform::header::is_current(attempt.as_ref(), response.status(), response.headers())
            {
                apply_response(inner, &backend, response.headers());
            }
            if inner.shared.uses_platform_interface()
                && let Err((refused, outcome)) = check_response(attempt.as_ref(), &response)
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
            Ok(response.map(|body| BackendResponse {
                body,
                permit,
                queue_wait_ms: whole_ms(queue_wait),
                link_percent: if is_large_body {
                    percent_of(inner.body_receiver.load())
                } else {
                    0
                },
                in_flight: Box::new(in_flight),
                _counted: counted,
                _measurement: Box::new(measurement),
            }))
        }
        Err(Error::Connect) => {
            in_flight.set_outcome(in_flight::Outcome::NotRun);
            drop(in_flight);
            crash::detect_crash(inner, &backend).await;
            Err(Refused::not_run(Reason::Backend, 0))
        }
        Err(Error::Rejected(flaw)) => {
            in_flight.record_rejected(flaw);
            Err(Refused::may_have_run(Reason::Malformed))
        }
        Err(Error::Broken) => {
            let has_ended = in_flight.finish_broken().await;
            log_broken_connection(inner, &backend, digest, has_ended);
            Err(Refused::may_have_run(broken_reason(has_ended)))
        }
    }
}

/// Returns why the backend server broke off a call.
fn broken_reason(has_ended: bool) -> Reason {
    if has_ended {
        Reason::Crashed
    } else {
        Reason::Backend
    }
}

/// Logs that the backend server broke off a call, and whether its process has ended.
fn log_broken_connection<C>(inner: &Inner<C>, backend: &Backend, request: Digest, has_ended: bool)
where
    C: Clock,
{
    let shared = &inner.shared;
    let elapsed = shared.metrics.elapsed(shared.clock.now());
    if let Some(left_out) = shared.log_limits.gate.admit(elapsed) {
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

/// Returns the key under which nested calls of the backend server find this request as their
/// parent.
fn parent_key<C>(inner: &Inner<C>, request: &Request) -> u64
where
    C: Clock,
{
    if inner.shared.uses_platform_interface() {
        policy::hash(&request.caller)
    } else {
        policy::hash(&request.id.to_string())
    }
}

/// Checks that a response is the backend server's response to this attempt; otherwise returns the
/// refusal, and the outcome for the concurrency limit.
fn check_response<B>(
    attempt: Option<&HeaderValue>,
    response: &Response<B>,
) -> Result<(), (Refused, Outcome)> {
    let kind = platform::header::classify_response(attempt, response.status(), response.headers());
    let refused = match kind {
        header::ResponseKind::Complete => return Ok(()),
        header::ResponseKind::NotExecuted { retry_after } => {
            let wait = retry_after.unwrap_or_default().as_millis();
            let wait = u32::try_from(wait).unwrap_or(u32::MAX);
            (Refused::not_run(Reason::Shed, wait), Outcome::Shed)
        }
        header::ResponseKind::WrongInstance => {
            (Refused::not_run(Reason::NoService, 0), Outcome::Failed)
        }
        header::ResponseKind::Untrusted => {
            (Refused::may_have_run(Reason::Backend), Outcome::Failed)
        }
    };
    Err(refused)
}

/// Waits for admission to the backend server.
async fn wait_admission<C>(
    inner: &Arc<Inner<C>>,
    request: &Request,
    deadline: Instant,
    backend: &Backend,
) -> Result<Permit<C>, Refused>
where
    C: Clock,
{
    let gate_request = admission_request(inner, request, deadline);
    let decided = match inner.gate.offer(backend, &gate_request) {
        GateDecision::Run(permit) => Ok(permit),
        GateDecision::Refuse(refusal) => Err(refusal),
        // A call that waits when the backend server starts to leave is refused immediately.
        GateDecision::Wait(waiting) => tokio::select! {
            biased;
            decided = waiting.wait() => decided,
            () = inner.wait_leaving() => return Err(Refused::not_run(Reason::Leaving, 0)),
        },
    };
    decided.map_err(|refusal| refuse_at_gate(inner, request, deadline, refusal))
}

fn admission_request<C>(
    inner: &Inner<C>,
    request: &Request,
    deadline: Instant,
) -> admission::Request
where
    C: Clock,
{
    let path = request.path.split('?').next().unwrap_or_default();
    let target = request
        .target_ms
        .map(|target| deadline_after(inner, target));
    admission::Request {
        class: request.class,
        caller: policy::hash(&request.caller),
        key: policy::hash(path),
        route: request.route,
        deadline,
        target,
        parent_class: request.parent_class,
        team: request.team,
    }
}

/// Logs the refusal of a call, and converts it to the form that the sender of the call receives.
fn refuse_at_gate<C>(
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
        admission::Reason::RateLimit => Reason::RateLimit,
        admission::Reason::TeamShare => Reason::TeamShare,
    };
    let wait = whole_ms(refusal.retry_after);
    let refused = Refused::not_run(reason, wait.max(1));
    log_gate_refusal(inner, request, refused, time_left(inner, deadline));
    refused
}

/// Counts and logs a call that the gate refused, with the current load.
fn log_gate_refusal<C>(inner: &Inner<C>, request: &Request, refused: Refused, left: Duration)
where
    C: Clock,
{
    let shared = &inner.shared;
    let reason = reason_name(refused.reason);
    shared.metrics.failures.count_gate_refusal(reason);
    let elapsed = shared.metrics.elapsed(shared.clock.now());
    if let Some(left_out) = shared.log_limits.gate.admit(elapsed) {
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

/// Maps the status of a response to an outcome for the concurrency limit.
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
    /// Polls for the next chunk of the body; `None` is its end.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Error>>> {
        let chunk = self.body.poll_chunk(cx);
        if let Poll::Ready(Some(Err(error))) = &chunk {
            if let Error::Rejected(flaw) = error {
                self.in_flight.record_rejected(*flaw);
            }
            self.permit.outcome = Outcome::Failed;
            self.in_flight.detect_crash_later();
        }
        chunk
    }

    /// Returns whether the body has ended.
    pub(crate) fn is_end(&self) -> bool {
        self.body.is_end()
    }

    /// Returns whether the head gives the length of the body.
    pub(crate) fn has_known_length(&self) -> bool {
        self.body.has_known_length()
    }

    /// Returns the load figures that the outbound proxy receives with the response.
    pub(crate) fn load_report(&self) -> LoadReport {
        LoadReport {
            load: self.permit.load().max(f64::from(self.link_percent) / 100.0),
            queue_wait: Duration::from_millis(self.queue_wait_ms.into()),
            pace: self.permit.pace(),
        }
    }
}

impl<C> Drop for BackendResponse<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if self.body.is_end() {
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

fn make_request(
    request: Request,
    body: ForwardedBody,
    left: Duration,
) -> Option<http::Request<ForwardedBody>> {
    let mut made = http::Request::new(body);
    *made.method_mut() = Method::from_bytes(request.method.as_bytes()).ok()?;
    *made.uri_mut() = Uri::try_from(request.path.as_str()).ok()?;
    append_headers(request.headers, made.headers_mut());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    made.headers_mut()
        .insert(TIMEOUT_HEADER, HeaderValue::from(left));
    Some(made)
}

pub(crate) fn deadline_after<C>(inner: &Inner<C>, timeout_ms: u32) -> Instant
where
    C: Clock,
{
    inner.shared.clock.now() + Duration::from_millis(timeout_ms.into())
}

fn time_left<C>(inner: &Inner<C>, deadline: Instant) -> Duration
where
    C: Clock,
{
    deadline.saturating_duration_since(inner.shared.clock.now())
}

pub(crate) async fn sleep_until<C>(inner: &Inner<C>, deadline: Instant)
where
    C: Clock,
{
    tokio::time::sleep(time_left(inner, deadline)).await;
}
