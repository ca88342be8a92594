use crate::sim::{CAPACITY, Flow, Scenario, System, run};
use config::Class;

fn scenario() -> Scenario {
    // 300 callers ask each for something of its own, and all for one pony.
    let mut flows = Flow::new(Class::Lookup, 0.6 * CAPACITY).split(0..300);
    let hot = Flow::new(Class::Lookup, 4.0 * CAPACITY).split(0..300);
    flows.extend(hot.into_iter().map(|flow| Flow { key: 7, ..flow }));
    Scenario {
        flows,
        ..Scenario::default()
    }
}

#[test]
fn explore() {
    for system in [System::Policy, System::Baseline] {
        let report = run(&scenario(), system);
        println!(
            "\nhot key {system:?}: others {:.3} hot {:.3} of capacity, p99 {:.3}",
            report.share(0..300, 2.0..10.0),
            report.answered(300..600, 2.0..10.0) / 8.0 / CAPACITY,
            report.p99(0..300, 2.0..10.0)
        );
    }
}
