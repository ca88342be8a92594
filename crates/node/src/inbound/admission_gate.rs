//! The gate in front of the own backend server: runs `policy::admission` for calls that wait.

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

/// Longest sleep of the task that gives up on calls when none waits.
const IDLE_SLEEP: Duration = Duration::from_mins(1);

/// The gate in front of the own backend server.
pub(crate) struct Gate<C> {
    clock: C,
    state: Mutex<State>,
    /// Told when a call begins to wait.
    waiting: Notify,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    slots: u16,
    waiting: HashMap<Key, oneshot::Sender<Result<Ticket, Refusal>>>,
    rng: SmallRng,
}

/// The right to run one call; dropping it lets the next one run.
#[derive(Debug)]
pub(crate) struct Permit<C>
where
    C: Clock,
{
    gate: Arc<Gate<C>>,
    ticket: Option<Ticket>,
    /// How the call has ended, for the limit that is found from it.
    pub(crate) outcome: Outcome,
}

/// What becomes of a call at the gate.
#[derive(Debug)]
pub(crate) enum Offer<C>
where
    C: Clock,
{
    Run(Permit<C>),
    Wait(Waiting<C>),
    Refuse(Refusal),
}

/// A call that waits at the gate; dropping it withdraws it.
#[derive(Debug)]
pub(crate) struct Waiting<C>
where
    C: Clock,
{
    gate: Arc<Gate<C>>,
    key: Key,
    receiver: oneshot::Receiver<Result<Ticket, Refusal>>,
}

impl<C> fmt::Debug for Gate<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate").finish_non_exhaustive()
    }
}

impl State {
    fn tell_slots(&mut self, slots: u16) {
        if self.slots != slots {
            self.slots = slots;
            self.admission.set_advertised_slots(slots);
        }
    }

    /// Lets the calls run that may, and refuses those that are given up on.
    fn advance(&mut self, now: Instant) {
        while let Some(next) = self.admission.next(now, &mut self.rng) {
            let (key, result) = match next {
                Next::Run(key, ticket) => (key, Ok(ticket)),
                Next::Refuse(key, refusal) => (key, Err(refusal)),
            };
            let unsent = match self.waiting.remove(&key) {
                Some(sender) => sender.send(result).err(),
                None => Some(result),
            };
            // Nobody waits for it any more: its slot is for the next one.
            if let Some(Ok(ticket)) = unsent {
                self.admission.finish(now, ticket, Outcome::Failed);
            }
        }
    }
}

impl<C> Gate<C>
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
            waiting: Notify::new(),
        });
        tokio::spawn(give_up(Arc::downgrade(&gate)));
        gate
    }

    /// Offers a call to the backend server, which says that it has `slots`.
    pub(crate) fn offer(self: &Arc<Self>, slots: u16, request: &Request) -> Offer<C> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        state.tell_slots(slots);
        match state.admission.offer(now, request, &mut state.rng) {
            Decision::Run(ticket) => Offer::Run(self.permit(ticket)),
            Decision::Refuse(refusal) => Offer::Refuse(refusal),
            Decision::Wait(key) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(key, sender);
                self.waiting.notify_one();
                Offer::Wait(Waiting {
                    gate: Arc::clone(self),
                    key,
                    receiver,
                })
            }
        }
    }

    /// Gives what would become of a call at the backend server, which says that it has `slots`.
    pub(crate) fn outlook(&self, slots: u16, request: &Request) -> Estimate {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.tell_slots(slots);
        state.admission.estimate(now, request)
    }

    /// Refuses a call that would be refused now, before its body is asked for.
    pub(crate) fn foresee(&self, request: &Request) -> Option<Refusal> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        state.admission.precheck(now, request, &mut state.rng)
    }

    /// Gives how long a call of `route` is expected to run.
    pub(crate) fn expect(&self, route: u64) -> Duration {
        self.state.lock().admission.expected_duration(route)
    }

    /// Gives calls running and waiting over slots.
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

impl<C> Waiting<C>
where
    C: Clock,
{
    /// Waits until the call may run or is refused.
    pub(crate) async fn decided(mut self) -> Result<Permit<C>, Refusal> {
        let decided = (&mut self.receiver).await;
        // The gate answers all that wait, and outlives them.
        let ticket = decided.expect("the gate decides on every call")?;
        Ok(self.gate.permit(ticket))
    }
}

impl<C> Drop for Waiting<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut state = self.gate.state.lock();
        if state.waiting.remove(&self.key).is_some() {
            state.admission.withdraw(now, self.key);
        } else if let Ok(Ok(ticket)) = self.receiver.try_recv() {
            // It was let in while it went away.
            state.admission.finish(now, ticket, Outcome::Failed);
            state.advance(now);
        }
    }
}

impl<C> Permit<C>
where
    C: Clock,
{
    /// Gives calls running and waiting over slots.
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

/// Refuses waiting calls as their time at the gate is over.
async fn give_up<C>(gate: Weak<Gate<C>>)
where
    C: Clock,
{
    loop {
        let Some(held) = gate.upgrade() else {
            return;
        };
        let now = held.clock.now();
        let wake_at = {
            let mut state = held.state.lock();
            state.advance(now);
            state.admission.wake_at()
        };
        let sleep = wake_at.map_or(IDLE_SLEEP, |at| at.saturating_duration_since(now));
        tokio::select! {
            () = held.waiting.notified() => {}
            () = tokio::time::sleep(sleep) => {}
        }
    }
}
