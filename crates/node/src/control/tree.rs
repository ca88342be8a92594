//! Runs the state machine of distribution: sockets, timers and the platform around it.

use crate::control::desk::{self, Order};
use crate::control::link::{self, Sender};
use crate::shared::Shared;
use clock::Clock;
use config::rollout::{Counts, Tally};
use config::{Rollout, State, View};
use fleet::{Action, Event, LinkKey, Node, Peer, PlatformResponse, Role, Settings};
use log::{error, info, warn};
use policy::rollout::StopReason;
use settings::node::Distribution;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};
use store::Store;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use wire::control::Frame;

/// Time between looks at what operators are told.
const TELL: Duration = Duration::from_millis(250);

/// What comes to the state machine from outside.
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
    Answer(PlatformResponse),
    Leave(oneshot::Sender<()>),
}

/// Runs until the node has left.
pub(crate) async fn run<C, S>(
    shared: Arc<Shared<C>>,
    store: S,
    sender: mpsc::Sender<Input>,
    mut inbox: mpsc::Receiver<Input>,
) where
    C: Clock,
    S: Store,
{
    let (orders, ordered) = mpsc::unbounded_channel();
    let desk = desk::run(Arc::clone(&shared), store, ordered, sender.clone());
    let desk = tokio::spawn(desk);
    let mut backend = shared.backend.subscribe();
    // A backend server may have announced itself before this task ran; what
    // stands at the subscription counts as seen, and it would never be told.
    backend.mark_changed();
    let mut leaving = shared.leaving.subscribe();
    let mut tree = Tree::new(Arc::clone(&shared), orders, sender);
    let done = loop {
        let wait = tree.wait();
        tokio::select! {
            input = inbox.recv() => match input {
                Some(Input::Leave(done)) => break Some(done),
                Some(input) => tree.take(input),
                None => break None,
            },
            changed = backend.changed() => if changed.is_ok() { tree.announce(&mut backend) },
            changed = leaving.changed() => if changed.is_ok() {
                leaving.mark_unchanged();
                tree.announce(&mut backend);
            },
            crashes = shared.quarantine.next_updates() => tree.handle(Event::LocalCrashes(crashes)),
            () = tokio::time::sleep(wait) => tree.wake(),
        }
        tree.tell();
    };
    tree.leave().await;
    // The lease is given back before the sender of requests goes.
    drop(tree);
    drop(desk.await);
    if let Some(done) = done {
        // An error means that nobody waits any more.
        let _told = done.send(());
    }
}

/// Tells why a version gets nothing more, with what was counted of both versions.
fn tell_stopped(rollout: &Rollout, fault: StopReason, tally: &Tally) {
    let sum = |counts: &[Counts]| {
        let ended: u32 = counts.iter().map(|one| one.ended).sum();
        let failed: u32 = counts.iter().map(|one| one.failed).sum();
        let slow: u32 = counts.iter().map(|one| one.slow).sum();
        format!("{ended} ended, {failed} failed, {slow} slow")
    };
    warn!(
        service = rollout.service.as_str(),
        target = rollout.target.as_str(),
        stage:? = rollout.stage,
        age_ms = rollout.age_ms,
        fault = fault.as_str(),
        trial = sum(&tally.trial),
        stable = sum(&tally.stable);
        "rollout_stopped"
    );
}

struct Tree<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    node: Node,
    links: BTreeMap<LinkKey, Sender>,
    orders: mpsc::UnboundedSender<Order>,
    inbox: mpsc::Sender<Input>,
    told_at: Instant,
    finished: Vec<tokio::task::JoinHandle<()>>,
}

impl<C> Tree<C>
where
    C: Clock,
{
    fn new(
        shared: Arc<Shared<C>>,
        orders: mpsc::UnboundedSender<Order>,
        inbox: mpsc::Sender<Input>,
    ) -> Self {
        let now = shared.clock.now();
        let started = shared.clock.wall().duration_since(UNIX_EPOCH);
        let started = started.unwrap_or_default().as_millis();
        let own = &shared.settings;
        let settings = Settings {
            local: Peer {
                node: own.name.clone(),
                zone: own.zone.clone(),
                address: own.address(),
            },
            region: own.region.clone(),
            incarnation: shared.incarnation,
            started_ms: u64::try_from(started).unwrap_or_default(),
            seeds: own.seeds.clone(),
            follows_rollouts: own.canary_share.is_some(),
            sends_full: own.distribution == Distribution::Whole,
        };
        let node = Node::new(settings, rand::random(), now);
        Self {
            shared,
            node,
            links: BTreeMap::new(),
            orders,
            inbox,
            told_at: now,
            finished: Vec::new(),
        }
    }

    /// Gives the time until the state machine is to be woken.
    fn wait(&self) -> Duration {
        let now = self.shared.clock.now();
        let next = self.node.next_wake(now).min(self.told_at + TELL);
        next.saturating_duration_since(now)
    }

    fn take(&mut self, input: Input) {
        let event = match input {
            Input::Accepted { stream, peer } => {
                let now = self.shared.clock.now();
                let key = self.node.accept(peer, now);
                self.open(key, stream);
                return;
            }
            Input::Connected { link, stream, peer } => {
                self.open(link, stream);
                Event::Connected { link, peer }
            }
            Input::Closed { link } => Event::Closed { link },
            Input::Frame { link, frame } => Event::Frame { link, frame },
            Input::Answer(answer) => Event::Platform(answer),
            Input::Leave(_) => Event::Leave,
        };
        self.handle(event);
    }

    fn open(&mut self, key: LinkKey, stream: TcpStream) {
        let sender = link::spawn(&self.shared, key, stream, self.inbox.clone());
        self.links.insert(key, sender);
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.clock.now();
        let closed = match &event {
            Event::Closed { link } => self.links.remove(link),
            _ => None,
        };
        drop(closed.map(Sender::finish));
        let actions = self.node.handle(now, event);
        for action in actions {
            self.act(action);
        }
    }

    fn wake(&mut self) {
        let tallies = self.shared.rollouts.tallies();
        if !tallies.is_empty() {
            self.handle(Event::LocalTallies(tallies));
        }
        self.handle(Event::Wake);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Connect { link, address } => {
                link::dial(&self.shared, link, address, self.inbox.clone());
            }
            Action::Send { link, frame } => self.send(link, frame),
            Action::Close { link } => {
                if let Some(sender) = self.links.remove(&link) {
                    self.finished.retain(|task| !task.is_finished());
                    self.finished.push(sender.finish());
                }
            }
            // The desk ends after this task.
            Action::QueryPlatform(request) => drop(self.orders.send(Order::Ask(request))),
            Action::WriteCrashes { slot, list } => {
                drop(self.orders.send(Order::Post { slot, list }));
            }
            Action::UpdateQuarantine(list) => {
                let shared = &self.shared;
                shared
                    .quarantine
                    .merge(&shared.clock, &shared.metrics, &list);
            }
            Action::ApplyRollouts(list) => self.shared.rollouts.set(list),
            Action::WriteRollout(rollout) => drop(self.orders.send(Order::Report(rollout))),
            Action::RolloutStopped {
                rollout,
                reason,
                tally,
            } => tell_stopped(&rollout, reason, &tally),
            Action::InstallView(view) => self.install(view),
        }
    }

    /// Sends a frame; a link that takes nothing more is closed.
    ///
    /// Guards against a peer that stopped reading: its queue would grow
    /// without end. It asks anew for what it lacks once it is back.
    fn send(&mut self, link: LinkKey, frame: Frame) {
        let Some(sender) = self.links.get(&link) else {
            return;
        };
        if !sender.send(frame) {
            self.shared.metrics.control.overflows.inc();
            drop(self.links.remove(&link).map(Sender::finish));
            let inbox = self.inbox.clone();
            tokio::spawn(async move {
                drop(inbox.send(Input::Closed { link }).await);
            });
        }
    }

    /// Serves by a view from now on, whole: one swap.
    fn install(&self, view: Arc<View>) {
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
    }

    fn announce(&mut self, backend: &mut watch::Receiver<Option<crate::shared::Backend>>) {
        let Some(own) = backend.borrow_and_update().clone() else {
            return;
        };
        let is_leaving = own.leaving || *self.shared.leaving.borrow();
        self.handle(Event::BackendAnnounced(fleet::Backend {
            process: own.process(),
            service: own.service,
            version: own.version,
            slots: own.slots,
            cold_ms: own.cold_ms,
            state: if is_leaving {
                State::Leaving
            } else {
                State::Serving
            },
        }));
    }

    /// Tells operators and metrics how the node stands.
    fn tell(&mut self) {
        let now = self.shared.clock.now();
        if now < self.told_at + TELL {
            return;
        }
        self.told_at = now;
        let before = self.shared.distribution.load();
        let next = self.read_distribution();
        let control = &self.shared.metrics.control;
        control.versions.inc_by(next.versions - before.versions);
        control.refusals.inc_by(next.refusals - before.refusals);
        control.parents.inc_by(next.parents - before.parents);
        control
            .departures
            .inc_by(next.departures - before.departures);
        control.views.inc_by(next.views - before.views);
        if next.refusals > before.refusals {
            let own = &self.shared.settings.name;
            let refusal = next.fleet.refusals.iter().find(|one| one.node == *own);
            let reason = refusal.map_or("", |refusal| refusal.reason.as_str());
            warn!(reason, held = next.held.0; "version_refused");
        }
        if next != **before {
            if next.path.first() != before.path.first() {
                let root = next.path.first().map_or("", |root| root.as_str());
                info!(root, depth = next.path.len(); "root_changed");
            }
            self.shared.distribution.store(Arc::new(next));
        }
    }

    fn read_distribution(&self) -> status::Distribution {
        let counters = self.node.counters();
        status::Distribution {
            held: self.node.version(),
            path: self.node.path().to_vec(),
            children: self.node.count_links(Role::Child),
            roots: self.node.count_links(Role::RootPeer),
            versions: counters.versions,
            refusals: counters.refusals,
            parents: counters.parents,
            departures: counters.departures,
            views: counters.views,
            reverts: self.shared.metrics.control.reverts.get(),
            fleet: self.node.fleet(),
        }
    }

    /// Tells the neighbours, and waits until that is out.
    async fn leave(&mut self) {
        self.handle(Event::Leave);
        for task in std::mem::take(&mut self.finished) {
            // A writer that broke off has nobody left to tell.
            drop(task.await);
        }
    }
}
