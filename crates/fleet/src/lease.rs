//! The leases of a zone's root relays.
//!
//! Only roots read and watch the platform, so that its load grows with zones
//! and not with nodes. A lease saves work and carries no correctness: two
//! holders of one lease both hand on the same numbered versions. It may thus
//! be taken from a holder that can't be reached, without waiting for its end.

use crate::event::{PlatformRequest, RootLease};
use smol_str::SmolStr;
use std::time::{Duration, Instant};
use wire::control::Peer;

/// Roots of a zone: two may be lost at once. 15 zones make 45.
pub const ROOTS_PER_ZONE: u8 = 3;

/// Time that a lease runs for.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);

/// Time between renewals: two may fail. 45 roots write 15 times a second.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Time between a root's readings of all leases: 45 roots read 9 times a second.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Wait after a nomination before the leases are read again.
const NOMINATION_READ_DELAY: Duration = Duration::from_secs(1);

/// Time between the readings of a new root that has met no other yet. After a
/// restart of all, whoever is to call it mostly is no root itself at its first
/// reading, and the next one came 5 s later: all VMs then waited 2 s for the
/// endpoints that others know, and served only by their own meanwhile.
const INITIAL_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a root of a higher zone leaves the call to the lower ones.
const CROSS_ZONE_DIAL_DELAY: Duration = Duration::from_secs(7);

/// Whether a lease is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    None,
    Asked {
        slot: u8,
    },
    Held {
        slot: u8,
    },
    /// Root without a lease, as the platform gives out none.
    Acting,
}

/// The own lease, if any, and what was read of the others.
#[derive(Debug)]
pub struct LeaseClient {
    state: State,
    root_since: Instant,
    renew_at: Instant,
    read_at: Instant,
    leases: Vec<RootLease>,
    was_vacant: bool,
    /// Whether the next reading is to be of what stands now: one for
    /// safety's sake may be seconds old, which the platform gives for a tenth
    /// of the price.
    wants_exact_read: bool,
}

impl LeaseClient {
    /// Makes one that holds nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            state: State::None,
            root_since: now,
            renew_at: now,
            read_at: now,
            leases: Vec::new(),
            was_vacant: false,
            wants_exact_read: true,
        }
    }

    /// Tells whether this node is a root.
    #[must_use]
    pub fn is_root(&self) -> bool {
        matches!(self.state, State::Held { .. } | State::Acting)
    }

    /// Tells whether this node is a root without a lease.
    #[must_use]
    pub fn is_acting(&self) -> bool {
        self.state == State::Acting
    }

    /// Becomes a root without a lease.
    pub fn start_acting(&mut self) {
        self.state = State::Acting;
    }

    /// Ceases to be a root without a lease.
    pub fn stop_acting(&mut self) {
        if self.state == State::Acting {
            self.state = State::None;
        }
    }

    /// Gives the lease held.
    #[must_use]
    pub fn slot(&self) -> Option<u8> {
        match self.state {
            State::Held { slot } => Some(slot),
            State::None | State::Asked { .. } | State::Acting => None,
        }
    }

    /// Gives all leases as last read.
    #[must_use]
    pub fn leases(&self) -> &[RootLease] {
        &self.leases
    }

    /// Asks for a lease, unless one is held or asked for.
    ///
    /// `is_forced` when the holder can't be reached.
    pub fn request(&mut self, slot: u8, is_forced: bool) -> Option<PlatformRequest> {
        if self.state != State::None || slot >= ROOTS_PER_ZONE {
            return None;
        }
        self.state = State::Asked { slot };
        Some(PlatformRequest::AcquireLease { slot, is_forced })
    }

    /// Notes that a lease was granted; tells whether this node thereby became a root.
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

    /// Notes that a lease is another's; tells whether this node thereby ceased to be a root.
    pub fn on_lost(&mut self, slot: u8) -> bool {
        let was_held = self.state == State::Held { slot };
        if was_held || self.state == (State::Asked { slot }) {
            self.state = State::None;
        }
        was_held
    }

    /// Notes that the platform did not answer.
    ///
    /// A holder goes on as root: nobody can take over while the platform is
    /// out, and its zone needs the links to other zones.
    pub fn on_failed(&mut self, slot: u8) {
        if self.state == (State::Asked { slot }) {
            self.state = State::None;
        }
    }

    /// Notes the leases of all roots.
    pub fn set_leases(&mut self, seats: Vec<RootLease>) {
        self.leases = seats;
    }

    /// Gives what a root asks of the platform by now.
    pub fn due_requests(&mut self, now: Instant) -> Vec<PlatformRequest> {
        let mut requests = Vec::new();
        let State::Held { slot } = self.state else {
            return requests;
        };
        if now >= self.renew_at {
            self.renew_at = now + RENEW_INTERVAL;
            requests.push(PlatformRequest::RenewLease { slot });
        }
        if now >= self.read_at {
            self.read_at = now + READ_INTERVAL;
            let is_exact = std::mem::take(&mut self.wants_exact_read);
            requests.push(PlatformRequest::Leases { is_exact });
        }
        requests
    }

    /// Gives when something is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let has_lease = matches!(self.state, State::Held { .. });
        has_lease.then(|| self.renew_at.min(self.read_at))
    }

    /// Gives the lease to nominate a child for, if one is free.
    ///
    /// The zone's lowest root acts at once and the others only when the lease
    /// is still free at their next reading: the lowest may have no child.
    pub fn vacant_slot(&mut self, zone: &str) -> Option<u8> {
        let own = self.slot()?;
        let is_live = |slot: u8| {
            slot == own
                || self
                    .leases
                    .iter()
                    .any(|seat| seat.holder.zone == zone && seat.slot == slot && seat.is_live)
        };
        let vacancy = (0..ROOTS_PER_ZONE).find(|slot| !is_live(*slot));
        let is_lowest = !(0..own).any(is_live);
        let was_vacant = std::mem::replace(&mut self.was_vacant, vacancy.is_some());
        vacancy.filter(|_| is_lowest || was_vacant)
    }

    /// Notes that a child was nominated: the leases are to be read again soon.
    pub fn on_nominated(&mut self, now: Instant) {
        self.read_at = self.read_at.min(now + NOMINATION_READ_DELAY);
        self.wants_exact_read = true;
    }

    /// Notes that no other root was met yet: the leases are to be read again at once.
    pub fn read_soon(&mut self, now: Instant) {
        self.read_at = self.read_at.min(now + INITIAL_READ_INTERVAL);
        self.wants_exact_read = true;
    }

    /// Gives the lease that a node without any root should take.
    ///
    /// `is_unreached` tells which holders could not be reached. A zone where
    /// even one root may answer needs no new one from here: its roots nominate.
    /// A lease of this node's former process is taken up again: after the
    /// restart of a whole zone all holders can be reached, and none is a root.
    /// So is one whose holder had this node's address: that VM is gone, and
    /// whoever looks for it finds this node, which is no root. Left to run out,
    /// it kept a zone that was restarted whole without configuration for 10 s.
    pub fn slot_to_claim<F>(&self, own: &Peer, is_unreached: F) -> Option<u8>
    where
        F: Fn(&Peer) -> bool,
    {
        let is_former = |holder: &Peer| holder.node == own.node || holder.address == own.address;
        let mine = self
            .leases
            .iter()
            .filter(|seat| seat.holder.zone == own.zone);
        let former = mine.clone().find(|seat| is_former(&seat.holder));
        if let Some(former) = former {
            return Some(former.slot);
        }
        let is_usable = |seat: &&RootLease| seat.is_live && !is_unreached(&seat.holder);
        mine.clone().find(is_usable).is_none().then(|| {
            // Any lease will do; different nodes try different ones.
            let hash = crate::endpoints::stable_hash(own.node.as_bytes());
            let slot = crate::endpoints::index_for_hash(hash, ROOTS_PER_ZONE.into());
            u8::try_from(slot).unwrap_or_default()
        })
    }

    /// Tells whether no lease of the own zone that goes before this one is held.
    pub(crate) fn has_lowest_slot(&self, own: &Peer) -> bool {
        let slot = self.slot().unwrap_or(ROOTS_PER_ZONE);
        let mut others = self
            .leases
            .iter()
            .filter(|seat| seat.is_live && seat.slot < slot);
        !others.any(|seat| seat.holder.zone == own.zone && seat.holder.node != own.node)
    }

    /// Gives the roots to link to: those of the own zone and one of each other zone.
    ///
    /// The lower zone and the lower name call first, so that two roots don't
    /// call each other at once. Only a zone's lowest root calls other zones:
    /// with all three calling, links between 45 roots cost each some 1.6 KB a second.
    /// One that has met none yet (`is_new`) waits for no call.
    pub fn roots_to_dial<F>(&self, own: &Peer, is_new: bool, now: Instant, is_met: F) -> Vec<Peer>
    where
        F: Fn(&Peer) -> bool,
    {
        let is_patient = now >= self.root_since + CROSS_ZONE_DIAL_DELAY;
        let is_lowest = self.has_lowest_slot(own);
        let mut seats: Vec<_> = self.leases.iter().filter(|seat| seat.is_live).collect();
        seats.sort_by_cached_key(|seat| {
            let pair = format!("{} {}", own.node, seat.holder.node);
            (
                seat.holder.zone.clone(),
                crate::endpoints::stable_hash(pair.as_bytes()),
            )
        });
        let mut wanted: Vec<Peer> = Vec::new();
        let mut served: Option<&SmolStr> = None;
        for holder in seats.into_iter().map(|seat| &seat.holder) {
            let is_own_zone = holder.zone == own.zone;
            let is_higher = (&holder.zone, &holder.node) > (&own.zone, &own.node);
            let is_callee = if is_own_zone || is_new {
                is_higher || is_new
            } else {
                is_lowest && (is_higher || is_patient)
            };
            let is_served = !is_own_zone && served == Some(&holder.zone);
            if !is_callee || is_served || holder.node == own.node {
                continue;
            }
            served = Some(&holder.zone);
            if !is_met(holder) {
                wanted.push(holder.clone());
            }
        }
        wanted
    }
}
