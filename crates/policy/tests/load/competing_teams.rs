use crate::report::Report;
use crate::scenario::{CAPACITY, Flow, Scenario, System};
use crate::sim::run;
use config::Class;
use std::ops::Range;
use yare::parameterized;

/// Interval, in seconds, in which the calls that are measured start.
const MEASURED_SPAN: Range<f64> = 3.0..SECONDS;

/// Length of a run: small teams send some hundred calls in it.
const SECONDS: f64 = 30.0;

/// Sizes of the teams, as shares of the capacity: two large ones, six medium ones and twenty small
/// ones, 0.9 of the capacity in all.
const SIZES: [(usize, f64); 3] = [(2, 0.12), (6, 0.06), (20, 0.015)];

/// Index of the team that sends many times its usual: a medium one.
const HOT_TEAM: usize = 4;

/// Callers of each team.
const CALLERS: u32 = 10;

/// Makes the flows of teams that send look-ups as usual, but for one that sends `factor` times as
/// much from the second second on.
fn team_flows(factor: f64) -> Vec<Flow> {
    let sizes = SIZES.iter().flat_map(|(count, size)| vec![*size; *count]);
    let mut flows = Vec::new();
    for (team, size) in (0_u32..).zip(sizes) {
        let usual = Flow {
            team: Some(u64::from(team)),
            target: Some(0.3),
            ..Flow::new(Class::Lookup, size * CAPACITY)
        };
        flows.extend(usual.split(CALLERS * team..CALLERS * (team + 1)));
        if team as usize == HOT_TEAM {
            let more = Flow {
                rate: (factor - 1.0) * usual.rate,
                span: (2.0, f64::MAX),
                ..usual
            };
            flows.extend(more.split(10_000..10_000 + CALLERS));
        }
    }
    flows
}

/// Returns the share of a team's calls that are answered.
fn answered_share(report: &Report, flows: &[Flow], team: usize) -> f64 {
    let range = flow_range(flows, team);
    report.answered_share(range, MEASURED_SPAN)
}

fn flow_range(flows: &[Flow], team: usize) -> Range<usize> {
    let is_own = |flow: &Flow| flow.team == Some(team as u64);
    let first = flows.iter().position(is_own).expect("has flows");
    let count = flows.iter().filter(|flow| is_own(flow)).count();
    first..first + count
}

// One of 28 teams sends five or ten times its usual. Without shares, all teams are refused alike.
#[parameterized(five = { 5.0 }, ten = { 10.0 })]
fn others_served(factor: f64) {
    let flows = team_flows(factor);
    let scenario = Scenario {
        flows: flows.clone(),
        seconds: SECONDS,
        ..Scenario::default()
    };
    let without_teams = Scenario {
        flows: flows
            .iter()
            .map(|flow| Flow {
                team: None,
                ..flow.clone()
            })
            .collect(),
        seconds: SECONDS,
        ..Scenario::default()
    };
    let with = run(&scenario, System::Policy);
    let without = run(&without_teams, System::Policy);
    let others = (0..28).filter(|team| *team != HOT_TEAM);
    let shares = others
        .clone()
        .map(|team| answered_share(&with, &flows, team));
    let before = others.map(|team| answered_share(&without, &flows, team));
    let (least, least_before) = (shares.fold(1.0, f64::min), before.fold(1.0, f64::min));
    let hot = answered_share(&with, &flows, HOT_TEAM);
    let hot_before = answered_share(&without, &flows, HOT_TEAM);
    println!(
        "factor {factor}: least of the others {least:.3}, before {least_before:.3}; hot team {hot:.3}, before {hot_before:.3}"
    );
    // No team below its share has more than a tenth of its calls refused.
    assert!(least >= 0.9, "{least}");
    // The hot team takes what the others leave.
    let taken = hot * factor * 0.06;
    assert!(taken >= 0.08, "{taken}");
}

// With room for all, a team may take several times its usual.
#[test]
fn room_for_all() {
    let mut flows = team_flows(5.0);
    for flow in &mut flows {
        flow.rate *= 0.6;
    }
    let scenario = Scenario {
        flows: flows.clone(),
        seconds: SECONDS,
        ..Scenario::default()
    };
    let report = run(&scenario, System::Policy);
    let hot = answered_share(&report, &flows, HOT_TEAM);
    println!("hot team {hot:.3}");
    assert!(hot >= 0.97, "{hot}");
}
