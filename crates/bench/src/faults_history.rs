//! Histories of callers and backend servers, and a check whether these histories are consistent.
//!
//! Callers record their requests and the reported outcomes, backend servers record their runs.
//! The check uses nothing from the nodes between callers and backend servers. The check requires
//! that each idempotency key runs at most once, that a request reported as "not run" is in no
//! record, that a caller gets the response to its own request or to another request with the same
//! key, and that a graceful stop cuts no call off.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Outcome of a request as it was reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// A backend server responded.
    Answered {
        /// Name of the request that ran, according to the response.
        request: String,
        /// Fingerprint of the body of the request that ran, according to the response.
        fingerprint: String,
    },
    /// The request did not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The request ran, but its response is no longer stored or was an error of the backend
    /// server.
    Ran,
    /// The connection broke, or the caller got no response in time.
    Broken,
}

/// One request of a caller; a retry with the same key is another invocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// Name of the request.
    pub request: String,
    /// Idempotency key, if the call must not run more than once.
    pub key: Option<String>,
    /// Fingerprint of the body of the request.
    pub fingerprint: String,
    /// When the request was sent, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// When the outcome was reported to the caller, in microseconds since the Unix epoch.
    pub told_us: u64,
    /// Outcome that was reported to the caller.
    pub told: ReportedOutcome,
    /// The node that took the request and a summary of its response, for messages.
    pub detail: String,
}

/// A run of a request, as a backend server recorded it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Run {
    /// Number of the run at the process of the backend server.
    pub run: usize,
    /// Idempotency key of the request, or empty.
    pub key: String,
    /// Name of the request, or empty.
    pub request: String,
    /// When the run began, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// When the run ended, in microseconds since the Unix epoch; `None` if no end was recorded.
    pub end_us: Option<u64>,
}

/// What is known of one process of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProcessRecord {
    /// Runs that the process recorded.
    pub runs: Vec<Run>,
    /// Time spans of the graceful stops of this process or of the node on its VM, each from the
    /// request to stop until the stopped process had ended.
    pub stop_spans: Vec<Span>,
}

/// A time span, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Start of the time span.
    pub from_us: u64,
    /// End of the time span.
    pub to_us: u64,
}

/// Everything that was recorded in one run of the experiment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// Invocations of the callers.
    pub invocations: Vec<Invocation>,
    /// Records of the backend servers, one per process.
    pub records: Vec<ProcessRecord>,
    /// Time spans in which there were graceful stops but no faults.
    pub graceful_spans: Vec<Span>,
}

/// Result of the check.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct CheckResult {
    /// Number of requests.
    pub calls: usize,
    /// Requests with an idempotency key.
    pub keyed_calls: usize,
    /// Requests that were answered, or reported as "ran".
    pub answered: usize,
    /// Requests that were reported as "not run".
    pub not_run: usize,
    /// Requests that were reported as "may have run".
    pub may_have_run: usize,
    /// Requests whose connection broke, or that got no response in time.
    pub broken: usize,
    /// Idempotency keys of calls for which the callers never learned whether they ran.
    pub unsettled_keys: usize,
    /// Idempotency keys whose calls ran more than once.
    pub double_runs: usize,
    /// Requests that ran although they were reported as "not run".
    pub false_not_run: usize,
    /// Responses that belong to another request.
    pub mixed_answers: usize,
    /// Requests that were cut off, or got an unknown outcome, during graceful stops without faults.
    pub cut_in_flight: usize,
    /// Longest time, over all stops, from the request to stop until the last start of new work at
    /// the backend server, in seconds.
    pub new_work_after_leave_max_s: f64,
    /// Descriptions of the violations.
    #[serde(skip)]
    pub violations: Vec<String>,
    /// Descriptions of the unsettled keys, each with the requests and runs of the key.
    #[serde(skip)]
    pub unsettled: Vec<String>,
}

/// Checks whether a history is consistent, and counts the outcomes.
#[must_use]
pub fn check(history: &History) -> CheckResult {
    let mut result = CheckResult {
        calls: history.invocations.len(),
        ..CheckResult::default()
    };
    for one in &history.invocations {
        count_outcome(&mut result, one);
    }
    result.unsettled = describe_unsettled(history);
    result.unsettled_keys = result.unsettled.len();
    check_runs(&mut result, history);
    check_answers(&mut result, history);
    check_graceful_stops(&mut result, history);
    result.new_work_after_leave_max_s = max_work_after_stop(history);
    result
}

fn count_outcome(result: &mut CheckResult, one: &Invocation) {
    result.keyed_calls += usize::from(one.key.is_some());
    match one.told {
        ReportedOutcome::Answered { .. } | ReportedOutcome::Ran => result.answered += 1,
        ReportedOutcome::NotRun => result.not_run += 1,
        ReportedOutcome::MayHaveRun => result.may_have_run += 1,
        ReportedOutcome::Broken => result.broken += 1,
    }
}

fn describe_unsettled(history: &History) -> Vec<String> {
    let mut by_key: HashMap<&str, Vec<&Invocation>> = HashMap::new();
    for one in &history.invocations {
        if let Some(key) = &one.key {
            by_key.entry(key).or_default().push(one);
        }
    }
    let settled = |one: &&Invocation| {
        matches!(
            one.told,
            ReportedOutcome::Answered { .. } | ReportedOutcome::Ran
        )
    };
    let unsettled = by_key.iter().filter(|(_, invocations)| {
        let unknown = |one: &&Invocation| {
            matches!(
                one.told,
                ReportedOutcome::MayHaveRun | ReportedOutcome::Broken
            )
        };
        !invocations.iter().any(settled) && invocations.iter().any(unknown)
    });
    unsettled
        .map(|(key, invocations)| {
            let runs = history.records.iter().flat_map(|record| &record.runs);
            let ran: Vec<_> = runs.filter(|run| run.key == **key).collect();
            format!("unsettled: {invocations:?} {ran:?}")
        })
        .collect()
}

fn check_runs(result: &mut CheckResult, history: &History) {
    let runs = || history.records.iter().flat_map(|record| &record.runs);
    let mut by_key: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs().filter(|run| !run.key.is_empty()) {
        by_key.entry(&run.key).or_default().push(run);
    }
    for (key, runs) in by_key.iter().filter(|(_, runs)| runs.len() > 1) {
        result.double_runs += 1;
        let message = format!("key {key} ran {} times: {runs:?}", runs.len());
        result.violations.push(message);
    }
    let ran: HashMap<&str, &Run> = runs().map(|run| (run.request.as_str(), run)).collect();
    for one in &history.invocations {
        if one.told == ReportedOutcome::NotRun
            && let Some(run) = ran.get(one.request.as_str())
        {
            result.false_not_run += 1;
            let message = format!("told \"not run\" and ran: {one:?} {run:?}");
            result.violations.push(message);
        }
    }
}

/// Checks that each response belongs to the answered request, or to another request with the same
/// key.
fn check_answers(result: &mut CheckResult, history: &History) {
    let mut by_key: HashMap<&str, HashSet<&str>> = HashMap::new();
    for one in &history.invocations {
        if let Some(key) = &one.key {
            by_key.entry(key).or_default().insert(&one.request);
        }
    }
    for one in &history.invocations {
        let ReportedOutcome::Answered {
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
            .is_some_and(|key| by_key[key].contains(request.as_str()));
        if !(own || shared) || *fingerprint != one.fingerprint {
            result.mixed_answers += 1;
            result.violations.push(format!("mixed answer: {one:?}"));
        }
    }
}

/// Checks that every call within a span of graceful stops ended with a response or a definite
/// refusal.
///
/// A retry is treated as sent when the first request with its key was sent, because a fault before
/// the stop may have left the outcome unknown. Calls that ended after the span are ignored, because
/// the next fault may have affected them.
fn check_graceful_stops(result: &mut CheckResult, history: &History) {
    let mut first_sent_us: HashMap<&str, u64> = HashMap::new();
    for one in &history.invocations {
        if let Some(key) = &one.key {
            let sent_us = first_sent_us.entry(key).or_insert(one.sent_us);
            *sent_us = one.sent_us.min(*sent_us);
        }
    }
    for one in &history.invocations {
        let from_us = one
            .key
            .as_deref()
            .map_or(one.sent_us, |key| first_sent_us[key]);
        let within = |span: &Span| span.from_us <= from_us && one.told_us <= span.to_us;
        let cut = matches!(
            one.told,
            ReportedOutcome::Broken | ReportedOutcome::MayHaveRun
        );
        if cut && history.graceful_spans.iter().any(within) {
            result.cut_in_flight += 1;
            let runs = history.records.iter().flat_map(|record| &record.runs);
            let ran: Vec<_> = runs.filter(|run| run.request == one.request).collect();
            result.violations.push(format!("cut off: {one:?} {ran:?}"));
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of one run of the experiment are far below 2^52 microseconds"
)]
fn max_work_after_stop(history: &History) -> f64 {
    let records = history.records.iter();
    let latest = records.flat_map(|record| {
        record
            .stop_spans
            .iter()
            .map(|span| work_after_stop(record, *span))
    });
    latest.max().unwrap_or(0) as f64 / 1e6
}

/// Returns the time from the start of a stop span until the last start of a run in the span, in
/// microseconds.
fn work_after_stop(record: &ProcessRecord, span: Span) -> u64 {
    let starts = record.runs.iter().map(|run| run.start_us);
    let within = starts.filter(|start| (span.from_us..=span.to_us).contains(start));
    within.max().map_or(0, |start| start - span.from_us)
}
