//! Which requests are refused because they crash the backend servers that run them.
//!
//! *Load pattern:* a request ends each process that runs it, and comes again, at
//! any node. *Without it* each repeat and each retry takes one more backend server
//! of the service down; ejecting hosts and bounding retries punish all other
//! requests and let this one through, as it is fresh to everybody. *Grounds:* such a
//! "query of death" (Google's SRE book, "Addressing Cascading Failures") is known by
//! its content alone, so that what it did has to be remembered with that, by all
//! nodes. Three crashes hold it; what merely ran beside it is cleared by its first
//! answer, and held only if a process ended with no other suspect on it.
//!
//! The state is a set of crashes, each of which may be cleared later, so that nodes
//! may merge what they know in any order and any number of times.

use call::{Crash, Digest};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Crashes that hold a request.
pub const HOLD_THRESHOLD: usize = 3;

/// How long a request is held after its last crash.
pub const HOLD_TIME: Duration = Duration::from_mins(10);

/// How long after that one more crash holds it again.
const RELAPSE: Duration = Duration::from_mins(50);

/// How long a crash is remembered.
pub const RETENTION: Duration = HOLD_TIME.saturating_add(RELAPSE);

/// Requests that are remembered; those with the fewest crashes make room.
pub const MAX_REQUESTS: usize = 512;

/// Crashes of one request that are remembered; the newest ones.
pub const MAX_CRASHES_PER_REQUEST: usize = 8;

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// Nothing speaks against it.
    Clear,
    /// A backend server ended while it ran.
    Suspect,
    /// It is not to be run.
    Held {
        /// Until it may be tried again.
        wait: Duration,
    },
}

/// What is known of requests that crashed backend servers.
#[derive(Debug, Default)]
pub struct CrashHistory {
    requests: HashMap<Digest, Vec<Record>>,
}

#[derive(Debug, Clone)]
struct Record {
    crash: Crash,
    /// When it is forgotten.
    until: Instant,
}

/// What makes one request more worth remembering than another.
type Rank = (usize, Option<Instant>);

impl CrashHistory {
    /// Takes a crash in; tells whether it is news.
    pub fn merge(&mut self, now: Instant, crash: &Crash) -> bool {
        let age = Duration::from_millis(crash.age_ms.into());
        let Some(left) = RETENTION.checked_sub(age).filter(|left| !left.is_zero()) else {
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
            until: now + left,
        };
        if !self.requests.contains_key(&crash.request) && !self.make_room(&record) {
            return false;
        }
        let records = self.requests.entry(crash.request).or_default();
        records.push(record);
        if records.len() > MAX_CRASHES_PER_REQUEST {
            // All nodes drop the same one.
            let order = |index: &usize| (records[*index].until, records[*index].crash.id);
            let oldest = (0..records.len()).min_by_key(order);
            let dropped = oldest.map(|index| records.remove(index));
            return dropped.is_none_or(|dropped| dropped.crash.id != crash.id);
        }
        true
    }

    /// Takes in that a request was answered; gives the crashes that no longer speak against it.
    pub fn clear(&mut self, now: Instant, request: Digest) -> Vec<Crash> {
        let records = self.requests.get_mut(&request).into_iter().flatten();
        let open = records.filter(|record| !record.crash.is_cleared);
        open.map(|record| {
            record.crash.is_cleared = true;
            record.tell(now)
        })
        .collect()
    }

    /// Tells how a request stands.
    #[must_use]
    pub fn status(&self, now: Instant, request: Digest) -> RequestStatus {
        let records = self.requests.get(&request).map_or(&[][..], Vec::as_slice);
        let open = || records.iter().filter(|record| record.is_open(now));
        let Some(last) = open().map(|record| record.until).max() else {
            return RequestStatus::Clear;
        };
        let is_to_blame = open().any(|record| record.crash.is_alone);
        let wait = last.saturating_duration_since(now).saturating_sub(RELAPSE);
        if open().count() >= HOLD_THRESHOLD && is_to_blame && !wait.is_zero() {
            RequestStatus::Held { wait }
        } else {
            RequestStatus::Suspect
        }
    }

    /// Gives all crashes that are remembered, those of the worst requests first.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<Crash> {
        let mut requests: Vec<_> = self.requests.values().collect();
        requests.sort_by_key(|records| std::cmp::Reverse(rank_of(records)));
        let records = requests.into_iter().flatten();
        let living = records.filter(|record| record.until > now);
        living.map(|record| record.tell(now)).collect()
    }

    /// Counts the requests that are held.
    #[must_use]
    pub fn count_held(&self, now: Instant) -> usize {
        let requests = self.requests.keys();
        let held =
            requests.filter(|one| matches!(self.status(now, **one), RequestStatus::Held { .. }));
        held.count()
    }

    /// Counts the requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        self.requests.retain(|_, records| {
            records.retain(|record| record.until > now);
            !records.is_empty()
        });
    }

    /// Makes room for a request that is not known yet; tells whether there is some.
    fn make_room(&mut self, record: &Record) -> bool {
        if self.requests.len() < MAX_REQUESTS {
            return true;
        }
        let ranks = self.requests.iter();
        let least = ranks.map(|(request, records)| (rank_of(records), *request));
        let least = least.min_by_key(|(rank, _)| *rank);
        let Some((rank, request)) = least else {
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
    fn is_open(&self, now: Instant) -> bool {
        !self.crash.is_cleared && self.until > now
    }

    /// Takes in what another node says of the same crash; tells whether it is news.
    fn merge(&mut self, crash: &Crash) -> bool {
        let before = (self.crash.is_alone, self.crash.is_cleared);
        self.crash.is_alone |= crash.is_alone;
        self.crash.is_cleared |= crash.is_cleared;
        before != (self.crash.is_alone, self.crash.is_cleared)
    }

    /// Gives the crash with its age now.
    fn tell(&self, now: Instant) -> Crash {
        let left = self.until.saturating_duration_since(now);
        let age = RETENTION.saturating_sub(left).as_millis();
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
    let open = records.iter().filter(|record| !record.crash.is_cleared);
    let last = records.iter().map(|record| record.until).max();
    (open.count(), last)
}
