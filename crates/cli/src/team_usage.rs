//! `team usage`: shows the calls of teams beside their limits.

use crate::error::Error;
use crate::exit::Exit;
use crate::session::{Session, Unreachable, partition_replies, print_unreachable};
use crate::table::render_table;
use config::Team;
use config::team::Limit;
use serde::Serialize;
use smol_str::SmolStr;
use status::{TeamCalls, TeamUsage};
use std::collections::BTreeMap;
use std::time::Duration;

/// Output of `team usage --json`.
#[derive(Debug, Serialize)]
struct Report<'a> {
    teams: Vec<TeamReport<'a>>,
    /// Nodes whose counts are left out, as their process started in the meantime.
    restarted: Vec<SmolStr>,
    unreachable: Vec<Unreachable>,
}

/// Calls of a team at all nodes that were asked, in calls a second.
#[derive(Debug, Default, Serialize)]
struct TeamReport<'a> {
    team: &'a str,
    limit: Option<Limit>,
    run: f64,
    /// Refused calls by reason.
    refused: BTreeMap<SmolStr, f64>,
    /// The same by node.
    nodes: BTreeMap<SmolStr, NodeReport>,
}

/// Calls of a team at one node, in calls a second.
#[derive(Debug, Default, Serialize)]
struct NodeReport {
    run: f64,
    refused: BTreeMap<SmolStr, f64>,
}

pub(crate) async fn report_usage(
    session: &Session,
    teams: &BTreeMap<SmolStr, Team>,
    name: Option<&str>,
    span: Duration,
) -> Result<Exit, Error> {
    let mut reports = BTreeMap::new();
    for (team, entry) in teams {
        if name.is_none_or(|name| name == team) {
            let report = TeamReport {
                team,
                limit: entry.limit,
                ..TeamReport::default()
            };
            reports.insert(team, report);
        }
    }
    if let Some(name) = name.filter(|_| reports.is_empty()) {
        return Err(Error::NoSuchTeam(name.to_owned()));
    }
    let (before, _) = partition_replies(session.query_nodes::<TeamUsage>("/v1/teams").await?);
    tokio::time::sleep(span).await;
    let (after, unreachable) =
        partition_replies(session.query_nodes::<TeamUsage>("/v1/teams").await?);
    let mut restarted = Vec::new();
    for (address, last) in after {
        let first = before.iter().find(|(other, _)| *other == address);
        match first {
            Some((_, first)) if first.incarnation == last.incarnation => {
                add_node(&mut reports, first, &last);
            }
            _ => restarted.push(last.node),
        }
    }
    let report = Report {
        teams: reports.into_values().collect(),
        restarted,
        unreachable,
    };
    if session.json {
        session.print_json(&report);
    } else {
        print_report(&report);
    }
    Ok(print_unreachable(&report.unreachable))
}

/// Adds what a node counted between two readings of the same process.
fn add_node(reports: &mut BTreeMap<&SmolStr, TeamReport<'_>>, first: &TeamUsage, last: &TeamUsage) {
    let span = Duration::from_millis(last.uptime_ms.saturating_sub(first.uptime_ms).max(1));
    let rate = |last: u64, first: u64| {
        let calls = u32::try_from(last.saturating_sub(first)).unwrap_or(u32::MAX);
        f64::from(calls) / span.as_secs_f64()
    };
    let uncounted = TeamCalls::default();
    for (team, calls) in &last.teams {
        let Some(report) = reports.get_mut(team) else {
            continue;
        };
        let earlier = first.teams.get(team).unwrap_or(&uncounted);
        let node = report.nodes.entry(last.node.clone()).or_default();
        node.run = rate(calls.run, earlier.run);
        report.run += node.run;
        for (reason, count) in &calls.refused {
            let refused = rate(*count, earlier.refused.get(reason).copied().unwrap_or(0));
            if refused > 0.0 {
                node.refused.insert(reason.clone(), refused);
                *report.refused.entry(reason.clone()).or_default() += refused;
            }
        }
    }
}

fn print_report(report: &Report<'_>) {
    let heading = ["TEAM", "LIMIT/S", "BURST", "RUN/S", "OF LIMIT", "REFUSED/S"];
    let mut rows = vec![heading.map(str::to_owned)];
    for team in &report.teams {
        let none = || "none".to_owned();
        let share = team
            .limit
            .filter(|limit| limit.per_second() > 0.0)
            .map(|limit| format!("{:.0} %", 100.0 * team.run / limit.per_second()));
        let refused = team
            .refused
            .iter()
            .map(|(reason, rate)| format!("{reason} {rate:.1}"));
        rows.push([
            team.team.to_owned(),
            team.limit
                .map_or_else(none, |limit| format!("{:.1}", limit.per_second())),
            team.limit
                .map_or_else(none, |limit| limit.burst.to_string()),
            format!("{:.1}", team.run),
            share.unwrap_or_else(|| "-".to_owned()),
            refused.collect::<Vec<_>>().join(", "),
        ]);
    }
    print!("{}", render_table(&rows));
    for node in &report.restarted {
        println!("{node} was restarted in the meantime and is left out");
    }
}
