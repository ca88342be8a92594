//! Links over which nodes send claims and outcomes to the owner of a shard.
//!
//! Keyed calls are rare at any single node, so a link is closed soon after its
//! last request: an owner serves the whole fleet and can't keep a link open to
//! each of its nodes.

use crate::reserve::shard::{Command, Outcome};
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

/// Maximum time to connect and exchange hellos.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time until the owner acknowledges a claim.
///
/// An owner acknowledges a claim before any other work, so a missing
/// acknowledgement means that the owner has stopped or the connection is dead.
const ACK_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time until an outcome that was sent to the owner is on the platform. The owner collects
/// outcomes for half a second, and can write none while the platform is away.
const WRITTEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without requests after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time to write a frame to the socket.
///
/// Guards against a node that is alive but does not read: without the limit, the
/// link to it and the frames queued for it are held for as long as it is stalled.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of requests that wait for a link to open; further requests are sent elsewhere.
const MAX_QUEUED_REQUESTS: usize = 1_024;

/// Maximum number of frames queued for or from the socket of a link.
const MAX_QUEUED_FRAMES: usize = 256;

/// A request to send over a link to an owner.
#[derive(Debug)]
enum Request {
    Claim(Claim, oneshot::Sender<Reply>),
    Outcome(Outcome),
    /// Hands all outcomes that are not known to be on the platform to the shards of this node, and
    /// signals the channel.
    Flush(oneshot::Sender<()>),
}

/// A link to the owner of a shard; clones share the connection.
#[derive(Debug, Clone)]
pub(crate) struct OwnerLink {
    requests: mpsc::Sender<Request>,
}

impl OwnerLink {
    /// Opens a link to the owner at `address`; requests are queued until it is connected.
    ///
    /// Outcomes that the owner has not written when the link ends go to `shards`, those of this
    /// node: an owner that stops may have received them after its last record.
    pub(crate) fn open(
        address: SocketAddr,
        hello: Hello,
        shards: Arc<[mpsc::Sender<Command>]>,
    ) -> Self {
        let (requests, mut queued) = mpsc::channel(MAX_QUEUED_REQUESTS);
        tokio::spawn(async move {
            let mut sent = SentRequests::new(shards);
            if let Err(error) = run_link(address, &hello, &mut queued, &mut sent).await {
                log::debug!(owner:% = address, error:%; "reserve_link_ended");
            }
            queued.close();
            while let Ok(request) = queued.try_recv() {
                if let Request::Outcome(outcome) = request {
                    queue_outcome(outcome, &sent.shards);
                }
            }
            sent.hand_over_outcomes();
        });
        Self { requests }
    }

    /// Returns whether the link has ended, so that a new one is needed.
    pub(crate) fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Sends a claim and waits for the reply; returns `None` if the owner did not answer.
    pub(crate) async fn claim(&self, claim: Claim) -> Option<Reply> {
        let (sender, reply) = oneshot::channel();
        self.requests.try_send(Request::Claim(claim, sender)).ok()?;
        reply.await.ok()
    }

    /// Queues a completion or a release; returns it as an error if the link can't take it.
    pub(crate) fn send_outcome(&self, outcome: Outcome) -> Result<(), Outcome> {
        match self.requests.try_reserve() {
            Ok(permit) => {
                permit.send(Request::Outcome(outcome));
                Ok(())
            }
            Err(_) => Err(outcome),
        }
    }

    /// Waits until this node's shards have all outcomes of earlier requests that are not known to
    /// be on the platform, or the link has ended.
    pub(crate) async fn flush(&self) {
        let (done, flushed) = oneshot::channel();
        if self.requests.send(Request::Flush(done)).await.is_ok() {
            drop(flushed.await);
        }
    }
}

/// A claim that has been sent and not answered yet.
#[derive(Debug)]
struct SentClaim {
    claim: Claim,
    reply: oneshot::Sender<Reply>,
    sent_at: Instant,
    acknowledged: bool,
}

/// An outcome that has been sent and is not known to be on the platform yet.
#[derive(Debug)]
struct SentOutcome {
    outcome: Outcome,
    sent_at: Instant,
}

/// The requests of a link that the owner has not answered yet, by serial.
#[derive(Debug)]
struct SentRequests {
    claims: HashMap<u64, SentClaim>,
    outcomes: HashMap<u64, SentOutcome>,
    last_serial: u64,
    /// The shards of this node.
    shards: Arc<[mpsc::Sender<Command>]>,
}

impl SentRequests {
    fn new(shards: Arc<[mpsc::Sender<Command>]>) -> Self {
        Self {
            claims: HashMap::new(),
            outcomes: HashMap::new(),
            last_serial: 0,
            shards,
        }
    }

    fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.outcomes.is_empty()
    }

    /// Returns when the owner counts as gone unless it answers before.
    fn answer_deadline(&self) -> Option<Instant> {
        let unacknowledged = self.claims.values().filter(|sent| !sent.acknowledged);
        let claims = unacknowledged.map(|sent| sent.sent_at + ACK_TIMEOUT);
        let outcomes = self.outcomes.values();
        let outcomes = outcomes.map(|sent| sent.sent_at + WRITTEN_TIMEOUT);
        claims.chain(outcomes).min()
    }

    /// Hands all outcomes that are not known to be on the platform to the shards of this node. An
    /// outcome that is written twice has the effect of one.
    fn hand_over_outcomes(&mut self) {
        for (_, sent) in self.outcomes.drain() {
            queue_outcome(sent.outcome, &self.shards);
        }
    }

    /// Registers an outcome, and returns the frame to write for it.
    fn add_outcome(&mut self, outcome: Outcome) -> Frame {
        self.last_serial += 1;
        let serial = self.last_serial;
        let (entry, is_awaited) = (outcome.entry.clone(), outcome.is_awaited);
        let sent_at = Instant::now();
        self.outcomes
            .insert(serial, SentOutcome { outcome, sent_at });
        Frame::Outcome {
            serial,
            entry,
            is_awaited,
        }
    }
}

async fn connect(address: SocketAddr, hello: &Hello) -> Result<TcpStream, wire::Error> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    codec::write(&mut stream, hello).await?;
    codec::read_hello(&mut stream).await?;
    Ok(stream)
}

/// Runs a link until it is idle, closed or no longer answered by the owner.
///
/// When this returns, the reply channels of unanswered claims are dropped, so
/// that nothing waits for them any longer.
async fn run_link(
    address: SocketAddr,
    hello: &Hello,
    requests: &mut mpsc::Receiver<Request>,
    sent: &mut SentRequests,
) -> Result<(), wire::Error> {
    let Ok(stream) = timeout(CONNECT_TIMEOUT, connect(address, hello)).await else {
        return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into());
    };
    let (reader, mut writer) = stream?.into_split();
    let (frames, mut received) = mpsc::channel(MAX_QUEUED_FRAMES);
    let reader = tokio::spawn(read_frames(reader, frames));
    let result = exchange_frames(requests, &mut received, &mut writer, sent).await;
    reader.abort();
    sent.claims.clear();
    result
}

async fn exchange_frames(
    requests: &mut mpsc::Receiver<Request>,
    received: &mut mpsc::Receiver<Frame>,
    writer: &mut OwnedWriteHalf,
    sent: &mut SentRequests,
) -> Result<(), wire::Error> {
    let mut last_used = Instant::now();
    loop {
        let answer_deadline = sent.answer_deadline();
        let end = match answer_deadline {
            Some(deadline) => deadline,
            None if sent.is_empty() => last_used + IDLE_TIMEOUT,
            None => Instant::now() + IDLE_TIMEOUT,
        };
        tokio::select! {
            request = requests.recv() => {
                let Some(request) = request else { return Ok(()) };
                last_used = Instant::now();
                if let Some(frame) = handle_request(request, sent) {
                    write(writer, frame, ACK_TIMEOUT).await?;
                }
            }
            frame = received.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                if let Some(release) = handle_frame(frame, sent) {
                    write(writer, release, ACK_TIMEOUT).await?;
                }
            }
            () = tokio::time::sleep_until(end) => {
                if answer_deadline.is_some() || sent.is_empty() {
                    return Ok(());
                }
            }
        }
    }
}

/// Registers a request, and returns the frame to write for it, if any.
fn handle_request(request: Request, sent: &mut SentRequests) -> Option<Frame> {
    match request {
        Request::Claim(claim, reply) => {
            sent.last_serial += 1;
            let serial = sent.last_serial;
            let pending = SentClaim {
                claim,
                reply,
                sent_at: Instant::now(),
                acknowledged: false,
            };
            sent.claims.insert(serial, pending);
            Some(Frame::Claim { serial, claim })
        }
        Request::Outcome(outcome) => Some(sent.add_outcome(outcome)),
        Request::Flush(done) => {
            sent.hand_over_outcomes();
            // Fails only if the receiver has stopped waiting, which is harmless.
            let _sent = done.send(());
            None
        }
    }
}

/// Handles a frame from the owner.
///
/// Returns the release to write if the owner has granted a claim that nothing
/// waits for any longer.
fn handle_frame(frame: Frame, sent: &mut SentRequests) -> Option<Frame> {
    match frame {
        Frame::Acknowledged { serial } => {
            sent.claims.get_mut(&serial)?.acknowledged = true;
            None
        }
        Frame::Reply { serial, reply } => {
            let SentClaim {
                claim,
                reply: sender,
                ..
            } = sent.claims.remove(&serial)?;
            let granted = reply == Reply::Granted;
            let abandoned = sender.send(reply).is_err();
            let release = Entry::Release {
                key: claim.key,
                holder: claim.holder,
            };
            (abandoned && granted).then(|| sent.add_outcome(Outcome::new(release)))
        }
        Frame::Written { serial } => {
            let written = sent.outcomes.remove(&serial)?.outcome.written;
            // Fails only if the receiver has stopped waiting, which is harmless.
            let _sent = written.map(|written| written.send(()));
            None
        }
        Frame::Claim { .. } | Frame::Outcome { .. } => None,
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

/// Serves a link from a node that considers this node the owner, until the link is idle.
pub(crate) async fn serve(stream: TcpStream, shards: Arc<[mpsc::Sender<Command>]>) {
    let (reader, writer) = stream.into_split();
    let (frames, mut received) = mpsc::channel(MAX_QUEUED_FRAMES);
    let reader = tokio::spawn(read_frames(reader, frames));
    let (replies, queued) = mpsc::channel(MAX_QUEUED_FRAMES);
    let writer = tokio::spawn(write_frames(writer, queued));
    // Normally the other side closes an idle link first; the timeout, twice as
    // long, ends links to nodes that have died.
    while let Ok(Some(frame)) = timeout(2 * IDLE_TIMEOUT, received.recv()).await {
        match frame {
            Frame::Claim { serial, claim } => serve_claim(serial, claim, &shards, &replies).await,
            Frame::Outcome {
                serial,
                entry,
                is_awaited,
            } => {
                let outcome = Outcome {
                    is_awaited,
                    ..Outcome::new(entry)
                };
                serve_outcome(serial, outcome, &shards, &replies);
            }
            Frame::Acknowledged { .. } | Frame::Reply { .. } | Frame::Written { .. } => break,
        }
    }
    reader.abort();
    // Outstanding replies wait for the platform, possibly long after the other
    // node has closed the link. Waiting for them would leave the socket half
    // closed (CLOSE-WAIT) for all that time.
    writer.abort();
}

async fn serve_claim(
    serial: u64,
    claim: Claim,
    shards: &[mpsc::Sender<Command>],
    replies: &mpsc::Sender<Frame>,
) {
    let (sender, receiver) = oneshot::channel();
    let shard = &shards[usize::from(claim.key.shard())];
    if shard.try_send(Command::Claim(claim, sender)).is_err() {
        return;
    }
    drop(replies.send(Frame::Acknowledged { serial }).await);
    let replies = replies.clone();
    tokio::spawn(async move {
        if let Ok(reply) = receiver.await {
            drop(replies.send(Frame::Reply { serial, reply }).await);
        }
    });
}

fn serve_outcome(
    serial: u64,
    outcome: Outcome,
    shards: &[mpsc::Sender<Command>],
    replies: &mpsc::Sender<Frame>,
) {
    let (written, receipt) = oneshot::channel();
    let outcome = Outcome {
        written: Some(written),
        ..outcome
    };
    queue_outcome(outcome, shards);
    let replies = replies.clone();
    tokio::spawn(async move {
        if receipt.await.is_ok() {
            drop(replies.send(Frame::Written { serial }).await);
        }
    });
}

/// Queues a completion or a release at its shard.
///
/// If the queue is full, the outcome is lost, and repeats of the call get "may
/// have run".
pub(crate) fn queue_outcome(outcome: Outcome, shards: &[mpsc::Sender<Command>]) {
    if let Entry::Complete { key, .. } | Entry::Release { key, .. } = &outcome.entry {
        let shard = &shards[usize::from(key.shard())];
        drop(shard.try_send(Command::Outcome(outcome)));
    }
}

async fn write_frames(mut writer: OwnedWriteHalf, mut queued: mpsc::Receiver<Frame>) {
    while let Some(frame) = queued.recv().await {
        if let Err(error) = write(&mut writer, frame, WRITE_TIMEOUT).await {
            log::debug!(error:%; "reserve_link_ended");
            return;
        }
    }
}

/// Writes a frame; fails with a timeout if the socket does not accept it within `limit`.
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
