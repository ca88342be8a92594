//! The check of backend servers' reports finds doctored violations and excuses what it should.

use bench::faults_history::Span;
use bench::reports_check::{Arrival, Findings, LimitSpan, Notice, Process, check};
use yare::parameterized;

const SECOND: u64 = 1_000_000;

fn span(from_s: u64, to_s: u64) -> Span {
    Span {
        from_us: from_s * SECOND,
        to_us: to_s * SECOND,
    }
}

/// A process that names a limit of 10 calls per second from 10 s to 30 s, told to VM 0 at 10 s, with
/// `rate` calls per second from VM `vm`.
fn limited(rate: u64, vm: usize) -> Process {
    let arrivals = (10 * rate..30 * rate).map(|number| {
        let at_us = number * SECOND / rate;
        Arrival {
            vm,
            sent_us: at_us,
            at_us,
        }
    });
    Process {
        arrivals: arrivals.collect(),
        limit_notices: vec![Notice {
            vm: 0,
            at_us: 10 * SECOND,
        }],
        limits: vec![LimitSpan {
            span: span(10, 30),
            rate: 10.0,
        }],
        ..Process::default()
    }
}

// 65 calls in 4 s are allowed.
#[parameterized(
    within = { 16, 0, &[], true },
    beyond = { 17, 0, &[], false },
    not_told = { 40, 1, &[], true },
    restarted = { 40, 0, &[span(11, 12)], true },
    restarted_before = { 40, 0, &[span(8, 9)], false },
)]
fn limit(rate: u64, vm: usize, disturbances: &[Span], is_kept: bool) {
    let disturbances = [disturbances.to_vec(), Vec::new()];
    let findings = check(&limited(rate, vm), &disturbances);
    assert_eq!(findings.over_limit == 0, is_kept, "{findings:?}");
}

// A higher limit counts from when it is named, a lower one once the window has left the former.
#[parameterized(
    raised = { 20.0, true },
    lowered = { 5.0, false },
)]
fn changed_limit(rate: f64, is_kept: bool) {
    let mut process = limited(15, 0);
    process.limits = vec![
        LimitSpan {
            span: span(10, 18),
            rate: 10.0,
        },
        LimitSpan {
            span: span(18, 30),
            rate,
        },
    ];
    let findings = check(&process, &[Vec::new()]);
    assert_eq!(findings.over_limit == 0, is_kept, "{findings:?}");
}

#[parameterized(
    at_once = { 11, 0, &[], 0 },
    late = { 13, 0, &[], 1 },
    not_told = { 13, 1, &[], 0 },
    restarted = { 13, 0, &[span(11, 12)], 0 },
)]
fn leaving(sent_s: u64, vm: usize, disturbances: &[Span], expected: usize) {
    let at_us = sent_s * SECOND;
    let process = Process {
        arrivals: vec![Arrival {
            vm,
            sent_us: at_us,
            at_us,
        }],
        leave_notices: vec![Notice {
            vm: 0,
            at_us: 10 * SECOND,
        }],
        ..Process::default()
    };
    let findings = check(&process, &[disturbances.to_vec(), Vec::new()]);
    assert_eq!(
        findings,
        Findings {
            after_leaving: expected,
            ..Findings::default()
        }
    );
}
