use crate::report::Report;
use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;
use yare::parameterized;

/// Interval, in seconds, in which the calls that are measured start: the first two seconds fill the
/// queues and train the duration estimates.
const MEASURED_SPAN: std::ops::Range<f64> = 2.0..10.0;

/// Describes a load of one fifth commits, one half look-ups and the rest refreshes, each from 50
/// callers.
fn mixed_scenario(load: f64) -> Scenario {
    let flow = |class, share: f64| Flow::new(class, CAPACITY * load * share);
    let mut flows = flow(Class::Commit, 0.2).split(0..50);
    flows.extend(flow(Class::Lookup, 0.5).split(50..100));
    flows.extend(flow(Class::Refresh, 0.3).split(100..150));
    Scenario {
        flows,
        ..Scenario::default()
    }
}

fn goodput(report: &Report) -> f64 {
    report.answered(report.all_flows(), MEASURED_SPAN) / (CAPACITY * 8.0)
}

fn print_report(name: &str, load: f64, report: &Report) {
    let classes = [0..50, 50..100, 100..150];
    let shares = classes
        .clone()
        .map(|flows| report.answered_share(flows, MEASURED_SPAN));
    let p99s = classes.map(|flows| report.p99(flows, MEASURED_SPAN));
    let (good, refusal) = (goodput(report), report.refusal_p99());
    println!(
        "{name} {load}: goodput {good:.3} shares {shares:.3?} p99 {p99s:.3?} refusal {refusal:.4}"
    );
}

// The load is up to ten times the capacity. A first-come, first-served queue grows
// until each answer comes after its deadline: all slots are busy, and no call is
// answered in time.
#[parameterized(
    half = { 0.5, 0.48, 0.999 },
    full = { 1.0, 0.92, 0.999 },
    double = { 2.0, 0.95, 0.999 },
    fourfold = { 4.0, 0.95, 0.99 },
    tenfold = { 10.0, 0.95, 0.40 },
)]
fn goodput_holds(load: f64, least_goodput: f64, least_commits: f64) {
    let policy = run(&mixed_scenario(load), System::Policy);
    let baseline = run(&mixed_scenario(load), System::Baseline);
    print_report("policy", load, &policy);
    print_report("baseline", load, &baseline);
    assert!(goodput(&policy) >= least_goodput);
    assert!(policy.answered_share(0..50, MEASURED_SPAN) >= least_commits);
    assert!(policy.timed_out() <= 0.001 * policy.answered(policy.all_flows(), MEASURED_SPAN));
    if load > 1.0 {
        assert!(goodput(&baseline) < 0.1);
        // Two attempts with a network round trip of 1 ms each: refusals do not wait in a queue.
        assert!(policy.refusal_p99() <= 0.005);
        // No class is starved.
        assert!(policy.answered(100..150, MEASURED_SPAN) > 40.0);
    }
}
