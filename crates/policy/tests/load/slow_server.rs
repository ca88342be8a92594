use crate::scenario::{CAPACITY, Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;
use yare::parameterized;

fn scenario(load: f64, slowdown: fn(f64) -> f64) -> Scenario {
    let mut servers = vec![Server::default(); 4];
    servers[0].slowdown = slowdown;
    let mut flows = Flow::new(Class::Commit, 0.1 * load * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 0.9 * load * CAPACITY).split(20..60));
    Scenario {
        flows,
        servers,
        hedge: true,
        seconds: 20.0,
        ..Scenario::default()
    }
}

// One of four backend servers becomes ten times slower but keeps reporting that it
// is healthy. Round robin still sends it a quarter of all calls.
#[parameterized(quiet = { 0.1 }, usual = { 0.4 }, busy = { 0.6 })]
fn tail_latency_holds(load: f64) {
    let slowdown: fn(f64) -> f64 = |now| if now < 3.0 { 1.0 } else { 10.0 };
    let healthy = run(&scenario(load, |_| 1.0), System::Policy);
    let policy = run(&scenario(load, slowdown), System::Policy);
    let baseline = run(&scenario(load, slowdown), System::Baseline);
    for (name, report) in [
        ("healthy", &healthy),
        ("policy", &policy),
        ("baseline", &baseline),
    ] {
        let p99 = report.p99(0..60, 4.0..19.0);
        let good = report.answered_share(0..60, 3.0..19.0);
        let (sent, hedges) = (report.sent(0, 4.0..19.0), report.hedges);
        println!("{name} {load}: p99 {p99:.3} good {good:.3} sent {sent} hedges {hedges}");
    }
    assert!(policy.p99(0..60, 4.0..19.0) <= 1.5 * healthy.p99(0..60, 4.0..19.0));
    assert!(policy.answered_share(0..60, 3.0..19.0) >= 0.99);
    assert!(baseline.answered_share(0..60, 3.0..19.0) < 0.97);
}

// A slow backend server that recovers gets its share of the calls back; otherwise
// each transient slowdown would permanently cost a backend server.
#[test]
fn share_recovers() {
    let slowdown: fn(f64) -> f64 = |now| if (3.0..5.0).contains(&now) { 10.0 } else { 1.0 };
    let report = run(&scenario(0.4, slowdown), System::Policy);
    let share =
        report.sent(0, 17.0..20.0) / (0..4).map(|s| report.sent(s, 17.0..20.0)).sum::<f64>();
    println!("share {share:.3}");
    assert!((0.18..0.32).contains(&share));
}
