//! `explain`: reconstructs what happened to one call from the logs of all nodes.

use crate::error::Error;
use crate::exit::Exit;
use crate::log_line::LogLine;
use crate::session::Session;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Name of the node for lines from standard input that do not contain the name of a node.
const UNNAMED_NODE: &str = "node";

/// Events of a node, rather than of a call, that can explain the outcome of a call.
const NODE_EVENTS: [&str; 10] = [
    "started",
    "stopped",
    "handing_over",
    "leaving",
    "backend_announced",
    "backend_leaving",
    "backend_reported",
    "link_silent",
    "platform_lost",
    "cut_off",
];

/// Number of node events before the call that are shown for each node involved.
const NODE_EVENTS_BEFORE: usize = 2;

/// What happened to one call, in order of time, and the cause of its outcome.
#[derive(Debug, PartialEq, Eq, Serialize)]
struct Explanation<'a> {
    id: &'a str,
    cause: String,
    steps: Vec<Step>,
}

/// One log line of an explanation.
#[derive(Debug, PartialEq, Eq, Serialize)]
struct Step {
    at: String,
    node: String,
    event: String,
    said: String,
}

/// Explains the call `id` from the logs in `files`, or from standard input.
pub(crate) fn explain_call(session: &Session, id: &str, files: &[PathBuf]) -> Result<Exit, Error> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read_lines(io::stdin().lock(), UNNAMED_NODE, &mut lines)
            .map_err(|error| Error::File("standard input".into(), error))?;
    }
    for file in files {
        read_file(file, &mut lines)
            .map_err(|error| Error::File(file.display().to_string(), error))?;
    }
    // All nodes write the same time format, which sorts as text; the sort is stable, so lines of
    // the same instant stay in the order of their files.
    lines.sort_by(|one, other| one.at.cmp(&other.at));
    let call_lines: Vec<_> = lines.iter().filter(|line| belongs_to(line, id)).collect();
    if call_lines.is_empty() {
        return Err(Error::NoSuchCall(id.to_owned(), lines.len()));
    }
    let mut steps = call_lines.clone();
    steps.extend(find_node_events(&lines, &call_lines));
    steps.sort_by(|one, other| one.at.cmp(&other.at));
    let explanation = Explanation {
        id,
        cause: find_cause(id, &call_lines) + describe_budget(id, &call_lines),
        steps: steps.into_iter().map(make_step).collect(),
    };
    print_explanation(session, &explanation);
    Ok(Exit::Done)
}

fn read_file(path: &Path, lines: &mut Vec<LogLine>) -> io::Result<()> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    read_lines(BufReader::new(File::open(path)?), &name, lines)
}

fn read_lines<R>(mut reader: R, file: &str, lines: &mut Vec<LogLine>) -> io::Result<()>
where
    R: BufRead,
{
    let mut text = Vec::new();
    while reader.read_until(b'\n', &mut text)? > 0 {
        // A log may be truncated in the middle of a character.
        lines.extend(LogLine::parse(
            String::from_utf8_lossy(&text).trim_end(),
            file,
        ));
        text.clear();
    }
    Ok(())
}

/// Returns whether a line belongs to the call `id`, or to a nested call made on behalf of that
/// call.
fn belongs_to(line: &LogLine, id: &str) -> bool {
    let rest = line.get("id").strip_prefix(id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// Returns the [`NODE_EVENTS`] of the nodes involved in a call: the events during the call and the
/// last [`NODE_EVENTS_BEFORE`] before the call.
fn find_node_events<'a>(lines: &'a [LogLine], call_lines: &[&LogLine]) -> Vec<&'a LogLine> {
    let (Some(first), Some(last)) = (call_lines.first(), call_lines.last()) else {
        return Vec::new();
    };
    let nodes: BTreeSet<_> = call_lines
        .iter()
        .flat_map(|line| [line.node.as_str(), line.get("node")])
        .collect();
    let mut found = Vec::new();
    for node in nodes {
        let events = lines.iter().filter(|line| {
            line.node == node && NODE_EVENTS.contains(&line.event.as_str()) && line.at <= last.at
        });
        let events: Vec<_> = events.collect();
        let before = events.iter().filter(|line| line.at < first.at).count();
        found.extend(
            events
                .into_iter()
                .skip(before.saturating_sub(NODE_EVENTS_BEFORE)),
        );
    }
    found
}

/// Describes the cause of the call's outcome, mainly from the last log line that reports an outcome
/// to the caller.
fn find_cause(id: &str, call_lines: &[&LogLine]) -> String {
    let is_final = |line: &&&LogLine| line.get("id") == id && line.event.starts_with("call_");
    let mut finals = call_lines
        .iter()
        .filter(is_final)
        .filter(|line| line.event != "call_turned_away");
    let Some(end) = finals.next_back() else {
        return "not known: no line tells its end; its node was killed, or left the line out"
            .into();
    };
    let turned_away_count = call_lines
        .iter()
        .filter(|line| line.event == "call_turned_away" && line.get("id") == id)
        .count();
    let exact_lines = call_lines.iter().filter(|line| line.get("id") == id);
    let last_node = exact_lines
        .filter(|line| line.event == "try_refused" && line.get("reason") == end.get("reason"))
        .map(|line| line.get("node"))
        .next_back()
        .unwrap_or("a node");
    match (end.event.as_str(), end.get("verdict"), end.get("reason")) {
        ("call_unrouted", _, reason) => describe_unrouted(end, reason),
        ("call_answered", _, _) => describe_answer(call_lines, id, end),
        (_, "not-run", "full" | "deadline") => format!(
            "no room: the gates of {turned_away_count} backend servers turned it away, as it could not begin in time"
        ),
        (_, "not-run", "rate-limit") => format!(
            "the backend servers take no more calls: the one at {last_node} has named a rate limit"
        ),
        (_, "not-run", "team-share") => format!(
            "its team has used more than its share of the backend server at {last_node}, which others compete for"
        ),
        (_, "not-run", "shed") => {
            format!(
                "the backend server at {last_node} refused it for load, though its gate had let it in"
            )
        }
        (_, "not-run", "unreached") => format!("{last_node} could not be reached"),
        (_, "not-run", "leaving") => format!("the backend server at {last_node} is leaving"),
        (_, "not-run", "no-service") => {
            "no backend server of the service is known, or none accepts the call".into()
        }
        (_, "not-run", "held") => format!(
            "its request {} has crashed the backend servers that ran it, and is held",
            end.get("request")
        ),
        (_, "may-have-run", "crashed") => {
            format!("the backend server at {last_node} ended while it ran the call")
        }
        (_, "may-have-run", "deadline") => {
            format!("{last_node} gave no answer before the deadline")
        }
        (_, "may-have-run", _) => format!(
            "the connection to the backend server at {last_node}, or to its node, broke after the call was sent"
        ),
        (_, verdict, reason) => format!("{reason}, {verdict}"),
    }
}

/// Describes that the retry budget denied a retry of the call; empty if it did not.
fn describe_budget(id: &str, call_lines: &[&LogLine]) -> &'static str {
    let is_denial = |line: &&LogLine| line.get("id") == id && line.event == "retry_denied";
    if call_lines.iter().any(is_denial) {
        "; the retry budget was used up"
    } else {
        ""
    }
}

fn describe_unrouted(end: &LogLine, reason: &str) -> String {
    let (host, path, version) = (end.get("host"), end.get("path"), end.get("version"));
    match reason {
        "no-version" => format!("{} had no configuration yet", end.node),
        "no-endpoint" => {
            format!("version {version} routes {host}{path} to a service without backend servers")
        }
        _ => format!("version {version} has no route for {host}{path}"),
    }
}

/// Describes the answer to a call and why it was an error or took so long.
fn describe_answer(call_lines: &[&LogLine], id: &str, end: &LogLine) -> String {
    let status = end.get("status");
    let nested = call_lines.iter().filter(|line| {
        line.get("id") != id && line.event.starts_with("call_") && !line.get("verdict").is_empty()
    });
    if status.starts_with('5') {
        return match nested.count() {
            0 => format!(
                "the backend server at {} answered {status}",
                end.get("node")
            ),
            count => format!(
                "the backend server at {} answered {status}, after {count} calls of its own had failed",
                end.get("node")
            ),
        };
    }
    let number = |name: &str| end.get(name).parse::<u64>().unwrap_or_default();
    let (took, waited, attempts) = (number("took_ms"), number("waited_ms"), number("tries"));
    let largest_part = if waited * 2 > took {
        "most of it at the gate: too few slots"
    } else if attempts > 1 {
        "some of it on tries that came to nothing"
    } else {
        "most of it at the backend server"
    };
    format!("answered {status} after {took} ms, {waited} of them at the gate; {largest_part}")
}

fn make_step(line: &LogLine) -> Step {
    let said: Vec<_> = line
        .values
        .iter()
        .filter(|(name, value)| !matches!(name.as_str(), "id" | "call") && *value != "0")
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    Step {
        at: line.at.clone(),
        node: line.node.clone(),
        event: line.event.clone(),
        said: said.join(", "),
    }
}

fn print_explanation(session: &Session, explanation: &Explanation<'_>) {
    if session.json {
        session.print_json(explanation);
        return;
    }
    println!("call {}", explanation.id);
    let width = explanation.steps.iter().map(|step| step.node.len()).max();
    let width = width.unwrap_or_default();
    for step in &explanation.steps {
        let Step {
            at,
            node,
            event,
            said,
        } = step;
        println!("{at} {node:width$} {event}: {said}");
    }
    println!("cause: {}", explanation.cause);
}
