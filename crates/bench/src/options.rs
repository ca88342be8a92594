//! Command-line flags that several experiments share.

use bpaf::{Parser, long};
use std::time::Duration;

/// Parses `--seconds`: how long to measure.
pub fn parse_seconds(default: u64) -> impl Parser<Duration> {
    long("seconds")
        .help("How long to measure, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(default)
        .display_fallback()
        .map(Duration::from_secs)
}

/// Default number of services: that of the fleet that the project is designed for.
const DEFAULT_SERVICES: usize = 410;

/// Parses `--services`: the number of services in the configuration.
#[must_use]
pub fn parse_services() -> impl Parser<usize> {
    long("services")
        .help("Services, and routes, of the configuration")
        .argument::<usize>("COUNT")
        .guard(
            |services| (2..=2_000).contains(services),
            "between 2 and 2000",
        )
        .fallback(DEFAULT_SERVICES)
        .display_fallback()
}

/// Parses `--seed`: the seed of an experiment, 1 by default.
pub(crate) fn parse_seed() -> impl Parser<u64> {
    long("seed")
        .help("Seed of all faults and calls")
        .argument::<u64>("SEED")
        .fallback(1)
        .display_fallback()
}
