//! Calls at the rate that a backend server has named.

use clock::{Clock, Manual};
use config::Class;
use policy::admission::{Admission, Decision, Next, Reason, Request, Ticket};
use policy::limit::Outcome;
use policy::queue::Key;
use policy::self_report::Rate;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Duration of each call.
const RUN: Duration = Duration::from_millis(40);

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(1);

/// Window over which starts of calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// A backend server with six slots that is offered calls at random times.
struct Server {
    clock: Manual,
    admission: Admission,
    rng: SmallRng,
    running: Vec<(Instant, Ticket)>,
    waiting: Vec<(Key, Instant)>,
    starts: Vec<Instant>,
    refused: Vec<(Reason, Duration)>,
    /// Longest time for which a refused call had waited.
    longest_refused_wait: Duration,
}

impl Server {
    fn new(seed: u64) -> Self {
        let clock = Manual::new();
        Self {
            admission: Admission::new(clock.now(), 6, seed),
            clock,
            rng: SmallRng::seed_from_u64(seed),
            running: Vec::new(),
            waiting: Vec::new(),
            starts: Vec::new(),
            refused: Vec::new(),
            longest_refused_wait: Duration::ZERO,
        }
    }

    fn set_rate(&mut self, rate: Option<u32>) {
        let rate = rate.map(Rate::from_millis);
        self.admission.set_rate_limit(self.clock.now(), rate);
        self.advance();
    }

    /// Offers calls for `duration`.
    fn run(&mut self, duration: Duration, per_second: f64) {
        let end = self.clock.now() + duration;
        while self.clock.now() < end {
            if self.rng.random_bool(per_second * STEP.as_secs_f64()) {
                self.offer(Class::Lookup);
            }
            self.clock.advance(STEP);
            self.advance();
        }
    }

    fn offer(&mut self, class: Class) {
        let now = self.clock.now();
        let request = Request {
            class,
            caller: self.rng.random(),
            key: self.rng.random(),
            route: 1,
            deadline: now + Duration::from_secs(2),
            target: None,
            parent_class: None,
            team: None,
        };
        match self.admission.offer(now, &request, &mut self.rng) {
            Decision::Run(ticket) => self.start(ticket),
            Decision::Wait(key) => self.waiting.push((key, now)),
            Decision::Refuse(refusal) => {
                self.refused.push((refusal.reason, refusal.retry_after));
            }
        }
    }

    fn start(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        self.starts.push(now);
        self.running.push((now + RUN, ticket));
    }

    fn advance(&mut self) {
        let now = self.clock.now();
        let ended: Vec<_> = self
            .running
            .extract_if(.., |(end, _)| *end <= now)
            .collect();
        for (_, ticket) in ended {
            self.admission.finish(now, ticket, Outcome::Done);
        }
        while let Some(next) = self.admission.next(now, &mut self.rng) {
            let (Next::Run(key, _) | Next::Refuse(key, _)) = &next;
            let index = self.waiting.iter().position(|(waiting, _)| waiting == key);
            let (_, since) = self.waiting.swap_remove(index.unwrap());
            match next {
                Next::Run(_, ticket) => self.start(ticket),
                Next::Refuse(_, refusal) => {
                    let waited = now.saturating_duration_since(since);
                    self.longest_refused_wait = self.longest_refused_wait.max(waited);
                    self.refused.push((refusal.reason, refusal.retry_after));
                }
            }
        }
    }

    fn most_in_window(&self) -> usize {
        let in_window = |from: &Instant| {
            let end = *from + WINDOW;
            let from = self.starts.partition_point(|at| at < from);
            self.starts.partition_point(|at| *at < end) - from
        };
        self.starts.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Returns the number of calls that may start in a window at a rate of `rate` thousandths of a call
/// per second.
fn allowed(rate: u32) -> usize {
    let per_window = u64::from(rate) * WINDOW.as_secs() / 1_000;
    usize::try_from(per_window * 3 / 2).unwrap() + 5
}

// A backend server gets more calls than it has named, whatever the rate, and whether calls come
// steadily or after a pause.
#[parameterized(
    zero = { 0 },
    below_one = { 300 },
    one = { 1_000 },
    decimal = { 7_500 },
    usual = { 10_900 },
    high = { 60_000 },
)]
fn rate_kept(rate: u32) {
    for seed in 0..8 {
        let mut server = Server::new(seed);
        server.set_rate(Some(rate));
        for _ in 0..4 {
            server.run(Duration::from_secs(6), 200.0);
            server.run(Duration::from_secs(3), 0.0);
        }
        let most = server.most_in_window();
        assert!(most <= allowed(rate), "seed {seed}: {most}");
    }
}

// A limited backend server is kept idle while calls for it are refused.
#[parameterized(
    one = { 1_000 },
    usual = { 10_900 },
    high = { 60_000 },
)]
fn rate_used(rate: u32) {
    for seed in 0..8 {
        let mut server = Server::new(seed);
        server.set_rate(Some(rate));
        server.run(Duration::from_secs(20), 200.0);
        let starts = server.starts.len() as u64;
        assert!(
            starts >= u64::from(rate) * 20 * 95 / 100_000,
            "seed {seed}: {starts}"
        );
    }
}

// Calls that waited for a slot when the limit was named run in spite of it, or wait until their
// deadline.
#[test]
fn named_while_waiting() {
    for seed in 0..8 {
        let mut server = Server::new(seed);
        server.run(Duration::from_secs(3), 200.0);
        assert!(!server.waiting.is_empty(), "seed {seed}");
        server.starts.clear();
        server.refused.clear();
        server.longest_refused_wait = Duration::ZERO;
        server.set_rate(Some(2_000));
        server.run(Duration::from_secs(4), 0.0);
        assert!(server.starts.len() <= allowed(2_000), "seed {seed}");
        let longest = server.longest_refused_wait;
        assert!(
            longest < Duration::from_millis(500),
            "seed {seed}: {longest:?}"
        );
        assert!(server.waiting.is_empty(), "seed {seed}");
    }
}

// A lower rate counts only once the calls of the former one have been used up.
#[test]
fn rate_lowered() {
    for seed in 0..8 {
        let mut server = Server::new(seed);
        server.set_rate(Some(60_000));
        server.run(Duration::from_secs(5), 200.0);
        server.run(Duration::from_secs(2), 0.0);
        server.set_rate(Some(4_000));
        server.starts.clear();
        server.run(Duration::from_secs(8), 200.0);
        let most = server.most_in_window();
        assert!(most <= allowed(4_000), "seed {seed}: {most}");
    }
}

// Calls still wait for a limit that the backend server no longer names.
#[test]
fn rate_ended() {
    let mut server = Server::new(1);
    server.set_rate(Some(2_000));
    server.run(Duration::from_secs(3), 200.0);
    server.set_rate(None);
    server.starts.clear();
    server.refused.clear();
    server.run(Duration::from_secs(3), 100.0);
    assert!(server.starts.len() > 250, "{}", server.starts.len());
    assert_eq!(server.refused, []);
}

// Callers that are refused because of the rate limit return too early, and are refused again.
#[test]
fn retry_after_covers_backlog() {
    let mut server = Server::new(1);
    server.set_rate(Some(8_000));
    server.run(Duration::from_secs(2), 40.0);
    server.refused.clear();
    for _ in 0..40 {
        server.offer(Class::Lookup);
    }
    let latest = server.refused.iter().map(|(_, wait)| *wait).max().unwrap();
    // At 8 calls per second, the last of 40 returns after 3 s at the earliest, jitter included.
    assert!(latest > Duration::from_secs(3), "{latest:?}");
    let reasons = server.refused.iter().map(|(reason, _)| *reason);
    assert!(
        reasons
            .into_iter()
            .all(|reason| reason == Reason::RateLimit)
    );
}
