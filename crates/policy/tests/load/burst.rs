use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;

// For two seconds a hundred callers send refreshes at eight times the capacity, on top of steady
// commits and look-ups, and retry once when refused. With an unbounded queue, all calls that wait
// after the burst are from callers that have given up, so the service never recovers.
#[test]
fn recovers() {
    let mut flows = Flow::new(Class::Commit, 0.1 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.6 * CAPACITY).split(20..60));
    let surge = Flow {
        span: (4.0, 6.0),
        ..Flow::new(Class::Refresh, 8.0 * CAPACITY)
    };
    flows.extend(surge.split(100..200));
    let scenario = Scenario {
        flows,
        seconds: 15.0,
        caller_retries: 1,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    for (name, report) in [("policy", &policy), ("baseline", &baseline)] {
        for span in [2.0..4.0, 4.0..6.0, 6.0..9.0, 9.0..14.0] {
            let commits = report.answered_share(0..20, span.clone());
            let lookups = report.answered_share(20..60, span.clone());
            let p99 = report.p99(0..60, span.clone());
            println!("{name} {span:?}: commits {commits:.3} lookups {lookups:.3} p99 {p99:.3}");
        }
    }
    assert!(policy.answered_share(0..20, 4.0..14.0) >= 0.99);
    assert!(policy.answered_share(20..60, 4.0..6.0) >= 0.95);
    assert!(policy.p99(0..60, 9.0..14.0) <= 1.5 * policy.p99(0..60, 2.0..4.0));
    assert!(baseline.answered_share(0..60, 6.0..9.0) < 0.1);
}
