//! Links from the outbound proxy to the nodes of other backend servers.

use crate::link::{self, Expected, Receiver, Sender};
use crate::outbound::attempt::Attempt;
use crate::outbound::peer::Peer;
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
use wire::call::{Frame, Look, Outlook, Reason, Request};
use wire::{Hello, codec};

/// Longest wait for a connection and the peer's hello.
///
/// Within a region a connection takes about 1 ms; a lost first packet is sent
/// again after a second, which is as long as a caller should wait here.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers after which those without a link or a call are let go, again and again.
const PEERS_CHUNK: usize = 512;

/// Tries that are over and wait for the next request to be told of.
///
/// Beyond, the peer forgets them by their age, which costs it memory only.
const MAX_DONE: usize = 256;

/// Parts of a link's table of tries, each under its own lock.
const SHARDS: usize = 8;

/// Makes the links of one outbound proxy.
#[derive(Debug)]
pub(crate) struct LinkPool {
    hello: Hello,
    sequence: AtomicU64,
    number: AtomicU64,
    peers: RwLock<HashMap<SocketAddr, Arc<Peer>>>,
    ended: mpsc::UnboundedSender<EndedLink>,
}

/// A link that is up.
#[derive(Debug)]
pub(crate) struct Link {
    number: u64,
    pub(crate) incarnation: u64,
    pub(crate) node: SmolStr,
    sender: Arc<Sender>,
    tries: [Mutex<HashMap<u64, Arc<Attempt>>>; SHARDS],
    leaving: AtomicBool,
    look_serial: AtomicU64,
    /// Questions that are not answered yet.
    looks: Mutex<HashMap<u64, oneshot::Sender<Outlook>>>,
    /// Tries that are over, of which the peer has not been told.
    done: Mutex<Vec<u64>>,
}

/// A question to a peer; dropping it takes it back.
#[derive(Debug)]
pub(crate) struct Question<'a> {
    link: &'a Link,
    serial: u64,
    receiver: oneshot::Receiver<Outlook>,
}

impl Question<'_> {
    /// Waits for the answer; none comes when the link ends.
    pub(crate) async fn answer(mut self) -> Option<Outlook> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.link.looks.lock().remove(&self.serial);
    }
}

impl Link {
    fn shard(&self, id: Id) -> &Mutex<HashMap<u64, Arc<Attempt>>> {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "only the low bits choose the shard"
        )]
        &self.tries[id.sequence as usize % SHARDS]
    }

    fn is_idle(&self) -> bool {
        self.tries.iter().all(|shard| shard.lock().is_empty()) && self.looks.lock().is_empty()
    }

    /// Asks the peer what would become of a call; nothing comes when the link ends first.
    pub(crate) fn look(&self, mut look: Look) -> Option<Question<'_>> {
        let serial = self.look_serial.fetch_add(1, Ordering::Relaxed);
        look.serial = serial;
        let (sender, receiver) = oneshot::channel();
        self.looks.lock().insert(serial, sender);
        let question = Question {
            link: self,
            serial,
            receiver,
        };
        // Dropped, the question is taken back.
        self.sender.send([Frame::Look(look)]).ok()?;
        self.sender.expect_answer();
        Some(question)
    }

    /// Tells whether the peer has said that it refuses new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Forgets a try.
    pub(crate) fn forget(&self, id: Id) {
        self.shard(id).lock().remove(&id.sequence);
    }

    /// Asks what became of a try that was sent over an earlier link to the same process.
    pub(crate) fn query_outcome(&self, one: &Arc<Attempt>) {
        let id = one.id;
        self.shard(id).lock().insert(id.sequence, Arc::clone(one));
        let progress = one.move_to(Arc::clone(&self.sender));
        let question = Frame::Ask {
            id,
            link: one.link_number,
            head: progress.head_received,
            received: progress.received,
            room: u32::try_from(progress.window).unwrap_or(u32::MAX),
        };
        if self.sender.send([question]).is_err() {
            self.forget(id);
            one.fail(Verdict::MayHaveRun, Reason::Backend);
        }
        self.sender.expect_answer();
    }

    /// Tells whether nothing can be sent over it any more.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    fn take_all(&self) -> Vec<Arc<Attempt>> {
        let shards = self.tries.iter();
        shards
            .flat_map(|shard| std::mem::take(&mut *shard.lock()).into_values())
            .collect()
    }

    /// Hands a frame to its try; one that no try waits for is dropped.
    ///
    /// Tries are named by a number that is never used twice, so a late or
    /// doubled frame finds nothing here and reaches no other caller.
    fn take(&self, frame: Frame) -> ControlFlow<()> {
        if let Frame::Outlook(outlook) = frame {
            if let Some(sender) = self.looks.lock().remove(&outlook.serial) {
                // Whoever asked may have gone on without it.
                drop(sender.send(outlook));
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
        let Some(found) = self.shard(id).lock().get(&id.sequence).map(Arc::clone) else {
            return ControlFlow::Continue(());
        };
        if !found.handle_frame(frame) {
            return ControlFlow::Break(());
        }
        if found.is_finished() {
            self.forget(id);
            let mut done = self.done.lock();
            if done.len() < MAX_DONE {
                done.push(id.sequence);
            }
        }
        ControlFlow::Continue(())
    }
}

impl LinkPool {
    pub(crate) fn spawn(hello: Hello) -> Arc<Self> {
        let (ended, receiver) = mpsc::unbounded_channel();
        let links = Arc::new(Self {
            hello,
            sequence: AtomicU64::new(1),
            number: AtomicU64::new(1),
            peers: RwLock::default(),
            ended,
        });
        tokio::spawn(resolve_all(Arc::downgrade(&links), receiver));
        links
    }

    /// Gives a number for another try.
    pub(crate) fn next_id(&self) -> Id {
        Id {
            origin: self.hello.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        if let Some(peer) = self.peers.read().get(&address) {
            return Arc::clone(peer);
        }
        let mut peers = self.peers.write();
        if peers.len() % PEERS_CHUNK == PEERS_CHUNK - 1 {
            peers.retain(|_, peer| Arc::strong_count(peer) > 1);
        }
        let made = peers.entry(address).or_insert_with(|| Peer::new(address));
        Arc::clone(made)
    }

    /// Gives the link to a node, if there is one.
    pub(crate) fn find_open(&self, address: SocketAddr) -> Option<Arc<Link>> {
        self.peers.read().get(&address)?.live()
    }

    /// Gives the link to a node, made anew when there is none.
    ///
    /// # Errors
    ///
    /// When the node can't be reached; nothing has been sent then.
    pub(crate) async fn get_or_connect(
        self: &Arc<Self>,
        address: SocketAddr,
    ) -> Result<Arc<Link>, wire::Error> {
        let peer = self.peer(address);
        if let Some(link) = peer.live() {
            return Ok(link);
        }
        self.connect(&peer).await
    }

    /// Gives the link to a peer, made anew when there is none.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        peer: &Arc<Peer>,
    ) -> Result<Arc<Link>, wire::Error> {
        let _single = peer.connecting.lock().await;
        if let Some(link) = peer.live() {
            return Ok(link);
        }
        if let Some(kind) = peer.failure() {
            return Err(io::Error::from(kind).into());
        }
        let attempt = peer.attempt();
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.open(peer.address)).await;
        let opened =
            opened.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()));
        attempt.end();
        let (link, receiver) = opened.inspect_err(|error| peer.note_failure(error))?;
        *peer.current.lock() = Some(Arc::clone(&link));
        let ended = self.ended.clone();
        tokio::spawn(run_link(
            Arc::clone(peer),
            Arc::clone(&link),
            receiver,
            ended,
        ));
        Ok(link)
    }

    async fn open(&self, address: SocketAddr) -> Result<(Arc<Link>, Receiver), wire::Error> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        codec::write(&mut stream, &self.hello).await?;
        let hello = codec::read_hello(&mut stream).await?;
        let (sender, receiver) = link::open(stream)?;
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let opening = Frame::Open { link: number };
        sender
            .send([opening])
            .map_err(|_closed| io::Error::from(io::ErrorKind::BrokenPipe))?;
        let link = Link {
            number,
            incarnation: hello.incarnation,
            node: hello.node,
            sender,
            tries: Default::default(),
            leaving: AtomicBool::new(false),
            look_serial: AtomicU64::new(1),
            looks: Mutex::default(),
            done: Mutex::default(),
        };
        Ok((Arc::new(link), receiver))
    }

    /// Sends a request over a link; `make` builds it from its identity, with the
    /// start of its body, of which `credit` bytes may go before more is asked for.
    ///
    /// # Errors
    ///
    /// When the link takes no request; it has surely not run then.
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
        let mut kept = None;
        let result = link.sender.send_request(|| {
            // Numbered while the link is held: a link's requests go out in the
            // order of their numbers, by which the inbound proxy can tell
            // those that it never got from those that it has forgotten.
            let id = self.next_id();
            let one = Attempt::new(
                id,
                repeatable,
                link.number,
                Arc::clone(&link.sender),
                credit,
            );
            link.shard(id).lock().insert(id.sequence, Arc::clone(&one));
            kept = Some(one);
            let (request, body) = make(id);
            // With a request, they cost no write of their own.
            let done = std::mem::take(&mut *link.done.lock());
            let done = (!done.is_empty()).then_some(Frame::Done(done));
            done.into_iter()
                .chain(std::iter::once(Frame::Request(request)))
                .chain(body)
        });
        match (result, kept) {
            (Ok(end), Some(one)) => {
                link.sender.expect_answer();
                one.set_head_end(end);
                Ok(one)
            }
            (Err(error), kept) => {
                if let Some(one) = kept {
                    link.forget(one.id);
                }
                Err(error)
            }
            (Ok(_), None) => Err(link::Error::Closed),
        }
    }
}

/// Reads a link until it ends, then has the tries settled that it leaves open.
async fn run_link(
    peer: Arc<Peer>,
    link: Arc<Link>,
    receiver: Receiver,
    ended: mpsc::UnboundedSender<EndedLink>,
) {
    let watch = || {
        if link.is_idle() {
            Expected::Nothing
        } else {
            Expected::Answer
        }
    };
    receiver.run(|frame| link.take(frame), watch).await;
    // Whoever waits for an outlook goes on without it.
    link.looks.lock().clear();
    let unresolved = resolve_known(link.take_all());
    if !unresolved.is_empty() {
        let incarnation = link.incarnation;
        // When the proxy is gone, so are those who wait.
        drop(ended.send(EndedLink {
            peer,
            incarnation,
            unresolved,
        }));
    }
}
