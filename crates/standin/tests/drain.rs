//! The backend server's program: it announces itself, and leaves without cutting work off.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(10);

/// A node as far as announcements go: it passes each on, and answers what it is told to.
async fn spawn_node(status: Value) -> (String, mpsc::Receiver<(String, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, came) = mpsc::channel(1000);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (sender, status) = (sender.clone(), status.clone());
            tokio::spawn(async move { answer_all(stream, sender, &status.to_string()).await });
        }
    });
    (address, came)
}

async fn answer_all(stream: TcpStream, sender: mpsc::Sender<(String, String)>, status: &str) {
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
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{status}",
            status.len()
        );
        if sender.send((method, body)).await.is_err()
            || stream.write_all(answer.as_bytes()).await.is_err()
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
async fn leaves_in_order() {
    let (node, mut came) = spawn_node(json!({"in_flight": 0, "leaving": true})).await;
    let (mut child, address) = spawn_backend(&node).await;
    let (method, body) = timeout(LIMIT, came.recv()).await.unwrap().unwrap();
    let announced: Value = serde_json::from_str(&body).unwrap();
    let process = announced["incarnation"].as_u64().expect("it names itself");
    let expected = json!({
        "service": "claims",
        "address": address,
        "slots": 3,
        "incarnation": process,
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
    let mut answer = String::new();
    timeout(LIMIT, caller.read_to_string(&mut answer))
        .await
        .unwrap()
        .unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        timeout(LIMIT, child.wait())
            .await
            .unwrap()
            .unwrap()
            .success()
    );
    let mut words = Vec::new();
    while let Ok(word) = came.try_recv() {
        words.push(word);
    }
    words.retain(|(method, _)| method != "put");
    assert_eq!(words[0].0, "delete");
    assert_eq!(words[1].0, "get");
    let farewell: Value = serde_json::from_str(&words[0].1).unwrap();
    assert_eq!(farewell, json!({"incarnation": process}));
}

// A backend server's stop took until its limit: the node that had heard the farewell was
// killed, and the one that followed it answered each question with `leaving: false`,
// since nobody told it.
#[tokio::test]
async fn farewell_again() {
    let (node, mut came) = spawn_node(json!({"in_flight": 0, "leaving": false})).await;
    let (mut child, _) = spawn_backend(&node).await;
    timeout(LIMIT, came.recv()).await.unwrap().unwrap();
    terminate(&child);
    let mut told = 0;
    while told < 3 {
        let (method, _) = timeout(LIMIT, came.recv()).await.unwrap().unwrap();
        told += u32::from(method == "delete");
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
    timeout(LIMIT, busy).await.unwrap();
}

// The node says that calls are still in flight: the backend server must stay,
// however idle it is itself, for they may be on their way.
#[tokio::test]
async fn waits_for_node() {
    let (node, mut came) = spawn_node(json!({"in_flight": 1, "leaving": true})).await;
    let (mut child, _) = spawn_backend(&node).await;
    timeout(LIMIT, came.recv()).await.unwrap().unwrap();
    terminate(&child);
    let mut asked = 0;
    while asked < 10 {
        let (method, _) = timeout(LIMIT, came.recv()).await.unwrap().unwrap();
        asked += u32::from(method == "get");
    }
    assert_eq!(child.try_wait().unwrap(), None);
    child.kill().await.unwrap();
}
