//! Whom a backend server serves now, who waits, and who is refused at once.
//!
//! *Load pattern:* a burst or a lasting overload of commits, look-ups and
//! refreshes from many callers, a few of them hot, long jobs among short
//! calls. *Without it* calls pile up in front of the backend server until all
//! of them are answered after their deadlines: it is busy, and nobody is
//! served. *Grounds:* the wait is predicted from the work that waits and the
//! drain rate that is measured; what can't fit its deadline or the class's
//! bound is refused before it waits, so a refusal costs no waiting. The bound
//! shrinks when a queue stands (`CoDel`, Nichols and Jacobson 2012, as
//! Facebook's "Fail at Scale", 2015, has it for requests): a queue is there
//! for bursts.

use crate::backoff;

use crate::duration;
use crate::fair_share::{self, Cells};
use crate::limit::{ConcurrencyLimit, Outcome};
use crate::load_probe::Estimate;
use crate::queue::{self, Entry, Queue, TIERS, Tier, tier_index};
use crate::throughput::{DeferredWork, LaneRate, SlotSpeed};
use config::Class;
use rand::Rng;
use std::time::{Duration, Instant};

/// A call that asks to be served.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// What it is worth.
    pub class: Class,
    /// On whose behalf it runs, as a [`crate::hash`].
    pub caller: u64,
    /// What it is about (its path), as a [`crate::hash`].
    pub key: u64,
    /// Its route, as a [`crate::hash`]: calls of one route take about as long.
    pub route: u64,
    /// When nobody waits for its answer any more.
    pub deadline: Instant,
    /// Until when an answer is worth most, if that is known.
    pub target: Option<Instant>,
    /// What a call is worth that runs elsewhere and holds a slot there until it has this one's answer.
    pub nested: Option<Class>,
}

/// The right to run one call; handed back to [`Admission::finish`].
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    tier: Tier,
    caller: Cells,
    key: Cells,
    route: u64,
    long: bool,
    cost: f64,
    started: Instant,
    running: u32,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Too much waits already.
    Full,
    /// It could not be served before its deadline.
    Deadline,
}

/// A call that has not run and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When there will be room again.
    pub retry_after: Duration,
}

/// What becomes of a call that asks to be served.
#[derive(Debug)]
#[must_use]
pub enum Decision {
    /// It runs now.
    Run(Ticket),
    /// It waits; [`Admission::next`] will name it.
    Wait(queue::Key),
    /// It is refused.
    Refuse(Refusal),
}

/// What becomes of a call that has waited.
#[derive(Debug)]
#[must_use]
pub enum Next {
    /// It runs now.
    Run(queue::Key, Ticket),
    /// It is given up on, and gets its final answer now.
    Refuse(queue::Key, Refusal),
}

/// Wait up to which a class's queue is in order, in durations of the call itself.
///
/// A commit rather waits than is refused, a board will be read again soon.
const QUEUE_TARGETS: [f64; TIERS.len()] = [8.0, 8.0, 8.0, 2.0, 1.0, 1.0];

/// Least target, so that very short calls may wait for a scheduling hiccup.
const MIN_QUEUE_TARGET: f64 = 0.025;

/// Times its target that a queue may grow to in a burst.
const BURST_FACTOR: f64 = 2.0;

/// Time after which a queue that was never empty counts as standing; `CoDel`'s
/// own interval.
const STANDING_INTERVAL: Duration = Duration::from_millis(100);

/// Times its bound after which a waiting call is given up, though its deadline
/// is far: the prediction was wrong, for instance as the backend server hangs.
const MAX_WAIT_FACTOR: f64 = 6.0;

/// Times its expected duration that must be left when a call starts: with
/// durations that vary as much as their mean, 86% then end in time.
const DEADLINE_MARGIN: f64 = 2.0;

/// Times its expected duration that must be left to its target when a call
/// starts: with durations that vary by half of their mean, 70% are then in time.
const TARGET_MARGIN: f64 = 1.3;

/// Least wait, in durations of the call itself, that any call may begin with:
/// one whose target is tight may still wait for the slot that gets free next.
const MIN_SLACK: f64 = 0.25;

/// Share of the slots that long jobs may not take, rounded down: two of six.
///
/// With none held back, long jobs fill all slots and short calls wait for one of them to end;
/// with half of them held back, slots stand idle while long jobs wait.
const SHORT_CALL_RESERVE: f64 = 1.0 / 3.0;

/// Admission in front of one backend server.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    durations: duration::Estimator,
    queue: Queue,
    /// What each caller has had, by class.
    caller_usage: [fair_share::UsageSketch; TIERS.len()],
    /// What calls about each key have had, by class.
    key_usage: [fair_share::UsageSketch; TIERS.len()],
    /// When a call last found none of its lane waiting.
    last_empty_at: [Instant; queue::LANES],
    deferred_work: [DeferredWork; TIERS.len()],
    speed: SlotSpeed,
    /// What each lane gets of the slots.
    lane_rates: [LaneRate; queue::LANES],
    running: u32,
    running_long: u32,
}

impl Admission {
    /// Makes the admission of a backend server that says it has `slots`.
    #[must_use]
    pub fn new(now: Instant, slots: u16, seed: u64) -> Self {
        let limit = ConcurrencyLimit::new(now, slots);
        Self {
            speed: SlotSpeed::new(now),
            lane_rates: [LaneRate::new(now, limit.slots()); queue::LANES],
            limit,
            durations: duration::Estimator::new(duration::LOCAL_ROWS),
            queue: Queue::new(),
            caller_usage: [1, 2, 3, 4, 5, 6]
                .map(|salt| fair_share::UsageSketch::new(now, seed.wrapping_add(salt))),
            key_usage: [7, 8, 9, 10, 11, 12]
                .map(|salt| fair_share::UsageSketch::new(now, seed.wrapping_add(salt))),
            last_empty_at: [now; queue::LANES],
            deferred_work: [DeferredWork::new(now); TIERS.len()],
            running: 0,
            running_long: 0,
        }
    }

    /// Takes in how many slots the backend server says it has.
    pub fn set_advertised_slots(&mut self, slots: u16) {
        self.limit.set_advertised(slots);
    }

    /// Gives how many calls run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Gives how many calls wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Gives how many calls may run at once.
    #[must_use]
    pub fn slots(&self) -> f64 {
        self.limit.slots()
    }

    /// Gives the load as calls running and waiting over slots: a hint for the outbound proxies.
    #[must_use]
    pub fn load(&self) -> f64 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        (f64::from(self.running) + f64::from(waiting)) / self.limit.slots()
    }

    /// Decides on a call that asks to be served.
    pub fn offer<R>(&mut self, now: Instant, request: &Request, rng: &mut R) -> Decision
    where
        R: Rng,
    {
        self.limit.end_probe(now);
        let entry = self.record_entry(now, request);
        if self.can_run(now, request, &entry) {
            self.last_empty_at[queue::lane_index(entry.tier, entry.long)] = now;
            self.charge(now, entry.tier, entry.caller, entry.key, entry.cost);
            return Decision::Run(self.start(now, &entry));
        }
        if let Some(reason) = self.refusal_reason(now, request, &entry) {
            return Decision::Refuse(self.refuse(now, &entry, reason, rng));
        }
        let expires_at = now + duration_from_secs(max_queue_time(&entry));
        // Charged as it begins to wait: a hot caller's burst would otherwise
        // fill the queue before any of it counts.
        self.charge(now, entry.tier, entry.caller, entry.key, entry.cost);
        Decision::Wait(self.queue.push(Entry {
            start_by: entry.start_by.min(expires_at),
            ..entry
        }))
    }

    /// Refuses a call that would be refused now, before its body is asked for.
    pub fn precheck<R>(&mut self, now: Instant, request: &Request, rng: &mut R) -> Option<Refusal>
    where
        R: Rng,
    {
        self.limit.end_probe(now);
        let entry = self.record_entry(now, request);
        if self.can_run(now, request, &entry) {
            return None;
        }
        let reason = self.refusal_reason(now, request, &entry)?;
        Some(self.refuse(now, &entry, reason, rng))
    }

    /// Gives what would become of a call that is not here yet; it counts for nobody's share.
    pub fn estimate(&mut self, now: Instant, request: &Request) -> Estimate {
        self.limit.end_probe(now);
        let tier = tier_index(tier_of(now, request));
        let cells = [
            self.caller_usage[tier].cells(request.caller),
            self.key_usage[tier].cells(request.key),
        ];
        let entry = self.make_entry(now, request, cells);
        let can_run = self.can_run(now, request, &entry);
        let wait = if can_run {
            0.0
        } else {
            self.predict_wait(now, &entry)
        };
        Estimate {
            accepts: can_run || self.refusal_reason(now, request, &entry).is_none(),
            wait: duration_from_secs(wait),
            run: self
                .durations
                .route_mean(request.route)
                .map(duration_from_secs),
            load: self.load(),
        }
    }

    /// Gives how long a call of `route` is expected to run.
    #[must_use]
    pub fn expected_duration(&self, route: u64) -> Duration {
        duration_from_secs(self.durations.expected(route))
    }

    /// Takes in that a call asks to be served, and gives what is known of it.
    fn record_entry(&mut self, now: Instant, request: &Request) -> Entry {
        let tier = tier_index(tier_of(now, request));
        let cells = [
            self.caller_usage[tier].record_request(now, request.caller),
            self.key_usage[tier].record_request(now, request.key),
        ];
        self.make_entry(now, request, cells)
    }

    /// Gives what is known of a call, with the latest moment at which it may start.
    fn make_entry(&self, now: Instant, request: &Request, cells: [Cells; 2]) -> Entry {
        let cost = self.durations.expected(request.route);
        let left = time_left(now, request);
        let [caller, key] = cells;
        let entry = Entry {
            tier: tier_of(now, request),
            caller,
            key,
            route: request.route,
            long: self.durations.is_long(request.route),
            cost,
            start_by: now + duration_from_secs((left - DEADLINE_MARGIN * cost).max(0.0)),
        };
        apply_target(now, request, entry)
    }

    /// Tells whether a call may run without waiting.
    ///
    /// A free slot is tried whatever the call is expected to take: else a
    /// backend server that was once slower than the deadlines would never be
    /// given a call again to show that it no longer is.
    fn can_run(&self, now: Instant, request: &Request, entry: &Entry) -> bool {
        self.has_free_slot(entry.long)
            && !self.queue.has_kind(entry.long)
            && time_left(now, request) > 0.0
    }

    /// Tells why a call that would have to wait is to be refused, if it is.
    fn refusal_reason(&mut self, now: Instant, request: &Request, entry: &Entry) -> Option<Reason> {
        if !self.queue.has_lane(entry.tier, entry.long) {
            let total = self.service_rate(now);
            self.lane_rates[queue::lane_index(entry.tier, entry.long)].record_idle(now, total);
        }
        if entry.tier == Tier::Overdue && self.queue.has_timely() {
            return Some(Reason::Full);
        }
        let wait = self.predict_wait(now, entry);
        let has_target =
            request.target.is_some_and(|target| target > now) && entry.tier.uses_target();
        if wait > self.max_wait(now, entry, has_target) {
            return Some(Reason::Full);
        }
        (wait + DEADLINE_MARGIN * entry.cost > time_left(now, request)).then_some(Reason::Deadline)
    }

    /// Takes in the end of a call.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a ticket is used up, so that no call can end twice"
    )]
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        let Ticket {
            tier,
            caller,
            key,
            route,
            long,
            cost,
            started,
            running,
        } = ticket;
        self.running -= 1;
        self.running_long -= u32::from(long);
        let took = now.saturating_duration_since(started);
        let slowdown = match outcome {
            Outcome::Done => {
                let light = self.limit.is_light(running);
                self.durations.record(route, took, light)
            }
            Outcome::Shed | Outcome::Failed => None,
        };
        self.limit.record(now, running, outcome, slowdown);
        self.speed.finish(now, started, cost);
        // The guess that was charged at the start is made good.
        self.charge(now, tier, caller, key, took.as_secs_f64() - cost);
    }

    /// Gives what has become of the waiting calls, one at a time: to be called
    /// until it gives none, after each [`Admission::finish`] and at
    /// [`Admission::wake_at`].
    pub fn next<R>(&mut self, now: Instant, rng: &mut R) -> Option<Next>
    where
        R: Rng,
    {
        self.limit.end_probe(now);
        if let Some((key, entry)) = self.queue.expire(now) {
            return Some(self.refuse_waiting(now, key, &entry, Reason::Deadline, rng));
        }
        if let Some((key, entry)) = self.queue.pop_overdue() {
            return Some(self.refuse_waiting(now, key, &entry, Reason::Full, rng));
        }
        if !self.has_free_slot(false) {
            return None;
        }
        let (key, entry) = self.queue.pop(self.has_free_slot(true))?;
        self.lane_rates[queue::lane_index(entry.tier, entry.long)].record_served(now, entry.cost);
        Some(Next::Run(key, self.start(now, &entry)))
    }

    fn refuse_waiting<R>(
        &mut self,
        now: Instant,
        key: queue::Key,
        entry: &Entry,
        reason: Reason,
        rng: &mut R,
    ) -> Next
    where
        R: Rng,
    {
        self.charge(now, entry.tier, entry.caller, entry.key, -entry.cost);
        Next::Refuse(key, self.refuse(now, entry, reason, rng))
    }

    /// Gives when a waiting call has next to be given up on, or may be let in by the time alone.
    #[must_use]
    pub fn wake_at(&mut self) -> Option<Instant> {
        let expires_at = self.queue.wake_at()?;
        let probe_ends_at = self.limit.probe_ends_at();
        Some(probe_ends_at.map_or(expires_at, |at| at.min(expires_at)))
    }

    /// Takes out a waiting call that nobody waits for any more; tells whether it did wait.
    pub fn withdraw(&mut self, now: Instant, key: queue::Key) -> bool {
        let Some(entry) = self.queue.remove(key) else {
            return false;
        };
        self.charge(now, entry.tier, entry.caller, entry.key, -entry.cost);
        true
    }

    fn has_free_slot(&self, long: bool) -> bool {
        let slots = self.limit.slots();
        let max_running = if long {
            slots - (slots * SHORT_CALL_RESERVE).floor()
        } else {
            slots
        };
        f64::from(self.running) < slots && (!long || f64::from(self.running_long) < max_running)
    }

    fn start(&mut self, now: Instant, entry: &Entry) -> Ticket {
        self.running += 1;
        self.running_long += u32::from(entry.long);
        self.speed.start(now, entry.cost);
        Ticket {
            tier: entry.tier,
            caller: entry.caller,
            key: entry.key,
            route: entry.route,
            long: entry.long,
            cost: entry.cost,
            started: now,
            running: self.running,
        }
    }

    /// Predicts the wait from what the class has got of the slots lately: a
    /// look-up's wait depends on the commits that will come after it.
    fn predict_wait(&self, now: Instant, entry: &Entry) -> f64 {
        let work = self
            .queue
            .work_ahead(entry.tier, entry.long, entry.start_by);
        // The slot that gets free next belongs to a call that is half through.
        let slot = self.durations.overall_mean() / 2.0 / self.service_rate(now);
        slot + work / self.lane_rate(now, entry)
    }

    fn lane_rate(&self, now: Instant, entry: &Entry) -> f64 {
        let min_rate = self.service_rate(now) * self.queue.min_share(entry.tier, entry.long);
        let lane = queue::lane_index(entry.tier, entry.long);
        self.lane_rates[lane].get(now, entry.cost).max(min_rate)
    }

    fn service_rate(&self, now: Instant) -> f64 {
        self.limit.slots() * self.speed.get(now)
    }

    /// Gives the longest wait that a call may begin with.
    fn max_wait(&mut self, now: Instant, entry: &Entry, has_target: bool) -> f64 {
        let tier = tier_index(entry.tier);
        let target = queue_target(entry);
        let lane = queue::lane_index(entry.tier, entry.long);
        if !self.queue.has_lane(entry.tier, entry.long) {
            self.last_empty_at[lane] = now;
        }
        let is_standing =
            now.saturating_duration_since(self.last_empty_at[lane]) > STANDING_INTERVAL;
        let bound = if is_standing {
            target
        } else {
            target * BURST_FACTOR
        };
        let slack = entry.start_by.saturating_duration_since(now).as_secs_f64();
        let bound = if has_target { slack } else { bound };
        let caller = self.caller_usage[tier].wait_factor(now, entry.caller, entry.cost);
        let key = self.key_usage[tier].wait_factor(now, entry.key, entry.cost);
        bound * caller.min(key)
    }

    fn charge(&mut self, now: Instant, tier: Tier, caller: Cells, key: Cells, work: f64) {
        self.caller_usage[tier_index(tier)].charge(now, caller, work);
        self.key_usage[tier_index(tier)].charge(now, key, work);
    }

    /// Refuses, with a Retry-After from the measured drain rate.
    ///
    /// Everybody refused is assumed to come back, so each is sent to the end of
    /// a virtual queue of those refused before. Told only how long the real,
    /// short queue takes, all of them would be back in some milliseconds.
    fn refuse<R>(&mut self, now: Instant, entry: &Entry, reason: Reason, rng: &mut R) -> Refusal
    where
        R: Rng,
    {
        let rate = self.lane_rate(now, entry);
        let deferred = &mut self.deferred_work[tier_index(entry.tier)];
        let wait = deferred.add(now, entry.cost, rate);
        Refusal {
            reason,
            retry_after: backoff::add_jitter(duration_from_secs(wait), rng),
        }
    }
}

/// Gives what a call is worth: its class, unless a running call waits for it or it is late.
///
/// *Load pattern of nested calls:* a service whose backend servers call another
/// one, both at their limits. *Without it* the calls of look-ups queue as
/// look-ups, behind the other service's own work; one that is turned away fails
/// its parent, and the slot-seconds that the parent has had are lost: a quarter
/// of all runs at 1.3 times the capacity. *Grounds:* they have tiers of their own, by
/// what their parents are worth: for a refresh as large as that of fresh look-ups, so
/// that neither crowds the other out, and else three times that; they have no
/// target, as late is better than failing the parent.
///
/// *Load pattern of late calls:* a lasting overload whose refused callers come
/// back, their target gone by. *Without it* each of them takes a slot from a
/// fresh call that is then late as well: of the answers, four in ten were late.
/// *Grounds:* a late answer is worth a fraction of one in time, whatever its
/// class, and a slot serves one of the two.
pub(crate) fn tier_of(now: Instant, request: &Request) -> Tier {
    let is_overdue = request.target.is_some_and(|target| target <= now);
    match (request.class, request.nested) {
        // A commit is never the last: what is late of it comes after fresh commits only.
        (Class::Commit, None) if is_overdue => Tier::Lookup,
        (Class::Commit, _) => Tier::Commit,
        (_, Some(Class::Refresh)) => Tier::NestedRefresh,
        (_, Some(Class::Commit | Class::Lookup)) => Tier::Nested,
        (_, None) if is_overdue => Tier::Overdue,
        (Class::Lookup, None) => Tier::Lookup,
        (Class::Refresh, None) => Tier::Refresh,
    }
}

/// Brings the latest start of a call forward to where its answer is worth most.
///
/// *Load pattern:* a lasting overload of calls whose answers lose most of
/// their worth some time before their deadlines. *Without it* the queue
/// grows until all are answered just before their deadlines: the same
/// number is served, nearly all of them late. A call that could be
/// answered late only is better sent to come back, and the slot given to
/// one that is still in time. Commits wait on: late is better than lost. What
/// is late already waits for a slot that nobody else wants.
fn apply_target(now: Instant, request: &Request, entry: Entry) -> Entry {
    if !entry.tier.uses_target() {
        return entry;
    }
    let Some(target) = request.target.filter(|target| *target > now) else {
        return entry;
    };
    let left = target.saturating_duration_since(now).as_secs_f64();
    let slack = (left - TARGET_MARGIN * entry.cost).max(MIN_SLACK * entry.cost);
    Entry {
        start_by: entry.start_by.min(now + duration_from_secs(slack)),
        ..entry
    }
}

/// Gives the wait up to which the queue of a call's class is in order.
fn queue_target(entry: &Entry) -> f64 {
    (QUEUE_TARGETS[tier_index(entry.tier)] * entry.cost).max(MIN_QUEUE_TARGET)
}

/// Gives the longest wait after which a call is given up, though its deadline is far.
///
/// *Load pattern:* an overload whose refused callers come back late. *Without the short one* for
/// what is late, each waits behind the fresh ones that come after it, until its deadline and for
/// nothing. *Grounds:* it gets what fresh calls leave; where these wait by now there is nothing left, and its caller is told so.
fn max_queue_time(entry: &Entry) -> f64 {
    let factor = if entry.tier == Tier::Overdue {
        1.0
    } else {
        MAX_WAIT_FACTOR
    };
    factor * BURST_FACTOR * queue_target(entry)
}

/// Gives the seconds until nobody waits for a call's answer any more.
fn time_left(now: Instant, request: &Request) -> f64 {
    let left = request.deadline.saturating_duration_since(now);
    left.as_secs_f64()
}

pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}
