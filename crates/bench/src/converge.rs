//! Measures how long an accepted version takes to come into force on every node, and the bytes,
//! calls to the platform, memory and CPU time that its distribution costs.
//!
//! The fleet consists of real node processes in a few availability zones, each
//! with an announced endpoint. Convergence is measured from right before the
//! proposal, so that it includes the platform's write, until the last node logs
//! that the version is in force.

use crate::converge_fault::Fault;
use crate::count::to_f64;
use crate::deployment::{Deployment, Vm, VmSpec, put_route};
use crate::error::Error;
use crate::node::{self, InstalledVersion, Metrics};
use crate::options;
use crate::proposer::{Proposer, service_name};
use crate::relay;
use bpaf::{Parser, construct, long};
use config::{Class, Repeat};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::{Duration, Instant};
use store::memory::RequestCounts;

/// Number of services that the nodes' endpoints belong to; the other services have no endpoints.
const SERVICES_WITH_ENDPOINTS: usize = 12;

/// Interval between the starts of two proposals.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(400);

/// Duration of each of these: the wait for the distribution tree to become stable, the idle
/// measurement after that wait, a platform outage, and the pause after a round of faults.
pub(crate) const PHASE_DURATION: Duration = Duration::from_secs(10);

/// Time limit for the fleet to put a version into force, for an announcement to be accepted, and
/// for all endpoints to be known.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Interval at which nodes are polled while waiting for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Options of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of node processes.
    pub nodes: usize,
    /// Number of availability zones that the nodes are spread over.
    pub zones: usize,
    /// Number of versions to propose.
    pub versions: usize,
    /// Number of services, and of routes, in the configuration.
    pub services: usize,
    /// How versions reach the nodes; the setting `distribution`: tree, whole or watch.
    pub distribution: String,
    /// Fault to inject, if any.
    pub fault: Option<Fault>,
}

/// Results of the experiment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of node processes.
    pub nodes: usize,
    /// Number of versions measured.
    pub versions: usize,
    /// Time from right before the proposal until the version is in force on a node, over all nodes
    /// and versions: median.
    pub convergence_p50_ms: f64,
    /// Time from right before the proposal until the version is in force on a node: 99th
    /// percentile.
    pub convergence_p99_ms: f64,
    /// Time from right before the proposal until the version is in force on a node: maximum, which
    /// is that of the last node for the slowest version.
    pub convergence_max_ms: f64,
    /// Mean duration of a proposal, which is a part of each convergence time.
    pub propose_mean_ms: f64,
    /// Mean size of a version's patch as JSON, in bytes.
    pub patch_bytes: f64,
    /// Control bytes received by nodes, per node and version, minus the idle traffic. Unknown if
    /// the fault kills nodes, because the counters of killed nodes are lost.
    pub control_bytes_per_node_per_version: Option<f64>,
    /// Control bytes received by nodes, per node and second, while nothing changes.
    pub idle_control_bytes_per_node_s: f64,
    /// Calls to the platform from the start of the first process until the fleet is stable.
    pub platform_calls_start: u64,
    /// Calls to the platform per second while nothing changes.
    pub platform_calls_per_s: f64,
    /// Writes to the platform per second while nothing changes.
    pub platform_writes_per_s: f64,
    /// Watches opened at the platform per second while nothing changes.
    pub platform_watches_per_s: f64,
    /// Largest resident memory of a node, in MB.
    pub node_rss_mb_max: f64,
    /// Mean CPU use of a node over the whole experiment, in per cent of a core.
    pub node_cpu_pct_mean: f64,
    /// Number of times that a VM put a lower version into force after a higher version.
    pub reverts: usize,
    /// Number of nodes whose version or routes are not those of the last accepted version, or that
    /// count a revert.
    pub partial: usize,
    /// Routes in force at a node that knows no endpoints of their services, summed over the nodes.
    pub dangling: usize,
    /// Number of fault rounds in which a node did not put the version into force in time, plus the
    /// number of pairs of node and version for which the log of the node has no line.
    pub not_converged: usize,
}

/// A running experiment: the options, the fleet and what has been found so far.
pub(crate) struct Experiment {
    pub(crate) options: Options,
    pub(crate) deployment: Deployment,
    proposer: Proposer,
    pub(crate) platform_relay: relay::Relay,
    pub(crate) not_converged: usize,
}

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let nodes = long("nodes")
        .help("Node processes")
        .argument::<usize>("COUNT")
        .guard(|nodes| (3..=240).contains(nodes), "between 3 and 240 nodes")
        .fallback(12)
        .display_fallback();
    let zones = long("zones")
        .help("Availability zones that they are spread over")
        .argument::<usize>("COUNT")
        .guard(|zones| (1..=20).contains(zones), "between 1 and 20 zones")
        .fallback(3)
        .display_fallback();
    let versions = long("versions")
        .help("Versions to propose, when nothing goes wrong")
        .argument::<usize>("COUNT")
        .fallback(20)
        .display_fallback();
    let services = options::parse_services();
    let distribution = long("distribution")
        .help("How versions come: tree, or one of the baselines whole and watch")
        .argument::<String>("WAY")
        .fallback("tree".to_owned())
        .display_fallback();
    let fault = long("fault")
        .help("platform-outage, roots-killed, partition or herd-restart")
        .argument::<Fault>("FAULT")
        .optional();
    construct!(Options {
        nodes,
        zones,
        versions,
        services,
        distribution,
        fault
    })
}

/// Starts the fleet, proposes the versions and returns the measurements.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't become ready.
pub async fn run(options: Options) -> Result<Report, Error> {
    let started = Instant::now();
    let mut experiment = start(options).await?;
    experiment.wait_version().await?;
    experiment.wait_endpoints().await?;
    tokio::time::sleep(PHASE_DURATION).await;
    let (calls_before, received_before) = (
        experiment.count_calls().await?,
        experiment.sum_received().await?,
    );
    tokio::time::sleep(PHASE_DURATION).await;
    let calls_after = experiment.count_calls().await?;
    let idle = experiment.sum_received().await? - received_before;
    let rate = |count: u64| to_f64(count) / PHASE_DURATION.as_secs_f64();
    let nodes = to_f64(experiment.options.nodes);
    let mut report = Report {
        nodes: experiment.options.nodes,
        platform_calls_start: sum_calls(calls_before),
        platform_calls_per_s: rate(sum_calls(calls_after) - sum_calls(calls_before)),
        platform_writes_per_s: rate(calls_after.writes - calls_before.writes),
        platform_watches_per_s: rate(calls_after.watches - calls_before.watches),
        idle_control_bytes_per_node_s: idle / PHASE_DURATION.as_secs_f64() / nodes,
        ..Report::default()
    };
    let (received_before, start) = (experiment.sum_received().await?, Instant::now());
    match experiment.options.fault {
        None => experiment.propose_all().await?,
        Some(fault) => experiment.run_fault_rounds(fault).await?,
    }
    let received = experiment.sum_received().await? - received_before;
    let idle = report.idle_control_bytes_per_node_s * nodes * start.elapsed().as_secs_f64();
    let versions = to_f64(experiment.proposer.proposal_times.len().max(1));
    let keeps_counters = !experiment.options.fault.is_some_and(Fault::kills_nodes);
    report.control_bytes_per_node_per_version =
        keeps_counters.then(|| (received - idle) / nodes / versions);
    report.patch_bytes = to_f64(experiment.proposer.patch_bytes) / versions;
    report.versions = experiment.proposer.proposal_times.len();
    experiment.report_times(&mut report)?;
    experiment
        .report_nodes(&mut report, started.elapsed())
        .await?;
    Ok(report)
}

async fn start(options: Options) -> Result<Experiment, Error> {
    let mut deployment = Deployment::spawn(Vec::new(), &[]).await?;
    let platform_relay = relay::bind(deployment.platform_address).await?;
    for index in 0..options.nodes {
        let zone = format!("zone-{}", index % options.zones + 1);
        let mut spec = VmSpec::new(&format!("vm-{index}"), &zone, None);
        let line = format!("distribution = {}", options.distribution);
        spec.extra_settings.push(("fleet".to_owned(), line));
        if index % options.zones == options.zones - 1 {
            spec.platform_address = Some(platform_relay.address);
        }
        deployment.add(spec)?;
    }
    let mut experiment = Experiment {
        proposer: Proposer::open(deployment.platform_address),
        options,
        deployment,
        platform_relay,
        not_converged: 0,
    };
    experiment
        .proposer
        .propose_services(experiment.options.services)
        .await?;
    for vm in 0..experiment.options.nodes {
        experiment.announce(vm).await?;
    }
    Ok(experiment)
}

impl Experiment {
    pub(crate) async fn announce(&self, index: usize) -> Result<(), Error> {
        let service = service_name(index % SERVICES_WITH_ENDPOINTS.min(self.options.services));
        let started = Instant::now();
        loop {
            match node::announce(&self.deployment.vms[index], &service).await {
                Err(error) if started.elapsed() > WAIT_TIMEOUT => return Err(error),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
                Ok(()) => return Ok(()),
            }
        }
    }

    /// Proposes a version in which one route has another target service, as an operator would.
    pub(crate) async fn propose_next(&mut self) -> Result<(), Error> {
        let index = self.proposer.proposal_times.len() % self.options.services;
        let other =
            service_name((index + 1 + self.proposer.proposal_times.len()) % self.options.services);
        let prefix = format!("/{}", service_name(index));
        let change = put_route(&prefix, &other, Class::Refresh, Repeat::ByMethod);
        self.proposer.propose(vec![change]).await
    }

    async fn propose_all(&mut self) -> Result<(), Error> {
        for _ in 0..self.options.versions {
            let started = Instant::now();
            self.propose_next().await?;
            tokio::time::sleep(PROPOSAL_INTERVAL.saturating_sub(started.elapsed())).await;
        }
        self.wait_version().await
    }

    /// Waits until all running nodes have put the last accepted version into force.
    pub(crate) async fn wait_version(&mut self) -> Result<(), Error> {
        let started = Instant::now();
        for vm in &mut self.deployment.vms {
            while vm.node.is_running() {
                let installed = node::read_installed(&vm.node.log)?;
                if installed
                    .last()
                    .is_some_and(|last| last.version >= self.proposer.version)
                {
                    break;
                }
                if started.elapsed() > WAIT_TIMEOUT {
                    let what = format!(
                        "waiting for version {} at {}",
                        self.proposer.version, vm.spec.name
                    );
                    return Err(Error::Timeout(what));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until all nodes know all endpoints.
    async fn wait_endpoints(&self) -> Result<(), Error> {
        let started = Instant::now();
        for vm in &self.deployment.vms {
            loop {
                let status = node::read_status(vm).await?;
                if status.endpoints.values().sum::<usize>() == self.options.nodes {
                    break;
                }
                if started.elapsed() > WAIT_TIMEOUT {
                    return Err(Error::Timeout(format!(
                        "waiting for all endpoints at {}",
                        vm.spec.name
                    )));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn count_calls(&self) -> Result<RequestCounts, Error> {
        node::read_platform_counts(self.deployment.platform_address).await
    }

    async fn sum_received(&mut self) -> Result<f64, Error> {
        let mut sum = 0.0;
        for vm in &mut self.deployment.vms {
            if vm.node.is_running() {
                sum += node::read_metrics(vm).await?.control_received();
            }
        }
        Ok(sum)
    }

    fn report_times(&self, report: &mut Report) -> Result<(), Error> {
        let logs = self.deployment.vms.iter();
        let logs = logs.map(|vm| node::read_installed(&vm.node.log));
        let logs = logs.collect::<Result<Vec<_>, _>>()?;
        report.reverts = logs.iter().map(|log| count_reverts(log)).sum();
        let mut times =
            Histogram::<u64>::new(3).map_err(|error| Error::Unexpected(error.to_string()))?;
        report.not_converged = self.not_converged;
        for (version, (at_ms, _)) in &self.proposer.proposal_times {
            for log in &logs {
                let first = log
                    .iter()
                    .find(|installed| installed.version >= *version && installed.at_ms >= *at_ms);
                match first {
                    Some(installed) => times.saturating_record(installed.at_ms - at_ms),
                    None => report.not_converged += 1,
                }
            }
        }
        report.convergence_p50_ms = to_f64(times.value_at_quantile(0.5));
        report.convergence_p99_ms = to_f64(times.value_at_quantile(0.99));
        report.convergence_max_ms = to_f64(times.max());
        let propose = self
            .proposer
            .proposal_times
            .values()
            .map(|(_, time)| time.as_secs_f64());
        report.propose_mean_ms =
            propose.sum::<f64>() / to_f64(self.proposer.proposal_times.len().max(1)) * 1_000.0;
        Ok(())
    }

    async fn report_nodes(&self, report: &mut Report, elapsed: Duration) -> Result<(), Error> {
        let mut cpu_seconds = 0.0;
        for vm in &self.deployment.vms {
            let usage = vm.node.usage()?;
            cpu_seconds += usage.cpu_time.as_secs_f64();
            let resident = to_f64(usage.resident_bytes) / f64::from(1 << 20);
            report.node_rss_mb_max = report.node_rss_mb_max.max(resident);
            let (partial, dangling) = self.check_routes(vm).await?;
            report.partial += usize::from(partial);
            report.dangling += dangling;
        }
        report.node_cpu_pct_mean =
            100.0 * cpu_seconds / elapsed.as_secs_f64() / to_f64(self.options.nodes);
        Ok(())
    }

    /// Compares a node's routes with the routes of the configuration and with the services whose
    /// endpoints the node knows. Returns whether the node deviates from the configuration or counts
    /// a revert, and the number of dangling routes: those whose services have no known endpoints.
    async fn check_routes(&self, vm: &Vm) -> Result<(bool, usize), Error> {
        let status = node::read_status(vm).await?;
        let metrics: Metrics = node::read_metrics(vm).await?;
        let has_endpoints = |route: &config::Route| {
            let mut targets = route.targets.iter();
            targets.any(|target| status.endpoints.contains_key(&target.service))
        };
        let expected = self
            .proposer
            .mesh
            .routes
            .values()
            .filter(|route| has_endpoints(route));
        let expected = expected.count();
        let in_force = to_usize(metrics.get("bluebellpick_routes"));
        let withheld = to_usize(metrics.get("bluebellpick_withheld_routes"));
        let is_partial = in_force + withheld != self.proposer.mesh.routes.len()
            || status.version != self.proposer.version
            || metrics.get("bluebellpick_config_reverts_total") > 0.0;
        Ok((is_partial, in_force.saturating_sub(expected)))
    }
}

/// Counts how often a VM put a lower version into force right after a higher version.
fn count_reverts(log: &[InstalledVersion]) -> usize {
    let pairs = log.windows(2);
    pairs
        .filter(|pair| pair[1].version < pair[0].version)
        .count()
}

fn sum_calls(counts: RequestCounts) -> u64 {
    counts.reads + counts.watches + counts.writes
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count that a node reports as a decimal number"
)]
fn to_usize(count: f64) -> usize {
    count as usize
}
