//! Signs of life, and the sums of status that they carry.

use crate::link::{Link, LinkKey, Role};
use crate::node::Node;
use crate::status;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Instant;
use wire::control::{Beat, Frame, Status};

/// Beats in a row with other endpoints before the tables are compared: news
/// under way make sums differ for a moment.
const MISMATCH_LIMIT: u8 = 3;

impl Node {
    pub(crate) fn send_heartbeats(&mut self) {
        for key in self.find_links(Link::is_established) {
            self.send_heartbeat(key);
        }
    }

    pub(crate) fn send_heartbeat(&mut self, key: LinkKey) {
        let Some(status) = self.status_for(key) else {
            return;
        };
        let (version, endpoints, room) =
            (self.version(), self.table.checksum(), self.child_capacity());
        let is_ready = self.is_ready();
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let (count, echo) = link.next_heartbeat_counts();
        let is_new = link.sent_status.as_ref() != Some(&status);
        if is_new {
            link.sent_status = Some(status.clone());
        }
        let beat = Beat {
            count,
            echo,
            version,
            is_ready,
            endpoints,
            room,
            status: is_new.then_some(status),
        };
        self.send(key, Frame::Beat(beat));
    }

    pub(crate) fn on_heartbeat(&mut self, now: Instant, key: LinkKey, beat: &Beat) {
        let is_other = beat.endpoints != self.table.checksum();
        let own = self.settings.local.node.clone();
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        link.record_heartbeat(beat, now);
        link.mismatches = if is_other { link.mismatches + 1 } else { 0 };
        let is_caller = match link.role {
            Role::Parent => true,
            Role::RootPeer => link.peer.as_ref().is_some_and(|peer| own < peer.node),
            _ => false,
        };
        let is_due = is_caller && link.mismatches >= MISMATCH_LIMIT;
        if link.mismatches >= MISMATCH_LIMIT {
            link.mismatches = 0;
        }
        if is_due {
            self.send_sums(key, false);
        }
        self.on_version_source(key, beat.version, beat.is_ready);
        self.on_peer_version(now, key, beat.version);
    }

    /// Gives what the peer of a link is to be told.
    fn status_for(&self, key: LinkKey) -> Option<Status> {
        let link = self.links.get(&key)?;
        match link.role {
            Role::Parent => Some(self.subtree_status()),
            Role::Child => Some(self.fleet_status()),
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

    fn statuses_from<F>(&self, is_wanted: F) -> Vec<(&SmolStr, &Status)>
    where
        F: Fn(&Link) -> bool,
    {
        let links = self.links.values().filter(|link| is_wanted(link));
        links
            .filter_map(|link| Some((&link.peer.as_ref()?.node, link.status.as_ref()?)))
            .collect()
    }

    fn sum_with(&self, own: &Status, told: Vec<(&SmolStr, &Status)>) -> Status {
        let own = (&self.settings.local.node, own);
        status::aggregate(std::iter::once(own).chain(told).collect::<Vec<_>>())
    }

    /// Sums up this node and all below it.
    pub(crate) fn subtree_status(&self) -> Status {
        let children = self.statuses_from(|link| link.role == Role::Child);
        self.sum_with(&self.own_status(), children)
    }

    /// Sums up the own zone, on a root.
    fn zone_status(&self) -> Status {
        let zone = &self.settings.local.zone;
        let roots = self.statuses_from(|link| {
            link.role == Role::RootPeer && link.peer.as_ref().is_some_and(|peer| peer.zone == *zone)
        });
        self.sum_with(&self.subtree_status(), roots)
    }

    /// Sums up the fleet: a root from what other roots tell, the others by what comes down.
    pub(crate) fn fleet_status(&self) -> Status {
        if !self.lease.is_root() {
            let parents = self.statuses_from(|link| link.role == Role::Parent);
            return match parents.first() {
                Some((_, told)) => Status::clone(told),
                None => self.subtree_status(),
            };
        }
        let own_zone = &self.settings.local.zone;
        // Several roots of a zone tell of the same nodes: the fullest sum counts.
        let mut zones: BTreeMap<&SmolStr, (&SmolStr, &Status)> = BTreeMap::new();
        for link in self
            .links
            .values()
            .filter(|link| link.role == Role::RootPeer)
        {
            let (Some(peer), Some(told)) = (&link.peer, &link.status) else {
                continue;
            };
            let known = zones
                .get(&peer.zone)
                .map_or(0, |(_, old)| status::node_count(old));
            if peer.zone != *own_zone && status::node_count(told) > known {
                zones.insert(&peer.zone, (&peer.node, told));
            }
        }
        self.sum_with(&self.zone_status(), zones.into_values().collect())
    }
}
