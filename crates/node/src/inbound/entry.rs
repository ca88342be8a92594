//! One call from another node, as the inbound proxy sees it.

use crate::link::Sender;
use crate::link::wake;
use crate::upload::{self, Rest, Upload};
use bytes::Bytes;
use call::{Id, Verdict};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;
use wire::call::{Answer, EAGER, Frame, Reason, Refusal, WINDOW};

/// Bytes of an answer's body in one frame: small enough that calls on one link take turns.
pub(crate) const PART: usize = 16 << 10;

/// One call from another node.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: Id,
    answer: Mutex<Outgoing>,
    upload: Mutex<Incoming>,
    cancel: Notify,
}

/// The answer, on its way to the outbound proxy.
///
/// What the outbound proxy has not confirmed is kept, as TCP would, so that
/// the answer can go on over another link when this one falls silent.
#[derive(Debug)]
struct Outgoing {
    link: Arc<Sender>,
    head: Option<Answer>,
    kept: VecDeque<Bytes>,
    /// Bytes of the body before those in `kept`.
    start: u64,
    /// Bytes of the body that were given to the link.
    sent: u64,
    /// Bytes of the body that the outbound proxy has room for.
    limit: u64,
    ended: bool,
    refusal: Option<Refusal>,
    cancelled: bool,
    writer: Option<Waker>,
}

/// The request's body, on its way to the backend server.
#[derive(Debug, Default)]
struct Incoming {
    parts: VecDeque<Bytes>,
    ended: bool,
    broken: bool,
    over: bool,
    /// Bytes that its sender may send, of which so many have come.
    allowed: u64,
    came: u64,
    taken: usize,
    reader: Option<Waker>,
}

impl Call {
    /// Makes a call whose request has a body of so many bytes, as far as is known, or none.
    pub(crate) fn new(id: Id, link: Arc<Sender>, whole: bool, length: u64) -> Arc<Self> {
        // A short body comes unasked, with its head.
        let eager = if length <= EAGER as u64 { EAGER } else { 0 };
        Arc::new(Self {
            id,
            answer: Mutex::new(Outgoing {
                link,
                head: None,
                kept: VecDeque::new(),
                start: 0,
                sent: 0,
                limit: WINDOW as u64,
                ended: false,
                refusal: None,
                cancelled: false,
                writer: None,
            }),
            upload: Mutex::new(Incoming {
                ended: whole,
                allowed: eager as u64,
                ..Incoming::default()
            }),
            cancel: Notify::new(),
        })
    }

    /// Takes a part of the request's body; false when it breaks the protocol.
    pub(crate) fn take_part(&self, bytes: Bytes, end: bool) -> bool {
        let mut upload = self.upload.lock();
        upload.came += bytes.len() as u64;
        if upload.ended || upload.came > upload.allowed {
            return false;
        }
        if upload.over {
            return true;
        }
        if !bytes.is_empty() {
            upload.parts.push_back(bytes);
        }
        upload.ended = end;
        wake(&mut upload.reader);
        true
    }

    /// Asks for more of the request's body.
    pub(crate) fn ask_more(&self, bytes: u32) {
        self.upload.lock().allowed += u64::from(bytes);
        let credit = Frame::Credit { id: self.id, bytes };
        // A closed link breaks the body off by itself.
        drop(self.answer.lock().link.send([credit]));
    }

    /// Lets go of what is left of the request's body: its call is over.
    ///
    /// A call that is refused early leaves a window of it unread, which would
    /// stay for as long as the outcome is kept.
    pub(crate) fn drop_upload(&self) {
        let mut upload = self.upload.lock();
        upload.parts.clear();
        upload.over = true;
    }

    /// Breaks the request's body off when its link is gone before its end.
    ///
    /// Otherwise a backend server would wait for the rest for ever, or take
    /// half of a request for the whole.
    pub(crate) fn break_upload(&self) {
        let mut upload = self.upload.lock();
        upload.broken = !upload.ended;
        wake(&mut upload.reader);
    }

    /// Tells whether the answer goes over `link`.
    pub(crate) fn is_on(&self, link: &Arc<Sender>) -> bool {
        Arc::ptr_eq(&self.answer.lock().link, link)
    }

    /// Tells whether more of the request's body is wanted.
    pub(crate) fn wants_more(&self) -> bool {
        let upload = self.upload.lock();
        !upload.ended && !upload.over
    }

    /// Tells whether a body is to be asked for: none of it has come, and it has not ended.
    pub(crate) fn has_unasked(&self) -> bool {
        let upload = self.upload.lock();
        !upload.ended && upload.allowed == 0
    }

    /// Gives the request's body when it has come whole already.
    pub(crate) fn take_whole(&self) -> Option<Upload> {
        let mut upload = self.upload.lock();
        (upload.ended && upload.parts.len() <= 1).then(|| Upload {
            ready: upload.parts.pop_front(),
            rest: Rest::Done,
        })
    }

    /// Waits for the next part of the request's body.
    pub(crate) fn poll_upload(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, upload::Error>>> {
        let mut upload = self.upload.lock();
        if let Some(part) = upload.parts.pop_front() {
            upload.taken += part.len();
            if upload.taken >= WINDOW / 2 && !upload.ended {
                let bytes = u32::try_from(upload.taken).unwrap_or(u32::MAX);
                upload.taken = 0;
                drop(upload);
                self.ask_more(bytes);
            }
            return Poll::Ready(Some(Ok(part)));
        }
        if upload.ended {
            return Poll::Ready(None);
        }
        if upload.broken {
            return Poll::Ready(Some(Err(upload::Error::Ended)));
        }
        upload.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Notes that the outbound proxy has room for more of the answer.
    pub(crate) fn add_credit(&self, bytes: u32) {
        let mut answer = self.answer.lock();
        answer.limit += u64::from(bytes);
        let confirmed = answer.limit.saturating_sub(WINDOW as u64);
        answer.drop_confirmed(confirmed);
        wake(&mut answer.writer);
    }

    /// Asks the call to end; whoever runs it says how it ended.
    pub(crate) fn cancel(&self) {
        self.answer.lock().cancelled = true;
        self.cancel.notify_one();
    }

    /// Waits until the call is asked to end.
    pub(crate) async fn cancelled(&self) {
        while !self.answer.lock().cancelled {
            self.cancel.notified().await;
        }
    }

    /// Ends the call without an answer, or without the rest of one.
    pub(crate) fn refuse(&self, verdict: Verdict, reason: Reason, retry_after_ms: u32) {
        let refusal = Refusal {
            id: self.id,
            verdict,
            reason,
            retry_after_ms,
        };
        let mut answer = self.answer.lock();
        if !answer.ended && answer.refusal.is_none() {
            answer.refusal = Some(refusal.clone());
            // On a closed link nobody listens; the refusal is kept for the asking.
            drop(answer.link.send([Frame::Refusal(refusal)]));
        }
    }

    /// Sends the head of the answer, with the first part of its body if it is there.
    pub(crate) fn send_head(&self, head: Answer, first: Option<Bytes>, end: bool) {
        let mut answer = self.answer.lock();
        answer.head = Some(head.clone());
        answer.ended = head.end;
        let Some(bytes) = first else {
            drop(answer.link.send([Frame::Answer(head)]));
            return;
        };
        answer.keep(bytes.clone());
        answer.ended = end;
        let id = self.id;
        let body = Frame::Body { id, bytes, end };
        drop(answer.link.send([Frame::Answer(head), body]));
    }

    /// Sends a part of the answer's body as there is room for it.
    pub(crate) async fn send_part(&self, mut bytes: Bytes) {
        while !bytes.is_empty() {
            let room = poll_fn(|cx| self.poll_room(cx)).await;
            let part = bytes.split_to(bytes.len().min(room).min(PART));
            let mut answer = self.answer.lock();
            answer.keep(part.clone());
            let id = self.id;
            let body = Frame::Body {
                id,
                bytes: part,
                end: false,
            };
            drop(answer.link.send([body]));
        }
    }

    /// Ends the answer's body.
    pub(crate) fn send_end(&self) {
        let mut answer = self.answer.lock();
        answer.ended = true;
        drop(answer.link.send([end_of(self.id)]));
    }

    fn poll_room(&self, cx: &mut Context<'_>) -> Poll<usize> {
        let mut answer = self.answer.lock();
        let room = answer.limit.saturating_sub(answer.sent);
        if room > 0 {
            return Poll::Ready(usize::try_from(room).unwrap_or(PART));
        }
        answer.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Goes on over another link, from where the outbound proxy says that it is.
    ///
    /// Gives false when what it still needs is no longer kept.
    pub(crate) fn resume(&self, link: Arc<Sender>, head: bool, received: u64, room: u32) -> bool {
        self.break_upload();
        let mut answer = self.answer.lock();
        if received < answer.start || received > answer.sent {
            return false;
        }
        answer.link = link;
        answer.drop_confirmed(received);
        answer.limit = received + u64::from(room);
        let mut frames = Vec::new();
        if !head && let Some(sent) = &answer.head {
            frames.push(Frame::Answer(sent.clone()));
        }
        let id = self.id;
        let skip = usize::try_from(received - answer.start).unwrap_or(usize::MAX);
        frames.extend(bytes_after(&answer.kept, skip).map(|bytes| Frame::Body {
            id,
            bytes,
            end: false,
        }));
        if answer.ended && answer.head.as_ref().is_some_and(|sent| !sent.end) {
            frames.push(end_of(id));
        }
        if let Some(refusal) = &answer.refusal {
            frames.push(Frame::Refusal(refusal.clone()));
        }
        drop(answer.link.send(frames));
        wake(&mut answer.writer);
        true
    }
}

impl Outgoing {
    fn keep(&mut self, bytes: Bytes) {
        self.sent += bytes.len() as u64;
        self.kept.push_back(bytes);
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
