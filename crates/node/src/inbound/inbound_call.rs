//! One call from another node, as the inbound proxy sees it.

use crate::forwarded_body::{self, ForwardedBody, Rest};
use crate::inbound::response_stream::ResponseStream;
use crate::inbound::run::Refused;
use crate::link::Sender;
use crate::link::wake;
use bytes::Bytes;
use call::{Id, Verdict};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;
use wire::call::{
    Answer, Frame, INITIAL_WINDOW, MAX_EAGER_BODY_BYTES, Reason, Refusal, ServerReport,
};

/// Interval at which the progress of a response's reader is checked.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of consecutive checks without progress after which a response is given up.
///
/// Five seconds tolerate a VM that is paused for some seconds, a lost link that is re-established
/// within two seconds, and three consecutive packet losses, which TCP retransmits after 0.2, 0.6
/// and 1.4 s. The checks are counted, rather than the time measured, because a node that was itself
/// paused then counts only one check, and first reads what has arrived in the meantime.
const MAX_STALLED_CHECKS: u32 = 5;

/// The reader of a response has taken nothing for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReaderStalled;

/// One call from another node.
#[derive(Debug)]
pub(crate) struct InboundCall {
    pub(crate) id: Id,
    response: Mutex<ResponseStream>,
    request_body: Mutex<IncomingBody>,
    cancel: Notify,
}

/// The request body on its way to the backend server.
#[derive(Debug, Default)]
struct IncomingBody {
    chunks: VecDeque<Bytes>,
    ended: bool,
    aborted: bool,
    discarded: bool,
    /// Bytes that the sender may send in total; `received` counts those that have arrived.
    credit_limit: u64,
    received: u64,
    /// Bytes that the backend server has taken since the last credit was granted.
    consumed: usize,
    reader_waker: Option<Waker>,
}

impl InboundCall {
    /// Creates a call; `length` is the known length of its body, and `is_complete` means that no
    /// body follows the head.
    pub(crate) fn new(id: Id, link: Arc<Sender>, is_complete: bool, length: u64) -> Arc<Self> {
        // A short body follows the head without being requested.
        let eager = if length <= MAX_EAGER_BODY_BYTES as u64 {
            MAX_EAGER_BODY_BYTES
        } else {
            0
        };
        Arc::new(Self {
            id,
            response: Mutex::new(ResponseStream::new(id, link)),
            request_body: Mutex::new(IncomingBody {
                ended: is_complete,
                credit_limit: eager as u64,
                ..IncomingBody::default()
            }),
            cancel: Notify::new(),
        })
    }

    /// Handles a chunk of the request body; returns false if the peer violates the protocol.
    pub(crate) fn receive_chunk(&self, bytes: Bytes, end: bool) -> bool {
        let mut body = self.request_body.lock();
        body.received += bytes.len() as u64;
        if body.ended || body.received > body.credit_limit {
            return false;
        }
        if body.discarded {
            return true;
        }
        if !bytes.is_empty() {
            body.chunks.push_back(bytes);
        }
        body.ended = end;
        wake(&mut body.reader_waker);
        true
    }

    /// Grants the sender credit for more of the request body.
    pub(crate) fn grant_credit(&self, bytes: u32) {
        self.request_body.lock().credit_limit += u64::from(bytes);
        let credit = Frame::Credit { id: self.id, bytes };
        // If the link is closed, the reader of that link aborts the body.
        drop(self.response.lock().link().send([credit]));
    }

    /// Discards the rest of the request body after the call has ended.
    ///
    /// A call that is refused early leaves up to a window of its body unread, which would stay in
    /// memory for as long as the outcome is kept.
    pub(crate) fn discard_request_body(&self) {
        let mut body = self.request_body.lock();
        body.chunks.clear();
        body.discarded = true;
    }

    /// Aborts the request body if its link was lost before the end.
    ///
    /// Without this, the backend server would wait for the rest of the body for ever, or take half
    /// of a request for a complete request.
    pub(crate) fn abort_request_body(&self) {
        let mut body = self.request_body.lock();
        body.aborted = !body.ended;
        wake(&mut body.reader_waker);
    }

    /// Returns whether the response is sent over `link`.
    pub(crate) fn uses_link(&self, link: &Arc<Sender>) -> bool {
        Arc::ptr_eq(self.response.lock().link(), link)
    }

    /// Returns whether more of the request body is expected.
    pub(crate) fn expects_body(&self) -> bool {
        let body = self.request_body.lock();
        !body.ended && !body.discarded
    }

    /// Returns whether the body has to be requested: it hasn't ended, and its sender has no
    /// credit yet.
    pub(crate) fn needs_body_credit(&self) -> bool {
        let body = self.request_body.lock();
        !body.ended && body.credit_limit == 0
    }

    /// Returns the request body if all of it has already arrived.
    pub(crate) fn take_complete_body(&self) -> Option<ForwardedBody> {
        let mut body = self.request_body.lock();
        (body.ended && body.chunks.len() <= 1).then(|| ForwardedBody {
            prefix: body.chunks.pop_front(),
            rest: Rest::Done,
        })
    }

    /// Polls for the next chunk of the request body.
    pub(crate) fn poll_request_body(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, forwarded_body::Error>>> {
        let mut body = self.request_body.lock();
        if let Some(chunk) = body.chunks.pop_front() {
            body.consumed += chunk.len();
            if body.consumed >= INITIAL_WINDOW / 2 && !body.ended {
                let bytes = u32::try_from(body.consumed).unwrap_or(u32::MAX);
                body.consumed = 0;
                drop(body);
                self.grant_credit(bytes);
            }
            return Poll::Ready(Some(Ok(chunk)));
        }
        if body.ended {
            return Poll::Ready(None);
        }
        if body.aborted {
            return Poll::Ready(Some(Err(forwarded_body::Error::CallEnded)));
        }
        body.reader_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Adds credit that the outbound proxy has granted for more of the response.
    pub(crate) fn add_credit(&self, bytes: u32) {
        self.response.lock().add_credit(bytes);
    }

    /// Requests that the call ends; the task that runs the call reports the outcome.
    pub(crate) fn cancel(&self) {
        self.response.lock().cancelled = true;
        self.cancel.notify_one();
    }

    /// Waits until the call is cancelled.
    pub(crate) async fn cancelled(&self) {
        while !self.response.lock().cancelled {
            self.cancel.notified().await;
        }
    }

    /// Ends the call without a response, or without the rest of its response.
    pub(crate) fn refuse(&self, verdict: Verdict, reason: Reason, retry_after_ms: u32) {
        let refused = Refused {
            verdict,
            reason,
            retry_after_ms,
        };
        self.refuse_with_report(refused, None);
    }

    /// Ends the call without a response because of what the backend server has reported.
    pub(crate) fn refuse_with_report(&self, refused: Refused, report: Option<ServerReport>) {
        self.response.lock().refuse(Refusal {
            id: self.id,
            verdict: refused.verdict,
            reason: refused.reason,
            retry_after_ms: refused.retry_after_ms,
            report,
        });
    }

    /// Sends the head of the response, with the first chunk of its body if that is available.
    pub(crate) fn send_head(&self, head: Answer, first: Option<Bytes>, end: bool) {
        self.response.lock().send_head(head, first, end);
    }

    /// Adds a chunk of the response body, and sends what the credit allows.
    pub(crate) fn add_chunk(&self, bytes: Bytes) {
        self.response.lock().add_chunk(bytes);
    }

    /// Ends the response body.
    pub(crate) fn end_response(&self) {
        self.response.lock().end();
    }

    /// Returns the bytes of the response that wait for credit of the outbound proxy.
    pub(crate) fn waiting_bytes(&self) -> usize {
        self.response.lock().waiting_bytes()
    }

    /// Waits until at most `max_waiting` bytes of the response wait for credit.
    ///
    /// Guards against a reader that has died or stalled: only the reader grants credit, and a
    /// killed process grants none. When the wait was as long as a commit may run past its deadline,
    /// the response to a dead reader held a slot of the backend server for up to 32 s.
    ///
    /// # Errors
    ///
    /// Fails if the reader has taken nothing for five seconds.
    pub(crate) async fn wait_drained(&self, max_waiting: usize) -> Result<(), ReaderStalled> {
        let mut stalled_checks = 0;
        let mut sent = self.response.lock().sent();
        while stalled_checks < MAX_STALLED_CHECKS {
            let drained = poll_fn(|cx| self.response.lock().poll_drained(cx, max_waiting));
            if timeout(STALL_CHECK_INTERVAL, drained).await.is_ok() {
                return Ok(());
            }
            let now = self.response.lock().sent();
            stalled_checks = if now == sent { stalled_checks + 1 } else { 0 };
            sent = now;
        }
        Err(ReaderStalled)
    }

    /// Continues the response over another link, from the position that the outbound proxy
    /// reports.
    ///
    /// Returns false if bytes that the outbound proxy still needs are no longer held.
    pub(crate) fn resume(
        &self,
        link: Arc<Sender>,
        head_received: bool,
        received: u64,
        window: u32,
    ) -> bool {
        self.abort_request_body();
        self.response
            .lock()
            .resume(link, head_received, received, window)
    }
}
