//! Burn rates: how fast services use up their error budgets.
//!
//! Each node keeps a [`History`] of the outcomes of its callers' calls per service;
//! the command line adds up the [`Tally`]s of all nodes and compares the sums with the
//! objectives in the configuration. Windows and thresholds are those of
//! "multiwindow, multi-burn-rate alerts" in Google's *Site Reliability
//! Workbook*, chapter 5.
//!
//! ```
//! use burn::{History, Outcome, Window};
//! use std::time::Duration;
//!
//! let mut history = History::default();
//! let now = Duration::from_secs(90);
//! history.record(now, Outcome::Served { slow: false });
//! history.record(now, Outcome::Failed);
//! history.record(now, Outcome::CallerFault);
//! let counts = history.tally(now).counts(Window::Hour);
//! assert_eq!((counts.calls, counts.failed), (2, 1));
//! ```

mod counts;
mod history;
mod report;

pub use counts::{Counts, Outcome, Tally, Window};
pub use history::History;
pub use report::{Alert, BudgetStatus, NodeCounts, ServiceCounts, ServiceReport, evaluate, merge};
