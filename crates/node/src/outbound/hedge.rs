//! A second copy of a call whose first try is late: runs `policy::hedge`.

use crate::outbound::Inner;
use crate::outbound::pick::pick_without_probes;
use crate::outbound::plan::Plan;
use crate::outbound::remote_attempt;
use crate::outbound::send::{History, Tried, try_once};
use crate::outbound::serve::{cause_of, refused_outcome};
use crate::outbound::service::PickedEndpoint;
use crate::outbound::tried::TriedEndpoints;
use call::Verdict;
use clock::Clock;
use http::request;
use policy::balance::Outcome;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Where a copy goes, and its body.
struct Second<C>
where
    C: Clock,
{
    picked: PickedEndpoint<C>,
    body: remote_attempt::RequestBody,
}

/// Tries a call for the first time; once it is late, a copy of it elsewhere as well.
///
/// Gives the try that counts and where it went. `visited` gets the copy's
/// backend server.
pub(crate) async fn try_first<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    body: remote_attempt::RequestBody,
    first: PickedEndpoint<C>,
    visited: &mut TriedEndpoints,
    history: History,
) -> (Tried<C>, PickedEndpoint<C>)
where
    C: Clock,
{
    let started = first.started;
    // Only a body that is held whole can be sent twice. A copy of a request that crashes
    // backend servers takes one more down.
    let may = plan.may_hedge() && body.rest.is_none() && !history.is_suspect;
    let copy = remote_attempt::RequestBody {
        prefix: body.prefix.clone(),
        rest: None,
    };
    let endpoint = first.endpoint.clone();
    let mut one = pin!(try_once(inner, plan, head, body, &endpoint, history));
    if let Some(wait) = plan.client.hedge_delay(started, may) {
        match tokio::time::timeout(wait, one.as_mut()).await {
            Ok(result) => return (note(inner, plan, started, result), first),
            Err(_late) => {
                if let Some(picked) = pick_copy(inner, plan, visited) {
                    let second = Second { picked, body: copy };
                    return race(inner, plan, head, one, first, second, visited).await;
                }
            }
        }
    }
    let result = one.await;
    (note(inner, plan, started, result), first)
}

/// Runs the copy beside the first try; the first answer counts.
async fn race<C, F>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    head: &request::Parts,
    mut one: Pin<&mut F>,
    mut first: PickedEndpoint<C>,
    second: Second<C>,
    visited: &mut TriedEndpoints,
) -> (Tried<C>, PickedEndpoint<C>)
where
    C: Clock,
    F: Future<Output = Tried<C>>,
{
    let started = first.started;
    let Second {
        picked: mut second,
        body,
    } = second;
    let endpoint = second.endpoint.clone();
    let copy = History {
        reached: 1,
        ..History::default()
    };
    let mut two = pin!(try_once(inner, plan, head, body, &endpoint, copy));
    tokio::select! {
        result = one.as_mut() => {
            let result = note(inner, plan, started, result);
            if matches!(result, Tried::Answered(..)) {
                plan.client.record_hedge_result(false);
                return (result, first);
            }
            first.outcome = outcome_of(&result);
            (pick_final(result, two.await), second)
        }
        result = two.as_mut() => {
            if matches!(result, Tried::Answered(..)) {
                plan.client.record_hedge_result(true);
                plan.client.record_first_latency(elapsed(inner, started));
                first.outcome = Outcome::HedgeWon;
                return (result, second);
            }
            second.outcome = outcome_of(&result);
            if second.outcome == Outcome::Full {
                visited.mark_full(second.key);
            }
            drop(second);
            let last = note(inner, plan, started, one.await);
            (pick_final(result, last), first)
        }
    }
}

/// Gives what counts of a refused try and the one that ended after it.
///
/// The caller may be told "not run" only if neither may have run.
fn pick_final<C>(refused: Tried<C>, last: Tried<C>) -> Tried<C>
where
    C: Clock,
{
    let ran = |tried: &Tried<C>| match tried {
        Tried::Answered(..) | Tried::Late(_) => true,
        Tried::Refused(refused, _) => refused.verdict != Verdict::NotRun,
    };
    if ran(&refused) && !matches!(last, Tried::Answered(..)) {
        refused
    } else {
        last
    }
}

fn outcome_of<C>(tried: &Tried<C>) -> Outcome
where
    C: Clock,
{
    match tried {
        Tried::Answered(_, told) => Outcome::Answered(*told),
        Tried::Refused(refused, _) => refused_outcome(cause_of(*refused)),
        Tried::Late(_) => Outcome::Failed,
    }
}

fn pick_copy<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    visited: &mut TriedEndpoints,
) -> Option<PickedEndpoint<C>>
where
    C: Clock,
{
    let second = pick_without_probes(inner, plan, visited.keys(), &[])?;
    if !plan.client.spend(inner.shared.clock.now()) {
        return None;
    }
    visited.add(second.key);
    Some(second)
}

/// Tells the hedge how the first try went.
fn note<C>(inner: &Inner<C>, plan: &Plan, started: Instant, result: Tried<C>) -> Tried<C>
where
    C: Clock,
{
    match &result {
        Tried::Answered(..) => plan.client.record_first_latency(elapsed(inner, started)),
        Tried::Refused(..) | Tried::Late(_) => plan.client.pause_hedge(inner.shared.clock.now()),
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
