//! The calls that the own backend server runs, as the calls that it makes for them name them.

use config::Class;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// The calls that the own backend server runs, by the hash of their name.
#[derive(Debug, Default)]
pub(crate) struct RunningCalls {
    running: Mutex<HashMap<u64, Entry>>,
}

/// How a call runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunningCall {
    /// What it is worth.
    pub(crate) class: Class,
    /// Whether it had been sent to another backend server before.
    pub(crate) is_retry: bool,
}

/// The calls of one name that run.
#[derive(Debug, Clone, Copy)]
struct Entry {
    count: u32,
    run: RunningCall,
}

/// Counts a call as running until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningCallGuard {
    calls: Arc<RunningCalls>,
    name: u64,
}

impl RunningCalls {
    /// Counts a call as running.
    pub(crate) fn enter(self: &Arc<Self>, name: u64, run: RunningCall) -> RunningCallGuard {
        let mut running = self.running.lock();
        let entry = running.entry(name).or_insert(Entry { count: 0, run });
        entry.count += 1;
        entry.run.is_retry |= run.is_retry;
        drop(running);
        RunningCallGuard {
            calls: Arc::clone(self),
            name,
        }
    }

    /// Tells how a call runs, if it does.
    pub(crate) fn find(&self, name: u64) -> Option<RunningCall> {
        let running = self.running.lock();
        running.get(&name).map(|entry| entry.run)
    }
}

impl Drop for RunningCallGuard {
    fn drop(&mut self) {
        let mut running = self.calls.running.lock();
        if let Some(entry) = running.get_mut(&self.name) {
            entry.count -= 1;
            if entry.count == 0 {
                running.remove(&self.name);
            }
        }
    }
}
