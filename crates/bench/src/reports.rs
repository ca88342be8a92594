//! Checks that what backend servers report in their responses holds in the whole fleet.
//!
//! Backend servers name limits on the rate of their calls, change them and take them back, and
//! report that they are leaving while their heartbeats go on. Meanwhile nodes are killed, paused,
//! stopped and started again in series, and versions are proposed.

use crate::caller::{Answer, Call, Caller};
use crate::deployment::{Vm, encode_patch, put_service, send_fault};
use crate::error::Error;
use crate::faults_callers::now_us;
use crate::faults_history::Span;
use crate::faults_inject::{Fault, PendingStop, Stop, Target, read_record, read_runs, record_file};
use crate::options;
use crate::process::Process as ChildProcess;
use crate::reports_check::{Arrival, Findings, LimitSpan, Notice, Process, check};
use crate::rolling::spawn;
use crate::soak::copy_files;
use bpaf::{Parser, construct, long};
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::json;
use std::collections::HashMap;
use std::ops::Range;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Service whose backend servers report; all VMs call it.
const SERVICE: &str = "records";

/// Names of the headers for a rate limit: the product's and the platform's.
const LIMIT_HEADERS: [&str; 2] = ["bluebellpick-rate-limit", "server-limit"];

/// Names of the headers for leaving.
const LEAVING_HEADERS: [&str; 2] = ["bluebellpick-leaving", "server-leaving"];

/// Calls per second of each VM, for each backend server of the service in an availability zone.
const CALLS_PER_SECOND: u32 = 15;

/// Work of a call at the backend server, in milliseconds.
const WORK_MS: &str = "40";

/// Time that a caller waits, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

/// Range of the time between two events, in milliseconds.
const EVENT_GAP_MS: Range<u64> = 100..1_200;

/// Range of the limits, in calls per second.
const RATES: Range<f64> = 0.5..25.0;

/// Range of the time from the end of a node's process to its start, in milliseconds.
const START_DELAY_MS: Range<u64> = 0..500;

/// Range of the length of a pause, in milliseconds.
const PAUSE_MS: Range<u64> = 300..2_500;

/// Range of the time for which a backend server keeps serving after it reported that it is leaving,
/// in milliseconds.
const LEAVE_MS: Range<u64> = 4_000..9_000;

/// Time from the start of a node's process until it has certainly installed its signal handlers.
const START_MARGIN_US: u64 = 2_000_000;

/// Interval at which due events are handled.
const TICK: Duration = Duration::from_millis(4);

/// Wait between the end of the callers and the reading of the records.
const LATE_EFFECT_WAIT: Duration = Duration::from_secs(2);

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
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of calls.
    pub calls: usize,
    /// Calls that were answered with success.
    pub answered: usize,
    /// Calls that were refused as "not run".
    pub refused: usize,
    /// Limits named, and changes of limits.
    pub limits: usize,
    /// Backend servers that reported that they are leaving.
    pub departures: usize,
    /// Nodes that were killed.
    pub kills: usize,
    /// Nodes that were paused.
    pub pauses: usize,
    /// Nodes that were stopped gracefully.
    pub stops: usize,
    /// Windows in which a backend server got more calls than its limit allows.
    pub over_limit: usize,
    /// Calls sent to backend servers that had reported that they are leaving.
    pub after_leaving: usize,
    /// Largest number of calls in a window, divided by what is allowed.
    pub worst_window: f64,
    /// Calls that limited backend servers ran, divided by what they had named.
    pub limit_used: f64,
}

impl Report {
    /// Returns whether calls were answered, and no report was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.answered > 0 && self.over_limit + self.after_leaving == 0
    }
}

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let seed = options::parse_seed();
    let duration = options::parse_seconds(30);
    let per_zone = long("per-zone")
        .help("VMs of each of three services in each of three zones")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=12).contains(count), "between 1 and 12")
        .fallback(1)
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

/// Has backend servers report limits and departures under load and restarts, and checks which calls
/// they got.
///
/// # Errors
///
/// When a program can't be started, or doesn't stop in time.
pub async fn run(options: Options) -> Result<Report, Error> {
    let target = spawn(options.per_zone).await?;
    let end = Instant::now() + options.duration;
    let mut pacers = JoinSet::new();
    for (vm, one) in target.deployment.vms.iter().enumerate() {
        pacers.spawn(send_calls(vm, Caller::new(one.callers_address()), end));
    }
    let mut runner = Runner::new(options.seed, target);
    runner.run_until(end).await?;
    let calls = pacers.join_all().await.concat();
    tokio::time::sleep(LATE_EFFECT_WAIT).await;
    let report = runner.report(&calls)?;
    if let Some(folder) = options.keep_folder.filter(|_| !report.is_clean()) {
        copy_files(runner.target.deployment.folder(), &folder)?;
    }
    Ok(report)
}

/// A call of a caller, and what its response reported.
#[derive(Debug, Clone)]
struct SentCall {
    request: String,
    vm: usize,
    sent_us: u64,
    told_us: u64,
    status: Option<StatusCode>,
    has_limit: bool,
    has_leaving: bool,
}

/// Sends calls to the node of a VM at a fixed rate until `end`, over connections that are kept
/// until the node closes them.
async fn send_calls(vm: usize, caller: Caller, end: Instant) -> Vec<SentCall> {
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / CALLS_PER_SECOND);
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        calls.spawn(send_call(vm, format!("r-{vm}-{number}"), caller.clone()));
    }
    calls.join_all().await
}

async fn send_call(vm: usize, request: String, caller: Caller) -> SentCall {
    let call = Call::get("/records/gearbox")
        .header("x-request", &request)
        .header("x-work-ms", WORK_MS)
        .header("bluebellpick-timeout-ms", &TIMEOUT_MS.to_string());
    let sent_us = now_us();
    let limit = Duration::from_millis(TIMEOUT_MS + 500);
    let answer = caller.send_within(&call, limit).await.ok();
    let has = |names: &[&str]| {
        let has_one = |answer: &Answer| names.iter().any(|name| answer.header(name).is_some());
        answer.as_ref().is_some_and(has_one)
    };
    SentCall {
        request,
        vm,
        sent_us,
        told_us: now_us(),
        status: answer.as_ref().map(|answer| answer.status),
        has_limit: has(&LIMIT_HEADERS),
        has_leaving: has(&LEAVING_HEADERS),
    }
}

/// What is due at a later time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Due {
    StartNode(usize),
    KillNode(usize),
    ResumeNode(usize),
    ReplaceServer(usize),
}

/// Has backend servers report, and disturbs nodes.
struct Runner {
    rng: SmallRng,
    target: Target,
    due: Vec<(Instant, Due)>,
    stopping: Vec<PendingStop>,
    proposers: Vec<ChildProcess>,
    /// Since when the node of each VM is disturbed, if it is.
    disturbed_from: Vec<Option<u64>>,
    /// Past disturbances of the node of each VM.
    disturbances: Vec<Vec<Span>>,
    /// Limit that the backend server of each VM names, and since when.
    limits: HashMap<usize, (u64, f64)>,
    leaving: Vec<usize>,
    /// Past limits of the processes of the backend server of each VM.
    past_limits: HashMap<(usize, usize), Vec<LimitSpan>>,
    /// Number of the current process of the backend server of each VM.
    processes: Vec<usize>,
    report: Report,
}

impl Runner {
    fn new(seed: u64, target: Target) -> Self {
        let vms = target.deployment.vms.len();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            target,
            due: Vec::new(),
            stopping: Vec::new(),
            proposers: Vec::new(),
            disturbed_from: vec![None; vms],
            disturbances: vec![Vec::new(); vms],
            limits: HashMap::new(),
            leaving: Vec::new(),
            past_limits: HashMap::new(),
            processes: vec![0; vms],
            report: Report {
                seed,
                ..Report::default()
            },
        }
    }

    async fn run_until(&mut self, end: Instant) -> Result<(), Error> {
        let mut next = Instant::now();
        while Instant::now() < end {
            let now = Instant::now();
            for (_, due) in self
                .due
                .extract_if(.., |(at, _)| *at <= now)
                .collect::<Vec<_>>()
            {
                self.handle_due(due).await?;
            }
            for pending in std::mem::take(&mut self.stopping) {
                if self.target.has_ended(&pending)? {
                    self.schedule(START_DELAY_MS, Due::StartNode(pending.stop.vm()));
                } else if pending.is_overdue() {
                    return Err(Error::Timeout(format!("{:?} to end", pending.stop)));
                } else {
                    self.stopping.push(pending);
                }
            }
            if now >= next {
                self.begin_event().await?;
                next = now + Duration::from_millis(self.rng.random_range(EVENT_GAP_MS));
            }
            tokio::time::sleep(TICK).await;
        }
        let servers: Vec<_> = self.limits.keys().copied().collect();
        for vm in servers {
            self.end_limit(vm);
        }
        for vm in 0..self.disturbances.len() {
            self.end_disturbance(vm);
        }
        Ok(())
    }

    async fn begin_event(&mut self) -> Result<(), Error> {
        let servers: Vec<_> = self.servers().collect();
        let server = servers[self.rng.random_range(0..servers.len())];
        // Half of the disturbances are beside a backend server that has reported something.
        let reporting = self.limits.keys().chain(&self.leaving).min().copied();
        let vm = match reporting {
            Some(vm) if self.rng.random_bool(0.5) => vm,
            _ => self.rng.random_range(0..self.disturbances.len()),
        };
        match self.rng.random_range(0..14) {
            0..5 => self.name_limit(server).await,
            5 => self.take_limit_back(server).await,
            6 => self.name_nonsense(server).await,
            7 if self.leaving.len() + 2 < servers.len().max(3) => self.report_leaving(server).await,
            7..10 => self.kill_node(vm).await,
            10 => self.pause_node(vm).await,
            11 => self.stop_node(vm),
            12 => self.hang_up(vm).await,
            _ => self.propose(),
        }
    }

    /// Returns the VMs whose backend servers report.
    fn servers(&self) -> impl Iterator<Item = usize> {
        let vms = self.target.deployment.vms.iter().enumerate();
        let reports = |vm: &Vm| vm.spec.service.as_deref() == Some(SERVICE);
        vms.filter(move |(_, vm)| reports(vm))
            .map(|(index, _)| index)
    }

    async fn set_headers(&self, vm: usize, headers: &[(&str, &str)]) -> Result<(), Error> {
        let address = self.target.deployment.vms[vm].backend_address();
        let body = json!({ "headers": headers }).to_string();
        send_fault(address, &body).await.map(drop)
    }

    async fn name_limit(&mut self, vm: usize) -> Result<(), Error> {
        if self.leaving.contains(&vm) {
            return Ok(());
        }
        let rate = (self.rng.random_range(RATES) * 10.0).round() / 10.0;
        let header = LIMIT_HEADERS[self.rng.random_range(0..2)];
        self.set_headers(vm, &[(header, &rate.to_string())]).await?;
        self.end_limit(vm);
        self.limits.insert(vm, (now_us(), rate));
        self.report.limits += 1;
        eprintln!("{} limit {rate} at {vm}", now_us());
        Ok(())
    }

    async fn take_limit_back(&mut self, vm: usize) -> Result<(), Error> {
        if self.leaving.contains(&vm) {
            return Ok(());
        }
        self.end_limit(vm);
        eprintln!("{} no limit at {vm}", now_us());
        self.set_headers(vm, &[]).await
    }

    /// Names a limit that can't be read, which changes nothing.
    async fn name_nonsense(&mut self, vm: usize) -> Result<(), Error> {
        if self.leaving.contains(&vm) || !self.limits.contains_key(&vm) {
            return Ok(());
        }
        let nonsense = ["-4", "many", "", "1e9", "NaN"];
        let value = nonsense[self.rng.random_range(0..nonsense.len())];
        eprintln!("{} limit {value:?} at {vm}", now_us());
        self.set_headers(vm, &[(LIMIT_HEADERS[0], value)]).await
    }

    async fn report_leaving(&mut self, vm: usize) -> Result<(), Error> {
        if self.leaving.contains(&vm) {
            return Ok(());
        }
        self.end_limit(vm);
        let header = LEAVING_HEADERS[self.rng.random_range(0..2)];
        self.set_headers(vm, &[(header, "1")]).await?;
        self.leaving.push(vm);
        self.report.departures += 1;
        self.schedule(LEAVE_MS, Due::ReplaceServer(vm));
        eprintln!("{} leaving at {vm}", now_us());
        Ok(())
    }

    fn end_limit(&mut self, vm: usize) {
        if let Some((from_us, rate)) = self.limits.remove(&vm) {
            let to_us = now_us();
            let process = (vm, self.processes[vm]);
            let past = self.past_limits.entry(process).or_default();
            past.push(LimitSpan {
                span: Span { from_us, to_us },
                rate,
            });
        }
    }

    fn begin_disturbance(&mut self, vm: usize) {
        self.disturbed_from[vm] = Some(now_us());
    }

    fn end_disturbance(&mut self, vm: usize) {
        if let Some(from_us) = self.disturbed_from[vm].take() {
            let to_us = now_us();
            self.disturbances[vm].push(Span { from_us, to_us });
        }
    }

    async fn kill_node(&mut self, vm: usize) -> Result<(), Error> {
        if self.disturbed_from[vm].is_some() {
            return Ok(());
        }
        self.begin_disturbance(vm);
        self.report.kills += 1;
        eprintln!("{} kill {vm}", now_us());
        self.target.inject(Fault::KillNode(vm)).await?;
        self.schedule(START_DELAY_MS, Due::StartNode(vm));
        if self.rng.random_bool(0.5) {
            self.schedule(600..1_500, Due::KillNode(vm));
        }
        Ok(())
    }

    async fn pause_node(&mut self, vm: usize) -> Result<(), Error> {
        if self.disturbed_from[vm].is_some() {
            return Ok(());
        }
        self.begin_disturbance(vm);
        self.report.pauses += 1;
        eprintln!("{} pause {vm}", now_us());
        self.schedule(PAUSE_MS, Due::ResumeNode(vm));
        self.target.inject(Fault::FreezeNode(vm)).await
    }

    fn stop_node(&mut self, vm: usize) -> Result<(), Error> {
        if self.disturbed_from[vm].is_some() {
            return Ok(());
        }
        self.begin_disturbance(vm);
        self.report.stops += 1;
        eprintln!("{} stop {vm}", now_us());
        self.stopping
            .push(self.target.request_stop(Stop::Node(vm))?);
        Ok(())
    }

    /// Sends SIGHUP to a node, unless its process may not have installed a handler yet, so that the
    /// signal would end it.
    async fn hang_up(&mut self, vm: usize) -> Result<(), Error> {
        let started_us = self.disturbances[vm].last().map_or(0, |span| span.to_us);
        if self.disturbed_from[vm].is_some() || started_us + START_MARGIN_US > now_us() {
            return Ok(());
        }
        self.target.inject(Fault::Hangup(vm)).await
    }

    async fn handle_due(&mut self, due: Due) -> Result<(), Error> {
        match due {
            Due::StartNode(vm) => {
                self.target.start(Stop::Node(vm))?;
                self.end_disturbance(vm);
                Ok(())
            }
            Due::KillNode(vm) => self.kill_node(vm).await,
            Due::ResumeNode(vm) => {
                self.target.recover(Fault::FreezeNode(vm)).await?;
                self.end_disturbance(vm);
                Ok(())
            }
            Due::ReplaceServer(vm) => {
                self.leaving.retain(|leaving| *leaving != vm);
                self.processes[vm] += 1;
                eprintln!("{} replace {vm}", now_us());
                self.target.kill_and_restart(vm)
            }
        }
    }

    fn schedule(&mut self, delay_ms: Range<u64>, due: Due) {
        let delay = Duration::from_millis(self.rng.random_range(delay_ms));
        self.due.push((Instant::now() + delay, due));
    }

    fn propose(&mut self) -> Result<(), Error> {
        self.proposers.retain_mut(ChildProcess::is_running);
        let folder = self.target.deployment.folder();
        let name = format!("reports-{}", rand::random::<u32>());
        let file = folder.join(format!("{name}.jsonl"));
        std::fs::write(&file, encode_patch(&[put_service(&name)])?)?;
        let platform = self.target.deployment.platform_address.to_string();
        let file = file.display().to_string();
        // Whether the proposal is accepted doesn't matter.
        let arguments = ["propose", &file, "--base", "1", "--platform", &platform];
        let log = folder.join(format!("{name}.log"));
        self.proposers
            .push(ChildProcess::spawn("bluebellpick", arguments, &log)?);
        Ok(())
    }

    fn report(&self, calls: &[SentCall]) -> Result<Report, Error> {
        let by_request: HashMap<_, _> = calls
            .iter()
            .map(|call| (call.request.as_str(), call))
            .collect();
        let is_status = |status: StatusCode| {
            let has = move |call: &&SentCall| call.status == Some(status);
            calls.iter().filter(has).count()
        };
        let mut report = Report {
            calls: calls.len(),
            answered: is_status(StatusCode::OK),
            refused: is_status(StatusCode::SERVICE_UNAVAILABLE),
            ..self.report.clone()
        };
        let (mut named, mut used) = (0.0, 0.0);
        for vm in self.servers() {
            for number in 0..=self.processes[vm] {
                let process = self.read_process(vm, number, &by_request)?;
                let Findings {
                    over_limit,
                    after_leaving,
                    worst_window,
                } = check(&process, &self.disturbances);
                if over_limit + after_leaving > 0 {
                    eprintln!(
                        "violation: process {number} at {vm}: {over_limit} windows over the \
                         limit, the worst {worst_window}, {after_leaving} calls after leaving"
                    );
                }
                report.over_limit += over_limit;
                report.after_leaving += after_leaving;
                report.worst_window = report.worst_window.max(worst_window);
                for limit in &process.limits {
                    let within = |arrival: &&Arrival| {
                        (limit.span.from_us..limit.span.to_us).contains(&arrival.at_us)
                    };
                    let count = process.arrivals.iter().filter(within).count();
                    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
                    let (seconds, count) = (
                        (limit.span.to_us - limit.span.from_us) as f64 / 1e6,
                        count as f64,
                    );
                    named += seconds * limit.rate;
                    used += count;
                }
            }
        }
        report.limit_used = used / f64::max(named, 1.0);
        Ok(report)
    }

    /// Reads what is known of a process of the backend server of a VM.
    fn read_process(
        &self,
        vm: usize,
        number: usize,
        calls: &HashMap<&str, &SentCall>,
    ) -> Result<Process, Error> {
        let file = record_file(self.target.deployment.folder(), vm, number);
        let mut process = Process {
            limits: self
                .past_limits
                .get(&(vm, number))
                .cloned()
                .unwrap_or_default(),
            ..Process::default()
        };
        for run in read_runs(&read_record(&file)?)? {
            let Some(call) = calls.get(run.request.as_str()) else {
                continue;
            };
            process.arrivals.push(Arrival {
                vm: call.vm,
                sent_us: call.sent_us,
                at_us: run.start_us,
            });
            let notice = Notice {
                vm: call.vm,
                at_us: call.told_us,
            };
            if call.has_limit {
                process.limit_notices.push(notice);
            }
            if call.has_leaving {
                process.leave_notices.push(notice);
            }
        }
        process.arrivals.sort_by_key(|arrival| arrival.at_us);
        Ok(process)
    }
}
