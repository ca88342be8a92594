//! Admission to the backend server of this node: runs `policy::admission` and holds the calls
//! that wait.

use clock::Clock;
use parking_lot::Mutex;
use policy::admission::{Admission, Decision, Next, Refusal, Request, Ticket};
use policy::limit::Outcome;
use policy::load_probe::Estimate;
use policy::queue::Key;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

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
    waiting: HashMap<Key, oneshot::Sender<Result<Ticket, Refusal>>>,
    rng: SmallRng,
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
    fn set_slots(&mut self, slots: u16) {
        if self.slots != slots {
            self.slots = slots;
            self.admission.set_advertised_slots(slots);
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
    pub(crate) fn spawn(clock: C, seed: u64) -> Arc<Self> {
        let now = clock.now();
        let gate = Arc::new(Self {
            clock,
            state: Mutex::new(State {
                admission: Admission::new(now, 0, seed),
                slots: 0,
                waiting: HashMap::new(),
                rng: SmallRng::seed_from_u64(seed),
            }),
            timer_wakeup: Notify::new(),
        });
        tokio::spawn(run_timer(Arc::downgrade(&gate)));
        gate
    }

    /// Offers a call to the backend server, which advertises `slots`.
    pub(crate) fn offer(self: &Arc<Self>, slots: u16, request: &Request) -> GateDecision<C> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        state.set_slots(slots);
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

    /// Estimates what would happen to a call at the backend server, which advertises `slots`.
    pub(crate) fn estimate(&self, slots: u16, request: &Request) -> Estimate {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.set_slots(slots);
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

    /// Returns how long a call of `route` is expected to run.
    pub(crate) fn expected_duration(&self, route: u64) -> Duration {
        self.state.lock().admission.expected_duration(route)
    }

    /// Returns the number of running and waiting calls, divided by the number of slots.
    pub(crate) fn load(&self) -> f64 {
        self.state.lock().admission.load()
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
            state.admission.wake_at()
        };
        let sleep = wake_at.map_or(IDLE_SLEEP, |at| at.saturating_duration_since(now));
        tokio::select! {
            () = gate.timer_wakeup.notified() => {}
            () = tokio::time::sleep(sleep) => {}
        }
    }
}
