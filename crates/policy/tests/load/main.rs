//! Load patterns simulated in virtual time and measured by what the callers receive.

mod burst;
mod competing_teams;
mod gray_failure;
mod herding;
mod hot_caller;
mod hot_key;
mod large_fleet;
mod latency_target;
mod long_jobs;
mod nested;
mod overstated_slots;
mod report;
mod retry_storm;
mod scenario;
mod shared_machine;
mod sim;
mod slow_server;
mod sustained_overload;
mod uneven_zone;
mod zone_recovery;
