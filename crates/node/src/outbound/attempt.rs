//! One try of a call over a link, as the outbound proxy sees it.

use crate::link::Sender;
use crate::link::wake;
use bytes::Bytes;
use call::{Id, Verdict};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use wire::call::{Answer, Frame, INITIAL_WINDOW, Reason, Refusal};

/// One try of a call that was sent over a link and is not over yet.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: Id,
    /// Whether the call may run again, so that nothing need be asked after a silence.
    pub(crate) repeatable: bool,
    /// Number of the link that the request went over.
    pub(crate) link_number: u64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// The link that it goes over now.
    link: Arc<Sender>,
    /// Length of the link up to the end of the request's head.
    end: u64,
    head: Option<Answer>,
    head_seen: bool,
    parts: VecDeque<Bytes>,
    /// Bytes of the answer's body that have come.
    received: u64,
    /// Bytes that the caller has taken since the last credit.
    taken: usize,
    ended: bool,
    refusal: Option<Refusal>,
    /// Bytes of the request's body that may still be sent.
    credit: usize,
    abandoned: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// What a try has come to so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReceiveProgress {
    /// Whether the head of the answer has come.
    pub(crate) head_received: bool,
    /// Bytes of the answer's body that have come.
    pub(crate) received: u64,
    /// Further bytes that may come.
    pub(crate) window: usize,
}

impl State {
    fn held(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }
}

impl Attempt {
    /// Makes a try whose request has a body of which so many bytes may go unasked.
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
                end: 0,
                head: None,
                head_seen: false,
                parts: VecDeque::new(),
                received: 0,
                taken: 0,
                ended: false,
                refusal: None,
                credit,
                abandoned: false,
                reader: None,
                writer: None,
            }),
        })
    }

    /// Notes where on its link the request's head ends.
    pub(crate) fn set_head_end(&self, end: u64) {
        self.state.lock().end = end;
    }

    /// Tells whether the link's socket has taken the request's head whole.
    ///
    /// A peer can't decode part of a frame, so a head that was not taken whole
    /// before its link closed has surely not arrived.
    pub(crate) fn was_written(&self) -> bool {
        let state = self.state.lock();
        state.link.bytes_written() >= state.end
    }

    /// Moves the try to a new link of the same peer.
    pub(crate) fn move_to(&self, link: Arc<Sender>) -> ReceiveProgress {
        let mut state = self.state.lock();
        state.link = link;
        // Only a head that was written whole is ever moved.
        state.end = 0;
        state.taken = 0;
        ReceiveProgress {
            head_received: state.head_seen,
            received: state.received,
            window: INITIAL_WINDOW - state.held(),
        }
    }

    /// Tells whether nobody waits for it any more.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.state.lock().abandoned
    }

    /// Takes a frame of the answer; gives false when it breaks the protocol.
    pub(crate) fn handle_frame(&self, frame: Frame) -> bool {
        let mut state = self.state.lock();
        match frame {
            Frame::Answer(answer) => {
                if state.head_seen {
                    return false;
                }
                state.ended = answer.end;
                state.head_seen = true;
                state.head = Some(answer);
            }
            Frame::Body { bytes, end, .. } => {
                if !state.head_seen || state.ended || state.held() + bytes.len() > INITIAL_WINDOW {
                    return false;
                }
                state.received += bytes.len() as u64;
                state.ended = end;
                if !bytes.is_empty() {
                    state.parts.push_back(bytes);
                }
            }
            Frame::Refusal(refusal) => state.refusal = Some(refusal),
            Frame::Credit { bytes, .. } => {
                state.credit += bytes as usize;
                wake(&mut state.writer);
                return true;
            }
            _ => return false,
        }
        wake(&mut state.reader);
        true
    }

    /// Tells whether nothing more can come.
    pub(crate) fn is_finished(&self) -> bool {
        let state = self.state.lock();
        state.ended || state.refusal.is_some()
    }

    /// Tells whether the whole answer has been taken.
    pub(crate) fn is_consumed(&self) -> bool {
        let state = self.state.lock();
        state.ended && state.parts.is_empty()
    }

    /// Ends the try without an answer.
    pub(crate) fn fail(&self, verdict: Verdict, reason: Reason) {
        let mut state = self.state.lock();
        if !state.ended && state.refusal.is_none() {
            state.refusal = Some(Refusal {
                id: self.id,
                verdict,
                reason,
                retry_after_ms: 0,
            });
        }
        wake(&mut state.reader);
        wake(&mut state.writer);
    }

    /// Waits for the head of the answer.
    pub(crate) fn poll_head(&self, cx: &mut Context<'_>) -> Poll<Result<Answer, Refusal>> {
        let mut state = self.state.lock();
        if let Some(head) = state.head.take() {
            return Poll::Ready(Ok(head));
        }
        if let Some(refusal) = state.refusal.clone() {
            return Poll::Ready(Err(refusal));
        }
        state.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Waits for the next part of the answer's body; `None` ends it.
    pub(crate) fn poll_part(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Refusal>>> {
        let mut state = self.state.lock();
        if let Some(part) = state.parts.pop_front() {
            state.taken += part.len();
            if state.taken >= INITIAL_WINDOW / 2 && !state.ended {
                let bytes = u32::try_from(state.taken).unwrap_or(u32::MAX);
                state.taken = 0;
                let credit = Frame::Credit { id: self.id, bytes };
                // A closed link settles the try by itself.
                drop(state.link.send([credit]));
            }
            return Poll::Ready(Some(Ok(part)));
        }
        if state.ended {
            return Poll::Ready(None);
        }
        if let Some(refusal) = state.refusal.clone() {
            return Poll::Ready(Some(Err(refusal)));
        }
        state.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Waits until some of the request's body may be sent; `None` when the try is over.
    pub(crate) fn poll_credit(&self, cx: &mut Context<'_>) -> Poll<Option<usize>> {
        let mut state = self.state.lock();
        if state.ended || state.refusal.is_some() {
            return Poll::Ready(None);
        }
        if state.credit > 0 {
            return Poll::Ready(Some(state.credit));
        }
        state.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Counts a part of the request's body that went with its head.
    pub(crate) fn use_credit(&self, bytes: usize) {
        let mut state = self.state.lock();
        state.credit = state.credit.saturating_sub(bytes);
    }

    /// Sends a part of the request's body, which must fit the credit.
    pub(crate) fn send_part(&self, bytes: Bytes, end: bool) {
        let mut state = self.state.lock();
        state.credit = state.credit.saturating_sub(bytes.len());
        let id = self.id;
        // A closed link settles the try by itself.
        drop(state.link.send([Frame::Body { id, bytes, end }]));
    }

    /// Tells the inbound proxy that nobody waits any more, unless all has come.
    pub(crate) fn abandon(&self) {
        let mut state = self.state.lock();
        state.abandoned = true;
        if !state.ended && state.refusal.is_none() {
            drop(state.link.send([Frame::Cancel(self.id)]));
        }
    }
}
