//! What names a request through all its repeats.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Bytes of a body that count; longer ones are told apart by their start.
///
/// As much of a body is held before its call is tried, whoever sends it and in
/// whatever pieces, so that the digest is the same at every node.
pub const MAX_BODY: usize = 64 << 10;

/// Names a request by what its caller chose of it: method, host, path with query, and body.
///
/// Headers don't count: a caller that repeats a request changes some of them. The host is the
/// one of the request's route, empty for a route of all hosts: callers may name each node by
/// its address.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Gives the digest of a request, of whose body [`MAX_BODY`] bytes count.
    #[must_use]
    pub fn of(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let body = &body[..body.len().min(MAX_BODY)];
        let mut digest = Sha256::new();
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // The length keeps "ab" + "c" apart from "a" + "bc".
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let digest = digest.finalize();
        Self(digest.first_chunk().copied().unwrap_or_default())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}
