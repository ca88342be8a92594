//! Quarantine of requests that crash the backend servers that run them.

use crate::mesh::{Answer, Node, bind, call, spawn_node, spawn_node_with_limits, wait_for_run};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use standin::backend::{Backend as Server, Behavior, CrashTrigger, RequestPattern};
use standin::record::{Outcome, RunLog};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::MemoryStore;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of runs of a request after it has crashed a backend server three times.
const MAX_FURTHER_RUNS: usize = 3;

/// Timeout of all waits in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A backend server that is restarted whenever a request has crashed it.
struct SupervisedServer {
    run_log: RunLog,
    address: SocketAddr,
}

fn behavior(pattern: RequestPattern) -> Behavior {
    Behavior {
        slots: 6,
        max_queued: 20,
        mean_work: Duration::ZERO,
        long_percent: 0,
        long_work: Duration::ZERO,
        warm_up: Duration::ZERO,
        crash_trigger: Some(CrashTrigger {
            pattern,
            delay: Duration::from_millis(20),
        }),
    }
}

fn deadly_path() -> RequestPattern {
    RequestPattern::Path("deadly".to_owned())
}

/// Starts a backend server of the service `records` next to `node`.
async fn spawn_supervised(node: &Arc<Node>, pattern: RequestPattern) -> SupervisedServer {
    let (mut listener, address) = bind().await;
    let run_log = RunLog::open(None).unwrap();
    let (server_run_log, node) = (run_log.clone(), Arc::clone(node));
    tokio::spawn(async move {
        for process in 1.. {
            let server = Server::spawn(
                listener,
                behavior(pattern.clone()),
                server_run_log.clone(),
                process,
            );
            node.announce_process("records", address, process);
            server.crashed().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            listener = rebind(address).await;
        }
    });
    SupervisedServer { run_log, address }
}

/// Binds the address of a crashed server again, once the connections of the server are gone.
async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_still_taken) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Starts a node whose backend server is crashed by requests that match `pattern`.
async fn spawn_crashing(pattern: RequestPattern, repeat: Repeat) -> (Arc<Node>, SupervisedServer) {
    let node = Arc::new(spawn_node("near").await);
    let server = spawn_supervised(&node, pattern).await;
    node.set_route(
        "records",
        repeat,
        &[node.endpoint("records", node.nodes_address)],
    );
    (node, server)
}

impl SupervisedServer {
    fn count_crashes(&self) -> usize {
        let runs = self.run_log.entries();
        let crashes = runs.iter().filter(|run| run.outcome == Outcome::Crashed);
        crashes.count()
    }

    /// Waits until the server listens again.
    async fn wait_listening(&self) {
        let listening = async {
            while TcpStream::connect(self.address).await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, listening)
            .await
            .expect("the server is back");
    }
}

/// Repeats a request until it is refused as held.
async fn send_until_held(node: &Node, server: &SupervisedServer, call: &Call<'_>) -> Answer {
    for _ in 0..30 {
        let answer = call.send(node).await;
        if is_held(&answer) {
            return answer;
        }
        server.wait_listening().await;
    }
    panic!("never held, after {} crashes", server.count_crashes());
}

fn is_held(answer: &Answer) -> bool {
    String::from_utf8_lossy(&answer.body).contains("\"reason\":\"held\"")
}

/// A request of a caller.
#[derive(Clone)]
struct Call<'a> {
    method: Method,
    path: &'a str,
    headers: Vec<(&'static str, &'a str)>,
    body: Bytes,
}

impl<'a> Call<'a> {
    fn new(method: Method, path: &'a str) -> Self {
        Self {
            method,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    async fn send(&self, node: &Node) -> Answer {
        let address = node.outbound.address();
        let body = self.body.clone();
        call(address, self.method.clone(), self.path, &self.headers, body)
            .await
            .unwrap()
    }
}

/// A request must not crash the local backend server again after each of its restarts.
#[yare::parameterized(repeated = { Method::GET }, never_repeated = { Method::POST })]
#[test_macro(tokio::test)]
async fn limits_crashes(method: Method) {
    let (node, server) = spawn_crashing(deadly_path(), Repeat::ByMethod).await;
    for _ in 0..30 {
        Call::new(method.clone(), "/records/deadly")
            .send(&node)
            .await;
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let crashes = server.count_crashes();
    assert!(crashes >= 3, "{crashes} at {}", server.address);
    assert!(crashes <= 3 + MAX_FURTHER_RUNS, "{crashes}");
}

/// A held request must be refused immediately, with the verdict that it hasn't run and a
/// retry-after.
#[tokio::test]
async fn refused_at_once() {
    let (node, server) = spawn_crashing(deadly_path(), Repeat::ByMethod).await;
    let deadly = Call::new(Method::GET, "/records/deadly");
    send_until_held(&node, &server, &deadly).await;
    let runs = server.run_log.entries().len();
    let started = Instant::now();
    let answer = deadly.send(&node).await;
    assert!(started.elapsed() < Duration::from_millis(100));
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.verdict(), "not-run");
    let wait = answer.headers["bluebellpick-retry-after-ms"]
        .to_str()
        .unwrap();
    assert!(
        (500_000..=600_000).contains(&wait.parse::<u64>().unwrap()),
        "{wait}"
    );
    assert_eq!(server.run_log.entries().len(), runs);
    assert_eq!(server.count_crashes(), 3);
}

/// A request with a crashing body must be held whatever the length of the body. A request with
/// another body on the same path must not be held.
#[yare::parameterized(short = { 0 }, requested = { 20_000 }, longer_than_digest = { 300_000 })]
#[test_macro(tokio::test)]
async fn crashing_body(padding: usize) {
    let pattern = RequestPattern::Body("deadly".to_owned());
    let (node, server) = spawn_crashing(pattern, Repeat::Never).await;
    let mut deadly = Call::new(Method::POST, "/records/1");
    deadly.body = [b"deadly".as_slice(), &vec![b'x'; padding]].concat().into();
    send_until_held(&node, &server, &deadly).await;
    server.wait_listening().await;
    let mut other = deadly.clone();
    other.body = [b"other".as_slice(), &vec![b'x'; padding]].concat().into();
    let answer = other.send(&node).await;
    assert_eq!((answer.status, answer.verdict()), (StatusCode::OK, "ran"));
}

/// A deadly request must be held although another caller's requests for the same path are answered, and
/// the other caller's must not be held.
#[yare::parameterized(repeated = { Method::GET }, never_repeated = { Method::POST })]
#[test_macro(tokio::test)]
async fn other_caller(method: Method) {
    let spawn = async |service: &str| {
        let line = format!("\n[node]\nservice = {service}\n");
        Arc::new(spawn_node_with_limits(service, &MemoryStore::new(), &line).await)
    };
    let (desk, board) = (spawn("desk").await, spawn("board").await);
    let server = spawn_supervised(&board, RequestPattern::Header("deadly".to_owned())).await;
    let endpoint = board.endpoint("records", board.nodes_address);
    for node in [&desk, &board] {
        node.set_route("records", Repeat::ByMethod, std::slice::from_ref(&endpoint));
    }
    let innocent = Call::new(method, "/records/1");
    let mut deadly = innocent.clone();
    deadly.headers = vec![("deadly", "1")];
    let mut is_refused = false;
    for _ in 0..20 {
        server.wait_listening().await;
        assert_eq!(innocent.send(&board).await.status, StatusCode::OK);
        is_refused |= is_held(&deadly.send(&desk).await);
    }
    assert!(is_refused);
    assert_eq!(server.count_crashes(), 3);
}

/// A caller must not evade the quarantine by changing its headers and keys.
#[tokio::test]
async fn changed_headers() {
    let (node, server) = spawn_crashing(deadly_path(), Repeat::Never).await;
    let mut deadly = Call::new(Method::POST, "/records/deadly");
    send_until_held(&node, &server, &deadly).await;
    let runs = server.run_log.entries().len();
    for key in ["a", "b", "c"] {
        deadly.headers = vec![("idempotency-key", key), ("bluebellpick-caller", key)];
        assert!(is_held(&deadly.send(&node).await));
    }
    assert_eq!(server.run_log.entries().len(), runs);
}

/// Requests that run concurrently with a crashing request at each of its crashes must be answered,
/// and none of them may be held.
#[tokio::test]
async fn concurrent_requests() {
    let (node, _server) = spawn_crashing(deadly_path(), Repeat::ByMethod).await;
    let deadly = Call::new(Method::GET, "/records/deadly");
    for _ in 0..4 {
        let paths = ["/records/1", "/records/2", "/records/3"];
        let tasks = paths.map(|path| {
            let node = Arc::clone(&node);
            tokio::spawn(async move {
                let mut call = Call::new(Method::GET, path);
                call.headers = vec![("x-work-ms", "60")];
                loop {
                    let answer = call.send(&node).await;
                    assert!(!is_held(&answer), "{answer:?}");
                    if answer.status == StatusCode::OK {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            })
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
        deadly.send(&node).await;
        for task in tasks {
            tokio::time::timeout(TIMEOUT, task).await.unwrap().unwrap();
        }
    }
    assert!(is_held(&deadly.send(&node).await));
}

/// Responses that a live backend server fails to send must not be taken for crashes.
#[tokio::test]
async fn lost_responses() {
    let node = spawn_node("near").await;
    let (listener, address) = bind().await;
    node.announce("records", address, 6);
    node.set_route(
        "records",
        Repeat::Never,
        &[node.endpoint("records", node.nodes_address)],
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 1_024];
                let _length = stream.read(&mut head).await;
            });
        }
    });
    let call = Call::new(Method::POST, "/records/1");
    for _ in 0..10 {
        let answer = call.send(&node).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
    }
}

/// If a backend server exits after it has announced that it leaves, the requests that it was
/// running must not become suspects.
#[tokio::test]
async fn announced_exit() {
    let (node, server) = spawn_crashing(deadly_path(), Repeat::Never).await;
    for runs in 1..=5 {
        let caller = Arc::clone(&node);
        let running = tokio::spawn(async move {
            let call = Call::new(Method::POST, "/records/deadly");
            call.send(&caller).await
        });
        let begun = async {
            while server.run_log.entries().len() < runs {
                tokio::task::yield_now().await;
            }
        };
        let begun = tokio::time::timeout(TIMEOUT, begun).await;
        begun.expect("the request runs and is not held");
        let backend = &node.shared.backend;
        backend.send_modify(|backend| backend.as_mut().unwrap().leaving = true);
        running.await.unwrap();
        server.wait_listening().await;
    }
}

/// A suspect request waits for its nested call, which is a suspect as well. The parent must not
/// keep the nested call from running until the deadline.
#[tokio::test]
async fn nested_suspect() {
    let (node, server) = spawn_crashing(deadly_path(), Repeat::Never).await;
    let send = |path: &'static str, headers: Vec<(&'static str, String)>| {
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            let headers: Vec<_> = headers
                .iter()
                .map(|(name, value)| (*name, value.as_str()))
                .collect();
            let mut call = Call::new(Method::POST, path);
            call.headers = headers;
            call.send(&node).await
        })
    };
    let work = |ms: u32| ("x-work-ms", ms.to_string());
    let concurrent = [
        send("/records/parent", vec![work(500)]),
        send("/records/child", vec![work(500)]),
    ];
    wait_for_run(&server.run_log, |run| run.path == "/records/child").await;
    wait_for_run(&server.run_log, |run| run.path == "/records/parent").await;
    Call::new(Method::POST, "/records/deadly").send(&node).await;
    for one in concurrent {
        one.await.unwrap();
    }
    server.wait_listening().await;
    let parent = send(
        "/records/parent",
        vec![work(900), ("x-request", "again".to_owned())],
    );
    wait_for_run(&server.run_log, |run| run.request == "again").await;
    let runs = server.run_log.entries();
    let run = runs.iter().find(|run| run.request == "again").unwrap();
    let started = Instant::now();
    let headers = vec![work(0), ("bluebellpick-parent", run.call.to_string())];
    let child = send("/records/child", headers).await.unwrap();
    assert_eq!(child.status, StatusCode::OK);
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{started:?}"
    );
    assert_eq!(parent.await.unwrap().status, StatusCode::OK);
}
