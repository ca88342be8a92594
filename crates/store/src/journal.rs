//! Numbered immutable records in the platform.
//!
//! To append is to create, if absent, the object of the next number. That
//! creation is the linearisation point: of all who try a number one wins,
//! and the others learn whose record stands there. Nothing else is needed
//! for correctness, neither leases nor clocks that agree.
//!
//! Snapshots let readers start late and old records be removed (see
//! [`crate::retention`]). The object `head` names the snapshot to start from and
//! the floor: records up to the floor may be gone.

use crate::chunk::{make_envelope, read_envelope};
use crate::{Error, Object, Revision, Store};
use clock::Clock;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use std::time::{Duration, Instant, SystemTime};

/// Time since a number was seen to be free, after which a successful creation
/// of it is checked against the floor. Records are kept for ten times as long
/// at least ([`crate::retention::RETENTION`]), so that clocks may differ much.
pub const FLOOR_CHECK_AFTER: Duration = Duration::from_mins(1);

/// Tries of a creation whose answer is lost, before the caller is told.
const CREATE_ATTEMPTS: u32 = 3;

/// Wait before another try.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(20);

/// Records read at once.
const PAGE: usize = 50;

/// Tries to read a journal whole while records are being removed.
const LOAD_ATTEMPTS: u32 = 8;

/// A record as it stands in the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Its number; the first is 1.
    pub number: u64,
    /// Chosen by its writer.
    pub nonce: SmolStr,
    /// What it says.
    pub value: Value,
}

/// How an append ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AppendOutcome {
    /// The record stands at the number.
    Written,
    /// Another's record stands there.
    Taken(Record),
}

/// Records after a number that the reader knows already.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tail {
    /// The records, in order and without gap.
    pub records: Vec<Record>,
    /// A watch from here misses none after them.
    pub revision: Revision,
}

/// All that is needed to know the whole journal.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadedJournal {
    /// Number of the last record that the snapshot contains.
    pub snapshot_number: u64,
    /// The snapshot, unless there is none yet.
    pub snapshot: Option<Value>,
    /// What comes after it.
    pub tail: Tail,
}

impl LoadedJournal {
    /// Gives the number of the last record.
    #[must_use]
    pub fn last_number(&self) -> u64 {
        let last = self.tail.records.last();
        last.map_or(self.snapshot_number, |record| record.number)
    }
}

/// Where readers start, and what may be gone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Number of the last snapshot.
    pub(crate) snapshot: u64,
    /// Records up to this number may be removed; never above `snapshot`.
    pub(crate) floor: u64,
}

/// A moment by the monotonic clock and by the time of day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    now: Instant,
    wall: SystemTime,
}

impl Timestamp {
    /// Gives the present moment.
    pub fn now<C>(clock: &C) -> Self
    where
        C: Clock,
    {
        Self {
            now: clock.now(),
            wall: clock.wall(),
        }
    }

    /// Gives the time since, by whichever clock says more: for limits that must not be overrun.
    ///
    /// A VM that was suspended finds that its monotonic clock stood still; the
    /// time of day may have been set back. Both at once would be needed to err.
    pub fn max_elapsed<C>(self, clock: &C) -> Duration
    where
        C: Clock,
    {
        let wall = clock.wall().duration_since(self.wall).unwrap_or_default();
        clock.now().duration_since(self.now).max(wall)
    }

    /// Gives the time since by the monotonic clock: for waits that must not be cut short.
    ///
    /// The time of day may be set forward by hours in one step; this clock at
    /// worst stands still.
    pub fn monotonic_elapsed<C>(self, clock: &C) -> Duration
    where
        C: Clock,
    {
        clock.now().duration_since(self.now)
    }
}

/// A journal in the platform.
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
    /// Names a journal; it stands once the first record does.
    #[must_use]
    pub fn open(store: S, clock: C, name: &str) -> Self {
        Self {
            store,
            clock,
            name: name.into(),
        }
    }

    /// Gives the present moment, to be taken before reading that a number is free.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp::now(&self.clock)
    }

    /// Gives the platform that the journal is in.
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

    /// Names the directory of the parts of what is written for `number`.
    pub(crate) fn parts_prefix(&self, number: u64) -> String {
        format!("{}/parts/{number:020}", self.name)
    }

    pub(crate) fn head_name(&self) -> String {
        format!("{}/head", self.name)
    }

    /// Writes a record at `number`, which was free at the moment `free`.
    ///
    /// The same `nonce` may be tried again and again; it is written once at most.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the record may stand or may still come to
    /// stand, [`Error::Gone`] when the number was removed long ago, so that
    /// only the snapshot tells what stood there. With all other errors it
    /// surely does not stand.
    pub async fn append(
        &self,
        number: u64,
        nonce: &str,
        value: &Value,
        free: Timestamp,
    ) -> Result<AppendOutcome, Error> {
        let sealed = make_envelope(&self.store, &self.parts_prefix(number), nonce, value).await?;
        let mut doubt = None;
        for attempt in 0..CREATE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(ATTEMPT_PAUSE).await;
            }
            match self.store.create(&self.record_name(number), &sealed).await {
                Ok(_) => return self.confirm(number, free).await,
                Err(Error::Conflict) => {
                    let settled = self.settle(number, nonce, free).await;
                    return settled.map_err(|error| doubt.unwrap_or(error));
                }
                Err(error @ Error::Unknown(_)) => doubt = Some(error),
                Err(error) => return Err(doubt.unwrap_or(error)),
            }
        }
        Err(doubt.unwrap_or_else(|| Error::Unavailable("no try was made".into())))
    }

    /// Finds out whose record stands at a number that is taken.
    ///
    /// After a lost answer it may well be the writer's own; its nonce tells.
    async fn settle(
        &self,
        number: u64,
        nonce: &str,
        free: Timestamp,
    ) -> Result<AppendOutcome, Error> {
        let record = self.get(number).await?.ok_or(Error::Gone)?;
        if record.nonce == nonce {
            return self.confirm(number, free).await;
        }
        Ok(AppendOutcome::Taken(record))
    }

    /// Makes sure that a record that was written stands among the others.
    ///
    /// A writer that was paused for hours may find its number free again,
    /// because the record that stood there has been removed. Its creation then
    /// succeeds and means nothing. Records are kept for much longer than
    /// [`FLOOR_CHECK_AFTER`], so that only a slow writer has to look at the floor.
    async fn confirm(&self, number: u64, free: Timestamp) -> Result<AppendOutcome, Error> {
        if free.max_elapsed(&self.clock) < FLOOR_CHECK_AFTER {
            return Ok(AppendOutcome::Written);
        }
        match self.read_head().await {
            Ok((head, _)) if number > head.floor => Ok(AppendOutcome::Written),
            Ok(_) => Err(Error::Gone),
            Err(error) => Err(Error::Unknown(error.to_string())),
        }
    }

    /// Reads the record of a number, if one stands there.
    ///
    /// # Errors
    ///
    /// [`Error::Gone`] when the number is at or below the floor.
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

    /// Reads the records after `number`, or `None` when some of them may be gone.
    ///
    /// # Errors
    ///
    /// When the platform can't be read.
    pub async fn read_after(&self, number: u64) -> Result<Option<Tail>, Error> {
        let tail = match self.read_records(number).await {
            Err(Error::Gone) => return Ok(None),
            tail => tail?,
        };
        // The floor is read last: a record that was removed while the list was
        // read, and one that a slow writer left at a removed number, are both
        // at or below it by now.
        let (head, _) = self.read_head().await?;
        Ok((head.floor <= number).then_some(tail))
    }

    async fn read_records(&self, number: u64) -> Result<Tail, Error> {
        let mut tail = Tail::default();
        let mut last = number;
        loop {
            let after = self.record_name(last);
            let page = self.store.list(&self.log_prefix(), &after, PAGE).await?;
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

    /// Gives the record that an object holds, or `None` when its name is no number.
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

    /// Reads the whole journal: its last snapshot and what comes after.
    ///
    /// # Errors
    ///
    /// When the platform can't be read.
    pub async fn load(&self) -> Result<LoadedJournal, Error> {
        for _ in 0..LOAD_ATTEMPTS {
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
        Err(Error::Unavailable("snapshots changed at each try".into()))
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

/// Reads the number at the end of a record's name.
pub(crate) fn parse_number(name: &str) -> Option<u64> {
    name.rsplit('/').next()?.parse().ok()
}
