//! Stand-ins for the platform and for a backend server, used by tests and benchmarks.

pub mod announce;
pub mod backend;
pub mod forward;
pub mod http;
pub mod platform;
pub mod rate;
pub mod record;
