//! Measures the latency that the proxies add to a call, compared with direct calls in the same run.
//!
//! Three series of calls are interleaved: direct calls to a backend server,
//! calls that enter at the node on the backend server's VM, and calls that
//! enter at the node of another VM. Disturbances of the machine affect all three.
//!
//! On a shared machine a single run proves little: the same programs added 0.6 ms and,
//! within minutes, 4.9 ms. With `--against`, a second fleet runs the programs of another
//! folder at the same time, and the two fleets are measured alternately.

use crate::caller::{Call, Caller};
use crate::count::to_f64;
use crate::deployment::{Deployment, VmSpec, put_route, put_service};
use crate::error::Error;
use crate::load::{LatencySeries, PlannedCall, send_planned};
use crate::options;
use crate::process::Usage;
use bpaf::{Parser, construct, long};
use config::{Change, Class, Repeat};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Options of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Calls per second, for each pair of a series and a VM.
    pub rate: u32,
    /// Duration of each measurement.
    pub duration: Duration,
    /// Number of VMs, with a backend server each.
    pub vms: usize,
    /// Folder of other programs, which are measured alternately with the programs in this program's
    /// folder.
    pub against: Option<PathBuf>,
    /// Number of measurements of each fleet, if there is a folder in `against`.
    pub turns: u32,
}

/// Results of two fleets: `here` runs the programs in this program's folder, `there` those in the
/// folder given with `--against`. Ratios are here to there.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Comparison {
    /// Results of the programs in this program's folder.
    pub here: Report,
    /// Results of the programs in the other folder.
    pub there: Report,
    /// Ratio of the nodes' CPU times per call: median of the turns.
    pub cpu_ratio: f64,
    /// Smallest and largest ratio of the nodes' CPU times per call in any turn.
    pub cpu_ratio_range: [f64; 2],
    /// Ratio of the latencies that two nodes add to the median: median of the turns.
    pub added_remote_p50_ratio: f64,
    /// Ratio of the latencies that two nodes add to the 99th percentile: median of the turns.
    pub added_remote_p99_ratio: f64,
    /// Calls of both fleets that failed or were not answered with success.
    pub errors: u64,
}

/// Results of the experiment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Report {
    /// Direct calls, median in milliseconds.
    pub direct_p50_ms: f64,
    /// Direct calls, 99th percentile in milliseconds.
    pub direct_p99_ms: f64,
    /// Calls through the node of the backend server's VM, median in milliseconds.
    pub local_p50_ms: f64,
    /// Calls through the node of the backend server's VM, 99th percentile in milliseconds.
    pub local_p99_ms: f64,
    /// Calls through another VM's node, median in milliseconds.
    pub remote_p50_ms: f64,
    /// Calls through another VM's node, 99th percentile in milliseconds.
    pub remote_p99_ms: f64,
    /// 99th percentile through the node of the backend server's VM minus that of direct calls, in
    /// milliseconds.
    pub added_local_p99_ms: f64,
    /// 99th percentile through another VM's node, so through two nodes, minus that of direct calls,
    /// in milliseconds.
    pub added_remote_p99_ms: f64,
    /// CPU time of all nodes together, per call through nodes, in microseconds.
    pub node_cpu_us_a_call: f64,
    /// Voluntary context switches of all nodes together, per call through nodes.
    pub node_switches_a_call: f64,
    /// Largest resident memory of a node, in megabytes.
    pub node_rss_mb_max: f64,
    /// Calls answered with success.
    pub calls: u64,
    /// Calls that failed or were not answered with success.
    pub errors: u64,
}

/// Duration of the calls that are sent first and not measured, to open connections and warm caches.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for the fleet to start serving.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Index of the series of direct calls.
const DIRECT: usize = 0;
/// Index of the series through the node of the backend server's VM.
const LOCAL: usize = 1;
/// Index of the series through another VM's node.
const REMOTE: usize = 2;

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let rate = long("rate")
        .help("Calls a second of each series and VM")
        .argument::<u32>("RATE")
        .guard(|rate| *rate > 0, "at least one call a second")
        .fallback(100)
        .display_fallback();
    let duration = options::parse_seconds(10);
    let vms = long("vms")
        .help("VMs with a backend server each")
        .argument::<usize>("COUNT")
        .guard(|vms| (2..=50).contains(vms), "between 2 and 50 VMs")
        .fallback(3)
        .display_fallback();
    let against = long("against")
        .help("Folder of other programs, which are measured by turns with these")
        .argument::<PathBuf>("FOLDER")
        .optional();
    let turns = long("turns")
        .help("With --against: how often each fleet is measured, each time for --seconds")
        .argument::<u32>("COUNT")
        .guard(|turns| (1..=100).contains(turns), "between 1 and 100")
        .fallback(5)
        .display_fallback();
    construct!(Options {
        rate,
        duration,
        vms,
        against,
        turns
    })
}

/// Starts the fleet, sends the three series of calls and returns their latencies and costs.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't start serving.
pub async fn run(options: &Options) -> Result<Report, Error> {
    let deployment = start(options, Path::new("")).await?;
    measure(&deployment, options).await
}

/// Measures the programs in this program's folder and those in another folder alternately.
///
/// # Errors
///
/// When a program can't be started, or a fleet doesn't start serving.
pub async fn run_pair(options: &Options, against: &Path) -> Result<Comparison, Error> {
    let here = start(options, Path::new("")).await?;
    let there = start(options, against).await?;
    let mut turns = Vec::new();
    for turn in 0..options.turns {
        // The fleet that is measured first in a turn finds the CPU caches in another state than the
        // fleet that is measured second, so the order alternates.
        let here_first = turn % 2 == 0;
        let (first, second) = if here_first {
            (&here, &there)
        } else {
            (&there, &here)
        };
        let first = measure(first, options).await?;
        let second = measure(second, options).await?;
        turns.push(if here_first {
            (first, second)
        } else {
            (second, first)
        });
    }
    Ok(compare(&turns))
}

async fn start(options: &Options, programs: &Path) -> Result<Deployment, Error> {
    let specs = (0..options.vms).map(vm_spec).collect();
    let deployment = Deployment::spawn_from(programs, specs, &[]).await?;
    deployment.propose(&initial_changes(options.vms), 0)?;
    for index in 0..options.vms {
        deployment
            .wait_served(&format!("/service-{index}/ready"), START_TIMEOUT)
            .await?;
    }
    send_planned(plan_calls(&deployment, options, WARM_UP), CALL_TIMEOUT).await;
    Ok(deployment)
}

async fn measure(deployment: &Deployment, options: &Options) -> Result<Report, Error> {
    let before = read_usage(deployment)?;
    let outcomes = send_planned(
        plan_calls(deployment, options, options.duration),
        CALL_TIMEOUT,
    )
    .await;
    let after = read_usage(deployment)?;
    let mut series = [
        LatencySeries::new(),
        LatencySeries::new(),
        LatencySeries::new(),
    ];
    for outcome in outcomes {
        match outcome.result {
            Ok(answer) if answer.status.is_success() => {
                series[outcome.series].record(outcome.latency);
            }
            _ => series[outcome.series].errors += 1,
        }
    }
    let mut report = make_report(&series);
    let cpu_time = after.cpu_time.saturating_sub(before.cpu_time);
    let proxied_calls = to_f64((series[LOCAL].count() + series[REMOTE].count()).max(1));
    report.node_cpu_us_a_call = cpu_time.as_secs_f64() * 1e6 / proxied_calls;
    report.node_switches_a_call =
        to_f64(after.voluntary_switches - before.voluntary_switches) / proxied_calls;
    report.node_rss_mb_max = to_f64(after.resident_bytes) / f64::from(1 << 20);
    Ok(report)
}

fn compare(turns: &[(Report, Report)]) -> Comparison {
    let ratios = |of: fn(&Report) -> f64| {
        let ratios = turns.iter().map(|(here, there)| of(here) / of(there));
        let mut ratios: Vec<_> = ratios.collect();
        ratios.sort_by(f64::total_cmp);
        ratios
    };
    let median_report = |mut reports: Vec<Report>| {
        reports.sort_by(|one, other| one.node_cpu_us_a_call.total_cmp(&other.node_cpu_us_a_call));
        reports[reports.len() / 2]
    };
    let cpu = ratios(|report| report.node_cpu_us_a_call);
    let median = |of| ratios(of)[turns.len() / 2];
    Comparison {
        here: median_report(turns.iter().map(|turn| turn.0).collect()),
        there: median_report(turns.iter().map(|turn| turn.1).collect()),
        cpu_ratio: cpu[turns.len() / 2],
        cpu_ratio_range: [cpu[0], cpu[turns.len() - 1]],
        added_remote_p50_ratio: median(|report| report.remote_p50_ms - report.direct_p50_ms),
        added_remote_p99_ratio: median(|report| report.added_remote_p99_ms),
        errors: turns
            .iter()
            .map(|(here, there)| here.errors + there.errors)
            .sum(),
    }
}

/// Returns the sums of the CPU times and of the context switches of all nodes, and the largest
/// resident memory of a node.
fn read_usage(deployment: &Deployment) -> Result<Usage, Error> {
    let mut total = Usage {
        resident_bytes: 0,
        cpu_time: Duration::ZERO,
        voluntary_switches: 0,
    };
    for vm in &deployment.vms {
        let usage = vm.node.usage()?;
        total.cpu_time += usage.cpu_time;
        total.voluntary_switches += usage.voluntary_switches;
        total.resident_bytes = total.resident_bytes.max(usage.resident_bytes);
    }
    Ok(total)
}

fn vm_spec(index: usize) -> VmSpec {
    let service = format!("service-{index}");
    let mut spec = VmSpec::new(&format!("vm-{index}"), "zone-1", Some(&service));
    spec.backend_args = vec!["--work-ms".to_owned(), "0".to_owned()];
    spec
}

/// Returns a service and a route for each VM, so that each call has exactly one possible endpoint.
fn initial_changes(vms: usize) -> Vec<Change> {
    let mut changes = Vec::new();
    for index in 0..vms {
        let name = format!("service-{index}");
        changes.push(put_service(&name));
        let prefix = format!("/{name}");
        changes.push(put_route(&prefix, &name, Class::Lookup, Repeat::ByMethod));
    }
    changes
}

fn plan_calls(deployment: &Deployment, options: &Options, duration: Duration) -> Vec<PlannedCall> {
    let period = Duration::from_secs(1) / options.rate;
    let mut planned = Vec::new();
    for (index, vm) in deployment.vms.iter().enumerate() {
        let other = &deployment.vms[(index + 1) % deployment.vms.len()];
        let entries = [
            vm.backend_address(),
            vm.callers_address(),
            other.callers_address(),
        ];
        for (series, address) in entries.into_iter().enumerate() {
            let caller = Caller::new(address);
            let call = Call::get(&format!("/service-{index}/item"));
            // Each pair of VM and series has its own offset within the period, so that the calls of
            // different series don't queue behind each other.
            let slot = index * entries.len() + series;
            let offset = period * u32::try_from(slot).unwrap_or(0)
                / u32::try_from(deployment.vms.len() * entries.len()).unwrap_or(1);
            let mut at = offset;
            while at < duration {
                planned.push(PlannedCall {
                    at,
                    series,
                    caller: caller.clone(),
                    call: call.clone(),
                });
                at += period;
            }
        }
    }
    planned
}

fn make_report(series: &[LatencySeries; 3]) -> Report {
    let p50 = |index: usize| series[index].quantile_ms(0.5);
    let p99 = |index: usize| series[index].quantile_ms(0.99);
    Report {
        direct_p50_ms: p50(DIRECT),
        direct_p99_ms: p99(DIRECT),
        local_p50_ms: p50(LOCAL),
        local_p99_ms: p99(LOCAL),
        remote_p50_ms: p50(REMOTE),
        remote_p99_ms: p99(REMOTE),
        added_local_p99_ms: p99(LOCAL) - p99(DIRECT),
        added_remote_p99_ms: p99(REMOTE) - p99(DIRECT),
        node_cpu_us_a_call: 0.0,
        node_switches_a_call: 0.0,
        node_rss_mb_max: 0.0,
        calls: series.iter().map(LatencySeries::count).sum(),
        errors: series.iter().map(|one| one.errors).sum(),
    }
}
