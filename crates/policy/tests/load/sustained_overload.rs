use crate::report::Report;
use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;
use yare::parameterized;

/// Seconds that count: the first two fill the queues and teach the durations.
const STEADY: std::ops::Range<f64> = 2.0..10.0;

/// A fifth commits, half look-ups, the rest refreshes, each from 50 callers.
fn mixed(times: f64) -> Scenario {
    let flow = |class, share: f64| Flow::new(class, CAPACITY * times * share);
    let mut flows = flow(Class::Commit, 0.2).split(0..50);
    flows.extend(flow(Class::Lookup, 0.5).split(50..100));
    flows.extend(flow(Class::Refresh, 0.3).split(100..150));
    Scenario {
        flows,
        ..Scenario::default()
    }
}

fn goodput(report: &Report) -> f64 {
    report.answered(report.all(), STEADY) / (CAPACITY * 8.0)
}

fn show(name: &str, times: f64, report: &Report) {
    let classes = [0..50, 50..100, 100..150];
    let shares = classes.clone().map(|flows| report.share(flows, STEADY));
    let p99s = classes.map(|flows| report.p99(flows, STEADY));
    let (good, refusal) = (goodput(report), report.refusal_p99());
    println!(
        "{name} {times}: goodput {good:.3} shares {shares:.3?} p99 {p99s:.3?} refusal {refusal:.4}"
    );
}

// Board refreshes, look-ups and bookings come at many times what the backend
// servers can do. In first come, first served the queue grows until each
// answer comes after its deadline: all slots are busy, and nobody is served.
#[parameterized(
    half = { 0.5, 0.48, 0.999 },
    full = { 1.0, 0.92, 0.999 },
    double = { 2.0, 0.95, 0.999 },
    fourfold = { 4.0, 0.95, 0.99 },
    tenfold = { 10.0, 0.95, 0.40 },
)]
fn goodput_holds(times: f64, least_goodput: f64, least_commits: f64) {
    let policy = run(&mixed(times), System::Policy);
    let baseline = run(&mixed(times), System::Baseline);
    show("policy", times, &policy);
    show("baseline", times, &baseline);
    assert!(goodput(&policy) >= least_goodput);
    assert!(policy.share(0..50, STEADY) >= least_commits);
    assert!(policy.ran_out() <= 0.001 * policy.answered(policy.all(), STEADY));
    if times > 1.0 {
        assert!(goodput(&baseline) < 0.1);
        // Two tries of one millisecond of wire each: refusals don't wait.
        assert!(policy.refusal_p99() <= 0.005);
        // No class is starved.
        assert!(policy.answered(100..150, STEADY) > 40.0);
    }
}
