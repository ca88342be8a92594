//! Measures how long calls take, and decides which calls a stopping node may still take.

use crate::shared::Shared;
use clock::Clock;
use parking_lot::Mutex;
use policy::call_length::CallLengths;
use std::sync::Arc;
use std::time::Instant;

/// Lengths of the calls that a proxy serves, by route.
#[derive(Debug)]
pub(crate) struct Lengths<C> {
    clock: C,
    known: Mutex<CallLengths>,
}

impl<C> Lengths<C>
where
    C: Clock,
{
    pub(crate) fn new(clock: C) -> Self {
        Self {
            clock,
            known: Mutex::default(),
        }
    }

    /// Measures a call of `route` that begins now.
    pub(crate) fn begin(self: &Arc<Self>, route: u64) -> Measurement<C> {
        let started = self.clock.now();
        self.known.lock().begin(route, started);
        Measurement {
            lengths: Arc::clone(self),
            route,
            started,
            has_run: false,
        }
    }

    /// Returns whether a call that has until `deadline` can end before the calls of this node have
    /// to. While the node is not stopping, every call can.
    ///
    /// A call of a route whose calls have unknown lengths may take all of its time.
    pub(crate) fn can_end(&self, shared: &Shared<C>, route: u64, deadline: Instant) -> bool {
        let Some(end) = shared.call_end.get() else {
            return true;
        };
        let now = self.clock.now();
        let expected = || self.known.lock().expect(route, now);
        deadline <= end || expected().is_some_and(|length| now + length <= end)
    }
}

/// Measures one call until it is dropped.
#[derive(Debug)]
pub(crate) struct Measurement<C>
where
    C: Clock,
{
    lengths: Arc<Lengths<C>>,
    route: u64,
    started: Instant,
    /// Whether the call has run, so that its length says something about others.
    pub(crate) has_run: bool,
}

impl<C> Drop for Measurement<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.lengths.clock.now();
        let mut known = self.lengths.known.lock();
        known.finish(self.route, self.started, now, self.has_run);
    }
}
