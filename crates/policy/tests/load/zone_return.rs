use crate::sim::{CAPACITY, Flow, Scenario, Server, System, run};
use config::Class;

fn scenario() -> Scenario {
    // Zone 0 has half of the backend servers; it is gone from 3 s to 6 s and comes back cold.
    let cold: fn(f64) -> f64 = |now| {
        if (6.0..9.0).contains(&now) {
            1.0 + 4.0 * (9.0 - now) / 3.0
        } else {
            1.0
        }
    };
    let there = Server {
        zone: 1,
        ..Server::default()
    };
    let back = Server {
        zone: 0,
        slow: cold,
        seen: (6.0, f64::MAX),
        ..Server::default()
    };
    let gone = Server {
        zone: 0,
        seen: (0.0, 3.0),
        ..Server::default()
    };
    let servers = vec![there.clone(), there, back.clone(), back, gone.clone(), gone];
    let mut flows = Flow::new(Class::Commit, 0.05 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.35 * CAPACITY).split(20..60));
    Scenario {
        flows,
        servers,
        proxies: vec![0, 0, 1, 1],
        seconds: 15.0,
        ..Scenario::default()
    }
}

#[test]
fn explore() {
    for system in [System::Policy, System::Baseline] {
        let report = run(&scenario(), system);
        for (from, to) in [
            (1.0, 3.0),
            (3.0, 6.0),
            (6.0, 7.0),
            (7.0, 8.0),
            (8.0, 10.0),
            (10.0, 14.0),
        ] {
            println!(
                "\nzone {system:?} {from}-{to}: commits {:.3} lookups {:.3} p99 {:.3} {:?}",
                report.share(0..20, from..to),
                report.share(20..60, from..to),
                report.p99(0..60, from..to),
                report.sent
            );
        }
    }
}
