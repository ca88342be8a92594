//! State that the outbound proxy keeps for one attempt of a call over a link.

use crate::link::Sender;
use crate::link::wake;
use bytes::Bytes;
use call::{Id, Verdict};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use wire::call::{Answer, Frame, INITIAL_WINDOW, Reason, Refusal};

/// An attempt that was sent over a link. The link's attempt table holds it until the response is
/// complete or the attempt is refused.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: Id,
    /// Whether the call may run more than once. If so, the peer isn't asked for the outcome
    /// after the link is lost.
    pub(crate) repeatable: bool,
    /// Number of the link over which the request was sent.
    pub(crate) link_number: u64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Link that currently carries the attempt.
    link: Arc<Sender>,
    /// Position in the link's byte stream at which the request's head ends.
    head_end: u64,
    head: Option<Answer>,
    head_received: bool,
    chunks: VecDeque<Bytes>,
    /// Bytes of the response body received so far.
    received: u64,
    /// Bytes that the caller has read since the last credit was sent.
    consumed: usize,
    ended: bool,
    refusal: Option<Refusal>,
    /// Bytes of the request body that may still be sent.
    credit: usize,
    abandoned: bool,
    response_waker: Option<Waker>,
    request_waker: Option<Waker>,
}

/// How much of the response an attempt has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReceiveProgress {
    /// Whether the response head has been received.
    pub(crate) head_received: bool,
    /// Bytes of the response body received so far.
    pub(crate) received: u64,
    /// Number of further bytes of the response body that the peer may send.
    pub(crate) window: usize,
}

impl State {
    fn buffered(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }
}

impl Attempt {
    /// Creates an attempt that may send `credit` bytes of the request body before the peer grants more.
    pub(crate) fn new(
        id: Id,
        repeatable: bool,
        link_number: u64,
        link: Arc<Sender>,
        credit: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            id,
            repeatable,
            link_number,
            state: Mutex::new(State {
                link,
                head_end: 0,
                head: None,
                head_received: false,
                chunks: VecDeque::new(),
                received: 0,
                consumed: 0,
                ended: false,
                refusal: None,
                credit,
                abandoned: false,
                response_waker: None,
                request_waker: None,
            }),
        })
    }

    /// Records the position in the link's byte stream at which the request's head ends.
    pub(crate) fn set_head_end(&self, end: u64) {
        self.state.lock().head_end = end;
    }

    /// Returns whether the request's head was written completely to the link's socket.
    ///
    /// A peer can't decode part of a frame. If the link closed before the whole
    /// head was written, the peer has certainly not received the request.
    pub(crate) fn was_written(&self) -> bool {
        let state = self.state.lock();
        state.link.bytes_written() >= state.head_end
    }

    /// Moves the attempt to a new link to the same peer. Returns how much of the response the
    /// attempt received over the earlier links.
    pub(crate) fn move_to(&self, link: Arc<Sender>) -> ReceiveProgress {
        let mut state = self.state.lock();
        state.link = link;
        // Only attempts whose head was written completely are moved, so with 0 the head still
        // counts as written.
        state.head_end = 0;
        state.consumed = 0;
        ReceiveProgress {
            head_received: state.head_received,
            received: state.received,
            window: INITIAL_WINDOW - state.buffered(),
        }
    }

    /// Returns whether the response is no longer awaited.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.state.lock().abandoned
    }

    /// Handles a frame from the peer. Returns false if the frame violates the protocol.
    pub(crate) fn handle_frame(&self, frame: Frame) -> bool {
        let mut state = self.state.lock();
        match frame {
            Frame::Answer(answer) => {
                if state.head_received {
                    return false;
                }
                state.ended = answer.end;
                state.head_received = true;
                state.head = Some(answer);
            }
            Frame::Body { bytes, end, .. } => {
                if !state.head_received
                    || state.ended
                    || state.buffered() + bytes.len() > INITIAL_WINDOW
                {
                    return false;
                }
                state.received += bytes.len() as u64;
                state.ended = end;
                if !bytes.is_empty() {
                    state.chunks.push_back(bytes);
                }
            }
            Frame::Refusal(refusal) => state.refusal = Some(refusal),
            Frame::Credit { bytes, .. } => {
                state.credit += bytes as usize;
                wake(&mut state.request_waker);
                return true;
            }
            _ => return false,
        }
        wake(&mut state.response_waker);
        true
    }

    /// Returns whether the response is complete or refused, so that no more frames are expected.
    pub(crate) fn is_finished(&self) -> bool {
        let state = self.state.lock();
        state.ended || state.refusal.is_some()
    }

    /// Returns whether the whole response has been read.
    pub(crate) fn is_consumed(&self) -> bool {
        let state = self.state.lock();
        state.ended && state.chunks.is_empty()
    }

    /// Finishes the attempt without a complete response, unless it has already finished.
    pub(crate) fn fail(&self, verdict: Verdict, reason: Reason) {
        let mut state = self.state.lock();
        if !state.ended && state.refusal.is_none() {
            state.refusal = Some(Refusal {
                id: self.id,
                verdict,
                reason,
                retry_after_ms: 0,
                report: None,
            });
        }
        wake(&mut state.response_waker);
        wake(&mut state.request_waker);
    }

    /// Polls for the response head.
    pub(crate) fn poll_head(&self, cx: &mut Context<'_>) -> Poll<Result<Answer, Refusal>> {
        let mut state = self.state.lock();
        if let Some(head) = state.head.take() {
            return Poll::Ready(Ok(head));
        }
        if let Some(refusal) = state.refusal.clone() {
            return Poll::Ready(Err(refusal));
        }
        state.response_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Polls for the next chunk of the response body; `None` is its end.
    pub(crate) fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Refusal>>> {
        let mut state = self.state.lock();
        if let Some(chunk) = state.chunks.pop_front() {
            state.consumed += chunk.len();
            if state.consumed >= INITIAL_WINDOW / 2 && !state.ended {
                let bytes = u32::try_from(state.consumed).unwrap_or(u32::MAX);
                state.consumed = 0;
                let credit = Frame::Credit { id: self.id, bytes };
                // If the link is closed, its end resolves the attempt.
                drop(state.link.send([credit]));
            }
            return Poll::Ready(Some(Ok(chunk)));
        }
        if state.ended {
            return Poll::Ready(None);
        }
        if let Some(refusal) = state.refusal.clone() {
            return Poll::Ready(Some(Err(refusal)));
        }
        state.response_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Polls for credit to send more of the request body; `None` if the attempt has finished.
    pub(crate) fn poll_credit(&self, cx: &mut Context<'_>) -> Poll<Option<usize>> {
        let mut state = self.state.lock();
        if state.ended || state.refusal.is_some() {
            return Poll::Ready(None);
        }
        if state.credit > 0 {
            return Poll::Ready(Some(state.credit));
        }
        state.request_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Deducts the body bytes that were sent along with the request's head from the credit.
    pub(crate) fn use_credit(&self, bytes: usize) {
        let mut state = self.state.lock();
        state.credit = state.credit.saturating_sub(bytes);
    }

    /// Sends a chunk of the request body. It must not exceed the credit.
    pub(crate) fn send_chunk(&self, bytes: Bytes, end: bool) {
        let mut state = self.state.lock();
        state.credit = state.credit.saturating_sub(bytes.len());
        let id = self.id;
        // If the link is closed, its end resolves the attempt.
        drop(state.link.send([Frame::Body { id, bytes, end }]));
    }

    /// Cancels the call at the inbound proxy, unless the attempt has already finished.
    pub(crate) fn abandon(&self) {
        let mut state = self.state.lock();
        state.abandoned = true;
        if !state.ended && state.refusal.is_none() {
            drop(state.link.send([Frame::Cancel(self.id)]));
        }
    }
}
