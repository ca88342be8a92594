//! Soak test: overlapping faults of all kinds, and the guarantees that must hold during them and
//! afterwards.
//!
//! Faults are injected into real processes from outside only: by signals, by forwarders between
//! the processes and by the platform stand-in. Meanwhile callers send calls over persistent
//! connections, operators propose versions, and processes are stopped, paused, killed and
//! started in overlapping sequences. Such a period is a storm. After a storm comes a calm, a period
//! without faults: every node must then serve, and must put a newly proposed version into force.

use crate::deployment::{Vm, send_fault};
use crate::error::Error;
use crate::faults::{LATE_EFFECT_WAIT, spawn};
use crate::faults_callers::{self, InvocationLog};
use crate::faults_history::CheckResult;
use crate::options;
use crate::pipelining_callers;
use crate::soak_plan::{Plan, PlanHeader};
use crate::soak_runner::SoakRunner;
use bpaf::{Parser, construct, long};
use serde::Serialize;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Assumed duration of a storm with the calm after it, to compute the number of storms in a plan:
/// 12 s for the storm, and the rest for the calm.
const STORM_AND_CALM_DURATION: Duration = Duration::from_secs(20);

/// Settings of the nodes, in the section `limits`: decisions that are off by default.
const SETTINGS: [&str; 4] = [
    "pipelined_calls = 8",
    "pipelined_calls_total = 64",
    "nested_calls = first",
    "server_load = use",
];

/// Loads that the backend servers report in turn, until their processes are replaced: none that is
/// true, and some that can't be read.
const REPORTED_LOADS: [&str; 5] = [
    "0,0,6,100",
    "6,24,6,250",
    "0,0,6,1",
    "-1,nan,6,",
    "4294967296,0,6,9999999",
];

/// Options of the soak test.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of the command line"
)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the soak test; a plan from a file has a duration of its own.
    pub duration: Duration,
    /// Number of VMs of each service in each availability zone. With three services and three zones,
    /// the fleet has nine times as many VMs.
    pub per_zone: usize,
    /// Whether to generate a plan with all faults before the first fault; such a plan includes
    /// kinds of faults that are not chosen during a run.
    pub planned: bool,
    /// Whether backend servers also report limits and departures, in a plan that is generated.
    pub reports: bool,
    /// File of a plan to play instead of generating faults.
    pub plan_file: Option<PathBuf>,
    /// File to write the plan to.
    pub write_plan: Option<PathBuf>,
    /// Number of runs.
    pub repeat: usize,
    /// Number of concurrent runs.
    pub jobs: usize,
    /// Whether each run uses the seed after that of the run before; otherwise all use the same
    /// seed.
    pub next_seeds: bool,
    /// Whether to shrink the plan: to remove events from the plan as long as it still fails.
    pub shrink: bool,
    /// Folder to copy the logs to after a violation or an error.
    pub keep_folder: Option<PathBuf>,
}

/// Results of the soak test.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seed of all random choices.
    pub seed: u64,
    /// Result of the check of the histories.
    #[serde(flatten)]
    pub check_result: CheckResult,
    /// Number of injected faults, including graceful stops.
    pub faults_injected: usize,
    /// Number of calms: times that all faults were ended and the fleet was checked.
    pub calms: usize,
    /// Number of calms in which some node didn't serve in time.
    pub not_served: usize,
    /// Number of calms in which the proposed version didn't come into force on all nodes in time.
    pub not_in_force: usize,
    /// Number of nodes that have refused to replace their view with an older view, summed over the
    /// calms.
    pub reverts: u64,
    /// Number of unexpected exits of nodes.
    pub ended_by_themselves: usize,
    /// Number of graceful stops that exceeded their time limit.
    pub stops_late: usize,
    /// Number of half-closed sockets that nodes still held 2 s after the other checks of a calm.
    pub half_closed: usize,
    /// Number of runs that began more than 2 s after the leave request of their backend server had
    /// been acknowledged.
    pub late_runs: usize,
    /// Number of kinds of calls that a node still held after the last caller had ended, summed over
    /// the nodes.
    pub unended: usize,
    /// Number of runs of deadly requests that began more than 3 s after the third crash; three such
    /// runs of each request are allowed and not counted.
    pub deadly_runs: usize,
    /// Number of requests of other callers that were refused because nodes mistook them for deadly
    /// requests.
    pub innocents_held: usize,
}

impl Report {
    /// Returns whether there was no violation.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let found = &self.check_result;
        let wrong = found.double_runs + found.false_not_run + found.mixed_answers;
        let wrong = wrong + self.not_served + self.not_in_force + self.ended_by_themselves;
        let left = self.stops_late + self.half_closed + self.late_runs + self.unended;
        let deadly = self.deadly_runs + self.innocents_held;
        wrong + left + deadly == 0 && self.reverts == 0
    }
}

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let seed = options::parse_seed();
    let per_zone = long("per-zone")
        .help("VMs of each of three services in each of three zones")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=12).contains(count), "between 1 and 12")
        .fallback(1)
        .display_fallback();
    let keep_folder = long("keep")
        .help("Folder that the logs of all processes are copied to when something is wrong")
        .argument::<PathBuf>("FOLDER")
        .optional();
    let duration = options::parse_seconds(60);
    let planned = long("planned")
        .help("Draw all faults before the first one, with the kinds that only plans have")
        .switch();
    let reports = long("reports")
        .help("With --planned, also have backend servers report limits and departures")
        .switch();
    let plan_file = long("plan")
        .help("Play the plan in this file; seed, size and length are its own")
        .argument::<PathBuf>("FILE")
        .optional();
    let write_plan = long("write-plan")
        .help("Write the plan that is played, or what is left of it by --shrink, to this file")
        .argument::<PathBuf>("FILE")
        .optional();
    let repeat = long("repeat")
        .help("Run so often, each in a process of its own, and count what was violated")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=1_000).contains(count), "between 1 and 1000")
        .fallback(1)
        .display_fallback();
    let jobs = long("jobs")
        .help("Runs side by side")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=12).contains(count), "between 1 and 12")
        .fallback(1)
        .display_fallback();
    let next_seeds = long("next-seeds")
        .help("Each run of --repeat takes the next seed")
        .switch();
    let shrink = long("shrink")
        .help("Leave faults out of the plan as long as one of --repeat runs of it fails")
        .switch();
    construct!(Options {
        seed,
        per_zone,
        keep_folder,
        planned,
        reports,
        plan_file,
        write_plan,
        repeat,
        jobs,
        next_seeds,
        shrink,
        duration
    })
}

impl Options {
    /// Returns the plan to play, or `None` if the faults are to be chosen during the run.
    ///
    /// # Errors
    ///
    /// When the plan's file can't be read.
    pub fn find_plan(&self) -> Result<Option<Plan>, Error> {
        if let Some(file) = &self.plan_file {
            return Plan::read(file).map(Some);
        }
        let storms = self
            .duration
            .div_duration_f64(STORM_AND_CALM_DURATION)
            .round()
            .max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number that is at least 1"
        )]
        let header = PlanHeader {
            seed: self.seed,
            per_zone: self.per_zone,
            storms: storms as usize,
            reports: self.reports,
        };
        Ok(self.planned.then(|| Plan::generate(header)))
    }
}

/// Starts the fleet, injects faults under load, and checks the guarantees.
///
/// # Errors
///
/// When a program can't be started, the new fleet doesn't serve in time, or the plan can't be
/// read.
pub async fn run(options: Options) -> Result<Report, Error> {
    let plan = options.find_plan()?;
    if let Some((plan, file)) = plan.as_ref().zip(options.write_plan.as_ref()) {
        plan.write(file)?;
    }
    let header = plan.as_ref().map(|plan| plan.header);
    let seed = header.map_or(options.seed, |header| header.seed);
    let settings = SETTINGS.map(|line| ("limits".to_owned(), line.to_owned()));
    let target = spawn(
        header.map_or(options.per_zone, |header| header.per_zone),
        &settings,
    )
    .await?;
    for (index, vm) in target.deployment.vms.iter().enumerate() {
        let load = REPORTED_LOADS[index % REPORTED_LOADS.len()];
        let body = json!({ "headers": [["bluebellpick-load", load]] }).to_string();
        send_fault(vm.backend_address(), &body).await?;
    }
    let log = InvocationLog::default();
    let end = Instant::now() + options.duration;
    let addresses: Vec<_> = target
        .deployment
        .vms
        .iter()
        .map(Vm::callers_address)
        .collect();
    let is_ending = Arc::new(AtomicBool::new(false));
    let is_planned = plan.is_some();
    let keep_running = {
        let is_ending = Arc::clone(&is_ending);
        move || !is_ending.load(Ordering::Relaxed) && (is_planned || Instant::now() < end)
    };
    let mut callers = faults_callers::spawn(seed, &addresses, keep_running.clone(), &log);
    callers.extend(pipelining_callers::spawn(
        seed,
        &addresses,
        &keep_running,
        &log,
    ));
    let mut runner = SoakRunner::new(seed, target);
    let ended = match &plan {
        Some(plan) => {
            eprint!("{}", plan.to_lines()?);
            callers.extend(faults_callers::spawn_stalled_readers(
                seed,
                &addresses,
                &keep_running,
            ));
            runner.run_plan(plan).await
        }
        None => runner.run_until(end).await,
    };
    is_ending.store(is_planned || ended.is_err(), Ordering::Relaxed);
    faults_callers::join(callers).await?;
    tokio::time::sleep(LATE_EFFECT_WAIT).await;
    let report = match ended {
        Ok(()) => runner.report(seed, &log).await,
        Err(error) => Err(error),
    };
    let is_clean = report.as_ref().is_ok_and(Report::is_clean);
    if let Some(folder) = options.keep_folder.filter(|_| !is_clean) {
        copy_files(runner.target.deployment.folder(), &folder)?;
    }
    report
}

/// Copies the files of a folder, without its subfolders.
pub(crate) fn copy_files(from: &Path, to: &Path) -> Result<(), Error> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}
