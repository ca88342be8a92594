//! Metrics of the calls of one service.

use crate::metrics::retries::RetryCounters;
use burn::{History, Outcome};
use call::Verdict;
use config::Objective;
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use std::fmt;
use std::time::{Duration, Instant};

/// How a call ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The service answered with this HTTP status.
    Answered(u16),
    /// The service gave no answer.
    Refused(Verdict),
    /// The caller disconnected first.
    Cancelled,
}

/// Index of the counter of an [`Ending`].
#[derive(Debug, Clone, Copy)]
enum CounterIndex {
    Served,
    Failed,
    CallerFault,
    NotRun,
    MayHaveRun,
    Cancelled,
}

/// Label values of the endings, in the order of [`CounterIndex`].
pub(crate) const ENDING_LABELS: [&str; 6] = [
    "served",
    "failed",
    "caller_fault",
    "not_run",
    "may_have_run",
    "cancelled",
];

impl Ending {
    fn counter_index(self) -> CounterIndex {
        match self {
            Self::Answered(status) => match Outcome::from_status(status, false) {
                Outcome::Served { .. } => CounterIndex::Served,
                Outcome::Failed => CounterIndex::Failed,
                Outcome::CallerFault => CounterIndex::CallerFault,
            },
            Self::Refused(Verdict::NotRun) => CounterIndex::NotRun,
            Self::Refused(Verdict::MayHaveRun) => CounterIndex::MayHaveRun,
            Self::Refused(Verdict::Ran) => CounterIndex::Failed,
            Self::Cancelled => CounterIndex::Cancelled,
        }
    }

    fn outcome(self, slow: bool) -> Outcome {
        match self {
            Self::Answered(status) => Outcome::from_status(status, slow),
            Self::Refused(_) => Outcome::Failed,
            Self::Cancelled => Outcome::CallerFault,
        }
    }
}

/// The counters of one service, shared by all calls to it.
pub struct ServiceMetrics {
    start: Instant,
    endings: [Counter; ENDING_LABELS.len()],
    durations: Histogram,
    pub(crate) retries: RetryCounters,
    windows: Mutex<BurnWindows>,
}

/// Counts of calls over time windows, for the report on burn rates.
#[derive(Debug, Default)]
struct BurnWindows {
    history: History,
    /// The objective at the last call. It is kept here because the view drops a service that has
    /// lost its last endpoint, just when the burn rate of that service matters most.
    objective: Option<Objective>,
}

impl fmt::Debug for ServiceMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service").finish_non_exhaustive()
    }
}

impl ServiceMetrics {
    /// Creates the counters of a service on a node that started at `start`.
    pub(crate) fn new(
        start: Instant,
        endings: [Counter; ENDING_LABELS.len()],
        durations: Histogram,
        retries: RetryCounters,
    ) -> Self {
        Self {
            start,
            endings,
            durations,
            retries,
            windows: Mutex::default(),
        }
    }

    /// Records a call that ended at `now`, `elapsed` after it arrived from the caller.
    pub fn record(
        &self,
        now: Instant,
        ending: Ending,
        elapsed: Duration,
        objective: Option<&Objective>,
    ) {
        self.endings[ending.counter_index() as usize].inc();
        self.durations.observe(elapsed.as_secs_f64());
        let bound = objective.map(|objective| u128::from(objective.latency_ms));
        let slow = bound.is_some_and(|bound| elapsed.as_millis() > bound);
        let since_start = now.saturating_duration_since(self.start);
        let mut windows = self.windows.lock();
        windows.objective = objective.copied();
        windows.history.record(since_start, ending.outcome(slow));
    }

    /// Returns the counts of all windows that end at `now`.
    #[must_use]
    pub fn tally(&self, now: Instant) -> burn::ServiceCounts {
        let since_start = now.saturating_duration_since(self.start);
        let windows = self.windows.lock();
        burn::ServiceCounts {
            objective: windows.objective,
            windows: windows.history.tally(since_start),
        }
    }
}
