//! Distribution of configuration and endpoint updates over the links.
//!
//! Steps are pushed down the tree at once. Roots send each other only the version number, since
//! each root gets the step from the platform; a root that still lacks the step after a short delay
//! requests it from a neighbour. Endpoint updates are batched for a short time, and sent to all
//! neighbours except the neighbour that they came from.

use crate::endpoints::MergeOutcome;
use crate::event::{Action, Backend};
use crate::link::{Link, LinkKey, Role};
use crate::node::Node;
use crate::replica::{ApplyOutcome, Step};
use config::{Endpoint, State, Version, View};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::control::{BUCKET_COUNT, Chunk, Frame, MAX_ENDPOINTS};

/// Longest wait of a root for the endpoints that other roots know.
///
/// Linking to another root takes two reads of the leases, and the leases of a zone that is down
/// stay live for some seconds.
const ENDPOINT_SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a node waits for a missing step to arrive unrequested, before it requests the
/// step.
const REQUEST_DELAY: Duration = Duration::from_millis(150);

/// Minimum and maximum time between repeated requests for missing versions: a full configuration
/// takes long to send.
const REQUEST_RETRY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_mins(1));

/// Time for which a node batches endpoint updates: six hops then add up to 120 ms.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Time from an endpoint update to the view that includes it, and so the minimum time between two
/// views that are built for endpoint updates alone.
///
/// A view of 14,000 endpoints takes a few milliseconds to build, which must not be spent for each
/// update of a burst.
const VIEW_DELAY: Duration = Duration::from_millis(50);

/// Updates that wait to be sent, requested or put into a view.
#[derive(Debug)]
pub(crate) struct SyncState {
    /// Names of the nodes whose endpoints have changed, each with the link over which the last
    /// update arrived, if any.
    changed_nodes: BTreeMap<SmolStr, Option<LinkKey>>,
    flush_at: Option<Instant>,
    view_at: Option<Instant>,
    /// When to send the version held to the neighbours that lack it.
    propagate_at: Option<Instant>,
    request_at: Option<Instant>,
    request_wait: Duration,
    /// When a root stops waiting for the endpoints that other roots know.
    endpoint_sync_deadline: Option<Instant>,
    /// Highest version that the platform has reported.
    pub(crate) platform_version: Version,
}

impl Default for SyncState {
    fn default() -> Self {
        Self {
            changed_nodes: BTreeMap::new(),
            flush_at: None,
            view_at: None,
            propagate_at: None,
            request_at: None,
            request_wait: REQUEST_RETRY.0,
            endpoint_sync_deadline: None,
            platform_version: Version::ZERO,
        }
    }
}

impl SyncState {
    pub(crate) fn deadline(&self) -> Option<Instant> {
        let all = [
            self.flush_at,
            self.view_at,
            self.propagate_at,
            self.request_at,
            self.endpoint_sync_deadline,
        ];
        all.into_iter().flatten().min()
    }
}

impl Node {
    /// Records the version that a peer holds. If it is higher than this node's version, schedules a
    /// request for the missing versions; if it is lower, sends them.
    pub(crate) fn on_peer_version(&mut self, now: Instant, key: LinkKey, version: Version) {
        let held = self.version();
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        link.version = link.version.max(version);
        if link.version > held {
            self.schedule_request(now);
        } else if link.version < held && link.role != Role::RootPeer {
            let after = std::mem::replace(&mut link.version, held);
            self.send_updates_after(now, key, after, false);
        }
    }

    pub(crate) fn report_version_to_gate(
        &mut self,
        key: LinkKey,
        version: Version,
        is_ready: bool,
    ) {
        let peer = self.links.get(&key).and_then(|link| link.peer.as_ref());
        if let Some(peer) = peer.filter(|_| is_ready) {
            let is_same_zone = peer.zone == self.settings.local.zone;
            self.readiness_gate
                .record_peer_version(&peer.node, version, is_same_zone);
        }
    }

    fn schedule_request(&mut self, now: Instant) {
        self.sync.request_at.get_or_insert(now + REQUEST_DELAY);
    }

    fn send_updates_after(&mut self, now: Instant, key: LinkKey, after: Version, full: bool) {
        let full = full || self.settings.sends_full;
        let frames = self.replica.frames_after(after, full);
        if frames.len() > 1 {
            // The heartbeat announces the version after the last frame, so that the peer builds
            // only one view, at that version.
            self.send_heartbeat(now, key);
        }
        for frame in frames {
            self.send(key, frame);
        }
    }

    pub(crate) fn on_request_updates(
        &mut self,
        now: Instant,
        key: LinkKey,
        after: Version,
        full: bool,
    ) {
        let held = self.version();
        if let Some(link) = self.links.get_mut(&key) {
            link.version = link.version.max(held);
        }
        self.send_updates_after(now, key, after, full);
    }

    pub(crate) fn on_step(&mut self, now: Instant, key: LinkKey, step: &Step) {
        self.raise_link_version(key, step.version);
        let outcome = self.replica.apply_step(step.clone());
        self.finish_step(now, outcome, step);
    }

    pub(crate) fn on_chunk(&mut self, now: Instant, key: LinkKey, chunk: &Chunk) {
        self.raise_link_version(key, chunk.version);
        let outcome = self.replica.apply_chunk(chunk);
        self.handle_outcome(now, outcome);
    }

    fn raise_link_version(&mut self, key: LinkKey, version: Version) {
        if let Some(link) = self.links.get_mut(&key) {
            link.version = link.version.max(version);
        }
    }

    /// Handles the outcome of a step. A step that this node can't apply is still sent to its
    /// children, which may be able to apply it.
    pub(crate) fn finish_step(&mut self, now: Instant, outcome: ApplyOutcome, step: &Step) {
        let is_stuck = outcome == ApplyOutcome::Gap && self.replica.refused().is_some();
        if outcome == ApplyOutcome::Refused || is_stuck {
            let behind = |link: &Link| link.role == Role::Child && link.version < step.version;
            for child in self.find_links(behind) {
                self.raise_link_version(child, step.version);
                self.send(child, step.frame());
            }
        }
        self.handle_outcome(now, outcome);
    }

    pub(crate) fn handle_outcome(&mut self, now: Instant, outcome: ApplyOutcome) {
        match outcome {
            ApplyOutcome::Applied => self.propagate_version(now),
            ApplyOutcome::Gap => self.schedule_request(now),
            ApplyOutcome::Refused => {
                self.counters.refused_versions += 1;
                self.schedule_request(now);
            }
            ApplyOutcome::Stale | ApplyOutcome::Partial => {}
        }
    }

    /// Sends a version that has just been applied to the neighbours that lack it, and schedules a
    /// view of it.
    fn propagate_version(&mut self, now: Instant) {
        self.counters.applied_versions += 1;
        self.sync.request_wait = REQUEST_RETRY.0;
        let held = self.version();
        if self.sync.platform_version > held {
            // The steps that follow go out together, so that neighbours build one view of them.
            self.sync.propagate_at.get_or_insert(now + VIEW_DELAY);
        } else {
            self.send_version(now);
        }
        let links = self.links.values().filter(|link| link.is_established());
        let highest = links.map(|link| link.version).max();
        if self.sync.platform_version.max(highest.unwrap_or_default()) > held {
            // A higher version exists and will replace the version held shortly.
            self.sync.view_at.get_or_insert(now + VIEW_DELAY);
        } else {
            self.sync.view_at = Some(now);
        }
    }

    /// Sends the version held to the neighbours that lack it.
    fn send_version(&mut self, now: Instant) {
        self.sync.propagate_at = None;
        let held = self.version();
        let is_behind = |link: &Link| link.is_established() && link.version < held;
        for key in self.find_links(is_behind) {
            let Some(link) = self.links.get_mut(&key) else {
                continue;
            };
            if link.role == Role::RootPeer {
                self.send_heartbeat(now, key);
                continue;
            }
            let after = std::mem::replace(&mut link.version, held);
            self.send_updates_after(now, key, after, false);
        }
    }

    pub(crate) fn on_endpoints(&mut self, now: Instant, key: LinkKey, list: &[Arc<Endpoint>]) {
        for endpoint in list.iter().take(MAX_ENDPOINTS) {
            if endpoint.node == self.settings.local.node {
                self.refute(now, endpoint);
                continue;
            }
            let merged = self.endpoint_table.merge(endpoint, now);
            if merged != MergeOutcome::Ignored && endpoint.state != State::Gone {
                self.departure_guard.record_found(&endpoint.node);
            }
            let held = self.endpoint_table.get(&endpoint.node);
            // A sender that lacks a farewell gets it at once: it may be the restarted node, about to
            // announce a process that has left.
            let is_same = held.is_none_or(|held| held.farewells == endpoint.farewells);
            let from = is_same.then_some(key);
            self.propagate_endpoint(now, &endpoint.node, merged, from);
        }
    }

    /// Schedules sending an endpoint update over all links but `from`, the link over which it
    /// arrived.
    ///
    /// A refresh without changes causes no new view: with 14,000 endpoints, refreshes arrive all
    /// the time, and a view takes milliseconds to build.
    pub(crate) fn propagate_endpoint(
        &mut self,
        now: Instant,
        node: &SmolStr,
        merged: MergeOutcome,
        from: Option<LinkKey>,
    ) {
        if merged == MergeOutcome::Ignored {
            return;
        }
        self.sync.changed_nodes.insert(node.clone(), from);
        self.sync.flush_at.get_or_insert(now + BATCH_DELAY);
        if merged == MergeOutcome::Changed {
            self.sync.view_at.get_or_insert(now + VIEW_DELAY);
        }
    }

    /// Refutes an announcement about this node that was not made by this process and outranks its
    /// own.
    fn refute(&mut self, now: Instant, endpoint: &Endpoint) {
        self.recall_from(now, endpoint);
        let is_announcing = self.farewells.is_announcing();
        let Some(own) = self.local_endpoint.as_mut().filter(|_| is_announcing) else {
            // This process has announced nothing yet, so a former process of this VM made the
            // announcement. That announcement is superseded once the backend server announces
            // itself to this process.
            let merged = self.endpoint_table.merge(&Arc::new(endpoint.clone()), now);
            self.propagate_endpoint(now, &endpoint.node, merged, None);
            return;
        };
        let lacks_farewells = own.add_farewells(&endpoint.farewells);
        let is_outranked = endpoint.rank() > own.rank();
        if is_outranked {
            supersede(own, endpoint);
        }
        if is_outranked || lacks_farewells {
            self.reannounce(now);
        }
    }

    pub(crate) fn announce(&mut self, now: Instant, backend: &Backend) {
        self.local_endpoint = Some(self.describe_endpoint(backend));
        self.reannounce(now);
    }

    /// Returns the announcement of `backend`, which outranks the last one that this node knows.
    pub(crate) fn describe_endpoint(&self, backend: &Backend) -> Endpoint {
        let settings = &self.settings;
        let former = self.local_endpoint.as_ref();
        let mut own = Endpoint {
            node: settings.local.node.clone(),
            incarnation: settings.incarnation,
            started_ms: former.map_or(settings.started_ms, |former| former.started_ms),
            sequence: former.map_or(0, |former| former.sequence),
            service: backend.service.clone(),
            version: backend.version.clone(),
            zone: settings.local.zone.clone(),
            region: settings.region.clone(),
            address: settings.local.address,
            slots: backend.slots,
            process: backend.process,
            cold_ms: backend.cold_ms,
            state: backend.state,
            farewells: Vec::new(),
        };
        if let Some(known) = self.endpoint_table.get(&own.node) {
            supersede(&mut own, known);
        }
        own
    }

    /// Announces this node's endpoint again, under a new sequence number.
    ///
    /// A new process announces nothing before it knows what a former process announced: a late
    /// report of the backend server could make a process that has left look ready.
    pub(crate) fn reannounce(&mut self, now: Instant) {
        let is_announcing = self.farewells.is_announcing();
        let Some(own) = self.local_endpoint.as_mut().filter(|_| is_announcing) else {
            return;
        };
        own.sequence += 1;
        own.add_farewells(self.farewells.known());
        let endpoint = Arc::new(own.clone());
        let merged = self.endpoint_table.merge(&endpoint, now);
        self.propagate_endpoint(now, &endpoint.node, merged, None);
    }

    /// Announces that this node's endpoint is gone.
    pub(crate) fn withdraw(&mut self, now: Instant) {
        if let Some(own) = &mut self.local_endpoint {
            own.state = State::Gone;
            self.reannounce(now);
            self.sync.flush_at = Some(now);
        }
    }

    pub(crate) fn remove_lost_nodes(&mut self, now: Instant) {
        let zone = &self.settings.local.zone;
        let is_neighbour = |link: &&Link| match link.role {
            Role::Child => true,
            Role::RootPeer => link.peer.as_ref().is_some_and(|peer| peer.zone == *zone),
            _ => false,
        };
        let neighbours = self.links.values().filter(is_neighbour).count();
        for node in self
            .departure_guard
            .take_departed(neighbours, self.has_root(), now)
        {
            if self.endpoint_table.mark_gone(&node, now).is_some() {
                self.counters.departures += 1;
                self.propagate_endpoint(now, &node, MergeOutcome::Changed, None);
            }
        }
    }

    pub(crate) fn send_checksums(&mut self, key: LinkKey, is_reply: bool) {
        let checksums = self.endpoint_table.bucket_checksums().to_vec();
        self.send(
            key,
            Frame::Checksums {
                checksums,
                is_reply,
            },
        );
    }

    pub(crate) fn on_checksums(&mut self, key: LinkKey, checksums: &[u64], is_reply: bool) {
        if checksums.len() != BUCKET_COUNT {
            return;
        }
        // Tombstones are not part of the checksums, but a restarted node needs what its former process
        // announced (`recall`).
        let peer = self.peer_name(key).unwrap_or_default();
        let tombstone = self.endpoint_table.get(&peer);
        let tombstone = tombstone.filter(|endpoint| endpoint.state == State::Gone);
        if let Some(tombstone) = tombstone.cloned() {
            self.send(key, Frame::Endpoints(vec![tombstone]));
        }
        for list in self.endpoint_table.differing_endpoints(checksums) {
            self.send(key, Frame::Endpoints(list));
        }
        if is_reply {
            self.mark_endpoints_synced();
        } else {
            self.send_checksums(key, true);
        }
    }

    fn mark_endpoints_synced(&mut self) {
        self.has_synced_endpoints = true;
        self.sync.endpoint_sync_deadline = None;
    }

    /// Announces this node's endpoint for the first time, once it is known what former processes of
    /// the node have announced.
    pub(crate) fn begin_announcing(&mut self, now: Instant) {
        let is_ready = self.has_synced_endpoints && self.initial_reads.is_done();
        if !is_ready || !self.recall.is_done(now) || !self.farewells.begin_announcing() {
            return;
        }
        if let Some(own) = &mut self.local_endpoint
            && let Some(known) = self.endpoint_table.get(&own.node)
        {
            supersede(own, known);
        }
        self.reannounce(now);
    }

    /// Limits the wait for the endpoints that other roots know; ends it at once if no other root
    /// is known.
    ///
    /// Guards against a restarted root that serves the platform's version with no endpoint but its
    /// own: until such a root was linked to another root, callers at its VM were told that only the
    /// service of the VM's own backend server had an endpoint.
    pub(crate) fn limit_endpoint_sync(&mut self, now: Instant) {
        let own = &self.settings.local.node;
        let mut leases = self.lease.leases().iter();
        if self.has_synced_endpoints {
            return;
        }
        if leases.any(|lease| lease.is_live && lease.holder.node != *own) {
            self.sync
                .endpoint_sync_deadline
                .get_or_insert(now + ENDPOINT_SYNC_TIMEOUT);
        } else {
            self.mark_endpoints_synced();
        }
    }

    pub(crate) fn step_gate(&mut self, now: Instant) {
        if self.sync.endpoint_sync_deadline.is_some_and(|at| now >= at) {
            self.mark_endpoints_synced();
        }
        let was_open = self.readiness_gate.is_open();
        let held = self.version();
        if self.readiness_gate.begin_platform_query(held, now) {
            self.freshness.request_since_start();
        }
        if self.readiness_gate.begin_peer_query(now) {
            self.query_version_source(now);
        }
        if self.readiness_gate.try_open(held) && !was_open {
            self.sync.view_at = Some(now);
        }
    }

    pub(crate) fn step_sync(&mut self, now: Instant) {
        let is_due = |at: Option<Instant>| at.is_some_and(|at| now >= at);
        if is_due(self.sync.flush_at) {
            self.sync.flush_at = None;
            self.send_endpoint_updates();
        }
        if is_due(self.sync.request_at) {
            self.request_missing(now);
        }
        if is_due(self.sync.propagate_at) {
            self.send_version(now);
        }
        if is_due(self.sync.view_at) && self.is_ready() {
            self.sync.view_at = None;
            let view = View::join(self.replica.held(), self.endpoint_table.iter().cloned());
            self.counters.built_views += 1;
            self.freshness.set_installed(view.version());
            self.actions.push(Action::InstallView(Arc::new(view)));
        } else if is_due(self.sync.view_at) {
            self.sync.view_at = Some(now + VIEW_DELAY);
        }
    }

    pub(crate) fn send_endpoint_updates(&mut self) {
        let nodes = std::mem::take(&mut self.sync.changed_nodes);
        for key in self.find_links(Link::is_established) {
            let list: Vec<_> = nodes
                .iter()
                .filter(|(_, from)| **from != Some(key))
                .filter_map(|(node, _)| self.endpoint_table.get(node).cloned())
                .collect();
            for chunk in list.chunks(MAX_ENDPOINTS) {
                self.send(key, Frame::Endpoints(chunk.to_vec()));
            }
        }
    }

    /// Requests the missing versions from the neighbour with the highest version.
    fn request_missing(&mut self, now: Instant) {
        self.sync.request_at = None;
        let after = self.version();
        let ahead = self.links.iter().filter(|(_, link)| link.is_established());
        let best = ahead.max_by_key(|(_, link)| link.version);
        let Some((key, _)) = best.filter(|(_, link)| link.version > after) else {
            return;
        };
        let key = *key;
        let full = self.replica.refused().is_some();
        self.send(key, Frame::RequestUpdates { after, full });
        let wait = self.sync.request_wait;
        self.sync.request_at = Some(now + wait + self.jitter(wait / 4));
        if full {
            self.sync.request_wait = (wait * 2).min(REQUEST_RETRY.1);
        }
    }
}

/// Ranks `own` above `known`, the announcement about this node that other nodes hold.
///
/// Otherwise, if the clock was set back between two processes of a node, the announcement of the
/// dead process would prevail forever.
fn supersede(own: &mut Endpoint, known: &Endpoint) {
    if known.incarnation == own.incarnation {
        own.sequence = own.sequence.max(known.sequence);
        own.started_ms = own.started_ms.max(known.started_ms);
    } else if known.started_ms >= own.started_ms {
        own.started_ms = known.started_ms + 1;
    }
}
