//! Selects the backend server of a service that a call goes to.
//!
//! Several outbound proxies balance over the same backend servers with the same, partly outdated
//! load figures. Some backend servers are slow, still warming up, full, or report a wrong health,
//! and only some are in the local availability zone. Round robin would give a slow backend server
//! as many calls as a fast one. Always selecting the backend server with the lowest reported load
//! would, as reports are delayed, make all proxies move to the same backend server, and then
//! together to the next.
//!
//! The balancer picks the better of two random choices (Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing", 2001), which comes within a constant factor of the optimum and still
//! works with old load figures ("How Useful Is Old Information?", 2000). Scores are computed from
//! the calls in flight, the queue load that inbound proxies report, and measured durations. Health
//! that backend servers report about themselves is not used. There is no key affinity, so the calls
//! for a hot key are spread over all backend servers.

use crate::choice::PickContext;
use crate::duration;
use crate::load_probe::ProbeTrigger;
use crate::outlier::{self, EjectionState, PeerAverages, Sample};
use crate::pace::Slowness;
use crate::server::Server;
use call::{Digest, owner};
use rand::Rng;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Identifies one process of one node; a restarted node has a new identity.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Name of the node.
    pub node: SmolStr,
    /// Random number chosen when the node's process starts.
    pub incarnation: u64,
}

/// How far away a backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// On the same VM: a call passes no other node.
    Vm,
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region.
    Far,
}

/// Which calls a backend server takes during a roll-out of its service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Track {
    /// All calls outside the trial.
    #[default]
    Stable,
    /// Only calls that are sampled to try the new version.
    Trial,
    /// No calls.
    Excluded,
}

/// A backend server as listed in the configuration view.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Node and process that identify it.
    pub identity: Identity,
    /// Distance from this proxy.
    pub distance: Distance,
    /// Number of concurrent calls that it advertises.
    pub slots: u16,
    /// Identifies the backend server's process behind the node.
    pub process: u64,
    /// Time from now until it reaches full speed, if advertised.
    pub warm_up: Option<Duration>,
    /// Which calls it takes during a roll-out.
    pub track: Track,
    /// Whether its process has named a limit on the rate of its calls.
    pub is_rate_limited: bool,
    /// Whether its process has reported that it is leaving.
    pub has_left: bool,
}

/// What a pick depends on besides the state of the backend servers.
#[derive(Debug, Clone, Copy)]
pub struct PickArgs<'a> {
    /// Backend servers that the call has been sent to already; they are not picked again.
    pub tried: &'a [Key],
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Hash of the route ([`crate::hash`]).
    pub route: u64,
    /// Latency target, if there is one; an answer after it has lost most of its value.
    pub target: Option<Instant>,
}

/// Identifies a backend server within one [`Balancer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// Load figures that an inbound proxy attaches to an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Load of the inbound proxy, as returned by
    /// [`Admission::load`](crate::admission::Admission::load).
    pub load: f64,
    /// How long the call waited for a slot at the inbound proxy.
    pub queue_wait: Duration,
    /// How long calls take now, in multiples of their usual duration, if the backend server reports
    /// it.
    pub pace: Option<f64>,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// It was answered, with a load report if the inbound proxy sent one.
    Answered(Option<LoadReport>),
    /// A hedge sent later to another backend server was answered first.
    HedgeWon,
    /// The call or its connection failed.
    Failed,
    /// Admission control refused it because of overload.
    Full,
    /// The backend server itself refused it after its inbound proxy had admitted it.
    Shed,
    /// It was refused because the backend server is leaving.
    Leaving,
    /// The caller went away; the outcome says nothing about the backend server.
    Cancelled,
}

/// Load that a backend server is assumed to have after it refused a call as full.
const FULL_LOAD: f64 = 1.5;

/// Longest time for which a backend server whose rate limit is used up is not probed. Its limit may
/// rise or end meanwhile.
const MAX_WAIT_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a backend server with a rate limit is not probed after it refused a call.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// Load balancer of one service in one outbound proxy.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) servers: Vec<Server>,
    free_indices: Vec<u32>,
    index_by_identity: HashMap<Identity, u32>,
    /// Selectable backend servers by distance, nearest first.
    pub(crate) tiers: [Vec<u32>; 4],
    /// Backend servers that only take calls of a trial.
    pub(crate) trial: Vec<u32>,
    pub(crate) durations: duration::Estimator,
    /// Earliest end of any current ejection; from then on, a call may test an ejected backend
    /// server.
    half_open_at: Option<Instant>,
    pub(crate) probe_trigger: ProbeTrigger,
    /// Whether a backend server has named a limit on the rate of its calls.
    pub(crate) has_rate_limits: bool,
}

impl Balancer {
    /// Creates a balancer without backend servers.
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
            has_rate_limits: false,
        }
    }

    /// Replaces the list of backend servers by that of a new view; measurements of the backend
    /// servers that stay are kept.
    pub fn sync<I>(&mut self, now: Instant, candidates: I)
    where
        I: IntoIterator<Item = Candidate>,
    {
        let is_initial = self.index_by_identity.is_empty();
        for server in &mut self.servers {
            server.in_view = false;
            // The new view overrides an earlier refusal because of leaving. If the view is
            // outdated, the cost is one more refused call.
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
            server.track = candidate.track;
            server.slots = f64::from(candidate.slots.max(1));
            server.is_rate_limited = candidate.is_rate_limited;
            server.leaving = candidate.has_left;
        }
        self.rebuild_tiers();
    }

    /// Returns the number of backend servers to select from.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tiers.iter().map(Vec::len).sum()
    }

    /// Returns whether there is no backend server to select from.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the expected duration of a call of `route`.
    #[must_use]
    pub fn expected_duration(&self, route: u64) -> Duration {
        Duration::try_from_secs_f64(self.durations.expected(route)).unwrap_or(Duration::ZERO)
    }

    /// Returns whether a backend server is in slow start.
    #[must_use]
    pub fn is_cold(&self, now: Instant, key: Key) -> bool {
        self.get(key)
            .is_some_and(|server| server.slow_start_weight(now) < 1.0)
    }

    /// Returns the identity of a backend server, or `None` once it has been removed.
    #[must_use]
    pub fn identity(&self, key: Key) -> Option<&Identity> {
        self.get(key).map(|server| &server.identity)
    }

    /// Picks a backend server and counts a call to it.
    ///
    /// Only a `repeatable` call may be sent to an ejected backend server to test whether it has
    /// recovered: a commit lost there could not be retried and would have to be followed up by
    /// hand.
    pub fn pick<R>(&mut self, now: Instant, args: &PickArgs<'_>, rng: &mut R) -> Option<Key>
    where
        R: Rng,
    {
        let call = PickContext::new(now, args);
        let half_open = args
            .repeatable
            .then(|| self.find_half_open(now, args.tried))
            .flatten();
        let index = half_open.or_else(|| self.select_unlimited_first(&call, rng))?;
        self.servers[index as usize].start_call(now);
        Some(self.key(index))
    }

    /// Returns whether a backend server has named a limit on the rate of its calls.
    #[must_use]
    pub fn is_rate_limited(&self, key: Key) -> bool {
        self.get(key).is_some_and(|server| server.is_rate_limited)
    }

    /// Picks a backend server on the trial track and counts a call to it.
    pub fn pick_trial<R>(&mut self, now: Instant, args: &PickArgs<'_>, rng: &mut R) -> Option<Key>
    where
        R: Rng,
    {
        let index = self.select_of_two(&self.trial, &PickContext::new(now, args), rng)?;
        self.servers[index as usize].start_call(now);
        Some(self.key(index))
    }

    /// Picks the backend server that every outbound proxy with the same view picks for a request,
    /// and counts a call to it.
    ///
    /// A request that crashes backend servers can arrive at many nodes at the same instant. If its
    /// copies ran on different backend servers in parallel, the whole service would be down before
    /// the first crash could quarantine the request. With a common owner, the copies queue behind
    /// each other at one backend server.
    pub fn pick_owner(
        &mut self,
        now: Instant,
        args: &PickArgs<'_>,
        request: Digest,
    ) -> Option<Key> {
        let untried = self
            .tier_members()
            .filter(|index| !args.tried.contains(&self.key(*index)));
        let index = untried.max_by_key(|index| {
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

    /// Records that a backend server failed a call whose end was recorded as an answer: the rest of
    /// the answer didn't come.
    pub fn record_failure<R>(&mut self, now: Instant, key: Key, rng: &mut R)
    where
        R: Rng,
    {
        self.probe_trigger.record_failure(now);
        if self.get_mut(key).is_some() {
            self.observe(now, key.index, Sample::Failed, rng);
        }
    }

    /// Records how a call picked by [`Balancer::pick`] ended.
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
                let pace = report
                    .and_then(|report| report.pace)
                    .map_or(1.0, |pace| Slowness::new(now, pace).get(now));
                if let Some(report) = report {
                    server.set_load(now, report.load);
                    server.set_pace(now, report.pace);
                    self.probe_trigger.record_load(report.load);
                }
                // The queue wait is already part of the reported load. If the queue wait also
                // counted as slowness, the backend server would be avoided long after its queue is
                // gone.
                let took =
                    took.saturating_sub(report.map_or(Duration::ZERO, |report| report.queue_wait));
                // Work of others on the machine doesn't make a backend server bad: durations at the
                // usual pace decide.
                let took = took.div_f64(pace);
                let expected = self.durations.expected(route);
                self.durations.record(route, took, false);
                let slowdown = took.as_secs_f64() / expected.max(1e-6);
                self.servers[key.index as usize].record_slowdown(now, slowdown);
                self.observe(now, key.index, Sample::Answered(slowdown), rng);
            }
            // The full duration is unknown, but the call was slow. If only the elapsed time
            // counted, a backend server whose calls are always overtaken by hedges would hardly
            // look slow and would keep its share of calls.
            Outcome::HedgeWon => {
                let slowdown = took.as_secs_f64() / self.durations.expected(route).max(1e-6);
                let slowdown = slowdown.max(outlier::SLOW_FACTOR);
                self.servers[key.index as usize].record_slowdown(now, slowdown);
                self.observe(now, key.index, Sample::Answered(slowdown), rng);
            }
            Outcome::Full => {
                server.set_load(now, FULL_LOAD);
                if server.is_rate_limited {
                    // The rate limit says nothing of the load of the service.
                    server.pause_probes(now, REFUSED_PAUSE);
                } else {
                    self.probe_trigger.record_load(FULL_LOAD);
                }
            }
            // A refusal after admission is a fault rather than load; a backend server that fails
            // while its peers do not is ejected.
            Outcome::Failed | Outcome::Shed => self.observe(now, key.index, Sample::Failed, rng),
            Outcome::Leaving => {
                server.leaving = true;
                self.rebuild_tiers();
            }
            Outcome::Cancelled => {}
        }
        self.free_if_gone(key.index);
    }

    /// Returns whether a backend server that is not among those `tried` may have room.
    ///
    /// When the whole service is overloaded, all backend servers have reported being full within
    /// the last tenths of a second, and another attempt would be wasted.
    #[must_use]
    pub fn has_room(&self, now: Instant, tried: &[Key]) -> bool {
        self.tier_members().any(|index| {
            let server = &self.servers[index as usize];
            !tried.contains(&self.key(index))
                && server.health.state(now) == EjectionState::Active
                && server.load(now) < 1.0
                && !server.is_rate_used_up(now)
        })
    }

    fn add(&mut self, now: Instant, candidate: &Candidate, is_initial: bool) -> u32 {
        let mut server = Server::new(now, candidate, is_initial);
        let index = if let Some(index) = self.free_indices.pop() {
            let free = &mut self.servers[index as usize];
            server.generation = free.generation;
            *free = server;
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
        self.has_rate_limits = false;
        for (index, server) in (0..).zip(&self.servers) {
            if !server.in_view || server.leaving {
                continue;
            }
            self.has_rate_limits |= server.is_rate_limited;
            match server.track {
                Track::Stable => self.tiers[server.distance as usize].push(index),
                Track::Trial => self.trial.push(index),
                Track::Excluded => {}
            }
        }
        for index in 0..u32::try_from(self.servers.len()).unwrap_or(u32::MAX) {
            self.free_if_gone(index);
        }
    }

    /// Frees the index of a backend server that left the view, once its last call has ended.
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

    /// Finds an ejected backend server that a call may test: its ejection time has passed, and it
    /// has no call in flight.
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

    /// Returns whether the next call picked with `args` is to test an ejected backend server.
    pub(crate) fn will_test_ejected(&mut self, now: Instant, args: &PickArgs<'_>) -> bool {
        args.repeatable && self.find_half_open(now, args.tried).is_some()
    }

    pub(crate) fn start_call(&mut self, now: Instant, key: Key) {
        if let Some(server) = self.get_mut(key) {
            server.start_call(now);
        }
    }

    pub(crate) fn set_load(&mut self, now: Instant, key: Key, load: f64, pace: Option<f64>) {
        if let Some(server) = self.get_mut(key) {
            server.set_load(now, load);
            server.set_pace(now, pace);
        }
    }

    /// Records that a backend server did not answer a load probe.
    pub(crate) fn record_missed_probe(&mut self, now: Instant, key: Key) {
        if let Some(server) = self.get_mut(key) {
            server.record_missed_probe(now);
        }
    }

    pub(crate) fn pause_probes(&mut self, now: Instant, key: Key, pause: Duration) {
        if let Some(server) = self.get_mut(key) {
            server.pause_probes(now, pause.min(MAX_WAIT_PAUSE));
        }
    }

    pub(crate) fn distance(&self, key: Key) -> Option<Distance> {
        self.get(key).map(|server| server.distance)
    }

    /// Returns the factor by which a backend server's failures raise the cost of a call to it.
    pub(crate) fn failure_factor(&self, key: Key, repeatable: bool) -> Option<f64> {
        self.get(key)
            .map(|server| server.failure_factor(repeatable))
    }

    /// Returns the earliest end of any current ejection.
    fn next_half_open(&self) -> Option<Instant> {
        self.tier_members()
            .filter_map(|index| self.servers[index as usize].health.ejected_until())
            .min()
    }

    /// Records the outcome of a call in the health of its backend server, and ejects the backend
    /// server if it has become an outlier.
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
        if sample == Sample::Failed {
            self.readmit_if_all_fail(now);
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

    /// Ends all ejections if each of the backend servers that are left fails.
    ///
    /// A backend server is ejected in favor of its peers, with which it was compared when they last
    /// had calls. After a partition, for instance, they may all be unreachable, and the only one
    /// that would answer is the ejected one.
    fn readmit_if_all_fail(&mut self, now: Instant) {
        let can_answer = |index: u32| {
            let health = &self.servers[index as usize].health;
            health.state(now) == EjectionState::Active && !health.is_failing()
        };
        if self.half_open_at.is_none() || self.tier_members().any(can_answer) {
            return;
        }
        for index in self.tiers.iter().flatten() {
            let health = &mut self.servers[*index as usize].health;
            if health.state(now) != EjectionState::Active {
                health.readmit(now);
            }
        }
        self.half_open_at = None;
    }

    /// Averages over the other backend servers that are not ejected.
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
