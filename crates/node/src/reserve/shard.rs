//! One shard's reservations: claims collect while a record is being written.
//!
//! Each record carries all that came since the one before (group commit), so
//! that the platform's writes grow with time and shards, not with calls.
//! Without that, every keyed call would cost a write, and a few hundred a
//! second would be all that the whole fleet could take.

use crate::millis::whole_ms;
use crate::reserve::journal::Log;
use call::reserve::{Claim, Entry, Key, MAX_KEYS, Reply, SHARD_COUNT};
use clock::Clock;
use rand::Rng;
use std::collections::HashSet;
use std::time::Duration;
use store::{Error, Journal, Store};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Records a second that all shards together may write: a third of the
/// platform's several hundred writes, since each record is also removed later.
const RECORDS_PER_SECOND: u64 = 120;

/// Time between two records of one shard under steady load.
const INTERVAL: Duration = Duration::from_millis(SHARD_COUNT as u64 * 1000 / RECORDS_PER_SECOND);

/// Records that a shard may write ahead of that, after it has written fewer.
///
/// Few keyed calls come at an even pace; without it one in three would wait for
/// no reason. All shards at once are 64 records ahead, a fraction of a second
/// of what the platform takes.
const BURST: u32 = 4;

/// Longest wait of what nobody waits for: completions and releases.
const LAZY_INTERVAL: Duration = Duration::from_millis(500);

/// Claims that wait for a record at once; more are refused.
const MAX_ASKED: usize = 4_096;

/// Completions and releases that wait through an outage; the oldest go first.
const MAX_NOTED: usize = 4_096;

/// First bound of the wait after a failure, and the last.
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LAST_WAIT: Duration = Duration::from_secs(2);

/// Time without orders after which a shard's table is let go.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Numbers tried in a row while other nodes write the same shard.
const CONFLICT_ATTEMPTS: u32 = 8;

/// What a caller is told to wait when the shard holds too many keys.
const FULL_RETRY: Duration = Duration::from_mins(1);

/// What is asked of a shard.
#[derive(Debug)]
pub(crate) enum Order {
    /// A call asks for its key.
    Claim(Claim, oneshot::Sender<Reply>),
    /// A completion or a release.
    Note(Entry),
    /// Asks to be told when nothing waits any more.
    Flush(oneshot::Sender<()>),
}

/// A claim that waits.
#[derive(Debug)]
struct Asked {
    claim: Claim,
    reply: oneshot::Sender<Reply>,
}

impl Asked {
    /// Tells the reply; `false` when nobody waits for it any more.
    fn tell(self, reply: Reply) -> bool {
        self.reply.send(reply).is_ok()
    }
}

/// One shard as this node serves it.
#[derive(Debug)]
struct Shard<S, C> {
    log: Log<S, C>,
    asked: Vec<Asked>,
    noted: Vec<Entry>,
    /// Keys with a waiting completion or release.
    noted_keys: HashSet<Key>,
    noted_since: Instant,
    flushes: Vec<oneshot::Sender<()>>,
    /// When the records written so far would have been written at an even pace.
    paid: Instant,
    used: Instant,
    down_until: Option<Instant>,
    failures: u32,
}

/// Starts the shard whose records are in `journal`.
pub(crate) fn spawn<S, C>(journal: Journal<S, C>, clock: C) -> mpsc::Sender<Order>
where
    S: Store,
    C: Clock,
{
    let (sender, orders) = mpsc::channel(MAX_ASKED);
    tokio::spawn(run(Shard::new(Log::new(journal, clock)), orders));
    sender
}

async fn run<S, C>(mut shard: Shard<S, C>, mut orders: mpsc::Receiver<Order>)
where
    S: Store,
    C: Clock,
{
    loop {
        let wake = shard.next_wake();
        tokio::select! {
            order = orders.recv() => match order {
                Some(order) => shard.take(order),
                None => return,
            },
            () = tokio::time::sleep_until(wake) => {}
        }
        while let Ok(order) = orders.try_recv() {
            shard.take(order);
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
    fn new(log: Log<S, C>) -> Self {
        let now = Instant::now();
        Self {
            log,
            asked: Vec::new(),
            noted: Vec::new(),
            noted_keys: HashSet::new(),
            noted_since: now,
            flushes: Vec::new(),
            paid: now,
            used: now,
            down_until: None,
            failures: 0,
        }
    }

    fn take(&mut self, order: Order) {
        self.used = Instant::now();
        match order {
            Order::Claim(claim, reply) => self.take_claim(Asked { claim, reply }),
            Order::Note(entry) => self.note(entry),
            Order::Flush(done) => {
                self.flushes.push(done);
                self.tell_flushed();
            }
        }
    }

    fn tell_flushed(&mut self) {
        if self.noted.is_empty() && self.asked.is_empty() {
            for done in self.flushes.drain(..) {
                // Whoever waited has lost patience; nothing is lost by that.
                let _told = done.send(());
            }
        }
    }

    fn take_claim(&mut self, asked: Asked) {
        if let Some(known) = self.look(&asked.claim) {
            asked.tell(known);
        } else if self.is_down() || self.asked.len() >= MAX_ASKED {
            self.refuse(asked);
        } else {
            self.asked.push(asked);
        }
    }

    /// Tells what is surely known of a claim right now.
    fn look(&self, claim: &Claim) -> Option<Reply> {
        let known = self.log.table().find_reply(claim)?;
        let may_change = known == Reply::Unsettled && !self.log.is_fresh();
        let changes = may_change || self.noted_keys.contains(&claim.key);
        (!changes).then_some(known)
    }

    /// Refuses a claim, unless something is known of its key, which is then told.
    fn refuse(&self, asked: Asked) {
        let known = self.log.table().find_reply(&asked.claim);
        // Granted to a call that goes away now would stay held.
        let known = known.filter(|known| *known != Reply::Granted);
        asked.tell(known.unwrap_or_else(|| self.refusal()));
    }

    fn note(&mut self, entry: Entry) {
        let (Entry::Complete { key, .. } | Entry::Release { key, .. }) = &entry else {
            return;
        };
        if self.noted.is_empty() {
            self.noted_since = Instant::now();
        }
        if self.noted.len() >= MAX_NOTED {
            self.noted.remove(0);
        }
        self.noted_keys.insert(*key);
        self.noted.push(entry);
    }

    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Gives the refusal for now, with a wait of its own for each, so that they don't all return at once.
    fn refusal(&self) -> Reply {
        let down = self.down_until.unwrap_or_else(Instant::now);
        let wait = down.saturating_duration_since(Instant::now()) + FIRST_WAIT;
        refuse_for(wait.mul_f64(rand::rng().random_range(1.0..2.0)))
    }

    fn next_wake(&self) -> Instant {
        let rest = if self.log.is_loaded() {
            self.used + IDLE_TIMEOUT
        } else {
            Instant::now() + IDLE_TIMEOUT
        };
        self.next_commit().unwrap_or(rest)
    }

    /// Tells when the next record is to be written, if one is needed.
    fn next_commit(&self) -> Option<Instant> {
        let presses = !self.asked.is_empty() || !self.flushes.is_empty();
        let wanted = if presses || self.log.is_in_doubt() {
            self.used
        } else if self.noted.is_empty() {
            return None;
        } else {
            self.noted_since + LAZY_INTERVAL
        };
        let paced = self.paid.checked_sub(INTERVAL * (BURST - 1));
        let earliest = [paced, self.down_until].into_iter().flatten().max();
        Some(wanted.max(earliest.unwrap_or(wanted)))
    }

    fn is_due(&self) -> bool {
        self.next_commit().is_some_and(|due| due <= Instant::now())
    }

    fn is_idle(&self) -> bool {
        let rests = self.next_commit().is_none();
        rests && self.log.is_loaded() && self.used.elapsed() >= IDLE_TIMEOUT
    }

    async fn commit(&mut self) {
        self.paid = self.paid.max(Instant::now()) + INTERVAL;
        match self.try_commit().await {
            Ok(()) => {
                if self.failures > 0 {
                    log::info!(failures = self.failures; "reservations_back");
                }
                self.failures = 0;
                self.down_until = None;
            }
            Err(error) => self.fail(&error),
        }
        self.tell_flushed();
    }

    /// Refuses at once all that wait: what can't be reserved does not run.
    fn fail(&mut self, error: &Error) {
        if self.failures == 0 {
            log::warn!(error:%; "reservations_refused");
        }
        let bound = FIRST_WAIT.saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        let share = rand::rng().random_range(0.5..1.0);
        self.down_until = Some(Instant::now() + bound.min(LAST_WAIT).mul_f64(share));
        for asked in std::mem::take(&mut self.asked) {
            self.refuse(asked);
        }
    }

    async fn try_commit(&mut self) -> Result<(), Error> {
        for release in self.log.prepare().await? {
            self.note(release);
        }
        self.log.make_room().await?;
        for attempt in 0..CONFLICT_ATTEMPTS {
            let stale = |asked: &Asked| {
                let known = self.log.table().find_reply(&asked.claim);
                known == Some(Reply::Unsettled) && !self.log.is_fresh()
            };
            if attempt > 0 || self.asked.iter().any(stale) {
                self.log.catch_up().await?;
            }
            self.tell_known();
            if self.asked.is_empty() && self.noted.is_empty() {
                return Ok(());
            }
            // What has ended goes first, since claims may be for the same keys.
            let mut entries = self.noted.clone();
            entries.extend(self.asked.iter().map(|asked| Entry::Reserve(asked.claim)));
            if let Some(replies) = self.log.write(entries).await? {
                self.tell_written(replies);
                self.log.keep_short().await;
                return Ok(());
            }
        }
        Err(Error::Unavailable("others write the shard".into()))
    }

    /// Answers the claims that need no record any more.
    fn tell_known(&mut self) {
        let room = MAX_KEYS.saturating_sub(self.log.table().len());
        let mut waiting = Vec::new();
        let asked = std::mem::take(&mut self.asked).into_iter();
        for asked in asked.filter(|asked| !asked.reply.is_closed()) {
            match self.look(&asked.claim) {
                Some(known) => drop(asked.tell(known)),
                // Older keys would have to be forgotten too early, and their
                // calls might run twice.
                None if waiting.len() >= room => drop(asked.tell(refuse_for(FULL_RETRY))),
                None => waiting.push(asked),
            }
        }
        self.asked = waiting;
    }

    fn tell_written(&mut self, replies: Vec<Reply>) {
        self.noted.clear();
        self.noted_keys.clear();
        for (asked, reply) in std::mem::take(&mut self.asked).into_iter().zip(replies) {
            let Claim { key, holder, .. } = asked.claim;
            let granted = reply == Reply::Granted;
            // Whoever asked has gone away: nobody will run the call.
            if !asked.tell(reply) && granted {
                self.note(Entry::Release { key, holder });
            }
        }
    }
}

fn refuse_for(wait: Duration) -> Reply {
    Reply::Refused {
        retry_after_ms: whole_ms(wait),
    }
}
