//! Log lines about calls: failed attempts, refused calls, and late or failed answers.

use crate::inbound::run::Refused;
use crate::outbound::Inner;
use crate::outbound::access::Caller;
use crate::outbound::plan::{Plan, caller_name, host_of, time_left};
use crate::outbound::response::reason_name;
use call::Verdict;
use clock::Clock;
use http::{StatusCode, request};
use log::info;
use policy::retry::Cause;
use std::time::{Duration, Instant};

/// Target of the log lines of this module. Operators name it in filters of the log.
const LOG_TARGET: &str = "node::outbound::tell";

/// Counts and logs an attempt that the backend server did not answer, with the node it was sent to.
pub(crate) fn log_failed_attempt<C>(
    inner: &Inner<C>,
    plan: &Plan,
    node: &str,
    refused: Refused,
    attempts: u8,
) where
    C: Clock,
{
    let shared = &inner.shared;
    shared
        .metrics
        .failures
        .count_failed_attempt(reason_name(refused.reason));
    let now = shared.clock.now();
    let Some(left_out) = shared
        .log_limits
        .attempts
        .admit(shared.metrics.elapsed(now))
    else {
        return;
    };
    info!(
        target: LOG_TARGET,
        id = plan.id.as_str(),
        service = plan.service.as_str(),
        request:% = plan.digest,
        node,
        attempt = attempts,
        verdict = refused.verdict.as_str(),
        reason = reason_name(refused.reason),
        left_ms = time_left(inner, plan.deadline).as_millis(),
        left_out;
        "try_refused"
    );
}

/// Logs that the retry budget of a call's service did not allow a retry.
pub(crate) fn log_denied_retry<C>(inner: &Inner<C>, plan: &Plan, cause: Cause)
where
    C: Clock,
{
    let shared = &inner.shared;
    let elapsed = shared.metrics.elapsed(shared.clock.now());
    if let Some(left_out) = shared.log_limits.calls.admit(elapsed) {
        let (id, service) = (plan.id.as_str(), plan.service.as_str());
        info!(target: LOG_TARGET, id, service, cause:?, left_out; "retry_denied");
    }
}

/// Logs a nested call that counts as a retry, though no budget has paid for it.
pub(crate) fn log_unpaid_retry<C>(inner: &Inner<C>, id: &str, service: &str)
where
    C: Clock,
{
    let shared = &inner.shared;
    let elapsed = shared.metrics.elapsed(shared.clock.now());
    if let Some(left_out) = shared.log_limits.calls.admit(elapsed) {
        info!(target: LOG_TARGET, id, service, left_out; "retry_unpaid");
    }
}

/// Counts the final refusal of a call for its team, and logs it.
pub(crate) fn log_refused_call<C>(
    inner: &Inner<C>,
    plan: &Plan,
    refused: Refused,
    started: Instant,
    tries: u8,
) where
    C: Clock,
{
    let shared = &inner.shared;
    if let (Caller::Team(team), Verdict::NotRun) = (&plan.team, refused.verdict) {
        shared.team_usage.count_refused(&team.name, refused.reason);
    }
    let now = shared.clock.now();
    let Some(left_out) = shared.log_limits.calls.admit(shared.metrics.elapsed(now)) else {
        return;
    };
    info!(
        target: LOG_TARGET,
        id = plan.id.as_str(),
        service = plan.service.as_str(),
        team = plan.team.name(),
        request:% = plan.digest,
        version = shared.view.load().version().0,
        tries,
        verdict = refused.verdict.as_str(),
        reason = reason_name(refused.reason),
        retry_after_ms = refused.retry_after_ms,
        took_ms = now.saturating_duration_since(started).as_millis(),
        left_ms = time_left(inner, plan.deadline).as_millis(),
        left_out;
        "call_refused"
    );
}

/// Logs a call that matched no route, or a route without endpoints.
pub(crate) fn log_unrouted_call<C>(inner: &Inner<C>, head: &request::Parts, reason: &str)
where
    C: Clock,
{
    let shared = &inner.shared;
    let now = shared.clock.now();
    if let Some(left_out) = shared.log_limits.calls.admit(shared.metrics.elapsed(now)) {
        let version = shared.view.load().version().0;
        let id = caller_name(inner, head);
        let (host, path) = (host_of(head), head.uri.path());
        info!(target: LOG_TARGET, id = id.as_str(), host, path, version, reason, left_out; "call_unrouted");
    }
}

/// A backend server's answer to a call.
pub(crate) struct AnsweredCall<'a> {
    pub(crate) node: &'a str,
    pub(crate) status: StatusCode,
    /// How long the call was queued for admission at the inbound proxy.
    pub(crate) queue_wait: Duration,
    /// When the call arrived.
    pub(crate) started: Instant,
    pub(crate) attempts: u8,
}

/// Logs an answer that missed its latency target or is a server error.
///
/// Other answers are not logged: there are hundreds of them per second, and nobody needs a line for
/// each.
pub(crate) fn log_answer<C>(inner: &Inner<C>, plan: &Plan, answer: &AnsweredCall<'_>)
where
    C: Clock,
{
    let shared = &inner.shared;
    let now = shared.clock.now();
    let is_late = plan.target.is_some_and(|target| target < now);
    if !is_late && !answer.status.is_server_error() {
        return;
    }
    let Some(left_out) = shared.log_limits.answers.admit(shared.metrics.elapsed(now)) else {
        return;
    };
    info!(
        target: LOG_TARGET,
        id = plan.id.as_str(),
        service = plan.service.as_str(),
        node = answer.node,
        status = answer.status.as_u16(),
        tries = answer.attempts,
        waited_ms = answer.queue_wait.as_millis(),
        took_ms = now.saturating_duration_since(answer.started).as_millis(),
        left_ms = time_left(inner, plan.deadline).as_millis(),
        left_out;
        "call_answered"
    );
}
