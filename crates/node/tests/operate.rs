//! The listener for operators.

mod support;

use call::Verdict;
use config::{Endpoint, Mesh, Patch, State, Version, View};
use node::metrics::{Ending, GaugeValues, MAX_SERVICE_LABELS, Metrics};
use node::operate;
use status::Status;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::{TOKEN, bind, exchange, make_shared, request, split_answer};
use yare::parameterized;

const PATCH: &str = r#"
{"put_service":{"name":"jobs","service":{"objective":{"availability_ppm":999000,"latency_ms":100,"latency_ppm":990000}}}}
{"put_service":{"name":"records","service":{}}}
{"put_route":{"prefix":"/jobs","route":{"targets":[{"service":"jobs","percent":100}]}}}
{"put_route":{"prefix":"/records","route":{"targets":[{"service":"records","percent":100}]}}}
"#;

/// Builds a view at version 3 with one endpoint of `records` and none of `jobs`.
fn make_view() -> View {
    let mesh = Patch::parse(PATCH).unwrap();
    let mesh = mesh.apply(&Mesh::default()).unwrap();
    let endpoint = Endpoint {
        node: "records-1".into(),
        incarnation: 7,
        started_ms: 1,
        sequence: 1,
        service: "records".into(),
        version: "".into(),
        zone: "kl-a".into(),
        region: "kl".into(),
        address: "127.0.0.1:3".parse().unwrap(),
        slots: 6,
        process: 0,
        cold_ms: None,
        state: State::Serving,
        farewells: Vec::new(),
    };
    View::build(Version(3), &mesh, [endpoint])
}

#[tokio::test]
async fn readiness() {
    let shared = make_shared();
    let handle = operate::spawn(bind().await, Arc::clone(&shared)).unwrap();
    let address = handle.address();
    assert_eq!(
        request(address, "GET /healthz", "").await,
        (200, "alive\n".into())
    );
    let (status, text) = request(address, "GET /readyz", "").await;
    assert_eq!(status, 503);
    assert_eq!(
        text,
        "holds no configuration yet\nlisteners do not run yet\n"
    );

    shared.view.store(Arc::new(make_view()));
    shared.callers_listening.store(true, Ordering::Release);
    assert_eq!(
        request(address, "GET /readyz", "").await,
        (200, "ready\n".into())
    );

    shared.leaving.send_replace(true);
    assert_eq!(
        request(address, "GET /readyz", "").await,
        (503, "is leaving\n".into())
    );
    handle.stop(Duration::from_secs(1)).await;
}

#[tokio::test]
async fn status_json() {
    let shared = make_shared();
    shared.view.store(Arc::new(make_view()));
    let handle = operate::spawn(bind().await, Arc::clone(&shared)).unwrap();
    let (_, text) = request(handle.address(), "GET /v1/status", "").await;
    let status = serde_json::from_str::<Status>(&text).unwrap();
    assert_eq!(
        (status.node.as_str(), status.version),
        ("records-1", Version(3))
    );
    assert_eq!(status.endpoints["records"], 1);
    assert_eq!(status.withheld_routes, ["/jobs"]);
}

// Guards against a report without burn rates while every call of a service is refused because the
// last endpoint of the service is gone: the objective of the service went away with its endpoints,
// and counts without an objective are not evaluated.
#[tokio::test]
async fn burn_without_endpoints() {
    let shared = make_shared();
    shared.view.store(Arc::new(make_view()));
    let view = shared.view.load();
    let withheld = view.find_withheld("", "/jobs/7").unwrap();
    let counters = shared.metrics.service(&withheld.service);
    let endings = [Ending::Refused(Verdict::NotRun), Ending::Answered(404)];
    for ending in endings.into_iter().cycle().take(20) {
        counters.record(
            Instant::now(),
            ending,
            Duration::ZERO,
            withheld.objective.as_ref(),
        );
    }
    let handle = operate::spawn(bind().await, Arc::clone(&shared)).unwrap();
    let (_, text) = request(handle.address(), "GET /v1/burn", "").await;
    let node = serde_json::from_str::<burn::NodeCounts>(&text).unwrap();
    let report = burn::evaluate(&"jobs".into(), &node.services["jobs"]);
    assert_eq!(report.calls, 10);
    assert_eq!(report.availability.unwrap().alert, burn::Alert::Page);
}

#[parameterized(
    without = { "", 401 },
    other = { "authorization: Bearer 0123456789abcdeg\r\n", 401 },
    longer = { "authorization: Bearer 0123456789abcdef0\r\n", 401 },
    empty = { "authorization: Bearer \r\n", 401 },
    right = { "authorization: Bearer 0123456789abcdef\r\n", 200 },
)]
#[test_macro(tokio::test)]
async fn drain_token(header: &str, expected: u16) {
    assert_eq!(TOKEN, "0123456789abcdef");
    let shared = make_shared();
    let handle = operate::spawn(bind().await, Arc::clone(&shared)).unwrap();
    let text =
        format!("POST /v1/drain HTTP/1.1\r\nhost: node\r\nconnection: close\r\n{header}\r\n");
    let answer = exchange(handle.address(), text.as_bytes()).await;
    assert_eq!(split_answer(&answer).0, expected);
    assert_eq!(*shared.leaving.borrow(), expected == 200);
    assert!(!answer.contains(TOKEN));
}

#[parameterized(
    unknown_path = { "GET /v1/secret", 404 },
    wrong_method = { "GET /v1/drain", 405 },
    end_without_token = { "DELETE /v1/drain", 401 },
    write_to_metrics = { "POST /metrics", 405 },
)]
#[test_macro(tokio::test)]
async fn wrong_request(head: &str, expected: u16) {
    let handle = operate::spawn(bind().await, make_shared()).unwrap();
    assert_eq!(request(handle.address(), head, "").await.0, expected);
}

#[tokio::test]
async fn metrics_text() {
    let shared = make_shared();
    shared.view.store(Arc::new(make_view()));
    let counters = shared.metrics.service("records");
    counters.record(
        Instant::now(),
        Ending::Answered(200),
        Duration::from_micros(300),
        None,
    );
    shared.metrics.control_sent().inc_by(40);
    let handle = operate::spawn(bind().await, Arc::clone(&shared)).unwrap();
    let (status, text) = request(handle.address(), "GET /metrics", "").await;
    assert_eq!(status, 200);
    let lines = [
        "bluebellpick_calls_total{service=\"records\",ending=\"served\"} 1",
        "bluebellpick_call_duration_seconds_bucket{le=\"0.0005\",service=\"records\"} 1",
        "bluebellpick_control_bytes_total{direction=\"sent\"} 40",
        "bluebellpick_config_version 3",
        "bluebellpick_withheld_routes 1",
        "# EOF",
    ];
    for line in lines {
        assert!(text.lines().any(|found| found == line), "{line}\n{text}");
    }
}

#[test]
fn bounded_labels() {
    let metrics = Metrics::new(Instant::now());
    for index in 0..2 * MAX_SERVICE_LABELS {
        let counters = metrics.service(&format!("service-{index}"));
        counters.record(Instant::now(), Ending::Answered(200), Duration::ZERO, None);
    }
    let text = metrics.render(&GaugeValues::default());
    let services = text
        .lines()
        .filter(|line| line.starts_with("bluebellpick_call_duration_seconds_count"));
    assert_eq!(services.count(), MAX_SERVICE_LABELS + 1);
    let others = format!("ending=\"served\"}} {MAX_SERVICE_LABELS}");
    assert!(
        text.lines()
            .any(|line| line.contains("\"other\"") && line.ends_with(&others))
    );
}
