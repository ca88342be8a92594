//! Writes a journal's snapshots and removes its old records.

use crate::envelope::make_envelope;
use crate::journal::{Head, Timestamp, parse_number};
use crate::{Error, Journal, Revision, Store};
use clock::Clock;
use serde_json::Value;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a record is kept after a snapshot that contains the record was first seen.
///
/// This time must be far above [`crate::journal::FLOOR_CHECK_AFTER`], and above the longest time
/// that a reader takes from reading a snapshot to reading the records after it.
pub const RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of objects removed per call of [`Journal::remove_old`]. Removals thus stay a
/// small part of the platform's writes, and one page of listed objects with the largest values fits
/// in a node's memory.
const MAX_REMOVALS: usize = 8;

/// Maximum number of attempts to update the head while other processes update it too.
const MAX_HEAD_ATTEMPTS: u32 = 4;

/// Tracks how long ago this process first saw each of a journal's snapshots.
///
/// The age of a snapshot counts from the moment at which this process first saw it, so the clocks
/// of different processes need not agree. A process that has just started therefore removes nothing
/// at first.
#[derive(Debug, Clone, Default)]
pub struct RetentionTracker {
    /// When each snapshot was first seen, and its number, oldest first.
    first_seen: VecDeque<(Timestamp, u64)>,
}

impl<S, C> Journal<S, C>
where
    S: Store,
    C: Clock,
{
    /// Writes a snapshot that contains all records up to `number`, and makes readers start from
    /// this snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be written; the journal remains valid.
    pub async fn write_snapshot(
        &self,
        number: u64,
        nonce: &str,
        value: &Value,
    ) -> Result<(), Error> {
        let envelope = make_envelope(&self.store, &self.parts_prefix(number), nonce, value).await?;
        match self
            .store
            .create(&self.snapshot_name(number), &envelope)
            .await
        {
            // All snapshots of one number have the same content, whoever wrote them.
            Ok(_) | Err(Error::Conflict) => {}
            Err(error) => return Err(error),
        }
        self.update_head(|head| Head {
            snapshot: head.snapshot.max(number),
            ..head
        })
        .await?;
        Ok(())
    }

    /// Removes some of the objects that no reader needs any more. Returns whether more such objects
    /// may be left.
    ///
    /// The last `keep` records before the last snapshot are always kept.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be read or written; the next call continues the removal.
    pub async fn remove_old(
        &self,
        retention: &mut RetentionTracker,
        keep: u64,
    ) -> Result<bool, Error> {
        let (head, _) = self.read_head().await?;
        let aged_snapshot =
            retention.observe(Timestamp::now(&self.clock), head.snapshot, &self.clock);
        let floor = aged_snapshot.min(head.snapshot.saturating_sub(keep));
        // The floor is raised before anything is removed, so that a reader that checks the floor
        // after reading records can't mistake a gap for the end of the journal.
        let head = self
            .update_head(|head| Head {
                floor: head.floor.max(floor),
                ..head
            })
            .await?;
        self.remove_below(head.floor).await
    }

    async fn remove_below(&self, floor: u64) -> Result<bool, Error> {
        let mut remaining = MAX_REMOVALS;
        // A reader may still be reading the snapshot at the floor and its parts.
        for (folder, end) in [("log", floor + 1), ("snapshots", floor), ("parts", floor)] {
            let prefix = format!("{}/{folder}/", self.name);
            let page = self.store.list(&prefix, "", remaining).await?;
            for object in page.items {
                let number = object.name[prefix.len()..].split('.').next();
                if number.and_then(parse_number).is_none_or(|n| n >= end) {
                    break;
                }
                match self.store.delete(&object.name, None).await {
                    Ok(()) | Err(Error::NotFound) => remaining -= 1,
                    Err(error) => return Err(error),
                }
            }
            if remaining == 0 {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Applies `change` to the head; `change` must never lower the head's numbers.
    async fn update_head<F>(&self, change: F) -> Result<Head, Error>
    where
        F: Fn(Head) -> Head,
    {
        for _ in 0..MAX_HEAD_ATTEMPTS {
            let (head, revision) = self.read_head().await?;
            let next = change(head);
            if next == head {
                return Ok(head);
            }
            match self.write_head(next, revision).await {
                Ok(_) => return Ok(next),
                // Another process updated the head, or this attempt did and the response was lost;
                // reading the head again covers both cases.
                Err(Error::Conflict | Error::Unknown(_)) => {}
                Err(error) => return Err(error),
            }
        }
        Err(Error::Unavailable(
            "the head changed at each attempt".into(),
        ))
    }

    async fn write_head(&self, head: Head, revision: Option<Revision>) -> Result<Revision, Error> {
        let value =
            serde_json::to_value(head).map_err(|error| Error::Invalid(error.to_string()))?;
        match revision {
            Some(revision) => self.store.update(&self.head_name(), &value, revision).await,
            None => self.store.create(&self.head_name(), &value).await,
        }
    }
}

impl RetentionTracker {
    /// Records that `snapshot` is the number of the last snapshot at `now`. Returns the number of
    /// the newest snapshot that was first seen at least [`RETENTION`] ago, or 0 if there is no such
    /// snapshot.
    fn observe<C>(&mut self, now: Timestamp, snapshot: u64, clock: &C) -> u64
    where
        C: Clock,
    {
        if self
            .first_seen
            .back()
            .is_none_or(|(_, last)| *last < snapshot)
        {
            self.first_seen.push_back((now, snapshot));
        }
        let is_aged = |entry: &(Timestamp, u64)| entry.0.monotonic_elapsed(clock) >= RETENTION;
        while self.first_seen.get(1).is_some_and(is_aged) {
            self.first_seen.pop_front();
        }
        self.first_seen
            .front()
            .filter(|entry| is_aged(entry))
            .map_or(0, |(_, snapshot)| *snapshot)
    }
}
