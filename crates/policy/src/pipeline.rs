//! Calls that start before those ahead of them on their connection have been answered.
//!
//! Load pattern: callers send up to 40 requests on a connection without waiting for answers, and
//! do so on a thousand connections of one node at the same time. If each request starts when the
//! one before it has been answered, the last of six requests waits six times as long as it should,
//! while backend servers are idle. If all of them start at once, the node holds 40,000 calls with
//! their answers, and a few connections take all slots of the backend servers.
//!
//! Only requests that may be repeated and have no body overlap, because a connection can end before
//! the answer to a request that has run. Two bounds apply: one to each connection, and one to the
//! process. Under the bound of the process, a connection may have as many early calls as there is
//! room left for (dynamic thresholds, Choudhury and Hahne 1998). One connection can use half of the
//! room. As calls end, those that have more than the others start none, until all have the same and
//! as much is left for a connection that comes later.

/// How a request runs, compared to the others on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Beside other requests of this kind.
    Overlapping,
    /// When all requests before it have been answered, and before all those behind it.
    Alone,
}

/// Bounds of early calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Early calls of one connection.
    pub per_connection: usize,
    /// Early calls of the process.
    pub total: usize,
}

/// Position of a request on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Kind of the request before it.
    pub before: Kind,
    /// Kind of the request.
    pub kind: Kind,
    /// Early calls of the connection.
    pub own: usize,
}

/// Whether the next request of a connection starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It starts now.
    Start,
    /// It may start as soon as there is room.
    Wait,
    /// It starts when all requests before it have been answered.
    InTurn,
}

impl Limits {
    /// Returns whether requests start early at all.
    #[must_use]
    pub fn allow_any(self) -> bool {
        self.per_connection > 0 && self.total > 0
    }

    /// Returns whether a connection with `own` early calls may start another one while the process
    /// has `all`.
    #[must_use]
    pub fn admit(self, own: usize, all: usize) -> bool {
        let room = self.total.saturating_sub(all);
        own < self.per_connection && own < room
    }
}

/// Decides whether the request at `position` starts while the process has `all` early calls.
#[must_use]
pub fn decide(limits: Limits, position: Position, all: usize) -> Decision {
    match (position.before, position.kind) {
        (Kind::Overlapping, Kind::Overlapping) if limits.admit(position.own, all) => {
            Decision::Start
        }
        (Kind::Overlapping, Kind::Overlapping) => Decision::Wait,
        _ => Decision::InTurn,
    }
}
