//! Whether a request may have run.

use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No backend server was given it, and none will be.
    NotRun,
    /// It may have run, or may still run.
    MayHaveRun,
    /// A backend server ran it.
    Ran,
}

impl Verdict {
    /// Name of the answer header that carries a verdict to callers.
    pub const HEADER: &str = "bluebellpick-verdict";

    /// Gives the header's value.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}
