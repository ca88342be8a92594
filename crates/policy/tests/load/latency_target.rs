use crate::report::Report;
use crate::scenario::{CAPACITY, CallerRetry, Flow, Scenario, System};
use crate::sim::run;
use config::Class;

/// Interval, in seconds, in which the calls that are measured start: the first two seconds fill the
/// queues and train the duration estimates.
const MEASURED_SPAN: std::ops::Range<f64> = 2.0..10.0;

/// Latency target of the callers, in seconds: few callers still wait for an answer that comes
/// later.
const TARGET: f64 = 0.07;

fn overload_scenario(load: f64, target: Option<f64>) -> Scenario {
    let mut flow = Flow::new(Class::Lookup, CAPACITY * load);
    flow.target = target;
    Scenario {
        flows: flow.split(0..100),
        ..Scenario::default()
    }
}

fn timely_share(report: &Report) -> f64 {
    report.answered_within(report.all_flows(), MEASURED_SPAN, TARGET) / (CAPACITY * 8.0)
}

// At one and a half times the capacity, and without a latency target, the backend servers answer
// nearly as many calls as they can, but most answers come too late: the queue grows as long as the
// deadlines allow, and each call that enters the queue waits that long.
#[test]
fn answers_meet_target() {
    let (untargeted, targeted) = (
        run(&overload_scenario(1.5, None), System::Policy),
        run(&overload_scenario(1.5, Some(TARGET)), System::Policy),
    );
    println!(
        "in time: without target {:.3} with target {:.3}",
        timely_share(&untargeted),
        timely_share(&targeted)
    );
    let all = targeted.answered(targeted.all_flows(), MEASURED_SPAN) / (CAPACITY * 8.0);
    assert!(timely_share(&targeted) > timely_share(&untargeted) * 1.3);
    assert!(timely_share(&targeted) > 0.75 && all > 0.9, "{all}");
}

// At one and a half times the capacity, each refused caller retries once, half a second later. If a
// returning caller can't be told from a new one, four in ten answers are late: they go to returning
// callers, whose latency target has passed, instead of new callers who could be answered in time.
#[test]
fn retries_served_last() {
    let run_with = |caller_retry| {
        let scenario = Scenario {
            caller_retries: 1,
            caller_retry,
            ..overload_scenario(1.5, Some(TARGET))
        };
        run(&scenario, System::Policy)
    };
    let (unmarked, marked) = (
        run_with(CallerRetry::Unmarked),
        run_with(CallerRetry::Marked),
    );
    println!(
        "in time: unmarked {:.3} marked {:.3}",
        timely_share(&unmarked),
        timely_share(&marked)
    );
    let all = marked.answered(marked.all_flows(), MEASURED_SPAN) / (CAPACITY * 8.0);
    assert!(timely_share(&marked) > timely_share(&unmarked) * 1.08);
    assert!(timely_share(&marked) > 0.7 && all > 0.9, "{all}");
}

/// A caller that retries late at a full service is refused within the latency target.
#[test]
fn late_retries_refused_early() {
    let scenario = Scenario {
        caller_retries: 1,
        caller_retry: CallerRetry::Marked,
        ..overload_scenario(1.5, Some(TARGET))
    };
    let report = run(&scenario, System::Policy);
    let refusal_p99 = report.refusal_p99();
    println!("refused after {refusal_p99:.4} s in 99 of 100 cases");
    assert!(refusal_p99 <= TARGET);
}
