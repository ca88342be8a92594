//! What a graceful stop waits for, and how long for each.

use crate::shared::Shared;
use clock::Clock;
use log::info;
use status::Waits;
use std::convert::Infallible;
use std::time::{Duration, Instant};

/// Time between two lines that tell what a stop waits for.
const TELL: Duration = Duration::from_secs(3);

/// Share of a stop's time that is kept for what follows the calls, as a divisor.
///
/// Of the 3.3 s that a node has of a kill after 6 s, 0.4 s: outcomes and a farewell
/// that go out take some milliseconds.
const TAIL_SHARE: u32 = 8;

/// Most of a stop's time that is kept for what follows the calls.
const TAIL: Duration = Duration::from_secs(2);

/// What a stop does after its calls have ended, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The platform takes the outcomes of keyed calls.
    Outcomes,
    /// Other nodes are told that this one leaves.
    Farewell,
    /// The listeners for the backend server and for operators end.
    Listeners,
}

/// The time of a graceful stop.
///
/// Guards against a stop that outlasts its limit and is killed half way: each step
/// has a bound, and the calls leave time for those that follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    end: Instant,
    tail: Duration,
}

impl Plan {
    /// Plans a stop that begins now and may take `limit`.
    #[must_use]
    pub fn new(now: Instant, limit: Duration) -> Self {
        Self {
            end: now + limit,
            tail: TAIL.min(limit / TAIL_SHARE),
        }
    }

    /// Gives how long calls may take.
    #[must_use]
    pub fn call_time(&self, now: Instant) -> Duration {
        self.end.saturating_duration_since(now + self.tail)
    }

    /// Gives how long a step may take: half of the tail is kept for those after the
    /// outcomes, a quarter for the last; time that the calls left is for all of them.
    #[must_use]
    pub fn step_time(&self, step: Step, now: Instant) -> Duration {
        let (kept, most) = match step {
            Step::Outcomes => (self.tail / 2, Duration::from_secs(2)),
            Step::Farewell => (self.tail / 4, Duration::from_secs(1)),
            Step::Listeners => (Duration::ZERO, Duration::from_secs(1)),
        };
        self.end.saturating_duration_since(now + kept).min(most)
    }
}

/// Counts what a stop waits for, or would if it came now.
pub(crate) fn read_waits<C>(shared: &Shared<C>) -> Waits
where
    C: Clock,
{
    let step = *shared.stop_step.lock();
    let at = |one: Step| usize::from(step == Some(one));
    Waits {
        callers: *shared.caller_connections.borrow(),
        calls: *shared.in_flight.borrow(),
        answers: *shared.unread_answers.borrow(),
        keyed: *shared.keyed_calls.borrow(),
        outcomes: at(Step::Outcomes),
        farewell: at(Step::Farewell),
        listeners: at(Step::Listeners),
    }
}

/// Tells every few seconds what a stop waits for.
pub(crate) async fn log_waits<C>(shared: &Shared<C>) -> Infallible
where
    C: Clock,
{
    loop {
        tokio::time::sleep(TELL).await;
        let waits = read_waits(shared);
        info!(
            callers = waits.callers,
            calls = waits.calls,
            answers = waits.answers,
            keyed = waits.keyed,
            outcomes = waits.outcomes,
            farewell = waits.farewell,
            listeners = waits.listeners;
            "stop_waits"
        );
    }
}

/// Tells every few seconds what a backend server that leaves waits for.
pub(crate) async fn log_backend_waits<C>(shared: std::sync::Weak<Shared<C>>)
where
    C: Clock,
{
    let Some(mut backend) = shared.upgrade().map(|shared| shared.backend.subscribe()) else {
        return;
    };
    while backend
        .wait_for(|own| own.as_ref().is_some_and(|own| own.leaving))
        .await
        .is_ok()
    {
        tokio::time::sleep(TELL).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let calls = *shared.in_flight.borrow();
        if calls > 0 {
            info!(calls; "backend_waits");
        }
    }
}
