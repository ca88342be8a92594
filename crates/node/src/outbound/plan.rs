//! What is known of a call before its first attempt: route settings, deadline, target and identity.

use crate::connection;
use crate::header::IDEMPOTENCY_KEY;
use crate::inbound::run::TIMEOUT_HEADER;
use crate::metrics::retries::Payment;
use crate::outbound::access::{self, Denial};
use crate::outbound::call_log::log_unpaid_retry;
use crate::outbound::remote_attempt;
use crate::outbound::service::{BodySize, Origin, ServiceClient};
use crate::outbound::{Inner, pick_target};
use bytes::{Bytes, BytesMut};
use call::Digest;
use call::reserve::Key;
use clock::Clock;
use config::rollout::kind_of;
use config::{Class, Objective, Repeat, Retry, RouteEntry, View};
use http::{HeaderMap, HeaderValue, Method, Uri, header, request};
use http_body::Body as _;
use http_body_util::BodyExt;
use policy::pipeline::Kind;
use policy::retry;
use smol_str::SmolStr;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};
use wire::call::INITIAL_WINDOW;

/// Header that names the caller on whose behalf a call is made; defaults to the peer's IP address.
const CALLER_HEADER: &str = "bluebellpick-caller";

/// Header in which a backend server passes on the [`CALL_HEADER`](super::send::CALL_HEADER)
/// of the request for which it makes a nested call.
const PARENT_HEADER: &str = "bluebellpick-parent";

/// Longest timeout of a call. The inbound proxy remembers a peer's links for longer than this.
const MAX_TIMEOUT: Duration = Duration::from_mins(5);

// A digest is the same at every node only if all of the body that it covers is held in memory.
const _: () = assert!(call::MAX_DIGEST_BODY_BYTES <= INITIAL_WINDOW);

/// Maximum number of attempts, including the first, for a call whose route has no retry rule.
const DEFAULT_MAX_ATTEMPTS: u8 = 3;

/// What the attempts of a call need to know about the call.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Identifies the call in the log: the attempt ID in its headers, if the node uses the
    /// platform's interface; otherwise the name or address of its caller.
    pub(crate) id: SmolStr,
    pub(crate) service: SmolStr,
    pub(crate) client: Arc<ServiceClient>,
    pub(crate) class: Class,
    /// Kind of call under which a roll-out counts the call.
    pub(crate) kind: usize,
    pub(crate) caller: SmolStr,
    /// Who calls, by the key of the call.
    pub(crate) team: access::Caller,
    /// Whether the configuration requires keys, so that the call may carry one.
    pub(crate) requires_keys: bool,
    /// Hash of the route and method.
    pub(crate) route: u64,
    /// Host of the route; empty for a route that matches all hosts.
    host: SmolStr,
    pub(crate) retry_rule: Option<Retry>,
    pub(crate) deadline: Instant,
    /// Latency target: time by which the answer should arrive.
    pub(crate) target: Option<Instant>,
    /// Whether the call may run more than once.
    pub(crate) repeatable: bool,
    /// Idempotency key under which the call must be reserved.
    pub(crate) key: Option<Key>,
    /// Whether the caller retries the call itself.
    pub(crate) retried_by_caller: bool,
    /// Class of the parent call if this call is nested: the local backend server runs the parent
    /// and waits for this call.
    pub(crate) parent_class: Option<Class>,
    /// Whether the body is small or large; set once the start of the body has been read.
    pub(crate) body_size: BodySize,
    /// Whether an attempt has been sent that may have run or may run yet.
    pub(crate) is_dispatched: Arc<AtomicBool>,
    /// Identifies the request across its repeats; set once the start of the body has been read.
    pub(crate) digest: Digest,
}

impl Plan {
    pub(crate) fn max_attempts(&self) -> u8 {
        let attempts = self.retry_rule.as_ref().map(|rule| rule.attempts);
        attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1)
    }

    /// Returns whether a hedge may be sent while the first attempt is late.
    pub(crate) fn may_hedge(&self) -> bool {
        self.repeatable && self.retry_rule.as_ref().is_some_and(|rule| rule.hedge)
    }

    /// Returns what tells calls of similar length: the route, the method and the size of the body.
    pub(crate) fn length_key(&self) -> u64 {
        self.route ^ u64::from(self.body_size == BodySize::Large)
    }

    /// Returns whether the call may be repeated after an attempt that may have run.
    pub(crate) fn may_repeat(&self) -> bool {
        let rule = self.retry_rule.as_ref();
        self.repeatable && rule.is_none_or(|rule| rule.repeat_may_have_run)
    }
}

/// Makes the plan of a call; `None` if no route leads to its path.
pub(crate) fn make_plan<C>(
    inner: &Inner<C>,
    view: &View,
    head: &request::Parts,
    peer: IpAddr,
) -> Option<Result<(Plan, Option<Objective>), Denial>>
where
    C: Clock,
{
    let route = view.route(view.find_route(host_of(head), head.uri.path())?);
    let origin = find_origin(inner, &head.headers);
    let is_nested = matches!(origin, Origin::Nested(_));
    let team = match access::check(inner, view, route, &head.headers, is_nested) {
        Ok(team) => team,
        Err(denial) => return Some(Err(denial)),
    };
    let now = inner.shared.clock.now();
    let route_timeout = Duration::from_millis(route.timeout_ms.into());
    let requested = if inner.shared.uses_platform_interface() {
        platform::header::read_timeout(&head.headers)
    } else {
        timeout_of(&head.headers)
    };
    let timeout = requested.unwrap_or(route_timeout);
    let limit = route
        .limit_ms
        .map(|limit| Duration::from_millis(limit.into()));
    let timeout = timeout.min(limit.unwrap_or(MAX_TIMEOUT));
    let target = view.service(pick_target(&route.targets));
    let repeatable = is_repeatable(route.repeat, &head.method);
    let caller = if inner.shared.uses_platform_interface() {
        platform::header::caller_identity(&head.headers)
    } else {
        caller_of(&head.headers, peer)
    };
    let client = inner.services.get_or_create(&target.name, now);
    let parent_class = match origin {
        Origin::Caller | Origin::Unverified => None,
        Origin::Nested(parent) => Some(parent.class),
    };
    client.record_call(now, origin);
    if let Origin::Nested(parent) = origin
        && parent.is_retry
    {
        let service = inner.shared.metrics.service(&target.name);
        service.retries.count_sent(Payment::Nested);
        log_unpaid_retry(inner, &caller, &target.name);
    }
    let hash = policy::hash(&route.prefix) ^ policy::hash(head.method.as_str());
    // The timeout of a nested call is what its parent has left, which doesn't show how long the
    // nested call itself has waited.
    let elapsed = requested
        .filter(|_| parent_class.is_none())
        .map_or(Duration::ZERO, |left| client.estimate_elapsed(hash, left));
    let plan = Plan {
        id: caller.clone(),
        service: target.name.clone(),
        client,
        class: class_of(&team, route),
        team,
        requires_keys: view.teams().requires_keys(),
        kind: kind_of(route.class, route.repeat),
        caller,
        route: hash,
        host: route.prefix.split('/').next().unwrap_or_default().into(),
        retry_rule: route.retry.clone(),
        deadline: now + timeout.min(MAX_TIMEOUT),
        target: route
            .target_ms
            .map(|target| now + Duration::from_millis(target.into()).saturating_sub(elapsed)),
        repeatable,
        key: key_of(&head.headers, &target.name).filter(|_| !repeatable),
        retried_by_caller: head.headers.contains_key(retry::HEADER),
        parent_class,
        body_size: BodySize::Small,
        is_dispatched: Arc::default(),
        digest: Digest::default(),
    };
    Some(Ok((plan, target.service.objective)))
}

/// Returns the class of a call: that of its team, if the team has one, or else the route's.
fn class_of(team: &access::Caller, route: &RouteEntry) -> Class {
    match team {
        access::Caller::Team(team) => team.class.unwrap_or(route.class),
        access::Caller::Anyone => route.class,
    }
}

/// Returns the caller's name for a call that has no plan; empty if the request names no caller.
pub(crate) fn caller_name<C>(inner: &Inner<C>, head: &request::Parts) -> SmolStr
where
    C: Clock,
{
    if inner.shared.uses_platform_interface() {
        return platform::header::caller_identity(&head.headers);
    }
    let name = head.headers.get(CALLER_HEADER);
    let name = name.and_then(|name| name.to_str().ok());
    name.unwrap_or_default().into()
}

/// Returns the host that a request is for; empty when it names none.
pub(crate) fn host_of(head: &request::Parts) -> &str {
    host_from(&head.uri, head.headers.get(header::HOST))
}

fn host_from<'a>(uri: &'a Uri, header: Option<&'a HeaderValue>) -> &'a str {
    let host_header = || header?.to_str().ok();
    let authority = uri.authority().map(http::uri::Authority::as_str);
    authority.or_else(host_header).unwrap_or_default()
}

/// Returns the kind of requests for `target` that have no body.
pub(crate) fn kind_of_target(view: &View, target: &connection::Target) -> Kind {
    let host = host_from(&target.uri, target.host.as_ref());
    match view.find_route(host, target.uri.path()) {
        Some(route) if is_repeatable(view.route(route).repeat, &target.method) => Kind::Overlapping,
        _ => Kind::Alone,
    }
}

/// Computes the digest that identifies a request across its repeats, from the service of this VM and
/// from the head and the start of the body of the request.
pub(crate) fn digest_of<C>(
    inner: &Inner<C>,
    plan: &Plan,
    head: &request::Parts,
    body: &remote_attempt::RequestBody,
) -> Digest
where
    C: Clock,
{
    let caller = inner.shared.settings.service.as_deref().unwrap_or_default();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    Digest::of(caller, head.method.as_str(), &plan.host, path, &body.prefix)
}

/// Returns whether a call may run more than once; by default only if its method is safe (RFC 9110).
fn is_repeatable(repeat: Repeat, method: &Method) -> bool {
    match repeat {
        Repeat::Always => true,
        Repeat::Never => false,
        Repeat::ByMethod => method.is_safe(),
    }
}

/// Determines the source of a call: nested if the local backend server makes it on behalf of a call
/// that it runs.
///
/// The parent header is trusted only if the call that it names is running now.
fn find_origin<C>(inner: &Inner<C>, headers: &HeaderMap) -> Origin
where
    C: Clock,
{
    let parent = if inner.shared.uses_platform_interface() {
        platform::header::parent_attempt(headers)
    } else {
        headers
            .get(PARENT_HEADER)
            .and_then(|name| name.to_str().ok())
    };
    let Some(parent) = parent else {
        return Origin::Caller;
    };
    let parent_call = inner.inbound.find_running(parent);
    parent_call.map_or(Origin::Unverified, Origin::Nested)
}

fn timeout_of(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(TIMEOUT_HEADER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}

fn key_of(headers: &HeaderMap, service: &str) -> Option<Key> {
    let value = headers.get(IDEMPOTENCY_KEY)?.to_str().ok()?;
    Some(Key::of(service, value))
}

fn caller_of(headers: &HeaderMap, peer: IpAddr) -> SmolStr {
    let name = headers
        .get(CALLER_HEADER)
        .and_then(|value| value.to_str().ok());
    name.map_or_else(|| smol_str::format_smolstr!("{peer}"), SmolStr::new)
}

/// Reads the start of a caller's body, or all of it when it fits the window.
///
/// A call with a short body can then be retried, and if a caller disconnects while it sends a short
/// body, its call never reaches a backend server.
pub(crate) async fn read_body_start(
    body: Option<connection::RequestBody>,
) -> Result<remote_attempt::RequestBody, hyper::Error> {
    let Some(mut body) = body else {
        return Ok(remote_attempt::RequestBody::default());
    };
    let mut prefix = Bytes::new();
    while !body.is_end_stream() {
        if prefix.len() >= INITIAL_WINDOW {
            return Ok(remote_attempt::RequestBody {
                prefix,
                rest: Some(body),
            });
        }
        let Some(frame) = body.frame().await else {
            break;
        };
        prefix = join(prefix, frame?.into_data().unwrap_or_default());
    }
    Ok(remote_attempt::RequestBody { prefix, rest: None })
}

fn join(first: Bytes, second: Bytes) -> Bytes {
    if first.is_empty() {
        return second;
    }
    let mut joined = BytesMut::from(first);
    joined.extend_from_slice(&second);
    joined.freeze()
}

/// Returns the time left until `deadline`.
pub(crate) fn time_left<C>(inner: &Inner<C>, deadline: Instant) -> Duration
where
    C: Clock,
{
    deadline.saturating_duration_since(inner.shared.clock.now())
}
