//! The calls that the own backend server runs, as the calls that it makes for them name them.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// The calls that the own backend server runs, by the hash of their name.
#[derive(Debug, Default)]
pub(crate) struct Parents {
    running: Mutex<HashMap<u64, u32>>,
}

/// Counts a call as running until it is dropped.
#[derive(Debug)]
pub(crate) struct Parent {
    parents: Arc<Parents>,
    name: u64,
}

impl Parents {
    /// Counts a call as running.
    pub(crate) fn enter(self: &Arc<Self>, name: u64) -> Parent {
        *self.running.lock().entry(name).or_default() += 1;
        Parent {
            parents: Arc::clone(self),
            name,
        }
    }

    /// Tells whether a call runs.
    pub(crate) fn has(&self, name: u64) -> bool {
        self.running.lock().contains_key(&name)
    }
}

impl Drop for Parent {
    fn drop(&mut self) {
        let mut running = self.parents.running.lock();
        if let Some(count) = running.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.name);
            }
        }
    }
}
