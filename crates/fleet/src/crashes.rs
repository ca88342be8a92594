//! News of requests that crashed backend servers.
//!
//! Each node floods what is news to it over all its links but the one that it came by,
//! at once: a request that crashes what runs it comes again within milliseconds. A new
//! link begins with all that is remembered, so that a process that starts knows it
//! before it serves. Zones that are cut from each other, and a fleet that restarts whole,
//! learn it by way of the platform: roots write what comes from their own part of the
//! fleet there, and read what others wrote.

use crate::event::{Action, PlatformRequest};
use crate::link::{Link, LinkKey, Role};
use crate::node::Node;
use call::Crash;
use policy::quarantine::CrashHistory;
use std::time::{Duration, Instant};
use wire::control::{Frame, MAX_CRASHES};

/// Time that a root gathers crashes for before it writes them to the platform.
const GATHER: Duration = Duration::from_millis(200);

/// Where news of crashes comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The inbound proxy of this node.
    Local,
    /// A neighbour.
    Link(LinkKey),
    /// The platform.
    Platform,
}

/// What a node knows of crashes.
#[derive(Debug, Default)]
pub(crate) struct CrashState {
    ledger: CrashHistory,
    /// When a root writes what it knows to the platform.
    post_at: Option<Instant>,
}

impl CrashState {
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.post_at
    }
}

impl Node {
    /// Takes crashes in, and hands on what is news.
    pub(crate) fn on_crashes(&mut self, now: Instant, origin: Origin, list: &[Crash]) {
        let ledger = &mut self.crashes.ledger;
        let list = list.iter().take(MAX_CRASHES);
        let news: Vec<_> = list
            .filter(|crash| ledger.merge(now, crash))
            .cloned()
            .collect();
        if news.is_empty() {
            return;
        }
        for link in self.find_links(Link::is_established) {
            if origin != Origin::Link(link) {
                self.send(link, Frame::Crashes(news.clone()));
            }
        }
        if self.lease.slot().is_some() && self.is_from_below(origin) {
            self.crashes.post_at.get_or_insert(now + GATHER);
        }
        if origin != Origin::Local {
            self.actions.push(Action::UpdateQuarantine(news));
        }
    }

    /// Tells whether nobody but this root brings it to the platform.
    fn is_from_below(&self, origin: Origin) -> bool {
        match origin {
            Origin::Local => true,
            Origin::Link(key) => {
                let link = self.links.get(&key);
                link.is_some_and(|link| link.role == Role::Child)
            }
            Origin::Platform => false,
        }
    }

    /// Has a root write what it knows to the platform again, which may have lost it.
    pub(crate) fn schedule_crash_write(&mut self, now: Instant) {
        if self.lease.slot().is_some() && !self.crashes.ledger.is_empty() {
            self.crashes.post_at.get_or_insert(now + GATHER);
        }
    }

    /// Tells a new neighbour all that is remembered.
    pub(crate) fn send_crashes(&mut self, now: Instant, key: LinkKey) {
        for part in self.crashes.ledger.list(now).chunks(MAX_CRASHES) {
            self.send(key, Frame::Crashes(part.to_vec()));
        }
    }

    pub(crate) fn step_crashes(&mut self, now: Instant) {
        if self.crashes.post_at.is_none_or(|at| now < at) {
            return;
        }
        self.crashes.post_at = None;
        let mut list = self.crashes.ledger.list(now);
        list.truncate(MAX_CRASHES);
        if let Some(slot) = self.lease.slot() {
            self.actions.push(Action::WriteCrashes { slot, list });
        }
    }

    /// Asks the platform, for a node that hears from no root.
    pub(crate) fn query_crashes(&mut self) {
        self.actions
            .push(Action::QueryPlatform(PlatformRequest::Crashes));
    }
}
