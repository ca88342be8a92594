//! The main job on stand-ins, for people to watch.
//!
//! Tenaga's three services come up in three availability zones, two patches
//! are proposed, calls are served while a VM is killed and another drained,
//! and the operators' reports are shown. The last line holds the figures.

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

/// Tenaga's first configuration.
const FIRST_PATCH: &str = include_str!("../../../examples/tenaga.jsonl");

/// A further patch, of a change of shares between two services.
const NEXT_PATCH: &str = r#"{"put_route": {"prefix": "/parts", "route": {"targets": [{"service": "records", "percent": 80}, {"service": "claims", "percent": 20}]}}}"#;

/// Longest wait for the fleet to do what the demo waits for.
const LIMIT: Duration = Duration::from_secs(20);

/// Longest wait for one answer.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Time between two looks at a node's version: fine beside a convergence of tens of milliseconds.
const POLL: Duration = Duration::from_millis(2);

/// How long calls are sent.
const LOAD: Duration = Duration::from_secs(8);

/// When a VM is killed, from the start of the calls.
const KILL_AT: Duration = Duration::from_secs(2);

/// When another VM is drained, from the start of the calls.
const DRAIN_AT: Duration = Duration::from_secs(5);

/// Time between two look-ups that enter at one node: 50 a second.
const LOOKUP_PERIOD: Duration = Duration::from_millis(20);

/// Time between two bookings that enter at one node: 10 a second.
const BOOKING_PERIOD: Duration = Duration::from_millis(100);

/// Names of the load's series, by their numbers.
const SERIES: [&str; 2] = ["look-ups", "bookings"];

/// VM that is killed: records in the second availability zone.
const KILLED: usize = 3;

/// VM that is drained: jobs in the third availability zone.
const DRAINED: usize = 8;

/// What was seen.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Nodes that came up.
    pub nodes: usize,
    /// From the second patch's write to its being in force on the last node, in milliseconds.
    pub convergence_ms: u64,
    /// Control bytes sent between nodes meanwhile, a node.
    pub control_bytes_per_node: u64,
    /// Calls sent.
    pub calls: u64,
    /// Calls answered by a backend server.
    pub answered: u64,
    /// Calls refused, sure not to have run.
    pub not_run: u64,
    /// Calls that may have run, as the VM was killed under them.
    pub may_have_run: u64,
    /// Calls that ended in any other way.
    pub others: u64,
}

/// How the calls of one series ended.
#[derive(Debug)]
struct Sum {
    series: LatencySeries,
    endings: BTreeMap<String, u64>,
}

/// Shows the main job.
///
/// # Errors
///
/// When a program can't be started, or the fleet does not do its job.
pub async fn run() -> Result<Report, Error> {
    say("Starting Tenaga: records, claims and jobs, each in three availability zones.");
    let start = Instant::now();
    let plans = service_vms(&["records", "claims", "jobs"], 1);
    let mut deployment = Deployment::spawn(plans, &[]).await?;
    wait_announced(&deployment).await?;
    let nodes = deployment.vms.len();
    say(&format!(
        "{nodes} nodes, {nodes} backend servers and a platform run after {} ms.",
        start.elapsed().as_millis()
    ));

    converge(&deployment, FIRST_PATCH, 0).await?;
    deployment.wait_served("/records/gearbox", LIMIT).await?;
    let (convergence_ms, control_bytes) = converge(&deployment, NEXT_PATCH, 1).await?;

    say(&format!(
        "\nCalls at six nodes for {} s; after {} s a VM of records is killed, after {} s one of jobs is drained.",
        LOAD.as_secs(),
        KILL_AT.as_secs(),
        DRAIN_AT.as_secs()
    ));
    let sums = load(&mut deployment).await?;
    print_sums(&sums);
    show_reports(&deployment)?;

    let count = |ending: &str| {
        let counts = sums.iter().filter_map(|sum| sum.endings.get(ending));
        counts.sum::<u64>()
    };
    let calls = sums.iter().flat_map(|sum| sum.endings.values()).sum();
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

fn say(text: &str) {
    println!("{text}");
}

/// Waits until every node knows its backend server.
async fn wait_announced(deployment: &Deployment) -> Result<(), Error> {
    for vm in &deployment.vms {
        wait_status(vm, |status| !status["backend"].is_null()).await?;
    }
    Ok(())
}

/// Polls a node's status until it is as wanted, and gives the time of day.
async fn wait_status<F>(vm: &Vm, is_wanted: F) -> Result<SystemTime, Error>
where
    F: Fn(&Value) -> bool,
{
    let caller = Caller::new(vm.operators_address());
    let call = Call::get("/v1/status");
    let deadline = Instant::now() + LIMIT;
    while Instant::now() < deadline {
        if let Ok(answer) = caller.send_within(&call, CALL_LIMIT).await
            && let Ok(status) = serde_json::from_slice::<Value>(&answer.body)
            && is_wanted(&status)
        {
            return Ok(SystemTime::now());
        }
        tokio::time::sleep(POLL).await;
    }
    Err(Error::Timeout(format!("the status of {}", vm.spec.name)))
}

/// Proposes a patch, and gives the time until the last node has it, and the bytes that it took.
async fn converge(deployment: &Deployment, patch: &str, base: u64) -> Result<(u64, u64), Error> {
    let file = deployment.folder().join(format!("patch-{base}.jsonl"));
    fs::write(&file, patch)?;
    let (file, platform) = (file.display().to_string(), deployment.platform_address);
    let (platform, base_text) = (platform.to_string(), base.to_string());
    let before = sum_control_bytes(deployment).await?;
    say(&format!(
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
    let (code, output) = deployment.run_cli(&arguments, LIMIT)?;
    print!("{output}");
    if code != 0 {
        return Err(Error::Unexpected(format!("propose ended with {code}")));
    }
    let mut last = UNIX_EPOCH;
    for vm in &deployment.vms {
        let seen = wait_status(vm, |status| status["version"].as_u64() > Some(base)).await?;
        last = last.max(seen);
    }
    let elapsed = last.duration_since(read_proposed(deployment)?);
    let millis = u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
    let bytes = sum_control_bytes(deployment).await? - before;
    say(&format!(
        "in force on all {} nodes {millis} ms after it was proposed; {bytes} control bytes between nodes",
        deployment.vms.len()
    ));
    Ok((millis, bytes))
}

/// Reads when the last version was proposed.
fn read_proposed(deployment: &Deployment) -> Result<SystemTime, Error> {
    let platform = deployment.platform_address.to_string();
    let arguments = ["log", "--limit", "1", "--json", "--platform", &platform];
    let (_, output) = deployment.run_cli(&arguments, LIMIT)?;
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
            .send_within(&Call::get("/metrics"), CALL_LIMIT)
            .await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let sent = "bluebellpick_control_bytes_total{direction=\"sent\"} ";
        let line = text.lines().find_map(|line| line.strip_prefix(sent));
        sum += line.and_then(|line| line.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(sum)
}

/// Sends calls at all nodes that stay, while one VM is killed and another drained.
async fn load(deployment: &mut Deployment) -> Result<Vec<Sum>, Error> {
    let planned = plan_load(deployment);
    let (outcomes, disturbed) =
        tokio::join!(send_planned(planned, CALL_LIMIT), disturb(deployment));
    disturbed?;
    Ok(sum_up(outcomes))
}

fn plan_load(deployment: &Deployment) -> Vec<PlannedCall> {
    let mut planned = Vec::new();
    // The zone of the killed VM keeps callers too, but they use the node of another VM.
    let entries = deployment.vms.iter().enumerate();
    let entries = entries.filter(|(index, _)| ![KILLED, DRAINED].contains(index));
    for (index, vm) in entries.take(6) {
        let caller = Caller::new(vm.callers_address());
        for (series, period) in [LOOKUP_PERIOD, BOOKING_PERIOD].into_iter().enumerate() {
            let mut at = Duration::from_millis(u64::try_from(index).unwrap_or(0));
            while at < LOAD {
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

/// Kills one VM and drains another, each at its time.
async fn disturb(deployment: &mut Deployment) -> Result<(), Error> {
    tokio::time::sleep(KILL_AT).await;
    let vm = &mut deployment.vms[KILLED];
    vm.node.kill()?;
    if let Some(backend) = &mut vm.backend {
        backend.kill()?;
    }
    let name = &vm.spec.name;
    say(&format!("killed {name}: its node and its backend server"));
    tokio::time::sleep(DRAIN_AT.saturating_sub(KILL_AT)).await;
    let vm = &deployment.vms[DRAINED];
    let token = deployment.folder().join("token");
    fs::write(&token, OPERATOR_TOKEN)?;
    let (token, address) = (
        token.display().to_string(),
        vm.operators_address().to_string(),
    );
    say(&format!("$ bluebellpick drain {}", vm.spec.name));
    let (_, output) = deployment.run_cli(&["drain", &address, "--token-file", &token], LIMIT)?;
    print!("{output}");
    Ok(())
}

fn sum_up(outcomes: Vec<Outcome>) -> Vec<Sum> {
    let new_sum = |_| Sum {
        series: LatencySeries::new(),
        endings: BTreeMap::new(),
    };
    let mut sums = SERIES.iter().map(new_sum).collect::<Vec<_>>();
    for outcome in outcomes {
        let sum = &mut sums[outcome.series];
        *sum.endings.entry(name_ending(&outcome)).or_default() += 1;
        sum.series.record(outcome.latency);
    }
    sums
}

fn name_ending(outcome: &Outcome) -> String {
    match &outcome.result {
        Ok(answer) if answer.status.is_success() => "answered".to_owned(),
        Ok(answer) => match answer.header("bluebellpick-verdict") {
            Some(verdict) => verdict.to_owned(),
            None => answer.status.to_string(),
        },
        Err(error) => error.to_string(),
    }
}

fn print_sums(sums: &[Sum]) {
    for (name, sum) in SERIES.iter().zip(sums) {
        let endings = sum.endings.iter();
        let endings = endings.map(|(ending, count)| format!("{count} {ending}"));
        say(&format!(
            "{name}: {}; p50 {:.1} ms, p99 {:.1} ms",
            endings.collect::<Vec<_>>().join(", "),
            sum.series.quantile_ms(0.5),
            sum.series.quantile_ms(0.99)
        ));
    }
}

fn show_reports(deployment: &Deployment) -> Result<(), Error> {
    let platform = deployment.platform_address.to_string();
    let nodes = deployment
        .vms
        .iter()
        .map(|vm| vm.operators_address().to_string());
    let nodes = nodes.map(|address| format!("--node={address}"));
    let nodes = nodes.collect::<Vec<_>>();
    for verb in ["status", "burn"] {
        say(&format!("\n$ bluebellpick {verb}"));
        let mut arguments = vec![verb, "--platform", &platform, "--timeout", "1"];
        arguments.extend(nodes.iter().map(String::as_str));
        // Ends with 1, since the killed VM does not answer; its line says so.
        let (_, output) = deployment.run_cli(&arguments, LIMIT)?;
        print!("{output}");
    }
    Ok(())
}
