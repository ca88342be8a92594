//! What both proxies add to a call, beside direct calls in the same run.
//!
//! Three series run interleaved: direct calls to a backend server, calls that
//! enter at the node on its own VM, and calls that enter at the node of
//! another VM. Whatever the machine does meanwhile, it does to all three.
//!
//! On a shared machine one run proves little: the same programs added 0.6 and 4.9 ms
//! within minutes. With `--against` a second fleet of other programs stands beside
//! the first, and both are measured by turns.

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

/// What to measure.
#[derive(Debug, Clone)]
pub struct Options {
    /// Calls a second of each series and VM.
    pub rate: u32,
    /// How long.
    pub duration: Duration,
    /// VMs with a backend server each.
    pub vms: usize,
    /// Folder of other programs that are measured by turns with those beside this one.
    pub against: Option<PathBuf>,
    /// Turns.
    pub turns: u32,
}

/// What was measured of both, and the first over the second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Pair {
    /// The programs beside this one.
    pub here: Report,
    /// Those of the other folder.
    pub there: Report,
    /// Processor time for a call here over there, as the median of the turns.
    pub cpu_ratio: f64,
    /// Least and largest of the turns.
    pub cpu_ratio_range: [f64; 2],
    /// What both nodes add at the median here over there, as the median of the turns.
    pub added_remote_p50_ratio: f64,
    /// The same at the 99th percentile.
    pub added_remote_p99_ratio: f64,
    /// Calls without a good answer, of both.
    pub errors: u64,
}

/// What was measured.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Report {
    /// Direct calls, median in milliseconds.
    pub direct_p50_ms: f64,
    /// Direct calls, 99th percentile in milliseconds.
    pub direct_p99_ms: f64,
    /// Calls by the backend server's own node, median.
    pub local_p50_ms: f64,
    /// Calls by the backend server's own node, 99th percentile.
    pub local_p99_ms: f64,
    /// Calls by another VM's node, median.
    pub remote_p50_ms: f64,
    /// Calls by another VM's node, 99th percentile.
    pub remote_p99_ms: f64,
    /// What the own node adds at the 99th percentile.
    pub added_local_p99_ms: f64,
    /// What both nodes add at the 99th percentile.
    pub added_remote_p99_ms: f64,
    /// Processor time of all nodes for one call through them, in microseconds.
    pub node_cpu_us_a_call: f64,
    /// Times that a thread of all nodes waited, for one call through them.
    pub node_switches_a_call: f64,
    /// Largest resident memory of a node, in megabytes.
    pub node_rss_mb_max: f64,
    /// Calls answered.
    pub calls: u64,
    /// Calls without a good answer.
    pub errors: u64,
}

/// Calls that open connections and warm caches before the measured ones, a second.
const WARM_UP: Duration = Duration::from_secs(2);

/// Longest wait for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Longest wait for the fleet to serve.
const START_LIMIT: Duration = Duration::from_secs(30);

const DIRECT: usize = 0;
const LOCAL: usize = 1;
const REMOTE: usize = 2;

/// Reads what to measure from the command line.
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
        .help("Turns that a pair is measured in, each as long as told")
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

/// Starts the fleet, sends the three series and gives what they took.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't come to serve.
pub async fn run(plot: &Options) -> Result<Report, Error> {
    let deployment = start(plot, Path::new("")).await?;
    measure(&deployment, plot).await
}

/// Measures the programs beside this one and those of another folder by turns.
///
/// # Errors
///
/// When a program can't be started, or a fleet doesn't come to serve.
pub async fn run_pair(plot: &Options, against: &Path) -> Result<Pair, Error> {
    let here = start(plot, Path::new("")).await?;
    let there = start(plot, against).await?;
    let mut turns = Vec::new();
    for turn in 0..plot.turns {
        // Whoever comes first meets other caches: that goes by turns, too.
        let is_first = turn % 2 == 0;
        let (first, second) = if is_first {
            (&here, &there)
        } else {
            (&there, &here)
        };
        let first = measure(first, plot).await?;
        let second = measure(second, plot).await?;
        turns.push(if is_first {
            (first, second)
        } else {
            (second, first)
        });
    }
    Ok(compare(&turns))
}

async fn start(plot: &Options, programs: &Path) -> Result<Deployment, Error> {
    let plans = (0..plot.vms).map(plan_vm).collect();
    let deployment = Deployment::spawn_from(programs, plans, &[]).await?;
    deployment.propose(&plan_changes(plot.vms), 0)?;
    for index in 0..plot.vms {
        deployment
            .wait_served(&format!("/service-{index}/ready"), START_LIMIT)
            .await?;
    }
    send_planned(plan_calls(&deployment, plot, WARM_UP), CALL_LIMIT).await;
    Ok(deployment)
}

async fn measure(deployment: &Deployment, plot: &Options) -> Result<Report, Error> {
    let before = read_usage(deployment)?;
    let outcomes = send_planned(plan_calls(deployment, plot, plot.duration), CALL_LIMIT).await;
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
    let mut report = report(&series);
    let spent = after.cpu_time.saturating_sub(before.cpu_time);
    let through = to_f64((series[LOCAL].count() + series[REMOTE].count()).max(1));
    report.node_cpu_us_a_call = spent.as_secs_f64() * 1e6 / through;
    report.node_switches_a_call =
        to_f64(after.voluntary_switches - before.voluntary_switches) / through;
    report.node_rss_mb_max = to_f64(after.resident_bytes) / f64::from(1 << 20);
    Ok(report)
}

fn compare(turns: &[(Report, Report)]) -> Pair {
    let ratios = |of: fn(&Report) -> f64| {
        let ratios = turns.iter().map(|(here, there)| of(here) / of(there));
        let mut ratios: Vec<_> = ratios.collect();
        ratios.sort_by(f64::total_cmp);
        ratios
    };
    let middle = |mut reports: Vec<Report>| {
        reports.sort_by(|one, other| one.node_cpu_us_a_call.total_cmp(&other.node_cpu_us_a_call));
        reports[reports.len() / 2]
    };
    let cpu = ratios(|report| report.node_cpu_us_a_call);
    let median = |of| ratios(of)[turns.len() / 2];
    Pair {
        here: middle(turns.iter().map(|turn| turn.0).collect()),
        there: middle(turns.iter().map(|turn| turn.1).collect()),
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

/// Gives the processor time of all nodes, and the largest resident memory of one.
fn read_usage(deployment: &Deployment) -> Result<Usage, Error> {
    let mut all = Usage {
        resident_bytes: 0,
        cpu_time: Duration::ZERO,
        voluntary_switches: 0,
    };
    for vm in &deployment.vms {
        let one = vm.node.usage()?;
        all.cpu_time += one.cpu_time;
        all.voluntary_switches += one.voluntary_switches;
        all.resident_bytes = all.resident_bytes.max(one.resident_bytes);
    }
    Ok(all)
}

fn plan_vm(index: usize) -> VmSpec {
    let service = format!("service-{index}");
    let mut plan = VmSpec::new(&format!("vm-{index}"), "zone-1", Some(&service));
    plan.backend_args = vec!["--work-ms".to_owned(), "0".to_owned()];
    plan
}

/// A service and a route for each VM, so that each call has one place to go.
fn plan_changes(vms: usize) -> Vec<Change> {
    let mut changes = Vec::new();
    for index in 0..vms {
        let name = format!("service-{index}");
        changes.push(put_service(&name));
        let prefix = format!("/{name}");
        changes.push(put_route(&prefix, &name, Class::Lookup, Repeat::ByMethod));
    }
    changes
}

fn plan_calls(deployment: &Deployment, plot: &Options, duration: Duration) -> Vec<PlannedCall> {
    let period = Duration::from_secs(1) / plot.rate;
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
            // Spread over the period, so that the series don't wait for each other.
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

fn report(series: &[LatencySeries; 3]) -> Report {
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
