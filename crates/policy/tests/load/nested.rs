use crate::report::Report;
use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;

/// Seconds that count: the first two fill the queues and teach the durations.
const STEADY: std::ops::Range<f64> = 2.0..10.0;

/// A service that is busy with work of its own, and is asked for coverage checks
/// by backend servers that hold a slot elsewhere while they wait.
fn claims(nested: bool) -> Scenario {
    let mut checks = Flow::new(Class::Refresh, CAPACITY * 0.3);
    checks.target = Some(0.2);
    checks.timeout = 0.6;
    checks.nested = nested;
    let mut releases = Flow::new(Class::Lookup, CAPACITY);
    releases.target = Some(0.3);
    releases.timeout = 1.5;
    let mut flows = vec![checks];
    flows.extend(releases.split(1..100));
    Scenario {
        flows,
        ..Scenario::default()
    }
}

fn answered(report: &Report) -> f64 {
    report.answered(0..1, STEADY) / (CAPACITY * 0.3 * 8.0)
}

// Fitters look up gearbox histories, and the service of records asks the one
// of claims for each. Claims is at its limit with its own work, whose rank is
// higher. A third of the checks are turned away, and each of them fails a
// look-up that has run for a third of a second. Cause: the checks stand in the
// queue like calls that nobody waits for yet.
#[test]
fn parents_kept() {
    let (fresh, nested) = (
        run(&claims(false), System::Policy),
        run(&claims(true), System::Policy),
    );
    let own = nested.answered(1..100, STEADY) / (CAPACITY * 8.0);
    println!(
        "checks answered: as fresh {:.3} as nested {:.3}; own work {own:.3}",
        answered(&fresh),
        answered(&nested)
    );
    assert!(answered(&fresh) < 0.7);
    assert!(answered(&nested) > 0.97);
    // What is left of the slots still goes to the service's own work.
    assert!(own > 0.6, "{own}");
}
