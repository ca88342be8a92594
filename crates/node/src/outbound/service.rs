//! Client-side state of each service: endpoint selection, retries and hedging, decided by
//! `policy::balance`, `policy::retry` and `policy::hedge`.

use crate::inbound::running_calls::RunningCall;
use crate::outbound::judge::Judge;
use crate::outbound::reports::ServerReports;
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

/// Retry budget of a route without a retry rule, in percent of successes; the same as Finagle's
/// default.
const DEFAULT_BUDGET_PERCENT: u8 = 20;

/// The clients of all services that the outbound proxy sends calls to.
#[derive(Debug)]
pub(crate) struct ServiceClients {
    clients: RwLock<HashMap<SmolStr, Arc<ServiceClient>>>,
    /// Fleet-wide limit on retries, if configured.
    fleet_limits: Option<FleetLimits>,
}

/// Load balancers, retry budget and hedge policy for one service.
pub(crate) struct ServiceClient {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// One balancer for each [`BodySize`].
    balancers: [Balancer; 2],
    budget: RetryBudget,
    hedge: HedgePolicy,
    /// Estimates how long callers have already waited, from the longest timeout seen on each route.
    elapsed: elapsed::Estimator,
    /// View that the balancers were last synchronized with.
    synced_view: Weak<View>,
    /// Generations of the roll-outs and of the reports of backend servers that the balancers were
    /// last synchronized with.
    synced_generations: (u64, u64),
    rng: SmallRng,
}

/// Size class of a call's body; each class has a balancer of its own.
///
/// Uploads can fill a VM's link while its slots are idle. If both classes shared a
/// balancer, a VM whose link is full would also count as full for small calls, which
/// it could answer at once, and a VM whose slots are full would count as full for
/// uploads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodySize {
    /// The body is sent along with the head.
    Small,
    /// The body is sent when the receiver requests it.
    Large,
}

/// Source of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller whose call is not nested.
    Caller,
    /// The local backend server, on behalf of a call that it runs.
    Nested(RunningCall),
    /// Unknown: the call names a parent call that the local backend server doesn't run, as far as the
    /// node knows. A node that has just started doesn't know the calls that its predecessor passed on.
    Unverified,
}

/// Location of the local node.
#[derive(Debug, Clone)]
pub(crate) struct Locality {
    pub(crate) node: SmolStr,
    pub(crate) zone: SmolStr,
    pub(crate) region: SmolStr,
}

/// An endpoint picked for an attempt; dropping it reports the outcome to the balancer.
#[derive(Debug)]
pub(crate) struct PickedEndpoint<C>
where
    C: Clock,
{
    client: Arc<ServiceClient>,
    clock: C,
    pub(crate) started: Instant,
    route: u64,
    body_size: BodySize,
    pub(crate) key: Key,
    pub(crate) endpoint: Endpoint,
    pub(crate) outcome: Outcome,
    /// Whether the endpoint's backend server has named a limit on the rate of its calls.
    pub(crate) is_rate_limited: bool,
    rollouts: Arc<Rollouts>,
    /// Counts this attempt in the tally of the service's roll-out; `None` if no roll-out is in
    /// progress.
    rollout_call: Option<RolloutCall>,
}

impl fmt::Debug for ServiceClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service").finish_non_exhaustive()
    }
}

impl ServiceClients {
    /// Creates an empty table; clients are created on first use.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            clients: RwLock::default(),
            fleet_limits: settings.repeat_share.map(|share| FleetLimits {
                share: share.get(),
                extra: settings.repeat_extra.get(),
                window: settings.repeat_window,
                min_nodes: usize::try_from(settings.repeat_nodes).unwrap_or(usize::MAX),
            }),
        }
    }

    /// Returns the client of a service, creating it on first use.
    pub(crate) fn get_or_create(&self, name: &str, now: Instant) -> Arc<ServiceClient> {
        if let Some(client) = self.clients.read().get(name) {
            return Arc::clone(client);
        }
        let budget = RetryBudget::new(now, DEFAULT_BUDGET_PERCENT);
        let budget = match self.fleet_limits {
            Some(fleet_limits) => budget.with_fleet_limits(fleet_limits),
            None => budget,
        };
        let mut clients = self.clients.write();
        let client = clients.entry(name.into()).or_insert_with(|| {
            Arc::new(ServiceClient {
                state: Mutex::new(State {
                    balancers: [Balancer::new(), Balancer::new()],
                    budget,
                    hedge: HedgePolicy::new(now),
                    elapsed: elapsed::Estimator::new(),
                    synced_view: Weak::new(),
                    synced_generations: (0, 0),
                    rng: SmallRng::from_os_rng(),
                }),
            })
        });
        Arc::clone(client)
    }
}

impl State {
    /// Updates the balancers' endpoints when the view or the roll-outs have changed.
    fn sync_endpoints(
        &mut self,
        now: Instant,
        view: &Arc<View>,
        service: ServiceKey,
        context: &PickContext<'_>,
    ) {
        let generations = (context.rollouts.generation(), context.reports.generation());
        let is_current = std::ptr::eq(self.synced_view.as_ptr(), Arc::as_ptr(view));
        if is_current && self.synced_generations == generations {
            return;
        }
        self.synced_view = Arc::downgrade(view);
        self.synced_generations = generations;
        let endpoints = &view.service(service).endpoints;
        let split = context.rollouts.split(view, service);
        for balancer in &mut self.balancers {
            let candidates = list_candidates(view, endpoints, context, split.as_ref());
            balancer.sync(now, candidates);
        }
        self.budget.set_node_count(view.endpoints().len());
    }
}

fn list_candidates<'a>(
    view: &'a View,
    endpoints: &'a [EndpointKey],
    context: &'a PickContext<'_>,
    split: Option<&'a TrafficSplit>,
) -> impl Iterator<Item = Candidate> + 'a {
    endpoints.iter().map(move |key| {
        let endpoint = view.endpoint(*key);
        let report = context
            .reports
            .find_process(&endpoint.node, endpoint.process);
        Candidate {
            identity: identity_of(endpoint),
            distance: distance_of(endpoint, context.locality),
            slots: endpoint.slots,
            process: endpoint.process,
            warm_up: endpoint
                .cold_ms
                .map(|warm_up| Duration::from_millis(warm_up.into())),
            track: split.map_or(Track::Stable, |split| split.track(endpoint)),
            is_rate_limited: report.is_some_and(|report| report.rate_limit.is_some()),
            has_left: report.is_some_and(|report| report.leaving),
        }
    })
}

impl ServiceClient {
    /// Returns the endpoints to probe before a call is sent, other than those already `probed`.
    ///
    /// For a call with a large body, only a rate limit is probed for: its bottleneck is the links,
    /// which an estimate does not cover, and the receiver schedules the body anyway.
    pub(crate) fn probe_targets<C>(
        &self,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        context: &PickContext<'_>,
        probed: &[ProbeResult],
    ) -> Vec<(Key, Endpoint)>
    where
        C: Clock,
    {
        let now = clock.now();
        let Some(service) = view.find_service(name) else {
            return Vec::new();
        };
        let mut state = self.state.lock();
        let state = &mut *state;
        state.sync_endpoints(now, view, service, context);
        let balancer = &state.balancers[context.body_size as usize];
        let keys = if context.body_size == BodySize::Large {
            let drawn = balancer.draw_rate_limited(now, &context.args, &mut state.rng);
            let drawn = drawn.filter(|_| probed.is_empty());
            drawn.into_iter().collect()
        } else if probed.is_empty() {
            balancer.probe_targets(now, &context.args, &mut state.rng)
        } else {
            balancer.further_probe_targets(now, &context.args, probed, &mut state.rng)
        };
        let endpoint =
            |key: Key| Some((key, find_endpoint(view, service, balancer.identity(key)?)?));
        keys.into_iter().filter_map(endpoint).collect()
    }

    /// Picks an endpoint that has not been tried, using the results of the endpoints `probed`.
    pub(crate) fn pick<C>(
        self: &Arc<Self>,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        context: &PickContext<'_>,
        probed: &[ProbeResult],
    ) -> Option<PickedEndpoint<C>>
    where
        C: Clock,
    {
        self.pick_with(clock, view, name, context, |balancer, now, rng| {
            balancer.pick_probed(now, &context.args, probed, rng)
        })
    }

    /// Picks the untried endpoint on which all nodes agree for a request.
    pub(crate) fn pick_owner<C>(
        self: &Arc<Self>,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        context: &PickContext<'_>,
        request: Digest,
    ) -> Option<PickedEndpoint<C>>
    where
        C: Clock,
    {
        self.pick_with(clock, view, name, context, |balancer, now, _rng| {
            balancer.pick_owner(now, &context.args, request)
        })
    }

    /// Picks an endpoint of the version under trial.
    pub(crate) fn pick_trial<C>(
        self: &Arc<Self>,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        context: &PickContext<'_>,
    ) -> Option<PickedEndpoint<C>>
    where
        C: Clock,
    {
        self.pick_with(clock, view, name, context, |balancer, now, rng| {
            balancer.pick_trial(now, &context.args, rng)
        })
    }

    fn pick_with<C, F>(
        self: &Arc<Self>,
        clock: &C,
        view: &Arc<View>,
        name: &str,
        context: &PickContext<'_>,
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
        state.sync_endpoints(now, view, service, context);
        let balancer = &mut state.balancers[context.body_size as usize];
        let key = choose(balancer, now, &mut state.rng)?;
        let endpoint = find_endpoint(view, service, balancer.identity(key)?)?;
        let is_rate_limited = balancer.is_rate_limited(key);
        let rollout_call = context.rollouts.begin_call(&endpoint);
        Some(PickedEndpoint {
            client: Arc::clone(self),
            clock: clock.clone(),
            started: now,
            route: context.args.route,
            body_size: context.body_size,
            key,
            endpoint,
            outcome: Outcome::Cancelled,
            is_rate_limited,
            rollouts: Arc::clone(context.rollouts),
            rollout_call,
        })
    }

    /// Records the time that a caller of `route` has `left`, and estimates how long that caller has
    /// already waited.
    pub(crate) fn estimate_elapsed(&self, route: u64, left: Duration) -> Duration {
        self.state.lock().elapsed.observe(route, left)
    }

    /// Counts a call towards the fleet-wide limit on retries.
    pub(crate) fn record_call(&self, now: Instant, origin: Origin) {
        let mut state = self.state.lock();
        match origin {
            Origin::Caller => state.budget.record_request(now),
            Origin::Nested(parent) if parent.is_retry => state.budget.record_retry(now),
            Origin::Nested(_) | Origin::Unverified => {}
        }
    }

    /// Returns the expected duration of a call of `route`.
    pub(crate) fn expected_duration(&self, route: u64, body_size: BodySize) -> Duration {
        self.state.lock().balancers[body_size as usize].expected_duration(route)
    }

    /// Returns whether an endpoint that has not been tried may have capacity.
    pub(crate) fn has_room(&self, now: Instant, body_size: BodySize, tried: &[Key]) -> bool {
        self.state.lock().balancers[body_size as usize].has_room(now, tried)
    }

    /// Records that a first attempt was answered; `rule` sets the percentage of the retry budget.
    pub(crate) fn record_success(&self, rule: Option<&Retry>) {
        let percent = rule.map_or(DEFAULT_BUDGET_PERCENT, |rule| rule.budget_percent);
        let mut state = self.state.lock();
        state.budget.set_percent(percent);
        state.budget.record_success();
    }

    /// Records that a backend server failed after its call was counted as answered.
    pub(crate) fn record_failure(&self, now: Instant, key: Key, body_size: BodySize) {
        let mut state = self.state.lock();
        let state = &mut *state;
        state.balancers[body_size as usize].record_failure(now, key, &mut state.rng);
    }

    /// Returns the delay after which a hedge may be sent; `None` if none may be. `allowed` is whether
    /// the plan of the call permits hedges.
    pub(crate) fn hedge_delay(&self, now: Instant, allowed: bool) -> Option<Duration> {
        self.state.lock().hedge.delay(now, allowed)
    }

    /// Records the latency of a first attempt or, if its hedge was answered first, the time until
    /// that answer.
    pub(crate) fn record_first_latency(&self, took: Duration) {
        self.state.lock().hedge.record_latency(took);
    }

    /// Records whether a hedge was answered before the first attempt.
    pub(crate) fn record_hedge_result(&self, won: bool) {
        self.state.lock().hedge.record_result(won);
    }

    /// Pauses hedging after a first attempt was refused or timed out.
    pub(crate) fn pause_hedge(&self, now: Instant) {
        self.state.lock().hedge.pause(now);
    }

    /// Charges a hedge to the retry budget; returns whether the budget allows it.
    pub(crate) fn charge_hedge(&self, now: Instant) -> bool {
        let mut state = self.state.lock();
        let state = &mut *state;
        state.budget.spend(now, &mut state.rng)
    }

    /// Decides whether to retry after a failed attempt.
    pub(crate) fn decide(&self, now: Instant, failed: &FailedAttempt) -> Decision {
        let mut state = self.state.lock();
        let state = &mut *state;
        state.budget.decide(now, failed, &mut state.rng)
    }
}

/// What is needed to pick an endpoint for a call.
#[derive(Debug)]
pub(crate) struct PickContext<'a> {
    pub(crate) locality: &'a Locality,
    pub(crate) body_size: BodySize,
    pub(crate) rollouts: &'a Arc<Rollouts>,
    pub(crate) reports: &'a ServerReports,
    pub(crate) args: balance::PickArgs<'a>,
}

impl<C> PickedEndpoint<C>
where
    C: Clock,
{
    /// Returns a judge of the body of the response.
    pub(crate) fn judge(&self) -> Judge<C> {
        Judge {
            client: Arc::clone(&self.client),
            clock: self.clock.clone(),
            key: self.key,
            body_size: self.body_size,
        }
    }

    /// Reports the result of a call of `kind` to the roll-out of the service, if there is one.
    ///
    /// `run_time` is the time that the backend server took, if it has answered; without an answer,
    /// a call that has not failed counts as slow. Slowness of a backend server that is still
    /// warming up does not count against its version.
    pub(crate) fn record_rollout_result(
        &self,
        kind: usize,
        failed: bool,
        run_time: Option<Duration>,
    ) {
        let Some(rollout_call) = &self.rollout_call else {
            return;
        };
        let now = self.clock.now();
        let state = self.client.state.lock();
        let balancer = &state.balancers[self.body_size as usize];
        let expected = balancer.expected_duration(self.route);
        let is_slow = run_time.is_none_or(|run_time| run_time > expected.mul_f64(SLOW_FACTOR));
        let is_warming_up = balancer.is_cold(now, self.key);
        drop(state);
        let result = match (failed, is_slow && !is_warming_up) {
            (true, _) => CallResult::Failed,
            (false, true) => CallResult::Slow,
            (false, false) => CallResult::Normal,
        };
        self.rollouts.record_result(rollout_call, kind, result);
    }
}

impl<C> Drop for PickedEndpoint<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(rollout_call) = &self.rollout_call {
            self.rollouts.end_call(rollout_call);
        }
        let now = self.clock.now();
        let took = now.saturating_duration_since(self.started);
        let mut state = self.client.state.lock();
        let state = &mut *state;
        state.balancers[self.body_size as usize].finish(
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
    let mut endpoints = endpoints.iter().map(|key| view.endpoint(*key));
    endpoints
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
