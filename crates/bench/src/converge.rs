//! How long an accepted version takes to be in force on every node, and what that costs.
//!
//! Real node processes in a few availability zones, each with an announced
//! endpoint. The time counts from before the proposal is sent, so that the
//! platform's write is in it, and ends with the log line of the last node.

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
use store::memory::Counts;

/// Services that the nodes' endpoints belong to; the others have none.
const SERVED: usize = 12;

/// Time between two versions.
const PERIOD: Duration = Duration::from_millis(400);

/// Time for the tree to settle, and then for the idle figures.
pub(crate) const SETTLE: Duration = Duration::from_secs(10);

/// Longest wait for the fleet to hold a version.
const LIMIT: Duration = Duration::from_secs(40);

/// Time between two looks at the fleet.
const POLL: Duration = Duration::from_millis(100);

/// What to measure.
#[derive(Debug, Clone)]
pub struct Options {
    /// Node processes.
    pub nodes: usize,
    /// Availability zones that they are spread over.
    pub zones: usize,
    /// Versions to propose.
    pub versions: usize,
    /// Services and routes of the configuration.
    pub services: usize,
    /// How versions come: tree, whole or watch.
    pub distribution: String,
    /// What goes wrong, if anything.
    pub fault: Option<Fault>,
}

/// What was measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Node processes.
    pub nodes: usize,
    /// Versions measured.
    pub versions: usize,
    /// From before the proposal to in force, over all nodes and versions, median.
    pub convergence_p50_ms: f64,
    /// The same, 99th percentile.
    pub convergence_p99_ms: f64,
    /// The same, last node of the slowest version.
    pub convergence_max_ms: f64,
    /// How long the proposals took, mean: part of the times above.
    pub propose_mean_ms: f64,
    /// A version's patch as JSON.
    pub patch_bytes: f64,
    /// Bytes received between nodes, without the idle ones, per node and version;
    /// unknown where the fault ends processes, as their counts end with them.
    pub control_bytes_per_node_per_version: Option<f64>,
    /// Bytes received between nodes while nothing changes.
    pub idle_control_bytes_per_node_s: f64,
    /// Calls to the platform from the first process's start until all has settled.
    pub platform_calls_start: u64,
    /// Calls to the platform while nothing changes.
    pub platform_calls_per_s: f64,
    /// Writes among these.
    pub platform_writes_per_s: f64,
    /// Watches opened among these.
    pub platform_watches_per_s: f64,
    /// Most memory of a node, in MB.
    pub node_rss_mb_max: f64,
    /// Processor time of a node from start to end, mean, in per cent of a core.
    pub node_cpu_pct_mean: f64,
    /// Times that a VM served by a lower version after a higher one.
    pub reverts: usize,
    /// Nodes whose routes aren't those of the version that they serve by.
    pub partial: usize,
    /// Routes in force whose services the node does not know.
    pub dangling: usize,
    /// Versions that some node did not come to hold in time.
    pub not_converged: usize,
}

/// A running experiment.
pub(crate) struct Experiment {
    pub(crate) plot: Options,
    pub(crate) deployment: Deployment,
    proposer: Proposer,
    pub(crate) cut: relay::Relay,
    pub(crate) not_converged: usize,
}

/// Reads what to measure from the command line.
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

/// Starts the fleet, proposes the versions and gives the figures.
///
/// # Errors
///
/// When a program can't be started or the fleet doesn't come up.
pub async fn run(plot: Options) -> Result<Report, Error> {
    let begun = Instant::now();
    let mut run = start(plot).await?;
    run.wait_version().await?;
    run.wait_endpoints().await?;
    tokio::time::sleep(SETTLE).await;
    let (first, before) = (run.count_calls().await?, run.sum_received().await?);
    tokio::time::sleep(SETTLE).await;
    let last = run.count_calls().await?;
    let idle = run.sum_received().await? - before;
    let rate = |count: u64| to_f64(count) / SETTLE.as_secs_f64();
    let nodes = to_f64(run.plot.nodes);
    let mut report = Report {
        nodes: run.plot.nodes,
        platform_calls_start: sum_calls(first),
        platform_calls_per_s: rate(sum_calls(last) - sum_calls(first)),
        platform_writes_per_s: rate(last.writes - first.writes),
        platform_watches_per_s: rate(last.watches - first.watches),
        idle_control_bytes_per_node_s: idle / SETTLE.as_secs_f64() / nodes,
        ..Report::default()
    };
    let (before, start) = (run.sum_received().await?, Instant::now());
    match run.plot.fault {
        None => run.propose_all().await?,
        Some(fault) => run.suffer(fault).await?,
    }
    let spent = run.sum_received().await? - before;
    let idle = report.idle_control_bytes_per_node_s * nodes * start.elapsed().as_secs_f64();
    let versions = to_f64(run.proposer.proposed.len().max(1));
    let is_counted = !run.plot.fault.is_some_and(Fault::ends_nodes);
    report.control_bytes_per_node_per_version =
        is_counted.then(|| (spent - idle) / nodes / versions);
    report.patch_bytes = to_f64(run.proposer.patch_bytes) / versions;
    report.versions = run.proposer.proposed.len();
    run.fill_times(&mut report)?;
    run.fill_nodes(&mut report, begun.elapsed()).await?;
    Ok(report)
}

async fn start(plot: Options) -> Result<Experiment, Error> {
    let mut deployment = Deployment::spawn(Vec::new(), &[]).await?;
    let cut = relay::bind(deployment.platform_address).await?;
    for index in 0..plot.nodes {
        let zone = format!("zone-{}", index % plot.zones + 1);
        let mut plan = VmSpec::new(&format!("vm-{index}"), &zone, None);
        let line = format!("distribution = {}", plot.distribution);
        plan.settings.push(("fleet".to_owned(), line));
        if index % plot.zones == plot.zones - 1 {
            plan.platform = Some(cut.address);
        }
        deployment.add(plan)?;
    }
    let mut run = Experiment {
        proposer: Proposer::open(deployment.platform_address),
        plot,
        deployment,
        cut,
        not_converged: 0,
    };
    run.proposer.propose_services(run.plot.services).await?;
    for vm in 0..run.plot.nodes {
        run.announce(vm).await?;
    }
    Ok(run)
}

impl Experiment {
    pub(crate) async fn announce(&self, index: usize) -> Result<(), Error> {
        let service = service_name(index % SERVED.min(self.plot.services));
        let begun = Instant::now();
        loop {
            match node::announce(&self.deployment.vms[index], &service).await {
                Err(error) if begun.elapsed() > LIMIT => return Err(error),
                Err(_) => tokio::time::sleep(POLL).await,
                Ok(()) => return Ok(()),
            }
        }
    }

    /// Proposes a version as an operator would: a share of a route goes elsewhere.
    pub(crate) async fn propose_next(&mut self) -> Result<(), Error> {
        let index = self.proposer.proposed.len() % self.plot.services;
        let other = service_name((index + 1 + self.proposer.proposed.len()) % self.plot.services);
        let prefix = format!("/{}", service_name(index));
        let change = put_route(&prefix, &other, Class::Refresh, Repeat::ByMethod);
        self.proposer.propose(vec![change]).await
    }

    async fn propose_all(&mut self) -> Result<(), Error> {
        for _ in 0..self.plot.versions {
            let begun = Instant::now();
            self.propose_next().await?;
            tokio::time::sleep(PERIOD.saturating_sub(begun.elapsed())).await;
        }
        self.wait_version().await
    }

    /// Waits until all running nodes serve by the last version.
    pub(crate) async fn wait_version(&mut self) -> Result<(), Error> {
        let begun = Instant::now();
        for vm in &mut self.deployment.vms {
            while vm.node.is_running() {
                let installed = node::read_installed(&vm.node.log)?;
                if installed
                    .last()
                    .is_some_and(|last| last.version >= self.proposer.version)
                {
                    break;
                }
                if begun.elapsed() > LIMIT {
                    let what = format!("version {} at {}", self.proposer.version, vm.spec.name);
                    return Err(Error::Timeout(what));
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    /// Waits until all nodes know all endpoints.
    async fn wait_endpoints(&self) -> Result<(), Error> {
        let begun = Instant::now();
        for vm in &self.deployment.vms {
            loop {
                let status = node::read_status(vm).await?;
                if status.endpoints.values().sum::<usize>() == self.plot.nodes {
                    break;
                }
                if begun.elapsed() > LIMIT {
                    return Err(Error::Timeout(format!("endpoints at {}", vm.spec.name)));
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    async fn count_calls(&self) -> Result<Counts, Error> {
        node::read_counts(self.deployment.platform_address).await
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

    fn fill_times(&self, report: &mut Report) -> Result<(), Error> {
        let logs = self.deployment.vms.iter();
        let logs = logs.map(|vm| node::read_installed(&vm.node.log));
        let logs = logs.collect::<Result<Vec<_>, _>>()?;
        report.reverts = logs.iter().map(|log| count_reverts(log)).sum();
        let mut times =
            Histogram::<u64>::new(3).map_err(|error| Error::Unexpected(error.to_string()))?;
        report.not_converged = self.not_converged;
        for (version, (at_ms, _)) in &self.proposer.proposed {
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
            .proposed
            .values()
            .map(|(_, time)| time.as_secs_f64());
        report.propose_mean_ms =
            propose.sum::<f64>() / to_f64(self.proposer.proposed.len().max(1)) * 1_000.0;
        Ok(())
    }

    async fn fill_nodes(&self, report: &mut Report, elapsed: Duration) -> Result<(), Error> {
        let mut processor = 0.0;
        for vm in &self.deployment.vms {
            let usage = vm.node.usage()?;
            processor += usage.cpu_time.as_secs_f64();
            let resident = to_f64(usage.resident_bytes) / f64::from(1 << 20);
            report.node_rss_mb_max = report.node_rss_mb_max.max(resident);
            let (partial, dangling) = self.check_routes(vm).await?;
            report.partial += usize::from(partial);
            report.dangling += dangling;
        }
        report.node_cpu_pct_mean =
            100.0 * processor / elapsed.as_secs_f64() / to_f64(self.plot.nodes);
        Ok(())
    }

    /// Sets a node's routes against those of the configuration and the services it knows.
    async fn check_routes(&self, vm: &Vm) -> Result<(bool, usize), Error> {
        let status = node::read_status(vm).await?;
        let metrics: Metrics = node::read_metrics(vm).await?;
        let is_known = |route: &config::Route| {
            let mut targets = route.targets.iter();
            targets.any(|target| status.endpoints.contains_key(&target.service))
        };
        let known = self
            .proposer
            .mesh
            .routes
            .values()
            .filter(|route| is_known(route));
        let known = known.count();
        let in_force = to_usize(metrics.get("bluebellpick_routes"));
        let withheld = to_usize(metrics.get("bluebellpick_withheld_routes"));
        let is_partial = in_force + withheld != self.proposer.mesh.routes.len()
            || status.version != self.proposer.version
            || metrics.get("bluebellpick_config_reverts_total") > 0.0;
        Ok((is_partial, in_force.saturating_sub(known)))
    }
}

/// Counts how often a VM served by a lower version after a higher one.
fn count_reverts(log: &[InstalledVersion]) -> usize {
    let pairs = log.windows(2);
    pairs
        .filter(|pair| pair[1].version < pair[0].version)
        .count()
}

fn sum_calls(counts: Counts) -> u64 {
    counts.reads + counts.watches + counts.writes
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count that a node told as a decimal number"
)]
fn to_usize(count: f64) -> usize {
    count as usize
}
