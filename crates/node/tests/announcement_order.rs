//! Announcements and leave requests that arrive out of order over several connections.

mod support;

use node::announce;
use node::shared::Shared;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use support::{bind, make_shared, request};

/// A node's listener for announcements of its backend server.
struct Listener {
    shared: Arc<Shared<clock::System>>,
    address: SocketAddr,
    _handle: node::listener::Handle,
}

impl Listener {
    async fn open() -> Self {
        let shared = make_shared();
        let handle = announce::spawn(bind().await, Arc::clone(&shared)).unwrap();
        Self {
            shared,
            address: handle.address(),
            _handle: handle,
        }
    }

    /// Announces a process with `slots` slots; returns the status code of the response.
    async fn put(&self, process: Option<u64>, sequence: u64, slots: u16) -> u16 {
        let mut body = json!({"service": "records", "address": "127.0.0.1:9000", "slots": slots});
        if let Some(process) = process {
            body["incarnation"] = process.into();
            body["sequence"] = sequence.into();
        }
        let (status, _) = request(self.address, "PUT /v1/announce", &body.to_string()).await;
        status
    }

    /// Sends a leave request; returns the body of the response.
    async fn leave(&self, process: Option<u64>) -> String {
        let body = process.map_or_else(String::new, |process| {
            json!({"incarnation": process}).to_string()
        });
        let (status, text) = request(self.address, "DELETE /v1/announce", &body).await;
        assert_eq!(status, 200, "{text}");
        text.trim().to_owned()
    }

    /// Returns the current process as other nodes identify it.
    fn current_process(&self) -> Option<u64> {
        let backend = self.shared.backend.borrow();
        backend.as_ref().map(node::shared::Backend::process)
    }

    /// Returns the slots of the backend server; `None` if it is leaving.
    fn serving_slots(&self) -> Option<u16> {
        let backend = self.shared.backend.borrow();
        backend
            .as_ref()
            .filter(|backend| !backend.leaving)
            .map(|backend| backend.slots)
    }
}

// A leaving backend server must get no new calls, even if a heartbeat arrives after its leave
// request. Regression: a node was paused while a heartbeat was unread in one of its sockets. When
// the node resumed, it read the leave request first, over another connection, and then the
// heartbeat, and announced the server as ready again. The log of the node had `backend_leaving` and
// 1 ms later `backend_announced`, and the server ran new calls for 25 s, which is how long the
// server waited to exit. The next process at the same address must still be accepted, whether or
// not the former process announced an incarnation.
#[tokio::test]
async fn heartbeat_after_leave() {
    for process in [Some(1), None] {
        let listener = Listener::open().await;
        listener.put(process, 1, 6).await;
        listener.leave(process).await;
        let status = listener.put(process, 2, 6).await;
        assert_eq!(
            (status, listener.serving_slots()),
            (409, None),
            "{process:?}"
        );
        assert_eq!(listener.put(Some(2), 1, 4).await, 200);
        assert_eq!(
            listener.serving_slots(),
            Some(4),
            "a new process is accepted at once"
        );
    }
}

// The leave request of a former process must not remove the process that has replaced it at the
// same address. Regression: a pause of the node delayed the leave request until after the first
// announcement of the new process. Nothing in the request said which process was leaving, so the
// new process got no calls.
#[tokio::test]
async fn leave_of_former() {
    let listener = Listener::open().await;
    listener.put(Some(1), 1, 6).await;
    listener.put(Some(2), 1, 4).await;
    let response = listener.leave(Some(1)).await;
    assert_eq!(listener.serving_slots(), Some(4));
    assert!(response.contains(r#""leaving":true"#), "{response}");
    listener.leave(Some(2)).await;
    assert_eq!(listener.serving_slots(), None);
}

// A backend server that lowers its number of slots must not get as many calls as before.
// Regression: the node read a heartbeat from before the change after the announcement of the
// change, over another connection.
#[tokio::test]
async fn older_heartbeat() {
    let listener = Listener::open().await;
    listener.put(Some(1), 7, 2).await;
    let status = listener.put(Some(1), 6, 6).await;
    assert_eq!((status, listener.serving_slots()), (409, Some(2)));
    assert_eq!(listener.put(Some(1), 8, 3).await, 200);
    assert_eq!(listener.serving_slots(), Some(3));
}

// A process was replaced without a leave request. If a single heartbeat of that process arrives
// late, calls must not be sent to it. Two heartbeats show that the process still runs: it then
// becomes the current process again.
#[tokio::test]
async fn heartbeat_of_former() {
    let listener = Listener::open().await;
    listener.put(Some(1), 1, 6).await;
    listener.put(Some(2), 1, 4).await;
    let status = listener.put(Some(1), 2, 6).await;
    assert_eq!((status, listener.serving_slots()), (409, Some(4)));
    assert_eq!(listener.put(Some(1), 3, 6).await, 200);
    assert_eq!(listener.serving_slots(), Some(6));
}

// A former process must not become the current process again after its leave request. Regression:
// the leave request was counted as a message that shows that the process runs, so that a late
// heartbeat was the second such message and made the leaving process the current process again.
#[tokio::test]
async fn former_after_leave() {
    let listener = Listener::open().await;
    listener.put(Some(1), 1, 6).await;
    listener.put(Some(2), 1, 4).await;
    listener.leave(Some(1)).await;
    for sequence in 2..5 {
        let status = listener.put(Some(1), sequence, 6).await;
        assert_eq!((status, listener.serving_slots()), (409, Some(4)));
    }
}

// The sequence numbers of a process must not be compared with those of the former process. In this
// test, both processes number their heartbeats, but the first announcement of the new process has
// no sequence number.
#[tokio::test]
async fn sequence_restarts() {
    let listener = Listener::open().await;
    listener.put(Some(1), 30, 6).await;
    let unnumbered =
        json!({"service": "records", "address": "127.0.0.1:9000", "slots": 4, "incarnation": 2});
    request(
        listener.address,
        "PUT /v1/announce",
        &unnumbered.to_string(),
    )
    .await;
    assert_eq!(listener.put(Some(2), 1, 3).await, 200);
    assert_eq!(listener.serving_slots(), Some(3));
}

// A node is killed while its backend server leaves, and the next process of the node receives a
// heartbeat that was still in transit. The backend server repeats its leave request until the node
// acknowledges the request; after that, no heartbeat may cancel the leave.
#[tokio::test]
async fn leave_first() {
    let listener = Listener::open().await;
    let response = listener.leave(Some(1)).await;
    assert_eq!(response, r#"{"in_flight":0,"leaving":true}"#);
    assert_eq!(listener.put(Some(1), 2, 6).await, 409);
    assert_eq!(listener.serving_slots(), None);
    assert_eq!(listener.put(Some(2), 1, 4).await, 200);
    assert_eq!(listener.serving_slots(), Some(4));
}

// A backend server that is killed and restarts at its address with the same slots must count as a
// new process. Otherwise its node keeps half-closed connections to the former process until the
// next calls, and the whole fleet sends the new process a full share of calls without a slow start.
// Regression: the announcements differ only in the incarnation, which the node left out of its
// comparison.
#[tokio::test]
async fn restart_with_same_slots() {
    let listener = Listener::open().await;
    listener.put(Some(1), 1, 6).await;
    let former = listener.current_process();
    let mut changes = listener.shared.backend.subscribe();
    listener.put(Some(1), 2, 6).await;
    assert!(!changes.has_changed().unwrap(), "a heartbeat is no change");
    listener.put(Some(2), 1, 6).await;
    assert!(changes.has_changed().unwrap());
    changes.mark_unchanged();
    assert_ne!(listener.current_process(), former);
    assert_eq!(listener.serving_slots(), Some(6));
}
