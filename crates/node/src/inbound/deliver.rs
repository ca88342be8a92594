//! How an answer goes from the backend server to the outbound proxy, and when it is given up.

use crate::backend::Error;
use crate::header::take_end_to_end;
use crate::inbound::Inner;
use crate::inbound::inbound_call::{InboundCall, Untaken};
use crate::inbound::response_stream::MAX_CHUNK;
use crate::inbound::run::{BackendResponse, end_early, percent_of};
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

/// Bytes of an answer that are taken from the backend server beyond what its reader has room for.
///
/// *Load pattern:* readers whose process was killed, or that stand still in the midst
/// of an answer. *Without it* each such answer over 64 kB holds a slot of the backend
/// server until its reader is given up: with six slots, six callers of one dead node
/// are a server less for 5 s. Pages and lists of 320 kB are held whole this way.
const AHEAD: usize = 256 << 10;

/// Answers that may be held ahead of their readers at once: 4 MB of the 32 MB of a node.
pub(crate) const MAX_AHEAD: usize = 16;

/// Sends an answer as it comes from the backend server, which is let go at its end.
pub(super) async fn send_answer<C>(
    inner: &Inner<C>,
    call: &InboundCall,
    response: Response<BackendResponse<C>>,
) -> Option<OwnedSemaphorePermit>
where
    C: Clock,
{
    let (parts, mut running) = response.into_parts();
    let told = running.load_report();
    // What is there already of the body goes with the head, in one write.
    let mut next = take_ready(&mut running).await;
    let mut first = None;
    if let Poll::Ready(Some(Ok(bytes))) = &next
        && bytes.len() <= MAX_CHUNK
    {
        first = Some(bytes.clone());
        next = take_ready(&mut running).await;
    }
    let end = matches!(next, Poll::Ready(None));
    let head = Answer {
        id: call.id,
        status: parts.status.as_u16(),
        headers: take_end_to_end(&parts.headers),
        load_percent: percent_of(told.load),
        waited_ms: whole_ms(told.queue_wait),
        end: end && first.is_none(),
    };
    call.send_head(head, first, end);
    if end {
        return None;
    }
    let mut ahead = None;
    loop {
        let part = match std::mem::replace(&mut next, Poll::Pending) {
            Poll::Ready(part) => part,
            Poll::Pending => poll_fn(|cx| running.poll_part(cx)).await,
        };
        match part {
            Some(Ok(bytes)) => call.add_part(bytes),
            Some(Err(_)) => {
                call.refuse(Verdict::Ran, Reason::Backend, 0);
                return ahead;
            }
            None => {
                call.end_answer();
                return ahead;
            }
        }
        if call.count_waiting() > 0 && ahead.is_none() {
            ahead = Arc::clone(&inner.ahead).try_acquire_owned().ok();
        }
        let most = if ahead.is_some() { AHEAD } else { 0 };
        if call.wait_taken(most).await == Err(Untaken) {
            give_up(inner, call);
            return ahead;
        }
    }
}

/// Waits until the outbound proxy has room for what is left of an answer.
///
/// The backend server is done with it, so that no deadline counts any more: an
/// answer that was ready in time is delivered, also late.
pub(super) async fn deliver<C>(inner: &Inner<C>, call: &InboundCall)
where
    C: Clock,
{
    let taken = tokio::select! {
        biased;
        () = call.cancelled() => return end_early(inner, call, Reason::Cancelled),
        taken = call.wait_taken(0) => taken,
    };
    if taken == Err(Untaken) {
        give_up(inner, call);
    }
}

/// Gives up on an answer whose reader takes nothing.
fn give_up<C>(inner: &Inner<C>, call: &InboundCall)
where
    C: Clock,
{
    let shared = &inner.shared;
    shared.metrics.causes.count_untaken();
    let elapsed = shared.metrics.counted(shared.clock.now());
    if let Some(left_out) = shared.lines.gate.take(elapsed) {
        warn!(call:% = call.id, waiting_bytes = call.count_waiting(), left_out; "answer_untaken");
    }
    call.refuse(Verdict::Ran, Reason::Cancelled, 0);
}

/// Gives the next part of a body if it is there now.
async fn take_ready<C>(running: &mut BackendResponse<C>) -> Poll<Option<Result<Bytes, Error>>>
where
    C: Clock,
{
    poll_fn(|cx| Poll::Ready(running.poll_part(cx))).await
}
