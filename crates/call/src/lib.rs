//! What became of a call: verdicts, call identities and the table of calls.
//!
//! A call that must not be repeated is tried again only after
//! [`Verdict::NotRun`], which is said only when it is known.

pub mod owner;
pub mod reserve;

mod crash;
mod digest;
mod header;
mod id;
mod table;
mod verdict;

pub use crash::{Crash, truncate_path};
pub use digest::{Digest, MAX_DIGEST_BODY};
pub use header::Header;
pub use id::Id;
pub use table::{Arrival, AttemptTable, MAX_OUTCOMES, OUTCOME_RETENTION, Outcome, PEER_RETENTION};
pub use verdict::Verdict;
