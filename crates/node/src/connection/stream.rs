//! The socket of a connection, with what must be known of it for its close.

use bytes::{Buf, Bytes, BytesMut};
use socket2::SockRef;
use std::io::{self, IoSlice, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio_io_timeout::TimeoutStream;

/// Size of the buffer for bytes that arrive while a connection closes.
const CLOSE_BUFFER_BYTES: usize = 4 << 10;

/// Progress of a stream, readable while an HTTP server owns the stream.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress(Arc<Flags>);

#[derive(Debug, Default)]
struct Flags {
    has_unflushed_bytes: AtomicBool,
    has_peer_closed: AtomicBool,
}

impl Progress {
    /// Returns whether all responses so far are completely written to the socket.
    pub(super) fn is_flushed(&self) -> bool {
        !self.0.has_unflushed_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether the peer has closed its side of the connection.
    pub(super) fn has_peer_closed(&self) -> bool {
        self.0.has_peer_closed.load(Ordering::Relaxed)
    }
}

/// A TCP stream that can take back bytes that were read from it.
#[derive(Debug)]
pub(super) struct Stream {
    tcp: Pin<Box<TimeoutStream<TcpStream>>>,
    returned: Bytes,
    progress: Progress,
}

impl Stream {
    pub(super) fn new(tcp: TcpStream, write_timeout: Option<Duration>) -> Self {
        let mut tcp = TimeoutStream::new(tcp);
        tcp.set_write_timeout(write_timeout);
        Self {
            tcp: Box::pin(tcp),
            returned: Bytes::new(),
            progress: Progress::default(),
        }
    }

    pub(super) fn progress(&self) -> Progress {
        self.progress.clone()
    }

    /// Puts back bytes that were read ahead, for the next read.
    pub(super) fn put_back(&mut self, bytes: Bytes) {
        self.returned = bytes;
    }

    /// Returns whether bytes have arrived, and keeps them for the next read.
    ///
    /// The socket is read directly: the runtime learns of bytes in its buffer only when it polls
    /// for events.
    pub(super) fn take_arrived(&mut self) -> bool {
        if self.returned.is_empty() {
            let mut buffer = BytesMut::zeroed(CLOSE_BUFFER_BYTES);
            let socket = SockRef::from(self.tcp.get_ref());
            match (&*socket).read(&mut buffer) {
                Ok(0) => self.set_peer_closed(),
                Ok(length) => self.returned = buffer.freeze().split_to(length),
                // Nothing has arrived, or the connection is broken.
                Err(_) => {}
            }
        }
        !self.returned.is_empty()
    }

    /// Writes `response`, closes the write side, and drops what arrives until the peer closes its
    /// side.
    pub(super) async fn close(mut self, response: &[u8]) -> io::Result<()> {
        self.tcp.write_all(response).await?;
        self.tcp.shutdown().await?;
        // On the heap: as a part of the future it would add to the memory of each connection.
        let mut buffer = vec![0; CLOSE_BUFFER_BYTES];
        while self.tcp.read(&mut buffer).await? > 0 {}
        Ok(())
    }

    fn set_peer_closed(&self) {
        self.progress
            .0
            .has_peer_closed
            .store(true, Ordering::Relaxed);
    }

    fn set_unflushed(&self, has_unflushed_bytes: bool) {
        let flag = &self.progress.0.has_unflushed_bytes;
        flag.store(has_unflushed_bytes, Ordering::Relaxed);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.returned.is_empty() {
            let length = self.returned.len().min(buf.remaining());
            buf.put_slice(&self.returned[..length]);
            self.returned.advance(length);
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(self.tcp.as_mut().poll_read(cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
            self.set_peer_closed();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.set_unflushed(true);
        self.tcp.as_mut().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.set_unflushed(true);
        self.tcp.as_mut().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.tcp.as_mut().poll_flush(cx))?;
        self.set_unflushed(false);
        Poll::Ready(Ok(()))
    }

    /// Flushes only: the socket stays open when an HTTP server ends, until [`close`](Self::close).
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_flush(cx)
    }
}
