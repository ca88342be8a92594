//! Measures goodput, latency and fairness under overload, in comparison with a plain baseline.
//!
//! Callers send calls to four nodes with one backend server each, at rates from half to ten times
//! the capacity of the backend servers. The baseline sends the same calls at the same times
//! directly to the same backend servers: round robin, with practically unbounded FIFO queues and
//! three retries.

use crate::count::to_f64;
use crate::deployment::{Deployment, VmSpec, put_route, put_service, send_fault};
use crate::error::Error;
use crate::load::Outcome;
use crate::options;
use crate::overload_calls::{
    CALL_TIMEOUT, CAPACITY_PER_S, EntryPoint, Flow, FlowTally, PROBE_SERIES, SERVER_COUNT, WORK_MS,
    send_flows,
};
use bpaf::{Parser, construct, long};
use config::{Change, Class, Repeat, Retry};
use serde::Serialize;
use std::str::FromStr;
use std::time::Duration;

/// Options of the experiment.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Duration of a run at one load. The runs for fairness and for a slow backend server are 1 s
    /// and 2 s longer, and the run with the burst has a fixed duration.
    pub duration: Duration,
    /// The only part to run; `None` to run all parts.
    pub only: Option<Part>,
}

/// A part of the experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Loads from half to ten times the capacity.
    Levels,
    /// One caller that sends more calls than all other callers together.
    Fairness,
    /// One backend server that is ten times slower than the others.
    Slow,
    /// Two seconds of refreshes at eight times the capacity.
    Burst,
}

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let duration = options::parse_seconds(5);
    let only = long("only")
        .help("Run just this part: levels, fairness, slow or burst")
        .argument::<Part>("PART")
        .optional();
    construct!(Options { duration, only })
}

impl FromStr for Part {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "levels" => Ok(Self::Levels),
            "fairness" => Ok(Self::Fairness),
            "slow" => Ok(Self::Slow),
            "burst" => Ok(Self::Burst),
            _ => Err(format!("unknown part `{name}`")),
        }
    }
}

/// Results at one load.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Level {
    /// Load, as a multiple of the capacity.
    pub load: f64,
    /// Rate of the calls answered in time, divided by the capacity.
    pub goodput_ratio: f64,
    /// Share of the commits that were answered in time.
    pub commit_share: f64,
    /// Share of the look-ups that were answered in time.
    pub lookup_share: f64,
    /// Share of the refreshes that were answered in time.
    pub refresh_share: f64,
    /// Latency of the commits answered in time, 99th percentile.
    pub commit_p99_ms: f64,
    /// Latency of the look-ups answered in time, 99th percentile.
    pub lookup_p99_ms: f64,
    /// Latency of the refusals, median.
    pub refusal_p50_ms: f64,
    /// Latency of the refusals, 90th percentile.
    pub refusal_p90_ms: f64,
    /// Latency of the refusals, 99th percentile.
    pub refusal_p99_ms: f64,
    /// 99th percentile of the latency of probes, which bypass the nodes and which backend servers
    /// answer at once.
    pub wire_p99_ms: f64,
    /// Number of successful responses after the deadline of their calls.
    pub late_answers: u64,
}

/// Results with one hot caller.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Fairness {
    /// Share of the hot caller's calls in all calls answered in time.
    pub hot_caller_share: f64,
    /// Share of a caller's calls that were answered in time: the lowest among the other callers.
    pub fair_share_min: f64,
    /// Share of calls that were answered in time, over all other callers together.
    pub fair_share_mean: f64,
}

/// Results with one backend server that is ten times slower than the others.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Slow {
    /// 99th percentile of the latency of calls answered in time, in a run without a slow backend
    /// server.
    pub healthy_p99_ms: f64,
    /// 99th percentile of the latency of calls answered in time, in a run with a slow backend
    /// server.
    pub slow_p99_ms: f64,
    /// Share of calls that were answered in time, in the run with a slow backend server.
    pub slow_share: f64,
}

/// Effect of a burst of refreshes on commits and look-ups.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Burst {
    /// Share of commits and look-ups answered in time during the burst.
    pub share_in_burst: f64,
    /// Time from the end of the burst until the share of calls answered in time and their latency
    /// were normal again, in seconds.
    pub normal_after_s: f64,
}

/// Results of one system: the nodes or the baseline.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SystemReport {
    /// Results by load, from half to ten times the capacity.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub levels: Vec<Level>,
    /// Results with a hot caller.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fairness: Option<Fairness>,
    /// Results with a slow backend server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow: Option<Slow>,
    /// Results with a burst.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<Burst>,
}

/// Results of the experiment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Results through the nodes.
    #[serde(flatten)]
    pub nodes: SystemReport,
    /// Goodput at the highest load, divided by the highest goodput at any load.
    pub goodput_top_over_peak: f64,
    /// Results of the baseline.
    pub baseline: SystemReport,
}

/// Loads, as multiples of the capacity.
const LOAD_FACTORS: [f64; 5] = [0.5, 1.0, 2.0, 4.0, 10.0];

/// Time limit for the fleet to start serving.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two runs, in which the queues drain.
const RUN_PAUSE: Duration = Duration::from_secs(2);

/// First series of each group of callers; every caller of a group has a series of its own.
const COMMIT_SERIES: usize = 0;
const LOOKUP_SERIES: usize = 100;
const REFRESH_SERIES: usize = 200;
const HOT_CALLER_SERIES: usize = 300;

/// Starts the fleet, runs the selected parts and returns the results.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't serve in time.
pub async fn run(options: Options) -> Result<Report, Error> {
    let deployment = start().await?;
    let seconds = options.duration.as_secs_f64();
    let is_selected = |part| options.only.is_none_or(|only| only == part);
    let warm_up = [
        make_flow(LOOKUP_SERIES, 0.5, (0.0, 3.0)),
        make_flow(COMMIT_SERIES, 0.1, (0.0, 3.0)),
    ];
    send_flows(&deployment, &warm_up, EntryPoint::Nodes).await;
    let mut systems = Vec::new();
    for entry_point in [EntryPoint::Nodes, EntryPoint::Servers] {
        let mut system = SystemReport::default();
        if is_selected(Part::Levels) {
            system.levels = measure_levels(&deployment, seconds, entry_point).await;
        }
        if is_selected(Part::Fairness) {
            system.fairness = Some(measure_fairness(&deployment, seconds, entry_point).await);
        }
        if is_selected(Part::Burst) {
            system.burst = Some(measure_burst(&deployment, entry_point).await);
        }
        if is_selected(Part::Slow) {
            system.slow = Some(measure_slow(&deployment, seconds, entry_point).await?);
        }
        systems.push(system);
    }
    let baseline = systems.pop().unwrap_or_default();
    let nodes = systems.pop().unwrap_or_default();
    let goodputs = nodes.levels.iter().map(|level| level.goodput_ratio);
    let peak = goodputs.fold(f64::MIN_POSITIVE, f64::max);
    let top = nodes.levels.last().map_or(0.0, |level| level.goodput_ratio);
    Ok(Report {
        nodes,
        goodput_top_over_peak: top / peak,
        baseline,
    })
}

async fn start() -> Result<Deployment, Error> {
    let specs = (1..=SERVER_COUNT).map(|index| {
        let mut spec = VmSpec::new(&format!("vm-{index}"), "zone-1", Some("desk"));
        let work = WORK_MS.to_string();
        // The baseline queues calls at the backend servers; a bound of a million calls is
        // practically none.
        let arguments = ["--work-ms", &work, "--queue", "1000000"];
        spec.backend_args = arguments.map(str::to_owned).to_vec();
        spec
    });
    let deployment = Deployment::spawn(specs.collect(), &[]).await?;
    let changes = [
        put_service("desk"),
        put_route("/book", "desk", Class::Commit, Repeat::Never),
        put_read_retry(),
        with_retry(put_route("/find", "desk", Class::Lookup, Repeat::ByMethod)),
        with_retry(put_route(
            "/board",
            "desk",
            Class::Refresh,
            Repeat::ByMethod,
        )),
    ];
    deployment.propose(&changes, 0)?;
    deployment.wait_served("/find/ready", START_TIMEOUT).await?;
    Ok(deployment)
}

/// Name of the retry rule of look-ups and refreshes.
const READ_RETRY: &str = "reads";

fn put_read_retry() -> Change {
    Change::PutRetry {
        name: READ_RETRY.into(),
        retry: Retry {
            attempts: 3,
            budget_percent: 20,
            hedge: true,
            repeat_may_have_run: true,
        },
    }
}

fn with_retry(mut change: Change) -> Change {
    if let Change::PutRoute { route, .. } = &mut change {
        route.retry = Some(READ_RETRY.into());
    }
    change
}

fn make_flow(series: usize, load_factor: f64, span_s: (f64, f64)) -> Flow {
    let (class, callers) = match series {
        COMMIT_SERIES => (Class::Commit, ("clerk", 30)),
        REFRESH_SERIES => (Class::Refresh, ("parent", 30)),
        HOT_CALLER_SERIES => (Class::Lookup, ("script", 1)),
        _ => (Class::Lookup, ("fitter", 30)),
    };
    Flow {
        series,
        class,
        callers,
        load_factor,
        span_s,
    }
}

fn is_in_series(outcome: &Outcome, series: usize) -> bool {
    (series..series + 100).contains(&outcome.series)
}

async fn measure_levels(
    deployment: &Deployment,
    seconds: f64,
    entry_point: EntryPoint,
) -> Vec<Level> {
    let mut levels = Vec::new();
    for load in LOAD_FACTORS {
        tokio::time::sleep(RUN_PAUSE).await;
        // A fifth of the calls are commits, so that the commits alone still fit into the capacity
        // at a load of four times the capacity.
        let span = (0.0, seconds);
        let flows = [
            make_flow(COMMIT_SERIES, 0.2 * load, span),
            make_flow(LOOKUP_SERIES, 0.5 * load, span),
            make_flow(REFRESH_SERIES, 0.3 * load, span),
        ];
        let outcomes = send_flows(deployment, &flows, entry_point).await;
        let level = tally_level(&outcomes, load, seconds);
        eprintln!("{entry_point:?} {level:?}");
        levels.push(level);
    }
    levels
}

fn tally_level(outcomes: &[Outcome], load: f64, seconds: f64) -> Level {
    // The first second is left out, because the queues fill up in that time.
    let is_measured = |outcome: &Outcome| outcome.at >= Duration::from_secs(1);
    let tally_series = |series| {
        FlowTally::count(outcomes, |outcome| {
            is_measured(outcome) && is_in_series(outcome, series)
        })
    };
    let all = FlowTally::count(outcomes, |outcome| {
        is_measured(outcome) && outcome.series < PROBE_SERIES
    });
    let wire = FlowTally::count(outcomes, |outcome| outcome.series == PROBE_SERIES);
    let [commits, lookups, refreshes] =
        [COMMIT_SERIES, LOOKUP_SERIES, REFRESH_SERIES].map(tally_series);
    Level {
        load,
        goodput_ratio: to_f64(all.in_time.count()) / (CAPACITY_PER_S * (seconds - 1.0)),
        commit_share: commits.in_time_share(),
        lookup_share: lookups.in_time_share(),
        refresh_share: refreshes.in_time_share(),
        commit_p99_ms: commits.in_time.quantile_ms(0.99),
        lookup_p99_ms: lookups.in_time.quantile_ms(0.99),
        refusal_p50_ms: all.refused.quantile_ms(0.5),
        refusal_p90_ms: all.refused.quantile_ms(0.9),
        refusal_p99_ms: all.refused.quantile_ms(0.99),
        wire_p99_ms: wire.in_time.quantile_ms(0.99),
        late_answers: all.late,
    }
}

async fn measure_fairness(
    deployment: &Deployment,
    seconds: f64,
    entry_point: EntryPoint,
) -> Fairness {
    tokio::time::sleep(RUN_PAUSE).await;
    let span = (0.0, seconds + 1.0);
    let flows = [
        make_flow(LOOKUP_SERIES, 0.6, span),
        make_flow(HOT_CALLER_SERIES, 4.0, span),
    ];
    let outcomes = send_flows(deployment, &flows, entry_point).await;
    let is_measured = |outcome: &Outcome| outcome.at >= Duration::from_secs(1);
    let tally_series = |series| {
        FlowTally::count(&outcomes, |outcome| {
            is_measured(outcome) && is_in_series(outcome, series)
        })
    };
    let [others, hot] = [LOOKUP_SERIES, HOT_CALLER_SERIES].map(tally_series);
    let shares = (LOOKUP_SERIES..LOOKUP_SERIES + 30).map(|series| {
        FlowTally::count(&outcomes, |outcome| {
            is_measured(outcome) && outcome.series == series
        })
        .in_time_share()
    });
    let answers = hot.in_time.count() + others.in_time.count();
    Fairness {
        hot_caller_share: to_f64(hot.in_time.count()) / to_f64(answers.max(1)),
        fair_share_min: shares.fold(1.0, f64::min),
        fair_share_mean: others.in_time_share(),
    }
}

async fn measure_slow(
    deployment: &Deployment,
    seconds: f64,
    entry_point: EntryPoint,
) -> Result<Slow, Error> {
    let span = (0.0, seconds + 2.0);
    let flows = [
        make_flow(COMMIT_SERIES, 0.05, span),
        make_flow(LOOKUP_SERIES, 0.35, span),
    ];
    // The first two seconds are left out, because the nodes learn in that time that a backend
    // server is slow.
    let is_measured =
        |outcome: &Outcome| outcome.series < PROBE_SERIES && outcome.at >= Duration::from_secs(2);
    let mut tallies = Vec::new();
    for factor in [1, 10] {
        tokio::time::sleep(RUN_PAUSE).await;
        let fault = format!(r#"{{"slow_factor": {factor}}}"#);
        send_fault(deployment.vms[0].backend_address(), &fault).await?;
        let outcomes = send_flows(deployment, &flows, entry_point).await;
        tallies.push(FlowTally::count(&outcomes, is_measured));
    }
    send_fault(deployment.vms[0].backend_address(), r#"{"slow_factor": 1}"#).await?;
    let slow = Slow {
        healthy_p99_ms: tallies[0].in_time.quantile_ms(0.99),
        slow_p99_ms: tallies[1].in_time.quantile_ms(0.99),
        slow_share: tallies[1].in_time_share(),
    };
    eprintln!("{entry_point:?} {slow:?}");
    Ok(slow)
}

/// Start and end of the burst, in seconds from the start of the run.
const BURST_SPAN_S: (f64, f64) = (3.0, 5.0);

/// Duration of the run with the burst, in seconds.
const BURST_RUN_S: f64 = 12.0;

/// Length of the windows in which the recovery is evaluated, in seconds.
const WINDOW_S: f64 = 0.5;

/// Share of calls answered in time from which a window counts as normal.
const NORMAL_SHARE: f64 = 0.98;

async fn measure_burst(deployment: &Deployment, entry_point: EntryPoint) -> Burst {
    tokio::time::sleep(RUN_PAUSE).await;
    let span = (0.0, BURST_RUN_S);
    let flows = [
        make_flow(COMMIT_SERIES, 0.1, span),
        make_flow(LOOKUP_SERIES, 0.5, span),
        make_flow(REFRESH_SERIES, 8.0, BURST_SPAN_S),
    ];
    let outcomes = send_flows(deployment, &flows, entry_point).await;
    let within = |from: f64, to: f64| {
        FlowTally::count(&outcomes, |outcome| {
            let at = outcome.at.as_secs_f64();
            from <= at && at < to && outcome.series < REFRESH_SERIES
        })
    };
    let baseline_p99_ms = within(1.0, BURST_SPAN_S.0).in_time.quantile_ms(0.99);
    let mut normal_after_s = 0.0;
    let mut from = BURST_SPAN_S.1;
    while from + WINDOW_S <= BURST_RUN_S - CALL_TIMEOUT.as_secs_f64() {
        let tally = within(from, from + WINDOW_S);
        // A window has few calls, so the 95th percentile of the window is compared with the 99th
        // percentile before the burst.
        let slow = tally.in_time.quantile_ms(0.95) > 1.5 * baseline_p99_ms;
        if tally.in_time_share() < NORMAL_SHARE || slow {
            normal_after_s = from + WINDOW_S - BURST_SPAN_S.1;
        }
        from += WINDOW_S;
    }
    Burst {
        share_in_burst: within(BURST_SPAN_S.0, BURST_SPAN_S.1).in_time_share(),
        normal_after_s,
    }
}
