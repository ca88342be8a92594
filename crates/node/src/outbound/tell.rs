//! Lines about calls: what a try came to, and why a caller got no answer.

use crate::inbound::run::Refused;
use crate::outbound::Inner;
use crate::outbound::answer::name_of;
use crate::outbound::plan::{Plan, left};
use clock::Clock;
use log::info;
use std::time::Instant;

/// Tells that a try got no answer of the backend server's, and where it went.
pub(crate) fn tell_try<C>(inner: &Inner<C>, plan: &Plan, node: &str, refused: Refused, tries: u8)
where
    C: Clock,
{
    let shared = &inner.shared;
    let now = shared.clock.now();
    let Some(left_out) = shared.lines.tries.take(shared.metrics.counted(now)) else {
        return;
    };
    info!(
        id = plan.id.as_str(),
        service = plan.service.as_str(),
        node,
        attempt = tries,
        verdict = refused.verdict.as_str(),
        reason = name_of(refused.reason),
        left_ms = left(inner, plan.deadline).as_millis(),
        left_out;
        "try_refused"
    );
}

/// Tells the final answer to a call that no backend server answered.
pub(crate) fn tell_end<C>(
    inner: &Inner<C>,
    plan: &Plan,
    refused: Refused,
    started: Instant,
    tries: u8,
) where
    C: Clock,
{
    let shared = &inner.shared;
    let now = shared.clock.now();
    let Some(left_out) = shared.lines.calls.take(shared.metrics.counted(now)) else {
        return;
    };
    info!(
        id = plan.id.as_str(),
        service = plan.service.as_str(),
        version = shared.view.load().version().0,
        tries,
        verdict = refused.verdict.as_str(),
        reason = name_of(refused.reason),
        retry_after_ms = refused.retry_after_ms,
        took_ms = now.saturating_duration_since(started).as_millis(),
        left_ms = left(inner, plan.deadline).as_millis(),
        left_out;
        "call_refused"
    );
}

/// Tells that a call met no route, or one without endpoints.
pub(crate) fn tell_unrouted<C>(inner: &Inner<C>, host: &str, path: &str, reason: &str)
where
    C: Clock,
{
    let shared = &inner.shared;
    let now = shared.clock.now();
    if let Some(left_out) = shared.lines.calls.take(shared.metrics.counted(now)) {
        let version = shared.view.load().version().0;
        info!(host, path, version, reason, left_out; "call_unrouted");
    }
}
