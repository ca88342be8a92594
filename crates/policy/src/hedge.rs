//! Hedging: sends a second attempt of a call while the first is late.
//!
//! When a backend server stalls now and then, a call that meets the stall would wait for its end,
//! and so would every service above it in the call chain. As in Dean and Barroso, "The Tail at
//! Scale", 2013, the hedge is sent at the 95th percentile of latencies. Only repeatable calls are
//! hedged, and each hedge is paid for from the retry budget. Hedges add load themselves, so they
//! stop while they do not win and while there is overload.

use std::time::{Duration, Instant};

/// Quantile of the latencies after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.95;

/// Step by which the estimate of the quantile moves, as a share of it.
const QUANTILE_STEP: f64 = 0.05;

/// Share of hedges that have to win for hedging to continue.
const MIN_WIN_SHARE: f64 = 0.25;

/// Weight of a result in the share of hedges that won: a window of about 20 hedges.
const RESULT_WEIGHT: f64 = 0.05;

/// While too few hedges win, only one in this many is sent, to detect when hedging pays again.
const SAMPLE_INTERVAL: u32 = 20;

/// Time without hedges after a refusal because of overload, since hedges add load.
const OVERLOAD_PAUSE: Duration = Duration::from_secs(1);

/// Latencies needed before the estimated quantile is used.
const MIN_LATENCIES: u32 = 50;

/// Decides when repeatable calls of a service are hedged.
#[derive(Debug, Clone, Copy)]
pub struct HedgePolicy {
    quantile: f64,
    samples: u32,
    win_share: f64,
    skipped: u32,
    paused_until: Instant,
}

impl HedgePolicy {
    /// Starts without any measured latency.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            quantile: 0.0,
            samples: 0,
            win_share: 1.0,
            skipped: 0,
            paused_until: now,
        }
    }

    /// Records the latency of a first attempt, or the time after which a hedge overtook it.
    pub fn record_latency(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.quantile = took;
        }
        let step = QUANTILE_STEP * self.quantile.max(1e-6);
        self.quantile += if took > self.quantile {
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
            if self.skipped < SAMPLE_INTERVAL {
                return None;
            }
            self.skipped = 0;
        }
        Duration::try_from_secs_f64(self.quantile).ok()
    }

    /// Records whether a hedge was answered before the first attempt.
    pub fn record_result(&mut self, won: bool) {
        let won = if won { 1.0 } else { 0.0 };
        self.win_share += RESULT_WEIGHT * (won - self.win_share);
    }
}
