//! A demonstration of the main features on stand-ins.
//!
//! Starts three services of the example company Tenaga in three availability
//! zones, proposes two patches, sends calls while one VM is killed and another
//! drained, and prints the operators' reports. The last line contains the results.

use crate::caller::{Call, Caller};
use crate::deployment::{Deployment, OPERATOR_TOKEN, Vm, service_vms};
use crate::error::Error;
use crate::load::{LatencySeries, Outcome, PlannedCall, send_planned};
use http::Method;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Patch with Tenaga's initial configuration.
const FIRST_PATCH: &str = include_str!("../../../examples/tenaga.jsonl");

/// Patch that splits a route between two services.
const NEXT_PATCH: &str = r#"{"put_route": {"prefix": "/parts", "route": {"targets": [{"service": "records", "percent": 80}, {"service": "claims", "percent": 20}]}}}"#;

/// Time limit of each step of the demo, such as a run of the command line.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a node's status is polled; short, because convergence takes only tens of
/// milliseconds.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Duration of the time in which calls are sent.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Time from the start of the calls at which a VM is killed.
const KILL_AT: Duration = Duration::from_secs(2);

/// Time from the start of the calls at which another VM is drained.
const DRAIN_AT: Duration = Duration::from_secs(5);

/// Interval between the look-ups that callers send to one node: 50 per second.
const LOOKUP_PERIOD: Duration = Duration::from_millis(20);

/// Interval between the bookings that callers send to one node: 10 per second.
const BOOKING_PERIOD: Duration = Duration::from_millis(100);

/// Names of the series of calls, by index of the series.
const SERIES_NAMES: [&str; 2] = ["look-ups", "bookings"];

/// Index of the VM that is killed: the VM of the service records in the second availability zone.
const KILLED_VM: usize = 3;

/// Index of the VM that is drained: the VM of the service jobs in the third availability zone.
const DRAINED_VM: usize = 8;

/// Results of the demo.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Number of nodes.
    pub nodes: usize,
    /// Time from the write of the second patch until that patch is in force on the last node, in
    /// milliseconds.
    pub convergence_ms: u64,
    /// Control bytes that a node sent, on average, while the second patch was proposed and
    /// distributed.
    pub control_bytes_per_node: u64,
    /// Calls sent.
    pub calls: u64,
    /// Calls answered with success by a backend server.
    pub answered: u64,
    /// Calls refused with the assurance that they did not run.
    pub not_run: u64,
    /// Calls reported as "may have run", because the VM that they ran on was killed.
    pub may_have_run: u64,
    /// Calls with any other result.
    pub others: u64,
}

/// Latencies of the calls of one series, and the number of calls by result.
#[derive(Debug)]
struct SeriesSummary {
    latencies: LatencySeries,
    result_counts: BTreeMap<String, u64>,
}

/// Runs the demo.
///
/// # Errors
///
/// When a program can't be started, or a step of the demo fails or times out.
pub async fn run() -> Result<Report, Error> {
    print_line("Starting Tenaga: records, claims and jobs, each in three availability zones.");
    let start = Instant::now();
    let specs = service_vms(&["records", "claims", "jobs"], 1);
    let mut deployment = Deployment::spawn(specs, &[]).await?;
    wait_backends(&deployment).await?;
    let nodes = deployment.vms.len();
    print_line(&format!(
        "{nodes} nodes, {nodes} backend servers and a platform run after {} ms.",
        start.elapsed().as_millis()
    ));

    propose_and_wait(&deployment, FIRST_PATCH, 0).await?;
    deployment
        .wait_served("/records/gearbox", WAIT_TIMEOUT)
        .await?;
    let (convergence_ms, control_bytes) = propose_and_wait(&deployment, NEXT_PATCH, 1).await?;

    print_line(&format!(
        "\nCalls at six nodes for {} s; after {} s a VM of records is killed, after {} s one of jobs is drained.",
        LOAD_DURATION.as_secs(),
        KILL_AT.as_secs(),
        DRAIN_AT.as_secs()
    ));
    let summaries = run_load(&mut deployment).await?;
    print_summaries(&summaries);
    print_reports(&deployment)?;

    let count = |result: &str| {
        let counts = summaries
            .iter()
            .filter_map(|summary| summary.result_counts.get(result));
        counts.sum::<u64>()
    };
    let calls = summaries
        .iter()
        .flat_map(|summary| summary.result_counts.values())
        .sum();
    let (answered, not_run, may_have_run) =
        (count("answered"), count("not-run"), count("may-have-run"));
    Ok(Report {
        nodes,
        convergence_ms,
        control_bytes_per_node: control_bytes / u64::try_from(nodes).unwrap_or(1),
        calls,
        answered,
        not_run,
        may_have_run,
        others: calls - answered - not_run - may_have_run,
    })
}

fn print_line(text: &str) {
    println!("{text}");
}

/// Waits until every node's own backend server has announced itself.
async fn wait_backends(deployment: &Deployment) -> Result<(), Error> {
    for vm in &deployment.vms {
        wait_status(vm, |status| !status["backend"].is_null()).await?;
    }
    Ok(())
}

/// Polls a node's status until the status meets the condition. Returns the wall-clock time at which
/// this was seen.
async fn wait_status<F>(vm: &Vm, condition: F) -> Result<SystemTime, Error>
where
    F: Fn(&Value) -> bool,
{
    let caller = Caller::new(vm.operators_address());
    let call = Call::get("/v1/status");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(answer) = caller.send_within(&call, CALL_TIMEOUT).await
            && let Ok(status) = serde_json::from_slice::<Value>(&answer.body)
            && condition(&status)
        {
            return Ok(SystemTime::now());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(Error::Timeout(format!(
        "waiting for the status of {}",
        vm.spec.name
    )))
}

/// Proposes a patch and waits until it is in force on all nodes. Returns the milliseconds from the
/// write of the patch until then, and the control bytes that the nodes sent meanwhile.
async fn propose_and_wait(
    deployment: &Deployment,
    patch: &str,
    base: u64,
) -> Result<(u64, u64), Error> {
    let file = deployment.folder().join(format!("patch-{base}.jsonl"));
    fs::write(&file, patch)?;
    let (file, platform) = (file.display().to_string(), deployment.platform_address);
    let (platform, base_text) = (platform.to_string(), base.to_string());
    let before = sum_control_bytes(deployment).await?;
    print_line(&format!(
        "\n$ bluebellpick propose {base}.jsonl --base {base}"
    ));
    let arguments = [
        "propose",
        &file,
        "--base",
        &base_text,
        "--platform",
        &platform,
    ];
    let (code, output) = deployment.run_cli(&arguments, WAIT_TIMEOUT)?;
    print!("{output}");
    if code != 0 {
        return Err(Error::Unexpected(format!("propose exited with {code}")));
    }
    let mut last = UNIX_EPOCH;
    for vm in &deployment.vms {
        let seen = wait_status(vm, |status| status["version"].as_u64() > Some(base)).await?;
        last = last.max(seen);
    }
    let elapsed = last.duration_since(read_proposal_time(deployment)?);
    let millis = u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
    let bytes = sum_control_bytes(deployment).await? - before;
    print_line(&format!(
        "in force on all {} nodes {millis} ms after it was proposed; {bytes} control bytes between nodes",
        deployment.vms.len()
    ));
    Ok((millis, bytes))
}

/// Returns the time at which the last version was written, from the output of `bluebellpick log`.
fn read_proposal_time(deployment: &Deployment) -> Result<SystemTime, Error> {
    let platform = deployment.platform_address.to_string();
    let arguments = ["log", "--limit", "1", "--json", "--platform", &platform];
    let (_, output) = deployment.run_cli(&arguments, WAIT_TIMEOUT)?;
    let log = serde_json::from_str::<Value>(&output);
    let log = log.map_err(|error| Error::Unexpected(format!("{error}: {output}")))?;
    let at_ms = log[0]["entry"]["at_ms"].as_u64();
    let at_ms = at_ms.ok_or_else(|| Error::Unexpected(output))?;
    Ok(UNIX_EPOCH + Duration::from_millis(at_ms))
}

async fn sum_control_bytes(deployment: &Deployment) -> Result<u64, Error> {
    let mut sum = 0;
    for vm in &deployment.vms {
        let caller = Caller::new(vm.operators_address());
        let answer = caller
            .send_within(&Call::get("/metrics"), CALL_TIMEOUT)
            .await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let sent = "bluebellpick_control_bytes_total{direction=\"sent\"} ";
        let line = text.lines().find_map(|line| line.strip_prefix(sent));
        sum += line.and_then(|line| line.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(sum)
}

/// Sends calls to six nodes, none of them on the VM that is killed or the VM that is drained
/// meanwhile.
async fn run_load(deployment: &mut Deployment) -> Result<Vec<SeriesSummary>, Error> {
    let planned = plan_load(deployment);
    let (outcomes, kill_result) = tokio::join!(
        send_planned(planned, CALL_TIMEOUT),
        kill_and_drain(deployment)
    );
    kill_result?;
    Ok(summarize(outcomes))
}

fn plan_load(deployment: &Deployment) -> Vec<PlannedCall> {
    let mut planned = Vec::new();
    // No caller uses the nodes of the killed VM and of the drained VM: callers in their zones use
    // the node of another VM.
    let entries = deployment.vms.iter().enumerate();
    let entries = entries.filter(|(index, _)| ![KILLED_VM, DRAINED_VM].contains(index));
    for (index, vm) in entries.take(6) {
        let caller = Caller::new(vm.callers_address());
        for (series, period) in [LOOKUP_PERIOD, BOOKING_PERIOD].into_iter().enumerate() {
            let mut at = Duration::from_millis(u64::try_from(index).unwrap_or(0));
            while at < LOAD_DURATION {
                let call = make_call(series, index, at);
                let caller = caller.clone();
                planned.push(PlannedCall {
                    at,
                    series,
                    caller,
                    call,
                });
                at += period;
            }
        }
    }
    planned
}

fn make_call(series: usize, index: usize, at: Duration) -> Call {
    if series == 0 {
        return Call::get("/records/gearbox");
    }
    let key = format!("booking-{index}-{}", at.as_millis());
    Call::new(Method::POST, "/jobs/book").header("idempotency-key", &key)
}

/// Kills one VM and drains another, at `KILL_AT` and `DRAIN_AT`.
async fn kill_and_drain(deployment: &mut Deployment) -> Result<(), Error> {
    tokio::time::sleep(KILL_AT).await;
    let vm = &mut deployment.vms[KILLED_VM];
    vm.node.kill()?;
    if let Some(backend) = &mut vm.backend {
        backend.kill()?;
    }
    let name = &vm.spec.name;
    print_line(&format!("killed {name}: its node and its backend server"));
    tokio::time::sleep(DRAIN_AT.saturating_sub(KILL_AT)).await;
    let vm = &deployment.vms[DRAINED_VM];
    let token = deployment.folder().join("token");
    fs::write(&token, OPERATOR_TOKEN)?;
    let (token, address) = (
        token.display().to_string(),
        vm.operators_address().to_string(),
    );
    print_line(&format!("$ bluebellpick drain {}", vm.spec.name));
    let (_, output) =
        deployment.run_cli(&["drain", &address, "--token-file", &token], WAIT_TIMEOUT)?;
    print!("{output}");
    Ok(())
}

fn summarize(outcomes: Vec<Outcome>) -> Vec<SeriesSummary> {
    let new_summary = |_| SeriesSummary {
        latencies: LatencySeries::new(),
        result_counts: BTreeMap::new(),
    };
    let mut summaries = SERIES_NAMES.iter().map(new_summary).collect::<Vec<_>>();
    for outcome in outcomes {
        let summary = &mut summaries[outcome.series];
        *summary
            .result_counts
            .entry(describe_result(&outcome))
            .or_default() += 1;
        summary.latencies.record(outcome.latency);
    }
    summaries
}

fn describe_result(outcome: &Outcome) -> String {
    match &outcome.result {
        Ok(answer) if answer.status.is_success() => "answered".to_owned(),
        Ok(answer) => match answer.header("bluebellpick-verdict") {
            Some(verdict) => verdict.to_owned(),
            None => answer.status.to_string(),
        },
        Err(error) => error.to_string(),
    }
}

fn print_summaries(summaries: &[SeriesSummary]) {
    for (name, summary) in SERIES_NAMES.iter().zip(summaries) {
        let result_counts = summary.result_counts.iter();
        let result_counts = result_counts.map(|(result, count)| format!("{count} {result}"));
        print_line(&format!(
            "{name}: {}; p50 {:.1} ms, p99 {:.1} ms",
            result_counts.collect::<Vec<_>>().join(", "),
            summary.latencies.quantile_ms(0.5),
            summary.latencies.quantile_ms(0.99)
        ));
    }
}

fn print_reports(deployment: &Deployment) -> Result<(), Error> {
    let platform = deployment.platform_address.to_string();
    let nodes = deployment
        .vms
        .iter()
        .map(|vm| vm.operators_address().to_string());
    let nodes = nodes.map(|address| format!("--node={address}"));
    let nodes = nodes.collect::<Vec<_>>();
    for verb in ["status", "burn"] {
        print_line(&format!("\n$ bluebellpick {verb}"));
        let mut arguments = vec![verb, "--platform", &platform, "--timeout", "1"];
        arguments.extend(nodes.iter().map(String::as_str));
        // The exit code is ignored: it is 1, because the node of the killed VM does not answer.
        let (_, output) = deployment.run_cli(&arguments, WAIT_TIMEOUT)?;
        print!("{output}");
    }
    Ok(())
}
