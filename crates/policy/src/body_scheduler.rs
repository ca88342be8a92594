//! Receiver-driven scheduling of request bodies: which bodies come in over a VM's link, and in
//! what order.
//!
//! The uploads to a backend server may exceed the capacity of its VM's link while its slots are
//! idle and small calls with short deadlines share the link. If every outbound proxy sends its
//! bodies at once, megabytes queue in front of the link, small calls wait behind these bodies for
//! seconds (5 in 100 were answered in time), and the uploads themselves are complete only after
//! their deadlines.
//!
//! Only the receiver knows all of its senders, so it requests bodies chunk by chunk, as in
//! receiver-driven transports (`pHost`, Gao et al. 2015; `Homa`, Montazeri et al. 2018). The
//! outstanding credit is kept at a few milliseconds of the link, which bounds the queue in
//! front of it. A body that could not be complete in time is refused before a byte of it is
//! sent, as calls are refused before they wait for a slot (see [`crate::admission`]).

use crate::admission::{Reason, Refusal, Request, duration_from_secs, tier_of};
use crate::backoff;
use crate::fair_share::Cells;
use crate::queue::{self, Entry, Queue, TIERS, tier_index};
use crate::throughput::DeferredWork;
use rand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Outstanding credit, as seconds of transfer at the rate of the link. This is several times the
/// sum of a round trip within a region (1 ms) and the delay of a sender that wakes late (some ms on
/// a tenth of a core), and a twelfth of the shortest deadlines seen, 250 ms.
const OUTSTANDING_SECONDS: f64 = 0.02;

/// Bounds of the outstanding credit, in bytes. At the lower bound a chunk has 2,048 bytes; the
/// upper bound is the window of bodies that aren't scheduled by their link.
const OUTSTANDING_BYTES_RANGE: (f64, f64) = (8_192.0, 262_144.0);

/// Maximum number of chunks outstanding on a link. A chunk is this fraction of the maximum
/// outstanding credit, so that the arrival of one chunk allows the next to be requested.
const MAX_OUTSTANDING_CHUNKS: u64 = 4;

/// Maximum number of chunks that one body may have outstanding. The first body proceeds at nearly
/// the rate of the link, because bodies that shared the link evenly would all be late together; the
/// rest of the credit keeps the link busy while a sender is slow.
const MAX_OUTSTANDING_CHUNKS_OF_BODY: u64 = 3;

/// Maximum number of bodies that are transferred at once: a slow sender must not leave the link
/// idle, but each further body only makes all of them later.
const MAX_ACTIVE_BODIES: usize = 4;

/// Time after which outstanding bytes count as lost: their sender is gone or delayed, and would
/// block the other senders. A healthy sender answers within 20 ms.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// Time constant, in seconds, over which the measured rate is averaged; it covers some dozens of
/// bodies at most.
const RATE_DECAY_TIME: f64 = 2.0;

/// Weight of the advertised rate at the start, as seconds of transfer at that rate.
const RATE_PRIOR_SECONDS: f64 = 0.2;

/// Lower bound of the measured rate, as a share of the advertised rate. If all senders are slow,
/// the link looks slow, and smaller credits would slow down the transfers in fact.
const MIN_RATE_SHARE: f64 = 0.1;

/// Time that must be left until the latency target and until the deadline, in this order, once the
/// body has arrived, as multiples of the expected run time. Calls that wait for a slot have such
/// margins as well.
const TARGET_AND_DEADLINE_MARGINS: (f64, f64) = (1.3, 1.5);

/// Minimum time for which a body may wait, however close its latency target is, as a multiple of
/// its transfer and run time.
const MIN_SLACK_FACTOR: f64 = 0.25;

/// Number of bodies of mean length, waiting or in transfer, at which the link counts as full.
const FULL_BODIES: f64 = 6.0;

/// Weight of a new length in the mean body length, which spans about the last sixteen bodies.
const LENGTH_WEIGHT: f64 = 1.0 / 16.0;

/// Rate assumed for a link of unknown rate, in bytes per second: 100 Mbit/s, of which as little as
/// a tenth may be available ([`MIN_RATE_SHARE`]).
const DEFAULT_LINK_RATE: f64 = 12.5e6;

/// Identifies an offered body within its scheduler.
pub type Key = u64;

/// A body that a sender offers.
#[derive(Debug, Clone, Copy)]
pub struct BodyOffer {
    /// The call that the body belongs to.
    pub call: Request,
    /// Length in bytes.
    pub length: u64,
    /// How long the call is expected to run once its body has arrived.
    pub run: Duration,
}

/// The next step for an offered body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The sender of this body may send this many more bytes.
    Credit(Key, u32),
    /// The body is given up, as it can't be complete in time any more.
    Refuse(Key, Refusal),
}

/// A body for which no credit has been given yet.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    key: Key,
    length: u64,
}

/// A body that is being transferred.
#[derive(Debug, Clone, Copy)]
struct Active {
    key: Key,
    length: u64,
    /// Bytes for which no credit has been given yet.
    uncredited: u64,
    /// Bytes for which credit was given and that have not arrived.
    outstanding: u64,
    /// When bytes last arrived or credit was last given.
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

/// Measured rate of the link, in bytes per second while bytes are outstanding.
#[derive(Debug, Clone, Copy)]
struct LinkRate {
    advertised: f64,
    /// Bytes that arrived in `seconds`; both decay with time.
    bytes: f64,
    /// Time in which bytes were outstanding.
    seconds: f64,
    /// When bytes became outstanding or last arrived; `None` while none are outstanding.
    busy_since: Option<Instant>,
}

impl LinkRate {
    fn new(advertised: f64) -> Self {
        Self {
            advertised,
            bytes: advertised * RATE_PRIOR_SECONDS,
            seconds: RATE_PRIOR_SECONDS,
            busy_since: None,
        }
    }

    /// Records that bytes arrived, and whether more are outstanding.
    fn record(&mut self, now: Instant, bytes: f64, more: bool) {
        let Some(since) = self.busy_since else {
            return;
        };
        let took = now.saturating_duration_since(since).as_secs_f64();
        let decay = (-took / RATE_DECAY_TIME).exp();
        self.bytes = self.bytes * decay + bytes;
        self.seconds = self.seconds * decay + took;
        self.busy_since = more.then_some(now);
    }

    fn get(&self) -> f64 {
        (self.bytes / self.seconds).clamp(self.advertised * MIN_RATE_SHARE, self.advertised)
    }
}

/// Schedules the bodies that come in over one VM's link.
#[derive(Debug)]
pub struct BodyScheduler {
    rate: LinkRate,
    queue: Queue,
    waiting: HashMap<queue::Key, Waiting>,
    active: Vec<Active>,
    deferred_work: [DeferredWork; TIERS.len()],
    mean_length: f64,
    /// Bytes of the bodies that are being transferred or have arrived and not been released.
    held_bytes: u64,
    max_held_bytes: u64,
    next_key: Key,
}

impl BodyScheduler {
    /// Creates the scheduler of a link with this rate in bytes per second, if known, for a VM that
    /// holds at most `max_held_bytes` bytes of bodies.
    ///
    /// Without the limit on held bytes, all bodies of a burst of uploads would arrive long before
    /// slots are free to run them, and the node would exceed the memory of its VM.
    #[must_use]
    pub fn new(now: Instant, rate: Option<f64>, max_held_bytes: u64) -> Self {
        Self {
            rate: LinkRate::new(rate.unwrap_or(DEFAULT_LINK_RATE)),
            queue: Queue::new(),
            waiting: HashMap::new(),
            active: Vec::new(),
            deferred_work: [DeferredWork::new(now); TIERS.len()],
            mean_length: 0.0,
            held_bytes: 0,
            max_held_bytes,
            next_key: 0,
        }
    }

    /// Returns the assumed rate of the link in bytes per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate.get()
    }

    /// Returns the load: bytes of waiting and active bodies over those at which the link counts
    /// as full.
    #[must_use]
    pub fn load(&self) -> f64 {
        if self.mean_length < 1.0 {
            return 0.0;
        }
        let waiting: u64 = self.waiting.values().map(|body| body.length).sum();
        to_f64(waiting + self.active_bytes()) / (self.mean_length * FULL_BODIES)
    }

    /// Accepts or refuses an offered body; [`BodyScheduler::next`] returns the steps of an
    /// accepted one.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body could not be complete in time.
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
            let needed =
                ahead + entry.cost + TARGET_AND_DEADLINE_MARGINS.1 * body_offer.run.as_secs_f64();
            let reason = if needed > left.as_secs_f64() {
                Reason::Deadline
            } else {
                Reason::Full
            };
            return Err(self.refuse(now, &entry, reason, rng));
        }
        let key = self.next_key;
        self.next_key += 1;
        let queue_key = self.queue.push(entry);
        let length = body_offer.length;
        self.waiting.insert(queue_key, Waiting { key, length });
        Ok(key)
    }

    /// Returns the next step for any of the bodies. Call this after each of the other calls and
    /// at [`BodyScheduler::wake_at`], until it returns `None`.
    pub fn next<R>(&mut self, now: Instant, rng: &mut R) -> Option<Next>
    where
        R: Rng,
    {
        while let Some((queue_key, entry)) = self.queue.expire(now) {
            let refusal = self.refuse(now, &entry, Reason::Deadline, rng);
            if let Some(body) = self.waiting.remove(&queue_key) {
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

    /// Records that bytes of a body arrived.
    pub fn receive(&mut self, now: Instant, key: Key, bytes: u64) {
        let Some(body) = self.active.iter_mut().find(|body| body.key == key) else {
            return;
        };
        body.outstanding = body.outstanding.saturating_sub(bytes);
        body.last_progress = now;
        let is_complete = body.bytes() == 0;
        let more = self.active.iter().any(|body| body.outstanding > 0);
        self.rate.record(now, to_f64(bytes), more);
        if is_complete {
            self.stop_rate_if_idle();
            self.active.retain(|body| body.key != key);
        }
    }

    /// Records that a body of this length, which had arrived completely, is no longer held.
    pub fn release(&mut self, length: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(length);
    }

    /// Removes an incomplete body that nobody waits for any more.
    pub fn remove(&mut self, key: Key) {
        if let Some(position) = self.active.iter().position(|body| body.key == key) {
            let body = self.active.remove(position);
            self.release(body.length);
        }
        let queue_key = self.waiting.iter().find(|(_, body)| body.key == key);
        if let Some(queue_key) = queue_key.map(|(queue_key, _)| *queue_key) {
            self.waiting.remove(&queue_key);
            self.queue.remove(queue_key);
        }
        self.stop_rate_if_idle();
    }

    /// Stops measuring the rate if no bytes are outstanding.
    fn stop_rate_if_idle(&mut self) {
        if self.active.iter().all(|body| body.outstanding == 0) {
            self.rate.busy_since = None;
        }
    }

    /// Returns whether more of a body is to come.
    #[must_use]
    pub fn is_pending(&self, key: Key) -> bool {
        self.active.iter().any(|body| body.key == key)
            || self.waiting.values().any(|body| body.key == key)
    }

    /// Returns when [`BodyScheduler::next`] should be called again if nothing happens before.
    #[must_use]
    pub fn wake_at(&mut self, now: Instant) -> Option<Instant> {
        // Bodies that have stalled already need no further wake-up.
        let pending = self.active.iter().filter(|body| body.outstanding > 0);
        let stalls_at = pending
            .map(|body| body.last_progress + STALL_TIMEOUT)
            .filter(|at| *at > now)
            .min();
        let expires_at = self.queue.wake_at();
        stalls_at.into_iter().chain(expires_at).min()
    }

    /// Describes a body as a queue entry, with the latest time at which its transfer may begin.
    fn make_entry(&self, now: Instant, body_offer: &BodyOffer) -> Entry {
        let cost = to_f64(body_offer.length) / self.rate();
        let run = body_offer.run.as_secs_f64();
        let tier = tier_of(now, &body_offer.call);
        let until = |end: Instant, margin: f64| {
            let left = end.saturating_duration_since(now).as_secs_f64();
            left - cost - margin * run
        };
        let mut slack = until(body_offer.call.deadline, TARGET_AND_DEADLINE_MARGINS.1);
        if let Some(target) = body_offer.call.target.filter(|_| tier.uses_target()) {
            let least = MIN_SLACK_FACTOR * (cost + run);
            slack = slack.min(until(target, TARGET_AND_DEADLINE_MARGINS.0).max(least));
        }
        Entry {
            tier,
            caller: Cells::default(),
            key: Cells::default(),
            team: None,
            route: body_offer.call.route,
            long: false,
            cost,
            // A body without any time left is refused unless nothing is ahead of it.
            start_by: now + duration_from_secs(slack.max(0.0)),
        }
    }

    /// Gives credit for the next chunk to the first active body that may have one.
    fn next_credit(&mut self, now: Instant) -> Option<Next> {
        let chunk = self.chunk_size();
        let outstanding = self.outstanding_bytes(now);
        if outstanding + chunk > MAX_OUTSTANDING_CHUNKS * chunk {
            return None;
        }
        let body = self.active.iter_mut().find(|body| {
            body.uncredited > 0
                && body.outstanding + chunk.min(body.uncredited)
                    <= MAX_OUTSTANDING_CHUNKS_OF_BODY * chunk
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

    /// Activates the next waiting body; returns false if no body waits or there is no room for
    /// another.
    fn activate_next(&mut self, now: Instant) -> bool {
        let stalled = self.active.iter().filter(|body| body.is_stalled(now));
        if self.active.len() - stalled.count() >= MAX_ACTIVE_BODIES {
            return false;
        }
        let chunk = self.chunk_size();
        if self.outstanding_bytes(now) + chunk > MAX_OUTSTANDING_CHUNKS * chunk {
            return false;
        }
        // Which body is next isn't known yet, so room is kept for the longest.
        let longest = self.waiting.values().map(|body| body.length).max();
        if self.held_bytes > 0 && self.held_bytes + longest.unwrap_or(0) > self.max_held_bytes {
            return false;
        }
        let Some((queue_key, _)) = self.queue.pop(now, false) else {
            return false;
        };
        let Some(body) = self.waiting.remove(&queue_key) else {
            return true;
        };
        self.held_bytes += body.length;
        self.active.push(Active {
            key: body.key,
            length: body.length,
            uncredited: body.length,
            outstanding: 0,
            last_progress: now,
        });
        true
    }

    /// Returns the largest number of bytes that one credit allows.
    fn chunk_size(&self) -> u64 {
        let ahead = (self.rate() * OUTSTANDING_SECONDS)
            .clamp(OUTSTANDING_BYTES_RANGE.0, OUTSTANDING_BYTES_RANGE.1);
        to_u64(ahead) / MAX_OUTSTANDING_CHUNKS
    }

    /// Returns the outstanding bytes, except for those of stalled bodies.
    fn outstanding_bytes(&self, now: Instant) -> u64 {
        let active = self.active.iter().filter(|body| !body.is_stalled(now));
        active.map(|body| body.outstanding).sum()
    }

    fn active_bytes(&self) -> u64 {
        self.active.iter().map(Active::bytes).sum()
    }

    /// Refuses a body; its Retry-After is the time until the link has carried all bodies refused
    /// before.
    fn refuse<R>(&mut self, now: Instant, entry: &Entry, reason: Reason, rng: &mut R) -> Refusal
    where
        R: Rng,
    {
        // The cost is in seconds of transfer, so the link works off a cost of 1.0 per second.
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
    reason = "bounded by the outstanding credit"
)]
fn to_u64(bytes: f64) -> u64 {
    bytes as u64
}
