//! Which calls get a second copy while the first is late.
//!
//! *Load pattern:* a backend server stalls now and then. *Without it* the call
//! that met the stall waits it out, and so does every layer above. *Grounds:*
//! Dean and Barroso, "The Tail at Scale", 2013, send the second copy at the
//! 95th percentile; only calls that may be repeated are copied, each copy is
//! paid for by the retry budget, and copies stop while they don't win or while
//! there is too much load, as they are load themselves.

use std::time::{Duration, Instant};

/// Quantile of latencies at which a second copy is sent.
const HEDGE_QUANTILE: f64 = 0.95;

/// Step of the quantile's estimate, as a share of it.
const QUANTILE_STEP: f64 = 0.05;

/// Share of hedges that have to win for hedging to go on.
const MIN_WIN_SHARE: f64 = 0.25;

/// Weight of a hedge's result in the share of those that won: about 20 hedges.
const RESULT_WEIGHT: f64 = 0.05;

/// While hedging does not pay, one in so many is sent to see whether it does again.
const SAMPLE_INTERVAL: u32 = 20;

/// Time without hedges after a refusal for load: copies are load.
const OVERLOAD_PAUSE: Duration = Duration::from_secs(1);

/// Latencies seen before the quantile is worth acting on.
const MIN_LATENCIES: u32 = 50;

/// Second copies of calls that may be repeated, while they pay.
#[derive(Debug, Clone, Copy)]
pub struct HedgePolicy {
    quantile: f64,
    samples: u32,
    win_share: f64,
    skipped: u32,
    paused_until: Instant,
}

impl HedgePolicy {
    /// Starts without an idea of the latencies.
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

    /// Takes in how long a first copy took, or that it was overtaken after so long.
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

    /// Takes in that a call was refused for load.
    pub fn pause(&mut self, now: Instant) {
        self.paused_until = now + OVERLOAD_PAUSE;
    }

    /// Gives the wait after which a second copy of a `repeatable` call is due,
    /// if one is to be sent; that copy is to be paid for by [`RetryBudget::spend`](crate::retry::RetryBudget::spend).
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

    /// Takes in whether a second copy was answered before the first.
    pub fn record_result(&mut self, won: bool) {
        let won = if won { 1.0 } else { 0.0 };
        self.win_share += RESULT_WEIGHT * (won - self.win_share);
    }
}
