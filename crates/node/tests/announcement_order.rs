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

    /// Announces a process with a number of slots; returns the status code of the response.
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

    /// Returns the slots of the backend server, unless it is leaving.
    fn serving_slots(&self) -> Option<u16> {
        let backend = self.shared.backend.borrow();
        backend
            .as_ref()
            .filter(|backend| !backend.leaving)
            .map(|backend| backend.slots)
    }
}

// A leaving backend server must get no new calls, even if a heartbeat arrives after its leave
// request. A node was paused with a heartbeat in a socket. When it resumed, it read the leave
// request first, over another connection, and then the heartbeat, and announced the server as ready
// again. Its log had `backend_leaving` and 1 ms later `backend_announced`, and the server ran new
// calls for 25 s, as long as it waited to exit. The next process at the same address must still be
// accepted, whether the former one was named or not.
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

// A process that replaces another at its address must not be removed by the leave request of the
// former one. A pause of the node delayed that request until after the first announcement of the
// new process, and nothing in it said which process was leaving, so the new one got no calls.
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

// A backend server that lowers its slots must not get as many calls as before. A heartbeat from
// before the change was read after it, over another connection.
#[tokio::test]
async fn older_heartbeat() {
    let listener = Listener::open().await;
    listener.put(Some(1), 7, 2).await;
    let status = listener.put(Some(1), 6, 6).await;
    assert_eq!((status, listener.serving_slots()), (409, Some(2)));
    assert_eq!(listener.put(Some(1), 8, 3).await, 200);
    assert_eq!(listener.serving_slots(), Some(3));
}

// Calls must not be sent to a process that was replaced without a leave request when one of its
// heartbeats arrives late. Two heartbeats show that it still runs: the process that goes on
// announcing itself is the current one.
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

// A former process must not come back after its leave request. The request was counted as a
// message that shows that the process runs, so that a late heartbeat was the second one and made
// the leaving process the current one again.
#[tokio::test]
async fn former_stays_left() {
    let listener = Listener::open().await;
    listener.put(Some(1), 1, 6).await;
    listener.put(Some(2), 1, 4).await;
    listener.leave(Some(1)).await;
    for sequence in 2..5 {
        let status = listener.put(Some(1), sequence, 6).await;
        assert_eq!((status, listener.serving_slots()), (409, Some(4)));
    }
}

// The sequence numbers of a process must not be compared with those of the former one. Here both
// processes number their heartbeats, but the first announcement of the new one has no number.
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

// A node is killed while its backend server leaves, and the new node receives a heartbeat that was
// still on its way. The backend server repeats its leave request until the node acknowledges it,
// and no heartbeat may undo it.
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
// The announcements differ only in the incarnation, which was left out of the comparison.
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
