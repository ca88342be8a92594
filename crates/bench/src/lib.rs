//! Load, experiments and failures against real processes.
//!
//! A [`deployment::Deployment`] starts the programs themselves, each VM on a
//! loopback address of its own; [`load`] sends calls at times fixed beforehand
//! and counts latency from those times, so that a stall is not left out.

pub mod caller;
pub mod deployment;
pub mod error;
pub mod load;
pub mod overload;
pub mod overload_calls;
pub mod path;
pub mod process;
