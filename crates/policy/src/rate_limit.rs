//! Limit on the rate at which calls start at a backend server, as the backend server names it.
//!
//! A backend server in need names the rate that it takes from all nodes together. The inbound proxy
//! beside it passes on every call that it gets, so one token bucket there holds the limit for the
//! whole fleet, whichever node a call comes from and however often it is tried.
//!
//! The bucket is empty at first. So the rate is also kept across a restart of the node, and over any
//! window, by nodes that have forgotten what they sent before.

use crate::self_report::Rate;
use std::time::{Duration, Instant};

/// Seconds of the rate that may be saved up while no call comes. With more, calls come in bursts
/// that the backend server can't take; with less, tokens are lost between two calls.
const BURST_SECONDS: f64 = 0.25;

/// Minimum number of calls that may be saved up.
const MIN_BURST: f64 = 2.0;

/// Lowest rate, in calls per second, at which calls are passed on. Only a response can report that
/// the limit has ended, so a backend server that takes nothing still gets a call now and then.
const MIN_RATE: f64 = 0.5;

/// Token bucket with one token for each call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateLimit {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    updated_at: Instant,
}

impl RateLimit {
    /// Creates a limit without tokens.
    pub(crate) fn new(now: Instant, rate: Rate) -> Self {
        Self {
            rate: rate.per_second().max(MIN_RATE),
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns the calls per second that may start.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    pub(crate) fn set_rate(&mut self, now: Instant, rate: Rate) {
        self.refill(now);
        self.rate = rate.per_second().max(MIN_RATE);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes the token of a call that starts.
    pub(crate) fn take(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Returns the time until a call may start; zero if one may start now.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        // Rounded up to a nanosecond, so that the token is there after the wait.
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
            + Duration::from_nanos(1)
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + age * self.rate).min(self.burst())
    }

    fn burst(&self) -> f64 {
        (BURST_SECONDS * self.rate).max(MIN_BURST)
    }
}
