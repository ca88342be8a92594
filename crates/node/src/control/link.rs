//! Sockets of control links: connecting, reading and writing.

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
use wire::{Error, Hello, LinkKind, codec};

/// Capacity of a link's send queue in frames: enough for all chunks of the largest configuration
/// and for the lists of 14,000 endpoints. Queued frames share their contents with the queues of
/// other links.
const SEND_QUEUE_LENGTH: usize = 512;

/// Maximum number of frames that are taken from the send queue at once.
const MAX_BATCH_LENGTH: usize = 32;

/// Maximum size in bytes of a buffer that is kept between frames; larger ones are freed.
const MAX_KEPT_BUFFER_BYTES: usize = 16 << 10;

/// Timeout for one write to a link's socket.
///
/// Guards against a peer that runs but reads nothing: without the timeout, the writer task and the
/// socket would remain long after the state machine has closed the link. The longest frame, of
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
    /// Adds a frame to the send queue; returns false if the queue is full or the link has ended.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Stops reading, and closes the link once all queued frames are written; returns the task that
    /// writes them.
    pub(crate) fn close(self) -> JoinHandle<()> {
        self.reader.abort();
        self.writer
    }
}

/// Connects to a peer and exchanges hellos.
pub(crate) async fn connect<C>(
    shared: &Shared<C>,
    address: SocketAddr,
) -> Result<(TcpStream, Peer), Error>
where
    C: Clock,
{
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    codec::write(&mut stream, &make_hello(shared, LinkKind::Control)).await?;
    let Hello { node, zone, .. } = codec::read_hello(&mut stream).await?;
    let peer = Peer {
        node,
        zone,
        address,
    };
    Ok((stream, peer))
}

/// Starts the tasks that read and write a link.
pub(crate) fn spawn<C>(
    shared: &Shared<C>,
    key: LinkKey,
    stream: TcpStream,
    inbox: mpsc::Sender<Input>,
) -> Sender
where
    C: Clock,
{
    let (frames, queue) = mpsc::channel(SEND_QUEUE_LENGTH);
    let (source, sink) = stream.into_split();
    let received_bytes = shared.metrics.control_received();
    let reader = tokio::spawn(async move {
        // The state machine handles all ends of a link alike, so the error is dropped.
        drop(read(key, source, &inbox, &received_bytes).await);
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
    received_bytes: &Counter,
) -> Result<(), Error> {
    let mut buffer = Vec::new();
    loop {
        if source.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let mut used = 0;
        while let Some((frame, length)) = codec::decode(&buffer[used..])? {
            used += length;
            received_bytes.inc_by(length as u64);
            let wire::Frame::Control(frame) = frame else {
                return Ok(());
            };
            if inbox.send(Input::Frame { link: key, frame }).await.is_err() {
                return Ok(());
            }
        }
        buffer.drain(..used);
        if buffer.is_empty() && buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
            buffer = Vec::new();
        }
    }
}

async fn write(mut sink: OwnedWriteHalf, mut queue: mpsc::Receiver<Frame>, sent: Counter) {
    let mut batch = Vec::new();
    let mut buffer = Vec::new();
    while queue.recv_many(&mut batch, MAX_BATCH_LENGTH).await > 0 {
        for frame in batch.drain(..) {
            if let Err(error) = codec::encode(&wire::Frame::Control(frame), &mut buffer) {
                log::warn!(error:%; "control_frame_too_long");
            }
            // Long frames are written at once: a whole batch of them would otherwise be held in
            // memory twice.
            if buffer.len() >= MAX_KEPT_BUFFER_BYTES
                && flush(&mut sink, &mut buffer, &sent).await.is_err()
            {
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
    buffer.shrink_to(MAX_KEPT_BUFFER_BYTES);
    Ok(())
}

/// Opens a link in a separate task and sends the result to the state machine.
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
        // Sending fails only if the node has stopped in the meantime.
        drop(inbox.send(input).await);
    });
}
