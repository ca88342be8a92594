//! Test environment: several nodes in one process, with backend servers and HTTP callers. In most
//! tests, callers call the node `near`, and the backend server runs next to the node `far`.

use bytes::Bytes;
use clock::System;
use config::{Class, Endpoint, Mesh, Repeat, Route, Service, State, Target, Version, View};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use node::nodes::make_hello;
use node::shared::{Backend, Shared};
use node::{inbound, outbound, reserve};
use settings::node::Settings;
use standin::backend::{self, Backend as Server};
use standin::record::{Entry, RunLog};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::MemoryStore;
use tokio::net::{TcpListener, TcpStream};
use wire::{LinkKind, codec};

/// A node in this process.
#[derive(Debug)]
pub struct Node {
    pub shared: Arc<Shared<System>>,
    pub inbound: inbound::Handle<System>,
    pub outbound: outbound::Handle<System>,
    pub nodes_address: SocketAddr,
}

/// Binds a free port on the loopback interface.
pub async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts a node named `name` in a zone of its own.
pub async fn spawn_node(name: &str) -> Node {
    spawn_node_with(name, &MemoryStore::new()).await
}

/// Starts a node that keeps its reservations in `store`.
pub async fn spawn_node_with(name: &str, store: &MemoryStore) -> Node {
    spawn_node_with_limits(name, store, "").await
}

/// Starts a node with further lines in the section `[limits]` of its settings.
pub async fn spawn_node_with_limits(name: &str, store: &MemoryStore, limits: &str) -> Node {
    let (listener, nodes) = bind().await;
    let text = format!(
        "[node]\nname = {name}\nzone = zone-{name}\nregion = kl\n\
         [listen]\ncallers = 127.0.0.1:1\nbackend = 127.0.0.1:2\nnodes = {nodes}\noperators = 127.0.0.1:4\n\
         [fleet]\nplatform = 127.0.0.1:5\n[operators]\ntoken = 0123456789abcdef\n\
         [limits]\n{limits}\n"
    );
    let settings = Settings::parse(&text, "test").unwrap();
    let incarnation = u64::from(nodes.port());
    let shared = Shared::new(settings, incarnation, System);
    let inbound = inbound::spawn(Arc::clone(&shared));
    let reserve = reserve::spawn(Arc::clone(&shared), store);
    let accepting = accept(
        listener,
        Arc::clone(&shared),
        inbound.clone(),
        reserve.clone(),
    );
    tokio::spawn(accepting);
    let (callers, _) = bind().await;
    let outbound = outbound::spawn(callers, Arc::clone(&shared), inbound.clone(), reserve).unwrap();
    Node {
        shared,
        inbound,
        outbound,
        nodes_address: nodes,
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared<System>>,
    inbound: inbound::Handle<System>,
    reserve: reserve::Handle<System>,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let peer_hello = codec::read_hello(&mut stream).await;
        if let Ok(peer_hello) = peer_hello
            && codec::write(&mut stream, &make_hello(&shared, peer_hello.link))
                .await
                .is_ok()
        {
            match peer_hello.link {
                LinkKind::Reserve => reserve.accept(stream),
                _ => inbound.accept(stream, &peer_hello).unwrap(),
            }
        }
    }
}

impl Node {
    /// Announces a backend server of `service` at `address`.
    pub fn announce(&self, service: &str, address: SocketAddr, slots: u16) {
        self.shared.backend.send_replace(Some(Backend {
            instance: None,
            incarnation: None,
            service: service.into(),
            version: "".into(),
            address,
            slots,
            process_started_ms: None,
            cold_ms: None,
            leaving: false,
        }));
    }

    /// Announces the process `process` of a backend server with 6 slots.
    pub fn announce_process(&self, service: &str, address: SocketAddr, process: u64) {
        self.announce(service, address, 6);
        self.shared.backend.send_modify(|backend| {
            backend.as_mut().unwrap().incarnation = Some(process);
        });
    }

    /// Returns this node's endpoint as other nodes see it, reachable at `address`.
    pub fn endpoint(&self, service: &str, address: SocketAddr) -> Endpoint {
        Endpoint {
            node: self.shared.settings.name.clone(),
            incarnation: self.shared.incarnation,
            started_ms: 1,
            sequence: 1,
            service: service.into(),
            version: "".into(),
            zone: self.shared.settings.zone.clone(),
            region: "kl".into(),
            address,
            slots: 6,
            process: 0,
            cold_ms: None,
            state: State::Serving,
            farewells: Vec::new(),
        }
    }

    /// Configures a single lookup route to the service of the same name.
    pub fn set_route(&self, service: &str, repeat: Repeat, endpoints: &[Endpoint]) {
        self.set_route_of_class(Class::Lookup, service, repeat, endpoints);
    }

    /// Configures a single route of `class` to the service of the same name.
    pub fn set_route_of_class(
        &self,
        class: Class,
        service: &str,
        repeat: Repeat,
        endpoints: &[Endpoint],
    ) {
        let mut mesh = Mesh::default();
        mesh.services.insert(service.into(), Service::default());
        let route = Route {
            targets: vec![Target {
                service: service.into(),
                percent: 100,
            }],
            class,
            repeat,
            retry: None,
            timeout_ms: 5_000,
            limit_ms: None,
            target_ms: None,
            public: false,
        };
        mesh.routes.insert(format!("/{service}").into(), route);
        let view = View::build(Version(1), &mesh, endpoints);
        self.shared.view.store(Arc::new(view));
    }
}

/// Starts a backend server with `slots` slots. Returns its address and the log of the calls that it
/// runs.
pub async fn spawn_server(slots: u16) -> (SocketAddr, RunLog) {
    let (listener, address) = bind().await;
    let run_log = RunLog::open(None).unwrap();
    let behavior = backend::Behavior {
        slots,
        max_queued: 20,
        mean_work: Duration::ZERO,
        long_percent: 0,
        long_work: Duration::ZERO,
        warm_up: Duration::ZERO,
        crash_trigger: None,
    };
    // The server runs until the runtime ends; tests inspect only its run log.
    let _running = Server::spawn(listener, behavior, run_log.clone(), 1);
    (address, run_log)
}

/// Waits until the run log contains a run for which `matches` returns true, for at most 5 s.
pub async fn wait_for_run<F>(run_log: &RunLog, matches: F)
where
    F: Fn(&Entry) -> bool,
{
    let recorded = async {
        while !run_log.entries().iter().any(&matches) {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), recorded)
        .await
        .expect("run was not recorded in time");
}

/// The answer that a caller received.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// Returns the value of the verdict header; empty if the answer has no such header.
    pub fn verdict(&self) -> &str {
        let value = self.headers.get(call::Verdict::HEADER);
        value.map_or("", |value| value.to_str().unwrap())
    }
}

/// Calls a node as a caller would, over a new connection.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: Bytes,
) -> Result<Answer, hyper::Error> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "mesh");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let answer = sender
        .send_request(request.body(Full::new(body)).unwrap())
        .await?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    driver.abort();
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body,
    })
}
