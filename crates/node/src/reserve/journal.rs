//! A shard's table, built from its records, and the writing of new records.

use crate::reserve::encoding::{decode, encode};
use crate::reserve::key_expiry::KeyExpiry;
use call::reserve::{Claim, Entry, Holder, Key, KeyTable, MAX_SHARD_KEYS, Reply};
use clock::Clock;
use smol_str::{SmolStr, format_smolstr};
use std::time::Duration;
use store::journal::{AppendOutcome, Record, Timestamp};
use store::retention::RetentionTracker;
use store::{Error, Journal, Store};
use tokio::time::Instant;

/// Number of records between two snapshots. A node that takes over a shard reads at most that many
/// records, and the dozen writes for a snapshot of a full table are few compared to the writes in
/// between.
const SNAPSHOT_INTERVAL: u64 = 512;

/// Number of records between two rounds of removing old records. A round removes as many objects as
/// records were written since the previous round.
const REMOVAL_INTERVAL: u64 = 8;

/// Time for which a table counts as up to date after it was last read or written.
///
/// Another node may have released or completed a key that is still held in this
/// node's table. No call runs twice because of that, but callers should not be
/// told for long that such a key is held.
const FRESH_TIMEOUT: Duration = Duration::from_millis(20);

/// A record whose write is not confirmed yet.
#[derive(Debug)]
struct PendingRecord {
    number: u64,
    nonce: SmolStr,
    /// When the number was known to be free.
    free_at: Timestamp,
    entries: Vec<Entry>,
}

/// A shard's table and journal, as far as this node has read or written the records.
#[derive(Debug)]
pub(crate) struct ShardLog<S, C> {
    journal: Journal<S, C>,
    clock: C,
    table: KeyTable,
    loaded: bool,
    /// Number of the last applied record.
    position: u64,
    /// When the next number was known to be free.
    free_at: Timestamp,
    /// When the table was last up to date.
    fresh_at: Option<Instant>,
    /// A record whose write got no response: it may be committed, now or later.
    in_doubt: Option<PendingRecord>,
    /// Claims that were refused while their record was in doubt.
    abandoned: Vec<(Key, Holder)>,
    expiry: KeyExpiry,
    /// Number of the last record in the last snapshot.
    snapshot_number: u64,
    retention: RetentionTracker,
}

impl<S, C> ShardLog<S, C>
where
    S: Store,
    C: Clock,
{
    pub(crate) fn new(journal: Journal<S, C>, clock: C) -> Self {
        let free_at = journal.now();
        Self {
            journal,
            clock,
            table: KeyTable::default(),
            loaded: false,
            position: 0,
            free_at,
            fresh_at: None,
            in_doubt: None,
            abandoned: Vec::new(),
            expiry: KeyExpiry::default(),
            snapshot_number: 0,
            retention: RetentionTracker::default(),
        }
    }

    /// Returns the table, which is empty before the first [`ShardLog::prepare`].
    pub(crate) fn table(&self) -> &KeyTable {
        &self.table
    }

    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns whether the table was up to date within the last [`FRESH_TIMEOUT`].
    pub(crate) fn is_fresh(&self) -> bool {
        self.fresh_at.is_some_and(|at| at.elapsed() < FRESH_TIMEOUT)
    }

    /// Returns whether it is unknown if the last record was committed.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.in_doubt.is_some()
    }

    /// Drops the table, so that a node doesn't keep every shard that it ever served in memory.
    pub(crate) fn unload(&mut self) {
        self.table = KeyTable::default();
        self.loaded = false;
        self.fresh_at = None;
    }

    /// Prepares to write the next record. Returns entries that release the keys still held by
    /// abandoned claims, whose callers were told "not run".
    ///
    /// Loads the table if necessary and retries a record that is in doubt.
    pub(crate) async fn prepare(&mut self) -> Result<Vec<Entry>, Error> {
        if !self.loaded {
            self.load().await?;
        }
        // Nothing else is written while a record is in doubt: the delayed write
        // of that record may take its number at any time.
        if let Some(record) = self.in_doubt.take()
            && record.number == self.position + 1
        {
            self.append(record).await?;
        }
        // The callers of abandoned claims were told "not run".
        let abandoned = std::mem::take(&mut self.abandoned).into_iter();
        let held = abandoned.filter(|(key, holder)| self.table.is_held(*key, *holder));
        Ok(held
            .map(|(key, holder)| Entry::Release { key, holder })
            .collect())
    }

    /// Applies the records that other nodes have written.
    pub(crate) async fn catch_up(&mut self) -> Result<(), Error> {
        let free_at = self.journal.now();
        let now = Instant::now();
        let Some(tail) = self.journal.read_after(self.position).await? else {
            return self.load().await;
        };
        for record in &tail.records {
            self.apply_record(record)?;
        }
        self.free_at = free_at;
        self.fresh_at = Some(now);
        Ok(())
    }

    /// Writes a record that removes expired keys if the table is full.
    ///
    /// Normally expired keys are removed along with the next record, but no record is written while
    /// the table is full and all claims are refused.
    pub(crate) async fn expire_if_full(&mut self) -> Result<(), Error> {
        let key_count = self.table.len();
        if key_count >= MAX_SHARD_KEYS && self.expiry.last_expired(&self.clock, key_count).is_some()
        {
            self.write(Vec::new()).await?;
        }
        Ok(())
    }

    /// Writes the next record.
    ///
    /// Returns a reply for each claim in the record, or `None` if another node has
    /// written a record with that number.
    pub(crate) async fn write(
        &mut self,
        mut entries: Vec<Entry>,
    ) -> Result<Option<Vec<Reply>>, Error> {
        if let Some(through) = self.expiry.last_expired(&self.clock, self.table.len()) {
            entries.insert(0, Entry::Expire { through });
        }
        let record = PendingRecord {
            number: self.position + 1,
            nonce: random_nonce(),
            free_at: self.free_at,
            entries,
        };
        self.append(record).await
    }

    async fn append(&mut self, record: PendingRecord) -> Result<Option<Vec<Reply>>, Error> {
        let value = encode(&record.entries)?;
        let free_at = self.journal.now();
        let now = Instant::now();
        let journal = &self.journal;
        let appended = journal.append(record.number, &record.nonce, &value, record.free_at);
        match appended.await {
            Ok(AppendOutcome::Written) => {
                self.free_at = free_at;
                self.fresh_at = Some(now);
                self.expiry.record_commit(&self.clock, record.number);
                Ok(Some(self.apply(&record.entries, record.number)))
            }
            Ok(AppendOutcome::Taken(_)) => Ok(None),
            Err(error) => {
                if matches!(error, Error::Unknown(_) | Error::Gone) {
                    self.abandoned
                        .extend(record.entries.iter().filter_map(claim_of));
                    self.in_doubt = Some(record);
                }
                // `Error::Gone` means that this process was paused for so long
                // that the record's number is at or below the journal's floor, up to
                // which records may have been removed. Loading again shows whether
                // the record was committed.
                self.loaded &= error != Error::Gone;
                Err(error)
            }
        }
    }

    fn apply(&mut self, entries: &[Entry], number: u64) -> Vec<Reply> {
        self.position = number;
        for entry in entries {
            if let Entry::Expire { through } = entry {
                self.expiry.remove_through(*through);
            }
        }
        let replies = entries
            .iter()
            .filter_map(|entry| self.table.apply(entry, number));
        replies.collect()
    }

    fn apply_record(&mut self, record: &Record) -> Result<(), Error> {
        let entries: Vec<Entry> = decode(&record.value)?;
        self.apply(&entries, record.number);
        Ok(())
    }

    async fn load(&mut self) -> Result<(), Error> {
        let free_at = self.journal.now();
        let now = Instant::now();
        let loaded = self.journal.load().await?;
        self.table = match &loaded.snapshot {
            Some(value) => decode(value)?,
            None => KeyTable::default(),
        };
        self.position = loaded.snapshot_number;
        self.snapshot_number = loaded.snapshot_number;
        for record in &loaded.tail.records {
            self.apply_record(record)?;
        }
        self.free_at = free_at;
        self.fresh_at = Some(now);
        self.loaded = true;
        Ok(())
    }

    /// Writes snapshots and removes old records at the rate at which new ones are written.
    ///
    /// Compaction only saves work, so a failure is only logged, and a later call tries again.
    pub(crate) async fn compact(&mut self) {
        if self.position >= self.snapshot_number + SNAPSHOT_INTERVAL {
            match self.write_snapshot().await {
                Ok(()) => self.snapshot_number = self.position,
                Err(error) => log::warn!(error:%; "snapshot_failed"),
            }
        }
        if self.snapshot_number > 0 && self.position.is_multiple_of(REMOVAL_INTERVAL) {
            let removed = self.journal.remove_old(&mut self.retention, 0).await;
            if let Err(error) = removed {
                log::debug!(error:%; "removal_failed");
            }
        }
    }

    async fn write_snapshot(&self) -> Result<(), Error> {
        let value = encode(&self.table)?;
        let journal = &self.journal;
        journal
            .write_snapshot(self.position, &random_nonce(), &value)
            .await
    }
}

fn random_nonce() -> SmolStr {
    format_smolstr!("{:016x}", rand::random::<u64>())
}

fn claim_of(entry: &Entry) -> Option<(Key, Holder)> {
    match entry {
        Entry::Reserve(Claim { key, holder, .. }) => Some((*key, *holder)),
        Entry::Complete { .. } | Entry::Release { .. } | Entry::Expire { .. } => None,
    }
}
