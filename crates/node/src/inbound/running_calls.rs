//! The calls that the backend server of this node is running, to attribute nested calls to their
//! parents.

use config::Class;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// The calls that the backend server is running, by the hash of their name.
#[derive(Debug, Default)]
pub(crate) struct RunningCalls {
    running: Mutex<HashMap<u64, Entry>>,
}

/// Properties of a running call that its nested calls take into account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunningCall {
    /// Class of the call's route.
    pub(crate) class: Class,
    /// Whether it is a retry: it was sent to another backend server before.
    pub(crate) is_retry: bool,
}

/// The running calls with the same name.
#[derive(Debug, Clone, Copy)]
struct Entry {
    count: u32,
    run: RunningCall,
}

/// Registers a running call until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningCallGuard {
    calls: Arc<RunningCalls>,
    name: u64,
}

impl RunningCalls {
    /// Registers a running call.
    pub(crate) fn register(self: &Arc<Self>, name: u64, run: RunningCall) -> RunningCallGuard {
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

    /// Returns the running call with this name, if there is one.
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
