//! Backend servers that report their load in their responses.

use crate::mesh::{Node, call, spawn_node, spawn_node_with_limits, spawn_server};
use crate::raw_peer::{encode, open_link, read_frame};
use bytes::Bytes;
use config::{Class, Repeat};
use http::{Method, StatusCode};
use node::metrics::GaugeValues;
use standin::backend::Faults;
use std::net::SocketAddr;
use store::MemoryStore;
use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;
use wire::call::{Estimate, Frame, LoadProbe};
use yare::parameterized;

/// A VM with a node and a backend server of the service `jobs`.
struct Vm {
    node: Node,
    server: SocketAddr,
}

impl Vm {
    async fn spawn(server_load: &str) -> Self {
        let (server, _run_log) = spawn_server(6).await;
        let limits = format!("server_load = {server_load}");
        let node = spawn_node_with_limits("own", &MemoryStore::new(), &limits).await;
        node.announce_process("jobs", server, 11);
        let endpoint = node.endpoint("jobs", node.nodes_address);
        node.set_route("jobs", Repeat::Always, &[endpoint]);
        Self { node, server }
    }

    /// Runs a call of 10 ms, and then four at once, at the backend server, which is `slow_factor`
    /// times as slow and reports `load`.
    async fn run_calls(&self, slow_factor: u32, header: &str, load: &str) {
        let faults = Faults {
            slow_factor,
            headers: vec![(header.to_owned(), load.to_owned())],
            ..Faults::default()
        };
        let body = serde_json::to_vec(&faults).unwrap();
        let answer = call(self.server, Method::POST, "/fault", &[], body.into()).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
        for count in [1, 4] {
            let mut calls = JoinSet::new();
            for _ in 0..count {
                let address = self.node.outbound.address();
                let headers = [("x-work-ms", "10")];
                calls.spawn(async move {
                    let answer = call(address, Method::GET, "/jobs/1", &headers, Bytes::new());
                    assert_eq!(answer.await.unwrap().status, StatusCode::OK);
                });
            }
            calls.join_all().await;
        }
    }

    /// Probes the node as another node does.
    async fn probe(&self) -> Estimate {
        let far = spawn_node("far").await;
        let mut stream = open_link(&far, &self.node).await;
        let request = LoadProbe {
            serial: 5,
            service: "jobs".into(),
            route: 1,
            class: Class::Lookup,
            parent_class: None,
            timeout_ms: 2_000,
            known_report: None,
            team: None,
            target_ms: None,
        };
        let probe = encode(Frame::LoadProbe(request));
        stream.write_all(&probe).await.unwrap();
        loop {
            if let Frame::Estimate(estimate) = read_frame(&mut stream).await {
                return estimate;
            }
        }
    }

    fn metric(&self, line: &str) -> bool {
        let metrics = self.node.shared.metrics.render(&GaugeValues::default());
        metrics.contains(&format!("bluebellpick_backend_{line}\n"))
    }
}

// Other nodes send calls to a backend server that its machine slows down, although it reports this.
#[parameterized(
    own = { "bluebellpick-load" },
    platform = { "server-load" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn pace_reported(header: &str) {
    let vm = Vm::spawn("use").await;
    for _ in 0..15 {
        vm.run_calls(1, header, "1,0,6,100").await;
        vm.run_calls(1, header, "1,0,6,100").await;
        vm.run_calls(4, header, "2,3,6,400").await;
    }
    assert!(vm.metric("pace 4.0") && vm.metric("waiting_calls 3"));
    let slow = vm.probe().await.pace_percent;
    println!("{slow:?} after slow calls");
    assert!(slow.is_some_and(|pace| pace > 120));
    // Another process has not reported anything.
    vm.node.announce_process("jobs", vm.server, 12);
    assert_eq!(vm.probe().await.pace_percent, None);
}

// A load that makes no sense, or is not to be used, changes what other nodes expect.
#[parameterized(
    three_figures = { "use", "1,0,6", 0 },
    negative = { "use", "1,0,6,-100", 5 },
    not_a_number = { "use", "1,0,6,NaN", 5 },
    huge = { "use", "1,0,6,99999999", 5 },
    ignored = { "ignore", "1,0,6,400", 0 },
    ignored_nonsense = { "ignore", "x", 0 },
)]
#[test_macro(tokio::test)]
async fn load_without_effect(server_load: &str, load: &str, invalid: u32) {
    let vm = Vm::spawn(server_load).await;
    vm.run_calls(1, "server-load", load).await;
    assert_eq!(vm.probe().await.pace_percent, None);
    assert!(vm.metric(&format!("reports_invalid_total {invalid}")));
}
