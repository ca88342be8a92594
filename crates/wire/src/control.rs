//! Frames of configuration, endpoints and status between nodes.
//!
//! A control link connects a child to its parent, or two roots to each other.
//! Updates are sent in the same way over both: each side tracks which version
//! and which endpoints the other holds.

use crate::Error;
use bytes::Bytes;
use call::Crash;
use config::rollout::Tally;
use config::{Digest, Endpoint, Mesh, Patch, Rollout, Version};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

pub use status::{FleetVersions as Status, RefusedVersion, VersionCount};

/// Maximum number of bytes in one [`Chunk`]: few enough that a chunk does not delay the heartbeats
/// sent after it.
pub const CHUNK_SIZE: usize = 64 << 10;

/// Maximum number of chunks of a configuration: together 16 MB, forty times the planned size.
pub const MAX_CHUNKS: u32 = 256;

/// Maximum number of endpoints in one frame, which is then about 30 KB long.
pub const MAX_ENDPOINTS: usize = 512;

/// Maximum number of crashes in one frame, which is then about 50 KB long.
pub const MAX_CRASHES: usize = 256;

/// Maximum number of roll-outs in one frame, which is then about 40 KB long.
pub const MAX_ROLLOUTS: usize = 512;

/// Number of buckets of an endpoint table; each bucket has a checksum, by which two nodes find the
/// endpoints that differ.
pub const BUCKET_COUNT: usize = 256;

/// A node, and where other nodes reach it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the node.
    pub node: SmolStr,
    /// Availability zone of the node.
    pub zone: SmolStr,
    /// Address at which the node listens for other nodes.
    pub address: SocketAddr,
}

/// Shows that the sender is alive, and what it holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Beat")]
pub struct Heartbeat {
    /// Number of heartbeats that the sender has sent on this link.
    pub count: u32,
    /// Highest count received from the other end; shows the other end that its heartbeats arrive.
    pub echo: u32,
    /// Version that the sender holds.
    pub version: Version,
    /// Whether the sender serves: the version of a new process that doesn't serve yet is no
    /// evidence of the newest version.
    pub is_ready: bool,
    /// Checksum of the sender's table of endpoints.
    #[serde(rename = "endpoints")]
    pub endpoints_checksum: u64,
    /// Number of further children that the sender can accept.
    #[serde(rename = "room")]
    pub child_capacity: u8,
    /// To a parent: the status of the sender's subtree; to a child: that of the
    /// fleet; between roots: that of the sender's part of the fleet. Present
    /// only if it has changed.
    pub status: Option<Status>,
}

/// Part of a full configuration, compressed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Version of the configuration.
    pub version: Version,
    /// Digest of the configuration.
    pub digest: Digest,
    /// Index of this chunk in the configuration, from 0.
    pub index: u32,
    /// Number of chunks of the configuration.
    pub count: u32,
    /// This part of the compressed configuration.
    pub bytes: Bytes,
}

/// The youngest reading of the platform that the sender knows of.
///
/// The moment of the reading is given in relation to the arrival of a heartbeat of the receiver, so
/// that no clocks are compared. The receiver counts from the moment at which it sent that heartbeat:
/// a delay in either direction makes the reading look older than it is, never younger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// `count` of the receiver's heartbeat.
    pub heartbeat: u32,
    /// Time from the arrival of that heartbeat to the reading, in milliseconds, rounded down;
    /// negative if the reading came first.
    pub offset_ms: i32,
    /// The version that was the newest.
    pub version: Version,
    /// Whether a root with a lease made the reading.
    pub by_root: bool,
}

/// Call results of a roll-out, as counted by part of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Part")]
pub struct RolloutTally {
    /// Service whose version is rolled out.
    pub service: SmolStr,
    /// The version that is rolled out.
    pub target: SmolStr,
    /// The call results.
    pub tally: Tally,
}

/// Message between two nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks to become a child; first frame of the connecting side.
    Join {
        /// Where the sender listens for other nodes.
        address: SocketAddr,
        /// Version that the sender holds.
        version: Version,
    },
    /// Asks to become a root peer, from root to root; first frame of the connecting side.
    Meet {
        /// Where the sender listens for other nodes.
        address: SocketAddr,
        /// Version that the sender holds.
        version: Version,
    },
    /// Asks only for the version that the receiver holds; first frame of the connecting side.
    #[serde(rename = "Ask")]
    QueryVersion,
    /// Accepts a child or a root peer.
    Admit {
        /// Node names from the root down to the sender; the child must not be among them.
        path: Vec<SmolStr>,
        /// Version that the sender holds.
        version: Version,
        /// Whether the sender serves.
        is_ready: bool,
        /// Other candidates for a parent, in case the sender is lost.
        parents: Vec<Peer>,
    },
    /// Refuses a child or a root peer; also the reply to [`Frame::QueryVersion`].
    Refuse {
        /// Time for which the receiver must not ask again, in milliseconds.
        wait_ms: u32,
        /// Version that the sender holds.
        version: Version,
        /// Whether the sender serves.
        is_ready: bool,
        /// Other candidates for a parent.
        parents: Vec<Peer>,
    },
    /// The sender's path from the root has changed; the list is empty if the sender has no path to
    /// a root.
    Path(Vec<SmolStr>),
    /// Sent at regular intervals over an established link.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// The step from one version to a later one.
    Step {
        /// The version before the step.
        base: Version,
        /// The version after the step.
        version: Version,
        /// The change.
        patch: Arc<Patch>,
        /// Digest of the full configuration after the step.
        digest: Digest,
    },
    /// Requests all versions after the version that the sender holds.
    #[serde(rename = "Want")]
    RequestUpdates {
        /// The version that the sender holds.
        after: Version,
        /// Whether the full configuration is needed, because steps could not be applied.
        #[serde(rename = "whole")]
        full: bool,
    },
    /// Part of a full configuration.
    Chunk(Chunk),
    /// Endpoints that are new or have changed.
    Endpoints(Vec<Arc<Endpoint>>),
    /// Checksums of the sender's endpoints by bucket; the receiver replies with the endpoints of
    /// the buckets that differ.
    #[serde(rename = "Sums")]
    Checksums {
        /// One checksum per bucket, [`BUCKET_COUNT`] in all.
        #[serde(rename = "sums")]
        checksums: Vec<u64>,
        /// Whether this is the reply to the receiver's own checksums.
        is_reply: bool,
    },
    /// Asks a child to acquire a root lease.
    Nominate {
        /// Index of the lease in its zone.
        slot: u8,
    },
    /// The sender closes the link on purpose.
    Leave {
        /// Other candidates for a parent.
        parents: Vec<Peer>,
    },
    /// Requests that crashed backend servers.
    Crashes(Vec<Crash>),
    /// Roll-outs and their progress.
    Rollouts(Vec<Rollout>),
    /// Call results of the roll-outs in progress, as counted by the sender's part of the fleet;
    /// sent to parents and other roots.
    Tallies(Vec<RolloutTally>),
    /// Asks which version was the newest, at a moment at most `max_age_ms` before this frame
    /// arrives or later; replied to once the receiver knows.
    RequestConfirmation {
        /// Number of the request on this link.
        serial: u64,
        /// Maximum age of the answer, in milliseconds.
        max_age_ms: u32,
    },
    /// The reply to [`Frame::RequestConfirmation`].
    Confirmed {
        /// Number of the request.
        serial: u64,
        /// The version that was the newest.
        version: Version,
        /// Time from the moment at which it was the newest to the arrival of the request, in
        /// milliseconds, rounded up; zero if that moment came after the arrival.
        age_ms: u32,
    },
    /// The reply to [`Frame::RequestConfirmation`] if the platform does not answer.
    Unconfirmed {
        /// Number of the request.
        serial: u64,
    },
    /// Requests a receipt for the endpoints that were sent over this link before.
    RequestReceipt {
        /// Number of the request on this link.
        serial: u64,
        /// Number of nodes, the receiver included, that must hold the endpoints before the reply.
        copies: u8,
    },
    /// The reply to [`Frame::RequestReceipt`].
    Receipt {
        /// Number of the request.
        serial: u64,
    },
    /// Sent to all neighbours when the sender learns of a younger reading of the platform.
    Reading(Reading),
}

/// Maximum size of a full configuration before compression, in bytes.
const MAX_CONFIG_BYTES: u64 = MAX_CHUNKS as u64 * CHUNK_SIZE as u64;

/// Compresses a full configuration and splits it into chunks.
///
/// Without compression a version with many routes takes seconds to reach the fleet: 1,640 routes
/// take up 75 kB, a root sends them to up to 16 children, and the links of the smallest VMs carry 5
/// Mbit/s, so that sending takes 1.9 s. Compressed, these routes take up 9.7 kB
/// (`fleet/tests/refusal.rs`, `many_routes_short`).
///
/// # Errors
///
/// If the configuration needs more than [`MAX_CHUNKS`].
pub fn encode_chunks(version: Version, digest: Digest, mesh: &Mesh) -> Result<Vec<Chunk>, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&postcard::to_stdvec(mesh)?)?;
    let bytes = Bytes::from(encoder.finish()?);
    let count = u32::try_from(bytes.len().div_ceil(CHUNK_SIZE)).unwrap_or(u32::MAX);
    if count > MAX_CHUNKS {
        return Err(Error::TooLong(bytes.len()));
    }
    let chunks = (0..)
        .zip(bytes.chunks(CHUNK_SIZE))
        .map(|(index, part)| Chunk {
            version,
            digest,
            index,
            count,
            bytes: bytes.slice_ref(part),
        });
    Ok(chunks.collect())
}

/// Decodes a full configuration from the concatenated bytes of its chunks.
///
/// # Errors
///
/// If the bytes are not a configuration, or it is too long.
pub fn decode_chunks(bytes: &[u8]) -> Result<Mesh, Error> {
    let mut config = Vec::new();
    // The size is limited because a few compressed bytes from a peer may expand to a huge
    // configuration.
    let decoder = DeflateDecoder::new(bytes).take(MAX_CONFIG_BYTES + 1);
    { decoder }.read_to_end(&mut config)?;
    if config.len() as u64 > MAX_CONFIG_BYTES {
        return Err(Error::TooLong(config.len()));
    }
    Ok(postcard::from_bytes(&config)?)
}
