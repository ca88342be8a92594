use crate::report::Report;
use crate::scenario::{Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;

/// Mean service time, in seconds.
const SERVICE_TIME: f64 = 0.3;

/// Latency target, in seconds.
const TARGET: f64 = 0.8;

/// Backend servers per availability zone, of which there are five; each has five slots.
const SERVERS_PER_ZONE: u32 = 20;

/// Calls per second that all backend servers together can serve.
const CAPACITY: f64 = 5.0 * 20.0 * 5.0 / SERVICE_TIME;

/// Slowdown factors: two thirds of the backend servers are faster than average, a third is slower.
const SLOWDOWNS: [fn(f64) -> f64; 3] = [|_| 0.7, |_| 0.7, |_| 1.6];

/// Interval, in seconds, in which some VMs have lost power but are still in every node's view.
const OUTAGE: std::ops::Range<f64> = 6.0..9.0;

fn fleet_scenario(load: f64, is_dead: fn(f64) -> bool, probes: bool) -> Scenario {
    let servers = (0..5 * SERVERS_PER_ZONE).map(|index| Server {
        zone: index % 5,
        advertised_slots: 5,
        slots: 5,
        slowdown: SLOWDOWNS[index as usize / 5 % 3],
        is_dead: if index < 10 { is_dead } else { |_| false },
        ..Server::default()
    });
    let mut flow = Flow::new(Class::Commit, CAPACITY * load);
    flow.service_time = SERVICE_TIME;
    flow.timeout = 3.0;
    flow.target = Some(TARGET);
    Scenario {
        flows: flow.split(0..400),
        servers: servers.collect(),
        proxy_zones: (0..195).map(|index| index % 5).collect(),
        seconds: 14.0,
        probes,
        uniform_service_times: true,
        ..Scenario::default()
    }
}

fn lost_share(report: &Report) -> f64 {
    1.0 - report.answered_share(report.all_flows(), OUTAGE)
}

// One in ten VMs of a large fleet loses power. Until the failure is detected, nearly 200 nodes keep
// sending commits to these VMs, and one commit in twelve is lost without it being known whether it
// ran: each node sends to a given VM only every few seconds, so it detects each dead VM on its own,
// by losing a commit to that VM.
#[test]
fn dead_servers_avoided() {
    let is_dead: fn(f64) -> bool = |now| OUTAGE.contains(&now);
    let (unprobed, probed) = (
        run(&fleet_scenario(0.7, is_dead, false), System::Policy),
        run(&fleet_scenario(0.7, is_dead, true), System::Policy),
    );
    println!(
        "lost: unprobed {:.4} probed {:.4}",
        lost_share(&unprobed),
        lost_share(&probed)
    );
    assert!(lost_share(&probed) * 5.0 < lost_share(&unprobed));
}

// All backend servers are healthy, and a third of the slots are free. Load probes must make hardly
// any answer miss the latency target, and send hardly any call to another availability zone.
#[test]
fn probes_cost_nothing() {
    let probed = run(&fleet_scenario(0.7, |_| false, true), System::Policy);
    let in_time =
        probed.answered_within(probed.all_flows(), 2.0..10.0, TARGET) / (CAPACITY * 0.7 * 8.0);
    let remote = probed.remote_share(2.0..10.0);
    println!("in time {in_time:.3}, remote {remote:.3}");
    assert!(in_time > 0.97 && remote < 0.01);
}
