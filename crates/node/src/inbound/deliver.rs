//! Sends responses from the backend server to the outbound proxy, and gives up on stalled
//! readers.

use crate::backend::Error;
use crate::header::collect_end_to_end;
use crate::inbound::Inner;
use crate::inbound::inbound_call::{InboundCall, ReaderStalled};
use crate::inbound::report::current_report;
use crate::inbound::response_stream::MAX_CHUNK_BYTES;
use crate::inbound::run::{BackendResponse, abandon_call, percent_of};
use crate::millis::whole_ms;
use bytes::Bytes;
use call::Verdict;
use clock::Clock;
use http::Response;
use log::warn;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;
use tokio::sync::OwnedSemaphorePermit;
use wire::call::{Answer, Reason};

/// Bytes of a response that are read from the backend server beyond the reader's credit.
///
/// Guards against readers whose process was killed, or that stall in the middle of a response.
/// Without reading ahead, each such response over 64 kB holds a slot of the backend server until
/// its reader is given up: with six slots, six callers of one dead node block a backend server
/// for 5 s. Responses of up to 320 kB, such as pages and lists, are buffered in full.
pub(crate) const MAX_READ_AHEAD_BYTES: usize = 256 << 10;

/// Number of responses that may be read ahead at the same time. Their buffers take up to 4 MB of a
/// node's 32 MB.
pub(crate) const MAX_READ_AHEAD_RESPONSES: usize = 16;

/// Streams a response from the backend server to the outbound proxy; the connection to the backend
/// server is released at the end of the response. Returns the read-ahead permit if one was taken.
pub(super) async fn send_response<C>(
    inner: &Inner<C>,
    call: &InboundCall,
    response: Response<BackendResponse<C>>,
) -> Option<OwnedSemaphorePermit>
where
    C: Clock,
{
    let (parts, mut backend_response) = response.into_parts();
    let load_report = backend_response.load_report();
    // The part of the body that is already available is sent with the head, in one write.
    let mut next = poll_now(&mut backend_response).await;
    let mut first = None;
    if let Poll::Ready(Some(Ok(bytes))) = &next
        && bytes.len() <= MAX_CHUNK_BYTES
    {
        first = Some(bytes.clone());
        next = poll_now(&mut backend_response).await;
    }
    let end = matches!(next, Poll::Ready(None));
    let head = Answer {
        id: call.id,
        status: parts.status.as_u16(),
        headers: collect_end_to_end(&parts.headers),
        load_percent: percent_of(load_report.load),
        queue_wait_ms: whole_ms(load_report.queue_wait),
        end: end && first.is_none(),
        report: current_report(inner),
        pace_percent: load_report.pace.map(percent_of),
    };
    call.send_head(head, first, end);
    if end {
        return None;
    }
    let mut read_ahead = None;
    loop {
        let chunk = match std::mem::replace(&mut next, Poll::Pending) {
            Poll::Ready(chunk) => chunk,
            Poll::Pending => poll_fn(|cx| backend_response.poll_chunk(cx)).await,
        };
        match chunk {
            Some(Ok(bytes)) => call.add_chunk(bytes),
            Some(Err(error)) => {
                let reason = match error {
                    Error::Rejected(_) => Reason::Malformed,
                    Error::Connect | Error::Broken => Reason::Backend,
                };
                call.refuse(Verdict::Ran, reason, 0);
                return read_ahead;
            }
            None => {
                call.end_response();
                return read_ahead;
            }
        }
        if call.waiting_bytes() > 0 && read_ahead.is_none() {
            read_ahead = Arc::clone(&inner.read_ahead_permits)
                .try_acquire_owned()
                .ok();
        }
        let max_waiting = if read_ahead.is_some() {
            MAX_READ_AHEAD_BYTES
        } else {
            0
        };
        if call.wait_drained(max_waiting).await == Err(ReaderStalled) {
            abandon_response(inner, call);
            return read_ahead;
        }
    }
}

/// Waits until the outbound proxy has taken the rest of a response.
///
/// The backend server has finished the call, so the deadline no longer applies: a response that
/// was ready in time is delivered even if that takes longer.
pub(super) async fn deliver<C>(inner: &Inner<C>, call: &InboundCall)
where
    C: Clock,
{
    let drained = tokio::select! {
        biased;
        () = call.cancelled() => return abandon_call(inner, call, Reason::Cancelled),
        drained = call.wait_drained(0) => drained,
    };
    if drained == Err(ReaderStalled) {
        abandon_response(inner, call);
    }
}

/// Gives up on a response whose reader has stalled.
fn abandon_response<C>(inner: &Inner<C>, call: &InboundCall)
where
    C: Clock,
{
    let shared = &inner.shared;
    shared.metrics.failures.count_stalled_reader();
    let elapsed = shared.metrics.elapsed(shared.clock.now());
    if let Some(left_out) = shared.log_limits.gate.admit(elapsed) {
        warn!(call:% = call.id, waiting_bytes = call.waiting_bytes(), left_out; "answer_untaken");
    }
    call.refuse(Verdict::Ran, Reason::Cancelled, 0);
}

/// Returns the next chunk of a body if it is available now.
async fn poll_now<C>(
    backend_response: &mut BackendResponse<C>,
) -> Poll<Option<Result<Bytes, Error>>>
where
    C: Clock,
{
    poll_fn(|cx| Poll::Ready(backend_response.poll_chunk(cx))).await
}
