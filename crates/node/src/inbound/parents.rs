//! The calls that the own backend server runs, as the calls that it makes for them name them.

use config::Class;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// The calls that the own backend server runs, by the hash of their name.
#[derive(Debug, Default)]
pub(crate) struct Parents {
    running: Mutex<HashMap<u64, Running>>,
}

/// How a call runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Run {
    /// What it is worth.
    pub(crate) class: Class,
    /// Whether it had been sent to another backend server before.
    pub(crate) is_repeat: bool,
}

/// The calls of one name that run.
#[derive(Debug, Clone, Copy)]
struct Running {
    count: u32,
    run: Run,
}

/// Counts a call as running until it is dropped.
#[derive(Debug)]
pub(crate) struct Parent {
    parents: Arc<Parents>,
    name: u64,
}

impl Parents {
    /// Counts a call as running.
    pub(crate) fn enter(self: &Arc<Self>, name: u64, run: Run) -> Parent {
        let mut running = self.running.lock();
        let entry = running.entry(name).or_insert(Running { count: 0, run });
        entry.count += 1;
        entry.run.is_repeat |= run.is_repeat;
        drop(running);
        Parent {
            parents: Arc::clone(self),
            name,
        }
    }

    /// Tells how a call runs, if it does.
    pub(crate) fn find(&self, name: u64) -> Option<Run> {
        let running = self.running.lock();
        running.get(&name).map(|entry| entry.run)
    }
}

impl Drop for Parent {
    fn drop(&mut self) {
        let mut running = self.parents.running.lock();
        if let Some(entry) = running.get_mut(&self.name) {
            entry.count -= 1;
            if entry.count == 0 {
                running.remove(&self.name);
            }
        }
    }
}
