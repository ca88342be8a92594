//! The socket of a connection, with what must be known of it for its close.

use crate::connection::pipeline::{MAX_AHEAD_BYTES, ReadAhead, SharedReadAhead, find_head_end};
use crate::connection::{BodyProgress, Phase, SharedExchange};
use bytes::{Buf, Bytes, BytesMut};
use parking_lot::Mutex;
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

/// A TCP stream that can take back bytes that were read from it, and can read ahead of the HTTP
/// server.
#[derive(Debug)]
pub(super) struct Stream {
    tcp: Pin<Box<TimeoutStream<TcpStream>>>,
    returned: Bytes,
    /// Bytes read ahead, and the exchange that tells what the HTTP server reads; `None` if it reads
    /// the socket itself.
    ahead: Option<(SharedReadAhead, SharedExchange)>,
    progress: Progress,
}

impl Stream {
    pub(super) fn new(tcp: TcpStream, write_timeout: Option<Duration>) -> Self {
        let mut tcp = TimeoutStream::new(tcp);
        tcp.set_write_timeout(write_timeout);
        Self {
            tcp: Box::pin(tcp),
            returned: Bytes::new(),
            ahead: None,
            progress: Progress::default(),
        }
    }

    /// Reads ahead of the HTTP server while it waits for a response.
    pub(super) fn set_read_ahead(&mut self, ahead: SharedReadAhead, exchange: SharedExchange) {
        self.ahead = Some((ahead, exchange));
    }

    /// Returns whether bytes have been read that the HTTP server has not been given.
    pub(super) fn has_read_ahead(&self) -> bool {
        let ahead = self.ahead.as_ref();
        ahead.is_some_and(|(ahead, _)| !ahead.lock().is_empty())
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
        if self.has_read_ahead() {
            return true;
        }
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

impl Stream {
    fn poll_socket(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(self.tcp.as_mut().poll_read(cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
            self.set_peer_closed();
        }
        Poll::Ready(Ok(()))
    }

    /// Reads a request head. What arrives behind it is kept.
    fn poll_head(
        &mut self,
        ahead: &Mutex<ReadAhead>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !ahead.lock().is_empty() {
            // The responses to requests that follow would wait in memory without bound.
            if !self.progress.is_flushed() {
                return Poll::Pending;
            }
            ahead.lock().take_head(buf);
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(self.poll_socket(cx, buf))?;
        let arrived = &buf.filled()[before..];
        if let Some(length) = find_head_end(arrived)
            && length < arrived.len()
        {
            ahead.lock().keep(&arrived[length..]);
            buf.set_filled(before + length);
        }
        Poll::Ready(Ok(()))
    }

    /// Keeps what arrives while the HTTP server waits for a response. Completes only when the peer
    /// has closed its side or the connection has failed.
    fn poll_end(
        &mut self,
        ahead: &Mutex<ReadAhead>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ahead.lock().set_at_boundary();
        while ahead.lock().len() < MAX_AHEAD_BYTES {
            ready!(self.poll_socket(cx, buf))?;
            let arrived = &buf.filled()[before..];
            if arrived.is_empty() {
                return Poll::Ready(Ok(()));
            }
            ahead.lock().keep(arrived);
            buf.set_filled(before);
        }
        Poll::Pending
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
        let Some((ahead, exchange)) = self.ahead.clone() else {
            return self.poll_socket(cx, buf);
        };
        let (phase, request_body) = {
            let exchange = exchange.lock();
            (exchange.phase, exchange.request_body)
        };
        match (phase, request_body) {
            (Phase::Running, BodyProgress::Complete) => self.poll_end(&ahead, cx, buf),
            (Phase::Running, _) if !ahead.lock().is_empty() => {
                ahead.lock().take_all(buf);
                Poll::Ready(Ok(()))
            }
            (Phase::Running, _) => self.poll_socket(cx, buf),
            (Phase::New | Phase::Answered, _) => self.poll_head(&ahead, cx, buf),
        }
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
