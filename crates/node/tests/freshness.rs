//! The age of the configuration in force, by the clocks of the VM.

use clock::{Clock, Manual};
use node::freshness::Freshness;
use std::time::Duration;

#[test]
fn age_grows() {
    let clock = Manual::new();
    let freshness = Freshness::default();
    assert_eq!(freshness.age(&clock), None);
    freshness.set(&clock, Some(clock.now()));
    clock.advance(Duration::from_secs(3));
    assert_eq!(freshness.age(&clock), Some(Duration::from_secs(3)));
}

// A VM is suspended for a minute, which its monotonic clock does not count: revoked keys would go on
// working after it wakes up.
#[test]
fn suspended_vm() {
    let clock = Manual::new();
    let freshness = Freshness::default();
    freshness.set(&clock, Some(clock.now()));
    clock.suspend(Duration::from_mins(1));
    assert_eq!(freshness.age(&clock), None);
    freshness.set(&clock, Some(clock.now()));
    assert_eq!(freshness.age(&clock), Some(Duration::ZERO));
}
