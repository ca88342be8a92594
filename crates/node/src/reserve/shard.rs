//! Reservations of one shard, with group commit.
//!
//! Claims and outcomes are collected while a record is being written, and each
//! record contains everything that has arrived since the previous one. The number
//! of writes to the platform therefore depends on time and the number of shards,
//! not on the number of calls. Without group commit, every keyed call would cost
//! a write, and the whole fleet could handle only a few hundred per second.

use crate::millis::whole_ms;
use crate::reserve::journal::ShardLog;
use call::reserve::{Claim, Entry, Key, MAX_SHARD_KEYS, Reply, SHARD_COUNT};
use clock::Clock;
use rand::Rng;
use std::collections::HashSet;
use std::time::Duration;
use store::{Error, Journal, Store};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Records per second that all shards together may write: a third of the several
/// hundred writes that the platform handles, since each record is also removed
/// later.
const RECORDS_PER_SECOND: u64 = 120;

/// Time between two records of one shard under steady load.
const COMMIT_INTERVAL: Duration =
    Duration::from_millis(SHARD_COUNT as u64 * 1000 / RECORDS_PER_SECOND);

/// Number of records that a shard may write in a burst while it is below the steady rate.
///
/// Keyed calls rarely arrive evenly; without a burst, one call in three would wait for no reason. A
/// burst of all shards is 64 records, which the platform handles within a fraction of a second.
const COMMIT_BURST: u32 = 4;

/// Maximum delay of completions and releases that no call waits for.
const MAX_OUTCOME_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of claims that wait for a record; further ones are refused.
const MAX_PENDING_CLAIMS: usize = 4_096;

/// Maximum number of completions and releases kept during an outage of the
/// platform; beyond that, the oldest are dropped.
const MAX_PENDING_OUTCOMES: usize = 4_096;

/// Upper bounds of the backoff delay: `BACKOFF_BASE` after the first failure, `BACKOFF_CAP` after
/// many.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
const BACKOFF_CAP: Duration = Duration::from_secs(2);

/// Time without commands after which a shard's table is dropped from memory.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum number of consecutive attempts to write a record while other nodes
/// write to the same shard.
const MAX_WRITE_ATTEMPTS: u32 = 8;

/// Delay that a caller is told to wait when the shard is full.
const FULL_DELAY: Duration = Duration::from_mins(1);

/// A command to a shard's task.
#[derive(Debug)]
pub(crate) enum Command {
    /// A call claims its key.
    Claim(Claim, oneshot::Sender<Reply>),
    Outcome(Outcome),
    /// Signals the channel once no claims or outcomes are pending.
    Flush(oneshot::Sender<()>),
}

/// A completion or a release.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) entry: Entry,
    /// Signalled once the outcome is on the platform.
    pub(crate) written: Option<oneshot::Sender<()>>,
    /// Whether a caller waits until the outcome is on the platform. Others are collected: the
    /// release of a claim whose reply was lost must not overtake the record of that claim.
    pub(crate) is_awaited: bool,
}

impl Outcome {
    /// Creates an outcome that may be written with the next record.
    pub(crate) fn new(entry: Entry) -> Self {
        Self {
            entry,
            written: None,
            is_awaited: false,
        }
    }

    /// Creates an outcome that a caller waits for, and the channel to wait on.
    pub(crate) fn awaited(entry: Entry) -> (Self, oneshot::Receiver<()>) {
        let (written, receipt) = oneshot::channel();
        let outcome = Self {
            entry,
            written: Some(written),
            is_awaited: true,
        };
        (outcome, receipt)
    }
}

/// A claim that waits for a record.
#[derive(Debug)]
struct PendingClaim {
    claim: Claim,
    reply: oneshot::Sender<Reply>,
}

impl PendingClaim {
    /// Sends the reply; returns `false` if nothing waits for it any longer.
    fn send_reply(self, reply: Reply) -> bool {
        self.reply.send(reply).is_ok()
    }
}

/// State of one shard on this node.
#[derive(Debug)]
struct Shard<S, C> {
    log: ShardLog<S, C>,
    claims: Vec<PendingClaim>,
    outcomes: Vec<Outcome>,
    /// Keys with a pending completion or release.
    outcome_keys: HashSet<Key>,
    /// When the oldest pending outcome arrived.
    outcomes_since: Instant,
    flushes: Vec<oneshot::Sender<()>>,
    /// Earliest time of the next record at the steady rate; the records of a burst may be written
    /// earlier.
    next_paced: Instant,
    last_used: Instant,
    backoff_until: Option<Instant>,
    failures: u32,
}

/// Starts the task of the shard whose records are in `journal`.
pub(crate) fn spawn<S, C>(journal: Journal<S, C>, clock: C) -> mpsc::Sender<Command>
where
    S: Store,
    C: Clock,
{
    let (sender, commands) = mpsc::channel(MAX_PENDING_CLAIMS);
    tokio::spawn(run(Shard::new(ShardLog::new(journal, clock)), commands));
    sender
}

async fn run<S, C>(mut shard: Shard<S, C>, mut commands: mpsc::Receiver<Command>)
where
    S: Store,
    C: Clock,
{
    loop {
        let wake = shard.next_wake();
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => shard.handle(command),
                None => return,
            },
            () = tokio::time::sleep_until(wake) => {}
        }
        while let Ok(command) = commands.try_recv() {
            shard.handle(command);
        }
        if shard.is_due() {
            shard.commit().await;
        } else if shard.is_idle() {
            shard.log.unload();
        }
    }
}

impl<S, C> Shard<S, C>
where
    S: Store,
    C: Clock,
{
    fn new(log: ShardLog<S, C>) -> Self {
        let now = Instant::now();
        Self {
            log,
            claims: Vec::new(),
            outcomes: Vec::new(),
            outcome_keys: HashSet::new(),
            outcomes_since: now,
            flushes: Vec::new(),
            next_paced: now,
            last_used: now,
            backoff_until: None,
            failures: 0,
        }
    }

    fn handle(&mut self, command: Command) {
        self.last_used = Instant::now();
        match command {
            Command::Claim(claim, reply) => self.handle_claim(PendingClaim { claim, reply }),
            Command::Outcome(outcome) => self.add_outcome(outcome),
            Command::Flush(done) => {
                self.flushes.push(done);
                self.notify_flushed();
            }
        }
    }

    fn notify_flushed(&mut self) {
        if self.outcomes.is_empty() && self.claims.is_empty() {
            for done in self.flushes.drain(..) {
                // Fails only if the receiver has stopped waiting, which is harmless.
                let _sent = done.send(());
            }
        }
    }

    fn handle_claim(&mut self, pending: PendingClaim) {
        if let Some(known) = self.find_final_reply(&pending.claim) {
            pending.send_reply(known);
        } else if self.is_backing_off() || self.claims.len() >= MAX_PENDING_CLAIMS {
            self.refuse(pending);
        } else {
            self.claims.push(pending);
        }
    }

    /// Returns the reply to a claim if the table has one that can't be outdated.
    fn find_final_reply(&self, claim: &Claim) -> Option<Reply> {
        let known = self.log.table().find_reply(claim)?;
        let may_be_stale = known == Reply::Unsettled && !self.log.is_fresh();
        let may_change = may_be_stale || self.outcome_keys.contains(&claim.key);
        (!may_change).then_some(known)
    }

    /// Answers a claim with what is known about its key, or else refuses it.
    fn refuse(&self, pending: PendingClaim) {
        let known = self.log.table().find_reply(&pending.claim);
        // Never `Granted`: a key granted to a call that is given up now would stay held.
        let known = known.filter(|known| *known != Reply::Granted);
        pending.send_reply(known.unwrap_or_else(|| self.make_refusal()));
    }

    fn add_outcome(&mut self, outcome: Outcome) {
        let (Entry::Complete { key, .. } | Entry::Release { key, .. }) = &outcome.entry else {
            return;
        };
        if self.outcomes.is_empty() {
            self.outcomes_since = Instant::now();
        }
        if self.outcomes.len() >= MAX_PENDING_OUTCOMES {
            self.outcomes.remove(0);
        }
        self.outcome_keys.insert(*key);
        self.outcomes.push(outcome);
    }

    fn is_backing_off(&self) -> bool {
        self.backoff_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Returns a refusal with a random delay, so that callers don't all retry at the same time.
    fn make_refusal(&self) -> Reply {
        let until = self.backoff_until.unwrap_or_else(Instant::now);
        let delay = until.saturating_duration_since(Instant::now()) + BACKOFF_BASE;
        refuse_for(delay.mul_f64(rand::rng().random_range(1.0..2.0)))
    }

    fn next_wake(&self) -> Instant {
        let idle_at = if self.log.is_loaded() {
            self.last_used + IDLE_TIMEOUT
        } else {
            Instant::now() + IDLE_TIMEOUT
        };
        self.next_commit().unwrap_or(idle_at)
    }

    /// Returns when to write the next record, or `None` if none is needed.
    fn next_commit(&self) -> Option<Instant> {
        let has_waiting = !self.claims.is_empty() || !self.flushes.is_empty();
        let is_urgent = has_waiting || self.outcomes.iter().any(|outcome| outcome.is_awaited);
        let wanted = if is_urgent || self.log.is_in_doubt() {
            self.last_used
        } else if self.outcomes.is_empty() {
            return None;
        } else {
            self.outcomes_since + MAX_OUTCOME_DELAY
        };
        let paced = self
            .next_paced
            .checked_sub(COMMIT_INTERVAL * (COMMIT_BURST - 1));
        let earliest = [paced, self.backoff_until].into_iter().flatten().max();
        Some(wanted.max(earliest.unwrap_or(wanted)))
    }

    fn is_due(&self) -> bool {
        self.next_commit().is_some_and(|due| due <= Instant::now())
    }

    fn is_idle(&self) -> bool {
        let nothing_pending = self.next_commit().is_none();
        nothing_pending && self.log.is_loaded() && self.last_used.elapsed() >= IDLE_TIMEOUT
    }

    async fn commit(&mut self) {
        self.next_paced = self.next_paced.max(Instant::now()) + COMMIT_INTERVAL;
        match self.try_commit().await {
            Ok(()) => {
                if self.failures > 0 {
                    log::info!(failures = self.failures; "reservations_back");
                }
                self.failures = 0;
                self.backoff_until = None;
            }
            Err(error) => self.handle_failure(&error),
        }
        self.notify_flushed();
    }

    /// Backs off and refuses all pending claims: a call without a reservation must not run.
    fn handle_failure(&mut self, error: &Error) {
        if self.failures == 0 {
            log::warn!(error:%; "reservations_refused");
        }
        let bound = BACKOFF_BASE.saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        let jitter = rand::rng().random_range(0.5..1.0);
        self.backoff_until = Some(Instant::now() + bound.min(BACKOFF_CAP).mul_f64(jitter));
        for pending in std::mem::take(&mut self.claims) {
            self.refuse(pending);
        }
    }

    async fn try_commit(&mut self) -> Result<(), Error> {
        for release in self.log.prepare().await? {
            self.add_outcome(Outcome::new(release));
        }
        self.log.expire_if_full().await?;
        for attempt in 0..MAX_WRITE_ATTEMPTS {
            let may_be_stale = |pending: &PendingClaim| {
                let known = self.log.table().find_reply(&pending.claim);
                known == Some(Reply::Unsettled) && !self.log.is_fresh()
            };
            if attempt > 0 || self.claims.iter().any(may_be_stale) {
                self.log.catch_up().await?;
            }
            self.answer_known();
            if self.claims.is_empty() && self.outcomes.is_empty() {
                return Ok(());
            }
            // Outcomes precede claims, since claims may be for the same keys.
            let outcomes = self.outcomes.iter();
            let mut entries: Vec<_> = outcomes.map(|outcome| outcome.entry.clone()).collect();
            entries.extend(
                self.claims
                    .iter()
                    .map(|pending| Entry::Reserve(pending.claim)),
            );
            if let Some(replies) = self.log.write(entries).await? {
                self.answer_written(replies);
                self.log.compact().await;
                return Ok(());
            }
        }
        Err(Error::Unavailable(
            "other nodes keep writing to the shard".into(),
        ))
    }

    /// Answers the claims that need no record, and refuses those for which the shard has no space.
    fn answer_known(&mut self) {
        let free = MAX_SHARD_KEYS.saturating_sub(self.log.table().len());
        let mut remaining = Vec::new();
        let claims = std::mem::take(&mut self.claims).into_iter();
        for pending in claims.filter(|pending| !pending.reply.is_closed()) {
            match self.find_final_reply(&pending.claim) {
                Some(known) => drop(pending.send_reply(known)),
                // Granting the claim would require removing older keys too early, and the calls of
                // those keys might then run twice.
                None if remaining.len() >= free => drop(pending.send_reply(refuse_for(FULL_DELAY))),
                None => remaining.push(pending),
            }
        }
        self.claims = remaining;
    }

    fn answer_written(&mut self, replies: Vec<Reply>) {
        for outcome in self.outcomes.drain(..) {
            // Fails only if the receiver has stopped waiting, which is harmless.
            let _sent = outcome.written.map(|written| written.send(()));
        }
        self.outcome_keys.clear();
        for (pending, reply) in std::mem::take(&mut self.claims).into_iter().zip(replies) {
            let Claim { key, holder, .. } = pending.claim;
            let granted = reply == Reply::Granted;
            // If nothing waits for the reply any longer, the call will not run.
            if !pending.send_reply(reply) && granted {
                self.add_outcome(Outcome::new(Entry::Release { key, holder }));
            }
        }
    }
}

fn refuse_for(delay: Duration) -> Reply {
    Reply::Refused {
        retry_after_ms: whole_ms(delay),
    }
}
