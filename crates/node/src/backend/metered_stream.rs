//! A connection to the backend server that bounds what it reads without the answer getting further.
//!
//! The HTTP client bounds the size of one head, but not what may come without any part of the
//! answer: informational responses before the head, or leading zeros and white space in a chunk's
//! size line. Such bytes may come without end.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may be read before the head, or the next part of the body, is complete.
///
/// Heads are the longest part that comes in one piece. The limit on the heads of requests is the
/// same.
pub(super) const MAX_BYTES_WITHOUT_PROGRESS: usize = 64 << 10;

/// The number of bytes that may still be read before the answer has to get further.
#[derive(Debug)]
pub(super) struct Allowance(AtomicUsize);

/// A connection that stops reading while its allowance is used up.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    allowance: Arc<Allowance>,
}

impl Allowance {
    /// Records that the answer has got further.
    pub(super) fn renew(&self) {
        self.0.store(MAX_BYTES_WITHOUT_PROGRESS, Ordering::Relaxed);
    }

    /// Returns whether nothing more is read until the answer gets further.
    pub(super) fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn take(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
    }
}

impl MeteredStream {
    /// Wraps a connection; the allowance says when it has to be closed.
    pub(super) fn new(stream: TcpStream) -> (Self, Arc<Allowance>) {
        let allowance = Arc::new(Allowance(AtomicUsize::new(MAX_BYTES_WITHOUT_PROGRESS)));
        let metered = Self {
            stream,
            allowance: Arc::clone(&allowance),
        };
        (metered, allowance)
    }
}

impl AsyncRead for MeteredStream {
    /// Reads unless the allowance is used up. If it is, the connection's owner checks it right after
    /// this poll, so that no waker is needed.
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            return Poll::Pending;
        }
        let former = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.allowance.take(buf.filled().len() - former);
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
