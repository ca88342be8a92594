//! Keys and limits of teams: who may call, what backend servers see of it, and what must not leak.

use crate::mesh::{Answer, Node, bind, call, spawn_node_with_limits};
use ::call::owner::pick_owners;
use bytes::Bytes;
use clock::System;
use config::team::{KeyDigest, Limit};
use config::{Class, Endpoint, Mesh, Repeat, Route, Service, Target, Team, Version, View};
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use node::metrics::GaugeValues;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use store::MemoryStore;

const KEY: &str = "s3cret-of-the-fitters";

/// Headers of the requests that a backend server has received.
type Received = Arc<Mutex<Vec<HeaderMap>>>;

/// Starts a backend server that records the headers of its requests.
async fn spawn_recorder() -> (SocketAddr, Received) {
    let (listener, address) = bind().await;
    let received = Received::default();
    let recorded = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let recorded = Arc::clone(&recorded);
            let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
                recorded.lock().unwrap().push(request.headers().clone());
                async { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"done")))) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, received)
}

/// A mesh of two routes to one service, of which `/open` is public, and the team `fitters`.
fn keyed_mesh(limit: Option<Limit>) -> Mesh {
    let mut mesh = Mesh::default();
    mesh.services.insert("jobs".into(), Service::default());
    for (prefix, public) in [("/jobs", false), ("/open", true)] {
        let target = Target {
            service: "jobs".into(),
            percent: 100,
        };
        let route = Route {
            targets: vec![target],
            class: Class::Lookup,
            repeat: Repeat::Never,
            retry: None,
            timeout_ms: 5_000,
            limit_ms: None,
            target_ms: None,
            public,
        };
        mesh.routes.insert(prefix.into(), route);
    }
    let team = Team {
        keys: [KeyDigest::of(KEY.as_bytes())].into(),
        class: None,
        limit,
    };
    mesh.teams.insert("fitters".into(), team);
    mesh.requires_keys = true;
    mesh
}

struct Setup {
    node: Node,
    received: Received,
}

impl Setup {
    /// Starts a node next to a recording backend server.
    async fn open(limits: &str, mesh: &Mesh) -> Self {
        let (server, received) = spawn_recorder().await;
        let node = spawn_node_with_limits("own", &MemoryStore::new(), limits).await;
        node.announce("jobs", server, 6);
        let endpoint = node.endpoint("jobs", node.nodes_address);
        install(&node, mesh, &[endpoint]);
        Self { node, received }
    }

    async fn call(&self, path: &str, headers: &[(&'static str, &str)]) -> Answer {
        let address = self.node.outbound.address();
        call(address, Method::POST, path, headers, Bytes::new())
            .await
            .unwrap()
    }

    fn run_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

fn install(node: &Node, mesh: &Mesh, endpoints: &[Endpoint]) {
    let view = View::build(Version(1), mesh, endpoints.iter().cloned());
    node.shared.view.store(Arc::new(view));
}

// A caller names another team than its key belongs to: the backend server would act for that team.
#[tokio::test]
async fn team_header() {
    let setup = Setup::open("", &keyed_mesh(None)).await;
    let headers = [("bluebellpick-key", KEY), ("bluebellpick-team", "clerks")];
    let answer = setup.call("/jobs/1", &headers).await;
    assert_eq!(answer.status, StatusCode::OK);
    let received = setup.received.lock().unwrap()[0].clone();
    let teams: Vec<_> = received.get_all("bluebellpick-team").iter().collect();
    assert_eq!(teams, ["fitters"]);
    assert!(received.get("bluebellpick-key").is_none());
}

#[yare::parameterized(
    no_key = { &[] },
    unknown_key = { &[("bluebellpick-key", "s3cret")] },
    empty_key = { &[("bluebellpick-key", "")] },
    other_header = { &[("authorization", KEY)] },
)]
#[test_macro(tokio::test)]
async fn unauthorized(headers: &[(&'static str, &str)]) {
    let setup = Setup::open("", &keyed_mesh(None)).await;
    let answer = setup.call("/jobs/1", headers).await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    assert_eq!(answer.verdict(), "not-run");
    assert!(answer.headers.contains_key("www-authenticate"));
    assert_eq!(setup.run_count(), 0);
}

#[tokio::test]
async fn public_route() {
    let setup = Setup::open("revoke = 5 s", &keyed_mesh(None)).await;
    let headers = [("bluebellpick-key", KEY), ("bluebellpick-team", "clerks")];
    let answer = setup.call("/open/1", &headers).await;
    assert_eq!(answer.status, StatusCode::OK);
    let received = setup.received.lock().unwrap()[0].clone();
    assert!(received.get("bluebellpick-key").is_none());
    assert!(received.get("bluebellpick-team").is_none());
}

// The node has heard of no confirmation for longer than a revoked key may work.
#[tokio::test]
async fn old_configuration() {
    let setup = Setup::open("revoke = 5 s", &keyed_mesh(None)).await;
    let headers = [("bluebellpick-key", KEY)];
    let confirm = |age: Duration| {
        let at = Instant::now().checked_sub(age);
        setup.node.shared.freshness.set(&System, at);
    };
    for (age, key, status) in [
        (None, KEY, StatusCode::SERVICE_UNAVAILABLE),
        (Some(6), KEY, StatusCode::SERVICE_UNAVAILABLE),
        // A key that is unknown here may have been added meanwhile.
        (Some(3), "other", StatusCode::SERVICE_UNAVAILABLE),
        (Some(3), KEY, StatusCode::OK),
        (Some(0), "other", StatusCode::UNAUTHORIZED),
    ] {
        if let Some(age) = age {
            confirm(Duration::from_secs(age));
        }
        let answer = setup.call("/jobs/1", &[("bluebellpick-key", key)]).await;
        assert_eq!(answer.status, status, "{age:?} {key}");
    }
    assert_eq!(setup.run_count(), 1);
    setup.node.shared.freshness.set(&System, None);
    let answer = setup.call("/jobs/1", &headers).await;
    assert_eq!(answer.verdict(), "not-run");
}

// A team sends more than its limit: what is beyond gets 429 and a time to come back, and runs
// nowhere.
#[tokio::test]
async fn over_limit() {
    let limit = Limit {
        per_minute: 60,
        burst: 4,
    };
    let setup = Setup::open("", &keyed_mesh(Some(limit))).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut served = 0;
    let mut refused = 0;
    for _ in 0..20 {
        let answer = setup.call("/jobs/1", &[("bluebellpick-key", KEY)]).await;
        match answer.status {
            StatusCode::OK => served += 1,
            StatusCode::TOO_MANY_REQUESTS => {
                refused += 1;
                assert_eq!(answer.verdict(), "not-run");
                assert!(answer.headers.contains_key("retry-after"));
            }
            other => panic!("{other}"),
        }
    }
    assert!(served >= 1, "the bucket has filled for a second");
    assert!(refused >= 14, "{served} served, {refused} refused");
    assert_eq!(setup.run_count(), served);
}

// Calls through another node than the owner of the team borrow tokens from it.
#[tokio::test]
async fn remote_owner() {
    let limit = Limit {
        per_minute: 60_000,
        burst: 1_000,
    };
    let mesh = keyed_mesh(Some(limit));
    let one = Setup::open("", &mesh).await;
    let (server, received) = spawn_recorder().await;
    let other = spawn_node_with_limits("other", &MemoryStore::new(), "").await;
    other.announce("jobs", server, 6);
    let endpoints = [
        one.node.endpoint("jobs", one.node.nodes_address),
        other.endpoint("jobs", other.nodes_address),
    ];
    install(&one.node, &mesh, &endpoints);
    install(&other, &mesh, &endpoints);
    tokio::time::sleep(Duration::from_millis(100)).await;
    for node in [&one.node, &other] {
        for _ in 0..5 {
            let headers = [("bluebellpick-key", KEY)];
            let address = node.outbound.address();
            let answer = call(address, Method::POST, "/jobs/1", &headers, Bytes::new()).await;
            assert_eq!(answer.unwrap().status, StatusCode::OK);
        }
    }
    assert_eq!(one.run_count() + received.lock().unwrap().len(), 10);
    let is_lender = |node: &Node| {
        let metrics = node.shared.metrics.render(&GaugeValues::default());
        metrics.contains("team_calls_lent_total 10\n")
    };
    assert!(
        is_lender(&one.node) != is_lender(&other),
        "one owner lends all"
    );
}

// The owner of a team's limit leaves right after it lent a whole window: the next one must not lend
// the same tokens, though its process has run for as long.
#[tokio::test]
async fn owner_leaves() {
    let limit = Limit {
        per_minute: 60,
        burst: 20,
    };
    let settings = "team_slack = 4";
    let allowed = 5 + 20 + 4;
    let mesh = keyed_mesh(Some(limit));
    let one = Setup::open(settings, &mesh).await;
    let (server, received) = spawn_recorder().await;
    let other = spawn_node_with_limits("other", &MemoryStore::new(), settings).await;
    other.announce("jobs", server, 6);
    let endpoints = [
        one.node.endpoint("jobs", one.node.nodes_address),
        other.endpoint("jobs", other.nodes_address),
    ];
    // A bucket that fills from the start of the process would hold ten tokens by now.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let started = Instant::now();
    for owners in [&endpoints[..], &endpoints[..1], &endpoints[1..]] {
        for node in [&one.node, &other] {
            install(node, &mesh, owners);
        }
        for _ in 0..40 {
            let headers = [("bluebellpick-key", KEY)];
            let address = other.outbound.address();
            call(address, Method::POST, "/jobs/1", &headers, Bytes::new())
                .await
                .unwrap();
        }
        // Lenders report to each other within 100 ms.
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    assert!(started.elapsed() < Duration::from_secs(5));
    let run = one.run_count() + received.lock().unwrap().len();
    assert!((20..=allowed).contains(&run), "{run} of {allowed} have run");
}

// The owner is out of reach, and the node next in rank has no sign that it is in touch itself: both
// may be on two sides of a cut.
#[yare::parameterized(
    no_bound = { "", None, false },
    never_confirmed = { "team_window = 5 s", None, false },
    too_old = { "team_window = 5 s", Some(3), false },
    in_touch = { "team_window = 5 s", Some(0), true },
)]
#[test_macro(tokio::test)]
async fn deputy_out_of_touch(settings: &str, age: Option<u64>, lends: bool) {
    let limit = Limit {
        per_minute: 60_000,
        burst: 1_000,
    };
    let mesh = keyed_mesh(Some(limit));
    let setup = Setup::open(settings, &mesh).await;
    let (listener, address) = bind().await;
    drop(listener);
    #[expect(clippy::cast_possible_truncation, reason = "as the node does")]
    let shard = policy::hash("fitters") as u16;
    let is_owner = |name: &String| pick_owners(shard, ["own", name.as_str()])[0] == Some(1);
    let mut names = (0..).map(|number| format!("gone-{number}"));
    let mut owner = setup.node.endpoint("other", address);
    owner.node = names.find(is_owner).unwrap().into();
    let own = setup.node.endpoint("jobs", setup.node.nodes_address);
    install(&setup.node, &mesh, &[own, owner]);
    let confirmed = age.and_then(|age| Instant::now().checked_sub(Duration::from_secs(age)));
    setup.node.shared.freshness.set(&System, confirmed);
    // The deputy asks the owner what it has lent before it lends itself.
    let mut is_served = false;
    for _ in 0..20 {
        let answer = setup.call("/jobs/1", &[("bluebellpick-key", KEY)]).await;
        is_served |= answer.status == StatusCode::OK;
    }
    assert_eq!(is_served, lends);
}

// A key reaches the metrics, or the `Debug` output of a view or of the node's state.
#[tokio::test]
async fn no_leak() {
    let limit = Limit {
        per_minute: 60,
        burst: 1,
    };
    let setup = Setup::open("", &keyed_mesh(Some(limit))).await;
    for key in [KEY, KEY, KEY, "unknown-s3cret"] {
        setup.call("/jobs/1", &[("bluebellpick-key", key)]).await;
    }
    let view = setup.node.shared.view.load();
    let metrics = setup.node.shared.metrics.render(&GaugeValues::default());
    let shown = format!(
        "{view:?} {:?} {:?} {metrics}",
        view.teams(),
        setup.node.shared
    );
    assert!(shown.contains("fitters"));
    assert!(!shown.contains("s3cret"), "{shown}");
}
