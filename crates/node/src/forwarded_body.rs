//! The body of a request that is forwarded to the local backend server.

use crate::connection::RequestBody;
use crate::inbound::inbound_call::InboundCall;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

quick_error! {
    /// Why a body ended early.
    #[derive(Debug)]
    pub enum Error {
        /// The connection of the caller failed.
        Connection(source: hyper::Error) {
            from()
            display("connection failed before the end of the body: {}", source)
            source(source)
        }
        /// The call ended before its body was complete.
        CallEnded {
            display("the call ended before its body was complete")
        }
    }
}

/// The body of a request that is forwarded to the local backend server.
#[derive(Debug)]
pub(crate) struct ForwardedBody {
    /// Start of the body, which has been received already.
    pub(crate) prefix: Option<Bytes>,
    /// Source of the remaining bytes.
    pub(crate) rest: Rest,
}

/// Source of the rest of a request's body.
#[derive(Debug)]
pub(crate) enum Rest {
    /// Nothing follows the prefix.
    Done,
    /// The caller's connection to this node.
    Caller(RequestBody),
    /// The link from the outbound proxy of another node.
    Link(Arc<InboundCall>),
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(bytes) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match &mut self.rest {
            Rest::Done => Poll::Ready(None),
            Rest::Caller(body) => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(frame.map(|got| got.map_err(Error::from)))
            }
            Rest::Link(call) => {
                let chunk = ready!(call.poll_request_body(cx));
                Poll::Ready(chunk.map(|got| got.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && matches!(self.rest, Rest::Done)
    }

    fn size_hint(&self) -> SizeHint {
        let ready = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        match &self.rest {
            Rest::Done => SizeHint::with_exact(ready),
            Rest::Caller(_) | Rest::Link(_) => SizeHint::default(),
        }
    }
}
