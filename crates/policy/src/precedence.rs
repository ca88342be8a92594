//! Precedence of nested calls over direct calls that can still wait.
//!
//! One service takes direct calls, such as uploads, and is also called by the backend servers of
//! another service. Where both kinds of calls wait, the queue gives each its share of the slots, and
//! direct calls that need less than their share go first. That saves them nothing, as they would
//! still be in time, but each nested call that waits keeps a slot of the other service occupied by
//! its parent, so that the other service refuses calls that it could have run. Nested calls that wait
//! until their deadlines fail their parents besides.
//!
//! A nested call therefore takes the turn of a direct call while the direct call can wait. The direct
//! calls get their shares all the same, only later: the turns count for the nested calls, and close to
//! its latest start a direct call keeps its turn.

use crate::admission::duration_from_secs;
use crate::queue::Entry;
use std::time::Instant;

/// Time that must be left until the latest start of a direct call that gives its turn away, as a
/// multiple of its expected duration. With less, calls that have given their turns away are due at the
/// same time, and some of them are late.
const KEPT_TURN_FACTOR: f64 = 2.0;

/// Returns whether a nested call that must start by `nested_start_by` takes the turn of the call
/// `direct`.
///
/// Of two calls of which only one can start in time, the one that is due first goes first.
pub(crate) fn is_nested_first(now: Instant, direct: &Entry, nested_start_by: Instant) -> bool {
    let keeps_turn_at = now + duration_from_secs(KEPT_TURN_FACTOR * direct.cost);
    nested_start_by < direct.start_by && keeps_turn_at < direct.start_by
}
