//! Load patterns in virtual time, judged by what the callers receive.

mod burst;
mod fewer_slots;
mod gray_failure;
mod hot_caller;
mod hot_key;
mod in_time;
mod large_fleet;
mod long_jobs;
mod nested;
mod report;
mod retry_storm;
mod same_figures;
mod scenario;
mod sim;
mod slow_server;
mod sustained_overload;
mod uneven_zone;
mod zone_return;
