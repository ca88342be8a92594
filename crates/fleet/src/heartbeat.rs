//! Heartbeats, and the aggregated status that they carry.

use crate::link::{Link, LinkKey, Role};
use crate::node::Node;
use crate::status;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Instant;
use wire::control::{Frame, Heartbeat, Status};

/// Number of consecutive heartbeats with a differing endpoint checksum after which two nodes
/// compare their endpoint tables. A single difference proves nothing: updates in flight make the
/// checksums differ for a moment.
const MISMATCH_LIMIT: u8 = 3;

impl Node {
    pub(crate) fn send_heartbeats(&mut self, now: Instant) {
        for key in self.find_links(Link::is_established) {
            self.send_heartbeat(now, key);
        }
    }

    pub(crate) fn send_heartbeat(&mut self, now: Instant, key: LinkKey) {
        let Some(status) = self.status_for(key) else {
            return;
        };
        let (version, endpoints_checksum, child_capacity) = (
            self.version(),
            self.endpoint_table.checksum(),
            self.child_capacity(),
        );
        let is_ready = self.is_ready();
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let (count, echo) = link.next_heartbeat_counts(now);
        let is_new = link.sent_status.as_ref() != Some(&status);
        if is_new {
            link.sent_status = Some(status.clone());
        }
        let beat = Heartbeat {
            count,
            echo,
            version,
            is_ready,
            endpoints_checksum,
            child_capacity,
            status: is_new.then_some(status),
        };
        self.send(key, Frame::Heartbeat(beat));
    }

    pub(crate) fn on_heartbeat(&mut self, now: Instant, key: LinkKey, beat: &Heartbeat) {
        let differs = beat.endpoints_checksum != self.endpoint_table.checksum();
        let own = self.settings.local.node.clone();
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        link.record_heartbeat(beat, now);
        link.mismatches = if differs { link.mismatches + 1 } else { 0 };
        let is_initiator = match link.role {
            Role::Parent => true,
            Role::RootPeer => link.peer.as_ref().is_some_and(|peer| own < peer.node),
            _ => false,
        };
        let is_due = is_initiator && link.mismatches >= MISMATCH_LIMIT;
        if link.mismatches >= MISMATCH_LIMIT {
            link.mismatches = 0;
        }
        if is_due {
            self.send_checksums(key, false);
        }
        self.report_version_to_gate(key, beat.version, beat.is_ready);
        self.on_peer_version(now, key, beat.version);
        self.send_first_reading(key);
    }

    /// Returns the status to send over a link, or `None` if the link is not established.
    fn status_for(&self, key: LinkKey) -> Option<Status> {
        let link = self.links.get(&key)?;
        match link.role {
            Role::Parent => Some(self.subtree_status()),
            Role::Child => Some(self.aggregate_fleet_status()),
            Role::RootPeer => {
                let zone = link.peer.as_ref().map(|peer| &peer.zone);
                if zone == Some(&self.settings.local.zone) {
                    Some(self.subtree_status())
                } else {
                    Some(self.zone_status())
                }
            }
            Role::Accepted | Role::Dialled(_) => None,
        }
    }

    fn own_status(&self) -> Status {
        let refused = self.replica.refused();
        let refusal = refused
            .map(|(version, reason)| status::refusal(&self.settings.local.node, *version, reason));
        status::single_node(self.version(), refusal)
    }

    fn statuses_from<F>(&self, is_included: F) -> Vec<(&SmolStr, &Status)>
    where
        F: Fn(&Link) -> bool,
    {
        let links = self.links.values().filter(|link| is_included(link));
        links
            .filter_map(|link| Some((&link.peer.as_ref()?.node, link.status.as_ref()?)))
            .collect()
    }

    fn aggregate_with(&self, own: &Status, reports: Vec<(&SmolStr, &Status)>) -> Status {
        let own = (&self.settings.local.node, own);
        status::aggregate(std::iter::once(own).chain(reports).collect::<Vec<_>>())
    }

    /// Aggregates the status of this node and all nodes below it.
    pub(crate) fn subtree_status(&self) -> Status {
        let children = self.statuses_from(|link| link.role == Role::Child);
        self.aggregate_with(&self.own_status(), children)
    }

    /// Aggregates the status of this zone, on a root.
    fn zone_status(&self) -> Status {
        let zone = &self.settings.local.zone;
        let roots = self.statuses_from(|link| {
            link.role == Role::RootPeer && link.peer.as_ref().is_some_and(|peer| peer.zone == *zone)
        });
        self.aggregate_with(&self.subtree_status(), roots)
    }

    /// Returns the status of the fleet. A root aggregates it from the reports of the other roots.
    /// Any other node returns what its parent last sent, or the status of its own subtree if no
    /// parent has sent any.
    pub(crate) fn aggregate_fleet_status(&self) -> Status {
        if !self.lease.is_root() {
            let parents = self.statuses_from(|link| link.role == Role::Parent);
            return match parents.first() {
                Some((_, status)) => Status::clone(status),
                None => self.subtree_status(),
            };
        }
        let own_zone = &self.settings.local.zone;
        // Several roots of a zone report the same nodes; the report with the most nodes is used.
        let mut zones: BTreeMap<&SmolStr, (&SmolStr, &Status)> = BTreeMap::new();
        for link in self
            .links
            .values()
            .filter(|link| link.role == Role::RootPeer)
        {
            let (Some(peer), Some(status)) = (&link.peer, &link.status) else {
                continue;
            };
            let known = zones
                .get(&peer.zone)
                .map_or(0, |(_, old)| status::node_count(old));
            if peer.zone != *own_zone && status::node_count(status) > known {
                zones.insert(&peer.zone, (&peer.node, status));
            }
        }
        self.aggregate_with(&self.zone_status(), zones.into_values().collect())
    }
}
