//! Configuration version numbers, which only increase.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The version number of an accepted configuration. Zero is the empty configuration.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The empty configuration, before any patch.
    pub const ZERO: Self = Self(0);

    /// Returns the next version number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
