//! What a node counts of one service's calls.

use burn::{History, Outcome};
use call::Verdict;
use config::Objective;
use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use std::fmt;
use std::time::{Duration, Instant};

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With an answer of the service, of this HTTP status.
    Answered(u16),
    /// Without an answer.
    Refused(Verdict),
    /// The caller went away first.
    Cancelled,
}

/// Number of an [`Ending`]'s counter.
#[derive(Debug, Clone, Copy)]
enum Slot {
    Served,
    Failed,
    CallerFault,
    NotRun,
    MayHaveRun,
    Cancelled,
}

/// Label values of the endings, in the order of [`Slot`].
pub(crate) const SLOT_LABELS: [&str; 6] = [
    "served",
    "failed",
    "caller_fault",
    "not_run",
    "may_have_run",
    "cancelled",
];

impl Ending {
    fn slot(self) -> Slot {
        match self {
            Self::Answered(status) => match Outcome::of_status(status, false) {
                Outcome::Served { .. } => Slot::Served,
                Outcome::Failed => Slot::Failed,
                Outcome::CallerFault => Slot::CallerFault,
            },
            Self::Refused(Verdict::NotRun) => Slot::NotRun,
            Self::Refused(Verdict::MayHaveRun) => Slot::MayHaveRun,
            Self::Refused(Verdict::Ran) => Slot::Failed,
            Self::Cancelled => Slot::Cancelled,
        }
    }

    fn outcome(self, slow: bool) -> Outcome {
        match self {
            Self::Answered(status) => Outcome::of_status(status, slow),
            Self::Refused(_) => Outcome::Failed,
            Self::Cancelled => Outcome::CallerFault,
        }
    }
}

/// The counters of one service; kept by the path of a call.
pub struct Service {
    start: Instant,
    endings: [Counter; SLOT_LABELS.len()],
    durations: Histogram,
    windows: Mutex<Windows>,
}

/// What the report on burn is made from.
#[derive(Debug, Default)]
struct Windows {
    history: History,
    /// The promise at the last call: the view forgets a service that has lost its last endpoint,
    /// which is just when its burn matters.
    objective: Option<Objective>,
}

impl fmt::Debug for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service").finish_non_exhaustive()
    }
}

impl Service {
    /// Makes the counters of a service of a node that started at `start`.
    pub(crate) fn new(
        start: Instant,
        endings: [Counter; SLOT_LABELS.len()],
        durations: Histogram,
    ) -> Self {
        Self {
            start,
            endings,
            durations,
            windows: Mutex::default(),
        }
    }

    /// Counts a call that ended at `now`, `elapsed` after the caller made it.
    pub fn record(
        &self,
        now: Instant,
        ending: Ending,
        elapsed: Duration,
        objective: Option<&Objective>,
    ) {
        self.endings[ending.slot() as usize].inc();
        self.durations.observe(elapsed.as_secs_f64());
        let bound = objective.map(|objective| u128::from(objective.latency_ms));
        let slow = bound.is_some_and(|bound| elapsed.as_millis() > bound);
        let since_start = now.saturating_duration_since(self.start);
        let mut windows = self.windows.lock();
        windows.objective = objective.copied();
        windows.history.record(since_start, ending.outcome(slow));
    }

    /// Gives the counts of all windows that end at `now`.
    #[must_use]
    pub fn tally(&self, now: Instant) -> burn::Service {
        let since_start = now.saturating_duration_since(self.start);
        let windows = self.windows.lock();
        burn::Service {
            objective: windows.objective,
            windows: windows.history.tally(since_start),
        }
    }
}
