//! How the outbound proxy serves one call of a caller.

use crate::header::{put_headers, take_end_to_end};
use crate::inbound_run::{Refused, TIMEOUT_HEADER};
use crate::link;
use crate::outbound::{Inner, pick_target};
use crate::outbound_answer::{Body, Local, Remote, VERDICT_HEADER, refuse, reject};
use crate::outbound_sent::{self, Sent};
use crate::upload::{Rest, Upload};
use bytes::{Bytes, BytesMut};
use call::{Id, Verdict};
use clock::Clock;
use config::{Class, Endpoint, Repeat, Retry, View};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, request};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::SmolStr;
use std::future::poll_fn;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::call::{Frame, Header, Reason, WINDOW};

/// Header with the name of the caller on whose behalf a call is made; its IP address stands in.
const CALLER_HEADER: &str = "bluebellpick-caller";

/// Header that names a try to the backend server, for its logs.
const CALL_HEADER: &str = "bluebellpick-call";

/// Longest time for a call. The inbound proxy remembers a peer's links for longer.
const LONGEST_TIMEOUT: Duration = Duration::from_mins(5);

/// Time that is kept back from the inbound proxy's share of a deadline.
///
/// Its verdict on a call that ran out of time must be here before the
/// deadline: half a millisecond on the way, a timer's granularity of 1 ms at
/// both ends, and room for a busy machine.
const VERDICT_MARGIN: Duration = Duration::from_millis(10);

/// Tries of a call whose route has no rule: the first, and two more after a sure "not run".
const DEFAULT_ATTEMPTS: u8 = 3;

/// What a caller is told to wait when no backend server can be reached, in milliseconds.
const UNREACHABLE_RETRY_MS: u32 = 500;

/// A call, as its tries need it.
#[derive(Debug)]
struct Plan {
    service: SmolStr,
    class: Class,
    caller: SmolStr,
    deadline: Instant,
    /// Whether it may run more than once.
    repeatable: bool,
    attempts: u8,
    /// Whether a try that may have run is followed by another.
    repeats: bool,
}

/// How a try ended.
enum Tried<C>
where
    C: Clock,
{
    Answered(Response<Body<C>>),
    /// No answer; the body is given back when it can be sent again.
    Refused(Refused, Option<outbound_sent::Body>),
}

/// Serves one call.
pub(crate) async fn serve<C>(
    inner: &Arc<Inner<C>>,
    request: Request<Incoming>,
    peer: IpAddr,
) -> Response<Body<C>>
where
    C: Clock,
{
    let (head, body) = request.into_parts();
    let view = inner.shared.view.load_full();
    let Some(plan) = make_plan(inner, &view, &head, peer) else {
        return if view.is_withheld(head.uri.path()) {
            refuse(not_run(Reason::NoService, UNREACHABLE_RETRY_MS))
        } else {
            reject(StatusCode::NOT_FOUND, "no-route")
        };
    };
    let taken = tokio::time::timeout(left(inner, plan.deadline), take_body(body)).await;
    match taken {
        Ok(Ok(body)) => serve_plan(inner, &plan, &head, body).await,
        Ok(Err(_)) => reject(StatusCode::BAD_REQUEST, "body-cut-off"),
        Err(_) => reject(StatusCode::REQUEST_TIMEOUT, "body-late"),
    }
}

fn make_plan<C>(inner: &Inner<C>, view: &View, head: &request::Parts, peer: IpAddr) -> Option<Plan>
where
    C: Clock,
{
    let route = view.route(view.find_route(head.uri.path())?);
    let own = Duration::from_millis(route.timeout_ms.into());
    let timeout = timeout_of(&head.headers)
        .unwrap_or(own)
        .min(LONGEST_TIMEOUT);
    let repeatable = is_repeatable(route.repeat, &head.method);
    let rule = route.retry.as_ref();
    let target = pick_target(&route.targets);
    Some(Plan {
        service: view.service(target).name.clone(),
        class: route.class,
        caller: caller_of(&head.headers, peer),
        deadline: inner.shared.clock.now() + timeout,
        repeatable,
        attempts: rule.map_or(DEFAULT_ATTEMPTS, |rule| rule.attempts).max(1),
        repeats: repeatable && rule.is_none_or(|rule: &Retry| rule.repeat_may_have_run),
    })
}

/// Tells whether a call may run more than once; one that nothing is said of may if its method is safe (RFC 9110).
fn is_repeatable(repeat: Repeat, method: &Method) -> bool {
    match repeat {
        Repeat::Always => true,
        Repeat::Never => false,
        Repeat::ByMethod => method.is_safe(),
    }
}

fn timeout_of(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(TIMEOUT_HEADER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}

fn caller_of(headers: &HeaderMap, peer: IpAddr) -> SmolStr {
    let name = headers
        .get(CALLER_HEADER)
        .and_then(|value| value.to_str().ok());
    name.map_or_else(|| smol_str::format_smolstr!("{peer}"), SmolStr::new)
}

/// Takes the start of a caller's body: all of it, when it is not long.
///
/// So a call with a short body can be tried again, and one whose caller dies
/// half way never reaches a backend server.
async fn take_body(mut body: Incoming) -> Result<outbound_sent::Body, hyper::Error> {
    let mut ready = Bytes::new();
    while !body.is_end_stream() {
        if ready.len() >= WINDOW {
            return Ok(outbound_sent::Body {
                ready,
                rest: Some(body),
            });
        }
        let Some(frame) = body.frame().await else {
            break;
        };
        ready = join(ready, frame?.into_data().unwrap_or_default());
    }
    Ok(outbound_sent::Body { ready, rest: None })
}

fn join(first: Bytes, second: Bytes) -> Bytes {
    if first.is_empty() {
        return second;
    }
    let mut whole = BytesMut::from(first);
    whole.extend_from_slice(&second);
    whole.freeze()
}

async fn serve_plan<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    mut body: outbound_sent::Body,
) -> Response<Body<C>>
where
    C: Clock,
{
    let mut tried = Vec::new();
    // What the caller is told in the end: one try that may have run weighs more than any that did not.
    let mut told = not_run(Reason::NoService, UNREACHABLE_RETRY_MS);
    for _ in 0..plan.attempts {
        let view = inner.shared.view.load_full();
        let Some(endpoint) = inner.pick_endpoint(&view, &plan.service, &tried) else {
            break;
        };
        tried.push(endpoint.address);
        let (refused, back) = match try_once(inner, plan, head, body, endpoint).await {
            Tried::Answered(response) => return response,
            Tried::Refused(refused, back) => (refused, back),
        };
        if told.verdict == Verdict::NotRun {
            told = refused;
        }
        let again = refused.verdict == Verdict::NotRun
            || (refused.verdict == Verdict::MayHaveRun && plan.repeats);
        match back {
            Some(back) if again && !left(inner, plan.deadline).is_zero() => body = back,
            _ => break,
        }
    }
    refuse(told)
}

async fn try_once<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    body: outbound_sent::Body,
    endpoint: &Endpoint,
) -> Tried<C>
where
    C: Clock,
{
    if endpoint.node == inner.shared.settings.name {
        try_local(inner, plan, head, body).await
    } else {
        try_remote(inner, plan, head, body, endpoint).await
    }
}

async fn try_local<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    body: outbound_sent::Body,
) -> Tried<C>
where
    C: Clock,
{
    let kept = body.ready.clone();
    let whole = body.rest.is_none();
    let upload = Upload {
        ready: (!body.ready.is_empty()).then_some(body.ready),
        rest: body.rest.map_or(Rest::Done, Rest::Caller),
    };
    let id = inner.links.next_id();
    let request = make_request(inner, plan, head, id, true);
    let call = inner.inbound.call_local(request, upload, plan.deadline);
    match call.await {
        Ok(response) => {
            let response = response.map(|running| Body::Local(Local(running)));
            Tried::Answered(mark_ran(response))
        }
        Err(refused) => {
            let back = whole.then_some(outbound_sent::Body {
                ready: kept,
                rest: None,
            });
            Tried::Refused(refused, back)
        }
    }
}

async fn try_remote<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    body: outbound_sent::Body,
    endpoint: &Endpoint,
) -> Tried<C>
where
    C: Clock,
{
    let connecting = inner.links.link(endpoint.address);
    let link = match tokio::time::timeout(left(inner, plan.deadline), connecting).await {
        Ok(Ok(link)) if link.node == endpoint.node && !link.is_leaving() => link,
        Ok(Ok(_)) => return Tried::Refused(not_run(Reason::Leaving, 0), Some(body)),
        Ok(Err(_)) | Err(_) => {
            return Tried::Refused(not_run(Reason::Backend, UNREACHABLE_RETRY_MS), Some(body));
        }
    };
    let kept = body.ready.clone();
    let first = kept.slice(..kept.len().min(WINDOW));
    let end = body.rest.is_none() && first.len() == kept.len();
    let sent = inner.links.send(&link, plan.repeatable, |id| {
        let request = make_request(inner, plan, head, id, first.is_empty() && end);
        let part = (!first.is_empty()).then(|| Frame::Body {
            id,
            bytes: first.clone(),
            end,
        });
        (request, part)
    });
    let one = match sent {
        Ok(one) => one,
        Err(link::Error::Full) => return Tried::Refused(not_run(Reason::Full, 0), Some(body)),
        Err(_) => return Tried::Refused(not_run(Reason::Backend, 0), Some(body)),
    };
    let mut sent = Sent::new(one, link, body, first.len());
    let head = tokio::time::timeout(left(inner, plan.deadline), poll_fn(|cx| sent.poll_head(cx)));
    match head.await {
        Ok(Ok(answer)) => {
            let mut response = Response::new(Body::Remote(Remote(sent)));
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            put_headers(answer.headers, response.headers_mut());
            Tried::Answered(mark_ran(response))
        }
        Ok(Err(refusal)) => {
            let back = (!sent.used).then(|| outbound_sent::Body {
                ready: kept,
                rest: sent.body.rest.take(),
            });
            Tried::Refused(refusal.into(), back)
        }
        Err(_) => Tried::Refused(may_have_run(Reason::Deadline), None),
    }
}

fn make_request<C>(
    inner: &Inner<C>,
    plan: &Plan,
    head: &request::Parts,
    id: Id,
    end: bool,
) -> wire::call::Request
where
    C: Clock,
{
    let left = left(inner, plan.deadline);
    let share = left.saturating_sub(VERDICT_MARGIN).max(left / 2);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut headers = take_end_to_end(&head.headers);
    headers.push(Header {
        name: SmolStr::new_static(CALL_HEADER),
        value: id.to_string().into(),
    });
    wire::call::Request {
        id,
        service: plan.service.clone(),
        method: head.method.as_str().into(),
        path: path.into(),
        headers,
        timeout_ms: u32::try_from(share.as_millis()).unwrap_or(u32::MAX),
        class: plan.class,
        caller: plan.caller.clone(),
        end,
    }
}

/// Adds the verdict to a backend server's answer, unless it has given its own.
fn mark_ran<B>(mut response: Response<B>) -> Response<B> {
    let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
    response
        .headers_mut()
        .entry(VERDICT_HEADER)
        .or_insert(verdict);
    response
}

fn not_run(reason: Reason, retry_after_ms: u32) -> Refused {
    Refused {
        verdict: Verdict::NotRun,
        reason,
        retry_after_ms,
    }
}

fn may_have_run(reason: Reason) -> Refused {
    Refused {
        verdict: Verdict::MayHaveRun,
        reason,
        retry_after_ms: 0,
    }
}

fn left<C>(inner: &Inner<C>, deadline: Instant) -> Duration
where
    C: Clock,
{
    deadline.saturating_duration_since(inner.shared.clock.now())
}
