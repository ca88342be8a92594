//! When a new process may serve.
//!
//! A process that was restarted knows nothing, while its VM served by some
//! version until a moment ago. If the first peer that answers is behind, the
//! VM would go back: a caller sees yesterday's routes after today's. So a
//! process serves only once it holds the highest version that it heard of,
//! and has heard of versions from two sources, or one when no other answers.
//! There is no time limit on the first: a version that was heard of is in the
//! platform for good, so the wait ends with the cut that keeps it away.

use config::Version;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Sources that must have been heard; two peers rarely lag together.
const SOURCES: usize = 2;

/// Longest wait for a second source.
const SECOND: Duration = Duration::from_secs(2);

/// Most sources remembered.
const MAX_SOURCES: usize = 8;

/// The platform among the sources; no node may have such a name.
const PLATFORM: SmolStr = SmolStr::new_static("(platform)");

/// Holds a new process back until it has the highest version heard.
#[derive(Debug)]
pub struct Gate {
    heard: BTreeMap<SmolStr, Version>,
    first: Option<Instant>,
    is_sure: bool,
    is_open: bool,
}

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}

impl Gate {
    /// Makes a closed gate.
    #[must_use]
    pub fn new() -> Self {
        Self {
            heard: BTreeMap::new(),
            first: None,
            is_sure: false,
            is_open: false,
        }
    }

    /// Notes a version heard from a source; only one that serves itself is a witness.
    ///
    /// Else two new processes would take each other's empty hands for the
    /// newest configuration.
    pub fn hear(&mut self, source: &SmolStr, version: Version, is_ready: bool, now: Instant) {
        if self.is_open || !is_ready {
            return;
        }
        self.first.get_or_insert(now);
        if self.heard.len() < MAX_SOURCES || self.heard.contains_key(source) {
            let known = self.heard.entry(source.clone()).or_default();
            *known = version.max(*known);
        }
    }

    /// Notes a version heard from the platform, which needs no second source.
    pub fn hear_platform(&mut self, version: Version, now: Instant) {
        self.hear(&PLATFORM, version, true, now);
        self.is_sure = true;
    }

    /// Tells whether a second source is still wanted.
    #[must_use]
    pub fn wants_source(&self) -> bool {
        !self.is_open && !self.is_sure && self.heard.len() < SOURCES
    }

    /// Opens for good once `held` is enough; tells whether it is open.
    pub fn pass(&mut self, held: Version, now: Instant) -> bool {
        if self.is_open {
            return true;
        }
        let Some(first) = self.first else {
            return false;
        };
        let highest = self.heard.values().max().copied().unwrap_or_default();
        let is_heard = self.is_sure || self.heard.len() >= SOURCES || now >= first + SECOND;
        self.is_open = is_heard && held >= highest;
        self.is_open
    }

    /// Tells whether the process serves.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Gives when [`Gate::pass`] is to be tried again at the latest.
    #[must_use]
    pub fn deadline(&self, now: Instant) -> Option<Instant> {
        if self.is_open {
            return None;
        }
        let second = self.first? + SECOND;
        (second > now).then_some(second)
    }
}
