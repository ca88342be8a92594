//! When a node that fell silent counts as gone.
//!
//! Load pattern: on an ordinary day 63 VMs fail one by one; on a bad one a
//! switch or a zone goes, or a cut makes many look dead that still serve.
//! Without the guard a cut would empty the lists of endpoints, and the callers
//! of a whole zone would be refused although their backend servers live.
//! Silence of a few is a departure; silence of many at once, or of one's own
//! way to the root, holds the last list. The callers' own failures steer
//! traffic meanwhile.

use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for a lost node to show up at another parent: it finds one within the
/// 3.5 s that silence takes to be seen, less often with a second try.
pub const GRACE: Duration = Duration::from_secs(4);

/// Losses at once that still count as ordinary.
const FEW: usize = 2;

/// Share of the neighbours, as a divisor, whose loss at once is not ordinary.
const SHARE: usize = 4;

/// Longest that a loss is held for; the node has long come back or the entry expires by itself.
const HOLD: Duration = Duration::from_mins(10);

/// Nodes that were lost and are not known to be elsewhere.
#[derive(Debug, Default)]
pub struct DepartureGuard {
    lost: BTreeMap<SmolStr, Instant>,
}

impl DepartureGuard {
    /// Notes that the link to a node broke without a farewell.
    pub fn record_lost(&mut self, node: &SmolStr, now: Instant) {
        self.lost.insert(node.clone(), now);
    }

    /// Notes that a node was heard of again, here or through others.
    pub fn record_found(&mut self, node: &str) {
        self.lost.remove(node);
    }

    /// Takes out the nodes that count as gone by now.
    ///
    /// `neighbours` are the nodes still linked. Nothing is taken while more
    /// than a few, and more than a share of all neighbours, are lost at once,
    /// nor while this node itself has no way to a root.
    pub fn take_departed(
        &mut self,
        neighbours: usize,
        is_rooted: bool,
        now: Instant,
    ) -> Vec<SmolStr> {
        self.lost.retain(|_, at| now < *at + HOLD);
        let limit = FEW.max((neighbours + self.lost.len()) / SHARE);
        if !is_rooted || self.lost.len() > limit {
            return Vec::new();
        }
        let due = self.lost.iter().filter(|(_, at)| now >= **at + GRACE);
        let gone: Vec<_> = due.map(|(node, _)| node.clone()).collect();
        for node in &gone {
            self.lost.remove(node);
        }
        gone
    }

    /// Gives when the next lost node may count as gone.
    #[must_use]
    pub fn deadline(&self, now: Instant) -> Option<Instant> {
        let first = self.lost.values().min()?;
        // A held loss is looked at again with every beat.
        Some((*first + GRACE).max(now + crate::link::HEARTBEAT_INTERVAL / 4))
    }
}
