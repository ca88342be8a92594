//! Early calls on many connections, in virtual time.

use policy::pipeline::{Decision, Kind, Limits, Position, decide};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Duration of a call, in steps of 10 ms.
const WORK_STEPS: u32 = 10;

const LIMITS: Limits = Limits {
    per_connection: 16,
    total: 128,
};

/// A connection with requests in order; a started one has its number of steps left.
#[derive(Debug)]
struct Connection {
    requests: VecDeque<(Kind, Option<u32>)>,
    /// Steps after which each request was answered.
    answered: Vec<u32>,
    /// Longest duration of a call; the shortest is [`WORK_STEPS`].
    longest: u32,
}

impl Connection {
    fn new(kinds: &[Kind]) -> Self {
        Self {
            requests: kinds.iter().map(|kind| (*kind, None)).collect(),
            answered: Vec::new(),
            longest: WORK_STEPS,
        }
    }

    /// Returns the number of started calls behind the first one.
    fn early(&self) -> usize {
        let started = self.requests.iter().take_while(|(_, left)| left.is_some());
        started.count().saturating_sub(1)
    }

    /// Starts what may start while the process has `all` early calls; returns that number after it.
    fn start(&mut self, limits: Limits, mut all: usize, rng: &mut SmallRng) -> usize {
        let longest = self.longest;
        let mut work = || rng.random_range(WORK_STEPS..=longest);
        let Some(first) = self.requests.front_mut() else {
            return all;
        };
        first.1.get_or_insert_with(&mut work);
        for index in self.early() + 1..self.requests.len() {
            let position = Position {
                before: self.requests[index - 1].0,
                kind: self.requests[index].0,
                own: self.early(),
            };
            if decide(limits, position, all) != Decision::Start {
                break;
            }
            self.requests[index].1 = Some(work());
            all += 1;
        }
        all
    }

    fn advance(&mut self, step: u32) {
        for left in self
            .requests
            .iter_mut()
            .map_while(|(_, left)| left.as_mut())
        {
            *left = left.saturating_sub(1);
        }
        while let Some((_, Some(0))) = self.requests.front() {
            self.requests.pop_front();
            self.answered.push(step);
        }
    }
}

/// Runs all connections to their end; returns the largest number of early calls.
fn run(limits: Limits, connections: &mut [Connection]) -> usize {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut most = 0;
    let mut step = 0;
    while connections.iter().any(|one| !one.requests.is_empty()) {
        let mut all = connections.iter().map(Connection::early).sum();
        for connection in &mut *connections {
            all = connection.start(limits, all, &mut rng);
        }
        most = most.max(all);
        step += 1;
        for connection in &mut *connections {
            connection.advance(step);
        }
    }
    most
}

// Six requests sent together must not wait for each other, a connection that sends 40 ahead must stay
// within its own bound, and nothing starts early if either bound is zero.
#[yare::parameterized(
    six = { 6, LIMITS, 5 },
    forty = { 40, LIMITS, LIMITS.per_connection },
    no_connection_bound = { 6, Limits { per_connection: 0, ..LIMITS }, 0 },
    no_total = { 6, Limits { total: 0, ..LIMITS }, 0 },
)]
fn one_connection(depth: usize, limits: Limits, early: usize) {
    let mut connections = [Connection::new(&vec![Kind::Overlapping; depth])];
    assert_eq!(run(limits, &mut connections), early);
    let works = depth.div_ceil(early + 1);
    let last = connections[0].answered.iter().max().unwrap();
    assert!(works.abs_diff((last / WORK_STEPS) as usize) <= 1, "{last}");
}

// A request that must not be repeated runs alone: it must neither start beside those before it nor
// have any behind it started.
#[test]
fn alone_between() {
    let mut kinds = [Kind::Overlapping; 5];
    kinds[2] = Kind::Alone;
    let mut connections = [Connection::new(&kinds)];
    run(LIMITS, &mut connections);
    let works = connections[0].answered.iter().map(|at| at / WORK_STEPS);
    assert!(works.eq([1, 1, 2, 3, 3]), "{connections:?}");
}

// A thousand connections of depth 40 must stay within the bound of the process, and each must go on.
#[test]
fn thousand_connections() {
    let new = || Connection::new(&[Kind::Overlapping; 40]);
    let mut connections: Vec<_> = std::iter::repeat_with(new).take(1_000).collect();
    assert!(run(LIMITS, &mut connections) <= LIMITS.total);
    let last = connections.iter().filter_map(|one| one.answered.last());
    assert!(last.max().is_some_and(|at| *at <= 40 * WORK_STEPS));
}

// Connections that came first must not keep all of the room: over calls of different lengths, a
// connection that comes later gets about as much of it as each of them.
#[yare::parameterized(one = { 1 }, two = { 2 }, eight = { 8 }, sixty = { 60 })]
fn later_connection(count: usize) {
    const STEPS: u32 = 400;
    let limits = Limits {
        per_connection: 1_000,
        ..LIMITS
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let new = |_| Connection {
        longest: 3 * WORK_STEPS,
        ..Connection::new(&[Kind::Overlapping; 4_000])
    };
    let mut connections: Vec<_> = (0..count).map(new).collect();
    let mut order: Vec<_> = (0..=count).collect();
    let mut later_sum = 0;
    let mut sum = 0;
    for step in 0..2 * STEPS {
        if step == STEPS {
            connections.push(new(count));
        }
        order.shuffle(&mut rng);
        let mut all = connections.iter().map(Connection::early).sum();
        for index in &order {
            if let Some(connection) = connections.get_mut(*index) {
                all = connection.start(limits, all, &mut rng);
            }
        }
        if let Some(later) = connections.get(count) {
            later_sum += later.early();
            sum += all;
        }
        for connection in &mut connections {
            connection.advance(step);
        }
    }
    let mean = sum / (count + 1);
    println!("{later_sum} of {sum}, mean {mean}");
    assert!(later_sum * 3 > mean * 2 && later_sum * 2 < mean * 3);
}
