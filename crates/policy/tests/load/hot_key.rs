use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;

// Each of 300 callers requests one popular key again and again, and now and then a
// key of its own. The calls for the hot key crowd out those for all others.
#[test]
fn other_keys_served() {
    let mut flows = Flow::new(Class::Lookup, 0.6 * CAPACITY).split(0..300);
    let hot = Flow::new(Class::Lookup, 4.0 * CAPACITY).split(0..300);
    flows.extend(hot.into_iter().map(|flow| Flow { key: 7, ..flow }));
    let scenario = Scenario {
        flows,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    let share = policy.answered_share(0..300, 2.0..10.0);
    let hot = policy.answered(300..600, 2.0..10.0) / (CAPACITY * 8.0);
    let baseline_share = baseline.answered_share(0..300, 2.0..10.0);
    println!("others {share:.3} hot {hot:.3} of the capacity, baseline {baseline_share:.3}");
    assert!(share >= 0.97 && baseline_share < 0.1);
    assert!(hot >= 0.3);
}
