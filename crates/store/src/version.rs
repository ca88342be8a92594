//! The journal of configuration versions: record N is the step from version N - 1 to N.

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

/// Name of the journal of versions in the platform's store.
pub const JOURNAL: &str = "versions";

/// Number of versions for which a snapshot keeps the proposal, so that an operator can still query
/// a proposal's outcome the next day (at 3,700 changes a day).
const MAX_ORIGINS: usize = 4_000;

/// Maximum length of the random part of a proposal's id, in bytes.
const MAX_NONCE_LEN: usize = 64;

/// Identifies a proposal: the version that it is against, and a random part.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// The version that the proposal is against: the last version that the operator saw.
    pub base: Version,
    /// Distinguishes the proposals against the same version.
    pub nonce: SmolStr,
}

quick_error! {
    /// Error of parsing a proposal's id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseIdError {
        /// The text does not consist of a version number, a hyphen, and ASCII letters or digits.
        Malformed(text: SmolStr) {
            display("{:?} is no proposal's name, such as 7-3f9a20c1", text)
        }
    }
}

impl Id {
    /// Generates the id of a new proposal against `base`.
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
        if nonce.is_empty() || nonce.len() > MAX_NONCE_LEN || !plain {
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

/// Content of a version's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The proposal that was accepted, or the proposal that a void version rules out.
    pub proposal: Id,
    /// Whether the version is void: it changes nothing and only occupies the
    /// number of a proposal whose outcome was unknown.
    #[serde(default)]
    pub void: bool,
    /// The operator who proposed the change.
    pub author: SmolStr,
    /// When the record was written, in milliseconds since the Unix epoch; only for display.
    pub at_ms: u64,
    /// The change.
    pub patch: Patch,
    /// Digest of the full configuration after the change.
    pub digest: Digest,
}

/// The step to a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The version after the step.
    pub version: Version,
    /// Content of the version's record.
    pub entry: Entry,
}

impl Step {
    /// Decodes a record of the journal.
    ///
    /// # Errors
    ///
    /// If its content is not an [`Entry`].
    pub fn parse(record: &Record) -> Result<Self, Error> {
        let entry = Entry::deserialize(&record.value)
            .map_err(|error| Error::Invalid(format!("version {}: {error}", record.number)))?;
        Ok(Self {
            version: Version(record.number),
            entry,
        })
    }
}

/// What a snapshot keeps of a version's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The proposal that was accepted or ruled out.
    pub proposal: Id,
    /// Whether the version is void, as in [`Entry::void`].
    #[serde(default)]
    pub void: bool,
}

/// Content of a snapshot.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Snapshot {
    mesh: Mesh,
    origins: BTreeMap<Version, Origin>,
}

/// The last version of the configuration, and the steps since the last snapshot.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// The last version.
    pub version: Version,
    /// The full configuration at that version.
    pub mesh: Mesh,
    /// The steps since the last snapshot.
    pub steps: Vec<Step>,
    origins: BTreeMap<Version, Origin>,
}

impl State {
    /// Builds the state from the loaded journal.
    ///
    /// # Errors
    ///
    /// If the snapshot or a record can't be decoded, or a step's digest differs
    /// from that of the configuration that it leads to.
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

    /// Applies the next step.
    ///
    /// # Errors
    ///
    /// If the step is not the next one, or can't be applied, or its digest differs from that of the
    /// resulting configuration. The state is then unchanged.
    pub fn push(&mut self, step: Step) -> Result<(), Error> {
        let invalid = |why: String| Error::Invalid(format!("version {}: {why}", step.version));
        if step.version != self.version.next() {
            return Err(invalid(format!("is not the successor of {}", self.version)));
        }
        let patch = &step.entry.patch;
        let mesh = patch
            .apply(&self.mesh)
            .map_err(|error| invalid(error.to_string()))?;
        if Digest::of(&mesh) != step.entry.digest {
            return Err(invalid("the digest differs".into()));
        }
        self.mesh = mesh;
        self.version = step.version;
        let origin = Origin {
            proposal: step.entry.proposal.clone(),
            void: step.entry.void,
        };
        self.origins.insert(step.version, origin);
        while self.origins.len() > MAX_ORIGINS {
            self.origins.pop_first();
        }
        self.steps.push(step);
        Ok(())
    }

    /// Returns the origin of a version, unless the version is too old for its origin to be kept.
    #[must_use]
    pub fn origin(&self, version: Version) -> Option<&Origin> {
        self.origins.get(&version)
    }

    /// Returns the step to a version, unless it is part of the snapshot.
    #[must_use]
    pub fn step(&self, version: Version) -> Option<&Step> {
        self.steps.iter().find(|step| step.version == version)
    }

    /// Encodes the state as a snapshot of the last version.
    ///
    /// # Errors
    ///
    /// Never in practice: every part of the state can be encoded as JSON.
    pub fn snapshot(&self) -> Result<serde_json::Value, Error> {
        let snapshot = Snapshot {
            mesh: self.mesh.clone(),
            origins: self.origins.clone(),
        };
        serde_json::to_value(snapshot).map_err(|error| Error::Invalid(error.to_string()))
    }
}

/// Loads the last version and the steps since the last snapshot.
///
/// # Errors
///
/// If the platform can't be read, or its content is not a valid journal of versions.
pub async fn load<S, C>(journal: &Journal<S, C>) -> Result<State, Error>
where
    S: Store,
    C: Clock,
{
    State::build(&journal.load().await?)
}
