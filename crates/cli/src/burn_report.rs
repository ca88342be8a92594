//! `burn`: reports how fast services use up their error budgets.

use crate::error::Error;
use crate::exit::Exit;
use crate::session::{Session, Unreachable, partition_replies, print_unreachable};
use crate::table::render_table;
use burn::{Alert, BudgetStatus, NodeCounts, Window, evaluate, merge};
use serde::Serialize;

/// Output of `burn --json`.
#[derive(Debug, Serialize)]
struct Report {
    services: Vec<burn::ServiceReport>,
    /// Number of nodes whose counts are in the report.
    nodes: usize,
    /// Longest time, over all nodes, for which a node has been counting calls, in seconds.
    counted_s: u64,
    unreachable: Vec<Unreachable>,
}

pub(crate) async fn report_burn(session: &Session) -> Result<Exit, Error> {
    let replies = session.query_nodes::<NodeCounts>("/v1/burn").await?;
    let (answers, unreachable) = partition_replies(replies);
    let nodes = answers
        .into_iter()
        .map(|(_, node)| node)
        .collect::<Vec<_>>();
    let services = merge(&nodes)
        .iter()
        .map(|(name, service)| evaluate(name, service))
        .collect();
    let counted_s = nodes.iter().map(|node| node.counted_s).max();
    let report = Report {
        services,
        nodes: nodes.len(),
        counted_s: counted_s.unwrap_or_default(),
        unreachable,
    };
    if session.json {
        session.print_json(&report);
    } else {
        print_report(&report);
    }
    Ok(print_unreachable(&report.unreachable))
}

fn print_report(report: &Report) {
    println!(
        "{} nodes, counting for up to {} s; budgets are of three days",
        report.nodes, report.counted_s
    );
    let heading = [
        "SERVICE",
        "PROMISE",
        "CALLS",
        "BUDGET LEFT",
        "5m",
        "30m",
        "1h",
        "6h",
        "3d",
        "ALERT",
    ];
    let mut rows = vec![heading.map(str::to_owned)];
    for service in &report.services {
        let calls = service.calls.to_string();
        let objectives = [
            ("availability", &service.availability),
            ("latency", &service.latency),
        ];
        let present = objectives
            .iter()
            .filter_map(|(name, budget)| Some((name, budget.as_ref()?)));
        let mut has_objective = false;
        for (name, budget) in present {
            has_objective = true;
            rows.push(make_row(&service.service, name, &calls, budget));
        }
        if !has_objective {
            let texts = [service.service.as_str(), "none", calls.as_str()];
            let mut row = [const { String::new() }; 10];
            for (cell, text) in row.iter_mut().zip(texts) {
                text.clone_into(cell);
            }
            rows.push(row);
        }
    }
    print!("{}", render_table(&rows));
}

fn make_row(service: &str, objective: &str, calls: &str, budget: &BudgetStatus) -> [String; 10] {
    let [m5, m30, h1, h6, d3] = Window::ALL.map(|window| format!("{:.1}", budget.burn[&window]));
    let alert = match budget.alert {
        Alert::None => "-",
        Alert::Ticket => "ticket",
        Alert::Page => "PAGE",
    };
    [
        service.to_owned(),
        objective.to_owned(),
        calls.to_owned(),
        format!("{:.1} %", budget.budget_left * 100.0),
        m5,
        m30,
        h1,
        h6,
        d3,
        alert.to_owned(),
    ]
}
