//! A node's position in its zone's distribution tree: its parent, its path, and cycle prevention.
//!
//! Each node sends its path from the root down to its children. A node never joins one of its own
//! descendants: it refuses a parent whose path contains this node, and leaves a parent if this node
//! appears in the parent's path later.

use crate::children;
use crate::event::{Action, PlatformRequest};
use crate::link::{LinkKey, Purpose, Role};
use crate::node::Node;
use crate::parent::Source;
use smol_str::SmolStr;
use std::time::{Duration, Instant};
use wire::control::{Frame, Peer};

impl Node {
    pub(crate) fn on_connected(&mut self, now: Instant, key: LinkKey, peer: Peer) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let Role::Dialled(purpose) = link.role else {
            return;
        };
        link.peer = Some(peer);
        link.mark_heard(now);
        let (address, version) = (self.settings.local.address, self.version());
        let frame = match purpose {
            Purpose::Join => Frame::Join { address, version },
            Purpose::Meet => Frame::Meet { address, version },
            Purpose::QueryVersion => Frame::QueryVersion,
        };
        self.send(key, frame);
    }

    pub(crate) fn establish_link(
        &mut self,
        now: Instant,
        key: LinkKey,
        role: Role,
        version: config::Version,
    ) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        link.establish(role, now);
        link.version = version;
        let name = link.peer.as_ref().map(|peer| peer.node.clone());
        if let Some(name) = name {
            self.departure_guard.record_found(&name);
            self.stop_redial(&name);
        }
        self.on_peer_version(now, key, version);
        self.send_crashes(now, key);
        self.send_rollouts(now, key);
        // The peer relates its reading of the platform to a heartbeat.
        self.send_heartbeat(now, key);
    }

    pub(crate) fn add_hints(&mut self, now: Instant, hints: Vec<Peer>) {
        for hint in hints.into_iter().take(children::MAX_HINTS) {
            let source = if hint.zone == self.settings.local.zone {
                Source::Hint
            } else {
                Source::OtherZone
            };
            if hint.node != self.settings.local.node {
                self.candidates.add(hint.address, source, now);
            }
        }
    }

    /// Handles the reply to this node's handshake frame.
    pub(crate) fn on_handshake_reply(
        &mut self,
        now: Instant,
        key: LinkKey,
        purpose: Purpose,
        frame: Frame,
    ) {
        match (frame, purpose) {
            (
                Frame::Admit {
                    path,
                    version,
                    is_ready,
                    parents,
                },
                Purpose::Join,
            ) => {
                self.report_version_to_gate(key, version, is_ready);
                self.add_hints(now, parents);
                self.adopt_parent(now, key, path, version);
            }
            (
                Frame::Admit {
                    version, is_ready, ..
                },
                Purpose::Meet,
            ) if self.lease.is_root() => {
                self.report_version_to_gate(key, version, is_ready);
                self.establish_link(now, key, Role::RootPeer, version);
                self.send_checksums(key, false);
            }
            (
                Frame::Refuse {
                    wait_ms,
                    version,
                    is_ready,
                    parents,
                },
                _,
            ) => {
                self.report_version_to_gate(key, version, is_ready);
                self.add_hints(now, parents);
                self.on_refused(now, key, Duration::from_millis(wait_ms.into()));
            }
            _ => self.drop_link(now, key, false),
        }
    }

    fn on_refused(&mut self, now: Instant, key: LinkKey, retry_after: Duration) {
        self.close(key);
        if let Some(address) = self.search.finish_dial(key) {
            // A random delay of up to half the wait is added, so that nodes that were refused
            // together don't retry together.
            let wait = retry_after + self.jitter(retry_after / 2);
            self.candidates.postpone(address, now + wait);
            self.search.continue_after_attempt(true, now);
        }
    }

    fn adopt_parent(
        &mut self,
        now: Instant,
        key: LinkKey,
        path: Vec<SmolStr>,
        version: config::Version,
    ) {
        let is_cycle = path.contains(&self.settings.local.node);
        if is_cycle || path.is_empty() || path.len() >= children::MAX_DEPTH || self.lease.is_root()
        {
            self.drop_link(now, key, false);
            return;
        }
        self.search.finish_dial(key);
        self.search.stop();
        self.counters.parent_joins += 1;
        self.establish_link(now, key, Role::Parent, version);
        self.set_path(path);
        self.send_checksums(key, false);
        if std::mem::take(&mut self.search.was_parent_lost) {
            // The former parent may still run and count this node as lost; the announcement shows
            // that this node runs.
            self.reannounce(now);
        }
    }

    /// Queries a node other than the parent for its version, before this process serves.
    pub(crate) fn query_version_source(&mut self, now: Instant) {
        let parents = self.find_links(|link| link.role == Role::Parent);
        let parent = parents.first().and_then(|key| self.links.get(key));
        let parent = parent.and_then(|link| link.peer.as_ref().map(|peer| peer.address));
        let source = self.candidates.pick_version_source(parent);
        if let Some(address) = source.filter(|address| self.is_eligible_parent(*address)) {
            self.dial(address, Purpose::QueryVersion, now);
        }
    }

    pub(crate) fn on_path(&mut self, now: Instant, key: LinkKey, path: Vec<SmolStr>) {
        let is_parent = self
            .links
            .get(&key)
            .is_some_and(|link| link.role == Role::Parent);
        if !is_parent {
            return;
        }
        if path.contains(&self.settings.local.node) || path.len() >= children::MAX_DEPTH {
            self.send(
                key,
                Frame::Leave {
                    parents: Vec::new(),
                },
            );
            self.drop_link(now, key, true);
            return;
        }
        self.search
            .update_parent_rooted(!path.is_empty(), now, &mut self.rng);
        self.set_path(path);
    }

    /// Sets this node's path from `path`, its parent's path, and sends it to the children. An empty
    /// `path` means that there is no path to a root.
    pub(crate) fn set_path(&mut self, mut path: Vec<SmolStr>) {
        if !path.is_empty() {
            let own = &self.settings.local.node;
            assert!(
                !path.contains(own),
                "the path of the parent must not contain this node"
            );
            path.push(own.clone());
        }
        self.propagate_path(path);
    }

    pub(crate) fn propagate_path(&mut self, path: Vec<SmolStr>) {
        if path == self.path {
            return;
        }
        self.path = path;
        for child in self.find_links(|link| link.role == Role::Child) {
            self.send(child, Frame::Path(self.path.clone()));
        }
    }

    /// Drops a link; `is_clean` tells that the link was closed on purpose and not lost.
    pub(crate) fn drop_link(&mut self, now: Instant, key: LinkKey, is_clean: bool) {
        let Some(link) = self.close(key) else {
            return;
        };
        if let Some(address) = self.search.finish_dial(key) {
            self.candidates.mark_unreachable(address, now);
            self.search.continue_after_attempt(false, now);
        }
        let is_neighbour = match (link.role, &link.peer) {
            (Role::Child, Some(_)) => true,
            (Role::RootPeer, Some(peer)) => peer.zone == self.settings.local.zone,
            _ => false,
        };
        if let Some(peer) = &link.peer {
            if is_neighbour && !is_clean {
                self.departure_guard.record_lost(&peer.node, now);
            }
            if matches!(link.role, Role::Child | Role::RootPeer) {
                self.start_redial(peer, now);
            }
            if link.role == Role::Parent {
                self.candidates.add(peer.address, Source::Hint, now);
                self.candidates.mark_unreachable(peer.address, now);
            }
        }
        if link.role == Role::Parent {
            self.search.was_parent_lost = !is_clean;
            self.set_path(Vec::new());
            self.start_search(now);
        }
    }

    pub(crate) fn drop_silent_links(&mut self, now: Instant) {
        for key in self.find_links(|link| now >= link.deadline()) {
            self.drop_link(now, key, false);
        }
    }

    pub(crate) fn leave(&mut self, now: Instant) {
        self.withdraw(now);
        self.step_sync(now);
        self.is_leaving = true;
        self.search.stop();
        for key in self.find_links(crate::link::Link::is_established) {
            let parents = self.parent_hints(key);
            self.send(key, Frame::Leave { parents });
            self.close(key);
        }
        if let Some(slot) = self.lease.slot() {
            self.lease.on_lost(slot);
            self.actions
                .push(Action::QueryPlatform(PlatformRequest::Unwatch));
            self.actions
                .push(Action::QueryPlatform(PlatformRequest::ReleaseLease {
                    slot,
                }));
        }
    }

    pub(crate) fn peer_name(&self, key: LinkKey) -> Option<SmolStr> {
        let peer = self.links.get(&key)?.peer.as_ref()?;
        Some(peer.node.clone())
    }
}
