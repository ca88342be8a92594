//! Configuration versions as a journal: record N is the step from N - 1 to N.

use crate::journal::{LoadedJournal, Record};
use crate::{Error, Journal, Store};
use clock::Clock;
use config::{Digest, Mesh, Patch, Version};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Name of the journal of versions.
pub const JOURNAL: &str = "versions";

/// Versions whose proposals a snapshot remembers, so that an operator may
/// still ask for an outcome the next day (3,700 changes a day).
const REMEMBERED: usize = 4_000;

/// Longest random part of a proposal's name.
const MAX_NONCE: usize = 64;

/// Names a proposal: the version that it is against, and a random part.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// The version that the operator last saw.
    pub base: Version,
    /// Tells proposals against one version apart.
    pub nonce: SmolStr,
}

quick_error! {
    /// Text that names no proposal.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseIdError {
        /// It is not a number, a hyphen and letters or digits.
        Malformed(text: SmolStr) {
            display("{:?} is no proposal's name, such as 7-3f9a20c1", text)
        }
    }
}

impl Id {
    /// Names a new proposal against `base`.
    #[must_use]
    pub fn generate(base: Version) -> Self {
        Self {
            base,
            nonce: format_smolstr!("{:016x}", rand::random::<u64>()),
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.base, self.nonce)
    }
}

impl FromStr for Id {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let malformed = || ParseIdError::Malformed(text.into());
        let (base, nonce) = text.split_once('-').ok_or_else(malformed)?;
        let base = base.parse().ok().ok_or_else(malformed)?;
        let plain = nonce.bytes().all(|byte| byte.is_ascii_alphanumeric());
        if nonce.is_empty() || nonce.len() > MAX_NONCE || !plain {
            return Err(malformed());
        }
        Ok(Self {
            base: Version(base),
            nonce: nonce.into(),
        })
    }
}

impl Serialize for Id {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let text = SmolStr::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// What a version's record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The proposal that was accepted, or the one that a void version shuts out.
    pub proposal: Id,
    /// Whether the version changes nothing and only takes its number from a
    /// proposal whose fate was open.
    #[serde(default)]
    pub void: bool,
    /// Who proposed it.
    pub author: SmolStr,
    /// When, in milliseconds of the Unix epoch, for people to read.
    pub at_ms: u64,
    /// What it changes.
    pub patch: Patch,
    /// Digest of the whole configuration after it.
    pub digest: Digest,
}

/// A version with the step that leads to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The version after the step.
    pub version: Version,
    /// What its record says.
    pub entry: Entry,
}

impl Step {
    /// Reads a record of the journal.
    ///
    /// # Errors
    ///
    /// When it is no version's.
    pub fn parse(record: &Record) -> Result<Self, Error> {
        let entry = Entry::deserialize(&record.value)
            .map_err(|error| Error::Invalid(format!("version {}: {error}", record.number)))?;
        Ok(Self {
            version: Version(record.number),
            entry,
        })
    }
}

/// What a snapshot still knows of a version's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The proposal that was accepted or shut out.
    pub proposal: Id,
    /// As [`Entry::void`].
    #[serde(default)]
    pub void: bool,
}

/// What a snapshot says.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Snapshot {
    mesh: Mesh,
    origins: BTreeMap<Version, Origin>,
}

/// The configuration at its last version, with the steps since the last snapshot.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// The last version.
    pub version: Version,
    /// The whole configuration.
    pub mesh: Mesh,
    /// The steps since the last snapshot.
    pub steps: Vec<Step>,
    origins: BTreeMap<Version, Origin>,
}

impl State {
    /// Puts together what was loaded from the journal.
    ///
    /// # Errors
    ///
    /// When a record or the snapshot is none of this journal's, or a step's
    /// digest isn't that of the configuration it leads to.
    pub fn build(loaded: &LoadedJournal) -> Result<Self, Error> {
        let snapshot = match &loaded.snapshot {
            Some(value) => Snapshot::deserialize(value).map_err(|error| {
                Error::Invalid(format!("snapshot {}: {error}", loaded.snapshot_number))
            })?,
            None => Snapshot::default(),
        };
        let mut state = Self {
            version: Version(loaded.snapshot_number),
            mesh: snapshot.mesh,
            steps: Vec::new(),
            origins: snapshot.origins,
        };
        for record in &loaded.tail.records {
            state.push(Step::parse(record)?)?;
        }
        Ok(state)
    }

    /// Adds the next step.
    ///
    /// # Errors
    ///
    /// As [`State::build`]; the state is then as it was.
    pub fn push(&mut self, step: Step) -> Result<(), Error> {
        let wrong = |why: String| Error::Invalid(format!("version {}: {why}", step.version));
        if step.version != self.version.next() {
            return Err(wrong(format!("can't follow {}", self.version)));
        }
        let patch = &step.entry.patch;
        let mesh = patch
            .apply(&self.mesh)
            .map_err(|error| wrong(error.to_string()))?;
        if Digest::of(&mesh) != step.entry.digest {
            return Err(wrong("the digest is another".into()));
        }
        self.mesh = mesh;
        self.version = step.version;
        let origin = Origin {
            proposal: step.entry.proposal.clone(),
            void: step.entry.void,
        };
        self.origins.insert(step.version, origin);
        while self.origins.len() > REMEMBERED {
            self.origins.pop_first();
        }
        self.steps.push(step);
        Ok(())
    }

    /// Finds what stands at a version, as far as that is remembered.
    #[must_use]
    pub fn origin(&self, version: Version) -> Option<&Origin> {
        self.origins.get(&version)
    }

    /// Finds the step to a version, unless it is in the snapshot.
    #[must_use]
    pub fn step(&self, version: Version) -> Option<&Step> {
        self.steps.iter().find(|step| step.version == version)
    }

    /// Gives what a snapshot at this version says.
    ///
    /// # Errors
    ///
    /// Never in practice: all of it has a JSON form.
    pub fn snapshot(&self) -> Result<serde_json::Value, Error> {
        let snapshot = Snapshot {
            mesh: self.mesh.clone(),
            origins: self.origins.clone(),
        };
        serde_json::to_value(snapshot).map_err(|error| Error::Invalid(error.to_string()))
    }
}

/// Reads the last version and the steps since the last snapshot.
///
/// # Errors
///
/// When the platform can't be read, or holds something else.
pub async fn load<S, C>(journal: &Journal<S, C>) -> Result<State, Error>
where
    S: Store,
    C: Clock,
{
    State::build(&journal.load().await?)
}
