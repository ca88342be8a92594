//! Follows a journal and returns its records as they are written.

use crate::journal::{LoadedJournal, Record};
use crate::{Error, Event, Journal, Notice, Revision, Store, Watch};
use clock::Clock;
use policy::backoff::Backoff;
use std::collections::VecDeque;
use std::time::Duration;

/// Upper bound of the random delay before the platform is called again after a first failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);

/// Upper bound of this delay after any number of failures. The end of an outage of an hour must not
/// cause a burst of calls, yet recovery must not take longer than the few seconds in which a
/// version has to be in force.
const BACKOFF_CAP: Duration = Duration::from_secs(5);

/// What a [`Follower`] returns.
#[derive(Debug, Clone, PartialEq)]
pub enum JournalUpdate {
    /// The next record.
    Record(Record),
    /// The last snapshot and all later records, because records in between have been removed or
    /// the reader had none.
    Reset(LoadedJournal),
}

/// Follows a journal across outages.
#[derive(Debug)]
pub struct Follower<S, C> {
    journal: Journal<S, C>,
    /// Number of the last record returned.
    position: Option<u64>,
    revision: Revision,
    watch: Option<Watch>,
    /// Records that were read and not returned yet.
    pending: VecDeque<Record>,
    is_connected: bool,
    backoff: Backoff,
}

impl<S, C> Follower<S, C>
where
    S: Store,
    C: Clock,
{
    /// Follows `journal` from the record after `position`, or from its last snapshot.
    #[must_use]
    pub fn open(journal: Journal<S, C>, position: Option<u64>) -> Self {
        Self {
            journal,
            position,
            revision: Revision::default(),
            watch: None,
            pending: VecDeque::new(),
            is_connected: true,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP),
        }
    }

    /// Returns whether the platform answered the last call.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Waits for the next update, across outages. The numbers of the returned records only grow,
    /// and no record is skipped: a record that is not returned by itself is part of a
    /// [`JournalUpdate::Reset`].
    pub async fn next(&mut self) -> JournalUpdate {
        loop {
            if let Notice::Update(update) = self.next_notice().await {
                return update;
            }
        }
    }

    /// As [`Follower::next`], and also returns each time that the platform reports no change.
    pub async fn next_notice(&mut self) -> Notice<JournalUpdate> {
        loop {
            if let Some(record) = self.next_pending() {
                return Notice::Update(JournalUpdate::Record(record));
            }
            match self.advance().await {
                Ok(None) => self.record_success(),
                Ok(Some(notice)) => {
                    self.record_success();
                    return notice;
                }
                // The events since the watch's revision are no longer available, but the records
                // can be read again.
                Err(Error::Gone) => self.watch = None,
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Takes the record after the last one returned, if it is pending.
    fn next_pending(&mut self) -> Option<Record> {
        while let Some(record) = self.pending.pop_front() {
            let position = self.position.unwrap_or(0);
            if record.number == position + 1 {
                self.position = Some(record.number);
                return Some(record);
            }
            if record.number > position {
                // The watch has skipped a record; reading the journal returns all records.
                self.pending.clear();
                self.watch = None;
            }
        }
        None
    }

    /// Waits for the next event of the watch; without a watch, reads the missing records and opens
    /// a watch.
    async fn advance(&mut self) -> Result<Option<Notice<JournalUpdate>>, Error> {
        let Some(watch) = &mut self.watch else {
            let loaded = self.catch_up().await?;
            return Ok(loaded.map(|loaded| Notice::Update(JournalUpdate::Reset(loaded))));
        };
        match watch.next().await? {
            Event::Put(object) => {
                let revision = object.revision;
                let record = self.journal.decode_record(object).await?;
                self.pending.extend(record);
                self.revision = revision;
            }
            Event::Deleted { revision, .. } => self.revision = revision,
            Event::Bookmark { revision, at } => {
                self.revision = revision;
                return Ok(Some(Notice::Unchanged(at)));
            }
        }
        Ok(None)
    }

    async fn catch_up(&mut self) -> Result<Option<LoadedJournal>, Error> {
        let tail = match self.position {
            Some(position) => self.journal.read_after(position).await?,
            None => None,
        };
        let Some(tail) = tail else {
            let loaded = self.journal.load().await?;
            // The platform's state is older than the records that have been returned already.
            if self
                .position
                .is_some_and(|known| loaded.last_number() < known)
            {
                return Err(Error::Unavailable(
                    "the journal ends before the last known record".into(),
                ));
            }
            self.open_watch(loaded.tail.revision).await?;
            self.position = Some(loaded.last_number());
            return Ok(Some(loaded));
        };
        self.pending.extend(tail.records);
        self.open_watch(tail.revision).await?;
        Ok(None)
    }

    async fn open_watch(&mut self, revision: Revision) -> Result<(), Error> {
        self.revision = revision;
        let prefix = self.journal.log_prefix();
        self.watch = Some(self.journal.store().watch(&prefix, revision).await?);
        Ok(())
    }

    fn record_success(&mut self) {
        self.is_connected = true;
        self.backoff.reset();
    }

    /// Waits with full jitter, so that the readers of all zones don't reconnect at once.
    async fn back_off(&mut self, error: &Error) {
        if self.is_connected {
            log::warn!(journal:% = self.journal.name, error:%; "platform_lost");
        }
        self.is_connected = false;
        self.watch = None;
        let wait = self.backoff.next_delay(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}
