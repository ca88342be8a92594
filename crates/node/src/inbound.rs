//! The inbound proxy: gives calls to the node's own backend server.
//!
//! It alone talks to that backend server, and holds the table of calls that
//! settles what became of one when a link has gone silent.

pub(crate) mod admission_gate;
pub(crate) mod body_receiver;
pub(crate) mod crash;
pub(crate) mod deliver;
pub(crate) mod inbound_call;
pub(crate) mod link;
pub(crate) mod load_probe;
pub(crate) mod response_stream;
pub(crate) mod run;
pub(crate) mod running_calls;

use crate::backend::Pool;
use crate::inbound::admission_gate::Gate;
use crate::inbound::body_receiver::Bodies;
use crate::inbound::inbound_call::InboundCall;
use crate::inbound::link::run_link;
use crate::inbound::run::{BackendResponse, Refused};
use crate::inbound::running_calls::{RunningCall, RunningCalls};
use crate::link::Sender;
use crate::shared::{Backend, Shared};
use crate::upload::Upload;
use call::{AttemptTable, Id, Verdict};
use clock::Clock;
use parking_lot::Mutex;
use policy::in_flight;
use policy::load_probe::Estimate;
use settings::node::Rate;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, oneshot};
use wire::Hello;
use wire::call::{Frame, Look, Reason, Request};

/// Parts of the table of calls, each under its own lock; a peer's calls are all in one.
const SHARDS: usize = 16;

/// Time between two rounds of forgetting peers and outcomes.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Longest wait at a stop for links whose peers read nothing; one that lives reads within milliseconds.
const FLUSH_LIMIT: Duration = Duration::from_secs(5);

/// The inbound proxy.
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
    pub(crate) pool: Arc<Pool<C>>,
    tables: [Mutex<AttemptTable<Arc<InboundCall>>>; SHARDS],
    links: Mutex<Vec<Weak<Sender>>>,
    pub(crate) gate: Arc<Gate<C>>,
    pub(crate) bodies: Arc<Bodies<C>>,
    /// The calls that the backend server runs.
    pub(crate) parents: Arc<RunningCalls>,
    /// The calls that are in flight at the backend server, and may be as it ends.
    pub(crate) in_flight: Mutex<in_flight::Table>,
    /// The permit is out while a request under suspicion is in flight.
    pub(crate) suspects: Arc<Semaphore>,
    /// A permit is out for each answer that is held ahead of its reader.
    pub(crate) ahead: Arc<Semaphore>,
}

/// Starts the inbound proxy.
#[must_use]
pub fn spawn<C>(shared: Arc<Shared<C>>) -> Handle<C>
where
    C: Clock,
{
    let rate = shared.settings.link_mbps.map(Rate::bytes_per_second);
    let most_held = u64::from(shared.settings.body_kb) << 10;
    let inner = Arc::new(Inner {
        pool: Pool::new(shared.clock.clone()),
        gate: Gate::spawn(shared.clock.clone(), shared.incarnation),
        bodies: Bodies::spawn(shared.clock.clone(), rate, most_held, shared.incarnation),
        shared,
        tables: Default::default(),
        links: Mutex::default(),
        parents: Arc::default(),
        in_flight: Mutex::default(),
        suspects: Arc::new(Semaphore::new(1)),
        ahead: Arc::new(Semaphore::new(deliver::MAX_AHEAD)),
    });
    tokio::spawn(forget(Arc::downgrade(&inner)));
    tokio::spawn(announce_leaving(Arc::downgrade(&inner)));
    Handle { inner }
}

impl<C> Handle<C>
where
    C: Clock,
{
    /// Takes over an accepted call link, whose hellos are done both ways.
    ///
    /// # Errors
    ///
    /// When the socket's options can't be set.
    pub fn accept(&self, stream: TcpStream, hello: &Hello) -> io::Result<()> {
        let (sender, receiver) = crate::link::open(stream)?;
        let mut links = self.inner.links.lock();
        links.retain(|known| known.strong_count() > 0);
        links.push(Arc::downgrade(&sender));
        // Looked at under the lock, as by the task that tells of changes: a server
        // that came back in between would be told of first, and count as leaving
        // at this peer for as long as the link lives.
        if self.inner.is_leaving() {
            drop(sender.send([Frame::Leaving(true)]));
        }
        drop(links);
        let origin = hello.incarnation;
        tokio::spawn(run_link(Arc::clone(&self.inner), sender, receiver, origin));
        Ok(())
    }

    /// Tells how a call runs on the backend server, if it does now.
    pub(crate) fn find_running(&self, name: &str) -> Option<RunningCall> {
        self.inner.parents.find(policy::hash(name))
    }

    /// Gives what would become of a call that enters on this VM.
    pub(crate) fn estimate(&self, look: &Look) -> Estimate {
        load_probe::estimate(&self.inner, look)
    }

    /// Runs a call that entered on this VM, without a link.
    pub(crate) async fn call_local(
        &self,
        request: Request,
        upload: Upload,
        deadline: Instant,
    ) -> Result<http::Response<BackendResponse<C>>, Refused> {
        let started = AtomicBool::new(false);
        let start = || {
            started.store(true, Ordering::Relaxed);
            true
        };
        let came = self.inner.shared.clock.now();
        let run = run::run(&self.inner, request, upload, deadline, came, start);
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

    /// Runs a call that entered on this VM, on past its deadline for as long as the receiver is held.
    pub(crate) fn spawn_local(
        &self,
        request: Request,
        upload: Upload,
        deadline: Instant,
    ) -> oneshot::Receiver<Result<http::Response<BackendResponse<C>>, Refused>> {
        let (mut sender, receiver) = oneshot::channel();
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move {
            let came = inner.shared.clock.now();
            let run = run::run(&inner, request, upload, deadline, came, || true);
            let overdue = async {
                run::sleep_until(&inner, deadline).await;
                tokio::time::sleep(run::MAX_COMMIT_OVERRUN).await;
            };
            let ended = tokio::select! {
                biased;
                ended = run => Some(ended),
                // What nobody waits for any more is dropped with its connection.
                () = sender.closed() => None,
                () = overdue => None,
            };
            if let Some(ended) = ended {
                drop(sender.send(ended));
            }
        });
        receiver
    }

    /// Waits until nothing is in flight, and gives what is left of it at `timeout`.
    pub async fn drain(&self, timeout: Duration) -> usize {
        let mut active = self.inner.shared.in_flight.subscribe();
        let mut answers = self.inner.shared.answers.subscribe();
        let ended = async {
            drop(active.wait_for(|count| *count == 0).await);
            drop(answers.wait_for(|count| *count == 0).await);
            // A peer that reads nothing is given up as its answers are.
            drop(tokio::time::timeout(FLUSH_LIMIT, self.flush()).await);
        };
        if tokio::time::timeout(timeout, ended).await.is_ok() {
            return 0;
        }
        let in_flight = *self.inner.shared.in_flight.borrow();
        in_flight.max(*self.inner.shared.answers.borrow()).max(1)
    }

    /// Waits until the sockets of all links have taken what was sent.
    async fn flush(&self) {
        let links = self.inner.links.lock().clone();
        for sender in links.iter().filter_map(Weak::upgrade) {
            sender.wait_flushed().await;
        }
    }
}

impl<C> Inner<C>
where
    C: Clock,
{
    /// Tells whether new work is refused.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.shared.leaving.borrow()
            || self
                .shared
                .backend
                .borrow()
                .as_ref()
                .is_some_and(|own| own.leaving)
    }

    /// Waits until new work is refused.
    pub(crate) async fn left(&self) {
        let mut node = self.shared.leaving.subscribe();
        let mut backend = self.shared.backend.subscribe();
        // The senders live as long as the shared state.
        tokio::select! {
            _ = node.wait_for(|leaving| *leaving) => {}
            _ = backend.wait_for(|own| own.as_ref().is_none_or(|own| own.leaving)) => {}
        }
    }

    /// Gives the backend server that takes calls of `service` now.
    pub(crate) fn find_backend(&self, service: &str) -> Result<Backend, Reason> {
        if *self.shared.leaving.borrow() {
            return Err(Reason::Leaving);
        }
        match &*self.shared.backend.borrow() {
            Some(own) if own.service != service => Err(Reason::NoService),
            Some(own) if own.leaving => Err(Reason::Leaving),
            Some(own) => Ok(own.clone()),
            None => Err(Reason::NoService),
        }
    }

    pub(crate) fn table(&self, origin: u64) -> &Mutex<AttemptTable<Arc<InboundCall>>> {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "only the low bits choose the shard"
        )]
        &self.tables[origin as usize % SHARDS]
    }

    /// Marks a call as over.
    pub(crate) fn finish(&self, id: Id) {
        self.table(id.origin)
            .lock()
            .finish(id, self.shared.clock.now());
    }
}

async fn forget<C>(inner: Weak<Inner<C>>)
where
    C: Clock,
{
    let mut rounds = tokio::time::interval(FORGET_INTERVAL);
    loop {
        rounds.tick().await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        let now = inner.shared.clock.now();
        for table in &inner.tables {
            let mut table = table.lock();
            table.expire_outcomes(now);
            table.expire_peers(now);
        }
    }
}

/// Tells every peer when this node or its backend server begins to leave, or is back.
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
    let mut told = false;
    let mut here = backend.borrow().clone();
    loop {
        let changed = tokio::select! {
            changed = node.changed() => changed,
            changed = backend.changed() => changed,
        };
        let Some(inner) = inner.upgrade().filter(|_| changed.is_ok()) else {
            return;
        };
        // One that is back is another process; what the former one closed goes.
        inner.pool.drop_ended();
        let now_here = inner.shared.backend.borrow().clone();
        note_replaced(&inner, here.as_ref(), now_here.as_ref());
        here = now_here;
        let links = inner.links.lock();
        let leaving = inner.is_leaving();
        if std::mem::replace(&mut told, leaving) == leaving {
            continue;
        }
        for sender in links.iter().filter_map(Weak::upgrade) {
            drop(sender.send([Frame::Leaving(leaving)]));
        }
    }
}

/// Takes in that a process of the backend server has another in its place, and said no farewell.
fn note_replaced<C>(inner: &Inner<C>, former: Option<&Backend>, present: Option<&Backend>)
where
    C: Clock,
{
    if let (Some(former), Some(present)) = (former, present)
        && former.process() != present.process()
        && !former.leaving
    {
        crash::note_end(inner, former);
    }
}
