use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;
use yare::parameterized;

/// Interval, in seconds, in which the calls that are measured start.
const MEASURED_SPAN: std::ops::Range<f64> = 2.0..10.0;

// One caller sends up to ten times the capacity, while thirty others send look-ups
// that would all fit. In a first-come, first-served queue the hot caller's calls
// are ahead of all others.
#[parameterized(half = { 0.5 }, double = { 2.0 }, tenfold = { 10.0 })]
fn others_served(hot: f64) {
    let mut flows = Flow::new(Class::Lookup, 0.6 * CAPACITY).split(0..30);
    flows.push(Flow {
        caller: 99,
        key: 9,
        ..Flow::new(Class::Lookup, hot * CAPACITY)
    });
    let scenario = Scenario {
        flows,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    let least = (0..30)
        .map(|flow| policy.answered_share(flow..flow + 1, MEASURED_SPAN))
        .fold(1.0, f64::min);
    let share = policy.answered_share(0..30, MEASURED_SPAN);
    let hot_share = policy.answered(30..31, MEASURED_SPAN) / policy.answered(0..31, MEASURED_SPAN);
    let baseline_share = baseline.answered_share(0..30, MEASURED_SPAN);
    println!(
        "hot {hot}: others {share:.3} least {least:.3} hot {hot_share:.3} baseline {baseline_share:.3}"
    );
    assert!(share >= 0.97 && share > baseline_share);
    assert!(least >= 0.9);
    // The hot caller gets what the others leave: there are no fixed quotas.
    assert!(hot_share >= 0.3);
}
