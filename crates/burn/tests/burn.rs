//! Burn rates of known sequences of counts.

use burn::{Alert, Counts, History, NodeCounts, Outcome, ServiceCounts, Window, evaluate, merge};
use config::{Objective, Version};
use std::collections::BTreeMap;
use std::time::Duration;
use yare::parameterized;

const OBJECTIVE: Objective = Objective {
    availability_ppm: 999_000,
    latency_ms: 100,
    latency_ppm: 990_000,
};

const MINUTE: Duration = Duration::from_mins(1);
const SERVED: Outcome = Outcome::Served { slow: false };

/// Records 1,000 calls in each minute of `minutes`, of which `failed` fail.
fn record_minutes(history: &mut History, minutes: std::ops::Range<u32>, failed: u32) {
    for minute in minutes {
        for call in 0..1_000 {
            let outcome = if call < failed {
                Outcome::Failed
            } else {
                SERVED
            };
            history.record(MINUTE * minute, outcome);
        }
    }
}

fn evaluate_at(history: &History, minute: u32) -> burn::ServiceReport {
    let service = ServiceCounts {
        objective: Some(OBJECTIVE),
        windows: history.tally(MINUTE * minute),
    };
    evaluate(&"records".into(), &service)
}

#[test]
fn known_sequence() {
    let mut history = History::default();
    record_minutes(&mut history, 0..55, 0);
    record_minutes(&mut history, 55..60, 144);
    let budget = evaluate_at(&history, 59).availability.unwrap();
    // In the last 5 minutes, 144 calls in 1,000 failed, where 1 in 1,000 is allowed. Over the
    // last hour, the share of failed calls is a twelfth of that.
    let is_close = |window: Window, expected: f64| (budget.burn[&window] - expected).abs() < 1e-9;
    assert!(is_close(Window::FiveMinutes, 144.0), "{budget:?}");
    assert!(is_close(Window::Hour, 12.0), "{budget:?}");
    assert!((budget.budget_left + 11.0).abs() < 1e-9, "{budget:?}");
    // The burn rate over one hour (12) is below the threshold 14.4, but those over half an hour
    // (24) and six hours (12) exceed 6, which pages too.
    assert_eq!(budget.alert, Alert::Page);
}

#[parameterized(
    nothing = { 0, Alert::None },
    just_allowed = { 1, Alert::Ticket },
    slow_burn = { 5, Alert::Ticket },
    fast_burn = { 6, Alert::Page },
)]
fn steady(failed: u32, alert: Alert) {
    let mut history = History::default();
    record_minutes(&mut history, 0..4 * 24 * 60, failed);
    let report = evaluate_at(&history, 4 * 24 * 60 - 1);
    let budget = report.availability.unwrap();
    assert!((budget.burn[&Window::ThreeDays] - f64::from(failed)).abs() < 1e-9);
    assert_eq!(budget.alert, alert);
    assert_eq!(report.latency.unwrap().alert, Alert::None);
}

#[test]
fn alert_after_errors_end() {
    let mut history = History::default();
    record_minutes(&mut history, 0..60, 500);
    assert_eq!(
        evaluate_at(&history, 59).availability.unwrap().alert,
        Alert::Page
    );
    record_minutes(&mut history, 60..90, 0);
    let budget = evaluate_at(&history, 89).availability.unwrap();
    assert!(budget.burn[&Window::FiveMinutes] == 0.0 && budget.burn[&Window::Hour] > 14.4);
    assert_eq!(budget.alert, Alert::Ticket);
}

#[test]
fn counts_expire() {
    let mut history = History::default();
    record_minutes(&mut history, 0..1, 1_000);
    let tally = history.tally(MINUTE * (3 * 24 * 60 + 30));
    for window in Window::ALL {
        assert_eq!(tally.counts(window), Counts::default(), "{}", window.name());
    }
}

// Guards against a page because of one failed call at night, when a service receives only three
// calls an hour: these are too few for a meaningful share of failed calls.
#[parameterized(
    one_of_three = { 2, 1, Alert::None },
    four = { 1, 4, Alert::None },
    five = { 1, 5, Alert::Page },
)]
fn few_calls(served: u32, failed: u32, alert: Alert) {
    let mut history = History::default();
    for _ in 0..served {
        history.record(MINUTE, SERVED);
    }
    for _ in 0..failed {
        history.record(MINUTE, Outcome::Failed);
    }
    let budget = evaluate_at(&history, 1).availability.unwrap();
    assert!(budget.burn[&Window::FiveMinutes] > 14.4);
    assert_eq!(budget.alert, alert);
}

#[test]
fn slow_answers() {
    let mut history = History::default();
    for call in 0..100 {
        let slow = call < 30;
        history.record(MINUTE, Outcome::Served { slow });
    }
    history.record(MINUTE, Outcome::Failed);
    let budget = evaluate_at(&history, 1).latency.unwrap();
    assert!(
        (budget.burn[&Window::FiveMinutes] - 30.0).abs() < 1e-9,
        "{budget:?}"
    );
}

#[parameterized(
    fine = { 200, Outcome::Served { slow: true } },
    redirect = { 304, Outcome::Served { slow: true } },
    caller_error = { 404, Outcome::CallerFault },
    caller_cancel = { 499, Outcome::CallerFault },
    no_capacity = { 429, Outcome::Failed },
    server_error = { 500, Outcome::Failed },
    refused = { 503, Outcome::Failed },
)]
fn by_status(status: u16, outcome: Outcome) {
    assert_eq!(Outcome::from_status(status, true), outcome);
}

#[test]
fn two_nodes() {
    let node = |version, objective, calls| {
        let mut service = ServiceCounts {
            objective,
            ..ServiceCounts::default()
        };
        let counts = Counts {
            calls,
            failed: 1,
            slow: 0,
        };
        service.windows.add(Window::Hour, counts);
        NodeCounts {
            node: "a".into(),
            version: Version(version),
            counted_s: 60,
            services: BTreeMap::from([("records".into(), service)]),
        }
    };
    let nodes = [node(3, Some(OBJECTIVE), 10), node(2, None, 5)];
    let json = serde_json::to_string(&nodes).unwrap();
    let nodes = serde_json::from_str::<Vec<NodeCounts>>(&json).unwrap();
    let merged = &merge(&nodes)["records"];
    assert_eq!(merged.objective, Some(OBJECTIVE));
    assert_eq!(merged.windows.counts(Window::Hour).calls, 15);
}
