//! The attempt table: reported outcomes stay true even if frames arrive late.

use call::{Arrival, AttemptTable, Id, MAX_OUTCOMES, OUTCOME_RETENTION, Outcome, PEER_RETENTION};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

const ORIGIN: u64 = 9;

fn id(sequence: u64) -> Id {
    Id {
        origin: ORIGIN,
        sequence,
    }
}

/// Creates a table with one link, number 1, over which attempt 1 has arrived.
fn make_table(now: Instant) -> AttemptTable<&'static str> {
    let mut table = AttemptTable::default();
    table.open_link(ORIGIN, 1, now);
    assert_eq!(table.receive(id(1), 1, "one", now), Arrival::Queued);
    table
}

#[test]
fn queued_is_withdrawn() {
    let now = Instant::now();
    let mut table = make_table(now);
    table.open_link(ORIGIN, 2, now);
    assert_eq!(table.query(id(1), 1, now), Outcome::Withdrawn(&"one"));
    assert!(!table.start(id(1)));
    // A repeated query, after the first answer was lost, still finds the attempt.
    assert_eq!(table.query(id(1), 1, now), Outcome::Finished(&"one"));
}

#[test]
fn running_continues() {
    let now = Instant::now();
    let mut table = make_table(now);
    assert!(table.start(id(1)));
    table.open_link(ORIGIN, 2, now);
    assert_eq!(table.query(id(1), 1, now), Outcome::Running(&"one"));
    assert!(!table.withdraw(id(1), now));
    table.finish(id(1), now);
    assert_eq!(table.query(id(1), 1, now), Outcome::Finished(&"one"));
}

// A request is sent over a link that goes silent, and the sender is told over
// the next link that it never arrived. The old link then delivers it.
#[test]
fn late_is_refused() {
    let now = Instant::now();
    let mut table = make_table(now);
    table.open_link(ORIGIN, 2, now);
    assert_eq!(table.query(id(2), 1, now), Outcome::NeverReceived);
    assert_eq!(table.receive(id(2), 1, "two", now), Arrival::Late);
    assert!(!table.start(id(2)));
}

// The queried attempt was sent over the link that is still valid and may still deliver it, so its
// outcome is not certain.
#[test]
fn valid_link_is_unknown() {
    let now = Instant::now();
    let mut table = make_table(now);
    assert_eq!(table.query(id(2), 1, now), Outcome::Unknown);
}

#[test]
fn duplicate_is_refused() {
    let now = Instant::now();
    let mut table = make_table(now);
    assert_eq!(table.receive(id(1), 1, "again", now), Arrival::Duplicate);
    assert_eq!(table.get(id(1)), Some(&"one"));
}

// A peer that was paused for a minute queries an attempt whose outcome has
// expired. This must not be reported as "never received".
#[test]
fn expired_is_unknown() {
    let now = Instant::now();
    let mut table = make_table(now);
    assert!(table.start(id(1)));
    table.finish(id(1), now);
    let later = now + OUTCOME_RETENTION + Duration::from_secs(1);
    table.expire_outcomes(later);
    table.open_link(ORIGIN, 2, later);
    assert_eq!(table.query(id(1), 1, later), Outcome::Unknown);
    assert_eq!(table.receive(id(1), 2, "again", later), Arrival::Queued);
}

// The peer acknowledges the answer, after which nothing of the call is kept.
#[test]
fn acknowledged_is_removed() {
    let now = Instant::now();
    let mut table = make_table(now);
    table.acknowledge(id(1));
    assert!(table.start(id(1)), "an unfinished attempt is kept");
    table.finish(id(1), now);
    table.acknowledge(id(1));
    assert_eq!(table.sizes().0, 0);
    assert_eq!(table.receive(id(1), 1, "again", now), Arrival::Duplicate);
}

#[test]
fn size_bounded() {
    let now = Instant::now();
    let mut table = make_table(now);
    for sequence in 2..=2 * MAX_OUTCOMES as u64 {
        assert_eq!(table.receive(id(sequence), 1, "more", now), Arrival::Queued);
        assert!(table.start(id(sequence)));
        table.finish(id(sequence), now);
    }
    // One attempt is still queued.
    assert_eq!(table.sizes(), (MAX_OUTCOMES + 1, 1));
    table.expire_peers(now + PEER_RETENTION + Duration::from_secs(1));
    assert_eq!(table.sizes().1, 0);
}

/// Simulates a peer and the table, with links that randomly deliver late or never.
struct Simulation {
    rng: SmallRng,
    now: Instant,
    table: AttemptTable<u64>,
    /// Frames that each link has not delivered yet; the first frame opens the link.
    links: HashMap<u64, VecDeque<Option<u64>>>,
    current_link: u64,
    sequence: u64,
    /// Attempts that were sent, with their links.
    sent: Vec<(u64, u64)>,
    reported_not_run: HashSet<u64>,
    started: HashSet<u64>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::now(),
            table: AttemptTable::default(),
            links: HashMap::new(),
            current_link: 0,
            sequence: 0,
            sent: Vec::new(),
            reported_not_run: HashSet::new(),
            started: HashSet::new(),
        };
        simulation.reconnect();
        simulation
    }

    fn reconnect(&mut self) {
        self.current_link += 1;
        self.links.insert(self.current_link, VecDeque::from([None]));
    }

    fn send(&mut self) {
        self.sequence += 1;
        self.sent.push((self.sequence, self.current_link));
        let link = self.links.get_mut(&self.current_link).unwrap();
        link.push_back(Some(self.sequence));
    }

    fn deliver(&mut self) {
        let oldest = self.current_link.saturating_sub(2).max(1);
        let link = self.rng.random_range(oldest..=self.current_link);
        match self.links.get_mut(&link).and_then(VecDeque::pop_front) {
            Some(None) => self.table.open_link(ORIGIN, link, self.now),
            Some(Some(sequence)) => {
                let arrival = self.table.receive(id(sequence), link, sequence, self.now);
                assert_ne!(arrival, Arrival::Duplicate, "each attempt is sent once");
            }
            None => {}
        }
    }

    fn start(&mut self) {
        let Some(sequence) = self.pick_recent() else {
            return;
        };
        if self.table.start(id(sequence)) {
            assert!(self.started.insert(sequence), "{sequence} ran twice");
            assert!(
                !self.reported_not_run.contains(&sequence),
                "{sequence} ran after \"not run\""
            );
        }
    }

    fn finish(&mut self) {
        let Some(sequence) = self.pick_recent() else {
            return;
        };
        if self.started.contains(&sequence) {
            self.table.finish(id(sequence), self.now);
        }
    }

    /// Queries a recent attempt, whichever link it was sent over, once the current link is open.
    fn query(&mut self) {
        if self.links[&self.current_link].front() == Some(&None) {
            return;
        }
        let Some(sequence) = self.pick_recent() else {
            return;
        };
        let (_, link) = self.sent[usize::try_from(sequence).unwrap() - 1];
        match self.table.query(id(sequence), link, self.now) {
            Outcome::NeverReceived | Outcome::Withdrawn(_) => {
                assert!(
                    !self.started.contains(&sequence),
                    "{sequence} reported \"not run\" after its start"
                );
                self.reported_not_run.insert(sequence);
            }
            Outcome::Running(found) | Outcome::Finished(found) => assert_eq!(*found, sequence),
            Outcome::Unknown => {}
        }
    }

    fn pick_recent(&mut self) -> Option<u64> {
        let newest = self.sequence;
        (newest > 0).then(|| {
            self.rng
                .random_range(newest.saturating_sub(20).max(1)..=newest)
        })
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..30 => self.send(),
            30..65 => self.deliver(),
            65..80 => self.start(),
            80..88 => self.finish(),
            88..96 => self.query(),
            96..98 => self.reconnect(),
            _ => {
                self.now += Duration::from_millis(self.rng.random_range(0..4_000));
                self.table.expire_outcomes(self.now);
                self.table.expire_peers(self.now);
            }
        }
    }
}

// Seeds are fixed, so that each run takes the same steps.
#[yare::parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 })]
fn reported_outcomes_hold(seed: u64) {
    let mut simulation = Simulation::new(seed);
    for _ in 0..50_000 {
        simulation.step();
    }
    assert!(
        simulation.started.len() > 500,
        "{}",
        simulation.started.len()
    );
    assert!(
        simulation.reported_not_run.len() > 200,
        "{}",
        simulation.reported_not_run.len()
    );
}
