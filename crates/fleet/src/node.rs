//! The state machine of one node, which turns events into actions.

use crate::bootstrap::ReadinessGate;
use crate::crashes::{CrashState, Origin};
use crate::departure::DepartureGuard;
use crate::endpoints::EndpointTable;
use crate::event::{Action, Event, PlatformRequest, PlatformResponse};
use crate::fallback_poll::FallbackPoll;
use crate::farewells::FarewellState;
use crate::freshness::Freshness;
use crate::initial_reads::InitialReads;
use crate::leaky_bucket::LeakyBucket;
use crate::lease::LeaseClient;
use crate::link::{HEARTBEAT_INTERVAL, Link, LinkKey, Purpose, Role};
use crate::outage::OutageState;
use crate::parent::{Candidates, Source};
use crate::recall::Recall;
use crate::replica::{Replica, Step};
use crate::rollouts::{self, RolloutState};
use crate::{children, search, sync};
use config::{Endpoint, Version};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::control::{Frame, Peer, Status};

/// Time between checks for endpoints that have expired.
const EXPIRY_INTERVAL: Duration = Duration::from_mins(1);

/// Identity and settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name and availability zone of this node, and the address at which it listens for other
    /// nodes.
    pub local: Peer,
    /// Region of the availability zone.
    pub region: SmolStr,
    /// Random number that identifies this process.
    pub incarnation: u64,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Addresses of nodes to ask for a parent when the platform doesn't answer.
    pub seeds: Vec<SocketAddr>,
    /// Whether roots read the operators' roll-outs from the platform.
    pub follows_rollouts: bool,
    /// Whether every version is sent as a full configuration, as a baseline to measure patches against.
    pub sends_full: bool,
    /// How old the configuration may be where calls need keys; `None` for no bound.
    pub max_config_age: Option<Duration>,
}

/// Events counted since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Views of configuration and endpoints that were built for the proxies.
    pub built_views: u64,
    /// Versions of the configuration that were applied.
    pub applied_versions: u64,
    /// Versions of the configuration that could not be read or applied.
    pub refused_versions: u64,
    /// Number of times that this node joined a parent.
    pub parent_joins: u64,
    /// Nodes that this node declared gone.
    pub departures: u64,
    /// Polls of the platform because no reading of it had reached this node in time.
    pub fallback_polls: u64,
    /// Such polls, and those of roots, that the platform did not answer.
    pub failed_polls: u64,
}

/// The state machine of one node.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) links: BTreeMap<LinkKey, Link>,
    pub(crate) replica: Replica,
    pub(crate) endpoint_table: EndpointTable,
    pub(crate) readiness_gate: ReadinessGate,
    pub(crate) departure_guard: DepartureGuard,
    pub(crate) lease: LeaseClient,
    pub(crate) candidates: Candidates,
    /// Names of the nodes from the root down to this node; empty while there is no path to a root.
    pub(crate) path: Vec<SmolStr>,
    pub(crate) join_limiter: LeakyBucket,
    pub(crate) search: search::ParentSearch,
    pub(crate) fallback_poll: FallbackPoll,
    pub(crate) freshness: Freshness,
    pub(crate) outage: OutageState,
    pub(crate) sync: sync::SyncState,
    pub(crate) crashes: CrashState,
    pub(crate) rollouts: RolloutState,
    pub(crate) initial_reads: InitialReads,
    pub(crate) farewells: FarewellState,
    pub(crate) recall: Recall,
    pub(crate) local_endpoint: Option<Endpoint>,
    pub(crate) has_synced_endpoints: bool,
    pub(crate) is_leaving: bool,
    pub(crate) counters: Counters,
    pub(crate) actions: Vec<Action>,
    next_link_key: u64,
    heartbeat_at: Instant,
    expire_at: Instant,
    reannounce_at: Instant,
}

impl Node {
    /// Creates the state machine of a process that starts at `now`.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut candidates = Candidates::default();
        for address in &settings.seeds {
            candidates.add(*address, Source::Seed, now);
        }
        // Nodes that restart together must not send heartbeats and announcements in lockstep.
        let heartbeat_at = now + HEARTBEAT_INTERVAL.mul_f64(rng.random::<f64>());
        let reannounce_at = now + crate::endpoints::REFRESH_INTERVAL.mul_f64(rng.random::<f64>());
        let search = search::ParentSearch::new(now, &mut rng);
        let freshness = Freshness::new(settings.max_config_age, now);
        let fallback_poll = FallbackPoll::new(now, &mut rng);
        Self {
            settings,
            rng,
            links: BTreeMap::new(),
            replica: Replica::default(),
            endpoint_table: EndpointTable::default(),
            readiness_gate: ReadinessGate::new(),
            departure_guard: DepartureGuard::default(),
            lease: LeaseClient::new(now),
            candidates,
            path: Vec::new(),
            join_limiter: LeakyBucket::new(children::JOIN_BURST),
            search,
            fallback_poll,
            freshness,
            outage: OutageState::default(),
            sync: sync::SyncState::default(),
            crashes: CrashState::default(),
            rollouts: RolloutState::default(),
            initial_reads: InitialReads::default(),
            farewells: FarewellState::default(),
            recall: Recall::new(now),
            local_endpoint: None,
            has_synced_endpoints: false,
            is_leaving: false,
            counters: Counters::default(),
            actions: Vec::new(),
            next_link_key: 0,
            heartbeat_at,
            expire_at: now + EXPIRY_INTERVAL,
            reannounce_at,
        }
    }

    /// Registers a link that a peer has opened, and returns its key.
    pub fn accept(&mut self, peer: Peer, now: Instant) -> LinkKey {
        self.add_link(Role::Accepted, Some(peer), now)
    }

    /// Handles an event and returns the resulting actions.
    ///
    /// # Panics
    ///
    /// If the version held has decreased, which would be a bug in this crate.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let before = self.version();
        match event {
            Event::Connected { link, peer } => self.on_connected(now, link, peer),
            Event::Closed { link } => self.drop_link(now, link, false),
            Event::Frame { link, frame } => self.on_frame(now, link, frame),
            Event::Platform(response) => self.on_platform_response(now, response),
            Event::BackendAnnounced(backend) => self.announce(now, &backend),
            Event::BackendLeft(farewell) => self.on_farewell(now, farewell),
            Event::LocalCrashes(list) => self.on_crashes(now, Origin::Local, &list),
            Event::LocalTallies(tallies) => self.on_local_tallies(tallies),
            Event::Suspended => self.on_suspended(now),
            Event::Leave => self.leave(now),
            Event::Wake => {}
        }
        self.run_due_tasks(now);
        assert!(
            self.version() >= before,
            "the version held must not decrease"
        );
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Event::Wake`] is due at the latest.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Instant {
        let others = [
            self.search.deadline(),
            self.sync.deadline(),
            self.lease.deadline(),
            self.departure_guard.deadline(now),
            self.readiness_gate.deadline(),
            self.next_fallback_poll(),
            self.next_freshness_step(now),
            self.next_reading_push(),
            self.outage.deadline(),
            self.crashes.deadline(),
            self.rollouts.deadline(),
            self.initial_reads.deadline(),
            self.farewells.deadline(),
            self.recall.deadline(now),
        ];
        let links = self.links.values().map(Link::deadline);
        let first = others.into_iter().flatten().chain(links).min();
        first.map_or(self.heartbeat_at, |first| first.min(self.heartbeat_at))
    }

    /// Returns the version held.
    #[must_use]
    pub fn version(&self) -> Version {
        self.replica.version()
    }

    /// Returns whether the process has all the data that it needs to serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.readiness_gate.is_open() && self.has_synced_endpoints && self.initial_reads.is_done()
    }

    /// Returns whether this node is a root.
    #[must_use]
    pub fn is_root(&self) -> bool {
        self.lease.is_root()
    }

    /// Returns the path to this node: the names of the nodes from the root down to this node.
    ///
    /// The path is empty while no root can be reached through the tree.
    #[must_use]
    pub fn path(&self) -> &[SmolStr] {
        &self.path
    }

    /// Returns this node's replica of the configuration, which also records a version that could
    /// not be applied.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns all known endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoint_table
    }

    /// Returns the event counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of links whose peer has the given role: parent, child or other root.
    #[must_use]
    pub fn count_links(&self, role: Role) -> usize {
        self.links.values().filter(|link| link.role == role).count()
    }

    /// Returns the status of the fleet, as far as it was reported to this node.
    #[must_use]
    pub fn fleet_status(&self) -> Status {
        self.aggregate_fleet_status()
    }

    fn run_due_tasks(&mut self, now: Instant) {
        self.drop_silent_links(now);
        self.remove_lost_nodes(now);
        self.send_due_lease_requests(now);
        self.step_search(now);
        self.step_initial_reads(now);
        self.step_recall(now);
        self.step_gate(now);
        self.begin_announcing(now);
        self.step_fallback_poll(now);
        self.step_outage(now);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now);
        }
        if now >= self.expire_at {
            self.expire_at = now + EXPIRY_INTERVAL;
            self.endpoint_table.expire(now);
        }
        if now >= self.reannounce_at {
            self.reannounce_at = now + crate::endpoints::REFRESH_INTERVAL;
            self.reannounce(now);
        }
        self.step_sync(now);
        self.step_farewells(now);
        self.step_freshness(now);
        self.step_readings(now);
        self.step_crashes(now);
        self.step_rollouts(now);
    }

    fn on_frame(&mut self, now: Instant, key: LinkKey, frame: Frame) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        link.mark_heard(now);
        match link.role {
            Role::Accepted => self.on_handshake(now, key, &frame),
            Role::Dialled(purpose) => self.on_handshake_reply(now, key, purpose, frame),
            Role::Parent | Role::Child | Role::RootPeer => {
                self.on_established_frame(now, key, frame);
            }
        }
    }

    fn on_established_frame(&mut self, now: Instant, key: LinkKey, frame: Frame) {
        match frame {
            Frame::Heartbeat(beat) => self.on_heartbeat(now, key, &beat),
            Frame::Step {
                base,
                version,
                patch,
                digest,
            } => {
                let step = Step {
                    base,
                    version,
                    patch,
                    digest,
                };
                self.on_step(now, key, &step);
            }
            Frame::RequestUpdates { after, full } => self.on_request_updates(now, key, after, full),
            Frame::Chunk(chunk) => self.on_chunk(now, key, &chunk),
            Frame::Endpoints(list) => self.on_endpoints(now, key, &list),
            Frame::Checksums {
                checksums,
                is_reply,
            } => self.on_checksums(key, &checksums, is_reply),
            Frame::Path(path) => self.on_path(now, key, path),
            Frame::Nominate { slot } => self.on_nominate(key, slot),
            Frame::Crashes(list) => self.on_crashes(now, Origin::Link(key), &list),
            Frame::Rollouts(list) => {
                self.on_rollouts(now, rollouts::Origin::Link(key), &list);
            }
            Frame::Tallies(tallies) => self.on_neighbour_tallies(key, tallies),
            Frame::RequestConfirmation { serial, max_age_ms } => {
                self.on_request_confirmation(now, key, serial, max_age_ms);
            }
            Frame::Confirmed {
                serial,
                version,
                age_ms,
            } => self.on_confirmed(key, serial, version, age_ms),
            Frame::Unconfirmed { serial } => self.on_unconfirmed(now, key, serial),
            Frame::RequestReceipt { serial, copies } => {
                self.on_request_receipt(key, serial, copies);
            }
            Frame::Receipt { serial } => self.on_receipt(now, serial),
            Frame::Reading(reading) => self.on_reading(now, key, &reading),
            Frame::Leave { parents } => {
                self.add_hints(now, parents);
                self.drop_link(now, key, true);
            }
            // These frames are valid only during the handshake; a peer that sends such a frame
            // later has a bug.
            Frame::Join { .. }
            | Frame::Meet { .. }
            | Frame::QueryVersion
            | Frame::Admit { .. }
            | Frame::Refuse { .. } => self.drop_link(now, key, false),
        }
    }

    fn on_platform_response(&mut self, now: Instant, response: PlatformResponse) {
        let has_responded = !matches!(response, PlatformResponse::Failed(_));
        self.record_platform_response(now, has_responded);
        match response {
            PlatformResponse::Leases(leases) => self.on_leases(now, leases),
            PlatformResponse::LeaseGranted { slot } => self.on_lease_granted(now, slot),
            PlatformResponse::LeaseLost { slot } => self.on_lease_lost(now, slot),
            PlatformResponse::Failed(request) => self.on_request_failed(now, request),
            PlatformResponse::LatestVersion(version) => self.on_latest_version(now, version),
            PlatformResponse::Unchanged { at } => self.on_unchanged(at),
            PlatformResponse::Confirmed { serial, version } => {
                self.on_version_confirmed(now, serial, version);
            }
            PlatformResponse::Step {
                version,
                patch,
                digest,
            } => self.on_platform_step(now, version, patch, digest),
            PlatformResponse::Full { version, mesh } => {
                self.on_platform_full(now, version, mesh);
            }
            PlatformResponse::InvalidVersion { version, reason } => {
                self.on_invalid_version(version, reason);
            }
            PlatformResponse::Crashes(list) => {
                self.finish_initial_read(PlatformRequest::Crashes);
                self.on_crashes(now, Origin::Platform, &list);
            }
            PlatformResponse::Restored => {
                self.schedule_crash_write(now);
                self.rewrite_outcomes(now);
                self.rewrite_farewells();
            }
            PlatformResponse::Rollouts(list) => {
                self.finish_initial_read(PlatformRequest::Rollouts);
                self.on_rollouts(now, rollouts::Origin::Platform, &list);
            }
            PlatformResponse::Farewells(list) => self.on_farewells(now, &list),
            PlatformResponse::FarewellsWritten(list) => self.on_farewells_written(now, &list),
        }
    }

    pub(crate) fn add_link(&mut self, role: Role, peer: Option<Peer>, now: Instant) -> LinkKey {
        let key = LinkKey(self.next_link_key);
        self.next_link_key += 1;
        self.links.insert(key, Link::new(role, peer, now));
        key
    }

    pub(crate) fn dial(&mut self, address: SocketAddr, purpose: Purpose, now: Instant) -> LinkKey {
        let link = self.add_link(Role::Dialled(purpose), None, now);
        self.actions.push(Action::Connect { link, address });
        link
    }

    pub(crate) fn send(&mut self, link: LinkKey, frame: Frame) {
        self.actions.push(Action::Send { link, frame });
    }

    pub(crate) fn close(&mut self, link: LinkKey) -> Option<Link> {
        let closed = self.links.remove(&link)?;
        self.drop_confirmations(link);
        self.drop_receipt_requests(link);
        self.actions.push(Action::Close { link });
        Some(closed)
    }

    pub(crate) fn find_links<F>(&self, matches: F) -> Vec<LinkKey>
    where
        F: Fn(&Link) -> bool,
    {
        let links = self.links.iter().filter(|(_, link)| matches(link));
        links.map(|(key, _)| *key).collect()
    }

    pub(crate) fn has_root(&self) -> bool {
        !self.path.is_empty()
    }

    pub(crate) fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random::<f64>())
    }
}
