//! One try of a call: on the own backend server, or over a link.

use crate::forwarded_body::{ForwardedBody, Rest};
use crate::header::{append_headers, collect_end_to_end};
use crate::inbound::run::{BackendResponse, Refused};
use crate::link;
use crate::millis::whole_ms;
use crate::outbound::Inner;
use crate::outbound::plan::{Plan, time_left};
use crate::outbound::remote_attempt::{self, RemoteAttempt};
use crate::outbound::response::{Body, Local, Remote, VERDICT_HEADER};
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
use wire::call::{Frame, Header, MAX_EAGER_BODY, Reason};

/// Header that names a try to the backend server, for its logs.
pub(crate) const CALL_HEADER: &str = "bluebellpick-call";

/// Time that is kept back from the inbound proxy's share of a deadline.
///
/// Its verdict on a call that ran out of time must be here before the
/// deadline: half a millisecond on the way, a timer's granularity of 1 ms at
/// both ends, and room for a busy machine.
const VERDICT_MARGIN: Duration = Duration::from_millis(10);

/// Longest wait of a call for a connection to another node.
///
/// Within a region one takes about 1 ms, between regions 70 ms. A VM without
/// power answers nothing at all: calls that waited for it as long as their
/// deadline allowed were lost, although other backend servers had room.
const CONNECT_PATIENCE: Duration = Duration::from_millis(150);

/// How a try ended.
pub(crate) enum Tried<C>
where
    C: Clock,
{
    Answered(Response<Body<C>>, Option<LoadReport>),
    /// No answer; the body is given back when it can be sent again.
    Refused(Refused, Option<remote_attempt::RequestBody>),
    /// Nothing by the deadline; what was sent may still come to something.
    Late(Late<C>),
}

/// A try that came to nothing by the deadline; dropping it cancels it.
#[derive(Debug)]
pub(crate) enum Late<C>
where
    C: Clock,
{
    Remote(RemoteAttempt),
    Local(oneshot::Receiver<Result<Response<BackendResponse<C>>, Refused>>),
}

impl<C> Late<C>
where
    C: Clock,
{
    /// Waits for what it comes to after all.
    pub(crate) async fn settle(self) -> Result<Response<Body<C>>, Refused> {
        match self {
            Self::Remote(mut sent) => match poll_fn(|cx| sent.poll_head(cx)).await {
                Ok(answer) => Ok(respond_remote(read_head(answer), sent)),
                Err(refusal) => Err(refusal.into()),
            },
            Self::Local(receiver) => match receiver.await {
                Ok(ended) => ended.map(respond_local),
                Err(_gone) => Err(Refused::may_have_run(Reason::Backend)),
            },
        }
    }
}

/// What the tries of a call before this one have shown.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct History {
    /// Those that were given to a backend server, or may have been.
    pub(crate) reached: u8,
    /// Those whose backend server ended.
    pub(crate) crashes: u8,
    /// Whether a backend server ended while it ran the request, in this call or another.
    pub(crate) is_suspect: bool,
}

/// Tries a call once.
pub(crate) async fn try_once<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    body: remote_attempt::RequestBody,
    endpoint: &Endpoint,
    history: History,
) -> Tried<C>
where
    C: Clock,
{
    let draft = make_request(inner, plan, head, history);
    if endpoint.node == inner.shared.settings.name {
        try_local(inner, plan, draft, body).await
    } else {
        try_remote(inner, plan, draft, body, endpoint).await
    }
}

async fn try_local<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    mut request: wire::call::Request,
    body: remote_attempt::RequestBody,
) -> Tried<C>
where
    C: Clock,
{
    let kept = body.prefix.clone();
    let whole = body.rest.is_none();
    let upload = ForwardedBody {
        prefix: (!body.prefix.is_empty()).then_some(body.prefix),
        rest: body.rest.map_or(Rest::Done, Rest::Caller),
    };
    let id = inner.links.next_id();
    name_try(&mut request, id);
    let ended = if plan.key.is_some() {
        let mut call = inner.inbound.spawn_local(request, upload, plan.deadline);
        match tokio::time::timeout(time_left(inner, plan.deadline), &mut call).await {
            Ok(Ok(ended)) => ended,
            Ok(Err(_gone)) => Err(Refused::may_have_run(Reason::Backend)),
            Err(_) => return Tried::Late(Late::Local(call)),
        }
    } else {
        let call = inner.inbound.call_local(request, upload, plan.deadline);
        call.await
    };
    let back = whole.then_some(remote_attempt::RequestBody {
        prefix: kept,
        rest: None,
    });
    match ended {
        Ok(response) => {
            let told = response.body().load_report();
            match find_refusal(&response, id) {
                Some(refused) => Tried::Refused(refused, back),
                None => Tried::Answered(respond_local(response), Some(told)),
            }
        }
        Err(refused) => Tried::Refused(refused, back),
    }
}

/// Finds a backend server's own word that it sheds the try `id`, which it has not begun with.
///
/// It names the try, because many a backend server passes on the answer of a
/// call that it made itself, headers and all: that one did not run, but the
/// work before it did, and would be done again.
fn find_refusal<B>(response: &Response<B>, id: Id) -> Option<Refused> {
    let headers = response.headers();
    let names_try = *headers.get(CALL_HEADER)? == *id.to_string();
    let not_begun = names_try && headers.get(VERDICT_HEADER)? == Verdict::NotRun.as_str();
    let seconds = response.headers().get(header::RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse::<u32>().ok());
    let wait = seconds.map_or(0, |seconds| seconds.saturating_mul(1_000));
    (not_begun && response.status() == StatusCode::SERVICE_UNAVAILABLE)
        .then(|| Refused::not_run(Reason::Shed, wait))
}

async fn try_remote<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    mut request: wire::call::Request,
    body: remote_attempt::RequestBody,
    endpoint: &Endpoint,
) -> Tried<C>
where
    C: Clock,
{
    let connecting = inner.links.get_or_connect(endpoint.address);
    let patience = time_left(inner, plan.deadline).min(CONNECT_PATIENCE);
    let link = match tokio::time::timeout(patience, connecting).await {
        Ok(Ok(link)) if link.node == endpoint.node && !link.is_leaving() => link,
        Ok(Ok(_)) => {
            return Tried::Refused(Refused::not_run(Reason::Leaving, 0), Some(body));
        }
        Ok(Err(_)) | Err(_) => {
            return Tried::Refused(Refused::not_run(Reason::Unreached, 0), Some(body));
        }
    };
    let kept = body.prefix.clone();
    let length = body.length();
    let credit = if length > MAX_EAGER_BODY as u64 {
        0
    } else {
        MAX_EAGER_BODY
    };
    let first = kept.slice(..kept.len().min(credit));
    let end = body.rest.is_none() && first.len() == kept.len();
    let sent = inner.links.send(&link, plan.repeatable, credit, |id| {
        name_try(&mut request, id);
        request.length = length;
        request.end = first.is_empty() && end;
        let part = (!first.is_empty()).then(|| Frame::Body {
            id,
            bytes: first.clone(),
            end,
        });
        (request, part)
    });
    let one = match sent {
        Ok(one) => one,
        Err(link::Error::Full) => {
            return Tried::Refused(Refused::not_run(Reason::Full, 0), Some(body));
        }
        Err(_) => {
            return Tried::Refused(Refused::not_run(Reason::Backend, 0), Some(body));
        }
    };
    let mut sent = RemoteAttempt::new(one, link, body, first.len());
    let waiting = poll_fn(|cx| sent.poll_head(cx));
    match tokio::time::timeout(time_left(inner, plan.deadline), waiting).await {
        Ok(Ok(answer)) => {
            let told = LoadReport {
                load: f64::from(answer.load_percent) / 100.0,
                queue_wait: Duration::from_millis(answer.queue_wait_ms.into()),
            };
            let id = answer.id;
            let head = read_head(answer);
            match find_refusal(&head, id) {
                Some(refused) => Tried::Refused(refused, sent.take_back(kept)),
                None => Tried::Answered(respond_remote(head, sent), Some(told)),
            }
        }
        Ok(Err(refusal)) => Tried::Refused(refusal.into(), sent.take_back(kept)),
        Err(_) => Tried::Late(Late::Remote(sent)),
    }
}

fn read_head(answer: wire::call::Answer) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    append_headers(answer.headers, head.headers_mut());
    head
}

fn respond_remote<C>(head: Response<()>, sent: RemoteAttempt) -> Response<Body<C>>
where
    C: Clock,
{
    finish_answer(head.map(|()| Body::Remote(Remote(sent))))
}

fn respond_local<C>(response: Response<BackendResponse<C>>) -> Response<Body<C>>
where
    C: Clock,
{
    finish_answer(response.map(|running| Body::Local(Local(running))))
}

/// Drafts a request; each try gets its own name and time.
fn make_request<C>(
    inner: &Inner<C>,
    plan: &Plan,
    head: &request::Parts,
    history: History,
) -> wire::call::Request
where
    C: Clock,
{
    let left = time_left(inner, plan.deadline);
    let share = left.saturating_sub(VERDICT_MARGIN).max(left / 2);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut headers = collect_end_to_end(&head.headers);
    if inner.shared.uses_platform_interface() {
        let origin = inner.shared.settings.service.as_deref().unwrap_or_default();
        mark_origin(&mut headers, origin);
    }
    if history.reached > 0 && !plan.retried_by_caller {
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
        timeout_ms: whole_ms(share),
        target_ms: plan
            .target
            .map(|target| whole_ms(self::time_left(inner, target))),
        class: plan.class,
        nested: plan.nested,
        caller: plan.caller.clone(),
        route: plan.route,
        length: 0,
        end: false,
        digest: plan.digest,
        is_suspect: history.is_suspect,
    }
}

/// Says on which service's VM a request began, whatever its sender says.
fn mark_origin(headers: &mut Vec<Header>, service: &str) {
    headers.retain(|header| !platform::header::is_reserved(&header.name));
    headers.push(Header {
        name: SmolStr::new_static(platform::header::CALLER_SERVICE),
        value: Bytes::copy_from_slice(service.as_bytes()),
    });
}

fn name_try(request: &mut wire::call::Request, id: Id) {
    request.id = id;
    request.headers.push(Header {
        name: SmolStr::new_static(CALL_HEADER),
        value: id.to_string().into(),
    });
}

/// Adds the verdict to a backend server's answer, in place of one that it passed on.
///
/// A backend server that sheds load says 503 and does not say whether it began.
fn finish_answer<B>(mut response: Response<B>) -> Response<B> {
    let verdict = match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    };
    let verdict = HeaderValue::from_static(verdict.as_str());
    response.headers_mut().insert(VERDICT_HEADER, verdict);
    response
}
