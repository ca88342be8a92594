//! Patches that are refused, and the line that the error names.

use config::{Mesh, Patch, Violation};
use yare::parameterized;

const BASE: &str = r#"
{"put_service": {"name": "claims", "service": {}}}
{"put_retry": {"name": "twice", "retry": {"attempts": 2, "budget_percent": 10}}}
{"put_retry": {"name": "again", "retry": {"attempts": 2, "budget_percent": 10, "repeat_may_have_run": true}}}
{"put_route": {"prefix": "/claims", "route": {"targets": [{"service": "claims", "percent": 100}], "repeat": "never", "retry": "twice"}}}
"#;

fn base() -> Mesh {
    Patch::parse(BASE)
        .and_then(|patch| patch.apply(&Mesh::default()))
        .expect("the base is valid")
}

#[parameterized(
    missing_service = { r#"{"put_route": {"prefix": "/a", "route": {"targets": [{"service": "jobs", "percent": 100}]}}}"#, "isn't there" },
    missing_retry = { r#"{"put_route": {"prefix": "/a", "route": {"targets": [{"service": "claims", "percent": 100}], "retry": "thrice"}}}"#, "isn't there" },
    service_in_use = { r#"{"remove_service": {"name": "claims"}}"#, "isn't there" },
    retry_in_use = { r#"{"remove_retry": {"name": "twice"}}"#, "isn't there" },
    repeats_never = { r#"{"put_route": {"prefix": "/a", "route": {"targets": [{"service": "claims", "percent": 100}], "repeat": "never", "retry": "again"}}}"#, "never be repeated" },
    rule_becomes_unsafe = { r#"{"put_retry": {"name": "twice", "retry": {"attempts": 2, "budget_percent": 10, "hedge": true}}}"#, "never be repeated" },
    shares_short = { r#"{"put_route": {"prefix": "/a", "route": {"targets": [{"service": "claims", "percent": 99}]}}}"#, "100, not 99" },
    share_twice = { r#"{"put_route": {"prefix": "/a", "route": {"targets": [{"service": "claims", "percent": 50}, {"service": "claims", "percent": 50}]}}}"#, "each once" },
    no_targets = { r#"{"put_route": {"prefix": "/a", "route": {"targets": []}}}"#, "targets" },
    bare_prefix = { r#"{"put_route": {"prefix": "a", "route": {"targets": [{"service": "claims", "percent": 100}]}}}"#, "prefix" },
    empty_part = { r#"{"put_route": {"prefix": "/a//b", "route": {"targets": [{"service": "claims", "percent": 100}]}}}"#, "prefix" },
    query_in_path = { r#"{"put_route": {"prefix": "/a?b", "route": {"targets": [{"service": "claims", "percent": 100}]}}}"#, "prefix" },
    upper_host = { r#"{"put_route": {"prefix": "Shop.example/a/", "route": {"targets": [{"service": "claims", "percent": 100}]}}}"#, "prefix" },
    port_in_host = { r#"{"put_route": {"prefix": "shop.example:80/a/", "route": {"targets": [{"service": "claims", "percent": 100}]}}}"#, "prefix" },
    no_limit = { r#"{"put_route": {"prefix": "/a", "route": {"targets": [{"service": "claims", "percent": 100}], "limit_ms": 0}}}"#, "limit_ms" },
    long_name = { r#"{"put_service": {"name": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "service": {}}}"#, "not a valid name" },
    blank_name = { r#"{"put_service": {"name": "a b", "service": {}}}"#, "not a valid name" },
    no_attempts = { r#"{"put_retry": {"name": "r", "retry": {"attempts": 0, "budget_percent": 10}}}"#, "attempts" },
    no_timeout = { r#"{"put_route": {"prefix": "/a", "route": {"targets": [{"service": "claims", "percent": 100}], "timeout_ms": 0}}}"#, "timeout_ms" },
    remove_nothing = { r#"{"remove_route": {"prefix": "/b"}}"#, "to remove" },
    unknown_field = { r#"{"remove_route": {"prefix": "/b", "force": true}}"#, "not a change" },
)]
fn refused_line(change: &str, reason: &str) {
    let text = format!(
        "# a comment\n\n{{\"put_service\": {{\"name\": \"extra\", \"service\": {{}}}}}}\n{change}\n"
    );
    let mesh = base();
    let error = Patch::parse(&text)
        .and_then(|patch| patch.apply(&mesh))
        .expect_err("the change violates a rule");
    let shown = error.to_string();
    assert!(shown.starts_with("line 4: "), "{shown}");
    assert!(shown.contains(reason), "{shown}");
    assert_eq!(mesh, base(), "nothing of a refused patch is applied");
}

#[test]
fn reference_before_definition() {
    let text = r#"
{"put_route": {"prefix": "/jobs", "route": {"targets": [{"service": "jobs", "percent": 100}]}}}
{"put_service": {"name": "jobs", "service": {}}}
"#;
    let patch = Patch::parse(text).expect("well formed");
    let mesh = patch
        .apply(&base())
        .expect("references are checked at the end");
    assert!(mesh.routes.contains_key("/jobs"));
}

#[test]
fn too_many_services() {
    let put = |index: usize| config::Change::PutService {
        name: format!("s{index}").into(),
        service: config::Service::default(),
    };
    let changes: Vec<_> = (0..=config::validate::MAX_SERVICES).map(put).collect();
    let error = Patch::from(changes).apply(&Mesh::default());
    assert!(
        matches!(
            error,
            Err(config::Error::Change(
                4097,
                Violation::TooMany("services", 4096)
            ))
        ),
        "{error:?}"
    );
}
