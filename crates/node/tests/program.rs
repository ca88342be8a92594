//! The node program: its command line, signals, start and stop, and its reaction to malformed
//! peers.

use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;
use standin::platform::{RateLimits, serve};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use store::MemoryStore;
use tempfile::TempDir;
use tokio::net::TcpListener;
use wire::call::Frame;
use wire::{Hello, LinkKind, PROTOCOL_VERSION, codec};
use yare::parameterized;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bluebellpick-node");

/// Timeout for operations that take milliseconds, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

const CALLERS_PORT: u16 = 7001;
const BACKEND_PORT: u16 = 7002;
const NODES_PORT: u16 = 7003;
const OPERATORS_PORT: u16 = 7004;
const PLATFORM_PORT: u16 = 7100;

/// A node that runs as a child process on its own loopback address.
struct Node {
    child: Child,
    ip: String,
    folder: TempDir,
}

impl Node {
    /// Starts a node. `number` must be unique among the nodes of a test process.
    fn spawn(number: u8) -> Self {
        Self::spawn_with_limits(number, "")
    }

    /// Starts a node with additional settings in the section `[limits]`.
    fn spawn_with_limits(number: u8, limits: &str) -> Self {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip = format!("127.{}.{low}.{number}", 1 + high % 250);
        let folder = tempfile::tempdir().unwrap();
        let settings = folder.path().join("node.ini");
        let text = format!(
            "[node]\nname = records-1\nzone = kl-a\nregion = kl\n\
             [listen]\ncallers = {ip}:{CALLERS_PORT}\nbackend = {ip}:{BACKEND_PORT}\n\
             nodes = {ip}:{NODES_PORT}\noperators = {ip}:{OPERATORS_PORT}\n\
             [fleet]\nplatform = {ip}:{PLATFORM_PORT}\n\
             [limits]\ndrain_timeout = 1 min\nroutes_wait = 1 ms\n{limits}[operators]\ntoken = 0123456789abcdef\n"
        );
        fs::write(&settings, text).unwrap();
        let log = fs::File::create(folder.path().join("log")).unwrap();
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap();
        let node = Self { child, ip, folder };
        wait_until("listening", || {
            let ready = node.try_get(OPERATORS_PORT, "/readyz");
            ready.is_some_and(|answer| !answer.contains("listeners do not run yet"))
        });
        node
    }

    fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(self.folder.path().join("node.ini"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        wait_until("listening", || {
            let ready = self.try_get(OPERATORS_PORT, "/readyz");
            ready.is_some_and(|answer| !answer.contains("listeners do not run yet"))
        });
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    fn connect(&self, port: u16) -> TcpStream {
        let stream = TcpStream::connect(self.address(port)).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    fn try_get(&self, port: u16, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.address(port)).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        let text = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        answer.starts_with("HTTP/1.1").then_some(answer)
    }

    fn get(&self, port: u16, path: &str) -> String {
        self.try_get(port, path).unwrap()
    }

    /// Drains the node with `POST`, or ends its drain with `DELETE`; returns the answer.
    fn change_drain(&self, method: &str) -> String {
        let mut operator = self.connect(OPERATORS_PORT);
        let text = format!(
            "{method} /v1/drain HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
             authorization: Bearer 0123456789abcdef\r\ncontent-length: 0\r\n\r\n"
        );
        operator.write_all(text.as_bytes()).unwrap();
        let mut answer = String::new();
        operator.read_to_string(&mut answer).unwrap();
        answer
    }

    fn read_metric(&self, name: &str) -> f64 {
        let answer = self.get(OPERATORS_PORT, "/metrics");
        let line = answer.lines().find(|line| line.starts_with(name)).unwrap();
        line.rsplit(' ').next().unwrap().parse().unwrap()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    fn wait_for_exit_code(&mut self) -> Option<i32> {
        wait_until("ended", || self.child.try_wait().unwrap().is_some());
        self.child.wait().unwrap().code()
    }

    fn read_log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
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

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

fn find_example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[parameterized(tenaga = { "tenaga.ini" }, mallae = { "mallae.ini" })]
fn checks_examples(name: &str) {
    let output = run(&["--settings", &find_example(name), "--check"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

// A deployment is set up at a fraction of its size, and the platform writes the same fraction of
// each limit into the nodes' settings. Guards against nodes that don't start because a limit is not
// a whole number.
#[parameterized(
    fourteenth = { 9, "repeat_share = 0.2\nrepeat_extra = 30.714285714285715\nrepeat_window = 10s\nlink_mbps = 0.7142857142857143\nkill_timeout = 10s\n" },
    third = { 10, "repeat_share = 1e-05\nrepeat_extra = 0.3\nrepeat_window = 3333.3333333333335ms\nlink_mbps = 3.3333333333333335\nkill_timeout = 2.5s\n" },
)]
fn fractional_limits(number: u8, limits: &str) {
    let mut node = Node::spawn_with_limits(number, limits);
    node.signal(Signal::TERM);
    assert_eq!(node.wait_for_exit_code(), Some(0));
}

#[parameterized(
    wrong_file = { &["--settings", "../../Cargo.toml", "--check"], "Cargo.toml:1: [workspace]: unknown section" },
    no_file = { &["--settings", "no-such-file"], "no-such-file: can't be read" },
    no_settings = { &["--check"], "--settings" },
)]
fn wrong_settings(arguments: &[&str], message: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(errors.contains(message), "{errors}");
}

#[test]
fn address_in_use() {
    let node = Node::spawn(1);
    let settings = node.folder.path().join("node.ini").display().to_string();
    let output = run(&["--settings", &settings]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(
        errors.contains(&format!("{}:{CALLERS_PORT}", node.ip)),
        "{errors}"
    );
}

#[test]
fn graceful_stop() {
    let mut node = Node::spawn(2);
    node.signal(Signal::TERM);
    assert_eq!(node.wait_for_exit_code(), Some(0));
    let log = node.read_log();
    assert!(log.contains("stopped") && !log.contains("cut_off"), "{log}");
}

// Guards against a planned stop that makes calls fail for two seconds: the component that routes
// callers checks the readiness of the node once per second, and sends calls to a closed port until
// it notices that the node is leaving.
#[test]
fn handover() {
    let mut node = Node::spawn_with_limits(7, "handover = 1500 ms\n");
    node.signal(Signal::TERM);
    wait_until("not ready", || {
        node.get(OPERATORS_PORT, "/readyz").contains("is leaving")
    });
    let answer = node.get(CALLERS_PORT, "/jobs/1");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(
        !node.read_log().contains(" leaving"),
        "the node must serve during the handover"
    );
    assert_eq!(node.wait_for_exit_code(), Some(0));
}

/// An operator has drained a node. The node is killed and started again, and must not take calls
/// until the operator ends the drain. A drain that would not outlive the node is not acknowledged.
#[test]
fn drained_then_killed() {
    let mut node = Node::spawn(14);
    let is_leaving = |answer: &str| answer.contains("\"leaving\":true");
    let answer = node.change_drain("POST");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(is_leaving(&node.get(OPERATORS_PORT, "/v1/status")));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let platform = runtime.block_on(TcpListener::bind(node.address(PLATFORM_PORT)));
    runtime.spawn(serve(
        platform.unwrap(),
        MemoryStore::new(),
        RateLimits::default(),
    ));
    wait_until("drained", || {
        let answer = node.change_drain("POST");
        answer.starts_with("HTTP/1.1 200") && is_leaving(&answer)
    });
    for _ in 0..2 {
        node.restart();
        wait_until("drained", || {
            is_leaving(&node.get(OPERATORS_PORT, "/v1/status"))
        });
    }
    wait_until("back in service", || {
        let answer = node.change_drain("DELETE");
        answer.starts_with("HTTP/1.1 200") && !is_leaving(&answer)
    });
}

/// Opens the call link `number` of the process `origin`. Returns `None` if the node doesn't answer
/// its hello.
fn try_open_link(node: SocketAddr, origin: u64, number: u64) -> Option<Link> {
    let stream = TcpStream::connect(node).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut link = Link {
        stream,
        received: Vec::new(),
    };
    let hello = make_hello_of(origin, PROTOCOL_VERSION, LinkKind::Call);
    link.stream.write_all(&hello).ok()?;
    link.try_read::<Hello>()?;
    link.send(Frame::Open { link: number });
    Some(link)
}

/// A call link to a node.
struct Link {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Link {
    /// Sends a frame. The node may have closed the link.
    fn send(&mut self, frame: Frame) {
        let mut bytes = Vec::new();
        codec::encode(&wire::Frame::Call(frame), &mut bytes).unwrap();
        let _sent = self.stream.write_all(&bytes);
    }

    /// Reads the next frame; `None` if the link ends first.
    fn try_read<T>(&mut self) -> Option<T>
    where
        T: DeserializeOwned,
    {
        loop {
            if let Some((frame, used)) = codec::decode(&self.received).unwrap() {
                self.received.drain(..used);
                return Some(frame);
            }
            let mut chunk = [0; 512];
            let read = self.stream.read(&mut chunk).ok();
            let count = read.filter(|count| *count > 0)?;
            self.received.extend_from_slice(&chunk[..count]);
        }
    }

    /// Reads until a frame matches; returns whether one did before the link ended.
    fn read_until<F>(&mut self, matches: F) -> bool
    where
        F: Fn(&Frame) -> bool,
    {
        while let Some(wire::Frame::Call(frame)) = self.try_read() {
            if matches(&frame) {
                return true;
            }
        }
        false
    }
}

fn make_request(origin: u64, sequence: u64) -> wire::call::Request {
    wire::call::Request {
        id: call::Id { origin, sequence },
        service: "jobs".into(),
        method: "POST".into(),
        path: "/jobs/1".into(),
        headers: Vec::new(),
        timeout_ms: 5_000,
        target_ms: None,
        class: config::Class::Commit,
        parent_class: None,
        caller: "caller".into(),
        route: 1,
        length: 0,
        end: true,
        digest: call::Digest::default(),
        is_suspect: false,
        known_report: None,
        team: None,
    }
}

/// Calls over one new link after the other until the node answers no hello. Counts the links in
/// `opened`, and returns the number of calls that were not refused.
fn call_until_closed(node: SocketAddr, origin: u64, opened: &AtomicUsize) -> usize {
    let (mut links, mut lost) = (0, 0);
    while let Some(mut link) = try_open_link(node, origin, links + 1) {
        links += 1;
        opened.fetch_add(1, Ordering::Relaxed);
        link.send(Frame::Request(make_request(origin, links)));
        lost += usize::from(!link.read_until(|frame| matches!(frame, Frame::Refusal(_))));
    }
    lost
}

// Guards against calls that are lost over links that are opened while the node ends: a node that
// has answered a peer's hello must refuse the calls that the peer sends.
#[test]
fn links_opened_at_end() {
    let mut node = Node::spawn(11);
    let address = node.address(NODES_PORT);
    let mut first = try_open_link(address, 9, 1).unwrap();
    node.signal(Signal::TERM);
    assert!(first.read_until(|frame| *frame == Frame::Leaving(true)));
    let opened = AtomicUsize::new(0);
    let lost: Vec<_> = std::thread::scope(|scope| {
        let call = |origin| call_until_closed(address, origin, &opened);
        let peers = [10, 11, 12, 13].map(|origin| scope.spawn(move || call(origin)));
        // The node waits for the confirmation of the first link.
        wait_until("called", || opened.load(Ordering::Relaxed) >= peers.len());
        first.send(Frame::Pong);
        peers.map(|peer| peer.join().unwrap()).to_vec()
    });
    assert_eq!(node.wait_for_exit_code(), Some(0));
    assert_eq!(lost, [0; 4], "{}", node.read_log());
}

// An operator sends SIGHUP after an invalid change of the settings file. The
// node must neither exit nor drop its current settings, and must log the error
// with its line.
#[test]
fn settings_changed() {
    let node = Node::spawn(8);
    let file = node.folder.path().join("node.ini");
    let valid = fs::read_to_string(&file).unwrap();
    node.signal(Signal::HUP);
    wait_until("read again", || {
        node.read_log().contains("settings_unchanged")
    });
    fs::write(&file, valid.replace("zone =", "zoon =")).unwrap();
    node.signal(Signal::HUP);
    wait_until("refused", || node.read_log().contains("settings_refused"));
    assert!(node.read_log().contains("unknown key"));
    fs::write(&file, valid.replace("1 min", "2 min")).unwrap();
    node.signal(Signal::HUP);
    wait_until("noted", || {
        node.read_log().contains("settings_wait_for_restart")
    });
    assert!(node.get(OPERATORS_PORT, "/healthz").contains("alive"));
}

// A caller that never completes its request body keeps a node from stopping. An
// interrupt must end the node at once. A repeated SIGTERM must not: its calls
// would be lost.
#[test]
fn second_signal() {
    let mut node = Node::spawn(3);
    let mut caller = node.connect(CALLERS_PORT);
    caller
        .write_all(b"POST /jobs HTTP/1.1\r\nhost: node\r\ncontent-length: 9\r\n\r\nx")
        .unwrap();
    node.signal(Signal::TERM);
    wait_until("leaving", || node.read_log().contains("leaving"));
    node.signal(Signal::TERM);
    wait_until("told again", || {
        node.read_log().contains("already_stopping")
    });
    assert_eq!(node.child.try_wait().unwrap(), None);
    node.signal(Signal::INT);
    assert_eq!(node.wait_for_exit_code(), Some(1));
    assert!(node.read_log().contains("stopped_at_once"));
}

/// Returns pseudo-random bytes, the same each time, from a linear congruential generator.
fn make_noise(seed: u32, length: usize) -> Vec<u8> {
    let mut state = seed;
    let mut next = || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        state.to_le_bytes()[3]
    };
    (0..length).map(|_| next()).collect()
}

fn make_hello(protocol: u16, link: LinkKind) -> Vec<u8> {
    make_hello_of(9, protocol, link)
}

fn make_hello_of(incarnation: u64, protocol: u16, link: LinkKind) -> Vec<u8> {
    let hello = Hello {
        protocol,
        node: "records-2".into(),
        incarnation,
        zone: "kl-b".into(),
        link,
    };
    let mut bytes = Vec::new();
    codec::encode(&hello, &mut bytes).unwrap();
    bytes
}

/// Returns malformed inputs: a length prefix of 4 GB, noise, half a hello, the hello of a later
/// protocol version, and valid hellos that are followed by invalid frames.
fn make_malformed_input() -> Vec<Vec<u8>> {
    let huge = u32::MAX.to_le_bytes().to_vec();
    let unknown = [2, 0, 0, 0, 1, 120].to_vec();
    let hello = make_hello(PROTOCOL_VERSION, LinkKind::Call);
    let half = hello[..hello.len() / 2].to_vec();
    let links = [LinkKind::Call, LinkKind::Control].map(|link| make_hello(PROTOCOL_VERSION, link));
    let mut inputs = vec![
        make_noise(1, 2_000),
        make_noise(2, 100_000),
        half,
        make_hello(PROTOCOL_VERSION + 1, LinkKind::Call),
        huge.clone(),
    ];
    for link in links {
        for rest in [&huge, &unknown, &make_noise(3, 5_000)] {
            inputs.push([&*link, rest].concat());
        }
    }
    inputs
}

/// Sends bytes, shuts down the sending side and waits until the node closes the connection.
fn send_and_wait(mut stream: TcpStream, bytes: &[u8]) {
    // The node may close the connection before it has read all bytes.
    let _sent = stream.write_all(bytes);
    let _ended = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    if let Err(error) = stream.read_to_end(&mut answer) {
        let kind = error.kind();
        assert_eq!(kind, std::io::ErrorKind::ConnectionReset, "{error}");
    }
}

#[test]
fn malformed_peers() {
    let mut node = Node::spawn(4);
    for bytes in make_malformed_input() {
        for port in [CALLERS_PORT, BACKEND_PORT, NODES_PORT, OPERATORS_PORT] {
            send_and_wait(node.connect(port), &bytes);
        }
        assert!(
            node.get(CALLERS_PORT, "/nowhere")
                .starts_with("HTTP/1.1 503")
        );
    }
    for listener in ["callers", "backend", "nodes", "operators"] {
        let name = format!("bluebellpick_bad_requests_total{{listener=\"{listener}\"}}");
        assert!(node.read_metric(&name) > 0.0, "{listener}");
    }
    // A valid peer must still receive a hello.
    let mut peer = node.connect(NODES_PORT);
    peer.write_all(&make_hello(PROTOCOL_VERSION, LinkKind::Call))
        .unwrap();
    let mut prefix = [0; codec::PREFIX_LEN];
    peer.read_exact(&mut prefix).unwrap();
    drop(peer);
    node.signal(Signal::TERM);
    assert_eq!(node.wait_for_exit_code(), Some(0));
    let log = node.read_log();
    assert!(!log.contains("panicked"), "{log}");
}

// Guards against slow clients that block an idle node: they hold all of the
// callers' connections and send a header byte on each now and then, but never
// the end of the headers.
#[test]
fn endless_headers() {
    let node = Node::spawn_with_limits(6, "connections = 4\nhead_timeout = 200 ms\n");
    let send_slowly = |mut stream: TcpStream| {
        stream
            .set_read_timeout(Some(Duration::from_millis(10)))
            .unwrap();
        let mut answer = [0; 512];
        // Sends until the node closes the connection.
        while stream.write_all(b"x").is_ok() && !matches!(stream.read(&mut answer), Ok(0)) {}
    };
    std::thread::scope(|scope| {
        for _ in 0..4 {
            let mut stream = node.connect(CALLERS_PORT);
            stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
            scope.spawn(move || send_slowly(stream));
        }
        assert!(
            node.get(CALLERS_PORT, "/nowhere")
                .starts_with("HTTP/1.1 503")
        );
    });
}

/// Number of rounds of 1,200 bad connections. A leak of 1 kB per connection would come to 9.6 MB.
const ROUNDS: u32 = 8;

// Guards against memory that leaks with each malformed connection: a port
// scanner that runs for a night would get the node killed for its memory use.
#[test]
fn no_memory_growth() {
    let node = Node::spawn(5);
    let inputs = make_malformed_input();
    let run_round = || {
        for port in [CALLERS_PORT, BACKEND_PORT, NODES_PORT, OPERATORS_PORT] {
            for bytes in inputs.iter().cycle().take(300) {
                send_and_wait(node.connect(port), bytes);
            }
        }
    };
    // The allocator requests and releases memory in steps of 2 MB, so a leak only shows after many
    // connections.
    run_round();
    let before = node.read_metric("bluebellpick_resident_memory_bytes");
    for _ in 0..ROUNDS {
        run_round();
    }
    let grown = node.read_metric("bluebellpick_resident_memory_bytes") - before;
    let connections = f64::from(ROUNDS) * 1_200.0;
    assert!(grown < connections * 1_000.0, "grown by {grown} bytes");
}

// The platform rewrites a VM's settings while the VM's node starts, and sends
// SIGHUP. Guards against a node that has no handler for the signal yet: the
// default action ended the process, and callers on the VM found a closed port.
#[test]
fn early_hangup() {
    let folder = tempfile::tempdir().unwrap();
    let settings = folder.path().join("node.ini");
    // Opening a FIFO blocks until somebody writes to it, which stops the process at its start.
    let made = Command::new("mkfifo").arg(&settings).status().unwrap();
    assert!(made.success());
    let mut child = Command::new(PROGRAM)
        .args(["--check", "--settings"])
        .arg(&settings)
        .spawn()
        .unwrap();
    let stat = format!("/proc/{}/stat", child.id());
    let is_asleep = || fs::read_to_string(&stat).is_ok_and(|text| text.contains(") S "));
    wait_until("blocked on its settings", || {
        let was_asleep = is_asleep();
        std::thread::sleep(Duration::from_millis(50));
        was_asleep && is_asleep()
    });
    let pid = Pid::from_raw(child.id().cast_signed()).unwrap();
    kill_process(pid, Signal::HUP).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(
        child.try_wait().unwrap(),
        None,
        "the process must survive SIGHUP"
    );
    fs::write(&settings, include_str!("../../../examples/tenaga.ini")).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
