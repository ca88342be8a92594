//! A version of a service that is brought in beside the one that serves.

use crate::{Class, Repeat};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Kinds of calls that are judged apart: each class, repeatable or not.
pub const KIND_COUNT: usize = 6;

/// How far a roll-out has come; it only goes on, to one of the two ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A small share of the calls goes to a few endpoints of the new version.
    Canary,
    /// Both versions take calls alike.
    Both,
    /// The new version alone takes calls; the old one ends what it has.
    Whole,
    /// The new version takes none any more, and that is not written yet.
    Stopped,
    /// The old version is being ended.
    Completed,
    /// The new version is being ended.
    RolledBack,
}

impl Stage {
    /// Tells whether the verdict stands for good.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// Where an order stands among all that were written.
///
/// Revisions of a store that came back from a copy are given out again, so that they
/// are compared within one era only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderRevision {
    /// How often the store had come back from a copy.
    pub era: u64,
    /// Revision at which the order was written.
    pub revision: u64,
}

/// An operator's order to bring a version in, and how far it has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: SmolStr,
    /// The version that is to take over.
    pub target: SmolStr,
    /// Which order it is.
    #[serde(rename = "place")]
    pub order: OrderRevision,
    /// Time that it may take, in milliseconds.
    pub duration_ms: u32,
    /// Time since the order, in milliseconds, when this is told.
    pub age_ms: u32,
    /// How far it has come.
    pub stage: Stage,
}

/// What calls of one kind came to at one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that a backend server has ended, well or badly.
    pub ended: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that ran for several times the usual duration.
    pub slow: u32,
}

impl Counts {
    /// Gives what has been added since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            ended: self.ended.saturating_sub(before.ended),
            failed: self.failed.saturating_sub(before.failed),
            slow: self.slow.saturating_sub(before.slow),
        }
    }

    fn add(&mut self, other: &Self) {
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// What the calls of a service came to while a version is brought in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// At the new version, by kind.
    pub trial: [Counts; KIND_COUNT],
    /// At all others, by kind.
    pub stable: [Counts; KIND_COUNT],
    /// Calls that run at other versions now.
    pub pending: u32,
}

impl Tally {
    /// Adds what another part of the fleet has seen.
    pub fn add(&mut self, other: &Self) {
        for (sum, part) in self.trial.iter_mut().zip(&other.trial) {
            sum.add(part);
        }
        for (sum, part) in self.stable.iter_mut().zip(&other.stable) {
            sum.add(part);
        }
        self.pending = self.pending.saturating_add(other.pending);
    }

    /// Counts the calls that the new version has ended.
    #[must_use]
    pub fn trial_ended(&self) -> u32 {
        self.trial.iter().map(|counts| counts.ended).sum()
    }
}

/// Gives the kind under which a call is counted.
#[must_use]
pub fn kind_of(class: Class, repeat: Repeat) -> usize {
    2 * class as usize + usize::from(repeat == Repeat::Never)
}
