//! Requests that crash the backend servers that run them.

use crate::mesh::{Answer, Node, bind, call, spawn_node};
use bytes::Bytes;
use config::Repeat;
use http::Method;
use standin::backend::{Backend as Server, Deadly, Mark, Plan};
use standin::record::{Outcome, Record};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Runs that a request may have after the third one that crashed a backend server.
const MAX_FURTHER: usize = 3;

/// A backend server that is started again whenever a request has crashed it.
struct Supervised {
    record: Record,
    address: SocketAddr,
}

fn plan() -> Plan {
    Plan {
        slots: 6,
        queue: 20,
        work: Duration::ZERO,
        long_percent: 0,
        long_work: Duration::ZERO,
        cold: Duration::ZERO,
        deadly: Some(Deadly {
            mark: Mark::Path("deadly".to_owned()),
            after: Duration::from_millis(5),
        }),
    }
}

/// Starts one beside `node`, of the service `records`.
async fn supervise(node: &Arc<Node>) -> Supervised {
    let (mut listener, address) = bind().await;
    let record = Record::open(None).unwrap();
    let (kept, node) = (record.clone(), Arc::clone(node));
    tokio::spawn(async move {
        for process in 1.. {
            let server = Server::spawn(listener, plan(), kept.clone(), process);
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

async fn ask(node: &Node, method: Method, path: &str) -> Answer {
    let address = node.outbound.address();
    call(address, method, path, &[], Bytes::new())
        .await
        .unwrap()
}

/// A request must not go on crashing the backend server on the own VM each time that it is back.
#[yare::parameterized(repeated = { Method::GET }, never_repeated = { Method::POST })]
#[test_macro(tokio::test)]
async fn own_server(method: Method) {
    let node = Arc::new(spawn_node("near").await);
    let server = supervise(&node).await;
    let repeat = Repeat::ByMethod;
    node.serve_by("records", repeat, &[node.endpoint("records", node.nodes)]);
    for _ in 0..30 {
        ask(&node, method.clone(), "/records/deadly").await;
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let runs = server.record.entries();
    let crashes = runs.iter().filter(|run| run.outcome == Outcome::Crashed);
    let crashes = crashes.count();
    assert!(crashes >= 3, "{crashes} at {}", server.address);
    assert!(crashes <= 3 + MAX_FURTHER, "{crashes}");
}
