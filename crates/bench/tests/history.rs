//! The history check accepts a consistent history and detects each kind of violation.

use bench::faults_history::{
    CheckResult, History, Invocation, ProcessRecord, ReportedOutcome, Run, Span, check,
};

fn invoke(request: &str, key: Option<&str>, told: ReportedOutcome) -> Invocation {
    Invocation {
        request: request.to_owned(),
        key: key.map(str::to_owned),
        fingerprint: "f1".to_owned(),
        sent_us: 1_000_000,
        told_us: 1_200_000,
        told,
        detail: String::new(),
    }
}

fn answered(request: &str) -> ReportedOutcome {
    ReportedOutcome::Answered {
        request: request.to_owned(),
        fingerprint: "f1".to_owned(),
    }
}

fn run(key: &str, request: &str, start_us: u64) -> Run {
    Run {
        run: 0,
        key: key.to_owned(),
        request: request.to_owned(),
        start_us,
        end_us: None,
    }
}

/// Returns the history of a booking that was answered on a retry with the same key, a booking that
/// was refused, a booking with an unknown outcome, and a look-up that was answered.
fn consistent_history() -> History {
    History {
        invocations: vec![
            invoke("r1", Some("k1"), ReportedOutcome::Broken),
            invoke("r2", Some("k1"), answered("r1")),
            invoke("r3", Some("k2"), ReportedOutcome::NotRun),
            invoke("r4", Some("k3"), ReportedOutcome::MayHaveRun),
            invoke("r5", None, answered("r5")),
        ],
        records: vec![
            ProcessRecord {
                runs: vec![run("k1", "r1", 1_000_100), run("", "r5", 1_000_200)],
                stop_spans: vec![Span {
                    from_us: 1_000_000,
                    to_us: 1_000_300,
                }],
            },
            ProcessRecord::default(),
        ],
        graceful_spans: vec![Span {
            from_us: 2_000_000,
            to_us: 3_000_000,
        }],
    }
}

fn violations(result: &CheckResult) -> [usize; 4] {
    [
        result.double_runs,
        result.false_not_run,
        result.mixed_answers,
        result.cut_in_flight,
    ]
}

#[test]
fn consistent() {
    let result = check(&consistent_history());
    assert_eq!(violations(&result), [0; 4]);
    assert_eq!(
        (result.calls, result.keyed_calls, result.answered),
        (5, 4, 2)
    );
    assert_eq!(
        (result.not_run, result.may_have_run, result.broken),
        (1, 1, 1)
    );
    assert!((result.new_work_after_leave_max_s - 0.000_2).abs() < 1e-9);
}

/// A change to the consistent history, which may or may not be a violation.
#[derive(Debug, Clone, Copy)]
enum Change {
    RunTwice,
    RunRefused,
    AnswerSwapped,
    BodySwapped,
    AnswerOfOtherKey,
    CutOff,
    CutOffOnRetry,
    UnknownBefore,
    CutOffAfter,
}

fn apply_change(history: &mut History, change: Change) {
    let calls = &mut history.invocations;
    let runs = &mut history.records[1].runs;
    match change {
        Change::RunTwice => runs.push(run("k1", "r2", 1_100_000)),
        Change::RunRefused => runs.push(run("k2", "r3", 9_000_000)),
        Change::AnswerSwapped => calls[4].told = answered("r2"),
        Change::BodySwapped => "f2".clone_into(&mut calls[4].fingerprint),
        Change::AnswerOfOtherKey => calls[2].told = answered("r1"),
        Change::CutOff => (calls[3].sent_us, calls[3].told_us) = (2_500_000, 2_600_000),
        Change::CutOffOnRetry => {
            (calls[3].sent_us, calls[3].told_us) = (2_500_000, 2_600_000);
            let mut retry = invoke("r6", Some("k3"), ReportedOutcome::Broken);
            (retry.sent_us, retry.told_us) = (2_700_000, 2_800_000);
            calls.push(retry);
        }
        // The next two changes are not violations by the graceful stop: the outcome was unknown
        // before the stop, or the call ended after the stop.
        Change::UnknownBefore => {
            let mut retry = invoke("r6", Some("k3"), ReportedOutcome::MayHaveRun);
            (retry.sent_us, retry.told_us) = (2_500_000, 2_600_000);
            calls.push(retry);
        }
        Change::CutOffAfter => (calls[3].sent_us, calls[3].told_us) = (2_900_000, 3_100_000),
    }
}

#[yare::parameterized(
    run_twice = { Change::RunTwice, [1, 0, 0, 0] },
    run_refused = { Change::RunRefused, [0, 1, 0, 0] },
    answer_swapped = { Change::AnswerSwapped, [0, 0, 1, 0] },
    body_swapped = { Change::BodySwapped, [0, 0, 1, 0] },
    answer_of_other_key = { Change::AnswerOfOtherKey, [0, 0, 1, 0] },
    cut_off = { Change::CutOff, [0, 0, 0, 1] },
    cut_off_on_retry = { Change::CutOffOnRetry, [0, 0, 0, 2] },
    unknown_before = { Change::UnknownBefore, [0, 0, 0, 0] },
    cut_off_after = { Change::CutOffAfter, [0, 0, 0, 0] },
)]
fn changed_history(change: Change, found: [usize; 4]) {
    let mut history = consistent_history();
    apply_change(&mut history, change);
    assert_eq!(violations(&check(&history)), found);
}
