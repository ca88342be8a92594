//! A digest that identifies a request across all its repeats.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::borrow::Cow;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of leading body bytes that are part of the digest; the rest is ignored.
///
/// This many bytes of a body are buffered before the first attempt, regardless of the sender and of
/// how the body is split, so that every node computes the same digest.
pub const MAX_DIGEST_BODY_BYTES: usize = 64 << 10;

/// Identifies a request by its caller and by what the caller chose: method, host, path with query, and
/// body.
///
/// The caller is the service of the VM at which the request began, which the node there sets. Without
/// it, answers to one caller would clear the crashes of another, and a hold of one caller's request
/// would also hold the other's. Headers are left out, because a caller that repeats a request changes
/// some of them. The host is that of the matching route, and empty for a route that applies to all
/// hosts, because callers may address each node by its own address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Computes the digest of a request of the service `caller`, using the first
    /// [`MAX_DIGEST_BODY_BYTES`] bytes of its body.
    #[must_use]
    pub fn of(caller: &str, method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let body = &body[..body.len().min(MAX_DIGEST_BODY_BYTES)];
        let mut digest = Sha256::new();
        let texts = [caller, method, host, path].map(str::as_bytes);
        for part in texts.into_iter().chain([body]) {
            // The length prefix distinguishes "ab" + "c" from "a" + "bc".
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let digest = digest.finalize();
        Self(digest.first_chunk().copied().unwrap_or_default())
    }
}

impl Digest {
    /// Returns a number derived from the digest, as a seed for choices that depend on the request.
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

/// Serializes as hexadecimal text in human-readable formats and as raw bytes otherwise.
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
