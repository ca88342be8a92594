//! Roll-outs: a new version of a service introduced alongside the serving one.

use crate::{Class, Repeat};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Number of call kinds that are evaluated separately: two for each class, as [`kind_of`] counts
/// them.
pub const KIND_COUNT: usize = 6;

/// The stage of a roll-out, which only advances until it reaches one of the two final stages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A small share of the calls is sent to a few endpoints of the new version.
    Canary,
    /// Both versions receive calls without distinction.
    Both,
    /// Only the new version receives calls; the old one finishes its calls in flight.
    Whole,
    /// The new version no longer receives calls, but this outcome is not yet written to the store.
    Stopped,
    /// The roll-out has succeeded; the old version is being stopped.
    Completed,
    /// The roll-out has failed; the new version is being stopped.
    RolledBack,
}

impl Stage {
    /// Returns whether the roll-out has reached a permanent outcome.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// The position of a roll-out order among all orders that were written.
///
/// A store that is restored from a backup assigns the same revisions again, so
/// revisions are only comparable within one era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderRevision {
    /// How often the store had been restored from a backup when the order was written.
    pub era: u64,
    /// Revision at which the order was written.
    pub revision: u64,
}

/// An operator's order to roll out a version, and its current stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Name of the service.
    pub service: SmolStr,
    /// Version of the service that is rolled out.
    pub target: SmolStr,
    /// Identifies the order and its position among all orders.
    #[serde(rename = "place")]
    pub order: OrderRevision,
    /// Time allowed for the roll-out, in milliseconds.
    pub duration_ms: u32,
    /// Time since the order was given, in milliseconds, as of when this value is sent.
    pub age_ms: u32,
    /// Stage that the roll-out has reached.
    pub stage: Stage,
}

/// Results of the calls of one kind at one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that a backend server has finished, successfully or not.
    pub ended: u32,
    /// Finished calls that failed.
    pub failed: u32,
    /// Finished calls that took several times the usual duration.
    pub slow: u32,
}

impl Counts {
    /// Returns the difference from an earlier count to this one.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    fn add(&mut self, other: &Self) {
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// Results of the calls of a service during a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Results at the new version, by kind of call ([`kind_of`]).
    pub trial: [Counts; KIND_COUNT],
    /// Results at all other versions, by kind of call.
    pub stable: [Counts; KIND_COUNT],
    /// Calls currently running at other versions.
    pub pending: u32,
}

impl Tally {
    /// Adds the results from another part of the fleet.
    pub fn add(&mut self, other: &Self) {
        for (sum, part) in self.trial.iter_mut().zip(&other.trial) {
            sum.add(part);
        }
        for (sum, part) in self.stable.iter_mut().zip(&other.stable) {
            sum.add(part);
        }
        self.pending = self.pending.saturating_add(other.pending);
    }

    /// Returns the number of calls that the new version has finished.
    #[must_use]
    pub fn trial_ended(&self) -> u32 {
        self.trial.iter().map(|counts| counts.ended).sum()
    }
}

/// Returns the index of the kind that a call is counted under: by class, and by whether the call
/// may never be repeated.
#[must_use]
pub fn kind_of(class: Class, repeat: Repeat) -> usize {
    2 * class as usize + usize::from(repeat == Repeat::Never)
}
