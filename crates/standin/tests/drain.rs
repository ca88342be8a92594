//! The backend server program: it announces itself, and drains without interrupting calls.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a fake node that always responds with `status`. The returned channel receives the method
/// and the body of each request.
async fn spawn_node(status: Value) -> (String, mpsc::Receiver<(String, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, received) = mpsc::channel(1000);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (sender, status) = (sender.clone(), status.clone());
            tokio::spawn(async move { handle_requests(stream, sender, &status.to_string()).await });
        }
    });
    (address, received)
}

async fn handle_requests(stream: TcpStream, sender: mpsc::Sender<(String, String)>, status: &str) {
    let mut stream = BufReader::new(stream);
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
        stream.read_exact(&mut body).await.unwrap();
        let method = head.split(' ').next().unwrap().to_owned();
        let body = String::from_utf8(body).unwrap();
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{status}",
            status.len()
        );
        if sender.send((method, body)).await.is_err()
            || stream.write_all(response.as_bytes()).await.is_err()
        {
            return;
        }
    }
}

async fn spawn_backend(node: &str) -> (Child, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bluebellpick-standin"))
        .args([
            "backend",
            "--announce",
            node,
            "--service",
            "claims",
            "--slots",
            "3",
        ])
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.next_line().await.unwrap().unwrap();
    let address = line.strip_prefix("listening on ").unwrap().to_owned();
    (child, address)
}

fn terminate(child: &Child) {
    let pid = Pid::from_raw(child.id().unwrap().cast_signed()).unwrap();
    kill_process(pid, Signal::TERM).unwrap();
}

#[tokio::test]
async fn graceful_stop() {
    let (node, mut received) = spawn_node(json!({"in_flight": 0, "leaving": true})).await;
    let (mut child, address) = spawn_backend(&node).await;
    let (method, body) = timeout(TEST_TIMEOUT, received.recv())
        .await
        .unwrap()
        .unwrap();
    let announced: Value = serde_json::from_str(&body).unwrap();
    let incarnation = announced["incarnation"]
        .as_u64()
        .expect("announces its incarnation");
    let expected = json!({
        "service": "claims",
        "address": address,
        "slots": 3,
        "incarnation": incarnation,
        "sequence": 1,
    });
    assert_eq!((method.as_str(), announced), ("put", expected));
    let mut caller = TcpStream::connect(&address).await.unwrap();
    caller
        .write_all(
            b"GET /claims HTTP/1.1\r\nhost: x\r\nx-work-ms: 500\r\nconnection: close\r\n\r\n",
        )
        .await
        .unwrap();
    wait_for_work(&address).await;
    terminate(&child);
    let mut response = String::new();
    timeout(TEST_TIMEOUT, caller.read_to_string(&mut response))
        .await
        .unwrap()
        .unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(
        timeout(TEST_TIMEOUT, child.wait())
            .await
            .unwrap()
            .unwrap()
            .success()
    );
    let mut requests = Vec::new();
    while let Ok(request) = received.try_recv() {
        requests.push(request);
    }
    requests.retain(|(method, _)| method != "put");
    assert_eq!(requests[0].0, "delete");
    assert_eq!(requests[1].0, "get");
    let leave_request: Value = serde_json::from_str(&requests[0].1).unwrap();
    assert_eq!(leave_request, json!({"incarnation": incarnation}));
}

// The node that acknowledged the leave request is killed, and the node process that replaces it
// reports `leaving: false`. The backend server must repeat the request. Regression: the backend
// server didn't, and waited until its drain timeout.
#[tokio::test]
async fn repeated_leave_request() {
    let (node, mut received) = spawn_node(json!({"in_flight": 0, "leaving": false})).await;
    let (mut child, _) = spawn_backend(&node).await;
    timeout(TEST_TIMEOUT, received.recv())
        .await
        .unwrap()
        .unwrap();
    terminate(&child);
    let mut leave_requests = 0;
    while leave_requests < 3 {
        let (method, _) = timeout(TEST_TIMEOUT, received.recv())
            .await
            .unwrap()
            .unwrap();
        leave_requests += u32::from(method == "delete");
    }
    child.kill().await.unwrap();
}

async fn wait_for_work(address: &str) {
    let busy = async {
        loop {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream
                .write_all(b"GET /load HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                .await
                .unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).await.unwrap();
            if text.contains("\"in_flight\":1") {
                return;
            }
        }
    };
    timeout(TEST_TIMEOUT, busy).await.unwrap();
}

// While the node reports calls in flight, the backend server must not stop, even if it is idle: the
// calls may not have reached the backend server yet.
#[tokio::test]
async fn wait_for_node() {
    let (node, mut received) = spawn_node(json!({"in_flight": 1, "leaving": true})).await;
    let (mut child, _) = spawn_backend(&node).await;
    timeout(TEST_TIMEOUT, received.recv())
        .await
        .unwrap()
        .unwrap();
    terminate(&child);
    let mut status_requests = 0;
    while status_requests < 10 {
        let (method, _) = timeout(TEST_TIMEOUT, received.recv())
            .await
            .unwrap()
            .unwrap();
        status_requests += u32::from(method == "get");
    }
    assert_eq!(child.try_wait().unwrap(), None);
    child.kill().await.unwrap();
}
