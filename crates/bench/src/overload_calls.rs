//! Calls of the overload experiment, sent to the nodes or, for the baseline, to the backend
//! servers.

use crate::caller::{Answer, Call, Caller};
use crate::count::to_f64;
use crate::deployment::Deployment;
use crate::error::Error;
use crate::load::{LatencySeries, Outcome, PlannedCall, send_planned, send_planned_with};
use config::Class;
use http::Method;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Mean duration of a call's work at a backend server, in milliseconds: long compared with the CPU
/// time that the bench needs per call, so that the bench can send ten times the capacity.
pub const WORK_MS: u32 = 60;

/// Number of backend servers, each with six slots.
pub const SERVER_COUNT: u32 = 4;

/// Number of slots of all backend servers.
const SLOT_COUNT: u32 = SERVER_COUNT * 6;

/// Capacity of all backend servers, in calls per second.
pub const CAPACITY_PER_S: f64 = SLOT_COUNT as f64 * 1000.0 / WORK_MS as f64;

/// Timeout of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of attempts of the baseline per call: the first attempt and three retries.
const MAX_ATTEMPTS: u32 = 4;

/// Seed of the random choices: the send time, caller and node of each call.
const SEED: u64 = 6;

/// Calls of one class by a group of callers.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// Series of the first caller; the series of the other callers follow it.
    pub series: usize,
    /// Class of the calls.
    pub class: Class,
    /// Prefix of the callers' names, and the number of callers; each call is made by a random
    /// caller.
    pub callers: (&'static str, u32),
    /// Rate of the calls, as a multiple of the capacity.
    pub load_factor: f64,
    /// Start and end of the time in which calls are sent, in seconds from the start of the run.
    pub span_s: (f64, f64),
}

/// Where the bench sends the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPoint {
    /// To the nodes.
    Nodes,
    /// Directly to the backend servers, round robin, with three retries.
    Servers,
}

/// Sends all calls of the flows and returns their outcomes.
pub async fn send_flows(
    deployment: &Deployment,
    flows: &[Flow],
    entry_point: EntryPoint,
) -> Vec<Outcome> {
    let vms = deployment.vms.iter();
    let addresses = vms.map(|vm| match entry_point {
        EntryPoint::Nodes => vm.callers_address(),
        EntryPoint::Servers => vm.backend_address(),
    });
    let targets = addresses.map(Caller::new).collect::<Vec<_>>();
    let mut plan = plan_calls(flows, &targets);
    plan.extend(plan_probes(deployment, flows));
    match entry_point {
        // The node ends a call at the call's deadline; this time limit only keeps the bench from
        // hanging.
        EntryPoint::Nodes => send_planned(plan, 5 * CALL_TIMEOUT).await,
        EntryPoint::Servers => send_round_robin(plan, targets).await,
    }
}

async fn send_round_robin(plan: Vec<PlannedCall>, targets: Vec<Caller>) -> Vec<Outcome> {
    let targets = Arc::new(targets);
    let next_target = Arc::new(AtomicUsize::new(0));
    send_planned_with(plan, move |planned| {
        let (targets, next_target) = (Arc::clone(&targets), Arc::clone(&next_target));
        async move {
            if planned.series == PROBE_SERIES {
                return planned
                    .caller
                    .send_within(&planned.call, CALL_TIMEOUT)
                    .await;
            }
            send_with_retries(&planned.call, &targets, &next_target).await
        }
    })
    .await
}

/// Sends a call to backend servers, round robin, until an attempt succeeds or four have failed.
/// Each attempt may take a quarter of the timeout.
async fn send_with_retries(
    call: &Call,
    targets: &[Caller],
    next_target: &AtomicUsize,
) -> Result<Answer, Error> {
    let mut last = Err(Error::Timeout("no attempt".to_owned()));
    for _ in 0..MAX_ATTEMPTS {
        let next = next_target.fetch_add(1, Ordering::Relaxed) % targets.len();
        last = targets[next]
            .send_within(call, CALL_TIMEOUT / MAX_ATTEMPTS)
            .await;
        if last.as_ref().is_ok_and(|answer| answer.status.is_success()) {
            break;
        }
    }
    last
}

/// Series of the probes.
pub const PROBE_SERIES: usize = 1_000;

/// Interval between the sends of two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(10);

/// Plans probes, which are calls that a backend server answers at once. Probes measure the latency
/// that the network and the machine add during the run.
fn plan_probes(deployment: &Deployment, flows: &[Flow]) -> Vec<PlannedCall> {
    let end = flows.iter().map(|flow| flow.span_s.1).fold(0.0, f64::max);
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    for vm in deployment.vms.iter().cycle() {
        if at.as_secs_f64() >= end {
            break;
        }
        planned.push(PlannedCall {
            at,
            series: PROBE_SERIES,
            caller: Caller::new(vm.backend_address()),
            call: Call::get("/health"),
        });
        at += PROBE_PERIOD;
    }
    planned
}

/// Plans the calls of all flows with independent random send times (a Poisson process), like those
/// of many independent callers.
fn plan_calls(flows: &[Flow], targets: &[Caller]) -> Vec<PlannedCall> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut planned = Vec::new();
    for flow in flows {
        let mut at = flow.span_s.0;
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / (flow.load_factor * CAPACITY_PER_S);
            if at >= flow.span_s.1 {
                break;
            }
            let caller = rng.random_range(0..flow.callers.1);
            planned.push(PlannedCall {
                at: Duration::from_secs_f64(at),
                // Each caller of the flow has a series of its own.
                series: flow.series + caller as usize,
                caller: targets[rng.random_range(0..targets.len())].clone(),
                call: make_call(flow, caller),
            });
        }
    }
    planned
}

fn make_call(flow: &Flow, caller: u32) -> Call {
    let name = format!("{}-{caller}", flow.callers.0);
    let (method, prefix) = match flow.class {
        Class::Commit => (Method::POST, "/book"),
        Class::Lookup => (Method::GET, "/find"),
        Class::Refresh => (Method::GET, "/board"),
    };
    Call::new(method, &format!("{prefix}/{name}"))
        .header("bluebellpick-caller", &name)
        .header(
            "bluebellpick-timeout-ms",
            &CALL_TIMEOUT.as_millis().to_string(),
        )
}

/// Counts and latencies of a set of calls.
#[derive(Debug)]
pub struct FlowTally {
    /// Latencies of the calls that were answered with success within their timeout.
    pub in_time: LatencySeries,
    /// Latencies of the calls that were answered with an error status.
    pub refused: LatencySeries,
    /// Number of calls, with or without a response.
    pub sent: u64,
    /// Number of calls that were answered with success only after their timeout.
    pub late: u64,
}

impl FlowTally {
    /// Counts the calls for whose outcomes `is_selected` returns true.
    pub fn count<F>(outcomes: &[Outcome], is_selected: F) -> Self
    where
        F: Fn(&Outcome) -> bool,
    {
        let mut tally = Self {
            in_time: LatencySeries::new(),
            refused: LatencySeries::new(),
            sent: 0,
            late: 0,
        };
        for outcome in outcomes.iter().filter(|outcome| is_selected(outcome)) {
            tally.add(outcome);
        }
        tally
    }

    fn add(&mut self, outcome: &Outcome) {
        self.sent += 1;
        let Ok(answer) = &outcome.result else {
            return;
        };
        if !answer.status.is_success() {
            self.refused.record(outcome.latency);
        } else if outcome.latency > CALL_TIMEOUT {
            self.late += 1;
        } else {
            self.in_time.record(outcome.latency);
        }
    }

    /// Returns the share of the calls that were answered in time.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        to_f64(self.in_time.count()) / to_f64(self.sent.max(1))
    }
}
