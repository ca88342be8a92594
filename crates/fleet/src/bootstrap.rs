//! When a new process may serve.
//!
//! A process that was restarted knows nothing, while its VM served by some
//! version until a moment ago. If the first peer that answers is behind, the
//! VM would go back: a caller sees yesterday's routes after today's. So a
//! process serves only once it holds the highest version that it heard of.
//! It asks the platform whether there is a higher one; while the platform
//! doesn't answer, it wants to have heard from two nodes that serve, one of
//! them of its own zone: what the VM served by came through the zone's roots,
//! so that the zone's nodes hold it, while other zones may be behind. There is
//! no time limit on either: what is missing is in the platform for good, so
//! the wait ends with the outage or cut that keeps it away.

use config::Version;
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Sources that must have been heard; two peers rarely lag together.
const SOURCES: usize = 2;

/// Time between questions to further nodes.
const ASK: Duration = Duration::from_millis(500);

/// Time between questions to a platform that doesn't answer: 1,000 new nodes ask 200 times a second.
const ASK_PLATFORM: Duration = Duration::from_secs(5);

/// Most sources remembered.
const MAX_SOURCES: usize = 8;

/// The platform among the sources; no node may have such a name.
const PLATFORM: SmolStr = SmolStr::new_static("(platform)");

/// Holds a new process back until it has the highest version heard.
#[derive(Debug)]
pub struct ReadinessGate {
    /// Some of the sources, to count them.
    sources: BTreeSet<SmolStr>,
    /// Highest version that any source told.
    highest: Version,
    platform: Platform,
    /// Whether one of the sources is of the own zone.
    is_near: bool,
    ask_at: Option<Instant>,
    ask_platform_at: Option<Instant>,
    is_open: bool,
}

/// What became of the question to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Platform {
    Unasked,
    Asked,
    Unanswered,
    Answered,
}

impl Default for ReadinessGate {
    fn default() -> Self {
        Self::new()
    }
}

impl ReadinessGate {
    /// Makes a closed gate.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sources: BTreeSet::new(),
            highest: Version::ZERO,
            platform: Platform::Unasked,
            is_near: false,
            ask_at: None,
            ask_platform_at: None,
            is_open: false,
        }
    }

    /// Notes a version heard from a node that serves, `is_near` when it is of the own zone.
    ///
    /// One that doesn't serve is no witness: two new processes would take each
    /// other's empty hands for the newest configuration.
    pub fn record_peer_version(&mut self, source: &SmolStr, version: Version, is_near: bool) {
        if self.is_open {
            return;
        }
        self.is_near |= is_near;
        self.highest = self.highest.max(version);
        if self.sources.len() < MAX_SOURCES {
            self.sources.insert(source.clone());
        }
    }

    /// Notes the highest version that the platform told; it needs no second source.
    pub fn record_platform_version(&mut self, version: Version) {
        self.record_peer_version(&PLATFORM, version, true);
        self.platform = Platform::Answered;
    }

    /// Notes that the platform did not answer.
    pub fn record_platform_failure(&mut self, now: Instant) {
        if self.platform != Platform::Answered {
            self.platform = Platform::Unanswered;
            self.ask_at.get_or_insert(now);
            self.ask_platform_at = Some(now + ASK_PLATFORM);
        }
    }

    /// Tells whether the platform is to be asked now: when all that was heard of is held.
    pub fn begin_platform_query(&mut self, held: Version, now: Instant) -> bool {
        if self.ask_platform_at.take_if(|at| now >= *at).is_some() {
            self.platform = Platform::Unasked;
        }
        let is_time = !self.is_open && self.platform == Platform::Unasked && self.holds_all(held);
        if is_time {
            self.platform = Platform::Asked;
        }
        is_time
    }

    fn holds_all(&self, held: Version) -> bool {
        !self.sources.is_empty() && held >= self.highest
    }

    /// Tells whether another node is to be asked now what it holds.
    pub fn begin_peer_query(&mut self, now: Instant) -> bool {
        let is_due = !self.is_open && self.ask_at.is_some_and(|at| now >= at);
        if is_due {
            self.ask_at = Some(now + ASK);
        }
        is_due && !self.has_sources()
    }

    fn has_sources(&self) -> bool {
        self.is_near && self.sources.len() >= SOURCES
    }

    /// Opens for good once `held` is enough; tells whether it is open.
    pub fn try_open(&mut self, held: Version) -> bool {
        let is_heard = match self.platform {
            Platform::Answered => true,
            Platform::Asked if self.ask_at.is_none() => false,
            Platform::Unanswered | Platform::Asked => self.has_sources(),
            Platform::Unasked => false,
        };
        self.is_open |= is_heard && self.holds_all(held);
        self.is_open
    }

    /// Tells whether the process serves.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Gives when another node is to be asked.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let all = [self.ask_at, self.ask_platform_at];
        let next = all.into_iter().flatten().min();
        next.filter(|_| !self.is_open)
    }
}
