//! Injects seeded faults into a fleet of real processes under load and checks the histories
//! of its callers and backend servers.

use crate::deployment::{Deployment, Vm, put_route, put_service, service_vms};
use crate::error::Error;
use crate::faults_callers::{self, CALL_TIMEOUT_MS, InvocationLog, now_us};
use crate::faults_forward::Forwarder;
use crate::faults_history::{CheckResult, History, Span, check};
use crate::faults_inject::{Fault, Stop, Target, record_args, record_file};
use crate::options;
use bpaf::{Parser, construct, long};
use config::{Class, Repeat};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Services of the fleet: `claims` and `jobs` receive bookings, which must run at most once;
/// `records` receives look-ups.
pub(crate) const SERVICES: [&str; 3] = ["claims", "jobs", "records"];

/// Duration of a fault, in milliseconds.
pub(crate) const FAULT_DURATION_MS: std::ops::Range<u64> = 300..2_500;

/// Pause after a fault; long enough for the calls that it affected to end.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(CALL_TIMEOUT_MS + 1_500);

/// Pause after each restart of a rolling restart: a node and the backend server on its VM are up
/// again well within this time.
const ROLLING_PAUSE: Duration = Duration::from_millis(1_500);

/// Wait between the end of the callers and the reading of the records, so that the records include
/// violations by late requests and retries.
pub(crate) const LATE_EFFECT_WAIT: Duration = Duration::from_secs(5);

/// Time limit for the fleet to start serving.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Port of the forwarder in front of a VM's node.
const FORWARDER_PORT: u16 = 7006;

/// Options of the experiment.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the load.
    pub duration: Duration,
    /// Whether to restart every node and backend server in turn instead of injecting faults.
    pub rolling_restart: bool,
}

/// Results of the experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seed of all random choices.
    pub seed: u64,
    /// Result of the check of the histories.
    #[serde(flatten)]
    pub check_result: CheckResult,
    /// Number of injected faults, including graceful stops.
    pub faults_injected: usize,
}

impl Report {
    /// Returns whether there was no violation.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let found = &self.check_result;
        found.double_runs + found.false_not_run + found.mixed_answers + found.cut_in_flight == 0
    }
}

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let seed = options::parse_seed();
    let duration = options::parse_seconds(60);
    let rolling_restart = long("rolling")
        .help("Restart every node and backend server in turn instead, which must cut nothing off")
        .switch();
    construct!(Options {
        seed,
        duration,
        rolling_restart
    })
}

/// Starts the fleet, injects faults under load, and checks what the callers and the backend
/// servers recorded.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't serve in time.
pub async fn run(options: Options) -> Result<Report, Error> {
    let mut target = spawn(1, &[]).await?;
    let log = InvocationLog::default();
    let end = Instant::now() + options.duration;
    let addresses: Vec<_> = target
        .deployment
        .vms
        .iter()
        .map(Vm::callers_address)
        .collect();
    let callers =
        faults_callers::spawn(options.seed, &addresses, move || Instant::now() < end, &log);
    let mut injector = FaultInjector::new(options.seed);
    while Instant::now() + SETTLE_TIME < end {
        if options.rolling_restart {
            injector.restart_all(&mut target, end).await?;
        } else {
            injector.run_round(&mut target).await?;
        }
    }
    faults_callers::join(callers).await?;
    tokio::time::sleep(LATE_EFFECT_WAIT).await;
    let history = History {
        invocations: log.take(),
        records: target.read_records()?,
        graceful_spans: injector.graceful_spans,
    };
    let check_result = check(&history);
    for line in check_result
        .violations
        .iter()
        .chain(&check_result.unsettled)
    {
        eprintln!("{line}");
    }
    Ok(Report {
        seed: options.seed,
        check_result,
        faults_injected: injector.injected,
    })
}

/// Starts a fleet with `per_zone` VMs of each service in each availability zone, and a
/// forwarder in front of each node. `extra_settings` are further lines of the nodes' settings, as
/// pairs of section and line.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't serve in time.
pub async fn spawn(per_zone: usize, extra_settings: &[(String, String)]) -> Result<Target, Error> {
    let mut deployment = Deployment::spawn(Vec::new(), &[]).await?;
    let mut forwarders = Vec::new();
    let mut files = Vec::new();
    for (index, mut spec) in service_vms(&SERVICES, per_zone).into_iter().enumerate() {
        let file = record_file(deployment.folder(), index, 0);
        spec.backend_args = record_args(&file);
        let front = SocketAddr::new(deployment.next_ip(), FORWARDER_PORT);
        let advertised = format!("advertised = {front}");
        spec.extra_settings.push(("listen".to_owned(), advertised));
        spec.extra_settings.extend_from_slice(extra_settings);
        deployment.add(spec)?;
        let nodes = deployment.vms[index].nodes_address();
        forwarders.push(Forwarder::spawn(front, nodes).await?);
        files.push(file);
    }
    deploy_services(&deployment).await?;
    Ok(Target::new(deployment, forwarders, files))
}

/// Proposes the services with their routes and waits until every node serves them.
pub(crate) async fn deploy_services(deployment: &Deployment) -> Result<(), Error> {
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
        deployment.wait_served(&path, START_TIMEOUT).await?;
    }
    Ok(())
}

/// Injects random faults, in rounds.
struct FaultInjector {
    rng: SmallRng,
    rounds: usize,
    injected: usize,
    graceful_spans: Vec<Span>,
}

impl FaultInjector {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            rounds: 0,
            injected: 0,
            graceful_spans: Vec::new(),
        }
    }

    /// Restarts every node and backend server once, in turn; skips those for which no time is left
    /// before `end`.
    async fn restart_all(&mut self, target: &mut Target, end: Instant) -> Result<(), Error> {
        let from_us = now_us();
        for vm in 0..target.deployment.vms.len() {
            for stop in [Stop::Node(vm), Stop::Server(vm)] {
                if Instant::now() + SETTLE_TIME > end {
                    break;
                }
                self.restart_one(target, stop).await?;
                tokio::time::sleep(ROLLING_PAUSE).await;
            }
        }
        tokio::time::sleep(SETTLE_TIME).await;
        self.record_graceful_span(from_us);
        Ok(())
    }

    async fn restart_one(&mut self, target: &mut Target, stop: Stop) -> Result<(), Error> {
        eprintln!("{} stop {stop:?}", now_us());
        target.restart_gracefully(stop).await?;
        self.injected += 1;
        Ok(())
    }

    fn record_graceful_span(&mut self, from_us: u64) {
        let to_us = now_us();
        self.graceful_spans.push(Span { from_us, to_us });
    }

    /// Runs one round: every third round restarts processes gracefully, the other rounds inject
    /// faults.
    async fn run_round(&mut self, target: &mut Target) -> Result<(), Error> {
        self.rounds += 1;
        if self.rounds.is_multiple_of(3) {
            // A connection that drops bytes stays faulty until it is closed. A faulty connection
            // that has been idle since its fault would affect the calls of this round.
            target.forwarders.iter().for_each(Forwarder::close_lossy);
            tokio::time::sleep(SETTLE_TIME).await;
            self.restart_some(target).await
        } else {
            self.inject_some(target).await
        }
    }

    async fn inject_some(&mut self, target: &mut Target) -> Result<(), Error> {
        let vms = target.deployment.vms.len();
        let mut faults = vec![Fault::sample(&mut self.rng, vms)];
        if self.rng.random_bool(0.5) {
            let second = Fault::sample(&mut self.rng, vms);
            faults.extend(Some(second).filter(|second| second.is_compatible_with(faults[0])));
        }
        for fault in &faults {
            eprintln!("{} inject {fault:?}", now_us());
            target.inject(*fault).await?;
            self.injected += 1;
        }
        let wait = Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS));
        tokio::time::sleep(wait).await;
        for fault in faults {
            target.recover(fault).await?;
        }
        let pause = Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS) / 4);
        tokio::time::sleep(pause).await;
        Ok(())
    }

    /// Restarts a random node and then a random backend server gracefully, with a pause after each
    /// restart until the calls in flight have ended.
    async fn restart_some(&mut self, target: &mut Target) -> Result<(), Error> {
        let vms = target.deployment.vms.len();
        let from_us = now_us();
        for stop in [
            Stop::Node(self.rng.random_range(0..vms)),
            Stop::Server(self.rng.random_range(0..vms)),
        ] {
            self.restart_one(target, stop).await?;
            tokio::time::sleep(SETTLE_TIME).await;
        }
        self.record_graceful_span(from_us);
        Ok(())
    }
}
