//! How the outbound proxy serves one call of a caller.

use crate::header::{put_headers, take_end_to_end};
use crate::inbound_run::{Refused, TIMEOUT_HEADER};
use crate::link;
use crate::metrics::Ending;
use crate::outbound::{Inner, pick_target};
use crate::outbound_answer::{Body, Local, Remote, VERDICT_HEADER, refuse, reject};
use crate::outbound_sent::{self, Sent};
use crate::outbound_service::{Ask, Picked, Service};
use crate::upload::{Rest, Upload};
use bytes::{Bytes, BytesMut};
use call::{Id, Verdict};
use clock::Clock;
use config::{Class, Endpoint, Objective, Repeat, Retry, View};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, request};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::balance::{Key, Outcome};
use policy::retry::{self, Cause, Decision};
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

/// Tries of a call whose route has no rule, the first included.
const DEFAULT_ATTEMPTS: u8 = 3;

/// What a caller is told to wait when no backend server can be reached, in milliseconds.
const UNREACHABLE_RETRY_MS: u32 = 500;

/// A call, as its tries need it.
#[derive(Debug)]
struct Plan {
    service: SmolStr,
    known: Arc<Service>,
    class: Class,
    caller: SmolStr,
    /// Hash of the route and method.
    route: u64,
    rule: Option<Retry>,
    deadline: Instant,
    /// Whether it may run more than once.
    repeatable: bool,
    /// Whether a layer above tries it again already.
    retried_above: bool,
}

impl Plan {
    fn attempts(&self) -> u8 {
        let attempts = self.rule.as_ref().map(|rule| rule.attempts);
        attempts.unwrap_or(DEFAULT_ATTEMPTS).max(1)
    }

    /// Tells whether a try that may have run is followed by another.
    fn repeats(&self) -> bool {
        let rule = self.rule.as_ref();
        self.repeatable && rule.is_none_or(|rule| rule.repeat_may_have_run)
    }
}

/// How a try ended.
enum Tried<C>
where
    C: Clock,
{
    Answered(Response<Body<C>>, Option<f64>),
    /// No answer; the body is given back when it can be sent again.
    Refused(Refused, Option<outbound_sent::Body>),
}

/// Counts a call for the report on burn; one that is dropped was cancelled.
struct Count<'a, C>
where
    C: Clock,
{
    inner: &'a Inner<C>,
    service: &'a str,
    objective: Option<Objective>,
    started: Instant,
    ending: Ending,
}

impl<C> Drop for Count<'_, C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.inner.shared.clock.now();
        let elapsed = now.saturating_duration_since(self.started);
        let service = self.inner.shared.metrics.service(self.service);
        service.record(now, self.ending, elapsed, self.objective.as_ref());
    }
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
    let started = inner.shared.clock.now();
    let view = inner.shared.view.load_full();
    let Some((plan, objective)) = make_plan(inner, &view, &head, peer) else {
        return if view.is_withheld(head.uri.path()) {
            refuse(not_run(Reason::NoService, UNREACHABLE_RETRY_MS))
        } else {
            reject(StatusCode::NOT_FOUND, "no-route")
        };
    };
    drop(view);
    let mut count = Count {
        inner,
        service: &plan.service,
        objective,
        started,
        ending: Ending::Cancelled,
    };
    let taken = tokio::time::timeout(left(inner, plan.deadline), take_body(body)).await;
    let result = match taken {
        Ok(Ok(body)) => serve_plan(inner, &plan, &head, body).await,
        Ok(Err(_)) => return reject(StatusCode::BAD_REQUEST, "body-cut-off"),
        Err(_) => return reject(StatusCode::REQUEST_TIMEOUT, "body-late"),
    };
    match result {
        Ok(response) => {
            count.ending = Ending::Answered(response.status().as_u16());
            response
        }
        Err(refused) => {
            count.ending = Ending::Refused(refused.verdict);
            refuse(refused)
        }
    }
}

fn make_plan<C>(
    inner: &Inner<C>,
    view: &View,
    head: &request::Parts,
    peer: IpAddr,
) -> Option<(Plan, Option<Objective>)>
where
    C: Clock,
{
    let route = view.route(view.find_route(head.uri.path())?);
    let now = inner.shared.clock.now();
    let own = Duration::from_millis(route.timeout_ms.into());
    let timeout = timeout_of(&head.headers).unwrap_or(own);
    let target = view.service(pick_target(&route.targets));
    let plan = Plan {
        service: target.name.clone(),
        known: inner.services.get(&target.name, now),
        class: route.class,
        caller: caller_of(&head.headers, peer),
        route: policy::hash(&route.prefix) ^ policy::hash(head.method.as_str()),
        rule: route.retry.clone(),
        deadline: now + timeout.min(LONGEST_TIMEOUT),
        repeatable: is_repeatable(route.repeat, &head.method),
        retried_above: head.headers.contains_key(retry::HEADER),
    };
    Some((plan, target.service.objective))
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

/// Tries a call until it is answered or its final refusal is known.
async fn serve_plan<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    mut body: outbound_sent::Body,
) -> Result<Response<Body<C>>, Refused>
where
    C: Clock,
{
    let mut tried = Vec::new();
    // What the caller is told in the end: one try that may have run weighs more than any that did not.
    let mut told = not_run(Reason::NoService, UNREACHABLE_RETRY_MS);
    for tries in 1.. {
        let Some(mut picked) = pick(inner, plan, &tried) else {
            break;
        };
        tried.push(picked.key);
        let (refused, back) = match try_once(inner, plan, head, body, &picked.endpoint, tries).await
        {
            Tried::Answered(response, load) => {
                picked.outcome = answered(response.status(), load);
                if tries == 1 {
                    plan.known.succeed(plan.rule.as_ref());
                }
                return Ok(response);
            }
            Tried::Refused(refused, back) => (refused, back),
        };
        let cause = cause_of(refused);
        picked.outcome = refused_outcome(cause);
        drop(picked);
        if told.verdict == Verdict::NotRun {
            told = refused;
        }
        let Some(back) = back else {
            break;
        };
        body = back;
        let failed = retry::Try {
            verdict: refused.verdict,
            cause,
            repeatable: plan.repeats(),
            tries,
            attempts: plan.attempts(),
            retried_above: plan.retried_above,
            untried: true,
            deadline: plan.deadline,
            expected: plan.known.expect(plan.route),
        };
        match plan.known.decide(inner.shared.clock.now(), &failed) {
            Decision::Again(Duration::ZERO) => {}
            Decision::Again(wait) => tokio::time::sleep(wait).await,
            Decision::Stop(_) => break,
        }
    }
    Err(told)
}

fn pick<C>(inner: &Inner<C>, plan: &Plan, tried: &[Key]) -> Option<Picked<C>>
where
    C: Clock,
{
    let view = inner.shared.view.load_full();
    let ask = Ask {
        place: &inner.place,
        tried,
        repeatable: plan.repeatable,
        route: plan.route,
    };
    plan.known
        .pick(&inner.shared.clock, &view, &plan.service, &ask)
}

fn answered(status: StatusCode, load: Option<f64>) -> Outcome {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Full,
        status if status.is_server_error() => Outcome::Failed,
        _ => Outcome::Answered(load),
    }
}

fn cause_of(refused: Refused) -> Cause {
    match (refused.verdict, refused.reason) {
        (Verdict::NotRun, Reason::Leaving) => Cause::Leaving,
        (Verdict::NotRun, Reason::Full | Reason::Deadline) => Cause::Full,
        _ => Cause::Failed,
    }
}

fn refused_outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::Leaving => Outcome::Leaving,
        Cause::Full => Outcome::Full,
        Cause::Failed => Outcome::Failed,
    }
}

async fn try_once<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    body: outbound_sent::Body,
    endpoint: &Endpoint,
    tries: u8,
) -> Tried<C>
where
    C: Clock,
{
    let draft = make_request(inner, plan, head, tries);
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
    name_try(&mut request, inner.links.next_id());
    let call = inner.inbound.call_local(request, upload, plan.deadline);
    match call.await {
        Ok(response) => {
            let load = f64::from(response.body().load_percent()) / 100.0;
            let response = response.map(|running| Body::Local(Local(running)));
            Tried::Answered(finish_answer(response), Some(load))
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
    mut request: wire::call::Request,
    body: outbound_sent::Body,
    endpoint: &Endpoint,
) -> Tried<C>
where
    C: Clock,
{
    let connecting = inner.links.link(endpoint.address);
    let link = match tokio::time::timeout(left(inner, plan.deadline), connecting).await {
        Ok(Ok(link)) if link.node == endpoint.node && !link.is_leaving() => link,
        Ok(Ok(_)) => {
            return Tried::Refused(not_run(Reason::Leaving, UNREACHABLE_RETRY_MS), Some(body));
        }
        Ok(Err(_)) | Err(_) => {
            return Tried::Refused(not_run(Reason::Backend, UNREACHABLE_RETRY_MS), Some(body));
        }
    };
    let kept = body.ready.clone();
    let first = kept.slice(..kept.len().min(WINDOW));
    let end = body.rest.is_none() && first.len() == kept.len();
    let sent = inner.links.send(&link, plan.repeatable, |id| {
        name_try(&mut request, id);
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
            return Tried::Refused(not_run(Reason::Full, UNREACHABLE_RETRY_MS), Some(body));
        }
        Err(_) => {
            return Tried::Refused(not_run(Reason::Backend, UNREACHABLE_RETRY_MS), Some(body));
        }
    };
    let mut sent = Sent::new(one, link, body, first.len());
    let waiting = poll_fn(|cx| sent.poll_head(cx));
    match tokio::time::timeout(left(inner, plan.deadline), waiting).await {
        Ok(Ok(answer)) => answer_remote(answer, sent),
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

fn answer_remote<C>(answer: wire::call::Answer, sent: Sent) -> Tried<C>
where
    C: Clock,
{
    let load = f64::from(answer.load_percent) / 100.0;
    let mut response = Response::new(Body::Remote(Remote(sent)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    put_headers(answer.headers, response.headers_mut());
    Tried::Answered(finish_answer(response), Some(load))
}

/// Drafts a request; each try gets its own name and time.
fn make_request<C>(
    inner: &Inner<C>,
    plan: &Plan,
    head: &request::Parts,
    tries: u8,
) -> wire::call::Request
where
    C: Clock,
{
    let left = left(inner, plan.deadline);
    let share = left.saturating_sub(VERDICT_MARGIN).max(left / 2);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut headers = take_end_to_end(&head.headers);
    if tries > 1 && !plan.retried_above {
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
        timeout_ms: u32::try_from(share.as_millis()).unwrap_or(u32::MAX),
        class: plan.class,
        caller: plan.caller.clone(),
        route: plan.route,
        end: false,
    }
}

fn name_try(request: &mut wire::call::Request, id: Id) {
    request.id = id;
    request.headers.push(Header {
        name: SmolStr::new_static(CALL_HEADER),
        value: id.to_string().into(),
    });
}

/// Adds the verdict to a backend server's answer, unless it has given its own.
///
/// A backend server that sheds load says 503 and does not say whether it began.
fn finish_answer<B>(mut response: Response<B>) -> Response<B> {
    let verdict = match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    };
    let verdict = HeaderValue::from_static(verdict.as_str());
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
