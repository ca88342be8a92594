//! Status of a part of the fleet, aggregated in bounded size.
//!
//! Each node merges its own status with those of its children and reports the result to its parent,
//! so a link carries one status, however many nodes the status covers.

use config::Version;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use wire::control::{RefusedVersion, Status, VersionCount};

/// Maximum number of versions counted separately; the nodes of a healthy fleet hold one or two
/// versions.
pub const MAX_VERSION_COUNTS: usize = 8;

/// Maximum number of laggards (nodes below the highest version) that a status lists, and maximum
/// number of refusals.
pub const MAX_LISTED_NODES: usize = 8;

/// Maximum length of the reason of a refusal, in bytes.
pub const MAX_REASON_BYTES: usize = 160;

/// Returns the status of a single node.
#[must_use]
pub fn single_node(version: Version, refusal: Option<RefusedVersion>) -> Status {
    Status {
        counts: vec![VersionCount { version, nodes: 1 }],
        laggards: Vec::new(),
        refusals: refusal.into_iter().collect(),
    }
}

/// Aggregates statuses, each given with the name of the node that reported it.
#[must_use]
pub fn aggregate<'a, I>(statuses: I) -> Status
where
    I: IntoIterator<Item = (&'a SmolStr, &'a Status)> + Clone,
{
    let mut counts = BTreeMap::new();
    for (_, status) in statuses.clone() {
        for count in &status.counts {
            *counts.entry(count.version).or_insert(0) += count.nodes;
        }
    }
    let highest = counts.keys().next_back().copied();
    let mut total = Status {
        counts: bound_counts(counts),
        ..Status::default()
    };
    for (name, status) in statuses {
        total.refusals.extend(status.refusals.iter().cloned());
        total.laggards.extend(status.laggards.iter().cloned());
        let is_single = status.counts.len() == 1 && status.counts[0].nodes == 1;
        if is_single && Some(status.counts[0].version) < highest {
            total.laggards.push(name.clone());
        }
    }
    total.laggards.sort();
    total.laggards.dedup();
    total.laggards.truncate(MAX_LISTED_NODES);
    total
        .refusals
        .sort_by(|a, b| (b.version, &a.node).cmp(&(a.version, &b.node)));
    total.refusals.dedup();
    total.refusals.truncate(MAX_LISTED_NODES);
    total
}

/// Returns the number of nodes covered by a status.
#[must_use]
pub fn node_count(status: &Status) -> u32 {
    status.counts.iter().map(|count| count.nodes).sum()
}

/// Reduces the counts to [`MAX_VERSION_COUNTS`]. The lowest version and the highest ones are kept;
/// nodes with a version between them are counted with the lowest version.
fn bound_counts(counts: BTreeMap<Version, u32>) -> Vec<VersionCount> {
    let mut kept: Vec<_> = counts
        .into_iter()
        .map(|(version, nodes)| VersionCount { version, nodes })
        .collect();
    while kept.len() > MAX_VERSION_COUNTS {
        let folded = kept.remove(1);
        kept[0].nodes += folded.nodes;
    }
    kept
}

/// Creates a refusal, with its reason truncated to [`MAX_REASON_BYTES`].
#[must_use]
pub fn refusal(node: &SmolStr, version: Version, reason: &str) -> RefusedVersion {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    RefusedVersion {
        node: node.clone(),
        version,
        reason: reason[..end].into(),
    }
}
