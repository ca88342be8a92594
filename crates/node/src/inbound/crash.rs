//! Detects that the process of the backend server has ended with calls in flight: runs
//! `policy::in_flight`.

use crate::framing::Flaw;
use crate::inbound::Inner;
use crate::inbound::rejected::record_rejected;
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

/// Time until a backend server that broke off a call and still listens is checked again. When a
/// process ends, the operating system closes its sockets one by one, so the listener may outlive
/// the connection of the call for a moment.
const RECHECK_DELAY: Duration = Duration::from_millis(50);

/// Longest time that a nested suspect waits for another suspect to end, before it runs anyway. The
/// other suspect may be the parent of the nested one, and a parent waits for its nested calls.
const MAX_NESTED_SUSPECT_WAIT: Duration = Duration::from_millis(50);

/// Retry delay for a suspect request that is refused because another suspect is in flight.
const SUSPECT_RETRY_AFTER_MS: u32 = 100;

/// A call in flight at the backend server; dropping this value removes the call from the table of
/// calls in flight.
#[derive(Debug)]
pub(crate) struct InFlightCall<C>
where
    C: Clock,
{
    inner: Arc<Inner<C>>,
    backend: Backend,
    key: Key,
    digest: call::Digest,
    outcome: Outcome,
    _suspect_permit: SuspectPermit,
    /// Makes the call known as a parent of nested calls while it runs.
    running_call: Option<RunningCallGuard>,
}

/// Permission for a request to be in flight. A request that is not a suspect always gets it; of the
/// suspects, only one at a time does, apart from nested ones that have waited for
/// [`MAX_NESTED_SUSPECT_WAIT`].
#[derive(Debug)]
pub(crate) struct SuspectPermit {
    is_suspect: bool,
    /// Held by a suspect; keeps other suspects from being sent to the backend server.
    _permit: Option<OwnedSemaphorePermit>,
}

impl SuspectPermit {
    /// If this request is a suspect, waits until no other suspect is in flight.
    ///
    /// Guards against holding an innocent request in quarantine: if an innocent suspect ran next to
    /// a request that crashes backend servers, both would be in flight at the same number of
    /// crashes. A crash with a single suspect in flight identifies the cause.
    pub(crate) async fn acquire<C>(inner: &Inner<C>, request: &Request) -> Result<Self, Refused>
    where
        C: Clock,
    {
        let is_suspect = check_quarantine(inner, request)? || request.is_suspect;
        if !is_suspect {
            return Ok(Self {
                is_suspect,
                _permit: None,
            });
        }
        let max_wait = match request.parent_class {
            Some(_) => MAX_NESTED_SUSPECT_WAIT,
            None => Duration::MAX,
        };
        let permit = Arc::clone(&inner.suspect_permits).acquire_owned();
        let permit = tokio::select! {
            biased;
            permit = tokio::time::timeout(max_wait, permit) => permit.ok().and_then(Result::ok),
            () = inner.wait_leaving() => return Err(Refused::not_run(Reason::Leaving, 0)),
        };
        // The suspect that ran before may have been the same request, and may have crashed the
        // backend server.
        check_quarantine(inner, request)?;
        Ok(Self {
            is_suspect,
            _permit: permit,
        })
    }

    /// Checks again after the wait for a slot, during which the request may have become a
    /// suspect.
    pub(crate) fn recheck<C>(self, inner: &Inner<C>, request: &Request) -> Result<Self, Refused>
    where
        C: Clock,
    {
        if !check_quarantine(inner, request)? || self.is_suspect {
            return Ok(self);
        }
        match Arc::clone(&inner.suspect_permits).try_acquire_owned() {
            Ok(permit) => Ok(Self {
                is_suspect: true,
                _permit: Some(permit),
            }),
            Err(_another) => Err(Refused::not_run(Reason::Full, SUSPECT_RETRY_AFTER_MS)),
        }
    }
}

/// Returns whether a request is a suspect, or the refusal of a request that is held in quarantine.
pub(crate) fn check_quarantine<C>(inner: &Inner<C>, request: &Request) -> Result<bool, Refused>
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

impl<C> InFlightCall<C>
where
    C: Clock,
{
    /// Registers a call that is about to be sent to the backend server.
    pub(crate) fn new(
        inner: &Arc<Inner<C>>,
        backend: &Backend,
        request: &Request,
        suspect_permit: SuspectPermit,
    ) -> Self {
        let tracked = in_flight::Request {
            digest: request.digest,
            method: request.method.clone(),
            path: truncate_path(&request.path),
            is_suspect: suspect_permit.is_suspect,
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
            digest: request.digest,
            outcome: Outcome::NotRun,
            _suspect_permit: suspect_permit,
            running_call: None,
        }
    }

    /// Records that the call is being sent to the backend server and may run from now on.
    pub(crate) fn mark_begun(&mut self, running_call: RunningCallGuard) {
        self.running_call = Some(running_call);
        self.outcome = Outcome::Unanswered;
    }

    /// Sets the outcome of the call; a call that was sent counts as unanswered if this isn't
    /// called.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Finishes a call whose connection broke; returns whether the process has ended.
    pub(crate) async fn finish_broken(self) -> bool {
        let (inner, backend) = (Arc::clone(&self.inner), self.backend.clone());
        drop(self);
        let has_ended = detect_crash(&inner, &backend).await;
        if !has_ended {
            detect_crash_later(inner, backend);
        }
        has_ended
    }

    /// Records that the answer to the call was rejected.
    pub(crate) fn record_rejected(&self, flaw: Flaw) {
        record_rejected(&self.inner, &self.backend, self.digest, flaw);
    }

    /// Schedules a check whether the process has ended, after it broke off in the middle of a
    /// response.
    pub(crate) fn detect_crash_later(&self) {
        detect_crash_later(Arc::clone(&self.inner), self.backend.clone());
    }
}

impl<C> Drop for InFlightCall<C>
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
                .record_answer(&shared.clock, &shared.metrics, self.digest);
        }
    }
}

fn detect_crash_later<C>(inner: Arc<Inner<C>>, backend: Backend)
where
    C: Clock,
{
    tokio::spawn(async move {
        tokio::time::sleep(RECHECK_DELAY).await;
        detect_crash(&inner, &backend).await;
    });
}

/// Checks whether a process that broke off a call has ended, and if so records the crash with the
/// calls that were in flight.
pub(crate) async fn detect_crash<C>(inner: &Inner<C>, backend: &Backend) -> bool
where
    C: Clock,
{
    let now = inner.shared.clock.now();
    let has_unanswered = inner
        .in_flight
        .lock()
        .has_unanswered(now, backend.process());
    if !has_unanswered || !inner.pool.has_no_listener(backend.address).await {
        return false;
    }
    record_crash(inner, backend);
    true
}

/// Records that a process of the backend server has ended without announcing that it leaves.
pub(crate) fn record_crash<C>(inner: &Inner<C>, backend: &Backend)
where
    C: Clock,
{
    let shared = &inner.shared;
    let suspects = inner
        .in_flight
        .lock()
        .take_suspects(shared.clock.now(), backend.process());
    // A process that has announced that it leaves may be ended in any way after its stop time;
    // that isn't a crash.
    let process = backend.process();
    let has_left = |current: &Backend| current.leaving && current.process() == process;
    if suspects.is_empty() || shared.backend.borrow().as_ref().is_some_and(has_left) {
        return;
    }
    warn!(
        service = backend.service.as_str(),
        process,
        requests = suspects.len();
        "backend_crashed"
    );
    let id = crash_id(&shared.settings.name, process);
    let crashes = suspects
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

/// Returns an identifier for the end of a process, the same each time that this end is detected.
///
/// A call that finds the port closed a moment later detects the same end again; with a different
/// identifier, one crash would count as two. A process without an identity (0) can't be told from
/// others, so each detection gets a random identifier.
fn crash_id(node: &str, process: u64) -> u64 {
    match process {
        0 => rand::random(),
        process => owner::rank(process, node),
    }
}
