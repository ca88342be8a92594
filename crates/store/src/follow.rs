//! A reader that learns of a journal's records as they are written.

use crate::journal::{LoadedJournal, Record};
use crate::{Error, Event, Journal, Revision, Store, Watch};
use clock::Clock;
use policy::backoff::Backoff;
use std::collections::VecDeque;
use std::time::Duration;

/// First bound of the wait before the platform is asked again.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Last bound: an outage of an hour must not end in a storm, nor may the
/// recovery take longer than a version's few seconds.
const LAST_WAIT: Duration = Duration::from_secs(5);

/// What a reader learns.
#[derive(Debug, Clone, PartialEq)]
pub enum JournalUpdate {
    /// The next record.
    Record(Record),
    /// The whole journal, because records in between are gone or none was known.
    Reset(LoadedJournal),
}

/// A reader of a journal.
#[derive(Debug)]
pub struct Follower<S, C> {
    journal: Journal<S, C>,
    position: Option<u64>,
    revision: Revision,
    watch: Option<Watch>,
    ready: VecDeque<Record>,
    is_connected: bool,
    backoff: Backoff,
}

impl<S, C> Follower<S, C>
where
    S: Store,
    C: Clock,
{
    /// Starts to follow `journal` after the record `position`, or from its last snapshot.
    #[must_use]
    pub fn open(journal: Journal<S, C>, position: Option<u64>) -> Self {
        Self {
            journal,
            position,
            revision: Revision::default(),
            watch: None,
            ready: VecDeque::new(),
            is_connected: true,
            backoff: Backoff::new(FIRST_WAIT, LAST_WAIT),
        }
    }

    /// Tells whether the platform answered when last asked.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Waits for news, through outages; numbers only grow, and none is left out.
    pub async fn next(&mut self) -> JournalUpdate {
        loop {
            if let Some(record) = self.take_ready() {
                return JournalUpdate::Record(record);
            }
            match self.advance().await {
                Ok(None) => self.note_answer(),
                Ok(Some(loaded)) => {
                    self.note_answer();
                    return JournalUpdate::Reset(loaded);
                }
                // The events in between are gone, the records are not.
                Err(Error::Gone) => self.watch = None,
                Err(error) => self.pause(&error).await,
            }
        }
    }

    fn take_ready(&mut self) -> Option<Record> {
        while let Some(record) = self.ready.pop_front() {
            let position = self.position.unwrap_or(0);
            if record.number == position + 1 {
                self.position = Some(record.number);
                return Some(record);
            }
            if record.number > position {
                // The watch has left one out; reading gives all.
                self.ready.clear();
                self.watch = None;
            }
        }
        None
    }

    /// Takes one step: reads what is missing, opens the watch, or waits for its next event.
    async fn advance(&mut self) -> Result<Option<LoadedJournal>, Error> {
        let Some(watch) = &mut self.watch else {
            return self.catch_up().await;
        };
        match watch.next().await? {
            Event::Put(object) => {
                let revision = object.revision;
                let record = self.journal.decode_record(object).await?;
                self.ready.extend(record);
                self.revision = revision;
            }
            Event::Deleted { revision, .. } | Event::Bookmark(revision) => self.revision = revision,
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
            // What the platform tells is older than what is known already.
            if self
                .position
                .is_some_and(|known| loaded.last_number() < known)
            {
                return Err(Error::Unavailable("the platform went back".into()));
            }
            self.open_watch(loaded.tail.revision).await?;
            self.position = Some(loaded.last_number());
            return Ok(Some(loaded));
        };
        self.ready.extend(tail.records);
        self.open_watch(tail.revision).await?;
        Ok(None)
    }

    async fn open_watch(&mut self, revision: Revision) -> Result<(), Error> {
        self.revision = revision;
        let prefix = self.journal.log_prefix();
        self.watch = Some(self.journal.store().watch(&prefix, revision).await?);
        Ok(())
    }

    fn note_answer(&mut self) {
        self.is_connected = true;
        self.backoff.reset();
    }

    /// Waits with full jitter, so that the readers of all zones don't come back at once.
    async fn pause(&mut self, error: &Error) {
        if self.is_connected {
            log::warn!(journal:% = self.journal.name, error:%; "platform_lost");
        }
        self.is_connected = false;
        self.watch = None;
        let wait = self.backoff.next_delay(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}
