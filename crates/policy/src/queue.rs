//! Calls that wait for a slot: whose turn it is, and who has waited too long.
//!
//! *Load pattern:* more calls than slots, of three classes and many callers,
//! long jobs among short ones. *Without it* the order is that of arrival: a
//! commit waits behind a hundred refreshes, one caller's hundred calls delay
//! all others by a hundred, and calls are run whose callers have given up.
//! *Grounds:* stride scheduling (Waldspurger, 1995) on three levels, class,
//! kind (short or long) and caller, each in constant or logarithmic time;
//! within a caller the earliest deadline goes first.

use crate::share::{BUCKETS, Bucket};
use config::Class;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// The classes, first the one that goes first between equals.
pub const CLASSES: [Class; 3] = [Class::Commit, Class::Lookup, Class::Refresh];

/// Shares of the classes when all of them wait.
///
/// Commits that alone fit must all get in, up to nine tenths of the capacity;
/// what they leave goes to look-ups and refreshes at four to one, and none of
/// them ever gets nothing. Measured in `tests/sustained_overload.rs`.
const WEIGHTS: [f64; 3] = [90.0, 8.0, 2.0];

/// Lanes: a short and a long one for each class.
const LANES: usize = 6;

/// End of a list.
const NONE: u32 = u32::MAX;

/// Stale timers kept beyond the live ones before they are swept.
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
    pub class: Class,
    /// Its caller's bucket.
    pub bucket: Bucket,
    /// The bucket of what it is about.
    pub key: Bucket,
    /// Its route.
    pub route: u64,
    /// Whether it is expected to take many times as long as the typical call.
    pub long: bool,
    /// Slot-seconds that it is expected to take.
    pub cost: f64,
    /// When it is given up if it has not started.
    pub give_up_at: Instant,
}

/// The waiting calls of one backend server.
#[derive(Debug)]
pub struct Queue {
    slots: Vec<Slot>,
    free: Vec<u32>,
    flows: Box<[Flow]>,
    lanes: [Lane; LANES],
    classes: [u64; 3],
    class_time: u64,
    timers: BinaryHeap<Reverse<(Instant, Key)>>,
    waiting: usize,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    generation: u32,
    entry: Option<Entry>,
    previous: u32,
    next: u32,
}

#[derive(Debug, Clone, Copy)]
struct Flow {
    pass: u64,
    head: u32,
    tail: u32,
    listed: bool,
}

#[derive(Debug, Default)]
struct Lane {
    flows: BinaryHeap<Reverse<(u64, Bucket)>>,
    time: u64,
    pass: u64,
    waiting: u32,
    work: f64,
}

impl Queue {
    /// Makes an empty queue.
    #[must_use]
    pub fn new() -> Self {
        let flow = Flow {
            pass: 0,
            head: NONE,
            tail: NONE,
            listed: false,
        };
        Self {
            slots: Vec::new(),
            free: Vec::new(),
            flows: vec![flow; LANES * BUCKETS].into_boxed_slice(),
            lanes: Default::default(),
            classes: [0; 3],
            class_time: 0,
            timers: BinaryHeap::new(),
            waiting: 0,
        }
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
        CLASSES
            .iter()
            .any(|class| self.lanes[lane_of(*class, long)].waiting > 0)
    }

    /// Gives the slot-seconds that go before a call that would come now.
    ///
    /// That is all that waits, or less: at worst its own lane, stretched by the
    /// shares of the classes and kinds that wait beside it.
    #[must_use]
    pub fn work_before(&self, class: Class, long: bool) -> f64 {
        let all = self.lanes.iter().map(|lane| lane.work).sum::<f64>();
        let own = self.lanes[lane_of(class, long)].work;
        all.min(own / self.share_of(class, long))
    }

    /// Gives the share of the slots that a lane has while those that wait now wait.
    #[must_use]
    pub fn share_of(&self, class: Class, long: bool) -> f64 {
        let total = CLASSES
            .iter()
            .filter(|other| **other == class || self.is_waiting(**other))
            .map(|other| WEIGHTS[rank_of(*other)])
            .sum::<f64>();
        let sibling = self.lanes[lane_of(class, !long)].waiting > 0;
        let kind = if sibling { 0.5 } else { 1.0 };
        kind * WEIGHTS[rank_of(class)] / total
    }

    /// Adds a call.
    pub fn push(&mut self, entry: Entry) -> Key {
        self.wake_class(entry.class);
        self.wake_lane(entry.class, entry.long);
        let index = self.store(entry);
        self.link(index, &entry);
        let lane = &mut self.lanes[lane_of(entry.class, entry.long)];
        lane.waiting += 1;
        lane.work += entry.cost;
        self.waiting += 1;
        let key = Key {
            index,
            generation: self.slots[index as usize].generation,
        };
        self.timers.push(Reverse((entry.give_up_at, key)));
        key
    }

    /// Takes the call whose turn it is; a long one only if `long` is.
    pub fn pop(&mut self, long: bool) -> Option<(Key, Entry)> {
        let (class, long) = self.choose_lane(long)?;
        let index = self.choose_call(lane_of(class, long))?;
        let entry = self.slots[index as usize].entry?;
        let step = nanos(entry.cost);
        self.class_time = self.classes[rank_of(class)];
        self.classes[rank_of(class)] += nanos(entry.cost / WEIGHTS[rank_of(class)]);
        self.lanes[lane_of(class, long)].pass += step;
        Some((self.release(index, &entry), entry))
    }

    /// Takes a call out, as its caller no longer waits for it.
    pub fn remove(&mut self, key: Key) -> Option<Entry> {
        let slot = self.slots.get(key.index as usize)?;
        let entry = slot.entry.filter(|_| slot.generation == key.generation)?;
        self.release(key.index, &entry);
        Some(entry)
    }

    /// Takes out a call that has waited too long.
    pub fn expire(&mut self, now: Instant) -> Option<(Key, Entry)> {
        while let Some(Reverse((at, key))) = self.timers.peek().copied() {
            if at > now {
                return None;
            }
            self.timers.pop();
            if let Some(entry) = self.remove(key) {
                return Some((key, entry));
            }
        }
        None
    }

    /// Gives when [`Queue::expire`] is next worth a call.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    fn is_waiting(&self, class: Class) -> bool {
        [false, true]
            .iter()
            .any(|long| self.lanes[lane_of(class, *long)].waiting > 0)
    }

    /// A class or lane that begins to wait starts at the present: it is owed
    /// nothing for the time in which it asked for nothing.
    fn wake_class(&mut self, class: Class) {
        if !self.is_waiting(class) {
            let pass = &mut self.classes[rank_of(class)];
            *pass = (*pass).max(self.class_time);
        }
    }

    fn wake_lane(&mut self, class: Class, long: bool) {
        let sibling = self.lanes[lane_of(class, !long)].pass;
        let lane = &mut self.lanes[lane_of(class, long)];
        if lane.waiting == 0 {
            lane.pass = lane.pass.max(sibling);
        }
    }

    fn choose_lane(&self, long: bool) -> Option<(Class, bool)> {
        let mut best = None;
        for class in CLASSES {
            let Some(kind) = self.choose_kind(class, long) else {
                continue;
            };
            let pass = self.classes[rank_of(class)];
            if best.is_none_or(|(least, _, _)| pass < least) {
                best = Some((pass, class, kind));
            }
        }
        best.map(|(_, class, kind)| (class, kind))
    }

    fn choose_kind(&self, class: Class, long: bool) -> Option<bool> {
        let short_lane = &self.lanes[lane_of(class, false)];
        let long_lane = &self.lanes[lane_of(class, true)];
        let has_long = long && long_lane.waiting > 0;
        match (short_lane.waiting > 0, has_long) {
            (true, true) => Some(long_lane.pass < short_lane.pass),
            (true, false) => Some(false),
            (false, true) => Some(true),
            (false, false) => None,
        }
    }

    /// Gives the first call of the caller whose turn it is.
    fn choose_call(&mut self, lane: usize) -> Option<u32> {
        while let Some(Reverse((pass, bucket))) = self.lanes[lane].flows.pop() {
            let flow = &mut self.flows[lane * BUCKETS + bucket.index()];
            flow.listed = false;
            let Some(entry) = self
                .slots
                .get(flow.head as usize)
                .and_then(|slot| slot.entry)
            else {
                continue;
            };
            let head = flow.head;
            flow.pass = pass + nanos(entry.cost);
            self.lanes[lane].time = pass;
            if self.slots[head as usize].next != NONE {
                self.list_flow(lane, bucket);
            }
            return Some(head);
        }
        None
    }

    fn list_flow(&mut self, lane: usize, bucket: Bucket) {
        let flow = &mut self.flows[lane * BUCKETS + bucket.index()];
        if !flow.listed {
            flow.listed = true;
            flow.pass = flow.pass.max(self.lanes[lane].time);
            self.lanes[lane].flows.push(Reverse((flow.pass, bucket)));
        }
    }

    fn store(&mut self, entry: Entry) -> u32 {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.entry = Some(entry);
            return index;
        }
        self.slots.push(Slot {
            generation: 0,
            entry: Some(entry),
            previous: NONE,
            next: NONE,
        });
        u32::try_from(self.slots.len() - 1).unwrap_or(NONE)
    }

    /// Puts a call into its caller's list, by deadline; most come at the end.
    fn link(&mut self, index: u32, entry: &Entry) {
        let lane = lane_of(entry.class, entry.long);
        let at = lane * BUCKETS + entry.bucket.index();
        let mut previous = self.flows[at].tail;
        while let Some(other) = self.slots.get(previous as usize)
            && other
                .entry
                .is_some_and(|other| other.give_up_at > entry.give_up_at)
        {
            previous = other.previous;
        }
        let next = match self.slots.get(previous as usize) {
            Some(slot) => slot.next,
            None => self.flows[at].head,
        };
        self.slots[index as usize].previous = previous;
        self.slots[index as usize].next = next;
        self.join(at, previous, index);
        self.join(at, index, next);
        self.list_flow(lane, entry.bucket);
    }

    /// Makes two neighbours know each other; the list's ends stand for [`NONE`].
    fn join(&mut self, flow: usize, before: u32, after: u32) {
        match self.slots.get_mut(before as usize) {
            Some(slot) => slot.next = after,
            None => self.flows[flow].head = after,
        }
        match self.slots.get_mut(after as usize) {
            Some(slot) => slot.previous = before,
            None => self.flows[flow].tail = before,
        }
    }

    fn release(&mut self, index: u32, entry: &Entry) -> Key {
        let slot = &mut self.slots[index as usize];
        let key = Key {
            index,
            generation: slot.generation,
        };
        slot.entry = None;
        slot.generation = slot.generation.wrapping_add(1);
        let (previous, next) = (slot.previous, slot.next);
        let lane = lane_of(entry.class, entry.long);
        self.join(lane * BUCKETS + entry.bucket.index(), previous, next);
        let lane = &mut self.lanes[lane];
        lane.waiting -= 1;
        // An empty lane is exactly empty: sums of floats would drift.
        lane.work = if lane.waiting == 0 {
            0.0
        } else {
            lane.work - entry.cost
        };
        self.waiting -= 1;
        self.free.push(index);
        self.sweep_timers();
        key
    }

    /// Drops timers of calls that are gone; without it they would pile up until
    /// their deadlines, seconds of calls at a busy node.
    fn sweep_timers(&mut self) {
        if self.timers.len() > 2 * self.waiting + SLACK {
            let slots = &self.slots;
            self.timers.retain(|Reverse((_, key))| {
                let slot = &slots[key.index as usize];
                slot.generation == key.generation && slot.entry.is_some()
            });
        }
    }
}

impl Default for Queue {
    fn default() -> Self {
        Self::new()
    }
}

fn rank_of(class: Class) -> usize {
    match class {
        Class::Commit => 0,
        Class::Lookup => 1,
        Class::Refresh => 2,
    }
}

fn lane_of(class: Class, long: bool) -> usize {
    rank_of(class) * 2 + usize::from(long)
}

fn nanos(seconds: f64) -> u64 {
    let duration = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX >> 16)
}
