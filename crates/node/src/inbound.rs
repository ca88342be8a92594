//! The inbound proxy: gives calls to the node's own backend server.
//!
//! It alone talks to that backend server, and holds the table of calls that
//! settles what became of one when a link has gone silent.

use crate::backend::Pool;
use crate::inbound_call::Call;
use crate::inbound_gate::Gate;
use crate::inbound_run::{self, Refused, Running};
use crate::link::{self, Receiver, Sender, Watch};
use crate::shared::{Backend, Shared};
use crate::upload::Upload;
use call::{Arrival, Id, Outcome, Table, Verdict};
use clock::Clock;
use parking_lot::Mutex;
use std::io;
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use wire::Hello;
use wire::call::{Frame, Reason, Request};

/// Parts of the table of calls, each under its own lock; a peer's calls are all in one.
const SHARDS: usize = 16;

/// Time between two rounds of forgetting peers and outcomes.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// The inbound proxy.
#[derive(Debug)]
pub struct Handle<C>
where
    C: Clock,
{
    inner: Arc<Inner<C>>,
}

impl<C> Clone for Handle<C>
where
    C: Clock,
{
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

#[derive(Debug)]
pub(crate) struct Inner<C>
where
    C: Clock,
{
    pub(crate) shared: Arc<Shared<C>>,
    pub(crate) pool: Arc<Pool<C>>,
    tables: [Mutex<Table<Arc<Call>>>; SHARDS],
    links: Mutex<Vec<Weak<Sender>>>,
    pub(crate) gate: Arc<Gate<C>>,
}

/// Starts the inbound proxy.
#[must_use]
pub fn spawn<C>(shared: Arc<Shared<C>>) -> Handle<C>
where
    C: Clock,
{
    let inner = Arc::new(Inner {
        pool: Pool::new(shared.clock.clone()),
        gate: Gate::spawn(shared.clock.clone(), shared.incarnation),
        shared,
        tables: Default::default(),
        links: Mutex::default(),
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
        let (sender, receiver) = link::open(stream)?;
        let mut links = self.inner.links.lock();
        links.retain(|known| known.strong_count() > 0);
        links.push(Arc::downgrade(&sender));
        drop(links);
        if self.inner.is_leaving() {
            drop(sender.send([Frame::Leaving(true)]));
        }
        let origin = hello.incarnation;
        tokio::spawn(run_link(Arc::clone(&self.inner), sender, receiver, origin));
        Ok(())
    }

    /// Runs a call that entered on this VM, without a link.
    pub(crate) async fn call_local(
        &self,
        request: Request,
        upload: Upload,
        deadline: Instant,
    ) -> Result<http::Response<Running<C>>, Refused> {
        let started = AtomicBool::new(false);
        let start = || {
            started.store(true, Ordering::Relaxed);
            true
        };
        let run = inbound_run::run(&self.inner, request, upload, deadline, start);
        tokio::select! {
            biased;
            ended = run => ended,
            () = inbound_run::sleep_until(&self.inner, deadline) => Err(Refused {
                verdict: if started.load(Ordering::Relaxed) { Verdict::MayHaveRun } else { Verdict::NotRun },
                reason: Reason::Deadline,
                retry_after_ms: 0,
            }),
        }
    }

    /// Waits until nothing is in flight, and gives what is left of it at `timeout`.
    pub async fn drain(&self, timeout: Duration) -> usize {
        let mut active = self.inner.shared.in_flight.subscribe();
        let ended = async {
            drop(active.wait_for(|count| *count == 0).await);
            let links = self.inner.links.lock().clone();
            for sender in links.iter().filter_map(Weak::upgrade) {
                sender.flushed().await;
            }
        };
        match tokio::time::timeout(timeout, ended).await {
            Ok(()) => 0,
            Err(_) => (*self.inner.shared.in_flight.borrow()).max(1),
        }
    }
}

/// Counts a call as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct Active<C>
where
    C: Clock,
{
    inner: Arc<Inner<C>>,
}

impl<C> Drop for Active<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        self.inner.shared.in_flight.send_if_modified(|count| {
            *count -= 1;
            *count == 0
        });
    }
}

impl<C> Inner<C>
where
    C: Clock,
{
    pub(crate) fn count_in(self: &Arc<Self>) -> Active<C> {
        self.shared.in_flight.send_if_modified(|count| {
            *count += 1;
            false
        });
        Active {
            inner: Arc::clone(self),
        }
    }

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

    pub(crate) fn table(&self, origin: u64) -> &Mutex<Table<Arc<Call>>> {
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

/// Reads one link until it ends.
async fn run_link<C>(inner: Arc<Inner<C>>, sender: Arc<Sender>, receiver: Receiver, origin: u64)
where
    C: Clock,
{
    let mut reader = Reader {
        inner: &inner,
        sender: &sender,
        origin,
        link: None,
        uploads: Vec::new(),
    };
    receiver
        .run(|frame| reader.take(frame), || Watch::Idle)
        .await;
    for upload in reader.uploads {
        upload.break_upload();
    }
}

/// What reads one link.
struct Reader<'a, C>
where
    C: Clock,
{
    inner: &'a Arc<Inner<C>>,
    sender: &'a Arc<Sender>,
    origin: u64,
    /// Number of the link, once it is open.
    link: Option<u64>,
    /// Calls whose request's body has not come whole.
    uploads: Vec<Arc<Call>>,
}

impl<C> Reader<'_, C>
where
    C: Clock,
{
    fn take(&mut self, frame: Frame) -> ControlFlow<()> {
        if let Frame::Open { link } = frame {
            let now = self.inner.shared.clock.now();
            self.inner
                .table(self.origin)
                .lock()
                .open(self.origin, link, now);
            self.link = Some(link);
            return ControlFlow::Continue(());
        }
        let Some(link) = self.link else {
            return ControlFlow::Break(());
        };
        match frame {
            Frame::Request(request) => self.start(request, link),
            Frame::Body { id, bytes, end } => self.take_part(id, bytes, end),
            Frame::Credit { id, bytes } => {
                if let Some(call) = self.find(id) {
                    call.add_credit(bytes);
                }
                ControlFlow::Continue(())
            }
            Frame::Cancel(id) => {
                if let Some(call) = self.find(id) {
                    call.cancel();
                }
                ControlFlow::Continue(())
            }
            Frame::Ask {
                id,
                link,
                head,
                received,
                room,
            } => {
                self.answer(id, link, head, received, room);
                ControlFlow::Continue(())
            }
            _ => ControlFlow::Break(()),
        }
    }

    /// Finds a call that goes over this link.
    ///
    /// What an earlier link still brings about a call that has moved on is
    /// void: its credit is counted in the question that moved the call.
    fn find(&self, id: Id) -> Option<Arc<Call>> {
        let table = self.inner.table(id.origin).lock();
        table
            .get(id)
            .filter(|call| call.is_on(self.sender))
            .map(Arc::clone)
    }

    fn start(&mut self, request: Request, link: u64) -> ControlFlow<()> {
        let id = request.id;
        if id.origin != self.origin {
            return ControlFlow::Break(());
        }
        let call = Call::new(id, Arc::clone(self.sender), request.end);
        let now = self.inner.shared.clock.now();
        let arrival = self
            .inner
            .table(id.origin)
            .lock()
            .arrive(id, link, Arc::clone(&call), now);
        if arrival != Arrival::Queued {
            return ControlFlow::Break(());
        }
        if !request.end {
            self.uploads.retain(|upload| !upload.is_uploaded());
            self.uploads.push(Arc::clone(&call));
        }
        inbound_run::spawn(Arc::clone(self.inner), call, request);
        ControlFlow::Continue(())
    }

    fn take_part(&mut self, id: Id, bytes: bytes::Bytes, end: bool) -> ControlFlow<()> {
        match self.uploads.iter().find(|upload| upload.id == id) {
            Some(upload) if !upload.take_part(bytes, end) => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }

    /// Says what became of a call that was sent over an earlier link.
    fn answer(&self, id: Id, former: u64, head: bool, received: u64, room: u32) {
        let now = self.inner.shared.clock.now();
        let mut table = self.inner.table(id.origin).lock();
        let link = Arc::clone(self.sender);
        let verdict = match table.ask(id, former, now) {
            Outcome::NeverCame => Verdict::NotRun,
            Outcome::Withdrawn(call) => {
                call.resume(link, head, received, room);
                call.refuse(Verdict::NotRun, Reason::Cancelled, 0);
                call.cancel();
                return;
            }
            Outcome::Running(call) | Outcome::Over(call) => {
                if call.resume(link, head, received, room) {
                    return;
                }
                Verdict::MayHaveRun
            }
            Outcome::Forgotten => Verdict::MayHaveRun,
        };
        drop(table);
        let refusal = wire::call::Refusal {
            id,
            verdict,
            reason: Reason::Backend,
            retry_after_ms: 0,
        };
        // When this link is gone too, the question comes again over the next.
        drop(self.sender.send([Frame::Refusal(refusal)]));
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
            table.forget(now);
            table.forget_peers(now);
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
    loop {
        let changed = tokio::select! {
            changed = node.changed() => changed,
            changed = backend.changed() => changed,
        };
        let Some(inner) = inner.upgrade().filter(|_| changed.is_ok()) else {
            return;
        };
        let leaving = inner.is_leaving();
        if std::mem::replace(&mut told, leaving) == leaving {
            continue;
        }
        let links = inner.links.lock().clone();
        for sender in links.iter().filter_map(Weak::upgrade) {
            drop(sender.send([Frame::Leaving(leaving)]));
        }
    }
}
