//! Serves one call: plans it, sends attempts and responds to the caller.

use crate::connection::RequestBody;
use crate::framing::is_decoded;
use crate::inbound::run::Refused;
use crate::metrics::Ending;
use crate::metrics::retries::Payment;
use crate::outbound::Inner;
use crate::outbound::access::{Caller, Denial};
use crate::outbound::call_log::{
    AnsweredCall, log_answer, log_denied_retry, log_failed_attempt, log_refused_call,
    log_unrouted_call,
};
use crate::outbound::hedge::send_with_hedge;
use crate::outbound::keyed::serve_keyed;
use crate::outbound::pick::{pick, pick_owner, pick_trial};
use crate::outbound::plan::{Plan, digest_of, host_of, make_plan, read_body_start, time_left};
use crate::outbound::remote_attempt;
use crate::outbound::response::{Body, refuse, reject};
use crate::outbound::send::{AttemptHistory, AttemptResult, PendingAttempt, send_attempt};
use crate::outbound::service::{BodySize, PickedEndpoint};
use crate::outbound::tried::TriedEndpoints;
use crate::start_steps::StartStep;
use crate::team_limits;
use call::Verdict;
use clock::Clock;
use config::{Objective, Version, View};
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use policy::balance::{LoadReport, Outcome};
use policy::quarantine::RequestStatus;
use policy::retry::{self, Cause, Decision, GiveUpReason};
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use wire::call::{MAX_EAGER_BODY_BYTES, Reason};

/// The response to a call, and its outcome for the statistics.
pub(crate) struct ServedCall<C>
where
    C: Clock,
{
    pub(crate) response: Response<Body<C>>,
    pub(crate) ending: Ending,
    /// An attempt that had no result by the deadline, if there is one.
    pub(crate) pending: Option<PendingAttempt<C>>,
}

/// Records a call in the error-budget report when dropped. The call counts as cancelled unless
/// `ending` has been set.
struct CallRecord<'a, C>
where
    C: Clock,
{
    inner: &'a Inner<C>,
    service: &'a str,
    objective: Option<Objective>,
    started: Instant,
    ending: Ending,
}

impl<C> Drop for CallRecord<'_, C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.inner.shared.clock.now();
        let elapsed = now.saturating_duration_since(self.started);
        if matches!(self.ending, Ending::Answered(status) if status < 500) {
            self.inner.shared.reach(StartStep::Call);
        }
        let service = self.inner.shared.metrics.service(self.service);
        service.record(now, self.ending, elapsed, self.objective.as_ref());
    }
}

/// Refuses a call that has no route, or whose service has no endpoints. Only a call to a service
/// without endpoints counts against the error budget.
fn refuse_unrouted<C>(inner: &Inner<C>, view: &View, head: &request::Parts) -> Response<Body<C>>
where
    C: Clock,
{
    // A node that has just started has no routes yet, so the caller's path may well be right.
    let (host, path) = (host_of(head), head.uri.path());
    if view.version() == Version::ZERO {
        log_unrouted_call(inner, head, "no-version");
        return refuse(Refused::not_run(Reason::NoRoutes, 0));
    }
    let Some(withheld) = view.find_withheld(host, path) else {
        log_unrouted_call(inner, head, "no-route");
        return reject(StatusCode::NOT_FOUND, "no-route");
    };
    log_unrouted_call(inner, head, "no-endpoint");
    drop(CallRecord {
        inner,
        service: &withheld.service,
        objective: withheld.objective,
        started: inner.shared.clock.now(),
        ending: Ending::Refused(Verdict::NotRun),
    });
    refuse(Refused::not_run(Reason::NoService, 0))
}

/// Refuses a call that carries no valid key, or whose key can't be checked.
fn deny<C>(inner: &Inner<C>, head: &request::Parts, denial: Denial) -> Response<Body<C>>
where
    C: Clock,
{
    inner.shared.metrics.access.count_denied(denial.as_str());
    log_unrouted_call(inner, head, denial.as_str());
    denial.respond()
}

/// Serves one call and returns the response for the caller.
///
/// When the calls of a stopping node have to end, the caller is told whether the call may have run.
/// `is_dispatched` is set while an attempt may have run or may run yet.
pub(crate) async fn serve<C>(
    inner: &Arc<Inner<C>>,
    request: Request<Option<RequestBody>>,
    peer: IpAddr,
    is_dispatched: &Arc<AtomicBool>,
) -> Response<Body<C>>
where
    C: Clock,
{
    tokio::select! {
        biased;
        response = serve_to_end(inner, request, peer, is_dispatched) => response,
        () = inner.shared.call_end.reached(&inner.shared.clock) => {
            if is_dispatched.load(Ordering::Relaxed) {
                inner.shared.call_end.count_cut_off();
                refuse(Refused::may_have_run(Reason::Leaving))
            } else {
                refuse_stopping()
            }
        }
    }
}

/// Refuses a call that can't end before this node stops. The caller's next call goes over a new
/// connection, to another node if there is one.
fn refuse_stopping<C>() -> Response<Body<C>>
where
    C: Clock,
{
    let mut response = refuse(Refused::not_run(Reason::Leaving, 0));
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

async fn serve_to_end<C>(
    inner: &Arc<Inner<C>>,
    request: Request<Option<RequestBody>>,
    peer: IpAddr,
    is_dispatched: &Arc<AtomicBool>,
) -> Response<Body<C>>
where
    C: Clock,
{
    let (head, body) = request.into_parts();
    if !is_decoded(&head.headers) {
        return reject(StatusCode::NOT_IMPLEMENTED, "unknown-coding");
    }
    let started = inner.shared.clock.now();
    let view = inner.shared.view.load_full();
    let (mut plan, objective) = match make_plan(inner, &view, &head, peer) {
        Some(Ok(planned)) => planned,
        Some(Err(denial)) => return deny(inner, &head, denial),
        None => return refuse_unrouted(inner, &view, &head),
    };
    drop(view);
    plan.is_dispatched = Arc::clone(is_dispatched);
    let service = plan.service.clone();
    let mut record = CallRecord {
        inner,
        service: &service,
        objective,
        started,
        ending: Ending::Cancelled,
    };
    if !can_end(inner, &plan) {
        let refused = Refused::not_run(Reason::Leaving, 0);
        log_refused_call(inner, &plan, refused, started, 0);
        record.ending = Ending::Refused(Verdict::NotRun);
        return refuse_stopping();
    }
    let received =
        tokio::time::timeout(time_left(inner, plan.deadline), read_body_start(body)).await;
    let body = match received {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return reject(StatusCode::BAD_REQUEST, "body-cut-off"),
        Err(_) => return reject(StatusCode::REQUEST_TIMEOUT, "body-late"),
    };
    if body.length() > MAX_EAGER_BODY_BYTES as u64 {
        plan.body_size = BodySize::Large;
    }
    plan.digest = digest_of(inner, &plan, &head, &body);
    if let RequestStatus::Held { wait } = request_status(inner, &plan) {
        let refused = Refused::held(wait);
        inner.shared.metrics.quarantine.count_refused();
        log_refused_call(inner, &plan, refused, started, 0);
        record.ending = Ending::Refused(Verdict::NotRun);
        return refuse(refused);
    }
    if let Caller::Team(team) = &plan.team
        && let Err(refused) = team_limits::acquire(inner, team).await
    {
        log_refused_call(inner, &plan, refused, started, 0);
        record.ending = Ending::Refused(Verdict::NotRun);
        return refuse(refused);
    }
    let plan = Arc::new(plan);
    let mut measurement = inner.lengths.begin(plan.length_key());
    let served = match plan.key {
        Some(key) => serve_keyed(inner, &plan, key, head, body).await,
        None => serve_plan(inner, &plan, &head, body).await,
    };
    if let Caller::Team(team) = &plan.team {
        if served.ending == Ending::Refused(Verdict::NotRun) {
            team_limits::give_back(inner, team, started);
        } else {
            inner.shared.team_usage.count_run(&team.name);
        }
    }
    record.ending = served.ending;
    measurement.has_run = !matches!(
        served.ending,
        Ending::Refused(Verdict::NotRun) | Ending::Cancelled
    );
    served.response.map(|body| body.measured(measurement))
}

/// Returns whether a call can end before this node stops.
fn can_end<C>(inner: &Inner<C>, plan: &Plan) -> bool
where
    C: Clock,
{
    inner
        .lengths
        .can_end(&inner.shared, plan.length_key(), plan.deadline)
}

impl<C> From<Refused> for ServedCall<C>
where
    C: Clock,
{
    fn from(refused: Refused) -> Self {
        Self {
            response: refuse(refused),
            ending: Ending::Refused(refused.verdict),
            pending: None,
        }
    }
}

impl<C> From<Response<Body<C>>> for ServedCall<C>
where
    C: Clock,
{
    fn from(response: Response<Body<C>>) -> Self {
        Self {
            ending: Ending::Answered(response.status().as_u16()),
            response,
            pending: None,
        }
    }
}

/// Sends attempts of a call until one is answered or no further attempt is allowed.
pub(crate) async fn serve_plan<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    mut body: remote_attempt::RequestBody,
) -> ServedCall<C>
where
    C: Clock,
{
    let started = inner.shared.clock.now();
    let mut tried = TriedEndpoints::default();
    let mut history = AttemptHistory::default();
    let mut last_cause = None;
    // The refusal for the caller if no attempt is answered.
    let mut final_refusal = Refused::not_run(Reason::NoService, 0);
    for attempts in 1.. {
        let mut picked = match pick_next(inner, plan, &mut tried, last_cause, &mut history).await {
            Ok(Some(picked)) => picked,
            Ok(None) => break,
            Err(refused) => {
                final_refusal = combine_refusals(final_refusal, refused);
                break;
            }
        };
        tried.add(picked.key);
        let was_dispatched = plan.is_dispatched.swap(true, Ordering::Relaxed);
        let result = if attempts == 1 {
            let (first_result, winner) =
                send_with_hedge(inner, plan, head, body, picked, &mut tried, history).await;
            picked = winner;
            first_result
        } else {
            send_attempt(inner, plan, head, body, &picked.endpoint, history).await
        };
        record_for_rollout(inner, plan, &picked, &result);
        let (refused, returned) = match result {
            AttemptResult::Answered(response, report) => {
                picked.outcome = outcome_of_status(response.status(), report);
                let queue_wait = report.map_or(Duration::ZERO, |report| report.queue_wait);
                let answer = AnsweredCall {
                    node: &picked.endpoint.node,
                    status: response.status(),
                    queue_wait,
                    started,
                    attempts,
                };
                log_answer(inner, plan, &answer);
                if attempts == 1 {
                    plan.client.record_success(plan.retry_rule.as_ref());
                }
                let judge = picked.judge();
                return response.map(|body| body.judged(judge)).into();
            }
            AttemptResult::Refused(refused, returned) => (refused, returned),
            AttemptResult::TimedOut(pending) => {
                picked.outcome = Outcome::Failed;
                let refused = Refused::may_have_run(Reason::Deadline);
                log_failed_attempt(inner, plan, &picked.endpoint.node, refused, attempts);
                return ServedCall {
                    pending: Some(pending),
                    ..Refused::may_have_run(Reason::Deadline).into()
                };
            }
        };
        let has_run = was_dispatched || refused.verdict != Verdict::NotRun;
        plan.is_dispatched.store(has_run, Ordering::Relaxed);
        let cause = cause_of(refused);
        history.record_failure(refused, cause);
        picked.outcome = outcome_of_cause(cause);
        log_failed_attempt(inner, plan, &picked.endpoint.node, refused, attempts);
        if cause == Cause::Full {
            tried.mark_full(picked.key);
        }
        last_cause = Some(cause);
        drop(picked);
        final_refusal = combine_refusals(final_refusal, refused);
        let Some(returned) = returned else {
            break;
        };
        body = returned;
        let now = inner.shared.clock.now();
        let failed = retry::FailedAttempt {
            verdict: refused.verdict,
            cause,
            repeatable: plan.may_repeat(),
            attempts,
            dispatched: history.dispatched,
            crashes: history.crashes,
            max_attempts: plan.max_attempts(),
            retried_by_caller: plan.retried_by_caller,
            has_alternative: cause != Cause::Full
                || plan.parent_class.is_some()
                || plan.client.has_room(now, plan.body_size, tried.keys()),
            deadline: plan.deadline,
            expected_duration: plan.client.expected_duration(plan.route, plan.body_size),
        };
        let decision = plan.client.decide(now, &failed);
        record_decision(inner, plan, cause, decision);
        match decision {
            Decision::Retry(Duration::ZERO) => {}
            Decision::Retry(wait) => tokio::time::sleep(wait).await,
            Decision::GiveUp(_) => break,
        }
    }
    log_refused_call(inner, plan, final_refusal, started, tried.count());
    final_refusal.into()
}

/// Counts a retry by what pays for it, or reports that the budget denied it.
fn record_decision<C>(inner: &Inner<C>, plan: &Plan, cause: Cause, decision: Decision)
where
    C: Clock,
{
    let service = inner.shared.metrics.service(&plan.service);
    match decision {
        Decision::Retry(_) if cause.may_have_arrived() => {
            service.retries.count_sent(Payment::Budget);
        }
        Decision::Retry(_) => service.retries.count_sent(Payment::NotNeeded),
        Decision::GiveUp(GiveUpReason::Budget) => {
            service.retries.count_denied();
            log_denied_retry(inner, plan, cause);
        }
        Decision::GiveUp(_) => {}
    }
}

/// Records the result of an attempt for a roll-out of the service, if there is one.
///
/// Of the refused attempts, only those count whose verdict is not `NotRun` and whose reason is
/// `Deadline`, `Backend` or `Malformed`. All others, such as failures to connect and refusals due to
/// load, are left out, because they say nothing about the version of the backend server.
fn record_for_rollout<C>(
    inner: &Inner<C>,
    plan: &Plan,
    picked: &PickedEndpoint<C>,
    result: &AttemptResult<C>,
) where
    C: Clock,
{
    let now = inner.shared.clock.now();
    match result {
        AttemptResult::Answered(response, report) => {
            let took = now.saturating_duration_since(picked.started);
            let queue_wait = report.map_or(Duration::ZERO, |report| report.queue_wait);
            let has_failed = response.status().is_server_error();
            picked.record_rollout_result(
                plan.kind,
                has_failed,
                Some(took.saturating_sub(queue_wait)),
            );
        }
        AttemptResult::Refused(refused, _) if refused.verdict != Verdict::NotRun => {
            match refused.reason {
                Reason::Deadline => picked.record_rollout_result(plan.kind, false, None),
                Reason::Backend | Reason::Malformed => {
                    picked.record_rollout_result(plan.kind, true, None);
                }
                _ => {}
            }
        }
        AttemptResult::Refused(..) | AttemptResult::TimedOut(_) => {}
    }
}

impl AttemptHistory {
    /// Records a failed attempt.
    fn record_failure(&mut self, refused: Refused, cause: Cause) {
        self.dispatched += u8::from(matches!(cause, Cause::Shed | Cause::Failed));
        let has_crashed = refused.reason == Reason::Crashed;
        self.crashes += u8::from(has_crashed);
        self.is_suspect |= has_crashed;
    }
}

/// Returns the quarantine status of a call's request.
fn request_status<C>(inner: &Inner<C>, plan: &Plan) -> RequestStatus
where
    C: Clock,
{
    let shared = &inner.shared;
    shared.quarantine.status(shared.clock.now(), plan.digest)
}

/// Combines the refusals of two attempts for the caller. The refusal of an attempt that may have run
/// takes precedence.
fn combine_refusals(earlier: Refused, later: Refused) -> Refused {
    match earlier.verdict {
        Verdict::NotRun => later,
        _ => earlier,
    }
}

/// Picks the endpoint for the next attempt. If every endpoint has been tried and the last attempt
/// failed for another reason than a full endpoint, the endpoints that were full earlier are
/// considered again.
///
/// Returns an error if the request is held in quarantine by now, or can't end before this node
/// stops.
async fn pick_next<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    tried: &mut TriedEndpoints,
    last_cause: Option<Cause>,
    history: &mut AttemptHistory,
) -> Result<Option<PickedEndpoint<C>>, Refused>
where
    C: Clock,
{
    if !can_end(inner, plan) {
        return Err(Refused::not_run(Reason::Leaving, 0));
    }
    match request_status(inner, plan) {
        RequestStatus::Clear => {}
        RequestStatus::Suspect => history.is_suspect = true,
        RequestStatus::Held { wait } => return Err(Refused::held(wait)),
    }
    if history.is_suspect {
        return Ok(pick_owner(inner, plan, tried.keys()));
    }
    if last_cause.is_none()
        && let Some(picked) = pick_trial(inner, plan)
    {
        return Ok(Some(picked));
    }
    let picked = pick(inner, plan, tried.keys()).await;
    if picked.is_none() && last_cause != Some(Cause::Full) && tried.readmit_full() {
        return Ok(pick(inner, plan, tried.keys()).await);
    }
    Ok(picked)
}

fn outcome_of_status(status: StatusCode, report: Option<LoadReport>) -> Outcome {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Full,
        status if status.is_server_error() => Outcome::Failed,
        _ => Outcome::Answered(report),
    }
}

pub(crate) fn cause_of(refused: Refused) -> Cause {
    match (refused.verdict, refused.reason) {
        (Verdict::NotRun, Reason::Leaving) => Cause::Leaving,
        (Verdict::NotRun, Reason::Full | Reason::Deadline | Reason::RateLimit) => Cause::Full,
        (Verdict::NotRun, Reason::TeamShare) => Cause::TeamShare,
        (Verdict::NotRun, Reason::Shed) => Cause::Shed,
        (Verdict::NotRun, Reason::Unreached) => Cause::Unreached,
        (Verdict::NotRun, Reason::Held) => Cause::Held,
        _ => Cause::Failed,
    }
}

pub(crate) fn outcome_of_cause(cause: Cause) -> Outcome {
    match cause {
        Cause::Leaving => Outcome::Leaving,
        Cause::Full => Outcome::Full,
        Cause::Shed => Outcome::Shed,
        Cause::Unreached | Cause::Failed => Outcome::Failed,
        // The refusal says nothing about the backend server.
        Cause::Held | Cause::TeamShare => Outcome::Cancelled,
    }
}
