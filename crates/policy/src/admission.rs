//! Admission control in front of one backend server: which calls run now, which wait and which
//! are refused at once.
//!
//! Admission control protects the backend server from bursts and lasting overloads of commits,
//! look-ups and refreshes from many callers, a few of them hot, with long jobs among short calls.
//! Without admission control, calls pile up in front of the backend server until all of them are
//! answered after their deadlines: the backend server is busy, and no caller is served.
//!
//! The wait of a call is predicted from the queued work and the measured service rate. A call is
//! refused before it waits if it can't meet its deadline or if its predicted wait exceeds the bound
//! of its tier, so a refusal costs no waiting time. The bound is smaller while a queue is standing,
//! that is, has not been empty for some time (`CoDel`, Nichols and Jacobson 2012, applied to
//! requests as in Facebook's "Fail at Scale", 2015), as a queue is meant to absorb bursts.
//!
//! A backend server may also name the rate of calls that it takes ([`Admission::set_rate_limit`]).
//! Calls then wait for a token as well as for a slot, and waits are predicted by the lower rate.

use crate::backoff;
use crate::duration;
use crate::fair_share::{self, Cells};
use crate::limit::{ConcurrencyLimit, Outcome};
use crate::load_probe::Estimate;
use crate::pace;
use crate::queue::{self, Entry, Queue, TIERS, Tier, tier_index};
use crate::rate_limit::RateLimit;
use crate::self_report::{Percent, Rate};
use crate::team_share::TeamShares;
use crate::throughput::{DeferredWork, LaneRate, OfferedWork, SlotSpeed};
use config::Class;
use rand::Rng;
use std::time::{Duration, Instant};

/// A call that asks for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Priority class of the call.
    pub class: Class,
    /// Caller on whose behalf the call runs, as a [`crate::hash`].
    pub caller: u64,
    /// Key that the call is about (its path), as a [`crate::hash`].
    pub key: u64,
    /// Route, as a [`crate::hash`]: calls of one route take about the same time.
    pub route: u64,
    /// Deadline, after which nobody waits for the answer.
    pub deadline: Instant,
    /// Latency target, if there is one; an answer after it has lost most of its value.
    pub target: Option<Instant>,
    /// Class of the parent call, if this call is nested: the parent holds a slot at another backend
    /// server until it has the answer to this call.
    pub parent_class: Option<Class>,
    /// Team on whose behalf the call runs, as a [`crate::hash`] of its name, if it has one.
    pub team: Option<u64>,
}

/// The right to run one call; must be handed back to [`Admission::finish`].
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    tier: Tier,
    caller: Cells,
    key: Cells,
    team: Option<queue::Team>,
    route: u64,
    long: bool,
    cost: f64,
    started: Instant,
    pace: pace::Start,
    /// Number of running calls once this call had started, including it.
    running: u32,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Too much work is queued already.
    Full,
    /// The call could not finish before its deadline.
    Deadline,
    /// The call can't start in time at the rate that the backend server has named.
    RateLimit,
    /// The team of the call has used more than its share, and other teams compete for the rest.
    TeamShare,
}

/// Refusal of a call, which has not run and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the call is refused.
    pub reason: Reason,
    /// Time after which the backend server is expected to have room.
    pub retry_after: Duration,
}

/// What happens to a call that asks for a slot.
#[derive(Debug)]
#[must_use]
pub enum Decision {
    /// The call runs now.
    Run(Ticket),
    /// The call waits; [`Admission::next`] returns its key later.
    Wait(queue::Key),
    /// The call is refused.
    Refuse(Refusal),
}

/// What happens to a call that has waited.
#[derive(Debug)]
#[must_use]
pub enum Next {
    /// The call runs now.
    Run(queue::Key, Ticket),
    /// The call is given up: its caller gets the refusal as the final answer now.
    Refuse(queue::Key, Refusal),
}

/// Acceptable queue wait of each tier, in the order of [`TIERS`], as a multiple of the call's
/// expected duration.
///
/// A commit is better delayed than refused; a display (refresh) is read again soon anyway.
const ACCEPTABLE_WAIT_FACTORS: [f64; TIERS.len()] = [8.0, 8.0, 8.0, 2.0, 1.0, 1.0];

/// Minimum acceptable queue wait in seconds, so that very short calls are not refused because of
/// a short scheduling delay.
const MIN_ACCEPTABLE_WAIT: f64 = 0.025;

/// Factor by which a burst may exceed the acceptable queue wait.
const BURST_FACTOR: f64 = 2.0;

/// Time without an empty queue after which the queue counts as standing; the interval of
/// `CoDel`.
const STANDING_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a call may spend in the queue, as a multiple of the bound that applies to its
/// predicted wait during a burst. A call that has waited longer is given up although its deadline
/// is far off: the prediction was wrong, for instance because the backend server hangs.
const MAX_WAIT_FACTOR: f64 = 6.0;

/// Time that must be left until the deadline when a call starts, as a multiple of its expected
/// duration. If durations vary as much as their mean, 86% of the calls then end in time.
const DEADLINE_MARGIN: f64 = 2.0;

/// Time that must be left until the latency target when a call starts, as a multiple of its
/// expected duration. If durations vary by half of their mean, 70% of the calls are then in
/// time.
const TARGET_MARGIN: f64 = 1.3;

/// Minimum time for which a call may wait, however close its latency target is, as a multiple of
/// its expected duration: it may still wait for the next slot that becomes free.
const MIN_SLACK_FACTOR: f64 = 0.25;

/// Share of the slots that long jobs may not take, rounded down: two of six.
///
/// With no reserve, long jobs fill all slots and short calls wait for one of them to end; with
/// half of the slots reserved, slots stand idle while long jobs wait.
const SHORT_CALL_RESERVE: f64 = 1.0 / 3.0;

/// Admission controller of one backend server.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    /// Durations at the usual pace.
    durations: duration::Estimator,
    pace: pace::Tracker,
    queue: Queue,
    /// Recent use of slots by each caller, per tier.
    caller_usage: [fair_share::UsageSketch; TIERS.len()],
    /// Recent use of slots by calls about each key, per tier.
    key_usage: [fair_share::UsageSketch; TIERS.len()],
    /// Work of the teams, per tier.
    team_shares: [TeamShares; TIERS.len()],
    /// When each lane was last seen empty by an arriving call.
    last_empty_at: [Instant; queue::LANE_COUNT],
    /// Refused work of each tier, from which Retry-After is computed.
    deferred_work: [DeferredWork; TIERS.len()],
    speed: SlotSpeed,
    /// Work of the calls that arrived lately.
    offered_work: OfferedWork,
    /// Measured service rate of each lane.
    lane_rates: [LaneRate; queue::LANE_COUNT],
    running: u32,
    running_long: u32,
    /// Limit on the rate at which calls start, if the backend server has named one.
    rate_limit: Option<RateLimit>,
    /// Whether waiting calls may have to be refused because of a new or lower rate limit.
    must_recheck_queue: bool,
}

impl Admission {
    /// Creates the controller of a backend server that advertises `slots`.
    #[must_use]
    pub fn new(now: Instant, slots: u16, seed: u64) -> Self {
        let limit = ConcurrencyLimit::new(now, slots);
        Self {
            speed: SlotSpeed::new(now),
            offered_work: OfferedWork::new(now),
            lane_rates: [LaneRate::new(now, limit.slots()); queue::LANE_COUNT],
            limit,
            durations: duration::Estimator::new(duration::LOCAL_ROWS),
            pace: pace::Tracker::new(),
            queue: Queue::new(),
            caller_usage: [1, 2, 3, 4, 5, 6]
                .map(|salt| fair_share::UsageSketch::new(now, seed.wrapping_add(salt))),
            key_usage: [7, 8, 9, 10, 11, 12]
                .map(|salt| fair_share::UsageSketch::new(now, seed.wrapping_add(salt))),
            team_shares: Default::default(),
            last_empty_at: [now; queue::LANE_COUNT],
            deferred_work: [DeferredWork::new(now); TIERS.len()],
            running: 0,
            running_long: 0,
            rate_limit: None,
            must_recheck_queue: false,
        }
    }

    /// Sets or removes the limit on the rate at which calls start. Call [`Admission::next`]
    /// afterwards, until it returns `None`: waiting calls may start, or can't start in time any
    /// more.
    pub fn set_rate_limit(&mut self, now: Instant, rate: Option<Rate>) {
        match (&mut self.rate_limit, rate) {
            (Some(limit), Some(rate)) => limit.set_rate(now, rate),
            (limit, rate) => *limit = rate.map(|rate| RateLimit::new(now, rate)),
        }
        self.must_recheck_queue = self.rate_limit.is_some();
    }

    /// Lets nested calls start before direct calls that can still wait ([`crate::precedence`]).
    #[must_use]
    pub fn with_nested_first(mut self) -> Self {
        self.queue.set_nested_first();
        self
    }

    /// Updates the number of slots that the backend server advertises.
    pub fn set_advertised_slots(&mut self, slots: u16) {
        self.limit.set_advertised(slots);
    }

    /// Records the pace that the backend server reports.
    pub fn record_pace(&mut self, now: Instant, pace: Percent) {
        self.pace.record(now, pace);
    }

    /// Forgets the pace, which is that of a former process.
    pub fn reset_pace(&mut self) {
        self.pace = pace::Tracker::new();
    }

    /// Returns how long calls take now, in multiples of their usual duration; `None` if the backend
    /// server has not reported it lately.
    #[must_use]
    pub fn pace(&self, now: Instant) -> Option<f64> {
        self.pace.known(now)
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of calls that may run at once.
    #[must_use]
    pub fn slots(&self) -> f64 {
        self.limit.slots()
    }

    /// Returns the load, as running and waiting calls per slot; outbound proxies use it as a
    /// hint.
    #[must_use]
    pub fn load(&self) -> f64 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        (f64::from(self.running) + f64::from(waiting)) / self.limit.slots()
    }

    /// Decides whether an arriving call runs, waits or is refused.
    pub fn offer<R>(&mut self, now: Instant, request: &Request, rng: &mut R) -> Decision
    where
        R: Rng,
    {
        self.limit.end_probe(now);
        let entry = self.record_entry(now, request);
        if self.can_run(now, request, &entry) {
            self.last_empty_at[queue::lane_index(entry.tier, entry.long)] = now;
            self.charge(now, &entry, entry.cost);
            return Decision::Run(self.start(now, &entry));
        }
        if let Some(reason) = self.refusal_reason(now, request, &entry) {
            return Decision::Refuse(self.refuse(now, &entry, reason, rng));
        }
        let expires_at = now + duration_from_secs(max_queue_time(&entry));
        // Charged when the wait begins: otherwise a hot caller's burst would fill the queue before
        // any of it counts against the caller.
        self.charge(now, &entry, entry.cost);
        Decision::Wait(self.queue.push(Entry {
            start_by: entry.start_by.min(expires_at),
            ..entry
        }))
    }

    /// Returns the refusal that a call would get now, or `None` if the call would run or wait. The
    /// body of a call that is refused here need not be transferred.
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

    /// Predicts what would happen to a call that has not been sent to this node; the call is not
    /// charged to any caller or key.
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
                .map(|mean| duration_from_secs(mean * self.pace.get(now))),
            load: self.load(),
            pace: self.pace.known(now),
        }
    }

    /// Returns how long a call of `route` is expected to run.
    #[must_use]
    pub fn expected_duration(&self, route: u64) -> Duration {
        duration_from_secs(self.durations.expected(route))
    }

    /// Records that the caller and the key ask for work, and describes the call as a queue
    /// entry.
    fn record_entry(&mut self, now: Instant, request: &Request) -> Entry {
        let tier = tier_index(tier_of(now, request));
        let cells = [
            self.caller_usage[tier].record_request(now, request.caller),
            self.key_usage[tier].record_request(now, request.key),
        ];
        let entry = self.make_entry(now, request, cells);
        self.offered_work.record(now, entry.cost);
        if let Some(team) = entry.team {
            self.team_shares[tier].record_offer(now, team.name, entry.cost);
        }
        entry
    }

    /// Describes a call as a queue entry, with the latest time at which it may start.
    fn make_entry(&self, now: Instant, request: &Request, cells: [Cells; 2]) -> Entry {
        let cost = self.durations.expected(request.route) * self.pace.get(now);
        let left = time_left(now, request);
        let [caller, key] = cells;
        let tier = tier_of(now, request);
        let team = request.team.map(|name| {
            let (shares, rate) = (
                &self.team_shares[tier_index(tier)],
                self.tier_rate(now, tier, cost),
            );
            queue::Team {
                name,
                tier,
                is_above_share: shares.is_above_level(now, name, cost, rate),
            }
        });
        let entry = Entry {
            tier: if team.is_some_and(|team| team.is_above_share) {
                tier.above_share()
            } else {
                tier
            },
            caller,
            key,
            team,
            route: request.route,
            long: self.durations.is_long(request.route),
            cost,
            start_by: now + duration_from_secs((left - DEADLINE_MARGIN * cost).max(0.0)),
        };
        apply_target(now, request, entry)
    }

    /// Returns whether a call may run without waiting.
    ///
    /// A free slot is used whatever duration is expected: otherwise a backend server that was
    /// once slower than the deadlines would never again get a call to show that it has
    /// recovered.
    fn can_run(&self, now: Instant, request: &Request, entry: &Entry) -> bool {
        self.has_free_slot(now, entry.long)
            && self.token_wait(now).is_zero()
            && !self.queue.has_kind(entry.long)
            && time_left(now, request) > 0.0
    }

    /// Returns the reason to refuse a call that would have to wait, or `None` if it may wait.
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

    /// Records the end of a call.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a ticket is used up, so that no call can end twice"
    )]
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        let Ticket {
            tier,
            caller,
            key,
            team,
            route,
            long,
            cost,
            started,
            pace,
            running,
        } = ticket;
        self.running -= 1;
        self.running_long -= u32::from(long);
        let took = now.saturating_duration_since(started);
        let slowdown = match outcome {
            Outcome::Done => {
                let light = self.limit.is_light(running);
                let usual = self.pace.at_usual_pace(pace, took);
                if let Some(mean) = self.durations.route_mean(route) {
                    self.pace.learn(pace, usual, mean);
                }
                self.durations.record(route, usual, light)
            }
            Outcome::Shed | Outcome::Failed => None,
        };
        self.limit.record(now, running, outcome, slowdown);
        self.speed.finish(now, started, cost);
        // Replaces the expected duration, charged when the call was accepted, by the actual one.
        let excess = took.as_secs_f64() - cost;
        self.caller_usage[tier_index(tier)].charge(now, caller, excess);
        self.key_usage[tier_index(tier)].charge(now, key, excess);
        if let Some(team) = team {
            self.team_shares[tier_index(team.tier)].charge(now, team.name, excess);
        }
    }

    /// Returns the next waiting call that starts or is refused now. Call this after each
    /// [`Admission::finish`] and at [`Admission::wake_at`], until it returns `None`.
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
        if let Some((key, entry)) = self.pop_unservable(now) {
            return Some(self.refuse_waiting(now, key, &entry, Reason::RateLimit, rng));
        }
        if !self.has_free_slot(now, false) || !self.token_wait(now).is_zero() {
            return None;
        }
        let (key, entry) = self.queue.pop(now, self.has_free_slot(now, true))?;
        self.lane_rates[queue::lane_index(entry.tier, entry.long)].record_served(now, entry.cost);
        Some(Next::Run(key, self.start(now, &entry)))
    }

    /// Removes a waiting call that can't start in time at the rate that the backend server takes
    /// now. At the rate of before, it could.
    fn pop_unservable(&mut self, now: Instant) -> Option<(queue::Key, Entry)> {
        if !self.must_recheck_queue {
            return None;
        }
        let from = now + self.token_wait(now);
        let found = self.queue.pop_unservable(from, self.service_rate(now));
        self.must_recheck_queue = found.is_some();
        found
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
        self.charge(now, entry, -entry.cost);
        Next::Refuse(key, self.refuse(now, entry, reason, rng))
    }

    /// Returns when [`Admission::next`] must be called even if no call finishes before: when a
    /// waiting call must be given up, or when a probe of the limit ends or the rate limit allows the
    /// next call, and waiting calls may start. Returns `None` if no call waits.
    #[must_use]
    pub fn wake_at(&mut self, now: Instant) -> Option<Instant> {
        let expires_at = self.queue.wake_at()?;
        let probe_ends_at = self.limit.probe_ends_at();
        let token_wait = Some(self.token_wait(now)).filter(|wait| !wait.is_zero());
        let token_at = token_wait.map(|wait| now + wait);
        let earlier = probe_ends_at.into_iter().chain(token_at).min();
        Some(earlier.map_or(expires_at, |at| at.min(expires_at)))
    }

    /// Removes a waiting call that nobody waits for any more; returns whether it was waiting.
    pub fn withdraw(&mut self, now: Instant, key: queue::Key) -> bool {
        let Some(entry) = self.queue.remove(key) else {
            return false;
        };
        self.charge(now, &entry, -entry.cost);
        true
    }

    fn has_free_slot(&self, now: Instant, long: bool) -> bool {
        let slots = self.limit.slots();
        let max_running = if long {
            slots - self.short_call_reserve(now)
        } else {
            slots
        };
        f64::from(self.running) < slots && (!long || f64::from(self.running_long) < max_running)
    }

    /// Returns the number of slots that long jobs may not take.
    ///
    /// It is at most the number of slots that short calls would keep busy. A few calls of a
    /// millisecond make calls of ordinary length look long; with a full reserve, two of six slots
    /// stood idle while such calls were refused.
    fn short_call_reserve(&self, now: Instant) -> f64 {
        let most = (self.limit.slots() * SHORT_CALL_RESERVE).floor();
        let long = self.durations.long_duration();
        let work = self.offered_work.shorter_than(now, long);
        // The square root covers the variation of the number of calls that run at once.
        (work + work.sqrt()).round().min(most)
    }

    /// Returns the time until the rate limit allows a call to start.
    fn token_wait(&self, now: Instant) -> Duration {
        let limit = self.rate_limit.as_ref();
        limit.map_or(Duration::ZERO, |limit| limit.wait(now))
    }

    fn start(&mut self, now: Instant, entry: &Entry) -> Ticket {
        if let Some(limit) = &mut self.rate_limit {
            limit.take(now);
        }
        self.running += 1;
        self.running_long += u32::from(entry.long);
        self.speed.start(now, entry.cost);
        Ticket {
            tier: entry.tier,
            caller: entry.caller,
            key: entry.key,
            team: entry.team,
            route: entry.route,
            long: entry.long,
            cost: entry.cost,
            started: now,
            pace: self.pace.start(now),
            running: self.running,
        }
    }

    /// Predicts the wait in seconds from the share of the slots that the lane of the call got
    /// recently. The calls queued now do not suffice for this: commits that arrive after a look-up
    /// delay it as well.
    fn predict_wait(&self, now: Instant, entry: &Entry) -> f64 {
        let work = self
            .queue
            .work_ahead(entry.tier, entry.long, entry.start_by);
        // The call whose slot becomes free next is on average half finished.
        let mean = self.durations.overall_mean() * self.pace.get(now);
        let slot = mean / 2.0 / self.slot_rate(now);
        let start = if self.rate_limit.is_some() && self.has_free_slot(now, entry.long) {
            self.token_wait(now).as_secs_f64()
        } else {
            slot.max(self.token_wait(now).as_secs_f64())
        };
        start + work / self.lane_rate(now, entry)
    }

    fn lane_rate(&self, now: Instant, entry: &Entry) -> f64 {
        let total = self.service_rate(now);
        let min_rate = total * self.queue.min_share(entry.tier, entry.long);
        let lane = queue::lane_index(entry.tier, entry.long);
        let rate = self.lane_rates[lane].get(now, entry.cost).max(min_rate);
        // The measured rate falls only as calls are served, and would promise waits that are too
        // short after a rate limit was named.
        if self.is_rate_limited(now) {
            rate.min(total)
        } else {
            rate
        }
    }

    /// Returns the slot-seconds of calls that can be served per second.
    fn service_rate(&self, now: Instant) -> f64 {
        let rate = self.slot_rate(now);
        self.limited_rate(now)
            .map_or(rate, |limited| limited.min(rate))
    }

    /// Returns the slot-seconds per second that the slots can serve.
    fn slot_rate(&self, now: Instant) -> f64 {
        self.limit.slots() * self.speed.get(now)
    }

    /// Returns the slot-seconds per second of calls of average duration at the rate limit.
    fn limited_rate(&self, now: Instant) -> Option<f64> {
        let limit = self.rate_limit.as_ref()?;
        Some(limit.rate() * self.durations.overall_mean() * self.pace.get(now))
    }

    /// Returns whether the rate limit allows fewer calls than the slots can serve.
    fn is_rate_limited(&self, now: Instant) -> bool {
        self.limited_rate(now)
            .is_some_and(|limited| limited < self.slot_rate(now))
    }

    /// Returns the longest predicted wait, in seconds, with which a call is still queued.
    fn max_wait(&mut self, now: Instant, entry: &Entry, has_target: bool) -> f64 {
        let tier = tier_index(entry.tier);
        let acceptable = acceptable_wait(entry);
        let lane = queue::lane_index(entry.tier, entry.long);
        if !self.queue.has_lane(entry.tier, entry.long) {
            self.last_empty_at[lane] = now;
        }
        let is_standing =
            now.saturating_duration_since(self.last_empty_at[lane]) > STANDING_INTERVAL;
        let bound = if is_standing {
            acceptable
        } else {
            acceptable * BURST_FACTOR
        };
        let slack = entry.start_by.saturating_duration_since(now).as_secs_f64();
        let bound = if has_target { slack } else { bound };
        let key = self.key_usage[tier].wait_factor(now, entry.key, entry.cost);
        // Callers compete within their team only: a caller of a large team may send more than all of
        // a small one.
        let is_within_share = entry.team.is_some_and(|team| !team.is_above_share);
        let caller = if is_within_share {
            1.0
        } else {
            self.caller_usage[tier].wait_factor(now, entry.caller, entry.cost)
        };
        bound * caller.min(key)
    }

    /// Returns the slot-seconds per second that a tier gets, for calls of `cost`.
    fn tier_rate(&self, now: Instant, tier: Tier, cost: f64) -> f64 {
        let total = self.service_rate(now);
        let rates = [false, true].map(|long| {
            let min_rate = total * self.queue.min_share(tier, long);
            let lane = queue::lane_index(tier, long);
            self.lane_rates[lane].get(now, cost).max(min_rate)
        });
        rates.iter().sum::<f64>().min(total)
    }

    fn charge(&mut self, now: Instant, entry: &Entry, work: f64) {
        let tier = tier_index(entry.tier);
        self.caller_usage[tier].charge(now, entry.caller, work);
        self.key_usage[tier].charge(now, entry.key, work);
        if let Some(team) = entry.team {
            self.team_shares[tier_index(team.tier)].charge(now, team.name, work);
        }
    }

    /// Refuses a call, with a Retry-After from the measured service rate.
    ///
    /// All refused callers are assumed to come back, so each is sent to the end of a virtual
    /// queue of the work refused before. If Retry-After covered only the real, short queue, all
    /// of them would be back within milliseconds.
    fn refuse<R>(&mut self, now: Instant, entry: &Entry, reason: Reason, rng: &mut R) -> Refusal
    where
        R: Rng,
    {
        let reason = if self.is_rate_limited(now) {
            Reason::RateLimit
        } else {
            reason
        };
        if let (Reason::Full, Some(team)) = (reason, entry.team)
            && team.is_above_share
        {
            // The work of this team must not delay the return of callers of other teams.
            let rate = self.tier_rate(now, team.tier, entry.cost);
            let shares = &self.team_shares[tier_index(team.tier)];
            let wait = shares.time_to_level(now, team.name, entry.cost, rate);
            return Refusal {
                reason: Reason::TeamShare,
                retry_after: backoff::add_jitter(wait, rng),
            };
        }
        let rate = self.lane_rate(now, entry);
        let deferred = &mut self.deferred_work[tier_index(entry.tier)];
        let wait = deferred.add(now, entry.cost, rate);
        Refusal {
            reason,
            retry_after: backoff::add_jitter(duration_from_secs(wait), rng),
        }
    }
}

/// Returns the scheduling tier of a call: the tier of its class, unless the call is nested or
/// overdue.
///
/// Nested calls are made by the backend servers of one service to another service, and both
/// services may be at their limits. If a nested call were queued in the tier of its own class, it
/// would wait behind the direct calls of the service that it is made to. A nested call that is
/// refused fails its parent and wastes the slot-seconds that the parent has used: a quarter of all
/// runs at 1.3 times the capacity. Nested calls other than commits therefore have tiers of their
/// own, by the class of the parent. The tier for parents that are refreshes has the same weight as
/// the tier of direct look-ups, so that neither crowds out the other; the tier for other parents
/// has three times that weight. Both tiers ignore latency targets, as a late answer is better than
/// a failed parent.
///
/// Overdue calls arise in a lasting overload, when refused callers come back after their latency
/// target. Without a separate tier, each overdue call takes a slot from a fresh call, which is then
/// late as well: four in ten answers were late. A late answer is worth a fraction of a timely one,
/// whatever its class, and a slot can serve only one of the two calls.
pub(crate) fn tier_of(now: Instant, request: &Request) -> Tier {
    let is_overdue = request.target.is_some_and(|target| target <= now);
    match (request.class, request.parent_class) {
        // Commits never sink to the last tier: an overdue commit is scheduled like a look-up.
        (Class::Commit, None) if is_overdue => Tier::Lookup,
        (Class::Commit, _) => Tier::Commit,
        (_, Some(Class::Refresh)) => Tier::NestedRefresh,
        (_, Some(Class::Commit | Class::Lookup)) => Tier::Nested,
        (_, None) if is_overdue => Tier::Overdue,
        (Class::Lookup, None) => Tier::Lookup,
        (Class::Refresh, None) => Tier::Refresh,
    }
}

/// Moves the latest start of a call to an earlier time, so that the answer meets the latency
/// target.
///
/// This matters in a lasting overload of calls whose answers lose most of their value some time
/// before the deadline. If only the deadline counted, the queue would grow until all calls are
/// answered just before their deadlines: as many calls would be served, nearly all of them late. It
/// is better to refuse a call that could only be answered late, so that its caller comes back, and
/// to give the slot to a call that is still in time. Commits keep waiting, as a late commit is
/// better than a lost one. Overdue calls wait for a slot that no other call needs.
fn apply_target(now: Instant, request: &Request, entry: Entry) -> Entry {
    if !entry.tier.uses_target() {
        return entry;
    }
    let Some(target) = request.target.filter(|target| *target > now) else {
        return entry;
    };
    let left = target.saturating_duration_since(now).as_secs_f64();
    let slack = (left - TARGET_MARGIN * entry.cost).max(MIN_SLACK_FACTOR * entry.cost);
    Entry {
        start_by: entry.start_by.min(now + duration_from_secs(slack)),
        ..entry
    }
}

/// Returns the acceptable queue wait for a call, in seconds.
fn acceptable_wait(entry: &Entry) -> f64 {
    (ACCEPTABLE_WAIT_FACTORS[tier_index(entry.tier)] * entry.cost).max(MIN_ACCEPTABLE_WAIT)
}

/// Returns the longest time that a call may spend in the queue, even if its deadline is later.
///
/// The time is shorter for overdue calls, which get only the slots that fresh calls leave. In an
/// overload whose refused callers come back late, an overdue call would otherwise wait in vain
/// until its deadline, behind the fresh calls that keep arriving. An overdue call that has got no
/// slot within the shorter time is refused, so that its caller knows.
fn max_queue_time(entry: &Entry) -> f64 {
    let factor = if entry.tier == Tier::Overdue {
        1.0
    } else {
        MAX_WAIT_FACTOR
    };
    factor * BURST_FACTOR * acceptable_wait(entry)
}

/// Returns the seconds until the call's deadline.
fn time_left(now: Instant, request: &Request) -> f64 {
    let left = request.deadline.saturating_duration_since(now);
    left.as_secs_f64()
}

pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}
