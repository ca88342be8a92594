//! A response on its way to the outbound proxy.
//!
//! The outbound proxy grants credit as its caller reads the response. Bytes that the outbound proxy
//! hasn't confirmed are kept, as TCP does, so that the response can continue over another link if
//! its current link goes silent. Bytes beyond the credit are buffered here, up to a limit, so that
//! the backend server can finish the call.

use crate::link::{Sender, wake};
use bytes::Bytes;
use call::Id;
use std::collections::VecDeque;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use wire::call::{Answer, Frame, INITIAL_WINDOW, Refusal};

/// Largest chunk of a body in one frame. Small chunks let the calls on one link take turns.
pub(crate) const MAX_CHUNK_BYTES: usize = 16 << 10;

/// A response on its way to the outbound proxy.
#[derive(Debug)]
pub(super) struct ResponseStream {
    id: Id,
    link: Arc<Sender>,
    head: Option<Answer>,
    /// Chunks that were passed to the link and that the outbound proxy hasn't confirmed.
    unconfirmed: VecDeque<Bytes>,
    /// Offset in the body of the first byte in `unconfirmed`.
    unconfirmed_start: u64,
    /// Bytes of the body that were passed to the link.
    sent: u64,
    /// Chunks that wait for credit; `waiting_bytes` is their total size.
    waiting: VecDeque<Bytes>,
    waiting_bytes: usize,
    /// Total number of bytes of the body for which the outbound proxy has granted credit.
    credit_limit: u64,
    /// Whether the backend server has sent the complete body.
    body_ended: bool,
    /// Whether the complete body and its end were passed to the link.
    end_sent: bool,
    refusal: Option<Refusal>,
    pub(super) cancelled: bool,
    drain_waker: Option<Waker>,
}

impl ResponseStream {
    /// Creates a response of which nothing has been sent.
    pub(super) fn new(id: Id, link: Arc<Sender>) -> Self {
        Self {
            id,
            link,
            head: None,
            unconfirmed: VecDeque::new(),
            unconfirmed_start: 0,
            sent: 0,
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            credit_limit: INITIAL_WINDOW as u64,
            body_ended: false,
            end_sent: false,
            refusal: None,
            cancelled: false,
            drain_waker: None,
        }
    }

    /// Returns the link that the response is sent over.
    pub(super) fn link(&self) -> &Arc<Sender> {
        &self.link
    }

    /// Returns the bytes of the body that were passed to the link.
    pub(super) fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the bytes of the body that wait for credit.
    pub(super) fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Sends the head, with the first chunk of the body if it is available; `end` means that
    /// nothing follows.
    pub(super) fn send_head(&mut self, head: Answer, first_chunk: Option<Bytes>, end: bool) {
        self.body_ended = end;
        self.end_sent = end;
        self.head = Some(head.clone());
        let body = first_chunk.map(|bytes| self.record_sent(bytes, end));
        let frames = std::iter::once(Frame::Answer(head)).chain(body);
        // If the link is closed, the response is kept for a query over the next link.
        drop(self.link.send(frames));
    }

    /// Adds a chunk of the body, and sends what the credit allows.
    pub(super) fn add_chunk(&mut self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.waiting_bytes += bytes.len();
            self.waiting.push_back(bytes);
            self.send_available();
        }
    }

    /// Records that the body is complete.
    pub(super) fn end(&mut self) {
        self.body_ended = true;
        self.send_available();
    }

    /// Ends the response at this point; bytes that wait for credit are dropped.
    pub(super) fn refuse(&mut self, refusal: Refusal) {
        if self.end_sent || self.refusal.is_some() {
            return;
        }
        self.waiting.clear();
        self.waiting_bytes = 0;
        self.refusal = Some(refusal.clone());
        // If the link is closed, the refusal is kept for a query over the next link.
        drop(self.link.send([Frame::Refusal(refusal)]));
    }

    /// Adds credit that the outbound proxy has granted.
    pub(super) fn add_credit(&mut self, bytes: u32) {
        self.credit_limit += u64::from(bytes);
        let confirmed = self.credit_limit.saturating_sub(INITIAL_WINDOW as u64);
        self.drop_confirmed(confirmed);
        self.send_available();
        wake(&mut self.drain_waker);
    }

    /// Polls until at most `max_waiting` bytes wait for credit.
    pub(super) fn poll_drained(&mut self, cx: &mut Context<'_>, max_waiting: usize) -> Poll<()> {
        if self.waiting_bytes <= max_waiting {
            return Poll::Ready(());
        }
        self.drain_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Continues over another link, from the position that the outbound proxy reports.
    ///
    /// Returns false if bytes that the outbound proxy still needs are no longer held.
    pub(super) fn resume(
        &mut self,
        link: Arc<Sender>,
        head_received: bool,
        received: u64,
        window: u32,
    ) -> bool {
        if received < self.unconfirmed_start || received > self.sent {
            return false;
        }
        self.link = link;
        self.drop_confirmed(received);
        self.credit_limit = received + u64::from(window);
        let mut frames = Vec::new();
        if !head_received && let Some(sent) = &self.head {
            frames.push(Frame::Answer(sent.clone()));
        }
        let skip = usize::try_from(received - self.unconfirmed_start).unwrap_or(usize::MAX);
        let id = self.id;
        frames.extend(
            bytes_after(&self.unconfirmed, skip).map(|bytes| Frame::Body {
                id,
                bytes,
                end: false,
            }),
        );
        if self.end_sent && self.head.as_ref().is_some_and(|sent| !sent.end) {
            frames.push(end_frame(id));
        }
        if let Some(refusal) = &self.refusal {
            frames.push(Frame::Refusal(refusal.clone()));
        }
        drop(self.link.send(frames));
        self.send_available();
        wake(&mut self.drain_waker);
        true
    }

    /// Passes to the link what the credit allows.
    fn send_available(&mut self) {
        let mut frames = Vec::new();
        while let Some(chunk) = self.next_chunk() {
            frames.push(self.record_sent(chunk, false));
        }
        if self.body_ended && self.waiting.is_empty() && !self.end_sent && self.refusal.is_none() {
            self.end_sent = true;
            frames.push(end_frame(self.id));
        }
        if !frames.is_empty() {
            // If the link is closed, the sent bytes are kept for a query over the next link.
            drop(self.link.send(frames));
        }
    }

    /// Takes the next chunk that the credit allows.
    fn next_chunk(&mut self) -> Option<Bytes> {
        let credit = self.credit_limit.saturating_sub(self.sent);
        let credit = usize::try_from(credit)
            .unwrap_or(MAX_CHUNK_BYTES)
            .min(MAX_CHUNK_BYTES);
        let first = self.waiting.front_mut().filter(|_| credit > 0)?;
        let chunk = first.split_to(first.len().min(credit));
        if first.is_empty() {
            self.waiting.pop_front();
        }
        self.waiting_bytes -= chunk.len();
        Some(chunk)
    }

    fn record_sent(&mut self, bytes: Bytes, end: bool) -> Frame {
        self.sent += bytes.len() as u64;
        self.unconfirmed.push_back(bytes.clone());
        let id = self.id;
        Frame::Body { id, bytes, end }
    }

    fn drop_confirmed(&mut self, confirmed: u64) {
        while let Some(first) = self.unconfirmed.front()
            && self.unconfirmed_start + first.len() as u64 <= confirmed
        {
            self.unconfirmed_start += first.len() as u64;
            self.unconfirmed.pop_front();
        }
    }
}

fn end_frame(id: Id) -> Frame {
    Frame::Body {
        id,
        bytes: Bytes::new(),
        end: true,
    }
}

/// Returns the chunks of a body after its first `skip` bytes.
fn bytes_after(chunks: &VecDeque<Bytes>, mut skip: usize) -> impl Iterator<Item = Bytes> {
    chunks.iter().filter_map(move |chunk| {
        let cut = skip.min(chunk.len());
        skip -= cut;
        (cut < chunk.len()).then(|| chunk.slice(cut..))
    })
}
