//! Checks that versions come into force in time while the platform turns nodes away.
//!
//! Each node reaches the platform through a gate of its own. In rounds, a random set of gates turns
//! its nodes away in a random way; meanwhile roots and other nodes are stopped, killed and frozen,
//! and versions are written. Each call is checked for the version that it was handled by.

use crate::caller::{Call, Caller};
use crate::denials_check::{History, MOVED_ROUTE, SERVICES, route_of, service_of};
use crate::denials_gate::{self, Denial, Gate};
use crate::deployment::{Deployment, encode_patch, put_route, send_fault, service_vms};
use crate::error::Error;
use crate::faults::deploy_services;
use crate::faults_callers::now_us;
use crate::options;
use crate::process::Process;
use crate::soak::copy_files;
use bpaf::{Parser, construct, long};
use config::{Class, Repeat};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde::Serialize;
use serde_json::json;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Time in which a version has to be in force.
pub(crate) const APPLY_TIME: Duration = Duration::from_secs(2);

/// Interval of the calls to each node.
const CALL_INTERVAL: Duration = Duration::from_millis(80);

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest wait for a node that stops gracefully.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Longest wait for the answer to a proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Range of the length of a round, in milliseconds.
const ROUND_MS: Range<u64> = 6_000..14_000;

/// Range of the pause after a round, in milliseconds.
const PAUSE_MS: Range<u64> = 500..5_000;

/// Range of the time between two steps of a round, in milliseconds.
const STEP_MS: Range<u64> = 200..1_200;

/// Range of the time for which a node is frozen, in milliseconds.
const FREEZE_MS: Range<u64> = 1_000..6_000;

/// Range of the time from the end of a node's process to its start, in milliseconds.
const START_DELAY_MS: Range<u64> = 0..800;

/// Options of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the load.
    pub duration: Duration,
    /// Number of VMs of each service in each availability zone.
    pub per_zone: usize,
    /// Folder to copy the logs to after a violation.
    pub keep_folder: Option<PathBuf>,
}

/// Results of the experiment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of calls.
    pub calls: usize,
    /// Calls to nodes that were bound by a version.
    pub bound: usize,
    /// Bound calls that were answered with success.
    pub answered: usize,
    /// Bound calls that were handled by an older version.
    pub stale: usize,
    /// Versions written.
    pub versions: usize,
    /// Nodes that the platform turned away.
    pub denials: usize,
    /// Nodes that were stopped or killed.
    pub restarts: usize,
    /// Nodes that were frozen.
    pub freezes: usize,
}

impl Report {
    /// Returns whether bound calls were answered, and none by an older version.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.answered > 0 && self.stale == 0
    }
}

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let seed = options::parse_seed();
    let duration = options::parse_seconds(40);
    let per_zone = long("per-zone")
        .help("VMs of each of three services in each of three zones")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=12).contains(count), "between 1 and 12")
        .fallback(2)
        .display_fallback();
    let keep_folder = long("keep")
        .help("Folder to copy the logs to after a violation")
        .argument::<PathBuf>("FOLDER")
        .optional();
    construct!(Options {
        seed,
        duration,
        per_zone,
        keep_folder
    })
}

/// Turns nodes of a fleet away from the platform, and checks the versions that calls show.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't serve in time.
pub async fn run(options: Options) -> Result<Report, Error> {
    let mut deployment = Deployment::spawn(Vec::new(), &[]).await?;
    let mut gates = Vec::new();
    for mut spec in service_vms(&SERVICES, options.per_zone) {
        let gate = denials_gate::bind(deployment.platform_address).await?;
        spec.platform_address = Some(gate.address);
        gates.push(gate);
        deployment.add(spec)?;
    }
    deploy_services(&deployment).await?;
    for vm in &deployment.vms {
        let service = vm.spec.service.as_deref().unwrap_or_default();
        let faults = json!({ "headers": [["x-service", service]] });
        send_fault(vm.backend_address(), &faults.to_string()).await?;
    }
    let history = History::new(deployment.vms.len(), Instant::now());
    let history = Arc::new(Mutex::new(history));
    let end = Instant::now() + options.duration;
    let mut pacers = JoinSet::new();
    for (node, vm) in deployment.vms.iter().enumerate() {
        let caller = Caller::new(vm.callers_address());
        pacers.spawn(send_calls(node, caller, Arc::clone(&history), end));
    }
    let mut runner = Runner::new(options.seed, deployment, gates, history);
    runner.run_until(end).await?;
    let mut report = runner.report;
    for counts in pacers.join_all().await {
        report.calls += counts.calls;
        report.bound += counts.bound;
        report.answered += counts.answered;
        report.stale += counts.stale;
    }
    if let Some(folder) = options.keep_folder.filter(|_| !report.is_clean()) {
        copy_files(runner.deployment.folder(), &folder)?;
    }
    Ok(report)
}

/// What became of the calls to a node.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    calls: usize,
    bound: usize,
    answered: usize,
    stale: usize,
}

/// Sends calls to a node at a fixed rate until `end`, whether it runs or not.
async fn send_calls(
    node: usize,
    caller: Caller,
    history: Arc<Mutex<History>>,
    end: Instant,
) -> Counts {
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(CALL_INTERVAL);
    for number in 0_u64.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let is_moved = number % 2 == 0;
        calls.spawn(send_call(
            node,
            caller.clone(),
            Arc::clone(&history),
            is_moved,
        ));
    }
    let mut counts = Counts::default();
    for one in calls.join_all().await {
        counts.calls += one.calls;
        counts.bound += one.bound;
        counts.answered += one.answered;
        counts.stale += one.stale;
    }
    counts
}

async fn send_call(
    node: usize,
    caller: Caller,
    history: Arc<Mutex<History>>,
    is_moved: bool,
) -> Counts {
    let sent = Instant::now();
    let bound = history.lock().bound(node, sent);
    let mut counts = Counts {
        calls: 1,
        ..Counts::default()
    };
    let path = match bound {
        Some(version) if !is_moved => route_of(version),
        _ => MOVED_ROUTE.to_owned(),
    };
    let answer = caller.send_within(&Call::get(&path), CALL_TIMEOUT).await;
    let (Ok(answer), Some(bound)) = (answer, bound) else {
        return counts;
    };
    let history = history.lock();
    if !history.is_undisturbed_since(node, sent) {
        return counts;
    }
    counts.bound = 1;
    counts.answered = usize::from(answer.status.is_success());
    let service = answer.header("x-service").filter(|_| is_moved);
    let is_stale = History::is_route_missing(answer.status)
        || service.is_some_and(|service| history.is_former_service(service, bound));
    if is_stale {
        let status = answer.status.as_u16();
        let service = service.unwrap_or_default();
        eprintln!(
            "violation: {} node {node}, {path} got {status} {service}, bound by version {bound}",
            now_us()
        );
        counts.stale = 1;
    }
    counts
}

/// A node whose process is being stopped, or is to be started or resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Stop { give_up_at: Instant },
    Start { at: Instant },
    Resume { at: Instant },
}

/// Turns nodes away, disturbs nodes and writes versions.
struct Runner {
    rng: SmallRng,
    deployment: Deployment,
    gates: Vec<Gate>,
    history: Arc<Mutex<History>>,
    denied: Vec<bool>,
    pending: Vec<Option<Pending>>,
    proposal: Option<(Process, Instant)>,
    version: u64,
    report: Report,
}

impl Runner {
    fn new(
        seed: u64,
        deployment: Deployment,
        gates: Vec<Gate>,
        history: Arc<Mutex<History>>,
    ) -> Self {
        let nodes = deployment.vms.len();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            deployment,
            gates,
            history,
            denied: vec![false; nodes],
            pending: vec![None; nodes],
            proposal: None,
            version: 1,
            report: Report {
                seed,
                ..Report::default()
            },
        }
    }

    async fn run_until(&mut self, end: Instant) -> Result<(), Error> {
        while Instant::now() < end {
            let length = Duration::from_millis(self.rng.random_range(ROUND_MS));
            let round_end = end.min(Instant::now() + length);
            self.deny_some().await;
            while Instant::now() < round_end {
                self.disturb().await?;
                let step = Duration::from_millis(self.rng.random_range(STEP_MS));
                self.advance_until(round_end.min(Instant::now() + step))
                    .await?;
            }
            eprintln!("{} all allowed", now_us());
            for node in 0..self.gates.len() {
                self.set_denial(node, None);
            }
            let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
            self.propose()?;
            self.advance_until(end.min(Instant::now() + pause)).await?;
        }
        Ok(())
    }

    /// Turns a random set of nodes away: roots, a zone, a share of all, or all.
    async fn deny_some(&mut self) {
        let roots = self.find_roots().await;
        let share = self.rng.random_range(0.2..0.8);
        let kind = self.rng.random_range(0..8);
        let zone = ["zone-1", "zone-2", "zone-3"][self.rng.random_range(0..3)];
        let denial = Denial::ALL[self.rng.random_range(0..Denial::ALL.len())];
        let is_mixed = self.rng.random_bool(0.3);
        let mut chosen = Vec::new();
        for (node, is_root) in roots.into_iter().enumerate() {
            let is_in_zone = self.deployment.vms[node].spec.zone == zone;
            let is_chosen = match kind {
                0..=1 => is_root,
                2 => is_root && is_in_zone,
                3 => is_in_zone,
                4 => !is_root && self.rng.random_bool(share),
                5 => true,
                _ => self.rng.random_bool(share),
            };
            if is_chosen {
                let other = Denial::ALL[self.rng.random_range(0..Denial::ALL.len())];
                self.set_denial(node, Some(if is_mixed { other } else { denial }));
                chosen.push(node);
            }
        }
        eprintln!("{} {denial:?}, mixed {is_mixed}: {chosen:?}", now_us());
    }

    fn set_denial(&mut self, node: usize, denial: Option<Denial>) {
        self.gates[node].set(denial);
        self.report.denials += usize::from(denial.is_some());
        self.denied[node] = denial.is_some();
        self.update_history(node);
    }

    fn update_history(&self, node: usize) {
        let is_disturbed = self.denied[node] || self.pending[node].is_some();
        let mut history = self.history.lock();
        let was_disturbed = !history.is_undisturbed_since(node, Instant::now());
        if is_disturbed != was_disturbed {
            history.set_disturbed(node, is_disturbed, Instant::now());
        }
    }

    /// Returns for each node whether it says that it is a root.
    async fn find_roots(&self) -> Vec<bool> {
        let mut roots = Vec::new();
        for vm in &self.deployment.vms {
            let caller = Caller::new(vm.operators_address());
            let status = Call::get("/v1/status");
            let answer = caller
                .send_within(&status, Duration::from_millis(200))
                .await;
            let status = answer.ok().map(|answer| answer.body);
            let status =
                status.and_then(|body| serde_json::from_slice::<status::Status>(&body).ok());
            roots.push(status.is_some_and(|status| status.distribution.path.len() == 1));
        }
        roots
    }

    /// Writes a version, or stops, kills or freezes a node.
    async fn disturb(&mut self) -> Result<(), Error> {
        let choice = self.rng.random_range(0..10);
        if choice < 6 {
            return self.propose();
        }
        let roots = self.find_roots().await;
        let wants_root = self.rng.random_bool(0.4);
        let idle = (0..roots.len()).filter(|node| self.pending[*node].is_none());
        let candidates: Vec<_> = idle.filter(|node| roots[*node] == wants_root).collect();
        if candidates.is_empty() {
            return Ok(());
        }
        let node = candidates[self.rng.random_range(0..candidates.len())];
        let now = Instant::now();
        let process = &mut self.deployment.vms[node].node;
        let pending = if choice == 6 {
            self.report.freezes += 1;
            process.signal(Signal::STOP)?;
            let length = Duration::from_millis(self.rng.random_range(FREEZE_MS));
            Pending::Resume { at: now + length }
        } else if choice == 7 {
            self.report.restarts += 1;
            process.kill()?;
            let delay = Duration::from_millis(self.rng.random_range(START_DELAY_MS));
            Pending::Start { at: now + delay }
        } else {
            self.report.restarts += 1;
            process.signal(Signal::TERM)?;
            let give_up_at = now + STOP_TIMEOUT;
            Pending::Stop { give_up_at }
        };
        eprintln!("{} node {node}, root {wants_root}: {pending:?}", now_us());
        self.pending[node] = Some(pending);
        self.update_history(node);
        Ok(())
    }

    /// Starts a proposal of the next version, unless one is still under way.
    fn propose(&mut self) -> Result<(), Error> {
        if self.proposal.is_some() {
            return Ok(());
        }
        let next = self.version + 1;
        let lookup = |prefix: &str, service: &str| {
            put_route(prefix, service, Class::Lookup, Repeat::ByMethod)
        };
        let changes = [
            lookup(MOVED_ROUTE, service_of(next)),
            lookup(&route_of(next), "records"),
        ];
        let file = self
            .deployment
            .folder()
            .join(format!("version-{next}.jsonl"));
        std::fs::write(&file, encode_patch(&changes)?)?;
        let log = file.with_extension("log");
        let (file, base) = (file.display().to_string(), self.version.to_string());
        let platform = self.deployment.platform_address.to_string();
        let arguments = ["propose", &file, "--base", &base, "--platform", &platform];
        self.history.lock().record_sent(next);
        let process = Process::spawn("bluebellpick", arguments, &log)?;
        self.proposal = Some((process, Instant::now()));
        Ok(())
    }

    /// Follows the nodes that stop, start or are frozen, and the proposal, until `until`.
    async fn advance_until(&mut self, until: Instant) -> Result<(), Error> {
        loop {
            let now = Instant::now();
            self.follow_proposal(now)?;
            for node in 0..self.pending.len() {
                self.follow_node(node, now)?;
            }
            if now >= until {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn follow_proposal(&mut self, now: Instant) -> Result<(), Error> {
        let Some((process, started)) = &mut self.proposal else {
            return Ok(());
        };
        if process.is_running() {
            if now > *started + PROPOSE_TIMEOUT {
                return Err(Error::Timeout("a proposal".to_owned()));
            }
            return Ok(());
        }
        if !process.wait(POLL_INTERVAL)?.success() {
            let output = std::fs::read_to_string(&process.log)?;
            return Err(Error::Unexpected(format!(
                "proposal not accepted: {output}"
            )));
        }
        self.version += 1;
        self.report.versions += 1;
        self.history.lock().record_acknowledged(self.version, now);
        self.proposal = None;
        Ok(())
    }

    fn follow_node(&mut self, node: usize, now: Instant) -> Result<(), Error> {
        let Some(pending) = self.pending[node] else {
            return Ok(());
        };
        let vm = &mut self.deployment.vms[node];
        let next = match pending {
            Pending::Stop { give_up_at } if vm.node.is_running() && now < give_up_at => {
                return Ok(());
            }
            Pending::Stop { .. } => {
                if vm.node.is_running() {
                    vm.node.kill()?;
                }
                let delay = Duration::from_millis(self.rng.random_range(START_DELAY_MS));
                Some(Pending::Start { at: now + delay })
            }
            Pending::Start { at } | Pending::Resume { at } if now < at => return Ok(()),
            Pending::Start { .. } => {
                vm.restart_node()?;
                None
            }
            Pending::Resume { .. } => {
                vm.node.signal(Signal::CONT)?;
                None
            }
        };
        self.pending[node] = next;
        self.update_history(node);
        Ok(())
    }
}
