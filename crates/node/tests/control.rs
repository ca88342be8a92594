//! Participation of a node in the distribution of endpoints.

use clock::System;
use config::State;
use node::control;
use node::shared::{Backend, Shared};
use settings::node::Settings;
use std::sync::Arc;
use std::time::Duration;
use store::MemoryStore;

const SETTINGS: &str = "[node]\nname = records-1\nzone = kl-a\nregion = kl\n\
    [listen]\ncallers = 127.0.0.1:1\nbackend = 127.0.0.1:2\n\
    nodes = 127.0.0.1:3\noperators = 127.0.0.1:4\n\
    [fleet]\nplatform = 127.0.0.1:5\n[operators]\ntoken = 0123456789abcdef\n";

// A backend server that announces itself before the control component of its node has started must
// still be propagated to other nodes. Regression: the control component subscribed to announcements
// a moment after the announcement and waited for the next change, so that callers found no backend
// server of the service for as long as the node ran.
#[tokio::test]
async fn announced_before_start() {
    let shared = Shared::new(Settings::parse(SETTINGS, "test").unwrap(), 7, System);
    shared.backend.send_replace(Some(Backend {
        instance: None,
        incarnation: None,
        service: "records".into(),
        version: "".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 6,
        process_started_ms: None,
        cold_ms: None,
        leaving: false,
    }));
    let _control = control::spawn(Arc::clone(&shared), MemoryStore::new());
    let is_serving = async {
        loop {
            let view = shared.view.load_full();
            let mut endpoints = view.endpoints().iter();
            if endpoints.any(|endpoint| endpoint.state == State::Serving) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let found = tokio::time::timeout(Duration::from_secs(20), is_serving).await;
    assert!(found.is_ok(), "the announcement was not propagated");
}
