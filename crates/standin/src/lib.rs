//! Stand-ins of the platform and of a backend server, for tests and trials.

pub mod announce;
pub mod backend;
pub mod forward;
pub mod http;
pub mod platform;
pub mod rate;
pub mod record;
