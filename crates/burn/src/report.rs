//! Compares call counts with the objectives: burn rates, remaining budget and alerts.

use crate::counts::{Counts, Tally, Window};
use config::{Objective, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The share 1 in parts per million, the unit of objectives.
const FULL_SHARE_PPM: u32 = 1_000_000;

/// Alert rules: a short window, a long window, the burn rate that both must reach, and the alert.
///
/// From table 5-8 of the Site Reliability Workbook: a burn rate of 14.4 spends 2 % of a budget of
/// 30 days in an hour, 6 spends 5 % in six hours, 1 spends 10 % in three days. The
/// short window ends the alert soon after the errors end.
const ALERT_RULES: [(Window, Window, f64, Alert); 3] = [
    (Window::FiveMinutes, Window::Hour, 14.4, Alert::Page),
    (Window::HalfHour, Window::SixHours, 6.0, Alert::Page),
    (Window::SixHours, Window::ThreeDays, 1.0, Alert::Ticket),
];

/// Minimum number of bad calls in the long window of an alert rule for its alert.
///
/// Prevents a page because of a single call: if a service receives three calls an hour at night and
/// one of these calls fails, the burn rate is hundreds of times the allowed rate. With fewer than
/// five bad calls, one call more or less changes the burn rate by more than a fifth, so the burn
/// rate is not yet significant.
const MIN_BAD_CALLS: u64 = 5;

/// What a node reports about one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Objective of the service in the node's configuration.
    pub objective: Option<Objective>,
    /// Call counts in each window.
    pub windows: Tally,
}

/// What a node reports about all services that its callers called.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeCounts {
    /// Name of the node.
    pub node: SmolStr,
    /// Version of the configuration that the objectives are from.
    pub version: Version,
    /// How long the node has been counting calls, in seconds; a new process starts from zero.
    pub counted_s: u64,
    /// Counts of the services, by name.
    pub services: BTreeMap<SmolStr, ServiceCounts>,
}

/// Urgency of an alert.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// No alert.
    #[default]
    None,
    /// Needs attention within days.
    Ticket,
    /// Needs attention at once.
    Page,
}

/// State of the error budget of one objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Remaining share of the error budget for three days; below zero if it is overspent.
    pub budget_left: f64,
    /// Burn rate per window: the rate at which the budget is spent, as a multiple of the allowed
    /// rate.
    pub burn: BTreeMap<Window, f64>,
    /// The most urgent alert whose rule applies.
    pub alert: Alert,
}

/// Call count, objective and error budgets of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: SmolStr,
    /// Objective of the service, if it has one.
    pub objective: Option<Objective>,
    /// Calls in the last three days that were served or failed.
    pub calls: u64,
    /// Error budget of the availability objective.
    pub availability: Option<BudgetStatus>,
    /// Error budget of the latency objective.
    pub latency: Option<BudgetStatus>,
}

/// Adds up the counts of all nodes by service. If the nodes differ in the objective of a service,
/// the objective from the highest configuration version is used.
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

/// Compares the counts of a service with its objective.
#[must_use]
pub fn evaluate(name: &SmolStr, service: &ServiceCounts) -> ServiceReport {
    let windows = &service.windows;
    let availability = |objective: Objective| {
        evaluate_objective(windows, objective.availability_ppm, |counts| {
            (counts.failed, counts.calls)
        })
    };
    // The latency budget leaves out failed calls, which are already charged to the availability
    // budget.
    let latency = |objective: Objective| {
        evaluate_objective(windows, objective.latency_ppm, |counts| {
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

fn evaluate_objective<F>(windows: &Tally, objective_ppm: u32, count_bad_and_all: F) -> BudgetStatus
where
    F: Fn(Counts) -> (u64, u64),
{
    let burn = Window::ALL
        .map(|window| {
            let (bad, all) = count_bad_and_all(windows.counts(window));
            (window, burn_rate(bad, all, objective_ppm))
        })
        .into_iter()
        .collect::<BTreeMap<_, _>>();
    let alert = ALERT_RULES
        .iter()
        .filter(|(short, long, limit, _)| burn[short] >= *limit && burn[long] >= *limit)
        .filter(|(_, long, ..)| count_bad_and_all(windows.counts(*long)).0 >= MIN_BAD_CALLS)
        .map(|(.., alert)| *alert)
        .max()
        .unwrap_or_default();
    BudgetStatus {
        budget_left: 1.0 - burn[&Window::ThreeDays],
        burn,
        alert,
    }
}

/// Returns the ratio of the share of bad calls to the allowed share.
///
/// An objective of 100 % allows no bad calls, so there would be no budget to divide by; it is
/// treated as an objective that allows one bad call in a million.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts stay far below 2^52, and a ratio needs no more digits"
)]
fn burn_rate(bad: u64, all: u64, objective_ppm: u32) -> f64 {
    if all == 0 {
        return 0.0;
    }
    let allowed =
        f64::from(FULL_SHARE_PPM.saturating_sub(objective_ppm).max(1)) / f64::from(FULL_SHARE_PPM);
    bad as f64 / all as f64 / allowed
}
