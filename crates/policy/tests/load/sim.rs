//! Discrete-event simulation of callers, outbound proxies, and inbound proxies with
//! their backend servers, in virtual time and determined by one seed.

use crate::report::Report;
use crate::scenario::{CallerRetry, NestedCalls, Scenario, Server, System};
use config::Class;
use policy::admission::{self, Admission};
use policy::balance::{self, Balancer, Candidate, Distance, Identity};
use policy::hedge::HedgePolicy;
use policy::limit;
use policy::load_probe::ProbeResult;
use policy::queue;
use policy::retry::{Cause, Decision, FailedAttempt, RetryBudget};
use policy::self_report::Load;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// One-way delay between two nodes of a region, in seconds.
const NETWORK_DELAY: f64 = 0.0005;

/// Interval at which the outbound proxies update their views, in seconds.
const SYNC_INTERVAL: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptResult {
    Answered,
    Failed,
    Full,
    /// The team of the call has used its share.
    TeamShare,
}

impl AttemptResult {
    fn of_refusal(reason: admission::Reason) -> Self {
        match reason {
            admission::Reason::TeamShare => Self::TeamShare,
            _ => Self::Full,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    CallArrives(usize),
    StartAttempt(usize),
    ProbesArrive(usize),
    ProbeReplies(usize),
    AttemptArrives(usize),
    WorkEnds(usize, usize),
    AdmissionTimer(usize),
    /// An attempt and its result, with the load figure of an answer or the retry-after time of a
    /// refusal in seconds.
    Reply(usize, AttemptResult, f64),
    AttemptTimeout(usize),
    HedgeDue(usize),
    Deadline(usize),
    Sync,
}

/// A call, over all its attempts.
struct Call {
    flow: usize,
    proxy: usize,
    /// When the caller first made the call; earlier than `started` if this is a retry by the
    /// caller.
    first_started: f64,
    started: f64,
    deadline: f64,
    is_open: bool,
    attempts: u8,
    caller_retries: u32,
    tried: Vec<balance::Key>,
    /// The probed backend servers and their replies.
    probes: Vec<ProbeResult>,
    hedge: Option<usize>,
}

/// One attempt of a call at one backend server.
struct Attempt {
    call: usize,
    server: usize,
    key: Option<balance::Key>,
    sent_at: f64,
    ticket: Option<admission::Ticket>,
    is_first: bool,
    /// Pace that the answer carries.
    pace: Option<f64>,
}

/// Arguments for picking a backend server for a call, without the backend servers already tried.
#[derive(Clone, Copy)]
struct CallArgs {
    repeatable: bool,
    route: u64,
    target: Option<Instant>,
}

impl CallArgs {
    fn with_tried(self, tried: &[balance::Key]) -> balance::PickArgs<'_> {
        balance::PickArgs {
            tried,
            repeatable: self.repeatable,
            route: self.route,
            target: self.target,
        }
    }
}

struct Inbound {
    admission: Admission,
    waiting: HashMap<queue::Key, usize>,
    /// Calls that wait in a queue inside the backend server.
    server_queue: VecDeque<usize>,
    running: usize,
    wake_at: Option<Instant>,
}

struct Outbound {
    balancer: Balancer,
    budget: RetryBudget,
    hedge: HedgePolicy,
    round_robin: usize,
}

struct Sim<'a> {
    scenario: &'a Scenario,
    system: System,
    start: Instant,
    now: f64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: HashMap<u64, Event>,
    rng: SmallRng,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    inbound: Vec<Inbound>,
    outbound: Vec<Outbound>,
    report: Report,
}

/// Runs a scenario and returns the results as seen by its callers.
pub fn run(scenario: &Scenario, system: System) -> Report {
    let start = Instant::now();
    let mut sim = Sim {
        scenario,
        system,
        start,
        now: 0.0,
        sequence: 0,
        events: BinaryHeap::new(),
        payloads: HashMap::new(),
        rng: SmallRng::seed_from_u64(scenario.seed),
        calls: Vec::new(),
        attempts: Vec::new(),
        inbound: Vec::new(),
        outbound: Vec::new(),
        report: Report::new(scenario.flows.len(), scenario.servers.len()),
    };
    for (index, server) in (0..).zip(&scenario.servers) {
        let admission = Admission::new(start, server.advertised_slots, scenario.seed + index);
        sim.inbound.push(Inbound {
            admission: match scenario.nested_calls {
                NestedCalls::Weighted => admission,
                NestedCalls::First => admission.with_nested_first(),
            },
            waiting: HashMap::new(),
            server_queue: VecDeque::new(),
            running: 0,
            wake_at: None,
        });
    }
    for round_robin in 0..scenario.proxy_zones.len() {
        sim.outbound.push(Outbound {
            balancer: Balancer::new(),
            budget: RetryBudget::new(start, 10),
            hedge: HedgePolicy::new(start),
            round_robin,
        });
    }
    sim.sync_views();
    for flow in 0..scenario.flows.len() {
        sim.schedule_arrival(flow, scenario.flows[flow].span.0);
    }
    while let Some(Reverse((at, sequence))) = sim.events.pop() {
        sim.now = nanos_to_seconds(at);
        let event = sim.payloads.remove(&sequence).expect("scheduled once");
        sim.handle(event);
    }
    sim.report
}

fn nanos_to_seconds(nanos: u64) -> f64 {
    Duration::from_nanos(nanos).as_secs_f64()
}

impl Sim<'_> {
    fn at(&self, seconds: f64) -> Instant {
        self.start + Duration::from_secs_f64(seconds)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        let nanos = Duration::from_secs_f64(at.max(self.now)).as_nanos();
        let nanos = u64::try_from(nanos).expect("a run is short");
        self.events.push(Reverse((nanos, self.sequence)));
        self.payloads.insert(self.sequence, event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn schedule_arrival(&mut self, flow: usize, after: f64) {
        let spec = &self.scenario.flows[flow];
        let (rate, end) = (spec.rate, spec.span.1.min(self.scenario.seconds));
        let at = after + self.exponential(1.0 / rate);
        if at < end {
            self.schedule(at, Event::CallArrives(flow));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrives(flow) => {
                self.schedule_arrival(flow, self.now);
                self.start_call(flow);
            }
            Event::StartAttempt(call) => self.probe(call),
            Event::ProbesArrive(call) => self.answer_probes(call),
            Event::ProbeReplies(call) => self.probe_further(call),
            Event::AttemptArrives(attempt) => self.deliver(attempt),
            Event::WorkEnds(attempt, server) => self.finish_work(attempt, server),
            Event::AdmissionTimer(server) => self.poll_admission(server),
            Event::Reply(attempt, result, value) => self.handle_reply(attempt, result, value),
            Event::AttemptTimeout(attempt) => self.handle_attempt_timeout(attempt),
            Event::HedgeDue(call) => self.send_hedge(call),
            Event::Deadline(call) => self.handle_deadline(call),
            Event::Sync => self.sync_views(),
        }
    }

    fn sync_views(&mut self) {
        let now = self.at(self.now);
        for (outbound, zone) in self.outbound.iter_mut().zip(&self.scenario.proxy_zones) {
            let is_in_view = |server: &Server| {
                server.in_view_span_s.0 <= self.now && self.now < server.in_view_span_s.1
            };
            let candidates = (0..).zip(&self.scenario.servers);
            let candidates = candidates.filter(|(_, server)| is_in_view(server));
            outbound.balancer.sync(
                now,
                candidates.map(|(index, server): (u64, &Server)| Candidate {
                    identity: Identity {
                        node: format!("vm-{index}").into(),
                        incarnation: index,
                    },
                    distance: if server.zone == *zone {
                        Distance::Zone
                    } else {
                        Distance::Region
                    },
                    slots: server.advertised_slots,
                    process: 0,
                    warm_up: None,
                    track: policy::balance::Track::Stable,
                    is_rate_limited: false,
                    has_left: false,
                }),
            );
        }
        if self.now > self.scenario.seconds / 2.0 {
            for (limits, inbound) in self.report.limits.iter_mut().zip(&self.inbound) {
                limits.push(inbound.admission.slots());
            }
        }
        if self.now + SYNC_INTERVAL < self.scenario.seconds {
            self.schedule(self.now + SYNC_INTERVAL, Event::Sync);
        }
    }

    /// Adds a call that starts at `started` and that the caller first made at `first_started`.
    fn add_call(
        &mut self,
        flow: usize,
        caller_retries: u32,
        started: f64,
        first_started: f64,
    ) -> usize {
        let deadline = first_started + self.scenario.flows[flow].timeout;
        let call = self.calls.len();
        let proxy = self.rng.random_range(0..self.outbound.len());
        self.calls.push(Call {
            flow,
            proxy,
            first_started,
            started,
            deadline,
            is_open: true,
            attempts: 0,
            caller_retries,
            tried: Vec::new(),
            probes: Vec::new(),
            hedge: None,
        });
        self.schedule(started, Event::StartAttempt(call));
        self.schedule(deadline, Event::Deadline(call));
        call
    }

    fn start_call(&mut self, flow: usize) {
        self.report.record_call(flow, self.now);
        let call = self.add_call(flow, 0, self.now, self.now);
        if self.scenario.hedge && self.system == System::Policy {
            let repeatable = self.scenario.flows[flow].class != Class::Commit;
            let now = self.at(self.now);
            let proxy = self.calls[call].proxy;
            let wait = self.outbound[proxy].hedge.delay(now, repeatable);
            if let Some(wait) = wait {
                self.schedule(self.now + wait.as_secs_f64(), Event::HedgeDue(call));
            }
        }
    }

    /// Sends load probes before an attempt, or starts the attempt if there is nothing to probe.
    fn probe(&mut self, call: usize) {
        self.calls[call].probes.clear();
        if self.system == System::Baseline || !self.scenario.probes {
            self.start_attempt(call);
            return;
        }
        let now = self.at(self.now);
        let (args, proxy) = (self.args_of(call, now), self.calls[call].proxy);
        let args = args.with_tried(&self.calls[call].tried);
        let balancer = &self.outbound[proxy].balancer;
        let keys = balancer.probe_targets(now, &args, &mut self.rng);
        self.send_probes(call, keys);
    }

    fn probe_further(&mut self, call: usize) {
        let now = self.at(self.now);
        let (args, proxy) = (self.args_of(call, now), self.calls[call].proxy);
        let args = args.with_tried(&self.calls[call].tried);
        let balancer = &self.outbound[proxy].balancer;
        let keys =
            balancer.further_probe_targets(now, &args, &self.calls[call].probes, &mut self.rng);
        self.send_probes(call, keys);
    }

    fn send_probes(&mut self, call: usize, keys: Vec<balance::Key>) {
        if keys.is_empty() {
            self.start_attempt(call);
            return;
        }
        let pending = keys.into_iter().map(|key| ProbeResult {
            key,
            estimate: None,
        });
        self.calls[call].probes.extend(pending);
        self.schedule(self.now + NETWORK_DELAY, Event::ProbesArrive(call));
    }

    /// Handles the arrival of load probes at the inbound proxies, which reply at once.
    fn answer_probes(&mut self, call: usize) {
        let now = self.at(self.now);
        let request = self.request_of(call);
        let proxy = self.calls[call].proxy;
        for index in 0..self.calls[call].probes.len() {
            let probe = self.calls[call].probes[index];
            let identity = self.outbound[proxy].balancer.identity(probe.key);
            let server = identity.and_then(|known| usize::try_from(known.incarnation).ok());
            let has_power = |server: &usize| !(self.scenario.servers[*server].is_dead)(self.now);
            let Some(server) = server
                .filter(has_power)
                .filter(|_| probe.estimate.is_none())
            else {
                continue;
            };
            let estimate = self.inbound[server].admission.estimate(now, &request);
            self.calls[call].probes[index].estimate = Some(estimate);
        }
        self.schedule(self.now + NETWORK_DELAY, Event::ProbeReplies(call));
    }

    fn start_attempt(&mut self, call: usize) {
        let is_first = self.calls[call].attempts == 0;
        self.calls[call].attempts += 1;
        let Some((server, key)) = self.choose_server(call) else {
            self.handle_failure(call, AttemptResult::Failed, 0.0);
            return;
        };
        self.attempts.push(Attempt {
            call,
            server,
            key,
            sent_at: self.now,
            ticket: None,
            is_first,
            pace: None,
        });
        let attempt = self.attempts.len() - 1;
        let zones = [
            self.scenario.proxy_zones[self.calls[call].proxy],
            self.scenario.servers[server].zone,
        ];
        self.report
            .record_attempt(self.now, server, zones[0] != zones[1]);
        self.schedule(self.now + NETWORK_DELAY, Event::AttemptArrives(attempt));
        if self.system == System::Baseline && self.scenario.attempt_timeout < f64::MAX {
            self.schedule(
                self.now + self.scenario.attempt_timeout,
                Event::AttemptTimeout(attempt),
            );
        }
    }

    /// Returns the time of the latency target as the nodes know it.
    fn target_of(&self, call: usize) -> Option<Instant> {
        let call = &self.calls[call];
        let from = match self.scenario.caller_retry {
            CallerRetry::Unmarked => call.started,
            CallerRetry::NewCall | CallerRetry::Marked => call.first_started,
        };
        let target = self.scenario.flows[call.flow].target?;
        Some(self.at(from + target))
    }

    /// Returns the arguments for picking a backend server for a call.
    fn args_of(&self, call: usize, now: Instant) -> CallArgs {
        let flow = &self.scenario.flows[self.calls[call].flow];
        CallArgs {
            repeatable: flow.class != Class::Commit,
            route: policy::hash(&format!("route-{}", flow.route)),
            target: self.target_of(call).filter(|target| *target > now),
        }
    }

    fn choose_server(&mut self, call: usize) -> Option<(usize, Option<balance::Key>)> {
        let now = self.at(self.now);
        let args = self.args_of(call, now);
        let outbound = &mut self.outbound[self.calls[call].proxy];
        match self.system {
            System::Baseline => {
                let is_in_view = |server: &Server| {
                    server.in_view_span_s.0 <= self.now && self.now < server.in_view_span_s.1
                };
                for _ in 0..self.scenario.servers.len() {
                    outbound.round_robin += 1;
                    let server = outbound.round_robin % self.scenario.servers.len();
                    if is_in_view(&self.scenario.servers[server]) {
                        return Some((server, None));
                    }
                }
                None
            }
            System::Policy => {
                let args = args.with_tried(&self.calls[call].tried);
                let probes = &self.calls[call].probes;
                let key = outbound
                    .balancer
                    .pick_probed(now, &args, probes, &mut self.rng)?;
                let identity = outbound.balancer.identity(key)?;
                let server = usize::try_from(identity.incarnation).ok()?;
                self.calls[call].tried.push(key);
                Some((server, Some(key)))
            }
        }
    }

    fn request_of(&self, call: usize) -> admission::Request {
        let target = self.target_of(call);
        let call = &self.calls[call];
        let flow = &self.scenario.flows[call.flow];
        admission::Request {
            class: flow.class,
            caller: policy::hash(&format!("caller-{}", flow.caller)),
            key: policy::hash(&format!("key-{}", flow.key)),
            route: policy::hash(&format!("route-{}", flow.route)),
            deadline: self.at(call.deadline),
            target,
            parent_class: flow.parent_class,
            team: flow.team,
        }
    }

    fn deliver(&mut self, attempt: usize) {
        let server = self.attempts[attempt].server;
        if (self.scenario.servers[server].is_dead)(self.now) {
            return;
        }
        if self.system == System::Baseline {
            self.start_work(attempt, server);
            return;
        }
        let request = self.request_of(self.attempts[attempt].call);
        let now = self.at(self.now);
        let inbound = &mut self.inbound[server];
        match inbound.admission.offer(now, &request, &mut self.rng) {
            admission::Decision::Run(ticket) => {
                self.attempts[attempt].ticket = Some(ticket);
                self.start_work(attempt, server);
            }
            admission::Decision::Wait(key) => {
                inbound.waiting.insert(key, attempt);
                self.set_wake(server);
            }
            admission::Decision::Refuse(refusal) => {
                let wait = refusal.retry_after.as_secs_f64();
                self.schedule(
                    self.now + NETWORK_DELAY,
                    Event::Reply(attempt, AttemptResult::of_refusal(refusal.reason), wait),
                );
            }
        }
    }

    /// Starts an attempt at the backend server, which queues it if all its slots are busy.
    fn start_work(&mut self, attempt: usize, server: usize) {
        let spec = &self.scenario.servers[server];
        if (spec.is_failing)(self.now) {
            self.reply(attempt, server, AttemptResult::Failed);
            return;
        }
        if self.inbound[server].running >= spec.slots {
            self.inbound[server].server_queue.push_back(attempt);
            return;
        }
        self.inbound[server].running += 1;
        let call = &self.calls[self.attempts[attempt].call];
        let (mean, deadline) = (self.scenario.flows[call.flow].service_time, call.deadline);
        let work = if self.scenario.uniform_service_times {
            mean * self.rng.random_range(0.5..1.5)
        } else {
            self.exponential(mean)
        };
        let duration = work * (spec.slowdown)(self.now) * (spec.neighbour)(server, self.now);
        let end = self.now + duration;
        // The policy propagates deadlines, which end the work; the baseline does not.
        let end = match self.system {
            System::Policy => end.min(deadline),
            System::Baseline => end,
        };
        self.report.busy_seconds += end - self.now;
        self.schedule(end, Event::WorkEnds(attempt, server));
    }

    fn finish_work(&mut self, attempt: usize, server: usize) {
        self.inbound[server].running -= 1;
        if let Some(next) = self.inbound[server].server_queue.pop_front() {
            self.start_work(next, server);
        }
        let is_late = self.now >= self.calls[self.attempts[attempt].call].deadline;
        let result = if is_late && self.system == System::Policy {
            AttemptResult::Failed
        } else {
            AttemptResult::Answered
        };
        self.reply(attempt, server, result);
    }

    fn reply(&mut self, attempt: usize, server: usize, result: AttemptResult) {
        let now = self.at(self.now);
        let mut load = 0.0;
        if let Some(ticket) = self.attempts[attempt].ticket.take() {
            let outcome = match result {
                AttemptResult::Answered => limit::Outcome::Done,
                AttemptResult::Failed | AttemptResult::Full | AttemptResult::TeamShare => {
                    limit::Outcome::Failed
                }
            };
            let admission = &mut self.inbound[server].admission;
            let reported = (self.scenario.servers[server].reported_pace)(server, self.now);
            if let Some(percent) = reported {
                let report = Load::parse(&format!("0,0,6,{percent}"));
                admission.record_pace(now, report.and_then(|load| load.pace).expect("a pace"));
            }
            admission.finish(now, ticket, outcome);
            load = admission.load();
            self.attempts[attempt].pace = admission.pace(now);
            self.poll_admission(server);
        }
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::Reply(attempt, result, load),
        );
    }

    /// Starts or refuses waiting calls as the admission control decides.
    fn poll_admission(&mut self, server: usize) {
        let now = self.at(self.now);
        while let Some(next) = self.inbound[server].admission.next(now, &mut self.rng) {
            match next {
                admission::Next::Run(key, ticket) => {
                    let attempt = self.inbound[server].waiting.remove(&key).expect("waits");
                    self.attempts[attempt].ticket = Some(ticket);
                    self.start_work(attempt, server);
                }
                admission::Next::Refuse(key, refusal) => {
                    let attempt = self.inbound[server].waiting.remove(&key).expect("waits");
                    let wait = refusal.retry_after.as_secs_f64();
                    self.schedule(
                        self.now + NETWORK_DELAY,
                        Event::Reply(attempt, AttemptResult::of_refusal(refusal.reason), wait),
                    );
                }
            }
        }
        self.set_wake(server);
    }

    fn set_wake(&mut self, server: usize) {
        let now = self.at(self.now);
        let wake_at = self.inbound[server].admission.wake_at(now);
        if wake_at != self.inbound[server].wake_at {
            self.inbound[server].wake_at = wake_at;
            if let Some(at) = wake_at {
                let at = at.saturating_duration_since(self.start).as_secs_f64();
                self.schedule(at, Event::AdmissionTimer(server));
            }
        }
    }

    fn handle_reply(&mut self, attempt: usize, result: AttemptResult, value: f64) {
        let now = self.at(self.now);
        let Attempt {
            call,
            key,
            sent_at,
            is_first,
            pace,
            ..
        } = self.attempts[attempt];
        let is_open = self.calls[call].is_open;
        let route = policy::hash(&format!(
            "route-{}",
            self.scenario.flows[self.calls[call].flow].route
        ));
        let took = Duration::from_secs_f64(self.now - sent_at);
        let outbound = &mut self.outbound[self.calls[call].proxy];
        if let Some(key) = key {
            let outcome = match result {
                AttemptResult::Answered => balance::Outcome::Answered(Some(balance::LoadReport {
                    load: value,
                    queue_wait: Duration::ZERO,
                    pace,
                })),
                AttemptResult::Failed if !is_open => balance::Outcome::Cancelled,
                AttemptResult::Failed => balance::Outcome::Failed,
                AttemptResult::Full => balance::Outcome::Full,
                AttemptResult::TeamShare => balance::Outcome::Cancelled,
            };
            outbound
                .balancer
                .finish(now, key, route, took, outcome, &mut self.rng);
        }
        if result == AttemptResult::Answered && is_first {
            outbound.hedge.record_latency(took);
            outbound.budget.record_success();
        }
        if result == AttemptResult::Full {
            outbound.hedge.pause(now);
        }
        if let Some(hedge) = self.calls[call].hedge
            && is_open
            && result == AttemptResult::Answered
        {
            outbound.hedge.record_result(hedge == attempt);
        }
        if !is_open {
            return;
        }
        if self.calls[call].hedge == Some(attempt) && result == AttemptResult::Answered {
            self.cancel_first_attempt(call, route);
        }
        if result == AttemptResult::Answered {
            self.calls[call].is_open = false;
            let (flow, first_started) = (self.calls[call].flow, self.calls[call].first_started);
            self.report.record_answer(flow, first_started, self.now);
        } else {
            self.handle_failure(call, result, value);
        }
    }

    /// Cancels the first attempt of a call after the hedge was answered; the reply to the first
    /// attempt is ignored.
    fn cancel_first_attempt(&mut self, call: usize, route: u64) {
        let now = self.at(self.now);
        let others = self.attempts.iter_mut().rev();
        let Some(first) = others
            .filter(|attempt| attempt.call == call && attempt.is_first)
            .find(|attempt| attempt.key.is_some())
        else {
            return;
        };
        let took = Duration::from_secs_f64(self.now - first.sent_at);
        if let Some(key) = first.key.take() {
            let balancer = &mut self.outbound[self.calls[call].proxy].balancer;
            let outcome = balance::Outcome::HedgeWon;
            balancer.finish(now, key, route, took, outcome, &mut self.rng);
        }
    }

    fn handle_failure(&mut self, call: usize, result: AttemptResult, retry_after: f64) {
        let delay = match self.system {
            System::Baseline => (self.calls[call].attempts <= 3).then_some(0.0),
            System::Policy => self.retry_delay(call, result),
        };
        if let Some(delay) = delay {
            self.schedule(self.now + delay, Event::StartAttempt(call));
            return;
        }
        self.calls[call].is_open = false;
        let Call {
            flow,
            started,
            first_started,
            caller_retries,
            ..
        } = self.calls[call];
        self.report
            .record_refusal(flow, started, self.now, retry_after);
        // A caller's retry is a new call of the same flow.
        let retry_at = self.now + retry_after;
        let first_started = match self.scenario.caller_retry {
            CallerRetry::NewCall => retry_at,
            CallerRetry::Unmarked | CallerRetry::Marked => first_started,
        };
        let deadline = first_started + self.scenario.flows[flow].timeout;
        let is_over = deadline >= self.scenario.seconds || retry_at >= deadline;
        if caller_retries < self.scenario.caller_retries && !is_over {
            self.add_call(flow, caller_retries + 1, retry_at, first_started);
        }
    }

    fn retry_delay(&mut self, call: usize, result: AttemptResult) -> Option<f64> {
        let now = self.at(self.now);
        let deadline = self.at(self.calls[call].deadline);
        let Call {
            flow,
            proxy,
            attempts,
            ref tried,
            ..
        } = self.calls[call];
        let repeatable = self.scenario.flows[flow].class != Class::Commit;
        let outbound = &mut self.outbound[proxy];
        let route = policy::hash(&format!("route-{}", self.scenario.flows[flow].route));
        let (verdict, cause) = match result {
            AttemptResult::Full => (call::Verdict::NotRun, Cause::Full),
            AttemptResult::TeamShare => (call::Verdict::NotRun, Cause::TeamShare),
            AttemptResult::Failed | AttemptResult::Answered => {
                (call::Verdict::MayHaveRun, Cause::Failed)
            }
        };
        let failed = FailedAttempt {
            verdict,
            cause,
            repeatable,
            attempts,
            dispatched: if cause == Cause::Full { 0 } else { attempts },
            crashes: 0,
            max_attempts: 3,
            retried_by_caller: false,
            has_alternative: match cause {
                Cause::Full => outbound.balancer.has_room(now, tried),
                _ => tried.len() < outbound.balancer.len(),
            },
            deadline,
            expected_duration: outbound.balancer.expected_duration(route),
        };
        match outbound.budget.decide(now, &failed, &mut self.rng) {
            Decision::Retry(wait) => Some(wait.as_secs_f64()),
            Decision::GiveUp(_) => None,
        }
    }

    fn handle_attempt_timeout(&mut self, attempt: usize) {
        let call = self.attempts[attempt].call;
        if self.calls[call].is_open && self.calls[call].attempts <= 3 {
            self.start_attempt(call);
        }
    }

    fn send_hedge(&mut self, call: usize) {
        let now = self.at(self.now);
        let is_single = self.calls[call].is_open && self.calls[call].attempts == 1;
        if is_single
            && self.outbound[self.calls[call].proxy]
                .budget
                .spend(now, &mut self.rng)
        {
            self.report.hedges += 1;
            self.start_attempt(call);
            self.calls[call].hedge = Some(self.attempts.len() - 1);
        }
    }

    fn handle_deadline(&mut self, call: usize) {
        let Call {
            flow,
            started,
            is_open,
            ..
        } = self.calls[call];
        if is_open {
            self.calls[call].is_open = false;
            self.report.record_timeout(flow, started, self.now);
        }
    }
}
