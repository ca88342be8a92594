//! Readiness of a new process.
//!
//! A restarted process holds no configuration, although the VM's previous process served some
//! version until just before. If the new process served the version of a peer that lags behind, the
//! VM would revert to an older version, and its callers would see outdated routes. A process
//! therefore serves only once it holds the highest version it has heard of.
//!
//! The process asks the platform for the latest version. While the platform
//! does not answer, the process requires reports from two serving nodes
//! instead, one of them in its own zone: the version that the VM served came
//! through the roots of its zone, so nodes of that zone hold it, while other
//! zones may lag. Neither wait has a time limit: every version is stored durably
//! on the platform, so the wait ends with the outage or network partition that
//! caused it.

use config::Version;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Number of serving nodes whose reports are required while the platform does not answer; two nodes
/// rarely lag at the same time.
const MIN_PEER_SOURCES: usize = 2;

/// Interval at which this process queries further peers for their version.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which this process queries a platform that does not answer. 1,000 new nodes together
/// then send 200 queries per second.
const PLATFORM_QUERY_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of sources whose names are kept.
const MAX_SOURCES: usize = 8;

/// Name of the platform in the set of sources; no node may have this name.
const PLATFORM: SmolStr = SmolStr::new_static("(platform)");

/// Keeps a new process from serving until it holds the highest version reported to it.
#[derive(Debug)]
pub struct ReadinessGate {
    /// Names of the sources that have reported a version, at most [`MAX_SOURCES`].
    sources: BTreeSet<SmolStr>,
    /// Highest version reported by any source.
    highest: Version,
    platform_query: PlatformQuery,
    /// Whether any source is in this node's zone.
    has_own_zone_source: bool,
    query_peer_at: Option<Instant>,
    query_platform_at: Option<Instant>,
    is_open: bool,
}

/// State of the query for the platform's latest version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlatformQuery {
    NotSent,
    Pending,
    Failed,
    Answered,
}

impl Default for ReadinessGate {
    fn default() -> Self {
        Self::new()
    }
}

impl ReadinessGate {
    /// Creates a closed gate.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sources: BTreeSet::new(),
            highest: Version::ZERO,
            platform_query: PlatformQuery::NotSent,
            has_own_zone_source: false,
            query_peer_at: None,
            query_platform_at: None,
            is_open: false,
        }
    }

    /// Records the version reported by a serving node; `is_same_zone` tells whether that node is in
    /// the zone of this node.
    ///
    /// The reports of nodes that do not serve must not be recorded: otherwise two new processes
    /// would each take the other's empty configuration for the latest version.
    pub fn record_peer_version(&mut self, source: &SmolStr, version: Version, is_same_zone: bool) {
        if self.is_open {
            return;
        }
        self.has_own_zone_source |= is_same_zone;
        self.highest = self.highest.max(version);
        if self.sources.len() < MAX_SOURCES {
            self.sources.insert(source.clone());
        }
    }

    /// Records the latest version reported by the platform; this report needs no confirmation by a
    /// node.
    pub fn record_platform_version(&mut self, version: Version) {
        self.record_peer_version(&PLATFORM, version, true);
        self.platform_query = PlatformQuery::Answered;
    }

    /// Records that the platform did not answer.
    pub fn record_platform_failure(&mut self, now: Instant) {
        if self.platform_query != PlatformQuery::Answered {
            self.platform_query = PlatformQuery::Failed;
            self.query_peer_at.get_or_insert(now);
            self.query_platform_at = Some(now + PLATFORM_QUERY_INTERVAL);
        }
    }

    /// Returns whether to query the platform for its latest version now; if so, marks the query as
    /// sent.
    ///
    /// The query is due once a source has reported and `held` is at least the highest version
    /// reported, and again some time after each query that the platform did not answer.
    pub fn begin_platform_query(&mut self, held: Version, now: Instant) -> bool {
        if self.query_platform_at.take_if(|at| now >= *at).is_some() {
            self.platform_query = PlatformQuery::NotSent;
        }
        let is_due = !self.is_open
            && self.platform_query == PlatformQuery::NotSent
            && self.holds_highest(held);
        if is_due {
            self.platform_query = PlatformQuery::Pending;
        }
        is_due
    }

    fn holds_highest(&self, held: Version) -> bool {
        !self.sources.is_empty() && held >= self.highest
    }

    /// Returns whether to query another peer for its version now, and schedules the next query.
    pub fn begin_peer_query(&mut self, now: Instant) -> bool {
        let is_due = !self.is_open && self.query_peer_at.is_some_and(|at| now >= at);
        if is_due {
            self.query_peer_at = Some(now + PEER_QUERY_INTERVAL);
        }
        is_due && !self.has_enough_sources()
    }

    fn has_enough_sources(&self) -> bool {
        self.has_own_zone_source && self.sources.len() >= MIN_PEER_SOURCES
    }

    /// Opens the gate permanently if `held` is at least the highest version reported and the
    /// reports suffice; returns whether the gate is open.
    pub fn try_open(&mut self, held: Version) -> bool {
        let is_confirmed = match self.platform_query {
            PlatformQuery::Answered => true,
            PlatformQuery::Pending if self.query_peer_at.is_none() => false,
            PlatformQuery::Failed | PlatformQuery::Pending => self.has_enough_sources(),
            PlatformQuery::NotSent => false,
        };
        self.is_open |= is_confirmed && self.holds_highest(held);
        self.is_open
    }

    /// Returns whether the process may serve.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns when the next query to a peer or to the platform is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let all = [self.query_peer_at, self.query_platform_at];
        let next = all.into_iter().flatten().min();
        next.filter(|_| !self.is_open)
    }
}
