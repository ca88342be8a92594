//! What callers get: answers, and refusals with their verdict.

use crate::backend;
use crate::inbound::run::{BackendResponse, Refused};
use crate::millis::whole_ms;
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

/// Header with the verdict.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static(Verdict::HEADER);

/// Header beside `Retry-After`, which knows only whole seconds, in milliseconds.
pub const RETRY_AFTER_HEADER: HeaderName = HeaderName::from_static("bluebellpick-retry-after-ms");

/// Least wait that a caller is told when nobody knows a better one: a list of
/// endpoints follows a change, and a node its restart, within a second.
const RETRY_AFTER: Duration = Duration::from_millis(500);

quick_error! {
    /// Why an answer broke off.
    #[derive(Debug)]
    pub enum Error {
        /// It can't come whole; the connection to the caller is closed, so that it sees no end.
        BrokenOff {
            display("the answer broke off")
        }
    }
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum Body<C>
where
    C: Clock,
{
    /// This node's own words.
    Whole(Option<Bytes>),
    /// From the backend server of another node.
    Remote(Remote),
    /// One of the others, of which the start has been taken already.
    Started(Option<Bytes>, Box<Body<C>>),
    /// From the backend server on the same VM.
    Local(Local<C>),
}

/// The body of an answer that comes over a link.
#[derive(Debug)]
pub struct Remote(pub(crate) RemoteAttempt);

/// The body of an answer from the backend server on the same VM.
#[derive(Debug)]
pub struct Local<C>(pub(crate) BackendResponse<C>)
where
    C: Clock;

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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Self::Started(first, rest) => match first.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(&mut **rest).poll_frame(cx),
            },
            Self::Remote(Remote(sent)) => sent.poll_part(cx).map(|part| {
                part.map(|got| got.map(Frame::data).map_err(|_refusal| Error::BrokenOff))
            }),
            Self::Local(Local(running)) => running.poll_part(cx).map(|part| {
                part.map(|got| match got {
                    Ok(bytes) => Ok(Frame::data(bytes)),
                    Err(backend::Error::Connect | backend::Error::Broken) => Err(Error::BrokenOff),
                })
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Started(first, rest) => first.is_none() && rest.is_end_stream(),
            Self::Remote(Remote(sent)) => sent.is_end(),
            Self::Local(Local(running)) => running.is_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Started(..) | Self::Remote(_) | Self::Local(_) => SizeHint::default(),
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
struct Words<'a> {
    verdict: &'a str,
    reason: &'a str,
    retry_after_ms: u32,
}

/// Tells a caller that a call got no answer, whether it may have run and when to come back.
pub(crate) fn refuse<C>(refused: Refused) -> Response<Body<C>>
where
    C: Clock,
{
    let status = match (refused.verdict, refused.reason) {
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let wait = match (refused.verdict, refused.retry_after_ms) {
        (Verdict::NotRun, 0) => draw_wait(),
        (_, wait) => wait,
    };
    tell(status, refused.verdict, reason_name(refused.reason), wait)
}

/// Draws a wait, so that those who were refused together don't come back together.
fn draw_wait() -> u32 {
    let wait = policy::backoff::add_jitter(RETRY_AFTER, &mut rand::rng());
    whole_ms(wait)
}

/// Answers a call that was not tried, with the fault that the caller can mend.
pub(crate) fn reject<C>(status: StatusCode, reason: &str) -> Response<Body<C>>
where
    C: Clock,
{
    tell(status, Verdict::NotRun, reason, 0)
}

/// Answers in this node's own words.
pub(crate) fn tell<C>(
    status: StatusCode,
    verdict: Verdict,
    reason: &str,
    retry_after_ms: u32,
) -> Response<Body<C>>
where
    C: Clock,
{
    let words = Words {
        verdict: verdict.as_str(),
        reason,
        retry_after_ms,
    };
    let mut json = serde_json::to_vec(&words).unwrap_or_default();
    json.push(b'\n');
    let mut response = Response::new(Body::Whole(Some(json.into())));
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
    }
}
