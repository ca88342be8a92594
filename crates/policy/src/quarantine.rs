//! Quarantine of requests that crash the backend servers that run them.
//!
//! A request may crash every process that runs it, and be sent again, through any node. Without
//! quarantine, each repeat and each retry takes down one more backend server of the service.
//! Outlier ejection and retry budgets do not help: they penalize all other requests and let this
//! one through, since every node sees it for the first time. Such a "query of death" (Google's SRE
//! book, "Addressing Cascading Failures") can be recognized only by its content, so all nodes
//! record crashes under a digest of the request. A request is held after three crashes. A request
//! that merely ran at the same time as the cause is cleared by its first answer, and is held only
//! if at least one process crashed with no other request as likely to be the cause.
//!
//! The state is a set of crash records, each of which may later be marked as
//! cleared. Merging is commutative and idempotent, so nodes may exchange records in
//! any order and any number of times.

use call::{Crash, Digest};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of crashes after which a request is held.
pub const HOLD_THRESHOLD: usize = 3;

/// How long a request is held after its last crash.
pub const HOLD_TIME: Duration = Duration::from_mins(10);

/// Time after the end of a hold within which a single further crash holds the request again.
const PROBATION_TIME: Duration = Duration::from_mins(50);

/// How long a crash record is kept.
pub const CRASH_RETENTION: Duration = HOLD_TIME.saturating_add(PROBATION_TIME);

/// Maximum number of requests tracked; those with the fewest uncleared crashes are evicted first.
pub const MAX_REQUESTS: usize = 512;

/// Maximum number of crash records kept per request; the oldest are evicted first.
pub const MAX_CRASHES_PER_REQUEST: usize = 8;

/// Quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// No crash is attributed to the request.
    Clear,
    /// A backend server crashed while it ran the request.
    Suspect,
    /// The request must not be run.
    Held {
        /// Remaining time of the hold.
        wait: Duration,
    },
}

/// Crash records by request.
#[derive(Debug, Default)]
pub struct CrashHistory {
    requests: HashMap<Digest, Vec<Record>>,
}

#[derive(Debug, Clone)]
struct Record {
    crash: Crash,
    /// When the record expires.
    expires_at: Instant,
}

/// Eviction order of requests: uncleared crashes, then the latest expiry. The lowest is evicted
/// first.
type Rank = (usize, Option<Instant>);

impl CrashHistory {
    /// Merges a crash record; returns whether it changed the history.
    pub fn merge(&mut self, now: Instant, crash: &Crash) -> bool {
        let age = Duration::from_millis(crash.age_ms.into());
        let Some(left) = CRASH_RETENTION
            .checked_sub(age)
            .filter(|left| !left.is_zero())
        else {
            return false;
        };
        self.expire(now);
        let known = self.requests.get_mut(&crash.request);
        let known = known.and_then(|records| find_mut(records, crash.id));
        if let Some(known) = known {
            return known.merge(crash);
        }
        let record = Record {
            crash: crash.clone(),
            expires_at: now + left,
        };
        if !self.requests.contains_key(&crash.request) && !self.make_room(&record) {
            return false;
        }
        let records = self.requests.entry(crash.request).or_default();
        records.push(record);
        if records.len() > MAX_CRASHES_PER_REQUEST {
            // Records that expire at the same time are ordered by id, so that nodes evict the same
            // one.
            let order = |index: &usize| (records[*index].expires_at, records[*index].crash.id);
            let oldest = (0..records.len()).min_by_key(order);
            let dropped = oldest.map(|index| records.remove(index));
            return dropped.is_none_or(|dropped| dropped.crash.id != crash.id);
        }
        true
    }

    /// Records that a request was answered; returns the crash records that this cleared.
    pub fn clear(&mut self, now: Instant, request: Digest) -> Vec<Crash> {
        let records = self.requests.get_mut(&request).into_iter().flatten();
        let uncleared = records.filter(|record| !record.crash.is_cleared);
        uncleared
            .map(|record| {
                record.crash.is_cleared = true;
                record.to_crash(now)
            })
            .collect()
    }

    /// Returns the status of a request.
    #[must_use]
    pub fn status(&self, now: Instant, request: Digest) -> RequestStatus {
        let records = self.requests.get(&request).map_or(&[][..], Vec::as_slice);
        let active = || records.iter().filter(|record| record.is_active(now));
        let Some(last) = active().map(|record| record.expires_at).max() else {
            return RequestStatus::Clear;
        };
        let is_sole_suspect = active().any(|record| record.crash.is_alone);
        let wait = last
            .saturating_duration_since(now)
            .saturating_sub(PROBATION_TIME);
        if active().count() >= HOLD_THRESHOLD && is_sole_suspect && !wait.is_zero() {
            RequestStatus::Held { wait }
        } else {
            RequestStatus::Suspect
        }
    }

    /// Returns all crash records, those of the requests with the most uncleared crashes first.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<Crash> {
        let mut requests: Vec<_> = self.requests.values().collect();
        requests.sort_by_key(|records| std::cmp::Reverse(rank_of(records)));
        let records = requests.into_iter().flatten();
        let unexpired = records.filter(|record| record.expires_at > now);
        unexpired.map(|record| record.to_crash(now)).collect()
    }

    /// Returns the number of held requests.
    #[must_use]
    pub fn count_held(&self, now: Instant) -> usize {
        let requests = self.requests.keys();
        let held = requests
            .filter(|request| matches!(self.status(now, **request), RequestStatus::Held { .. }));
        held.count()
    }

    /// Returns the number of tracked requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no crash is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Drops expired crash records.
    pub fn expire(&mut self, now: Instant) {
        self.requests.retain(|_, records| {
            records.retain(|record| record.expires_at > now);
            !records.is_empty()
        });
    }

    /// Evicts a request in favour of that of `record` if the history is full and the new request
    /// ranks higher; returns whether there is room for the new request.
    fn make_room(&mut self, record: &Record) -> bool {
        if self.requests.len() < MAX_REQUESTS {
            return true;
        }
        let ranks = self.requests.iter();
        let lowest = ranks.map(|(request, records)| (rank_of(records), *request));
        let lowest = lowest.min_by_key(|(rank, _)| *rank);
        let Some((rank, request)) = lowest else {
            return true;
        };
        if rank >= rank_of(std::slice::from_ref(record)) {
            return false;
        }
        self.requests.remove(&request);
        true
    }
}

impl Record {
    fn is_active(&self, now: Instant) -> bool {
        !self.crash.is_cleared && self.expires_at > now
    }

    /// Merges another node's record of the same crash; returns whether it changed anything.
    fn merge(&mut self, crash: &Crash) -> bool {
        let before = (self.crash.is_alone, self.crash.is_cleared);
        self.crash.is_alone |= crash.is_alone;
        self.crash.is_cleared |= crash.is_cleared;
        before != (self.crash.is_alone, self.crash.is_cleared)
    }

    /// Returns the crash with its current age.
    fn to_crash(&self, now: Instant) -> Crash {
        let left = self.expires_at.saturating_duration_since(now);
        let age = CRASH_RETENTION.saturating_sub(left).as_millis();
        Crash {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            ..self.crash.clone()
        }
    }
}

fn find_mut(records: &mut [Record], id: u64) -> Option<&mut Record> {
    records.iter_mut().find(|record| record.crash.id == id)
}

fn rank_of(records: &[Record]) -> Rank {
    let uncleared = records.iter().filter(|record| !record.crash.is_cleared);
    let last = records.iter().map(|record| record.expires_at).max();
    (uncleared.count(), last)
}
