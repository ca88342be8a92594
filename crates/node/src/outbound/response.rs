//! Responses to callers: those of backend servers, and refusals with their verdict.

use crate::call_length::Measurement;
use crate::inbound::run::Refused;
use crate::millis::whole_ms;
use crate::outbound::judge::Judge;
use crate::outbound::local_body::Local;
use crate::outbound::remote_attempt::RemoteAttempt;
use bytes::Bytes;
use call::Verdict;
use clock::Clock;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body::{Frame, SizeHint};
use quick_error::quick_error;
use serde::Serialize;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use wire::call::{Reason, Refusal};

/// Header with the [`Verdict`] on a call.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static(Verdict::HEADER);

/// Header with the retry delay in milliseconds; `Retry-After`, sent along with it, has a resolution
/// of one second.
pub const RETRY_AFTER_HEADER: HeaderName = HeaderName::from_static("bluebellpick-retry-after-ms");

/// Minimum retry delay for callers when no better estimate is known. Within a second, endpoint
/// lists reflect a change and a restarted node is back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a response body ended early.
    #[derive(Debug)]
    pub enum Error {
        /// The rest of the body is unavailable. The caller's connection is closed without an
        /// end of the body, so that the caller doesn't take the response for complete.
        Truncated {
            display("the response body ended before it was complete")
        }
        /// The backend server broke off the body, or sent what is none.
        Broken {
            display("the backend server broke off the response body")
        }
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum Body<C>
where
    C: Clock,
{
    /// A complete body that is held in memory.
    Full(Option<Bytes>),
    /// A body that another node's backend server sends.
    Remote(Remote),
    /// A body whose start has already been read.
    Prefixed(Option<Bytes>, Box<Body<C>>),
    /// A body that the backend server on the same VM sends.
    Local(Box<Local<C>>),
    /// A body whose failure counts against its backend server.
    Judged(Box<Body<C>>, Option<Judge<C>>),
    /// A body with which the call ends.
    Measured(Measured<C>),
    /// A body whose rest is unavailable.
    Truncated,
}

/// The body of a response, with the measurement of its call.
#[derive(Debug)]
pub struct Measured<C>
where
    C: Clock,
{
    body: Box<Body<C>>,
    _measurement: Measurement<C>,
}

impl<C> Body<C>
where
    C: Clock,
{
    /// Measures a call until the end of its response.
    pub(crate) fn measured(self, measurement: Measurement<C>) -> Self {
        match self {
            Self::Full(_) => self,
            body => Self::Measured(Measured {
                body: Box::new(body),
                _measurement: measurement,
            }),
        }
    }

    /// Reports a failure of the body to `judge`.
    pub(crate) fn judged(self, judge: Judge<C>) -> Self {
        match self {
            Self::Full(_) => self,
            body => Self::Judged(Box::new(body), Some(judge)),
        }
    }
}

/// The body of a response that is received over a link.
#[derive(Debug)]
pub struct Remote(pub(crate) RemoteAttempt);

impl<C> http_body::Body for Body<C>
where
    C: Clock,
{
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Self::Prefixed(first, rest) => match first.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(&mut **rest).poll_frame(cx),
            },
            Self::Measured(Measured { body, .. }) => Pin::new(&mut **body).poll_frame(cx),
            Self::Truncated => Poll::Ready(Some(Err(Error::Truncated))),
            Self::Judged(body, judge) => {
                let frame = Pin::new(&mut **body).poll_frame(cx);
                if matches!(frame, Poll::Ready(Some(Err(Error::Broken))))
                    && let Some(judge) = judge.take()
                {
                    judge.record_failure();
                }
                frame
            }
            Self::Remote(Remote(attempt)) => attempt.poll_chunk(cx).map(|chunk| {
                chunk.map(|result| {
                    result
                        .map(Frame::data)
                        .map_err(|refusal| Error::from(refusal.reason))
                })
            }),
            Self::Local(local) => local
                .poll_chunk(cx)
                .map(|chunk| chunk.map(|result| result.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Prefixed(first, rest) => first.is_none() && rest.is_end_stream(),
            Self::Measured(Measured { body, .. }) | Self::Judged(body, _) => body.is_end_stream(),
            Self::Truncated => false,
            Self::Remote(Remote(attempt)) => attempt.is_end(),
            Self::Local(local) => local.is_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Measured(Measured { body, .. }) | Self::Judged(body, _) => body.size_hint(),
            Self::Prefixed(..) | Self::Remote(_) | Self::Local(_) | Self::Truncated => {
                SizeHint::default()
            }
        }
    }
}

impl From<Reason> for Error {
    /// Maps the reason why another node ended a body.
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::Backend | Reason::Crashed | Reason::Malformed => Self::Broken,
            _ => Self::Truncated,
        }
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            verdict: refusal.verdict,
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after_ms,
        }
    }
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    verdict: &'a str,
    reason: &'a str,
    retry_after_ms: u32,
}

/// Creates the response to a call that no backend server answered: the verdict, the reason and
/// when to retry.
pub(crate) fn refuse<C>(refused: Refused) -> Response<Body<C>>
where
    C: Clock,
{
    let status = match (refused.verdict, refused.reason) {
        (Verdict::NotRun, Reason::OverLimit) => StatusCode::TOO_MANY_REQUESTS,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let wait = match (refused.verdict, refused.retry_after_ms) {
        (Verdict::NotRun, 0) => jittered_retry_after_ms(),
        (_, wait) => wait,
    };
    respond(status, refused.verdict, reason_name(refused.reason), wait)
}

/// Returns a random retry delay, so that callers refused at the same time don't retry together.
fn jittered_retry_after_ms() -> u32 {
    let wait = policy::backoff::add_jitter(MIN_RETRY_AFTER, &mut rand::rng());
    whole_ms(wait)
}

/// Creates the response to a call that was not attempted, for a reason that the caller can fix.
pub(crate) fn reject<C>(status: StatusCode, reason: &str) -> Response<Body<C>>
where
    C: Clock,
{
    respond(status, Verdict::NotRun, reason, 0)
}

/// Creates a response generated by this node, with a JSON body.
pub(crate) fn respond<C>(
    status: StatusCode,
    verdict: Verdict,
    reason: &str,
    retry_after_ms: u32,
) -> Response<Body<C>>
where
    C: Clock,
{
    let body = ErrorBody {
        verdict: verdict.as_str(),
        reason,
        retry_after_ms,
    };
    let mut json = serde_json::to_vec(&body).unwrap_or_default();
    json.push(b'\n');
    let mut response = Response::new(Body::Full(Some(json.into())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict.as_str()));
    if retry_after_ms > 0 {
        let seconds = retry_after_ms.div_ceil(1_000);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        headers.insert(RETRY_AFTER_HEADER, HeaderValue::from(retry_after_ms));
    }
    response
}

/// Returns a reason's name in responses, log lines and metrics.
pub(crate) fn reason_name(reason: Reason) -> &'static str {
    match reason {
        Reason::Leaving => "leaving",
        Reason::Full => "full",
        Reason::Shed => "shed",
        Reason::Unreached => "unreached",
        Reason::Deadline => "deadline",
        Reason::Backend => "backend",
        Reason::NoService => "no-service",
        Reason::Cancelled => "cancelled",
        Reason::NoRoutes => "no-routes-yet",
        Reason::Reservation => "reservation",
        Reason::Crashed => "crashed",
        Reason::Held => "held",
        Reason::Unconfirmed => "unconfirmed",
        Reason::OverLimit => "over-limit",
        Reason::RateLimit => "rate-limit",
        Reason::TeamShare => "team-share",
        Reason::Malformed => "malformed",
    }
}
