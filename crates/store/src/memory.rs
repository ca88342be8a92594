//! An in-memory implementation of the platform's store, with fault injection.
//!
//! Tests use it in place of the real platform, and the stand-in serves it over HTTP.

use crate::MAX_VALUE_BYTES;
use crate::{Error, Event, List, Object, Revision, Store, Watch};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Number of events kept for watches that start in the past; a watch that starts before the oldest
/// of them gets [`Error::Gone`].
const MAX_HISTORY: usize = 4096;

/// Interval between the bookmarks of a watch.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(2);

/// Faults that are injected into calls and watches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Calls fail without taking effect, and watches end.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming writes that take effect, but whose responses are lost.
    pub lose_next: u32,
    /// Percentage of writes that take effect, but whose responses are lost.
    pub lose_percent: u8,
    /// Number of upcoming writes whose requests are delayed: they take effect only when
    /// [`MemoryStore::deliver_late_writes`] is called.
    pub late_next: u32,
    /// Watches stay open but deliver no events, not even bookmarks.
    pub silent_watches: bool,
}

/// Numbers of requests received so far; a watch counts once, when it is opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Reads and list requests.
    pub reads: u64,
    /// Watches opened.
    pub watches: u64,
    /// Creations, updates and deletions.
    pub writes: u64,
    /// Writes that failed with a conflict.
    pub conflicts: u64,
}

/// A write request.
#[derive(Debug, Clone)]
enum Write {
    Create(SmolStr, Value),
    Update(SmolStr, Value, Revision),
    Status(SmolStr, Value, Revision),
    Delete(SmolStr, Option<Revision>),
}

#[derive(Debug)]
struct State {
    objects: BTreeMap<SmolStr, Object>,
    history: VecDeque<Event>,
    revision: Revision,
    /// Events up to this revision are no longer in `history`.
    compacted_revision: Revision,
    faults: Faults,
    delayed: Vec<Write>,
    request_counts: RequestCounts,
    rng: SmallRng,
}

/// The platform's store in memory; clones share the same objects.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<Revision>,
    eras: watch::Sender<Option<u64>>,
}

/// A backup of all objects, for [`MemoryStore::restore`].
#[derive(Debug, Clone)]
pub struct Backup {
    objects: BTreeMap<SmolStr, Object>,
    last_write_number: u64,
}

/// The fault that is injected into a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    None,
    ResponseLost,
    Delayed,
}

impl MemoryStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::with_seed(0)
    }

    /// Creates an empty store whose random faults are determined by `seed`.
    #[must_use]
    pub fn with_seed(seed: u64) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                objects: BTreeMap::new(),
                history: VecDeque::new(),
                revision: Revision::default(),
                compacted_revision: Revision::default(),
                faults: Faults::default(),
                delayed: Vec::new(),
                request_counts: RequestCounts::default(),
                rng: SmallRng::seed_from_u64(seed),
            })),
            changed: watch::Sender::new(Revision::default()),
            eras: watch::Sender::new(Some(0)),
        }
    }

    /// Replaces the faults that are injected.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.send_modify(|_| {});
    }

    /// Returns the faults that are injected now.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Returns the numbers of requests received so far.
    #[must_use]
    pub fn request_counts(&self) -> RequestCounts {
        self.lock().request_counts
    }

    /// Applies the delayed writes now.
    pub fn deliver_late_writes(&self) {
        let mut state = self.lock();
        let delayed = std::mem::take(&mut state.delayed);
        for write in delayed {
            // The caller has already been given an error.
            drop(state.apply(write));
        }
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Makes a backup of all objects.
    #[must_use]
    pub fn backup(&self) -> Backup {
        let state = self.lock();
        Backup {
            objects: state.objects.clone(),
            last_write_number: state.revision.number,
        }
    }

    /// Restores a backup: a new era begins, and everything written since the backup is lost.
    pub fn restore(&self, backup: Backup) {
        let mut state = self.lock();
        let era = state.revision.era + 1;
        let restore = |mut object: Object| {
            object.revision.era = era;
            object
        };
        let objects = backup.objects.into_iter();
        state.objects = objects
            .map(|(name, object)| (name, restore(object)))
            .collect();
        state.revision = Revision {
            era,
            number: backup.last_write_number,
        };
        state.compacted_revision = state.revision;
        state.history.clear();
        state.delayed.clear();
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
        self.eras.send_replace(Some(era));
    }

    /// Drops all events, so that watches from earlier revisions get [`Error::Gone`].
    pub fn compact_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.compacted_revision = state.revision;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the faults that all calls share: the delay of a slow platform, and its outage.
    async fn apply_common_faults(&self) -> Result<(), Error> {
        let delay_ms = self.lock().faults.slow_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if self.lock().faults.down {
            return Err(Error::Unavailable("down".into()));
        }
        Ok(())
    }

    async fn write(&self, write: Write) -> Result<Revision, Error> {
        self.lock().request_counts.writes += 1;
        self.apply_common_faults().await?;
        let mut state = self.lock();
        let fault = state.sample_fault();
        if fault == InjectedFault::Delayed {
            state.delayed.push(write);
            return Err(Error::Unknown(
                "request delayed by an injected fault".into(),
            ));
        }
        let outcome = state.apply(write);
        if outcome == Err(Error::Conflict) {
            state.request_counts.conflicts += 1;
        }
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
        if fault == InjectedFault::ResponseLost {
            return Err(Error::Unknown(
                "response dropped by an injected fault".into(),
            ));
        }
        outcome
    }

    async fn read<T, F>(&self, query: F) -> Result<T, Error>
    where
        F: FnOnce(&State) -> T,
    {
        self.lock().request_counts.reads += 1;
        self.apply_common_faults().await?;
        Ok(query(&self.lock()))
    }

    async fn run_watch(
        self,
        prefix: SmolStr,
        from: Revision,
        sender: mpsc::Sender<Result<Event, Error>>,
    ) {
        let mut changed = self.changed.subscribe();
        let mut position = from;
        // Bookmarks are due at fixed times, and not after a period without events. Otherwise a
        // steady stream of writes to other folders would postpone bookmarks forever, as these
        // writes wake this loop too.
        let mut bookmarks = tokio::time::interval(BOOKMARK_INTERVAL);
        bookmarks.reset();
        loop {
            let (next, revision) = {
                changed.borrow_and_update();
                let state = self.lock();
                if state.faults.down {
                    return;
                }
                (state.read_history(&prefix, position), state.revision)
            };
            let events = match next {
                Ok(events) => events,
                Err(error) => return drop(sender.send(Err(error)).await),
            };
            position = revision;
            for event in events {
                if sender.send(Ok(event)).await.is_err() {
                    return;
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sender.closed() => return,
                _ = bookmarks.tick() => {
                    let bookmark = self.lock().bookmark(position);
                    if let Some(bookmark) = bookmark
                        && sender.send(Ok(bookmark)).await.is_err()
                    {
                        return;
                    }
                }
            }
        }
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    fn sample_fault(&mut self) -> InjectedFault {
        if self.faults.late_next > 0 {
            self.faults.late_next -= 1;
            return InjectedFault::Delayed;
        }
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return InjectedFault::ResponseLost;
        }
        if self.rng.random_range(0..100) < self.faults.lose_percent {
            return InjectedFault::ResponseLost;
        }
        InjectedFault::None
    }

    /// Returns a bookmark for a watch that has read all events up to `position`.
    fn bookmark(&self, position: Revision) -> Option<Event> {
        let is_current = position == self.revision && !self.faults.silent_watches;
        is_current.then(|| Event::Bookmark {
            revision: self.revision,
            at: Instant::now(),
        })
    }

    fn apply(&mut self, write: Write) -> Result<Revision, Error> {
        match write {
            Write::Create(name, value) => {
                if self.objects.contains_key(&name) {
                    return Err(Error::Conflict);
                }
                self.put(name, value, Value::Null)
            }
            Write::Update(name, value, expected) => {
                self.check(&name, Some(expected))?;
                let status = self.objects.get(&name).map(|object| object.status.clone());
                self.put(name, value, status.unwrap_or_default())
            }
            Write::Status(name, status, expected) => {
                self.check(&name, Some(expected))?;
                let value = self.objects.get(&name).map(|object| object.value.clone());
                self.put(name, value.unwrap_or_default(), status)
            }
            Write::Delete(name, expected) => {
                self.check(&name, expected)?;
                self.objects.remove(&name);
                self.revision.number += 1;
                let revision = self.revision;
                self.record_event(Event::Deleted { name, revision });
                Ok(revision)
            }
        }
    }

    fn check(&self, name: &str, expected: Option<Revision>) -> Result<(), Error> {
        if expected.is_some_and(|expected| expected.era != self.revision.era) {
            return Err(Error::Gone);
        }
        let object = self.objects.get(name).ok_or(Error::NotFound)?;
        if expected.is_some_and(|expected| expected != object.revision) {
            return Err(Error::Conflict);
        }
        Ok(())
    }

    fn put(&mut self, name: SmolStr, value: Value, status: Value) -> Result<Revision, Error> {
        if value.to_string().len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge);
        }
        self.revision.number += 1;
        let object = Object {
            name: name.clone(),
            revision: self.revision,
            value,
            status,
        };
        self.objects.insert(name, object.clone());
        self.record_event(Event::Put(object));
        Ok(self.revision)
    }

    fn record_event(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_revision = oldest.revision();
        }
    }

    fn read_history(&self, prefix: &str, position: Revision) -> Result<Vec<Event>, Error> {
        if self.faults.silent_watches {
            return Ok(Vec::new());
        }
        if position < self.compacted_revision {
            return Err(Error::Gone);
        }
        let first_newer = self
            .history
            .partition_point(|event| event.revision() <= position);
        let matching = self
            .history
            .range(first_newer..)
            .filter(|event| match event {
                Event::Put(object) => object.name.starts_with(prefix),
                Event::Deleted { name, .. } => name.starts_with(prefix),
                Event::Bookmark { .. } => false,
            });
        Ok(matching.cloned().collect())
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> List {
        let start = prefix.max(after);
        let bound = if after < prefix {
            Bound::Included(start)
        } else {
            Bound::Excluded(start)
        };
        let mut matching = self
            .objects
            .range::<str, _>((bound, Bound::Unbounded))
            .map(|(_, object)| object)
            .take_while(|object| object.name.starts_with(prefix));
        let items = matching.by_ref().take(limit).cloned().collect();
        List {
            items,
            revision: self.revision,
            has_more: matching.next().is_some(),
        }
    }
}

impl Store for MemoryStore {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        self.read(|state| state.objects.get(name).cloned()).await
    }

    async fn list(&self, folder: &str, after: &str, limit: usize) -> Result<List, Error> {
        self.read(|state| state.list(folder, after, limit)).await
    }

    async fn create(&self, name: &str, value: &Value) -> Result<Revision, Error> {
        self.write(Write::Create(name.into(), value.clone())).await
    }

    fn watch_era(&self) -> watch::Receiver<Option<u64>> {
        self.eras.subscribe()
    }

    async fn update(
        &self,
        name: &str,
        value: &Value,
        expected: Revision,
    ) -> Result<Revision, Error> {
        self.write(Write::Update(name.into(), value.clone(), expected))
            .await
    }

    async fn update_status(
        &self,
        name: &str,
        status: &Value,
        expected: Revision,
    ) -> Result<Revision, Error> {
        self.write(Write::Status(name.into(), status.clone(), expected))
            .await
    }

    async fn delete(&self, name: &str, expected: Option<Revision>) -> Result<(), Error> {
        self.write(Write::Delete(name.into(), expected)).await?;
        Ok(())
    }

    async fn watch(&self, folder: &str, from: Revision) -> Result<Watch, Error> {
        self.lock().request_counts.watches += 1;
        self.apply_common_faults().await?;
        let (sender, watch) = Watch::channel();
        tokio::spawn(self.clone().run_watch(folder.into(), from, sender));
        Ok(watch)
    }
}
