//! Frames of calls between an outbound and an inbound proxy.

use bytes::Bytes;
pub use call::Header;
use call::{Digest, Id, Verdict};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Names this try of the call.
    pub id: Id,
    /// Service that the call is for.
    pub service: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Headers, without those of one connection only.
    pub headers: Vec<Header>,
    /// Time left when sent, in milliseconds.
    pub timeout_ms: u32,
    /// Time left when sent until which an answer is worth most, in milliseconds.
    pub target_ms: Option<u32>,
    /// What the call is worth.
    pub class: config::Class,
    /// What the call is worth that runs on the sender's own backend server and waits for this one.
    pub nested: Option<config::Class>,
    /// Caller on whose behalf it runs, for fair shares.
    pub caller: SmolStr,
    /// Hash of its route and method: calls of one take about as long.
    pub route: u64,
    /// Bytes of body that follow, as far as its sender knows: all, or those it has read.
    pub length: u64,
    /// Whether no body follows.
    pub end: bool,
    /// Names the request through all its repeats, by whatever node it enters.
    pub digest: Digest,
    /// Whether a backend server ended under it before, as far as the sender knows.
    pub is_suspect: bool,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The try that is answered.
    pub id: Id,
    /// HTTP status.
    pub status: u16,
    /// Headers, without those of one connection only.
    pub headers: Vec<Header>,
    /// Calls that run and wait at the inbound proxy, in per cent of its slots.
    pub load_percent: u16,
    /// How long the call waited there for a slot, in milliseconds.
    #[serde(rename = "waited_ms")]
    pub queue_wait_ms: u32,
    /// Whether no body follows.
    pub end: bool,
}

/// Why an inbound proxy gave no answer of the backend server's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It is leaving.
    Leaving,
    /// It is full, or the wait would not fit the deadline.
    Full,
    /// The backend server itself refused it for load, when it had reached it.
    Shed,
    /// The deadline passed.
    Deadline,
    /// The backend server can't be reached, or broke off.
    Backend,
    /// No connection to the node came about.
    Unreached,
    /// It has no backend server of that service.
    NoService,
    /// The caller went away.
    Cancelled,
    /// The node has no configuration yet.
    NoRoutes,
    /// Its idempotency key could not be reserved.
    Reservation,
    /// The backend server ended while it ran the call.
    Crashed,
    /// The request crashes backend servers, and is held.
    Held,
}

/// A try that ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The try that is refused.
    pub id: Id,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u32,
}

/// Part of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Outbound to inbound: a request starts.
    Request(Request),
    /// Either way: a part of a body; `end` ends it.
    Body {
        /// The try.
        id: Id,
        /// The bytes.
        bytes: Bytes,
        /// Whether it was the last part.
        end: bool,
    },
    /// Inbound to outbound: an answer starts.
    Answer(Answer),
    /// Inbound to outbound: there will be no (more) answer.
    Refusal(Refusal),
    /// Outbound to inbound: nobody waits for the answer any more.
    Cancel(Id),
    /// Either way: the receiver of a body has room for that many more bytes.
    Credit {
        /// The try.
        id: Id,
        /// Further bytes that may be sent.
        bytes: u32,
    },
    /// Outbound to inbound, first on a link: voids whatever the sender's lower-numbered links still bring.
    Open {
        /// Number of this link; each of one incarnation's links to a peer has a higher one.
        link: u64,
    },
    /// Outbound to inbound: what became of a try that was sent over an earlier link?
    #[serde(rename = "Ask")]
    QueryOutcome {
        /// The try.
        id: Id,
        /// The link that it was sent over.
        #[serde(rename = "link")]
        previous_link: u64,
        /// Whether the head of the answer has come.
        #[serde(rename = "head")]
        head_received: bool,
        /// Bytes of the answer's body that have come.
        received: u64,
        /// Further bytes of it that may be sent.
        #[serde(rename = "room")]
        window: u32,
    },
    /// Outbound to inbound: tries of this link's process that are over, and will not be asked about.
    Done(Vec<u64>),
    /// Either way: the receiver answers with [`Frame::Pong`].
    Ping,
    /// Either way: answers [`Frame::Ping`].
    Pong,
    /// Inbound to outbound: whether new work is refused from here on.
    Leaving(bool),
    /// Outbound to inbound: what would become of a call that is not sent yet?
    #[serde(rename = "Look")]
    LoadProbe(LoadProbe),
    /// Inbound to outbound: answers [`Frame::LoadProbe`].
    #[serde(rename = "Outlook")]
    Estimate(Estimate),
}

/// A question about a call that its sender has not sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Look")]
pub struct LoadProbe {
    /// Names the question among those of its link.
    pub serial: u64,
    /// Service that the call is for.
    pub service: SmolStr,
    /// Hash of its route and method.
    pub route: u64,
    /// What it is worth.
    pub class: config::Class,
    /// What the call is worth that waits for it on the sender's own backend server.
    pub nested: Option<config::Class>,
    /// Time left, in milliseconds.
    pub timeout_ms: u32,
    /// Time left until which an answer is worth most, in milliseconds.
    pub target_ms: Option<u32>,
}

/// What an inbound proxy expects of a call that it was asked about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Outlook")]
pub struct Estimate {
    /// The question that is answered.
    pub serial: u64,
    /// Whether the call would be let in.
    #[serde(rename = "takes")]
    pub accepts: bool,
    /// How long it would wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// How long calls of its route run, in milliseconds, if any has.
    pub run_ms: Option<u32>,
    /// Calls that run and wait, in per cent of the slots.
    pub load_percent: u16,
}

/// Longest body of a request that goes with its head; of a longer one nothing is sent
/// before the first [`Frame::Credit`].
///
/// Refused, it has cost its head alone. Forms and searches are some hundred bytes,
/// for which to ask first would only be a trip more.
pub const MAX_EAGER_BODY: usize = 4 << 10;

/// Bytes of an answer's body that its sender may send before the first [`Frame::Credit`].
///
/// One trip and back within a region is about 1 ms, so that a body still moves
/// at 64 MB a second, and a thousand calls that nobody reads hold 64 MB at most.
pub const INITIAL_WINDOW: usize = 64 << 10;
