//! A header of a request or answer.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A header as received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: SmolStr,
    /// Value, not decoded.
    pub value: Bytes,
}
