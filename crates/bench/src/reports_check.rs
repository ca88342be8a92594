//! Checks that backend servers get no more calls than they have reported to take.
//!
//! The check uses only what callers and backend servers have recorded. A VM has been told of a
//! report when a response with the report has come back through it; from shortly after that, its
//! calls are bound by the report, unless its node was stopped or paused in the meantime.

use crate::faults_history::Span;

/// Time after a report has passed a VM from which the VM's calls count.
pub const NOTICE_US: u64 = 500_000;

/// Time after the first report of a limit from which calls count.
pub const SETTLING_US: u64 = 3_000_000;

/// Window over which calls are counted.
pub const WINDOW_US: u64 = 4_000_000;

/// Time after a report of leaving from which no call may be sent.
pub const LEAVE_US: u64 = 2_000_000;

/// Factor by which calls may exceed a limit.
const LIMIT_FACTOR: f64 = 1.5;

/// Number of calls in a window by which a limit may be exceeded besides.
const LIMIT_SLACK: f64 = 5.0;

/// A call that a backend server ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// VM where the call entered the mesh.
    pub vm: usize,
    /// When its caller sent it, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// When it arrived at the backend server, in microseconds since the Unix epoch.
    pub at_us: u64,
}

/// A response with a report that came back through a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    /// VM that the response came back through.
    pub vm: usize,
    /// When its caller received it, in microseconds since the Unix epoch.
    pub at_us: u64,
}

/// Time in which a backend server named one limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSpan {
    /// The time, in microseconds since the Unix epoch.
    pub span: Span,
    /// Calls per second.
    pub rate: f64,
}

/// What is known of one process of a backend server.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Process {
    /// The calls that it ran, in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Responses that named a limit.
    pub limit_notices: Vec<Notice>,
    /// Responses that said that it is leaving.
    pub leave_notices: Vec<Notice>,
    /// The limits that it named, in order of time.
    pub limits: Vec<LimitSpan>,
}

/// Result of the check of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Findings {
    /// Windows with too many calls; overlapping windows count once.
    pub over_limit: usize,
    /// Calls that were sent after the process had reported that it is leaving.
    pub after_leaving: usize,
    /// Largest number of calls in a window, divided by what is allowed.
    pub worst_window: f64,
}

/// Checks one process. `disturbances` are the times in which the node of each VM was stopped or
/// paused.
#[must_use]
pub fn check(process: &Process, disturbances: &[Vec<Span>]) -> Findings {
    let mut findings = Findings::default();
    for series in split_series(&process.limits) {
        check_series(process, series, disturbances, &mut findings);
    }
    let is_late = |arrival: &&Arrival| {
        let bound = |notice: &Notice| {
            notice.vm == arrival.vm
                && notice.at_us + LEAVE_US < arrival.sent_us
                && is_undisturbed(&disturbances[arrival.vm], notice.at_us, arrival.at_us)
        };
        process.leave_notices.iter().any(bound)
    };
    findings.after_leaving = process.arrivals.iter().filter(is_late).count();
    findings
}

/// Splits limits into series without a gap in between.
fn split_series(limits: &[LimitSpan]) -> impl Iterator<Item = &[LimitSpan]> {
    limits.chunk_by(|one, next| one.span.to_us == next.span.from_us)
}

fn check_series(
    process: &Process,
    series: &[LimitSpan],
    disturbances: &[Vec<Span>],
    findings: &mut Findings,
) {
    let (Some(first), Some(last)) = (series.first(), series.last()) else {
        return;
    };
    let (from_us, to_us) = (first.span.from_us, last.span.to_us);
    let counts = |arrival: &&Arrival| {
        let bound = |notice: &Notice| {
            notice.vm == arrival.vm
                && (from_us..arrival.at_us).contains(&(notice.at_us + NOTICE_US))
                && is_undisturbed(&disturbances[arrival.vm], notice.at_us, arrival.at_us)
        };
        (from_us + SETTLING_US..to_us).contains(&arrival.at_us)
            && process.limit_notices.iter().any(bound)
    };
    let counted: Vec<_> = process.arrivals.iter().filter(counts).collect();
    let mut reported_to_us = 0;
    for (index, arrival) in counted.iter().enumerate() {
        let end_us = arrival.at_us + WINDOW_US;
        let within = counted[index..].iter();
        let count = within.take_while(|other| other.at_us < end_us).count();
        let allowed = allowed_between(series, arrival.at_us, end_us);
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let share = count as f64 / allowed;
        findings.worst_window = findings.worst_window.max(share);
        if share > 1.0 && arrival.at_us >= reported_to_us {
            findings.over_limit += 1;
            reported_to_us = end_us;
        }
    }
}

/// Returns the number of calls that may arrive in a window. Of the limits shortly before and in the
/// window, the highest one counts.
fn allowed_between(series: &[LimitSpan], from_us: u64, to_us: u64) -> f64 {
    let known_us = from_us.saturating_sub(NOTICE_US);
    let named = series
        .iter()
        .filter(|limit| limit.span.from_us < to_us && limit.span.to_us > known_us);
    let rate = named.map(|limit| limit.rate).fold(0.0, f64::max);
    #[expect(clippy::cast_precision_loss, reason = "a small number")]
    let seconds = (to_us - from_us) as f64 / 1e6;
    LIMIT_FACTOR * rate * seconds + LIMIT_SLACK
}

fn is_undisturbed(disturbances: &[Span], from_us: u64, to_us: u64) -> bool {
    let overlaps = |span: &Span| span.from_us <= to_us && span.to_us >= from_us;
    !disturbances.iter().any(overlaps)
}
