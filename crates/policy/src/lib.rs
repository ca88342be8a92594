//! Load policies: admission control, queueing, load balancing, retries, hedging and roll-outs.
//!
//! This crate performs no I/O. Time is passed in as [`std::time::Instant`] and
//! randomness as a [`rand::Rng`], and results are plain values, so that tests can
//! simulate thousands of calls in virtual time. Each type is a state machine with
//! `&mut self` methods; a node guards each with its own lock.
//!
//! The inbound proxy of a backend server holds one [`admission::Admission`] and one
//! [`body_scheduler::BodyScheduler`]. For each service, an outbound proxy holds one
//! [`balance::Balancer`], one [`retry::RetryBudget`] and one [`hedge::HedgePolicy`]. An
//! [`in_flight::Table`] at each backend server finds the requests that may have crashed it, and
//! every node keeps the crash records of these requests in a [`quarantine::CrashHistory`].
//!
//! ```
//! use config::Class;
//! use policy::admission::{Admission, Decision, Request};
//! use policy::limit::Outcome;
//! use rand::{SeedableRng, rngs::SmallRng};
//! use std::time::{Duration, Instant};
//!
//! let mut rng = SmallRng::seed_from_u64(1);
//! let now = Instant::now();
//! let mut admission = Admission::new(now, 6, 7);
//! let request = Request {
//!     class: Class::Lookup,
//!     caller: policy::hash("fitter-12"),
//!     key: policy::hash("/records/gearbox-7"),
//!     route: policy::hash("GET /records"),
//!     deadline: now + Duration::from_secs(1),
//!     target: None,
//!     parent_class: None,
//!     team: None,
//! };
//! let Decision::Run(ticket) = admission.offer(now, &request, &mut rng) else {
//!     panic!("an idle backend server admits the call");
//! };
//! let later = now + Duration::from_millis(10);
//! admission.finish(later, ticket, Outcome::Done);
//! assert!(admission.next(later, &mut rng).is_none());
//! ```

pub mod admission;
pub mod backoff;
pub mod balance;
pub mod body_scheduler;
pub mod call_length;
mod choice;
pub mod duration;
pub mod elapsed;
pub mod fair_share;
pub mod hedge;
pub mod in_flight;
pub mod lending;
pub mod limit;
pub mod load_probe;
pub mod outlier;
pub mod pace;
pub mod pipeline;
mod precedence;
pub mod quarantine;
pub mod queue;
mod rate_limit;
pub mod retry;
pub mod retry_quota;
pub mod rollout;
pub mod self_report;
mod server;
pub mod team_limit;
pub mod team_share;
mod throughput;

/// Returns the 64-bit FNV-1a hash of the name of a caller, key or route.
///
/// The hash is the same on every node. Tables that callers could attack with
/// collisions additionally mix in a random seed of their own.
#[must_use]
pub fn hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
