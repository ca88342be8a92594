//! What a graceful stop waits for, and the time limit of each step.

use crate::shared::Shared;
use clock::Clock;
use log::info;
use status::StopWaits;
use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Interval between log lines about what a stop waits for.
const LOG_INTERVAL: Duration = Duration::from_secs(3);

/// The time reserved for the steps after the calls is the stop's limit divided by this number. Calls
/// that are still running meanwhile go on.
///
/// If the node is killed after 6 s, 0.7 s are reserved. Sending outcomes and a farewell takes some
/// milliseconds.
const CLEANUP_DIVISOR: u32 = 8;

/// Maximum time that is reserved for the steps after the calls.
const MAX_CLEANUP_TIME: Duration = Duration::from_secs(2);

/// The time reserved for the answers to calls that have to end is the stop's limit divided by this
/// number.
const ANSWER_DIVISOR: u32 = 16;

/// Maximum time that is reserved for these answers.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(250);

/// The time at which the calls of a stopping node have to end.
///
/// A node that stops takes no call that can't end by then. Calls that are still running then are
/// answered by the node.
#[derive(Debug)]
pub struct CallEnd {
    at: watch::Sender<Option<Instant>>,
    cut_off: AtomicUsize,
}

impl Default for CallEnd {
    fn default() -> Self {
        Self {
            at: watch::Sender::new(None),
            cut_off: AtomicUsize::new(0),
        }
    }
}

impl CallEnd {
    /// Sets the time.
    pub fn set(&self, at: Instant) {
        self.at.send_replace(Some(at));
    }

    /// Returns the time; `None` while the node is not stopping.
    #[must_use]
    pub fn get(&self) -> Option<Instant> {
        *self.at.borrow()
    }

    /// Completes at that time.
    pub async fn reached<C>(&self, clock: &C)
    where
        C: Clock,
    {
        let mut at = self.at.subscribe();
        // The sender lives as long as `self`, so `wait_for` doesn't fail.
        drop(at.wait_for(Option::is_some).await);
        let at = self.get().unwrap_or_else(|| clock.now());
        tokio::time::sleep(at.saturating_duration_since(clock.now())).await;
    }

    /// Counts a call that was cut off.
    pub(crate) fn count_cut_off(&self) {
        self.cut_off.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls that were cut off.
    #[must_use]
    pub fn cut_off(&self) -> usize {
        self.cut_off.load(Ordering::Relaxed)
    }
}

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
    call_end: Instant,
    cleanup_start: Instant,
    cleanup_time: Duration,
}

impl StopPlan {
    /// Plans a stop that starts at `now` and may take `limit`.
    #[must_use]
    pub fn new(now: Instant, limit: Duration) -> Self {
        let answer_time = MAX_ANSWER_TIME.min(limit / ANSWER_DIVISOR);
        let cleanup_time = MAX_CLEANUP_TIME.min(limit / CLEANUP_DIVISOR);
        Self {
            end: now + limit,
            call_end: now + limit.saturating_sub(answer_time),
            cleanup_start: now + limit.saturating_sub(cleanup_time),
            cleanup_time,
        }
    }

    /// Returns when the last call has to end, so that there is time left to answer its caller.
    #[must_use]
    pub fn call_end(&self) -> Instant {
        self.call_end
    }

    /// Returns when the steps after the calls begin at the latest, while calls may still run.
    #[must_use]
    pub fn cleanup_start(&self) -> Instant {
        self.cleanup_start
    }

    /// Returns the time left for the whole stop.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.end.saturating_duration_since(now)
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
