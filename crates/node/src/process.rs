//! Memory and CPU time of the process.

use std::time::Duration;

/// Length of a clock tick in `/proc`, which Linux fixes at a hundredth of a second.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Indexes of the user and system ticks among the fields of `/proc/self/stat` after the command
/// name.
const CPU_TICK_FIELDS: [usize; 2] = [11, 12];

/// Memory and CPU time of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// CPU time since the start, user and system.
    pub cpu_time: Duration,
}

/// Reads the usage of this process. Values that can't be read are zero.
#[must_use]
pub fn read_usage() -> Usage {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    Usage {
        resident_bytes: parse_resident(&status).unwrap_or_default(),
        cpu_time: parse_cpu(&stat).unwrap_or_default(),
    }
}

fn parse_resident(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes = line.split_whitespace().next()?;
    Some(kilobytes.parse::<u64>().ok()? * 1024)
}

fn parse_cpu(stat: &str) -> Option<Duration> {
    // The command name may contain spaces and parentheses; the last parenthesis ends it.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields = fields.split_whitespace().collect::<Vec<_>>();
    let mut ticks = 0;
    for index in CPU_TICK_FIELDS {
        ticks += fields.get(index)?.parse::<u32>().ok()?;
    }
    Some(CLOCK_TICK * ticks)
}
