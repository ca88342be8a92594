//! Tests of how long callers have waited, estimated from the time that they have left.

use policy::elapsed::Estimator;
use std::time::Duration;

const ROUTE: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// A look-up that is refused and comes back 0.9 s later must not get the latency target of a new
// one: a request states how much time is left, not when its caller began to wait.
#[test]
fn returning_caller() {
    let mut estimator = Estimator::new();
    assert_eq!(estimator.observe(ROUTE, ms(2_500)), ms(0));
    assert_eq!(estimator.observe(ROUTE, ms(2_495)), ms(0));
    assert_eq!(estimator.observe(ROUTE, ms(1_600)).as_millis(), 899);
    assert_eq!(estimator.observe(ROUTE, ms(2_500)), ms(0));
}

// When operators shorten the timeout of a route's callers, these callers must soon count as new
// ones again, or they would be served after the callers of other routes for ever.
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
