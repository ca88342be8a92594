//! A link to another node: frames of many calls multiplexed over one TCP connection.
//!
//! Senders encode frames into one buffer and write it right away, so that a
//! call does not wait for another task. What the socket does not accept is
//! coalesced and written by the link's writer task.

use bytes::{Buf, BytesMut};
use parking_lot::Mutex;
use quick_error::quick_error;
use std::io;
use std::ops::ControlFlow;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Waker;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};
use wire::call::Frame;
use wire::codec;

/// Unsent bytes from which new requests are refused.
///
/// Bodies are bounded by their calls' windows; this limit bounds heads. At 1 Gbit/s, 1 MB of queued
/// data delays a request by 10 ms, longer than any queueing that is worthwhile.
const MAX_UNSENT_BYTES_FOR_REQUESTS: usize = 1 << 20;

/// Unsent bytes from which the link to a peer that does not read is closed.
///
/// Queued bodies are limited to their windows of 64 kB, and a backend server runs some dozens of
/// calls at once. A larger queue means that the peer sends requests but never reads, and the queue
/// would grow without bound.
const MAX_UNSENT_BYTES: usize = 8 << 20;

/// Size of a read from the socket; the buffer is held only during the read.
const READ_BYTES: usize = 16 << 10;

/// Capacity that an empty write buffer keeps: enough for the heads of a few calls.
const RETAINED_BUFFER_BYTES: usize = 1 << 10;

/// Time between two checks of a link for silence.
///
/// With [`MAX_SILENT_CHECKS`], a silent link is detected within a second. A ping
/// and its reply cost about 60 bytes and are sent only when nothing else arrived.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of consecutive checks without a byte from the peer; at the next such check, the
/// link counts as dead.
///
/// Checks are counted rather than timed: a process that resumes after a long stop runs one overdue
/// check, not many, and first reads what has arrived.
const MAX_SILENT_CHECKS: u32 = 3;

/// Maximum number of consecutive checks without a byte while a request body is expected; at the
/// next such check, the link counts as dead.
///
/// Five seconds, as for the readers of answers: the peer may stall for a while, and what it sends
/// afterwards is still useful as long as the caller waits.
const MAX_SILENT_BODY_CHECKS: u32 = 20;

/// Time between two checks of a link on which nothing is expected.
///
/// A node in a large fleet has hundreds of links. Checked as often as links with expected
/// answers, they would cost it a thousand useless wake-ups per second.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of consecutive checks without a byte while nothing is expected; at the next such
/// check, after about one minute, the link is closed.
const MAX_SILENT_IDLE_CHECKS: u32 = 12;

/// Value of [`Sender::pongs`] that ends every wait for a pong.
const LINK_CLOSED: u64 = u64::MAX;

/// What a link's reader expects from its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// Answers: a silent peer is pinged, and its link is closed if the peer stays silent.
    Answer,
    /// The body of a request that is waiting for it: a silent peer is pinged, and its link is
    /// closed after a longer silence.
    ///
    /// Without this timeout, a VM that loses power in the middle of a body leaves a connection that
    /// never ends, and a slot of the backend server stays occupied waiting for the rest.
    Body,
    /// Nothing: the link is closed after a long silence.
    Nothing,
}

quick_error! {
    /// Errors of sending frames over a link.
    #[derive(Debug)]
    pub enum Error {
        /// The link is closed.
        Closed {
            display("the link is closed")
        }
        /// Too many bytes wait for the socket already.
        Full {
            display("too many unsent bytes on the link")
        }
        /// The peer refuses new requests.
        Leaving {
            display("the peer refuses new requests")
        }
        /// A frame can't be encoded.
        Encode(source: wire::Error) {
            from()
            display("{}", source)
            source(source)
        }
    }
}

/// Wakes the waiting task, if there is one.
pub(crate) fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// The sending side of a link.
#[derive(Debug)]
pub struct Sender {
    write_state: Mutex<WriteState>,
    wake_writer: Notify,
    closed: Notify,
    /// Whether the reader checks the link rarely because nothing is expected.
    reader_idle: AtomicBool,
    /// Tells an idle reader that something is expected from now on.
    wake_reader: Notify,
    /// Number of pongs received; [`LINK_CLOSED`] once the link is closed.
    pongs: watch::Sender<u64>,
}

#[derive(Debug)]
struct WriteState {
    /// `None` once the link is closed.
    ///
    /// If the socket were kept, it would live as long as the last answer or peer entry that refers
    /// to the link: 1 to 4 half-closed sockets (CLOSE-WAIT) remained at a node for 20 s after its
    /// peers were restarted.
    socket: Option<Arc<OwnedWriteHalf>>,
    buffer: Vec<u8>,
    /// Bytes of `buffer` that the socket has accepted.
    flushed: usize,
    /// Bytes that the socket has accepted since the link opened.
    bytes_written: u64,
    /// Number of pings sent.
    pings: u64,
    /// Whether the writer task is waiting for the socket.
    blocked: bool,
}

impl WriteState {
    fn unsent_bytes(&self) -> usize {
        self.buffer.len() - self.flushed
    }

    /// Writes as much as the socket accepts now.
    fn flush(&mut self) -> io::Result<()> {
        let Some(socket) = &self.socket else {
            return Ok(());
        };
        while self.flushed < self.buffer.len() {
            match socket.try_write(&self.buffer[self.flushed..]) {
                Ok(count) => {
                    self.flushed += count;
                    self.bytes_written += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.blocked = true;
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
        self.buffer.clear();
        self.buffer.shrink_to(RETAINED_BUFFER_BYTES);
        self.flushed = 0;
        self.blocked = false;
        Ok(())
    }
}

impl Sender {
    /// Sends frames in one write; returns the link's byte offset at their end.
    ///
    /// # Errors
    ///
    /// Fails if the link is closed, if a frame can't be encoded, or if too many bytes are unsent,
    /// which closes the link. None of the frames is sent then.
    pub fn send<I>(&self, frames: I) -> Result<u64, Error>
    where
        I: IntoIterator<Item = Frame>,
    {
        let mut write_state = self.write_state.lock();
        self.push(&mut write_state, frames)
    }

    /// Sends frames and a ping; [`Sender::wait_pong`] takes the returned number.
    ///
    /// # Errors
    ///
    /// Fails as [`Sender::send`] does.
    pub fn send_with_ping<I>(&self, frames: I) -> Result<u64, Error>
    where
        I: IntoIterator<Item = Frame>,
    {
        let mut write_state = self.write_state.lock();
        let frames = frames.into_iter().chain([Frame::Ping]);
        self.push(&mut write_state, frames)?;
        write_state.pings += 1;
        Ok(write_state.pings)
    }

    /// Waits for the reply to a ping, or until the link is closed.
    ///
    /// Frames keep their order in both directions: the peer has then handled everything that was
    /// sent before the ping, and everything that it sent before the reply has been handled here.
    pub async fn wait_pong(&self, ping: u64) {
        let mut pongs = self.pongs.subscribe();
        // The sender of the watch channel lives as long as `self`, so the wait doesn't fail.
        drop(pongs.wait_for(|count| *count >= ping).await);
    }

    /// Sends the frames of a new request, which `make` builds once the link has accepted it; `make`
    /// returns `None` if the peer has announced that it refuses new requests.
    ///
    /// # Errors
    ///
    /// Fails as [`Sender::send`] does, if too many bytes wait for the socket already, and if `make`
    /// returns `None`.
    pub fn send_request<F, I>(&self, make: F) -> Result<u64, Error>
    where
        F: FnOnce() -> Option<I>,
        I: IntoIterator<Item = Frame>,
    {
        let mut write_state = self.write_state.lock();
        if write_state.unsent_bytes() > MAX_UNSENT_BYTES_FOR_REQUESTS {
            return Err(Error::Full);
        }
        if write_state.socket.is_none() {
            return Err(Error::Closed);
        }
        let frames = make().ok_or(Error::Leaving)?;
        self.push(&mut write_state, frames)
    }

    fn push<I>(&self, write_state: &mut WriteState, frames: I) -> Result<u64, Error>
    where
        I: IntoIterator<Item = Frame>,
    {
        if write_state.socket.is_none() {
            return Err(Error::Closed);
        }
        let start = write_state.buffer.len();
        for frame in frames {
            if let Err(error) = codec::encode(&wire::Frame::Call(frame), &mut write_state.buffer) {
                write_state.buffer.truncate(start);
                return Err(error.into());
            }
        }
        let end = write_state.bytes_written + write_state.unsent_bytes() as u64;
        if write_state.unsent_bytes() > MAX_UNSENT_BYTES {
            log::warn!("link_unread");
            self.close_locked(write_state);
            return Err(Error::Closed);
        }
        if !write_state.blocked {
            match write_state.flush() {
                Ok(()) if write_state.blocked => self.wake_writer.notify_one(),
                Ok(()) => {}
                Err(_) => self.close_locked(write_state),
            }
        }
        Ok(end)
    }

    /// Makes the reader check for silence from now on, since an answer to what was just sent is
    /// expected.
    pub fn expect_answer(&self) {
        if self.reader_idle.swap(false, Ordering::AcqRel) {
            self.wake_reader.notify_one();
        }
    }

    /// Closes the link: its reader ends and nothing more is sent.
    pub fn close(&self) {
        self.close_locked(&mut self.write_state.lock());
    }

    fn close_locked(&self, write_state: &mut WriteState) {
        if write_state.socket.take().is_some() {
            // Frees the buffer, which is not sent any more: references to the link may live long.
            write_state.buffer = Vec::new();
            write_state.flushed = 0;
            self.pongs.send_replace(LINK_CLOSED);
            self.closed.notify_one();
            self.wake_writer.notify_one();
        }
    }

    /// Returns whether the link is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.write_state.lock().socket.is_none()
    }

    /// Waits until the socket has accepted everything sent, or the link is closed.
    pub async fn wait_flushed(&self) {
        while let Some(socket) = self.unflushed_socket() {
            if socket.writable().await.is_err() {
                return;
            }
            drop(socket);
            tokio::task::yield_now().await;
        }
    }

    /// Returns the socket while unsent bytes remain.
    fn unflushed_socket(&self) -> Option<Arc<OwnedWriteHalf>> {
        let write_state = self.write_state.lock();
        write_state
            .socket
            .clone()
            .filter(|_| write_state.unsent_bytes() > 0)
    }

    /// Returns the number of bytes that the socket has accepted; the number no longer grows once
    /// the link is closed.
    #[must_use]
    pub fn bytes_written(&self) -> u64 {
        self.write_state.lock().bytes_written
    }
}

/// Writes what the socket did not accept right away, until the link closes.
async fn write_blocked(sender: Arc<Sender>) {
    loop {
        sender.wake_writer.notified().await;
        while let Some(socket) = sender.unflushed_socket() {
            tokio::select! {
                _ = socket.writable() => {}
                () = sender.wake_writer.notified() => {}
            }
            let mut write_state = sender.write_state.lock();
            if write_state.flush().is_err() {
                sender.close_locked(&mut write_state);
            }
        }
        if sender.is_closed() {
            return;
        }
    }
}

/// The receiving side of a link.
#[derive(Debug)]
pub struct Receiver {
    socket: OwnedReadHalf,
    sender: Arc<Sender>,
}

/// Takes over a connection after both hellos have been exchanged.
///
/// # Errors
///
/// Fails if the socket's options can't be set.
pub fn open(stream: TcpStream) -> io::Result<(Arc<Sender>, Receiver)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let write_state = WriteState {
        socket: Some(Arc::new(write)),
        buffer: Vec::new(),
        flushed: 0,
        bytes_written: 0,
        pings: 0,
        blocked: false,
    };
    let sender = Arc::new(Sender {
        write_state: Mutex::new(write_state),
        wake_writer: Notify::new(),
        closed: Notify::new(),
        reader_idle: AtomicBool::new(false),
        wake_reader: Notify::new(),
        pongs: watch::Sender::new(0),
    });
    tokio::spawn(write_blocked(Arc::clone(&sender)));
    let receiver = Receiver {
        socket: read,
        sender: Arc::clone(&sender),
    };
    Ok((sender, receiver))
}

impl Receiver {
    /// Passes each frame to `handle` until the link closes, fails or falls silent, or `handle` breaks.
    pub async fn run<T, W>(self, mut handle: T, expect: W)
    where
        T: FnMut(Frame) -> ControlFlow<()>,
        W: Fn() -> Expected,
    {
        let mut buffer = BytesMut::new();
        let mut check = pin!(sleep(CHECK_INTERVAL));
        let mut silent_checks = 0;
        let mut expected = Expected::Nothing;
        loop {
            tokio::select! {
                biased;
                () = self.sender.closed.notified() => break,
                ready = self.socket.readable() => {
                    let read = self.read(&mut buffer, &mut handle);
                    match read {
                        ControlFlow::Continue(has_received) if ready.is_ok() => {
                            silent_checks = if has_received { 0 } else { silent_checks };
                        }
                        _ => break,
                    }
                    if expected == Expected::Nothing && expect() != Expected::Nothing {
                        self.sender.expect_answer();
                    }
                }
                () = self.sender.wake_reader.notified() => {
                    silent_checks = 0;
                    expected = expect();
                    check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
                }
                () = &mut check => {
                    let current = self.update_expected(&expect);
                    // When the expectation changes, counting starts again: time in which nothing
                    // was expected does not count as silence.
                    silent_checks = if current == expected { silent_checks + 1 } else { 0 };
                    expected = current;
                    if self.check_silence(silent_checks, current).is_break() {
                        break;
                    }
                    let interval = if current == Expected::Nothing {
                        IDLE_CHECK_INTERVAL
                    } else {
                        CHECK_INTERVAL
                    };
                    check.as_mut().reset(Instant::now() + interval);
                }
            }
        }
        self.sender.close();
    }

    /// Returns what the peer is now expected to send; marks the reader as idle if nothing is
    /// expected.
    fn update_expected<W>(&self, expect: &W) -> Expected
    where
        W: Fn() -> Expected,
    {
        // Marked as idle before `expect` is called, so that a sender that expects an answer from
        // now on wakes the reader.
        self.sender.reader_idle.store(true, Ordering::Release);
        let current = expect();
        if current != Expected::Nothing {
            self.sender.reader_idle.store(false, Ordering::Release);
        }
        current
    }

    /// Reads what has arrived and passes on the complete frames.
    ///
    /// The buffer is allocated only now and freed once it is empty: a node in a large fleet
    /// has hundreds of links, most of which are silent at any moment.
    ///
    /// Returns whether anything has arrived.
    fn read<T>(&self, buffer: &mut BytesMut, handle: &mut T) -> ControlFlow<(), bool>
    where
        T: FnMut(Frame) -> ControlFlow<()>,
    {
        buffer.reserve(READ_BYTES);
        let has_received = match self.socket.try_read_buf(buffer) {
            Ok(1..) => true,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => false,
            Ok(_) | Err(_) => return ControlFlow::Break(()),
        };
        self.handle_frames(buffer, handle)?;
        if buffer.is_empty() {
            *buffer = BytesMut::new();
        }
        ControlFlow::Continue(has_received)
    }

    /// Pings a silent peer; returns `Break` if the link has been silent for too long and must be
    /// closed.
    ///
    /// A connection whose state was lost by a device on the path accepts writes for
    /// minutes without failing; only missing answers reveal it.
    fn check_silence(&self, silent_checks: u32, expected: Expected) -> ControlFlow<()> {
        match expected {
            Expected::Answer if silent_checks > MAX_SILENT_CHECKS => {
                log::warn!("link_silent");
                ControlFlow::Break(())
            }
            Expected::Body if silent_checks > MAX_SILENT_BODY_CHECKS => {
                log::warn!("link_silent");
                ControlFlow::Break(())
            }
            Expected::Answer | Expected::Body
                if silent_checks > 1 && self.sender.send_with_ping([]).is_err() =>
            {
                ControlFlow::Break(())
            }
            Expected::Nothing if silent_checks > MAX_SILENT_IDLE_CHECKS => ControlFlow::Break(()),
            Expected::Answer | Expected::Body | Expected::Nothing => ControlFlow::Continue(()),
        }
    }

    /// Passes on the complete frames in the buffer.
    fn handle_frames<T>(&self, buffer: &mut BytesMut, handle: &mut T) -> ControlFlow<()>
    where
        T: FnMut(Frame) -> ControlFlow<()>,
    {
        loop {
            match codec::decode(buffer) {
                Ok(Some((wire::Frame::Call(frame), used))) => {
                    buffer.advance(used);
                    if self.handle_frame(frame, handle).is_break() {
                        return ControlFlow::Break(());
                    }
                }
                Ok(None) => return ControlFlow::Continue(()),
                Ok(Some((wire::Frame::Control(_) | wire::Frame::Reserve(_), _))) | Err(_) => {
                    log::warn!("link_malformed");
                    return ControlFlow::Break(());
                }
            }
        }
    }

    fn handle_frame<T>(&self, frame: Frame, handle: &mut T) -> ControlFlow<()>
    where
        T: FnMut(Frame) -> ControlFlow<()>,
    {
        match frame {
            Frame::Ping if self.sender.send([Frame::Pong]).is_err() => ControlFlow::Break(()),
            Frame::Ping => ControlFlow::Continue(()),
            Frame::Pong => {
                let pongs = &self.sender.pongs;
                pongs.send_modify(|count| *count = count.saturating_add(1));
                ControlFlow::Continue(())
            }
            frame => handle(frame),
        }
    }
}
