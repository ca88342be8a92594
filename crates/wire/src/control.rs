//! Frames of configuration, endpoints and status between nodes.
//!
//! A control link joins a child to its parent, or two roots as equals. News
//! flow the same way over both: each side knows what the other holds.

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

pub use status::{Count, Fleet as Status, Refusal};

/// Bytes of a configuration in one [`Chunk`]: short enough that beats aren't held up behind it.
pub const CHUNK_SIZE: usize = 64 << 10;

/// Most chunks of a configuration: 16 MB, forty times the one that is planned for.
pub const MAX_CHUNKS: u32 = 256;

/// Most endpoints in one frame: some 30 KB.
pub const MAX_ENDPOINTS: usize = 512;

/// Most crashes in one frame: some 50 KB.
pub const MAX_CRASHES: usize = 256;

/// Most roll-outs in one frame: some 40 KB.
pub const MAX_ROLLOUTS: usize = 512;

/// Parts that a table of endpoints is summed up in, to find what differs.
pub const BUCKET_COUNT: usize = 256;

/// A node as others reach it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the node.
    pub node: SmolStr,
    /// Availability zone of the node.
    pub zone: SmolStr,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
}

/// A sign of life with what the sender holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Beat")]
pub struct Heartbeat {
    /// Counts the sender's beats on this link.
    pub count: u32,
    /// Highest count heard from the receiver: shows that its direction works too.
    pub echo: u32,
    /// Version that the sender holds.
    pub version: Version,
    /// Whether the sender serves: a new process that doesn't is no witness of the newest version.
    pub is_ready: bool,
    /// Sum of the sender's table of endpoints.
    #[serde(rename = "endpoints")]
    pub endpoints_checksum: u64,
    /// Children that the sender would still take.
    #[serde(rename = "room")]
    pub child_capacity: u8,
    /// Up: the sender's subtree; down: the fleet; between roots: the sender's
    /// part. Only when it changed.
    pub status: Option<Status>,
}

/// Part of a whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Version of the whole.
    pub version: Version,
    /// Digest of the whole.
    pub digest: Digest,
    /// Place of this part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// The bytes.
    pub bytes: Bytes,
}

/// What a part of the fleet has counted of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Part")]
pub struct RolloutTally {
    /// The service.
    pub service: SmolStr,
    /// The version that is brought in.
    pub target: SmolStr,
    /// What its calls came to.
    pub tally: Tally,
}

/// News between two nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks to become a child; the first frame of the side that connected.
    Join {
        /// Where the sender listens for other nodes.
        address: SocketAddr,
        /// Version that it holds.
        version: Version,
    },
    /// Asks to become an equal, from root to root.
    Meet {
        /// Where the sender listens for other nodes.
        address: SocketAddr,
        /// Version that it holds.
        version: Version,
    },
    /// Asks what the receiver holds, no more.
    #[serde(rename = "Ask")]
    QueryVersion,
    /// Takes a child or an equal.
    Admit {
        /// Names from the root down to the sender; a child must not be among them.
        path: Vec<SmolStr>,
        /// Version that the sender holds.
        version: Version,
        /// Whether the sender serves.
        is_ready: bool,
        /// Other parents, should this one be lost.
        parents: Vec<Peer>,
    },
    /// Takes none, and answers [`Frame::QueryVersion`].
    Refuse {
        /// Not to be asked again before, in milliseconds.
        wait_ms: u32,
        /// Version that the sender holds.
        version: Version,
        /// Whether the sender serves.
        is_ready: bool,
        /// Others to ask.
        parents: Vec<Peer>,
    },
    /// The sender's way to the root has changed; empty when it has none.
    Path(Vec<SmolStr>),
    /// A sign of life.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// The step from one version to a later one.
    Step {
        /// The version before the step.
        base: Version,
        /// The version after the step.
        version: Version,
        /// What changes.
        patch: Arc<Patch>,
        /// Digest of the whole configuration after the step.
        digest: Digest,
    },
    /// Asks for all that comes after a version.
    #[serde(rename = "Want")]
    RequestUpdates {
        /// The version that the sender holds.
        after: Version,
        /// Whether steps didn't help, and the whole is needed.
        #[serde(rename = "whole")]
        full: bool,
    },
    /// Part of a whole configuration.
    Chunk(Chunk),
    /// News of endpoints.
    Endpoints(Vec<Arc<Endpoint>>),
    /// Sums of the sender's endpoints by bucket, for the receiver to send what differs.
    #[serde(rename = "Sums")]
    Checksums {
        /// One for each of [`BUCKET_COUNT`].
        #[serde(rename = "sums")]
        checksums: Vec<u64>,
        /// Whether this answers the receiver's own sums.
        is_reply: bool,
    },
    /// Asks a child to take the lease of a root.
    Nominate {
        /// Which of the zone's leases.
        slot: u8,
    },
    /// The sender closes the link on purpose.
    Leave {
        /// Others to ask.
        parents: Vec<Peer>,
    },
    /// News of requests that crashed backend servers.
    Crashes(Vec<Crash>),
    /// Roll-outs, and how far they have come.
    Rollouts(Vec<Rollout>),
    /// What the sender's part of the fleet has counted of those that go on; to parents and other roots.
    Tallies(Vec<RolloutTally>),
}

/// Longest whole configuration, in bytes before it is compressed.
const MAX_WHOLE: u64 = MAX_CHUNKS as u64 * CHUNK_SIZE as u64;

/// Cuts a whole configuration into chunks, compressed.
///
/// Guards against a version of many routes that takes seconds to get through:
/// 1,640 routes are 75 kB, each relay sends them to up to 16 children, and the
/// links of the smallest VMs carry 5 Mbit/s, which makes 1.9 s. Compressed they
/// are 9.7 kB (`fleet/tests/refusal.rs`, `many_routes_short`).
///
/// # Errors
///
/// Refuses a configuration of more than [`MAX_CHUNKS`].
pub fn encode_chunks(version: Version, digest: Digest, mesh: &Mesh) -> Result<Vec<Chunk>, Error> {
    let mut packer = DeflateEncoder::new(Vec::new(), Compression::fast());
    packer.write_all(&postcard::to_stdvec(mesh)?)?;
    let bytes = Bytes::from(packer.finish()?);
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

/// Reads a whole configuration from the bytes of all its chunks.
///
/// # Errors
///
/// Refuses bytes that are no configuration, and too many of them.
pub fn decode_chunks(bytes: &[u8]) -> Result<Mesh, Error> {
    let mut whole = Vec::new();
    // A peer may send little that becomes much.
    let packed = DeflateDecoder::new(bytes).take(MAX_WHOLE + 1);
    { packed }.read_to_end(&mut whole)?;
    if whole.len() as u64 > MAX_WHOLE {
        return Err(Error::TooLong(whole.len()));
    }
    Ok(postcard::from_bytes(&whole)?)
}
