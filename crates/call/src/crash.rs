//! Evidence that a request crashed a backend server.

use crate::Digest;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Longest path that is kept, in bytes.
const MAX_PATH: usize = 200;

/// A process of a backend server that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Names the end of the process.
    pub id: u64,
    /// The request that it ran.
    pub request: Digest,
    /// Node beside the backend server.
    pub node: SmolStr,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Method of the request.
    pub method: SmolStr,
    /// Path of the request, without its query.
    pub path: SmolStr,
    /// Time since the end of the process, in milliseconds, when this is told.
    pub age_ms: u32,
    /// Whether no other request is as likely to blame.
    pub is_alone: bool,
    /// Whether the request has been answered since.
    pub is_cleared: bool,
}

/// Cuts a path to what is kept of it: no query, and not endlessly long.
#[must_use]
pub fn truncate_path(path: &str) -> SmolStr {
    let path = path.split('?').next().unwrap_or_default();
    let mut end = path.len().min(MAX_PATH);
    while !path.is_char_boundary(end) {
        end -= 1;
    }
    path[..end].into()
}
