//! The operators' command line.
//!
//! Configuration verbs (`propose`, `outcome`, `show`, `log`, `diff`, `check`, `team`)
//! access the platform, which stores the versions; fleet verbs (`status`, `burn`,
//! `drain`) send requests to the operators' listeners of nodes; `explain` reads
//! the logs of nodes. Every verb ends with one of the exit codes in [`Exit`].

pub mod options;

mod burn_report;
mod check;
mod drain;
mod error;
mod exit;
mod explain;
mod fetch;
mod history;
mod log_line;
mod propose;
mod session;
mod status_report;
mod table;
mod team;
mod team_usage;

pub use error::Error;
pub use exit::Exit;
pub use session::run;
