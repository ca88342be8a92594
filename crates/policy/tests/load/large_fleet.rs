use crate::report::Report;
use crate::scenario::{Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;

/// Mean service time of a booking, in seconds.
const WORK: f64 = 0.3;

/// Seconds within which a clerk has use of an answer.
const TARGET: f64 = 0.8;

/// Backend servers in each of the five availability zones, of five slots each.
const SERVERS: u32 = 20;

/// Bookings a second that all of them can serve.
const CAPACITY: f64 = 5.0 * 20.0 * 5.0 / WORK;

/// Two thirds of the backend servers are faster than usual, a third is slower.
const SPEEDS: [fn(f64) -> f64; 3] = [|_| 0.7, |_| 0.7, |_| 1.6];

/// Seconds in which some VMs are without power and still in every node's view.
const OUTAGE: std::ops::Range<f64> = 6.0..9.0;

fn fleet(load: f64, dark: fn(f64) -> bool, asks: bool) -> Scenario {
    let servers = (0..5 * SERVERS).map(|index| Server {
        zone: index % 5,
        told: 5,
        slots: 5,
        slow: SPEEDS[index as usize / 5 % 3],
        dark: if index < 10 { dark } else { |_| false },
        ..Server::default()
    });
    let mut flow = Flow::new(Class::Commit, CAPACITY * load);
    flow.mean = WORK;
    flow.timeout = 3.0;
    flow.target = Some(TARGET);
    Scenario {
        flows: flow.split(0..400),
        servers: servers.collect(),
        proxies: (0..195).map(|index| index % 5).collect(),
        seconds: 14.0,
        asks,
        steady: true,
        ..Scenario::default()
    }
}

fn lost(report: &Report) -> f64 {
    1.0 - report.share(report.all(), OUTAGE)
}

// One in ten VMs of a large fleet loses power. Two hundred nodes go on to send bookings there
// for the seconds in which nobody has noticed, and one booking in twelve is lost: nobody
// can say whether it ran. Cause: each node finds out about each VM for itself, by losing a
// booking to it, as it sends there only every few seconds.
#[test]
fn dark_passed_over() {
    let dark: fn(f64) -> bool = |now| OUTAGE.contains(&now);
    let (blind, asked) = (
        run(&fleet(0.7, dark, false), System::Policy),
        run(&fleet(0.7, dark, true), System::Policy),
    );
    println!("lost: blind {:.4} asked {:.4}", lost(&blind), lost(&asked));
    assert!(lost(&asked) * 5.0 < lost(&blind));
}

// Nothing is wrong, and a third of the slots is free. What is asked for costs no call its answer
// in time, and sends none to another availability zone.
#[test]
fn nothing_lost_by_asking() {
    let asked = run(&fleet(0.7, |_| false, true), System::Policy);
    let in_time = asked.within(asked.all(), 2.0..10.0, TARGET) / (CAPACITY * 0.7 * 8.0);
    let far = asked.far(2.0..10.0);
    println!("in time {in_time:.3}, far {far:.3}");
    assert!(in_time > 0.97 && far < 0.01);
}
