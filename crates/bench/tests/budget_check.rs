//! The check of repeated arrivals.

use bench::budget_check::{Allowance, check};
use yare::parameterized;

const ALLOWANCE: Allowance = Allowance {
    share: 0.2,
    extra: 2.0,
    window_us: 100,
};

/// Ten requests, sent at the times 0, 10 and so on.
fn sent() -> Vec<u64> {
    (0..10).map(|index| index * 10).collect()
}

// A request that arrives `again` times after its first arrival, at the times from `at` on, may do
// so four times in a window with ten requests.
#[parameterized(
    none = { 0, 50, 0 },
    allowed = { 4, 50, 0 },
    one_too_many = { 5, 50, 1 },
    requests_before = { 4, 100, 0 },
    no_requests_before = { 3, 400, 1 },
)]
fn repeated_arrivals(again: u64, at: u64, over_budget: usize) {
    let mut arrivals = vec![("first", 40)];
    arrivals.extend((0..again).map(|index| ("first", at + index)));
    arrivals.push(("other", 60));
    let findings = check(&ALLOWANCE, &sent(), &arrivals);
    assert_eq!(findings.over_budget, over_budget, "{findings:?}");
    assert_eq!(u64::try_from(findings.repeated), Ok(again));
}
