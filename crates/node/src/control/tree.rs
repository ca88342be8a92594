//! Drives the distribution state machine: connects it to sockets, timers and the platform.

use crate::announce::{self, farewells};
use crate::control::link::{self, Sender};
use crate::control::platform_worker::{self, Command};
use crate::freshness::SuspensionDetector;
use crate::shared::Shared;
use clock::Clock;
use config::rollout::{Counts, Tally};
use config::{Rollout, State, View};
use fleet::{Action, Event, LinkKey, Node, Peer, PlatformResponse, Role, Settings};
use log::{error, info, warn};
use policy::rollout::StopReason;
use settings::node::Distribution;
use smol_str::ToSmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};
use store::Store;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use wire::control::Frame;

/// Interval at which the status and metrics for operators are updated.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Inputs to the state machine.
#[derive(Debug)]
pub(crate) enum Input {
    Accepted {
        stream: TcpStream,
        peer: Peer,
    },
    Connected {
        link: LinkKey,
        stream: TcpStream,
        peer: Peer,
    },
    Closed {
        link: LinkKey,
    },
    Frame {
        link: LinkKey,
        frame: Frame,
    },
    Response(PlatformResponse),
    Leave(oneshot::Sender<()>),
}

/// Runs the state machine until the node has left.
pub(crate) async fn run<C, S>(
    shared: Arc<Shared<C>>,
    store: S,
    sender: mpsc::Sender<Input>,
    mut inbox: mpsc::Receiver<Input>,
    mut farewells: mpsc::UnboundedReceiver<farewells::Request>,
) where
    C: Clock,
    S: Store,
{
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let worker = platform_worker::run(Arc::clone(&shared), store, command_receiver, sender.clone());
    let worker = tokio::spawn(worker);
    let mut backend = shared.backend.subscribe();
    // The backend server may have announced itself before this task ran. The value at the time of
    // the subscription counts as seen, so without this call the announcement would never be
    // propagated.
    backend.mark_changed();
    let mut leaving = shared.leaving.subscribe();
    let mut driver = Driver::new(Arc::clone(&shared), commands, sender);
    let done = loop {
        let wait = driver.until_next_wake();
        tokio::select! {
            input = inbox.recv() => match input {
                Some(Input::Leave(done)) => break Some(done),
                Some(input) => driver.handle_input(input),
                None => break None,
            },
            changed = backend.changed() => if changed.is_ok() { driver.announce(&mut backend) },
            changed = leaving.changed() => if changed.is_ok() {
                leaving.mark_unchanged();
                driver.announce(&mut backend);
            },
            Some(request) = farewells.recv() => driver.take_farewell(request),
            list = shared.quarantine.next_updates() => driver.handle(Event::LocalCrashes(list)),
            () = tokio::time::sleep(wait) => driver.wake(),
        }
        driver.publish_status();
    };
    driver.leave().await;
    // The release of the lease is queued before the sender of commands is dropped.
    drop(driver);
    drop(worker.await);
    if let Some(done) = done {
        // An error means that the receiver no longer waits.
        let _sent = done.send(());
    }
}

/// Logs why a roll-out was stopped, with the call counts of the new version and of the other
/// versions.
fn log_stopped_rollout(rollout: &Rollout, reason: StopReason, tally: &Tally) {
    let sum = |kinds: &[Counts]| {
        let ended: u32 = kinds.iter().map(|counts| counts.ended).sum();
        let failed: u32 = kinds.iter().map(|counts| counts.failed).sum();
        let slow: u32 = kinds.iter().map(|counts| counts.slow).sum();
        format!("{ended} ended, {failed} failed, {slow} slow")
    };
    warn!(
        service = rollout.service.as_str(),
        target = rollout.target.as_str(),
        stage:? = rollout.stage,
        age_ms = rollout.age_ms,
        fault = reason.as_str(),
        trial = sum(&tally.trial),
        stable = sum(&tally.stable);
        "rollout_stopped"
    );
}

struct Driver<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    node: Node,
    links: BTreeMap<LinkKey, Sender>,
    commands: mpsc::UnboundedSender<Command>,
    inbox: mpsc::Sender<Input>,
    status_updated_at: Instant,
    suspension: SuspensionDetector,
    closing_writers: Vec<tokio::task::JoinHandle<()>>,
    /// Requests that wait until their farewell is recorded.
    unreceived: Vec<farewells::Request>,
}

impl<C> Driver<C>
where
    C: Clock,
{
    fn new(
        shared: Arc<Shared<C>>,
        commands: mpsc::UnboundedSender<Command>,
        inbox: mpsc::Sender<Input>,
    ) -> Self {
        let now = shared.clock.now();
        let started = shared.clock.wall().duration_since(UNIX_EPOCH);
        let started = started.unwrap_or_default().as_millis();
        let node_settings = &shared.settings;
        let settings = Settings {
            local: Peer {
                node: node_settings.name.clone(),
                zone: node_settings.zone.clone(),
                address: node_settings.advertised_address(),
            },
            region: node_settings.region.clone(),
            incarnation: shared.incarnation,
            started_ms: u64::try_from(started).unwrap_or_default(),
            seeds: node_settings.seeds.clone(),
            follows_rollouts: node_settings.canary_share.is_some(),
            sends_full: node_settings.distribution == Distribution::Full,
            // Without a bound for keys, lenders of teams' tokens still need to know it.
            max_config_age: node_settings.revoke.or(node_settings.team_window),
        };
        let node = Node::new(settings, rand::random(), now);
        let suspension = SuspensionDetector::new(&shared.clock);
        Self {
            shared,
            node,
            links: BTreeMap::new(),
            commands,
            inbox,
            status_updated_at: now,
            suspension,
            closing_writers: Vec::new(),
            unreceived: Vec::new(),
        }
    }

    fn take_farewell(&mut self, request: farewells::Request) {
        let farewell = request.farewell;
        self.unreceived
            .retain(|request| !request.received.is_closed());
        self.unreceived.push(request);
        self.handle(Event::BackendLeft(farewell));
    }

    /// Notifies the requests that waited for the farewell of `process` to be recorded.
    fn finish_farewells(&mut self, process: u64) {
        let is_received = |request: &mut farewells::Request| request.farewell.process == process;
        for request in self.unreceived.extract_if(.., is_received) {
            // An error means that the request has timed out.
            let _sent = request.received.send(());
        }
    }

    /// Returns the time until the next timer of the state machine or the next status update,
    /// whichever comes first.
    fn until_next_wake(&self) -> Duration {
        let now = self.shared.clock.now();
        let next = self
            .node
            .next_wake(now)
            .min(self.status_updated_at + STATUS_INTERVAL);
        next.saturating_duration_since(now)
    }

    fn handle_input(&mut self, input: Input) {
        let event = match input {
            Input::Accepted { stream, peer } => {
                let now = self.shared.clock.now();
                let key = self.node.accept(peer, now);
                self.open_link(key, stream);
                return;
            }
            Input::Connected { link, stream, peer } => {
                self.open_link(link, stream);
                Event::Connected { link, peer }
            }
            Input::Closed { link } => Event::Closed { link },
            Input::Frame { link, frame } => Event::Frame { link, frame },
            Input::Response(response) => Event::Platform(response),
            Input::Leave(_) => Event::Leave,
        };
        self.handle(event);
    }

    fn open_link(&mut self, key: LinkKey, stream: TcpStream) {
        let sender = link::spawn(&self.shared, key, stream, self.inbox.clone());
        self.links.insert(key, sender);
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.clock.now();
        let closed = match &event {
            Event::Closed { link } => self.links.remove(link),
            _ => None,
        };
        drop(closed.map(Sender::close));
        if self.suspension.was_suspended(&self.shared.clock) {
            let actions = self.node.handle(now, Event::Suspended);
            self.perform_all(actions);
        }
        let actions = self.node.handle(now, event);
        self.perform_all(actions);
    }

    fn perform_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn wake(&mut self) {
        let tallies = self.shared.rollouts.tallies();
        if !tallies.is_empty() {
            self.handle(Event::LocalTallies(tallies));
        }
        self.handle(Event::Wake);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Connect { link, address } => {
                link::dial(&self.shared, link, address, self.inbox.clone());
            }
            Action::Send { link, frame } => self.send(link, frame),
            Action::Close { link } => {
                if let Some(sender) = self.links.remove(&link) {
                    self.closing_writers.retain(|task| !task.is_finished());
                    self.closing_writers.push(sender.close());
                }
            }
            // Sending can't fail: the worker that receives the commands ends after this task.
            Action::QueryPlatform(request) => drop(self.commands.send(Command::Query(request))),
            Action::WriteCrashes { slot, list } => {
                drop(self.commands.send(Command::WriteCrashes { slot, list }));
            }
            Action::UpdateQuarantine(list) => {
                let shared = &self.shared;
                shared
                    .quarantine
                    .merge(&shared.clock, &shared.metrics, &list);
            }
            Action::WriteFarewells(list) => {
                drop(self.commands.send(Command::WriteFarewells(list)));
            }
            Action::RewriteFarewells(list) => {
                drop(self.commands.send(Command::RewriteFarewells(list)));
            }
            Action::FarewellReceived(process) => self.finish_farewells(process),
            Action::UpdateFarewells(list) => announce::learn_farewells(&self.shared, &list),
            Action::ApplyRollouts(list) => self.shared.rollouts.set(list),
            Action::WriteRollout(rollout) => {
                drop(self.commands.send(Command::WriteRollout(rollout)));
            }
            Action::RolloutStopped {
                rollout,
                reason,
                tally,
            } => log_stopped_rollout(&rollout, reason, &tally),
            Action::InstallView(view) => self.install_view(view),
            Action::SetConfirmed(at) => self.shared.freshness.set(&self.shared.clock, at),
        }
    }

    /// Sends a frame; closes the link if its send queue is full.
    ///
    /// Guards against a peer that has stopped reading, whose queue would grow without limit. The
    /// peer requests what it has missed when it reconnects.
    fn send(&mut self, link: LinkKey, frame: Frame) {
        let Some(sender) = self.links.get(&link) else {
            return;
        };
        if !sender.send(frame) {
            self.shared.metrics.control.overflows.inc();
            drop(self.links.remove(&link).map(Sender::close));
            let inbox = self.inbox.clone();
            tokio::spawn(async move {
                drop(inbox.send(Input::Closed { link }).await);
            });
        }
    }

    /// Atomically replaces the view that calls are routed by.
    fn install_view(&self, view: Arc<View>) {
        let before = self.shared.view.load().version();
        if view.version() < before {
            self.shared.metrics.control.reverts.inc();
            error!(version = view.version().0, held = before.0; "revert_refused");
            return;
        }
        if view.version() > before {
            info!(version = view.version().0; "version_installed");
        }
        self.shared.view.store(view);
        self.shared.reach_view_steps();
    }

    fn announce(&mut self, backend: &mut watch::Receiver<Option<crate::shared::Backend>>) {
        let Some(local) = backend.borrow_and_update().clone() else {
            return;
        };
        let is_leaving = local.leaving || *self.shared.leaving.borrow();
        self.handle(Event::BackendAnnounced(fleet::Backend {
            process: local.process(),
            service: local.service,
            version: local.version,
            slots: local.slots,
            cold_ms: local.cold_ms,
            state: if is_leaving {
                State::Leaving
            } else {
                State::Serving
            },
        }));
    }

    /// Updates the status and metrics for operators.
    fn publish_status(&mut self) {
        let now = self.shared.clock.now();
        if now < self.status_updated_at + STATUS_INTERVAL {
            return;
        }
        self.status_updated_at = now;
        let before = self.shared.distribution.load();
        let next = self.distribution_status();
        let control = &self.shared.metrics.control;
        control
            .applied_versions
            .inc_by(next.applied_versions - before.applied_versions);
        control
            .refused_versions
            .inc_by(next.refused_versions - before.refused_versions);
        control
            .parent_joins
            .inc_by(next.parent_joins - before.parent_joins);
        control
            .fallback_polls
            .inc_by(next.fallback_polls - before.fallback_polls);
        control
            .failed_polls
            .inc_by(next.failed_polls - before.failed_polls);
        control
            .departures
            .inc_by(next.departures - before.departures);
        control
            .built_views
            .inc_by(next.built_views - before.built_views);
        if next.refused_versions > before.refused_versions {
            let local = &self.shared.settings.name;
            let refusal = next
                .fleet
                .refusals
                .iter()
                .find(|refusal| refusal.node == *local);
            let reason = refusal.map_or("", |refusal| refusal.reason.as_str());
            warn!(reason, held = next.held_version.0; "version_refused");
        }
        if next.fallback_polls > before.fallback_polls || next.failed_polls > before.failed_polls {
            let root = next.path.first().map_or("", |root| root.as_str());
            let age = self.shared.freshness.age(&self.shared.clock);
            let age_ms = age.map(|age| age.as_millis().to_smolstr());
            info!(
                root,
                polls = next.fallback_polls,
                failed = next.failed_polls,
                held = next.held_version.0,
                age_ms:% = age_ms.unwrap_or_default();
                "reading_late"
            );
        }
        if next != **before {
            if next.path.first() != before.path.first() {
                let root = next.path.first().map_or("", |root| root.as_str());
                info!(root, depth = next.path.len(); "root_changed");
            }
            self.shared.distribution.store(Arc::new(next));
        }
    }

    fn distribution_status(&self) -> status::Distribution {
        let counters = self.node.counters();
        status::Distribution {
            held_version: self.node.version(),
            path: self.node.path().to_vec(),
            children: self.node.count_links(Role::Child),
            roots: self.node.count_links(Role::RootPeer),
            applied_versions: counters.applied_versions,
            refused_versions: counters.refused_versions,
            parent_joins: counters.parent_joins,
            fallback_polls: counters.fallback_polls,
            failed_polls: counters.failed_polls,
            departures: counters.departures,
            built_views: counters.built_views,
            reverts: self.shared.metrics.control.reverts.get(),
            fleet: self.node.fleet_status(),
        }
    }

    /// Tells the linked nodes that this node leaves, and waits until the frames are written.
    async fn leave(&mut self) {
        self.handle(Event::Leave);
        for task in std::mem::take(&mut self.closing_writers) {
            // A writer that failed has lost its peer, so the error is ignored.
            drop(task.await);
        }
    }
}
