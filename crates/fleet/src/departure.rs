//! Failure detection: when a silent node counts as departed.
//!
//! Load pattern: on an ordinary day 63 VMs fail one by one. Now and then a
//! switch or a zone fails, or a network partition makes many nodes look dead
//! that still serve. If all of them were removed, a partition would empty the
//! endpoint tables, and the calls of a whole zone would be refused although
//! their backend servers are up. The loss of a few nodes therefore counts as
//! their departure. While many nodes are lost at once, or this node itself has
//! no path to a root, the endpoint table stays as it is; meanwhile the outcomes
//! of calls steer traffic away from endpoints that fail.

use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that a lost node has to appear at another parent before it counts as departed.
///
/// The node usually finds a parent within the 3.5 s after which silence is
/// detected, and sometimes needs a second attempt.
pub const REAPPEAR_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of nodes lost at once that always counts as ordinary.
const ORDINARY_LOSSES: usize = 2;

/// Divisor of the number of neighbours: losing more than a quarter at once is not ordinary.
const LOSS_DIVISOR: usize = 4;

/// Maximum time that a lost node is tracked.
///
/// By then it has usually come back; otherwise its endpoint expires by itself.
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
    /// `neighbours` is the number of nodes that are still linked. The result is
    /// empty while more than a few nodes, and more than a quarter of all
    /// neighbours, are lost at once, and while this node has no path to a root.
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
        // Lost nodes that are due but not declared departed yet are checked again four times per
        // heartbeat interval.
        Some((*first + REAPPEAR_TIMEOUT).max(now + crate::link::HEARTBEAT_INTERVAL / 4))
    }
}
