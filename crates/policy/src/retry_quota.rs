//! A node's part of the repeats that the whole fleet may send to a service.
//!
//! *Load pattern:* backend servers of a service shed half of their calls, and
//! each of 68 nodes repeats within a budget of its own. *Without it* every node
//! starts with ten repeats saved up, 680 in all, and sends them at once to a
//! service that is in trouble. *Grounds:* operators bound the fleet as a whole,
//! by a share of the requests and a number on top in any span of some seconds.
//! The share needs no agreement, as shares of parts add up; of the number each
//! node has an equal part. A node doesn't know what its former process spent,
//! so that a new one earns its part over a whole span. Nodes are counted by
//! their highest number of late: one that is cut off sees few others, and would
//! take the whole number for itself.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts that a span is counted in; what is just over one old may count on for that long.
const BUCKETS: u32 = 20;

/// Share of the number on top that is used: nodes that have just joined are not
/// yet known to all, and spans are counted in parts.
const SAFETY_FACTOR: f64 = 0.8;

/// Time for which the highest number of nodes counts.
const NODE_COUNT_MEMORY: Duration = Duration::from_mins(1);

/// What the fleet as a whole may repeat.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// Repeats as a share of the requests.
    pub share: f64,
    /// Repeats on top of that.
    pub extra: f64,
    /// Span in which both are counted.
    pub window: Duration,
}

/// What one node has sent to a service within a span.
#[derive(Debug, Clone)]
pub struct RetryQuota {
    limits: FleetLimits,
    started: Instant,
    node_count: f64,
    node_count_at: Instant,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    since: Instant,
    requests: u32,
    retries: u32,
}

impl RetryQuota {
    /// Starts with nothing earned.
    #[must_use]
    pub fn new(now: Instant, limits: FleetLimits) -> Self {
        Self {
            limits,
            started: now,
            node_count: 1.0,
            node_count_at: now,
            buckets: VecDeque::new(),
        }
    }

    /// Takes in how many nodes there are, as this one sees it.
    pub fn set_node_count(&mut self, now: Instant, nodes: usize) {
        let nodes = f64::from(u32::try_from(nodes).unwrap_or(u32::MAX)).max(1.0);
        let is_stale = now.saturating_duration_since(self.node_count_at) > NODE_COUNT_MEMORY;
        if nodes >= self.node_count || is_stale {
            self.node_count = nodes;
            self.node_count_at = now;
        }
    }

    /// Counts a request of a caller's.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Counts a repeat that nobody asks about: a call made by a run that was itself a repeat.
    pub fn record_retry(&mut self, now: Instant) {
        self.bucket(now).retries += 1;
    }

    /// Counts a repeat, if there is one left.
    pub fn spend(&mut self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        let earned = (age / self.limits.window.as_secs_f64()).min(1.0);
        let extra = SAFETY_FACTOR * earned * self.limits.extra / self.node_count;
        self.bucket(now);
        let (mut requests, mut retries) = (0.0, 0.0);
        for bucket in &self.buckets {
            requests += f64::from(bucket.requests);
            retries += f64::from(bucket.retries);
        }
        if retries + 1.0 > self.limits.share * requests + extra {
            return false;
        }
        self.record_retry(now);
        true
    }

    /// Gives the part of the present, and drops those that are over a span old.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let length = self.limits.window / BUCKETS;
        let is_expired = |bucket: &Bucket| {
            now.saturating_duration_since(bucket.since) > self.limits.window + length
        };
        while self.buckets.front().is_some_and(is_expired) {
            self.buckets.pop_front();
        }
        let is_new = |bucket: &Bucket| now.saturating_duration_since(bucket.since) >= length;
        if self.buckets.back().is_none_or(is_new) {
            self.buckets.push_back(Bucket {
                since: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a current bucket exists")
    }
}
