//! What the outbound proxy knows of each service: runs `policy::balance` and `policy::retry`.

use crate::inbound::running_calls::RunningCall;
use crate::rollout::{CallResult, RolloutCall, Rollouts, TrafficSplit};
use call::Digest;
use clock::Clock;
use config::{Endpoint, EndpointKey, Retry, ServiceKey, View};
use parking_lot::{Mutex, RwLock};
use policy::balance::{self, Balancer, Candidate, Distance, Identity, Key, Outcome, Track};
use policy::elapsed;
use policy::hedge::HedgePolicy;
use policy::load_probe::ProbeResult;
use policy::retry::{Decision, FailedAttempt, RetryBudget};
use policy::retry_quota::FleetLimits;
use policy::rollout::SLOW_FACTOR;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use settings::node::Settings;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// Retries of a route without a rule as a share of successes, in per cent, as Finagle has it.
const DEFAULT_BUDGET_PERCENT: u8 = 20;

/// The services that an outbound proxy sends calls to.
#[derive(Debug)]
pub(crate) struct ServiceClients {
    known: RwLock<HashMap<SmolStr, Arc<ServiceClient>>>,
    /// What the whole fleet may repeat, where that is bounded.
    bounds: Option<FleetLimits>,
}

/// One service.
pub(crate) struct ServiceClient {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Of small calls, and of those with large bodies.
    balances: [Balancer; 2],
    budget: RetryBudget,
    hedge: HedgePolicy,
    /// The longest times that callers start with.
    elapsed: elapsed::Estimator,
    /// The view that the balance was last told.
    synced: Weak<View>,
    /// How far roll-outs had changed then.
    changes: u64,
    rng: SmallRng,
}

/// What a call takes of the way to its backend server.
///
/// *Load pattern:* links that uploads fill, while slots are idle. *Without telling
/// them apart* a VM whose link is full counts as full for small calls too, which it
/// would answer at once, and one whose slots are full for uploads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodySize {
    /// Its body goes with its head.
    Small,
    /// Its body is asked for.
    Large,
}

/// Who makes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// The own backend server, for a call that it runs.
    Nested(RunningCall),
}

/// Where the node itself is.
#[derive(Debug, Clone)]
pub(crate) struct Locality {
    pub(crate) node: SmolStr,
    pub(crate) zone: SmolStr,
    pub(crate) region: SmolStr,
}

/// An endpoint that was picked; dropping it tells the balance what came of it.
#[derive(Debug)]
pub(crate) struct PickedEndpoint<C>
where
    C: Clock,
{
    service: Arc<ServiceClient>,
    clock: C,
    pub(crate) started: Instant,
    route: u64,
    body_size: BodySize,
    pub(crate) key: Key,
    pub(crate) endpoint: Endpoint,
    pub(crate) outcome: Outcome,
    rollouts: Arc<Rollouts>,
    /// What a roll-out is to be told of it.
    begun: Option<RolloutCall>,
}

impl fmt::Debug for ServiceClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service").finish_non_exhaustive()
    }
}

impl ServiceClients {
    /// Knows no service yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            known: RwLock::default(),
            bounds: settings.repeat_share.map(|share| FleetLimits {
                share: share.get(),
                extra: settings.repeat_extra.get(),
                window: settings.repeat_window,
            }),
        }
    }

    /// Gives what is known of a service.
    pub(crate) fn get_or_create(&self, name: &str, now: Instant) -> Arc<ServiceClient> {
        if let Some(known) = self.known.read().get(name) {
            return Arc::clone(known);
        }
        let budget = RetryBudget::new(now, DEFAULT_BUDGET_PERCENT);
        let budget = match self.bounds {
            Some(bounds) => budget.with_fleet_limits(now, bounds),
            None => budget,
        };
        let mut services = self.known.write();
        let made = services.entry(name.into()).or_insert_with(|| {
            Arc::new(ServiceClient {
                state: Mutex::new(State {
                    balances: [Balancer::new(), Balancer::new()],
                    budget,
                    hedge: HedgePolicy::new(now),
                    elapsed: elapsed::Estimator::new(),
                    synced: Weak::new(),
                    changes: 0,
                    rng: SmallRng::from_os_rng(),
                }),
            })
        });
        Arc::clone(made)
    }
}

impl State {
    /// Tells the balance which endpoints `view` has, once a view.
    fn sync(&mut self, now: Instant, view: &Arc<View>, service: ServiceKey, ask: &Ask<'_>) {
        let changes = ask.rollouts.generation();
        let is_known = std::ptr::eq(self.synced.as_ptr(), Arc::as_ptr(view));
        if is_known && self.changes == changes {
            return;
        }
        self.synced = Arc::downgrade(view);
        self.changes = changes;
        let endpoints = &view.service(service).endpoints;
        let split = ask.rollouts.split(view, service);
        for balance in &mut self.balances {
            let candidates = list_candidates(view, endpoints, ask.locality, split.as_ref());
            balance.sync(now, candidates);
        }
        self.budget.set_node_count(now, view.endpoints().len());
    }
}

fn list_candidates<'a>(
    view: &'a View,
    endpoints: &'a [EndpointKey],
    locality: &'a Locality,
    split: Option<&'a TrafficSplit>,
) -> impl Iterator<Item = Candidate> + 'a {
    endpoints.iter().map(move |key| {
        let endpoint = view.endpoint(*key);
        Candidate {
            identity: identity_of(endpoint),
            distance: distance_of(endpoint, locality),
            slots: endpoint.slots,
            process: endpoint.process,
            warm_up: endpoint
                .cold_ms
                .map(|cold| Duration::from_millis(cold.into())),
            track: split.map_or(Track::Stable, |split| split.track(endpoint)),
        }
    })
}

impl ServiceClient {
    /// Gives the endpoints to ask about a call before it is sent, further than those `seen`.
    ///
    /// None for a call with a large body: its way is bound by links, of which an outlook says
    /// nothing, and its body is asked for by the receiver anyway.
    pub(crate) fn survey<C>(
        &self,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        ask: &Ask<'_>,
        seen: &[ProbeResult],
    ) -> Vec<(Key, Endpoint)>
    where
        C: Clock,
    {
        let now = clock.now();
        let Some(service) = view
            .find_service(name)
            .filter(|_| ask.body_size == BodySize::Small)
        else {
            return Vec::new();
        };
        let mut state = self.state.lock();
        let state = &mut *state;
        state.sync(now, view, service, ask);
        let balance = &state.balances[ask.body_size as usize];
        let keys = if seen.is_empty() {
            balance.probe_targets(now, &ask.call, &mut state.rng)
        } else {
            balance.further_probe_targets(now, &ask.call, seen, &mut state.rng)
        };
        let endpoint =
            |key: Key| Some((key, find_endpoint(view, service, balance.identity(key)?)?));
        keys.into_iter().filter_map(endpoint).collect()
    }

    /// Picks an endpoint of the service that has not been tried, by what those `seen` have told.
    pub(crate) fn pick<C>(
        self: &Arc<Self>,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        ask: &Ask<'_>,
        seen: &[ProbeResult],
    ) -> Option<PickedEndpoint<C>>
    where
        C: Clock,
    {
        self.pick_by(clock, view, name, ask, |balance, now, rng| {
            balance.pick_probed(now, &ask.call, seen, rng)
        })
    }

    /// Picks the endpoint that has not been tried and that all nodes pick for a request.
    pub(crate) fn pick_owner<C>(
        self: &Arc<Self>,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        ask: &Ask<'_>,
        request: Digest,
    ) -> Option<PickedEndpoint<C>>
    where
        C: Clock,
    {
        self.pick_by(clock, view, name, ask, |balance, now, _rng| {
            balance.pick_owner(now, &ask.call, request)
        })
    }

    /// Picks an endpoint of the version that is under trial.
    pub(crate) fn pick_trial<C>(
        self: &Arc<Self>,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        ask: &Ask<'_>,
    ) -> Option<PickedEndpoint<C>>
    where
        C: Clock,
    {
        self.pick_by(clock, view, name, ask, |balance, now, rng| {
            balance.pick_trial(now, &ask.call, rng)
        })
    }

    fn pick_by<C, F>(
        self: &Arc<Self>,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        ask: &Ask<'_>,
        choose: F,
    ) -> Option<PickedEndpoint<C>>
    where
        C: Clock,
        F: FnOnce(&mut Balancer, Instant, &mut SmallRng) -> Option<Key>,
    {
        let now = clock.now();
        let service = view.find_service(name)?;
        let mut state = self.state.lock();
        let state = &mut *state;
        state.sync(now, view, service, ask);
        let balance = &mut state.balances[ask.body_size as usize];
        let key = choose(balance, now, &mut state.rng)?;
        let endpoint = find_endpoint(view, service, balance.identity(key)?)?;
        let begun = ask.rollouts.begin_call(&endpoint);
        Some(PickedEndpoint {
            service: Arc::clone(self),
            clock: clock.clone(),
            started: now,
            route: ask.call.route,
            body_size: ask.body_size,
            key,
            endpoint,
            outcome: Outcome::Cancelled,
            rollouts: Arc::clone(ask.rollouts),
            begun,
        })
    }

    /// Takes in how much time a caller of `route` has `left`, and gives how long it has waited.
    pub(crate) fn elapsed(&self, route: u64, left: Duration) -> Duration {
        self.state.lock().elapsed.observe(route, left)
    }

    /// Counts a call for the fleet's bound on repeats.
    pub(crate) fn record_call(&self, now: Instant, origin: Origin) {
        let mut state = self.state.lock();
        match origin {
            Origin::Caller => state.budget.record_request(now),
            Origin::Nested(run) if run.is_retry => state.budget.record_retry(now),
            Origin::Nested(_) => {}
        }
    }

    /// Gives how long a call of `route` is expected to take.
    pub(crate) fn expected_duration(&self, route: u64, body_size: BodySize) -> Duration {
        self.state.lock().balances[body_size as usize].expected_duration(route)
    }

    /// Tells whether an endpoint that has not refused the call may have room.
    pub(crate) fn has_room(&self, now: Instant, body_size: BodySize, tried: &[Key]) -> bool {
        self.state.lock().balances[body_size as usize].has_room(now, tried)
    }

    /// Counts a first try that was answered.
    pub(crate) fn record_success(&self, rule: Option<&Retry>) {
        let percent = rule.map_or(DEFAULT_BUDGET_PERCENT, |rule| rule.budget_percent);
        let mut state = self.state.lock();
        state.budget.set_percent(percent);
        state.budget.record_success();
    }

    /// Gives the wait after which a call that `may` be copied is late, if a copy is to be sent.
    pub(crate) fn hedge_delay(&self, now: Instant, may: bool) -> Option<Duration> {
        self.state.lock().hedge.delay(now, may)
    }

    /// Takes in how long a first try took, or that it was overtaken after so long.
    pub(crate) fn record_first_latency(&self, took: Duration) {
        self.state.lock().hedge.record_latency(took);
    }

    /// Takes in whether a copy was answered before the first try.
    pub(crate) fn record_hedge_result(&self, won: bool) {
        self.state.lock().hedge.record_result(won);
    }

    /// Takes in that a try was refused.
    pub(crate) fn pause_hedge(&self, now: Instant) {
        self.state.lock().hedge.pause(now);
    }

    /// Pays for a copy of a call; tells whether the budget allows it.
    pub(crate) fn spend(&self, now: Instant) -> bool {
        self.state.lock().budget.spend(now)
    }

    /// Decides what follows a try that came to nothing.
    pub(crate) fn decide(&self, now: Instant, tried: &FailedAttempt) -> Decision {
        let mut state = self.state.lock();
        let state = &mut *state;
        state.budget.decide(now, tried, &mut state.rng)
    }
}

/// What a call needs of an endpoint.
#[derive(Debug)]
pub(crate) struct Ask<'a> {
    pub(crate) locality: &'a Locality,
    pub(crate) body_size: BodySize,
    pub(crate) rollouts: &'a Arc<Rollouts>,
    pub(crate) call: balance::PickArgs<'a>,
}

impl<C> PickedEndpoint<C>
where
    C: Clock,
{
    /// Tells a roll-out of the service, if there is one, what a call of `kind` came to.
    ///
    /// `ran` is the time that the backend server took, if it has answered; a slow one that has
    /// just started tells nothing of its version.
    pub(crate) fn record_rollout_result(&self, kind: usize, failed: bool, ran: Option<Duration>) {
        let Some(begun) = &self.begun else {
            return;
        };
        let now = self.clock.now();
        let state = self.service.state.lock();
        let balance = &state.balances[self.body_size as usize];
        let usual = balance.expected_duration(self.route);
        let is_slow = ran.is_none_or(|ran| ran > usual.mul_f64(SLOW_FACTOR));
        let is_cold = balance.is_cold(now, self.key);
        drop(state);
        let ending = match (failed, is_slow && !is_cold) {
            (true, _) => CallResult::Failed,
            (false, true) => CallResult::Slow,
            (false, false) => CallResult::Normal,
        };
        self.rollouts.record_result(begun, kind, ending);
    }
}

impl<C> Drop for PickedEndpoint<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(begun) = &self.begun {
            self.rollouts.end_call(begun);
        }
        let now = self.clock.now();
        let took = now.saturating_duration_since(self.started);
        let mut state = self.service.state.lock();
        let state = &mut *state;
        state.balances[self.body_size as usize].finish(
            now,
            self.key,
            self.route,
            took,
            self.outcome,
            &mut state.rng,
        );
    }
}

fn find_endpoint(view: &View, service: ServiceKey, identity: &Identity) -> Option<Endpoint> {
    let endpoints = &view.service(service).endpoints;
    let mut found = endpoints.iter().map(|key| view.endpoint(*key));
    found
        .find(|endpoint| identity_of(endpoint) == *identity)
        .cloned()
}

fn identity_of(endpoint: &Endpoint) -> Identity {
    Identity {
        node: endpoint.node.clone(),
        incarnation: endpoint.incarnation,
    }
}

fn distance_of(endpoint: &Endpoint, locality: &Locality) -> Distance {
    if endpoint.node == locality.node {
        Distance::Vm
    } else if endpoint.region != locality.region {
        Distance::Far
    } else if endpoint.zone == locality.zone {
        Distance::Zone
    } else {
        Distance::Region
    }
}
