//! Checks that the retries of all nodes together stay within the fleet's limit.
//!
//! Backend servers reject a share of their requests, in storms with calm in between. Meanwhile nodes
//! are killed in series, many at once, lose their connections to others or the platform, and start
//! again. The arrivals are counted at the backend servers.

use crate::budget_check::{Allowance, Findings, check};
use crate::caller::{Call, Caller};
use crate::deployment::send_fault;
use crate::error::Error;
use crate::faults;
use crate::faults_callers::now_us;
use crate::faults_inject::{Fault, Stop, Target};
use crate::options;
use crate::soak::copy_files;
use bpaf::{Parser, construct, long};
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::json;
use std::ops::Range;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Service whose backend servers reject requests; all VMs call it.
const SERVICE: &str = "records";

/// Window of the limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Retries as a share of the requests.
const SHARE: f64 = 0.2;

/// Retries in a window in addition to that share, for each node.
const EXTRA_PER_NODE: usize = 2;

/// Calls per second of each VM.
const CALLS_PER_SECOND: u32 = 10;

/// Time that a caller waits, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

/// Length of the calm before a storm, longer than the window.
const CALM: Duration = Duration::from_millis(5_500);

/// Length of a storm.
const STORM: Duration = Duration::from_secs(6);

/// Range of the share of requests that backend servers reject in a storm, in per cent.
const REJECT_PERCENT: Range<u8> = 30..80;

/// Range of the time between two disturbances of nodes in a storm, in milliseconds.
const DISTURBANCE_GAP_MS: Range<u64> = 700..2_500;

/// Range of the time from the end of a node's process to its start, in milliseconds.
const START_DELAY_MS: Range<u64> = 0..300;

/// Whether a disturbance silences the connections of nodes, and whether it kills the nodes.
const DISTURBANCES: [(bool, bool); 4] = [(false, true), (true, true), (false, true), (true, false)];

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
    /// Number of requests.
    pub requests: usize,
    /// Requests that were answered with success.
    pub answered: usize,
    /// Nodes that were killed.
    pub kills: usize,
    /// Nodes that lost their connections to others.
    pub silences: usize,
    /// Storms in which the platform was away.
    pub outages: usize,
    /// Arrivals beyond the first of their request.
    pub repeated: usize,
    /// Windows with more repeated arrivals than allowed.
    pub over_budget: usize,
    /// Largest number of repeated arrivals in a window, divided by what is allowed.
    pub worst_window: f64,
}

impl Report {
    /// Returns whether requests were repeated, and no window had more of them than allowed.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.answered > 0 && self.repeated > 0 && self.over_budget == 0
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

/// Disturbs a fleet whose backend servers reject requests, and counts the repeated arrivals.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't serve in time.
pub async fn run(options: Options) -> Result<Report, Error> {
    let nodes = 9 * options.per_zone;
    let extra = EXTRA_PER_NODE * nodes;
    let settings = [
        format!("repeat_share = {SHARE}"),
        format!("repeat_extra = {extra}"),
        format!("repeat_window = {} ms", WINDOW.as_millis()),
    ];
    let settings = settings.map(|line| ("limits".to_owned(), line));
    let target = faults::spawn(options.per_zone, &settings).await?;
    let end = Instant::now() + options.duration;
    let mut pacers = JoinSet::new();
    for (vm, one) in target.deployment.vms.iter().enumerate() {
        pacers.spawn(send_calls(vm, Caller::new(one.callers_address()), end));
    }
    let mut runner = Runner::new(options.seed, target);
    runner.run_until(end).await?;
    let requests = pacers.join_all().await.concat();
    tokio::time::sleep(LATE_EFFECT_WAIT).await;
    #[expect(clippy::cast_precision_loss, reason = "a small number")]
    let allowance = Allowance {
        share: SHARE,
        extra: extra as f64,
        window_us: u64::try_from(WINDOW.as_micros()).unwrap_or(u64::MAX),
    };
    let report = runner.report(&allowance, &requests)?;
    if let Some(folder) = options.keep_folder.filter(|_| !report.is_clean()) {
        copy_files(runner.target.deployment.folder(), &folder)?;
    }
    Ok(report)
}

/// A request of a caller.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    sent_us: u64,
    is_answered: bool,
}

/// Sends requests to the node of a VM at a fixed rate until `end`, whether it runs or not.
async fn send_calls(vm: usize, caller: Caller, end: Instant) -> Vec<SentRequest> {
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / CALLS_PER_SECOND);
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        calls.spawn(send_call(format!("b-{vm}-{number}"), caller.clone()));
    }
    calls.join_all().await
}

async fn send_call(request: String, caller: Caller) -> SentRequest {
    let call = Call::get("/records/gearbox")
        .header("x-request", &request)
        .header("bluebellpick-timeout-ms", &TIMEOUT_MS.to_string());
    let sent_us = now_us();
    let limit = Duration::from_millis(TIMEOUT_MS + 500);
    let answer = caller.send_within(&call, limit).await;
    SentRequest {
        sent_us,
        is_answered: answer.is_ok_and(|answer| answer.status == StatusCode::OK),
    }
}

/// Has backend servers reject requests, and disturbs nodes.
struct Runner {
    rng: SmallRng,
    target: Target,
    /// When to start the nodes that were killed.
    starts: Vec<(Instant, usize)>,
    report: Report,
}

impl Runner {
    fn new(seed: u64, target: Target) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            target,
            starts: Vec::new(),
            report: Report {
                seed,
                ..Report::default()
            },
        }
    }

    async fn run_until(&mut self, end: Instant) -> Result<(), Error> {
        while Instant::now() < end {
            self.reject(0).await?;
            self.wait_until(end.min(Instant::now() + CALM)).await?;
            let percent = self.rng.random_range(REJECT_PERCENT);
            self.reject(percent).await?;
            let has_platform = self.rng.random_bool(0.7);
            if !has_platform {
                self.report.outages += 1;
                self.target.inject(Fault::PlatformDown).await?;
            }
            eprintln!("{} reject {percent}, platform {has_platform}", now_us());
            let storm_end = end.min(Instant::now() + STORM);
            while Instant::now() < storm_end {
                let gap = Duration::from_millis(self.rng.random_range(DISTURBANCE_GAP_MS));
                self.wait_until(storm_end.min(Instant::now() + gap)).await?;
                self.disturb().await?;
            }
            if !has_platform {
                self.target.recover(Fault::PlatformDown).await?;
            }
        }
        Ok(())
    }

    /// Waits, and starts the nodes that are due meanwhile.
    async fn wait_until(&mut self, until: Instant) -> Result<(), Error> {
        loop {
            let now = Instant::now();
            for (_, vm) in self
                .starts
                .extract_if(.., |(at, _)| *at <= now)
                .collect::<Vec<_>>()
            {
                self.target.start(Stop::Node(vm))?;
            }
            let next = self.starts.iter().map(|(at, _)| *at).min();
            let next = next.map_or(until, |at| at.min(until));
            if now >= until {
                return Ok(());
            }
            tokio::time::sleep_until(next.into()).await;
        }
    }

    /// Kills nodes, or cuts off the connections of nodes, or both.
    async fn disturb(&mut self) -> Result<(), Error> {
        let share = self.rng.random_range(0.2..1.0);
        let (silences, kills) = DISTURBANCES[self.rng.random_range(0..DISTURBANCES.len())];
        eprintln!(
            "{} silences {silences}, kills {kills}, {share:.2}",
            now_us()
        );
        for vm in 0..self.target.deployment.vms.len() {
            if !self.rng.random_bool(share) || self.starts.iter().any(|(_, down)| *down == vm) {
                continue;
            }
            if silences {
                self.report.silences += 1;
                self.target.inject(Fault::Silence(vm)).await?;
            }
            if kills {
                self.report.kills += 1;
                self.target.inject(Fault::KillNode(vm)).await?;
                let delay = Duration::from_millis(self.rng.random_range(START_DELAY_MS));
                self.starts.push((Instant::now() + delay, vm));
            }
        }
        Ok(())
    }

    async fn reject(&self, percent: u8) -> Result<(), Error> {
        let body = json!({ "reject_percent": percent }).to_string();
        let vms = self.target.deployment.vms.iter();
        for vm in vms.filter(|vm| vm.spec.service.as_deref() == Some(SERVICE)) {
            send_fault(vm.backend_address(), &body).await?;
        }
        Ok(())
    }

    fn report(&self, allowance: &Allowance, requests: &[SentRequest]) -> Result<Report, Error> {
        let records = self.target.read_records()?;
        let arrivals: Vec<_> = records
            .iter()
            .flat_map(|record| &record.runs)
            .filter(|run| run.request.starts_with("b-"))
            .map(|run| (run.request.as_str(), run.start_us))
            .collect();
        let sent: Vec<_> = requests.iter().map(|request| request.sent_us).collect();
        let Findings {
            repeated,
            over_budget,
            worst_window,
        } = check(allowance, &sent, &arrivals);
        if over_budget > 0 {
            eprintln!("violation: {over_budget} windows over the budget, the worst {worst_window}");
        }
        let answered = requests.iter().filter(|request| request.is_answered);
        Ok(Report {
            requests: requests.len(),
            answered: answered.count(),
            repeated,
            over_budget,
            worst_window,
            ..self.report.clone()
        })
    }
}
