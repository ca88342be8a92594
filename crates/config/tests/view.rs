//! Views never contain a route whose services are missing.

use config::{Endpoint, Mesh, Patch, State, Version, View};
use yare::parameterized;

const MESH: &str = r#"
{"put_service": {"name": "records", "service": {}}}
{"put_service": {"name": "claims", "service": {}}}
{"put_retry": {"name": "twice", "retry": {"attempts": 2, "budget_percent": 10}}}
{"put_route": {"prefix": "/", "route": {"targets": [{"service": "records", "percent": 100}], "retry": "twice"}}}
{"put_route": {"prefix": "/records/parts", "route": {"targets": [{"service": "records", "percent": 100}]}}}
{"put_route": {"prefix": "/claims", "route": {"targets": [{"service": "claims", "percent": 100}]}}}
"#;

const SHARED: &str = r#"
{"put_route": {"prefix": "/shared", "route": {"targets": [{"service": "claims", "percent": 60}, {"service": "records", "percent": 40}]}}}
"#;

fn mesh() -> Mesh {
    Patch::parse(MESH)
        .and_then(|patch| patch.apply(&Mesh::default()))
        .expect("valid")
}

fn endpoint(service: &str, state: State) -> Endpoint {
    Endpoint {
        node: format!("vm-{service}").into(),
        incarnation: 1,
        started_ms: 1,
        sequence: 1,
        service: service.into(),
        version: "".into(),
        zone: "a".into(),
        region: "r".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 6,
        process: 0,
        cold_ms: None,
        state,
        farewells: Vec::new(),
    }
}

#[parameterized(
    root = { "/", Some("/") },
    other = { "/recordsparts", Some("/") },
    query = { "/records/parts?x=/claims", Some("/records/parts") },
    below = { "/records/parts/7/teeth", Some("/records/parts") },
    above = { "/records", Some("/") },
    slash = { "/claims/", Some("/claims") },
    no_path = { "*", None },
)]
fn longest_prefix(path: &str, prefix: Option<&str>) {
    let endpoints = [
        endpoint("records", State::Serving),
        endpoint("claims", State::Serving),
    ];
    let view = View::build(Version(1), &mesh(), &endpoints);
    let found = view.find_route("", path).map(|key| &view.route(key).prefix);
    assert_eq!(found.map(smol_str::SmolStr::as_str), prefix);
}

#[parameterized(
    own = { "shop.example", "/parts/7", Some("shop.example/parts/") },
    port = { "shop.example:8080", "/parts/7", Some("shop.example/parts/") },
    case = { "Shop.Example", "/parts/7", Some("shop.example/parts/") },
    longest = { "shop.example", "/parts/teeth/7", Some("shop.example/parts/teeth/") },
    at_the_slash = { "shop.example", "/parts/", Some("shop.example/parts/") },
    not_below = { "shop.example", "/parts", Some("/") },
    longer_part = { "shop.example", "/parts7/x", Some("/") },
    query = { "shop.example", "/parts?x=/parts/", Some("/") },
    other_host = { "yard.example", "/parts/7", Some("/") },
    no_host = { "", "/parts/7", Some("/") },
)]
fn routes_of_hosts(host: &str, path: &str, prefix: Option<&str>) {
    let text = r#"
{"put_route": {"prefix": "shop.example/parts/", "route": {"targets": [{"service": "records", "percent": 100}]}}}
{"put_route": {"prefix": "shop.example/parts/teeth/", "route": {"targets": [{"service": "records", "percent": 100}]}}}
"#;
    let mesh = Patch::parse(text).expect("valid").apply(&mesh());
    let endpoints = [endpoint("records", State::Serving)];
    let view = View::build(Version(1), &mesh.expect("valid"), &endpoints);
    let found = view
        .find_route(host, path)
        .map(|key| &view.route(key).prefix);
    assert_eq!(found.map(smol_str::SmolStr::as_str), prefix);
}

// While no endpoint of `claims` is known, the route `/claims` is withheld. Its
// calls must not be sent to `records`, whose shorter route `/` also matches.
#[test]
fn withheld_route() {
    for state in [State::Gone, State::Leaving, State::Serving] {
        let endpoints = [
            endpoint("records", State::Serving),
            endpoint("claims", state),
        ];
        let view = View::build(Version(1), &mesh(), &endpoints);
        let is_routed = state != State::Gone;
        assert_eq!(view.find_route("", "/claims/7").is_some(), is_routed);
        assert_eq!(view.is_withheld("", "/claims/7"), !is_routed);
        let serving_count = view
            .find_service("claims")
            .map(|key| view.service(key).endpoints.len());
        assert_eq!(
            serving_count,
            is_routed.then_some(usize::from(state == State::Serving))
        );
    }
}

// Operators shift a route from one service to another step by step, and the
// first backend servers of the new service start late. All calls of the route
// used to be refused until then, because a route was withheld as long as any of
// its services was unknown.
#[test]
fn share_without_endpoints() {
    let shared = Patch::parse(SHARED).and_then(|patch| patch.apply(&mesh()));
    let mesh = shared.expect("valid");
    let view = View::build(Version(1), &mesh, &[endpoint("records", State::Serving)]);
    let route = view.route(view.find_route("", "/shared/7").expect("routed"));
    let targets: Vec<_> = route
        .targets
        .iter()
        .map(|(key, percent)| (view.service(*key).endpoints.len(), *percent))
        .collect();
    assert_eq!(targets, [(0, 60), (1, 40)]);
    assert!(view.is_withheld("", "/claims/7"));
    let none = View::build(Version(1), &mesh, Vec::<Endpoint>::new());
    assert!(none.is_withheld("", "/shared/7"));
}

#[test]
fn retry_resolved() {
    let view = View::build(Version(1), &mesh(), &[endpoint("records", State::Serving)]);
    let key = view.find_route("shop.example", "/x").expect("routed");
    assert_eq!(
        view.route(key).retry.as_ref().map(|rule| rule.attempts),
        Some(2)
    );
    assert_eq!(view.digest(), config::Digest::of(&mesh()));
}
