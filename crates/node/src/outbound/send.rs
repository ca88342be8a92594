//! Sends one attempt of a call, to the local backend server or over a link.

use crate::forwarded_body::{ForwardedBody, Rest};
use crate::header::{append_headers, collect_end_to_end};
use crate::inbound::run::{BackendResponse, Refused};
use crate::link;
use crate::millis::whole_ms;
use crate::outbound::Inner;
use crate::outbound::access::set_team_header;
use crate::outbound::local_body::{Local, LocalLimit};
use crate::outbound::plan::{Plan, time_left};
use crate::outbound::remote_attempt::{self, RemoteAttempt};
use crate::outbound::response::{Body, Remote, VERDICT_HEADER};
use bytes::Bytes;
use call::{Id, Verdict};
use clock::Clock;
use config::Endpoint;
use http::{HeaderValue, Response, StatusCode, header, request};
use policy::balance::LoadReport;
use policy::retry;
use smol_str::SmolStr;
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use wire::call::{Frame, Header, MAX_EAGER_BODY_BYTES, Reason};

/// Header that tells the backend server the ID of the attempt, for its logs.
pub(crate) const CALL_HEADER: &str = "bluebellpick-call";

/// Time by which the inbound proxy's deadline is earlier than that of the call.
///
/// The inbound proxy's verdict on a call that timed out must arrive before the
/// call's deadline. The margin covers half a millisecond of network latency, a
/// timer granularity of 1 ms at both ends, and delays on a busy machine.
const VERDICT_MARGIN: Duration = Duration::from_millis(10);

/// Maximum time for which a call waits for a connection to another node.
///
/// Connecting takes about 1 ms within a region and 70 ms between regions. A VM without power
/// doesn't respond at all. Calls that waited for such a VM until their deadline were lost although
/// other backend servers had free slots.
const MAX_CONNECT_WAIT: Duration = Duration::from_millis(150);

/// The result of an attempt.
pub(crate) enum AttemptResult<C>
where
    C: Clock,
{
    Answered(Response<Body<C>>, Option<LoadReport>),
    /// Not answered. The body is returned if it can be sent again.
    Refused(Refused, Option<remote_attempt::RequestBody>),
    /// No result by the deadline. The attempt may still get a result.
    TimedOut(PendingAttempt<C>),
}

/// An attempt that had no result by the deadline. Dropping it cancels the attempt.
#[derive(Debug)]
pub(crate) enum PendingAttempt<C>
where
    C: Clock,
{
    Remote(RemoteAttempt),
    Local(
        oneshot::Receiver<Result<Response<BackendResponse<C>>, Refused>>,
        LocalLimit<C>,
    ),
}

impl<C> PendingAttempt<C>
where
    C: Clock,
{
    /// Waits for the attempt's result.
    pub(crate) async fn wait(self) -> Result<Response<Body<C>>, Refused> {
        match self {
            Self::Remote(mut remote) => match poll_fn(|cx| remote.poll_head(cx)).await {
                Ok(answer) => Ok(remote_response(response_head(answer), remote)),
                Err(refusal) => Err(refusal.into()),
            },
            Self::Local(receiver, limit) => match receiver.await {
                Ok(result) => result.map(|response| local_response(response, limit)),
                Err(_dropped) => Err(Refused::may_have_run(Reason::Backend)),
            },
        }
    }
}

/// What the earlier attempts of a call have shown.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AttemptHistory {
    /// Attempts that were handed to a backend server, or may have been.
    pub(crate) dispatched: u8,
    /// Attempts whose backend server crashed.
    pub(crate) crashes: u8,
    /// Whether a backend server crashed while it ran the request, in this call or another.
    pub(crate) is_suspect: bool,
}

/// Sends one attempt of a call and waits for its result.
pub(crate) async fn send_attempt<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    body: remote_attempt::RequestBody,
    endpoint: &Endpoint,
    history: AttemptHistory,
) -> AttemptResult<C>
where
    C: Clock,
{
    let mut draft = draft_request(inner, plan, head, history);
    draft.known_report = inner.reports.find(&endpoint.node);
    if endpoint.node == inner.shared.settings.name {
        send_local(inner, plan, draft, body).await
    } else {
        send_remote(inner, plan, draft, body, endpoint).await
    }
}

async fn send_local<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    mut request: wire::call::Request,
    body: remote_attempt::RequestBody,
) -> AttemptResult<C>
where
    C: Clock,
{
    let prefix = body.prefix.clone();
    let is_buffered = body.rest.is_none();
    let forwarded = ForwardedBody {
        prefix: (!body.prefix.is_empty()).then_some(body.prefix),
        rest: body.rest.map_or(Rest::Done, Rest::Caller),
    };
    let id = inner.links.next_id();
    set_attempt_id(&mut request, id);
    let limit = LocalLimit::new(&inner.shared.clock, plan.class, plan.deadline);
    let result = if plan.key.is_some() {
        let mut call = inner.inbound.spawn_local(request, forwarded, plan.deadline);
        match tokio::time::timeout(time_left(inner, plan.deadline), &mut call).await {
            Ok(Ok(result)) => result,
            Ok(Err(_dropped)) => Err(Refused::may_have_run(Reason::Backend)),
            Err(_) => return AttemptResult::TimedOut(PendingAttempt::Local(call, limit)),
        }
    } else {
        let call = inner.inbound.call_local(request, forwarded, plan.deadline);
        call.await
    };
    inner
        .reports
        .record(&inner.shared.settings.name, inner.inbound.report());
    let returned = is_buffered.then_some(remote_attempt::RequestBody { prefix, rest: None });
    match result {
        Ok(response) => {
            let report = response.body().load_report();
            match shed_refusal(&response, id) {
                Some(refused) => AttemptResult::Refused(refused, returned),
                None => AttemptResult::Answered(local_response(response, limit), Some(report)),
            }
        }
        Err(refused) => AttemptResult::Refused(refused, returned),
    }
}

/// Returns the refusal if the backend server says that it shed attempt `id` before starting on it.
///
/// The response must carry the attempt's ID, because many backend servers forward the response of a
/// call that they made themselves, headers included. That nested call did not run, but the work
/// before it was done, and a retry would repeat that work.
fn shed_refusal<B>(response: &Response<B>, id: Id) -> Option<Refused> {
    let headers = response.headers();
    let names_attempt = *headers.get(CALL_HEADER)? == *id.to_string();
    let was_shed = names_attempt && headers.get(VERDICT_HEADER)? == Verdict::NotRun.as_str();
    let seconds = response.headers().get(header::RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse::<u32>().ok());
    let wait = seconds.map_or(0, |seconds| seconds.saturating_mul(1_000));
    (was_shed && response.status() == StatusCode::SERVICE_UNAVAILABLE)
        .then(|| Refused::not_run(Reason::Shed, wait))
}

async fn send_remote<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    mut request: wire::call::Request,
    body: remote_attempt::RequestBody,
    endpoint: &Endpoint,
) -> AttemptResult<C>
where
    C: Clock,
{
    let connecting = inner.links.get_or_connect(endpoint.address);
    let max_wait = time_left(inner, plan.deadline).min(MAX_CONNECT_WAIT);
    let link = match tokio::time::timeout(max_wait, connecting).await {
        Ok(Ok(link)) if link.node == endpoint.node && !link.is_leaving() => link,
        Ok(Ok(_)) => {
            return AttemptResult::Refused(Refused::not_run(Reason::Leaving, 0), Some(body));
        }
        Ok(Err(_)) | Err(_) => {
            return AttemptResult::Refused(Refused::not_run(Reason::Unreached, 0), Some(body));
        }
    };
    let prefix = body.prefix.clone();
    let length = body.length();
    let credit = if length > MAX_EAGER_BODY_BYTES as u64 {
        0
    } else {
        MAX_EAGER_BODY_BYTES
    };
    let eager = prefix.slice(..prefix.len().min(credit));
    let end = body.rest.is_none() && eager.len() == prefix.len();
    let sent = inner.links.send(&link, plan.repeatable, credit, |id| {
        set_attempt_id(&mut request, id);
        request.length = length;
        request.end = eager.is_empty() && end;
        let chunk = (!eager.is_empty()).then(|| Frame::Body {
            id,
            bytes: eager.clone(),
            end,
        });
        (request, chunk)
    });
    let attempt = match sent {
        Ok(attempt) => attempt,
        Err(link::Error::Full) => {
            return AttemptResult::Refused(Refused::not_run(Reason::Full, 0), Some(body));
        }
        Err(link::Error::Leaving) => {
            return AttemptResult::Refused(Refused::not_run(Reason::Leaving, 0), Some(body));
        }
        Err(_) => {
            return AttemptResult::Refused(Refused::not_run(Reason::Backend, 0), Some(body));
        }
    };
    let mut remote = RemoteAttempt::new(attempt, link, body, eager.len());
    let waiting = poll_fn(|cx| remote.poll_head(cx));
    match tokio::time::timeout(time_left(inner, plan.deadline), waiting).await {
        Ok(Ok(answer)) => {
            let report = LoadReport {
                load: f64::from(answer.load_percent) / 100.0,
                queue_wait: Duration::from_millis(answer.queue_wait_ms.into()),
                pace: answer.pace_percent.map(|pace| f64::from(pace) / 100.0),
            };
            let id = answer.id;
            let head = response_head(answer);
            match shed_refusal(&head, id) {
                Some(refused) => AttemptResult::Refused(refused, remote.take_back(prefix)),
                None => AttemptResult::Answered(remote_response(head, remote), Some(report)),
            }
        }
        Ok(Err(refusal)) => AttemptResult::Refused(refusal.into(), remote.take_back(prefix)),
        Err(_) => AttemptResult::TimedOut(PendingAttempt::Remote(remote)),
    }
}

fn response_head(answer: wire::call::Answer) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    append_headers(answer.headers, head.headers_mut());
    head
}

fn remote_response<C>(head: Response<()>, remote: RemoteAttempt) -> Response<Body<C>>
where
    C: Clock,
{
    set_verdict(head.map(|()| Body::Remote(Remote(remote))))
}

fn local_response<C>(
    response: Response<BackendResponse<C>>,
    limit: LocalLimit<C>,
) -> Response<Body<C>>
where
    C: Clock,
{
    set_verdict(response.map(|body| Body::Local(Box::new(Local::new(body, limit)))))
}

/// Creates the request of an attempt, except for its ID and body. Each attempt gets its own timeout.
fn draft_request<C>(
    inner: &Inner<C>,
    plan: &Plan,
    head: &request::Parts,
    history: AttemptHistory,
) -> wire::call::Request
where
    C: Clock,
{
    let remaining = time_left(inner, plan.deadline);
    let timeout = remaining.saturating_sub(VERDICT_MARGIN).max(remaining / 2);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut headers = collect_end_to_end(&head.headers);
    if inner.shared.uses_platform_interface() {
        let service = inner.shared.settings.service.as_deref().unwrap_or_default();
        set_caller_service(&mut headers, service);
    }
    set_team_header(inner, &mut headers, &plan.team, plan.requires_keys);
    if history.dispatched > 0 && !plan.retried_by_caller {
        headers.push(Header {
            name: SmolStr::new_static(retry::HEADER),
            value: Bytes::from_static(b"1"),
        });
    }
    wire::call::Request {
        id: Id {
            origin: 0,
            sequence: 0,
        },
        service: plan.service.clone(),
        method: head.method.as_str().into(),
        path: path.into(),
        headers,
        timeout_ms: whole_ms(timeout),
        target_ms: plan
            .target
            .map(|target| whole_ms(self::time_left(inner, target))),
        class: plan.class,
        parent_class: plan.parent_class,
        caller: plan.caller.clone(),
        route: plan.route,
        length: 0,
        end: false,
        digest: plan.digest,
        is_suspect: history.is_suspect,
        known_report: None,
        team: plan.team.hash(),
    }
}

/// Sets the header with the service on whose VM a request originated, after removing all reserved
/// headers that the sender set.
fn set_caller_service(headers: &mut Vec<Header>, service: &str) {
    headers.retain(|header| !platform::header::is_reserved(&header.name));
    headers.push(Header {
        name: SmolStr::new_static(platform::header::CALLER_SERVICE),
        value: Bytes::copy_from_slice(service.as_bytes()),
    });
}

fn set_attempt_id(request: &mut wire::call::Request, id: Id) {
    request.id = id;
    request.headers.push(Header {
        name: SmolStr::new_static(CALL_HEADER),
        value: id.to_string().into(),
    });
}

/// Sets the verdict on a backend server's response, replacing one that the backend server forwarded.
///
/// A backend server that sheds load responds with 503, which doesn't say
/// whether the call has begun to run.
fn set_verdict<B>(mut response: Response<B>) -> Response<B> {
    let verdict = match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    };
    let verdict = HeaderValue::from_static(verdict.as_str());
    response.headers_mut().insert(VERDICT_HEADER, verdict);
    response
}
