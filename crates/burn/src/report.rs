//! What the counts say about the objectives.

use crate::counts::{Counts, Tally, Window};
use config::{Objective, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// A million: objectives are in parts of it.
const MILLION: u32 = 1_000_000;

/// Pairs of windows that must both burn so fast, and what follows.
///
/// From table 5-8 of the workbook: 14.4 spends 2 % of a budget of 30 days in
/// an hour, 6 spends 5 % in six hours, 1 spends 10 % in three days. The short
/// window ends the alert soon after the trouble ends.
const RULES: [(Window, Window, f64, Alert); 3] = [
    (Window::FiveMinutes, Window::Hour, 14.4, Alert::Page),
    (Window::HalfHour, Window::SixHours, 6.0, Alert::Page),
    (Window::SixHours, Window::ThreeDays, 1.0, Alert::Ticket),
];

/// Bad calls in the long window below which nobody is called.
///
/// Load pattern: a service with three calls an hour at night, one of which
/// fails. Without this bound it burns hundreds of times too fast, and somebody
/// is woken by a single call. With fewer than five, one more or less moves the
/// burn by over a fifth, so that it says nothing yet.
const LEAST_BAD: u64 = 5;

/// What a node reports of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// What the service promises, by the node's configuration.
    pub objective: Option<Objective>,
    /// The counts of each window.
    pub windows: Tally,
}

/// What a node reports of all services that it called.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeCounts {
    /// Name of the node.
    pub node: SmolStr,
    /// Version that its objectives are of.
    pub version: Version,
    /// How long it has counted, in seconds; a new process starts from nothing.
    pub counted_s: u64,
    /// The services by name.
    pub services: BTreeMap<SmolStr, ServiceCounts>,
}

/// Who is to be called.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Nobody.
    #[default]
    None,
    /// Somebody, within days.
    Ticket,
    /// Somebody, now.
    Page,
}

/// How one objective stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Share of the budget of three days that is left; below zero when overspent.
    pub budget_left: f64,
    /// How many times faster than allowed the budget is spent, per window.
    pub burn: BTreeMap<Window, f64>,
    /// Who is to be called.
    pub alert: Alert,
}

/// How a service stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: SmolStr,
    /// What it promises, if anything.
    pub objective: Option<Objective>,
    /// Calls of the last three days that count.
    pub calls: u64,
    /// How the promise of answers stands.
    pub availability: Option<BudgetStatus>,
    /// How the promise of quick answers stands.
    pub latency: Option<BudgetStatus>,
}

/// Adds up what nodes report; of objectives, the one of the highest version counts.
#[must_use]
pub fn merge(nodes: &[NodeCounts]) -> BTreeMap<SmolStr, ServiceCounts> {
    let mut by_version = nodes.iter().collect::<Vec<_>>();
    by_version.sort_by_key(|node| node.version);
    let mut merged = BTreeMap::<SmolStr, ServiceCounts>::new();
    for node in by_version {
        for (name, service) in &node.services {
            let sum = merged.entry(name.clone()).or_default();
            sum.objective = service.objective;
            sum.windows += &service.windows;
        }
    }
    merged
}

/// Judges the counts of a service.
#[must_use]
pub fn evaluate(name: &SmolStr, service: &ServiceCounts) -> ServiceReport {
    let windows = &service.windows;
    let availability = |objective: Objective| {
        evaluate_level(windows, objective.availability_ppm, |counts| {
            (counts.failed, counts.calls)
        })
    };
    // A failed call is no slow answer: it has burnt the other budget already.
    let latency = |objective: Objective| {
        evaluate_level(windows, objective.latency_ppm, |counts| {
            (counts.slow, counts.calls - counts.failed)
        })
    };
    ServiceReport {
        service: name.clone(),
        objective: service.objective,
        calls: windows.counts(Window::ThreeDays).calls,
        availability: service.objective.map(availability),
        latency: service.objective.map(latency),
    }
}

fn evaluate_level<F>(windows: &Tally, promised_ppm: u32, split: F) -> BudgetStatus
where
    F: Fn(Counts) -> (u64, u64),
{
    let burn = Window::ALL
        .map(|window| {
            let (bad, all) = split(windows.counts(window));
            (window, compute_burn(bad, all, promised_ppm))
        })
        .into_iter()
        .collect::<BTreeMap<_, _>>();
    let alert = RULES
        .iter()
        .filter(|(short, long, limit, _)| burn[short] >= *limit && burn[long] >= *limit)
        .filter(|(_, long, ..)| split(windows.counts(*long)).0 >= LEAST_BAD)
        .map(|(.., alert)| *alert)
        .max()
        .unwrap_or_default();
    BudgetStatus {
        budget_left: 1.0 - burn[&Window::ThreeDays],
        burn,
        alert,
    }
}

/// Gives the share of bad calls over the allowed share.
///
/// A promise of all calls leaves no budget to divide by; it counts as one of
/// all but one in a million.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts stay far below 2^52, and a ratio needs no more digits"
)]
fn compute_burn(bad: u64, all: u64, promised_ppm: u32) -> f64 {
    if all == 0 {
        return 0.0;
    }
    let allowed = f64::from(MILLION.saturating_sub(promised_ppm).max(1)) / f64::from(MILLION);
    bad as f64 / all as f64 / allowed
}
