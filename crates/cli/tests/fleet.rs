//! Verbs that access nodes: `status`, `drain` and `burn`.

mod support;

use call::Verdict;
use clock::System;
use config::{Endpoint, Mesh, Team, Version, View};
use node::metrics::Ending;
use node::shared::Shared;
use node::{listener, operate};
use settings::node::Settings;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::MemoryStore;
use support::{Harness, run_program};
use tokio::net::TcpListener;
use wire::call::Reason;

const TOKEN: &str = "0123456789abcdef";

const OBJECTIVE: config::Objective = config::Objective {
    availability_ppm: 999_000,
    latency_ms: 100,
    latency_ppm: 990_000,
};

struct Node {
    shared: Arc<Shared<System>>,
    handle: listener::Handle,
}

impl Node {
    async fn spawn(name: &str) -> Self {
        let text = format!(
            "[node]\nname = {name}\nzone = kl-a\nregion = kl\n\
             [listen]\ncallers = 127.0.0.1:1\nbackend = 127.0.0.1:2\n\
             nodes = 127.0.0.1:3\noperators = 127.0.0.1:4\n\
             [fleet]\nplatform = 127.0.0.1:5\n[operators]\ntoken = {TOKEN}\n"
        );
        let shared = Shared::new(Settings::parse(&text, "test").unwrap(), 7, System);
        let tcp = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let handle = operate::spawn(tcp, Arc::clone(&shared)).unwrap();
        Self { shared, handle }
    }

    fn flag(&self) -> String {
        format!("--node={}", self.handle.address())
    }

    fn record(&self, ending: Ending, count: usize) {
        let counters = self.shared.metrics.service("jobs");
        for _ in 0..count {
            counters.record(Instant::now(), ending, Duration::ZERO, Some(&OBJECTIVE));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_of_two_nodes() {
    let harness = Harness::open(&MemoryStore::new()).await;
    let (one, two) = (Node::spawn("jobs-1").await, Node::spawn("jobs-2").await);
    let result = harness.run(&["status", &one.flag(), &two.flag()]);
    assert_eq!(result.code, 0, "{result:?}");
    let lines = result.output.lines().collect::<Vec<_>>();
    assert_eq!(
        lines[0],
        "version 0 (last accepted) is in force on 2 of 2 nodes that answered"
    );
    assert!(lines[2].starts_with("jobs-1  kl-a  0"), "{lines:?}");
    assert!(lines[2].contains("holds no configuration yet"), "{lines:?}");
    assert_eq!(lines.len(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_node() {
    let node = Node::spawn("jobs-1").await;
    // A listener whose connections open but never get an answer.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let silent = format!("--node={}", silent.local_addr().unwrap());
    let result = run_program(&["status", &node.flag(), &silent, "--timeout=1", "--json"]);
    assert_eq!(result.code, 1);
    let json = result.json();
    assert_eq!(json["nodes"][0]["node"], "jobs-1");
    assert_eq!(json["unreachable"].as_array().unwrap().len(), 1);
    assert!(result.errors.contains("no answer in time"));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_by_name() {
    let harness = Harness::open(&MemoryStore::new()).await;
    let (one, two) = (Node::spawn("jobs-1").await, Node::spawn("jobs-2").await);
    let right = format!(
        "--token-file={}",
        harness.write("right", &format!("{TOKEN}\n"))
    );
    let wrong = format!(
        "--token-file={}",
        harness.write("wrong", "fedcba9876543210")
    );
    let nodes = [one.flag(), two.flag()];

    let result = harness.run(&["drain", "jobs-2", &nodes[0], &nodes[1], &wrong]);
    assert_eq!(result.code, 1, "{result:?}");
    assert!(result.errors.contains("401"), "{result:?}");
    assert!(!*two.shared.leaving.borrow());

    let result = harness.run(&["drain", "jobs-2", &nodes[0], &nodes[1], &right]);
    assert_eq!(result.output, "jobs-2 takes no new calls; 0 in flight\n");
    assert!(*two.shared.leaving.borrow() && !*one.shared.leaving.borrow());

    let result = harness.run(&["drain", "jobs-3", &nodes[0], &right]);
    assert_eq!(result.code, 1);
    assert!(
        result
            .errors
            .contains("none of the nodes that answered is named \"jobs-3\"")
    );

    one.shared.in_flight.send_replace(2);
    let address = one.handle.address().to_string();
    let result = harness.run(&["drain", &address, &right, "--wait=1"]);
    assert_eq!(result.code, 1, "{result:?}");
    assert_eq!(result.output, "jobs-1 takes no new calls; 2 in flight\n");

    one.shared.unread_answers.send_replace(1);
    let result = harness.run(&["status", &nodes[0]]);
    let waits = "is leaving, waits for 2 calls, 1 answers";
    assert!(result.output.contains(waits), "{result:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn burn_of_two_nodes() {
    let (one, two) = (Node::spawn("jobs-1").await, Node::spawn("jobs-2").await);
    one.record(Ending::Answered(200), 900);
    two.record(Ending::Answered(201), 80);
    two.record(Ending::Refused(Verdict::NotRun), 20);
    // Errors of the caller are not charged to the error budget.
    two.record(Ending::Answered(404), 500);
    two.record(Ending::Cancelled, 500);
    let result = run_program(&["burn", &one.flag(), &two.flag()]);
    assert_eq!(result.code, 0, "{result:?}");
    let row = result
        .output
        .lines()
        .find(|line| line.starts_with("jobs "))
        .unwrap();
    let cells = row.split_whitespace().collect::<Vec<_>>();
    // 20 of 1,000 calls failed where 1 is allowed: a burn rate of 20.
    assert_eq!(
        cells,
        [
            "jobs",
            "availability",
            "1000",
            "-1900.0",
            "%",
            "20.0",
            "20.0",
            "20.0",
            "20.0",
            "20.0",
            "PAGE"
        ]
    );
    let json = run_program(&["burn", &one.flag(), &two.flag(), "--json"]).json();
    assert_eq!(json["services"][0]["availability"]["alert"], "page");
    assert_eq!(json["services"][0]["latency"]["alert"], "none");
}

/// Has the node count calls of `team` until the test ends.
fn count_calls(node: &Node, team: &'static str) {
    let mesh = Mesh {
        teams: [(team.into(), Team::default())].into(),
        ..Mesh::default()
    };
    let view = View::build(Version(1), &mesh, Vec::<Endpoint>::new());
    node.shared.view.store(Arc::new(view));
    let shared = Arc::downgrade(&node.shared);
    tokio::spawn(async move {
        while let Some(shared) = shared.upgrade() {
            shared.team_usage.count_run(&team.into());
            shared
                .team_usage
                .count_refused(&team.into(), Reason::OverLimit);
            // A team that no configuration names.
            shared.team_usage.count_run(&"strangers".into());
            drop(shared);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn team_usage() {
    let harness = Harness::open(&MemoryStore::new()).await;
    let file = harness.write("key", "s3cret");
    harness.run(&["team", "key", "add", "fitters", "--file", &file]);
    harness.run(&["team", "limit", "fitters", "--per-minute=600", "--burst=20"]);
    let (one, two) = (Node::spawn("jobs-1").await, Node::spawn("jobs-2").await);
    count_calls(&one, "fitters");
    let (first, second) = (one.flag(), two.flag());
    let arguments = ["team", "usage", "--over=1", &first, &second];
    let shown = harness.run(&arguments);
    assert_eq!(shown.code, 0, "{shown:?}");
    let lines: Vec<_> = shown.output.lines().collect();
    assert_eq!(lines.len(), 2, "{shown:?}");
    assert!(lines[1].starts_with("fitters  10.0     20"), "{shown:?}");
    assert!(lines[1].contains("over-limit"), "{shown:?}");
    let report = harness.run(&[&arguments[..], &["--json"]].concat()).json();
    let team = &report["teams"][0];
    assert!(team["run"].as_f64().unwrap() > 10.0, "{report}");
    assert!(team["nodes"]["jobs-1"]["refused"]["over-limit"].as_f64() > Some(10.0));
    assert!(team["nodes"]["jobs-2"].is_null(), "{report}");
    let unknown = harness.run(&["team", "usage", "clerks", &first]);
    assert_eq!(unknown.code, 2, "{unknown:?}");
}
