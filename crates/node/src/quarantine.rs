//! Crash history and status of requests that crash backend servers (`policy::quarantine`).

use crate::metrics::Metrics;
use call::{Crash, Digest};
use clock::Clock;
use log::{info, warn};
use parking_lot::{Mutex, RwLock};
use policy::quarantine::{CrashHistory, RequestStatus};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;
use tokio::sync::Notify;

/// Maximum number of suspect requests logged per crash.
const MAX_LOGGED_SUSPECTS: usize = 8;

/// This node's record of requests that crash backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    history: RwLock<CrashHistory>,
    /// Whether the history is non-empty; spares most calls the lock.
    has_crashes: AtomicBool,
    /// Crash records to be sent to other nodes.
    updates: Mutex<Vec<Crash>>,
    /// Notified when there are updates.
    has_updates: Notify,
}

impl Quarantine {
    /// Returns the status of a request.
    pub(crate) fn status(&self, now: Instant, request: Digest) -> RequestStatus {
        if !self.has_crashes.load(Ordering::Relaxed) {
            return RequestStatus::Clear;
        }
        self.history.read().status(now, request)
    }

    /// Merges crash records. A record may also say that its request has been answered since the
    /// crash.
    pub(crate) fn merge<C>(&self, clock: &C, metrics: &Metrics, crashes: &[Crash])
    where
        C: Clock,
    {
        let now = clock.now();
        let mut history = self.history.write();
        for crash in crashes {
            let before = history.status(now, crash.request);
            if history.merge(now, crash) {
                metrics.quarantine.record_crash(crash);
                let is_held = |status| matches!(status, RequestStatus::Held { .. });
                if is_held(history.status(now, crash.request)) && !is_held(before) {
                    log_hold(crash);
                }
            }
        }
        self.has_crashes
            .store(!history.is_empty(), Ordering::Relaxed);
    }

    /// Records crashes of the local backend server and propagates them to other nodes.
    pub(crate) fn report_crashes<C>(&self, clock: &C, metrics: &Metrics, crashes: Vec<Crash>)
    where
        C: Clock,
    {
        // The request that caused the crash is among the first suspects; the others are soon
        // cleared.
        crashes
            .iter()
            .take(MAX_LOGGED_SUSPECTS)
            .for_each(log_suspicion);
        self.merge(clock, metrics, &crashes);
        self.propagate(crashes);
    }

    /// Records that the local backend server has answered a request, and propagates that to other nodes.
    pub(crate) fn record_answer<C>(&self, clock: &C, metrics: &Metrics, request: Digest)
    where
        C: Clock,
    {
        let now = clock.now();
        if self.status(now, request) == RequestStatus::Clear {
            return;
        }
        let cleared = self.history.write().clear(now, request);
        for crash in &cleared {
            metrics.quarantine.record_crash(crash);
        }
        if !cleared.is_empty() {
            info!(request:%, crashes = cleared.len(); "request_cleared");
        }
        self.propagate(cleared);
    }

    /// Waits until there are crash records to send to other nodes, and returns them.
    pub(crate) async fn next_updates(&self) -> Vec<Crash> {
        loop {
            let updates = std::mem::take(&mut *self.updates.lock());
            if !updates.is_empty() {
                return updates;
            }
            self.has_updates.notified().await;
        }
    }

    /// Returns the number of held requests.
    pub(crate) fn count_held(&self, now: Instant) -> usize {
        self.history.read().count_held(now)
    }

    fn propagate(&self, mut crashes: Vec<Crash>) {
        if crashes.is_empty() {
            return;
        }
        self.updates.lock().append(&mut crashes);
        self.has_updates.notify_one();
    }
}

/// Logs a suspect request after a crash of the local backend server.
///
/// Only this node logs it: otherwise every node that receives the record would repeat the line.
fn log_suspicion(crash: &Crash) {
    info!(
        request:% = crash.request,
        service = crash.service.as_str(),
        method = crash.method.as_str(),
        path = crash.path.as_str(),
        is_alone = crash.is_alone;
        "request_suspected"
    );
}

fn log_hold(crash: &Crash) {
    warn!(
        request:% = crash.request,
        node = crash.node.as_str(),
        service = crash.service.as_str(),
        method = crash.method.as_str(),
        path = crash.path.as_str();
        "request_held"
    );
}
