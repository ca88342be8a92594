//! The configuration of a node, and what it can give to others.
//!
//! A step is applied only to the version before it; what doesn't fit is
//! fetched, first as a range of steps, then whole. The last steps are kept so
//! that neighbours that missed a few get just these.

use config::{Digest, Error, Held, Mesh, Patch, Version};
use smol_str::{SmolStr, ToSmolStr};
use std::cell::OnceCell;
use std::collections::VecDeque;
use std::sync::Arc;
use wire::control::{Chunk, Frame, MAX_CHUNKS};

/// Steps kept for neighbours that are behind: 25 minutes at 3,700 a day.
const MAX_RETAINED_STEPS: usize = 64;

/// Changes kept in all steps together: about 1 MB at the largest.
const MAX_RETAINED_CHANGES: usize = 2_000;

/// Longest step that is sent as one: at 46 bytes a route, 100 are 4.6 kB. A
/// longer one goes as a whole configuration, which is compressed: 6 bytes a route.
const MAX_STEP_CHANGES: usize = 100;

/// A step from one version to the next.
#[derive(Debug, Clone)]
pub struct Step {
    /// The version before it.
    pub base: Version,
    /// The version after it.
    pub version: Version,
    /// What changes.
    pub patch: Arc<Patch>,
    /// Digest of the whole after it.
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

/// What became of a version that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is held now.
    Applied,
    /// It is not news.
    Stale,
    /// Versions before it are missing.
    Gap,
    /// It can't be applied; nothing of it was.
    Refused,
    /// More chunks must come.
    Partial,
}

/// Chunks of a whole configuration that is coming in.
#[derive(Debug)]
struct Assembly {
    version: Version,
    digest: Digest,
    next: u32,
    bytes: Vec<u8>,
}

/// The configuration of a node.
#[derive(Debug, Default)]
pub struct Replica {
    held: Held,
    steps: VecDeque<Step>,
    retained_changes: usize,
    refused: Option<(Version, SmolStr)>,
    assembly: Option<Assembly>,
    /// What is held, cut up for others, once one has asked for it.
    chunks: OnceCell<Vec<Chunk>>,
}

impl Replica {
    /// Gives what is held.
    #[must_use]
    pub fn held(&self) -> &Held {
        &self.held
    }

    /// Gives the number of the version held.
    #[must_use]
    pub fn version(&self) -> Version {
        self.held.version()
    }

    /// Gives the version above the held one that could not be applied, and why.
    #[must_use]
    pub fn refused(&self) -> Option<&(Version, SmolStr)> {
        self.refused.as_ref()
    }

    /// Notes that a version can't be read; gives false when that is known, or no matter any more.
    pub fn refuse(&mut self, version: Version, reason: SmolStr) -> bool {
        let known = self.refused.as_ref().map(|(at, _)| *at);
        if version <= self.version() || known >= Some(version) {
            return false;
        }
        self.refused = Some((version, reason));
        true
    }

    /// Takes a step, if it is the next one.
    pub fn apply_step(&mut self, step: Step) -> ApplyOutcome {
        let result = self
            .held
            .step(step.base, step.version, &step.patch, step.digest);
        let taken = self.record_outcome(step.version, result);
        if taken == ApplyOutcome::Applied {
            self.retain(step);
        }
        taken
    }

    /// Takes the newest configuration, whole, and gives the step that leads to it.
    ///
    /// Whoever reads a source of whole versions makes the step, so that the
    /// nodes below get what changed: a version of 350 routes is some 40 kB,
    /// and most change a few.
    pub fn apply_newest(&mut self, version: Version, mesh: Mesh) -> (ApplyOutcome, Option<Step>) {
        if version <= self.version() {
            return (ApplyOutcome::Stale, None);
        }
        let base = self.held.clone();
        let result = self.held.adopt(version, mesh);
        let taken = self.record_outcome(version, result);
        if taken != ApplyOutcome::Applied {
            return (taken, None);
        }
        if base.version() == Version::ZERO {
            return (taken, None);
        }
        let step = Step {
            base: base.version(),
            version,
            patch: Arc::new(config::diff(base.mesh(), self.held.mesh())),
            digest: self.held.digest(),
        };
        self.retain(step.clone());
        (taken, Some(step))
    }

    /// Takes a whole configuration, if it is a higher version.
    pub fn apply_full(&mut self, version: Version, mesh: Mesh, digest: Digest) -> ApplyOutcome {
        let result = self.held.replace(version, mesh, digest);
        let taken = self.record_outcome(version, result);
        if taken == ApplyOutcome::Applied {
            // The steps kept don't lead up to this version.
            self.steps.clear();
            self.retained_changes = 0;
        }
        taken
    }

    /// Takes a part of a whole configuration; parts come in order over one link.
    pub fn apply_chunk(&mut self, chunk: &Chunk) -> ApplyOutcome {
        if chunk.version <= self.version() {
            return ApplyOutcome::Stale;
        }
        if chunk.index == 0 && chunk.count <= MAX_CHUNKS {
            self.assembly = Some(Assembly {
                version: chunk.version,
                digest: chunk.digest,
                next: 0,
                bytes: Vec::new(),
            });
        }
        let Some(assembly) = &mut self.assembly else {
            return ApplyOutcome::Gap;
        };
        let is_next = (assembly.version, assembly.digest, assembly.next)
            == (chunk.version, chunk.digest, chunk.index);
        if !is_next {
            return ApplyOutcome::Gap;
        }
        assembly.bytes.extend_from_slice(&chunk.bytes);
        assembly.next += 1;
        if assembly.next < chunk.count {
            return ApplyOutcome::Partial;
        }
        self.finish_assembly()
    }

    fn finish_assembly(&mut self) -> ApplyOutcome {
        let Some(whole) = self.assembly.take() else {
            return ApplyOutcome::Gap;
        };
        match wire::control::join(&whole.bytes) {
            Ok(mesh) => self.apply_full(whole.version, mesh, whole.digest),
            Err(error) => {
                self.refused = Some((whole.version, error.to_smolstr()));
                ApplyOutcome::Refused
            }
        }
    }

    /// Gives the frames that lead from version `after` to the one held: steps, or the whole.
    #[must_use]
    pub fn frames_after(&self, after: Version, whole: bool) -> Vec<Frame> {
        if after >= self.version() {
            return Vec::new();
        }
        let first = self.steps.iter().position(|step| step.base == after);
        if let Some(first) = first.filter(|_| !whole) {
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
            let cut = wire::control::split(held.version(), held.digest(), held.mesh());
            cut.unwrap_or_else(|error| {
                log::warn!(version = held.version().0, error:%; "version_too_long");
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
