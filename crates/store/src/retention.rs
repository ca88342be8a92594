//! Snapshots of a journal, and the removal of its old records.

use crate::chunk::make_envelope;
use crate::journal::{Head, Timestamp, parse_number};
use crate::{Error, Journal, Revision, Store};
use clock::Clock;
use serde_json::Value;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a record stays after a snapshot that contains it was first
/// seen. Must be far above [`crate::journal::FLOOR_CHECK_AFTER`] and above the
/// longest time that a reader takes from a snapshot to the records after it.
pub const RETENTION: Duration = Duration::from_mins(10);

/// Objects removed in one step, so that removal stays a small part of the
/// platform's writes, and a page of the largest values fits a node's memory.
const REMOVALS: usize = 8;

/// Tries to move the head while others move it too.
const HEAD_ATTEMPTS: u32 = 4;

/// What a process knows of the age of a journal's snapshots.
///
/// Age counts from when this process first saw a snapshot, so that no clock
/// has to agree with another; a new process removes nothing at first.
#[derive(Debug, Clone, Default)]
pub struct RetentionTracker {
    seen: VecDeque<(Timestamp, u64)>,
}

impl<S, C> Journal<S, C>
where
    S: Store,
    C: Clock,
{
    /// Writes a snapshot that contains all records up to `number`, and lets readers start there.
    ///
    /// # Errors
    ///
    /// When the platform can't be written; the journal is then as good as before.
    pub async fn write_snapshot(
        &self,
        number: u64,
        nonce: &str,
        value: &Value,
    ) -> Result<(), Error> {
        let sealed = make_envelope(&self.store, &self.parts_prefix(number), nonce, value).await?;
        match self
            .store
            .create(&self.snapshot_name(number), &sealed)
            .await
        {
            // Snapshots of one number say the same, whoever wrote them.
            Ok(_) | Err(Error::Conflict) => {}
            Err(error) => return Err(error),
        }
        self.move_head(|head| Head {
            snapshot: head.snapshot.max(number),
            ..head
        })
        .await?;
        Ok(())
    }

    /// Removes some of the records that no reader needs any more, and tells whether more are left.
    ///
    /// The last `keep` records before the last snapshot stay in any case.
    ///
    /// # Errors
    ///
    /// When the platform can't be read or written; the next step goes on.
    pub async fn remove_old(
        &self,
        retention: &mut RetentionTracker,
        keep: u64,
    ) -> Result<bool, Error> {
        let (head, _) = self.read_head().await?;
        let aged = retention.note(Timestamp::now(&self.clock), head.snapshot, &self.clock);
        let floor = aged.min(head.snapshot.saturating_sub(keep));
        // The floor is raised before anything goes, so that a reader that
        // looks at it after reading can't take a gap for the end.
        let head = self
            .move_head(|head| Head {
                floor: head.floor.max(floor),
                ..head
            })
            .await?;
        self.remove_below(head.floor).await
    }

    async fn remove_below(&self, floor: u64) -> Result<bool, Error> {
        let mut left = REMOVALS;
        // The snapshot at the floor may still be being read; its parts, too.
        for (directory, end) in [("log", floor + 1), ("snapshots", floor), ("parts", floor)] {
            let prefix = format!("{}/{directory}/", self.name);
            let page = self.store.list(&prefix, "", left).await?;
            for object in page.items {
                let number = object.name[prefix.len()..].split('.').next();
                if number.and_then(parse_number).is_none_or(|n| n >= end) {
                    break;
                }
                match self.store.delete(&object.name, None).await {
                    Ok(()) | Err(Error::NotFound) => left -= 1,
                    Err(error) => return Err(error),
                }
            }
            if left == 0 {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Changes the head by `change`, which must only raise its numbers.
    async fn move_head<F>(&self, change: F) -> Result<Head, Error>
    where
        F: Fn(Head) -> Head,
    {
        for _ in 0..HEAD_ATTEMPTS {
            let (head, revision) = self.read_head().await?;
            let next = change(head);
            if next == head {
                return Ok(head);
            }
            match self.put_head(next, revision).await {
                Ok(_) => return Ok(next),
                // Another moved it, or this try did and the answer was lost:
                // reading it again tells either.
                Err(Error::Conflict | Error::Unknown(_)) => {}
                Err(error) => return Err(error),
            }
        }
        Err(Error::Unavailable("the head changed at each try".into()))
    }

    async fn put_head(&self, head: Head, revision: Option<Revision>) -> Result<Revision, Error> {
        let value =
            serde_json::to_value(head).map_err(|error| Error::Invalid(error.to_string()))?;
        match revision {
            Some(revision) => self.store.update(&self.head_name(), &value, revision).await,
            None => self.store.create(&self.head_name(), &value).await,
        }
    }
}

impl RetentionTracker {
    /// Notes that `snapshot` stands now, and gives the last one that has stood for [`RETENTION`].
    fn note<C>(&mut self, now: Timestamp, snapshot: u64, clock: &C) -> u64
    where
        C: Clock,
    {
        if self.seen.back().is_none_or(|(_, last)| *last < snapshot) {
            self.seen.push_back((now, snapshot));
        }
        let aged = |entry: &(Timestamp, u64)| entry.0.monotonic_elapsed(clock) >= RETENTION;
        while self.seen.get(1).is_some_and(aged) {
            self.seen.pop_front();
        }
        self.seen
            .front()
            .filter(|entry| aged(entry))
            .map_or(0, |(_, snapshot)| *snapshot)
    }
}
