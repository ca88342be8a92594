//! A shard's table as it follows from its records, and the writing of the next one.

use crate::reserve::ages::Ages;
use crate::reserve::record::{decode, encode};
use call::reserve::{Claim, Entry, Holder, Key, KeyTable, MAX_KEYS, Reply};
use clock::Clock;
use smol_str::{SmolStr, format_smolstr};
use std::time::Duration;
use store::journal::{Append, Moment, Record};
use store::retain::Retention;
use store::{Error, Journal, Store};
use tokio::time::Instant;

/// Records between two snapshots: a node that takes a shard over reads at most
/// that many, and a snapshot of a full table (a dozen writes) is a small part
/// of the writes in between.
const SNAPSHOT_INTERVAL: u64 = 512;

/// Records between two steps of removal; a step removes as many objects.
const REMOVAL_INTERVAL: u64 = 8;

/// Time for which a table counts as up to date after it was.
///
/// Another node may have released or completed what this one takes for held.
/// That errs on the safe side, yet callers should not be told so for long.
const FRESH_TIMEOUT: Duration = Duration::from_millis(500);

/// A record that is being written.
#[derive(Debug)]
struct Draft {
    number: u64,
    nonce: SmolStr,
    /// When the number was free.
    free: Moment,
    entries: Vec<Entry>,
}

/// A shard's records, as far as this node has read or written them.
#[derive(Debug)]
pub(crate) struct Log<S, C> {
    journal: Journal<S, C>,
    clock: C,
    table: KeyTable,
    loaded: bool,
    /// Number of the last record applied.
    position: u64,
    /// When the number after that was free.
    free: Moment,
    fresh: Option<Instant>,
    /// A record whose answer was lost: it may stand, or may still come to stand.
    doubt: Option<Draft>,
    /// Claims that were refused while their record was in doubt.
    abandoned: Vec<(Key, Holder)>,
    ages: Ages,
    snapshot: u64,
    retention: Retention,
}

impl<S, C> Log<S, C>
where
    S: Store,
    C: Clock,
{
    pub(crate) fn new(journal: Journal<S, C>, clock: C) -> Self {
        let free = journal.moment();
        Self {
            journal,
            clock,
            table: KeyTable::default(),
            loaded: false,
            position: 0,
            free,
            fresh: None,
            doubt: None,
            abandoned: Vec::new(),
            ages: Ages::default(),
            snapshot: 0,
            retention: Retention::default(),
        }
    }

    /// Gives the table; an empty one before the first [`Log::prepare`].
    pub(crate) fn table(&self) -> &KeyTable {
        &self.table
    }

    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Tells whether the table was up to date a moment ago.
    pub(crate) fn is_fresh(&self) -> bool {
        self.fresh.is_some_and(|at| at.elapsed() < FRESH_TIMEOUT)
    }

    /// Tells whether a record is in doubt.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// Lets the table go: a node that served a shard for a while must not hold it for ever.
    pub(crate) fn unload(&mut self) {
        self.table = KeyTable::default();
        self.loaded = false;
        self.fresh = None;
    }

    /// Makes the log ready to be written; gives the releases of what abandoned claims hold.
    pub(crate) async fn prepare(&mut self) -> Result<Vec<Entry>, Error> {
        if !self.loaded {
            self.load().await?;
        }
        // Until its fate is known nothing else is written: its number may be
        // taken at any moment by this very record, late on its way.
        if let Some(draft) = self.doubt.take()
            && draft.number == self.position + 1
        {
            self.append(draft).await?;
        }
        // Their callers were told "not run".
        let abandoned = std::mem::take(&mut self.abandoned).into_iter();
        let held = abandoned.filter(|(key, holder)| self.table.is_held(*key, *holder));
        Ok(held
            .map(|(key, holder)| Entry::Release { key, holder })
            .collect())
    }

    /// Applies the records that others have written.
    pub(crate) async fn catch_up(&mut self) -> Result<(), Error> {
        let free = self.journal.moment();
        let now = Instant::now();
        let Some(tail) = self.journal.read(self.position).await? else {
            return self.load().await;
        };
        for record in &tail.records {
            self.apply_record(record)?;
        }
        self.free = free;
        self.fresh = Some(now);
        Ok(())
    }

    /// Forgets old keys when there is no room for new ones.
    ///
    /// Keys go with the next record; where all claims are refused for want of
    /// room, there would never be one.
    pub(crate) async fn make_room(&mut self) -> Result<(), Error> {
        let keys = self.table.len();
        if keys >= MAX_KEYS && self.ages.expired(&self.clock, keys).is_some() {
            self.write(Vec::new()).await?;
        }
        Ok(())
    }

    /// Writes the next record; gives a reply for each claim in it, or `None` when its number is another's.
    pub(crate) async fn write(
        &mut self,
        mut entries: Vec<Entry>,
    ) -> Result<Option<Vec<Reply>>, Error> {
        if let Some(through) = self.ages.expired(&self.clock, self.table.len()) {
            entries.insert(0, Entry::Expire { through });
        }
        let draft = Draft {
            number: self.position + 1,
            nonce: draw_nonce(),
            free: self.free,
            entries,
        };
        self.append(draft).await
    }

    async fn append(&mut self, draft: Draft) -> Result<Option<Vec<Reply>>, Error> {
        let value = encode(&draft.entries)?;
        let free = self.journal.moment();
        let now = Instant::now();
        let journal = &self.journal;
        let appended = journal.append(draft.number, &draft.nonce, &value, draft.free);
        match appended.await {
            Ok(Append::Written) => {
                self.free = free;
                self.fresh = Some(now);
                self.ages.note(&self.clock, draft.number);
                Ok(Some(self.apply(&draft.entries, draft.number)))
            }
            Ok(Append::Taken(_)) => Ok(None),
            Err(error) => {
                if matches!(error, Error::Unknown(_) | Error::Gone) {
                    self.abandoned
                        .extend(draft.entries.iter().filter_map(find_claim));
                    self.doubt = Some(draft);
                }
                // This process was paused for so long that the record's number
                // is below the floor; reading anew tells whether it stood.
                self.loaded &= error != Error::Gone;
                Err(error)
            }
        }
    }

    fn apply(&mut self, entries: &[Entry], number: u64) -> Vec<Reply> {
        self.position = number;
        for entry in entries {
            if let Entry::Expire { through } = entry {
                self.ages.forget(*through);
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
        let free = self.journal.moment();
        let now = Instant::now();
        let loaded = self.journal.load().await?;
        self.table = match &loaded.snapshot {
            Some(value) => decode(value)?,
            None => KeyTable::default(),
        };
        self.position = loaded.number;
        self.snapshot = loaded.number;
        for record in &loaded.tail.records {
            self.apply_record(record)?;
        }
        self.free = free;
        self.fresh = Some(now);
        self.loaded = true;
        Ok(())
    }

    /// Writes a snapshot and removes old records, as many as come in.
    ///
    /// It saves work only: should it fail, the next round tries again.
    pub(crate) async fn keep_short(&mut self) {
        if self.position >= self.snapshot + SNAPSHOT_INTERVAL {
            match self.write_snapshot().await {
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

    async fn write_snapshot(&self) -> Result<(), Error> {
        let value = encode(&self.table)?;
        let journal = &self.journal;
        journal
            .write_snapshot(self.position, &draw_nonce(), &value)
            .await
    }
}

fn draw_nonce() -> SmolStr {
    format_smolstr!("{:016x}", rand::random::<u64>())
}

fn find_claim(entry: &Entry) -> Option<(Key, Holder)> {
    match entry {
        Entry::Reserve(Claim { key, holder, .. }) => Some((*key, *holder)),
        Entry::Complete { .. } | Entry::Release { .. } | Entry::Expire { .. } => None,
    }
}
