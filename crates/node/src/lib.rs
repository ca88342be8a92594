//! The sidecar proxy that runs next to every backend server, and relays configuration to other
//! nodes.
//!
//! One process has four listeners: for callers, for the backend server on the same VM, for other
//! nodes and for operators. They share one [`shared::Shared`].

mod accept;
mod backend;
mod call_length;
mod connection;
mod forwarded_body;
mod framing;
pub mod freshness;
mod header;
mod millis;
mod self_report;

pub mod announce;
pub mod control;
pub mod inbound;
pub mod link;
pub mod listener;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod nodes;
pub mod operate;
pub mod outbound;
pub mod process;
pub mod quarantine;
pub mod reserve;
pub mod rollout;
pub mod shared;
pub mod start_steps;
pub mod stop;
pub mod team_limits;
pub mod team_usage;
