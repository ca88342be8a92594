//! Which calls were in flight at the own backend server as its process ended: runs
//! `policy::in_flight`.

use crate::inbound::Inner;
use crate::inbound::run::Refused;
use crate::inbound::running_calls::RunningCallGuard;
use crate::shared::Backend;
use call::{Crash, owner, truncate_path};
use clock::Clock;
use log::warn;
use policy::in_flight::{self, Key, Outcome, Suspect};
use policy::quarantine::RequestStatus;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use wire::call::{Reason, Request};

/// Time between two looks at a backend server that broke off a call and still listens:
/// the system takes the sockets of a process that ends one by one.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Longest wait of a nested call for another suspect: that one may be the call that it is
/// made for, and wait for it.
const NESTED_PATIENCE: Duration = Duration::from_millis(50);

/// When a request under suspicion may come back if another one is in flight.
const BUSY_WAIT_MS: u32 = 100;

/// Counts a call as in flight at the backend server until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight<C>
where
    C: Clock,
{
    inner: Arc<Inner<C>>,
    backend: Backend,
    key: Key,
    request: call::Digest,
    outcome: Outcome,
    _exclusive: Exclusive,
    /// What the calls that the backend server makes for this one find, while it runs.
    parent: Option<RunningCallGuard>,
}

/// The right of one request under suspicion to be in flight; the others wait for it.
#[derive(Debug)]
pub(crate) struct Exclusive {
    is_suspect: bool,
    /// Keeps other suspects from the backend server.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Exclusive {
    /// Waits until no other request under suspicion is in flight, if this one is under
    /// suspicion.
    ///
    /// Guards against an innocent request that is held: beside one that crashes what runs
    /// it, it would be in as many crashes. A crash with one suspect in flight shows which.
    pub(crate) async fn wait<C>(inner: &Inner<C>, request: &Request) -> Result<Self, Refused>
    where
        C: Clock,
    {
        let is_suspect = is_suspected(inner, request)? || request.is_suspect;
        if !is_suspect {
            return Ok(Self {
                is_suspect,
                _permit: None,
            });
        }
        let patience = match request.nested {
            Some(_) => NESTED_PATIENCE,
            None => Duration::MAX,
        };
        let permit = Arc::clone(&inner.suspects).acquire_owned();
        let permit = tokio::select! {
            biased;
            permit = tokio::time::timeout(patience, permit) => permit.ok().and_then(Result::ok),
            () = inner.left() => return Err(Refused::not_run(Reason::Leaving, 0)),
        };
        // What ran before may have been the same request.
        is_suspected(inner, request)?;
        Ok(Self {
            is_suspect,
            _permit: permit,
        })
    }

    /// Looks again after a wait for a slot, in which the request may have come under suspicion.
    pub(crate) fn confirm<C>(self, inner: &Inner<C>, request: &Request) -> Result<Self, Refused>
    where
        C: Clock,
    {
        if !is_suspected(inner, request)? || self.is_suspect {
            return Ok(self);
        }
        match Arc::clone(&inner.suspects).try_acquire_owned() {
            Ok(permit) => Ok(Self {
                is_suspect: true,
                _permit: Some(permit),
            }),
            Err(_another) => Err(Refused::not_run(Reason::Full, BUSY_WAIT_MS)),
        }
    }
}

/// Tells whether a request is under suspicion, and refuses one that is held.
pub(crate) fn is_suspected<C>(inner: &Inner<C>, request: &Request) -> Result<bool, Refused>
where
    C: Clock,
{
    let shared = &inner.shared;
    match shared.quarantine.status(shared.clock.now(), request.digest) {
        RequestStatus::Clear => Ok(false),
        RequestStatus::Suspect => Ok(true),
        RequestStatus::Held { wait } => Err(Refused::held(wait)),
    }
}

impl<C> InFlight<C>
where
    C: Clock,
{
    /// Counts a call as about to be given to the backend server.
    pub(crate) fn new(
        inner: &Arc<Inner<C>>,
        backend: &Backend,
        request: &Request,
        exclusive: Exclusive,
    ) -> Self {
        let tracked = in_flight::Request {
            digest: request.digest,
            method: request.method.clone(),
            path: truncate_path(&request.path),
            is_suspect: exclusive.is_suspect,
        };
        let now = inner.shared.clock.now();
        let key = inner
            .in_flight
            .lock()
            .start(now, backend.process(), tracked);
        Self {
            inner: Arc::clone(inner),
            backend: backend.clone(),
            key,
            request: request.digest,
            outcome: Outcome::NotRun,
            _exclusive: exclusive,
            parent: None,
        }
    }

    /// Notes that the backend server gets the call now, and may run it.
    pub(crate) fn begin(&mut self, parent: RunningCallGuard) {
        self.parent = Some(parent);
        self.outcome = Outcome::Unanswered;
    }

    /// Says what the call came to; once begun it is unanswered unless this is called.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Ends a call whose connection broke; tells whether the process has ended.
    pub(crate) async fn finish_broken(self) -> bool {
        let (inner, backend) = (Arc::clone(&self.inner), self.backend.clone());
        drop(self);
        let has_ended = look(&inner, &backend).await;
        if !has_ended {
            look_later(inner, backend);
        }
        has_ended
    }

    /// Looks after a process that broke off in the midst of an answer.
    pub(crate) fn look_later(&self) {
        look_later(Arc::clone(&self.inner), self.backend.clone());
    }
}

impl<C> Drop for InFlight<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let shared = &self.inner.shared;
        let now = shared.clock.now();
        self.inner
            .in_flight
            .lock()
            .finish(now, self.key, self.outcome);
        if self.outcome == Outcome::Answered {
            shared
                .quarantine
                .record_answer(&shared.clock, &shared.metrics, self.request);
        }
    }
}

fn look_later<C>(inner: Arc<Inner<C>>, backend: Backend)
where
    C: Clock,
{
    tokio::spawn(async move {
        tokio::time::sleep(LOOK_AGAIN).await;
        look(&inner, &backend).await;
    });
}

/// Looks whether a process that broke off a call has ended, and if so takes in what ran on it.
pub(crate) async fn look<C>(inner: &Inner<C>, backend: &Backend) -> bool
where
    C: Clock,
{
    let now = inner.shared.clock.now();
    let is_doubted = inner
        .in_flight
        .lock()
        .has_unanswered(now, backend.process());
    if !is_doubted || !inner.pool.is_deserted(backend.address).await {
        return false;
    }
    note_end(inner, backend);
    true
}

/// Takes in that a process of the backend server has ended without a farewell.
pub(crate) fn note_end<C>(inner: &Inner<C>, backend: &Backend)
where
    C: Clock,
{
    let shared = &inner.shared;
    let found = inner
        .in_flight
        .lock()
        .take_suspects(shared.clock.now(), backend.process());
    // One that has said farewell may end as it likes once its time is over.
    let process = backend.process();
    let has_left = |own: &Backend| own.leaving && own.process() == process;
    if found.is_empty() || shared.backend.borrow().as_ref().is_some_and(has_left) {
        return;
    }
    warn!(
        service = backend.service.as_str(),
        process,
        requests = found.len();
        "backend_crashed"
    );
    let id = name_end(&shared.settings.name, process);
    let crashes = found
        .into_iter()
        .map(|Suspect { request, is_alone }| Crash {
            id,
            request: request.digest,
            node: shared.settings.name.clone(),
            service: backend.service.clone(),
            method: request.method,
            path: request.path,
            age_ms: 0,
            is_alone,
            is_cleared: false,
        });
    let crashes = crashes.collect();
    shared
        .quarantine
        .report_crashes(&shared.clock, &shared.metrics, crashes);
}

/// Names the end of a process, the same each time that it is found.
///
/// A call that meets the closing port a moment later finds it once more: counted as another
/// end, one crash would be two. A process without a name of its own is told from none.
fn name_end(node: &str, process: u64) -> u64 {
    match process {
        0 => rand::random(),
        process => owner::rank(process, node),
    }
}
