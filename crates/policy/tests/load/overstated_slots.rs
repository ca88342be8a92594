use crate::scenario::{CAPACITY, Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;

/// Number of runs, each with a seed of its own, over which the limits are averaged: the limit of
/// the first backend server varies with the seed, between 4.1 and 5.3.
const SEED_COUNT: u32 = 8;

// A backend server advertises six slots but runs only three calls at once. The other calls wait in
// a queue inside the backend server, which its inbound proxy does not see: a commit that the proxy
// admits first waits in that queue behind calls of lower classes.
#[test]
fn limit_converges() {
    let mut servers = vec![Server::default(); 4];
    servers[0].slots = 3;
    servers[1].slots = 2;
    let mut flows = Flow::new(Class::Commit, 0.1 * CAPACITY).split(0..20);
    flows.extend(Flow::new(Class::Lookup, 1.5 * CAPACITY).split(20..60));
    let mut mean = [0.0; 4];
    for seed in 1..=SEED_COUNT {
        let scenario = Scenario {
            flows: flows.clone(),
            servers: servers.clone(),
            seconds: 60.0,
            seed: seed.into(),
            ..Scenario::default()
        };
        let policy = run(&scenario, System::Policy);
        let commits = policy.answered_share(0..20, 10.0..59.0);
        assert!(commits >= 0.99, "seed {seed}: {commits}");
        for (server, sum) in mean.iter_mut().enumerate() {
            *sum += policy.mean_limit(server) / f64::from(SEED_COUNT);
        }
        if seed == 1 {
            let baseline = run(&scenario, System::Baseline);
            assert!(baseline.answered_share(0..20, 10.0..59.0) < 0.1);
        }
    }
    println!("limits {mean:.2?}");
    assert!(mean[0] < 5.0 && mean[1] < 5.0);
    assert!(mean[2] > 5.0 && mean[3] > 5.0);
}
