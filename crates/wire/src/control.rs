//! Frames of configuration, endpoints and status between nodes.

use config::{Digest, Patch, Version};
use serde::{Deserialize, Serialize};

/// News between a relay and its children.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The step from the version before to this one.
    Step {
        /// The version after the step.
        version: Version,
        /// What changes.
        patch: Patch,
        /// Digest of the whole configuration after the step.
        digest: Digest,
    },
}
