//! The socket side of control links: connecting, reading and writing.

use crate::control::tree::Input;
use crate::nodes::make_hello;
use crate::shared::Shared;
use clock::Clock;
use fleet::{LinkKey, Peer};
use prometheus_client::metrics::counter::Counter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wire::control::Frame;
use wire::{Error, Hello, Link, codec};

/// Frames that wait for a link's socket: all chunks of the largest
/// configuration and lists of 14,000 endpoints fit. They share their contents
/// with other links' queues.
const QUEUE: usize = 512;

/// Frames put together in one write.
const BATCH: usize = 32;

/// Buffer that is kept between frames; a longer one is given back.
const KEPT: usize = 16 << 10;

/// Longest wait for a link's socket to take one batch of frames.
///
/// Guards against a node that lives and reads nothing: the state machine has long
/// closed its link, and its writer stayed with the socket. The longest frame, of
/// 1 MB, takes 1.7 s at 5 Mbit/s.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The sending side of a link.
#[derive(Debug)]
pub(crate) struct Sender {
    frames: mpsc::Sender<Frame>,
    reader: JoinHandle<()>,
    writer: JoinHandle<()>,
}

impl Sender {
    /// Puts a frame in the queue; tells whether there was room.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Reads no more, and ends once all frames are out; gives the task that writes them.
    pub(crate) fn finish(self) -> JoinHandle<()> {
        self.reader.abort();
        self.writer
    }
}

/// Opens a link and exchanges hellos.
pub(crate) async fn connect<C>(
    shared: &Shared<C>,
    address: SocketAddr,
) -> Result<(TcpStream, Peer), Error>
where
    C: Clock,
{
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    codec::write(&mut stream, &make_hello(shared, Link::Control)).await?;
    let Hello { node, zone, .. } = codec::read_hello(&mut stream).await?;
    let peer = Peer {
        node,
        zone,
        address,
    };
    Ok((stream, peer))
}

/// Starts to read and write a link.
pub(crate) fn spawn<C>(
    shared: &Shared<C>,
    key: LinkKey,
    stream: TcpStream,
    inbox: mpsc::Sender<Input>,
) -> Sender
where
    C: Clock,
{
    let (frames, queue) = mpsc::channel(QUEUE);
    let (source, sink) = stream.into_split();
    let received = shared.metrics.control_received();
    let reader = tokio::spawn(async move {
        // Whatever ended it, the state machine only has to know that it did.
        drop(read(key, source, &inbox, &received).await);
        drop(inbox.send(Input::Closed { link: key }).await);
    });
    let writer = tokio::spawn(write(sink, queue, shared.metrics.control_sent()));
    Sender {
        frames,
        reader,
        writer,
    }
}

async fn read(
    key: LinkKey,
    mut source: OwnedReadHalf,
    inbox: &mpsc::Sender<Input>,
    received: &Counter,
) -> Result<(), Error> {
    let mut buffer = Vec::new();
    loop {
        if source.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let mut used = 0;
        while let Some((frame, length)) = codec::decode(&buffer[used..])? {
            used += length;
            received.inc_by(length as u64);
            let wire::Frame::Control(frame) = frame else {
                return Ok(());
            };
            if inbox.send(Input::Frame { link: key, frame }).await.is_err() {
                return Ok(());
            }
        }
        buffer.drain(..used);
        if buffer.is_empty() && buffer.capacity() > KEPT {
            buffer = Vec::new();
        }
    }
}

async fn write(mut sink: OwnedWriteHalf, mut queue: mpsc::Receiver<Frame>, sent: Counter) {
    let mut batch = Vec::new();
    let mut buffer = Vec::new();
    while queue.recv_many(&mut batch, BATCH).await > 0 {
        for frame in batch.drain(..) {
            if let Err(error) = codec::encode(&wire::Frame::Control(frame), &mut buffer) {
                log::warn!(error:%; "control_frame_too_long");
            }
            // Else a batch of long frames would be held in memory twice.
            if buffer.len() >= KEPT && flush(&mut sink, &mut buffer, &sent).await.is_err() {
                return;
            }
        }
        if flush(&mut sink, &mut buffer, &sent).await.is_err() {
            return;
        }
    }
    drop(sink.shutdown().await);
}

async fn flush(
    sink: &mut OwnedWriteHalf,
    buffer: &mut Vec<u8>,
    sent: &Counter,
) -> std::io::Result<()> {
    match tokio::time::timeout(WRITE_TIMEOUT, sink.write_all(buffer)).await {
        Ok(written) => written?,
        Err(_elapsed) => return Err(std::io::ErrorKind::TimedOut.into()),
    }
    sent.inc_by(buffer.len() as u64);
    buffer.clear();
    buffer.shrink_to(KEPT);
    Ok(())
}

/// Opens a link in a task of its own and tells the state machine how that went.
pub(crate) fn dial<C>(
    shared: &Arc<Shared<C>>,
    key: LinkKey,
    address: SocketAddr,
    inbox: mpsc::Sender<Input>,
) where
    C: Clock,
{
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let opened =
            tokio::time::timeout(fleet::link::DIAL_TIMEOUT, connect(&shared, address)).await;
        let input = match opened {
            Ok(Ok((stream, peer))) => Input::Connected {
                link: key,
                stream,
                peer,
            },
            Ok(Err(_)) | Err(_) => Input::Closed { link: key },
        };
        // The node may have ended meanwhile.
        drop(inbox.send(input).await);
    });
}
