//! The proxy and relay that runs beside every backend server.
//!
//! One process holds four listeners: for callers, for the backend server on
//! the same VM, for other nodes and for operators. All of them share one
//! [`shared::Shared`].

mod backend;
mod forwarded_body;
mod header;
mod millis;

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
pub mod stop;
