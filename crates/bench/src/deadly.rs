//! Measures how a deadly request affects all other requests. A deadly request crashes the backend
//! server on which it runs.
//!
//! Callers send look-ups with distinct paths to all nodes at a steady rate. After 3 s, a deadly
//! request is sent as well, four times a second: to the nodes in turn, or to all nodes at once.
//! Crashed backend servers are started again after 1.5 s.

use crate::caller::{Call, Caller};
use crate::deployment::{Deployment, Vm, put_route, put_service, service_vms};
use crate::error::Error;
use crate::faults_callers::now_us;
use crate::faults_inject::{Target, record_args, record_file};
use crate::options;
use crate::soak_deadly::{
    DeadlyKind, DeadlySeries, RESTART_DELAY, count_runs_after_bound, is_held, read_deadly_runs,
};
use bpaf::{Parser, construct, long};
use config::{Class, Repeat};
use serde::Serialize;
use standin::record::Outcome;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Duration of the load before the first deadly request.
const LOAD_BEFORE: Duration = Duration::from_secs(3);

/// Duration of the load after the last deadly request.
const LOAD_AFTER: Duration = Duration::from_secs(3);

/// Time limit of a look-up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for the fleet to start serving.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which the backend servers' processes are checked for crashes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Name of the only service.
const SERVICE: &str = "records";

/// Microseconds per second.
const US_PER_SECOND: u64 = 1_000_000;

/// Options of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of VMs in each of three availability zones; all VMs are of one service.
    pub per_zone: usize,
    /// Rate of the look-ups that are not deadly, in calls per second over all nodes.
    pub rate: u32,
    /// Kind of the deadly request.
    pub kind: DeadlyKind,
    /// Time for which the deadly request is repeated.
    pub duration: Duration,
    /// Folder of the programs to run; empty for the folder of this program.
    pub programs: PathBuf,
}

/// Results of the experiment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of VMs.
    pub vms: usize,
    /// Runs of the deadly request that crashed a backend server.
    pub crashes: usize,
    /// Runs of the deadly request that began more than 3 s after the third crash.
    pub runs_after_bound: usize,
    /// Share of the look-ups that succeeded before the first deadly request.
    pub served_before: f64,
    /// Share of the look-ups that succeeded while the deadly request was repeated.
    pub served_during: f64,
    /// Share of the look-ups that succeeded after the last deadly request.
    pub served_after: f64,
    /// Look-ups that were refused because nodes mistook them for the deadly request.
    pub innocents_held: usize,
    /// Time after the third crash from which at least 99% of the look-ups succeeded in every
    /// second, in seconds; none if that was not reached.
    pub recovered_s: Option<u64>,
}

/// Result of a look-up, which is not deadly.
#[derive(Debug, Clone, Copy)]
struct LookupResult {
    sent_us: u64,
    is_served: bool,
    is_held: bool,
}

type LookupLog = Arc<Mutex<Vec<LookupResult>>>;

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let per_zone = long("per-zone")
        .help("VMs in each of three zones, all of one service")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=30).contains(count), "between 1 and 30")
        .fallback(3)
        .display_fallback();
    let rate = long("rate")
        .help("Other calls a second, at all nodes together")
        .argument::<u32>("RATE")
        .guard(|rate| (1..=2_000).contains(rate), "between 1 and 2000")
        .fallback(200)
        .display_fallback();
    let kind = long("kind")
        .help("What the deadly request is: lookup, burst, booking or keyed")
        .argument::<String>("KIND")
        .parse(|kind| serde_json::from_value(kind.into()))
        .fallback(DeadlyKind::Lookup);
    let duration = options::parse_seconds(16);
    let programs = long("programs")
        .help("Folder of the programs, such as those of another build")
        .argument::<PathBuf>("FOLDER")
        .fallback(PathBuf::new());
    construct!(Options {
        per_zone,
        rate,
        kind,
        duration,
        programs
    })
}

/// Runs the experiment.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't serve in time.
pub async fn run(options: Options) -> Result<Report, Error> {
    let mut target = spawn(options.per_zone, &options.programs).await?;
    let addresses: Vec<_> = target
        .deployment
        .vms
        .iter()
        .map(Vm::callers_address)
        .collect();
    let callers: Vec<_> = addresses
        .iter()
        .map(|address| Caller::new(*address))
        .collect();
    let start = Instant::now();
    let (deadly_start, deadly_end) = (start + LOAD_BEFORE, start + LOAD_BEFORE + options.duration);
    let load_end = deadly_end + LOAD_AFTER;
    let log = LookupLog::default();
    let load = tokio::spawn(send_load(callers, options.rate, load_end, Arc::clone(&log)));
    supervise(&mut target, deadly_start).await?;
    let deadly_start_us = now_us();
    let series = DeadlySeries {
        kind: options.kind,
        name: "one".to_owned(),
    };
    let deadly = tokio::spawn(series.send(addresses, deadly_end));
    supervise(&mut target, deadly_end).await?;
    let deadly_end_us = now_us();
    supervise(&mut target, load_end).await?;
    for task in [deadly, load] {
        task.await
            .map_err(|error| Error::Unexpected(error.to_string()))?;
    }
    let lookups = log.lock().unwrap_or_else(PoisonError::into_inner).clone();
    report(&target, &lookups, deadly_start_us, deadly_end_us)
}

async fn spawn(per_zone: usize, programs: &Path) -> Result<Target, Error> {
    let mut deployment = Deployment::spawn_from(programs, Vec::new(), &[]).await?;
    let mut files = Vec::new();
    for (index, mut spec) in service_vms(&[SERVICE], per_zone).into_iter().enumerate() {
        let file = record_file(deployment.folder(), index, 0);
        spec.backend_args = record_args(&file);
        files.push(file);
        deployment.add(spec)?;
    }
    let mut changes = vec![put_service(SERVICE)];
    for (prefix, class, repeat) in [
        ("/records", Class::Lookup, Repeat::ByMethod),
        ("/jobs", Class::Commit, Repeat::Never),
        ("/claims", Class::Commit, Repeat::Never),
    ] {
        changes.push(put_route(prefix, SERVICE, class, repeat));
    }
    deployment.propose(&changes, 0)?;
    deployment
        .wait_served("/records/ready", START_TIMEOUT)
        .await?;
    Ok(Target::new(deployment, Vec::new(), files))
}

/// Restarts crashed backend servers until `end`, and then until all that crashed run again.
async fn supervise(target: &mut Target, end: Instant) -> Result<(), Error> {
    let mut pending_restarts: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < end || !pending_restarts.is_empty() {
        let now = Instant::now();
        for vm in 0..target.deployment.vms.len() {
            let is_pending = pending_restarts.iter().any(|(_, other)| *other == vm);
            if !is_pending && !target.server(vm)?.is_running() {
                pending_restarts.push((now + RESTART_DELAY, vm));
            }
        }
        for (_, vm) in pending_restarts.extract_if(.., |(at, _)| *at <= now) {
            target.restart_server(vm)?;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Sends look-ups at a steady rate to the nodes in turn, until `end`. Each look-up has a path of
/// its own.
async fn send_load(callers: Vec<Caller>, rate: u32, end: Instant, log: LookupLog) {
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    let mut calls = JoinSet::new();
    for (number, caller) in (0..).zip(callers.iter().cycle()) {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let (caller, log) = (caller.clone(), Arc::clone(&log));
        calls.spawn(async move {
            let call = Call::get(&format!("/records/{number}"));
            let sent_us = now_us();
            let answer = caller.send_within(&call, CALL_TIMEOUT).await;
            let lookup = LookupResult {
                sent_us,
                is_served: answer.as_ref().is_ok_and(|one| one.status.is_success()),
                is_held: answer.is_ok_and(|one| is_held(&String::from_utf8_lossy(&one.body))),
            };
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.push(lookup);
        });
    }
    while calls.join_next().await.is_some() {}
}

fn report(
    target: &Target,
    lookups: &[LookupResult],
    deadly_start_us: u64,
    deadly_end_us: u64,
) -> Result<Report, Error> {
    let deadly = read_deadly_runs(target)?;
    let runs = deadly.into_values().next().unwrap_or_default();
    let crashed = runs.iter().filter(|run| run.outcome == Outcome::Crashed);
    let mut crash_times: Vec<_> = crashed.filter_map(|run| run.end_us).collect();
    crash_times.sort_unstable();
    let third_crash = crash_times.get(2).copied();
    Ok(Report {
        vms: target.deployment.vms.len(),
        crashes: crash_times.len(),
        runs_after_bound: count_runs_after_bound(&runs),
        served_before: served_share(lookups, 0, deadly_start_us),
        served_during: served_share(lookups, deadly_start_us, deadly_end_us),
        served_after: served_share(lookups, deadly_end_us, u64::MAX),
        innocents_held: lookups.iter().filter(|one| one.is_held).count(),
        recovered_s: third_crash.and_then(|crash_us| find_recovery(lookups, crash_us)),
    })
}

/// Returns the share of the look-ups sent in a time span that succeeded; 1 if no look-up was sent
/// then.
fn served_share(lookups: &[LookupResult], from_us: u64, to_us: u64) -> f64 {
    let sent = lookups
        .iter()
        .filter(|one| (from_us..to_us).contains(&one.sent_us));
    let (count, served) = sent.fold((0, 0), |(count, served), one| {
        (count + 1, served + u32::from(one.is_served))
    });
    if count == 0 {
        return 1.0;
    }
    f64::from(served) / f64::from(count)
}

/// Returns the number of seconds after `from_us` from which at least 99% of the look-ups in every
/// second succeeded; none if that was not reached.
fn find_recovery(lookups: &[LookupResult], from_us: u64) -> Option<u64> {
    let last_us = lookups.iter().map(|one| one.sent_us).max()?;
    let seconds = last_us.checked_sub(from_us)? / US_PER_SECOND;
    let is_bad = |second: &u64| {
        let start = from_us + second * US_PER_SECOND;
        served_share(lookups, start, start + US_PER_SECOND) < 0.99
    };
    let recovered = (0..seconds).rfind(is_bad).map_or(0, |bad| bad + 1);
    (recovered < seconds).then_some(recovered)
}
