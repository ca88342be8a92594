//! Calls under faults: real processes, seeded faults, and a check of the histories.

use crate::deployment::{Deployment, Vm, put_route, put_service, service_vms};
use crate::error::Error;
use crate::faults_callers::{self, Notes, TIMEOUT_MS, now_us};
use crate::faults_forward::Forwarder;
use crate::faults_history::{History, Span, Verdict, check};
use crate::faults_inject::{Fault, Stop, Target, record_arguments, record_file};
use crate::options;
use bpaf::{Parser, construct, long};
use config::{Class, Repeat};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Services of the fleet: bookings that must run at most once, and look-ups.
pub(crate) const SERVICES: [&str; 3] = ["claims", "jobs", "records"];

/// How long faults are in force, in milliseconds.
pub(crate) const FAULT_MS: std::ops::Range<u64> = 300..2_500;

/// Pause in which calls that met a fault come to their end.
pub(crate) const SETTLE: Duration = Duration::from_millis(TIMEOUT_MS + 1_500);

/// Pause after each restart of a rolling one: a node and its backend server are back well within it.
const ROLLING_PAUSE: Duration = Duration::from_millis(1_500);

/// Time in which late requests and repeats could still do harm before the records are read.
pub(crate) const AFTERMATH: Duration = Duration::from_secs(5);

/// Longest wait for the fleet to serve.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Port of the forwarder in front of a VM's node.
const FORWARDER_PORT: u16 = 7006;

/// What to try.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// How long.
    pub duration: Duration,
    /// Whether nothing is done but to restart every node and backend server, one after the other.
    pub rolling: bool,
}

/// What came of it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seed of all that was drawn.
    pub seed: u64,
    /// What the check found.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Faults that were put in, graceful stops included.
    pub faults_injected: usize,
}

impl Report {
    /// Tells whether nothing was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let found = &self.verdict;
        found.double_runs + found.false_not_run + found.mixed_answers + found.cut_in_flight == 0
    }
}

/// Reads what to try from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let seed = options::parse_seed();
    let duration = options::parse_seconds(60);
    let rolling = long("rolling")
        .help("Restart every node and backend server in turn instead, which must cut nothing off")
        .switch();
    construct!(Options {
        seed,
        duration,
        rolling
    })
}

/// Starts the fleet, harms it while callers call, and checks what they and the backend servers noted.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't come to serve.
pub async fn run(options: Options) -> Result<Report, Error> {
    let mut target = spawn(1).await?;
    let notes = Notes::default();
    let end = Instant::now() + options.duration;
    let addresses: Vec<_> = target
        .deployment
        .vms
        .iter()
        .map(Vm::callers_address)
        .collect();
    let callers = faults_callers::spawn(
        options.seed,
        &addresses,
        move || Instant::now() < end,
        &notes,
    );
    let mut harm = Harm::new(options.seed);
    while Instant::now() + SETTLE < end {
        if options.rolling {
            harm.restart_all(&mut target, end).await?;
        } else {
            harm.go_on(&mut target).await?;
        }
    }
    faults_callers::join(callers).await?;
    tokio::time::sleep(AFTERMATH).await;
    let history = History {
        invocations: notes.take(),
        records: target.read_records()?,
        graceful: harm.graceful,
    };
    let verdict = check(&history);
    for line in verdict.violations.iter().chain(&verdict.unsettled) {
        eprintln!("{line}");
    }
    Ok(Report {
        seed: options.seed,
        verdict,
        faults_injected: harm.injected,
    })
}

/// Starts a fleet with so many VMs of each service a zone, a forwarder in front of each node.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't come to serve.
pub async fn spawn(per_zone: usize) -> Result<Target, Error> {
    let mut deployment = Deployment::spawn(Vec::new(), &[]).await?;
    let mut forwarders = Vec::new();
    let mut files = Vec::new();
    for (index, mut plan) in service_vms(&SERVICES, per_zone).into_iter().enumerate() {
        let file = record_file(deployment.folder(), index, 0);
        plan.backend_args = record_arguments(&file);
        let front = SocketAddr::new(deployment.next_ip(), FORWARDER_PORT);
        let advertised = format!("advertised = {front}");
        plan.settings.push(("listen".to_owned(), advertised));
        deployment.add(plan)?;
        let nodes = deployment.vms[index].nodes_address();
        forwarders.push(Forwarder::spawn(front, nodes).await?);
        files.push(file);
    }
    serve_all(&deployment).await?;
    Ok(Target::new(deployment, forwarders, files))
}

/// Proposes the services with their routes, and waits until every node serves them.
pub(crate) async fn serve_all(deployment: &Deployment) -> Result<(), Error> {
    let mut changes = Vec::new();
    for (name, class, repeat) in [
        ("claims", Class::Commit, Repeat::Never),
        ("jobs", Class::Commit, Repeat::Never),
        ("records", Class::Lookup, Repeat::ByMethod),
    ] {
        changes.push(put_service(name));
        changes.push(put_route(&format!("/{name}"), name, class, repeat));
    }
    deployment.propose(&changes, 0)?;
    for name in SERVICES {
        let path = format!("/{name}/ready");
        deployment.wait_served(&path, START_LIMIT).await?;
    }
    Ok(())
}

/// Draws the faults, one round after the other.
struct Harm {
    rng: SmallRng,
    rounds: usize,
    injected: usize,
    graceful: Vec<Span>,
}

impl Harm {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            rounds: 0,
            injected: 0,
            graceful: Vec::new(),
        }
    }

    /// Restarts every node and backend server in turn, until `end`.
    async fn restart_all(&mut self, target: &mut Target, end: Instant) -> Result<(), Error> {
        let from_us = now_us();
        for vm in 0..target.deployment.vms.len() {
            for stop in [Stop::Node(vm), Stop::Server(vm)] {
                if Instant::now() + SETTLE > end {
                    break;
                }
                self.stop_one(target, stop).await?;
                tokio::time::sleep(ROLLING_PAUSE).await;
            }
        }
        tokio::time::sleep(SETTLE).await;
        self.note_graceful(from_us);
        Ok(())
    }

    async fn stop_one(&mut self, target: &mut Target, stop: Stop) -> Result<(), Error> {
        eprintln!("{} stop {stop:?}", now_us());
        target.stop(stop).await?;
        self.injected += 1;
        Ok(())
    }

    fn note_graceful(&mut self, from_us: u64) {
        let to_us = now_us();
        self.graceful.push(Span { from_us, to_us });
    }

    /// Every third round stops something gracefully, the others do harm.
    async fn go_on(&mut self, target: &mut Target) -> Result<(), Error> {
        self.rounds += 1;
        if self.rounds.is_multiple_of(3) {
            // A silent connection that nobody has used since is a fault that goes on.
            target.forwarders.iter().for_each(Forwarder::sever);
            tokio::time::sleep(SETTLE).await;
            self.stop_some(target).await
        } else {
            self.harm_some(target).await
        }
    }

    async fn harm_some(&mut self, target: &mut Target) -> Result<(), Error> {
        let vms = target.deployment.vms.len();
        let mut faults = vec![Fault::draw(&mut self.rng, vms)];
        if self.rng.random_bool(0.5) {
            let second = Fault::draw(&mut self.rng, vms);
            faults.extend(Some(second).filter(|second| second.goes_with(faults[0])));
        }
        for fault in &faults {
            eprintln!("{} inject {fault:?}", now_us());
            target.inject(*fault).await?;
            self.injected += 1;
        }
        let wait = Duration::from_millis(self.rng.random_range(FAULT_MS));
        tokio::time::sleep(wait).await;
        for fault in faults {
            target.recover(fault).await?;
        }
        let pause = Duration::from_millis(self.rng.random_range(FAULT_MS) / 4);
        tokio::time::sleep(pause).await;
        Ok(())
    }

    /// Stops a node and a backend server, one after the other, and lets the calls of then end.
    async fn stop_some(&mut self, target: &mut Target) -> Result<(), Error> {
        let vms = target.deployment.vms.len();
        let from_us = now_us();
        for stop in [
            Stop::Node(self.rng.random_range(0..vms)),
            Stop::Server(self.rng.random_range(0..vms)),
        ] {
            self.stop_one(target, stop).await?;
            tokio::time::sleep(SETTLE).await;
        }
        self.note_graceful(from_us);
        Ok(())
    }
}
