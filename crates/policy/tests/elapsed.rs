//! How long callers have waited, from the time that they have left.

use policy::elapsed::Estimator;
use std::time::Duration;

const ROUTE: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// A fitter's look-up is refused and comes back 0.9 s later. The node must not
// aim at the target of a fresh one. Cause: a request says how much time is
// left, not when its caller began to wait.
#[test]
fn returning_caller() {
    let mut estimator = Estimator::new();
    assert_eq!(estimator.observe(ROUTE, ms(2_500)), ms(0));
    assert_eq!(estimator.observe(ROUTE, ms(2_495)), ms(0));
    assert_eq!(estimator.observe(ROUTE, ms(1_600)).as_millis(), 899);
    assert_eq!(estimator.observe(ROUTE, ms(2_500)), ms(0));
}

// Operators shorten the time of a route's callers. They must count as fresh
// again soon, or all of them would go behind other routes for ever.
#[test]
fn shortened_timeout() {
    let mut estimator = Estimator::new();
    estimator.observe(ROUTE, ms(2_500));
    for _ in 0..1_000 {
        estimator.observe(ROUTE, ms(1_200));
    }
    assert_eq!(estimator.observe(ROUTE, ms(1_200)), ms(0));
}

#[test]
fn other_route() {
    let mut estimator = Estimator::new();
    estimator.observe(ROUTE, ms(2_500));
    assert_eq!(estimator.observe(ROUTE + 1, ms(600)), ms(0));
    assert_eq!(estimator.observe(ROUTE + 32, ms(600)), ms(0));
}
