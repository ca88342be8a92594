//! Checks that the operators' page lists every setting, metric and verb, and that the manual page
//! is up to date.

use bpaf::doc::Section;
use node::metrics::{Ending, GaugeValues, Metrics};
use std::time::{Duration, Instant};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns whether a table row of the operators' page starts with these cells.
fn has_row(cells: &[&str]) -> bool {
    let start = format!("| {} |", cells.join(" | "));
    PAGE.lines().any(|line| line.starts_with(&start))
}

#[test]
fn every_setting() {
    let node = settings::node::Settings::KEYS;
    let operator = settings::operator::Settings::KEYS;
    for key in node.iter().chain(operator) {
        let cells = [format!("`[{}]`", key.section), format!("`{}`", key.name)];
        assert!(has_row(&[&cells[0], &cells[1]]), "{}", key.name);
        if let Some(default) = key.default.filter(|default| !default.is_empty()) {
            let shown = format!("`{default}`");
            let rows = PAGE.lines().filter(|line| line.contains(&cells[1]));
            assert!(rows.clone().any(|row| row.contains(&shown)), "{}", key.name);
        }
    }
}

#[test]
fn every_metric() {
    let metrics = Metrics::new(Instant::now());
    let service = metrics.service("records");
    service.record(Instant::now(), Ending::Answered(200), Duration::ZERO, None);
    metrics.bad_requests("backend").inc();
    metrics.failures.count_failed_attempt("full");
    metrics.failures.count_gate_refusal("full");
    metrics.failures.count_rejected_answer("too-long");
    metrics.access.count_denied("unauthorized");
    metrics.access.count_admitted(&"fitters".into());
    metrics.access.count_over_limit(&"fitters".into());
    metrics.access.count_cause("window", true);
    metrics.control_sent().inc();
    let text = metrics.render(&GaugeValues::default());
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let mut count = 0;
    for line in types {
        let (name, kind) = line.split_once(' ').unwrap();
        let suffix = if kind == "counter" { "_total" } else { "" };
        assert!(has_row(&[&format!("`{name}{suffix}`"), kind]), "{name}");
        count += 1;
    }
    let listed = PAGE
        .lines()
        .filter(|line| line.starts_with("| `bluebellpick_"));
    assert_eq!(
        listed.count(),
        count,
        "the page lists metrics that do not exist"
    );
}

#[test]
fn every_verb() {
    let help = cli::options::parse_options()
        .run_inner(&["--help"])
        .unwrap_err()
        .unwrap_stdout();
    let verbs = help.split("Available commands:").nth(1).unwrap();
    let verbs = verbs.lines().skip(1).take_while(|line| !line.is_empty());
    let mut count = 0;
    for verb in verbs.filter_map(|line| line.split_whitespace().next()) {
        assert!(PAGE.contains(&format!("\n| `{verb}")), "{verb}");
        count += 1;
    }
    assert_eq!(count, 11);
}

/// Path of the manual page.
const MANUAL_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/bluebellpick.1");

/// Environment variable that makes the test write the manual page.
const WRITE_VARIABLE: &str = "BLUEBELLPICK_WRITE_DOCS";

#[test]
fn manual_page() {
    let options = cli::options::parse_options();
    let page = options.render_manpage("bluebellpick", Section::General, None, None, None);
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        std::fs::write(MANUAL_PATH, &page).unwrap();
    }
    let committed = std::fs::read_to_string(MANUAL_PATH).unwrap();
    assert!(
        committed == page,
        "the manual page is out of date; regenerate it with {WRITE_VARIABLE}=1 cargo test -p bluebellpick-cli"
    );
}
