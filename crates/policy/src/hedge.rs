//! Hedging: sends a second attempt of a call while the first is late.
//!
//! When a backend server stalls now and then, a call that arrives during a stall would wait for the
//! end of the stall, and so would every service above in the call chain. As in Dean and Barroso,
//! "The Tail at Scale", 2013, a hedge is sent once the first attempt has taken longer than the 95th
//! percentile of latencies. Only repeatable calls are hedged, and each hedge is paid for from the
//! retry budget. Hedges add load themselves, so few are sent while too few of them win, and none
//! shortly after a refusal because of overload.

use std::time::{Duration, Instant};

/// Quantile of the latencies after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.95;

/// Step by which a new latency moves the estimate of the quantile, as a share of the estimate.
const QUANTILE_STEP: f64 = 0.05;

/// Share of hedges that have to win for hedging to continue.
const MIN_WIN_SHARE: f64 = 0.25;

/// Weight of a result in the share of hedges that won: a window of about 20 hedges.
const RESULT_WEIGHT: f64 = 0.05;

/// While too few hedges win, only one in this many calls is hedged, to detect when hedging pays
/// again.
const CALLS_PER_SAMPLE_HEDGE: u32 = 20;

/// Time without hedges after a refusal because of overload, since hedges add load.
const OVERLOAD_PAUSE: Duration = Duration::from_secs(1);

/// Latencies needed before the estimated quantile is used.
const MIN_LATENCIES: u32 = 50;

/// Decides when repeatable calls of a service are hedged.
#[derive(Debug, Clone, Copy)]
pub struct HedgePolicy {
    /// Estimate of the latency at [`HEDGE_QUANTILE`], in seconds.
    latency_quantile: f64,
    samples: u32,
    win_share: f64,
    /// Calls not hedged since the last hedge that was sent while too few won.
    skipped: u32,
    paused_until: Instant,
}

impl HedgePolicy {
    /// Creates a policy that hedges no call until enough latencies have been recorded.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            latency_quantile: 0.0,
            samples: 0,
            win_share: 1.0,
            skipped: 0,
            paused_until: now,
        }
    }

    /// Records the latency of a first attempt, or the time after which the hedge was answered
    /// before it.
    pub fn record_latency(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.latency_quantile = took;
        }
        let step = QUANTILE_STEP * self.latency_quantile.max(1e-6);
        self.latency_quantile += if took > self.latency_quantile {
            step * HEDGE_QUANTILE
        } else {
            -step * (1.0 - HEDGE_QUANTILE)
        };
    }

    /// Suspends hedging after a call was refused because of overload.
    pub fn pause(&mut self, now: Instant) {
        self.paused_until = now + OVERLOAD_PAUSE;
    }

    /// Returns the delay after which a `repeatable` call is to be hedged, if at all. The hedge has
    /// to be paid for with [`RetryBudget::spend`](crate::retry::RetryBudget::spend).
    pub fn delay(&mut self, now: Instant, repeatable: bool) -> Option<Duration> {
        if !repeatable || self.samples < MIN_LATENCIES || now < self.paused_until {
            return None;
        }
        if self.win_share < MIN_WIN_SHARE {
            self.skipped += 1;
            if self.skipped < CALLS_PER_SAMPLE_HEDGE {
                return None;
            }
            self.skipped = 0;
        }
        Duration::try_from_secs_f64(self.latency_quantile).ok()
    }

    /// Records whether a hedge was answered before the first attempt.
    pub fn record_result(&mut self, won: bool) {
        let won = if won { 1.0 } else { 0.0 };
        self.win_share += RESULT_WEIGHT * (won - self.win_share);
    }
}
