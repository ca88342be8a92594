use crate::sim::{CAPACITY, Flow, Scenario, Server, System, run};
use config::Class;

fn scenario() -> Scenario {
    let mut servers = vec![Server::default(); 4];
    servers[0].broken = |now| (3.0..7.0).contains(&now);
    let mut flows = Flow::new(Class::Commit, 0.1 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.5 * CAPACITY).split(20..60));
    Scenario {
        flows,
        servers,
        seconds: 20.0,
        ..Scenario::default()
    }
}

#[test]
fn explore() {
    for system in [System::Policy, System::Baseline] {
        let report = run(&scenario(), system);
        println!(
            "\ngray {system:?}: commits {:.4} lookups {:.4} sent {:?} after {:.3}",
            report.share(0..20, 3.0..7.0),
            report.share(20..60, 3.0..7.0),
            report.sent,
            report.share(0..60, 7.0..19.0)
        );
    }
}
