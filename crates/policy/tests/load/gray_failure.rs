use crate::scenario::{CAPACITY, Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;

// One of four backend servers fails each call within a millisecond and reports
// that it is healthy and idle. A balancer that prefers the fastest and least
// loaded server sends it more calls than any other.
#[test]
fn gets_few_calls() {
    let mut servers = vec![Server::default(); 4];
    servers[0].is_failing = |now| (3.0..7.0).contains(&now);
    let mut flows = Flow::new(Class::Commit, 0.1 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.5 * CAPACITY).split(20..60));
    let scenario = Scenario {
        flows,
        servers,
        seconds: 20.0,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    let commits = policy.answered_share(0..20, 3.0..7.0);
    let lookups = policy.answered_share(20..60, 3.0..7.0);
    let [sent, baseline_sent] = [&policy, &baseline].map(|report| report.sent(0, 3.0..7.0));
    println!("commits {commits:.4} lookups {lookups:.4} sent {sent} baseline {baseline_sent}");
    // The baseline loses no commit only because it repeats commits that may have run.
    assert!(commits >= 0.98 && lookups >= 0.999);
    assert!(sent < 0.1 * baseline_sent);
    assert!(policy.sent(0, 15.0..20.0) > 0.15 * CAPACITY * 0.6 * 5.0);
}
