//! Leaves of backend servers whose nodes are killed, with real processes.

use serde_json::{Value, json};
use standin::platform::{RateLimits, serve};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use store::MemoryStore;
use tempfile::TempDir;
use tokio::net::TcpListener;
use yare::parameterized;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bluebellpick-node");

/// Timeout for operations that take milliseconds, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The interface by which a backend server announces itself and leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Interface {
    Own,
    Platform,
}

/// A node that runs as a child process on its own loopback address.
struct Node {
    child: Child,
    settings: TempDir,
    address: SocketAddr,
}

impl Node {
    fn spawn(number: u8, interface: Interface, platform: SocketAddr) -> Self {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip = format!("127.{}.{low}.{number}", 1 + high % 250);
        let interface = match interface {
            Interface::Own => "own",
            Interface::Platform => "platform",
        };
        let settings = tempfile::tempdir().unwrap();
        let text = format!(
            "[node]\nname = records-{number}\nzone = kl-{number}\nregion = kl\n\
             service = records\n\
             [listen]\ncallers = {ip}:7001\nbackend = {ip}:7002\n\
             nodes = {ip}:7003\noperators = {ip}:7004\n\
             [fleet]\nplatform = {platform}\ninterface = {interface}\n\
             [operators]\ntoken = 0123456789abcdef\n"
        );
        fs::write(settings.path().join("node.ini"), text).unwrap();
        let address = format!("{ip}:7002").parse().unwrap();
        let child = start(&settings);
        Self {
            child,
            settings,
            address,
        }
    }

    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    fn restart(&mut self) {
        self.kill();
        self.child = start(&self.settings);
        wait_until("listening", || self.is_leaving().is_some());
    }

    /// Sends a request of the backend server; returns the status code and the body.
    fn call(&self, request: &str, body: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        let length = body.len();
        let text = format!(
            "{request} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(text.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        let (_, body) = answer.split_once("\r\n\r\n")?;
        Some((status, body.to_owned()))
    }

    /// Returns whether the node takes its backend server for leaving.
    fn is_leaving(&self) -> Option<bool> {
        let (_, body) = self.call("GET /v1/announce", "")?;
        serde_json::from_str::<Value>(&body).ok()?["leaving"].as_bool()
    }

    /// Reports a process of the backend server as ready.
    fn report(&self, interface: Interface, process: u32, sequence: u32) {
        let (request, body) = match interface {
            Interface::Own => (
                "PUT /v1/announce".to_owned(),
                json!({"service": "records", "address": "127.0.0.1:9000", "slots": 6,
                       "incarnation": process, "sequence": sequence}),
            ),
            Interface::Platform => (
                format!("PUT /instances/i-{process}"),
                json!({"address": "127.0.0.1:9000",
                       "info": {"service": "records", "max_concurrency": 6},
                       "status": {"state": "ready", "sequence": sequence}}),
            ),
        };
        let answer = self.call(&request, &body.to_string());
        assert!(
            matches!(answer, Some((200 | 409, _))),
            "{process}: {answer:?}"
        );
    }

    /// Sends leave requests until one is acknowledged.
    fn leave(&self, interface: Interface, process: u32) {
        let (request, body) = match interface {
            Interface::Own => (
                "DELETE /v1/announce".to_owned(),
                json!({ "incarnation": process }).to_string(),
            ),
            Interface::Platform => (format!("DELETE /instances/i-{process}"), String::new()),
        };
        wait_until("acknowledged", || {
            matches!(self.call(&request, &body), Some((200, _)))
        });
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let log = fs::read_to_string(self.settings.path().join("log"));
            eprintln!("{}:\n{}", self.address, log.unwrap_or_default());
        }
        // The process may have exited already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn start(folder: &TempDir) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.path().join("log"));
    Command::new(PROGRAM)
        .arg("--settings")
        .arg(folder.path().join("node.ini"))
        .stdin(Stdio::null())
        .stdout(log.unwrap())
        .spawn()
        .unwrap()
}

fn wait_until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not {what} in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Late reports make a backend server ready again whose node, or all nodes, were killed after its leave.
#[parameterized(
    own_interface = { Interface::Own, 10, false },
    platform_interface = { Interface::Platform, 20, false },
    all_killed_own = { Interface::Own, 30, true },
    all_killed_platform = { Interface::Platform, 40, true },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn late_reports(interface: Interface, number: u8, kills_all: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let platform = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, MemoryStore::new(), RateLimits::default()));
    tokio::task::block_in_place(|| {
        let mut other = Node::spawn(number, interface, platform);
        let mut node = Node::spawn(number + 1, interface, platform);
        let mut restart = |node: &mut Node| {
            if kills_all {
                other.kill();
                node.restart();
                other.restart();
            } else {
                node.restart();
            }
        };
        wait_until("listening", || node.is_leaving().is_some());
        node.report(interface, 1, 1);
        node.leave(interface, 1);
        restart(&mut node);
        node.report(interface, 1, 2);
        wait_until("told of the leave", || node.is_leaving() == Some(true));
        restart(&mut node);
        for sequence in 3..6 {
            node.report(interface, 1, sequence);
        }
        wait_until("told of the leave", || node.is_leaving() == Some(true));
        node.report(interface, 1, 6);
        assert_eq!(node.is_leaving(), Some(true));
        node.report(interface, 2, 1);
        assert_eq!(node.is_leaving(), Some(false), "a new process is ready");
    });
}
