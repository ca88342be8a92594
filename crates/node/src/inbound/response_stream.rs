//! An answer on its way to the outbound proxy.
//!
//! The outbound proxy says how much of it there is room for, as its caller takes
//! it. What it has not confirmed is kept, as TCP would, so that the answer can go
//! on over another link when this one falls silent. What it has no room for yet
//! waits here, up to a bound, so that the backend server is done with the call.

use crate::link::{Sender, wake};
use bytes::Bytes;
use call::Id;
use std::collections::VecDeque;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use wire::call::{Answer, Frame, Refusal, WINDOW};

/// Bytes of an answer's body in one frame: small enough that calls on one link take turns.
pub(crate) const MAX_CHUNK: usize = 16 << 10;

/// An answer on its way to the outbound proxy.
#[derive(Debug)]
pub(super) struct Outgoing {
    id: Id,
    link: Arc<Sender>,
    head: Option<Answer>,
    /// Parts that were given to the link and not confirmed.
    kept: VecDeque<Bytes>,
    /// Bytes of the body before those in `kept`.
    start: u64,
    /// Bytes of the body that were given to the link.
    sent: u64,
    /// Parts that wait for room, and their bytes.
    waiting: VecDeque<Bytes>,
    behind: usize,
    /// Bytes of the body that the outbound proxy has room for.
    limit: u64,
    /// Whether the body has come whole from the backend server.
    ended: bool,
    /// Whether the link was given all of it, and its end.
    complete: bool,
    refusal: Option<Refusal>,
    pub(super) cancelled: bool,
    writer: Option<Waker>,
}

impl Outgoing {
    /// Starts with nothing of the answer there.
    pub(super) fn new(id: Id, link: Arc<Sender>) -> Self {
        Self {
            id,
            link,
            head: None,
            kept: VecDeque::new(),
            start: 0,
            sent: 0,
            waiting: VecDeque::new(),
            behind: 0,
            limit: WINDOW as u64,
            ended: false,
            complete: false,
            refusal: None,
            cancelled: false,
            writer: None,
        }
    }

    /// Gives the link that it goes over.
    pub(super) fn link(&self) -> &Arc<Sender> {
        &self.link
    }

    /// Gives the bytes of the body that were given to the link.
    pub(super) fn sent(&self) -> u64 {
        self.sent
    }

    /// Gives the bytes of the body that wait for room.
    pub(super) fn count_waiting(&self) -> usize {
        self.behind
    }

    /// Sends the head, with the first part of the body if it is there; `end` tells whether none follows.
    pub(super) fn send_head(&mut self, head: Answer, first: Option<Bytes>, end: bool) {
        self.ended = end;
        self.complete = end;
        self.head = Some(head.clone());
        let body = first.map(|bytes| self.keep(bytes, end));
        let frames = std::iter::once(Frame::Answer(head)).chain(body);
        // On a closed link nobody listens; the answer is kept for the asking.
        drop(self.link.send(frames));
    }

    /// Takes in a part of the body, and sends what there is room for.
    pub(super) fn add_part(&mut self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.behind += bytes.len();
            self.waiting.push_back(bytes);
            self.send_on();
        }
    }

    /// Takes in that the body is whole.
    pub(super) fn end(&mut self) {
        self.ended = true;
        self.send_on();
    }

    /// Ends the answer where it is; what waits for room is dropped.
    pub(super) fn refuse(&mut self, refusal: Refusal) {
        if self.complete || self.refusal.is_some() {
            return;
        }
        self.waiting.clear();
        self.behind = 0;
        self.refusal = Some(refusal.clone());
        // On a closed link nobody listens; the refusal is kept for the asking.
        drop(self.link.send([Frame::Refusal(refusal)]));
    }

    /// Notes that the outbound proxy has room for more.
    pub(super) fn add_credit(&mut self, bytes: u32) {
        self.limit += u64::from(bytes);
        let confirmed = self.limit.saturating_sub(WINDOW as u64);
        self.drop_confirmed(confirmed);
        self.send_on();
        wake(&mut self.writer);
    }

    /// Waits until no more than `most` bytes wait for room.
    pub(super) fn poll_waiting(&mut self, cx: &mut Context<'_>, most: usize) -> Poll<()> {
        if self.behind <= most {
            return Poll::Ready(());
        }
        self.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Goes on over another link, from where the outbound proxy says that it is.
    ///
    /// Gives false when what it still needs is no longer kept.
    pub(super) fn resume(
        &mut self,
        link: Arc<Sender>,
        head: bool,
        received: u64,
        room: u32,
    ) -> bool {
        if received < self.start || received > self.sent {
            return false;
        }
        self.link = link;
        self.drop_confirmed(received);
        self.limit = received + u64::from(room);
        let mut frames = Vec::new();
        if !head && let Some(sent) = &self.head {
            frames.push(Frame::Answer(sent.clone()));
        }
        let skip = usize::try_from(received - self.start).unwrap_or(usize::MAX);
        let id = self.id;
        frames.extend(bytes_after(&self.kept, skip).map(|bytes| Frame::Body {
            id,
            bytes,
            end: false,
        }));
        if self.complete && self.head.as_ref().is_some_and(|sent| !sent.end) {
            frames.push(end_of(id));
        }
        if let Some(refusal) = &self.refusal {
            frames.push(Frame::Refusal(refusal.clone()));
        }
        drop(self.link.send(frames));
        self.send_on();
        wake(&mut self.writer);
        true
    }

    /// Gives the link what the outbound proxy has room for.
    fn send_on(&mut self) {
        let mut frames = Vec::new();
        while let Some(part) = self.take_part() {
            frames.push(self.keep(part, false));
        }
        if self.ended && self.waiting.is_empty() && !self.complete && self.refusal.is_none() {
            self.complete = true;
            frames.push(end_of(self.id));
        }
        if !frames.is_empty() {
            // On a closed link nobody listens; what was sent is kept for the asking.
            drop(self.link.send(frames));
        }
    }

    /// Takes the next part that there is room for.
    fn take_part(&mut self) -> Option<Bytes> {
        let room = self.limit.saturating_sub(self.sent);
        let room = usize::try_from(room).unwrap_or(MAX_CHUNK).min(MAX_CHUNK);
        let first = self.waiting.front_mut().filter(|_| room > 0)?;
        let part = first.split_to(first.len().min(room));
        if first.is_empty() {
            self.waiting.pop_front();
        }
        self.behind -= part.len();
        Some(part)
    }

    fn keep(&mut self, bytes: Bytes, end: bool) -> Frame {
        self.sent += bytes.len() as u64;
        self.kept.push_back(bytes.clone());
        let id = self.id;
        Frame::Body { id, bytes, end }
    }

    fn drop_confirmed(&mut self, confirmed: u64) {
        while let Some(first) = self.kept.front()
            && self.start + first.len() as u64 <= confirmed
        {
            self.start += first.len() as u64;
            self.kept.pop_front();
        }
    }
}

fn end_of(id: Id) -> Frame {
    Frame::Body {
        id,
        bytes: Bytes::new(),
        end: true,
    }
}

/// Gives the parts of a body after its first `skip` bytes.
fn bytes_after(kept: &VecDeque<Bytes>, mut skip: usize) -> impl Iterator<Item = Bytes> {
    kept.iter().filter_map(move |part| {
        let cut = skip.min(part.len());
        skip -= cut;
        (cut < part.len()).then(|| part.slice(cut..))
    })
}
