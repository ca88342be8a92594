//! A backend server, as announced by its node.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;

/// The life-cycle state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts new calls.
    Serving,
    /// Draining: finishes its calls in flight and accepts no new ones.
    Leaving,
    /// Permanently gone; kept as a tombstone so that a delayed announcement can't restore it.
    Gone,
}

/// Maximum number of farewells that an endpoint keeps: the latest ones, enough for the restarts of
/// a backend server within the time that its messages may be delayed.
pub const MAX_FAREWELLS: usize = 8;

/// Process number of a drain by an operator, which takes out whatever process runs on the VM.
const DRAINED: u64 = u64::MAX;

/// Process number of the end of a drain.
const DRAIN_ENDED: u64 = u64::MAX - 1;

/// The acknowledged leave of one process of a backend server. The process never takes calls again.
///
/// Two process numbers are reserved for drains by operators, so that these are kept and passed on as
/// leaves are, also by nodes that know nothing of drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Farewell {
    /// When the leave was acknowledged, by the clock of the VM, in milliseconds since the Unix
    /// epoch.
    pub left_ms: u64,
    /// Identifies the process, as [`Endpoint::process`] does.
    pub process: u64,
}

impl Farewell {
    /// Returns the record of a drain at `wall_ms`, by the clock of the VM.
    #[must_use]
    pub fn drain(wall_ms: u64) -> Self {
        Self {
            left_ms: wall_ms,
            process: DRAINED,
        }
    }

    /// Returns the record of the end of a drain at `wall_ms`, by the clock of the VM.
    #[must_use]
    pub fn drain_end(wall_ms: u64) -> Self {
        Self {
            left_ms: wall_ms,
            process: DRAIN_ENDED,
        }
    }

    /// Returns whether this is the record of a drain or of its end.
    #[must_use]
    pub fn is_by_operator(&self) -> bool {
        matches!(self.process, DRAINED | DRAIN_ENDED)
    }

    /// Returns this record with a time after those of the operator's records in `known`, so that it takes
    /// effect also if the clock was set back since; other farewells are returned as they are.
    #[must_use]
    pub fn dated_after(self, known: &[Self]) -> Self {
        let by_operator = known.iter().filter(|known| known.is_by_operator());
        let latest = by_operator.map(|known| known.left_ms).max();
        let earliest = latest.map_or(0, |latest| latest.saturating_add(1));
        let is_dated = !self.is_by_operator() || self.left_ms >= earliest;
        Self {
            left_ms: if is_dated { self.left_ms } else { earliest },
            ..self
        }
    }

    /// Returns whether `known` says what this farewell says: that its process has left, or that
    /// the VM is drained or its drain has ended.
    #[must_use]
    pub fn is_in_effect(&self, known: &[Self]) -> bool {
        let is_known = known.iter().any(|other| other.process == self.process);
        match self.process {
            DRAINED => is_drained(known),
            DRAIN_ENDED => is_known && !is_drained(known),
            _ => is_known,
        }
    }
}

/// Returns whether an operator has drained the VM and has not ended the drain since.
#[must_use]
pub fn is_drained(farewells: &[Farewell]) -> bool {
    let find = |process| farewells.iter().find(|known| known.process == process);
    let ended = find(DRAIN_ENDED).map(|end| end.left_ms);
    find(DRAINED).is_some_and(|drain| ended.is_none_or(|ended| drain.left_ms > ended))
}

/// A backend server and the node in front of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the node, unique in the fleet.
    pub node: SmolStr,
    /// Random identifier of the node's process; changes with every restart.
    pub incarnation: u64,
    /// Start time of the node's process, in milliseconds since the Unix epoch; orders incarnations.
    pub started_ms: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// Service that the backend server belongs to.
    pub service: SmolStr,
    /// Version of the backend server's software; empty if not announced.
    pub version: SmolStr,
    /// Availability zone of the node.
    pub zone: SmolStr,
    /// Region of the node.
    pub region: SmolStr,
    /// Address on which the node listens for other nodes.
    pub address: SocketAddr,
    /// Number of calls that the backend server announces it can run concurrently.
    pub slots: u16,
    /// Identifies the backend server's process, which can be replaced while the node's process stays the
    /// same; a new one has to warm up.
    pub process: u64,
    /// Time from its announcement during which the backend server warms up and is slow, in milliseconds,
    /// if announced.
    pub cold_ms: Option<u32>,
    /// Whether the backend server accepts new calls, is leaving or is gone.
    pub state: State,
    /// Processes of the backend server that have left, the latest first; also processes before the
    /// current one, and those that left when another process of the node ran.
    #[serde(default)]
    pub farewells: Vec<Farewell>,
}

impl Endpoint {
    /// Returns a key that orders announcements of one node: the higher one is newer.
    ///
    /// An announcement after a restart supersedes all of the previous process.
    /// Among announcements with the same sequence number, the state closer to
    /// departure wins, so that a departure declared by other nodes holds until
    /// the node itself makes a new announcement.
    #[must_use]
    pub fn rank(&self) -> (u64, u64, u64, State) {
        (self.started_ms, self.incarnation, self.sequence, self.state)
    }

    /// Adds farewells, and returns whether any of them is new. An endpoint doesn't serve if its
    /// current process has left or its VM is drained.
    ///
    /// The result depends neither on the order in which farewells are added nor on repetition.
    pub fn add_farewells(&mut self, farewells: &[Farewell]) -> bool {
        let has_grown = merge_farewells(&mut self.farewells, farewells);
        let has_left = |farewell: &Farewell| farewell.process == self.process;
        if self.farewells.iter().any(has_left) || is_drained(&self.farewells) {
            self.state = self.state.max(State::Leaving);
        }
        has_grown
    }
}

/// Merges `new` into `known`, which stays sorted; returns whether `known` has changed.
///
/// One farewell a process is kept, the latest. If there are too many, the earliest are dropped; a drain
/// holds until it is ended, and is never dropped.
pub fn merge_farewells(known: &mut Vec<Farewell>, new: &[Farewell]) -> bool {
    if new.iter().all(|farewell| known.contains(farewell)) {
        return false;
    }
    let mut merged: Vec<_> = known.iter().chain(new).copied().collect();
    merged.sort_unstable_by(|one, other| other.cmp(one));
    let mut processes = Vec::new();
    merged.retain(|farewell| {
        let is_first = !processes.contains(&farewell.process);
        processes.push(farewell.process);
        is_first
    });
    while merged.len() > MAX_FAREWELLS
        && let Some(earliest) = merged.iter().rposition(|known| !known.is_by_operator())
    {
        merged.remove(earliest);
    }
    let has_changed = merged != *known;
    *known = merged;
    has_changed
}

impl From<&Endpoint> for Arc<Endpoint> {
    fn from(endpoint: &Endpoint) -> Self {
        Self::new(endpoint.clone())
    }
}
