//! Which requests' bodies come in over a VM's link, and in what order.
//!
//! *Load pattern:* uploads that are more bytes than the link of their backend
//! server's VM carries, while its slots are idle, beside small calls with short
//! deadlines. *Without it* every outbound proxy sends its bodies at once: megabytes
//! stand in front of the link, small calls wait behind them for seconds (5 in 100
//! were answered in time), and the uploads themselves are whole after their
//! deadlines. *Grounds:* the receiver is the one that knows all who send to it,
//! so it asks for bodies piece by piece, as in receiver-driven transports (`pHost`,
//! Gao et al. 2015; `Homa`, Montazeri et al. 2018). What has been asked for and
//! has not come is kept at a few milliseconds of the link, so that the queue in
//! front of it is never longer; a body that could not be whole in time is refused
//! before a byte of it is sent, as a call is at the slots
//! (see [`crate::admission`]).

use crate::admission::{Reason, Refusal, Request, duration_from_secs, tier_of};
use crate::backoff;
use crate::fair_share::Cells;
use crate::queue::{self, Entry, Queue, TIERS, tier_index};
use crate::throughput::DeferredWork;
use rand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time's worth of the link that may be asked for and not have come: several times the
/// way there and back within a region with a sender that wakes late (1 ms and some
/// ms on a tenth of a core), and a twelfth of the shortest deadlines seen, 250 ms.
const OUTSTANDING_SECONDS: f64 = 0.02;

/// Bounds of what may be asked for and not have come, in bytes: two small pieces,
/// and the window of the bodies that nobody bounds by their link.
const OUTSTANDING_BYTES: (f64, f64) = (8_192.0, 262_144.0);

/// Pieces that fit into what may be asked for: one that comes makes room for the next.
const MAX_CHUNKS: u64 = 4;

/// Pieces that may be asked of one body at once. The one whose turn it is goes nearly as
/// fast as the link, as bodies that share it evenly are all late together; what is left
/// keeps the link in use while a sender is slow.
const MAX_CHUNKS_OF_BODY: u64 = 3;

/// Bodies that come in at once: a sender that is slow must not leave the link idle,
/// and each further body only makes all of them late together.
const MAX_ACTIVE: usize = 4;

/// Time after which what was asked for counts as lost: its sender is gone or held up,
/// and would keep the others from the link. A healthy one answers within 20 ms.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// Time over which the rate that is seen is averaged: some dozens of bodies at most.
const RATE_DECAY: f64 = 2.0;

/// Time at the rate that was told with which an intake starts.
const RATE_PRIOR: f64 = 0.2;

/// Share of the rate that was told under which the rate seen is not believed: senders
/// that are all slow look like a slow link, and asking them for less would make it so.
const MIN_RATE_SHARE: f64 = 0.1;

/// Times what a call is expected to take that must be left after its body, until its
/// target and until its deadline: as for calls that wait for a slot.
const MARGINS: (f64, f64) = (1.3, 1.5);

/// Least wait, in times of the call with its body, that any may begin with.
const MIN_SLACK: f64 = 0.25;

/// Bodies of mean length in front of a further one at which the link counts as full.
const FULL_BODIES: f64 = 6.0;

/// Weight of a further length in the mean, which is of the last sixteen or so.
const LENGTH_WEIGHT: f64 = 1.0 / 16.0;

/// LaneRate that is assumed of a link when nobody tells it, in bytes a second: 100 Mbit/s,
/// of which a tenth may be all that there is.
const DEFAULT_RATE: f64 = 12.5e6;

/// Names a body.
pub type Key = u64;

/// A body that asks to be sent.
#[derive(Debug, Clone, Copy)]
pub struct BodyOffer {
    /// The call that it is of.
    pub call: Request,
    /// Its length in bytes.
    pub length: u64,
    /// How long the call is expected to take once its body is there.
    pub run: Duration,
}

/// What becomes of a body that asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// So many further bytes of it are to be sent.
    Credit(Key, u32),
    /// It is given up, as it can't be whole in time any more.
    Refuse(Key, Refusal),
}

/// A body of which nothing was asked for yet.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    key: Key,
    length: u64,
}

/// A body that comes in.
#[derive(Debug, Clone, Copy)]
struct Active {
    key: Key,
    length: u64,
    /// Bytes that were not asked for.
    uncredited: u64,
    /// Bytes that were asked for and have not come.
    outstanding: u64,
    /// When some of it last came or was asked for.
    last_progress: Instant,
}

impl Active {
    fn is_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_progress) >= STALL_TIMEOUT
    }

    fn bytes(&self) -> u64 {
        self.uncredited + self.outstanding
    }
}

/// Bytes a second that come in while some are due.
#[derive(Debug, Clone, Copy)]
struct LinkRate {
    advertised: f64,
    bytes: f64,
    seconds: f64,
    /// Since when bytes are due, or when some last came.
    busy_since: Option<Instant>,
}

impl LinkRate {
    fn new(advertised: f64) -> Self {
        Self {
            advertised,
            bytes: advertised * RATE_PRIOR,
            seconds: RATE_PRIOR,
            busy_since: None,
        }
    }

    /// Takes in that bytes came, and whether more are due.
    fn record(&mut self, now: Instant, bytes: f64, more: bool) {
        let Some(since) = self.busy_since else {
            return;
        };
        let took = now.saturating_duration_since(since).as_secs_f64();
        let decay = (-took / RATE_DECAY).exp();
        self.bytes = self.bytes * decay + bytes;
        self.seconds = self.seconds * decay + took;
        self.busy_since = more.then_some(now);
    }

    fn get(&self) -> f64 {
        (self.bytes / self.seconds).clamp(self.advertised * MIN_RATE_SHARE, self.advertised)
    }
}

/// The bodies that come in over one VM's link.
#[derive(Debug)]
pub struct BodyScheduler {
    rate: LinkRate,
    queue: Queue,
    waiting: HashMap<queue::Key, Waiting>,
    active: Vec<Active>,
    deferred_work: [DeferredWork; TIERS.len()],
    mean_length: f64,
    /// Bytes of bodies that come in or are here.
    held: u64,
    max_held: u64,
    next_key: Key,
}

impl BodyScheduler {
    /// Makes the intake of a link of so many bytes a second, if that is known, for a VM
    /// that holds at most so many bytes of bodies.
    ///
    /// *Load pattern:* a burst of uploads for slots that are taken. *Without a bound* all
    /// bodies are here long before their slots, and the node outgrows its VM.
    #[must_use]
    pub fn new(now: Instant, rate: Option<f64>, max_held: u64) -> Self {
        Self {
            rate: LinkRate::new(rate.unwrap_or(DEFAULT_RATE)),
            queue: Queue::new(),
            waiting: HashMap::new(),
            active: Vec::new(),
            deferred_work: [DeferredWork::new(now); TIERS.len()],
            mean_length: 0.0,
            held: 0,
            max_held,
            next_key: 0,
        }
    }

    /// Gives the bytes a second that are reckoned with.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate.get()
    }

    /// Gives bodies that wait or come in over those that make the link count as full.
    #[must_use]
    pub fn load(&self) -> f64 {
        if self.mean_length < 1.0 {
            return 0.0;
        }
        let waiting: u64 = self.waiting.values().map(|body| body.length).sum();
        to_f64(waiting + self.active_bytes()) / (self.mean_length * FULL_BODIES)
    }

    /// Decides on a body that asks to be sent; [`BodyScheduler::next`] names what is to come of it.
    ///
    /// # Errors
    ///
    /// When it could not be whole in time.
    pub fn offer<R>(
        &mut self,
        now: Instant,
        body_offer: &BodyOffer,
        rng: &mut R,
    ) -> Result<Key, Refusal>
    where
        R: Rng,
    {
        self.mean_length += (to_f64(body_offer.length) - self.mean_length) * LENGTH_WEIGHT;
        let entry = self.make_entry(now, body_offer);
        let ahead = self
            .queue
            .work_ahead(entry.tier, entry.long, entry.start_by)
            + to_f64(self.active_bytes()) / self.rate();
        if now + duration_from_secs(ahead) > entry.start_by {
            let left = body_offer.call.deadline.saturating_duration_since(now);
            let needed = ahead + entry.cost + MARGINS.1 * body_offer.run.as_secs_f64();
            let reason = if needed > left.as_secs_f64() {
                Reason::Deadline
            } else {
                Reason::Full
            };
            return Err(self.refuse(now, &entry, reason, rng));
        }
        let key = self.next_key;
        self.next_key += 1;
        let position = self.queue.push(entry);
        let length = body_offer.length;
        self.waiting.insert(position, Waiting { key, length });
        Ok(key)
    }

    /// Gives what is to come of the bodies, one at a time: to be called until it gives
    /// none, after each of the other calls and at [`BodyScheduler::wake_at`].
    pub fn next<R>(&mut self, now: Instant, rng: &mut R) -> Option<Next>
    where
        R: Rng,
    {
        while let Some((position, entry)) = self.queue.expire(now) {
            let refusal = self.refuse(now, &entry, Reason::Deadline, rng);
            if let Some(body) = self.waiting.remove(&position) {
                return Some(Next::Refuse(body.key, refusal));
            }
        }
        loop {
            if let Some(next) = self.next_credit(now) {
                return Some(next);
            }
            if !self.activate_next(now) {
                return None;
            }
        }
    }

    /// Takes in that bytes of a body came.
    pub fn receive(&mut self, now: Instant, key: Key, bytes: u64) {
        let Some(body) = self.active.iter_mut().find(|body| body.key == key) else {
            return;
        };
        body.outstanding = body.outstanding.saturating_sub(bytes);
        body.last_progress = now;
        let is_whole = body.bytes() == 0;
        let more = self.active.iter().any(|body| body.outstanding > 0);
        self.rate.record(now, to_f64(bytes), more);
        if is_whole {
            self.stop_rate_if_idle();
            self.active.retain(|body| body.key != key);
        }
    }

    /// Takes in that a body of so many bytes, which came whole, is held no longer.
    pub fn release(&mut self, length: u64) {
        self.held = self.held.saturating_sub(length);
    }

    /// Forgets a body that nobody waits for any more and that is not whole.
    pub fn remove(&mut self, key: Key) {
        if let Some(position) = self.active.iter().position(|body| body.key == key) {
            let body = self.active.remove(position);
            self.release(body.length);
        }
        let position = self.waiting.iter().find(|(_, body)| body.key == key);
        if let Some(position) = position.map(|(position, _)| *position) {
            self.waiting.remove(&position);
            self.queue.remove(position);
        }
        self.stop_rate_if_idle();
    }

    /// Notes that the link carries nothing that was asked for, if it is so.
    fn stop_rate_if_idle(&mut self) {
        if self.active.iter().all(|body| body.outstanding == 0) {
            self.rate.busy_since = None;
        }
    }

    /// Tells whether more of a body is to come.
    #[must_use]
    pub fn is_pending(&self, key: Key) -> bool {
        self.active.iter().any(|body| body.key == key)
            || self.waiting.values().any(|body| body.key == key)
    }

    /// Gives when [`BodyScheduler::next`] is next worth a call, if nothing comes before.
    #[must_use]
    pub fn wake_at(&mut self, now: Instant) -> Option<Instant> {
        // What has stalled already waits for nothing that the time alone brings.
        let pending = self.active.iter().filter(|body| body.outstanding > 0);
        let stalls_at = pending
            .map(|body| body.last_progress + STALL_TIMEOUT)
            .filter(|at| *at > now)
            .min();
        let expires_at = self.queue.wake_at();
        stalls_at.into_iter().chain(expires_at).min()
    }

    /// Gives what is known of a body, with the latest moment at which it may begin to come.
    fn make_entry(&self, now: Instant, body_offer: &BodyOffer) -> Entry {
        let cost = to_f64(body_offer.length) / self.rate();
        let run = body_offer.run.as_secs_f64();
        let tier = tier_of(now, &body_offer.call);
        let until = |end: Instant, margin: f64| {
            let left = end.saturating_duration_since(now).as_secs_f64();
            left - cost - margin * run
        };
        let mut slack = until(body_offer.call.deadline, MARGINS.1);
        if let Some(target) = body_offer.call.target.filter(|_| tier.uses_target()) {
            let least = MIN_SLACK * (cost + run);
            slack = slack.min(until(target, MARGINS.0).max(least));
        }
        Entry {
            tier,
            caller: Cells::default(),
            key: Cells::default(),
            route: body_offer.call.route,
            long: false,
            cost,
            // One without any time left is refused unless nothing is before it.
            start_by: now + duration_from_secs(slack.max(0.0)),
        }
    }

    /// Asks for the next piece of the bodies that come in, the first of them first.
    fn next_credit(&mut self, now: Instant) -> Option<Next> {
        let chunk = self.chunk_size();
        let outstanding = self.outstanding_bytes(now);
        if outstanding + chunk > MAX_CHUNKS * chunk {
            return None;
        }
        let body = self.active.iter_mut().find(|body| {
            body.uncredited > 0
                && body.outstanding + chunk.min(body.uncredited) <= MAX_CHUNKS_OF_BODY * chunk
        })?;
        let bytes = chunk.min(body.uncredited);
        body.uncredited -= bytes;
        body.outstanding += bytes;
        body.last_progress = now;
        let key = body.key;
        if outstanding == 0 {
            self.rate.busy_since = Some(now);
        }
        Some(Next::Credit(key, u32::try_from(bytes).unwrap_or(u32::MAX)))
    }

    /// Lets the body come in whose turn it is; gives false when there is none, or no room.
    fn activate_next(&mut self, now: Instant) -> bool {
        let stalled = self.active.iter().filter(|body| body.is_stalled(now));
        if self.active.len() - stalled.count() >= MAX_ACTIVE {
            return false;
        }
        let chunk = self.chunk_size();
        if self.outstanding_bytes(now) + chunk > MAX_CHUNKS * chunk {
            return false;
        }
        // Which one is next is not known before: room for the longest is kept free.
        let longest = self.waiting.values().map(|body| body.length).max();
        if self.held > 0 && self.held + longest.unwrap_or(0) > self.max_held {
            return false;
        }
        let Some((position, _)) = self.queue.pop(false) else {
            return false;
        };
        let Some(body) = self.waiting.remove(&position) else {
            return true;
        };
        self.held += body.length;
        self.active.push(Active {
            key: body.key,
            length: body.length,
            uncredited: body.length,
            outstanding: 0,
            last_progress: now,
        });
        true
    }

    /// Gives the bytes that are asked for at once.
    fn chunk_size(&self) -> u64 {
        let ahead =
            (self.rate() * OUTSTANDING_SECONDS).clamp(OUTSTANDING_BYTES.0, OUTSTANDING_BYTES.1);
        to_u64(ahead) / MAX_CHUNKS
    }

    /// Gives the bytes that were asked for and are on their way.
    fn outstanding_bytes(&self, now: Instant) -> u64 {
        let active = self.active.iter().filter(|body| !body.is_stalled(now));
        active.map(|body| body.outstanding).sum()
    }

    fn active_bytes(&self) -> u64 {
        self.active.iter().map(Active::bytes).sum()
    }

    /// Refuses, with the time until the link has carried all that was refused before.
    fn refuse<R>(&mut self, now: Instant, entry: &Entry, reason: Reason, rng: &mut R) -> Refusal
    where
        R: Rng,
    {
        // Counted in seconds of the link, of which it carries one a second.
        let wait = self.deferred_work[tier_index(entry.tier)].add(now, entry.cost, 1.0);
        Refusal {
            reason,
            retry_after: backoff::add_jitter(duration_from_secs(wait), rng),
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "lengths of bodies stay far below 2^53"
)]
fn to_f64(bytes: u64) -> f64 {
    bytes as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded by the bytes that may be asked for"
)]
fn to_u64(bytes: f64) -> u64 {
    bytes as u64
}
