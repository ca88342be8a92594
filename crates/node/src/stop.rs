//! What a graceful stop waits for, and the time limit of each step.

use crate::shared::Shared;
use clock::Clock;
use log::info;
use status::StopWaits;
use std::convert::Infallible;
use std::time::{Duration, Instant};

/// Interval between log lines about what a stop waits for.
const LOG_INTERVAL: Duration = Duration::from_secs(3);

/// The time reserved for the steps after the calls is the stop's limit divided by this number.
///
/// If the node is killed after 6 s, it has 3.3 s for its stop, of which 0.4 s are reserved.
/// Sending outcomes and a farewell takes some milliseconds.
const CLEANUP_DIVISOR: u32 = 8;

/// Maximum time that is reserved for the steps after the calls.
const MAX_CLEANUP_TIME: Duration = Duration::from_secs(2);

/// Steps of a stop after its calls have ended, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopStep {
    /// Write the outcomes of keyed calls to the platform.
    Outcomes,
    /// Announce to other nodes that this node leaves.
    Farewell,
    /// Stop the listeners for the backend server and for operators.
    Listeners,
}

/// Time limits of a graceful stop.
///
/// A node whose stop exceeds its limit is killed before the stop is complete. Each
/// step therefore has a limit, and time is reserved for the steps after the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    end: Instant,
    cleanup_time: Duration,
}

impl StopPlan {
    /// Plans a stop that starts at `now` and may take `limit`.
    #[must_use]
    pub fn new(now: Instant, limit: Duration) -> Self {
        Self {
            end: now + limit,
            cleanup_time: MAX_CLEANUP_TIME.min(limit / CLEANUP_DIVISOR),
        }
    }

    /// Returns how long the calls in flight may still take.
    #[must_use]
    pub fn call_time(&self, now: Instant) -> Duration {
        self.end.saturating_duration_since(now + self.cleanup_time)
    }

    /// Returns how long a step may take.
    ///
    /// Half of the cleanup time is reserved for the steps after the outcomes, and a quarter for the
    /// last step. Any step may use time that the calls have not used, up to a maximum of 2 s for
    /// the outcomes and 1 s for each other step.
    #[must_use]
    pub fn step_time(&self, step: StopStep, now: Instant) -> Duration {
        let (reserved, max) = match step {
            StopStep::Outcomes => (self.cleanup_time / 2, Duration::from_secs(2)),
            StopStep::Farewell => (self.cleanup_time / 4, Duration::from_secs(1)),
            StopStep::Listeners => (Duration::ZERO, Duration::from_secs(1)),
        };
        self.end.saturating_duration_since(now + reserved).min(max)
    }
}

/// Counts what a stop waits for, or would wait for if it started now.
pub(crate) fn read_waits<C>(shared: &Shared<C>) -> StopWaits
where
    C: Clock,
{
    let step = *shared.stop_step.lock();
    let is_at = |candidate: StopStep| usize::from(step == Some(candidate));
    StopWaits {
        callers: *shared.caller_connections.borrow(),
        calls: *shared.in_flight.borrow(),
        answers: *shared.unread_answers.borrow(),
        keyed: *shared.keyed_calls.borrow(),
        outcomes: is_at(StopStep::Outcomes),
        farewell: is_at(StopStep::Farewell),
        listeners: is_at(StopStep::Listeners),
    }
}

/// Logs every few seconds what a stop waits for.
pub(crate) async fn log_waits<C>(shared: &Shared<C>) -> Infallible
where
    C: Clock,
{
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
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

/// Logs every few seconds how many calls a leaving backend server waits for.
pub(crate) async fn log_backend_waits<C>(shared: std::sync::Weak<Shared<C>>)
where
    C: Clock,
{
    let Some(mut backend) = shared.upgrade().map(|shared| shared.backend.subscribe()) else {
        return;
    };
    while backend
        .wait_for(|current| current.as_ref().is_some_and(|current| current.leaving))
        .await
        .is_ok()
    {
        tokio::time::sleep(LOG_INTERVAL).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let calls = *shared.in_flight.borrow();
        if calls > 0 {
            info!(calls; "backend_waits");
        }
    }
}
