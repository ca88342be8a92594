//! Requests that crash the backend servers that run them.

use crate::mesh::{Answer, Node, bind, call, spawn_node, wait_recorded};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use standin::backend::{Backend as Server, Deadly, Mark, Plan};
use standin::record::{Outcome, Record};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Runs that a request may have after the third one that crashed a backend server.
const MAX_FURTHER: usize = 3;

/// Longest wait for what must come.
const LIMIT: Duration = Duration::from_secs(10);

/// A backend server that is started again whenever a request has crashed it.
struct Supervised {
    record: Record,
    address: SocketAddr,
}

fn plan(mark: Mark) -> Plan {
    Plan {
        slots: 6,
        queue: 20,
        work: Duration::ZERO,
        long_percent: 0,
        long_work: Duration::ZERO,
        cold: Duration::ZERO,
        deadly: Some(Deadly {
            mark,
            after: Duration::from_millis(20),
        }),
    }
}

fn deadly_path() -> Mark {
    Mark::Path("deadly".to_owned())
}

/// Starts one beside `node`, of the service `records`.
async fn supervise(node: &Arc<Node>, mark: Mark) -> Supervised {
    let (mut listener, address) = bind().await;
    let record = Record::open(None).unwrap();
    let (kept, node) = (record.clone(), Arc::clone(node));
    tokio::spawn(async move {
        for process in 1.. {
            let server = Server::spawn(listener, plan(mark.clone()), kept.clone(), process);
            node.announce_process("records", address, process);
            server.crashed().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            listener = rebind(address).await;
        }
    });
    Supervised { record, address }
}

/// Listens again where a crashed server did, once its connections are gone.
async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_still_taken) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// A node whose backend server is deadly to some requests.
async fn spawn_deadly(mark: Mark, repeat: Repeat) -> (Arc<Node>, Supervised) {
    let node = Arc::new(spawn_node("near").await);
    let server = supervise(&node, mark).await;
    node.set_route(
        "records",
        repeat,
        &[node.endpoint("records", node.nodes_address)],
    );
    (node, server)
}

impl Supervised {
    fn count_crashes(&self) -> usize {
        let runs = self.record.entries();
        let crashes = runs.iter().filter(|run| run.outcome == Outcome::Crashed);
        crashes.count()
    }

    /// Waits until it listens again.
    async fn wait_back(&self) {
        let back = async {
            while TcpStream::connect(self.address).await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(LIMIT, back).await.expect("it is back");
    }
}

/// Sends a request again and again until it is refused as held.
async fn send_until_held(node: &Node, server: &Supervised, call: &Call<'_>) -> Answer {
    for _ in 0..30 {
        let answer = call.send(node).await;
        if is_held(&answer) {
            return answer;
        }
        server.wait_back().await;
    }
    panic!("never held, after {} crashes", server.count_crashes());
}

fn is_held(answer: &Answer) -> bool {
    String::from_utf8_lossy(&answer.body).contains("\"reason\":\"held\"")
}

/// What a caller sends.
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

/// A request must not go on crashing the backend server on the own VM each time that it is back.
#[yare::parameterized(repeated = { Method::GET }, never_repeated = { Method::POST })]
#[test_macro(tokio::test)]
async fn own_server(method: Method) {
    let (node, server) = spawn_deadly(deadly_path(), Repeat::ByMethod).await;
    for _ in 0..30 {
        Call::new(method.clone(), "/records/deadly")
            .send(&node)
            .await;
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let crashes = server.count_crashes();
    assert!(crashes >= 3, "{crashes} at {}", server.address);
    assert!(crashes <= 3 + MAX_FURTHER, "{crashes}");
}

/// Callers of a held request must be told at once that it has not run, and when to come back.
#[tokio::test]
async fn told_at_once() {
    let (node, server) = spawn_deadly(deadly_path(), Repeat::ByMethod).await;
    let deadly = Call::new(Method::GET, "/records/deadly");
    send_until_held(&node, &server, &deadly).await;
    let runs = server.record.entries().len();
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
    assert_eq!(server.record.entries().len(), runs);
    assert_eq!(server.count_crashes(), 3);
}

/// A deadly body must be held whatever its length, and no other body on the same path.
#[yare::parameterized(short = { 0 }, asked_for = { 20_000 }, longer_than_held = { 300_000 })]
#[test_macro(tokio::test)]
async fn deadly_body(padding: usize) {
    let mark = Mark::Body("deadly".to_owned());
    let (node, server) = spawn_deadly(mark, Repeat::Never).await;
    let mut deadly = Call::new(Method::POST, "/records/1");
    deadly.body = [b"deadly".as_slice(), &vec![b'x'; padding]].concat().into();
    send_until_held(&node, &server, &deadly).await;
    server.wait_back().await;
    let mut other = deadly.clone();
    other.body = [b"other".as_slice(), &vec![b'x'; padding]].concat().into();
    let answer = other.send(&node).await;
    assert_eq!((answer.status, answer.verdict()), (StatusCode::OK, "ran"));
}

/// A caller that changes its headers and keys must not get round the hold.
#[tokio::test]
async fn other_headers() {
    let (node, server) = spawn_deadly(deadly_path(), Repeat::Never).await;
    let mut deadly = Call::new(Method::POST, "/records/deadly");
    send_until_held(&node, &server, &deadly).await;
    let runs = server.record.entries().len();
    for key in ["a", "b", "c"] {
        deadly.headers = vec![("idempotency-key", key), ("bluebellpick-caller", key)];
        assert!(is_held(&deadly.send(&node).await));
    }
    assert_eq!(server.record.entries().len(), runs);
}

/// Requests that ran beside a deadly one at every crash must be answered, and none held.
#[tokio::test]
async fn beside() {
    let (node, _server) = spawn_deadly(deadly_path(), Repeat::ByMethod).await;
    let deadly = Call::new(Method::GET, "/records/deadly");
    for _ in 0..4 {
        let paths = ["/records/1", "/records/2", "/records/3"];
        let innocent = paths.map(|path| {
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
        for one in innocent {
            tokio::time::timeout(LIMIT, one).await.unwrap().unwrap();
        }
    }
    assert!(is_held(&deadly.send(&node).await));
}

/// Answers that a living backend server loses must not be taken for crashes.
#[tokio::test]
async fn lost_answers() {
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

/// A backend server that ends after its farewell must leave no suspicion behind.
#[tokio::test]
async fn after_farewell() {
    let (node, server) = spawn_deadly(deadly_path(), Repeat::Never).await;
    for runs in 1..=5 {
        let caller = Arc::clone(&node);
        let running = tokio::spawn(async move {
            let call = Call::new(Method::POST, "/records/deadly");
            call.send(&caller).await
        });
        let begun = async {
            while server.record.entries().len() < runs {
                tokio::task::yield_now().await;
            }
        };
        let begun = tokio::time::timeout(LIMIT, begun).await;
        begun.expect("it is run, and not held");
        let own = &node.shared.backend;
        own.send_modify(|own| own.as_mut().unwrap().leaving = true);
        running.await.unwrap();
        server.wait_back().await;
    }
}

/// A suspect that waits for a call of its own, which is one too, must not keep that out until
/// its time is over.
#[tokio::test]
async fn nested_suspect() {
    let (node, server) = spawn_deadly(deadly_path(), Repeat::Never).await;
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
    let beside = [
        send("/records/parent", vec![work(500)]),
        send("/records/child", vec![work(500)]),
    ];
    wait_recorded(&server.record, |run| run.path == "/records/child").await;
    wait_recorded(&server.record, |run| run.path == "/records/parent").await;
    Call::new(Method::POST, "/records/deadly").send(&node).await;
    for one in beside {
        one.await.unwrap();
    }
    server.wait_back().await;
    let parent = send(
        "/records/parent",
        vec![work(900), ("x-request", "again".to_owned())],
    );
    wait_recorded(&server.record, |run| run.request == "again").await;
    let runs = server.record.entries();
    let named = runs.iter().find(|run| run.request == "again").unwrap();
    let started = Instant::now();
    let headers = vec![work(0), ("bluebellpick-parent", named.call.to_string())];
    let child = send("/records/child", headers).await.unwrap();
    assert_eq!(child.status, StatusCode::OK);
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{started:?}"
    );
    assert_eq!(parent.await.unwrap().status, StatusCode::OK);
}
