//! Failure detection: when a silent node counts as departed.
//!
//! Load pattern: on an ordinary day 63 VMs fail one by one. Now and then a switch or a zone fails,
//! or a network partition makes many nodes look dead although they still serve. If all of these
//! nodes were removed, a partition would empty the endpoint tables, and the calls of a whole zone
//! would be refused although the backend servers are up. The loss of a few nodes therefore counts
//! as their departure. While many nodes are lost at once, or this node itself has no path to a
//! root, the endpoint table stays as it is; meanwhile the outcomes of calls steer traffic away from
//! endpoints that fail.

use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that a lost node has to appear at another parent before it counts as departed.
///
/// A node that is cut off from its parent usually finds another one within 3.5 s, the time that it
/// takes to detect the silence, and sometimes needs a second attempt.
pub const REAPPEAR_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of nodes that may be lost at once and still count as departed, however few neighbours
/// there are.
const ORDINARY_LOSSES: usize = 2;

/// Divisor of the number of neighbours, counting the lost nodes as well. If more than a quarter of
/// them, and more than [`ORDINARY_LOSSES`], are lost at once, a network fault is assumed instead of
/// departures.
const LOSS_DIVISOR: usize = 4;

/// Time after which a lost node is no longer tracked.
///
/// By then the node has usually come back; otherwise its endpoint expires by itself.
const MAX_TRACKING_TIME: Duration = Duration::from_mins(10);

/// Nodes that were lost and have not appeared elsewhere since.
#[derive(Debug, Default)]
pub struct DepartureGuard {
    lost: BTreeMap<SmolStr, Instant>,
}

impl DepartureGuard {
    /// Records that the link to a node was lost without a `Leave` frame.
    pub fn record_lost(&mut self, node: &SmolStr, now: Instant) {
        self.lost.insert(node.clone(), now);
    }

    /// Records that a node was heard of again, directly or through other nodes.
    pub fn record_found(&mut self, node: &str) {
        self.lost.remove(node);
    }

    /// Removes and returns the nodes that count as departed.
    ///
    /// `neighbours` is the number of neighbours whose links are up. The result is empty while this
    /// node has no path to a root. The result is also empty while the lost nodes are more than two
    /// and more than a quarter of all neighbours, lost ones included.
    pub fn take_departed(
        &mut self,
        neighbours: usize,
        has_root: bool,
        now: Instant,
    ) -> Vec<SmolStr> {
        self.lost.retain(|_, at| now < *at + MAX_TRACKING_TIME);
        let limit = ORDINARY_LOSSES.max((neighbours + self.lost.len()) / LOSS_DIVISOR);
        if !has_root || self.lost.len() > limit {
            return Vec::new();
        }
        let due = self
            .lost
            .iter()
            .filter(|(_, at)| now >= **at + REAPPEAR_TIMEOUT);
        let departed_nodes: Vec<_> = due.map(|(node, _)| node.clone()).collect();
        for node in &departed_nodes {
            self.lost.remove(node);
        }
        departed_nodes
    }

    /// Returns when the next lost node may count as departed.
    #[must_use]
    pub fn deadline(&self, now: Instant) -> Option<Instant> {
        let first = self.lost.values().min()?;
        // Nodes that have been lost for more than [`REAPPEAR_TIMEOUT`], but may not be declared
        // departed yet, are checked again four times per heartbeat interval.
        Some((*first + REAPPEAR_TIMEOUT).max(now + crate::link::HEARTBEAT_INTERVAL / 4))
    }
}
