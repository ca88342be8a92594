//! Which calls are tried again, and when.
//!
//! *Load pattern:* a backend server fails or is full, and every caller tries
//! three times, at each of 26 layers. *Without it* the load is multiplied just
//! when there is too much already, and stays so after the cause is gone.
//! *Grounds:* retries are a share of successes (Google's SRE book, "Handling
//! Overload": 10% a server; Finagle's retry budget: 20%), so that in a failure
//! of all there are next to none. Only this hop's own failures are tried
//! again: an answer of the backend server's, error or not, is passed up. So
//! when a call fails deep down, just the layer next to the failure tries
//! again.

use crate::backoff;
use crate::retry_quota::{FleetLimits, RetryQuota};
use call::Verdict;
use rand::Rng;
use std::time::{Duration, Instant};

/// Name of the request header by which a layer above says that this try is
/// itself a retry; a backend server that passes it on keeps the layers below
/// from multiplying it.
pub const HEADER: &str = "bluebellpick-retry";

/// Why a try came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The backend server leaves: another one will take it.
    Leaving,
    /// There was too much load, as the inbound proxy found; the backend server never saw it.
    Full,
    /// The backend server refused it.
    Shed,
    /// Its node could not be reached; another one will take it.
    Unreached,
    /// The try failed.
    Failed,
    /// The request is held, as it crashes backend servers ([`crate::quarantine`]).
    Held,
}

/// A try that came to nothing.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it came to nothing.
    pub cause: Cause,
    /// Whether the call may be repeated, whatever became of it.
    pub repeatable: bool,
    /// Tries so far, this one included.
    pub attempts: u8,
    /// Those of them that were given to a backend server, or may have been.
    pub dispatched: u8,
    /// Backend servers that ended while they ran the call.
    pub crashes: u8,
    /// Tries allowed by the retry rule.
    pub max_attempts: u8,
    /// Whether a layer above marked the call as a retry ([`HEADER`]).
    pub retried_by_caller: bool,
    /// Whether there are backend servers that have not refused the call, and
    /// after [`Cause::Full`] one that is not known to be full as well.
    pub has_alternative: bool,
    /// When nobody waits for the answer any more.
    pub deadline: Instant,
    /// How long a try is expected to take.
    pub expected_duration: Duration,
}

/// What follows a try that came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is tried again after a wait.
    Retry(Duration),
    /// The caller gets its final answer now.
    GiveUp(GiveUpReason),
}

/// Why there is no further try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It may have run, and may not be repeated.
    Unsafe,
    /// All tries are used, or no backend server is left.
    Exhausted,
    /// A layer above tries again already.
    RetriedByCaller,
    /// A further try would end after the deadline.
    Deadline,
    /// The budget is used up.
    Budget,
    /// It seems to crash the backend servers that run it.
    Crashes,
}

/// Tokens that a budget starts with and can hold: a quiet service may try
/// again too, and saved-up successes allow no storm.
const MAX_TOKENS: f64 = 10.0;

/// Tokens a second that come without successes, for services with a call now and then.
const TOKENS_PER_SECOND: f64 = 0.2;

/// Doors that a call may be turned away from. What outbound proxies know of
/// loads is some hundred milliseconds old, so that the first choice may be full
/// while another has room; with three doors of a service's four, 97 in 100 find
/// the room that a third of its backend servers have. Each costs a round trip.
const MAX_ADMISSION_ATTEMPTS: u8 = 3;

/// Backend servers that may end under one call: one may have been taken down by another
/// call that it ran beside; a second one speaks against the call itself.
const MAX_CRASHES: u8 = 2;

/// Ceilings of the wait before a try of a call that failed.
const BACKOFF_CEILINGS: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(200));

/// Retries of one service: a share of its successes, and within the part of the
/// fleet's allowance where operators bound the fleet.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    success_share: f64,
    refilled_at: Instant,
    allowance: Option<RetryQuota>,
}

impl RetryBudget {
    /// Makes a budget of retries in per cent of successes.
    #[must_use]
    pub fn new(now: Instant, percent: u8) -> Self {
        Self {
            tokens: if percent == 0 { 0.0 } else { MAX_TOKENS },
            success_share: f64::from(percent) / 100.0,
            refilled_at: now,
            allowance: None,
        }
    }

    /// Holds it within this node's part of what the whole fleet may repeat.
    #[must_use]
    pub fn with_fleet_limits(self, now: Instant, bounds: FleetLimits) -> Self {
        Self {
            allowance: Some(RetryQuota::new(now, bounds)),
            ..self
        }
    }

    /// Takes in how many nodes the fleet has.
    pub fn set_node_count(&mut self, now: Instant, nodes: usize) {
        if let Some(allowance) = &mut self.allowance {
            allowance.set_node_count(now, nodes);
        }
    }

    /// Takes in a caller's request for the service.
    pub fn record_request(&mut self, now: Instant) {
        if let Some(allowance) = &mut self.allowance {
            allowance.record_request(now);
        }
    }

    /// Takes in a repeat that can't be left out: a call made by a run that is one.
    pub fn record_retry(&mut self, now: Instant) {
        if let Some(allowance) = &mut self.allowance {
            allowance.record_retry(now);
        }
    }

    /// Takes in the share that a new configuration names.
    pub fn set_percent(&mut self, percent: u8) {
        self.success_share = f64::from(percent) / 100.0;
    }

    /// Takes in a success of a first try.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.success_share).min(MAX_TOKENS);
    }

    /// Decides what follows a try that came to nothing.
    pub fn decide<R>(&mut self, now: Instant, failed: &FailedAttempt, rng: &mut R) -> Decision
    where
        R: Rng,
    {
        if let Some(reason) = find_give_up_reason(failed) {
            return Decision::GiveUp(reason);
        }
        let wait = match failed.cause {
            Cause::Leaving | Cause::Unreached | Cause::Full | Cause::Shed => Duration::ZERO,
            Cause::Failed | Cause::Held => draw_backoff(failed.attempts, rng),
        };
        if now + wait + failed.expected_duration > failed.deadline {
            return Decision::GiveUp(GiveUpReason::Deadline);
        }
        // Refused at the door, by one that leaves, is full or is not there, the
        // call has cost no backend server anything: a rolling restart, or one that is slow
        // while the others have room, must not use up the budget.
        let is_free = matches!(
            failed.cause,
            Cause::Leaving | Cause::Unreached | Cause::Full
        );
        if is_free || self.spend(now) {
            Decision::Retry(wait)
        } else {
            Decision::GiveUp(GiveUpReason::Budget)
        }
    }

    /// Takes a token, if there is one.
    pub fn spend(&mut self, now: Instant) -> bool {
        let age = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let refill_rate = if self.success_share > 0.0 {
            TOKENS_PER_SECOND
        } else {
            0.0
        };
        self.tokens = (self.tokens + age * refill_rate).min(MAX_TOKENS);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        if let Some(allowance) = &mut self.allowance
            && !allowance.spend(now)
        {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn find_give_up_reason(failed: &FailedAttempt) -> Option<GiveUpReason> {
    let is_safe = match failed.verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => failed.repeatable,
        // It was answered; whatever the answer, it is the caller's.
        Verdict::Ran => false,
    };
    if !is_safe {
        return Some(GiveUpReason::Unsafe);
    }
    if failed.crashes >= MAX_CRASHES || failed.cause == Cause::Held {
        return Some(GiveUpReason::Crashes);
    }
    let is_exhausted = match failed.cause {
        Cause::Leaving | Cause::Unreached => false,
        // Turned away at the door, it has cost no backend server anything.
        Cause::Full => failed.attempts >= MAX_ADMISSION_ATTEMPTS.max(failed.max_attempts),
        Cause::Shed | Cause::Failed | Cause::Held => failed.dispatched >= failed.max_attempts,
    };
    if is_exhausted || !failed.has_alternative {
        return Some(GiveUpReason::Exhausted);
    }
    (failed.retried_by_caller && failed.cause != Cause::Leaving)
        .then_some(GiveUpReason::RetriedByCaller)
}

fn draw_backoff<R>(attempts: u8, rng: &mut R) -> Duration
where
    R: Rng,
{
    let doublings = u32::from(attempts.saturating_sub(1).min(16));
    let ceiling = BACKOFF_CEILINGS
        .0
        .saturating_mul(1 << doublings)
        .min(BACKOFF_CEILINGS.1);
    backoff::Backoff::new(ceiling, ceiling).next_delay(rng)
}
