//! Records of requests that were running when a backend server crashed.

use crate::Digest;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Longest path that a crash record keeps, in bytes.
const MAX_PATH_BYTES: usize = 200;

/// A backend server process that ended while it was running a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Identifies the crash, which is the end of one process.
    pub id: u64,
    /// Digest of the request that was running.
    pub request: Digest,
    /// Node that runs alongside the backend server.
    pub node: SmolStr,
    /// Service of the backend server.
    pub service: SmolStr,
    /// Method of the request.
    pub method: SmolStr,
    /// Path of the request, without its query.
    pub path: SmolStr,
    /// Time since the process ended, in milliseconds, as of when the record is sent.
    pub age_ms: u32,
    /// Whether no other request is an equally likely cause of the crash.
    pub is_alone: bool,
    /// Whether the request has since been answered.
    pub is_cleared: bool,
}

/// Strips the query from a path and truncates it to `MAX_PATH_BYTES`.
#[must_use]
pub fn truncate_path(path: &str) -> SmolStr {
    let path = path.split('?').next().unwrap_or_default();
    let mut end = path.len().min(MAX_PATH_BYTES);
    while !path.is_char_boundary(end) {
        end -= 1;
    }
    path[..end].into()
}
