use crate::report::Report;
use crate::sim::{CAPACITY, Flow, Scenario, System, run};
use config::Class;

/// A fifth commits, half look-ups, the rest refreshes, each from 50 callers.
fn mixed(times: f64) -> Scenario {
    let flow = |class, share: f64| Flow::new(class, CAPACITY * times * share);
    let mut flows = flow(Class::Commit, 0.2).split(0..50);
    flows.extend(flow(Class::Lookup, 0.5).split(50..100));
    flows.extend(flow(Class::Refresh, 0.3).split(100..150));
    Scenario {
        flows,
        ..Scenario::default()
    }
}

fn show(name: &str, report: &Report) {
    let span = 2.0..10.0;
    let good = report.answered(report.all(), span.clone()) / (CAPACITY * 8.0);
    println!(
        "{name}: goodput {good:.3} commits {:.3} lookups {:.3} refreshes {:.3} p99 {:.3} {:.3} {:.3} refusal p99 {:.4} given up {} ran out {}",
        report.share(0..50, span.clone()),
        report.share(50..100, span.clone()),
        report.share(100..150, span.clone()),
        report.p99(0..50, span.clone()),
        report.p99(50..100, span.clone()),
        report.p99(100..150, span.clone()),
        report.refusal_p99(),
        report.given_up,
        report.ran_out(),
    );
}

#[test]
fn explore() {
    for times in [0.5, 0.8, 1.0, 2.0, 4.0, 10.0] {
        show(
            &format!("overload policy {times}"),
            &run(&mixed(times), System::Policy),
        );
        show(
            &format!("overload baseline {times}"),
            &run(&mixed(times), System::Baseline),
        );
    }
}
