use crate::scenario::{CAPACITY, Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;

// All backend servers stall for a second. Proxies that count a try as lost
// after 0.3 s and repeat it three times, and callers that come back at once,
// turn that second into an overload that outlasts it for good.
#[test]
fn load_falls_back() {
    let slow: fn(f64) -> f64 = |now| if (3.0..4.0).contains(&now) { 30.0 } else { 1.0 };
    let stalls = Server {
        slow,
        ..Server::default()
    };
    let mut flows = Flow::new(Class::Commit, 0.1 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.7 * CAPACITY).split(20..60));
    let scenario = Scenario {
        flows,
        servers: vec![stalls; 4],
        seconds: 20.0,
        returns: 3,
        try_timeout: 0.3,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    for (name, report) in [("policy", &policy), ("baseline", &baseline)] {
        for span in [1.0..3.0, 3.0..4.0, 4.0..5.0, 5.0..7.0, 7.0..19.0] {
            let good = report.share(0..60, span.clone());
            let sent = (0..4).map(|s| report.sent(s, span.clone())).sum::<f64>();
            println!("{name} {span:?}: good {good:.3} sent {sent}");
        }
    }
    let sent =
        |span: std::ops::Range<f64>| (0..4).map(|s| policy.sent(s, span.clone())).sum::<f64>();
    // Tries in the stalled second and the next are at most the usual and half again.
    assert!(sent(3.0..5.0) <= 1.5 * sent(1.0..3.0));
    assert!(policy.share(0..60, 4.0..7.0) >= 0.9);
    assert!(policy.share(0..60, 7.0..19.0) >= 0.99);
    assert!(baseline.share(0..60, 7.0..19.0) < 0.1);
}
