//! Whom a node takes as a child.
//!
//! Load pattern: a zone of 1,000 nodes restarts at once and asks its three
//! roots. Each new child costs its parent the whole configuration and list of
//! endpoints, about a megabyte. Without a bound the roots would send
//! gigabytes and answer nobody in time. So children are taken up to a fixed
//! number and at a bounded rate; the others learn at once when to come back
//! and whom else to ask, and the tree grows level by level.

use std::time::Duration;

/// Children of one node: three roots and two levels below make room for
/// 3 × 24 × 24 = 1,728 nodes, more than a zone of 1,000.
pub const FAN_OUT: usize = 24;

/// Longest path from a root to a leaf; deeper ones would add hops, not room.
pub const MAX_DEPTH: usize = 6;

/// Children that are taken at once.
pub const ADMIT_BURST: u32 = 8;

/// Time between further children: a megabyte each is then 40 Mbit/s.
pub const ADMIT_INTERVAL: Duration = Duration::from_millis(200);

/// Wait given by a node that has no room; it will not have any soon.
pub const WAIT_FULL: Duration = Duration::from_secs(5);

/// Wait given by a node that has no root itself or is not ready.
pub const WAIT_UNREADY: Duration = Duration::from_millis(250);

/// Other parents named in one answer.
pub const MAX_HINTS: usize = 8;
