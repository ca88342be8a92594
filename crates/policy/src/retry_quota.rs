//! One node's part of the retries that the whole fleet may send to a service.
//!
//! When backend servers of a service shed half of their calls and each of 68 nodes retries
//! within a budget of its own, every node starts with ten retries saved up, 680 in all, and
//! sends them at once to a service that is in trouble.
//!
//! Operators therefore limit the fleet as a whole, by a share of the requests plus a fixed
//! number of extra retries in any window of some seconds. The share needs no coordination: if
//! every node keeps to it, so does the fleet. The extra retries are divided equally among the
//! nodes. A node doesn't know what its previous process has spent, so a new process earns its
//! part over a whole window. The node count used is the highest one seen recently: a node that is
//! cut off sees few others and would otherwise take all of the extra retries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of buckets that a window is divided into. A bucket counts as a whole until all of it has
/// left the window, so retries may count for longer than the window by the length of a bucket.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Share of the extra retries that is used: nodes that have just joined aren't known to all
/// others yet, and windows are counted in buckets.
const SAFETY_FACTOR: f64 = 0.8;

/// Time for which the highest node count is used after it was last seen.
const NODE_COUNT_MEMORY: Duration = Duration::from_mins(1);

/// Limits on the retries of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// Retries as a share of the requests.
    pub share: f64,
    /// Number of retries in a window in addition to that share.
    pub extra: f64,
    /// Length of the window in which requests and retries are counted.
    pub window: Duration,
}

/// One node's part of the fleet-wide limit on retries to a service, with the requests and retries
/// that the node has sent within the window.
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
    /// Creates a quota that has earned no extra retries yet.
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

    /// Updates the number of nodes, as this node sees it.
    pub fn set_node_count(&mut self, now: Instant, nodes: usize) {
        let nodes = f64::from(u32::try_from(nodes).unwrap_or(u32::MAX)).max(1.0);
        let is_stale = now.saturating_duration_since(self.node_count_at) > NODE_COUNT_MEMORY;
        if nodes >= self.node_count || is_stale {
            self.node_count = nodes;
            self.node_count_at = now;
        }
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Counts a retry without checking the quota: a call made while running a call that is
    /// itself a retry.
    pub fn record_retry(&mut self, now: Instant) {
        self.bucket(now).retries += 1;
    }

    /// Counts a retry if the quota allows one; returns whether it does.
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

    /// Returns the current bucket, after dropping the buckets that have left the window.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let length = self.limits.window / BUCKETS_PER_WINDOW;
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
