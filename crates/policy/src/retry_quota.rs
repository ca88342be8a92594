//! One node's part of the retries that the whole fleet may send to a service.
//!
//! When backend servers of a service shed half of their calls and each of 68 nodes retries
//! within a budget of its own, every node starts with ten retries saved up, 680 in all, and
//! sends them at once to a service that is in trouble.
//!
//! Operators therefore limit the fleet as a whole: in any window, to a share of the requests plus a
//! fixed number of extra retries. No node knows what the others send, what the previous process on
//! its VM has sent, or, while it is cut off, how many others there are. The quota needs none of that.
//! It is a token bucket that is empty in a new process and is filled by callers' requests only:
//!
//! - A retry in a window is paid for by a request in that window, or by a token that its process
//!   held when the window began. A VM runs one process at that time, however often it restarts later,
//!   and each request fills one bucket, wherever callers move. So the sums over all nodes hold in any
//!   order of starts, cuts and losses of power.
//! - The tokens held are bounded by requests of the window before, and by one token for each node,
//!   for which the extra retries pay in a fleet that has at most as many nodes.
//!
//! With `q` requests in the window and `p` in the window before it, both of which count towards the
//! limit, the fleet sends at most `EARNED_PART * q + HELD_PART * p` of the share, and one retry for
//! each node. The parts leave a tenth of the share for retries whose request came shortly before the
//! window: those that arrive up to a twentieth of a window after they were paid for, with tokens up
//! to a twentieth old. As these requests count in place of `HELD_PART` with `EARNED_PART`, they may be
//! a seventh of the window's: in a tenth of the time, 1.4 times as many as the mean.

use rand::Rng;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the share of retries that each request adds to the bucket. With a larger part, fewer
/// tokens may be held, and requests that fail in a calm are not retried.
const EARNED_PART: f64 = 0.8;

/// Part of the share of retries that may be held for each request of the last [`HOLD_TENTHS`], unless
/// the request is so recent that all that it has earned is there.
const HELD_PART: f64 = 0.1;

/// Tenths of a window whose requests bound the tokens that are held. Together with the time for
/// which a retry may wait, they are within the window before the one in which the retry arrives.
const HOLD_TENTHS: u32 = 9;

/// Number of buckets in which the requests of a window are counted. A bucket counts until any of its
/// requests may be too old. The requests of a bucket that has begun within its length are recent.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Tokens that a node may hold without recent requests.
const BASE_CAPACITY: f64 = 1.0;

/// Largest error of sums of shares.
const ROUNDING_ERROR: f64 = 1e-9;

/// Limits on the retries of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// Retries as a share of the requests.
    pub share: f64,
    /// Number of retries in a window in addition to that share.
    pub extra: f64,
    /// Length of the window in which requests and retries are counted.
    pub window: Duration,
    /// Least number of nodes among which the extra retries are divided.
    pub min_nodes: usize,
}

/// One node's part of the fleet-wide limit on retries to a service.
#[derive(Debug, Clone)]
pub struct RetryQuota {
    limits: FleetLimits,
    /// Highest number of nodes seen.
    node_count: usize,
    /// Negative after calls that are retries in any case.
    tokens: f64,
    /// Numbers of recent requests, with the time from which they are counted.
    recent: VecDeque<(Instant, u32)>,
}

impl RetryQuota {
    /// Creates a quota without tokens.
    #[must_use]
    pub fn new(limits: FleetLimits) -> Self {
        Self {
            limits,
            node_count: limits.min_nodes,
            tokens: 0.0,
            recent: VecDeque::new(),
        }
    }

    /// Updates the number of nodes, as this node sees it.
    ///
    /// The highest number counts for the life of the process, since a node that is cut off sees few.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = self.node_count.max(nodes);
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Instant) {
        let length = self.bucket_length();
        match self.recent.back_mut() {
            Some((since, requests)) if now.saturating_duration_since(*since) < length => {
                *requests += 1;
            }
            _ => self.recent.push_back((now, 1)),
        }
        self.tokens += EARNED_PART * self.limits.share;
        self.settle(now);
    }

    /// Counts a retry whether there is a token for it or not: a call made while running a call that
    /// is itself a retry. The debt is paid off by later requests.
    pub fn record_retry(&mut self, now: Instant) {
        let capacity = self.settle(now);
        // Without a bound, a node could not retry for long after the cause is gone.
        self.tokens = (self.tokens - 1.0).max(-capacity);
    }

    /// Takes the token of a retry; returns whether there was one.
    ///
    /// In a fleet of more nodes than extra retries, a part of a token is taken as well, and is worth
    /// a retry with the probability of its value. The sum over all nodes then deviates from the sum
    /// of the parts by little more than the square root of the number of retries, for which the
    /// extra retries pay.
    pub fn spend<R>(&mut self, now: Instant, rng: &mut R) -> bool
    where
        R: Rng,
    {
        self.settle(now);
        if self.tokens + ROUNDING_ERROR >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        if self.has_base_capacity() || self.tokens <= 0.0 {
            return false;
        }
        rng.random_bool(std::mem::take(&mut self.tokens))
    }

    /// Drops the tokens that may not be held any longer; returns how many may be held.
    fn settle(&mut self, now: Instant) -> f64 {
        let hold_time = self.limits.window * HOLD_TENTHS / 10;
        let age = |since: Instant| now.saturating_duration_since(since);
        while self
            .recent
            .front()
            .is_some_and(|(since, _)| age(*since) > hold_time)
        {
            self.recent.pop_front();
        }
        let recent_since = self.bucket_length();
        let held = self.recent.iter().map(|(since, requests)| {
            let is_recent = age(*since) < recent_since;
            f64::from(*requests) * if is_recent { EARNED_PART } else { HELD_PART }
        });
        let base = if self.has_base_capacity() {
            BASE_CAPACITY
        } else {
            0.0
        };
        let capacity = base + self.limits.share * held.sum::<f64>();
        self.tokens = self.tokens.min(capacity);
        capacity
    }

    /// Returns whether the extra retries pay for a token of each node.
    fn has_base_capacity(&self) -> bool {
        let nodes = f64::from(u32::try_from(self.node_count).unwrap_or(u32::MAX));
        BASE_CAPACITY * nodes <= self.limits.extra
    }

    fn bucket_length(&self) -> Duration {
        self.limits.window / BUCKETS_PER_WINDOW
    }
}
