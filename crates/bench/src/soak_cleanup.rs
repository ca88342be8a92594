//! What must be gone once faults have ended: half-closed sockets, calls, work after a farewell.

use crate::deployment::Vm;
use crate::error::Error;
use crate::faults_inject::{Target, read_record, read_runs};
use crate::node::read_metrics;
use std::collections::HashSet;
use std::path::Path;
use std::time::{Duration, Instant};

/// State of a socket whose peer has closed it, in `/proc/net/tcp`.
const CLOSE_WAIT: &str = "08";

/// Longest time after a farewell was answered until no call begins any more, in microseconds.
const LEFT_US: u64 = 2_000_000;

/// Longest time after the last caller until nothing is in flight: an answer that nobody
/// takes is given up after 5 s.
const ENDED: Duration = Duration::from_secs(8);

/// Time between two looks at the nodes.
const POLL: Duration = Duration::from_millis(100);

/// Names the sockets of a process that their peers have closed and it has not, by the ports of
/// both ends: the own one tells the listener, the other one whose it was.
///
/// # Errors
///
/// When the process has ended.
pub fn list_half_closed(process: u32) -> Result<Vec<String>, Error> {
    let mut sockets = HashSet::new();
    for entry in std::fs::read_dir(format!("/proc/{process}/fd"))? {
        // A descriptor may be closed between the listing and the look at it.
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
        let is_state = fields.get(3).is_some_and(|state| *state == CLOSE_WAIT);
        let is_own = fields.get(9).is_some_and(|inode| sockets.contains(*inode));
        (is_state && is_own).then(|| [1, 2].map(|end| name_port(fields[end])).join("-"))
    });
    Ok(half_closed.collect())
}

/// Gives the port of an address in `/proc/net/tcp`, which is in hexadecimal digits there.
fn name_port(address: &str) -> String {
    let port = address.rsplit(':').next();
    let port = port.and_then(|port| u16::from_str_radix(port, 16).ok());
    port.map_or_else(|| address.to_owned(), |port| port.to_string())
}

/// Counts the runs that began at backend servers after their farewells had been answered.
///
/// # Errors
///
/// When a record can't be read.
pub fn count_late_runs(target: &Target) -> Result<usize, Error> {
    let mut count = 0;
    for file in target.record_files() {
        let Some(left_us) = read_farewell(&file.with_extension("left"))? else {
            continue;
        };
        for run in read_runs(&read_record(file)?)? {
            if run.start_us > left_us + LEFT_US {
                let late_ms = (run.start_us - left_us) / 1_000;
                let file = file.display();
                eprintln!("violation: {file}: a run began {late_ms} ms after the farewell");
                count += 1;
            }
        }
    }
    Ok(count)
}

/// Reads when a backend server's farewell was answered, if it was.
fn read_farewell(file: &Path) -> Result<Option<u64>, Error> {
    match std::fs::read_to_string(file) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.into()),
        Ok(text) => Ok(text.trim().parse().ok()),
    }
}

/// Counts the calls that nodes still hold when nobody calls any more.
pub async fn count_unended(vms: &[Vm]) -> usize {
    let start = Instant::now();
    loop {
        let mut unended = 0;
        for vm in vms {
            if let Ok(metrics) = read_metrics(vm).await {
                for kind in ["calls", "answers", "keyed"] {
                    let name = format!("bluebellpick_stop_waits{{kind=\"{kind}\"}}");
                    let held = metrics.get(&name) > 0.0;
                    if held && start.elapsed() > ENDED {
                        eprintln!("violation: {} still holds {kind}", vm.spec.name);
                    }
                    unended += usize::from(held);
                }
            }
        }
        if unended == 0 || start.elapsed() > ENDED {
            return unended;
        }
        tokio::time::sleep(POLL).await;
    }
}
