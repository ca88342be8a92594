//! Histories of callers and backend servers, and the check that they agree.
//!
//! Callers note what they asked and were told, backend servers what they ran.
//! The check knows nothing of the system between them: whatever it did, a key
//! may have run at most once, what was told "not run" is in no record, an
//! answer is the one to its own request, and a graceful stop cuts nothing off.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// An answer of a backend server.
    Answered {
        /// Whose request it answers.
        request: String,
        /// Fingerprint of the body that it answers.
        fingerprint: String,
    },
    /// It did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran, and the answer is not kept or was the backend server's own failure.
    Ran,
    /// The connection broke, or nothing came in time.
    Broken,
}

/// One request of a caller; a repeat under the same key is another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// Names the request.
    pub request: String,
    /// Its idempotency key, if the call must not be repeated.
    pub key: Option<String>,
    /// Fingerprint of its body.
    pub fingerprint: String,
    /// When it was sent, in microseconds of the Unix epoch.
    pub sent_us: u64,
    /// When the caller was told, in microseconds of the Unix epoch.
    pub told_us: u64,
    /// What the caller was told.
    pub told: Told,
    /// The node that was asked and its words, for people.
    pub detail: String,
}

/// A run as a backend server recorded it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Run {
    /// Number of the run at this backend server.
    pub run: usize,
    /// Idempotency key, or empty.
    pub key: String,
    /// Name of the request, or empty.
    pub request: String,
    /// When the work began, in microseconds of the Unix epoch.
    pub start_us: u64,
    /// When it ended, in microseconds of the Unix epoch.
    pub end_us: Option<u64>,
}

/// The runs of one process of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Its runs.
    pub runs: Vec<Run>,
    /// From each time that it, or its node, was told to leave, until that was done.
    pub left: Vec<Span>,
}

/// A span of time, in microseconds of the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Its start.
    pub from_us: u64,
    /// Its end.
    pub to_us: u64,
}

/// All that was noted of a run of the experiment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// What the callers noted.
    pub invocations: Vec<Invocation>,
    /// What the backend servers recorded, a process each.
    pub records: Vec<Record>,
    /// Spans in which nothing but graceful stops went on.
    pub graceful: Vec<Span>,
}

/// What the check found.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Requests.
    pub calls: usize,
    /// Those with a key.
    pub keyed_calls: usize,
    /// Those that were answered.
    pub answered: usize,
    /// Those that were told "not run".
    pub not_run: usize,
    /// Those that were told "may have run".
    pub may_have_run: usize,
    /// Those whose connection broke, or that heard nothing in time.
    pub broken: usize,
    /// Keys of which the callers never learned whether they ran.
    pub unsettled_keys: usize,
    /// Keys that ran more than once.
    pub double_runs: usize,
    /// Requests that were told "not run" and ran.
    pub false_not_run: usize,
    /// Answers to another request than the one that they came to.
    pub mixed_answers: usize,
    /// Requests that a graceful stop cut off.
    pub cut_in_flight: usize,
    /// Longest time from a leave to the start of new work, in seconds.
    pub new_work_after_leave_max_s: f64,
    /// The violations, for people.
    #[serde(skip)]
    pub violations: Vec<String>,
    /// What the callers were told of each unsettled key, for people.
    #[serde(skip)]
    pub unsettled: Vec<String>,
}

/// Checks a history.
#[must_use]
pub fn check(history: &History) -> Verdict {
    let mut verdict = Verdict {
        calls: history.invocations.len(),
        ..Verdict::default()
    };
    for one in &history.invocations {
        count(&mut verdict, one);
    }
    verdict.unsettled = describe_unsettled(history);
    verdict.unsettled_keys = verdict.unsettled.len();
    check_runs(&mut verdict, history);
    check_answers(&mut verdict, history);
    check_graceful(&mut verdict, history);
    verdict.new_work_after_leave_max_s = find_latest_work(history);
    verdict
}

fn count(verdict: &mut Verdict, one: &Invocation) {
    verdict.keyed_calls += usize::from(one.key.is_some());
    match one.told {
        Told::Answered { .. } | Told::Ran => verdict.answered += 1,
        Told::NotRun => verdict.not_run += 1,
        Told::MayHaveRun => verdict.may_have_run += 1,
        Told::Broken => verdict.broken += 1,
    }
}

fn describe_unsettled(history: &History) -> Vec<String> {
    let mut under_key: HashMap<&str, Vec<&Invocation>> = HashMap::new();
    for one in &history.invocations {
        if let Some(key) = &one.key {
            under_key.entry(key).or_default().push(one);
        }
    }
    let settled = |one: &&Invocation| matches!(one.told, Told::Answered { .. } | Told::Ran);
    let unsettled = under_key.iter().filter(|(_, asked)| {
        let unknown = |one: &&Invocation| matches!(one.told, Told::MayHaveRun | Told::Broken);
        !asked.iter().any(settled) && asked.iter().any(unknown)
    });
    unsettled
        .map(|(key, asked)| {
            let runs = history.records.iter().flat_map(|record| &record.runs);
            let ran: Vec<_> = runs.filter(|run| run.key == **key).collect();
            format!("unsettled: {asked:?} {ran:?}")
        })
        .collect()
}

fn check_runs(verdict: &mut Verdict, history: &History) {
    let runs = || history.records.iter().flat_map(|record| &record.runs);
    let mut of_key: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs().filter(|run| !run.key.is_empty()) {
        of_key.entry(&run.key).or_default().push(run);
    }
    for (key, runs) in of_key.iter().filter(|(_, runs)| runs.len() > 1) {
        verdict.double_runs += 1;
        let message = format!("key {key} ran {} times: {runs:?}", runs.len());
        verdict.violations.push(message);
    }
    let ran: HashMap<&str, &Run> = runs().map(|run| (run.request.as_str(), run)).collect();
    for one in &history.invocations {
        if one.told == Told::NotRun
            && let Some(run) = ran.get(one.request.as_str())
        {
            verdict.false_not_run += 1;
            let message = format!("told \"not run\" and ran: {one:?} {run:?}");
            verdict.violations.push(message);
        }
    }
}

/// An answer must be to the request itself, or to another one under its key.
fn check_answers(verdict: &mut Verdict, history: &History) {
    let mut under_key: HashMap<&str, HashSet<&str>> = HashMap::new();
    for one in &history.invocations {
        if let Some(key) = &one.key {
            under_key.entry(key).or_default().insert(&one.request);
        }
    }
    for one in &history.invocations {
        let Told::Answered {
            request,
            fingerprint,
        } = &one.told
        else {
            continue;
        };
        let own = *request == one.request;
        let shared = one
            .key
            .as_deref()
            .is_some_and(|key| under_key[key].contains(request.as_str()));
        if !(own || shared) || *fingerprint != one.fingerprint {
            verdict.mixed_answers += 1;
            verdict.violations.push(format!("mixed answer: {one:?}"));
        }
    }
}

/// While nothing but graceful stops goes on, every call ends with an answer or a sure refusal.
///
/// A repeat counts from the first request under its key: what a fault before
/// the stop has made unknown stays so. One that ends after the span may have
/// met the next fault.
fn check_graceful(verdict: &mut Verdict, history: &History) {
    let mut first: HashMap<&str, u64> = HashMap::new();
    for one in &history.invocations {
        if let Some(key) = &one.key {
            let sent_us = first.entry(key).or_insert(one.sent_us);
            *sent_us = one.sent_us.min(*sent_us);
        }
    }
    for one in &history.invocations {
        let from_us = one.key.as_deref().map_or(one.sent_us, |key| first[key]);
        let within = |graceful: &Span| graceful.from_us <= from_us && one.told_us <= graceful.to_us;
        let cut = matches!(one.told, Told::Broken | Told::MayHaveRun);
        if cut && history.graceful.iter().any(within) {
            verdict.cut_in_flight += 1;
            let runs = history.records.iter().flat_map(|record| &record.runs);
            let ran: Vec<_> = runs.filter(|run| run.request == one.request).collect();
            verdict.violations.push(format!("cut off: {one:?} {ran:?}"));
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of one run of the experiment are far below 2^52 microseconds"
)]
fn find_latest_work(history: &History) -> f64 {
    let records = history.records.iter();
    let latest = records.flat_map(|record| record.left.iter().map(|left| find_work(record, *left)));
    latest.max().unwrap_or(0) as f64 / 1e6
}

/// Gives how long after a leave the last new work began.
fn find_work(record: &Record, left: Span) -> u64 {
    let starts = record.runs.iter().map(|run| run.start_us);
    let within = starts.filter(|start| (left.from_us..=left.to_us).contains(start));
    within.max().map_or(0, |start| start - left.from_us)
}
