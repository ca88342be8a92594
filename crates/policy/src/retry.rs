//! Decides which calls are retried, and when.
//!
//! In a call chain of 26 layers in which every caller makes three attempts when a backend server
//! fails or is full, the load is multiplied just when it is already too high, and stays high after
//! the cause is gone.
//!
//! Retries are therefore limited to a share of successes (Google's SRE book, "Handling Overload":
//! 10% a server; Finagle's retry budget: 20%), so that there are almost no retries when everything
//! fails. Only failures of this hop are retried: an answer of the backend server, error or not, is
//! passed to the caller. When a call fails deep in the chain, only the layer next to the failure
//! retries it.

use crate::backoff;
use crate::retry_quota::{FleetLimits, RetryQuota};
use call::Verdict;
use rand::Rng;
use std::time::{Duration, Instant};

/// Name of the request header that marks an attempt as a retry. A backend server that passes it on
/// with its own calls keeps the layers below from multiplying the retry.
pub const HEADER: &str = "bluebellpick-retry";

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The backend server is leaving; another backend server can take the call.
    Leaving,
    /// The inbound proxy refused the call because of overload; the backend server never received
    /// it.
    Full,
    /// The backend server refused the call.
    Shed,
    /// The node could not be reached; another node can take the call.
    Unreached,
    /// The attempt failed.
    Failed,
    /// The request is quarantined because it crashes backend servers ([`crate::quarantine`]).
    Held,
    /// The team of the call has used its share of the backend server ([`crate::team_share`]); its
    /// share of the others is the same.
    TeamShare,
}

impl Cause {
    /// Returns whether a backend server may have received the attempt, so that a retry is a further
    /// arrival.
    #[must_use]
    pub fn may_have_arrived(self) -> bool {
        !matches!(
            self,
            Self::Leaving | Self::Unreached | Self::Full | Self::TeamShare
        )
    }
}

/// An attempt that failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// Why the attempt failed.
    pub cause: Cause,
    /// Whether the call may be repeated even if it has run.
    pub repeatable: bool,
    /// Attempts so far, including this one.
    pub attempts: u8,
    /// Attempts that were handed to a backend server, or may have been.
    pub dispatched: u8,
    /// Backend servers that ended while they ran the call.
    pub crashes: u8,
    /// Maximum number of dispatched attempts, from the retry rule.
    pub max_attempts: u8,
    /// Whether the caller, or a layer above it, marked the call as a retry ([`HEADER`]).
    pub retried_by_caller: bool,
    /// Whether there are backend servers that the call has not been sent to; after [`Cause::Full`],
    /// one of them must also not be known to be full.
    pub has_alternative: bool,
    /// When nobody waits for the answer any more.
    pub deadline: Instant,
    /// Expected duration of an attempt.
    pub expected_duration: Duration,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry after a delay.
    Retry(Duration),
    /// Return the final answer to the caller now.
    GiveUp(GiveUpReason),
}

/// Why a call is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It may have run and must not be repeated.
    Unsafe,
    /// All attempts are used, or no backend server is left.
    Exhausted,
    /// A layer above already retries.
    RetriedByCaller,
    /// A further attempt would end after the deadline.
    Deadline,
    /// The retry budget is used up.
    Budget,
    /// The call seems to crash the backend servers that run it.
    Crashes,
}

/// Initial and maximum number of tokens, each of which pays for a retry: a service with few calls
/// can retry as well, and saved-up successes cannot pay for a retry storm.
const MAX_TOKENS: f64 = 10.0;

/// Tokens added a second without any success, for services with only occasional calls.
const TOKENS_PER_SECOND: f64 = 0.2;

/// Number of backend servers that may refuse a call as full before the call is given up. The load
/// known to an outbound proxy is some hundred milliseconds old, so the first choice may be full
/// while another backend server has room. If each of the four backend servers of a service is full
/// with a probability of one third, three attempts find room in 97 of 100 cases in which any of the
/// four has room. Each attempt costs a round trip.
const MAX_ADMISSION_ATTEMPTS: u8 = 3;

/// Number of backend servers that may end while running a call. The first may have been taken down
/// by another call that ran at the same time; a second one points to the call itself.
const MAX_CRASHES: u8 = 2;

/// First and highest ceiling of the backoff delay after a failed call.
const BACKOFF_CEILINGS: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(200));

/// Retry budget of one service: a share of its successes and, where operators limit retries for the
/// whole fleet, this node's quota of that limit.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    success_share: f64,
    refilled_at: Instant,
    quota: Option<RetryQuota>,
}

impl RetryBudget {
    /// Creates a budget that allows retries for `percent` per cent of the successes.
    #[must_use]
    pub fn new(now: Instant, percent: u8) -> Self {
        Self {
            tokens: if percent == 0 { 0.0 } else { MAX_TOKENS },
            success_share: f64::from(percent) / 100.0,
            refilled_at: now,
            quota: None,
        }
    }

    /// Also limits the budget to this node's quota of the fleet-wide limit.
    #[must_use]
    pub fn with_fleet_limits(self, limits: FleetLimits) -> Self {
        Self {
            quota: Some(RetryQuota::new(limits)),
            ..self
        }
    }

    /// Sets the number of nodes in the fleet.
    pub fn set_node_count(&mut self, nodes: usize) {
        if let Some(quota) = &mut self.quota {
            quota.set_node_count(nodes);
        }
    }

    /// Records a caller's request for the service.
    pub fn record_request(&mut self, now: Instant) {
        if let Some(quota) = &mut self.quota {
            quota.record_request(now);
        }
    }

    /// Records a retry that cannot be suppressed: a call made while running a call that is itself
    /// a retry.
    pub fn record_retry(&mut self, now: Instant) {
        if let Some(quota) = &mut self.quota {
            quota.record_retry(now);
        }
    }

    /// Sets the share of successes from a new configuration.
    pub fn set_percent(&mut self, percent: u8) {
        self.success_share = f64::from(percent) / 100.0;
    }

    /// Records a successful first attempt.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.success_share).min(MAX_TOKENS);
    }

    /// Decides what to do after a failed attempt.
    pub fn decide<R>(&mut self, now: Instant, failed: &FailedAttempt, rng: &mut R) -> Decision
    where
        R: Rng,
    {
        if let Some(reason) = find_give_up_reason(failed) {
            return Decision::GiveUp(reason);
        }
        let wait = match failed.cause {
            Cause::Leaving | Cause::Unreached | Cause::Full | Cause::Shed => Duration::ZERO,
            Cause::Failed | Cause::Held | Cause::TeamShare => draw_backoff(failed.attempts, rng),
        };
        if now + wait + failed.expected_duration > failed.deadline {
            return Decision::GiveUp(GiveUpReason::Deadline);
        }
        // An attempt that fails because the backend server is leaving, full or unreachable has cost
        // no backend server any work. A rolling restart, or a single slow backend server while the
        // others have room, must not use up the budget.
        if !failed.cause.may_have_arrived() || self.spend(now, rng) {
            Decision::Retry(wait)
        } else {
            Decision::GiveUp(GiveUpReason::Budget)
        }
    }

    /// Takes a token if one is available and returns whether it was.
    pub fn spend<R>(&mut self, now: Instant, rng: &mut R) -> bool
    where
        R: Rng,
    {
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
        if let Some(quota) = &mut self.quota
            && !quota.spend(now, rng)
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
        // The call was answered; whatever the answer, it goes to the caller.
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
        // An attempt that is not admitted has cost no backend server any work.
        Cause::Full => failed.attempts >= MAX_ADMISSION_ATTEMPTS.max(failed.max_attempts),
        Cause::Shed | Cause::Failed | Cause::Held => failed.dispatched >= failed.max_attempts,
        Cause::TeamShare => true,
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
