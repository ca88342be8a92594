//! What is known of a call before it is tried.

use crate::inbound::run::TIMEOUT_HEADER;
use crate::outbound::remote_attempt;
use crate::outbound::service::{BodySize, Origin, ServiceClient};
use crate::outbound::{Inner, pick_target};
use bytes::{Bytes, BytesMut};
use call::Digest;
use call::reserve::Key;
use clock::Clock;
use config::rollout::kind_of;
use config::{Class, Objective, Repeat, Retry, View};
use http::{HeaderMap, Method, header, request};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::retry;
use smol_str::SmolStr;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::call::WINDOW;

/// Header with the name of the caller on whose behalf a call is made; its IP address stands in.
const CALLER_HEADER: &str = "bluebellpick-caller";

/// Header in which a backend server passes on the [`CALL_HEADER`](super::send::CALL_HEADER)
/// of the request that it makes a call for.
const PARENT_HEADER: &str = "bluebellpick-parent";

/// Header that names a request through all its repeats (IETF draft `idempotency-key-header`).
const KEY_HEADER: &str = "idempotency-key";

/// Longest time for a call. The inbound proxy remembers a peer's links for longer.
const LONGEST_TIMEOUT: Duration = Duration::from_mins(5);

// A digest is the same at every node only if what it covers is held.
const _: () = assert!(call::MAX_DIGEST_BODY <= WINDOW);

/// Tries of a call whose route has no rule, the first included.
const DEFAULT_ATTEMPTS: u8 = 3;

/// A call, as its tries need it.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Names the call in the log: by its caller's name for it, or its caller's own.
    pub(crate) id: SmolStr,
    pub(crate) service: SmolStr,
    pub(crate) client: Arc<ServiceClient>,
    pub(crate) class: Class,
    /// Kind under which a roll-out counts it.
    pub(crate) kind: usize,
    pub(crate) caller: SmolStr,
    /// Hash of the route and method.
    pub(crate) route: u64,
    /// Host of the route; empty for a route of all hosts.
    host: SmolStr,
    pub(crate) retry_rule: Option<Retry>,
    pub(crate) deadline: Instant,
    /// Until when an answer is worth most.
    pub(crate) target: Option<Instant>,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    /// Key under which it must be reserved.
    pub(crate) key: Option<Key>,
    /// Whether a layer above tries it again already.
    pub(crate) retried_by_caller: bool,
    /// What the call is worth that runs on the own backend server and waits for it.
    pub(crate) nested: Option<Class>,
    /// What it takes of the way; known once the start of its body has come.
    pub(crate) body_size: BodySize,
    /// Names the request through all its repeats; known once the start of its body has come.
    pub(crate) digest: Digest,
}

impl Plan {
    pub(crate) fn max_attempts(&self) -> u8 {
        let attempts = self.retry_rule.as_ref().map(|rule| rule.attempts);
        attempts.unwrap_or(DEFAULT_ATTEMPTS).max(1)
    }

    /// Tells whether a second copy may be sent while the first is late.
    pub(crate) fn may_hedge(&self) -> bool {
        self.repeatable && self.retry_rule.as_ref().is_some_and(|rule| rule.hedge)
    }

    /// Tells whether a try that may have run is followed by another.
    pub(crate) fn may_repeat(&self) -> bool {
        let rule = self.retry_rule.as_ref();
        self.repeatable && rule.is_none_or(|rule| rule.repeat_may_have_run)
    }
}

pub(crate) fn make_plan<C>(
    inner: &Inner<C>,
    view: &View,
    head: &request::Parts,
    peer: IpAddr,
) -> Option<(Plan, Option<Objective>)>
where
    C: Clock,
{
    let route = view.route(view.find_route(host_of(head), head.uri.path())?);
    let now = inner.shared.clock.now();
    let own = Duration::from_millis(route.timeout_ms.into());
    let told = if inner.shared.is_on_platform() {
        platform::header::read_timeout(&head.headers)
    } else {
        timeout_of(&head.headers)
    };
    let timeout = told.unwrap_or(own);
    let longest = route
        .limit_ms
        .map(|limit| Duration::from_millis(limit.into()));
    let timeout = timeout.min(longest.unwrap_or(LONGEST_TIMEOUT));
    let target = view.service(pick_target(&route.targets));
    let repeatable = is_repeatable(route.repeat, &head.method);
    let caller = if inner.shared.is_on_platform() {
        platform::header::name_caller(&head.headers)
    } else {
        caller_of(&head.headers, peer)
    };
    let known = inner.services.get_or_create(&target.name, now);
    let origin = find_origin(inner, &head.headers);
    let nested = match origin {
        Origin::Caller => None,
        Origin::Nested(run) => Some(run.class),
    };
    known.record_call(now, origin);
    let hash = policy::hash(&route.prefix) ^ policy::hash(head.method.as_str());
    // What a running call has left says nothing of when it made this one.
    let elapsed = told
        .filter(|_| nested.is_none())
        .map_or(Duration::ZERO, |left| known.elapsed(hash, left));
    let plan = Plan {
        id: caller.clone(),
        service: target.name.clone(),
        client: known,
        class: route.class,
        kind: kind_of(route.class, route.repeat),
        caller,
        route: hash,
        host: route.prefix.split('/').next().unwrap_or_default().into(),
        retry_rule: route.retry.clone(),
        deadline: now + timeout.min(LONGEST_TIMEOUT),
        target: route
            .target_ms
            .map(|target| now + Duration::from_millis(target.into()).saturating_sub(elapsed)),
        repeatable,
        key: key_of(&head.headers, &target.name).filter(|_| !repeatable),
        retried_by_caller: head.headers.contains_key(retry::HEADER),
        nested,
        body_size: BodySize::Small,
        digest: Digest::default(),
    };
    Some((plan, target.service.objective))
}

/// Gives the name of a call that has no plan, as far as its caller named it.
pub(crate) fn caller_name<C>(inner: &Inner<C>, head: &request::Parts) -> SmolStr
where
    C: Clock,
{
    if inner.shared.is_on_platform() {
        return platform::header::name_caller(&head.headers);
    }
    let name = head.headers.get(CALLER_HEADER);
    let name = name.and_then(|name| name.to_str().ok());
    name.unwrap_or_default().into()
}

/// Gives the host that a request is for; empty when it names none.
pub(crate) fn host_of(head: &request::Parts) -> &str {
    let named = || head.headers.get(header::HOST)?.to_str().ok();
    let whole = head.uri.authority().map(http::uri::Authority::as_str);
    whole.or_else(named).unwrap_or_default()
}

/// Names a request through all its repeats, by its head and the start of its body.
pub(crate) fn digest_of(
    plan: &Plan,
    head: &request::Parts,
    body: &remote_attempt::RequestBody,
) -> Digest {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    Digest::of(head.method.as_str(), &plan.host, path, &body.prefix)
}

/// Tells whether a call may run more than once; one that nothing is said of may if its method is safe (RFC 9110).
fn is_repeatable(repeat: Repeat, method: &Method) -> bool {
    match repeat {
        Repeat::Always => true,
        Repeat::Never => false,
        Repeat::ByMethod => method.is_safe(),
    }
}

/// Tells whether the own backend server makes a call for one that it runs.
///
/// What a caller says of that is believed only if such a call runs now.
fn find_origin<C>(inner: &Inner<C>, headers: &HeaderMap) -> Origin
where
    C: Clock,
{
    let parent = if inner.shared.is_on_platform() {
        platform::header::find_parent(headers)
    } else {
        headers
            .get(PARENT_HEADER)
            .and_then(|name| name.to_str().ok())
    };
    let run = parent.and_then(|name| inner.inbound.find_running(name));
    run.map_or(Origin::Caller, Origin::Nested)
}

fn timeout_of(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(TIMEOUT_HEADER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}

fn key_of(headers: &HeaderMap, service: &str) -> Option<Key> {
    let value = headers.get(KEY_HEADER)?.to_str().ok()?;
    Some(Key::of(service, value))
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
pub(crate) async fn read_body_start(
    mut body: Incoming,
) -> Result<remote_attempt::RequestBody, hyper::Error> {
    let mut ready = Bytes::new();
    while !body.is_end_stream() {
        if ready.len() >= WINDOW {
            return Ok(remote_attempt::RequestBody {
                prefix: ready,
                rest: Some(body),
            });
        }
        let Some(frame) = body.frame().await else {
            break;
        };
        ready = join(ready, frame?.into_data().unwrap_or_default());
    }
    Ok(remote_attempt::RequestBody {
        prefix: ready,
        rest: None,
    })
}

fn join(first: Bytes, second: Bytes) -> Bytes {
    if first.is_empty() {
        return second;
    }
    let mut whole = BytesMut::from(first);
    whole.extend_from_slice(&second);
    whole.freeze()
}

/// Gives the time that is left.
pub(crate) fn time_left<C>(inner: &Inner<C>, deadline: Instant) -> Duration
where
    C: Clock,
{
    deadline.saturating_duration_since(inner.shared.clock.now())
}
