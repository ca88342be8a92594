//! The digest of a whole configuration.

use crate::mesh::Mesh;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::io::{BufWriter, Write};

/// Bytes of JSON that are hashed at once; the whole of 2,000 routes is 460 kB.
const BUFFER: usize = 4 << 10;

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
        let mut hasher = Sha256::new();
        // Unbuffered it would be a call of the hasher for each token.
        let mut writer = BufWriter::with_capacity(BUFFER, &mut hasher);
        serde_json::to_writer(&mut writer, mesh).expect("a mesh always has a JSON form");
        writer.flush().expect("a hasher takes everything");
        drop(writer);
        let full = hasher.finalize();
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
