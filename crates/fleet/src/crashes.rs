//! Propagation of requests that crashed backend servers.
//!
//! A request that crashes a backend server is repeated within milliseconds. Each node therefore
//! sends new crashes immediately over all its links, except the link over which they arrived. All
//! known crashes are sent over each new link, so that a new process knows these crashes before it
//! serves. Zones that are partitioned from each other, and a fleet that restarts as a whole, learn
//! of crashes through the platform: a root writes its crashes to the platform when its own subtree
//! reports new ones, and reads the crashes that other roots have written.

use crate::event::{Action, PlatformRequest};
use crate::link::{Link, LinkKey, Role};
use crate::node::Node;
use call::Crash;
use policy::quarantine::CrashHistory;
use std::time::{Duration, Instant};
use wire::control::{Frame, MAX_CRASHES};

/// Time for which a root batches crashes before it writes them to the platform.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Where crash reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This node's inbound proxy.
    Local,
    /// A neighbour.
    Link(LinkKey),
    /// The platform.
    Platform,
}

/// The crashes that a node knows of.
#[derive(Debug, Default)]
pub(crate) struct CrashState {
    history: CrashHistory,
    /// When the next write of this root's crashes to the platform is due.
    write_at: Option<Instant>,
}

impl CrashState {
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.write_at
    }
}

impl Node {
    /// Merges crashes into the crash history, and forwards those that are new.
    pub(crate) fn on_crashes(&mut self, now: Instant, origin: Origin, list: &[Crash]) {
        let history = &mut self.crashes.history;
        let list = list.iter().take(MAX_CRASHES);
        let new_crashes: Vec<_> = list
            .filter(|crash| history.merge(now, crash))
            .cloned()
            .collect();
        if new_crashes.is_empty() {
            return;
        }
        for link in self.find_links(Link::is_established) {
            if origin != Origin::Link(link) {
                self.send(link, Frame::Crashes(new_crashes.clone()));
            }
        }
        if self.lease.slot().is_some() && self.is_from_subtree(origin) {
            self.crashes.write_at.get_or_insert(now + BATCH_DELAY);
        }
        if origin != Origin::Local {
            self.actions.push(Action::UpdateQuarantine(new_crashes));
        }
    }

    /// Returns whether crashes of that origin come from this root's own subtree. Only these cause
    /// the root to write to the platform.
    fn is_from_subtree(&self, origin: Origin) -> bool {
        match origin {
            Origin::Local => true,
            Origin::Link(key) => {
                let link = self.links.get(&key);
                link.is_some_and(|link| link.role == Role::Child)
            }
            Origin::Platform => false,
        }
    }

    /// Schedules writing all known crashes again, in case the platform has lost them.
    pub(crate) fn schedule_crash_write(&mut self, now: Instant) {
        if self.lease.slot().is_some() && !self.crashes.history.is_empty() {
            self.crashes.write_at.get_or_insert(now + BATCH_DELAY);
        }
    }

    /// Sends all known crashes to a new neighbour.
    pub(crate) fn send_crashes(&mut self, now: Instant, key: LinkKey) {
        for chunk in self.crashes.history.list(now).chunks(MAX_CRASHES) {
            self.send(key, Frame::Crashes(chunk.to_vec()));
        }
    }

    pub(crate) fn step_crashes(&mut self, now: Instant) {
        if self.crashes.write_at.is_none_or(|at| now < at) {
            return;
        }
        self.crashes.write_at = None;
        let mut list = self.crashes.history.list(now);
        list.truncate(MAX_CRASHES);
        if let Some(slot) = self.lease.slot() {
            self.actions.push(Action::WriteCrashes { slot, list });
        }
    }

    /// Queries the platform for crashes. Called on a node that hears from no root.
    pub(crate) fn query_crashes(&mut self) {
        self.actions
            .push(Action::QueryPlatform(PlatformRequest::Crashes));
    }
}
