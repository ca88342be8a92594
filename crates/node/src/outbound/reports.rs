//! What backend servers have reported about themselves, as this node has learnt from responses and
//! load probes.
//!
//! The node beside a backend server may restart and forget what its backend server has reported.
//! All other nodes therefore remember it by the process of the backend server.

use parking_lot::RwLock;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use wire::call::ServerReport;

/// Maximum number of remembered backend servers: four times as many as the largest fleet restarts in
/// an hour. Each takes about 100 bytes.
const MAX_REPORTS: usize = 1_024;

/// The last report of each backend server whose calls are restricted, by the name of its node.
#[derive(Debug, Default)]
pub(crate) struct ServerReports {
    entries: RwLock<HashMap<SmolStr, Entry>>,
    /// Number of entries, so that responses of unrestricted servers take no lock.
    count: AtomicUsize,
    /// Increases when a backend server becomes restricted, or unrestricted.
    generation: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    report: ServerReport,
    /// Generation in which the restrictions last changed.
    generation: u64,
}

impl ServerReports {
    /// Records what the node `node` says of its backend server; `None` is no restriction.
    pub(crate) fn record(&self, node: &SmolStr, report: Option<ServerReport>) {
        let known = self.find(node);
        if merge(known, report) == known {
            return;
        }
        let mut entries = self.entries.write();
        let known = entries.get(node).map(|entry| entry.report);
        let merged = merge(known, report);
        let restrictions = |report: Option<ServerReport>| {
            report.map(|report| (report.process, report.rate_limit.is_some(), report.leaving))
        };
        let has_changed = restrictions(merged) != restrictions(known);
        let generation = self.generation.load(Ordering::Acquire) + u64::from(has_changed);
        match merged {
            Some(report) => {
                entries.insert(node.clone(), Entry { report, generation });
            }
            None => {
                entries.remove(node);
            }
        }
        if entries.len() > MAX_REPORTS {
            let oldest = entries.iter().min_by_key(|(_, entry)| entry.generation);
            let oldest = oldest.map(|(node, _)| node.clone());
            oldest.and_then(|node| entries.remove(&node));
        }
        self.count.store(entries.len(), Ordering::Release);
        self.generation.store(generation, Ordering::Release);
    }

    /// Returns the last report of the backend server beside the node `node`, if it restricts calls.
    pub(crate) fn find(&self, node: &SmolStr) -> Option<ServerReport> {
        if self.count.load(Ordering::Acquire) == 0 {
            return None;
        }
        self.entries.read().get(node).map(|entry| entry.report)
    }

    /// Returns the last report of a process beside the node `node`, if it restricts calls.
    pub(crate) fn find_process(&self, node: &SmolStr, process: u64) -> Option<ServerReport> {
        self.find(node).filter(|report| report.process == process)
    }

    /// Returns a number that changes when a backend server becomes restricted or unrestricted.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }
}

/// Returns what is known of a backend server after a new report.
fn merge(known: Option<ServerReport>, report: Option<ServerReport>) -> Option<ServerReport> {
    let Some(left) = known.filter(|known| known.leaving) else {
        return report;
    };
    match report {
        // A process that leaves doesn't return; a node that has restarted may not know that it
        // leaves.
        None => Some(left),
        Some(report) if report.process == left.process => Some(ServerReport {
            leaving: true,
            ..report
        }),
        Some(report) => Some(report),
    }
}
