//! Reserves idempotency keys, so that a call runs at most once even if its caller repeats it.
//!
//! A claim is sent to the owner of the key's shard, which writes the
//! reservations of several claims to the platform in one record. If the owner
//! does not answer, the claim is sent to the next owner, and finally this node
//! writes the record itself. The choice of owner affects only the amount of
//! work, never whether a reservation is valid.

pub(crate) mod encoding;
pub(crate) mod journal;
pub(crate) mod key_expiry;
pub(crate) mod link;
pub(crate) mod owners;
pub(crate) mod shard;

use crate::millis::whole_ms;
use crate::nodes::make_hello;
use crate::reserve::link::{OwnerLink, queue_outcome, serve};
use crate::reserve::owners::{Destination, Owners};
use crate::reserve::shard::{Command, Outcome};
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
use tokio::time::{Instant, timeout, timeout_at};
use wire::LinkKind;

/// Maximum time to wait for a reservation, over all attempts.
///
/// A fully loaded shard commits every 130 ms, and the platform answers within
/// milliseconds. If the key is not reserved in time, the caller is told
/// immediately that its call did not run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum delay that the caller of a refused claim is told to wait; the maximum
/// is twice as long.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which claims of a shard are refused without being sent, once one of
/// them was not answered within [`CLAIM_TIMEOUT`].
///
/// Without these refusals, every caller would wait for [`CLAIM_TIMEOUT`] while the platform is
/// slow.
const STALL_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Maximum wait for a released key to be free on the platform, before the caller is told that its
/// call did not run.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which nothing is sent to an owner that did not answer.
const FAILED_OWNER_PAUSE: Duration = Duration::from_secs(5);

/// Maximum number of concurrent links from other nodes. In a fleet of 14,000 nodes, the design
/// size, the keyed calls of all nodes, distributed over the shards, keep about 350 links open at an
/// owner.
const MAX_LINKS: usize = 1_024;

/// A key that is reserved for a call, which may now run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "repeats of a call get \"may have run\" until its key is completed or released"]
pub struct Grant {
    key: Key,
    holder: Holder,
}

/// The result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The call may run.
    Granted(Grant),
    /// The call must not run; the reply is never [`Reply::Granted`].
    NotGranted(Reply),
}

/// A handle to a node's reservations; clones share the same state.
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
    shards: Arc<[mpsc::Sender<Command>]>,
    owner_links: Mutex<HashMap<SocketAddr, OwnerLink>>,
    /// Owners that did not answer, with the time of the last claim without an answer.
    failed_owners: Mutex<HashMap<SocketAddr, Instant>>,
    owners: Mutex<Owners>,
    /// Time at which a claim last timed out, by shard.
    stalled_at: Mutex<Vec<Option<Instant>>>,
    link_permits: Arc<Semaphore>,
}

/// Starts the tasks that serve a node's reservations, with their records in `store`.
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
            owner_links: Mutex::default(),
            failed_owners: Mutex::default(),
            owners: Mutex::new(Owners::new(view)),
            stalled_at: Mutex::new(vec![None; usize::from(SHARD_COUNT)]),
            link_permits: Arc::new(Semaphore::new(MAX_LINKS)),
        }),
    }
}

impl<C> Handle<C>
where
    C: Clock,
{
    /// Claims `key` for `call`, waiting at most `limit`.
    ///
    /// `call` identifies one request of a caller and must never be reused for another. If the
    /// future of a claim is dropped before it completes, the claim does not keep the key.
    pub async fn claim(
        &self,
        key: Key,
        fingerprint: Fingerprint,
        call: Id,
        limit: Duration,
    ) -> ClaimResult {
        let start = Instant::now();
        let result = self.claim_from(start, key, fingerprint, call, limit).await;
        let reply = match &result {
            ClaimResult::Granted(_) => &Reply::Granted,
            ClaimResult::NotGranted(reply) => reply,
        };
        let metrics = &self.inner.shared.metrics.reserve;
        metrics.record_claim(reply, start.elapsed());
        result
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
            return ClaimResult::NotGranted(make_refusal());
        }
        let end = start + limit.min(CLAIM_TIMEOUT);
        let mut refusal = None;
        let mut unanswered = Vec::new();
        for (attempt, destination) in (0..).zip(self.inner.destinations(key.shard())) {
            // An owner that refuses knows the state of the platform; an attempt
            // by this node would only add to the platform's load.
            if refusal.is_some() && destination == Destination::Local {
                break;
            }
            let holder = Holder { call, attempt };
            let claim = Claim {
                key,
                fingerprint,
                holder,
            };
            match timeout_at(end, self.inner.send_claim(destination, claim)).await {
                Ok(Some(Reply::Granted)) => return ClaimResult::Granted(Grant { key, holder }),
                Ok(Some(refused @ Reply::Refused { .. })) => refusal = Some(refused),
                Ok(Some(reply)) => return ClaimResult::NotGranted(reply),
                Ok(None) => {
                    unanswered.push((destination, holder));
                    self.inner.record_failure(destination);
                }
                Err(_) => {
                    unanswered.push((destination, holder));
                    self.inner.record_stall(key, start);
                    break;
                }
            }
        }
        // An owner whose reply was lost may have reserved the key for this call, which will not
        // run. Without a release, repeats of the call would get "may have run" for as long as the
        // key is held.
        for (destination, holder) in unanswered {
            self.inner.release_elsewhere(destination, key, holder);
        }
        ClaimResult::NotGranted(refusal.unwrap_or_else(make_refusal))
    }

    /// Records that a call has run, and stores its answer for repeats.
    pub fn complete(&self, grant: Grant, answer: Option<Answer>) {
        let stored = answer.filter(|answer| answer.size() <= MAX_ANSWER_BYTES);
        let entry = Entry::Complete {
            key: grant.key,
            holder: grant.holder,
            answer: stored.map(Arc::new),
        };
        self.inner.send_outcome(Outcome::new(entry));
    }

    /// Releases the key of a call that is certain not to have run and never will.
    ///
    /// Waits until the key is free for all nodes, but at most `limit` and not for long. A repeat of
    /// the call may go to another owner of the key, which knows only what is on the platform.
    pub async fn release(&self, grant: Grant, limit: Duration) {
        let entry = Entry::Release {
            key: grant.key,
            holder: grant.holder,
        };
        let (outcome, receipt) = Outcome::awaited(entry);
        self.inner.send_outcome(outcome);
        drop(timeout(limit.min(RELEASE_TIMEOUT), receipt).await);
    }

    /// Writes and sends pending outcomes, so that none are lost when the node stops.
    ///
    /// Repeats of a call whose outcome is lost get "may have run" for as long as
    /// its key is held.
    pub async fn flush(&self, limit: Duration) {
        let end = Instant::now() + limit;
        let links: Vec<_> = self.inner.owner_links.lock().values().cloned().collect();
        for link in links {
            drop(timeout_at(end, link.flush()).await);
        }
        // The links have handed their outcomes to the shards.
        let mut flushed = Vec::new();
        for shard in self.inner.shards.iter() {
            let (done, receiver) = oneshot::channel();
            if shard.try_send(Command::Flush(done)).is_ok() {
                flushed.push(receiver);
            }
        }
        for receiver in flushed {
            drop(timeout_at(end, receiver).await);
        }
    }

    /// Serves a link from another node, after both sides have sent their hello.
    pub fn accept(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.inner.link_permits).try_acquire_owned() else {
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
    /// Returns where to send a claim of a shard, in order: its owners, then this node.
    fn destinations(&self, shard: u16) -> Vec<Destination> {
        let owners = self.owners(shard);
        let mut destinations: Vec<_> = owners.into_iter().flatten().collect();
        let failed_owners = self.failed_owners.lock();
        let has_failed = |destination: &Destination| match destination {
            Destination::Remote(address) => failed_owners
                .get(address)
                .is_some_and(|at| at.elapsed() < FAILED_OWNER_PAUSE),
            Destination::Local => false,
        };
        destinations.retain(|destination| !has_failed(destination));
        if !destinations.contains(&Destination::Local) {
            destinations.push(Destination::Local);
        }
        destinations
    }

    fn owners(&self, shard: u16) -> [Option<Destination>; 2] {
        let view = self.shared.view.load_full();
        let mut owners = self.owners.lock();
        if !Arc::ptr_eq(&owners.view, &view) {
            *owners = Owners::new(view);
        }
        owners.find(shard, &self.shared.settings.name)
    }

    /// Sends a claim; returns `None` if there was no reply.
    async fn send_claim(&self, destination: Destination, claim: Claim) -> Option<Reply> {
        match destination {
            Destination::Local => {
                let (sender, reply) = oneshot::channel();
                let shard = &self.shards[usize::from(claim.key.shard())];
                shard.try_send(Command::Claim(claim, sender)).ok()?;
                reply.await.ok()
            }
            Destination::Remote(address) => self.owner_link(address).claim(claim).await,
        }
    }

    fn is_stalled(&self, key: Key) -> bool {
        let stalled_at = self.stalled_at.lock()[usize::from(key.shard())];
        stalled_at.is_some_and(|at| at.elapsed() < STALL_REFUSAL_TIME)
    }

    /// Marks the key's shard as stalled because a claim made at `start` timed out.
    ///
    /// A claim that waited for less than [`CLAIM_TIMEOUT`], because its caller's
    /// limit is shorter, does not count.
    fn record_stall(&self, key: Key, start: Instant) {
        if start.elapsed() >= CLAIM_TIMEOUT {
            self.stalled_at.lock()[usize::from(key.shard())] = Some(Instant::now());
        }
    }

    /// Releases a key through a destination other than the one that did not answer.
    fn release_elsewhere(&self, unanswered: Destination, key: Key, holder: Holder) {
        let destinations = self.destinations(key.shard());
        let destination = destinations
            .iter()
            .find(|destination| **destination != unanswered);
        self.send_outcome_to(destination, Outcome::new(Entry::Release { key, holder }));
    }

    fn send_outcome(&self, outcome: Outcome) {
        let (Entry::Complete { key, .. } | Entry::Release { key, .. }) = &outcome.entry else {
            return;
        };
        let destinations = self.destinations(key.shard());
        self.send_outcome_to(destinations.first(), outcome);
    }

    /// Sends an outcome, or hands it to this node's shard if the link can't take it.
    fn send_outcome_to(&self, destination: Option<&Destination>, outcome: Outcome) {
        let outcome = match destination {
            Some(Destination::Remote(address)) => {
                match self.owner_link(*address).send_outcome(outcome) {
                    Ok(()) => return,
                    Err(unsent) => unsent,
                }
            }
            Some(Destination::Local) | None => outcome,
        };
        queue_outcome(outcome, &self.shards);
    }

    /// Returns the open link to an owner, or opens one.
    fn owner_link(&self, address: SocketAddr) -> OwnerLink {
        let mut links = self.owner_links.lock();
        if let Some(link) = links.get(&address).filter(|link| !link.is_closed()) {
            return link.clone();
        }
        links.retain(|_, link| !link.is_closed());
        let hello = make_hello(&self.shared, LinkKind::Reserve);
        let link = OwnerLink::open(address, hello, Arc::clone(&self.shards));
        links.insert(address, link.clone());
        link
    }

    fn record_failure(&self, destination: Destination) {
        if let Destination::Remote(address) = destination {
            let mut failed_owners = self.failed_owners.lock();
            failed_owners.retain(|_, at| at.elapsed() < FAILED_OWNER_PAUSE);
            failed_owners.insert(address, Instant::now());
        }
    }
}

/// Returns a refusal with a random delay, so that callers don't all retry at the same time.
fn make_refusal() -> Reply {
    let delay = MIN_RETRY_AFTER.mul_f64(rand::rng().random_range(1.0..2.0));
    Reply::Refused {
        retry_after_ms: whole_ms(delay),
    }
}
