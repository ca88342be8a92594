//! One call from another node, as the inbound proxy sees it.

use crate::inbound::response_stream::Outgoing;
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
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;
use wire::call::{Answer, EAGER, Frame, Reason, Refusal, WINDOW};

/// Time between two looks at whether an answer's reader takes anything.
const TAKE_TICK: Duration = Duration::from_secs(1);

/// Looks in a row without progress after which an answer is given up.
///
/// Five seconds bear a reader whose VM stands still for some seconds, a lost
/// link that is made again within two, and three lost packets in a row, which
/// TCP sends again after 0.2, 0.6 and 1.4 s. They are counted rather than
/// timed: a node that itself was stopped finds one look gone by, and reads first
/// what has come meanwhile.
const TAKE_TICKS: u32 = 5;

/// The reader of an answer has taken nothing for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Untaken;

/// One call from another node.
#[derive(Debug)]
pub(crate) struct InboundCall {
    pub(crate) id: Id,
    answer: Mutex<Outgoing>,
    upload: Mutex<Incoming>,
    cancel: Notify,
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

impl InboundCall {
    /// Makes a call whose request has a body of so many bytes, as far as is known, or none.
    pub(crate) fn new(id: Id, link: Arc<Sender>, whole: bool, length: u64) -> Arc<Self> {
        // A short body comes unasked, with its head.
        let eager = if length <= EAGER as u64 { EAGER } else { 0 };
        Arc::new(Self {
            id,
            answer: Mutex::new(Outgoing::new(id, link)),
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
        drop(self.answer.lock().link().send([credit]));
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
        Arc::ptr_eq(self.answer.lock().link(), link)
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
    pub(crate) fn poll_request_body(
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
        self.answer.lock().add_credit(bytes);
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
        self.answer.lock().refuse(Refusal {
            id: self.id,
            verdict,
            reason,
            retry_after_ms,
        });
    }

    /// Sends the head of the answer, with the first part of its body if it is there.
    pub(crate) fn send_head(&self, head: Answer, first: Option<Bytes>, end: bool) {
        self.answer.lock().send_head(head, first, end);
    }

    /// Takes in a part of the answer's body, and sends what the outbound proxy has room for.
    pub(crate) fn add_part(&self, bytes: Bytes) {
        self.answer.lock().add_part(bytes);
    }

    /// Ends the answer's body.
    pub(crate) fn end_answer(&self) {
        self.answer.lock().end();
    }

    /// Gives the bytes of the answer that wait for room at the outbound proxy.
    pub(crate) fn count_waiting(&self) -> usize {
        self.answer.lock().count_waiting()
    }

    /// Waits until no more than `most` bytes of the answer wait for room at the outbound proxy.
    ///
    /// Guards against a reader that is gone or stands still: only its own word makes
    /// room, and a process that was killed never says one. Waited for as long as a
    /// commit may run on, its answer held a slot of the backend server for up to 32 s.
    ///
    /// # Errors
    ///
    /// When it took nothing for five seconds.
    pub(crate) async fn wait_taken(&self, most: usize) -> Result<(), Untaken> {
        let mut idle = 0;
        let mut sent = self.answer.lock().sent();
        while idle < TAKE_TICKS {
            let taken = poll_fn(|cx| self.answer.lock().poll_waiting(cx, most));
            if timeout(TAKE_TICK, taken).await.is_ok() {
                return Ok(());
            }
            let now = self.answer.lock().sent();
            idle = if now == sent { idle + 1 } else { 0 };
            sent = now;
        }
        Err(Untaken)
    }

    /// Goes on over another link, from where the outbound proxy says that it is.
    ///
    /// Gives false when what it still needs is no longer kept.
    pub(crate) fn resume(&self, link: Arc<Sender>, head: bool, received: u64, room: u32) -> bool {
        self.break_upload();
        self.answer.lock().resume(link, head, received, room)
    }
}
