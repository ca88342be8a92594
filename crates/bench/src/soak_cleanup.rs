//! Checks that after faults have ended, no half-closed sockets and no calls in flight remain, and
//! that no runs have begun after a backend server's leave request.

use crate::deployment::Vm;
use crate::error::Error;
use crate::faults_inject::{Target, read_record, read_runs};
use crate::node::read_metrics;
use std::collections::HashSet;
use std::path::Path;
use std::time::{Duration, Instant};

/// State `CLOSE_WAIT` in `/proc/net/tcp`: the peer has closed the connection.
const CLOSE_WAIT: &str = "08";

/// Time after the acknowledgement of a leave request within which calls may still begin, in
/// microseconds.
const LEAVE_GRACE_US: u64 = 2_000_000;

/// Time limit for calls in flight to end after the last caller has ended; it is longer than the 5 s
/// that nodes wait at most for a response to be read.
const CALL_END_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which the metrics of the nodes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Lists the half-closed sockets of a process: those that the peer has closed but the process has
/// not. Each is described by its local port, which identifies the listener, and its remote port,
/// which identifies the peer.
///
/// # Errors
///
/// When the process has ended.
pub fn list_half_closed(process: u32) -> Result<Vec<String>, Error> {
    let mut sockets = HashSet::new();
    for entry in std::fs::read_dir(format!("/proc/{process}/fd"))? {
        // A descriptor may have been closed since the folder was listed.
        let Ok(target) = std::fs::read_link(entry?.path()) else {
            continue;
        };
        let target = target.to_string_lossy().into_owned();
        if let Some(inode) = target.strip_prefix("socket:[") {
            sockets.insert(inode.trim_end_matches(']').to_owned());
        }
    }
    let table = std::fs::read_to_string(format!("/proc/{process}/net/tcp"))?;
    let half_closed = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let is_close_wait = fields.get(3).is_some_and(|state| *state == CLOSE_WAIT);
        let is_own = fields.get(9).is_some_and(|inode| sockets.contains(*inode));
        (is_close_wait && is_own).then(|| [1, 2].map(|end| parse_port(fields[end])).join("-"))
    });
    Ok(half_closed.collect())
}

/// Returns the port of an address from `/proc/net/tcp`, in which ports are hexadecimal.
fn parse_port(address: &str) -> String {
    let port = address.rsplit(':').next();
    let port = port.and_then(|port| u16::from_str_radix(port, 16).ok());
    port.map_or_else(|| address.to_owned(), |port| port.to_string())
}

/// Counts the runs that began at a backend server more than `LEAVE_GRACE_US` after the leave
/// request of that backend server had been acknowledged.
///
/// # Errors
///
/// When a record can't be read.
pub fn count_late_runs(target: &Target) -> Result<usize, Error> {
    let mut count = 0;
    for file in target.record_files() {
        let Some(leave_us) = read_leave_time(&file.with_extension("left"))? else {
            continue;
        };
        for run in read_runs(&read_record(file)?)? {
            if run.start_us > leave_us + LEAVE_GRACE_US {
                let late_ms = (run.start_us - leave_us) / 1_000;
                let file = file.display();
                eprintln!(
                    "violation: {file}: a run began {late_ms} ms after the leave request was acknowledged"
                );
                count += 1;
            }
        }
    }
    Ok(count)
}

/// Reads the time at which the leave request of a backend server was acknowledged; `None` if there
/// was no leave request.
fn read_leave_time(file: &Path) -> Result<Option<u64>, Error> {
    match std::fs::read_to_string(file) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.into()),
        Ok(text) => Ok(text.trim().parse().ok()),
    }
}

/// Waits until no node holds calls of any kind, after all callers have ended. Returns the number of
/// kinds of calls that a node still holds at the time limit, summed over the nodes.
pub async fn count_unended(vms: &[Vm]) -> usize {
    let start = Instant::now();
    loop {
        let mut unended = 0;
        for vm in vms {
            if let Ok(metrics) = read_metrics(vm).await {
                for kind in ["calls", "answers", "keyed"] {
                    let name = format!("bluebellpick_stop_waits{{kind=\"{kind}\"}}");
                    let held = metrics.get(&name) > 0.0;
                    if held && start.elapsed() > CALL_END_TIMEOUT {
                        eprintln!("violation: {} still holds {kind}", vm.spec.name);
                    }
                    unended += usize::from(held);
                }
            }
        }
        if unended == 0 || start.elapsed() > CALL_END_TIMEOUT {
            return unended;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
