//! Append-only journals of numbered, immutable records in the platform's store.
//!
//! A record is appended by creating the object of the next number if it does not exist. This
//! creation is the linearization point: of all writers that try to create the object of a number,
//! one succeeds, and the others learn whose record is stored at that number. Correctness needs
//! nothing else, neither leases nor synchronized clocks.
//!
//! Snapshots let readers start late and old records be removed (see [`crate::retention`]). The
//! object `head` holds the number of the snapshot to start from, and the floor: records up to the
//! floor may have been removed.

use crate::envelope::{make_envelope, read_envelope};
use crate::{Error, Object, Revision, Store};
use clock::Clock;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use std::time::{Duration, Instant, SystemTime};

/// If more than this time passes between reading a number as free and creating its record, the
/// writer checks that the number is above the floor. Records are kept at least ten times as long
/// ([`crate::retention::RETENTION`]), which leaves a wide margin for clocks that differ.
pub const FLOOR_CHECK_AFTER: Duration = Duration::from_mins(1);

/// Maximum number of attempts to create a record while responses are lost, before the caller gets
/// the error.
const MAX_CREATE_ATTEMPTS: u32 = 3;

/// Pause before another attempt to create a record.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(20);

/// Number of records read per list request.
const PAGE_SIZE: usize = 50;

/// Maximum number of attempts to load a journal from which records are being removed.
const MAX_LOAD_ATTEMPTS: u32 = 8;

/// A record of a journal.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Number of the record; the first record of a journal has number 1.
    pub number: u64,
    /// Identifies the append that wrote the record; chosen by the writer.
    pub nonce: SmolStr,
    /// Content of the record.
    pub value: Value,
}

/// Result of an append whose outcome is certain.
#[derive(Debug, Clone, PartialEq)]
pub enum AppendOutcome {
    /// The record is stored at its number.
    Written,
    /// Another writer's record is stored at the number.
    Taken(Record),
}

/// The records after the last record that the reader already has.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tail {
    /// The records, in order and without gaps.
    pub records: Vec<Record>,
    /// Revision at which the records were read; a watch from this revision misses no later record.
    pub revision: Revision,
}

/// Full content of a journal: its last snapshot and the records after it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadedJournal {
    /// Number of the last record that the snapshot includes, or 0.
    pub snapshot_number: u64,
    /// The last snapshot, or `None` if no snapshot has been written.
    pub snapshot: Option<Value>,
    /// The records after the snapshot.
    pub tail: Tail,
}

impl LoadedJournal {
    /// Returns the number of the last record.
    #[must_use]
    pub fn last_number(&self) -> u64 {
        let last = self.tail.records.last();
        last.map_or(self.snapshot_number, |record| record.number)
    }
}

/// Where readers start, and which records may have been removed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Number of the last snapshot.
    pub(crate) snapshot: u64,
    /// Records up to this number may be removed; never above `snapshot`.
    pub(crate) floor: u64,
}

/// A point in time, by the monotonic clock and by the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    monotonic: Instant,
    wall: SystemTime,
}

impl Timestamp {
    /// Returns the current time.
    pub fn now<C>(clock: &C) -> Self
    where
        C: Clock,
    {
        Self {
            monotonic: clock.now(),
            wall: clock.wall(),
        }
    }

    /// Returns the time since this timestamp, by whichever clock shows more, for limits that must
    /// not be exceeded.
    ///
    /// The monotonic clock stands still while a VM is suspended, and the wall
    /// clock may be set back. The result is too short only if both happen.
    pub fn max_elapsed<C>(self, clock: &C) -> Duration
    where
        C: Clock,
    {
        let wall = clock.wall().duration_since(self.wall).unwrap_or_default();
        clock.now().duration_since(self.monotonic).max(wall)
    }

    /// Returns the time since this timestamp by the monotonic clock, for waits that must not be cut
    /// short.
    ///
    /// The wall clock may be set forward by hours in one step; the monotonic
    /// clock at worst stands still.
    pub fn monotonic_elapsed<C>(self, clock: &C) -> Duration
    where
        C: Clock,
    {
        clock.now().duration_since(self.monotonic)
    }
}

/// Handle of a journal in the platform's store.
#[derive(Debug, Clone)]
pub struct Journal<S, C> {
    pub(crate) store: S,
    pub(crate) clock: C,
    pub(crate) name: SmolStr,
}

impl<S, C> Journal<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns a handle of the journal; the journal exists once its first record is written.
    #[must_use]
    pub fn open(store: S, clock: C, name: &str) -> Self {
        Self {
            store,
            clock,
            name: name.into(),
        }
    }

    /// Returns the current time, for the `free_at` of [`Journal::append`]; call it before reading
    /// the journal to find a free number.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp::now(&self.clock)
    }

    /// Returns the store that holds the journal.
    #[must_use]
    pub fn store(&self) -> &S {
        &self.store
    }

    pub(crate) fn log_prefix(&self) -> String {
        format!("{}/log/", self.name)
    }

    pub(crate) fn record_name(&self, number: u64) -> String {
        format!("{}/log/{number:020}", self.name)
    }

    pub(crate) fn snapshot_name(&self, number: u64) -> String {
        format!("{}/snapshots/{number:020}", self.name)
    }

    /// Returns the name prefix of the parts of a large value that is written for `number`.
    pub(crate) fn parts_prefix(&self, number: u64) -> String {
        format!("{}/parts/{number:020}", self.name)
    }

    pub(crate) fn head_name(&self) -> String {
        format!("{}/head", self.name)
    }

    /// Writes a record at `number`. The writer has read the number as free, and has taken `free_at`
    /// before that read.
    ///
    /// An append with the same `nonce` may be repeated any number of times; at
    /// most one record is written.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the record may have been written or may still be written later,
    /// [`Error::Gone`] if the record of the number was removed long ago, so that only the snapshot
    /// shows what was stored at the number. After any other error the record is certainly not
    /// written.
    pub async fn append(
        &self,
        number: u64,
        nonce: &str,
        value: &Value,
        free_at: Timestamp,
    ) -> Result<AppendOutcome, Error> {
        let envelope = make_envelope(&self.store, &self.parts_prefix(number), nonce, value).await?;
        let mut unknown = None;
        for attempt in 0..MAX_CREATE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(ATTEMPT_PAUSE).await;
            }
            match self
                .store
                .create(&self.record_name(number), &envelope)
                .await
            {
                Ok(_) => return self.confirm(number, free_at).await,
                Err(Error::Conflict) => {
                    let resolved = self.resolve_conflict(number, nonce, free_at).await;
                    return resolved.map_err(|error| unknown.unwrap_or(error));
                }
                Err(error @ Error::Unknown(_)) => unknown = Some(error),
                Err(error) => return Err(unknown.unwrap_or(error)),
            }
        }
        Err(unknown.unwrap_or_else(|| Error::Unavailable("no attempt was made".into())))
    }

    /// Finds out whose record is stored at a number that can't be created.
    ///
    /// After a lost response the record may be the writer's own, which its nonce shows.
    async fn resolve_conflict(
        &self,
        number: u64,
        nonce: &str,
        free_at: Timestamp,
    ) -> Result<AppendOutcome, Error> {
        let record = self.get(number).await?.ok_or(Error::Gone)?;
        if record.nonce == nonce {
            return self.confirm(number, free_at).await;
        }
        Ok(AppendOutcome::Taken(record))
    }

    /// Confirms that a record that was written is part of the journal.
    ///
    /// A writer that was paused for hours may find its number free again, because the record that
    /// was stored at the number has been removed. The writer can then create a record at the
    /// number, but this record is not part of the journal. Records are kept much longer than
    /// [`FLOOR_CHECK_AFTER`], so only a slow writer has to check the floor.
    async fn confirm(&self, number: u64, free_at: Timestamp) -> Result<AppendOutcome, Error> {
        if free_at.max_elapsed(&self.clock) < FLOOR_CHECK_AFTER {
            return Ok(AppendOutcome::Written);
        }
        match self.read_head().await {
            Ok((head, _)) if number > head.floor => Ok(AppendOutcome::Written),
            Ok(_) => Err(Error::Gone),
            Err(error) => Err(Error::Unknown(error.to_string())),
        }
    }

    /// Reads the record of a number; `None` if no record is stored at the number.
    ///
    /// # Errors
    ///
    /// [`Error::Gone`] if a record is stored at the number, but the number is at or below the
    /// floor. Any other error if the platform can't be read.
    pub async fn get(&self, number: u64) -> Result<Option<Record>, Error> {
        let Some(object) = self.store.get(&self.record_name(number)).await? else {
            return Ok(None);
        };
        let record = self.decode_record(object).await?;
        let (head, _) = self.read_head().await?;
        if number <= head.floor {
            return Err(Error::Gone);
        }
        Ok(record)
    }

    /// Reads the records after `number`; `None` if some of them may have been removed.
    ///
    /// # Errors
    ///
    /// If the platform can't be read.
    pub async fn read_after(&self, number: u64) -> Result<Option<Tail>, Error> {
        let tail = match self.read_records(number).await {
            Err(Error::Gone) => return Ok(None),
            tail => tail?,
        };
        // The floor is read last: by then it covers every record that was
        // removed during the list request, and every record that a slow writer
        // has created at a removed number.
        let (head, _) = self.read_head().await?;
        Ok((head.floor <= number).then_some(tail))
    }

    async fn read_records(&self, number: u64) -> Result<Tail, Error> {
        let mut tail = Tail::default();
        let mut last = number;
        loop {
            let after = self.record_name(last);
            let page = self
                .store
                .list(&self.log_prefix(), &after, PAGE_SIZE)
                .await?;
            tail.revision = page.revision;
            for object in page.items {
                let Some(record) = self.decode_record(object).await? else {
                    return Ok(tail);
                };
                if record.number != last + 1 {
                    return Ok(tail);
                }
                last = record.number;
                tail.records.push(record);
            }
            if !page.has_more {
                return Ok(tail);
            }
        }
    }

    /// Decodes the record that an object holds; `None` if the object's name does not end in a
    /// number.
    pub(crate) async fn decode_record(&self, object: Object) -> Result<Option<Record>, Error> {
        let Some(number) = parse_number(&object.name) else {
            return Ok(None);
        };
        let (nonce, value) = read_envelope(&self.store, &self.parts_prefix(number), object).await?;
        Ok(Some(Record {
            number,
            nonce,
            value,
        }))
    }

    /// Loads the full journal: its last snapshot and the records after it.
    ///
    /// # Errors
    ///
    /// If the platform can't be read, or the snapshots change faster than they can be read.
    pub async fn load(&self) -> Result<LoadedJournal, Error> {
        for _ in 0..MAX_LOAD_ATTEMPTS {
            let (head, _) = self.read_head().await?;
            let snapshot = match self.read_snapshot(head.snapshot).await {
                Err(Error::Gone) => continue,
                snapshot => snapshot?,
            };
            if let Some(tail) = self.read_after(head.snapshot).await? {
                return Ok(LoadedJournal {
                    snapshot_number: head.snapshot,
                    snapshot,
                    tail,
                });
            }
        }
        Err(Error::Unavailable(
            "the snapshot changed at each attempt".into(),
        ))
    }

    async fn read_snapshot(&self, number: u64) -> Result<Option<Value>, Error> {
        if number == 0 {
            return Ok(None);
        }
        let name = self.snapshot_name(number);
        let object = self.store.get(&name).await?.ok_or(Error::Gone)?;
        let (_, value) = read_envelope(&self.store, &self.parts_prefix(number), object).await?;
        Ok(Some(value))
    }

    pub(crate) async fn read_head(&self) -> Result<(Head, Option<Revision>), Error> {
        let Some(object) = self.store.get(&self.head_name()).await? else {
            return Ok((Head::default(), None));
        };
        let head = serde_json::from_value(object.value)
            .map_err(|error| Error::Invalid(format!("{}: {error}", object.name)))?;
        Ok((head, Some(object.revision)))
    }
}

/// Parses the number at the end of a record's name.
pub(crate) fn parse_number(name: &str) -> Option<u64> {
    name.rsplit('/').next()?.parse().ok()
}
