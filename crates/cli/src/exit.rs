//! How the program ends.

use std::process::ExitCode;

/// How the program ends; the codes never change their meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done; a proposal is accepted.
    Done = 0,
    /// The platform or a node did not do what was asked of it.
    Failed = 1,
    /// The command line, a settings file or a patch file is wrong.
    Usage = 2,
    /// The proposal is refused, for good.
    Refused = 3,
    /// The proposal is not applied and never will be.
    NeverApplied = 4,
    /// It is not known yet what becomes of the proposal.
    NotKnown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
