use crate::scenario::{CAPACITY, Flow, SERVICE_TIME, Scenario, Server, System};
use crate::sim::run;
use config::Class;
use yare::parameterized;

// Calls of one second run beside look-ups of ten milliseconds. Once each slot is
// occupied by a long call, a look-up waits for up to a second.
#[parameterized(
    some = { 0.3, 0.99, 0.99, 0.1, 1.0 },
    many = { 0.6, 0.9, 0.95, 0.15, 4.0 },
    too_many = { 1.0, 0.85, 0.5, 0.15, 2.0 },
)]
fn short_calls_pass(jobs: f64, least_short: f64, least_long: f64, most_p99: f64, gain: f64) {
    let lookup = Flow {
        service_time: 0.01,
        ..Flow::new(Class::Lookup, 0.3 * CAPACITY * SERVICE_TIME / 0.01)
    };
    let job = Flow {
        route: 9,
        service_time: 1.0,
        timeout: 20.0,
        ..Flow::new(Class::Lookup, jobs * CAPACITY * SERVICE_TIME)
    };
    let mut flows = lookup.split(0..30);
    flows.extend(job.split(50..60));
    let scenario = Scenario {
        flows,
        seconds: 20.0,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    for (name, report) in [("policy", &policy), ("baseline", &baseline)] {
        let short = report.answered_share(0..30, 5.0..19.0);
        let long = report.answered_share(30..40, 5.0..15.0);
        let p99 = report.p99(0..30, 5.0..19.0);
        let work = report.busy_seconds / (20.0 * 24.0);
        println!("{name} {jobs}: short {short:.3} p99 {p99:.3} long {long:.3} work {work:.3}");
    }
    assert!(policy.answered_share(0..30, 5.0..19.0) >= least_short);
    assert!(policy.answered_share(30..40, 5.0..15.0) >= least_long);
    assert!(policy.p99(0..30, 5.0..19.0) <= most_p99);
    assert!(baseline.p99(0..30, 5.0..19.0) > gain * policy.p99(0..30, 5.0..19.0));
}

// A few calls of a millisecond arrive among calls of ordinary length, which then count as long
// because the typical duration falls. Slots reserved for the short calls stand idle while calls of
// ordinary length are refused.
#[test]
fn no_idle_reserve() {
    let ordinary = Flow {
        service_time: 0.4,
        timeout: 2.5,
        target: Some(0.6),
        ..Flow::new(Class::Refresh, 60.0)
    };
    let instant = Flow {
        route: 9,
        service_time: 0.001,
        ..Flow::new(Class::Commit, 4.0)
    };
    let mut flows = ordinary.split(0..30);
    flows.extend(instant.split(50..60));
    let scenario = Scenario {
        flows,
        servers: vec![Server::default()],
        seconds: 30.0,
        uniform_service_times: true,
        ..Scenario::default()
    };
    let report = run(&scenario, System::Policy);
    let busy = report.busy_seconds / (30.0 * 6.0);
    println!("share of the slots that are busy: {busy:.3}");
    assert!(busy > 0.95);
}
