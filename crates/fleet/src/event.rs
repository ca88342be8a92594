//! Inputs and outputs of the state machine.

use crate::{LinkKey, Peer};
use call::Crash;
use config::rollout::Tally;
use config::{Digest, Mesh, Patch, Rollout, Version, View};
use policy::rollout::StopReason;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::control::Frame;

/// A request to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Read the leases of all roots.
    Leases {
        /// Whether they must be current; otherwise they may be some seconds stale.
        is_exact: bool,
    },
    /// Acquire an expired lease of this node's zone.
    AcquireLease {
        /// Which of the zone's leases.
        slot: u8,
        /// Whether to also seize an unexpired lease, provided that it has not been
        /// renewed since the last response to [`PlatformRequest::Leases`].
        is_forced: bool,
    },
    /// Renew a lease that this node holds.
    RenewLease {
        /// Which of the zone's leases.
        slot: u8,
    },
    /// Release a lease.
    ReleaseLease {
        /// Which of the zone's leases.
        slot: u8,
    },
    /// Get the number of the latest version.
    LatestVersion {
        /// The highest version known to this node.
        after: Version,
    },
    /// Get the latest version, with the steps or the full configuration that lead to it.
    FetchLatest {
        /// The version held by this node.
        after: Version,
    },
    /// Send all versions after `after`: those that exist now, and later ones as they are written.
    Watch {
        /// The version held by this node.
        after: Version,
        /// Whether this is the root of its zone that polls at the full rate and also reads the
        /// crashes that other roots write.
        is_primary: bool,
    },
    /// Stop sending versions.
    Unwatch,
    /// List the crashes that roots have written.
    Crashes,
    /// List the roll-outs that operators have ordered.
    Rollouts,
}

/// The lease of a root, as last read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RootLease {
    /// Which of its zone's leases.
    pub slot: u8,
    /// The holder, which is in the zone of the lease.
    pub holder: Peer,
    /// Whether it had not expired when it was read.
    pub is_live: bool,
}

/// A response or notification of the platform.
#[derive(Debug, Clone)]
pub enum PlatformResponse {
    /// The leases of all roots.
    Leases(Vec<RootLease>),
    /// The lease was acquired or renewed.
    LeaseGranted {
        /// Which of the zone's leases.
        slot: u8,
    },
    /// Another node holds the lease.
    LeaseLost {
        /// Which of the zone's leases.
        slot: u8,
    },
    /// The platform did not answer this request.
    Failed(PlatformRequest),
    /// The number of the latest version, sent when a watch starts and repeatedly after that.
    LatestVersion(Version),
    /// A version, as the change from the previous one.
    Step {
        /// Its number.
        version: Version,
        /// The changes.
        patch: Arc<Patch>,
        /// Digest of the resulting configuration.
        digest: Digest,
    },
    /// A version, as a full configuration.
    Full {
        /// Its number.
        version: Version,
        /// The configuration.
        mesh: Mesh,
    },
    /// A version that cannot be read; the current one stays in force.
    InvalidVersion {
        /// Its number.
        version: Version,
        /// What is wrong with it, and where.
        reason: SmolStr,
    },
    /// Crashes that roots have written, sent when a watch starts and as they are written.
    Crashes(Vec<Crash>),
    /// The platform was restored from a backup; its most recent writes are lost.
    Restored,
    /// The state of roll-outs, sent when a watch starts and as they change.
    Rollouts(Vec<Rollout>),
}

/// This VM's backend server, as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Version of its software; empty if not announced.
    pub version: SmolStr,
    /// Number of calls that it runs concurrently.
    pub slots: u16,
    /// Identifies its process.
    pub process: u64,
    /// How long it will be slow while it warms up, in milliseconds, if announced.
    pub cold_ms: Option<u32>,
    /// Whether it accepts new work.
    pub state: config::State,
}

/// An input to the state machine.
#[derive(Debug)]
pub enum Event {
    /// A requested link is open.
    Connected {
        /// The link.
        link: LinkKey,
        /// The node at the other end.
        peer: Peer,
    },
    /// A link could not be opened, or was closed.
    Closed {
        /// The link.
        link: LinkKey,
    },
    /// A frame was received.
    Frame {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// The platform answered.
    Platform(PlatformResponse),
    /// This VM's backend server announced itself.
    BackendAnnounced(Backend),
    /// Requests that crashed this VM's backend server, or were answered since.
    LocalCrashes(Vec<Crash>),
    /// Counts of this VM's outbound proxy for roll-outs, by service.
    LocalTallies(Vec<(SmolStr, Tally)>),
    /// The time returned by [`crate::Node::next_wake`] has been reached.
    Wake,
    /// The node shuts down: links are closed gracefully.
    Leave,
}

/// An output of the state machine, to be carried out by its owner.
#[derive(Debug)]
pub enum Action {
    /// Open a link.
    Connect {
        /// The key of the new link.
        link: LinkKey,
        /// The address to connect to.
        address: SocketAddr,
    },
    /// Send a frame.
    Send {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// Close a link once all frames sent over it are written.
    Close {
        /// The link.
        link: LinkKey,
    },
    /// Send a request to the platform.
    QueryPlatform(PlatformRequest),
    /// Use this view for calls from now on.
    InstallView(Arc<View>),
    /// Merge crashes reported by other nodes into the quarantine.
    UpdateQuarantine(Vec<Crash>),
    /// Write crashes to the platform.
    WriteCrashes {
        /// Slot of the lease of the root that writes.
        slot: u8,
        /// All crashes that the root knows of. If there are too many, those of the requests with
        /// the most uncleared crashes.
        list: Vec<Crash>,
    },
    /// Apply these roll-outs to calls from now on.
    ApplyRollouts(Vec<Rollout>),
    /// Write the stage of a roll-out to the platform.
    WriteRollout(Rollout),
    /// Report to operators that a roll-out was stopped and its version gets no more calls.
    RolloutStopped {
        /// The roll-out before it was stopped.
        rollout: Rollout,
        /// Why the roll-out is stopped.
        reason: StopReason,
        /// The counts that the decision is based on.
        tally: Tally,
    },
}
