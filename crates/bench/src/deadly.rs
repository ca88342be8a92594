//! What a request that crashes backend servers costs all other requests.
//!
//! Callers look different things up at all nodes at a steady rate. After a while a deadly
//! request is sent as well, four times a second at all nodes in turn, or at all at once;
//! servers that it crashes are started again 1.5 s later.

use crate::caller::{Call, Caller};
use crate::deployment::{Deployment, Vm, put_route, put_service, service_vms};
use crate::error::Error;
use crate::faults_callers::now_us;
use crate::faults_inject::{Target, record_arguments, record_file};
use crate::options;
use crate::soak_deadly::{DOWN, Kind, Series, count_after_third, is_held, read_deadly_runs};
use bpaf::{Parser, construct, long};
use config::{Class, Repeat};
use serde::Serialize;
use standin::record::Outcome;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Load before the first deadly request.
const BEFORE: Duration = Duration::from_secs(3);

/// Load after the last one.
const AFTER: Duration = Duration::from_secs(3);

/// Time that a caller gives a call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the fleet to serve.
const START_LIMIT: Duration = Duration::from_mins(1);

/// Time between two looks at the backend servers.
const POLL: Duration = Duration::from_millis(10);

/// The one service.
const SERVICE: &str = "records";

/// Microseconds of a second.
const SECOND_US: u64 = 1_000_000;

/// What to try.
#[derive(Debug, Clone)]
pub struct Options {
    /// VMs in each of three zones, all of one service.
    pub per_zone: usize,
    /// Calls a second that are not deadly, at all nodes together.
    pub rate: u32,
    /// What the deadly request is.
    pub kind: Kind,
    /// How long it comes again and again.
    pub duration: Duration,
    /// Folder of the programs to run; this one's own by default.
    pub programs: PathBuf,
}

/// What came of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// VMs.
    pub vms: usize,
    /// Backend servers that ended.
    pub crashes: usize,
    /// Runs of the deadly request later than 3 s after it had crashed the third server.
    pub runs_after_bound: usize,
    /// Share of the other calls that were served before it came.
    pub served_before: f64,
    /// The same while it came.
    pub served_during: f64,
    /// The same afterwards.
    pub served_after: f64,
    /// Other calls that were refused as deadly ones are.
    pub innocents_held: usize,
    /// Time from the third crash until 99 in 100 other calls were served in each second, in
    /// seconds; none if that did not come.
    pub recovered_s: Option<u64>,
}

/// One call that is not deadly.
#[derive(Debug, Clone, Copy)]
struct Lookup {
    sent_us: u64,
    is_served: bool,
    is_held: bool,
}

type Notes = Arc<Mutex<Vec<Lookup>>>;

/// Reads what to try from the command line.
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
        .fallback(Kind::Lookup);
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
/// When a program can't be started, or the fleet doesn't come to serve.
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
    let (begin, end) = (start + BEFORE, start + BEFORE + options.duration);
    let stop = end + AFTER;
    let notes = Notes::default();
    let load = tokio::spawn(send_load(callers, options.rate, stop, Arc::clone(&notes)));
    supervise(&mut target, begin).await?;
    let begin_us = now_us();
    let series = Series {
        kind: options.kind,
        name: "one".to_owned(),
    };
    let deadly = tokio::spawn(series.send(addresses, end));
    supervise(&mut target, end).await?;
    let end_us = now_us();
    supervise(&mut target, stop).await?;
    for task in [deadly, load] {
        task.await
            .map_err(|error| Error::Unexpected(error.to_string()))?;
    }
    let lookups = notes.lock().unwrap_or_else(PoisonError::into_inner).clone();
    report(&target, &lookups, begin_us, end_us)
}

async fn spawn(per_zone: usize, programs: &Path) -> Result<Target, Error> {
    let mut deployment = Deployment::spawn_from(programs, Vec::new(), &[]).await?;
    let mut files = Vec::new();
    for (index, mut plan) in service_vms(&[SERVICE], per_zone).into_iter().enumerate() {
        let file = record_file(deployment.folder(), index, 0);
        plan.backend_args = record_arguments(&file);
        files.push(file);
        deployment.add(plan)?;
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
        .wait_served("/records/ready", START_LIMIT)
        .await?;
    Ok(Target::new(deployment, Vec::new(), files))
}

/// Starts crashed backend servers again until `end`.
async fn supervise(target: &mut Target, end: Instant) -> Result<(), Error> {
    let mut down: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < end || !down.is_empty() {
        let now = Instant::now();
        for vm in 0..target.deployment.vms.len() {
            let is_known = down.iter().any(|(_, known)| *known == vm);
            if !is_known && !target.server(vm)?.is_running() {
                down.push((now + DOWN, vm));
            }
        }
        for (_, vm) in down.extract_if(.., |(at, _)| *at <= now) {
            target.restart_server(vm)?;
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

/// Sends calls at a steady rate, each for something else, at all nodes in turn.
async fn send_load(callers: Vec<Caller>, rate: u32, stop: Instant, notes: Notes) {
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    let mut calls = JoinSet::new();
    for (number, caller) in (0..).zip(callers.iter().cycle()) {
        ticks.tick().await;
        if Instant::now() >= stop {
            break;
        }
        let (caller, notes) = (caller.clone(), Arc::clone(&notes));
        calls.spawn(async move {
            let call = Call::get(&format!("/records/{number}"));
            let sent_us = now_us();
            let answer = caller.send_within(&call, TIMEOUT).await;
            let lookup = Lookup {
                sent_us,
                is_served: answer.as_ref().is_ok_and(|one| one.status.is_success()),
                is_held: answer.is_ok_and(|one| is_held(&String::from_utf8_lossy(&one.body))),
            };
            let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
            notes.push(lookup);
        });
    }
    while calls.join_next().await.is_some() {}
}

fn report(
    target: &Target,
    lookups: &[Lookup],
    begin_us: u64,
    end_us: u64,
) -> Result<Report, Error> {
    let deadly = read_deadly_runs(target)?;
    let runs = deadly.into_values().next().unwrap_or_default();
    let crashed = runs.iter().filter(|run| run.outcome == Outcome::Crashed);
    let mut ends: Vec<_> = crashed.filter_map(|run| run.end_us).collect();
    ends.sort_unstable();
    let third = ends.get(2).copied();
    Ok(Report {
        vms: target.deployment.vms.len(),
        crashes: ends.len(),
        runs_after_bound: count_after_third(&runs),
        served_before: share(lookups, 0, begin_us),
        served_during: share(lookups, begin_us, end_us),
        served_after: share(lookups, end_us, u64::MAX),
        innocents_held: lookups.iter().filter(|one| one.is_held).count(),
        recovered_s: third.and_then(|third| find_recovery(lookups, third)),
    })
}

/// Gives the share of the calls sent in a span that were served; all of none.
fn share(lookups: &[Lookup], from_us: u64, to_us: u64) -> f64 {
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

/// Gives the seconds after `from_us` from which on 99 in 100 calls of each second were served.
fn find_recovery(lookups: &[Lookup], from_us: u64) -> Option<u64> {
    let last_us = lookups.iter().map(|one| one.sent_us).max()?;
    let seconds = last_us.checked_sub(from_us)? / SECOND_US;
    let is_bad = |second: &u64| {
        let start = from_us + second * SECOND_US;
        share(lookups, start, start + SECOND_US) < 0.99
    };
    let recovered = (0..seconds).rfind(is_bad).map_or(0, |bad| bad + 1);
    (recovered < seconds).then_some(recovered)
}
