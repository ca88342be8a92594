//! A node's replica of the configuration, and the frames that bring peers up to date.
//!
//! A step is applied only to its base version. A node that lacks versions requests them from a
//! neighbour. Each node retains the latest steps, and sends only the missing steps to a neighbour
//! that missed a few. A neighbour that missed more steps, or could not apply a version, is sent the
//! full configuration.

use config::{Digest, Error, Mesh, Patch, Version, VersionedMesh};
use smol_str::{SmolStr, ToSmolStr};
use std::cell::OnceCell;
use std::collections::VecDeque;
use std::sync::Arc;
use wire::control::{Chunk, Frame, MAX_CHUNKS};

/// Target of the log lines of this module. Operators name it in filters of the log.
const LOG_TARGET: &str = "fleet::holder";

/// Maximum number of steps retained for neighbours that are behind: those of 25 minutes, at 3,700
/// versions a day.
const MAX_RETAINED_STEPS: usize = 64;

/// Maximum number of changes in all retained steps together; they take up about 1 MB at most.
const MAX_RETAINED_CHANGES: usize = 2_000;

/// Maximum number of changes of a step that is sent to peers: 100 changed routes of 46 bytes each
/// are 4.6 kB.
///
/// Instead of a longer step, the full configuration is sent, which takes only 6 bytes a route
/// because it is compressed.
const MAX_STEP_CHANGES: usize = 100;

/// The step from one version to a later one.
#[derive(Debug, Clone)]
pub struct Step {
    /// The version that the patch applies to.
    pub base: Version,
    /// The version that results.
    pub version: Version,
    /// The changes.
    pub patch: Arc<Patch>,
    /// Digest of the resulting configuration.
    pub digest: Digest,
}

impl Step {
    pub(crate) fn frame(&self) -> Frame {
        Frame::Step {
            base: self.base,
            version: self.version,
            patch: Arc::clone(&self.patch),
            digest: self.digest,
        }
    }
}

/// The result of applying a version, or a chunk of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The version is applied.
    Applied,
    /// The version is not higher than the version held.
    Stale,
    /// Earlier versions or chunks are missing.
    Gap,
    /// The version can't be applied; the version held is unchanged.
    Refused,
    /// More chunks are needed.
    Partial,
}

/// A full configuration of which some chunks have been received.
#[derive(Debug)]
struct Assembly {
    version: Version,
    digest: Digest,
    next_index: u32,
    bytes: Vec<u8>,
}

/// A node's replica of the configuration.
#[derive(Debug, Default)]
pub struct Replica {
    held: VersionedMesh,
    steps: VecDeque<Step>,
    retained_changes: usize,
    refused: Option<(Version, SmolStr)>,
    assembly: Option<Assembly>,
    /// The configuration held, encoded as chunks when a peer first needs them.
    chunks: OnceCell<Vec<Chunk>>,
}

impl Replica {
    /// Returns the configuration held, with its version and digest.
    #[must_use]
    pub fn held(&self) -> &VersionedMesh {
        &self.held
    }

    /// Returns the version held.
    #[must_use]
    pub fn version(&self) -> Version {
        self.held.version()
    }

    /// Returns the version that could not be applied, with the reason; `None` once that version or
    /// a higher one is applied.
    #[must_use]
    pub fn refused(&self) -> Option<&(Version, SmolStr)> {
        self.refused.as_ref()
    }

    /// Records that a version is invalid.
    ///
    /// Returns false if this version or a higher one is already recorded as invalid, or if this
    /// version is not above the version held.
    pub fn refuse(&mut self, version: Version, reason: SmolStr) -> bool {
        let known = self.refused.as_ref().map(|(at, _)| *at);
        if version <= self.version() || known >= Some(version) {
            return false;
        }
        self.refused = Some((version, reason));
        true
    }

    /// Applies a step if its base is the version held.
    pub fn apply_step(&mut self, step: Step) -> ApplyOutcome {
        let result = self
            .held
            .apply_patch(step.base, step.version, &step.patch, step.digest);
        let outcome = self.record_outcome(step.version, result);
        if outcome == ApplyOutcome::Applied {
            self.retain(step);
        }
        outcome
    }

    /// Applies a full configuration from the platform. Also returns the step from the version held
    /// before, unless the configuration is not applied or is the first one.
    ///
    /// The node that reads full configurations from the platform computes the steps, so that the
    /// nodes below it are sent only the changes: a version of 350 routes is some 40 kB, and most
    /// versions change a few routes.
    pub fn apply_and_diff(&mut self, version: Version, mesh: Mesh) -> (ApplyOutcome, Option<Step>) {
        if version <= self.version() {
            return (ApplyOutcome::Stale, None);
        }
        let base = self.held.clone();
        let result = self.held.replace_without_digest(version, mesh);
        let outcome = self.record_outcome(version, result);
        if outcome != ApplyOutcome::Applied {
            return (outcome, None);
        }
        if base.version() == Version::ZERO {
            return (outcome, None);
        }
        let step = Step {
            base: base.version(),
            version,
            patch: Arc::new(config::diff(base.mesh(), self.held.mesh())),
            digest: self.held.digest(),
        };
        self.retain(step.clone());
        (outcome, Some(step))
    }

    /// Applies a full configuration if its version is higher than the version held.
    pub fn apply_full(&mut self, version: Version, mesh: Mesh, digest: Digest) -> ApplyOutcome {
        let result = self.held.replace(version, mesh, digest);
        let outcome = self.record_outcome(version, result);
        if outcome == ApplyOutcome::Applied {
            // The retained steps don't lead to this version.
            self.steps.clear();
            self.retained_changes = 0;
        }
        outcome
    }

    /// Adds a chunk of a full configuration, and applies the configuration once it is complete.
    ///
    /// The chunks of a configuration must come in order, as they do over a single link.
    pub fn apply_chunk(&mut self, chunk: &Chunk) -> ApplyOutcome {
        if chunk.version <= self.version() {
            return ApplyOutcome::Stale;
        }
        if chunk.index == 0 && chunk.count <= MAX_CHUNKS {
            self.assembly = Some(Assembly {
                version: chunk.version,
                digest: chunk.digest,
                next_index: 0,
                bytes: Vec::new(),
            });
        }
        let Some(assembly) = &mut self.assembly else {
            return ApplyOutcome::Gap;
        };
        let is_next = (assembly.version, assembly.digest, assembly.next_index)
            == (chunk.version, chunk.digest, chunk.index);
        if !is_next {
            return ApplyOutcome::Gap;
        }
        assembly.bytes.extend_from_slice(&chunk.bytes);
        assembly.next_index += 1;
        if assembly.next_index < chunk.count {
            return ApplyOutcome::Partial;
        }
        self.finish_assembly()
    }

    fn finish_assembly(&mut self) -> ApplyOutcome {
        let Some(assembly) = self.assembly.take() else {
            return ApplyOutcome::Gap;
        };
        match wire::control::decode_chunks(&assembly.bytes) {
            Ok(mesh) => self.apply_full(assembly.version, mesh, assembly.digest),
            Err(error) => {
                self.refused = Some((assembly.version, error.to_smolstr()));
                ApplyOutcome::Refused
            }
        }
    }

    /// Returns the frames that lead from version `after` to the version held: steps, or the full
    /// configuration.
    ///
    /// If `full`, the full configuration is returned even if steps would suffice.
    #[must_use]
    pub fn frames_after(&self, after: Version, full: bool) -> Vec<Frame> {
        if after >= self.version() {
            return Vec::new();
        }
        let first = self.steps.iter().position(|step| step.base == after);
        if let Some(first) = first.filter(|_| !full) {
            let range = self.steps.range(first..);
            if range
                .clone()
                .all(|step| step.patch.changes.len() <= MAX_STEP_CHANGES)
            {
                return range.map(Step::frame).collect();
            }
        }
        let held = &self.held;
        let chunks = self.chunks.get_or_init(|| {
            let encoded = wire::control::encode_chunks(held.version(), held.digest(), held.mesh());
            encoded.unwrap_or_else(|error| {
                log::warn!(target: LOG_TARGET, version = held.version().0, error:%; "version_too_long");
                Vec::new()
            })
        });
        chunks.iter().cloned().map(Frame::Chunk).collect()
    }

    fn record_outcome(&mut self, version: Version, result: Result<(), Error>) -> ApplyOutcome {
        match result {
            Ok(()) => {
                if self.refused.as_ref().is_some_and(|(at, _)| *at <= version) {
                    self.refused = None;
                }
                self.chunks = OnceCell::new();
                ApplyOutcome::Applied
            }
            Err(Error::Stale(..)) => ApplyOutcome::Stale,
            Err(Error::Gap(..)) => ApplyOutcome::Gap,
            Err(error) => {
                self.refused = Some((version, error.to_smolstr()));
                ApplyOutcome::Refused
            }
        }
    }

    fn retain(&mut self, step: Step) {
        self.retained_changes += step.patch.changes.len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_RETAINED_STEPS
            || (self.retained_changes > MAX_RETAINED_CHANGES && self.steps.len() > 1)
        {
            if let Some(old) = self.steps.pop_front() {
                self.retained_changes -= old.patch.changes.len();
            }
        }
    }
}
