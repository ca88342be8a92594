//! Calls with an `Idempotency-Key`: reserved before they run, answered again from what is kept.

use crate::inbound::run::{MAX_COMMIT_OVERRUN, Refused};
use crate::metrics::Ending;
use crate::outbound::Inner;
use crate::outbound::plan::{Plan, time_left};
use crate::outbound::remote_attempt;
use crate::outbound::response::{Body, VERDICT_HEADER, tell};
use crate::outbound::send::Late;
use crate::outbound::serve::{Served, serve_plan};
use crate::reserve::{ClaimResult, Grant};
use bytes::{Bytes, BytesMut};
use call::Verdict;
use call::reserve::{Answer, Fingerprint, Key, MAX_ANSWER_BYTES, Reply};
use clock::Clock;
use http::{HeaderName, HeaderValue, Response, StatusCode, request};
use http_body_util::BodyExt;
use std::sync::Arc;
use tokio::sync::oneshot;
use wire::call::Reason;

/// Header of an answer that was given before.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotent-replayed");

/// When to ask again about a key that another call holds, in milliseconds: most calls have ended by then.
const IN_USE_RETRY_MS: u32 = 1_000;

/// Serves a call under its key.
///
/// It goes on when its caller goes away: a caller whose connection broke asks
/// again under the same key, and then gets the answer of this run, where a run
/// broken off half way would leave it with "may have run".
pub(crate) async fn serve_keyed<C>(
    inner: &Arc<Inner<C>>,
    plan: &Arc<Plan>,
    key: Key,
    head: request::Parts,
    body: remote_attempt::RequestBody,
) -> Served<C>
where
    C: Clock,
{
    let (inner, plan) = (Arc::clone(inner), Arc::clone(plan));
    let counted = inner.count_keyed();
    let (tell, told) = oneshot::channel();
    tokio::spawn(async move {
        let (served, open) = claim_and_run(&inner, &plan, key, &head, body).await;
        // A caller who has gone away repeats, and is answered from the key.
        drop(tell.send(served));
        drop(counted);
        if let Some((grant, late)) = open {
            settle_late(&inner, grant, late).await;
        }
    });
    // The task has no way to end early but a panic, which is a bug.
    told.await.expect("a keyed call runs to its end")
}

/// Learns what became of a call after its deadline, for the repeats under its key.
///
/// A node that was stopped for seconds knows the outcome once it goes on.
/// Without the question, every repeat would be told "may have run" for good.
async fn settle_late<C>(inner: &Inner<C>, grant: Grant, late: Late<C>)
where
    C: Clock,
{
    match tokio::time::timeout(MAX_COMMIT_OVERRUN, late.settle()).await {
        Ok(Ok(response)) => drop(settle(inner, grant, response).await),
        Ok(Err(refused)) if refused.verdict == Verdict::NotRun => inner.reserve.release(grant),
        Ok(Err(_)) | Err(_) => {}
    }
}

/// Says what an answer tells of the key.
async fn settle<C>(inner: &Inner<C>, grant: Grant, response: Response<Body<C>>) -> Response<Body<C>>
where
    C: Clock,
{
    match verdict_of(&response) {
        Some(Verdict::Ran) => keep_answer(inner, grant, response).await,
        Some(Verdict::NotRun) => {
            inner.reserve.release(grant);
            response
        }
        // Nobody knows, and the key says so from now on.
        Some(Verdict::MayHaveRun) | None => response,
    }
}

/// A key that is granted, and the try whose outcome is open.
type Open<C> = (Grant, Late<C>);

async fn claim_and_run<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    key: Key,
    head: &request::Parts,
    body: remote_attempt::RequestBody,
) -> (Served<C>, Option<Open<C>>)
where
    C: Clock,
{
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::of(head.method.as_str(), path, &body.prefix);
    let id = inner.links.next_id();
    let limit = time_left(inner, plan.deadline);
    match inner.reserve.claim(key, fingerprint, id, limit).await {
        ClaimResult::Granted(grant) => run(inner, plan, grant, head, body).await,
        ClaimResult::NotGranted(reply) => (answer_told(reply), None),
    }
}

/// Runs a call that holds its key, and says what became of it.
async fn run<C>(
    inner: &Arc<Inner<C>>,
    plan: &Plan,
    grant: Grant,
    head: &request::Parts,
    body: remote_attempt::RequestBody,
) -> (Served<C>, Option<Open<C>>)
where
    C: Clock,
{
    let mut served = serve_plan(inner, plan, head, body).await;
    if let Some(late) = served.late.take() {
        return (served, Some((grant, late)));
    }
    served.response = settle(inner, grant, served.response).await;
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

/// Keeps an answer for repeats, if it is short and comes whole.
async fn keep_answer<C>(
    inner: &Inner<C>,
    grant: Grant,
    response: Response<Body<C>>,
) -> Response<Body<C>>
where
    C: Clock,
{
    let (parts, mut body) = response.into_parts();
    let mut whole = BytesMut::new();
    let mut ended = false;
    while whole.len() <= MAX_ANSWER_BYTES {
        match body.frame().await {
            Some(Ok(frame)) => whole.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break,
            None => {
                ended = true;
                break;
            }
        }
    }
    let whole = whole.freeze();
    let answer = ended.then(|| Answer {
        status: parts.status.as_u16(),
        headers: crate::header::collect_end_to_end(&parts.headers),
        body: whole.clone(),
    });
    inner.reserve.complete(grant, answer);
    let body = if ended {
        Body::Whole((!whole.is_empty()).then_some(whole))
    } else {
        Body::Started(Some(whole), Box::new(body))
    };
    Response::from_parts(parts, body)
}

/// Answers a call whose key another one holds, or that could not be reserved.
fn answer_told<C>(reply: Reply) -> Served<C>
where
    C: Clock,
{
    match reply {
        Reply::Known(answer) => answer_again(&answer).into(),
        Reply::Ran => Served {
            response: tell(StatusCode::CONFLICT, Verdict::Ran, "answer-not-kept", 0),
            ending: Ending::Refused(Verdict::Ran),
            late: None,
        },
        Reply::Granted | Reply::Unsettled => Served {
            response: tell(
                StatusCode::CONFLICT,
                Verdict::MayHaveRun,
                "key-in-use",
                IN_USE_RETRY_MS,
            ),
            ending: Ending::Refused(Verdict::MayHaveRun),
            late: None,
        },
        Reply::Mismatch => tell(
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

fn answer_again<C>(answer: &Answer) -> Response<Body<C>>
where
    C: Clock,
{
    let body: Bytes = answer.body.clone();
    let mut response = Response::new(Body::Whole((!body.is_empty()).then_some(body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    crate::header::append_headers(answer.headers.clone(), headers);
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}
