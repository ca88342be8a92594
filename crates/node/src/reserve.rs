//! At most once across callers' own repeats: a key is reserved before its call runs.
//!
//! A claim goes to the owner of the key's shard, which reserves it in the
//! platform together with others. Should the owner not answer, the next one
//! is asked, and in the end this node writes the record itself: whom it asks
//! decides how much work it is, never whether the reservation holds.

pub(crate) mod ages;
pub(crate) mod journal;
pub(crate) mod link;
pub(crate) mod owners;
pub(crate) mod record;
pub(crate) mod shard;

use crate::millis::whole_ms;
use crate::nodes::make_hello;
use crate::reserve::link::{Peer, pass_note, serve};
use crate::reserve::owners::{Owners, Way};
use crate::reserve::shard::Order;
use crate::shared::Shared;
use call::Id;
use call::reserve::{
    Answer, Claim, Entry, Fingerprint, Holder, Key, MAX_ANSWER_BYTES, Reply, SHARD_COUNT,
};
use clock::Clock;
use parking_lot::Mutex;
use rand::Rng;
use smol_str::format_smolstr;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::{Journal, Store};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, timeout_at};
use wire::Link;

/// Longest wait for a reservation, all attempts together.
///
/// A shard under full load commits every 130 ms and the platform answers in
/// milliseconds. A caller whose key can't be reserved by then is told at once
/// that its call did not run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What such a caller is told to wait, at least; up to twice as much.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which claims of a shard are refused at once after one had to wait
/// for [`CLAIM_TIMEOUT`] in vain; then one may try again.
///
/// While the platform is so slow, callers would otherwise all wait as long.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an owner that did not answer is not asked first.
const FAILED_TIMEOUT: Duration = Duration::from_secs(5);

/// Links from other nodes at once: keyed calls of the whole fleet, spread over
/// the shards, keep some 350 open at the size that is designed for.
const MAX_LINKS: usize = 1_024;

/// A key that is held for a call, which may run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a key that is neither completed nor released stays \"may have run\""]
pub struct Grant {
    key: Key,
    holder: Holder,
}

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The call may run.
    Granted(Grant),
    /// It must not; [`Reply::Granted`] is never told here.
    NotGranted(Reply),
}

/// The reservations of a node; clones share them.
#[derive(Debug, Clone)]
pub struct Handle<C>
where
    C: Clock,
{
    inner: Arc<Inner<C>>,
}

#[derive(Debug)]
struct Inner<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    shards: Arc<[mpsc::Sender<Order>]>,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    failed: Mutex<HashMap<SocketAddr, Instant>>,
    owners: Mutex<Owners>,
    /// When a claim of each shard last waited in vain.
    stalled: Mutex<Vec<Option<Instant>>>,
    links: Arc<Semaphore>,
}

/// Starts the reservations of a node, whose records are in `store`.
#[must_use]
pub fn spawn<S, C>(shared: Arc<Shared<C>>, store: &S) -> Handle<C>
where
    S: Store,
    C: Clock,
{
    let shards = (0..SHARD_COUNT).map(|shard| {
        let name = format_smolstr!("reservations/{shard:02}");
        let journal = Journal::open(store.clone(), shared.clock.clone(), &name);
        shard::spawn(journal, shared.clock.clone())
    });
    let view = shared.view.load_full();
    Handle {
        inner: Arc::new(Inner {
            shards: shards.collect(),
            shared,
            peers: Mutex::default(),
            failed: Mutex::default(),
            owners: Mutex::new(Owners::new(view)),
            stalled: Mutex::new(vec![None; usize::from(SHARD_COUNT)]),
            links: Arc::new(Semaphore::new(MAX_LINKS)),
        }),
    }
}

impl<C> Handle<C>
where
    C: Clock,
{
    /// Claims `key` for `call`, within `limit`.
    ///
    /// `call` names one request of a caller and must be used for no other.
    /// A claim that is given up before its end (dropped) holds nothing.
    pub async fn claim(
        &self,
        key: Key,
        fingerprint: Fingerprint,
        call: Id,
        limit: Duration,
    ) -> ClaimResult {
        let start = Instant::now();
        let claimed = self.claim_from(start, key, fingerprint, call, limit).await;
        let reply = match &claimed {
            ClaimResult::Granted(_) => &Reply::Granted,
            ClaimResult::NotGranted(reply) => reply,
        };
        let metrics = &self.inner.shared.metrics.reserve;
        metrics.count(reply, start.elapsed());
        claimed
    }

    async fn claim_from(
        &self,
        start: Instant,
        key: Key,
        fingerprint: Fingerprint,
        call: Id,
        limit: Duration,
    ) -> ClaimResult {
        if self.inner.is_stalled(key) {
            return ClaimResult::NotGranted(refuse());
        }
        let end = start + limit.min(CLAIM_TIMEOUT);
        let mut told = None;
        let mut unanswered = Vec::new();
        for (attempt, way) in (0..).zip(self.inner.ways(key.shard())) {
            // An owner that was asked and refused knows how the platform is;
            // this node would only add to its load.
            if told.is_some() && way == Way::Local {
                break;
            }
            let holder = Holder { call, attempt };
            let claim = Claim {
                key,
                fingerprint,
                holder,
            };
            match timeout_at(end, self.inner.ask(way, claim)).await {
                Ok(Some(Reply::Granted)) => return ClaimResult::Granted(Grant { key, holder }),
                Ok(Some(refused @ Reply::Refused { .. })) => told = Some(refused),
                Ok(Some(reply)) => return ClaimResult::NotGranted(reply),
                Ok(None) => {
                    unanswered.push((way, holder));
                    self.inner.note_failed(way);
                }
                Err(_) => {
                    unanswered.push((way, holder));
                    self.inner.note_stalled(key, start);
                    break;
                }
            }
        }
        // An owner whose answer was lost may have reserved the key for this
        // call, which nobody will run now. Not given back, its repeats would be
        // told "may have run" for good.
        for (way, holder) in unanswered {
            self.inner.release_beside(way, key, holder);
        }
        ClaimResult::NotGranted(told.unwrap_or_else(refuse))
    }

    /// Keeps the answer of a call that has run, for repeats.
    pub fn complete(&self, grant: Grant, answer: Option<Answer>) {
        let kept = answer.filter(|answer| answer.size() <= MAX_ANSWER_BYTES);
        self.inner.note(Entry::Complete {
            key: grant.key,
            holder: grant.holder,
            answer: kept.map(Arc::new),
        });
    }

    /// Gives the key of a call back that surely has not run and never will.
    pub fn release(&self, grant: Grant) {
        self.inner.note(Entry::Release {
            key: grant.key,
            holder: grant.holder,
        });
    }

    /// Writes and sends what still waits, so that a node that leaves takes no outcome with it.
    ///
    /// Repeats of a call whose outcome is lost are told "may have run" for as
    /// long as its key is held.
    pub async fn flush(&self, limit: Duration) {
        let mut flushed = Vec::new();
        for shard in self.inner.shards.iter() {
            let (done, waits) = oneshot::channel();
            if shard.try_send(Order::Flush(done)).is_ok() {
                flushed.push(waits);
            }
        }
        let peers: Vec<_> = self.inner.peers.lock().values().cloned().collect();
        let end = Instant::now() + limit;
        for peer in peers {
            drop(timeout_at(end, peer.flush()).await);
        }
        for waits in flushed {
            drop(timeout_at(end, waits).await);
        }
    }

    /// Serves a link of another node, after both hellos.
    pub fn accept(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.inner.links).try_acquire_owned() else {
            return;
        };
        let shards = Arc::clone(&self.inner.shards);
        tokio::spawn(async move {
            serve(stream, shards).await;
            drop(permit);
        });
    }
}

impl<C> Inner<C>
where
    C: Clock,
{
    /// Gives whom to ask for a shard: its owners, and at last this node itself.
    fn ways(&self, shard: u16) -> Vec<Way> {
        let owners = self.owners(shard);
        let mut ways: Vec<_> = owners.into_iter().flatten().collect();
        let failed = self.failed.lock();
        let has_failed = |way: &Way| match way {
            Way::Remote(address) => failed
                .get(address)
                .is_some_and(|at| at.elapsed() < FAILED_TIMEOUT),
            Way::Local => false,
        };
        ways.retain(|way| !has_failed(way));
        if !ways.contains(&Way::Local) {
            ways.push(Way::Local);
        }
        ways
    }

    fn owners(&self, shard: u16) -> [Option<Way>; 2] {
        let view = self.shared.view.load_full();
        let mut owners = self.owners.lock();
        if !Arc::ptr_eq(&owners.view, &view) {
            *owners = Owners::new(view);
        }
        owners.find(shard, &self.shared.settings.name)
    }

    async fn ask(&self, way: Way, claim: Claim) -> Option<Reply> {
        match way {
            Way::Local => {
                let (reply, told) = oneshot::channel();
                let shard = &self.shards[usize::from(claim.key.shard())];
                shard.try_send(Order::Claim(claim, reply)).ok()?;
                told.await.ok()
            }
            Way::Remote(address) => self.peer(address).claim(claim).await,
        }
    }

    fn is_stalled(&self, key: Key) -> bool {
        let stalled = self.stalled.lock()[usize::from(key.shard())];
        stalled.is_some_and(|at| at.elapsed() < STALL_TIMEOUT)
    }

    /// Notes that a claim which began at `start` was not answered, unless its caller had less time.
    fn note_stalled(&self, key: Key, start: Instant) {
        if start.elapsed() >= CLAIM_TIMEOUT {
            self.stalled.lock()[usize::from(key.shard())] = Some(Instant::now());
        }
    }

    /// Releases a key by another way than the one that did not answer.
    fn release_beside(&self, silent: Way, key: Key, holder: Holder) {
        let ways = self.ways(key.shard());
        let way = ways.iter().find(|way| **way != silent);
        self.note_by(way, Entry::Release { key, holder });
    }

    fn note(&self, entry: Entry) {
        let (Entry::Complete { key, .. } | Entry::Release { key, .. }) = &entry else {
            return;
        };
        let ways = self.ways(key.shard());
        self.note_by(ways.first(), entry);
    }

    fn note_by(&self, way: Option<&Way>, entry: Entry) {
        let entry = match way {
            Some(Way::Remote(address)) => match self.peer(*address).note(entry) {
                Ok(()) => return,
                Err(entry) => entry,
            },
            Some(Way::Local) | None => entry,
        };
        pass_note(entry, &self.shards);
    }

    fn peer(&self, address: SocketAddr) -> Peer {
        let mut peers = self.peers.lock();
        if let Some(peer) = peers.get(&address).filter(|peer| !peer.is_closed()) {
            return peer.clone();
        }
        peers.retain(|_, peer| !peer.is_closed());
        let peer = Peer::open(address, make_hello(&self.shared, Link::Reserve));
        peers.insert(address, peer.clone());
        peer
    }

    fn note_failed(&self, way: Way) {
        if let Way::Remote(address) = way {
            let mut failed = self.failed.lock();
            failed.retain(|_, at| at.elapsed() < FAILED_TIMEOUT);
            failed.insert(address, Instant::now());
        }
    }
}

/// Refuses with a wait of its own for each, so that callers don't return all at once.
fn refuse() -> Reply {
    let wait = RETRY_AFTER.mul_f64(rand::rng().random_range(1.0..2.0));
    Reply::Refused {
        retry_after_ms: whole_ms(wait),
    }
}
