//! Farewells of the local backend server, and where they are kept.
//!
//! A farewell says that a process of the backend server has left for good, or that an operator has
//! drained the VM. It is part of the node's endpoint, so that all nodes get it. All nodes may be killed
//! as soon as one of them has acknowledged a leave, so a farewell is acknowledged only once it is
//! written to the platform, where the next process of the node reads it (`recall`).
//!
//! While the platform is away, a restarted node gets its farewells from the first node that it
//! exchanges endpoints with. Other nodes therefore hold the farewell before it is acknowledged: the
//! node requests a receipt over one link, and the node there requests one from the next node before
//! it replies. Until then the request is repeated, each time over another link.

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

/// Number of requests without a receipt after which the platform alone suffices: the nodes at the
/// other ends of the links may be paused or cut off.
const MAX_ATTEMPTS: usize = 3;

/// Maximum number of requests for receipts that a node passes on at the same time.
const MAX_RELAYED: usize = 1_024;

/// Time in which a farewell reaches all nodes over the links, six hops of 20 ms each. If the holders of
/// the copies were killed sooner, nodes that keep running would not know it.
const SPREAD_TIME: Duration = Duration::from_millis(120);

/// A farewell that can't be acknowledged yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    farewell: Farewell,
    attempts: usize,
    /// When all linked nodes hold the farewell, if it was sent.
    spread_at: Option<Instant>,
    /// Whether other nodes hold the farewell.
    has_copies: bool,
    /// Whether the platform holds the farewell.
    is_written: bool,
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
    /// Processes whose farewells were acknowledged.
    received: Vec<u64>,
    /// Farewells that are being written to the platform.
    writing: Option<Vec<Farewell>>,
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
    /// Records that a process of the local backend server has left, or that an operator has drained
    /// the VM or ended its drain.
    pub(crate) fn on_farewell(&mut self, now: Instant, farewell: Farewell) {
        let state = &mut self.farewells;
        let farewell = farewell.dated_after(&state.known);
        if farewell.is_in_effect(&state.known) {
            if state.received.contains(&farewell.process) {
                self.actions
                    .push(Action::FarewellReceived(farewell.process));
                return;
            }
            let is_same = |pending: &Pending| pending.farewell.process == farewell.process;
            if state.pending.iter().any(is_same) {
                return;
            }
        } else {
            merge_farewells(&mut state.known, &[farewell]);
            // Each drain and each end of a drain is acknowledged on its own.
            state
                .received
                .retain(|process| *process != farewell.process);
            let known = &state.known;
            state
                .pending
                .retain(|pending| pending.farewell.is_in_effect(known));
            self.publish_farewells(now);
        }
        self.farewells.pending.push(Pending {
            farewell,
            attempts: 0,
            spread_at: None,
            has_copies: false,
            is_written: false,
        });
        self.farewells.retry_at = Some(now);
    }

    /// Takes over farewells that a former process of this node has passed on.
    pub(crate) fn learn_farewells(&mut self, now: Instant, farewells: &[Farewell]) {
        if merge_farewells(&mut self.farewells.known, farewells) {
            let known = self.farewells.known.clone();
            self.actions.push(Action::UpdateFarewells(known));
            self.publish_farewells(now);
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
        self.write_farewells();
        if !self.farewells.is_announcing {
            return;
        }
        self.publish_farewells(now);
        self.send_endpoint_updates();
        let links = self.links_for_receipt(None);
        for index in 0..self.farewells.pending.len() {
            let pending = &mut self.farewells.pending[index];
            let Some(link) = links.get(pending.attempts % links.len().max(1)) else {
                continue;
            };
            if pending.has_copies {
                continue;
            }
            pending.attempts += 1;
            pending.spread_at.get_or_insert(now + SPREAD_TIME);
            let process = pending.farewell.process;
            let serial = self.farewells.next_serial();
            self.farewells.requested.insert(serial, process);
            let copies = COPIES;
            self.send(*link, Frame::RequestReceipt { serial, copies });
        }
        let spreading = self.farewells.pending.iter();
        let spread_at = spreading.filter_map(|pending| pending.spread_at);
        let next = spread_at.filter(|at| *at > now).min();
        let retry_at = now + RETRY_INTERVAL;
        self.farewells.retry_at = Some(next.map_or(retry_at, |at| at.min(retry_at)));
        self.acknowledge_farewells(now);
    }

    /// Writes the known farewells to the platform, unless all are written or just these are being
    /// written.
    fn write_farewells(&mut self) {
        let state = &mut self.farewells;
        let is_due = state.pending.iter().any(|pending| !pending.is_written);
        if is_due && state.writing.as_ref() != Some(&state.known) {
            state.writing = Some(state.known.clone());
            self.actions
                .push(Action::WriteFarewells(state.known.clone()));
        }
    }

    pub(crate) fn on_farewells_written(&mut self, now: Instant, written: &[Farewell]) {
        let state = &mut self.farewells;
        state.writing.take_if(|writing| writing == written);
        for pending in &mut state.pending {
            pending.is_written |= pending.farewell.is_in_effect(written);
        }
        self.acknowledge_farewells(now);
    }

    /// Acknowledges the farewells that are written to the platform and held by other nodes.
    fn acknowledge_farewells(&mut self, now: Instant) {
        let has_links = !self.links_for_receipt(None).is_empty();
        let is_announcing = self.farewells.is_announcing;
        let is_recorded = |pending: &mut Pending| {
            let is_unheard = is_announcing && !has_links || pending.attempts > MAX_ATTEMPTS;
            let is_spread = pending.spread_at.is_some_and(|at| now >= at);
            pending.is_written && (pending.has_copies && is_spread || is_unheard)
        };
        let state = &mut self.farewells;
        let recorded: Vec<_> = state.pending.extract_if(.., is_recorded).collect();
        for Pending { farewell, .. } in recorded {
            let process = farewell.process;
            state.requested.retain(|_, requested| *requested != process);
            state.received.push(process);
            let surplus = state.received.len().saturating_sub(MAX_FAREWELLS);
            state.received.drain(..surplus);
            self.actions.push(Action::FarewellReceived(process));
        }
    }

    /// Writes farewells again that a platform which was restored from a backup may have lost: those of
    /// this node, and a root writes those of its zone, as other nodes may not notice the restore.
    pub(crate) fn rewrite_farewells(&mut self) {
        for pending in &mut self.farewells.pending {
            pending.is_written = false;
        }
        self.farewells.writing = None;
        let (own, is_root) = (&self.settings.local, self.lease.is_root());
        let mut list = vec![(own.node.clone(), self.farewells.known.clone())];
        let others = self
            .endpoint_table
            .iter()
            .filter(|endpoint| is_root && endpoint.zone == own.zone && endpoint.node != own.node);
        list.extend(others.map(|other| (other.node.clone(), other.farewells.clone())));
        list.retain(|(_, farewells)| !farewells.is_empty());
        if !list.is_empty() {
            self.actions.push(Action::RewriteFarewells(list));
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

    pub(crate) fn on_receipt(&mut self, now: Instant, serial: u64) {
        if let Some(Relayed { from, serial, .. }) = self.farewells.relayed.remove(&serial) {
            self.send(from, Frame::Receipt { serial });
        } else if let Some(process) = self.farewells.requested.remove(&serial) {
            self.mark_held(now, process);
        }
    }

    fn mark_held(&mut self, now: Instant, process: u64) {
        let pending = self.farewells.pending.iter_mut();
        for pending in pending.filter(|pending| pending.farewell.process == process) {
            pending.has_copies = true;
        }
        self.acknowledge_farewells(now);
    }

    /// Drops the requests for receipts that came or went over a link which is closed. The node that
    /// has made them repeats them.
    pub(crate) fn drop_receipt_requests(&mut self, key: LinkKey) {
        self.farewells
            .relayed
            .retain(|_, relayed| relayed.from != key && relayed.to != key);
    }
}
