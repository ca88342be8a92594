//! Checks that backend servers get no more repeated requests than the whole fleet may send.
//!
//! The check uses only what callers and backend servers have recorded: when each request was sent,
//! whether it reached a node or not, and when it arrived at backend servers, whether they rejected
//! it or not.

use std::collections::HashMap;
use std::hash::Hash;

/// What the fleet may repeat.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Repeated arrivals as a share of the requests.
    pub share: f64,
    /// Repeated arrivals in addition to that share.
    pub extra: f64,
    /// Length of the window in which both are counted, in microseconds.
    pub window_us: u64,
}

/// Result of the check.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Findings {
    /// Arrivals beyond the first of their request.
    pub repeated: usize,
    /// Windows with more repeated arrivals than allowed; overlapping windows count once.
    pub over_budget: usize,
    /// Largest number of repeated arrivals in a window, divided by what is allowed.
    pub worst_window: f64,
}

/// Checks all windows that begin with a repeated arrival. `sent` are the times at which requests
/// were sent, and `arrivals` the times at which the request of a name arrived.
///
/// The requests that count are those of the window, of the window before it, or of the window half
/// a window before it, whichever has most.
#[must_use]
pub fn check<N>(allowance: &Allowance, sent: &[u64], arrivals: &[(N, u64)]) -> Findings
where
    N: Eq + Hash,
{
    let mut sent = sent.to_vec();
    sent.sort_unstable();
    let mut first = HashMap::new();
    for (request, at_us) in arrivals {
        let earliest = first.entry(request).or_insert(*at_us);
        *earliest = (*at_us).min(*earliest);
    }
    let mut repeated: Vec<_> = arrivals.iter().map(|(_, at_us)| *at_us).collect();
    repeated.sort_unstable();
    let mut firsts: Vec<_> = first.into_values().collect();
    firsts.sort_unstable();
    remove_sorted(&mut repeated, &firsts);
    let mut findings = Findings {
        repeated: repeated.len(),
        ..Findings::default()
    };
    let window = allowance.window_us;
    let mut reported_to_us = 0;
    for (index, &from_us) in repeated.iter().enumerate() {
        let count = count_between(&repeated[index..], from_us, from_us + window);
        let requests = [0, window / 2, window]
            .map(|earlier| {
                let from_us = from_us.saturating_sub(earlier);
                count_between(&sent, from_us, from_us + window)
            })
            .into_iter()
            .max()
            .unwrap_or(0);
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let ratio = count as f64 / (allowance.share * requests as f64 + allowance.extra);
        findings.worst_window = findings.worst_window.max(ratio);
        if ratio > 1.0 && from_us >= reported_to_us {
            findings.over_budget += 1;
            reported_to_us = from_us + window;
        }
    }
    findings
}

/// Removes from `times` each of `others` once; both are sorted.
fn remove_sorted(times: &mut Vec<u64>, others: &[u64]) {
    let mut others = others.iter().peekable();
    times.retain(|time| others.next_if(|other| *other == time).is_none());
}

fn count_between(sorted: &[u64], from_us: u64, to_us: u64) -> usize {
    let start = sorted.partition_point(|time| *time < from_us);
    let end = sorted.partition_point(|time| *time < to_us);
    end - start
}
