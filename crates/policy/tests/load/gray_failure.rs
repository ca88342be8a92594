use crate::scenario::{CAPACITY, Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;

// One of four backend servers breaks off each call within a millisecond and
// reports that it is well and idle. To a balancer that looks for the fastest
// and least loaded it is the best there is.
#[test]
fn draws_no_calls() {
    let mut servers = vec![Server::default(); 4];
    servers[0].broken = |now| (3.0..7.0).contains(&now);
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
    let commits = policy.share(0..20, 3.0..7.0);
    let lookups = policy.share(20..60, 3.0..7.0);
    let [sent, before] = [&policy, &baseline].map(|report| report.sent(0, 3.0..7.0));
    println!("commits {commits:.4} lookups {lookups:.4} sent {sent} before {before}");
    // The baseline loses no commit only as it repeats those that may have run.
    assert!(commits >= 0.98 && lookups >= 0.999);
    assert!(sent < 0.1 * before);
    assert!(policy.sent(0, 15.0..20.0) > 0.15 * CAPACITY * 0.6 * 5.0);
}
