//! How the outbound proxy serves one call of a caller.

use crate::inbound::run::Refused;
use crate::metrics::Ending;
use crate::outbound::Inner;
use crate::outbound::hedge::try_first;
use crate::outbound::keyed::serve_keyed;
use crate::outbound::pick::{pick, pick_owner, pick_trial};
use crate::outbound::plan::{Plan, digest_of, host_of, make_plan, read_body_start, time_left};
use crate::outbound::remote_attempt;
use crate::outbound::response::{Body, refuse, reject};
use crate::outbound::send::{History, Late, Tried, try_once};
use crate::outbound::service::{BodySize, PickedEndpoint};
use crate::outbound::tell::{
    AnsweredCall, log_answer, log_failed_attempt, log_refused_call, log_unrouted_call,
};
use crate::outbound::tried::TriedEndpoints;
use call::Verdict;
use clock::Clock;
use config::{Objective, Version, View};
use http::{Request, Response, StatusCode, request};
use hyper::body::Incoming;
use policy::balance::{LoadReport, Outcome};
use policy::quarantine::RequestStatus;
use policy::retry::{self, Cause, Decision};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::call::{MAX_EAGER_BODY, Reason};

/// A call's answer, and how it counts.
pub(crate) struct Served<C>
where
    C: Clock,
{
    pub(crate) response: Response<Body<C>>,
    pub(crate) ending: Ending,
    /// What was sent and came to nothing by the deadline.
    pub(crate) late: Option<Late<C>>,
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

/// Refuses a call whose path has no route, or one whose service has no endpoint, which burns.
fn refuse_unrouted<C>(inner: &Inner<C>, view: &View, head: &request::Parts) -> Response<Body<C>>
where
    C: Clock,
{
    // A node that has just started knows no routes yet; that is not the caller's fault.
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
    drop(Count {
        inner,
        service: &withheld.service,
        objective: withheld.objective,
        started: inner.shared.clock.now(),
        ending: Ending::Refused(Verdict::NotRun),
    });
    refuse(Refused::not_run(Reason::NoService, 0))
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
    let Some((mut plan, objective)) = make_plan(inner, &view, &head, peer) else {
        return refuse_unrouted(inner, &view, &head);
    };
    drop(view);
    let service = plan.service.clone();
    let mut count = Count {
        inner,
        service: &service,
        objective,
        started,
        ending: Ending::Cancelled,
    };
    let taken = tokio::time::timeout(time_left(inner, plan.deadline), read_body_start(body)).await;
    let body = match taken {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return reject(StatusCode::BAD_REQUEST, "body-cut-off"),
        Err(_) => return reject(StatusCode::REQUEST_TIMEOUT, "body-late"),
    };
    if body.length() > MAX_EAGER_BODY as u64 {
        plan.body_size = BodySize::Large;
    }
    plan.digest = digest_of(&plan, &head, &body);
    if let RequestStatus::Held { wait } = judge(inner, &plan) {
        let refused = Refused::held(wait);
        inner.shared.metrics.quarantine.count_refused();
        log_refused_call(inner, &plan, refused, started, 0);
        count.ending = Ending::Refused(Verdict::NotRun);
        return refuse(refused);
    }
    let plan = Arc::new(plan);
    let served = match plan.key {
        Some(key) => serve_keyed(inner, &plan, key, head, body).await,
        None => serve_plan(inner, &plan, &head, body).await,
    };
    count.ending = served.ending;
    served.response
}

impl<C> From<Refused> for Served<C>
where
    C: Clock,
{
    fn from(refused: Refused) -> Self {
        Self {
            response: refuse(refused),
            ending: Ending::Refused(refused.verdict),
            late: None,
        }
    }
}

impl<C> From<Response<Body<C>>> for Served<C>
where
    C: Clock,
{
    fn from(response: Response<Body<C>>) -> Self {
        Self {
            ending: Ending::Answered(response.status().as_u16()),
            response,
            late: None,
        }
    }
}

/// Tries a call until it is answered or its final refusal is known.
pub(crate) async fn serve_plan<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    mut body: remote_attempt::RequestBody,
) -> Served<C>
where
    C: Clock,
{
    let started = inner.shared.clock.now();
    let mut visited = TriedEndpoints::default();
    let mut history = History::default();
    let mut last = None;
    // What the caller is told in the end.
    let mut told = Refused::not_run(Reason::NoService, 0);
    for tries in 1.. {
        let mut picked = match pick_next(inner, plan, &mut visited, last, &mut history).await {
            Ok(Some(picked)) => picked,
            Ok(None) => break,
            Err(refused) => {
                told = weigh(told, refused);
                break;
            }
        };
        visited.add(picked.key);
        let tried_once = if tries == 1 {
            let (result, winner) =
                try_first(inner, plan, head, body, picked, &mut visited, history).await;
            picked = winner;
            result
        } else {
            try_once(inner, plan, head, body, &picked.endpoint, history).await
        };
        count_try(inner, plan, &picked, &tried_once);
        let (refused, back) = match tried_once {
            Tried::Answered(response, told) => {
                picked.outcome = answered(response.status(), told);
                let waited = told.map_or(Duration::ZERO, |told| told.queue_wait);
                let answer = AnsweredCall {
                    node: &picked.endpoint.node,
                    status: response.status(),
                    queue_wait: waited,
                    started,
                    attempts: tries,
                };
                log_answer(inner, plan, &answer);
                if tries == 1 {
                    plan.client.record_success(plan.retry_rule.as_ref());
                }
                return response.into();
            }
            Tried::Refused(refused, back) => (refused, back),
            Tried::Late(late) => {
                picked.outcome = Outcome::Failed;
                let refused = Refused::may_have_run(Reason::Deadline);
                log_failed_attempt(inner, plan, &picked.endpoint.node, refused, tries);
                return Served {
                    late: Some(late),
                    ..Refused::may_have_run(Reason::Deadline).into()
                };
            }
        };
        let cause = cause_of(refused);
        history.note(refused, cause);
        picked.outcome = refused_outcome(cause);
        log_failed_attempt(inner, plan, &picked.endpoint.node, refused, tries);
        if cause == Cause::Full {
            visited.mark_full(picked.key);
        }
        last = Some(cause);
        drop(picked);
        told = weigh(told, refused);
        let Some(back) = back else {
            break;
        };
        body = back;
        let now = inner.shared.clock.now();
        let failed = retry::FailedAttempt {
            verdict: refused.verdict,
            cause,
            repeatable: plan.may_repeat(),
            attempts: tries,
            dispatched: history.reached,
            crashes: history.crashes,
            max_attempts: plan.max_attempts(),
            retried_by_caller: plan.retried_by_caller,
            has_alternative: cause != Cause::Full
                || plan.nested.is_some()
                || plan.client.has_room(now, plan.body_size, visited.keys()),
            deadline: plan.deadline,
            expected_duration: plan.client.expected_duration(plan.route, plan.body_size),
        };
        match plan.client.decide(now, &failed) {
            Decision::Retry(Duration::ZERO) => {}
            Decision::Retry(wait) => tokio::time::sleep(wait).await,
            Decision::GiveUp(_) => break,
        }
    }
    log_refused_call(inner, plan, told, started, visited.count());
    told.into()
}

/// Tells a roll-out of the service, if there is one, what a try came to.
///
/// What speaks of links, VMs or load is left out: it tells nothing of a version.
fn count_try<C>(inner: &Inner<C>, plan: &Plan, picked: &PickedEndpoint<C>, tried: &Tried<C>)
where
    C: Clock,
{
    let now = inner.shared.clock.now();
    match tried {
        Tried::Answered(response, told) => {
            let took = now.saturating_duration_since(picked.started);
            let waited = told.map_or(Duration::ZERO, |told| told.queue_wait);
            let has_failed = response.status().is_server_error();
            picked.record_rollout_result(plan.kind, has_failed, Some(took.saturating_sub(waited)));
        }
        Tried::Refused(refused, _) if refused.verdict != Verdict::NotRun => match refused.reason {
            Reason::Deadline => picked.record_rollout_result(plan.kind, false, None),
            Reason::Backend => picked.record_rollout_result(plan.kind, true, None),
            _ => {}
        },
        Tried::Refused(..) | Tried::Late(_) => {}
    }
}

impl History {
    /// Takes in a try that came to nothing.
    fn note(&mut self, refused: Refused, cause: Cause) {
        self.reached += u8::from(matches!(cause, Cause::Shed | Cause::Failed));
        let has_crashed = refused.reason == Reason::Crashed;
        self.crashes += u8::from(has_crashed);
        self.is_suspect |= has_crashed;
    }
}

/// Tells how the request of a call stands.
fn judge<C>(inner: &Inner<C>, plan: &Plan) -> RequestStatus
where
    C: Clock,
{
    let shared = &inner.shared;
    shared.quarantine.status(shared.clock.now(), plan.digest)
}

/// Gives what a caller is told of two tries: one that may have run weighs more.
fn weigh(told: Refused, refused: Refused) -> Refused {
    match told.verdict {
        Verdict::NotRun => refused,
        _ => told,
    }
}

/// Picks where a call goes next; after a try that failed, also one that had no room before.
///
/// Fails for a request that is held by now.
async fn pick_next<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    visited: &mut TriedEndpoints,
    last: Option<Cause>,
    history: &mut History,
) -> Result<Option<PickedEndpoint<C>>, Refused>
where
    C: Clock,
{
    match judge(inner, plan) {
        RequestStatus::Clear => {}
        RequestStatus::Suspect => history.is_suspect = true,
        RequestStatus::Held { wait } => return Err(Refused::held(wait)),
    }
    if history.is_suspect {
        return Ok(pick_owner(inner, plan, visited.keys()));
    }
    if last.is_none()
        && let Some(picked) = pick_trial(inner, plan)
    {
        return Ok(Some(picked));
    }
    let fresh = pick(inner, plan, visited.keys()).await;
    if fresh.is_none() && last != Some(Cause::Full) && visited.readmit_full() {
        return Ok(pick(inner, plan, visited.keys()).await);
    }
    Ok(fresh)
}

fn answered(status: StatusCode, told: Option<LoadReport>) -> Outcome {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Full,
        status if status.is_server_error() => Outcome::Failed,
        _ => Outcome::Answered(told),
    }
}

pub(crate) fn cause_of(refused: Refused) -> Cause {
    match (refused.verdict, refused.reason) {
        (Verdict::NotRun, Reason::Leaving) => Cause::Leaving,
        (Verdict::NotRun, Reason::Full | Reason::Deadline) => Cause::Full,
        (Verdict::NotRun, Reason::Shed) => Cause::Shed,
        (Verdict::NotRun, Reason::Unreached) => Cause::Unreached,
        (Verdict::NotRun, Reason::Held) => Cause::Held,
        _ => Cause::Failed,
    }
}

pub(crate) fn refused_outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::Leaving => Outcome::Leaving,
        Cause::Full => Outcome::Full,
        Cause::Shed => Outcome::Shed,
        Cause::Unreached | Cause::Failed => Outcome::Failed,
        // It says nothing of the backend server.
        Cause::Held => Outcome::Cancelled,
    }
}
