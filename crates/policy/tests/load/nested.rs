use crate::report::Report;
use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;

/// Seconds that count: the first two fill the queues and teach the durations.
const STEADY: std::ops::Range<f64> = 2.0..10.0;

/// A service that is busy with work of its own, and is asked for coverage checks
/// by backend servers that hold a slot elsewhere while they wait.
fn claims(nested: Option<Class>, checks: f64) -> Scenario {
    let mut checks = Flow::new(Class::Refresh, CAPACITY * checks);
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
        run(&claims(None, 0.3), System::Policy),
        run(&claims(Some(Class::Refresh), 0.3), System::Policy),
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

// One slow backend server of claims is left. For a quarter of a minute it ran 761
// coverage checks and not a single release, which customers wait for as well.
// Cause: the checks of running look-ups went before everything, and alone they
// were as many as it could run.
#[test]
fn own_work_kept() {
    let crowded = run(&claims(Some(Class::Refresh), 1.2), System::Policy);
    let own = crowded.answered(1..100, STEADY) / (CAPACITY * 8.0);
    let checks = crowded.answered(0..1, STEADY) / (CAPACITY * 8.0);
    println!("checks {checks:.3} of the capacity, own work {own:.3}");
    assert!(own > 0.35 && checks > 0.35);
}

// Visitors sign in, and the service of badges asks the one of evidence to check
// each against the watch-list. One backend server of evidence is left, busy with
// photographs: four in ten checks were turned away, each with a sign-in that had
// run already. Cause: a check got no more of the slots than a photograph, whatever
// waited for it.
#[test]
fn parents_of_worth_kept() {
    let refresh = run(&claims(Some(Class::Refresh), 0.8), System::Policy);
    let lookup = run(&claims(Some(Class::Lookup), 0.8), System::Policy);
    let share = |report: &Report| report.answered(0..1, STEADY) / (CAPACITY * 0.8 * 8.0);
    println!(
        "for refreshes {:.3}, for look-ups {:.3}",
        share(&refresh),
        share(&lookup)
    );
    assert!(share(&refresh) < 0.8);
    assert!(share(&lookup) > 0.85);
    let own = lookup.answered(1..100, STEADY) / (CAPACITY * 8.0);
    assert!(own > 0.15, "{own}");
}
