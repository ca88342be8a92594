//! A small discrete-event harness: callers, outbound proxies, inbound proxies
//! with their backend servers, all in virtual time and from one seed.

use crate::report::Report;
use crate::scenario::{CallerRetry, Scenario, Server, System};
use config::Class;
use policy::admission::{self, Admission};
use policy::balance::{self, Balancer, Candidate, Distance, Identity};
use policy::hedge::HedgePolicy;
use policy::limit;
use policy::load_probe::ProbeResult;
use policy::queue;
use policy::retry::{Cause, Decision, FailedAttempt, RetryBudget};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Seconds that a frame takes between two nodes of one region.
const WIRE: f64 = 0.0005;

/// Seconds between two looks at the views.
const SYNC: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Answered,
    Broken,
    Full,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(usize),
    Send(usize),
    Look(usize),
    Seen(usize),
    Reach(usize),
    End(usize, usize),
    Wake(usize),
    Return(usize, Ending, f64),
    TryLost(usize),
    HedgeDue(usize),
    Deadline(usize),
    Sync,
}

/// A caller's call, over all its tries.
struct Call {
    flow: usize,
    proxy: usize,
    /// When its caller first came.
    first: f64,
    born: f64,
    deadline: f64,
    open: bool,
    tries: u8,
    returns: u32,
    tried: Vec<balance::Key>,
    /// Those that are asked about it, and what they have told.
    seen: Vec<ProbeResult>,
    hedged: Option<usize>,
}

/// One try at one backend server.
struct Attempt {
    call: usize,
    server: usize,
    key: Option<balance::Key>,
    sent: f64,
    ticket: Option<admission::Ticket>,
    first: bool,
}

/// What a call asks of a backend server, but for those that it has been to.
#[derive(Clone, Copy)]
struct Asked {
    repeatable: bool,
    route: u64,
    target: Option<Instant>,
}

impl Asked {
    fn lend(self, tried: &[balance::Key]) -> balance::PickArgs<'_> {
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
    /// Calls that the backend server itself keeps waiting.
    inside: VecDeque<usize>,
    running: usize,
    woken: Option<Instant>,
}

struct Outbound {
    balance: Balancer,
    budget: RetryBudget,
    hedge: HedgePolicy,
    turn: usize,
}

struct Sim<'a> {
    scenario: &'a Scenario,
    system: System,
    start: Instant,
    now: f64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: HashMap<u64, Event>,
    rng: SmallRng,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    inbound: Vec<Inbound>,
    outbound: Vec<Outbound>,
    report: Report,
}

/// Runs a scenario and tells what the callers received.
pub fn run(scenario: &Scenario, system: System) -> Report {
    let start = Instant::now();
    let mut sim = Sim {
        scenario,
        system,
        start,
        now: 0.0,
        order: 0,
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
        sim.inbound.push(Inbound {
            admission: Admission::new(start, server.advertised_slots, scenario.seed + index),
            waiting: HashMap::new(),
            inside: VecDeque::new(),
            running: 0,
            woken: None,
        });
    }
    for turn in 0..scenario.proxies.len() {
        sim.outbound.push(Outbound {
            balance: Balancer::new(),
            budget: RetryBudget::new(start, 10),
            hedge: HedgePolicy::new(start),
            turn,
        });
    }
    sim.sync();
    for flow in 0..scenario.flows.len() {
        sim.schedule_arrival(flow, scenario.flows[flow].span.0);
    }
    while let Some(Reverse((at, order))) = sim.events.pop() {
        sim.now = nanos_to_seconds(at);
        let event = sim.payloads.remove(&order).expect("scheduled once");
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
        self.order += 1;
        let nanos = Duration::from_secs_f64(at.max(self.now)).as_nanos();
        let nanos = u64::try_from(nanos).expect("a run is short");
        self.events.push(Reverse((nanos, self.order)));
        self.payloads.insert(self.order, event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn schedule_arrival(&mut self, flow: usize, after: f64) {
        let spec = &self.scenario.flows[flow];
        let (rate, end) = (spec.rate, spec.span.1.min(self.scenario.seconds));
        let at = after + self.exponential(1.0 / rate);
        if at < end {
            self.schedule(at, Event::Arrive(flow));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(flow) => {
                self.schedule_arrival(flow, self.now);
                self.begin(flow);
            }
            Event::Send(call) => self.survey(call),
            Event::Look(call) => self.look(call),
            Event::Seen(call) => self.survey_further(call),
            Event::Reach(attempt) => self.reach(attempt),
            Event::End(attempt, server) => self.end(attempt, server),
            Event::Wake(server) => self.settle(server),
            Event::Return(attempt, ending, hint) => self.come_back(attempt, ending, hint),
            Event::TryLost(attempt) => self.lose_try(attempt),
            Event::HedgeDue(call) => self.send_hedge(call),
            Event::Deadline(call) => self.pass_deadline(call),
            Event::Sync => self.sync(),
        }
    }

    fn sync(&mut self) {
        let now = self.at(self.now);
        for (outbound, zone) in self.outbound.iter_mut().zip(&self.scenario.proxies) {
            let seen =
                |server: &Server| server.in_view.0 <= self.now && self.now < server.in_view.1;
            let candidates = (0..).zip(&self.scenario.servers);
            let candidates = candidates.filter(|(_, server)| seen(server));
            outbound.balance.sync(
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
                }),
            );
        }
        if self.now > self.scenario.seconds / 2.0 {
            for (slots, inbound) in self.report.limits.iter_mut().zip(&self.inbound) {
                slots.push(inbound.admission.slots());
            }
        }
        if self.now + SYNC < self.scenario.seconds {
            self.schedule(self.now + SYNC, Event::Sync);
        }
    }

    /// Adds a call that its caller makes at `born`, who first came at `first`.
    fn add_call(&mut self, flow: usize, returns: u32, born: f64, first: f64) -> usize {
        let deadline = first + self.scenario.flows[flow].timeout;
        let call = self.calls.len();
        let proxy = self.rng.random_range(0..self.outbound.len());
        self.calls.push(Call {
            flow,
            proxy,
            first,
            born,
            deadline,
            open: true,
            tries: 0,
            returns,
            tried: Vec::new(),
            seen: Vec::new(),
            hedged: None,
        });
        self.schedule(born, Event::Send(call));
        self.schedule(deadline, Event::Deadline(call));
        call
    }

    fn begin(&mut self, flow: usize) {
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

    /// Asks backend servers about a call before it is sent, where the policy does.
    fn survey(&mut self, call: usize) {
        self.calls[call].seen.clear();
        if self.system == System::Baseline || !self.scenario.probes {
            self.send(call);
            return;
        }
        let now = self.at(self.now);
        let (ask, proxy) = (self.ask_of(call, now), self.calls[call].proxy);
        let ask = ask.lend(&self.calls[call].tried);
        let balance = &self.outbound[proxy].balance;
        let keys = balance.probe_targets(now, &ask, &mut self.rng);
        self.ask_all(call, keys);
    }

    fn survey_further(&mut self, call: usize) {
        let now = self.at(self.now);
        let (ask, proxy) = (self.ask_of(call, now), self.calls[call].proxy);
        let ask = ask.lend(&self.calls[call].tried);
        let balance = &self.outbound[proxy].balance;
        let keys = balance.further_probe_targets(now, &ask, &self.calls[call].seen, &mut self.rng);
        self.ask_all(call, keys);
    }

    fn ask_all(&mut self, call: usize, keys: Vec<balance::Key>) {
        if keys.is_empty() {
            self.send(call);
            return;
        }
        let unanswered = keys.into_iter().map(|key| ProbeResult {
            key,
            estimate: None,
        });
        self.calls[call].seen.extend(unanswered);
        self.schedule(self.now + WIRE, Event::Look(call));
    }

    /// The questions reach the inbound proxies.
    fn look(&mut self, call: usize) {
        let now = self.at(self.now);
        let request = self.request_of(call);
        let proxy = self.calls[call].proxy;
        for index in 0..self.calls[call].seen.len() {
            let one = self.calls[call].seen[index];
            let identity = self.outbound[proxy].balance.identity(one.key);
            let server = identity.and_then(|known| usize::try_from(known.incarnation).ok());
            let is_lit = |server: &usize| !(self.scenario.servers[*server].is_dead)(self.now);
            let Some(server) = server.filter(is_lit).filter(|_| one.estimate.is_none()) else {
                continue;
            };
            let outlook = self.inbound[server].admission.estimate(now, &request);
            self.calls[call].seen[index].estimate = Some(outlook);
        }
        self.schedule(self.now + WIRE, Event::Seen(call));
    }

    fn send(&mut self, call: usize) {
        let first = self.calls[call].tries == 0;
        self.calls[call].tries += 1;
        let Some((server, key)) = self.choose(call) else {
            self.fail(call, Ending::Broken, 0.0);
            return;
        };
        self.attempts.push(Attempt {
            call,
            server,
            key,
            sent: self.now,
            ticket: None,
            first,
        });
        let attempt = self.attempts.len() - 1;
        let zones = [
            self.scenario.proxies[self.calls[call].proxy],
            self.scenario.servers[server].zone,
        ];
        self.report
            .record_attempt(self.now, server, zones[0] != zones[1]);
        self.schedule(self.now + WIRE, Event::Reach(attempt));
        if self.system == System::Baseline && self.scenario.attempt_timeout < f64::MAX {
            self.schedule(
                self.now + self.scenario.attempt_timeout,
                Event::TryLost(attempt),
            );
        }
    }

    /// Gives until when an answer is worth most, as far as the nodes know.
    fn target_of(&self, call: usize) -> Option<Instant> {
        let call = &self.calls[call];
        let from = match self.scenario.caller_retry {
            CallerRetry::Unmarked => call.born,
            CallerRetry::NewCall | CallerRetry::Marked => call.first,
        };
        let target = self.scenario.flows[call.flow].target?;
        Some(self.at(from + target))
    }

    /// Gives what a call asks of a backend server.
    fn ask_of(&self, call: usize, now: Instant) -> Asked {
        let flow = &self.scenario.flows[self.calls[call].flow];
        Asked {
            repeatable: flow.class != Class::Commit,
            route: policy::hash(&format!("route-{}", flow.route)),
            target: self.target_of(call).filter(|target| *target > now),
        }
    }

    fn choose(&mut self, call: usize) -> Option<(usize, Option<balance::Key>)> {
        let now = self.at(self.now);
        let asked = self.ask_of(call, now);
        let outbound = &mut self.outbound[self.calls[call].proxy];
        match self.system {
            System::Baseline => {
                let seen =
                    |server: &Server| server.in_view.0 <= self.now && self.now < server.in_view.1;
                for _ in 0..self.scenario.servers.len() {
                    outbound.turn += 1;
                    let server = outbound.turn % self.scenario.servers.len();
                    if seen(&self.scenario.servers[server]) {
                        return Some((server, None));
                    }
                }
                None
            }
            System::Policy => {
                let ask = asked.lend(&self.calls[call].tried);
                let seen = &self.calls[call].seen;
                let key = outbound
                    .balance
                    .pick_probed(now, &ask, seen, &mut self.rng)?;
                let identity = outbound.balance.identity(key)?;
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
            nested: flow.nested,
        }
    }

    fn reach(&mut self, attempt: usize) {
        let server = self.attempts[attempt].server;
        if (self.scenario.servers[server].is_dead)(self.now) {
            return;
        }
        if self.system == System::Baseline {
            self.enter(attempt, server);
            return;
        }
        let request = self.request_of(self.attempts[attempt].call);
        let now = self.at(self.now);
        let inbound = &mut self.inbound[server];
        match inbound.admission.offer(now, &request, &mut self.rng) {
            admission::Decision::Run(ticket) => {
                self.attempts[attempt].ticket = Some(ticket);
                self.enter(attempt, server);
            }
            admission::Decision::Wait(key) => {
                inbound.waiting.insert(key, attempt);
                self.set_wake(server);
            }
            admission::Decision::Refuse(refusal) => {
                let wait = refusal.retry_after.as_secs_f64();
                self.schedule(self.now + WIRE, Event::Return(attempt, Ending::Full, wait));
            }
        }
    }

    /// The call reaches the backend server, which queues what is beyond its slots.
    fn enter(&mut self, attempt: usize, server: usize) {
        let spec = &self.scenario.servers[server];
        if (spec.is_failing)(self.now) {
            self.finish(attempt, server, Ending::Broken);
            return;
        }
        if self.inbound[server].running >= spec.slots {
            self.inbound[server].inside.push_back(attempt);
            return;
        }
        self.inbound[server].running += 1;
        let call = &self.calls[self.attempts[attempt].call];
        let (mean, deadline) = (self.scenario.flows[call.flow].mean, call.deadline);
        let work = if self.scenario.uniform {
            mean * self.rng.random_range(0.5..1.5)
        } else {
            self.exponential(mean)
        };
        let took = work * (spec.slowdown)(self.now);
        let end = self.now + took;
        // A deadline that is passed on ends the work; the baseline passes none.
        let end = match self.system {
            System::Policy => end.min(deadline),
            System::Baseline => end,
        };
        self.report.busy_seconds += end - self.now;
        self.schedule(end, Event::End(attempt, server));
    }

    fn end(&mut self, attempt: usize, server: usize) {
        self.inbound[server].running -= 1;
        if let Some(next) = self.inbound[server].inside.pop_front() {
            self.enter(next, server);
        }
        let late = self.now >= self.calls[self.attempts[attempt].call].deadline;
        let ending = if late && self.system == System::Policy {
            Ending::Broken
        } else {
            Ending::Answered
        };
        self.finish(attempt, server, ending);
    }

    fn finish(&mut self, attempt: usize, server: usize, ending: Ending) {
        let now = self.at(self.now);
        let mut load = 0.0;
        if let Some(ticket) = self.attempts[attempt].ticket.take() {
            let outcome = match ending {
                Ending::Answered => limit::Outcome::Done,
                Ending::Broken | Ending::Full => limit::Outcome::Failed,
            };
            let admission = &mut self.inbound[server].admission;
            admission.finish(now, ticket, outcome);
            load = admission.load();
            self.settle(server);
        }
        self.schedule(self.now + WIRE, Event::Return(attempt, ending, load));
    }

    /// Acts on what has become of the waiting calls.
    fn settle(&mut self, server: usize) {
        let now = self.at(self.now);
        while let Some(next) = self.inbound[server].admission.next(now, &mut self.rng) {
            match next {
                admission::Next::Run(key, ticket) => {
                    let attempt = self.inbound[server].waiting.remove(&key).expect("waits");
                    self.attempts[attempt].ticket = Some(ticket);
                    self.enter(attempt, server);
                }
                admission::Next::Refuse(key, refusal) => {
                    let attempt = self.inbound[server].waiting.remove(&key).expect("waits");
                    let wait = refusal.retry_after.as_secs_f64();
                    self.schedule(self.now + WIRE, Event::Return(attempt, Ending::Full, wait));
                }
            }
        }
        self.set_wake(server);
    }

    fn set_wake(&mut self, server: usize) {
        let wake = self.inbound[server].admission.wake_at();
        if wake != self.inbound[server].woken {
            self.inbound[server].woken = wake;
            if let Some(at) = wake {
                let at = at.saturating_duration_since(self.start).as_secs_f64();
                self.schedule(at, Event::Wake(server));
            }
        }
    }

    fn come_back(&mut self, attempt: usize, ending: Ending, told: f64) {
        let now = self.at(self.now);
        let Attempt {
            call,
            key,
            sent,
            first,
            ..
        } = self.attempts[attempt];
        let open = self.calls[call].open;
        let route = policy::hash(&format!(
            "route-{}",
            self.scenario.flows[self.calls[call].flow].route
        ));
        let took = Duration::from_secs_f64(self.now - sent);
        let outbound = &mut self.outbound[self.calls[call].proxy];
        if let Some(key) = key {
            let outcome = match ending {
                Ending::Answered => balance::Outcome::Answered(Some(balance::LoadReport {
                    load: told,
                    queue_wait: Duration::ZERO,
                })),
                Ending::Broken if !open => balance::Outcome::Cancelled,
                Ending::Broken => balance::Outcome::Failed,
                Ending::Full => balance::Outcome::Full,
            };
            outbound
                .balance
                .finish(now, key, route, took, outcome, &mut self.rng);
        }
        if ending == Ending::Answered && first {
            outbound.hedge.record_latency(took);
            outbound.budget.record_success();
        }
        if ending == Ending::Full {
            outbound.hedge.pause(now);
        }
        if let Some(hedge) = self.calls[call].hedged
            && open
            && ending == Ending::Answered
        {
            outbound.hedge.record_result(hedge == attempt);
        }
        if !open {
            return;
        }
        if self.calls[call].hedged == Some(attempt) && ending == Ending::Answered {
            self.overtake(call, route);
        }
        if ending == Ending::Answered {
            self.calls[call].open = false;
            let (flow, first) = (self.calls[call].flow, self.calls[call].first);
            self.report.record_answer(flow, first, self.now);
        } else {
            self.fail(call, ending, told);
        }
    }

    /// The copy was first: the other try is cancelled, and nothing more is heard of it.
    fn overtake(&mut self, call: usize, route: u64) {
        let now = self.at(self.now);
        let others = self.attempts.iter_mut().rev();
        let Some(first) = others
            .filter(|attempt| attempt.call == call && attempt.first)
            .find(|attempt| attempt.key.is_some())
        else {
            return;
        };
        let took = Duration::from_secs_f64(self.now - first.sent);
        if let Some(key) = first.key.take() {
            let balance = &mut self.outbound[self.calls[call].proxy].balance;
            let outcome = balance::Outcome::HedgeWon;
            balance.finish(now, key, route, took, outcome, &mut self.rng);
        }
    }

    fn fail(&mut self, call: usize, ending: Ending, retry_after: f64) {
        let again = match self.system {
            System::Baseline => (self.calls[call].tries <= 3).then_some(0.0),
            System::Policy => self.decide(call, ending),
        };
        if let Some(wait) = again {
            self.schedule(self.now + wait, Event::Send(call));
            return;
        }
        self.calls[call].open = false;
        let Call {
            flow,
            born,
            first,
            returns,
            ..
        } = self.calls[call];
        self.report
            .record_refusal(flow, born, self.now, retry_after);
        // A caller that comes back is a new call of the same flow.
        let back = self.now + retry_after;
        let first = match self.scenario.caller_retry {
            CallerRetry::NewCall => back,
            CallerRetry::Unmarked | CallerRetry::Marked => first,
        };
        let end = first + self.scenario.flows[flow].timeout;
        let is_over = end >= self.scenario.seconds || back >= end;
        if returns < self.scenario.caller_retries && !is_over {
            self.add_call(flow, returns + 1, back, first);
        }
    }

    fn decide(&mut self, call: usize, ending: Ending) -> Option<f64> {
        let now = self.at(self.now);
        let deadline = self.at(self.calls[call].deadline);
        let Call {
            flow,
            proxy,
            tries,
            ref tried,
            ..
        } = self.calls[call];
        let repeatable = self.scenario.flows[flow].class != Class::Commit;
        let outbound = &mut self.outbound[proxy];
        let route = policy::hash(&format!("route-{}", self.scenario.flows[flow].route));
        let (verdict, cause) = match ending {
            Ending::Full => (call::Verdict::NotRun, Cause::Full),
            Ending::Broken | Ending::Answered => (call::Verdict::MayHaveRun, Cause::Failed),
        };
        let tried = FailedAttempt {
            verdict,
            cause,
            repeatable,
            attempts: tries,
            dispatched: if cause == Cause::Full { 0 } else { tries },
            crashes: 0,
            max_attempts: 3,
            retried_by_caller: false,
            has_alternative: match cause {
                Cause::Full => outbound.balance.has_room(now, tried),
                _ => tried.len() < outbound.balance.len(),
            },
            deadline,
            expected_duration: outbound.balance.expected_duration(route),
        };
        match outbound.budget.decide(now, &tried, &mut self.rng) {
            Decision::Retry(wait) => Some(wait.as_secs_f64()),
            Decision::GiveUp(_) => None,
        }
    }

    fn lose_try(&mut self, attempt: usize) {
        let call = self.attempts[attempt].call;
        if self.calls[call].open && self.calls[call].tries <= 3 {
            self.send(call);
        }
    }

    fn send_hedge(&mut self, call: usize) {
        let now = self.at(self.now);
        let open = self.calls[call].open && self.calls[call].tries == 1;
        if open && self.outbound[self.calls[call].proxy].budget.spend(now) {
            self.report.hedges += 1;
            self.send(call);
            self.calls[call].hedged = Some(self.attempts.len() - 1);
        }
    }

    fn pass_deadline(&mut self, call: usize) {
        let Call {
            flow, born, open, ..
        } = self.calls[call];
        if open {
            self.calls[call].open = false;
            self.report.record_timeout(flow, born, self.now);
        }
    }
}
