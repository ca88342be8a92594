//! Which backend server of a service a call goes to.
//!
//! *Load pattern:* many outbound proxies that see the same figures, backend
//! servers that are slow, cold, full or lie, some in the own availability zone
//! and some elsewhere. *Without it*: round robin gives the slow one as much as
//! the fast; the least loaded of all by reports that lag sends everybody to
//! the same one, then to the next. *Grounds:* two choices at random (Mitzenmacher,
//! "The Power of Two Choices in Randomized Load Balancing", 2001) come within
//! a constant of the best, and stay good when figures are old ("How Useful Is
//! Old Information?", 2000). Scores come from calls in flight, from what the
//! inbound proxies say of their queues, and from durations seen; health
//! reported by backend servers is not used at all. There is no affinity by
//! key, so a hot key spreads over all.

use crate::choice::PickContext;
use crate::duration;
use crate::load_probe::ProbeTrigger;
use crate::outlier::{self, EjectionState, PeerAverages, Sample};
use crate::server::Server;
use call::{Digest, owner};
use rand::Rng;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// One process of one node: a restart is another one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Name of the node.
    pub node: SmolStr,
    /// Random number of its process.
    pub incarnation: u64,
}

/// How far away a backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// On the same VM: no other node is on the way.
    Vm,
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the region.
    Region,
    /// In another region.
    Far,
}

/// Which calls a backend server takes while a version of its service is brought in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Track {
    /// All.
    #[default]
    Stable,
    /// Those that try the new version.
    Trial,
    /// None.
    Excluded,
}

/// A backend server as the view names it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Which one.
    pub identity: Identity,
    /// How far away.
    pub distance: Distance,
    /// Calls that it says it runs at once.
    pub slots: u16,
    /// Names the process of the backend server behind the node.
    pub process: u64,
    /// How long it is slow from now on, if it says so.
    pub warm_up: Option<Duration>,
    /// Which calls it takes.
    pub track: Track,
}

/// A call that asks for a backend server.
#[derive(Debug, Clone, Copy)]
pub struct PickArgs<'a> {
    /// Those that have refused it.
    pub tried: &'a [Key],
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its route, as a [`crate::hash`].
    pub route: u64,
    /// Until when an answer is worth most, if that is known.
    pub target: Option<Instant>,
}

/// Names a backend server within one [`Balancer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// What an inbound proxy tells of itself with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Its [`load`](crate::admission::Admission::load).
    pub load: f64,
    /// How long the call waited there for a slot.
    pub queue_wait: Duration,
}

/// What a call came to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// It was answered; what the inbound proxy told along with it, if it did.
    Answered(Option<LoadReport>),
    /// A copy that was sent later elsewhere was answered first.
    HedgeWon,
    /// It failed, or its link did.
    Failed,
    /// It was refused as there is too much load.
    Full,
    /// The backend server refused it, though its inbound proxy had found room.
    Shed,
    /// It was refused as the backend server leaves.
    Leaving,
    /// Its caller went away; nothing is learnt.
    Cancelled,
}

/// Load that a refusal stands for.
const FULL_LOAD: f64 = 1.5;

/// The backend servers of one service, as one outbound proxy sees them.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) servers: Vec<Server>,
    free_indices: Vec<u32>,
    index_by_identity: HashMap<Identity, u32>,
    /// In the choice, nearest first.
    pub(crate) tiers: [Vec<u32>; 4],
    /// In the choice for calls that try a new version.
    pub(crate) trial: Vec<u32>,
    pub(crate) durations: duration::Estimator,
    half_open_at: Option<Instant>,
    pub(crate) probe_trigger: ProbeTrigger,
}

impl Balancer {
    /// Makes a balance that knows no backend server.
    #[must_use]
    pub fn new() -> Self {
        Self {
            servers: Vec::new(),
            free_indices: Vec::new(),
            index_by_identity: HashMap::new(),
            tiers: Default::default(),
            trial: Vec::new(),
            durations: duration::Estimator::new(duration::SERVICE_ROWS),
            half_open_at: None,
            probe_trigger: ProbeTrigger::default(),
        }
    }

    /// Takes in the backend servers of a new view; what is known of those that stay is kept.
    pub fn sync<I>(&mut self, now: Instant, candidates: I)
    where
        I: IntoIterator<Item = Candidate>,
    {
        let is_initial = self.index_by_identity.is_empty();
        for server in &mut self.servers {
            server.in_view = false;
            // A newer view knows better; one that lags costs a refusal at the door.
            server.leaving = false;
        }
        for candidate in candidates {
            let index = match self.index_by_identity.get(&candidate.identity) {
                Some(index) => *index,
                None => self.add(now, &candidate, is_initial),
            };
            let server = &mut self.servers[index as usize];
            server.in_view = true;
            server.update_process(now, &candidate);
            server.distance = candidate.distance;
            server.arm = candidate.track;
            server.slots = f64::from(candidate.slots.max(1));
        }
        self.rebuild_tiers();
    }

    /// Gives how many backend servers may be chosen from.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tiers.iter().map(Vec::len).sum()
    }

    /// Tells whether there is none to choose from.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gives the seconds that a call of `route` is expected to take.
    #[must_use]
    pub fn expected_duration(&self, route: u64) -> Duration {
        Duration::try_from_secs_f64(self.durations.expected(route)).unwrap_or(Duration::ZERO)
    }

    /// Tells whether one has just started and is slow for that.
    #[must_use]
    pub fn is_cold(&self, now: Instant, key: Key) -> bool {
        self.get(key)
            .is_some_and(|server| server.slow_start_weight(now) < 1.0)
    }

    /// Gives the identity behind a key, while it is known.
    #[must_use]
    pub fn identity(&self, key: Key) -> Option<&Identity> {
        self.get(key).map(|server| &server.identity)
    }

    /// Chooses a backend server, and counts a call to it.
    ///
    /// Only a `repeatable` call is used to probe one that was ejected: a
    /// commit that a sick backend server swallows is a clerk on the telephone.
    pub fn pick<R>(&mut self, now: Instant, args: &PickArgs<'_>, rng: &mut R) -> Option<Key>
    where
        R: Rng,
    {
        let call = PickContext::new(now, args);
        let half_open = args
            .repeatable
            .then(|| self.find_half_open(now, args.tried))
            .flatten();
        let index = half_open.or_else(|| self.select(&call, rng))?;
        self.servers[index as usize].start_call(now);
        Some(self.key(index))
    }

    /// Chooses a backend server for a call that tries a new version, and counts the call to it.
    pub fn pick_trial<R>(&mut self, now: Instant, args: &PickArgs<'_>, rng: &mut R) -> Option<Key>
    where
        R: Rng,
    {
        let index = self.select_of_two(&self.trial, &PickContext::new(now, args), rng)?;
        self.servers[index as usize].start_call(now);
        Some(self.key(index))
    }

    /// Chooses the backend server that all outbound proxies choose for a request, as far as
    /// they know the same ones, and counts a call to it.
    ///
    /// *Load pattern:* a request that crashes what runs it comes at many nodes in the same
    /// instant. *Without one owner* its copies run beside each other, and a whole service is
    /// down before the first crash can hold it; with one they wait there for each other.
    pub fn pick_owner(
        &mut self,
        now: Instant,
        args: &PickArgs<'_>,
        request: Digest,
    ) -> Option<Key> {
        let open = self
            .tier_members()
            .filter(|index| !args.tried.contains(&self.key(*index)));
        let index = open.max_by_key(|index| {
            let server = &self.servers[*index as usize];
            let is_active = server.health.state(now) == EjectionState::Active;
            (
                is_active,
                owner::rank(request.seed(), &server.identity.node),
            )
        })?;
        self.servers[index as usize].start_call(now);
        Some(self.key(index))
    }

    /// Takes in what a call of [`Balancer::pick`] came to.
    pub fn finish<R>(
        &mut self,
        now: Instant,
        key: Key,
        route: u64,
        took: Duration,
        outcome: Outcome,
        rng: &mut R,
    ) where
        R: Rng,
    {
        if outcome == Outcome::Failed {
            self.probe_trigger.record_failure(now);
        }
        let Some(server) = self.get_mut(key) else {
            return;
        };
        server.end_call(now.checked_sub(took).unwrap_or(now));
        match outcome {
            Outcome::Answered(report) => {
                if let Some(report) = report {
                    server.set_load(now, report.load);
                    self.probe_trigger.record_load(report.load);
                }
                // A wait is told by the load. Counted as slowness as well, it
                // would keep calls away long after the queue is gone.
                let took =
                    took.saturating_sub(report.map_or(Duration::ZERO, |report| report.queue_wait));
                let expected = self.durations.expected(route);
                self.durations.record(route, took, false);
                let slowdown = took.as_secs_f64() / expected.max(1e-6);
                self.servers[key.index as usize].record_slowdown(now, slowdown);
                self.observe(now, key.index, Sample::Answered(slowdown), rng);
            }
            // How long it would have taken is not known, but that it was slow
            // is. Counted by the time it had, a backend server whose calls are
            // all overtaken would look hardly slow, and go on to get its share.
            Outcome::HedgeWon => {
                let slowdown = took.as_secs_f64() / self.durations.expected(route).max(1e-6);
                let slowdown = slowdown.max(outlier::SLOW_FACTOR);
                self.servers[key.index as usize].record_slowdown(now, slowdown);
                self.observe(now, key.index, Sample::Answered(slowdown), rng);
            }
            Outcome::Full => {
                server.set_load(now, FULL_LOAD);
                self.probe_trigger.record_load(FULL_LOAD);
            }
            // Refused although there was room: that is no load but a fault, and
            // one that the others don't have puts it out of the choice.
            Outcome::Failed | Outcome::Shed => self.observe(now, key.index, Sample::Failed, rng),
            Outcome::Leaving => {
                server.leaving = true;
                self.rebuild_tiers();
            }
            Outcome::Cancelled => {}
        }
        self.free_if_gone(key.index);
    }

    /// Tells whether one that has not refused the call is not known to be full.
    ///
    /// In an overload of the whole service all have said so within the last
    /// tenths of a second, and a further door would be tried for nothing.
    #[must_use]
    pub fn has_room(&self, now: Instant, tried: &[Key]) -> bool {
        self.tier_members().any(|index| {
            let server = &self.servers[index as usize];
            !tried.contains(&self.key(index))
                && server.health.state(now) == EjectionState::Active
                && server.load(now) < 1.0
        })
    }

    fn add(&mut self, now: Instant, candidate: &Candidate, is_initial: bool) -> u32 {
        let mut server = Server::new(now, candidate, is_initial);
        let index = if let Some(index) = self.free_indices.pop() {
            let place = &mut self.servers[index as usize];
            server.generation = place.generation;
            *place = server;
            index
        } else {
            self.servers.push(server);
            u32::try_from(self.servers.len() - 1).unwrap_or(u32::MAX)
        };
        self.index_by_identity
            .insert(candidate.identity.clone(), index);
        index
    }

    fn rebuild_tiers(&mut self) {
        self.tiers.iter_mut().for_each(Vec::clear);
        self.trial.clear();
        for (index, server) in (0..).zip(&self.servers) {
            if !server.in_view || server.leaving {
                continue;
            }
            match server.arm {
                Track::Stable => self.tiers[server.distance as usize].push(index),
                Track::Trial => self.trial.push(index),
                Track::Excluded => {}
            }
        }
        for index in 0..u32::try_from(self.servers.len()).unwrap_or(u32::MAX) {
            self.free_if_gone(index);
        }
    }

    /// Frees the place of one that is gone, once its last call has ended.
    fn free_if_gone(&mut self, index: u32) {
        let server = &mut self.servers[index as usize];
        if !server.in_view
            && server.in_flight == 0
            && self.index_by_identity.remove(&server.identity).is_some()
        {
            server.generation = server.generation.wrapping_add(1);
            self.free_indices.push(index);
        }
    }

    fn find_half_open(&mut self, now: Instant, tried: &[Key]) -> Option<u32> {
        if self.half_open_at.is_none_or(|due| now < due) {
            return None;
        }
        let found = self.tier_members().find(|index| {
            let server = &self.servers[*index as usize];
            server.in_flight == 0
                && server.health.state(now) == EjectionState::HalfOpen
                && !tried.contains(&self.key(*index))
        });
        if found.is_none() {
            self.half_open_at = self.next_half_open();
        }
        found
    }

    /// Tells whether the call is to probe one that was ejected.
    pub(crate) fn has_half_open(&mut self, now: Instant, args: &PickArgs<'_>) -> bool {
        args.repeatable && self.find_half_open(now, args.tried).is_some()
    }

    pub(crate) fn start_call(&mut self, now: Instant, key: Key) {
        if let Some(server) = self.get_mut(key) {
            server.start_call(now);
        }
    }

    pub(crate) fn set_load(&mut self, now: Instant, key: Key, load: f64) {
        if let Some(server) = self.get_mut(key) {
            server.set_load(now, load);
        }
    }

    /// Notes that one did not tell its outlook.
    pub(crate) fn record_missed_probe(&mut self, now: Instant, key: Key) {
        if let Some(server) = self.get_mut(key) {
            server.record_missed_probe(now);
        }
    }

    pub(crate) fn distance(&self, key: Key) -> Option<Distance> {
        self.get(key).map(|server| server.distance)
    }

    /// Gives how many times its cost a call to one is weighed for its failures.
    pub(crate) fn failure_factor(&self, key: Key, repeatable: bool) -> Option<f64> {
        self.get(key)
            .map(|server| server.failure_factor(repeatable))
    }

    fn next_half_open(&self) -> Option<Instant> {
        self.tier_members()
            .filter_map(|index| self.servers[index as usize].health.ejected_until())
            .min()
    }

    fn observe<R>(&mut self, now: Instant, index: u32, sample: Sample, rng: &mut R)
    where
        R: Rng,
    {
        if self.servers[index as usize]
            .health
            .record_if_normal(now, sample)
        {
            return;
        }
        let peers = self.peer_averages(index, now);
        let server = &mut self.servers[index as usize];
        if server.health.record(now, sample, &peers, rng) {
            server.restart_slow_start(now);
        }
        let server = &self.servers[index as usize];
        if server.health.state(now) != EjectionState::Active || !server.health.is_outlier(&peers) {
            return;
        }
        let ejected = self
            .tier_members()
            .filter(|other| {
                self.servers[*other as usize].health.state(now) != EjectionState::Active
            })
            .count();
        if outlier::can_eject_another(self.len(), ejected) {
            self.servers[index as usize].health.eject(now, rng);
            self.half_open_at = self.next_half_open();
        }
    }

    /// Averages over the others in the choice.
    fn peer_averages(&self, index: u32, now: Instant) -> PeerAverages {
        let mut count = 0.0;
        let mut sum = PeerAverages {
            failure_rate: 0.0,
            slowdown: 0.0,
        };
        for other in self.tier_members().filter(|other| *other != index) {
            let health = &self.servers[other as usize].health;
            if health.state(now) == EjectionState::Active {
                count += 1.0;
                sum.failure_rate += health.failure_rate();
                sum.slowdown += health.slowdown();
            }
        }
        if count < 1.0 {
            return PeerAverages {
                failure_rate: 1.0,
                slowdown: f64::INFINITY,
            };
        }
        PeerAverages {
            failure_rate: sum.failure_rate / count,
            slowdown: sum.slowdown / count,
        }
    }

    pub(crate) fn tier_members(&self) -> impl Iterator<Item = u32> {
        self.tiers.iter().flatten().copied()
    }

    pub(crate) fn key(&self, index: u32) -> Key {
        Key {
            index,
            generation: self.servers[index as usize].generation,
        }
    }

    fn get(&self, key: Key) -> Option<&Server> {
        self.servers
            .get(key.index as usize)
            .filter(|server| server.generation == key.generation)
    }

    fn get_mut(&mut self, key: Key) -> Option<&mut Server> {
        self.servers
            .get_mut(key.index as usize)
            .filter(|server| server.generation == key.generation)
    }
}

impl Default for Balancer {
    fn default() -> Self {
        Self::new()
    }
}
