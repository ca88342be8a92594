//! Farewells of the local backend server, and where they are kept.
//!
//! A farewell says that a process of the backend server has left for good. It is part of the
//! node's endpoint, so that all nodes get it, and a restarted node gets it back from the first node
//! that it exchanges endpoints with. The node that takes a leave request may be killed as soon as it
//! has acknowledged the request. It therefore acknowledges only once other nodes hold the farewell:
//! it requests a receipt over one link, and the node there requests one from the next node before
//! it replies. Until then the request is repeated, each time over another link. A root that no other
//! node is linked to writes its farewells to the platform.

use crate::event::{Action, Backend};
use crate::link::{Link, LinkKey, Role};
use crate::node::Node;
use config::{Endpoint, Farewell, MAX_FAREWELLS, State, merge_farewells};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::control::Frame;

/// Number of other nodes that hold a farewell before it is acknowledged: two VMs may fail at once.
const COPIES: u8 = 2;

/// Time after which a receipt is requested again, over another link.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of requests without a receipt after which a root writes its farewells to the platform.
const MAX_ATTEMPTS: usize = 3;

/// Maximum number of requests for receipts that a node passes on at the same time.
const MAX_RELAYED: usize = 1_024;

/// A farewell for which no receipt has arrived yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    farewell: Farewell,
    attempts: usize,
}

/// A request for a receipt that was passed on.
#[derive(Debug, Clone, Copy)]
struct Relayed {
    from: LinkKey,
    to: LinkKey,
    /// Serial number of the request on the link that it came over.
    serial: u64,
}

/// Farewells of the local backend server, and requests for receipts.
#[derive(Debug, Default)]
pub(crate) struct FarewellState {
    /// Farewells of the processes of the local backend server.
    known: Vec<Farewell>,
    /// Whether what former processes of the node announced is known, so that this one may announce
    /// an endpoint.
    is_announcing: bool,
    /// Processes whose farewells other nodes, or the platform, hold.
    received: Vec<u64>,
    /// Farewells that the platform was last asked to hold.
    written: Vec<Farewell>,
    pending: Vec<Pending>,
    /// Processes whose farewells a request asks about, by its serial number.
    requested: BTreeMap<u64, u64>,
    relayed: BTreeMap<u64, Relayed>,
    last_serial: u64,
    retry_at: Option<Instant>,
}

impl FarewellState {
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.retry_at
    }

    pub(crate) fn known(&self) -> &[Farewell] {
        &self.known
    }

    pub(crate) fn is_announcing(&self) -> bool {
        self.is_announcing
    }

    /// Allows announcements; returns false if they were allowed before.
    pub(crate) fn begin_announcing(&mut self) -> bool {
        !std::mem::replace(&mut self.is_announcing, true)
    }

    fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }
}

impl Node {
    /// Records that a process of the local backend server has left.
    pub(crate) fn on_farewell(&mut self, now: Instant, farewell: Farewell) {
        let state = &mut self.farewells;
        if state.received.contains(&farewell.process) {
            self.actions
                .push(Action::FarewellReceived(farewell.process));
            return;
        }
        let is_same = |pending: &Pending| pending.farewell.process == farewell.process;
        if state.pending.iter().any(is_same) {
            return;
        }
        state.pending.push(Pending {
            farewell,
            attempts: 0,
        });
        state.retry_at = Some(now);
        let is_known = |known: &Farewell| known.process == farewell.process;
        if !state.known.iter().any(is_known) {
            merge_farewells(&mut state.known, &[farewell]);
            self.publish_farewells(now);
        }
    }

    /// Takes over farewells that a former process of this node has passed on.
    pub(crate) fn learn_farewells(&mut self, farewells: &[Farewell]) {
        if merge_farewells(&mut self.farewells.known, farewells) {
            let known = self.farewells.known.clone();
            self.actions.push(Action::UpdateFarewells(known));
        }
    }

    /// Announces the known farewells, if the announcement about this node lacks any.
    ///
    /// Without a backend server that has announced itself to this process, they are added to the
    /// announcement of a former process, or to one without a service, which gets no calls.
    fn publish_farewells(&mut self, now: Instant) {
        if !self.farewells.is_announcing {
            return;
        }
        let known = self.endpoint_table.get(&self.settings.local.node);
        let mut published = known.map_or_else(Vec::new, |known| known.farewells.clone());
        if !merge_farewells(&mut published, &self.farewells.known) {
            return;
        }
        if self.local_endpoint.is_some() {
            self.reannounce(now);
            return;
        }
        let mut endpoint = match known {
            Some(known) => Endpoint::clone(known),
            None => self.describe_endpoint(&Backend {
                service: SmolStr::default(),
                version: SmolStr::default(),
                slots: 0,
                process: 0,
                cold_ms: None,
                state: State::Leaving,
            }),
        };
        endpoint.add_farewells(&self.farewells.known);
        let merged = self.endpoint_table.merge(&Arc::new(endpoint), now);
        let node = self.settings.local.node.clone();
        self.propagate_endpoint(now, &node, merged, None);
    }

    pub(crate) fn step_farewells(&mut self, now: Instant) {
        if self.farewells.retry_at.is_none_or(|at| now < at) {
            return;
        }
        self.farewells.retry_at = None;
        if self.farewells.pending.is_empty() {
            return;
        }
        self.farewells.retry_at = Some(now + RETRY_INTERVAL);
        if !self.farewells.is_announcing {
            return;
        }
        self.publish_farewells(now);
        self.send_endpoint_updates();
        let links = self.links_for_receipt(None);
        let mut pending = self.farewells.pending.iter();
        let is_unheard = links.is_empty() || pending.any(|one| one.attempts >= MAX_ATTEMPTS);
        if is_unheard && self.lease.is_root() && self.farewells.written != self.farewells.known {
            let known = self.farewells.known.clone();
            self.farewells.written.clone_from(&known);
            self.actions.push(Action::WriteFarewells(known));
        }
        for index in 0..self.farewells.pending.len() {
            let pending = &mut self.farewells.pending[index];
            let Some(link) = links.get(pending.attempts % links.len().max(1)) else {
                continue;
            };
            pending.attempts += 1;
            let process = pending.farewell.process;
            let serial = self.farewells.next_serial();
            self.farewells.requested.insert(serial, process);
            let copies = COPIES;
            self.send(*link, Frame::RequestReceipt { serial, copies });
        }
    }

    pub(crate) fn on_farewells_written(&mut self, written: &[Farewell]) {
        for farewell in written {
            self.mark_received(farewell.process);
        }
    }

    /// Returns the links over which to request a receipt, the preferred ones first: those that lead
    /// to nodes which more other nodes get their endpoints from.
    fn links_for_receipt(&self, except: Option<LinkKey>) -> Vec<LinkKey> {
        let zone = &self.settings.local.zone;
        let order = |key: &LinkKey| {
            let link = self.links.get(key);
            let peer = link.and_then(|link| link.peer.as_ref());
            let is_same_zone = peer.is_some_and(|peer| peer.zone == *zone);
            match link.map(|link| link.role) {
                Some(Role::Parent) => 0,
                Some(Role::RootPeer) if !is_same_zone => 1,
                Some(Role::RootPeer) => 2,
                _ => 3,
            }
        };
        let mut links = self.find_links(Link::is_established);
        links.retain(|key| Some(*key) != except);
        links.sort_by_key(order);
        links
    }

    pub(crate) fn on_request_receipt(&mut self, key: LinkKey, serial: u64, copies: u8) {
        let next = self.links_for_receipt(Some(key)).first().copied();
        match next.filter(|_| copies > 1) {
            Some(next) if self.farewells.relayed.len() < MAX_RELAYED => {
                let relayed = Relayed {
                    from: key,
                    to: next,
                    serial,
                };
                let serial = self.farewells.next_serial();
                self.farewells.relayed.insert(serial, relayed);
                // The receipt covers what was sent before it.
                self.send_endpoint_updates();
                let copies = copies - 1;
                self.send(next, Frame::RequestReceipt { serial, copies });
            }
            _ => self.send(key, Frame::Receipt { serial }),
        }
    }

    pub(crate) fn on_receipt(&mut self, serial: u64) {
        if let Some(Relayed { from, serial, .. }) = self.farewells.relayed.remove(&serial) {
            self.send(from, Frame::Receipt { serial });
        } else if let Some(process) = self.farewells.requested.remove(&serial) {
            self.mark_received(process);
        }
    }

    fn mark_received(&mut self, process: u64) {
        let state = &mut self.farewells;
        state
            .pending
            .retain(|pending| pending.farewell.process != process);
        state.requested.retain(|_, requested| *requested != process);
        if !state.received.contains(&process) {
            state.received.push(process);
            let surplus = state.received.len().saturating_sub(MAX_FAREWELLS);
            state.received.drain(..surplus);
        }
        self.actions.push(Action::FarewellReceived(process));
    }

    /// Drops the requests for receipts that came or went over a link which is closed. The node that
    /// has made them repeats them.
    pub(crate) fn drop_receipt_requests(&mut self, key: LinkKey) {
        self.farewells
            .relayed
            .retain(|_, relayed| relayed.from != key && relayed.to != key);
    }
}
