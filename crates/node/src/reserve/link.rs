//! Links on which nodes ask the owner of a shard.
//!
//! Keyed calls are rare at any one node, so that a link is closed soon after
//! its last question: an owner serves the whole fleet and can't hold a link to
//! each of its nodes.

use crate::reserve::shard::Order;
use call::reserve::{Claim, Entry, Reply};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use wire::reserve::Frame;
use wire::{Hello, codec};

/// Longest wait for a connection and both hellos.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the owner to say that it has heard a question. It does so
/// before any other work; a stopped one or a silent connection does not.
const HEARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without questions after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the other side's socket to take a frame.
///
/// Guards against a node that lives and reads nothing: the link to it, and what
/// waited for it, were held for as long as it stood still.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Questions that wait for a link to open; more go another way.
const MAX_WAITING: usize = 1_024;

/// Frames that wait for the socket of a link.
const MAX_FRAMES: usize = 256;

/// What goes over a link to an owner.
#[derive(Debug)]
enum Question {
    Claim(Claim, oneshot::Sender<Reply>),
    Note(Entry),
    /// Asks to be told when all before it is on its way.
    Flush(oneshot::Sender<()>),
}

/// A link to an owner, from its first question to its last.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    questions: mpsc::Sender<Question>,
}

impl Peer {
    /// Starts to connect to the owner at `address`.
    pub(crate) fn open(address: SocketAddr, hello: Hello) -> Self {
        let (questions, waiting) = mpsc::channel(MAX_WAITING);
        tokio::spawn(async move {
            if let Err(error) = ask(address, &hello, waiting).await {
                log::debug!(owner:% = address, error:%; "reserve_link_ended");
            }
        });
        Self { questions }
    }

    /// Tells whether the link has ended; a new one is needed then.
    pub(crate) fn is_closed(&self) -> bool {
        self.questions.is_closed()
    }

    /// Asks for a key; `None` when the owner did not answer.
    pub(crate) async fn claim(&self, claim: Claim) -> Option<Reply> {
        let (reply, told) = oneshot::channel();
        self.questions
            .try_send(Question::Claim(claim, reply))
            .ok()?;
        told.await.ok()
    }

    /// Tells the owner of a completion or a release; gives it back when the link can't take it.
    pub(crate) fn note(&self, entry: Entry) -> Result<(), Entry> {
        match self.questions.try_reserve() {
            Ok(place) => {
                place.send(Question::Note(entry));
                Ok(())
            }
            Err(_) => Err(entry),
        }
    }

    /// Waits until all that was noted before is on its way, or the link has ended.
    pub(crate) async fn flush(&self) {
        let (done, waits) = oneshot::channel();
        if self.questions.send(Question::Flush(done)).await.is_ok() {
            drop(waits.await);
        }
    }
}

/// A claim on its way.
#[derive(Debug)]
struct Sent {
    claim: Claim,
    reply: oneshot::Sender<Reply>,
    at: Instant,
    heard: bool,
}

async fn connect(address: SocketAddr, hello: &Hello) -> Result<TcpStream, wire::Error> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    codec::write(&mut stream, hello).await?;
    codec::read_hello(&mut stream).await?;
    Ok(stream)
}

/// Asks the owner until there is nothing more to ask, or it falls silent.
///
/// All that wait for a reply are told by the end of this that there is none.
async fn ask(
    address: SocketAddr,
    hello: &Hello,
    mut questions: mpsc::Receiver<Question>,
) -> Result<(), wire::Error> {
    let Ok(stream) = timeout(OPEN_TIMEOUT, connect(address, hello)).await else {
        return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into());
    };
    let (reader, mut writer) = stream?.into_split();
    let (frames, mut came) = mpsc::channel(MAX_FRAMES);
    let reader = tokio::spawn(read_frames(reader, frames));
    let mut sent = HashMap::new();
    let outcome = ask_all(&mut questions, &mut came, &mut writer, &mut sent).await;
    reader.abort();
    outcome
}

async fn ask_all(
    questions: &mut mpsc::Receiver<Question>,
    came: &mut mpsc::Receiver<Frame>,
    writer: &mut OwnedWriteHalf,
    sent: &mut HashMap<u64, Sent>,
) -> Result<(), wire::Error> {
    let mut serial = 0;
    let mut used = Instant::now();
    loop {
        let silent = sent
            .values()
            .filter(|sent| !sent.heard)
            .map(|sent| sent.at)
            .min();
        let end = match silent {
            Some(at) => at + HEARD_TIMEOUT,
            None if sent.is_empty() => used + IDLE_TIMEOUT,
            None => Instant::now() + IDLE_TIMEOUT,
        };
        tokio::select! {
            question = questions.recv() => {
                let Some(question) = question else { return Ok(()) };
                used = Instant::now();
                serial += 1;
                if let Some(frame) = put_question(question, serial, sent) {
                    write(writer, frame, HEARD_TIMEOUT).await?;
                }
            }
            frame = came.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                if let Some(release) = take_frame(frame, sent) {
                    write(writer, release, HEARD_TIMEOUT).await?;
                }
            }
            () = tokio::time::sleep_until(end) => {
                if silent.is_some() || sent.is_empty() {
                    return Ok(());
                }
            }
        }
    }
}

fn put_question(question: Question, serial: u64, sent: &mut HashMap<u64, Sent>) -> Option<Frame> {
    match question {
        Question::Claim(claim, reply) => {
            let at = Instant::now();
            let heard = false;
            sent.insert(
                serial,
                Sent {
                    claim,
                    reply,
                    at,
                    heard,
                },
            );
            Some(Frame::Claim { serial, claim })
        }
        Question::Note(entry) => Some(Frame::Note(entry)),
        Question::Flush(done) => {
            // Whoever waited has lost patience; nothing is lost by that.
            let _told = done.send(());
            None
        }
    }
}

/// Hands a reply on; when nobody waits for it any more, gives the release of what it granted.
fn take_frame(frame: Frame, sent: &mut HashMap<u64, Sent>) -> Option<Frame> {
    match frame {
        Frame::Heard { serial } => {
            sent.get_mut(&serial)?.heard = true;
            None
        }
        Frame::Reply { serial, reply } => {
            let Sent {
                claim,
                reply: waits,
                ..
            } = sent.remove(&serial)?;
            let granted = reply == Reply::Granted;
            let left = waits.send(reply).is_err();
            (left && granted).then_some(Frame::Note(Entry::Release {
                key: claim.key,
                holder: claim.holder,
            }))
        }
        Frame::Claim { .. } | Frame::Note(_) => None,
    }
}

async fn read_frames(mut reader: OwnedReadHalf, frames: mpsc::Sender<Frame>) {
    let mut scratch = Vec::new();
    while let Ok(wire::Frame::Reserve(frame)) = codec::read(&mut reader, &mut scratch).await {
        if frames.send(frame).await.is_err() {
            return;
        }
    }
}

/// Serves a link of a node that takes this one for the owner, until it is idle.
pub(crate) async fn serve(stream: TcpStream, shards: Arc<[mpsc::Sender<Order>]>) {
    let (reader, writer) = stream.into_split();
    let (frames, mut came) = mpsc::channel(MAX_FRAMES);
    let reader = tokio::spawn(read_frames(reader, frames));
    let (replies, waiting) = mpsc::channel(MAX_FRAMES);
    let writer = tokio::spawn(write_frames(writer, waiting));
    // The other side closes first; this is for one that died.
    while let Ok(Some(frame)) = timeout(2 * IDLE_TIMEOUT, came.recv()).await {
        match frame {
            Frame::Claim { serial, claim } => serve_claim(serial, claim, &shards, &replies).await,
            Frame::Note(entry) => pass_note(entry, &shards),
            Frame::Heard { .. } | Frame::Reply { .. } => break,
        }
    }
    reader.abort();
    // What is still to be told waits for the platform, for longer than the node
    // that asked stays: its socket stood half closed meanwhile.
    writer.abort();
}

async fn serve_claim(
    serial: u64,
    claim: Claim,
    shards: &[mpsc::Sender<Order>],
    replies: &mpsc::Sender<Frame>,
) {
    let (reply, told) = oneshot::channel();
    let shard = &shards[usize::from(claim.key.shard())];
    if shard.try_send(Order::Claim(claim, reply)).is_err() {
        return;
    }
    drop(replies.send(Frame::Heard { serial }).await);
    let replies = replies.clone();
    tokio::spawn(async move {
        if let Ok(reply) = told.await {
            drop(replies.send(Frame::Reply { serial, reply }).await);
        }
    });
}

/// Hands a completion or a release to its shard; one that is lost leaves its key "may have run".
pub(crate) fn pass_note(entry: Entry, shards: &[mpsc::Sender<Order>]) {
    if let Entry::Complete { key, .. } | Entry::Release { key, .. } = &entry {
        let shard = &shards[usize::from(key.shard())];
        drop(shard.try_send(Order::Note(entry)));
    }
}

async fn write_frames(mut writer: OwnedWriteHalf, mut waiting: mpsc::Receiver<Frame>) {
    while let Some(frame) = waiting.recv().await {
        if let Err(error) = write(&mut writer, frame, WRITE_TIMEOUT).await {
            log::debug!(error:%; "reserve_link_ended");
            return;
        }
    }
}

/// Writes a frame, if the other side takes it in time.
async fn write(
    writer: &mut OwnedWriteHalf,
    frame: Frame,
    limit: Duration,
) -> Result<(), wire::Error> {
    let frame = wire::Frame::Reserve(frame);
    match timeout(limit, codec::write(writer, &frame)).await {
        Ok(written) => written,
        Err(_elapsed) => Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into()),
    }
}
