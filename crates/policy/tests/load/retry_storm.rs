use crate::sim::{CAPACITY, Flow, Scenario, Server, System, run};
use config::Class;

fn scenario() -> Scenario {
    // All backend servers stall for a second.
    let slow: fn(f64) -> f64 = |now| if (3.0..4.0).contains(&now) { 30.0 } else { 1.0 };
    let servers = vec![
        Server {
            slow,
            ..Server::default()
        };
        4
    ];
    let mut flows = Flow::new(Class::Commit, 0.1 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.7 * CAPACITY).split(20..60));
    Scenario {
        flows,
        servers,
        seconds: 20.0,
        returns: 3,
        try_timeout: 0.3,
        ..Scenario::default()
    }
}

#[test]
fn explore() {
    for system in [System::Policy, System::Baseline] {
        let report = run(&scenario(), system);
        for (from, to) in [
            (1.0, 3.0),
            (3.0, 4.0),
            (4.0, 5.0),
            (5.0, 6.0),
            (6.0, 7.0),
            (7.0, 19.0),
        ] {
            println!(
                "\nstorm {system:?} {from}-{to}: commits {:.3} lookups {:.3} p99 {:.3} returns {} sent {:?}",
                report.share(0..20, from..to),
                report.share(20..60, from..to),
                report.p99(0..60, from..to),
                report.returns,
                report.sent
            );
        }
    }
}
