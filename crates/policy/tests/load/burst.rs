use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;

// Bookings and look-ups go on quietly when the lesson board is opened: for two
// seconds a hundred parents' browsers refresh at eight times the capacity, and
// come back once when refused. Afterwards the queue is full of calls whose
// callers have given up, and stays so.
#[test]
fn soon_normal() {
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
        returns: 1,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    for (name, report) in [("policy", &policy), ("baseline", &baseline)] {
        for span in [2.0..4.0, 4.0..6.0, 6.0..9.0, 9.0..14.0] {
            let commits = report.share(0..20, span.clone());
            let lookups = report.share(20..60, span.clone());
            let p99 = report.p99(0..60, span.clone());
            println!("{name} {span:?}: commits {commits:.3} lookups {lookups:.3} p99 {p99:.3}");
        }
    }
    assert!(policy.share(0..20, 4.0..14.0) >= 0.99);
    assert!(policy.share(20..60, 4.0..6.0) >= 0.95);
    assert!(policy.p99(0..60, 9.0..14.0) <= 1.5 * policy.p99(0..60, 2.0..4.0));
    assert!(baseline.share(0..60, 6.0..9.0) < 0.1);
}
