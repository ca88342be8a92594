//! What callers get when there is too much, beside a plain baseline.
//!
//! Four nodes with a backend server each take from half to ten times what the
//! backend servers can do. The baseline sends the same calls at the same times
//! to the same backend servers: in turn, first come, first served without a
//! bound, with three retries.

use crate::count::to_f64;
use crate::deployment::{Deployment, VmSpec, put_route, put_service, send_fault};
use crate::error::Error;
use crate::load::Outcome;
use crate::options;
use crate::overload_calls::{
    CAPACITY, Entry, Flow, PROBES, SERVERS, TIMEOUT, Tally, WORK_MS, send_flows,
};
use bpaf::{Parser, construct, long};
use config::{Change, Class, Repeat, Retry};
use serde::Serialize;
use std::str::FromStr;
use std::time::Duration;

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long each series of calls goes on.
    pub duration: Duration,
    /// The one part to run, or all.
    pub only: Option<Part>,
}

/// A part of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Half to ten times the capacity.
    Levels,
    /// One caller that sends more than all others.
    Fairness,
    /// One backend server that is ten times slower.
    Slow,
    /// Two seconds of eight times the capacity.
    Burst,
}

/// Reads what to run.
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
            _ => Err(format!("no part `{name}`")),
        }
    }
}

/// What callers got of one kind of calls.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Level {
    /// Load as times of the capacity.
    pub load: f64,
    /// Answers in time over the capacity.
    pub goodput_ratio: f64,
    /// Commits answered in time, of those sent.
    pub commit_share: f64,
    /// Look-ups answered in time, of those sent.
    pub lookup_share: f64,
    /// Refreshes answered in time, of those sent.
    pub refresh_share: f64,
    /// Commits answered in time, 99th percentile.
    pub commit_p99_ms: f64,
    /// Look-ups answered in time, 99th percentile.
    pub lookup_p99_ms: f64,
    /// Refusals, median.
    pub refusal_p50_ms: f64,
    /// Refusals, 90th percentile.
    pub refusal_p90_ms: f64,
    /// Refusals, 99th percentile.
    pub refusal_p99_ms: f64,
    /// Calls that a backend server answers at once, without a node between, 99th percentile.
    pub wire_p99_ms: f64,
    /// Answers after their deadline.
    pub late_answers: u64,
}

/// Shares of the callers beside a hot one.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Fairness {
    /// Share of the hot caller among all answers in time.
    pub hot_caller_share: f64,
    /// Least share of another caller's calls that were answered in time.
    pub fair_share_min: f64,
    /// Share of all other callers' calls that were answered in time.
    pub fair_share_mean: f64,
}

/// Latencies with one backend server ten times slower.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Slow {
    /// With all of them well, 99th percentile.
    pub healthy_p99_ms: f64,
    /// With a slow one, 99th percentile.
    pub slow_p99_ms: f64,
    /// With a slow one, share answered in time.
    pub slow_share: f64,
}

/// What a burst of refreshes did to commits and look-ups.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Burst {
    /// Share answered in time while it lasted.
    pub share_in_burst: f64,
    /// Seconds after its end until they were answered as before.
    pub normal_after_s: f64,
}

/// What one system gave.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Side {
    /// Half to ten times the capacity.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub levels: Vec<Level>,
    /// Beside a hot caller.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fairness: Option<Fairness>,
    /// With a slow backend server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow: Option<Slow>,
    /// After a burst.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<Burst>,
}

/// What was measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Through the nodes.
    #[serde(flatten)]
    pub nodes: Side,
    /// Goodput at the highest load over the best of all loads.
    pub goodput_top_over_peak: f64,
    /// The plain baseline.
    pub baseline: Side,
}

/// Loads, as times of the capacity.
const LOADS: [f64; 5] = [0.5, 1.0, 2.0, 4.0, 10.0];

/// Longest wait for the fleet to serve.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two runs, in which what waits runs out.
const PAUSE: Duration = Duration::from_secs(2);

/// Series of the classes, with room for the callers of each.
const COMMITS: usize = 0;
const LOOKUPS: usize = 100;
const REFRESHES: usize = 200;
const HOT: usize = 300;

/// Starts the fleet, runs the parts and gives what callers got.
///
/// # Errors
///
/// When a program can't be started, or the fleet doesn't come to serve.
pub async fn run(options: Options) -> Result<Report, Error> {
    let deployment = start().await?;
    let seconds = options.duration.as_secs_f64();
    let wants = |part| options.only.is_none_or(|only| only == part);
    let warm = [
        flow(LOOKUPS, 0.5, (0.0, 3.0)),
        flow(COMMITS, 0.1, (0.0, 3.0)),
    ];
    send_flows(&deployment, &warm, Entry::Nodes).await;
    let mut sides = Vec::new();
    for entry in [Entry::Nodes, Entry::Servers] {
        let mut side = Side::default();
        if wants(Part::Levels) {
            side.levels = measure_levels(&deployment, seconds, entry).await;
        }
        if wants(Part::Fairness) {
            side.fairness = Some(measure_fairness(&deployment, seconds, entry).await);
        }
        if wants(Part::Burst) {
            side.burst = Some(measure_burst(&deployment, entry).await);
        }
        if wants(Part::Slow) {
            side.slow = Some(measure_slow(&deployment, seconds, entry).await?);
        }
        sides.push(side);
    }
    let baseline = sides.pop().unwrap_or_default();
    let nodes = sides.pop().unwrap_or_default();
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
    let plans = (1..=SERVERS).map(|index| {
        let mut plan = VmSpec::new(&format!("vm-{index}"), "zone-1", Some("desk"));
        let work = WORK_MS.to_string();
        // The baseline's queue is the backend server's own, and without bound.
        let arguments = ["--work-ms", &work, "--queue", "1000000"];
        plan.backend_args = arguments.map(str::to_owned).to_vec();
        plan
    });
    let deployment = Deployment::spawn(plans.collect(), &[]).await?;
    let changes = [
        put_service("desk"),
        put_route("/book", "desk", Class::Commit, Repeat::Never),
        put_reads(),
        with_retry(put_route("/find", "desk", Class::Lookup, Repeat::ByMethod)),
        with_retry(put_route(
            "/board",
            "desk",
            Class::Refresh,
            Repeat::ByMethod,
        )),
    ];
    deployment.propose(&changes, 0)?;
    deployment.wait_served("/find/ready", START_LIMIT).await?;
    Ok(deployment)
}

/// Name of the retry rule of calls that read.
const READS: &str = "reads";

fn put_reads() -> Change {
    Change::PutRetry {
        name: READS.into(),
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
        route.retry = Some(READS.into());
    }
    change
}

fn flow(series: usize, share: f64, span: (f64, f64)) -> Flow {
    let (class, callers) = match series {
        COMMITS => (Class::Commit, ("clerk", 30)),
        REFRESHES => (Class::Refresh, ("parent", 30)),
        HOT => (Class::Lookup, ("script", 1)),
        _ => (Class::Lookup, ("fitter", 30)),
    };
    Flow {
        series,
        class,
        callers,
        share,
        span,
    }
}

fn is_of(outcome: &Outcome, series: usize) -> bool {
    (series..series + 100).contains(&outcome.series)
}

async fn measure_levels(deployment: &Deployment, seconds: f64, entry: Entry) -> Vec<Level> {
    let mut levels = Vec::new();
    for load in LOADS {
        tokio::time::sleep(PAUSE).await;
        // A fifth of commits, so that at four times the capacity they alone fit.
        let span = (0.0, seconds);
        let flows = [
            flow(COMMITS, 0.2 * load, span),
            flow(LOOKUPS, 0.5 * load, span),
            flow(REFRESHES, 0.3 * load, span),
        ];
        let outcomes = send_flows(deployment, &flows, entry).await;
        let level = tally_level(&outcomes, load, seconds);
        eprintln!("{entry:?} {level:?}");
        levels.push(level);
    }
    levels
}

fn tally_level(outcomes: &[Outcome], load: f64, seconds: f64) -> Level {
    // The first second fills the queues.
    let counts = |outcome: &Outcome| outcome.at >= Duration::from_secs(1);
    let of = |series| {
        Tally::count(outcomes, |outcome| {
            counts(outcome) && is_of(outcome, series)
        })
    };
    let all = Tally::count(outcomes, |outcome| {
        counts(outcome) && outcome.series < PROBES
    });
    let wire = Tally::count(outcomes, |outcome| outcome.series == PROBES);
    let [commits, lookups, refreshes] = [COMMITS, LOOKUPS, REFRESHES].map(of);
    Level {
        load,
        goodput_ratio: to_f64(all.good.count()) / (CAPACITY * (seconds - 1.0)),
        commit_share: commits.share(),
        lookup_share: lookups.share(),
        refresh_share: refreshes.share(),
        commit_p99_ms: commits.good.quantile_ms(0.99),
        lookup_p99_ms: lookups.good.quantile_ms(0.99),
        refusal_p50_ms: all.refused.quantile_ms(0.5),
        refusal_p90_ms: all.refused.quantile_ms(0.9),
        refusal_p99_ms: all.refused.quantile_ms(0.99),
        wire_p99_ms: wire.good.quantile_ms(0.99),
        late_answers: all.late,
    }
}

async fn measure_fairness(deployment: &Deployment, seconds: f64, entry: Entry) -> Fairness {
    tokio::time::sleep(PAUSE).await;
    let span = (0.0, seconds + 1.0);
    let flows = [flow(LOOKUPS, 0.6, span), flow(HOT, 4.0, span)];
    let outcomes = send_flows(deployment, &flows, entry).await;
    let counts = |outcome: &Outcome| outcome.at >= Duration::from_secs(1);
    let of = |series| {
        Tally::count(&outcomes, |outcome| {
            counts(outcome) && is_of(outcome, series)
        })
    };
    let [others, hot] = [LOOKUPS, HOT].map(of);
    let shares = (LOOKUPS..LOOKUPS + 30).map(|series| {
        Tally::count(&outcomes, |outcome| {
            counts(outcome) && outcome.series == series
        })
        .share()
    });
    let answers = hot.good.count() + others.good.count();
    Fairness {
        hot_caller_share: to_f64(hot.good.count()) / to_f64(answers.max(1)),
        fair_share_min: shares.fold(1.0, f64::min),
        fair_share_mean: others.share(),
    }
}

async fn measure_slow(deployment: &Deployment, seconds: f64, entry: Entry) -> Result<Slow, Error> {
    let span = (0.0, seconds + 2.0);
    let flows = [flow(COMMITS, 0.05, span), flow(LOOKUPS, 0.35, span)];
    // What is learnt of the slow one in two seconds is in force afterwards.
    let counts =
        |outcome: &Outcome| outcome.series < PROBES && outcome.at >= Duration::from_secs(2);
    let mut tallies = Vec::new();
    for factor in [1, 10] {
        tokio::time::sleep(PAUSE).await;
        let fault = format!(r#"{{"slow_factor": {factor}}}"#);
        send_fault(deployment.vms[0].backend_address(), &fault).await?;
        let outcomes = send_flows(deployment, &flows, entry).await;
        tallies.push(Tally::count(&outcomes, counts));
    }
    send_fault(deployment.vms[0].backend_address(), r#"{"slow_factor": 1}"#).await?;
    let slow = Slow {
        healthy_p99_ms: tallies[0].good.quantile_ms(0.99),
        slow_p99_ms: tallies[1].good.quantile_ms(0.99),
        slow_share: tallies[1].share(),
    };
    eprintln!("{entry:?} {slow:?}");
    Ok(slow)
}

/// Begin and end of the burst, in seconds.
const BURST: (f64, f64) = (3.0, 5.0);

/// Length of the run with the burst in it.
const BURST_RUN: f64 = 12.0;

/// Half seconds in which a run is looked at.
const STEP: f64 = 0.5;

/// Share answered in time from which things are normal.
const NORMAL: f64 = 0.98;

async fn measure_burst(deployment: &Deployment, entry: Entry) -> Burst {
    tokio::time::sleep(PAUSE).await;
    let span = (0.0, BURST_RUN);
    let flows = [
        flow(COMMITS, 0.1, span),
        flow(LOOKUPS, 0.5, span),
        flow(REFRESHES, 8.0, BURST),
    ];
    let outcomes = send_flows(deployment, &flows, entry).await;
    let within = |from: f64, to: f64| {
        Tally::count(&outcomes, |outcome| {
            let at = outcome.at.as_secs_f64();
            from <= at && at < to && outcome.series < REFRESHES
        })
    };
    let usual = within(1.0, BURST.0).good.quantile_ms(0.99);
    let mut normal_after_s = 0.0;
    let mut from = BURST.1;
    while from + STEP <= BURST_RUN - TIMEOUT.as_secs_f64() {
        let tally = within(from, from + STEP);
        // Within a step, the 95th percentile is what the 99th is in a long run.
        let slow = tally.good.quantile_ms(0.95) > 1.5 * usual;
        if tally.share() < NORMAL || slow {
            normal_after_s = from + STEP - BURST.1;
        }
        from += STEP;
    }
    Burst {
        share_in_burst: within(BURST.0, BURST.1).share(),
        normal_after_s,
    }
}
