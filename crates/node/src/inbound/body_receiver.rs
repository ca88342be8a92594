//! The bodies that other nodes send: runs `policy::body_scheduler` for calls whose bodies come in.

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

/// Longest sleep of the task that gives up on bodies when none is on its way.
const IDLE_SLEEP: Duration = Duration::from_mins(1);

/// Why a body is not here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// It could not be whole in time, and nothing more of it is asked for.
    Refused(Refusal),
    /// Its link ended before it.
    BrokenOff,
}

/// The bodies that come in over the VM's link.
pub(crate) struct Bodies<C> {
    clock: C,
    state: Mutex<State>,
    /// Told when a body is asked for.
    asked: Notify,
}

struct State {
    intake: BodyScheduler,
    pulls: HashMap<Key, Pull>,
    keys: HashMap<Id, Key>,
    rng: SmallRng,
}

/// Tells when a body is here, or why it is not.
type Ended = oneshot::Receiver<Result<(), Error>>;

/// A body on its way.
struct Pull {
    call: Arc<InboundCall>,
    ended: oneshot::Sender<Result<(), Error>>,
}

/// A body that is here; dropping it makes room for another one.
#[derive(Debug)]
pub(crate) struct Held<C>
where
    C: Clock,
{
    bodies: Arc<Bodies<C>>,
    length: u64,
}

impl<C> Drop for Held<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.bodies.clock.now();
        let mut state = self.bodies.state.lock();
        state.intake.release(self.length);
        state.advance(now);
    }
}

/// A body that is waited for; dropping it gives it up.
struct Waiting<'a, C>
where
    C: Clock,
{
    bodies: &'a Bodies<C>,
    id: Id,
}

impl<C> fmt::Debug for Bodies<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Bodies").finish_non_exhaustive()
    }
}

impl State {
    /// Asks for what may come now, and ends what can't be whole in time.
    fn advance(&mut self, now: Instant) {
        while let Some(next) = self.intake.next(now, &mut self.rng) {
            match next {
                Next::Credit(key, bytes) => {
                    if let Some(pull) = self.pulls.get(&key) {
                        pull.call.ask_more(bytes);
                    }
                }
                Next::Refuse(key, refusal) => self.end(key, Err(Error::Refused(refusal))),
            }
        }
    }

    fn end(&mut self, key: Key, result: Result<(), Error>) {
        self.intake.remove(key);
        if let Some(pull) = self.pulls.remove(&key) {
            self.keys.remove(&pull.call.id);
            // When nobody waits for it any more, it is given up already.
            let _heard = pull.ended.send(result);
        }
    }
}

impl<C> Bodies<C>
where
    C: Clock,
{
    /// Starts with a link of so many bytes a second, if that is known, and room for `most_held` bytes.
    pub(crate) fn spawn(clock: C, rate: Option<f64>, most_held: u64, seed: u64) -> Arc<Self> {
        let bodies = Arc::new(Self {
            state: Mutex::new(State {
                intake: BodyScheduler::new(clock.now(), rate, most_held),
                pulls: HashMap::new(),
                keys: HashMap::new(),
                rng: SmallRng::seed_from_u64(seed),
            }),
            clock,
            asked: Notify::new(),
        });
        tokio::spawn(give_up(Arc::downgrade(&bodies)));
        bodies
    }

    /// Waits until the body of a call is here, as far as its length is known.
    pub(crate) async fn pull(
        self: &Arc<Self>,
        call: &Arc<InboundCall>,
        ask: &BodyOffer,
    ) -> Result<Held<C>, Error> {
        let receiver = self.ask(call, ask).map_err(Error::Refused)?;
        let _waiting = Waiting {
            bodies: self,
            id: call.id,
        };
        receiver.await.unwrap_or(Err(Error::BrokenOff))?;
        Ok(Held {
            bodies: Arc::clone(self),
            length: ask.length,
        })
    }

    fn ask(&self, call: &Arc<InboundCall>, ask: &BodyOffer) -> Result<Ended, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let key = state.intake.offer(now, ask, &mut state.rng)?;
        let (sender, receiver) = oneshot::channel();
        let pull = Pull {
            call: Arc::clone(call),
            ended: sender,
        };
        state.pulls.insert(key, pull);
        state.keys.insert(call.id, key);
        state.advance(now);
        self.asked.notify_one();
        Ok(receiver)
    }

    /// Takes in that bytes of a call's body came.
    pub(crate) fn take(&self, id: Id, bytes: usize, end: bool) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let Some(key) = state.keys.get(&id).copied() else {
            return;
        };
        state.intake.receive(now, key, bytes as u64);
        if !state.intake.is_pending(key) {
            state.end(key, Ok(()));
        } else if end {
            // Shorter than its sender said it would be.
            state.end(key, Err(Error::BrokenOff));
        }
        state.advance(now);
    }

    /// Takes in that no more of a call's body will come.
    pub(crate) fn break_off(&self, id: Id) {
        self.end(id, Err(Error::BrokenOff));
    }

    /// Gives bodies that wait or come in over those that make the link count as full.
    pub(crate) fn load(&self) -> f64 {
        self.state.lock().intake.load()
    }

    fn end(&self, id: Id, result: Result<(), Error>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if let Some(key) = state.keys.get(&id).copied() {
            state.end(key, result);
            state.advance(now);
        }
    }
}

impl<C> Drop for Waiting<'_, C>
where
    C: Clock,
{
    fn drop(&mut self) {
        self.bodies.end(self.id, Err(Error::BrokenOff));
    }
}

/// Refuses waiting bodies as their time is over, and goes on past those that stall.
async fn give_up<C>(bodies: Weak<Bodies<C>>)
where
    C: Clock,
{
    loop {
        let Some(held) = bodies.upgrade() else {
            return;
        };
        let now = held.clock.now();
        let wake_at = {
            let mut state = held.state.lock();
            state.advance(now);
            state.intake.wake_at(now)
        };
        let sleep = wake_at.map_or(IDLE_SLEEP, |at| at.saturating_duration_since(now));
        tokio::select! {
            () = held.asked.notified() => {}
            () = tokio::time::sleep(sleep) => {}
        }
    }
}
