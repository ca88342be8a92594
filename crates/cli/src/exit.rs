//! Exit codes.

use std::process::ExitCode;

/// Exit code of the program. The codes are stable: scripts may rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The verb succeeded; for a verb about a proposal: the proposal is accepted.
    Done = 0,
    /// A request to the platform or a node failed.
    Failed = 1,
    /// The command line, a settings file or a patch file is invalid.
    Usage = 2,
    /// The proposal is refused, which is final.
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
