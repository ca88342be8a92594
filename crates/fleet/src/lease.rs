//! The leases of a zone's roots.
//!
//! Only roots read and watch the platform, so that the platform's load grows with the number of
//! zones and not with the number of nodes. Leases only limit this load. Correctness doesn't depend
//! on them, because two holders of one lease distribute the same numbered versions. A lease may
//! thus be taken from a holder that can't be reached, without waiting until it expires.

use crate::event::{PlatformRequest, RootLease};
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use wire::control::Peer;

/// Number of roots of a zone, of which two may be lost at once. 15 zones have 45 roots.
pub const ROOTS_PER_ZONE: u8 = 3;

/// Slot of the root that reads the platform most often.
pub(crate) const PRIMARY_SLOT: u8 = 0;

/// Time after which a lease expires unless it is renewed.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);

/// Time between a root's renewals of its lease: two renewals in a row may fail before the lease
/// expires. 45 roots together write 14 times a second.
const RENEW_INTERVAL: Duration = Duration::from_millis(3_300);

/// Time between reads of all leases by the root of a zone with the lowest slot, which links to other
/// zones and nominates nodes for vacant leases.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Time between reads of all leases by the other roots of a zone.
const RELAXED_READ_INTERVAL: Duration = Duration::from_secs(7);

/// Time from the nomination of a child for a vacant lease to the next read of the leases.
const NOMINATION_READ_DELAY: Duration = Duration::from_secs(1);

/// Time between a new root's reads of the leases, until it is linked to another root.
///
/// After a restart of all VMs, the node that is to dial another root is mostly not a root yet when
/// it first reads the leases. When its next read came 5 s later, every VM waited 2 s for the
/// endpoints that other nodes know, and until then knew only its own endpoint.
const INITIAL_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a root waits to be dialled by the roots of zones with lower names, before it
/// dials them itself.
const CROSS_ZONE_DIAL_DELAY: Duration = Duration::from_secs(7);

/// State of this node's own lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    None,
    Requested {
        slot: u8,
    },
    Held {
        slot: u8,
    },
    /// Root without a lease, while the platform can't grant a lease.
    Acting,
}

/// This node's lease, if any, and all leases as last read.
#[derive(Debug)]
pub struct LeaseClient {
    state: State,
    root_since: Instant,
    renew_at: Instant,
    read_at: Instant,
    leases: Vec<RootLease>,
    had_vacancy: bool,
    /// Whether the next read of the leases must be exact. Periodic reads accept data that is some
    /// seconds old, because such a read costs the platform a tenth of an exact one.
    wants_exact_read: bool,
}

impl LeaseClient {
    /// Creates a client that holds no lease.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            state: State::None,
            root_since: now,
            renew_at: now,
            read_at: now,
            leases: Vec::new(),
            had_vacancy: false,
            wants_exact_read: true,
        }
    }

    /// Returns whether this node is a root.
    #[must_use]
    pub fn is_root(&self) -> bool {
        matches!(self.state, State::Held { .. } | State::Acting)
    }

    /// Returns whether this node is the root of its zone that reads the platform most often, or a
    /// root without a lease.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.is_root() && self.slot().is_none_or(|slot| slot == PRIMARY_SLOT)
    }

    /// Returns the name of the node that holds the primary root's lease of a zone, as last read.
    #[must_use]
    pub fn primary_of(&self, zone: &str) -> Option<SmolStr> {
        let mut leases = self.leases.iter();
        let found = leases.find(|lease| {
            lease.is_live && lease.slot == PRIMARY_SLOT && lease.holder.zone == *zone
        });
        found.map(|lease| lease.holder.node.clone())
    }

    /// Returns whether this node is a root without a lease.
    #[must_use]
    pub fn is_acting(&self) -> bool {
        self.state == State::Acting
    }

    /// Becomes a root without a lease.
    pub fn start_acting(&mut self) {
        self.state = State::Acting;
    }

    /// Stops being a root without a lease.
    pub fn stop_acting(&mut self) {
        if self.state == State::Acting {
            self.state = State::None;
        }
    }

    /// Returns the slot of the lease that this node holds.
    #[must_use]
    pub fn slot(&self) -> Option<u8> {
        match self.state {
            State::Held { slot } => Some(slot),
            State::None | State::Requested { .. } | State::Acting => None,
        }
    }

    /// Returns all leases as last read.
    #[must_use]
    pub fn leases(&self) -> &[RootLease] {
        &self.leases
    }

    /// Returns the request for a lease, unless this node already holds or has requested a lease.
    ///
    /// If `is_forced`, the lease is taken even from a holder that has not let it expire but can't
    /// be reached.
    pub fn request(&mut self, slot: u8, is_forced: bool) -> Option<PlatformRequest> {
        if self.state != State::None || slot >= ROOTS_PER_ZONE {
            return None;
        }
        self.state = State::Requested { slot };
        Some(PlatformRequest::AcquireLease { slot, is_forced })
    }

    /// Records that a lease was granted. Returns whether this makes the node a root.
    pub fn on_granted(&mut self, slot: u8, now: Instant) -> bool {
        let is_new = !self.is_root();
        self.state = State::Held { slot };
        self.renew_at = now + RENEW_INTERVAL;
        if is_new {
            self.root_since = now;
            self.read_at = now;
            self.wants_exact_read = true;
        }
        is_new
    }

    /// Records that another node holds a lease. Returns whether this node held it until now.
    pub fn on_lost(&mut self, slot: u8) -> bool {
        let was_held = self.state == State::Held { slot };
        if was_held || self.state == (State::Requested { slot }) {
            self.state = State::None;
        }
        was_held
    }

    /// Records that the platform did not answer the request for a lease.
    ///
    /// A node that holds a lease remains a root: no other node can take over during an outage of
    /// the platform, and the zone needs the links to other zones.
    pub fn on_failed(&mut self, slot: u8) {
        if self.state == (State::Requested { slot }) {
            self.state = State::None;
        }
    }

    /// Stores the leases of all roots as last read.
    pub fn set_leases(&mut self, leases: Vec<RootLease>) {
        self.leases = leases;
    }

    fn read_interval(&self, zone: &str, slot: u8) -> Duration {
        let mut leases = self.leases.iter();
        let has_lower =
            leases.any(|lease| lease.is_live && lease.slot < slot && lease.holder.zone == *zone);
        if has_lower {
            RELAXED_READ_INTERVAL
        } else {
            READ_INTERVAL
        }
    }

    /// Returns the requests to the platform that are due on a root of `zone` with a lease.
    pub fn due_requests(&mut self, zone: &str, now: Instant) -> Vec<PlatformRequest> {
        let mut requests = Vec::new();
        let State::Held { slot } = self.state else {
            return requests;
        };
        if now >= self.renew_at {
            self.renew_at = now + RENEW_INTERVAL;
            requests.push(PlatformRequest::RenewLease { slot });
        }
        if now >= self.read_at {
            self.read_at = now + self.read_interval(zone, slot);
            let is_exact = std::mem::take(&mut self.wants_exact_read);
            requests.push(PlatformRequest::Leases { is_exact });
        }
        requests
    }

    /// Returns when the next request is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let has_lease = matches!(self.state, State::Held { .. });
        has_lease.then(|| self.renew_at.min(self.read_at))
    }

    /// Returns the slot of a vacant lease to nominate a child for.
    ///
    /// The root with the zone's lowest slot nominates at once. The other roots nominate only if a
    /// lease was vacant at their previous read too, in case the root with the lowest slot has no
    /// child.
    pub fn vacant_slot(&mut self, zone: &str) -> Option<u8> {
        let own = self.slot()?;
        let is_live = |slot: u8| {
            slot == own
                || self
                    .leases
                    .iter()
                    .any(|lease| lease.holder.zone == zone && lease.slot == slot && lease.is_live)
        };
        let vacant = (0..ROOTS_PER_ZONE).find(|slot| !is_live(*slot));
        let is_lowest = !(0..own).any(is_live);
        let had_vacancy = std::mem::replace(&mut self.had_vacancy, vacant.is_some());
        vacant.filter(|_| is_lowest || had_vacancy)
    }

    /// Records that a child was nominated, and schedules a read of the leases.
    pub fn on_nominated(&mut self, now: Instant) {
        self.read_at = self.read_at.min(now + NOMINATION_READ_DELAY);
        self.wants_exact_read = true;
    }

    /// Schedules an exact read of the leases soon. Called until another root is linked.
    pub fn read_soon(&mut self, now: Instant) {
        self.read_at = self.read_at.min(now + INITIAL_READ_INTERVAL);
        self.wants_exact_read = true;
    }

    /// Returns the slot of the lease that a node without a path to a root should claim.
    ///
    /// `is_unreachable` returns whether a holder could not be reached. If any root of the zone may
    /// be reachable, there is no slot to claim, because that root nominates nodes for vacant
    /// leases.
    ///
    /// Two leases are claimed in any case. The first is a lease that a former process of this node
    /// held: after the restart of a whole zone all holders can be reached, but none of them is a
    /// root. The second is a lease whose holder had this node's address: the holder's VM is gone,
    /// and nodes that dial the address reach this node, which is not a root. When such a lease was
    /// left to expire, a zone in which all VMs had restarted had no configuration for 10 s.
    pub fn slot_to_claim<F>(&self, local: &Peer, is_unreachable: F) -> Option<u8>
    where
        F: Fn(&Peer) -> bool,
    {
        let is_former =
            |holder: &Peer| holder.node == local.node || holder.address == local.address;
        let zone_leases = self
            .leases
            .iter()
            .filter(|lease| lease.holder.zone == local.zone);
        let former = zone_leases.clone().find(|lease| is_former(&lease.holder));
        if let Some(former) = former {
            return Some(former.slot);
        }
        let is_usable = |lease: &&RootLease| lease.is_live && !is_unreachable(&lease.holder);
        zone_leases.clone().find(is_usable).is_none().then(|| {
            // Any slot is suitable; the hash spreads the nodes over the slots.
            let hash = crate::endpoints::stable_hash(local.node.as_bytes());
            let slot = crate::endpoints::index_for_hash(hash, ROOTS_PER_ZONE.into());
            u8::try_from(slot).unwrap_or_default()
        })
    }

    /// Returns the number of zones with roots whose names come before `zone`.
    pub(crate) fn zone_rank(&self, zone: &str) -> u32 {
        let live = self.leases.iter().filter(|lease| lease.is_live);
        let lower = live.map(|lease| lease.holder.zone.as_str());
        let lower: BTreeSet<_> = lower.filter(|other| *other < zone).collect();
        u32::try_from(lower.len()).unwrap_or(u32::MAX)
    }

    /// Returns the slot that a node claims because the root `root` doesn't read the platform: one
    /// that is vacant, or else that of `root`.
    ///
    /// # Errors
    ///
    /// If all slots are held by other nodes, one of them.
    pub(crate) fn slot_beside(&self, zone: &str, root: &str) -> Result<u8, &Peer> {
        let live = self.leases.iter();
        let live = live.filter(|lease| lease.is_live && lease.holder.zone == zone);
        let is_live = |slot: &u8| live.clone().any(|lease| lease.slot == *slot);
        if let Some(vacant) = (0..ROOTS_PER_ZONE).find(|slot| !is_live(slot)) {
            return Ok(vacant);
        }
        let held = live.clone().find(|lease| lease.holder.node == root);
        match (held, live.clone().next()) {
            (None, Some(other)) => Err(&other.holder),
            (held, _) => Ok(held.map_or(PRIMARY_SLOT, |lease| lease.slot)),
        }
    }

    /// Returns whether no other root of this zone holds a lower slot.
    pub(crate) fn has_lowest_slot(&self, local: &Peer) -> bool {
        let slot = self.slot().unwrap_or(ROOTS_PER_ZONE);
        let mut others = self
            .leases
            .iter()
            .filter(|lease| lease.is_live && lease.slot < slot);
        !others.any(|lease| lease.holder.zone == local.zone && lease.holder.node != local.node)
    }

    /// Returns the roots to dial: the other roots of this zone, and one root of each other zone.
    ///
    /// Of two roots, the one with the lower zone and name dials, so that they don't dial each other
    /// at the same time. Only the root with a zone's lowest slot dials other zones: if all three
    /// roots of each zone did, the links between 45 roots would cost each root some 1.6 KB a
    /// second. A root that isn't linked to any other root yet (`is_new`) dials in either case,
    /// without waiting to be dialled.
    pub fn roots_to_dial<F>(
        &self,
        local: &Peer,
        is_new: bool,
        now: Instant,
        is_linked: F,
    ) -> Vec<Peer>
    where
        F: Fn(&Peer) -> bool,
    {
        let may_dial_lower = now >= self.root_since + CROSS_ZONE_DIAL_DELAY;
        let is_lowest = self.has_lowest_slot(local);
        let mut leases: Vec<_> = self.leases.iter().filter(|lease| lease.is_live).collect();
        leases.sort_by_cached_key(|lease| {
            let pair = format!("{} {}", local.node, lease.holder.node);
            (
                lease.holder.zone.clone(),
                crate::endpoints::stable_hash(pair.as_bytes()),
            )
        });
        let mut wanted: Vec<Peer> = Vec::new();
        let mut done_zone: Option<&SmolStr> = None;
        for holder in leases.into_iter().map(|lease| &lease.holder) {
            let is_own_zone = holder.zone == local.zone;
            let is_higher = (&holder.zone, &holder.node) > (&local.zone, &local.node);
            let should_dial = if is_own_zone || is_new {
                is_higher || is_new
            } else {
                is_lowest && (is_higher || may_dial_lower)
            };
            let is_zone_done = !is_own_zone && done_zone == Some(&holder.zone);
            if !should_dial || is_zone_done || holder.node == local.node {
                continue;
            }
            done_zone = Some(&holder.zone);
            if !is_linked(holder) {
                wanted.push(holder.clone());
            }
        }
        wanted
    }
}
