//! Soak test of graceful stops: nodes and backend servers are stopped and started in series and
//! overlapping, and no request may be left without an answer.
//!
//! No process is killed and no connection is harmed. Each request that a caller has written to a
//! connection must therefore be served, or refused with the statement that it has not run.

use crate::deployment::Vm;
use crate::error::Error;
use crate::faults::LATE_EFFECT_WAIT;
use crate::faults_callers::{classify_answer, now_us, summarize_answer};
use crate::faults_history::{CheckResult, History, Invocation, ReportedOutcome, Span, check};
use crate::faults_inject::Target;
use crate::options;
use crate::rolling::spawn_with_settings;
use crate::soak::copy_files;
use crate::stops_callers::{
    CALL_TIMEOUT_MS, Caller, Exchange, Habit, Outcome, PAUSES_MS, Reply, WORK_MS, classify,
};
use crate::stops_runner::Runner;
use bpaf::{Parser, construct, long};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::ops::Range;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Number of callers for each VM, unless given.
const CALLERS_PER_VM: usize = 14;

/// Range of the timeouts of calls in a run with a grace period, in milliseconds.
const GRACE_TIMEOUTS_MS: Range<u64> = 1_500..5_000;

/// Minimum and maximum work of long calls in such a run, in milliseconds.
const GRACE_WORK_MS: (u64, u64) = (100, 1_000);

/// Divisor of the grace that bounds the work of long calls: a call that began before the stop can
/// then end.
const GRACE_WORK_DIVISOR: u64 = 2;

/// Options of the soak test.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the load.
    pub duration: Duration,
    /// Number of VMs of each service in each availability zone.
    pub per_zone: usize,
    /// Number of callers for each VM.
    pub callers: usize,
    /// Time after SIGTERM at which a node is killed; `None` if nothing kills it.
    pub grace: Option<Duration>,
    /// Folder to copy the logs to after a violation.
    pub keep_folder: Option<PathBuf>,
}

/// Results of the soak test.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Seed of all random choices.
    pub seed: u64,
    /// Result of the check of the histories.
    #[serde(flatten)]
    pub check_result: CheckResult,
    /// Requests that ended without a complete response on a new connection.
    pub cut_on_new: usize,
    /// Requests that ended without a complete response on a connection that was used before.
    pub cut_on_reused: usize,
    /// Requests written after the node's process had ended, for which nothing was received.
    pub after_end: usize,
    /// Requests that were not written completely.
    pub unwritten: usize,
    /// Responses that no graceful stop may cause.
    pub wrong_answers: usize,
    /// Responses with status 408.
    pub closed_answers: usize,
    /// Refused connection attempts.
    pub connects_refused: usize,
    /// Connection attempts that failed in another way.
    pub connects_failed: usize,
    /// Graceful stops of nodes.
    pub node_stops: usize,
    /// Graceful stops of backend servers.
    pub server_stops: usize,
    /// Largest number of processes that were stopping at once.
    pub stops_at_once: usize,
    /// Times that a node received SIGHUP.
    pub hangups: usize,
    /// Times that a stopping node received SIGHUP.
    pub hangups_in_stop: usize,
    /// Accepted configuration versions.
    pub versions: u64,
    /// Graceful stops that exceeded their time limit.
    pub stops_late: usize,
    /// Nodes that ended without a request to stop, or by a signal.
    pub unexpected_exits: usize,
}

impl Report {
    /// Returns whether there was no violation.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let found = &self.check_result;
        let wrong = found.double_runs + found.false_not_run + found.mixed_answers;
        let cut = found.cut_in_flight + self.cut_on_new + self.cut_on_reused + self.wrong_answers;
        found.answered > 0
            && wrong + cut + self.stops_late + self.unexpected_exits + self.connects_failed == 0
    }
}

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let seed = options::parse_seed();
    let duration = options::parse_seconds(60);
    let per_zone = long("per-zone")
        .help("VMs of each of three services in each of three zones")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=12).contains(count), "between 1 and 12")
        .fallback(1)
        .display_fallback();
    let callers = long("callers")
        .help("Callers for each VM, each with at most one open connection")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=500).contains(count), "between 1 and 500")
        .fallback(CALLERS_PER_VM)
        .display_fallback();
    let grace = long("grace-ms")
        .help("Time after SIGTERM at which nodes are killed; they get some SIGTERM twice")
        .argument::<u64>("MILLISECONDS")
        .guard(
            |grace| (1_000..=30_000).contains(grace),
            "between 1000 and 30000",
        )
        .map(Duration::from_millis)
        .optional();
    let keep_folder = long("keep")
        .help("Folder to copy the logs to after a violation")
        .argument::<PathBuf>("FOLDER")
        .optional();
    construct!(Options {
        seed,
        duration,
        per_zone,
        callers,
        grace,
        keep_folder
    })
}

/// Stops and starts processes under load, and checks what the callers and the backend servers
/// recorded.
///
/// # Errors
///
/// When a program can't be started, or a VM doesn't serve in time.
pub async fn run(options: Options) -> Result<Report, Error> {
    let settings = options.grace.map(|grace| {
        let (grace, handover) = (grace.as_millis(), grace.as_millis() / 3);
        [
            format!("kill_timeout = {grace} ms"),
            format!("handover = {handover} ms"),
        ]
        .map(|line| ("limits".to_owned(), line))
    });
    let target = spawn_with_settings(options.per_zone, settings.as_slice().as_flattened()).await?;
    let from_us = now_us();
    let end = Instant::now() + options.duration;
    let mut callers = spawn_callers(&target, &options, end);
    let mut runner = Runner::new(options.seed, target, options.grace);
    runner.run_until(end).await?;
    let mut report = runner.report;
    let mut exchanges = Vec::new();
    while let Some(caller) = callers.join_next().await {
        let caller = caller.map_err(|error| Error::Unexpected(error.to_string()))?;
        exchanges.extend(caller.exchanges);
        let failed = caller.connects_failed;
        let refused = |kind: &ErrorKind| *kind == ErrorKind::ConnectionRefused;
        let (refused, failed): (Vec<_>, Vec<_>) = failed.into_iter().partition(refused);
        for kind in &failed {
            eprintln!("violation: connection attempt failed: {kind:?}");
        }
        report.connects_refused += refused.len();
        report.connects_failed += failed.len();
    }
    let graceful_spans = vec![Span {
        from_us,
        to_us: now_us(),
    }];
    tokio::time::sleep(LATE_EFFECT_WAIT).await;
    let invocations = exchanges.into_iter().map(|exchange| {
        let stops = runner.node_stops[exchange.vm].iter();
        let stop = stops.copied().find(|stop| stop.to_us > exchange.opened_us);
        count(&mut report, exchange, stop)
    });
    let history = History {
        invocations: invocations.collect(),
        records: runner.target.read_records()?,
        graceful_spans,
    };
    report.check_result = check(&history);
    print_violations(&report.check_result, &history);
    if let Some(folder) = options.keep_folder.filter(|_| !report.is_clean()) {
        copy_files(runner.target.deployment.folder(), &folder)?;
    }
    Ok(report)
}

/// Prints the violations, and all invocations of the keys that a violation is about.
fn print_violations(check_result: &CheckResult, history: &History) {
    for line in &check_result.violations {
        eprintln!("violation: {line}");
    }
    let unknown = history.invocations.iter().filter(|one| {
        matches!(
            one.told,
            ReportedOutcome::Broken | ReportedOutcome::MayHaveRun
        )
    });
    let keys: BTreeSet<_> = unknown.filter_map(|one| one.key.as_ref()).collect();
    for key in keys {
        let same = |one: &&Invocation| one.key.as_ref() == Some(key);
        for one in history.invocations.iter().filter(same) {
            eprintln!("history of {key}: {one:?}");
        }
        let runs = history.records.iter().flat_map(|record| &record.runs);
        for run in runs.filter(|run| run.key == *key) {
            eprintln!("history of {key}: {run:?}");
        }
    }
}

fn spawn_callers(target: &Target, options: &Options, end: Instant) -> JoinSet<Caller> {
    let seed = options.seed;
    let (timeouts_ms, work_ms) = match options.grace {
        Some(grace) => {
            let grace = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
            let (min, max) = GRACE_WORK_MS;
            let max = max.min(grace / GRACE_WORK_DIVISOR);
            (GRACE_TIMEOUTS_MS, min..max)
        }
        None => (CALL_TIMEOUT_MS..CALL_TIMEOUT_MS + 1, WORK_MS),
    };
    let vms = &target.deployment.vms;
    let addresses: Vec<_> = vms.iter().map(Vm::callers_address).collect();
    let mut callers = JoinSet::new();
    for index in 0..vms.len() * options.callers {
        let habit = match index % 5 {
            0..3 => Habit::Blind,
            3 => Habit::Watching,
            _ => Habit::Single,
        };
        let caller = Caller {
            index,
            rng: SmallRng::seed_from_u64(seed.wrapping_mul(1 << 20).wrapping_add(index as u64)),
            addresses: addresses.clone(),
            habit,
            pause_ms: PAUSES_MS[index % PAUSES_MS.len()].clone(),
            timeouts_ms: timeouts_ms.clone(),
            work_ms: work_ms.clone(),
            exchanges: Vec::new(),
            connects_failed: Vec::new(),
            connection: None,
        };
        callers.spawn(caller.run(move || Instant::now() < end));
    }
    callers
}

/// Counts an exchange with a process that was stopped in `stop`, and returns what the check of the
/// histories must know of it.
fn count(report: &mut Report, exchange: Exchange, stop: Option<Span>) -> Invocation {
    let outcome = classify(
        &exchange.reply,
        exchange.sent_us,
        stop.map(|stop| stop.to_us),
    );
    let detail = match &exchange.reply {
        Reply::Answer(answer) => summarize_answer(exchange.vm, answer),
        broken => format!("VM {}: {broken:?}", exchange.vm),
    };
    match outcome {
        Outcome::Served | Outcome::Refused => {}
        Outcome::Cut if exchange.is_reused => report.cut_on_reused += 1,
        Outcome::Cut => report.cut_on_new += 1,
        Outcome::AfterEnd => report.after_end += 1,
        Outcome::Unwritten => report.unwritten += 1,
        Outcome::WrongAnswer => report.wrong_answers += 1,
    }
    if !matches!(outcome, Outcome::Served | Outcome::Refused) {
        let label = match outcome {
            Outcome::Cut => "violation: cut",
            Outcome::WrongAnswer => "violation: wrong answer",
            _ => "note",
        };
        let since_stop_us =
            stop.map(|stop| exchange.sent_us.cast_signed() - stop.from_us.cast_signed());
        let detail = detail.trim_end();
        let after_us = exchange.told_us - exchange.sent_us;
        eprintln!(
            "{label}: {outcome:?} {detail}, sent {since_stop_us:?} us after SIGTERM, ended after \
             {after_us} us; stop {stop:?}; {exchange:?}"
        );
    }
    let told = match &exchange.reply {
        Reply::Answer(answer) => {
            let is_closed = answer.status == http::StatusCode::REQUEST_TIMEOUT;
            report.closed_answers += usize::from(is_closed);
            classify_answer(answer)
        }
        // No process has received the request, which the records must confirm.
        _ if matches!(outcome, Outcome::AfterEnd | Outcome::Unwritten) => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Broken,
    };
    Invocation {
        request: exchange.request,
        key: exchange.key,
        fingerprint: exchange.fingerprint,
        sent_us: exchange.sent_us,
        told_us: exchange.told_us,
        told,
        detail,
    }
}
