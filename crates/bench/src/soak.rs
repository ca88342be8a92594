//! A soak: faults of all kinds that overlap, and the promises that must hold meanwhile and after.
//!
//! Real processes, harmed from outside only: by signals, by forwarders between
//! them, by what the platform's stand-in does. While it runs callers keep their
//! connections, operators write versions, and processes are stopped, paused,
//! killed and started in series that overlap. From time to time all faults end;
//! then every node must serve, and hold the version that is written then.

use crate::deployment::Vm;
use crate::error::Error;
use crate::faults::{AFTERMATH, spawn};
use crate::faults_callers::{self, Notes};
use crate::faults_history::Verdict;
use crate::options;
use crate::soak_plan::{Head, Plan};
use crate::soak_runner::Storm;
use bpaf::{Parser, construct, long};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time for which a plan has one storm: 12 s of faults and what the calm takes.
const STORM: Duration = Duration::from_secs(20);

/// What to try.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// How long.
    pub duration: Duration,
    /// VMs of each service in each zone: nine VMs for each.
    pub per_zone: usize,
    /// Whether the faults are drawn whole before the first one, with the kinds that only plans have.
    pub planned: bool,
    /// A plan to play in place of one that is drawn.
    pub plan: Option<PathBuf>,
    /// Where the plan that is played is written.
    pub write_plan: Option<PathBuf>,
    /// How often.
    pub repeat: usize,
    /// Runs side by side.
    pub jobs: usize,
    /// Whether each run takes the next seed.
    pub next_seeds: bool,
    /// Whether faults are left out of the plan as long as it fails.
    pub shrink: bool,
    /// Where the logs go when something is wrong.
    pub keep: Option<PathBuf>,
}

/// What came of it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seed of all that was drawn.
    pub seed: u64,
    /// What the check of the histories found.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Faults that were put in, graceful stops included.
    pub faults_injected: usize,
    /// Times that all faults had ended and the fleet was looked at.
    pub calms: usize,
    /// Calms in which some node did not serve in time.
    pub not_served: usize,
    /// Calms in which a version was not in force everywhere in time.
    pub not_in_force: usize,
    /// Views older than the one before that nodes were offered.
    pub reverts: u64,
    /// Nodes that ended by themselves.
    pub ended_by_themselves: usize,
    /// Stops that did not end within their limit.
    pub stops_late: usize,
    /// Sockets that nodes held half closed 2 s after a calm.
    pub half_closed: usize,
    /// Runs that began over 2 s after their backend server's farewell was answered.
    pub late_runs: usize,
    /// Kinds of calls that nodes still held when nobody called any more.
    pub unended: usize,
    /// Runs of deadly requests later than 3 s after the third crash, beyond three of each.
    pub deadly_runs: usize,
    /// Requests of other callers that were refused as deadly ones are.
    pub innocents_held: usize,
}

impl Report {
    /// Tells whether nothing was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let found = &self.verdict;
        let wrong = found.double_runs + found.false_not_run + found.mixed_answers;
        let wrong = wrong + self.not_served + self.not_in_force + self.ended_by_themselves;
        let left = self.stops_late + self.half_closed + self.late_runs + self.unended;
        let deadly = self.deadly_runs + self.innocents_held;
        wrong + left + deadly == 0 && self.reverts == 0
    }
}

/// Reads what to try from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let seed = options::parse_seed();
    let per_zone = long("per-zone")
        .help("VMs of each of three services in each of three zones")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=12).contains(count), "between 1 and 12")
        .fallback(1)
        .display_fallback();
    let keep = long("keep")
        .help("Folder that the logs of all processes are copied to when something is wrong")
        .argument::<PathBuf>("FOLDER")
        .optional();
    let duration = options::parse_seconds(60);
    let planned = long("planned")
        .help("Draw all faults before the first one, with the kinds that only plans have")
        .switch();
    let plan = long("plan")
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
        keep,
        planned,
        plan,
        write_plan,
        repeat,
        jobs,
        next_seeds,
        shrink,
        duration
    })
}

impl Options {
    /// Gives the plan to play, if the faults are not drawn as time goes by.
    ///
    /// # Errors
    ///
    /// When its file can't be read.
    pub fn find_plan(&self) -> Result<Option<Plan>, Error> {
        if let Some(file) = &self.plan {
            return Plan::open(file).map(Some);
        }
        let storms = self.duration.div_duration_f64(STORM).round().max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some storms, and at least one"
        )]
        let head = Head {
            seed: self.seed,
            per_zone: self.per_zone,
            storms: storms as usize,
        };
        Ok(self.planned.then(|| Plan::draw(head)))
    }
}

/// Starts the fleet, harms it while callers call, and checks what must hold.
///
/// # Errors
///
/// When a program can't be started, the fleet doesn't come to serve at first, or the
/// plan can't be read.
pub async fn run(options: Options) -> Result<Report, Error> {
    let plan = options.find_plan()?;
    if let Some((plan, file)) = plan.as_ref().zip(options.write_plan.as_ref()) {
        plan.write(file)?;
    }
    let head = plan.as_ref().map(|plan| plan.head);
    let seed = head.map_or(options.seed, |head| head.seed);
    let target = spawn(head.map_or(options.per_zone, |head| head.per_zone)).await?;
    let notes = Notes::default();
    let end = Instant::now() + options.duration;
    let addresses: Vec<_> = target
        .deployment
        .vms
        .iter()
        .map(Vm::callers_address)
        .collect();
    let ends = Arc::new(AtomicBool::new(false));
    let is_planned = plan.is_some();
    let goes_on = {
        let ends = Arc::clone(&ends);
        move || !ends.load(Ordering::Relaxed) && (is_planned || Instant::now() < end)
    };
    let mut callers = faults_callers::spawn(seed, &addresses, goes_on.clone(), &notes);
    let mut storm = Storm::new(seed, target);
    let ended = match &plan {
        Some(plan) => {
            eprint!("{}", plan.to_lines()?);
            callers.extend(faults_callers::spawn_unreading(seed, &addresses, &goes_on));
            storm.play(plan).await
        }
        None => storm.run_until(end).await,
    };
    ends.store(is_planned || ended.is_err(), Ordering::Relaxed);
    faults_callers::join(callers).await?;
    tokio::time::sleep(AFTERMATH).await;
    let report = match ended {
        Ok(()) => storm.report(seed, &notes).await,
        Err(error) => Err(error),
    };
    let is_clean = report.as_ref().is_ok_and(Report::is_clean);
    if let Some(folder) = options.keep.filter(|_| !is_clean) {
        copy_files(storm.target.deployment.folder(), &folder)?;
    }
    report
}

/// Copies the files of a folder, which has no folders in it.
fn copy_files(from: &Path, to: &Path) -> Result<(), Error> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}
