//! Calls with an `Idempotency-Key`: the key is reserved before the call runs, and repeats get the
//! stored response.

use crate::inbound::run::{MAX_COMMIT_OVERRUN, Refused};
use crate::metrics::Ending;
use crate::outbound::Inner;
use crate::outbound::plan::{Plan, time_left};
use crate::outbound::remote_attempt;
use crate::outbound::response::{Body, VERDICT_HEADER, respond};
use crate::outbound::send::PendingAttempt;
use crate::outbound::serve::{ServedCall, serve_plan};
use crate::reserve::{ClaimResult, Grant};
use bytes::{Bytes, BytesMut};
use call::Verdict;
use call::reserve::{Answer, Fingerprint, Key, MAX_ANSWER_BYTES, Reply};
use clock::Clock;
use http::{HeaderName, HeaderValue, Response, StatusCode, request};
use http_body_util::BodyExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;
use wire::call::Reason;

/// Header that marks a stored response to a repeated call.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Retry delay for callers whose key is in use by another call. Most calls end within this time.
const KEY_IN_USE_RETRY_AFTER_MS: u32 = 1_000;

/// Serves a call with an idempotency key.
///
/// The call continues if its caller disconnects. A caller whose connection broke repeats the call
/// with the same key and then gets the response of the first run. If that run were aborted, the
/// repeat could only be told "may have run".
pub(crate) async fn serve_keyed<C>(
    inner: &Arc<Inner<C>>,
    plan: &Arc<Plan>,
    key: Key,
    head: request::Parts,
    body: remote_attempt::RequestBody,
) -> ServedCall<C>
where
    C: Clock,
{
    let (inner, plan) = (Arc::clone(inner), Arc::clone(plan));
    let counted = inner.begin_keyed();
    // The call goes on without its caller, so it may run even if no attempt has been sent yet.
    plan.is_dispatched.store(true, Ordering::Relaxed);
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let (served, unresolved) = claim_and_run(&inner, &plan, key, &head, body).await;
        // A caller that has disconnected gets the stored response when it repeats the call.
        drop(sender.send(served));
        drop(counted);
        if let Some((grant, pending)) = unresolved {
            resolve_pending(&inner, grant, pending).await;
        }
    });
    // The task sends the response unless it panics, which would be a bug.
    receiver
        .await
        .expect("the task of a call with a key sends its response")
}

/// Waits past the deadline for the outcome of a call, so that repeats with its key get that
/// outcome.
///
/// A node that was stopped for seconds knows the outcome once it resumes.
/// Without this wait, every repeat would be told "may have run" forever.
async fn resolve_pending<C>(inner: &Inner<C>, grant: Grant, pending: PendingAttempt<C>)
where
    C: Clock,
{
    match tokio::time::timeout(MAX_COMMIT_OVERRUN, pending.wait()).await {
        Ok(Ok(response)) => {
            drop(update_reservation(inner, grant, response, MAX_COMMIT_OVERRUN).await);
        }
        Ok(Err(refused)) if refused.verdict == Verdict::NotRun => {
            inner.reserve.release(grant, MAX_COMMIT_OVERRUN).await;
        }
        Ok(Err(_)) | Err(_) => {}
    }
}

/// Updates the reservation of the key according to the response; waits at most `limit` until a key
/// that is free again is free for all nodes.
async fn update_reservation<C>(
    inner: &Inner<C>,
    grant: Grant,
    response: Response<Body<C>>,
    limit: Duration,
) -> Response<Body<C>>
where
    C: Clock,
{
    match verdict_of(&response) {
        Some(Verdict::Ran) => store_response(inner, grant, response).await,
        Some(Verdict::NotRun) => {
            inner.reserve.release(grant, limit).await;
            response
        }
        // The outcome is unknown: the key stays reserved, and repeats are told "may have run".
        Some(Verdict::MayHaveRun) | None => response,
    }
}

/// A granted reservation, and the attempt whose outcome is unknown.
type Unresolved<C> = (Grant, PendingAttempt<C>);

async fn claim_and_run<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    key: Key,
    head: &request::Parts,
    body: remote_attempt::RequestBody,
) -> (ServedCall<C>, Option<Unresolved<C>>)
where
    C: Clock,
{
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::of(head.method.as_str(), path, &body.prefix);
    let id = inner.links.next_id();
    let limit = time_left(inner, plan.deadline);
    match inner.reserve.claim(key, fingerprint, id, limit).await {
        ClaimResult::Granted(grant) => run_claimed(inner, plan, grant, head, body).await,
        ClaimResult::NotGranted(reply) => (respond_to_claim(reply), None),
    }
}

/// Runs a call whose key was granted, and updates the reservation with the outcome.
async fn run_claimed<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    grant: Grant,
    head: &request::Parts,
    body: remote_attempt::RequestBody,
) -> (ServedCall<C>, Option<Unresolved<C>>)
where
    C: Clock,
{
    let mut served = serve_plan(inner, plan, head, body).await;
    if let Some(pending) = served.pending.take() {
        return (served, Some((grant, pending)));
    }
    let limit = time_left(inner, plan.deadline);
    served.response = update_reservation(inner, grant, served.response, limit).await;
    (served, None)
}

fn verdict_of<C>(response: &Response<Body<C>>) -> Option<Verdict>
where
    C: Clock,
{
    let value = response.headers().get(VERDICT_HEADER)?;
    let all = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
    all.into_iter().find(|verdict| value == verdict.as_str())
}

/// Stores a response for repeats of the call, if it is complete and not too large.
async fn store_response<C>(
    inner: &Inner<C>,
    grant: Grant,
    response: Response<Body<C>>,
) -> Response<Body<C>>
where
    C: Clock,
{
    let (parts, mut body) = response.into_parts();
    let mut collected = BytesMut::new();
    let mut is_complete = false;
    while collected.len() <= MAX_ANSWER_BYTES {
        match body.frame().await {
            Some(Ok(frame)) => collected.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break,
            None => {
                is_complete = true;
                break;
            }
        }
    }
    let collected = collected.freeze();
    let answer = is_complete.then(|| Answer {
        status: parts.status.as_u16(),
        headers: crate::header::collect_end_to_end(&parts.headers),
        body: collected.clone(),
    });
    inner.reserve.complete(grant, answer);
    let body = if is_complete {
        Body::Full((!collected.is_empty()).then_some(collected))
    } else {
        Body::Prefixed(Some(collected), Box::new(body))
    };
    Response::from_parts(parts, body)
}

/// Responds to a call that was not granted its key: another call holds the key or has used it, or
/// the key could not be reserved.
fn respond_to_claim<C>(reply: Reply) -> ServedCall<C>
where
    C: Clock,
{
    match reply {
        Reply::Known(answer) => replay(&answer).into(),
        Reply::Ran => ServedCall {
            response: respond(StatusCode::CONFLICT, Verdict::Ran, "answer-not-kept", 0),
            ending: Ending::Refused(Verdict::Ran),
            pending: None,
        },
        Reply::Granted | Reply::Unsettled => ServedCall {
            response: respond(
                StatusCode::CONFLICT,
                Verdict::MayHaveRun,
                "key-in-use",
                KEY_IN_USE_RETRY_AFTER_MS,
            ),
            ending: Ending::Refused(Verdict::MayHaveRun),
            pending: None,
        },
        Reply::Mismatch => respond(
            StatusCode::UNPROCESSABLE_ENTITY,
            Verdict::NotRun,
            "key-of-another-request",
            0,
        )
        .into(),
        Reply::Refused { retry_after_ms } => {
            Refused::not_run(Reason::Reservation, retry_after_ms).into()
        }
    }
}

fn replay<C>(answer: &Answer) -> Response<Body<C>>
where
    C: Clock,
{
    let body: Bytes = answer.body.clone();
    let mut response = Response::new(Body::Full((!body.is_empty()).then_some(body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    crate::header::append_headers(answer.headers.clone(), headers);
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}
