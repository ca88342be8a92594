//! What names a request through all its repeats.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::borrow::Cow;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Bytes of a body that count; longer ones are told apart by their start.
///
/// As much of a body is held before its call is tried, whoever sends it and in
/// whatever pieces, so that the digest is the same at every node.
pub const MAX_DIGEST_BODY: usize = 64 << 10;

/// Names a request by what its caller chose of it: method, host, path with query, and body.
///
/// Headers don't count: a caller that repeats a request changes some of them. The host is the
/// one of the request's route, empty for a route of all hosts: callers may name each node by
/// its address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Gives the digest of a request, of whose body [`MAX_DIGEST_BODY`] bytes count.
    #[must_use]
    pub fn of(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let body = &body[..body.len().min(MAX_DIGEST_BODY)];
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

impl Digest {
    /// Gives a number that differs between requests, to choose by.
    #[must_use]
    pub fn seed(self) -> u64 {
        u64::from_be_bytes(self.0.first_chunk().copied().unwrap_or_default())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for Digest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(|number| Self(number.to_be_bytes()))
    }
}

/// As text where people read it, else as its bytes.
impl Serialize for Digest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        if deserializer.is_human_readable() {
            let text = <Cow<'de, str>>::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            <[u8; 16]>::deserialize(deserializer).map(Self)
        }
    }
}
