//! The proxy and relay that runs beside every backend server.
//!
//! One process holds four listeners: for callers, for the backend server on
//! the same VM, for other nodes and for operators. All of them share one
//! [`shared::Shared`].

pub mod announce;
pub mod listener;
pub mod logs;
pub mod metrics;
pub mod operate;
pub mod process;
pub mod shared;

mod metrics_service;
