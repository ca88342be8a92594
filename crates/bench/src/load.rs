//! Open-loop load: calls are sent on a fixed schedule, however slow the answers are.

use crate::caller::{Answer, Call, Caller};
use crate::error::Error;
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Largest latency that a histogram records, in microseconds; longer latencies are recorded as this
/// value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant decimal digits of a histogram's values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Time before a scheduled send at which [`wait_until`] stops sleeping and begins to busy-wait: the
/// runtime's timer has a granularity of 1 ms and fires up to 1 ms late.
const BUSY_WAIT: Duration = Duration::from_micros(2_500);

/// Latencies of a series of calls, measured from their scheduled send times.
#[derive(Debug, Clone)]
pub struct LatencySeries {
    histogram: Histogram<u64>,
    /// Number of calls that failed or were not answered with success.
    pub errors: u64,
}

impl Default for LatencySeries {
    fn default() -> Self {
        Self::new()
    }
}

impl LatencySeries {
    /// Creates an empty series.
    ///
    /// # Panics
    ///
    /// Never: the histogram accepts these constant bounds.
    #[must_use]
    pub fn new() -> Self {
        Self {
            histogram: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are in order"),
            errors: 0,
        }
    }

    /// Records the latency of a call.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros);
    }

    /// Returns the number of recorded latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns a quantile of the latencies, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        Duration::from_micros(self.histogram.value_at_quantile(quantile)).as_secs_f64() * 1e3
    }
}

/// A call with its scheduled send time.
#[derive(Debug, Clone)]
pub struct PlannedCall {
    /// Scheduled send time, since the start of the run.
    pub at: Duration,
    /// Index of the series that the call belongs to.
    pub series: usize,
    /// Client that sends the call.
    pub caller: Caller,
    /// Request to send.
    pub call: Call,
}

/// Result of a planned call.
#[derive(Debug)]
pub struct Outcome {
    /// Index of the series that the call belongs to.
    pub series: usize,
    /// Scheduled send time, since the start of the run.
    pub at: Duration,
    /// Time from the scheduled send time to the complete answer or the error.
    pub latency: Duration,
    /// The answer, or why the call got no answer.
    pub result: Result<Answer, Error>,
}

/// Sends every call at its scheduled time, however late the answers to earlier calls are. Gives up
/// on a call after `limit`. Returns the outcomes in the order in which the calls ended.
pub async fn send_planned(plan: Vec<PlannedCall>, limit: Duration) -> Vec<Outcome> {
    send_planned_with(plan, move |planned| async move {
        planned.caller.send_within(&planned.call, limit).await
    })
    .await
}

/// Like [`send_planned`], but sends each call with `send`.
pub async fn send_planned_with<F, S>(mut plan: Vec<PlannedCall>, send: F) -> Vec<Outcome>
where
    F: Fn(PlannedCall) -> S,
    S: Future<Output = Result<Answer, Error>> + Send + 'static,
{
    plan.sort_by_key(|planned| planned.at);
    let total = plan.len();
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let start = Instant::now();
    for planned in plan {
        wait_until(start + planned.at).await;
        let sender = sender.clone();
        let (series, at) = (planned.series, planned.at);
        let answer = send(planned);
        tokio::spawn(async move {
            let result = answer.await;
            let latency = start.elapsed().saturating_sub(at);
            let outcome = Outcome {
                series,
                at,
                latency,
                result,
            };
            // Sending can't fail: the receiver is kept until it has received every outcome.
            let _received = sender.send(outcome);
        });
    }
    drop(sender);
    let mut outcomes = Vec::with_capacity(total);
    while let Some(outcome) = receiver.recv().await {
        outcomes.push(outcome);
    }
    outcomes
}

/// Sleeps until shortly before `due` and busy-waits for the rest of the time. The busy wait yields
/// to other tasks, so that the runtime still serves its sockets.
async fn wait_until(due: Instant) {
    if let Some(sleep) = due
        .checked_duration_since(Instant::now())
        .and_then(|left| left.checked_sub(BUSY_WAIT))
    {
        tokio::time::sleep(sleep).await;
    }
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}
