//! Durations in the protocol between nodes: whole milliseconds in 32 bits.

use std::time::Duration;

/// Converts a duration to whole milliseconds, saturating at `u32::MAX` (49 days).
pub(crate) fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
