use crate::sim::{CAPACITY, Flow, Scenario, System, run};
use config::Class;

fn scenario() -> Scenario {
    let flows = Flow::new(Class::Lookup, 0.8 * CAPACITY).split(0..40);
    Scenario {
        flows,
        proxies: vec![0; 50],
        ..Scenario::default()
    }
}

#[test]
fn explore() {
    for system in [System::Policy, System::Baseline] {
        let report = run(&scenario(), system);
        println!(
            "\nsame figures {system:?}: good {:.3} p50 {:.3} p99 {:.3} {:?}",
            report.share(0..40, 2.0..9.0),
            report.p50(0..40, 2.0..9.0),
            report.p99(0..40, 2.0..9.0),
            report.sent
        );
    }
}
