//! What this node knows of requests that crash backend servers: runs `policy::quarantine`.

use crate::metrics::Metrics;
use call::{Crash, Digest};
use clock::Clock;
use log::{info, warn};
use parking_lot::{Mutex, RwLock};
use policy::quarantine::{CrashHistory, RequestStatus};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;
use tokio::sync::Notify;

/// Requests that the log names of those that one crash brings under suspicion.
const MAX_TOLD: usize = 8;

/// What this node knows of requests that crash backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: RwLock<CrashHistory>,
    /// Whether anything is known; spares most calls the lock.
    is_known: AtomicBool,
    /// What other nodes are to be told.
    news: Mutex<Vec<Crash>>,
    /// Told when there is some.
    has_news: Notify,
}

impl Quarantine {
    /// Tells how a request stands.
    pub(crate) fn status(&self, now: Instant, request: Digest) -> RequestStatus {
        if !self.is_known.load(Ordering::Relaxed) {
            return RequestStatus::Clear;
        }
        self.ledger.read().status(now, request)
    }

    /// Takes in crashes, or that their requests were answered since.
    pub(crate) fn merge<C>(&self, clock: &C, metrics: &Metrics, crashes: &[Crash])
    where
        C: Clock,
    {
        let now = clock.now();
        let mut ledger = self.ledger.write();
        for crash in crashes {
            let before = ledger.status(now, crash.request);
            if ledger.merge(now, crash) {
                metrics.quarantine.count(crash);
                let is_held = |standing| matches!(standing, RequestStatus::Held { .. });
                if is_held(ledger.status(now, crash.request)) && !is_held(before) {
                    tell_hold(crash);
                }
            }
        }
        self.is_known.store(!ledger.is_empty(), Ordering::Relaxed);
    }

    /// Takes in crashes of the own backend server, and has other nodes told.
    pub(crate) fn report_crashes<C>(&self, clock: &C, metrics: &Metrics, crashes: Vec<Crash>)
    where
        C: Clock,
    {
        // The one to blame is among the first, and the others are soon cleared.
        crashes.iter().take(MAX_TOLD).for_each(tell_suspicion);
        self.merge(clock, metrics, &crashes);
        self.spread(crashes);
    }

    /// Takes in that the own backend server has answered a request, and has other nodes told.
    pub(crate) fn record_answer<C>(&self, clock: &C, metrics: &Metrics, request: Digest)
    where
        C: Clock,
    {
        let now = clock.now();
        if self.status(now, request) == RequestStatus::Clear {
            return;
        }
        let cleared = self.ledger.write().clear(now, request);
        for crash in &cleared {
            metrics.quarantine.count(crash);
        }
        if !cleared.is_empty() {
            info!(request:%, crashes = cleared.len(); "request_cleared");
        }
        self.spread(cleared);
    }

    /// Waits for what other nodes are to be told.
    pub(crate) async fn next_updates(&self) -> Vec<Crash> {
        loop {
            let news = std::mem::take(&mut *self.news.lock());
            if !news.is_empty() {
                return news;
            }
            self.has_news.notified().await;
        }
    }

    /// Counts the requests that are held.
    pub(crate) fn count_held(&self, now: Instant) -> usize {
        self.ledger.read().count_held(now)
    }

    fn spread(&self, mut crashes: Vec<Crash>) {
        if crashes.is_empty() {
            return;
        }
        self.news.lock().append(&mut crashes);
        self.has_news.notify_one();
    }
}

/// Tells of a crash of the own backend server; each node that hears of it would repeat it.
fn tell_suspicion(crash: &Crash) {
    info!(
        request:% = crash.request,
        service = crash.service.as_str(),
        method = crash.method.as_str(),
        path = crash.path.as_str(),
        is_alone = crash.is_alone;
        "request_suspected"
    );
}

fn tell_hold(crash: &Crash) {
    warn!(
        request:% = crash.request,
        node = crash.node.as_str(),
        service = crash.service.as_str(),
        method = crash.method.as_str(),
        path = crash.path.as_str();
        "request_held"
    );
}
