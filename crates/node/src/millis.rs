//! Times as the protocol between nodes has them: whole milliseconds in 32 bits.

use std::time::Duration;

/// Gives a time in whole milliseconds; one beyond 49 days counts as that long.
pub(crate) fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
