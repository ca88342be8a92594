//! Replies of a node to load probes.

use crate::mesh::{spawn_node, spawn_server};
use crate::raw_peer::{encode, open_link, read_frame};
use config::Class;
use tokio::io::AsyncWriteExt;
use wire::call::{Estimate, Frame, LoadProbe};

async fn probe(service: &str, is_leaving: bool) -> Estimate {
    let (address, _run_log) = spawn_server(6).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 6);
    far.shared.leaving.send_replace(is_leaving);
    let mut stream = open_link(&near, &far).await;
    let request = LoadProbe {
        serial: 5,
        service: service.into(),
        route: 1,
        class: Class::Commit,
        parent_class: None,
        timeout_ms: 2_000,
        known_report: None,
        team: None,
        target_ms: None,
    };
    stream
        .write_all(&encode(Frame::LoadProbe(request)))
        .await
        .unwrap();
    loop {
        if let Frame::Estimate(estimate) = read_frame(&mut stream).await {
            return estimate;
        }
    }
}

#[tokio::test]
async fn idle_accepts() {
    let estimate = probe("jobs", false).await;
    let reported = (estimate.serial, estimate.accepts, estimate.wait_ms);
    assert_eq!(reported, (5, true, 0));
    assert_eq!(estimate.load_percent, 0);
}

// Guards against calls being sent one after the other to a backend server that is leaving, only to
// be refused and retried elsewhere. The node of such a server reported a load of 0 to probes, so
// that the server looked like the least loaded of all to proxies that picked without probing.
#[yare::parameterized(
    leaving = { "jobs", true },
    another_service = { "claims", false },
)]
#[test_macro(tokio::test)]
async fn refusing_reports_full_load(service: &str, is_leaving: bool) {
    let estimate = probe(service, is_leaving).await;
    assert!(!estimate.accepts);
    assert_eq!(estimate.load_percent, 100);
}
