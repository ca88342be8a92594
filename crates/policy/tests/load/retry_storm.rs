use crate::scenario::{CAPACITY, Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;

// All backend servers stall for a second. If proxies repeat each attempt up to three
// times after 0.3 s, and callers retry at once, their retries sustain the overload
// indefinitely after the stall (a metastable failure).
#[test]
fn recovers_after_stall() {
    let slowdown: fn(f64) -> f64 = |now| if (3.0..4.0).contains(&now) { 30.0 } else { 1.0 };
    let stalling = Server {
        slowdown,
        ..Server::default()
    };
    let mut flows = Flow::new(Class::Commit, 0.1 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.7 * CAPACITY).split(20..60));
    let scenario = Scenario {
        flows,
        servers: vec![stalling; 4],
        seconds: 20.0,
        caller_retries: 3,
        attempt_timeout: 0.3,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    for (name, report) in [("policy", &policy), ("baseline", &baseline)] {
        for span in [1.0..3.0, 3.0..4.0, 4.0..5.0, 5.0..7.0, 7.0..19.0] {
            let good = report.answered_share(0..60, span.clone());
            let sent = (0..4).map(|s| report.sent(s, span.clone())).sum::<f64>();
            println!("{name} {span:?}: good {good:.3} sent {sent}");
        }
    }
    let sent =
        |span: std::ops::Range<f64>| (0..4).map(|s| policy.sent(s, span.clone())).sum::<f64>();
    // Attempts during the stall and the second after it are at most one and a half times the usual.
    assert!(sent(3.0..5.0) <= 1.5 * sent(1.0..3.0));
    assert!(policy.answered_share(0..60, 4.0..7.0) >= 0.9);
    assert!(policy.answered_share(0..60, 7.0..19.0) >= 0.99);
    assert!(baseline.answered_share(0..60, 7.0..19.0) < 0.1);
}
