//! The body of a response from the backend server on the same VM, which ends with its call.
//!
//! A body without a length may come without end. After the deadline, the backend server is no
//! longer waited for. What it has sent by then is delivered, as it is to callers on other VMs.

use crate::backend;
use crate::inbound::deliver::MAX_READ_AHEAD_BYTES;
use crate::inbound::run::{BackendResponse, MAX_COMMIT_OVERRUN};
use crate::outbound::response::Error;
use bytes::Bytes;
use clock::Clock;
use config::Class;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::Sleep;

/// The body of a response from the backend server on the same VM.
#[derive(Debug)]
pub struct Local<C>
where
    C: Clock,
{
    response: BackendResponse<C>,
    limit: LocalLimit<C>,
    /// Wakes the reader when the call is over, once it has waited for the backend server.
    timer: Option<Pin<Box<Sleep>>>,
    /// Bytes of a body of unknown length that were read after the call was over.
    late_bytes: usize,
}

/// When a call on the same VM is over.
#[derive(Debug)]
pub(crate) struct LocalLimit<C> {
    clock: C,
    until: Instant,
}

impl<C> LocalLimit<C>
where
    C: Clock,
{
    /// Creates the limit of a call; commits run on for a while, as they do for other nodes.
    pub(crate) fn new(clock: &C, class: Class, deadline: Instant) -> Self {
        let overrun = match class {
            Class::Commit => MAX_COMMIT_OVERRUN,
            _ => Duration::ZERO,
        };
        Self {
            clock: clock.clone(),
            until: deadline + overrun,
        }
    }

    fn time_left(&self) -> Duration {
        self.until.saturating_duration_since(self.clock.now())
    }
}

impl<C> Local<C>
where
    C: Clock,
{
    pub(crate) fn new(response: BackendResponse<C>, limit: LocalLimit<C>) -> Self {
        Self {
            response,
            limit,
            timer: None,
            late_bytes: 0,
        }
    }

    /// Returns whether the body has ended.
    pub(crate) fn is_end(&self) -> bool {
        self.response.is_end()
    }

    /// Polls for the next chunk of the body; `None` is its end.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Error>>> {
        let chunk = self.response.poll_chunk(cx);
        if chunk.is_pending() && !self.is_over(cx) {
            return Poll::Pending;
        }
        match chunk {
            Poll::Pending => Poll::Ready(Some(Err(Error::Truncated))),
            Poll::Ready(Some(Ok(bytes))) if self.is_too_late(bytes.len()) => {
                Poll::Ready(Some(Err(Error::Truncated)))
            }
            Poll::Ready(Some(Err(
                backend::Error::Connect | backend::Error::Broken | backend::Error::Rejected(_),
            ))) => Poll::Ready(Some(Err(Error::Broken))),
            Poll::Ready(Some(Ok(bytes))) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(None) => Poll::Ready(None),
        }
    }

    /// Returns whether the call is over; if not, its end wakes the reader.
    fn is_over(&mut self, cx: &mut Context<'_>) -> bool {
        let left = self.limit.time_left();
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(left)));
        left.is_zero() || timer.as_mut().poll(cx).is_ready()
    }

    /// Returns whether a chunk of `bytes` goes beyond what is delivered after the end of the call.
    fn is_too_late(&mut self, bytes: usize) -> bool {
        if self.response.has_known_length() || !self.limit.time_left().is_zero() {
            return false;
        }
        self.late_bytes += bytes;
        self.late_bytes > MAX_READ_AHEAD_BYTES
    }
}
