use crate::sim::{CAPACITY, Flow, Scenario, System, run};
use config::Class;

fn scenario() -> Scenario {
    let mut flows = Flow::new(Class::Commit, 0.1 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.6 * CAPACITY).split(20..60));
    let surge = Flow {
        span: (4.0, 6.0),
        ..Flow::new(Class::Refresh, 8.0 * CAPACITY)
    };
    flows.extend(surge.split(100..200));
    Scenario {
        flows,
        seconds: 15.0,
        returns: 1,
        ..Scenario::default()
    }
}

#[test]
fn explore() {
    for system in [System::Policy, System::Baseline] {
        let report = run(&scenario(), system);
        for (from, to) in [
            (2.0, 4.0),
            (4.0, 6.0),
            (6.0, 7.0),
            (7.0, 8.0),
            (8.0, 9.0),
            (9.0, 12.0),
        ] {
            println!(
                "\nburst {system:?} {from}-{to}: commits {:.3} p99 {:.3} lookups {:.3} p99 {:.3}",
                report.share(0..20, from..to),
                report.p99(0..20, from..to),
                report.share(20..60, from..to),
                report.p99(20..60, from..to)
            );
        }
    }
}
