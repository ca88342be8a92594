//! Frames of calls between an outbound and an inbound proxy.

use bytes::Bytes;
pub use call::Header;
use call::{Digest, Id, Verdict};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies this attempt of the call.
    pub id: Id,
    /// Service that the call is for.
    pub service: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// End-to-end headers, without hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Time left until the deadline when the request is sent, in milliseconds.
    pub timeout_ms: u32,
    /// Time left until the latency target when the request is sent, in milliseconds; an answer by
    /// then is worth most.
    pub target_ms: Option<u32>,
    /// Class of the call: what it is worth.
    pub class: config::Class,
    /// For a nested call: the class of the call that runs on the sender's own backend server and
    /// waits for this call.
    #[serde(rename = "nested")]
    pub parent_class: Option<config::Class>,
    /// The caller on whose behalf the call runs, for fair sharing of capacity.
    pub caller: SmolStr,
    /// Hash of the call's route and method; calls with the same hash take about equally long.
    pub route: u64,
    /// Number of bytes of the body that follow, as far as the sender knows: the length of the whole
    /// body, or of the part that the sender has read so far.
    pub length: u64,
    /// Whether no body follows.
    pub end: bool,
    /// Identifies the request in all its repeats, through whichever node they enter the mesh.
    pub digest: Digest,
    /// Whether a backend server has ended while it ran this request, as far as the sender knows.
    pub is_suspect: bool,
    /// What the receiver's backend server last reported to the sender, if that restricts its calls.
    pub known_report: Option<ServerReport>,
    /// Hash of the name of the team on whose behalf the call runs, if it has one.
    pub team: Option<u64>,
}

/// What a backend server has reported about itself in its responses, if that restricts its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Identifies the backend server's process, as in its endpoint.
    pub process: u64,
    /// Rate that it takes from all nodes together, in thousandths of a request per second; `None`
    /// if there is no limit.
    pub rate_limit: Option<u32>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The attempt that is answered.
    pub id: Id,
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers, without hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Number of calls that run or wait at the inbound proxy, in percent of the proxy's slots.
    pub load_percent: u16,
    /// Time that the call waited for a slot at the inbound proxy, in milliseconds.
    #[serde(rename = "waited_ms")]
    pub queue_wait_ms: u32,
    /// Whether no body follows.
    pub end: bool,
    /// What the backend server reports about itself, if that restricts its calls.
    pub report: Option<ServerReport>,
    /// How long calls take there now, in percent of their usual duration, if the backend server
    /// reports it. It approaches 100 with the age of the report, also at the receiver.
    pub pace_percent: Option<u16>,
}

/// Why an attempt got no answer from the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The node is leaving.
    Leaving,
    /// The queue is full, or the wait would exceed the deadline.
    Full,
    /// The backend server received the call and refused it because of its own load.
    Shed,
    /// The deadline passed.
    Deadline,
    /// The backend server can't be reached, or closed the connection before the end of its answer.
    Backend,
    /// No connection to the node could be opened.
    Unreached,
    /// The node has no backend server of that service.
    NoService,
    /// The caller no longer waits for the answer.
    Cancelled,
    /// The node has no configuration yet.
    NoRoutes,
    /// The call's idempotency key could not be reserved.
    Reservation,
    /// The backend server ended while it ran the call.
    Crashed,
    /// The request crashes backend servers and is held in quarantine.
    Held,
    /// The node can't tell whether the key of the call is in force.
    Unconfirmed,
    /// The team has used up its limit.
    OverLimit,
    /// The call can't start in time at the rate that the backend server has named.
    RateLimit,
    /// The team of the call has used more than its share of the backend server.
    TeamShare,
    /// What the backend server sent is no valid answer.
    Malformed,
}

/// The end of an attempt without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The attempt that has ended.
    pub id: Id,
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// Why there is no complete answer.
    pub reason: Reason,
    /// Time after which the call may be retried, in milliseconds.
    pub retry_after_ms: u32,
    /// What the backend server has reported about itself, if that is why the call is refused.
    pub report: Option<ServerReport>,
}

/// Message about a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Outbound to inbound: the head of a request.
    Request(Request),
    /// Both directions: a chunk of a body.
    Body {
        /// The attempt that this frame is about.
        id: Id,
        /// Content of this chunk.
        bytes: Bytes,
        /// Whether this is the last chunk.
        end: bool,
    },
    /// Inbound to outbound: the head of an answer.
    Answer(Answer),
    /// Inbound to outbound: the attempt ends without an answer, or in the middle of the answer.
    Refusal(Refusal),
    /// Outbound to inbound: the answer is no longer needed.
    Cancel(Id),
    /// Both directions: the receiver of a body grants credit for more bytes.
    Credit {
        /// The attempt that this frame is about.
        id: Id,
        /// Number of further bytes that may be sent.
        bytes: u32,
    },
    /// Outbound to inbound, first on a link: invalidates whatever still arrives over the sender's
    /// lower-numbered links.
    Open {
        /// Number of this link, which is higher than the numbers of all earlier links from the
        /// sending process to the same peer.
        link: u64,
    },
    /// Outbound to inbound: queries the outcome of an attempt that was sent over an earlier link.
    #[serde(rename = "Ask")]
    QueryOutcome {
        /// The attempt that this frame is about.
        id: Id,
        /// Number of the link over which the attempt was sent.
        #[serde(rename = "link")]
        previous_link: u64,
        /// Whether the head of the answer has been received.
        #[serde(rename = "head")]
        head_received: bool,
        /// Bytes of the answer's body that have been received.
        received: u64,
        /// Number of further bytes of the answer's body that may be sent.
        #[serde(rename = "room")]
        window: u32,
    },
    /// Outbound to inbound: sequence numbers of attempts of the sending process whose outcome will
    /// not be queried any more.
    Done(Vec<u64>),
    /// Both directions: the receiver replies with [`Frame::Pong`].
    Ping,
    /// Both directions: the reply to [`Frame::Ping`].
    Pong,
    /// Inbound to outbound: whether the node refuses new calls from now on.
    Leaving(bool),
    /// Outbound to inbound: asks what the inbound proxy expects of a call that has not been sent
    /// yet.
    #[serde(rename = "Look")]
    LoadProbe(LoadProbe),
    /// Inbound to outbound: the reply to [`Frame::LoadProbe`].
    #[serde(rename = "Outlook")]
    Estimate(Estimate),
    /// Outbound to inbound: requests tokens of a team's limit from the team's owner.
    TokenRequest(TokenRequest),
    /// Inbound to outbound: the reply to [`Frame::TokenRequest`].
    TokenGrant(TokenGrant),
}

/// Request for tokens of a team's limit, one for each call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Identifies the request on its link.
    pub serial: u64,
    /// Name of the team.
    pub team: SmolStr,
    /// Number of calls that wait.
    pub needed: u32,
    /// Number of tokens to keep in advance.
    pub advance: u32,
    /// The process that last lent tokens to the sender, and the time since then in milliseconds.
    pub lender: Option<(u64, u32)>,
    /// From one lender to another: what is known to have been lent. The reply has the same of the
    /// receiver.
    pub reports: Option<Vec<LenderReport>>,
    /// Number of that process's tokens that are given back, and the time since the first of them
    /// was lent, in milliseconds.
    pub returned: (u32, u32),
}

/// What one process has lent of a team's tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LenderReport {
    /// Identifies the process.
    pub lender: u64,
    /// Number of tokens lent since the process started.
    pub total: u64,
    /// Tokens lent in each slot of the window, the newest first.
    pub slots: Vec<u32>,
}

/// Reply to a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Serial of the request.
    pub serial: u64,
    /// Number of tokens granted.
    pub tokens: u32,
    /// Time after which to ask again, in milliseconds, if fewer tokens than needed are granted.
    pub wait_ms: u32,
    /// Identifies the process that lends.
    pub lender: u64,
    /// Reply to reports.
    pub reports: Vec<LenderReport>,
    /// Why fewer tokens than needed are granted.
    pub shortage: Shortage,
}

/// Why a lender grants fewer tokens than needed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shortage {
    /// The team is over its limit.
    #[default]
    Window,
    /// The limit is spread over the window.
    Spread,
    /// The lender has lent its part of the limit.
    Share,
    /// The lender can't lend.
    Unavailable,
}

/// Load probe: a query about a call that has not been sent yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Look")]
pub struct LoadProbe {
    /// Identifies the probe on its link.
    pub serial: u64,
    /// Service that the call is for.
    pub service: SmolStr,
    /// Hash of the call's route and method.
    pub route: u64,
    /// Class of the call: what it is worth.
    pub class: config::Class,
    /// For a nested call: the class of the call that waits for it on the sender's own backend
    /// server.
    #[serde(rename = "nested")]
    pub parent_class: Option<config::Class>,
    /// Time left until the deadline, in milliseconds.
    pub timeout_ms: u32,
    /// Time left until the latency target, in milliseconds; an answer by then is worth most.
    pub target_ms: Option<u32>,
    /// What the receiver's backend server last reported to the sender, if that restricts its calls.
    pub known_report: Option<ServerReport>,
    /// Hash of the name of the team on whose behalf the call would run, if it has one.
    pub team: Option<u64>,
}

/// Reply to a load probe: what the inbound proxy expects of the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Outlook")]
pub struct Estimate {
    /// Serial of the probe.
    pub serial: u64,
    /// Whether the call would be admitted.
    #[serde(rename = "takes")]
    pub accepts: bool,
    /// Time that the call would wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Time that calls with the same route and method run, in milliseconds; `None` if none has run.
    pub run_ms: Option<u32>,
    /// Number of calls that run or wait at the inbound proxy, in percent of the proxy's slots.
    pub load_percent: u16,
    /// What the backend server has reported about itself, if that restricts its calls.
    pub report: Option<ServerReport>,
    /// How long calls take there now, as in [`Answer::pace_percent`]; `wait_ms` and `run_ms` take it
    /// into account.
    pub pace_percent: Option<u16>,
}

/// Maximum size of a request body, in bytes, that is sent right after the head. Nothing of a longer
/// body is sent before the first [`Frame::Credit`].
///
/// If a call with a longer body is refused, only its head has been sent in vain. Forms and searches
/// are a few hundred bytes; waiting for credit would only cost them another round trip.
pub const MAX_EAGER_BODY_BYTES: usize = 4 << 10;

/// Number of bytes of an answer's body that may be sent before the first [`Frame::Credit`].
///
/// The round trip within a region is about 1 ms, so a body still moves at 64 MB per second, and
/// a thousand answers that nobody reads hold 64 MB at most.
pub const INITIAL_WINDOW: usize = 64 << 10;
