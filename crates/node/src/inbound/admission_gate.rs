//! Admission to the backend server of this node: runs `policy::admission` and holds the calls
//! that wait.

use crate::shared::Backend;
use clock::Clock;
use parking_lot::Mutex;
use policy::admission::{Admission, Decision, Next, Refusal, Request, Ticket};
use policy::limit::Outcome;
use policy::load_probe::Estimate;
use policy::queue::Key;
use policy::self_report::{Rate, RateReading, Reading};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use settings::node::NestedCalls;
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};
use wire::call::ServerReport;

/// Longest sleep of the timer task while no call waits.
const IDLE_SLEEP: Duration = Duration::from_mins(1);

/// Admits calls to the backend server of this node.
pub(crate) struct AdmissionGate<C> {
    clock: C,
    state: Mutex<State>,
    /// Wakes the timer task when a call starts to wait.
    timer_wakeup: Notify,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    slots: u16,
    report: ReportState,
    waiting: HashMap<Key, oneshot::Sender<Result<Ticket, Refusal>>>,
    rng: SmallRng,
}

/// What the current process of the backend server has reported about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReportState {
    /// Identifies the process.
    pub(crate) process: u64,
    pub(crate) rate_limit: Option<Rate>,
    pub(crate) leaving: bool,
    /// Whether this node has received a response of the process. Until then, what other nodes know
    /// of the process is used: it may have run for long before this node started.
    has_responded: bool,
}

/// Permission to run one call; dropping it frees the slot for the next call.
#[derive(Debug)]
pub(crate) struct Permit<C>
where
    C: Clock,
{
    gate: Arc<AdmissionGate<C>>,
    ticket: Option<Ticket>,
    /// How the call ended, as input to the concurrency limit.
    pub(crate) outcome: Outcome,
}

/// What the gate decides on a call.
#[derive(Debug)]
pub(crate) enum GateDecision<C>
where
    C: Clock,
{
    Run(Permit<C>),
    Wait(WaitingCall<C>),
    Refuse(Refusal),
}

/// A call that waits for a slot; dropping it withdraws the call.
#[derive(Debug)]
pub(crate) struct WaitingCall<C>
where
    C: Clock,
{
    gate: Arc<AdmissionGate<C>>,
    key: Key,
    receiver: oneshot::Receiver<Result<Ticket, Refusal>>,
}

impl<C> fmt::Debug for AdmissionGate<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdmissionGate").finish_non_exhaustive()
    }
}

impl State {
    /// Updates the state to what the backend server advertises.
    fn set_backend(&mut self, now: Instant, backend: &Backend) {
        if self.slots != backend.slots {
            self.slots = backend.slots;
            self.admission.set_advertised_slots(backend.slots);
        }
        if self.report.process != backend.process() {
            // A limit is that of a process; a new process has named none yet.
            self.report = ReportState {
                process: backend.process(),
                ..ReportState::default()
            };
            self.admission.reset_pace();
            self.set_rate_limit(now, None);
        }
    }

    fn set_rate_limit(&mut self, now: Instant, rate_limit: Option<Rate>) {
        self.report.rate_limit = rate_limit;
        self.admission.set_rate_limit(now, rate_limit);
        self.advance(now);
    }

    /// Takes over what another node knows of the backend server's process.
    fn adopt_report(&mut self, now: Instant, known: Option<&ServerReport>) {
        let known = known.filter(|known| known.process == self.report.process);
        let known = known
            .and_then(|known| known.rate_limit)
            .map(Rate::from_millis);
        let Some(rate) = known.filter(|_| !self.report.has_responded) else {
            return;
        };
        // Of different rates, the lowest one: which of them is the latest is not known.
        if self.report.rate_limit.is_none_or(|limit| rate < limit) {
            self.set_rate_limit(now, Some(rate));
        }
    }

    /// Admits the waiting calls that may run, and refuses the waiting calls that have run out of
    /// time.
    fn advance(&mut self, now: Instant) {
        while let Some(next) = self.admission.next(now, &mut self.rng) {
            let (key, result) = match next {
                Next::Run(key, ticket) => (key, Ok(ticket)),
                Next::Refuse(key, refusal) => (key, Err(refusal)),
            };
            let undelivered = match self.waiting.remove(&key) {
                Some(sender) => sender.send(result).err(),
                None => Some(result),
            };
            // The caller has stopped waiting: free the slot for the next call.
            if let Some(Ok(ticket)) = undelivered {
                self.admission.finish(now, ticket, Outcome::Failed);
            }
        }
    }
}

impl<C> AdmissionGate<C>
where
    C: Clock,
{
    pub(crate) fn spawn(clock: C, seed: u64, nested_calls: NestedCalls) -> Arc<Self> {
        let now = clock.now();
        let admission = Admission::new(now, 0, seed);
        let gate = Arc::new(Self {
            clock,
            state: Mutex::new(State {
                admission: match nested_calls {
                    NestedCalls::Weighted => admission,
                    NestedCalls::First => admission.with_nested_first(),
                },
                slots: 0,
                report: ReportState::default(),
                waiting: HashMap::new(),
                rng: SmallRng::seed_from_u64(seed),
            }),
            timer_wakeup: Notify::new(),
        });
        tokio::spawn(run_timer(Arc::downgrade(&gate)));
        gate
    }

    /// Offers a call to the backend server.
    pub(crate) fn offer(self: &Arc<Self>, backend: &Backend, request: &Request) -> GateDecision<C> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        state.set_backend(now, backend);
        match state.admission.offer(now, request, &mut state.rng) {
            Decision::Run(ticket) => GateDecision::Run(self.permit(ticket)),
            Decision::Refuse(refusal) => GateDecision::Refuse(refusal),
            Decision::Wait(key) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(key, sender);
                self.timer_wakeup.notify_one();
                GateDecision::Wait(WaitingCall {
                    gate: Arc::clone(self),
                    key,
                    receiver,
                })
            }
        }
    }

    /// Estimates what would happen to a call at the backend server.
    pub(crate) fn estimate(&self, backend: &Backend, request: &Request) -> Estimate {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.set_backend(now, backend);
        state.admission.estimate(now, request)
    }

    /// Checks a call before its body is requested; returns the refusal if the call would be refused
    /// now.
    pub(crate) fn precheck(&self, request: &Request) -> Option<Refusal> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        state.admission.precheck(now, request, &mut state.rng)
    }

    /// Records what a response of the process `process` reports; returns the new state and whether
    /// it has changed, or `None` for a response of a former process.
    pub(crate) fn record_report(
        &self,
        process: u64,
        reading: &Reading,
    ) -> Option<(ReportState, bool)> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if state.report.process != process {
            return None;
        }
        if let Some(pace) = reading.load.and_then(|load| load.pace) {
            state.admission.record_pace(now, pace);
        }
        let previous = state.report;
        let rate_limit = match reading.rate {
            RateReading::Absent => None,
            RateReading::Named(rate) => Some(rate),
            RateReading::Unreadable => previous.rate_limit,
        };
        // What can't be read doesn't override what other nodes know.
        state.report.has_responded |= reading.rate != RateReading::Unreadable;
        // A process that leaves doesn't return.
        state.report.leaving |= reading.leaving;
        if rate_limit != previous.rate_limit {
            state.set_rate_limit(now, rate_limit);
            self.timer_wakeup.notify_one();
        }
        let reported = |report: &ReportState| (report.rate_limit, report.leaving);
        Some((state.report, reported(&state.report) != reported(&previous)))
    }

    /// Takes over what another node knows of the backend server.
    pub(crate) fn adopt_report(&self, backend: &Backend, known: Option<&ServerReport>) {
        if known.is_none() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.set_backend(now, backend);
        state.adopt_report(now, known);
        self.timer_wakeup.notify_one();
    }

    /// Returns what the backend server has reported.
    pub(crate) fn report(&self) -> ReportState {
        self.state.lock().report
    }

    /// Returns how long a call of `route` is expected to run.
    pub(crate) fn expected_duration(&self, route: u64) -> Duration {
        self.state.lock().admission.expected_duration(route)
    }

    /// Returns the number of running and waiting calls, divided by the number of slots.
    pub(crate) fn load(&self) -> f64 {
        self.state.lock().admission.load()
    }

    /// Returns how long calls take now, in multiples of their usual duration, if the backend server
    /// reports it.
    pub(crate) fn pace(&self) -> Option<f64> {
        let now = self.clock.now();
        self.state.lock().admission.pace(now)
    }

    fn permit(self: &Arc<Self>, ticket: Ticket) -> Permit<C> {
        Permit {
            gate: Arc::clone(self),
            ticket: Some(ticket),
            outcome: Outcome::Failed,
        }
    }

    fn finish(&self, ticket: Ticket, outcome: Outcome) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.admission.finish(now, ticket, outcome);
        state.advance(now);
    }
}

impl<C> WaitingCall<C>
where
    C: Clock,
{
    /// Waits until the call is admitted or refused.
    pub(crate) async fn wait(mut self) -> Result<Permit<C>, Refusal> {
        let decided = (&mut self.receiver).await;
        // The gate outlives all waiting calls and decides on each of them.
        let ticket = decided.expect("the gate decides on every call")?;
        Ok(self.gate.permit(ticket))
    }
}

impl<C> Drop for WaitingCall<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut state = self.gate.state.lock();
        if state.waiting.remove(&self.key).is_some() {
            state.admission.withdraw(now, self.key);
        } else if let Ok(Ok(ticket)) = self.receiver.try_recv() {
            // The call was admitted while it was being dropped.
            state.admission.finish(now, ticket, Outcome::Failed);
            state.advance(now);
        }
    }
}

impl<C> Permit<C>
where
    C: Clock,
{
    /// Returns the number of running and waiting calls, divided by the number of slots.
    pub(crate) fn load(&self) -> f64 {
        self.gate.load()
    }

    /// Returns how long calls take now, in multiples of their usual duration, if the backend server
    /// reports it.
    pub(crate) fn pace(&self) -> Option<f64> {
        self.gate.pace()
    }
}

impl<C> Drop for Permit<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.gate.finish(ticket, self.outcome);
        }
    }
}

/// Timer task: refuses waiting calls whose time at the gate is over.
async fn run_timer<C>(gate: Weak<AdmissionGate<C>>)
where
    C: Clock,
{
    loop {
        let Some(gate) = gate.upgrade() else {
            return;
        };
        let now = gate.clock.now();
        let wake_at = {
            let mut state = gate.state.lock();
            state.advance(now);
            state.admission.wake_at(now)
        };
        let sleep = wake_at.map_or(IDLE_SLEEP, |at| at.saturating_duration_since(now));
        tokio::select! {
            () = gate.timer_wakeup.notified() => {}
            () = tokio::time::sleep(sleep) => {}
        }
    }
}
