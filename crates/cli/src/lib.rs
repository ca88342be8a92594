//! The operators' command line.
//!
//! Configuration verbs (`propose`, `outcome`, `show`, `log`, `diff`, `check`)
//! speak to the platform, where versions last; fleet verbs (`status`, `burn`,
//! `drain`) speak to the operators' listeners of nodes; `explain` reads their
//! logs. Every verb ends with
//! one of the codes of [`Exit`].

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

pub use error::Error;
pub use exit::Exit;
pub use session::run;
