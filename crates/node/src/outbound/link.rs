//! Links from the outbound proxy to the nodes of other backend servers.

use crate::link::{self, Expected, Receiver, Sender};
use crate::outbound::attempt::Attempt;
use crate::outbound::peer::Peer;
use crate::outbound::reports::ServerReports;
use crate::outbound::resolve::{EndedLink, resolve_all, resolve_known};
use call::{Id, Verdict};
use parking_lot::{Mutex, RwLock};
use smol_str::SmolStr;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use wire::call::{
    Answer, Estimate, Frame, LoadProbe, Reason, Refusal, Request, TokenGrant, TokenRequest,
};
use wire::{Hello, codec};

/// Timeout for connecting to a peer and receiving its hello.
///
/// Connecting takes about 1 ms within a region. A lost first packet is
/// retransmitted after one second; callers should not wait longer than that.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The peer table is swept each time that it has grown by this number of peers. A sweep removes the
/// peers that have neither a link nor a call.
const PEERS_PER_SWEEP: usize = 512;

/// Maximum number of finished attempts kept to be reported to the peer with the next request.
///
/// Further finished attempts are not reported. The peer drops them by age, which costs it only
/// memory.
const MAX_FINISHED_ATTEMPTS: usize = 256;

/// Number of shards of a link's attempt table, each with its own lock.
const SHARD_COUNT: usize = 8;

/// The links of one outbound proxy, at most one open link per peer.
#[derive(Debug)]
pub(crate) struct LinkPool {
    hello: Hello,
    reports: Arc<ServerReports>,
    next_sequence: AtomicU64,
    next_link_number: AtomicU64,
    peers: RwLock<HashMap<SocketAddr, Arc<Peer>>>,
    ended: mpsc::UnboundedSender<EndedLink>,
}

/// An established link to the node of a backend server.
#[derive(Debug)]
pub(crate) struct Link {
    number: u64,
    pub(crate) incarnation: u64,
    pub(crate) node: SmolStr,
    sender: Arc<Sender>,
    attempts: [Mutex<HashMap<u64, Arc<Attempt>>>; SHARD_COUNT],
    leaving: AtomicBool,
    next_probe_serial: AtomicU64,
    /// Load probes that wait for a reply, by serial number.
    pending_probes: Mutex<HashMap<u64, oneshot::Sender<Estimate>>>,
    /// Requests for tokens that wait for a reply, by serial number.
    pending_tokens: Mutex<HashMap<u64, oneshot::Sender<TokenGrant>>>,
    /// Finished attempts that have not been reported to the peer yet.
    finished: Mutex<Vec<u64>>,
    reports: Arc<ServerReports>,
}

/// A load probe that has been sent; dropping it discards the reply.
#[derive(Debug)]
pub(crate) struct PendingProbe<'a> {
    link: &'a Link,
    serial: u64,
    receiver: oneshot::Receiver<Estimate>,
}

impl PendingProbe<'_> {
    /// Waits for the reply; `None` when the link ends first.
    pub(crate) async fn estimate(mut self) -> Option<Estimate> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for PendingProbe<'_> {
    fn drop(&mut self) {
        self.link.pending_probes.lock().remove(&self.serial);
    }
}

/// A request for tokens that has been sent; dropping it discards the reply.
#[derive(Debug)]
pub(crate) struct PendingTokens<'a> {
    link: &'a Link,
    serial: u64,
    receiver: oneshot::Receiver<TokenGrant>,
}

impl PendingTokens<'_> {
    /// Waits for the reply; `None` when the link ends first.
    pub(crate) async fn reply(mut self) -> Option<TokenGrant> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for PendingTokens<'_> {
    fn drop(&mut self) {
        self.link.pending_tokens.lock().remove(&self.serial);
    }
}

impl Link {
    fn shard(&self, id: Id) -> &Mutex<HashMap<u64, Arc<Attempt>>> {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "only the low bits choose the shard"
        )]
        &self.attempts[id.sequence as usize % SHARD_COUNT]
    }

    fn is_idle(&self) -> bool {
        self.attempts.iter().all(|shard| shard.lock().is_empty())
            && self.pending_probes.lock().is_empty()
            && self.pending_tokens.lock().is_empty()
    }

    /// Sends a load probe for a call; `None` when the link is closed.
    pub(crate) fn probe(&self, mut probe: LoadProbe) -> Option<PendingProbe<'_>> {
        let serial = self.next_probe_serial.fetch_add(1, Ordering::Relaxed);
        probe.serial = serial;
        let (sender, receiver) = oneshot::channel();
        self.pending_probes.lock().insert(serial, sender);
        let pending = PendingProbe {
            link: self,
            serial,
            receiver,
        };
        // An early return drops `pending`, which unregisters the probe.
        self.sender.send([Frame::LoadProbe(probe)]).ok()?;
        self.sender.expect_answer();
        Some(pending)
    }

    /// Requests tokens of a team's limit; `None` when the link is closed.
    pub(crate) fn request_tokens(&self, mut request: TokenRequest) -> Option<PendingTokens<'_>> {
        let serial = self.next_probe_serial.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.pending_tokens.lock().insert(serial, sender);
        let pending = PendingTokens {
            link: self,
            serial,
            receiver,
        };
        request.serial = serial;
        // An early return drops `pending`, which unregisters the request.
        self.sender.send([Frame::TokenRequest(request)]).ok()?;
        self.sender.expect_answer();
        Some(pending)
    }

    /// Returns whether the peer has announced that it refuses new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Removes an attempt from the table.
    pub(crate) fn forget(&self, id: Id) {
        self.shard(id).lock().remove(&id.sequence);
    }

    /// Queries the outcome of an attempt that was sent over an earlier link to the same process.
    pub(crate) fn query_outcome(&self, attempt: &Arc<Attempt>) {
        let id = attempt.id;
        self.shard(id)
            .lock()
            .insert(id.sequence, Arc::clone(attempt));
        let progress = attempt.move_to(Arc::clone(&self.sender));
        let query = Frame::QueryOutcome {
            id,
            previous_link: attempt.link_number,
            head_received: progress.head_received,
            received: progress.received,
            window: u32::try_from(progress.window).unwrap_or(u32::MAX),
        };
        if self.sender.send([query]).is_err() {
            self.forget(id);
            attempt.fail(Verdict::MayHaveRun, Reason::Backend);
        }
        self.sender.expect_answer();
    }

    /// Returns whether the link is closed, so that nothing more can be sent.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    fn take_attempts(&self) -> Vec<Arc<Attempt>> {
        let shards = self.attempts.iter();
        shards
            .flat_map(|shard| std::mem::take(&mut *shard.lock()).into_values())
            .collect()
    }

    /// Passes a frame to its attempt; frames of unknown attempts are dropped.
    ///
    /// Sequence numbers of attempts are never reused, so a late or duplicate frame matches no
    /// attempt and cannot reach another caller.
    fn handle_frame(&self, frame: Frame) -> ControlFlow<()> {
        // Recorded even if no call waits for the frame any more.
        match &frame {
            Frame::Estimate(Estimate { report, .. }) | Frame::Answer(Answer { report, .. }) => {
                self.reports.record(&self.node, *report);
            }
            // Most refusals say nothing of the backend server.
            Frame::Refusal(Refusal { report, .. }) if report.is_some() => {
                self.reports.record(&self.node, *report);
            }
            _ => {}
        }
        if let Frame::Estimate(estimate) = frame {
            if let Some(sender) = self.pending_probes.lock().remove(&estimate.serial) {
                // Fails if the call that sent the probe no longer waits for the reply.
                drop(sender.send(estimate));
            }
            return ControlFlow::Continue(());
        }
        if let Frame::TokenGrant(grant) = frame {
            if let Some(sender) = self.pending_tokens.lock().remove(&grant.serial) {
                // Fails if the node no longer waits for the reply.
                drop(sender.send(grant));
            }
            return ControlFlow::Continue(());
        }
        let id = match &frame {
            Frame::Leaving(leaving) => {
                self.leaving.store(*leaving, Ordering::Relaxed);
                return ControlFlow::Continue(());
            }
            Frame::Answer(answer) => answer.id,
            Frame::Refusal(refusal) => refusal.id,
            Frame::Body { id, .. } | Frame::Credit { id, .. } => *id,
            _ => return ControlFlow::Break(()),
        };
        let Some(attempt) = self.shard(id).lock().get(&id.sequence).map(Arc::clone) else {
            return ControlFlow::Continue(());
        };
        if !attempt.handle_frame(frame) {
            return ControlFlow::Break(());
        }
        if attempt.is_finished() {
            self.forget(id);
            let mut finished = self.finished.lock();
            if finished.len() < MAX_FINISHED_ATTEMPTS {
                finished.push(id.sequence);
            }
        }
        ControlFlow::Continue(())
    }
}

impl LinkPool {
    pub(crate) fn spawn(hello: Hello, reports: Arc<ServerReports>) -> Arc<Self> {
        let (ended, receiver) = mpsc::unbounded_channel();
        let links = Arc::new(Self {
            hello,
            reports,
            next_sequence: AtomicU64::new(1),
            next_link_number: AtomicU64::new(1),
            peers: RwLock::default(),
            ended,
        });
        tokio::spawn(resolve_all(Arc::downgrade(&links), receiver));
        links
    }

    /// Returns the identity of the next attempt.
    pub(crate) fn next_id(&self) -> Id {
        Id {
            origin: self.hello.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        if let Some(peer) = self.peers.read().get(&address) {
            return Arc::clone(peer);
        }
        let mut peers = self.peers.write();
        if peers.len() % PEERS_PER_SWEEP == PEERS_PER_SWEEP - 1 {
            peers.retain(|_, peer| Arc::strong_count(peer) > 1);
        }
        let peer = peers.entry(address).or_insert_with(|| Peer::new(address));
        Arc::clone(peer)
    }

    /// Returns the open link to a node, if there is one.
    pub(crate) fn find_open(&self, address: SocketAddr) -> Option<Arc<Link>> {
        self.peers.read().get(&address)?.open_link()
    }

    /// Returns the open link to a node, connecting when there is none.
    ///
    /// # Errors
    ///
    /// Fails if the node can't be reached; no request has been sent then.
    pub(crate) async fn get_or_connect(
        self: &Arc<Self>,
        address: SocketAddr,
    ) -> Result<Arc<Link>, wire::Error> {
        let peer = self.peer(address);
        if let Some(link) = peer.open_link() {
            return Ok(link);
        }
        self.connect(&peer).await
    }

    /// Returns the open link to a peer, connecting when there is none.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        peer: &Arc<Peer>,
    ) -> Result<Arc<Link>, wire::Error> {
        let _single = peer.connecting.lock().await;
        if let Some(link) = peer.open_link() {
            return Ok(link);
        }
        if let Some(kind) = peer.recent_failure() {
            return Err(io::Error::from(kind).into());
        }
        let connecting = peer.begin_connect();
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.establish(peer.address)).await;
        let opened =
            opened.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()));
        connecting.finish();
        let (link, receiver) = opened.inspect_err(|error| peer.record_failure(error))?;
        *peer.current_link.lock() = Some(Arc::clone(&link));
        let ended = self.ended.clone();
        tokio::spawn(run_link(
            Arc::clone(peer),
            Arc::clone(&link),
            receiver,
            ended,
        ));
        Ok(link)
    }

    async fn establish(&self, address: SocketAddr) -> Result<(Arc<Link>, Receiver), wire::Error> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        codec::write(&mut stream, &self.hello).await?;
        let hello = codec::read_hello(&mut stream).await?;
        let (sender, receiver) = link::open(stream)?;
        let number = self.next_link_number.fetch_add(1, Ordering::Relaxed);
        let open = Frame::Open { link: number };
        sender
            .send([open])
            .map_err(|_closed| io::Error::from(io::ErrorKind::BrokenPipe))?;
        let link = Link {
            number,
            incarnation: hello.incarnation,
            node: hello.node,
            sender,
            attempts: Default::default(),
            leaving: AtomicBool::new(false),
            next_probe_serial: AtomicU64::new(1),
            pending_probes: Mutex::default(),
            pending_tokens: Mutex::default(),
            finished: Mutex::default(),
            reports: Arc::clone(&self.reports),
        };
        Ok((Arc::new(link), receiver))
    }

    /// Sends a request over a link; `make` builds the request from the ID of its attempt, together
    /// with the start of its body. `credit` is the number of body bytes that may be sent before the
    /// peer grants more.
    ///
    /// # Errors
    ///
    /// Fails if the link accepts no request; the request has definitely not run then.
    pub(crate) fn send<F>(
        &self,
        link: &Link,
        repeatable: bool,
        credit: usize,
        make: F,
    ) -> Result<Arc<Attempt>, link::Error>
    where
        F: FnOnce(Id) -> (Request, Option<Frame>),
    {
        let mut registered = None;
        let result = link.sender.send_request(|| {
            // The pong that confirms `Leaving` is sent under the link's lock as well. Checked here,
            // no request follows that pong, and a node that has received it may end.
            if link.is_leaving() {
                return None;
            }
            // The sequence number is assigned under the link's lock, so that requests go out in the
            // order of their sequence numbers. By that order, the inbound proxy distinguishes
            // requests that it never received from those whose outcome it has already evicted.
            let id = self.next_id();
            let attempt = Attempt::new(
                id,
                repeatable,
                link.number,
                Arc::clone(&link.sender),
                credit,
            );
            link.shard(id)
                .lock()
                .insert(id.sequence, Arc::clone(&attempt));
            registered = Some(attempt);
            let (request, body) = make(id);
            // Finished attempts are reported along with a request, which saves a write.
            let finished = std::mem::take(&mut *link.finished.lock());
            let finished = (!finished.is_empty()).then_some(Frame::Done(finished));
            let frames = finished
                .into_iter()
                .chain(std::iter::once(Frame::Request(request)))
                .chain(body);
            Some(frames)
        });
        match (result, registered) {
            (Ok(end), Some(attempt)) => {
                link.sender.expect_answer();
                attempt.set_head_end(end);
                Ok(attempt)
            }
            (Err(error), registered) => {
                if let Some(attempt) = registered {
                    link.forget(attempt.id);
                }
                Err(error)
            }
            (Ok(_), None) => Err(link::Error::Closed),
        }
    }
}

/// Reads a link until it ends, then hands over the attempts whose outcome only the peer knows.
async fn run_link(
    peer: Arc<Peer>,
    link: Arc<Link>,
    receiver: Receiver,
    ended: mpsc::UnboundedSender<EndedLink>,
) {
    let expected = || {
        if link.is_idle() {
            Expected::Nothing
        } else {
            Expected::Answer
        }
    };
    receiver
        .run(|frame| link.handle_frame(frame), expected)
        .await;
    // Wakes pending probes, which continue without a reply.
    link.pending_probes.lock().clear();
    link.pending_tokens.lock().clear();
    let unresolved = resolve_known(link.take_attempts());
    if !unresolved.is_empty() {
        let incarnation = link.incarnation;
        // Fails only after the proxy was dropped, when no call waits any more.
        drop(ended.send(EndedLink {
            peer,
            incarnation,
            unresolved,
        }));
    }
}
