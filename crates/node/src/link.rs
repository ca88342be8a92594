//! A link to another node: frames of many calls over one TCP connection.
//!
//! Frames are encoded into one buffer and written at once by whoever sends
//! them, so that a call waits for no other task; what the socket does not take
//! is coalesced and written by the link's writer task.

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
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};
use wire::call::Frame;
use wire::codec;

/// Bytes that may wait for the socket before new requests are refused.
///
/// Bodies are bounded by their calls' windows; this bounds heads. At 1 MB the
/// wait behind it is 10 ms at 1 Gbit/s, longer than any queue that pays.
const MAX_QUEUED: usize = 1 << 20;

/// Bytes that may wait for a peer that does not read, before its link is closed.
///
/// Bodies wait only as far as their windows go, and a backend server runs some
/// dozens of calls at once, 64 kB each. What grows beyond that is owed to a
/// peer that asks and never listens, and would grow without end.
const MAX_UNREAD: usize = 8 << 20;

/// Bytes that a reader takes from the socket at once; held only while it does.
const READ_CHUNK: usize = 16 << 10;

/// Bytes of room that a link keeps for what is sent next: the heads of a few calls.
const WRITE_KEPT: usize = 1 << 10;

/// Time between two looks at a link's progress.
///
/// With [`SILENT_TICKS`] a silent link is found within a second; a ping and its
/// answer cost some 60 bytes, and are sent only where nothing else came.
const TICK: Duration = Duration::from_millis(250);

/// Ticks in a row without a byte from the peer after which a link is dead.
///
/// They are counted rather than timed: a process that was stopped for long and
/// goes on finds one tick gone by, not many, and reads first what has come.
const SILENT_TICKS: u32 = 3;

/// Ticks in a row without a byte after which a link that a body is due on is dead.
///
/// Five seconds, as for the reader of an answer: the peer may stand still for a
/// while, and what comes after that is of use as long as its caller waits.
const BODY_TICKS: u32 = 20;

/// Time between two looks at a link that nothing is due on.
///
/// A node of a large fleet has hundreds of links; looked at as often as those that an answer is
/// due on, they cost it a thousand wake-ups a second for nothing.
const IDLE_TICK: Duration = Duration::from_secs(5);

/// Such looks in a row without a byte after which a link that nothing is due on is closed: a minute.
const IDLE_TICKS: u32 = 12;

/// What a link's reader may expect of its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// Answers are due: the peer is pinged, and given up when it stays silent.
    Answer,
    /// A body is due that a call waits for: the peer is pinged, and given up later.
    ///
    /// Guards against a VM without power in the midst of a body: its connection never
    /// ends, and a backend server waited with a slot for the rest of it.
    Body,
    /// Nothing is due; the link is closed when nothing has come for long.
    Nothing,
}

quick_error! {
    /// Why frames could not be sent.
    #[derive(Debug)]
    pub enum Error {
        /// The link is closed.
        Closed {
            display("the link is closed")
        }
        /// Too much waits for the socket already.
        Full {
            display("too much waits for the link")
        }
        /// A frame can't be encoded.
        Frame(source: wire::Error) {
            from()
            display("{}", source)
            source(source)
        }
    }
}

/// Wakes the task that waits, if one does.
pub(crate) fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// The sending side of a link.
#[derive(Debug)]
pub struct Sender {
    outbox: Mutex<Outbox>,
    blocked: Notify,
    closed: Notify,
    /// Whether the reader looks at the link rarely, as nothing is due.
    resting: AtomicBool,
    /// Tells a resting reader that something is due from now on.
    due: Notify,
}

#[derive(Debug)]
struct Outbox {
    /// Gone once the link is closed.
    ///
    /// Guards against a socket that lives as long as the last answer or peer that
    /// remembers its link: half closed (CLOSE-WAIT), 1 to 4 of them stood at a
    /// node for 20 s after its peers were restarted.
    socket: Option<Arc<OwnedWriteHalf>>,
    buffer: Vec<u8>,
    /// Bytes of `buffer` that the socket has taken.
    taken: usize,
    /// Bytes that the socket has taken since the link opened.
    written: u64,
    /// Whether the writer task waits for the socket.
    blocked: bool,
}

impl Outbox {
    fn queued(&self) -> usize {
        self.buffer.len() - self.taken
    }

    /// Writes what the socket takes now.
    fn flush(&mut self) -> io::Result<()> {
        let Some(socket) = &self.socket else {
            return Ok(());
        };
        while self.taken < self.buffer.len() {
            match socket.try_write(&self.buffer[self.taken..]) {
                Ok(count) => {
                    self.taken += count;
                    self.written += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.blocked = true;
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
        self.buffer.clear();
        self.buffer.shrink_to(WRITE_KEPT);
        self.taken = 0;
        self.blocked = false;
        Ok(())
    }
}

impl Sender {
    /// Sends frames in one write and gives the link's length up to their end.
    ///
    /// # Errors
    ///
    /// When the link is closed, or a frame can't be encoded; nothing is sent then.
    pub fn send<I>(&self, frames: I) -> Result<u64, Error>
    where
        I: IntoIterator<Item = Frame>,
    {
        let mut outbox = self.outbox.lock();
        self.push(&mut outbox, frames)
    }

    /// Sends the frames of a new request, which `make` builds once its place on the link is certain.
    ///
    /// # Errors
    ///
    /// As [`Sender::send`], and when too much waits for the socket already.
    pub fn send_request<F, I>(&self, make: F) -> Result<u64, Error>
    where
        F: FnOnce() -> I,
        I: IntoIterator<Item = Frame>,
    {
        let mut outbox = self.outbox.lock();
        if outbox.queued() > MAX_QUEUED {
            return Err(Error::Full);
        }
        if outbox.socket.is_none() {
            return Err(Error::Closed);
        }
        self.push(&mut outbox, make())
    }

    fn push<I>(&self, outbox: &mut Outbox, frames: I) -> Result<u64, Error>
    where
        I: IntoIterator<Item = Frame>,
    {
        if outbox.socket.is_none() {
            return Err(Error::Closed);
        }
        let start = outbox.buffer.len();
        for frame in frames {
            if let Err(error) = codec::encode(&wire::Frame::Call(frame), &mut outbox.buffer) {
                outbox.buffer.truncate(start);
                return Err(error.into());
            }
        }
        let end = outbox.written + outbox.queued() as u64;
        if outbox.queued() > MAX_UNREAD {
            log::warn!("link_unread");
            self.close_locked(outbox);
            return Err(Error::Closed);
        }
        if !outbox.blocked {
            match outbox.flush() {
                Ok(()) if outbox.blocked => self.blocked.notify_one(),
                Ok(()) => {}
                Err(_) => self.close_locked(outbox),
            }
        }
        Ok(end)
    }

    /// Has the reader look for silence from now on: what has just been sent is to be answered.
    pub fn expect_answer(&self) {
        if self.resting.swap(false, Ordering::AcqRel) {
            self.due.notify_one();
        }
    }

    /// Closes the link: its reader ends and nothing more is sent.
    pub fn close(&self) {
        self.close_locked(&mut self.outbox.lock());
    }

    fn close_locked(&self, outbox: &mut Outbox) {
        if outbox.socket.take().is_some() {
            // Nothing of it is sent any more, and the link may be remembered for long.
            outbox.buffer = Vec::new();
            outbox.taken = 0;
            self.closed.notify_one();
            self.blocked.notify_one();
        }
    }

    /// Tells whether the link is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.outbox.lock().socket.is_none()
    }

    /// Waits until the socket has taken all that was sent, or the link is closed.
    pub async fn wait_flushed(&self) {
        while let Some(socket) = self.find_unflushed() {
            if socket.writable().await.is_err() {
                return;
            }
            drop(socket);
            tokio::task::yield_now().await;
        }
    }

    /// Gives the socket while it has not taken all that was sent.
    fn find_unflushed(&self) -> Option<Arc<OwnedWriteHalf>> {
        let outbox = self.outbox.lock();
        outbox.socket.clone().filter(|_| outbox.queued() > 0)
    }

    /// Gives the bytes that the socket has taken; none follow once the link is closed.
    #[must_use]
    pub fn bytes_written(&self) -> u64 {
        self.outbox.lock().written
    }
}

/// Writes what the socket did not take at once, until the link closes.
async fn write_blocked(sender: Arc<Sender>) {
    loop {
        sender.blocked.notified().await;
        while let Some(socket) = sender.find_unflushed() {
            tokio::select! {
                _ = socket.writable() => {}
                () = sender.blocked.notified() => {}
            }
            let mut outbox = sender.outbox.lock();
            if outbox.flush().is_err() {
                sender.close_locked(&mut outbox);
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

/// Takes over a connection whose hellos are done.
///
/// # Errors
///
/// When the socket's options can't be set.
pub fn open(stream: TcpStream) -> io::Result<(Arc<Sender>, Receiver)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let outbox = Outbox {
        socket: Some(Arc::new(write)),
        buffer: Vec::new(),
        taken: 0,
        written: 0,
        blocked: false,
    };
    let sender = Arc::new(Sender {
        outbox: Mutex::new(outbox),
        blocked: Notify::new(),
        closed: Notify::new(),
        resting: AtomicBool::new(false),
        due: Notify::new(),
    });
    tokio::spawn(write_blocked(Arc::clone(&sender)));
    let receiver = Receiver {
        socket: read,
        sender: Arc::clone(&sender),
    };
    Ok((sender, receiver))
}

impl Receiver {
    /// Hands each frame to `take` until the link closes, fails, falls silent or `take` breaks off.
    pub async fn run<T, W>(self, mut take: T, watch: W)
    where
        T: FnMut(Frame) -> ControlFlow<()>,
        W: Fn() -> Expected,
    {
        let mut buffer = BytesMut::new();
        let mut tick = pin!(sleep(TICK));
        let mut silent = 0;
        let mut watched = Expected::Nothing;
        loop {
            tokio::select! {
                biased;
                () = self.sender.closed.notified() => break,
                ready = self.socket.readable() => {
                    let read = self.read(&mut buffer, &mut take);
                    match read {
                        ControlFlow::Continue(has_come) if ready.is_ok() => {
                            silent = if has_come { 0 } else { silent };
                        }
                        _ => break,
                    }
                    if watched == Expected::Nothing && watch() != Expected::Nothing {
                        self.sender.expect_answer();
                    }
                }
                () = self.sender.due.notified() => {
                    silent = 0;
                    watched = watch();
                    tick.as_mut().reset(Instant::now() + TICK);
                }
                () = &mut tick => {
                    let now = self.look(&watch);
                    // Time in which nothing was due does not count as silence.
                    silent = if now == watched { silent + 1 } else { 0 };
                    watched = now;
                    if self.check_progress(silent, now).is_break() {
                        break;
                    }
                    let pause = if now == Expected::Nothing { IDLE_TICK } else { TICK };
                    tick.as_mut().reset(Instant::now() + pause);
                }
            }
        }
        self.sender.close();
    }

    /// Gives what the link is watched for now; with nothing due, the reader rests.
    fn look<W>(&self, watch: &W) -> Expected
    where
        W: Fn() -> Expected,
    {
        // Set first: whoever makes something due after the look wakes the reader.
        self.sender.resting.store(true, Ordering::Release);
        let now = watch();
        if now != Expected::Nothing {
            self.sender.resting.store(false, Ordering::Release);
        }
        now
    }

    /// Reads what has come, and hands on the whole frames of it.
    ///
    /// Room is made only now, and given back when nothing is left in it: a node of a large
    /// fleet has hundreds of links, most of which are silent at any moment.
    ///
    /// Tells whether anything has come.
    fn read<T>(&self, buffer: &mut BytesMut, take: &mut T) -> ControlFlow<(), bool>
    where
        T: FnMut(Frame) -> ControlFlow<()>,
    {
        buffer.reserve(READ_CHUNK);
        let has_come = match self.socket.try_read_buf(buffer) {
            Ok(1..) => true,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => false,
            Ok(_) | Err(_) => return ControlFlow::Break(()),
        };
        self.take_frames(buffer, take)?;
        if buffer.is_empty() {
            *buffer = BytesMut::new();
        }
        ControlFlow::Continue(has_come)
    }

    /// Gives the link up when it has been silent for too long.
    ///
    /// A connection that something on the way has lost track of takes writes
    /// for minutes and never fails; only the missing answers show it.
    fn check_progress(&self, silent: u32, watch: Expected) -> ControlFlow<()> {
        match watch {
            Expected::Answer if silent > SILENT_TICKS => {
                log::warn!("link_silent");
                ControlFlow::Break(())
            }
            Expected::Body if silent > BODY_TICKS => {
                log::warn!("link_silent");
                ControlFlow::Break(())
            }
            Expected::Answer | Expected::Body
                if silent > 1 && self.sender.send([Frame::Ping]).is_err() =>
            {
                ControlFlow::Break(())
            }
            Expected::Nothing if silent > IDLE_TICKS => ControlFlow::Break(()),
            Expected::Answer | Expected::Body | Expected::Nothing => ControlFlow::Continue(()),
        }
    }

    /// Hands on the whole frames that have come.
    fn take_frames<T>(&self, buffer: &mut BytesMut, take: &mut T) -> ControlFlow<()>
    where
        T: FnMut(Frame) -> ControlFlow<()>,
    {
        loop {
            match codec::decode(buffer) {
                Ok(Some((wire::Frame::Call(frame), used))) => {
                    buffer.advance(used);
                    if self.take(frame, take).is_break() {
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

    fn take<T>(&self, frame: Frame, take: &mut T) -> ControlFlow<()>
    where
        T: FnMut(Frame) -> ControlFlow<()>,
    {
        match frame {
            Frame::Ping if self.sender.send([Frame::Pong]).is_err() => ControlFlow::Break(()),
            Frame::Ping | Frame::Pong => ControlFlow::Continue(()),
            frame => take(frame),
        }
    }
}
