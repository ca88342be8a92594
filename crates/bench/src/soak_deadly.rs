//! Requests that crash the backend servers that run them, in a soak.
//!
//! The stand-ins end when they run one, and are started again some seconds later. The
//! check knows only what the backend servers recorded and what callers were told.

use crate::caller::{Call, Caller};
use crate::error::Error;
use crate::faults_callers::TIMEOUT_MS;
use crate::faults_history::Invocation;
use crate::faults_inject::{Target, read_record};
use http::Method;
use serde::{Deserialize, Serialize};
use standin::record::{Entry, Outcome};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Text that makes a path or a body deadly.
pub const MARK: &str = "deadly";

/// How long after the third crash runs are counted, in microseconds.
const KNOWN_US: u64 = 3_000_000;

/// Runs that may begin after that.
const MAX_FURTHER: usize = 3;

/// Time between two requests of one deadly series.
const GAP: Duration = Duration::from_millis(250);

/// Time between a crash and the start of the next process.
pub const DOWN: Duration = Duration::from_millis(1_500);

/// What a deadly request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A look-up, which may run more than once.
    Lookup,
    /// The same, at all nodes in the same instant.
    Burst,
    /// A booking without a key.
    Booking,
    /// A release of a claim under a key of its own each time.
    Keyed,
}

/// A request that comes again and again, and crashes what runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Series {
    /// What it is.
    pub kind: Kind,
    /// Tells it from other series.
    pub name: String,
}

impl Series {
    /// Makes the request that is sent as number `number`.
    #[must_use]
    pub fn make_call(&self, number: usize) -> Call {
        let name = &self.name;
        let call = match self.kind {
            Kind::Lookup | Kind::Burst => Call::get(&format!("/records/{MARK}-{name}")),
            Kind::Booking => Call::new(Method::POST, &format!("/jobs/{MARK}-{name}")),
            Kind::Keyed => Call::new(Method::POST, &format!("/claims/{MARK}-{name}"))
                .header("idempotency-key", &format!("{MARK}-{name}-{number}")),
        };
        call.header("x-request", &format!("{MARK}.{name}.{number}"))
            .header("bluebellpick-timeout-ms", &TIMEOUT_MS.to_string())
    }

    /// Sends the request at all nodes in turn, or at once, until `end`.
    pub async fn send(self, addresses: Vec<SocketAddr>, end: Instant) {
        let at_once = match self.kind {
            Kind::Burst => addresses.len(),
            _ => 1,
        };
        let mut next = (0..).zip(addresses.iter().cycle());
        while Instant::now() < end {
            for (number, address) in next.by_ref().take(at_once) {
                let call = self.make_call(number);
                let caller = Caller::new(*address);
                tokio::spawn(async move {
                    let limit = Duration::from_millis(TIMEOUT_MS);
                    // Whatever it is told, and also by a node that is down: nobody misses
                    // the answer.
                    drop(caller.send_within(&call, limit).await);
                });
            }
            tokio::time::sleep(GAP).await;
        }
    }
}

/// Reads the runs of deadly requests from what backend servers recorded, by the series' name.
///
/// # Errors
///
/// When a record can't be read.
pub fn read_deadly_runs(target: &Target) -> Result<BTreeMap<String, Vec<Entry>>, Error> {
    let mut all: BTreeMap<String, Vec<Entry>> = BTreeMap::new();
    for file in target.record_files() {
        for entry in read_entries(&read_record(file)?)? {
            let mut words = entry.request.split('.');
            if words.next() == Some(MARK)
                && let Some(name) = words.next()
            {
                all.entry(name.to_owned()).or_default().push(entry);
            }
        }
    }
    Ok(all)
}

/// Counts the runs of deadly requests beyond what is allowed after the third crash.
///
/// # Errors
///
/// When a record can't be read.
pub fn count_further_runs(target: &Target) -> Result<usize, Error> {
    let mut further = 0;
    for (name, runs) in read_deadly_runs(target)? {
        let count = count_after_third(&runs);
        if count > MAX_FURTHER {
            eprintln!(
                "violation: deadly request {name} ran {count} times later than 3 s after it had crashed the third server"
            );
            further += count - MAX_FURTHER;
        }
    }
    Ok(further)
}

/// Counts the runs that began later than 3 s after the third crash.
#[must_use]
pub fn count_after_third(runs: &[Entry]) -> usize {
    let ended = runs.iter().filter(|run| run.outcome == Outcome::Crashed);
    let mut crashes: Vec<_> = ended.filter_map(|run| run.end_us).collect();
    crashes.sort_unstable();
    let Some(third) = crashes.get(2) else {
        return 0;
    };
    let later = |run: &&Entry| run.start_us > third + KNOWN_US;
    runs.iter().filter(later).count()
}

/// Tells whether the words of an answer are those to a held request.
#[must_use]
pub fn is_held(words: &str) -> bool {
    words.contains("\"reason\":\"held\"")
}

fn read_entries(text: &str) -> Result<Vec<Entry>, Error> {
    let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
    let mut entries = HashMap::new();
    for line in whole.lines() {
        let entry: Entry =
            serde_json::from_str(line).map_err(|error| Error::Unexpected(error.to_string()))?;
        entries.insert(entry.run, entry);
    }
    Ok(entries.into_values().collect())
}

/// Counts the requests of other callers that were refused as deadly ones are.
#[must_use]
pub fn count_innocents_held(invocations: &[Invocation]) -> usize {
    let held = invocations.iter().filter(|one| is_held(&one.detail));
    held.inspect(|one| eprintln!("violation: innocent request held: {one:?}"))
        .count()
}
