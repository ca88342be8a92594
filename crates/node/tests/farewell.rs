//! Announcements over several connections, in orders that a pause makes of them.

mod support;

use node::announce;
use node::shared::Shared;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use support::{bind, make_shared, request};

/// A node's listener for its backend server.
struct Desk {
    shared: Arc<Shared<clock::System>>,
    address: SocketAddr,
    _handle: node::listener::Handle,
}

impl Desk {
    async fn open() -> Self {
        let shared = make_shared();
        let handle = announce::spawn(bind().await, Arc::clone(&shared)).unwrap();
        Self {
            shared,
            address: handle.address(),
            _handle: handle,
        }
    }

    /// Announces a process with so many slots; gives the status of the answer.
    async fn put(&self, process: Option<u64>, sequence: u64, slots: u16) -> u16 {
        let mut body = json!({"service": "records", "address": "127.0.0.1:9000", "slots": slots});
        if let Some(process) = process {
            body["incarnation"] = process.into();
            body["sequence"] = sequence.into();
        }
        let (status, _) = request(self.address, "PUT /v1/announce", &body.to_string()).await;
        status
    }

    /// Says farewell; gives the answer.
    async fn delete(&self, process: Option<u64>) -> String {
        let body = process.map_or_else(String::new, |process| {
            json!({"incarnation": process}).to_string()
        });
        let (status, text) = request(self.address, "DELETE /v1/announce", &body).await;
        assert_eq!(status, 200, "{text}");
        text.trim().to_owned()
    }

    /// Names the process that is here, as other nodes are told.
    fn process(&self) -> Option<u64> {
        let held = self.shared.backend.borrow();
        held.as_ref().map(node::shared::Backend::process)
    }

    /// Gives the slots of the backend server that takes work.
    fn serving(&self) -> Option<u16> {
        let held = self.shared.backend.borrow();
        held.as_ref()
            .filter(|own| !own.leaving)
            .map(|own| own.slots)
    }
}

// A clerk's calls go on to a backend server that has said that it leaves, for as long as
// it waits to end. A node was paused with a heartbeat in a socket; when it went on it read
// the farewell first, over another connection, and then the heartbeat, and announced the
// server as ready again. Its log had `backend_leaving` and 1 ms later `backend_announced`;
// the server's record showed new runs for 25 s. The process that follows it at the same
// address, named or not, must still come in.
#[tokio::test]
async fn late_after_farewell() {
    for process in [Some(1), None] {
        let desk = Desk::open().await;
        desk.put(process, 1, 6).await;
        desk.delete(process).await;
        let status = desk.put(process, 2, 6).await;
        assert_eq!((status, desk.serving()), (409, None), "{process:?}");
        assert_eq!(desk.put(Some(2), 1, 4).await, 200);
        assert_eq!(desk.serving(), Some(4), "a restart is taken at once");
    }
}

// A backend server is replaced at its address and the new process gets no work at all.
// The farewell of the process before was held up by a pause of the node, came after the
// first announcement of the new one, and took it out: nothing in it said whose it was.
#[tokio::test]
async fn farewell_of_former() {
    let desk = Desk::open().await;
    desk.put(Some(1), 1, 6).await;
    desk.put(Some(2), 1, 4).await;
    let told = desk.delete(Some(1)).await;
    assert_eq!(desk.serving(), Some(4));
    assert!(told.contains(r#""leaving":true"#), "{told}");
    desk.delete(Some(2)).await;
    assert_eq!(desk.serving(), None);
}

// A backend server lowers its slots, and its node goes on giving it as many calls as
// before. A heartbeat from before the change was read after it, over another connection.
#[tokio::test]
async fn older_heartbeat() {
    let desk = Desk::open().await;
    desk.put(Some(1), 7, 2).await;
    let status = desk.put(Some(1), 6, 6).await;
    assert_eq!((status, desk.serving()), (409, Some(2)));
    assert_eq!(desk.put(Some(1), 8, 3).await, 200);
    assert_eq!(desk.serving(), Some(3));
}

// A backend server was replaced without a farewell, and calls are sent to the process that
// is gone: one of its heartbeats came late. Two in a row are no accident: the process that
// goes on announcing itself is the living one.
#[tokio::test]
async fn late_of_former() {
    let desk = Desk::open().await;
    desk.put(Some(1), 1, 6).await;
    desk.put(Some(2), 1, 4).await;
    let status = desk.put(Some(1), 2, 6).await;
    assert_eq!((status, desk.serving()), (409, Some(4)));
    assert_eq!(desk.put(Some(1), 3, 6).await, 200);
    assert_eq!(desk.serving(), Some(6));
}

// Calls go to a process that has said that it leaves, as above, with another one in its
// place: its farewell was taken for one more sign of life, and a heartbeat that came late,
// the second sign, had it back.
#[tokio::test]
async fn former_has_left() {
    let desk = Desk::open().await;
    desk.put(Some(1), 1, 6).await;
    desk.put(Some(2), 1, 4).await;
    desk.delete(Some(1)).await;
    for sequence in 2..5 {
        let status = desk.put(Some(1), sequence, 6).await;
        assert_eq!((status, desk.serving()), (409, Some(4)));
    }
}

// A backend server that numbers its heartbeats follows one that did, and its own first word
// has no number: its second one must not be measured by those of the process before.
#[tokio::test]
async fn counts_anew() {
    let desk = Desk::open().await;
    desk.put(Some(1), 30, 6).await;
    let unnumbered =
        json!({"service": "records", "address": "127.0.0.1:9000", "slots": 4, "incarnation": 2});
    request(desk.address, "PUT /v1/announce", &unnumbered.to_string()).await;
    assert_eq!(desk.put(Some(2), 1, 3).await, 200);
    assert_eq!(desk.serving(), Some(3));
}

// A node is killed while its backend server leaves; the new node takes a heartbeat that
// was on its way for the word of a living server. The farewell comes again, since the
// server repeats it until its node has heard it, and no heartbeat may undo it.
#[tokio::test]
async fn farewell_first() {
    let desk = Desk::open().await;
    let told = desk.delete(Some(1)).await;
    assert_eq!(told, r#"{"in_flight":0,"leaving":true}"#);
    assert_eq!(desk.put(Some(1), 2, 6).await, 409);
    assert_eq!(desk.serving(), None);
    assert_eq!(desk.put(Some(2), 1, 4).await, 200);
    assert_eq!(desk.serving(), Some(4));
}

// A backend server is killed and comes back at its address, with the slots it had. Its node
// holds the connections to the former process half closed until calls come again, and the
// whole fleet sends the cold one a warm one's share. Cause: but for its number the new process
// says what the former one said, and the number was left out, so that nothing seemed to change.
#[tokio::test]
async fn same_but_restarted() {
    let desk = Desk::open().await;
    desk.put(Some(1), 1, 6).await;
    let former = desk.process();
    let mut changes = desk.shared.backend.subscribe();
    desk.put(Some(1), 2, 6).await;
    assert!(!changes.has_changed().unwrap(), "a heartbeat is no change");
    desk.put(Some(2), 1, 6).await;
    assert!(changes.has_changed().unwrap());
    changes.mark_unchanged();
    assert_ne!(desk.process(), former);
    assert_eq!(desk.serving(), Some(6));
}
