//! The inbound proxy: runs calls on the backend server of this node.
//!
//! The inbound proxy is the only component that talks to that backend server. It also keeps the
//! table of received attempts, from which an outbound proxy learns the outcome of an attempt after
//! a link went silent.

pub(crate) mod admission_gate;
pub(crate) mod body_receiver;
pub(crate) mod crash;
pub(crate) mod deliver;
pub(crate) mod inbound_call;
pub(crate) mod link;
pub(crate) mod load_probe;
pub(crate) mod rejected;
pub(crate) mod report;
pub(crate) mod response_stream;
pub(crate) mod run;
pub(crate) mod running_calls;

use crate::backend::ConnectionPool;
use crate::call_length::Lengths;
use crate::forwarded_body::ForwardedBody;
use crate::inbound::admission_gate::AdmissionGate;
use crate::inbound::body_receiver::BodyReceiver;
use crate::inbound::inbound_call::InboundCall;
use crate::inbound::link::run_link;
use crate::inbound::run::{BackendResponse, Refused};
use crate::inbound::running_calls::{RunningCall, RunningCalls};
use crate::link::Sender;
use crate::shared::{Backend, Shared};
use call::{AttemptTable, Id, Verdict};
use clock::Clock;
use log::info;
use parking_lot::Mutex;
use policy::in_flight;
use policy::load_probe::Estimate;
use settings::node::LinkRate;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, oneshot};
use wire::Hello;
use wire::call::{Frame, LoadProbe, Reason, Request, ServerReport};

/// Number of shards of the attempt table, each with its own lock; all attempts of a peer are in
/// one shard.
const SHARD_COUNT: usize = 16;

/// Interval at which expired peers and outcomes are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Longest wait at a stop for links whose peers read nothing; a live peer reads within
/// milliseconds.
const MAX_FLUSH_WAIT: Duration = Duration::from_secs(5);

/// Longest wait at a stop for the peers' confirmations that they send no more calls.
///
/// A live peer replies within a round trip, which takes 70 ms between regions. A peer that is
/// stopped or cut off doesn't reply.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_secs(1);

/// Handle to the inbound proxy.
#[derive(Debug, Clone)]
pub struct Handle<C>
where
    C: Clock,
{
    inner: Arc<Inner<C>>,
}

#[derive(Debug)]
pub(crate) struct Inner<C>
where
    C: Clock,
{
    pub(crate) shared: Arc<Shared<C>>,
    pub(crate) pool: Arc<ConnectionPool<C>>,
    /// Lengths of the calls that the backend server runs, with the wait for their slots.
    pub(crate) lengths: Arc<Lengths<C>>,
    attempt_tables: [Mutex<AttemptTable<Arc<InboundCall>>>; SHARD_COUNT],
    links: Mutex<Vec<OpenLink>>,
    pub(crate) gate: Arc<AdmissionGate<C>>,
    pub(crate) body_receiver: Arc<BodyReceiver<C>>,
    /// The calls that the backend server is running, as parents of nested calls.
    pub(crate) running_calls: Arc<RunningCalls>,
    /// The calls in flight at the backend server; if its process ends, they are suspects.
    pub(crate) in_flight: Mutex<in_flight::Table>,
    /// Holds one permit, which is taken while a suspect request is in flight.
    pub(crate) suspect_permits: Arc<Semaphore>,
    /// Each response that is read ahead of its reader takes a permit.
    pub(crate) read_ahead_permits: Arc<Semaphore>,
}

/// A link from the outbound proxy of another node.
#[derive(Debug)]
struct OpenLink {
    sender: Weak<Sender>,
    /// Number of the ping that followed `Leaving`, once the node has asked for a confirmation.
    leaving_ping: Option<u64>,
}

/// Starts the inbound proxy.
#[must_use]
pub fn spawn<C>(shared: Arc<Shared<C>>) -> Handle<C>
where
    C: Clock,
{
    let rate = shared.settings.link_mbps.map(LinkRate::bytes_per_second);
    let max_held = u64::from(shared.settings.body_kb) << 10;
    let inner = Arc::new(Inner {
        pool: ConnectionPool::new(shared.clock.clone()),
        gate: AdmissionGate::spawn(
            shared.clock.clone(),
            shared.incarnation,
            shared.settings.nested_calls,
        ),
        body_receiver: BodyReceiver::spawn(
            shared.clock.clone(),
            rate,
            max_held,
            shared.incarnation,
        ),
        lengths: Arc::new(Lengths::new(shared.clock.clone())),
        shared,
        attempt_tables: Default::default(),
        links: Mutex::default(),
        running_calls: Arc::default(),
        in_flight: Mutex::default(),
        suspect_permits: Arc::new(Semaphore::new(1)),
        read_ahead_permits: Arc::new(Semaphore::new(deliver::MAX_READ_AHEAD_RESPONSES)),
    });
    tokio::spawn(run_expiry(Arc::downgrade(&inner)));
    tokio::spawn(announce_leaving(Arc::downgrade(&inner)));
    Handle { inner }
}

impl<C> Handle<C>
where
    C: Clock,
{
    /// Serves an accepted call link on which both sides have exchanged their hellos.
    ///
    /// # Errors
    ///
    /// Fails if the socket options can't be set.
    pub fn accept(&self, stream: TcpStream, hello: &Hello) -> io::Result<()> {
        let (sender, receiver) = crate::link::open(stream)?;
        let mut links = self.inner.links.lock();
        links.retain(|known| known.sender.strong_count() > 0);
        links.push(OpenLink {
            sender: Arc::downgrade(&sender),
            leaving_ping: None,
        });
        // Checked under the lock that `announce_leaving` also takes. Otherwise, `announce_leaving`
        // could send `Leaving(false)` before this frame, and the peer would take this node for
        // leaving for as long as the link is open.
        if self.inner.is_leaving() {
            drop(sender.send([Frame::Leaving(true)]));
        }
        drop(links);
        let origin = hello.incarnation;
        tokio::spawn(run_link(Arc::clone(&self.inner), sender, receiver, origin));
        Ok(())
    }

    /// Returns the running call that nested calls refer to as `name`, if there is one.
    pub(crate) fn find_running(&self, name: &str) -> Option<RunningCall> {
        self.inner.running_calls.find(policy::hash(name))
    }

    /// Returns what other nodes must know of the backend server to call it, if it has reported
    /// anything.
    pub(crate) fn report(&self) -> Option<ServerReport> {
        report::current_report(&self.inner)
    }

    /// Estimates what would happen to a call that enters on this VM.
    pub(crate) fn estimate(&self, probe: &LoadProbe) -> Estimate {
        load_probe::estimate(&self.inner, probe)
    }

    /// Runs a call that entered on this VM, without a link.
    pub(crate) async fn call_local(
        &self,
        request: Request,
        body: ForwardedBody,
        deadline: Instant,
    ) -> Result<http::Response<BackendResponse<C>>, Refused> {
        let started = AtomicBool::new(false);
        let start = || {
            started.store(true, Ordering::Relaxed);
            true
        };
        let received_at = self.inner.shared.clock.now();
        let run = run::run(&self.inner, request, body, deadline, received_at, start);
        tokio::select! {
            biased;
            ended = run => ended,
            () = run::sleep_until(&self.inner, deadline) => Err(Refused {
                verdict: if started.load(Ordering::Relaxed) { Verdict::MayHaveRun } else { Verdict::NotRun },
                reason: Reason::Deadline,
                retry_after_ms: 0,
            }),
        }
    }

    /// Runs a call that entered on this VM. The call may run past its deadline by up to
    /// `MAX_COMMIT_OVERRUN`, and ends when the receiver is dropped.
    pub(crate) fn spawn_local(
        &self,
        request: Request,
        body: ForwardedBody,
        deadline: Instant,
    ) -> oneshot::Receiver<Result<http::Response<BackendResponse<C>>, Refused>> {
        let (mut sender, receiver) = oneshot::channel();
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move {
            let received_at = inner.shared.clock.now();
            let run = run::run(&inner, request, body, deadline, received_at, || true);
            let overdue = async {
                run::sleep_until(&inner, deadline).await;
                tokio::time::sleep(run::MAX_COMMIT_OVERRUN).await;
            };
            let ended = tokio::select! {
                biased;
                ended = run => Some(ended),
                // The receiver is gone: drop the call and its connection.
                () = sender.closed() => None,
                () = overdue => None,
            };
            if let Some(ended) = ended {
                drop(sender.send(ended));
            }
        });
        receiver
    }

    /// Waits until no call is in flight and all responses have been sent; returns 0 then. At
    /// `timeout`, returns the number of calls in flight or that of unread responses, whichever is
    /// larger, but at least 1.
    ///
    /// If the node is leaving, also waits until its peers have confirmed that they send no more
    /// calls. A call that is still on its way when the process ends is lost, and its sender can't
    /// know that it hasn't run.
    pub async fn drain(&self, timeout: Duration) -> usize {
        let ended = async {
            if *self.inner.shared.leaving.borrow() {
                let max_wait = MAX_CONFIRMATION_WAIT.min(timeout / 2);
                let confirmed = tokio::time::timeout(max_wait, self.confirm_leaving());
                let (confirmed, ()) = tokio::join!(confirmed, self.wait_idle());
                if confirmed.is_err() {
                    info!("leaving_unconfirmed");
                }
            }
            // Calls that arrived before the last confirmation.
            self.wait_idle().await;
            // After this wait, peers that read nothing are given up, and their responses with them.
            drop(tokio::time::timeout(MAX_FLUSH_WAIT, self.flush()).await);
        };
        if tokio::time::timeout(timeout, ended).await.is_ok() {
            return 0;
        }
        let in_flight = *self.inner.shared.in_flight.borrow();
        in_flight
            .max(*self.inner.shared.unread_answers.borrow())
            .max(1)
    }

    /// Waits until no call is in flight and no response is unread.
    async fn wait_idle(&self) {
        let mut active = self.inner.shared.in_flight.subscribe();
        let mut answers = self.inner.shared.unread_answers.subscribe();
        // The senders live as long as the shared state, so `wait_for` doesn't fail.
        drop(active.wait_for(|count| *count == 0).await);
        drop(answers.wait_for(|count| *count == 0).await);
    }

    /// Waits until every peer has confirmed that it has received `Leaving`, after which it sends no
    /// more requests. Links that are opened meanwhile are not waited for.
    async fn confirm_leaving(&self) {
        for (link, ping) in self.inner.request_confirmations() {
            link.wait_pong(ping).await;
        }
    }

    /// Waits until everything that was sent has been written to the sockets of all links.
    async fn flush(&self) {
        let open = self.inner.open_links();
        for sender in open {
            sender.wait_flushed().await;
        }
    }
}

impl<C> Inner<C>
where
    C: Clock,
{
    fn open_links(&self) -> Vec<Arc<Sender>> {
        let links = self.links.lock();
        let senders = links.iter().map(|link| &link.sender);
        senders.filter_map(Weak::upgrade).collect()
    }

    /// Sends `Leaving` and a ping over each open link, unless they have been sent before. Returns the
    /// links with the numbers of these pings.
    fn request_confirmations(&self) -> Vec<(Arc<Sender>, u64)> {
        // Under this lock, `announce_leaving` sends nothing older in between.
        let mut links = self.links.lock();
        let open = links.iter_mut();
        open.filter_map(|link| {
            let sender = link.sender.upgrade()?;
            let ping = match link.leaving_ping {
                Some(ping) => ping,
                None => sender.send_with_ping([Frame::Leaving(true)]).ok()?,
            };
            link.leaving_ping = Some(ping);
            Some((sender, ping))
        })
        .collect()
    }

    /// Returns whether the node or its backend server is leaving, so that new calls are refused.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.shared.leaving.borrow()
            || self
                .shared
                .backend
                .borrow()
                .as_ref()
                .is_some_and(|backend| backend.leaving)
    }

    /// Waits until new calls are refused: the node or its backend server is leaving, or no backend
    /// server is known.
    pub(crate) async fn wait_leaving(&self) {
        let mut node = self.shared.leaving.subscribe();
        let mut backend = self.shared.backend.subscribe();
        // The senders live as long as the shared state, so `wait_for` doesn't fail.
        tokio::select! {
            _ = node.wait_for(|leaving| *leaving) => {}
            _ = backend.wait_for(|backend| backend.as_ref().is_none_or(|backend| backend.leaving)) => {}
        }
    }

    /// Returns the backend server if it currently accepts calls of `service`.
    pub(crate) fn find_backend(&self, service: &str) -> Result<Backend, Reason> {
        if *self.shared.leaving.borrow() {
            return Err(Reason::Leaving);
        }
        match &*self.shared.backend.borrow() {
            Some(backend) if backend.service != service => Err(Reason::NoService),
            Some(backend) if backend.leaving => Err(Reason::Leaving),
            Some(backend) => Ok(backend.clone()),
            None => Err(Reason::NoService),
        }
    }

    pub(crate) fn attempt_table(&self, origin: u64) -> &Mutex<AttemptTable<Arc<InboundCall>>> {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "only the low bits choose the shard"
        )]
        &self.attempt_tables[origin as usize % SHARD_COUNT]
    }

    /// Marks an attempt as finished.
    pub(crate) fn finish(&self, id: Id) {
        self.attempt_table(id.origin)
            .lock()
            .finish(id, self.shared.clock.now());
    }
}

async fn run_expiry<C>(inner: Weak<Inner<C>>)
where
    C: Clock,
{
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        interval.tick().await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        let now = inner.shared.clock.now();
        for table in &inner.attempt_tables {
            let mut table = table.lock();
            table.expire_outcomes(now);
            table.expire_peers(now);
        }
    }
}

/// Tells every peer when this node or its backend server starts to leave or is back.
async fn announce_leaving<C>(inner: Weak<Inner<C>>)
where
    C: Clock,
{
    let Some((mut node, mut backend)) = inner.upgrade().map(|inner| {
        (
            inner.shared.leaving.subscribe(),
            inner.shared.backend.subscribe(),
        )
    }) else {
        return;
    };
    let mut sent_leaving = false;
    let mut previous = backend.borrow().clone();
    loop {
        let changed = tokio::select! {
            changed = node.changed() => changed,
            changed = backend.changed() => changed,
        };
        let Some(inner) = inner.upgrade().filter(|_| changed.is_ok()) else {
            return;
        };
        // A backend server that is back is a new process: drop the connections that the previous
        // process has closed.
        inner.pool.remove_closed();
        let current = inner.shared.backend.borrow().clone();
        record_replaced_process(&inner, previous.as_ref(), current.as_ref());
        previous = current;
        let links = inner.links.lock();
        let leaving = inner.is_leaving();
        if std::mem::replace(&mut sent_leaving, leaving) == leaving {
            continue;
        }
        for sender in links.iter().filter_map(|link| link.sender.upgrade()) {
            drop(sender.send([Frame::Leaving(leaving)]));
        }
    }
}

/// Records a crash if a new process of the backend server has replaced one that hadn't announced
/// that it leaves.
fn record_replaced_process<C>(
    inner: &Inner<C>,
    previous: Option<&Backend>,
    current: Option<&Backend>,
) where
    C: Clock,
{
    if let (Some(previous), Some(current)) = (previous, current)
        && previous.process() != current.process()
        && !previous.leaving
    {
        crash::record_crash(inner, previous);
    }
}
