//! What a node tells of a call that it has not been sent.

use crate::mesh::{spawn_node, spawn_server};
use crate::raw_peer::{encode, open_link, read_frame};
use config::Class;
use tokio::io::AsyncWriteExt;
use wire::call::{Frame, Look, Outlook};

async fn ask(service: &str, leaves: bool) -> Outlook {
    let (address, _record) = spawn_server(6).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 6);
    far.shared.leaving.send_replace(leaves);
    let mut stream = open_link(&near, &far).await;
    let look = Look {
        serial: 5,
        service: service.into(),
        route: 1,
        class: Class::Commit,
        nested: None,
        timeout_ms: 2_000,
        target_ms: None,
    };
    stream.write_all(&encode(Frame::Look(look))).await.unwrap();
    loop {
        if let Frame::Outlook(outlook) = read_frame(&mut stream).await {
            return outlook;
        }
    }
}

#[tokio::test]
async fn idle_takes() {
    let outlook = ask("jobs", false).await;
    let told = (outlook.serial, outlook.takes, outlook.wait_ms);
    assert_eq!(told, (5, true, 0));
    assert_eq!(outlook.load_percent, 0);
}

// Clerks' bookings go to a backend server that leaves, are refused there and go elsewhere, one
// after the other. Cause: its node told a load of nought when it was asked about a call, and
// looked like the idlest of all to those that chose without asking.
#[yare::parameterized(
    leaving = { "jobs", true },
    another_service = { "claims", false },
)]
#[test_macro(tokio::test)]
async fn refusing_is_full(service: &str, leaves: bool) {
    let outlook = ask(service, leaves).await;
    assert!(!outlook.takes);
    assert_eq!(outlook.load_percent, 100);
}
