use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;
use yare::parameterized;

const STEADY: std::ops::Range<f64> = 2.0..10.0;

// One fleet owner's script looks up job status many times over what there is,
// while thirty fitters look up parts, which would all fit. In first come, first
// served the script's calls are in front of each fitter's.
#[parameterized(half = { 0.5 }, double = { 2.0 }, tenfold = { 10.0 })]
fn others_served(hot: f64) {
    let mut flows = Flow::new(Class::Lookup, 0.6 * CAPACITY).split(0..30);
    flows.push(Flow {
        caller: 99,
        key: 9,
        ..Flow::new(Class::Lookup, hot * CAPACITY)
    });
    let scenario = Scenario {
        flows,
        ..Scenario::default()
    };
    let policy = run(&scenario, System::Policy);
    let baseline = run(&scenario, System::Baseline);
    let least = (0..30)
        .map(|flow| policy.share(flow..flow + 1, STEADY))
        .fold(1.0, f64::min);
    let share = policy.share(0..30, STEADY);
    let hot_share = policy.answered(30..31, STEADY) / policy.answered(0..31, STEADY);
    let before = baseline.share(0..30, STEADY);
    println!("hot {hot}: others {share:.3} least {least:.3} hot {hot_share:.3} before {before:.3}");
    assert!(share >= 0.97 && share > before);
    assert!(least >= 0.9);
    // What the others leave is the hot one's: there are no quotas.
    assert!(hot_share >= 0.3);
}
