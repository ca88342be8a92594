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
    pub(crate) fn uses_target(self) -> bool {
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
const EXACT_SUM_MAX: usize = 64;

/// Stale places kept in a lane beyond the live ones before they are swept.
const MAX_STALE_ENTRIES: usize = 64;

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
    slab: Vec<SlabSlot>,
    free_indices: Vec<u32>,
    lanes: [Lane; LANES],
    passes: [u64; TIERS.len()],
    virtual_time: u64,
    waiting: usize,
}

#[derive(Debug, Clone, Copy)]
struct SlabSlot {
    generation: u32,
    entry: Option<Entry>,
}

#[derive(Debug, Default)]
struct Lane {
    /// Earliest deadline first; calls that were taken out stay until they come up.
    heap: BinaryHeap<Reverse<(Instant, Key)>>,
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
    pub fn has_kind(&self, long: bool) -> bool {
        TIERS
            .iter()
            .any(|tier| self.lanes[lane_index(*tier, long)].waiting > 0)
    }

    /// Tells whether a call of this class and kind waits.
    #[must_use]
    pub fn has_lane(&self, tier: Tier, long: bool) -> bool {
        self.lanes[lane_index(tier, long)].waiting > 0
    }

    /// Tells whether a call of this class waits.
    #[must_use]
    pub fn has_tier(&self, tier: Tier) -> bool {
        [false, true]
            .iter()
            .any(|long| self.lanes[lane_index(tier, *long)].waiting > 0)
    }

    /// Takes out a call whose answer comes late while fresh ones wait, which go before it.
    pub fn pop_overdue(&mut self) -> Option<(Key, Entry)> {
        if !self.has_timely() {
            return None;
        }
        let lanes = [false, true].map(|long| lane_index(Tier::Overdue, long));
        let (_, key) = lanes.into_iter().find_map(|lane| self.first_live(lane))?;
        let entry = self.remove(key)?;
        Some((key, entry))
    }

    /// Tells whether a call waits whose answer can still be in time.
    #[must_use]
    pub fn has_timely(&self) -> bool {
        TIERS
            .iter()
            .any(|tier| *tier != Tier::Overdue && self.has_tier(*tier))
    }

    /// Gives the slot-seconds that a call which is to start by `start_by` has to
    /// wait for: those of its lane that go before it, and what its class has
    /// had ahead of its turn.
    #[must_use]
    pub fn work_ahead(&self, tier: Tier, long: bool, start_by: Instant) -> f64 {
        let tier_rank = tier_index(tier);
        let next_pass = TIERS
            .iter()
            .filter(|other| **other != tier && self.has_tier(**other))
            .map(|other| self.passes[tier_index(*other)])
            .min();
        let ahead = next_pass.map_or(0, |next_pass| {
            self.passes[tier_rank].saturating_sub(next_pass)
        });
        let ahead = Duration::from_nanos(ahead).as_secs_f64() * WEIGHTS[tier_rank];
        ahead + self.lane_work_ahead(lane_index(tier, long), start_by)
    }

    /// Gives the slot-seconds of a lane that are to start by `start_by`.
    fn lane_work_ahead(&self, lane: usize, start_by: Instant) -> f64 {
        let lane = &self.lanes[lane];
        if lane.waiting > EXACT_SUM_MAX {
            return lane.work;
        }
        let due = lane.heap.iter().filter(|item| item.0.0 <= start_by);
        due.filter(|item| is_live(&self.slab, item.0.1))
            .filter_map(|item| self.slab[item.0.1.index as usize].entry)
            .map(|entry| entry.cost)
            .sum()
    }

    /// Gives the share of the slots that a lane has at least, beside those that wait now.
    #[must_use]
    pub fn min_share(&self, tier: Tier, long: bool) -> f64 {
        let sibling = self.lanes[lane_index(tier, !long)].waiting > 0;
        let long = if sibling { 0.5 } else { 1.0 };
        let others = TIERS.iter().filter(|other| **other != tier);
        let others = others.filter(|other| self.has_tier(**other));
        let other_weights: f64 = others.map(|other| WEIGHTS[tier_index(*other)]).sum();
        let own = WEIGHTS[tier_index(tier)];
        long * own / (own + other_weights)
    }

    /// Adds a call.
    pub fn push(&mut self, entry: Entry) -> Key {
        self.activate_tier(entry.tier);
        self.activate_lane(entry.tier, entry.long);
        let key = self.insert(entry);
        let lane = &mut self.lanes[lane_index(entry.tier, entry.long)];
        lane.heap.push(Reverse((entry.start_by, key)));
        lane.waiting += 1;
        lane.work += entry.cost;
        self.waiting += 1;
        key
    }

    /// Takes the call whose turn it is; a long one only if `long` is.
    pub fn pop(&mut self, long: bool) -> Option<(Key, Entry)> {
        let (tier, long) = self.choose_lane(long)?;
        let tier_rank = tier_index(tier);
        let (_, key) = self.first_live(lane_index(tier, long))?;
        let entry = self.remove(key)?;
        self.virtual_time = self.passes[tier_rank];
        self.passes[tier_rank] += nanos(entry.cost / WEIGHTS[tier_rank]);
        self.lanes[lane_index(tier, long)].pass += nanos(entry.cost);
        Some((key, entry))
    }

    /// Takes a call out, as its caller no longer waits for it.
    pub fn remove(&mut self, key: Key) -> Option<Entry> {
        let slot = self.slab.get_mut(key.index as usize)?;
        let entry = slot.entry.filter(|_| slot.generation == key.generation)?;
        slot.entry = None;
        slot.generation = slot.generation.wrapping_add(1);
        self.free_indices.push(key.index);
        let lane = &mut self.lanes[lane_index(entry.tier, entry.long)];
        lane.waiting -= 1;
        // An empty lane is exactly empty: sums of floats would drift.
        lane.work = if lane.waiting == 0 {
            0.0
        } else {
            lane.work - entry.cost
        };
        self.waiting -= 1;
        self.drop_stale(lane_index(entry.tier, entry.long));
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
        (0..LANES).filter_map(|lane| self.first_live(lane)).min()
    }

    /// Gives the first live call of a lane.
    fn first_live(&mut self, lane: usize) -> Option<(Instant, Key)> {
        while let Some(Reverse((at, key))) = self.lanes[lane].heap.peek().copied() {
            if is_live(&self.slab, key) {
                return Some((at, key));
            }
            self.lanes[lane].heap.pop();
        }
        None
    }

    /// A class or lane that begins to wait starts at the present: it is owed
    /// nothing for the time in which it asked for nothing.
    fn activate_tier(&mut self, tier: Tier) {
        if !self.has_tier(tier) {
            let pass = &mut self.passes[tier_index(tier)];
            *pass = (*pass).max(self.virtual_time);
        }
    }

    fn activate_lane(&mut self, tier: Tier, long: bool) {
        let sibling = self.lanes[lane_index(tier, !long)].pass;
        let lane = &mut self.lanes[lane_index(tier, long)];
        if lane.waiting == 0 {
            lane.pass = lane.pass.max(sibling);
        }
    }

    fn choose_lane(&self, long: bool) -> Option<(Tier, bool)> {
        let mut best = None;
        for tier in TIERS {
            let Some(long) = self.choose_long(tier, long) else {
                continue;
            };
            let pass = self.passes[tier_index(tier)];
            if best.is_none_or(|(least, _, _)| pass < least) {
                best = Some((pass, tier, long));
            }
        }
        best.map(|(_, tier, long)| (tier, long))
    }

    fn choose_long(&self, tier: Tier, long: bool) -> Option<bool> {
        let short_lane = &self.lanes[lane_index(tier, false)];
        let long_lane = &self.lanes[lane_index(tier, true)];
        let has_long = long && long_lane.waiting > 0;
        match (short_lane.waiting > 0, has_long) {
            (true, true) => Some(long_lane.pass < short_lane.pass),
            (true, false) => Some(false),
            (false, true) => Some(true),
            (false, false) => None,
        }
    }

    fn insert(&mut self, entry: Entry) -> Key {
        if let Some(index) = self.free_indices.pop() {
            let slot = &mut self.slab[index as usize];
            slot.entry = Some(entry);
            let generation = slot.generation;
            return Key { index, generation };
        }
        self.slab.push(SlabSlot {
            generation: 0,
            entry: Some(entry),
        });
        let index = u32::try_from(self.slab.len() - 1).unwrap_or(u32::MAX);
        Key {
            index,
            generation: 0,
        }
    }

    /// Drops stale places: without it, calls withdrawn from the middle would
    /// pile up until their deadlines come to the front.
    fn drop_stale(&mut self, lane: usize) {
        let lane = &mut self.lanes[lane];
        if lane.heap.len() > 2 * lane.waiting + MAX_STALE_ENTRIES {
            let slab = &self.slab;
            lane.heap.retain(|Reverse((_, key))| is_live(slab, *key));
        }
    }
}

fn is_live(slab: &[SlabSlot], key: Key) -> bool {
    let slot = &slab[key.index as usize];
    slot.entry.is_some() && slot.generation == key.generation
}

pub(crate) fn tier_index(tier: Tier) -> usize {
    tier as usize
}

pub(crate) fn lane_index(tier: Tier, long: bool) -> usize {
    tier_index(tier) * 2 + usize::from(long)
}

fn nanos(seconds: f64) -> u64 {
    let duration = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX >> 16)
}
