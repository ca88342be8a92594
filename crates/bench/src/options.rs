//! Flags that several experiments share.

use bpaf::{Parser, long};
use std::time::Duration;

/// Reads how long to measure.
pub fn parse_seconds(default: u64) -> impl Parser<Duration> {
    long("seconds")
        .help("How long to measure, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(default)
        .display_fallback()
        .map(Duration::from_secs)
}
