use crate::scenario::{CAPACITY, Flow, Scenario, Server, System};
use crate::sim::run;
use config::Class;

// Fifty outbound proxies see the same load figures of the same backend servers, one
// of which stalls for a second. If all proxies chose the currently least loaded
// server, they would overload it together, then the next one.
#[test]
fn no_oscillation() {
    let mut servers = vec![Server::default(); 4];
    servers[0].slowdown = |now| if (4.0..5.0).contains(&now) { 5.0 } else { 1.0 };
    let scenario = Scenario {
        flows: Flow::new(Class::Lookup, 0.7 * CAPACITY).split(0..40),
        servers,
        proxy_zones: vec![0; 50],
        seconds: 16.0,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let mut worst = 0.0_f64;
    for second in 10..15 {
        let from = f64::from(second);
        let sent = [0, 1, 2, 3].map(|server| policy.sent(server, from..from + 1.0));
        let mean = sent.iter().sum::<f64>() / 4.0;
        println!("{from}: {sent:?}");
        worst = sent
            .iter()
            .fold(worst, |worst, each| worst.max((each / mean - 1.0).abs()));
    }
    println!("worst {worst:.3}");
    assert!(worst < 0.35);
    assert!(policy.answered_share(0..40, 10.0..15.0) >= 0.995);
}
