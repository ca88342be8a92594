//! The steps of a node's start.

use node::start_steps::{StartStep, StartSteps};
use std::time::Duration;

// A step that is logged again, such as each later version of the configuration, hides how long the
// start took.
#[test]
fn reached_once() {
    let steps = StartSteps::default();
    for step in [StartStep::Configuration, StartStep::Call] {
        assert!(steps.reach(step, || Duration::from_millis(5)));
        assert!(!steps.reach(step, || Duration::from_secs(5)));
    }
    assert!(steps.reach(StartStep::Listener, || Duration::from_millis(9)));
}
