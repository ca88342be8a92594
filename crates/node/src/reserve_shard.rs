//! One shard's reservations: claims collect while a record is being written.
//!
//! Each record carries all that came since the one before (group commit), so
//! that the platform's writes grow with time and shards, not with calls.
//! Without that, every keyed call would cost a write, and a few hundred a
//! second would be all that the whole fleet could take.

use crate::reserve_ages::Ages;
use crate::reserve_record::{decode, encode};
use call::reserve::{Claim, Entry, Holder, Key, MAX_KEYS, Reply, SHARDS, Table};
use clock::Clock;
use platform::journal::{Append, Moment, Record};
use platform::retain::Retention;
use platform::{Error, Journal, Store};
use rand::Rng;
use smol_str::format_smolstr;
use std::collections::HashSet;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Records a second that all shards together may write: a third of the
/// platform's several hundred writes, since each record is also removed later.
const RECORDS_PER_SECOND: u64 = 120;

/// Time between two records of one shard under steady load.
const INTERVAL: Duration = Duration::from_millis(SHARDS as u64 * 1000 / RECORDS_PER_SECOND);

/// Longest wait of what nobody waits for: completions and releases.
const LAZY_INTERVAL: Duration = Duration::from_millis(500);

/// Claims that wait for a record at once; more are refused.
const MAX_ASKED: usize = 4_096;

/// Completions and releases that wait through an outage; the oldest go first.
const MAX_NOTED: usize = 4_096;

/// First bound of the wait after a failure, and the last.
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LAST_WAIT: Duration = Duration::from_secs(2);

/// Records between two snapshots: a node that takes a shard over reads at most
/// that many, and a snapshot of a full table (a dozen writes) is a small part
/// of the writes in between.
const SNAPSHOT_INTERVAL: u64 = 512;

/// Records between two steps of removal; a step removes as many objects.
const REMOVAL_INTERVAL: u64 = 8;

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
}

/// A claim that waits.
#[derive(Debug)]
struct Asked {
    claim: Claim,
    reply: oneshot::Sender<Reply>,
}

/// A record whose answer was lost: it may stand, or may still come to stand.
#[derive(Debug)]
struct Doubt {
    number: u64,
    nonce: String,
    batch: Vec<Entry>,
    free: Moment,
}

/// One shard as this node knows it.
#[derive(Debug)]
pub(crate) struct Shard<S, C> {
    journal: Journal<S, C>,
    clock: C,
    table: Table,
    loaded: bool,
    /// Number of the last record applied.
    position: u64,
    /// When the number after that was free.
    free: Moment,
    asked: Vec<Asked>,
    noted: Vec<Entry>,
    /// Keys with a waiting completion or release.
    noted_keys: HashSet<Key>,
    noted_since: Instant,
    doubt: Option<Doubt>,
    /// Claims that were refused while their record was in doubt.
    abandoned: Vec<(Key, Holder)>,
    committed: Option<Instant>,
    used: Instant,
    down_until: Option<Instant>,
    failures: u32,
    ages: Ages,
    snapshot: u64,
    retention: Retention,
}

/// Starts the shard whose records are in `journal`.
pub(crate) fn spawn<S, C>(journal: Journal<S, C>, clock: C) -> mpsc::Sender<Order>
where
    S: Store,
    C: Clock,
{
    let (sender, orders) = mpsc::channel(MAX_ASKED);
    tokio::spawn(run(Shard::new(journal, clock), orders));
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
            shard.unload();
        }
    }
}

impl<S, C> Shard<S, C>
where
    S: Store,
    C: Clock,
{
    fn new(journal: Journal<S, C>, clock: C) -> Self {
        let now = Instant::now();
        let free = journal.moment();
        Self {
            journal,
            clock,
            table: Table::default(),
            loaded: false,
            position: 0,
            free,
            asked: Vec::new(),
            noted: Vec::new(),
            noted_keys: HashSet::new(),
            noted_since: now,
            doubt: None,
            abandoned: Vec::new(),
            committed: None,
            used: now,
            down_until: None,
            failures: 0,
            ages: Ages::default(),
            snapshot: 0,
            retention: Retention::default(),
        }
    }

    fn take(&mut self, order: Order) {
        self.used = Instant::now();
        match order {
            Order::Claim(claim, reply) => self.take_claim(claim, reply),
            Order::Note(entry) => self.note(entry),
        }
    }

    fn take_claim(&mut self, claim: Claim, reply: oneshot::Sender<Reply>) {
        let known = self.table.look(&claim);
        let told = match known {
            Some(known) if !self.noted_keys.contains(&claim.key) => Some(known),
            _ if self.is_down() => Some(self.refusal()),
            _ if self.asked.len() >= MAX_ASKED => Some(self.refusal()),
            _ => None,
        };
        match told {
            // Whoever has gone away meanwhile holds nothing by this.
            Some(told) => drop(reply.send(told)),
            None => self.asked.push(Asked { claim, reply }),
        }
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

    /// Gives the refusal for now, with a little of its own for each so that they don't all return at once.
    fn refusal(&self) -> Reply {
        let down = self.down_until.unwrap_or_else(Instant::now);
        let wait = down.saturating_duration_since(Instant::now()) + FIRST_WAIT;
        refuse(wait.mul_f64(rand::rng().random_range(1.0..2.0)))
    }

    fn next_wake(&self) -> Instant {
        let rest = if self.loaded {
            self.used + IDLE_TIMEOUT
        } else {
            Instant::now() + IDLE_TIMEOUT
        };
        self.next_commit().unwrap_or(rest)
    }

    /// Tells when the next record is to be written, if one is needed.
    fn next_commit(&self) -> Option<Instant> {
        let paced = self.committed.map(|last| last + INTERVAL);
        let wanted = if !self.asked.is_empty() || self.doubt.is_some() {
            Some(self.used)
        } else if self.noted.is_empty() {
            None
        } else {
            Some(self.noted_since + LAZY_INTERVAL)
        };
        wanted.map(|wanted| {
            wanted
                .max(paced.unwrap_or(wanted))
                .max(self.down_until.unwrap_or(wanted))
        })
    }

    fn is_due(&self) -> bool {
        self.next_commit().is_some_and(|due| due <= Instant::now())
    }

    fn is_idle(&self) -> bool {
        let nothing = self.asked.is_empty() && self.noted.is_empty() && self.doubt.is_none();
        self.loaded && nothing && self.used.elapsed() >= IDLE_TIMEOUT
    }

    /// Lets the table go: a node that served a shard for a while must not hold it for ever.
    fn unload(&mut self) {
        self.table = Table::default();
        self.loaded = false;
    }

    async fn commit(&mut self) {
        self.committed = Some(Instant::now());
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
    }

    /// Refuses at once all that wait: what can't be reserved does not run.
    fn fail(&mut self, error: &Error) {
        if self.failures == 0 {
            log::warn!(error:%; "reservations_refused");
        }
        let bound = FIRST_WAIT
            .saturating_mul(1 << self.failures.min(8))
            .min(LAST_WAIT);
        self.failures = self.failures.saturating_add(1);
        let share = rand::rng().random_range(0.5..1.0);
        self.down_until = Some(Instant::now() + bound.mul_f64(share));
        for asked in std::mem::take(&mut self.asked) {
            drop(asked.reply.send(self.refusal()));
        }
    }

    async fn try_commit(&mut self) -> Result<(), Error> {
        if !self.loaded {
            self.load().await?;
        }
        self.settle_doubt().await?;
        for _ in 0..CONFLICT_ATTEMPTS {
            self.tell_known();
            let batch = self.collect();
            if batch.is_empty() {
                return Ok(());
            }
            if self.write(batch).await? {
                self.keep_short().await;
                return Ok(());
            }
            self.catch_up().await?;
        }
        Err(Error::Unavailable("others write the shard".into()))
    }

    /// Reads the shard whole; the records that this node wrote in doubt are then in the table, or not.
    async fn load(&mut self) -> Result<(), Error> {
        let free = self.journal.moment();
        let loaded = self.journal.load().await?;
        self.table = match &loaded.snapshot {
            Some(value) => decode(value)?,
            None => Table::default(),
        };
        self.position = loaded.number;
        self.snapshot = loaded.number;
        for record in &loaded.tail.records {
            self.apply_record(record)?;
        }
        self.free = free;
        self.loaded = true;
        Ok(())
    }

    fn apply_record(&mut self, record: &Record) -> Result<(), Error> {
        let batch: Vec<Entry> = decode(&record.value)?;
        for entry in &batch {
            self.table.apply(entry, record.number);
        }
        self.position = record.number;
        Ok(())
    }

    /// Applies the records that others have written.
    async fn catch_up(&mut self) -> Result<(), Error> {
        let free = self.journal.moment();
        let Some(tail) = self.journal.read(self.position).await? else {
            return self.load().await;
        };
        for record in &tail.records {
            self.apply_record(record)?;
        }
        self.free = free;
        Ok(())
    }

    /// Finds out whether a record whose answer was lost stands.
    ///
    /// Until that is known nothing else is written: its number may be taken at
    /// any moment by this very record, late on its way. Claims in it were
    /// refused as "not run", so that what they hold is released.
    async fn settle_doubt(&mut self) -> Result<(), Error> {
        if let Some(doubt) = self.doubt.take() {
            if doubt.number == self.position + 1 {
                self.append(doubt).await?;
            } else {
                // The shard was read anew, with or without the record.
                self.note_again(doubt.batch);
            }
        }
        for (key, holder) in std::mem::take(&mut self.abandoned) {
            if self.table.is_held(key, holder) {
                self.note(Entry::Release { key, holder });
            }
        }
        Ok(())
    }

    /// Answers the claims that need no record any more.
    fn tell_known(&mut self) {
        let room = MAX_KEYS.saturating_sub(self.table.len());
        let mut waiting = Vec::new();
        for asked in std::mem::take(&mut self.asked) {
            match self.table.look(&asked.claim) {
                Some(known) if !self.noted_keys.contains(&asked.claim.key) => {
                    drop(asked.reply.send(known));
                }
                // Older keys would have to be forgotten too early, and their
                // calls might run twice.
                None if waiting.len() >= room => drop(asked.reply.send(refuse(FULL_RETRY))),
                _ => waiting.push(asked),
            }
        }
        self.asked = waiting;
    }

    /// Puts together the next record: what has ended first, since claims may be for the same keys.
    fn collect(&mut self) -> Vec<Entry> {
        let mut batch = std::mem::take(&mut self.noted);
        self.noted_keys.clear();
        batch.extend(self.asked.iter().map(|asked| Entry::Reserve(asked.claim)));
        if !batch.is_empty()
            && let Some(through) = self.ages.expired(&self.clock, self.table.len())
        {
            batch.insert(0, Entry::Expire { through });
        }
        batch
    }

    /// Writes a record; `false` when its number is another's.
    async fn write(&mut self, batch: Vec<Entry>) -> Result<bool, Error> {
        let doubt = Doubt {
            number: self.position + 1,
            nonce: format!("{:016x}", rand::random::<u64>()),
            batch,
            free: self.free,
        };
        self.append(doubt).await
    }

    async fn append(&mut self, record: Doubt) -> Result<bool, Error> {
        let value = encode(&record.batch)?;
        let free = self.journal.moment();
        let appended = self
            .journal
            .append(record.number, &record.nonce, &value, record.free)
            .await;
        match appended {
            Ok(Append::Written) => {
                self.free = free;
                self.apply_written(&record);
                Ok(true)
            }
            Ok(Append::Taken(_)) => {
                self.note_again(record.batch);
                Ok(false)
            }
            Err(error @ (Error::Unknown(_) | Error::Gone)) => {
                let held = self
                    .asked
                    .iter()
                    .map(|asked| (asked.claim.key, asked.claim.holder));
                self.abandoned.extend(held);
                if error == Error::Gone {
                    self.loaded = false;
                }
                self.doubt = Some(record);
                Err(error)
            }
            Err(error) => {
                self.note_again(record.batch);
                Err(error)
            }
        }
    }

    fn apply_written(&mut self, record: &Doubt) {
        let mut asked = std::mem::take(&mut self.asked).into_iter().peekable();
        for entry in &record.batch {
            let told = self.table.apply(entry, record.number);
            let Entry::Reserve(claim) = entry else {
                continue;
            };
            let Some(told) = told else { continue };
            let waits = asked.next_if(|asked| asked.claim == *claim);
            let reached = waits.is_some_and(|asked| asked.reply.send(told.clone()).is_ok());
            // Whoever asked has gone away: nobody will run the call.
            if !reached && told == Reply::Granted {
                let (key, holder) = (claim.key, claim.holder);
                self.note(Entry::Release { key, holder });
            }
        }
        self.asked = asked.collect();
        self.position = record.number;
        self.ages.note(&self.clock, record.number);
    }

    /// Keeps the completions and releases of a record that does not stand.
    fn note_again(&mut self, batch: Vec<Entry>) {
        let later = std::mem::take(&mut self.noted);
        for entry in batch.into_iter().chain(later) {
            self.note(entry);
        }
    }

    /// Writes a snapshot and removes old records, as many as come in.
    ///
    /// It saves work only: should it fail, the next round tries again.
    async fn keep_short(&mut self) {
        if self.position >= self.snapshot + SNAPSHOT_INTERVAL {
            let nonce = format_smolstr!("{:016x}", rand::random::<u64>());
            let written = match encode(&self.table) {
                Ok(value) => {
                    let journal = &self.journal;
                    journal.write_snapshot(self.position, &nonce, &value).await
                }
                Err(error) => Err(error),
            };
            match written {
                Ok(()) => self.snapshot = self.position,
                Err(error) => log::warn!(error:%; "snapshot_failed"),
            }
        }
        if self.snapshot > 0 && self.position.is_multiple_of(REMOVAL_INTERVAL) {
            let removed = self.journal.remove_old(&mut self.retention, 0).await;
            if let Err(error) = removed {
                log::debug!(error:%; "removal_failed");
            }
        }
    }
}

fn refuse(wait: Duration) -> Reply {
    Reply::Refused {
        retry_after_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}
