//! The calls that the backend server of this node is running, to attribute nested calls to their
//! parents.

use config::Class;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// The calls that the backend server is running, by the key under which their nested calls find
/// them: the hash of the name that a nested call gives for its parent.
#[derive(Debug, Default)]
pub(crate) struct RunningCalls {
    running: Mutex<HashMap<u64, SameKeyCalls>>,
}

/// Properties of a running call that matter for its nested calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunningCall {
    /// Class of the call's route.
    pub(crate) class: Class,
    /// Whether the call is a retry, which was sent to another backend server before.
    pub(crate) is_retry: bool,
}

/// The running calls with the same key.
#[derive(Debug, Clone, Copy)]
struct SameKeyCalls {
    /// Number of running calls with the key.
    count: u32,
    /// Class of the first of these calls; a retry if any of them is a retry.
    call: RunningCall,
}

/// Keeps a running call registered until the guard is dropped.
#[derive(Debug)]
pub(crate) struct RunningCallGuard {
    calls: Arc<RunningCalls>,
    key: u64,
}

impl RunningCalls {
    /// Registers a running call.
    pub(crate) fn register(self: &Arc<Self>, key: u64, call: RunningCall) -> RunningCallGuard {
        let mut running = self.running.lock();
        let entry = running
            .entry(key)
            .or_insert(SameKeyCalls { count: 0, call });
        entry.count += 1;
        entry.call.is_retry |= call.is_retry;
        drop(running);
        RunningCallGuard {
            calls: Arc::clone(self),
            key,
        }
    }

    /// Returns the running call with this key, if there is one.
    pub(crate) fn find(&self, key: u64) -> Option<RunningCall> {
        let running = self.running.lock();
        running.get(&key).map(|entry| entry.call)
    }
}

impl Drop for RunningCallGuard {
    fn drop(&mut self) {
        let mut running = self.calls.running.lock();
        if let Some(entry) = running.get_mut(&self.key) {
            entry.count -= 1;
            if entry.count == 0 {
                running.remove(&self.key);
            }
        }
    }
}
