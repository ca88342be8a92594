//! Settings of `bluebellpick-node`.

pub use crate::value::{Distribution, Interface, LinkRate, Quota, Share, Token};

use crate::document::{Document, read_file};
use crate::error::Error;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

crate::table! {
    /// Settings of a node.
    pub struct Settings {
        /// Name of the node, unique in the fleet.
        [node] name: SmolStr;
        /// Availability zone of the VM.
        [node] zone: SmolStr;
        /// Region of the availability zone.
        [node] region: SmolStr;
        /// Service of the backend server on this VM, which other backend servers are told as the origin of its calls; needed with `interface = platform`.
        [node] service: Option<SmolStr> = "";
        /// Where callers connect.
        [listen] callers: SocketAddr;
        /// Where the backend server on the same VM announces itself, on loopback or the VM's own address.
        [listen] backend: SocketAddr;
        /// Where other nodes connect; they are told this address, so it can't be 0.0.0.0.
        [listen] nodes: SocketAddr;
        /// Where other nodes are told to connect, when something forwards it to `nodes`; empty for `nodes` itself.
        [listen] advertised: Option<SocketAddr> = "";
        /// Where operators connect.
        [listen] operators: SocketAddr;
        /// Address of the platform's object API.
        [fleet] platform: SocketAddr;
        /// Other nodes to ask when the platform does not answer.
        [fleet] seeds: Vec<SocketAddr> = "";
        /// How versions and endpoints come: `tree` through the zone's relays; the baselines are `whole`, which sends whole configurations, and `watch`, from the platform to each node.
        [fleet] distribution: Distribution = "tree";
        /// Whose words callers, backend servers and configurations are in: the product's `own`, or those of the `platform`.
        [fleet] interface: Interface = "own";
        /// Longest wait for calls in flight at a graceful stop.
        [limits] drain_timeout: Duration = "30 s";
        /// How long after SIGTERM the node works on as before while it tells that it is not ready, so that whoever watches that sends callers elsewhere first; at most half of the time to stop in. Empty for not at all.
        [limits] handover: Option<Duration> = "";
        /// Time after SIGTERM at which the process is killed by whoever runs it; the node has ended before. Empty when nobody does.
        [limits] kill_timeout: Option<Duration> = "";
        /// Connections of callers at once, some 20 kB each at rest; more wait in the system's queue.
        [limits] connections: u16 = "4096";
        /// Longest wait for the head of a caller's request, against callers that never end theirs.
        [limits] head_timeout: Duration = "30 s";
        /// How long a new process takes no connections of callers while it has no routes yet, so that they go to other nodes; then it tells them to come back.
        [limits] routes_wait: Duration = "5 s";
        /// Repeats of all nodes together that may reach a service in `repeat_window`, as a share of callers' requests for it; empty for no bound on the fleet.
        [limits] repeat_share: Option<Share> = "";
        /// Repeats on top of `repeat_share`, of all nodes together.
        [limits] repeat_extra: Quota = "50";
        /// Span in which the repeats of all nodes are counted.
        [limits] repeat_window: Duration = "10 s";
        /// Share of a service's calls that may reach a version under trial which turns out to be bad; empty for a node that follows no roll-outs.
        [limits] canary_share: Option<Share> = "";
        /// What the VM's link carries, in Mbit/s; bodies of requests come in no faster, so that small calls find it free. Empty for what is seen of it.
        [limits] link_mbps: Option<LinkRate> = "";
        /// Bytes of requests' bodies that are held at once for calls which wait for a slot, in kilobytes; further ones are not asked for.
        [limits] body_kb: u32 = "8192";
        /// Threads that serve calls, beside the one that distributes; one is enough for some thousand calls a second.
        [limits] threads: u16 = "1";
        /// Token that operators' writes must carry.
        [operators] token: Token, secret;
    }
}

impl Settings {
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Lists everything that is wrong with the file, by line.
    pub fn open<P>(path: P) -> Result<Self, Error>
    where
        P: AsRef<Path>,
    {
        let (text, file) = read_file(path.as_ref())?;
        Self::parse(&text, &file)
    }

    /// Reads settings from `text`; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Lists everything that is wrong with the text, by line.
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let mut document = Document::new(text, Self::KEYS);
        let settings = Self::read(&mut document);
        if let Some(settings) = &settings {
            settings.check_listeners(&mut document);
            settings.check_threads(&mut document);
        }
        document.finish(settings, file)
    }

    /// Gives the address that other nodes are told to connect to.
    #[must_use]
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.nodes)
    }

    /// Gives the longest wait for calls in flight at a graceful stop, which ends before a kill would.
    #[must_use]
    pub fn stop_limit(&self) -> Duration {
        let before = self
            .kill_timeout
            .map(|kill| kill.saturating_sub(STOP_MARGIN).max(kill / 2));
        before.map_or(self.drain_timeout, |before| before.min(self.drain_timeout))
    }

    /// Gives the four listeners by the names of their keys.
    #[must_use]
    pub fn listeners(&self) -> [(&'static str, SocketAddr); 4] {
        [
            ("callers", self.callers),
            ("backend", self.backend),
            ("nodes", self.nodes),
            ("operators", self.operators),
        ]
    }

    fn check_threads(&self, document: &mut Document) {
        if self.threads > MAX_THREADS {
            let line = document.line_of("limits", "threads");
            let message = format!(
                "[limits] threads: {} is more than {MAX_THREADS}; want about half the VM's cores",
                self.threads
            );
            document.add_diagnostic(line, message);
        }
    }

    fn check_listeners(&self, document: &mut Document) {
        let listeners = self.listeners();
        for (index, (name, address)) in listeners.iter().enumerate() {
            for (other, taken) in &listeners[..index] {
                if is_shared(*address, *taken) {
                    let line = document.line_of("listen", name);
                    let message = format!(
                        "[listen] {name}: {address} is also the address of {other}; give each listener its own port"
                    );
                    document.add_diagnostic(line, message);
                }
            }
        }
        if self.interface == Interface::Platform && self.service.is_none() {
            let line = document.line_of("node", "service");
            let message = "[node] service: missing, and interface = platform needs it".to_owned();
            document.add_diagnostic(line, message);
        }
        if !self.backend.ip().is_loopback() && self.backend.ip() != self.nodes.ip() {
            let line = document.line_of("listen", "backend");
            let message = format!(
                "[listen] backend: {} is not on loopback, nor on the VM's own address of nodes; want one such as 127.0.0.1:7002",
                self.backend
            );
            document.add_diagnostic(line, message);
        }
        let (key, told) = match self.advertised {
            Some(advertised) => ("advertised", advertised),
            None => ("nodes", self.nodes),
        };
        if told.ip().is_unspecified() {
            let line = document.line_of("listen", key);
            let message = format!(
                "[listen] {key}: other nodes can't connect to {told}; want the VM's own IP address"
            );
            document.add_diagnostic(line, message);
        }
    }
}

/// Time kept back before a kill: the last frames must be out, and a VM with a
/// fifth of a core wakes late.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Most threads of a node: more than the cores of any VM that it is meant for.
const MAX_THREADS: u16 = 64;

/// Tells whether two listeners would take each other's connections.
fn is_shared(one: SocketAddr, other: SocketAddr) -> bool {
    let overlap =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && overlap
}
