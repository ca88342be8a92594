//! A header of a request or an answer.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A header as it came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: SmolStr,
    /// Value.
    pub value: Bytes,
}
