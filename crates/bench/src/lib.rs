//! Load tests, experiments and fault injection against real processes.
//!
//! A [`deployment::Deployment`] starts the real programs, each VM on its own
//! loopback address. [`load`] sends calls on a fixed schedule and measures
//! latency from the scheduled time, so that a stall counts for every call that
//! it delays (no coordinated omission).

pub mod budget;
pub mod budget_check;
pub mod caller;
pub mod converge;
pub mod converge_fault;
pub mod count;
pub mod deadly;
pub mod demo;
pub mod denials;
mod denials_check;
pub mod denials_gate;
pub mod deployment;
pub mod error;
pub mod faults;
pub mod faults_callers;
pub mod faults_forward;
pub mod faults_history;
pub mod faults_inject;
pub mod load;
pub mod node;
pub mod options;
pub mod overload;
pub mod overload_calls;
pub mod path;
pub(crate) mod pipelining_callers;
pub mod process;
pub mod proposer;
pub mod relay;
pub mod reports;
pub mod reports_check;
pub mod rolling;
pub mod soak;
pub mod soak_cleanup;
pub mod soak_deadly;
pub mod soak_plan;
pub mod soak_repeat;
pub mod soak_runner;
pub mod state;
pub mod stops;
pub mod stops_callers;
pub mod stops_runner;
