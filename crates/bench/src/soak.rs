//! A soak: faults of all kinds that overlap, and the promises that must hold meanwhile and after.
//!
//! Real processes, harmed from outside only: by signals, by forwarders between
//! them, by what the platform's stand-in does. While it runs callers keep their
//! connections, operators write versions, and processes are stopped, paused,
//! killed and started in series that overlap. From time to time all faults end;
//! then every node must serve, and hold the version that is written then.

use crate::deployment::{Vm, put_service};
use crate::error::Error;
use crate::faults::{AFTERMATH, FAULT_MS, SETTLE, spawn};
use crate::faults_callers::{self, Notes, now_us};
use crate::faults_forward::Forwarder;
use crate::faults_history::{History, Verdict, check};
use crate::faults_inject::{Fault, Stop, Target};
use crate::node::{read_metrics, read_status};
use crate::options;
use bpaf::{Parser, construct, long};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Pause between the beginnings of two faults, in milliseconds: with faults of
/// up to 2.5 s some three are in force at once.
const GAP_MS: std::ops::Range<u64> = 100..900;

/// One in so many events is a graceful stop in place of a fault.
const STOPS: u32 = 6;

/// One in so many events kills all nodes at once.
const HERDS: u32 = 40;

/// Time between two calms.
const STORM: Duration = Duration::from_secs(12);

/// Longest time after all faults until every node serves, as callers are promised.
const SERVED: Duration = Duration::from_secs(15);

/// Longest time until a version is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

/// Tries of a write against other operators.
const WRITES: u32 = 5;

/// Time between two looks at the nodes.
const POLL: Duration = Duration::from_millis(50);

/// What to try.
#[derive(Debug, Clone)]
pub struct Plot {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// How long.
    pub duration: Duration,
    /// VMs of each service in each zone: nine VMs for each.
    pub per_zone: usize,
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
}

impl Report {
    /// Tells whether nothing was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let found = &self.verdict;
        let wrong = found.double_runs + found.false_not_run + found.mixed_answers;
        let wrong = wrong + self.not_served + self.not_in_force + self.ended_by_themselves;
        wrong == 0 && self.reverts == 0
    }
}

/// Reads what to try from the command line.
#[must_use]
pub fn parse() -> impl Parser<Plot> {
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
    construct!(Plot {
        seed,
        per_zone,
        keep,
        duration
    })
}

/// Starts the fleet, harms it while callers call, and checks what must hold.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't come to serve at first.
pub async fn run(plot: Plot) -> Result<Report, Error> {
    let target = spawn(plot.per_zone).await?;
    let notes = Notes::default();
    let end = Instant::now() + plot.duration;
    let addresses: Vec<_> = target.deployment.vms.iter().map(Vm::callers).collect();
    let callers = faults_callers::spawn(plot.seed, &addresses, end, &notes);
    let mut storm = Storm::new(plot.seed, target);
    let ended = storm.run_until(end).await;
    faults_callers::join(callers).await?;
    tokio::time::sleep(AFTERMATH).await;
    let report = ended.and_then(|()| storm.report(plot.seed, &notes));
    let is_clean = report.as_ref().is_ok_and(Report::is_clean);
    if let Some(folder) = plot.keep.filter(|_| !is_clean) {
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

/// The faults in force, and what the calms between them showed.
struct Storm {
    rng: SmallRng,
    target: Target,
    in_force: Vec<(Instant, Fault)>,
    injected: usize,
    calms: usize,
    not_served: usize,
    not_in_force: usize,
    reverts: u64,
    ended: usize,
}

impl Storm {
    fn new(seed: u64, target: Target) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            target,
            in_force: Vec::new(),
            injected: 0,
            calms: 0,
            not_served: 0,
            not_in_force: 0,
            reverts: 0,
            ended: 0,
        }
    }

    async fn run_until(&mut self, end: Instant) -> Result<(), Error> {
        while Instant::now() + SETTLE + IN_FORCE < end {
            self.rage(end.min(Instant::now() + STORM)).await?;
            self.calm().await?;
        }
        Ok(())
    }

    /// Begins and ends faults until `until`.
    async fn rage(&mut self, until: Instant) -> Result<(), Error> {
        while Instant::now() < until {
            self.end_due(Instant::now()).await?;
            self.revive()?;
            if self.rng.random_ratio(1, HERDS) {
                self.kill_all().await?;
            } else if self.rng.random_ratio(1, STOPS) {
                self.stop_one().await?;
            } else {
                self.begin_one().await?;
            }
            let gap = Duration::from_millis(self.rng.random_range(GAP_MS));
            tokio::time::sleep(gap).await;
        }
        Ok(())
    }

    /// Starts nodes again that have ended by themselves, as a platform does.
    ///
    /// A SIGHUP that meets a process before its first line of code ends it, and
    /// no code can help that; any other end is a violation.
    fn revive(&mut self) -> Result<(), Error> {
        for (index, vm) in self.target.deployment.vms.iter_mut().enumerate() {
            let kill = Fault::KillNode(index);
            let is_killed = self.in_force.iter().any(|(_, fault)| *fault == kill);
            if is_killed || vm.node.is_running() {
                continue;
            }
            if !vm.node.was_ended_by(Signal::HUP) {
                eprintln!("violation: {} ended by itself", vm.plan.name);
                self.ended += 1;
            }
            vm.restart_node()?;
        }
        Ok(())
    }

    async fn begin_one(&mut self) -> Result<(), Error> {
        let fault = Fault::draw(&mut self.rng, self.target.deployment.vms.len());
        let lasts = Duration::from_millis(self.rng.random_range(FAULT_MS));
        if !self
            .in_force
            .iter()
            .all(|(_, other)| fault.goes_with(*other))
        {
            return Ok(());
        }
        eprintln!("{} inject {fault:?}", now_us());
        self.target.inject(fault).await?;
        self.injected += 1;
        self.in_force.push((Instant::now() + lasts, fault));
        Ok(())
    }

    /// Kills the nodes of all VMs that nothing else is done to.
    async fn kill_all(&mut self) -> Result<(), Error> {
        let until = Instant::now() + Duration::from_millis(FAULT_MS.start);
        for vm in 0..self.target.deployment.vms.len() {
            let fault = Fault::KillNode(vm);
            if self
                .in_force
                .iter()
                .all(|(_, other)| fault.goes_with(*other))
            {
                self.target.inject(fault).await?;
                self.in_force.push((until, fault));
            }
        }
        eprintln!("{} kill all", now_us());
        self.injected += 1;
        Ok(())
    }

    /// Stops a process gracefully, on a VM that nothing else is done to, and starts it again.
    async fn stop_one(&mut self) -> Result<(), Error> {
        let vm = self.rng.random_range(0..self.target.deployment.vms.len());
        let is_free = |(_, other): &(Instant, Fault)| Fault::KillNode(vm).goes_with(*other);
        if !self.in_force.iter().all(is_free) {
            return Ok(());
        }
        let stop = if self.rng.random_bool(0.5) {
            Stop::Node(vm)
        } else {
            Stop::Server(vm)
        };
        eprintln!("{} stop {stop:?}", now_us());
        self.injected += 1;
        self.target.stop(stop).await
    }

    async fn end_due(&mut self, now: Instant) -> Result<(), Error> {
        let due: Vec<_> = self.in_force.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, fault) in due {
            self.target.recover(fault).await?;
        }
        Ok(())
    }

    /// Ends all faults, and looks whether every node serves and takes a version in time.
    async fn calm(&mut self) -> Result<(), Error> {
        for (_, fault) in std::mem::take(&mut self.in_force) {
            self.target.recover(fault).await?;
        }
        self.target.forwarders.iter().for_each(Forwarder::sever);
        self.revive()?;
        self.calms += 1;
        eprintln!("{} calm", now_us());
        let deployment = &self.target.deployment;
        if let Err(error) = deployment.wait_served("/records/calm", SERVED).await {
            eprintln!("violation: {error}");
            self.not_served += 1;
        }
        let version = self.write_version()?;
        let written = Instant::now();
        while !self.holds(version).await {
            if written.elapsed() > IN_FORCE {
                eprintln!("violation: version {version} is not in force everywhere");
                self.not_in_force += 1;
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        self.count_reverts().await;
        Ok(())
    }

    /// Writes a version as an operator does, and gives its number.
    ///
    /// Two operators may still be racing, and win against this one.
    fn write_version(&self) -> Result<u64, Error> {
        let deployment = &self.target.deployment;
        let change = put_service(&format!("calm-{}", self.calms));
        let mut outcome = Err(Error::Unexpected("never tried".to_owned()));
        for _ in 0..WRITES {
            let last = self.read_last()?;
            outcome = deployment.propose(std::slice::from_ref(&change), last);
            if outcome.is_ok() {
                return Ok(last + 1);
            }
        }
        outcome.map(|_| 0)
    }

    /// Reads the number of the last version.
    fn read_last(&self) -> Result<u64, Error> {
        let deployment = &self.target.deployment;
        let platform = deployment.platform_address.to_string();
        let arguments = ["log", "--limit=1", "--json", "--platform", &platform];
        let (_, output) = deployment.operate(&arguments, SERVED)?;
        let unexpected = || Error::Unexpected(format!("log: {output}"));
        let listed: serde_json::Value =
            serde_json::from_str(&output).map_err(|_no_json| unexpected())?;
        listed[0]["version"].as_u64().ok_or_else(unexpected)
    }

    /// Tells whether every node serves by a version, or a later one.
    async fn holds(&self, version: u64) -> bool {
        for vm in &self.target.deployment.vms {
            let held = read_status(vm).await.map(|status| status.version.0);
            if !held.is_ok_and(|held| held >= version) {
                return false;
            }
        }
        true
    }

    async fn count_reverts(&mut self) {
        for vm in &self.target.deployment.vms {
            if let Ok(metrics) = read_metrics(vm).await {
                let reverts = metrics.get("bluebellpick_config_reverts_total");
                if reverts > 0.0 {
                    eprintln!("violation: {} was offered an older view", vm.plan.name);
                    self.reverts += 1;
                }
            }
        }
    }

    fn report(&self, seed: u64, notes: &Notes) -> Result<Report, Error> {
        let history = History {
            invocations: notes.take(),
            records: self.target.read_records()?,
            // Faults overlap all the while: what a stop alone may cut is for `faults` and `rolling`.
            graceful: Vec::new(),
        };
        let verdict = check(&history);
        for line in &verdict.violations {
            eprintln!("violation: {line}");
        }
        Ok(Report {
            seed,
            verdict,
            faults_injected: self.injected,
            calms: self.calms,
            not_served: self.not_served,
            not_in_force: self.not_in_force,
            reverts: self.reverts,
            ended_by_themselves: self.ended,
        })
    }
}
