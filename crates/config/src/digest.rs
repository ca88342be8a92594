//! The digest of a whole configuration.

use crate::mesh::Mesh;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// SHA-256 of a configuration's canonical JSON, cut to 16 bytes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Computes the digest of `mesh`; equal configurations give equal digests.
    ///
    /// # Panics
    ///
    /// Never: a mesh always has a JSON form.
    #[must_use]
    pub fn of(mesh: &Mesh) -> Self {
        let json = serde_json::to_vec(mesh).expect("a mesh always has a JSON form");
        let full = Sha256::digest(json);
        let mut cut = [0; 16];
        cut.copy_from_slice(&full[..16]);
        Self(cut)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}
