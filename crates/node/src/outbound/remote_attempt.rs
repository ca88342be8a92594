//! A try that was sent, and the caller's body that follows it.

use crate::inbound::response_stream::MAX_CHUNK;
use crate::outbound::attempt::Attempt;
use crate::outbound::link::Link;
use bytes::Bytes;
use call::Verdict;
use http_body::Body as _;
use hyper::body::Incoming;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use wire::call::{Answer, Reason, Refusal};

/// A try that was sent; dropping it tells the inbound proxy that nobody waits any more.
#[derive(Debug)]
pub(crate) struct RemoteAttempt {
    one: Arc<Attempt>,
    link: Arc<Link>,
    /// What is left of the caller's body.
    pub(crate) body: RequestBody,
    /// Whether some of the body's rest is used up, so that it can't be sent again.
    pub(crate) used: bool,
    /// Whether the request has gone out to its end.
    done: bool,
}

/// A request's body, of which the start is held so that another try can send it again.
#[derive(Debug, Default)]
pub(crate) struct RequestBody {
    /// The start.
    pub(crate) prefix: Bytes,
    /// Where the rest comes from, if there is any.
    pub(crate) rest: Option<Incoming>,
}

impl RequestBody {
    /// Gives its length, as far as it is known: all of it, or what is held.
    pub(crate) fn length(&self) -> u64 {
        let rest = self
            .rest
            .as_ref()
            .map_or(0, |rest| rest.size_hint().lower());
        self.prefix.len() as u64 + rest
    }
}

impl RemoteAttempt {
    /// Follows a try whose request went out with the first `gone` bytes of `body.prefix`.
    pub(crate) fn new(
        one: Arc<Attempt>,
        link: Arc<Link>,
        mut body: RequestBody,
        gone: usize,
    ) -> Self {
        body.prefix = body.prefix.split_off(gone);
        one.use_credit(gone);
        let done = body.prefix.is_empty() && body.rest.is_none();
        Self {
            one,
            link,
            body,
            used: false,
            done,
        }
    }

    /// Gives the body back for another try, from its start `ready` on, if none of its rest is used up.
    pub(crate) fn take_back(&mut self, ready: Bytes) -> Option<RequestBody> {
        (!self.used).then(|| RequestBody {
            prefix: ready,
            rest: self.body.rest.take(),
        })
    }

    /// Waits for the head of the answer, and sends on the body meanwhile.
    pub(crate) fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<Result<Answer, Refusal>> {
        self.send_on(cx);
        self.one.poll_head(cx)
    }

    /// Waits for the next part of the answer's body, and sends on the request's meanwhile.
    pub(crate) fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Refusal>>> {
        self.send_on(cx);
        self.one.poll_part(cx)
    }

    /// Tells whether the answer has ended.
    pub(crate) fn is_end(&self) -> bool {
        self.one.is_consumed()
    }

    fn send_on(&mut self, cx: &mut Context<'_>) {
        while !self.done {
            if self.body.prefix.is_empty() && self.body.rest.is_some() {
                if !self.poll_rest(cx) {
                    return;
                }
                continue;
            }
            let mut room = 0;
            // The end alone needs no room.
            if !self.body.prefix.is_empty() {
                match self.one.poll_credit(cx) {
                    Poll::Ready(Some(credit)) => room = credit.min(MAX_CHUNK),
                    Poll::Ready(None) => self.done = true,
                    Poll::Pending => return,
                }
            }
            if !self.done {
                self.send_part(room);
            }
        }
    }

    fn send_part(&mut self, room: usize) {
        let length = self.body.prefix.len().min(room);
        let part = self.body.prefix.split_to(length);
        self.done = self.body.prefix.is_empty() && self.body.rest.is_none();
        self.one.send_part(part, self.done);
    }

    /// Takes more of the caller's body; false when there is none now.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(rest) = &mut self.body.rest else {
            return false;
        };
        let Poll::Ready(next) = Pin::new(&mut *rest).poll_frame(cx) else {
            return false;
        };
        self.used = true;
        let ended = next.is_none() || rest.is_end_stream();
        match next {
            Some(Ok(frame)) => self.body.prefix = frame.into_data().unwrap_or_default(),
            // Half a body must not pass for the whole: no end is sent.
            Some(Err(_)) => {
                self.done = true;
                self.one.abandon();
                self.one.fail(Verdict::MayHaveRun, Reason::Cancelled);
            }
            None => {}
        }
        if ended {
            self.body.rest = None;
        }
        true
    }
}

impl Drop for RemoteAttempt {
    fn drop(&mut self) {
        self.one.abandon();
        self.link.forget(self.one.id);
    }
}
