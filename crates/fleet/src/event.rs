//! Inputs and outputs of the state machine.

use crate::{LinkKey, Peer};
use call::Crash;
use config::rollout::Tally;
use config::{Digest, Farewell, Mesh, Patch, Rollout, Version, View};
use policy::rollout::StopReason;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use wire::control::Frame;

/// A request to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Read the leases of all roots.
    Leases {
        /// Whether the response must be current; otherwise it may be some seconds stale.
        is_exact: bool,
    },
    /// Acquire a lease of this node's zone that is free or has expired.
    AcquireLease {
        /// Index of the lease among the leases of this node's zone.
        slot: u8,
        /// Whether to take over the lease even if it has not expired. This succeeds only if the
        /// lease has not been renewed since the last response to [`PlatformRequest::Leases`].
        is_forced: bool,
    },
    /// Renew a lease that this node holds.
    RenewLease {
        /// Index of the lease among the leases of this node's zone.
        slot: u8,
    },
    /// Release a lease.
    ReleaseLease {
        /// Index of the lease among the leases of this node's zone.
        slot: u8,
    },
    /// Get the number of the latest version, and the version itself if it is not held.
    ConfirmVersion {
        /// The version held by this node.
        after: Version,
        /// Identifies the request.
        serial: u64,
    },
    /// Send all versions after `after`: those that exist now, and later ones as they are written.
    Watch {
        /// The version held by this node.
        after: Version,
        /// Whether this node is the root of its zone that polls at the full rate and also reads the
        /// crashes that other roots write.
        is_primary: bool,
    },
    /// Stop sending versions.
    Unwatch,
    /// List the crashes that roots have written.
    Crashes,
    /// List the roll-outs that operators have ordered.
    Rollouts,
    /// Read the farewells that are written for this node.
    Farewells,
}

/// The lease of a root, as last read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RootLease {
    /// Index of the lease among the leases of the holder's zone.
    pub slot: u8,
    /// The holder, which is in the zone of the lease.
    pub holder: Peer,
    /// Whether the lease was unexpired when it was read.
    pub is_live: bool,
}

/// A response or notification of the platform.
#[derive(Debug, Clone)]
pub enum PlatformResponse {
    /// The leases of all roots.
    Leases(Vec<RootLease>),
    /// The lease was acquired or renewed.
    LeaseGranted {
        /// Index of the lease among the leases of this node's zone.
        slot: u8,
    },
    /// Another node holds the lease.
    LeaseLost {
        /// Index of the lease among the leases of this node's zone.
        slot: u8,
    },
    /// The platform did not answer this request.
    Failed(PlatformRequest),
    /// The number of the latest version, sent when a watch starts and repeatedly after that.
    LatestVersion(Version),
    /// A watch reports that it has sent all versions that there were at this moment.
    Unchanged {
        /// The moment.
        at: Instant,
    },
    /// The number of the version that was the latest at a moment after the request was made.
    Confirmed {
        /// Identifies the request.
        serial: u64,
        /// The latest version.
        version: Version,
    },
    /// A version, as the change from the previous version.
    Step {
        /// Number of the version.
        version: Version,
        /// The changes.
        patch: Arc<Patch>,
        /// Digest of the resulting configuration.
        digest: Digest,
    },
    /// A version, as a full configuration.
    Full {
        /// Number of the version.
        version: Version,
        /// The configuration.
        mesh: Mesh,
    },
    /// A version that cannot be read; the version that this node holds stays in force.
    InvalidVersion {
        /// Number of the version.
        version: Version,
        /// What is wrong with the version's content, and where.
        reason: SmolStr,
    },
    /// Crashes that roots have written, sent when a watch starts and as they are written.
    Crashes(Vec<Crash>),
    /// The platform was restored from a backup; its most recent writes are lost.
    Restored,
    /// The state of roll-outs, sent when a watch starts and as they change.
    Rollouts(Vec<Rollout>),
    /// The farewells that are written for this node.
    Farewells(Vec<Farewell>),
    /// These farewells of this node are written.
    FarewellsWritten(Vec<Farewell>),
}

/// This VM's backend server, as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service that the backend server belongs to.
    pub service: SmolStr,
    /// Version of the backend server's software; empty if not announced.
    pub version: SmolStr,
    /// Number of calls that the backend server runs concurrently.
    pub slots: u16,
    /// Identifies the process of the backend server.
    pub process: u64,
    /// Time for which the backend server is slow while it warms up, in milliseconds, if announced.
    pub cold_ms: Option<u32>,
    /// State of the backend server, which tells whether it accepts new work.
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
    /// The platform responded, sent a notification, or did not answer a request.
    Platform(PlatformResponse),
    /// This VM's backend server announced itself.
    BackendAnnounced(Backend),
    /// A process of this VM's backend server has left, or an operator has drained the VM or ended its
    /// drain. Answered with [`Action::FarewellReceived`] once the platform and other nodes hold the
    /// farewell.
    BackendLeft(Farewell),
    /// Crashes of this VM's backend server, and those that an answer to the same request has
    /// cleared.
    LocalCrashes(Vec<Crash>),
    /// Call results of roll-outs, as counted by this VM's outbound proxy for each service.
    LocalTallies(Vec<(SmolStr, Tally)>),
    /// The VM was suspended, for a time that the monotonic clock has not counted.
    Suspended,
    /// The time returned by [`crate::Node::next_wake`] has been reached.
    Wake,
    /// The node shuts down: links are closed gracefully.
    Leave,
}

/// An output of the state machine, to be carried out by the code that runs it.
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
    /// Record the moment at which the version held was the newest for certain; `None` if there is
    /// none any more.
    SetConfirmed(Option<Instant>),
    /// Merge crashes reported by other nodes into the quarantine.
    UpdateQuarantine(Vec<Crash>),
    /// Write crashes to the platform.
    WriteCrashes {
        /// Slot of the lease of the root that writes.
        slot: u8,
        /// All crashes that the root knows of. If they are more than
        /// [`wire::control::MAX_CRASHES`], those of the requests with the most uncleared crashes.
        list: Vec<Crash>,
    },
    /// Write the farewells of this node to the platform, and report once they are written.
    WriteFarewells(Vec<Farewell>),
    /// Write the farewells of these nodes to the platform again, which may have lost them.
    RewriteFarewells(Vec<(SmolStr, Vec<Farewell>)>),
    /// The platform and other nodes hold the farewell of this process of the backend server.
    FarewellReceived(u64),
    /// Ignore announcements of the processes of the backend server that have left, also those that
    /// have left before this process of the node started, and take no calls if the VM is drained.
    UpdateFarewells(Vec<Farewell>),
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
