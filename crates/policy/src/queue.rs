//! Calls that wait for a slot: whose turn it is, and who has waited too long.
//!
//! *Load pattern:* more calls than slots, of three classes, long jobs among
//! short ones, some with little time left. *Without it* the order is that of
//! arrival: a commit waits behind a hundred refreshes, a look-up behind a job
//! of seconds, and calls are run whose callers have given up. *Grounds:*
//! stride scheduling (Waldspurger, 1995) between the classes, and within a
//! class between short and long calls; within those the earliest deadline goes
//! first. Callers get their fair shares at the entrance (see [`crate::fair_share`]),
//! not by the order of the queue: with a round robin of callers here, fresh
//! callers overtook those that waited, waits could not be foretold, and at ten
//! times the capacity 1.4% of the refused had waited first.

use crate::fair_share::Cells;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// What a waiting call is worth: its class, while its answer can be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// Commits.
    Commit,
    /// Calls that a running commit or look-up waits for, unless they are commits.
    Nested,
    /// Calls that a running refresh waits for, unless they are commits.
    NestedRefresh,
    /// Look-ups.
    Lookup,
    /// Refreshes.
    Refresh,
    /// Calls of any class whose answer comes later than it is worth most.
    Overdue,
}

impl Tier {
    /// Tells whether its calls are worth most until a target; for the others late is better than lost.
    pub(crate) fn is_aimed(self) -> bool {
        matches!(self, Self::Lookup | Self::Refresh)
    }
}

/// The tiers, first the one that goes first between equals.
pub const TIERS: [Tier; 6] = [
    Tier::Commit,
    Tier::Nested,
    Tier::NestedRefresh,
    Tier::Lookup,
    Tier::Refresh,
    Tier::Overdue,
];

/// Shares of the tiers when all of them wait.
///
/// Commits that alone fit must all get in, up to nine tenths of the capacity;
/// what they leave goes to look-ups and refreshes at four to one, and none of
/// them ever gets nothing.
/// Nested calls of refreshes get as much as fresh look-ups: with all of it, a service
/// that has one backend server left ran 761 of them within 14 s and not one claim
/// release. Those of commits and look-ups get three times as much: each that is
/// turned away wastes what its parent has had of another service, and they are short
/// beside the work of their own service.
/// What is late already gets next to nothing while others are still in time.
const WEIGHTS: [f64; TIERS.len()] = [90.0, 24.0, 8.0, 8.0, 2.0, 0.05];

/// Lanes: a short and a long one for each tier.
pub(crate) const LANES: usize = 2 * TIERS.len();

/// Waiting calls of a lane up to which those that go before another are
/// counted; beyond, all are taken to, and a burst costs no time that grows
/// with its square.
const MANY: usize = 64;

/// Stale places kept in a lane beyond the live ones before they are swept.
const SLACK: usize = 64;

/// Names a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// A waiting call.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// What it is worth.
    pub tier: Tier,
    /// Its caller's place among the shares.
    pub caller: Cells,
    /// The place of what it is about.
    pub key: Cells,
    /// Its route.
    pub route: u64,
    /// Whether it is expected to take many times as long as the typical call.
    pub long: bool,
    /// Slot-seconds that it is expected to take.
    pub cost: f64,
    /// When it is given up if it has not started.
    pub start_by: Instant,
}

/// The waiting calls of one backend server.
#[derive(Debug, Default)]
pub struct Queue {
    slots: Vec<Slot>,
    free: Vec<u32>,
    lanes: [Lane; LANES],
    passes: [u64; TIERS.len()],
    time: u64,
    waiting: usize,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    generation: u32,
    entry: Option<Entry>,
}

#[derive(Debug, Default)]
struct Lane {
    /// Earliest deadline first; calls that were taken out stay until they come up.
    order: BinaryHeap<Reverse<(Instant, Key)>>,
    pass: u64,
    waiting: usize,
    work: f64,
}

impl Queue {
    /// Makes an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives how many calls wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Tells whether a call of this kind waits.
    #[must_use]
    pub fn has(&self, long: bool) -> bool {
        TIERS
            .iter()
            .any(|tier| self.lanes[lane_of(*tier, long)].waiting > 0)
    }

    /// Tells whether a call of this class and kind waits.
    #[must_use]
    pub fn has_lane(&self, tier: Tier, long: bool) -> bool {
        self.lanes[lane_of(tier, long)].waiting > 0
    }

    /// Tells whether a call of this class waits.
    #[must_use]
    pub fn is_waiting(&self, tier: Tier) -> bool {
        [false, true]
            .iter()
            .any(|long| self.lanes[lane_of(tier, *long)].waiting > 0)
    }

    /// Takes out a call whose answer comes late while fresh ones wait, which go before it.
    pub fn pop_hopeless(&mut self) -> Option<(Key, Entry)> {
        if !self.has_fresh() {
            return None;
        }
        let lanes = [false, true].map(|long| lane_of(Tier::Overdue, long));
        let (_, key) = lanes.into_iter().find_map(|lane| self.first(lane))?;
        let entry = self.remove(key)?;
        Some((key, entry))
    }

    /// Tells whether a call waits whose answer can still be in time.
    #[must_use]
    pub fn has_fresh(&self) -> bool {
        TIERS
            .iter()
            .any(|tier| *tier != Tier::Overdue && self.is_waiting(*tier))
    }

    /// Gives the slot-seconds that a call which is to start by `start_by` has to
    /// wait for: those of its lane that go before it, and what its class has
    /// had ahead of its turn.
    #[must_use]
    pub fn work_before(&self, tier: Tier, long: bool, start_by: Instant) -> f64 {
        let rank = rank_of(tier);
        let turn = TIERS
            .iter()
            .filter(|other| **other != tier && self.is_waiting(**other))
            .map(|other| self.passes[rank_of(*other)])
            .min();
        let ahead = turn.map_or(0, |turn| self.passes[rank].saturating_sub(turn));
        let ahead = Duration::from_nanos(ahead).as_secs_f64() * WEIGHTS[rank];
        ahead + self.work_due(lane_of(tier, long), start_by)
    }

    /// Gives the slot-seconds of a lane that are to start by `start_by`.
    fn work_due(&self, lane: usize, start_by: Instant) -> f64 {
        let lane = &self.lanes[lane];
        if lane.waiting > MANY {
            return lane.work;
        }
        let due = lane.order.iter().filter(|one| one.0.0 <= start_by);
        due.filter(|one| is_live(&self.slots, one.0.1))
            .filter_map(|one| self.slots[one.0.1.index as usize].entry)
            .map(|entry| entry.cost)
            .sum()
    }

    /// Gives the share of the slots that a lane has at least, beside those that wait now.
    #[must_use]
    pub fn share_of(&self, tier: Tier, long: bool) -> f64 {
        let sibling = self.lanes[lane_of(tier, !long)].waiting > 0;
        let kind = if sibling { 0.5 } else { 1.0 };
        let others = TIERS.iter().filter(|other| **other != tier);
        let others = others.filter(|other| self.is_waiting(**other));
        let beside: f64 = others.map(|other| WEIGHTS[rank_of(*other)]).sum();
        let own = WEIGHTS[rank_of(tier)];
        kind * own / (own + beside)
    }

    /// Adds a call.
    pub fn push(&mut self, entry: Entry) -> Key {
        self.wake_tier(entry.tier);
        self.wake_lane(entry.tier, entry.long);
        let key = self.store(entry);
        let lane = &mut self.lanes[lane_of(entry.tier, entry.long)];
        lane.order.push(Reverse((entry.start_by, key)));
        lane.waiting += 1;
        lane.work += entry.cost;
        self.waiting += 1;
        key
    }

    /// Takes the call whose turn it is; a long one only if `long` is.
    pub fn pop(&mut self, long: bool) -> Option<(Key, Entry)> {
        let (tier, long) = self.choose_lane(long)?;
        let rank = rank_of(tier);
        let (_, key) = self.first(lane_of(tier, long))?;
        let entry = self.remove(key)?;
        self.time = self.passes[rank];
        self.passes[rank] += nanos(entry.cost / WEIGHTS[rank]);
        self.lanes[lane_of(tier, long)].pass += nanos(entry.cost);
        Some((key, entry))
    }

    /// Takes a call out, as its caller no longer waits for it.
    pub fn remove(&mut self, key: Key) -> Option<Entry> {
        let slot = self.slots.get_mut(key.index as usize)?;
        let entry = slot.entry.filter(|_| slot.generation == key.generation)?;
        slot.entry = None;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        let lane = &mut self.lanes[lane_of(entry.tier, entry.long)];
        lane.waiting -= 1;
        // An empty lane is exactly empty: sums of floats would drift.
        lane.work = if lane.waiting == 0 {
            0.0
        } else {
            lane.work - entry.cost
        };
        self.waiting -= 1;
        self.sweep(lane_of(entry.tier, entry.long));
        Some(entry)
    }

    /// Takes out a call that has waited too long.
    pub fn expire(&mut self, now: Instant) -> Option<(Key, Entry)> {
        let (at, key) = self.earliest()?;
        if at > now {
            return None;
        }
        let entry = self.remove(key)?;
        Some((key, entry))
    }

    /// Gives when [`Queue::expire`] is next worth a call.
    pub fn wake_at(&mut self) -> Option<Instant> {
        self.earliest().map(|(at, _)| at)
    }

    fn earliest(&mut self) -> Option<(Instant, Key)> {
        (0..LANES).filter_map(|lane| self.first(lane)).min()
    }

    /// Gives the first live call of a lane.
    fn first(&mut self, lane: usize) -> Option<(Instant, Key)> {
        while let Some(Reverse((at, key))) = self.lanes[lane].order.peek().copied() {
            if is_live(&self.slots, key) {
                return Some((at, key));
            }
            self.lanes[lane].order.pop();
        }
        None
    }

    /// A class or lane that begins to wait starts at the present: it is owed
    /// nothing for the time in which it asked for nothing.
    fn wake_tier(&mut self, tier: Tier) {
        if !self.is_waiting(tier) {
            let pass = &mut self.passes[rank_of(tier)];
            *pass = (*pass).max(self.time);
        }
    }

    fn wake_lane(&mut self, tier: Tier, long: bool) {
        let sibling = self.lanes[lane_of(tier, !long)].pass;
        let lane = &mut self.lanes[lane_of(tier, long)];
        if lane.waiting == 0 {
            lane.pass = lane.pass.max(sibling);
        }
    }

    fn choose_lane(&self, long: bool) -> Option<(Tier, bool)> {
        let mut best = None;
        for tier in TIERS {
            let Some(kind) = self.choose_kind(tier, long) else {
                continue;
            };
            let pass = self.passes[rank_of(tier)];
            if best.is_none_or(|(least, _, _)| pass < least) {
                best = Some((pass, tier, kind));
            }
        }
        best.map(|(_, tier, kind)| (tier, kind))
    }

    fn choose_kind(&self, tier: Tier, long: bool) -> Option<bool> {
        let short_lane = &self.lanes[lane_of(tier, false)];
        let long_lane = &self.lanes[lane_of(tier, true)];
        let has_long = long && long_lane.waiting > 0;
        match (short_lane.waiting > 0, has_long) {
            (true, true) => Some(long_lane.pass < short_lane.pass),
            (true, false) => Some(false),
            (false, true) => Some(true),
            (false, false) => None,
        }
    }

    fn store(&mut self, entry: Entry) -> Key {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.entry = Some(entry);
            let generation = slot.generation;
            return Key { index, generation };
        }
        self.slots.push(Slot {
            generation: 0,
            entry: Some(entry),
        });
        let index = u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX);
        Key {
            index,
            generation: 0,
        }
    }

    /// Drops stale places: without it, calls withdrawn from the middle would
    /// pile up until their deadlines come to the front.
    fn sweep(&mut self, lane: usize) {
        let lane = &mut self.lanes[lane];
        if lane.order.len() > 2 * lane.waiting + SLACK {
            let slots = &self.slots;
            lane.order.retain(|Reverse((_, key))| is_live(slots, *key));
        }
    }
}

fn is_live(slots: &[Slot], key: Key) -> bool {
    let slot = &slots[key.index as usize];
    slot.entry.is_some() && slot.generation == key.generation
}

pub(crate) fn rank_of(tier: Tier) -> usize {
    tier as usize
}

pub(crate) fn lane_of(tier: Tier, long: bool) -> usize {
    rank_of(tier) * 2 + usize::from(long)
}

fn nanos(seconds: f64) -> u64 {
    let duration = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX >> 16)
}
