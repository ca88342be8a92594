//! Deadly requests, which crash the backend servers that run them, in a soak test.
//!
//! A stand-in of a backend server exits when it runs a deadly request, and is started again after
//! [`RESTART_DELAY`]. The checks use only the records of the backend servers and the outcomes that
//! were reported to callers.

use crate::caller::{Call, Caller};
use crate::error::Error;
use crate::faults_callers::CALL_TIMEOUT_MS;
use crate::faults_history::Invocation;
use crate::faults_inject::{Target, read_record};
use http::Method;
use serde::{Deserialize, Serialize};
use standin::record::{Entry, Outcome};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Text in the path of a request that makes the request deadly.
pub const DEADLY_MARKER: &str = "deadly";

/// Time that the quarantine of a deadly request may take to reach all nodes after the third crash,
/// in microseconds; only runs that begin later are counted.
const QUARANTINE_BOUND_US: u64 = 3_000_000;

/// Number of runs of a deadly request that may begin more than [`QUARANTINE_BOUND_US`] after the
/// third crash.
const MAX_RUNS_AFTER_BOUND: usize = 3;

/// Interval at which a series sends its request, to one node or to all nodes at once.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Delay between a crash and the restart of the backend server.
pub const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// Kinds of deadly requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeadlyKind {
    /// A look-up, which may run more than once.
    Lookup,
    /// A look-up that is sent to all nodes at the same time.
    Burst,
    /// A booking without an idempotency key.
    Booking,
    /// A release of a claim, each time with a new idempotency key.
    Keyed,
}

/// A deadly request that is sent repeatedly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeadlySeries {
    /// Kind of the request.
    pub kind: DeadlyKind,
    /// Unique name of the series.
    pub name: String,
}

impl DeadlySeries {
    /// Returns the request with number `number`.
    #[must_use]
    pub fn make_call(&self, number: usize) -> Call {
        let name = &self.name;
        let call = match self.kind {
            DeadlyKind::Lookup | DeadlyKind::Burst => {
                Call::get(&format!("/records/{DEADLY_MARKER}-{name}"))
            }
            DeadlyKind::Booking => {
                Call::new(Method::POST, &format!("/jobs/{DEADLY_MARKER}-{name}"))
            }
            DeadlyKind::Keyed => {
                Call::new(Method::POST, &format!("/claims/{DEADLY_MARKER}-{name}")).header(
                    "idempotency-key",
                    &format!("{DEADLY_MARKER}-{name}-{number}"),
                )
            }
        };
        call.header("x-request", &format!("{DEADLY_MARKER}.{name}.{number}"))
            .header("bluebellpick-timeout-ms", &CALL_TIMEOUT_MS.to_string())
    }

    /// Sends the request repeatedly until `end`: to the nodes in turn, or each time to all nodes.
    pub async fn send(self, addresses: Vec<SocketAddr>, end: Instant) {
        let at_once = match self.kind {
            DeadlyKind::Burst => addresses.len(),
            _ => 1,
        };
        let mut next = (0..).zip(addresses.iter().cycle());
        while Instant::now() < end {
            for (number, address) in next.by_ref().take(at_once) {
                let call = self.make_call(number);
                let caller = Caller::new(*address);
                tokio::spawn(async move {
                    let limit = Duration::from_millis(CALL_TIMEOUT_MS);
                    // The result doesn't matter, even if the node is down.
                    drop(caller.send_within(&call, limit).await);
                });
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Reads the runs of deadly requests from the records of the backend servers, grouped by the name
/// of the request series that they belong to.
///
/// # Errors
///
/// When a record can't be read.
pub fn read_deadly_runs(target: &Target) -> Result<BTreeMap<String, Vec<Entry>>, Error> {
    let mut all: BTreeMap<String, Vec<Entry>> = BTreeMap::new();
    for file in target.record_files() {
        for entry in read_entries(&read_record(file)?)? {
            let mut words = entry.request.split('.');
            if words.next() == Some(DEADLY_MARKER)
                && let Some(name) = words.next()
            {
                all.entry(name.to_owned()).or_default().push(entry);
            }
        }
    }
    Ok(all)
}

/// Counts the runs of deadly requests that exceed `MAX_RUNS_AFTER_BOUND`.
///
/// # Errors
///
/// When a record can't be read.
pub fn count_excess_runs(target: &Target) -> Result<usize, Error> {
    let mut excess = 0;
    for (name, runs) in read_deadly_runs(target)? {
        let count = count_runs_after_bound(&runs);
        if count > MAX_RUNS_AFTER_BOUND {
            eprintln!(
                "violation: deadly request {name} ran {count} times later than 3 s after it had crashed the third server"
            );
            excess += count - MAX_RUNS_AFTER_BOUND;
        }
    }
    Ok(excess)
}

/// Counts the runs of one deadly request that began more than 3 s after the third crash.
#[must_use]
pub fn count_runs_after_bound(runs: &[Entry]) -> usize {
    let ended = runs.iter().filter(|run| run.outcome == Outcome::Crashed);
    let mut crashes: Vec<_> = ended.filter_map(|run| run.end_us).collect();
    crashes.sort_unstable();
    let Some(third) = crashes.get(2) else {
        return 0;
    };
    let later = |run: &&Entry| run.start_us > third + QUARANTINE_BOUND_US;
    runs.iter().filter(later).count()
}

/// Returns whether a response body says that the request was refused because it is in quarantine.
#[must_use]
pub fn is_held(body: &str) -> bool {
    body.contains("\"reason\":\"held\"")
}

fn read_entries(text: &str) -> Result<Vec<Entry>, Error> {
    let complete = text.rsplit_once('\n').map_or("", |(complete, _)| complete);
    let mut entries = HashMap::new();
    for line in complete.lines() {
        let entry: Entry =
            serde_json::from_str(line).map_err(|error| Error::Unexpected(error.to_string()))?;
        entries.insert(entry.run, entry);
    }
    Ok(entries.into_values().collect())
}

/// Counts the requests of callers of ordinary requests that were refused because nodes mistook them
/// for deadly requests.
#[must_use]
pub fn count_innocents_held(invocations: &[Invocation]) -> usize {
    let held = invocations.iter().filter(|one| is_held(&one.detail));
    held.inspect(|one| eprintln!("violation: innocent request held: {one:?}"))
        .count()
}
