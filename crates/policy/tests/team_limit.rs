//! Limits on the calls of a team over many nodes.

use policy::team_limit::{
    Cause, Decision, Grant, Ledger, Lender, Limit, Request, Returned, Wallet,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// The wallets of some nodes and the ledgers of their lenders, which reply after a delay.
struct Fleet {
    ledgers: Vec<Ledger>,
    wallets: Vec<Wallet>,
    /// The lender that each node asks.
    lenders: Vec<usize>,
    /// Which lenders report to which.
    links: Vec<(usize, usize)>,
    reported_at: Instant,
    /// Requests on the way: when they are handled, and from which node.
    requests: Vec<(Instant, usize, Request)>,
    admitted: Vec<Instant>,
    /// Calls that wait, by node.
    waiting: Vec<u32>,
    refused: usize,
    /// Part of the calls that have got a token and are refused for another reason.
    unserved_share: f64,
    unserved: f64,
    delay: Duration,
}

impl Fleet {
    fn new(now: Instant, limit: Limit, nodes: usize, delay: Duration) -> Self {
        let mut wallet = Wallet::default();
        wallet.set_advance(limit.advance_per_node(nodes));
        Self {
            ledgers: (0..3)
                .map(|id| open_ledger(now, id, limit, nodes))
                .collect(),
            wallets: vec![wallet; nodes],
            lenders: vec![0; nodes],
            links: Vec::new(),
            reported_at: now,
            requests: Vec::new(),
            admitted: Vec::new(),
            waiting: vec![0; nodes],
            refused: 0,
            unserved_share: 0.0,
            unserved: 0.0,
            delay,
        }
    }

    fn call(&mut self, now: Instant, node: usize) {
        match self.wallets[node].take(now) {
            Decision::Admit => self.run(now, 1, node),
            Decision::Wait => self.waiting[node] += 1,
            Decision::Refuse(wait) => {
                assert!(!wait.is_zero(), "a refusal tells when to come back");
                self.refused += 1;
            }
        }
        self.request(now, node);
    }

    /// Runs calls, or gives their tokens back.
    fn run(&mut self, now: Instant, calls: u32, node: usize) {
        for _ in 0..calls {
            self.unserved += self.unserved_share;
            if self.unserved >= 1.0 {
                self.unserved -= 1.0;
                self.wallets[node].give_back(now);
            } else {
                self.admitted.push(now);
            }
        }
    }

    fn request(&mut self, now: Instant, node: usize) {
        if let Some(request) = self.wallets[node].next_request(now) {
            self.requests.push((now + self.delay, node, request));
        }
    }

    /// Handles the requests that have arrived by `now`; each reply waits as long again.
    fn step(&mut self, now: Instant) {
        let due = self.requests.iter().filter(|(at, ..)| *at <= now);
        let due: Vec<_> = due.copied().collect();
        self.requests.retain(|(at, ..)| *at > now);
        for (_, node, wanted) in due {
            let grant = self.ledgers[self.lenders[node]].lend(now, wanted);
            assert!(grant.tokens <= wanted.needed + wanted.advance, "{grant:?}");
            let admitted = self.wallets[node].on_grant(now, grant);
            self.run(now, admitted, node);
            let answered = self.waiting[node] - self.wallets[node].waiting();
            self.refused += (answered - admitted) as usize;
            self.waiting[node] -= answered;
            self.request(now, node);
        }
        for node in 0..self.wallets.len() {
            if self.wallets[node].resume_at().is_some_and(|at| at <= now) {
                self.request(now, node);
            }
        }
        if now >= self.reported_at + REPORT_INTERVAL {
            self.reported_at = now;
            for (from, to) in self.links.clone() {
                let reports = self.ledgers[from].reports(now);
                self.ledgers[to].merge(now, reports);
            }
        }
    }

    /// Lets a part of the nodes ask another lender.
    fn move_nodes(&mut self, nodes: std::ops::Range<usize>, lender: usize) {
        self.lenders[nodes].fill(lender);
    }

    /// Returns the largest number of calls admitted in any `window`.
    fn most_in(&self, window: Duration) -> usize {
        let mut first = 0;
        let mut most = 0;
        for (index, at) in self.admitted.iter().enumerate() {
            while *at - self.admitted[first] > window {
                first += 1;
            }
            most = most.max(index + 1 - first);
        }
        most
    }
}

fn request(needed: u32, advance: u32) -> Request {
    Request {
        needed,
        advance,
        lender: None,
        returned: Returned::default(),
    }
}

fn grant(tokens: u32, wait: Duration) -> Grant {
    Grant {
        tokens,
        wait,
        lender: 0,
        cause: Cause::Window,
    }
}

fn open_ledger(now: Instant, id: u64, limit: Limit, nodes: usize) -> Ledger {
    let mut ledger = Ledger::new(now, id, limit, nodes);
    ledger.open();
    ledger
}

/// Interval at which lenders report to each other.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

const WINDOW: Duration = Duration::from_secs(5);

/// Part of a limit by which it may be exceeded.
const OVERAGE: f64 = 0.1;

/// A limit with a tolerance of a tenth and 20 calls.
fn limit(rate: f64, burst: f64) -> Limit {
    let per_window = rate * WINDOW.as_secs_f64() + burst;
    Limit {
        rate,
        burst,
        window: WINDOW,
        tolerance: OVERAGE * per_window + 20.0,
    }
}

/// Runs `calls` a second through random nodes out of the first `spread` for ten seconds.
fn run_load(limit: Limit, nodes: usize, spread: usize, calls: u32, delay: Duration) -> Fleet {
    let start = Instant::now();
    let mut fleet = Fleet::new(start, limit, nodes, delay);
    let mut load = Load::new(start, spread, calls);
    load.run(&mut fleet, 10_000);
    fleet
}

/// Calls through random nodes.
struct Load {
    start: Instant,
    step: u64,
    /// Number of nodes with callers.
    spread: usize,
    first_node: usize,
    /// Calls a second.
    calls: u32,
    state: u64,
}

impl Load {
    fn new(start: Instant, spread: usize, calls: u32) -> Self {
        Self {
            start,
            step: 0,
            spread,
            first_node: 0,
            calls,
            state: 7,
        }
    }

    /// Runs to the time `until`, in milliseconds after the start.
    fn run(&mut self, fleet: &mut Fleet, until: u64) {
        for step in self.step..until {
            let now = self.start + Duration::from_millis(step);
            fleet.step(now);
            let before = step * u64::from(self.calls) / 1_000;
            for _ in before..(step + 1) * u64::from(self.calls) / 1_000 {
                self.state = self.state.wrapping_mul(6_364_136_223_846_793_005);
                self.state = self.state.wrapping_add(1);
                let node = (self.state >> 33) as usize % self.spread;
                fleet.call(now, (self.first_node + node) % fleet.wallets.len());
            }
        }
        self.step = until;
    }
}

/// How a lender's place is taken by others.
#[derive(Debug, Clone, Copy)]
enum Change {
    /// All nodes ask the next in rank, to which the owner has reported.
    Planned,
    /// As before, and then the one after it, a second later.
    Twice,
    /// For half a second, half of the nodes still ask the former owner.
    ViewsDiffer,
    /// A lender that has heard nothing takes over.
    Unknown,
    /// A cut for the rest of the time: both sides keep to half of the limit, the former owner half
    /// a second after the cut.
    Cut,
}

/// Runs a load through a change of owners, 8 s after its start, and 8 s more.
fn run_change(change: Change, limit: Limit, calls: u32) -> Fleet {
    let start = Instant::now();
    let at = start + Duration::from_secs(8);
    let mut fleet = Fleet::new(start, limit, 85, Duration::from_millis(5));
    let mut load = Load::new(start, 85, calls);
    if !matches!(change, Change::Unknown) {
        fleet.links = vec![(0, 1), (1, 0), (1, 2), (2, 1)];
    }
    load.run(&mut fleet, 8_000);
    match change {
        Change::Planned | Change::Unknown => fleet.move_nodes(0..85, 1),
        Change::Twice => {
            fleet.move_nodes(0..85, 1);
            load.run(&mut fleet, 9_000);
            fleet.move_nodes(0..85, 2);
        }
        Change::ViewsDiffer => {
            fleet.move_nodes(0..42, 1);
            load.run(&mut fleet, 8_500);
            fleet.move_nodes(42..85, 1);
        }
        Change::Cut => {
            fleet.links.clear();
            fleet.ledgers[1].set_share(at, 0.5);
            fleet.move_nodes(0..42, 1);
            load.run(&mut fleet, 8_500);
            let now = at + Duration::from_millis(500);
            fleet.ledgers[0].set_share(now, 0.5);
        }
    }
    load.run(&mut fleet, 16_000);
    fleet
}

// The owner of a hot team's limit is replaced by a node that has run since the start: both must not
// lend the tokens of the same window.
#[yare::parameterized(
    planned = { Change::Planned },
    twice = { Change::Twice },
    views_differ = { Change::ViewsDiffer },
    unknown = { Change::Unknown },
    cut = { Change::Cut },
)]
fn owner_change(change: Change) {
    let fleet = run_change(change, limit(100.0, 100.0), 1_000);
    let most = fleet.most_in(WINDOW);
    assert!(most <= 660 + 20, "{most} calls in 5 s");
    let admitted = fleet.admitted.len();
    println!("{change:?}: {most} at most, {admitted} admitted");
}

// A team below its limit loses calls while its owner changes.
#[yare::parameterized(
    planned = { Change::Planned, 90 },
    twice = { Change::Twice, 90 },
    views_differ = { Change::ViewsDiffer, 90 },
    small_team = { Change::Planned, 5 },
    unknown_to_all = { Change::Unknown, 90 },
    unknown_to_small_team = { Change::Unknown, 5 },
)]
fn change_below_limit(change: Change, rate: u32) {
    let fleet = run_change(
        change,
        limit(f64::from(rate), f64::from(rate)),
        rate * 4 / 5,
    );
    let all = fleet.admitted.len() + fleet.refused;
    println!("{change:?}: {} of {all} refused", fleet.refused);
    assert!(fleet.refused * 50 <= all, "{} of {all}", fleet.refused);
}

// A team sends ten times its limit through all nodes, or through one: in no window may more calls
// run than the limit and its tolerance allow, and what it allows must run.
#[yare::parameterized(
    all_nodes = { 85, 85 },
    few_nodes = { 85, 5 },
    one_node = { 85, 1 },
    more_nodes_than_burst = { 400, 400 },
)]
fn hot_team(nodes: usize, spread: usize) {
    let limit = limit(40.0, 40.0);
    let fleet = run_load(limit, nodes, spread, 400, Duration::from_millis(5));
    let most = fleet.most_in(WINDOW);
    assert!(most <= 5 * 40 + 40 + 22, "{most} calls in 5 s");
    let admitted = fleet.admitted.len();
    assert!(admitted >= 440, "{admitted} of 480 admitted");
}

// A team stays below its limit, with its callers on all nodes or on a few: hardly a call may be
// refused.
#[yare::parameterized(
    all_nodes = { 85, 85, 40 },
    few_nodes = { 85, 3, 40 },
    one_node = { 85, 1, 40 },
    small_team = { 85, 85, 5 },
)]
fn below_limit(nodes: usize, spread: usize, rate: u32) {
    let limit = limit(f64::from(rate), f64::from(rate));
    let calls = rate * 5 / 8;
    let fleet = run_load(limit, nodes, spread, calls, Duration::from_millis(5));
    let all = fleet.admitted.len() + fleet.refused;
    assert!(
        fleet.refused * 100 <= all,
        "{} of {all} refused",
        fleet.refused
    );
}

// Backend servers refuse half of a hot team's calls: others have to run for their tokens.
#[yare::parameterized(
    all_nodes = { 85, 85 },
    few_nodes = { 85, 5 },
    one_node = { 85, 1 },
)]
fn unserved_calls(nodes: usize, spread: usize) {
    let limit = limit(100.0, 100.0);
    let start = Instant::now();
    let mut fleet = Fleet::new(start, limit, nodes, Duration::from_millis(5));
    fleet.unserved_share = 0.5;
    Load::new(start, spread, 1_000).run(&mut fleet, 20_000);
    let most = fleet.most_in(WINDOW);
    assert!(most <= 660 + 20, "{most} calls in 5 s");
    let admitted = fleet.admitted.len();
    assert!(admitted * 100 >= 97 * 2_100, "{admitted} of 2100 have run");
}

// A hot team's callers move to other nodes each half second.
#[test]
fn moving_callers() {
    let limit = limit(100.0, 100.0);
    let start = Instant::now();
    let mut fleet = Fleet::new(start, limit, 85, Duration::from_millis(5));
    let mut load = Load::new(start, 5, 1_000);
    for step in 1..=40 {
        load.run(&mut fleet, step * 500);
        load.first_node += 5;
    }
    let most = fleet.most_in(WINDOW);
    assert!(most <= 660 + 20, "{most} calls in 5 s");
    let admitted = fleet.admitted.len();
    assert!(admitted * 100 >= 97 * 2_100, "{admitted} of 2100 have run");
}

// An operator lowers a hot team's limit and raises it again: the higher one must not count twice.
#[test]
fn changed_limit() {
    let start = Instant::now();
    let high = limit(100.0, 100.0);
    let mut fleet = Fleet::new(start, high, 85, Duration::from_millis(5));
    let mut load = Load::new(start, 85, 1_000);
    load.run(&mut fleet, 8_000);
    let before = fleet.admitted.len();
    let lowered = start + Duration::from_secs(8);
    fleet.ledgers[0].set_limit(lowered, limit(10.0, 10.0), 85);
    load.run(&mut fleet, 13_000);
    let within = fleet.admitted.len() - before;
    assert!(
        within <= 66 + 20,
        "{within} calls in the window after the change"
    );
    let raised = start + Duration::from_secs(13);
    fleet.ledgers[0].set_limit(raised, high, 85);
    load.run(&mut fleet, 20_000);
    let most = fleet.most_in(WINDOW);
    assert!(most <= 660 + 20, "{most} calls in 5 s");
    let again = fleet.admitted.len() - before - within;
    assert!(again * 100 >= 97 * 700, "{again} of 700 have run");
}

// Each of many nodes is refused and asks again at once: the owner would serve nothing else.
#[test]
fn bounded_requests() {
    let limit = limit(5.0, 5.0);
    let start = Instant::now();
    let mut ledger = open_ledger(start, 0, limit, 200);
    let mut next = vec![start; 200];
    let mut requests = 0;
    for step in 0..5_000 {
        let now = start + Duration::from_millis(step);
        for at in next.iter_mut().filter(|at| **at <= now) {
            requests += 1;
            *at = now
                + ledger
                    .lend(now, request(1, 0))
                    .wait
                    .max(Duration::from_millis(1));
        }
    }
    assert!(requests <= 5 * 200 + 200, "{requests} requests in 5 s");
}

// A new owner is asked before it knows what the former one has lent: it must lend nothing yet, and
// what that has left afterwards.
#[test]
fn unopened_ledger() {
    let now = Instant::now();
    let limit = limit(100.0, 100.0);
    let mut former = open_ledger(now, 7, limit, 85);
    assert_eq!(former.lend(now, request(40, 0)).tokens, 40);
    let mut ledger = Ledger::new(now, 8, limit, 85);
    let mut wanted = request(100, 0);
    wanted.lender = Some(Lender {
        id: 7,
        age: Duration::ZERO,
    });
    let grant = ledger.lend(now, wanted);
    assert_eq!((grant.tokens, grant.cause), (0, Cause::Unavailable));
    ledger.merge(now, former.reports(now));
    ledger.open();
    let grant = ledger.lend(now, wanted);
    assert_eq!((grant.tokens, grant.cause), (60, Cause::Spread));
}

#[test]
fn lower_limit() {
    let start = Instant::now();
    let mut ledger = open_ledger(start, 0, limit(100.0, 100.0), 10);
    let later = start + Duration::from_secs(10);
    ledger.set_limit(later, limit(1.0, 2.0), 10);
    let grant = ledger.lend(later, request(50, 0));
    assert!(grant.tokens <= 2, "{grant:?}");
    assert!(!grant.wait.is_zero(), "{grant:?}");
}

// A call that was refused for another reason has not run, and must not count.
#[test]
fn returned_token() {
    let now = Instant::now();
    let mut wallet = Wallet::default();
    wallet.set_advance(1);
    assert_eq!(wallet.next_request(now), Some(request(0, 1)));
    assert_eq!(wallet.on_grant(now, grant(1, Duration::ZERO)), 0);
    assert_eq!(wallet.take(now), Decision::Admit);
    wallet.give_back(now);
    assert_eq!(wallet.take(now), Decision::Admit);
    assert_eq!(wallet.take(now), Decision::Wait);
}

// The owner has no tokens to lend in advance: a node that asks again at once does nothing else.
#[test]
fn empty_owner() {
    let now = Instant::now();
    let mut wallet = Wallet::default();
    wallet.set_advance(10);
    assert!(wallet.next_request(now).is_some());
    wallet.on_grant(now, grant(0, Duration::ZERO));
    assert_eq!(wallet.next_request(now), None);
    assert!(wallet.next_request(now + Duration::from_secs(1)).is_some());
}

proptest! {
    // Whatever nodes ask for, in no window does an owner lend more than the limit allows.
    #[test]
    fn bounded_lending(
        requests in prop::collection::vec((0_u64..400, 0_u32..20, 0_u32..20), 1..300),
        rate in 0.5_f64..200.0,
        burst in 0.0_f64..200.0,
    ) {
        let start = Instant::now();
        let limit = limit(rate, burst);
        let mut ledger = open_ledger(start, 0, limit, 200);
        let mut now = start;
        let mut lent: Vec<(Instant, u32)> = Vec::new();
        for (wait, needed, advance) in requests {
            now += Duration::from_millis(wait);
            let grant = ledger.lend(now, request(needed, advance));
            prop_assert!(grant.tokens <= needed + advance);
            prop_assert_eq!(grant.wait.is_zero(), grant.tokens >= needed);
            lent.push((now, grant.tokens));
            let in_window = lent.iter().filter(|(at, _)| now - *at <= WINDOW);
            let sum: u32 = in_window.map(|(_, tokens)| tokens).sum();
            let allowed = (rate * 5.0 + burst).max(1.0) + limit.tolerance / 2.0;
            prop_assert!(f64::from(sum) <= allowed + 1e-6, "lent {} of {}", sum, allowed);
        }
    }
}
