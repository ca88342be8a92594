//! Exit codes.

use std::process::ExitCode;

/// Exit code of the program. The codes are stable: scripts may rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Success; for a proposal: it is accepted.
    Done = 0,
    /// A request to the platform or a node failed.
    Failed = 1,
    /// The command line, a settings file or a patch file is invalid.
    Usage = 2,
    /// The proposal is refused; this is final.
    Refused = 3,
    /// The proposal is not applied and never will be.
    NeverApplied = 4,
    /// The outcome of the proposal is not known yet.
    NotKnown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
