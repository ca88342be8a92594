//! `status`: shows the last version and the status of nodes.

use crate::error::Error;
use crate::exit::Exit;
use crate::session::{Session, Unreachable, partition_replies, print_unreachable};
use crate::table::render_table;
use config::Version;
use serde::Serialize;
use smol_str::SmolStr;
use status::{FleetVersions, Status};
use store::version::load;

/// Output of `status --json`.
#[derive(Debug, Serialize)]
struct Report {
    /// The last accepted version; `None` if the platform's address is unknown or the platform does
    /// not answer.
    accepted: Option<Version>,
    /// Versions that the fleet holds, according to the node that knows of the most nodes.
    fleet: FleetVersions,
    nodes: Vec<Status>,
    unreachable: Vec<Unreachable>,
}

pub(crate) async fn report_status(session: &Session) -> Result<Exit, Error> {
    let replies = session.query_nodes("/v1/status").await?;
    let (answers, unreachable) = partition_replies(replies);
    let accepted = read_accepted(session).await;
    let nodes = answers
        .into_iter()
        .map(|(_, status)| status)
        .collect::<Vec<_>>();
    let report = Report {
        accepted,
        fleet: select_fleet(&nodes),
        nodes,
        unreachable,
    };
    if session.json {
        session.print_json(&report);
    } else {
        print_report(&report);
    }
    Ok(print_unreachable(&report.unreachable))
}

/// Returns the last accepted version, or `None` if it can't be read: `status` must show nodes
/// during an outage of the platform too.
async fn read_accepted(session: &Session) -> Option<Version> {
    if !session.has_platform() {
        return None;
    }
    let journal = session.open_journal().ok()?;
    match load(&journal).await {
        Ok(state) => Some(state.version),
        Err(error) => {
            eprintln!("bluebellpick: the last accepted version is not known: {error}");
            None
        }
    }
}

/// Returns the status of the fleet according to the node that knows of the most nodes.
fn select_fleet(nodes: &[Status]) -> FleetVersions {
    let fleets = nodes.iter().map(|node| &node.distribution.fleet);
    let largest = fleets.max_by_key(|fleet| count_nodes(fleet));
    largest.cloned().unwrap_or_default()
}

fn count_nodes(fleet: &FleetVersions) -> u32 {
    fleet.counts.iter().map(|count| count.nodes).sum()
}

fn print_fleet(fleet: &FleetVersions) {
    let all = count_nodes(fleet);
    for count in fleet.counts.iter().rev() {
        println!(
            "version {} is held by {} of {all} nodes of the fleet",
            count.version, count.nodes
        );
    }
    if !fleet.laggards.is_empty() {
        let names = fleet.laggards.iter().map(SmolStr::as_str);
        println!(
            "behind, among others: {}",
            names.collect::<Vec<_>>().join(", ")
        );
    }
    for refusal in &fleet.refusals {
        println!(
            "node {} could not apply version {}: {}",
            refusal.node, refusal.version, refusal.reason
        );
    }
}

fn print_report(report: &Report) {
    print_fleet(&report.fleet);
    let newest = report.nodes.iter().map(|node| node.version).max();
    if let Some(version) = report.accepted.or(newest) {
        let holders = report.nodes.iter().filter(|node| node.version >= version);
        let (count, all) = (holders.count(), report.nodes.len());
        let what = if report.accepted.is_some() {
            "last accepted"
        } else {
            "highest seen"
        };
        println!("version {version} ({what}) is in force on {count} of {all} nodes that answered");
    }
    let heading = [
        "NODE",
        "ZONE",
        "VERSION",
        "STATE",
        "IN FLIGHT",
        "BACKEND SERVER",
    ];
    let mut rows = vec![heading.map(str::to_owned)];
    for node in &report.nodes {
        rows.push([
            node.node.to_string(),
            node.zone.to_string(),
            node.version.to_string(),
            describe_state(node),
            node.in_flight.to_string(),
            describe_backend(node),
        ]);
    }
    print!("{}", render_table(&rows));
}

fn describe_state(node: &Status) -> String {
    if node.not_ready.is_empty() {
        return "ready".to_owned();
    }
    let waits = node.waits.kinds().into_iter();
    let waits = waits.filter(|(_, count)| node.leaving && *count > 0);
    let waits = waits.map(|(kind, count)| format!("{count} {kind}"));
    let waits = waits.collect::<Vec<_>>().join(", ");
    let state = node.not_ready.join("; ");
    if waits.is_empty() {
        return state;
    }
    format!("{state}, waits for {waits}")
}

fn describe_backend(node: &Status) -> String {
    match &node.backend {
        Some(backend) if backend.leaving => format!("{} (leaving)", backend.service),
        Some(backend) => backend.service.to_string(),
        None => "none".to_owned(),
    }
}
