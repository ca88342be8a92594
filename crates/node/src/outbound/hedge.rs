//! Hedging: sends a call to a second backend server if the first attempt is slow.
//! Runs `policy::hedge`.

use crate::metrics::retries::Payment;
use crate::outbound::Inner;
use crate::outbound::pick::pick_without_probes;
use crate::outbound::plan::Plan;
use crate::outbound::remote_attempt;
use crate::outbound::send::{AttemptHistory, AttemptResult, send_attempt};
use crate::outbound::serve::{cause_of, outcome_of_cause};
use crate::outbound::service::PickedEndpoint;
use crate::outbound::tried::TriedEndpoints;
use call::Verdict;
use clock::Clock;
use http::request;
use policy::balance::Outcome;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The endpoint picked for a hedge, and the request body to send.
struct Hedge<C>
where
    C: Clock,
{
    picked: PickedEndpoint<C>,
    body: remote_attempt::RequestBody,
}

/// Sends the first attempt of a call, and a hedge to another endpoint if the first is slow.
///
/// Returns the result for the caller and the endpoint that it came from. The
/// hedge's endpoint is added to `tried`.
pub(crate) async fn send_with_hedge<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    body: remote_attempt::RequestBody,
    first: PickedEndpoint<C>,
    tried: &mut TriedEndpoints,
    history: AttemptHistory,
) -> (AttemptResult<C>, PickedEndpoint<C>)
where
    C: Clock,
{
    let started = first.started;
    // Only a body that is completely in memory can be sent twice. Hedging a request that crashes
    // backend servers would take down one more backend server.
    let may_hedge = plan.may_hedge() && body.rest.is_none() && !history.is_suspect;
    let hedge_body = remote_attempt::RequestBody {
        prefix: body.prefix.clone(),
        rest: None,
    };
    let endpoint = first.endpoint.clone();
    let mut first_attempt = pin!(send_attempt(inner, plan, head, body, &endpoint, history));
    if let Some(wait) = plan.client.hedge_delay(started, may_hedge) {
        match tokio::time::timeout(wait, first_attempt.as_mut()).await {
            Ok(result) => return (record_first(inner, plan, started, result), first),
            Err(_elapsed) => {
                if let Some(picked) = pick_hedge(inner, plan, tried) {
                    let hedge = Hedge {
                        picked,
                        body: hedge_body,
                    };
                    return race(inner, plan, head, first_attempt, first, hedge, tried).await;
                }
            }
        }
    }
    let result = first_attempt.await;
    (record_first(inner, plan, started, result), first)
}

/// Runs the hedge concurrently with the first attempt, and returns the first response.
async fn race<C, F>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    mut first_attempt: Pin<&mut F>,
    mut first: PickedEndpoint<C>,
    hedge: Hedge<C>,
    tried: &mut TriedEndpoints,
) -> (AttemptResult<C>, PickedEndpoint<C>)
where
    C: Clock,
    F: Future<Output = AttemptResult<C>>,
{
    let started = first.started;
    let Hedge {
        picked: mut hedge,
        body,
    } = hedge;
    let endpoint = hedge.endpoint.clone();
    let history = AttemptHistory {
        dispatched: 1,
        ..AttemptHistory::default()
    };
    let mut hedge_attempt = pin!(send_attempt(inner, plan, head, body, &endpoint, history));
    tokio::select! {
        result = first_attempt.as_mut() => {
            let result = record_first(inner, plan, started, result);
            if matches!(result, AttemptResult::Answered(..)) {
                plan.client.record_hedge_result(false);
                return (result, first);
            }
            first.outcome = outcome_of_result(&result);
            (combine_results(result, hedge_attempt.await), hedge)
        }
        result = hedge_attempt.as_mut() => {
            if matches!(result, AttemptResult::Answered(..)) {
                plan.client.record_hedge_result(true);
                plan.client.record_first_latency(elapsed(inner, started));
                first.outcome = Outcome::HedgeWon;
                return (result, hedge);
            }
            hedge.outcome = outcome_of_result(&result);
            if hedge.outcome == Outcome::Full {
                tried.mark_full(hedge.key);
            }
            drop(hedge);
            let last = record_first(inner, plan, started, first_attempt.await);
            (combine_results(result, last), first)
        }
    }
}

/// Combines the result of an unanswered attempt with that of the attempt that ended after it.
///
/// The caller may be told "not run" only if neither attempt may have run.
fn combine_results<C>(refused: AttemptResult<C>, last: AttemptResult<C>) -> AttemptResult<C>
where
    C: Clock,
{
    let may_have_run = |result: &AttemptResult<C>| match result {
        AttemptResult::Answered(..) | AttemptResult::TimedOut(_) => true,
        AttemptResult::Refused(refused, _) => refused.verdict != Verdict::NotRun,
    };
    if may_have_run(&refused) && !matches!(last, AttemptResult::Answered(..)) {
        refused
    } else {
        last
    }
}

fn outcome_of_result<C>(result: &AttemptResult<C>) -> Outcome
where
    C: Clock,
{
    match result {
        AttemptResult::Answered(_, report) => Outcome::Answered(*report),
        AttemptResult::Refused(refused, _) => outcome_of_cause(cause_of(*refused)),
        AttemptResult::TimedOut(_) => Outcome::Failed,
    }
}

fn pick_hedge<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    tried: &mut TriedEndpoints,
) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    let hedge = pick_without_probes(inner, plan, tried.keys(), &[])?;
    if hedge.is_rate_limited {
        return None;
    }
    let service = inner.shared.metrics.service(&plan.service);
    if !plan.client.charge_hedge(inner.shared.clock.now()) {
        service.retries.count_denied();
        return None;
    }
    service.retries.count_sent(Payment::Budget);
    tried.add(hedge.key);
    Some(hedge)
}

/// Reports the result of the first attempt to the hedge policy.
fn record_first<C>(
    inner: &Inner<C>,
    plan: &Plan,
    started: Instant,
    result: AttemptResult<C>,
) -> AttemptResult<C>
where
    C: Clock,
{
    match &result {
        AttemptResult::Answered(..) => plan.client.record_first_latency(elapsed(inner, started)),
        AttemptResult::Refused(..) | AttemptResult::TimedOut(_) => {
            plan.client.pause_hedge(inner.shared.clock.now());
        }
    }
    result
}

fn elapsed<C>(inner: &Inner<C>, started: Instant) -> Duration
where
    C: Clock,
{
    let now = inner.shared.clock.now();
    now.saturating_duration_since(started)
}
