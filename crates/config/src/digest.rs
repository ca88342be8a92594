//! The digest of a full configuration.

use crate::mesh::Mesh;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::io::{BufWriter, Write};

/// Bytes of JSON hashed at a time; a configuration of 2,000 routes is 460 kB.
const BUFFER_BYTES: usize = 4 << 10;

/// SHA-256 of a configuration's canonical JSON, truncated to 16 bytes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Computes the digest of `mesh`; equal configurations give equal digests.
    ///
    /// # Panics
    ///
    /// Never: a mesh can always be serialized to JSON.
    #[must_use]
    pub fn of(mesh: &Mesh) -> Self {
        let mut hasher = Sha256::new();
        // Without a buffer the hasher would be called for each JSON token.
        let mut writer = BufWriter::with_capacity(BUFFER_BYTES, &mut hasher);
        serde_json::to_writer(&mut writer, mesh).expect("a mesh can always be serialized to JSON");
        writer.flush().expect("writing to a hasher never fails");
        drop(writer);
        let full = hasher.finalize();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&full[..16]);
        Self(truncated)
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
