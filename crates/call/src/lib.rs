//! Call identities, execution verdicts, the attempt table and idempotency keys.
//!
//! A call that must not be repeated is retried only after [`Verdict::NotRun`],
//! which is reported only when it is certain.

pub mod owner;
pub mod reserve;

mod crash;
mod digest;
mod header;
mod id;
mod table;
mod verdict;

pub use crash::{Crash, truncate_path};
pub use digest::{Digest, MAX_DIGEST_BODY_BYTES};
pub use header::Header;
pub use id::Id;
pub use table::{Arrival, AttemptTable, MAX_OUTCOMES, OUTCOME_RETENTION, Outcome, PEER_RETENTION};
pub use verdict::Verdict;
