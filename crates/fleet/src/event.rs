//! What goes into the state machine and what comes out.

use crate::{LinkKey, Peer};
use call::Crash;
use config::rollout::Tally;
use config::{Digest, Mesh, Patch, Rollout, Version, View};
use policy::rollout::StopReason;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::control::Frame;

/// What is asked of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Read the leases of all roots.
    Leases {
        /// Whether they are wanted as they are now; else as they were some seconds ago.
        is_exact: bool,
    },
    /// Take a lease of the own zone that has no time left.
    AcquireLease {
        /// Which of the zone's leases.
        slot: u8,
        /// Whether to take it from a holder as well that [`PlatformRequest::Leases`]
        /// last showed, if the lease was not renewed since.
        is_forced: bool,
    },
    /// Extend a lease that is held.
    RenewLease {
        /// Which of the zone's leases.
        slot: u8,
    },
    /// Give a lease back.
    ReleaseLease {
        /// Which of the zone's leases.
        slot: u8,
    },
    /// Tell the highest version there is.
    LatestVersion {
        /// The highest one that is known.
        after: Version,
    },
    /// Tell the newest version, and send what leads to it.
    FetchLatest {
        /// The version held.
        after: Version,
    },
    /// Send all versions after this one, now and as they come.
    Watch {
        /// The version held.
        after: Version,
        /// Whether nobody in the zone reads them sooner.
        is_first: bool,
    },
    /// Send no more versions.
    Unwatch,
    /// Tell the crashes that roots have written.
    Crashes,
    /// Tell the roll-outs that operators have ordered.
    Rollouts,
}

/// The lease of a root as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RootLease {
    /// Which of its zone's leases.
    pub slot: u8,
    /// Who holds it; the zone is its own.
    pub holder: Peer,
    /// Whether it had time left.
    pub is_live: bool,
}

/// What the platform answers.
#[derive(Debug, Clone)]
pub enum PlatformResponse {
    /// The leases of all roots.
    Leases(Vec<RootLease>),
    /// The lease was taken or extended.
    LeaseGranted {
        /// Which of the zone's leases.
        slot: u8,
    },
    /// Somebody else has the lease.
    LeaseLost {
        /// Which of the zone's leases.
        slot: u8,
    },
    /// The platform did not answer.
    Failed(PlatformRequest),
    /// The highest version there is, told when following begins and now and then.
    LatestVersion(Version),
    /// A version.
    Step {
        /// Its number.
        version: Version,
        /// What changes.
        patch: Arc<Patch>,
        /// Digest of the whole.
        digest: Digest,
    },
    /// A version, whole.
    Full {
        /// Its number.
        version: Version,
        /// The configuration.
        mesh: Mesh,
    },
    /// A version that can't be taken; what is held stays in force.
    InvalidVersion {
        /// Its number.
        version: Version,
        /// What is wrong with it, and where.
        reason: SmolStr,
    },
    /// Crashes that roots have written, told when following begins and as they come.
    Crashes(Vec<Crash>),
    /// The platform has come back from a copy: what was written there last is gone.
    Restored,
    /// Roll-outs as they stand there, told when following begins and as they change.
    Rollouts(Vec<Rollout>),
}

/// The own backend server, as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Version of its software; empty if it doesn't say.
    pub version: SmolStr,
    /// Calls that it says it runs at once.
    pub slots: u16,
    /// Names its process.
    pub process: u64,
    /// How long it is slow from now on, in milliseconds, if it says so.
    pub cold_ms: Option<u32>,
    /// Whether it takes new work.
    pub state: config::State,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A link that was asked for stands.
    Connected {
        /// The link.
        link: LinkKey,
        /// Who is at the other end.
        peer: Peer,
    },
    /// A link could not be opened, or ended.
    Closed {
        /// The link.
        link: LinkKey,
    },
    /// A frame came.
    Frame {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// The platform answered.
    Platform(PlatformResponse),
    /// The own backend server announced itself.
    BackendAnnounced(Backend),
    /// Requests crashed the own backend server, or were answered since.
    LocalCrashes(Vec<Crash>),
    /// What the own outbound proxy has counted of roll-outs, by service.
    LocalTallies(Vec<(SmolStr, Tally)>),
    /// The time that [`crate::Node::next_wake`] gave has come.
    Wake,
    /// The node is to leave: the links are closed in order.
    Leave,
}

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Open a link.
    Connect {
        /// Its name.
        link: LinkKey,
        /// Where to.
        address: SocketAddr,
    },
    /// Send a frame.
    Send {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// Close a link once what was sent is out.
    Close {
        /// The link.
        link: LinkKey,
    },
    /// Ask the platform.
    QueryPlatform(PlatformRequest),
    /// Serve by this view from now on.
    InstallView(Arc<View>),
    /// Take in what other nodes know of crashes.
    UpdateQuarantine(Vec<Crash>),
    /// Write crashes to the platform.
    WriteCrashes {
        /// The lease of the root that writes.
        slot: u8,
        /// All that it remembers, or the worst of it.
        list: Vec<Crash>,
    },
    /// Have calls follow these roll-outs from now on.
    ApplyRollouts(Vec<Rollout>),
    /// Write to the platform how far a roll-out has come.
    WriteRollout(Rollout),
    /// Tell operators why a version gets nothing more.
    RolloutStopped {
        /// The roll-out as it stood.
        rollout: Rollout,
        /// What speaks against the version.
        reason: StopReason,
        /// What the fleet had counted.
        tally: Tally,
    },
}
