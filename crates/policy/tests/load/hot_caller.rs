use crate::sim::{CAPACITY, Flow, Scenario, System, run};
use config::Class;

fn scenario(hot: f64) -> Scenario {
    let mut flows = Flow::new(Class::Lookup, 0.6 * CAPACITY).split(0..30);
    flows.push(Flow {
        caller: 99,
        key: 9,
        ..Flow::new(Class::Lookup, hot * CAPACITY)
    });
    Scenario {
        flows,
        ..Scenario::default()
    }
}

#[test]
fn explore() {
    for hot in [0.5, 2.0, 10.0] {
        for system in [System::Policy, System::Baseline] {
            let report = run(&scenario(hot), system);
            let each = (0..30)
                .map(|f| report.share(f..f + 1, 2.0..10.0))
                .fold(1.0, f64::min);
            println!(
                "\nhot caller {hot} {system:?}: others {:.3} least {each:.3} hot {:.3} of capacity, p99 {:.3} good {:.3}",
                report.share(0..30, 2.0..10.0),
                report.answered(30..31, 2.0..10.0) / 8.0 / CAPACITY,
                report.p99(0..30, 2.0..10.0),
                report.answered(0..31, 2.0..10.0) / 8.0 / CAPACITY
            );
        }
    }
}
