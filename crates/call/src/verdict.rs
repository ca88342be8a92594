//! Whether a backend server may have run a request.

use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request was not and will not be passed to a backend server.
    NotRun,
    /// The request may have run, or may still run.
    MayHaveRun,
    /// A backend server ran the request.
    Ran,
}

impl Verdict {
    /// Name of the answer header that reports the verdict to callers.
    pub const HEADER: &str = "bluebellpick-verdict";

    /// Returns the value of the header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}
