//! The proxy and relay that runs beside every backend server.
//!
//! One process holds four listeners: for callers, for the backend server on
//! the same VM, for other nodes and for operators. All of them share one
//! [`shared::Shared`].

mod backend;
mod control_link;
mod control_platform;
mod control_removal;
mod control_tree;
mod control_watch;
mod header;
mod inbound_call;
mod inbound_gate;
mod inbound_link;
mod inbound_run;
mod metrics_control;
mod metrics_reserve;
mod metrics_service;
mod outbound_answer;
mod outbound_call;
mod outbound_hedge;
mod outbound_keyed;
mod outbound_link;
mod outbound_peer;
mod outbound_plan;
mod outbound_send;
mod outbound_sent;
mod outbound_service;
mod outbound_settle;
mod outbound_try;
mod reserve_ages;
mod reserve_link;
mod reserve_log;
mod reserve_owners;
mod reserve_record;
mod reserve_shard;
mod upload;

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
pub mod reserve;
pub mod shared;
