//! Open-loop load: send times are fixed beforehand.

use crate::caller::{Answer, Call, Caller};
use crate::error::Error;
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Longest latency that a histogram tells apart, in microseconds.
const HIGHEST_US: u64 = 60_000_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// Time before a send at which the pacer stops sleeping and spins: the
/// runtime's timer has a granularity of 1 ms and fires up to one late.
const SPIN: Duration = Duration::from_micros(2_500);

/// Latencies of one series, from the intended send times.
#[derive(Debug, Clone)]
pub struct LatencySeries {
    histogram: Histogram<u64>,
    /// Calls that got no good answer.
    pub errors: u64,
}

impl Default for LatencySeries {
    fn default() -> Self {
        Self::new()
    }
}

impl LatencySeries {
    /// Makes an empty series.
    ///
    /// # Panics
    ///
    /// Never: the bounds are constants that the histogram takes.
    #[must_use]
    pub fn new() -> Self {
        Self {
            histogram: Histogram::new_with_bounds(1, HIGHEST_US, DIGITS)
                .expect("the bounds are in order"),
            errors: 0,
        }
    }

    /// Counts an answer.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros);
    }

    /// Gives the number of answers.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Gives a quantile, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        Duration::from_micros(self.histogram.value_at_quantile(quantile)).as_secs_f64() * 1e3
    }
}

/// A call to be sent at a time fixed beforehand.
#[derive(Debug, Clone)]
pub struct PlannedCall {
    /// When, from the start of the run.
    pub at: Duration,
    /// Which series it counts for.
    pub series: usize,
    /// Who sends it.
    pub caller: Caller,
    /// What is sent.
    pub call: Call,
}

/// What became of a planned call.
#[derive(Debug)]
pub struct Outcome {
    /// Which series it counts for.
    pub series: usize,
    /// When it was to be sent, from the start of the run.
    pub at: Duration,
    /// Time from then to the whole answer.
    pub latency: Duration,
    /// The answer.
    pub result: Result<Answer, Error>,
}

/// Sends every planned call at its time, however late the answers are, and gives what became of them.
pub async fn send_planned(plan: Vec<PlannedCall>, limit: Duration) -> Vec<Outcome> {
    send_planned_with(plan, move |planned| async move {
        planned.caller.send_within(&planned.call, limit).await
    })
    .await
}

/// As [`send_planned`], with `send` for sending one call.
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
            let answer = answer.await;
            let latency = start.elapsed().saturating_sub(at);
            let outcome = Outcome {
                series,
                at,
                latency,
                result: answer,
            };
            // The receiver lives until every outcome is in.
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

/// Sleeps most of the way and spins the rest, still serving the runtime's sockets.
async fn wait_until(due: Instant) {
    if let Some(long) = due
        .checked_duration_since(Instant::now())
        .and_then(|left| left.checked_sub(SPIN))
    {
        tokio::time::sleep(long).await;
    }
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}
