//! An attempt that was sent over a link, and the request body that is streamed after it.

use crate::connection;
use crate::inbound::response_stream::MAX_CHUNK_BYTES;
use crate::outbound::attempt::Attempt;
use crate::outbound::link::Link;
use bytes::Bytes;
use call::Verdict;
use http_body::Body as _;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use wire::call::{Answer, Reason, Refusal};

/// An attempt that was sent over a link. Dropping it cancels the call at the inbound proxy.
#[derive(Debug)]
pub(crate) struct RemoteAttempt {
    attempt: Arc<Attempt>,
    link: Arc<Link>,
    /// The part of the request body that has not been sent.
    pub(crate) body: RequestBody,
    /// Whether any of the rest of the body has been read. If so, the body can't be sent again.
    pub(crate) rest_read: bool,
    /// Whether the whole request has been sent, or sending has stopped.
    sending_done: bool,
}

/// A request body. Its start is kept in memory so that another attempt can send it again.
#[derive(Debug, Default)]
pub(crate) struct RequestBody {
    /// The bytes kept in memory.
    pub(crate) prefix: Bytes,
    /// The caller's stream with the rest of the body, if there is any.
    pub(crate) rest: Option<connection::RequestBody>,
}

impl RequestBody {
    /// Returns the body's length if it is known, otherwise a lower bound.
    pub(crate) fn length(&self) -> u64 {
        let rest = self
            .rest
            .as_ref()
            .map_or(0, |rest| rest.size_hint().lower());
        self.prefix.len() as u64 + rest
    }
}

impl RemoteAttempt {
    /// Wraps an attempt whose request was sent with the first `sent` bytes of `body.prefix`.
    pub(crate) fn new(
        attempt: Arc<Attempt>,
        link: Arc<Link>,
        mut body: RequestBody,
        sent: usize,
    ) -> Self {
        body.prefix = body.prefix.split_off(sent);
        attempt.use_credit(sent);
        let sending_done = body.prefix.is_empty() && body.rest.is_none();
        Self {
            attempt,
            link,
            body,
            rest_read: false,
            sending_done,
        }
    }

    /// Returns the body, with `prefix` as its start, for another attempt, if none of the rest has been read.
    pub(crate) fn take_back(&mut self, prefix: Bytes) -> Option<RequestBody> {
        (!self.rest_read).then(|| RequestBody {
            prefix,
            rest: self.body.rest.take(),
        })
    }

    /// Polls for the response head, and sends more of the request body meanwhile.
    pub(crate) fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<Result<Answer, Refusal>> {
        self.send_body(cx);
        self.attempt.poll_head(cx)
    }

    /// Polls for the next chunk of the response body, and sends more of the request body meanwhile.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Refusal>>> {
        self.send_body(cx);
        self.attempt.poll_chunk(cx)
    }

    /// Returns whether the whole response has been read.
    pub(crate) fn is_end(&self) -> bool {
        self.attempt.is_consumed()
    }

    fn send_body(&mut self, cx: &mut Context<'_>) {
        while !self.sending_done {
            if self.body.prefix.is_empty() && self.body.rest.is_some() {
                if !self.poll_rest(cx) {
                    return;
                }
                continue;
            }
            let mut credit = 0;
            // An empty chunk that only marks the end needs no credit.
            if !self.body.prefix.is_empty() {
                match self.attempt.poll_credit(cx) {
                    Poll::Ready(Some(available)) => credit = available.min(MAX_CHUNK_BYTES),
                    Poll::Ready(None) => self.sending_done = true,
                    Poll::Pending => return,
                }
            }
            if !self.sending_done {
                self.send_chunk(credit);
            }
        }
    }

    fn send_chunk(&mut self, credit: usize) {
        let length = self.body.prefix.len().min(credit);
        let chunk = self.body.prefix.split_to(length);
        self.sending_done = self.body.prefix.is_empty() && self.body.rest.is_none();
        self.attempt.send_chunk(chunk, self.sending_done);
    }

    /// Polls the caller's stream for more of the body. Returns false if nothing is available now.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(rest) = &mut self.body.rest else {
            return false;
        };
        let Poll::Ready(next) = Pin::new(&mut *rest).poll_frame(cx) else {
            return false;
        };
        self.rest_read = true;
        let ended = next.is_none() || rest.is_end_stream();
        match next {
            Some(Ok(frame)) => self.body.prefix = frame.into_data().unwrap_or_default(),
            // A truncated body must not look complete, so no end is sent.
            Some(Err(_)) => {
                self.sending_done = true;
                self.attempt.abandon();
                self.attempt.fail(Verdict::MayHaveRun, Reason::Cancelled);
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
        self.attempt.abandon();
        self.link.forget(self.attempt.id);
    }
}
