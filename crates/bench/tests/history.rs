//! The check of histories: it passes a good one and bites on each doctored one.

use bench::faults_history::{History, Invocation, Record, Run, Span, Told, Verdict, check};

fn invoke(request: &str, key: Option<&str>, told: Told) -> Invocation {
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

fn answered(request: &str) -> Told {
    Told::Answered {
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

/// A booking that was answered again under its key, one refused, one unknown and a look-up.
fn make_good() -> History {
    History {
        invocations: vec![
            invoke("r1", Some("k1"), Told::Broken),
            invoke("r2", Some("k1"), answered("r1")),
            invoke("r3", Some("k2"), Told::NotRun),
            invoke("r4", Some("k3"), Told::MayHaveRun),
            invoke("r5", None, answered("r5")),
        ],
        records: vec![
            Record {
                runs: vec![run("k1", "r1", 1_000_100), run("", "r5", 1_000_200)],
                left: vec![Span {
                    from_us: 1_000_000,
                    to_us: 1_000_300,
                }],
            },
            Record::default(),
        ],
        graceful: vec![Span {
            from_us: 2_000_000,
            to_us: 3_000_000,
        }],
    }
}

fn violations(verdict: &Verdict) -> [usize; 4] {
    [
        verdict.double_runs,
        verdict.false_not_run,
        verdict.mixed_answers,
        verdict.cut_in_flight,
    ]
}

#[test]
fn good() {
    let verdict = check(&make_good());
    assert_eq!(violations(&verdict), [0; 4]);
    assert_eq!(
        (verdict.calls, verdict.keyed_calls, verdict.answered),
        (5, 4, 2)
    );
    assert_eq!(
        (verdict.not_run, verdict.may_have_run, verdict.broken),
        (1, 1, 1)
    );
    assert!((verdict.new_work_after_leave_max_s - 0.000_2).abs() < 1e-9);
}

/// What is wrong with a doctored history.
#[derive(Debug, Clone, Copy)]
enum Wrong {
    RunTwice,
    RunRefused,
    AnswerSwapped,
    BodySwapped,
    AnswerBorrowed,
    CutOff,
    CutOffOnRepeat,
    UnknownBefore,
    CutOffAfter,
}

fn doctor(history: &mut History, wrong: Wrong) {
    let asked = &mut history.invocations;
    let runs = &mut history.records[1].runs;
    match wrong {
        Wrong::RunTwice => runs.push(run("k1", "r2", 1_100_000)),
        Wrong::RunRefused => runs.push(run("k2", "r3", 9_000_000)),
        Wrong::AnswerSwapped => asked[4].told = answered("r2"),
        Wrong::BodySwapped => "f2".clone_into(&mut asked[4].fingerprint),
        Wrong::AnswerBorrowed => asked[2].told = answered("r1"),
        Wrong::CutOff => (asked[3].sent_us, asked[3].told_us) = (2_500_000, 2_600_000),
        Wrong::CutOffOnRepeat => {
            (asked[3].sent_us, asked[3].told_us) = (2_500_000, 2_600_000);
            let mut repeat = invoke("r6", Some("k3"), Told::Broken);
            (repeat.sent_us, repeat.told_us) = (2_700_000, 2_800_000);
            asked.push(repeat);
        }
        // Not the stop's doing: unknown since before it, or cut off after it.
        Wrong::UnknownBefore => {
            let mut repeat = invoke("r6", Some("k3"), Told::MayHaveRun);
            (repeat.sent_us, repeat.told_us) = (2_500_000, 2_600_000);
            asked.push(repeat);
        }
        Wrong::CutOffAfter => (asked[3].sent_us, asked[3].told_us) = (2_900_000, 3_100_000),
    }
}

#[yare::parameterized(
    run_twice = { Wrong::RunTwice, [1, 0, 0, 0] },
    run_refused = { Wrong::RunRefused, [0, 1, 0, 0] },
    answer_swapped = { Wrong::AnswerSwapped, [0, 0, 1, 0] },
    body_swapped = { Wrong::BodySwapped, [0, 0, 1, 0] },
    answer_borrowed = { Wrong::AnswerBorrowed, [0, 0, 1, 0] },
    cut_off = { Wrong::CutOff, [0, 0, 0, 1] },
    cut_off_on_repeat = { Wrong::CutOffOnRepeat, [0, 0, 0, 2] },
    unknown_before = { Wrong::UnknownBefore, [0, 0, 0, 0] },
    cut_off_after = { Wrong::CutOffAfter, [0, 0, 0, 0] },
)]
fn doctored(wrong: Wrong, found: [usize; 4]) {
    let mut history = make_good();
    doctor(&mut history, wrong);
    assert_eq!(violations(&check(&history)), found);
}
