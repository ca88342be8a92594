//! Calls that wait for a slot: which one is next, and which have waited too long.
//!
//! More calls may wait than there are slots, of three classes, with long jobs among short calls
//! and some calls with little time left. If they ran in order of arrival, a commit would wait
//! behind a hundred refreshes and a look-up behind a job of seconds, and calls would run whose
//! callers have given up.
//!
//! Tiers share the slots by stride scheduling (Waldspurger, 1995), and so do short and long
//! calls within a tier; within each of these lanes the earliest deadline goes first. Fairness
//! between callers is enforced at admission (see [`crate::fair_share`]), not by the order of
//! the queue. With a round robin of callers here, new callers overtook waiting ones, waits
//! could not be predicted, and at ten times the capacity 1.4% of the refused calls had waited
//! first.

use crate::fair_share::Cells;
use crate::precedence;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Scheduling tier of a waiting call, by its class, by whether it is nested, and by whether it is
/// past its latency target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// Commits that are nested or not past their latency target.
    Commit,
    /// Calls, except commits, that a running commit or look-up waits for.
    Nested,
    /// Calls, except commits, that a running refresh waits for.
    NestedRefresh,
    /// Look-ups, and commits that are past their latency target or whose team has used more than its
    /// share.
    Lookup,
    /// Refreshes.
    Refresh,
    /// Look-ups and refreshes that are past their latency target, or whose team has used more than
    /// its share.
    Overdue,
}

impl Tier {
    /// Returns the tier for a call of this tier whose team has used more than its share.
    pub(crate) fn above_share(self) -> Self {
        match self {
            Self::Commit => Self::Lookup,
            Self::Lookup | Self::Refresh | Self::Overdue => Self::Overdue,
            Self::Nested | Self::NestedRefresh => self,
        }
    }

    /// Returns whether calls of the tier must start in time for their latency target; for calls of
    /// other tiers, a late answer is better than none.
    pub(crate) fn uses_target(self) -> bool {
        matches!(self, Self::Lookup | Self::Refresh)
    }
}

/// The tiers; when several are equally due, the first listed goes first.
pub const TIERS: [Tier; 6] = [
    Tier::Commit,
    Tier::Nested,
    Tier::NestedRefresh,
    Tier::Lookup,
    Tier::Refresh,
    Tier::Overdue,
];

/// Weights of the tiers when all of them have waiting calls.
///
/// Commits get all the slots that they need, up to nine tenths of the capacity while no nested
/// calls wait. What commits leave goes to look-ups and refreshes at four to one, and no tier is
/// ever starved.
///
/// Nested calls of refreshes have the same weight as direct look-ups. When these nested calls went
/// before all others, a service that had one backend server left ran 761 of them within 14 s and
/// none of the service's direct calls (releases of claims). Nested calls of commits and look-ups
/// have three times that weight: each refusal wastes the time that the parent has used of another
/// service, and these calls are short compared with the other work of the service that runs them.
///
/// Overdue calls get next to nothing while other calls are still in time.
const WEIGHTS: [f64; TIERS.len()] = [90.0, 24.0, 8.0, 8.0, 2.0, 0.05];

/// Number of lanes: a short and a long one for each tier.
pub(crate) const LANE_COUNT: usize = 2 * TIERS.len();

/// Lane length up to which the work ahead of a call is summed exactly. In a longer lane all of the
/// work counts, so that the CPU time spent in a burst doesn't grow quadratically.
const EXACT_SUM_MAX: usize = 64;

/// Number of stale heap items that a lane may keep beyond the number of live ones before the stale
/// items are removed.
const MAX_STALE_ITEMS: usize = 64;

/// Identifies a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// The team of a call, and how the call counts for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Team {
    /// Name of the team, as a [`crate::hash`].
    pub name: u64,
    /// Tier in which the call counts for the team.
    pub tier: Tier,
    /// Whether the team has used more than its share of the tier.
    pub is_above_share: bool,
}

/// A waiting call.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Scheduling tier.
    pub tier: Tier,
    /// Cells of the caller in the usage sketch.
    pub caller: Cells,
    /// Cells of the call's key in the usage sketch.
    pub key: Cells,
    /// Team of the call, if it has one.
    pub team: Option<Team>,
    /// Route of the call, as a [`crate::hash`].
    pub route: u64,
    /// Whether the call is expected to take many times as long as the typical call.
    pub long: bool,
    /// Expected slot-seconds.
    pub cost: f64,
    /// Time at which the call is given up if it has not started.
    pub start_by: Instant,
}

/// The waiting calls of one backend server.
#[derive(Debug, Default)]
pub struct Queue {
    slab: Vec<SlabSlot>,
    free_indices: Vec<u32>,
    lanes: [Lane; LANE_COUNT],
    /// Work that each tier has started, in slot-nanoseconds divided by the weight of the tier; the
    /// tier with the lowest pass is next.
    passes: [u64; TIERS.len()],
    /// Pass of the tier that was served last, before that call.
    virtual_time: u64,
    waiting: usize,
    /// Whether nested calls may take the turns of direct calls ([`crate::precedence`]).
    nested_first: bool,
}

#[derive(Debug, Clone, Copy)]
struct SlabSlot {
    generation: u32,
    entry: Option<Entry>,
}

#[derive(Debug, Default)]
struct Lane {
    /// Earliest deadline first; removed calls stay until they reach the top.
    heap: BinaryHeap<Reverse<(Instant, Key)>>,
    /// Work that the lane has started, in slot-nanoseconds.
    pass: u64,
    waiting: usize,
    /// Expected slot-seconds of the waiting calls.
    work: f64,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets nested calls take the turns of direct calls that can still wait.
    pub(crate) fn set_nested_first(&mut self) {
        self.nested_first = true;
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns whether a call of any tier waits: a long one if `long` is set, otherwise a
    /// short one.
    #[must_use]
    pub fn has_kind(&self, long: bool) -> bool {
        TIERS
            .iter()
            .any(|tier| self.lanes[lane_index(*tier, long)].waiting > 0)
    }

    /// Returns whether a call of this tier waits: a long one if `long` is set, otherwise a short
    /// one.
    #[must_use]
    pub fn has_lane(&self, tier: Tier, long: bool) -> bool {
        self.lanes[lane_index(tier, long)].waiting > 0
    }

    /// Returns whether a call of this tier waits.
    #[must_use]
    pub fn has_tier(&self, tier: Tier) -> bool {
        [false, true]
            .iter()
            .any(|long| self.lanes[lane_index(tier, *long)].waiting > 0)
    }

    /// Removes and returns an overdue call if a call waits that can still be answered in time, as
    /// the timely call goes first.
    pub fn pop_overdue(&mut self) -> Option<(Key, Entry)> {
        if !self.has_timely() {
            return None;
        }
        let lanes = [false, true].map(|long| lane_index(Tier::Overdue, long));
        let (_, key) = lanes.into_iter().find_map(|lane| self.first_live(lane))?;
        let entry = self.remove(key)?;
        Some((key, entry))
    }

    /// Returns whether a call waits that can still be answered in time.
    #[must_use]
    pub fn has_timely(&self) -> bool {
        TIERS
            .iter()
            .any(|tier| *tier != Tier::Overdue && self.has_tier(*tier))
    }

    /// Returns the slot-seconds of work ahead of a call that must start by `start_by`: the calls of
    /// the same lane that go first, and the work that the tier has received beyond its share.
    #[must_use]
    pub fn work_ahead(&self, tier: Tier, long: bool, start_by: Instant) -> f64 {
        let index = tier_index(tier);
        let next_pass = TIERS
            .iter()
            .filter(|other| **other != tier && self.has_tier(**other))
            .map(|other| self.passes[tier_index(*other)])
            .min();
        let ahead = next_pass.map_or(0, |next_pass| self.passes[index].saturating_sub(next_pass));
        let ahead = Duration::from_nanos(ahead).as_secs_f64() * WEIGHTS[index];
        ahead + self.lane_work_ahead(lane_index(tier, long), start_by)
    }

    /// Returns the slot-seconds of the calls in a lane that must start by `start_by`.
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

    /// Returns the minimum share of the slots that a lane gets, given the tiers that have waiting
    /// calls.
    #[must_use]
    pub fn min_share(&self, tier: Tier, long: bool) -> f64 {
        let sibling = self.lanes[lane_index(tier, !long)].waiting > 0;
        let lane_share = if sibling { 0.5 } else { 1.0 };
        let others = TIERS.iter().filter(|other| **other != tier);
        let others = others.filter(|other| self.has_tier(**other));
        let other_weights: f64 = others.map(|other| WEIGHTS[tier_index(*other)]).sum();
        let own = WEIGHTS[tier_index(tier)];
        lane_share * own / (own + other_weights)
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

    /// Removes and returns the call that is next; long calls are considered only if `long` is set.
    ///
    /// A turn that a nested call takes is charged to its own tier. The tier whose turn it was so
    /// makes up for it when its calls are due, and the virtual time stays that tier's: a tier that
    /// becomes active doesn't start behind it.
    pub fn pop(&mut self, now: Instant, long: bool) -> Option<(Key, Entry)> {
        let (turn, is_long) = self.choose_lane(long)?;
        let (tier, is_long) = self
            .choose_nested(now, turn, is_long, long)
            .unwrap_or((turn, is_long));
        let (_, key) = self.first_live(lane_index(tier, is_long))?;
        let entry = self.remove(key)?;
        let index = tier_index(tier);
        self.virtual_time = self.passes[tier_index(turn)];
        self.passes[index] += nanos(entry.cost / WEIGHTS[index]);
        self.lanes[lane_index(tier, is_long)].pass += nanos(entry.cost);
        Some((key, entry))
    }

    /// Removes a call, for instance because its caller no longer waits for it.
    pub fn remove(&mut self, key: Key) -> Option<Entry> {
        let slot = self.slab.get_mut(key.index as usize)?;
        let entry = slot.entry.filter(|_| slot.generation == key.generation)?;
        slot.entry = None;
        slot.generation = slot.generation.wrapping_add(1);
        self.free_indices.push(key.index);
        let lane = &mut self.lanes[lane_index(entry.tier, entry.long)];
        lane.waiting -= 1;
        // Resets an empty lane to exactly zero, as floating-point errors would accumulate.
        lane.work = if lane.waiting == 0 {
            0.0
        } else {
            lane.work - entry.cost
        };
        self.waiting -= 1;
        self.drop_stale(lane_index(entry.tier, entry.long));
        Some(entry)
    }

    /// Removes and returns a call whose latest start has passed, if there is any.
    pub fn expire(&mut self, now: Instant) -> Option<(Key, Entry)> {
        let (at, key) = self.earliest()?;
        if at > now {
            return None;
        }
        let entry = self.remove(key)?;
        Some((key, entry))
    }

    /// Removes and returns a call that can't start in time if the queue is served from `from` on at
    /// `rate` slot-seconds per second, if there is any.
    pub fn pop_unservable(&mut self, from: Instant, rate: f64) -> Option<(Key, Entry)> {
        for tier in TIERS {
            for long in [false, true] {
                let lane = &self.lanes[lane_index(tier, long)];
                let mut waiting: Vec<_> = lane.heap.iter().map(|item| item.0).collect();
                waiting.retain(|(_, key)| is_live(&self.slab, *key));
                waiting.sort_unstable();
                let lane_rate = rate * self.min_share(tier, long);
                let mut work = 0.0;
                for (start_by, key) in waiting {
                    let left = start_by.saturating_duration_since(from).as_secs_f64();
                    if start_by < from || work > left * lane_rate {
                        return self.remove(key).map(|entry| (key, entry));
                    }
                    let entry = self.slab[key.index as usize].entry;
                    work += entry.map_or(0.0, |entry| entry.cost);
                }
            }
        }
        None
    }

    /// Returns when [`Queue::expire`] should next be called.
    pub fn wake_at(&mut self) -> Option<Instant> {
        self.earliest().map(|(at, _)| at)
    }

    fn earliest(&mut self) -> Option<(Instant, Key)> {
        (0..LANE_COUNT)
            .filter_map(|lane| self.first_live(lane))
            .min()
    }

    /// Returns the first live call of a lane, dropping stale items before it.
    fn first_live(&mut self, lane: usize) -> Option<(Instant, Key)> {
        while let Some(Reverse((at, key))) = self.lanes[lane].heap.peek().copied() {
            if is_live(&self.slab, key) {
                return Some((at, key));
            }
            self.lanes[lane].heap.pop();
        }
        None
    }

    /// Moves the pass of a tier without waiting calls up to the virtual time, before a call is
    /// added: neither tiers nor lanes get credit for the time in which they had no calls.
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
            let Some(is_long) = self.choose_long(tier, long) else {
                continue;
            };
            let pass = self.passes[tier_index(tier)];
            if best.is_none_or(|(least, _, _)| pass < least) {
                best = Some((pass, tier, is_long));
            }
        }
        best.map(|(_, tier, is_long)| (tier, is_long))
    }

    /// Returns the lane of the nested call that takes the turn of the lane (`turn`, `is_long`), if
    /// there is one.
    fn choose_nested(
        &mut self,
        now: Instant,
        turn: Tier,
        is_long: bool,
        long: bool,
    ) -> Option<(Tier, bool)> {
        if !self.nested_first || !turn.uses_target() {
            return None;
        }
        let direct = self.first_entry(lane_index(turn, is_long))?;
        let nested = [Tier::Nested, Tier::NestedRefresh].map(|tier| {
            let is_long = self.choose_long(tier, long)?;
            let entry = self.first_entry(lane_index(tier, is_long))?;
            Some((entry.start_by, tier, is_long))
        });
        let (start_by, tier, is_long) = nested.into_iter().flatten().min_by_key(|first| first.0)?;
        precedence::is_nested_first(now, &direct, start_by).then_some((tier, is_long))
    }

    /// Returns the call of a lane that must start first.
    fn first_entry(&mut self, lane: usize) -> Option<Entry> {
        let (_, key) = self.first_live(lane)?;
        self.slab[key.index as usize].entry
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

    /// Removes stale heap items once there are many: the items of calls withdrawn from the middle
    /// of the heap would otherwise stay until they reach the top at their deadlines.
    fn drop_stale(&mut self, lane: usize) {
        let lane = &mut self.lanes[lane];
        if lane.heap.len() > 2 * lane.waiting + MAX_STALE_ITEMS {
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
