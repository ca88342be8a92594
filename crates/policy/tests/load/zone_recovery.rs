use crate::scenario::{CAPACITY, Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;

// An availability zone with half of the backend servers is lost and comes back with cold backend
// servers, which are five times slower at first. If the cold backend servers get their full share
// at once, every second call is slow.
#[test]
fn cold_start() {
    let warm_up: fn(f64) -> f64 = |now| 1.0 + 4.0 * ((9.0 - now) / 3.0).clamp(0.0, 1.0);
    let unaffected = Server {
        zone: 1,
        ..Server::default()
    };
    let lost = Server {
        in_view_span_s: (0.0, 3.0),
        ..Server::default()
    };
    let recovered = Server {
        slowdown: warm_up,
        in_view_span_s: (6.0, f64::MAX),
        ..Server::default()
    };
    let servers = [
        &unaffected,
        &unaffected,
        &lost,
        &lost,
        &recovered,
        &recovered,
    ]
    .map(Server::clone);
    let mut flows = Flow::new(Class::Commit, 0.05 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.35 * CAPACITY).split(20..60));
    let scenario = Scenario {
        flows,
        servers: servers.to_vec(),
        proxy_zones: vec![0, 0, 1, 1],
        seconds: 20.0,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    for (name, report) in [("policy", &policy), ("baseline", &baseline)] {
        for span in [1.0..3.0, 3.0..6.0, 6.0..9.0, 9.0..14.0, 14.0..19.0] {
            let good = report.answered_share(0..60, span.clone());
            let p99 = report.p99(0..60, span.clone());
            let remote = report.remote_share(span.clone());
            let p50 = report.p50(0..60, span.clone());
            println!(
                "{name} {span:?}: good {good:.3} p50 {p50:.3} p99 {p99:.3} remote {remote:.3}"
            );
        }
    }
    assert!(policy.answered_share(0..60, 1.0..19.0) >= 0.99);
    assert!(policy.p99(0..60, 6.0..9.0) < 0.8 * baseline.p99(0..60, 6.0..9.0));
    assert!(policy.p99(0..60, 9.0..19.0) <= 1.5 * policy.p99(0..60, 1.0..3.0));
    // Calls stay in their zone before the failure and after the recovery.
    assert!(policy.remote_share(1.0..3.0) < 0.1 && policy.remote_share(14.0..19.0) < 0.1);
}
