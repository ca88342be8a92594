//! Receives request bodies from other nodes: runs `policy::body_scheduler`, which decides which
//! senders get credit.

use crate::inbound::inbound_call::InboundCall;
use call::Id;
use clock::Clock;
use parking_lot::Mutex;
use policy::admission::Refusal;
use policy::body_scheduler::{BodyOffer, BodyScheduler, Key, Next};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

/// Longest sleep of the timer task while no body is pending.
const IDLE_SLEEP: Duration = Duration::from_mins(1);

/// Why a body wasn't received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// The body can't arrive in time; its sender gets no more credit.
    Refused(Refusal),
    /// The link or the body ended early.
    Aborted,
}

/// Receives the request bodies that arrive over the VM's link.
pub(crate) struct BodyReceiver<C> {
    clock: C,
    state: Mutex<State>,
    /// Wakes the timer task when a body is offered.
    timer_wakeup: Notify,
}

struct State {
    scheduler: BodyScheduler,
    pending: HashMap<Key, PendingBody>,
    keys: HashMap<Id, Key>,
    rng: SmallRng,
}

/// Receives the result when the body is complete or was given up.
type ResultReceiver = oneshot::Receiver<Result<(), Error>>;

/// A body that is being received.
struct PendingBody {
    call: Arc<InboundCall>,
    result_sender: oneshot::Sender<Result<(), Error>>,
}

/// A body that was received; dropping it frees its memory for another one.
#[derive(Debug)]
pub(crate) struct HeldBody<C>
where
    C: Clock,
{
    receiver: Arc<BodyReceiver<C>>,
    length: u64,
}

impl<C> Drop for HeldBody<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.receiver.clock.now();
        let mut state = self.receiver.state.lock();
        state.scheduler.release(self.length);
        state.advance(now);
    }
}

/// Guard that gives up a body if the guard is dropped before the body has been received.
struct ReceiveGuard<'a, C>
where
    C: Clock,
{
    receiver: &'a BodyReceiver<C>,
    id: Id,
}

impl<C> fmt::Debug for BodyReceiver<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyReceiver").finish_non_exhaustive()
    }
}

impl State {
    /// Grants the credit that is due, and ends the bodies that can't be complete in time.
    fn advance(&mut self, now: Instant) {
        while let Some(next) = self.scheduler.next(now, &mut self.rng) {
            match next {
                Next::Credit(key, bytes) => {
                    if let Some(pending) = self.pending.get(&key) {
                        pending.call.grant_credit(bytes);
                    }
                }
                Next::Refuse(key, refusal) => self.finish(key, Err(Error::Refused(refusal))),
            }
        }
    }

    fn finish(&mut self, key: Key, result: Result<(), Error>) {
        self.scheduler.remove(key);
        if let Some(pending) = self.pending.remove(&key) {
            self.keys.remove(&pending.call.id);
            // If nobody waits any more, the body was already given up.
            let _undelivered = pending.result_sender.send(result);
        }
    }
}

impl<C> BodyReceiver<C>
where
    C: Clock,
{
    /// Starts a receiver that holds up to `max_held` bytes in memory. `rate` is the link's capacity
    /// in bytes per second, if it is known.
    pub(crate) fn spawn(clock: C, rate: Option<f64>, max_held: u64, seed: u64) -> Arc<Self> {
        let receiver = Arc::new(Self {
            state: Mutex::new(State {
                scheduler: BodyScheduler::new(clock.now(), rate, max_held),
                pending: HashMap::new(),
                keys: HashMap::new(),
                rng: SmallRng::seed_from_u64(seed),
            }),
            clock,
            timer_wakeup: Notify::new(),
        });
        tokio::spawn(run_timer(Arc::downgrade(&receiver)));
        receiver
    }

    /// Waits until the body of a call has been received, up to the length in its offer.
    pub(crate) async fn receive(
        self: &Arc<Self>,
        call: &Arc<InboundCall>,
        offer: &BodyOffer,
    ) -> Result<HeldBody<C>, Error> {
        let receiver = self.offer(call, offer).map_err(Error::Refused)?;
        let _guard = ReceiveGuard {
            receiver: self,
            id: call.id,
        };
        receiver.await.unwrap_or(Err(Error::Aborted))?;
        Ok(HeldBody {
            receiver: Arc::clone(self),
            length: offer.length,
        })
    }

    fn offer(&self, call: &Arc<InboundCall>, offer: &BodyOffer) -> Result<ResultReceiver, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let key = state.scheduler.offer(now, offer, &mut state.rng)?;
        let (sender, receiver) = oneshot::channel();
        let pending = PendingBody {
            call: Arc::clone(call),
            result_sender: sender,
        };
        state.pending.insert(key, pending);
        state.keys.insert(call.id, key);
        state.advance(now);
        self.timer_wakeup.notify_one();
        Ok(receiver)
    }

    /// Records that bytes of a call's body were received.
    pub(crate) fn record_received(&self, id: Id, bytes: usize, end: bool) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let Some(key) = state.keys.get(&id).copied() else {
            return;
        };
        state.scheduler.receive(now, key, bytes as u64);
        if !state.scheduler.is_pending(key) {
            state.finish(key, Ok(()));
        } else if end {
            // The body is shorter than its announced length.
            state.finish(key, Err(Error::Aborted));
        }
        state.advance(now);
    }

    /// Ends the body of a call once it is known that no more of that body will arrive.
    pub(crate) fn abort(&self, id: Id) {
        self.finish(id, Err(Error::Aborted));
    }

    /// Returns the number of waiting and incoming bodies, divided by the number at which the link
    /// counts as full.
    pub(crate) fn load(&self) -> f64 {
        self.state.lock().scheduler.load()
    }

    fn finish(&self, id: Id, result: Result<(), Error>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if let Some(key) = state.keys.get(&id).copied() {
            state.finish(key, result);
            state.advance(now);
        }
    }
}

impl<C> Drop for ReceiveGuard<'_, C>
where
    C: Clock,
{
    fn drop(&mut self) {
        self.receiver.finish(self.id, Err(Error::Aborted));
    }
}

/// Timer task: refuses waiting bodies whose time is over, and passes over senders that stall.
async fn run_timer<C>(receiver: Weak<BodyReceiver<C>>)
where
    C: Clock,
{
    loop {
        let Some(receiver) = receiver.upgrade() else {
            return;
        };
        let now = receiver.clock.now();
        let wake_at = {
            let mut state = receiver.state.lock();
            state.advance(now);
            state.scheduler.wake_at(now)
        };
        let sleep = wake_at.map_or(IDLE_SLEEP, |at| at.saturating_duration_since(now));
        tokio::select! {
            () = receiver.timer_wakeup.notified() => {}
            () = tokio::time::sleep(sleep) => {}
        }
    }
}
