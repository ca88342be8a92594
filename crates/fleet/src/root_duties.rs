//! Duties of a root: reading the platform, keeping its lease and linking to the other roots.

use crate::event::{Action, PlatformRequest, RootLease};
use crate::link::{LinkKey, Purpose, Role};
use crate::node::Node;
use crate::parent::Source;
use crate::replica::{ApplyOutcome, Step};
use config::{Digest, Mesh, Patch, Version};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::control::Frame;

/// Maximum random delay before a node goes on searching for a parent, after it has requested a
/// lease or failed to read the leases.
const SEARCH_DELAY_JITTER: Duration = Duration::from_millis(300);

impl Node {
    pub(crate) fn send_due_lease_requests(&mut self, now: Instant) {
        for request in self.lease.due_requests(&self.settings.local.zone, now) {
            self.actions.push(Action::QueryPlatform(request));
        }
    }

    pub(crate) fn on_leases(&mut self, now: Instant, leases: Vec<RootLease>) {
        self.lease.set_leases(leases);
        self.fallback_poll.zone_rank = self.lease.zone_rank(&self.settings.local.zone);
        self.add_root_candidates(now);
        if self.lease.is_root() {
            self.link_to_roots(now);
            self.nominate_child(now);
            if !self.has_synced_endpoints {
                self.lease.read_soon(now);
            }
            return;
        }
        if let Some(root) = self.fallback_poll.replaced_root.take()
            && self.has_root()
        {
            self.replace_root(now, root);
            return;
        }
        let candidates = &self.candidates;
        let own = &self.settings.local;
        let free_slot = self
            .lease
            .slot_to_claim(own, |holder| candidates.is_unreachable(holder.address));
        match free_slot {
            // A lease that is free in a stale read is usually taken by now, so an exact read comes
            // first.
            Some(_) if self.search.require_exact_leases(now) => {}
            Some(slot) if self.search.is_active() && !self.is_leaving => {
                self.request_lease(slot, true);
                let wait = self.jitter(SEARCH_DELAY_JITTER);
                self.search.retry_at(now + SEARCH_DELAY_JITTER + wait);
            }
            _ => {
                let wait = self.jitter(SEARCH_DELAY_JITTER / 10);
                self.search.retry_at(now + wait);
            }
        }
    }

    fn add_root_candidates(&mut self, now: Instant) {
        let zone = &self.settings.local.zone;
        for lease in self.lease.leases() {
            if lease.is_live && lease.holder.zone == *zone {
                self.candidates.add(lease.holder.address, Source::Root, now);
            }
        }
    }

    fn request_lease(&mut self, slot: u8, is_forced: bool) {
        if let Some(request) = self.lease.request(slot, is_forced) {
            self.actions.push(Action::QueryPlatform(request));
        }
    }

    /// Claims a lease, because `root`, from which this node has its path, doesn't read the platform.
    ///
    /// That root may stay one: it gets the readings of this node over the link between roots.
    fn replace_root(&mut self, now: Instant, root: SmolStr) {
        let zone = &self.settings.local.zone;
        match self.lease.slot_beside(zone, &root) {
            Ok(slot) => {
                self.fallback_poll.replaced_root = Some(root);
                self.request_lease(slot, true);
            }
            // The holder is not linked to that root, or its readings would reach this node.
            Err(holder) => self.change_parent(now, holder.address),
        }
    }

    fn link_to_roots(&mut self, now: Instant) {
        let links = &self.links;
        let own_zone = &self.settings.local.zone;
        let (own, is_new) = (&self.settings.local, !self.has_synced_endpoints);
        let wanted = self.lease.roots_to_dial(own, is_new, now, |holder| {
            let covers_holder = |peer: &wire::control::Peer| {
                peer.node == holder.node || (holder.zone != *own_zone && peer.zone == holder.zone)
            };
            links
                .values()
                .filter(|link| matches!(link.role, Role::RootPeer))
                .any(|link| link.peer.as_ref().is_some_and(covers_holder))
        });
        for peer in wanted {
            self.dial(peer.address, Purpose::Meet, now);
        }
    }

    /// Nominates a child for a vacant lease of the zone, if there is one.
    fn nominate_child(&mut self, now: Instant) {
        let zone = self.settings.local.zone.clone();
        let Some(slot) = self.lease.vacant_slot(&zone) else {
            return;
        };
        let children = self.find_links(|link| link.role == Role::Child && link.child_capacity > 0);
        if let Some(child) = children.get(usize::from(slot) % children.len().max(1)) {
            self.send(*child, Frame::Nominate { slot });
            self.lease.on_nominated(now);
        }
    }

    pub(crate) fn on_nominate(&mut self, key: LinkKey, slot: u8) {
        let is_from_parent = self
            .links
            .get(&key)
            .is_some_and(|link| link.role == Role::Parent);
        if is_from_parent && self.is_ready() && !self.is_leaving {
            self.request_lease(slot, false);
        }
    }

    pub(crate) fn on_lease_granted(&mut self, now: Instant, slot: u8) {
        if self.is_leaving {
            self.actions
                .push(Action::QueryPlatform(PlatformRequest::ReleaseLease {
                    slot,
                }));
            return;
        }
        if !self.lease.on_granted(slot, now) {
            return;
        }
        for parent in self.find_links(|link| link.role == Role::Parent) {
            self.send(
                parent,
                Frame::Leave {
                    parents: Vec::new(),
                },
            );
            self.close(parent);
        }
        self.search.stop();
        if let Some(dialled) = self.search.take_pending_dial() {
            self.close(dialled);
        }
        self.propagate_path(vec![self.settings.local.node.clone()]);
        self.meet_replaced_root(now);
        // A root that does not serve yet watches from version zero, because it also needs to learn
        // the latest version.
        let after = if self.is_ready() {
            self.version()
        } else {
            self.start_initial_reads(now);
            Version::ZERO
        };
        self.watch(after);
    }

    /// Dials the root that this node has replaced: unless it has a lease, no other root knows it.
    fn meet_replaced_root(&mut self, now: Instant) {
        let Some(root) = self.fallback_poll.replaced_root.take() else {
            return;
        };
        if let Some(address) = self.endpoint_table.get(&root).map(|known| known.address) {
            self.dial(address, Purpose::Meet, now);
        }
    }

    fn watch(&mut self, after: Version) {
        let is_primary = self.lease.is_primary();
        self.actions
            .push(Action::QueryPlatform(PlatformRequest::Watch {
                after,
                is_primary,
            }));
    }

    /// Handles that another node holds a lease. If this node held the lease, it was paused or
    /// partitioned when the other node took it, and steps down. If this node only requested the
    /// lease, it backs off.
    pub(crate) fn on_lease_lost(&mut self, now: Instant, slot: u8) {
        self.fallback_poll.replaced_root = None;
        if !self.lease.on_lost(slot) {
            if self.search.is_active() {
                self.back_off_search(now);
            }
            return;
        }
        self.actions
            .push(Action::QueryPlatform(PlatformRequest::Unwatch));
        self.leave_other_roots();
        self.set_path(Vec::new());
        self.start_search(now);
    }

    pub(crate) fn leave_other_roots(&mut self) {
        for root in self.find_links(|link| link.role == Role::RootPeer) {
            let parents = Vec::new();
            self.send(root, Frame::Leave { parents });
            self.close(root);
        }
    }

    pub(crate) fn on_request_failed(&mut self, now: Instant, request: PlatformRequest) {
        match request {
            PlatformRequest::AcquireLease { slot, .. } => {
                self.lease.on_failed(slot);
                self.fallback_poll.replaced_root = None;
                self.search.retry_at(now);
            }
            PlatformRequest::Leases { .. } => {
                self.fallback_poll.replaced_root = None;
                let wait = self.jitter(SEARCH_DELAY_JITTER);
                self.search.retry_at(now + wait);
            }
            PlatformRequest::ConfirmVersion { serial, .. } => {
                self.on_confirmation_failed(now, serial);
            }
            // These requests are retried later, and their failure is harmless until then.
            PlatformRequest::RenewLease { .. }
            | PlatformRequest::ReleaseLease { .. }
            | PlatformRequest::Watch { .. }
            | PlatformRequest::Unwatch => {}
            PlatformRequest::Crashes | PlatformRequest::Rollouts => self.retry_initial_reads(now),
            PlatformRequest::Farewells => self.on_recall_failed(now),
        }
    }

    pub(crate) fn on_latest_version(&mut self, now: Instant, version: Version) {
        self.readiness_gate.record_platform_version(version);
        self.sync.platform_version = self.sync.platform_version.max(version);
        if self.lease.is_root() {
            self.limit_endpoint_sync(now);
        }
    }

    pub(crate) fn on_platform_step(
        &mut self,
        now: Instant,
        version: Version,
        patch: Arc<Patch>,
        digest: Digest,
    ) {
        let step = Step {
            // The platform's journal numbers the versions without gaps.
            base: Version(version.0.saturating_sub(1)),
            version,
            patch,
            digest,
        };
        self.sync.platform_version = self.sync.platform_version.max(version);
        let outcome = self.replica.apply_step(step.clone());
        if outcome == ApplyOutcome::Gap && self.lease.is_root() {
            let after = self.version();
            self.watch(after);
        }
        self.finish_step(now, outcome, &step);
    }

    /// Records an invalid version, once; operators see it in the node's status.
    pub(crate) fn on_invalid_version(&mut self, version: Version, reason: SmolStr) {
        if self.replica.refuse(version, reason) {
            self.counters.refused_versions += 1;
        }
    }

    pub(crate) fn on_platform_full(&mut self, now: Instant, version: Version, mesh: Mesh) {
        match self.replica.apply_and_diff(version, mesh) {
            (outcome, Some(step)) => self.finish_step(now, outcome, &step),
            (outcome, None) => self.handle_outcome(now, outcome),
        }
    }
}
