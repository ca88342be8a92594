//! Calls of the overload runs, and how a plain baseline sends them.

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

/// Mean work of a call, in milliseconds: long against what the bench itself
/// takes for a call, so that ten times the capacity is within its reach.
pub const WORK_MS: u32 = 60;

/// Backend servers, each with six slots.
pub const SERVERS: u32 = 4;

/// Slots of all backend servers.
const SLOTS: u32 = SERVERS * 6;

/// Calls a second that all backend servers do.
pub const CAPACITY: f64 = SLOTS as f64 * 1000.0 / WORK_MS as f64;

/// Time that a caller gives a call.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// Tries of the baseline: the first and three retries.
const TRIES: u32 = 4;

/// Seed of the send times.
const SEED: u64 = 6;

/// Callers' calls of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// Series that they count for.
    pub series: usize,
    /// What they are worth.
    pub class: Class,
    /// Name of the caller; each call is of one of so many callers.
    pub callers: (&'static str, u32),
    /// Calls a second, as a share of the capacity.
    pub share: f64,
    /// Seconds at which they begin and end.
    pub span: (f64, f64),
}

/// Who takes the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// The nodes.
    Nodes,
    /// The backend servers themselves, in turn, with three retries.
    Servers,
}

/// Sends all calls of some flows and gives what became of them.
pub async fn send_flows(deployment: &Deployment, flows: &[Flow], entry: Entry) -> Vec<Outcome> {
    let vms = deployment.vms.iter();
    let addresses = vms.map(|vm| match entry {
        Entry::Nodes => vm.callers_address(),
        Entry::Servers => vm.backend_address(),
    });
    let places = addresses.map(Caller::new).collect::<Vec<_>>();
    let mut plan = plan_calls(flows, &places);
    plan.extend(plan_probes(deployment, flows));
    match entry {
        // The node itself ends a call at its deadline; the bench only must not hang.
        Entry::Nodes => send_planned(plan, 5 * TIMEOUT).await,
        Entry::Servers => send_in_turn(plan, places).await,
    }
}

async fn send_in_turn(plan: Vec<PlannedCall>, places: Vec<Caller>) -> Vec<Outcome> {
    let places = Arc::new(places);
    let turn = Arc::new(AtomicUsize::new(0));
    send_planned_with(plan, move |planned| {
        let (places, turn) = (Arc::clone(&places), Arc::clone(&turn));
        async move {
            if planned.series == PROBES {
                return planned.caller.send_within(&planned.call, TIMEOUT).await;
            }
            send_tries(&planned.call, &places, &turn).await
        }
    })
    .await
}

/// Tries up to four backend servers in turn, each for a quarter of the time.
async fn send_tries(call: &Call, places: &[Caller], turn: &AtomicUsize) -> Result<Answer, Error> {
    let mut last = Err(Error::Timeout("no try".to_owned()));
    for _ in 0..TRIES {
        let next = turn.fetch_add(1, Ordering::Relaxed) % places.len();
        last = places[next].send_within(call, TIMEOUT / TRIES).await;
        if last.as_ref().is_ok_and(|answer| answer.status.is_success()) {
            break;
        }
    }
    last
}

/// Series of the probes.
pub const PROBES: usize = 1_000;

/// Time between two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(10);

/// Plans calls that a backend server answers at once: what the wire and the
/// machine take meanwhile.
fn plan_probes(deployment: &Deployment, flows: &[Flow]) -> Vec<PlannedCall> {
    let end = flows.iter().map(|flow| flow.span.1).fold(0.0, f64::max);
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    for vm in deployment.vms.iter().cycle() {
        if at.as_secs_f64() >= end {
            break;
        }
        planned.push(PlannedCall {
            at,
            series: PROBES,
            caller: Caller::new(vm.backend_address()),
            call: Call::get("/health"),
        });
        at += PROBE_PERIOD;
    }
    planned
}

/// Draws send times that are independent of each other, as those of many callers are.
fn plan_calls(flows: &[Flow], places: &[Caller]) -> Vec<PlannedCall> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut planned = Vec::new();
    for flow in flows {
        let mut at = flow.span.0;
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / (flow.share * CAPACITY);
            if at >= flow.span.1 {
                break;
            }
            let caller = rng.random_range(0..flow.callers.1);
            planned.push(PlannedCall {
                at: Duration::from_secs_f64(at),
                // Callers of a kind have series of their own, one after the other.
                series: flow.series + caller as usize,
                caller: places[rng.random_range(0..places.len())].clone(),
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
        .header("bluebellpick-timeout-ms", &TIMEOUT.as_millis().to_string())
}

/// What a set of series came to.
#[derive(Debug)]
pub struct Tally {
    /// Latencies of the answers in time.
    pub good: LatencySeries,
    /// Latencies of the refusals.
    pub refused: LatencySeries,
    /// Calls sent.
    pub sent: u64,
    /// Answers after the deadline.
    pub late: u64,
}

impl Tally {
    /// Counts the outcomes that `choose` wants.
    pub fn count<F>(outcomes: &[Outcome], choose: F) -> Self
    where
        F: Fn(&Outcome) -> bool,
    {
        let mut tally = Self {
            good: LatencySeries::new(),
            refused: LatencySeries::new(),
            sent: 0,
            late: 0,
        };
        for outcome in outcomes.iter().filter(|outcome| choose(outcome)) {
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
        } else if outcome.latency > TIMEOUT {
            self.late += 1;
        } else {
            self.good.record(outcome.latency);
        }
    }

    /// Gives the share of the calls that were answered in time.
    #[must_use]
    pub fn share(&self) -> f64 {
        to_f64(self.good.count()) / to_f64(self.sent.max(1))
    }
}
