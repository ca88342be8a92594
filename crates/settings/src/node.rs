//! Settings of `bluebellpick-node`.

pub use crate::value::{
    ApiKind, Distribution, LinkRate, NestedCalls, Quota, ServerLoad, Share, Token,
};

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
        /// Service of the backend server on this VM; other backend servers receive it as the origin of its calls. Required with `interface = platform`.
        [node] service: Option<SmolStr> = "";
        /// Where callers connect.
        [listen] callers: SocketAddr;
        /// Where the backend server on the same VM announces itself, on loopback or the VM's own address.
        [listen] backend: SocketAddr;
        /// Where other nodes connect; they are told this address, so it can't be 0.0.0.0.
        [listen] nodes: SocketAddr;
        /// Address that other nodes are told to connect to, if connections to it are forwarded to `nodes`; empty for `nodes` itself.
        [listen] advertised: Option<SocketAddr> = "";
        /// Where operators connect.
        [listen] operators: SocketAddr;
        /// Address of the platform's object API.
        [fleet] platform: SocketAddr;
        /// Other nodes to ask when the platform does not answer.
        [fleet] seeds: Vec<SocketAddr> = "";
        /// How versions and endpoints reach the node: `tree` relays patches from node to node in each zone. Two baselines for measurements: `whole` relays full configurations in place of patches, and with `watch` every node watches the platform.
        [fleet] distribution: Distribution = "tree";
        /// Interface to callers, backend servers and configurations (headers, announcements, stored objects): the product's `own`, or that of the `platform`.
        [fleet] interface: ApiKind = "own";
        /// Longest wait for calls in flight at a graceful stop.
        [limits] drain_timeout: Duration = "30 s";
        /// How long after SIGTERM the node keeps serving while it reports that it is not ready, so that a load balancer sends callers elsewhere before the stop begins; at most half of the time in which the node has to stop. Empty for no such wait.
        [limits] handover: Option<Duration> = "";
        /// Time after SIGTERM at which the supervisor of the process kills it; the node ends before that. Empty if nothing kills it.
        [limits] kill_timeout: Option<Duration> = "";
        /// Maximum number of callers' connections, some 20 kB each when idle; further ones wait in the system's accept queue.
        [limits] connections: u16 = "4096";
        /// Calls of one connection that may start before those ahead of them have been answered, if they may be repeated and have no body. Empty for one call after the other.
        [limits] pipelined_calls: Option<u16> = "";
        /// The same for all connections of the process; each such call holds at most some 120 kB. Empty for one call after the other.
        [limits] pipelined_calls_total: Option<u16> = "";
        /// Longest wait for the head of a caller's request, against callers that never end theirs.
        [limits] head_timeout: Duration = "30 s";
        /// How long a new process accepts no connections of callers while it has no routes yet, so that callers go to other nodes; after that it accepts them and tells callers to come back later.
        [limits] routes_wait: Duration = "5 s";
        /// Retries by all nodes together that may reach a service in `repeat_window`, as a share of callers' requests for it; empty for no limit on the fleet.
        [limits] repeat_share: Option<Share> = "";
        /// Retries in addition to `repeat_share`, by all nodes together.
        [limits] repeat_extra: Quota = "50";
        /// Least number of nodes among which `repeat_extra` is divided. Needed only in a fleet of more nodes than `repeat_extra`, where a node that starts in a cut would take them for fewer.
        [limits] repeat_nodes: u32 = "1";
        /// Time window in which the retries of all nodes are counted.
        [limits] repeat_window: Duration = "10 s";
        /// Share of a service's calls that may reach a version under trial which turns out to be bad; empty for a node that follows no roll-outs.
        [limits] canary_share: Option<Share> = "";
        /// Time after which a key that operators have taken away no longer works on any node, also on one that is cut off. Empty for no such bound.
        [limits] revoke: Option<Duration> = "";
        /// Time window in which the calls of a team are counted: the team's rate times the window, and its burst, may run in any window. Empty for 5 s.
        [limits] team_window: Option<Duration> = "";
        /// Share of a team's limit by which it may be exceeded in a window, such as `0.1`; empty for none.
        [limits] team_overage: Option<Share> = "";
        /// Calls in a window by which a team may exceed its limit besides; empty for none.
        [limits] team_slack: Option<Quota> = "";
        /// Whether predictions follow the load that backend servers report in their responses: `use` or `ignore`.
        [limits] server_load: ServerLoad = "ignore";
        /// Capacity of the VM's network link, in Mbit/s; request bodies are received no faster, so that small calls are not held up. Empty for an estimate from observed traffic.
        [limits] link_mbps: Option<LinkRate> = "";
        /// Where nested calls and direct calls wait for the backend server: `weighted` gives each kind its share of the slots, `first` starts nested calls while the direct calls can still wait.
        [limits] nested_calls: NestedCalls = "weighted";
        /// Memory for the request bodies of calls that wait for a slot, in kilobytes; no further bytes are requested from the sending nodes.
        [limits] body_kb: u32 = "8192";
        /// Threads that serve calls, in addition to the one for configuration distribution; one is enough for some thousand calls a second.
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
    /// When the file can't be read or has errors, which are all listed, sorted by line.
    pub fn open<P>(path: P) -> Result<Self, Error>
    where
        P: AsRef<Path>,
    {
        let (text, file) = read_file(path.as_ref())?;
        Self::parse(&text, &file)
    }

    /// Parses settings from `text`. `file` is the name of the text in error messages.
    ///
    /// # Errors
    ///
    /// When the text has errors, which are all listed, sorted by line.
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let mut document = Document::new(text, Self::KEYS);
        let settings = Self::read(&mut document);
        if let Some(settings) = &settings {
            settings.check_listeners_and_service(&mut document);
            settings.check_threads(&mut document);
        }
        document.finish(settings, file)
    }

    /// Returns the address that other nodes are told to connect to.
    #[must_use]
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.nodes)
    }

    /// Returns the longest wait for calls in flight at a graceful stop: `drain_timeout`, or less if
    /// the wait would not end before `kill_timeout`.
    #[must_use]
    pub fn stop_limit(&self) -> Duration {
        let before_kill = self
            .kill_timeout
            .map(|kill| kill.saturating_sub(STOP_MARGIN.min(kill / STOP_MARGIN_DIVISOR)));
        before_kill.map_or(self.drain_timeout, |limit| limit.min(self.drain_timeout))
    }

    /// Returns the addresses of the four listeners, each with the key that sets it.
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

    fn check_listeners_and_service(&self, document: &mut Document) {
        let listeners = self.listeners();
        for (index, (name, address)) in listeners.iter().enumerate() {
            for (other, taken) in &listeners[..index] {
                if overlaps(*address, *taken) {
                    let line = document.line_of("listen", name);
                    let message = format!(
                        "[listen] {name}: {address} is also the address of {other}; give each listener its own port"
                    );
                    document.add_diagnostic(line, message);
                }
            }
        }
        if self.interface == ApiKind::Platform && self.service.is_none() {
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
        let (key, address) = match self.advertised {
            Some(advertised) => ("advertised", advertised),
            None => ("nodes", self.nodes),
        };
        if address.ip().is_unspecified() {
            let line = document.line_of("listen", key);
            let message = format!(
                "[listen] {key}: other nodes can't connect to {address}; want the VM's own IP address"
            );
            document.add_diagnostic(line, message);
        }
    }
}

/// Maximum time reserved before `kill_timeout` to send the last frames, because a process on a VM
/// with a fifth of a core is scheduled late.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// The time reserved is `kill_timeout` divided by this number, if that is less.
const STOP_MARGIN_DIVISOR: u32 = 12;

/// Maximum number of threads of a node: more than the number of cores of any VM that nodes are
/// meant for.
const MAX_THREADS: u16 = 64;

/// Returns whether two listeners would receive each other's connections.
fn overlaps(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && same_ip
}
