//! A platform in the process's own memory, with faults on demand.
//!
//! Tests use it in place of the real one, and the stand-in serves it over HTTP.

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
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Events kept for watches that start in the past, before they are told [`Error::Gone`].
const HISTORY: usize = 4096;

/// Time between two bookmarks of a watch.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(2);

/// Faults that are in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// No call is answered, none takes effect, and watches end.
    pub down: bool,
    /// Every call takes this long, in milliseconds.
    pub slow_ms: u64,
    /// That many next writes take effect, but their answers are lost.
    pub lose_next: u32,
    /// Share of writes whose answers are lost after the effect, in per cent.
    pub lose_percent: u8,
    /// That many next writes are lost on the way, and take effect only when [`MemoryStore::deliver_late_writes`] is called.
    pub late_next: u32,
    /// Watches say nothing more, not even bookmarks, yet stay open.
    pub silent_watches: bool,
}

/// Calls that were made, each counted once; a waiting watch is one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads and lists.
    pub reads: u64,
    /// Watches opened.
    pub watches: u64,
    /// Creations, updates and deletions.
    pub writes: u64,
    /// Those among the writes that met a conflict.
    pub conflicts: u64,
}

/// A write on its way.
#[derive(Debug, Clone)]
enum Write {
    Create(SmolStr, Value),
    Update(SmolStr, Value, Revision),
    Status(SmolStr, Value, Revision),
    Delete(SmolStr, Option<Revision>),
}

#[derive(Debug)]
struct Table {
    objects: BTreeMap<SmolStr, Object>,
    history: VecDeque<Event>,
    revision: Revision,
    forgotten: Revision,
    faults: Faults,
    late: Vec<Write>,
    counts: Counts,
    rng: SmallRng,
}

/// A platform in memory; clones share it.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    table: Arc<Mutex<Table>>,
    changed: watch::Sender<Revision>,
    eras: watch::Sender<Option<u64>>,
}

/// A copy of a platform, to come back from.
#[derive(Debug, Clone)]
pub struct Backup {
    objects: BTreeMap<SmolStr, Object>,
    number: u64,
}

/// What the faults in force do to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered,
    AnswerLost,
    Late,
}

impl MemoryStore {
    /// Makes an empty platform.
    #[must_use]
    pub fn new() -> Self {
        Self::with_seed(0)
    }

    /// Makes an empty platform whose random faults follow `seed`.
    #[must_use]
    pub fn with_seed(seed: u64) -> Self {
        Self {
            table: Arc::new(Mutex::new(Table {
                objects: BTreeMap::new(),
                history: VecDeque::new(),
                revision: Revision::default(),
                forgotten: Revision::default(),
                faults: Faults::default(),
                late: Vec::new(),
                counts: Counts::default(),
                rng: SmallRng::seed_from_u64(seed),
            })),
            changed: watch::Sender::new(Revision::default()),
            eras: watch::Sender::new(Some(0)),
        }
    }

    /// Sets the faults in force, in place of those before.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.send_modify(|_| {});
    }

    /// Gives the faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Gives the calls counted so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Lets the writes that were lost on the way arrive now.
    pub fn deliver_late_writes(&self) {
        let mut table = self.lock();
        let late = std::mem::take(&mut table.late);
        for write in late {
            // Nobody waits for the answer any more.
            drop(table.apply(write));
        }
        let revision = table.revision;
        drop(table);
        self.changed.send_replace(revision);
    }

    /// Takes a copy of all objects.
    #[must_use]
    pub fn backup(&self) -> Backup {
        let table = self.lock();
        Backup {
            objects: table.objects.clone(),
            number: table.revision.number,
        }
    }

    /// Comes back from a copy: a new era begins, and what was written since is gone.
    pub fn restore(&self, copy: Backup) {
        let mut table = self.lock();
        let era = table.revision.era + 1;
        let back = |mut object: Object| {
            object.revision.era = era;
            object
        };
        let objects = copy.objects.into_iter();
        table.objects = objects.map(|(name, one)| (name, back(one))).collect();
        table.revision = Revision {
            era,
            number: copy.number,
        };
        table.forgotten = table.revision;
        table.history.clear();
        table.late.clear();
        let revision = table.revision;
        drop(table);
        self.changed.send_replace(revision);
        self.eras.send_replace(Some(era));
    }

    /// Forgets all events, so that watches from before are told [`Error::Gone`].
    pub fn compact_history(&self) {
        let mut table = self.lock();
        table.history.clear();
        table.forgotten = table.revision;
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits as long as a slow platform makes its callers wait.
    async fn enter(&self) -> Result<(), Error> {
        let slow = self.lock().faults.slow_ms;
        if slow > 0 {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
        if self.lock().faults.down {
            return Err(Error::Unavailable("down".into()));
        }
        Ok(())
    }

    async fn write(&self, write: Write) -> Result<Revision, Error> {
        self.lock().counts.writes += 1;
        self.enter().await?;
        let mut table = self.lock();
        let fate = table.draw_fate();
        if fate == Fate::Late {
            table.late.push(write);
            return Err(Error::Unknown("lost on the way".into()));
        }
        let outcome = table.apply(write);
        if outcome == Err(Error::Conflict) {
            table.counts.conflicts += 1;
        }
        let revision = table.revision;
        drop(table);
        self.changed.send_replace(revision);
        if fate == Fate::AnswerLost {
            return Err(Error::Unknown("lost on the way back".into()));
        }
        outcome
    }

    async fn read<T, F>(&self, take: F) -> Result<T, Error>
    where
        F: FnOnce(&Table) -> T,
    {
        self.lock().counts.reads += 1;
        self.enter().await?;
        Ok(take(&self.lock()))
    }

    async fn feed(
        self,
        prefix: SmolStr,
        from: Revision,
        sender: mpsc::Sender<Result<Event, Error>>,
    ) {
        let mut changed = self.changed.subscribe();
        let mut position = from;
        // Due by the clock and not by silence: writes that don't concern the
        // watch would else hold its bookmarks off for good.
        let mut bookmarks = tokio::time::interval(BOOKMARK_INTERVAL);
        bookmarks.reset();
        loop {
            let (next, revision) = {
                changed.borrow_and_update();
                let table = self.lock();
                if table.faults.down {
                    return;
                }
                (table.read_history(&prefix, position), table.revision)
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
                    let bookmark = self.lock().draw_bookmark();
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

impl Table {
    fn draw_fate(&mut self) -> Fate {
        if self.faults.late_next > 0 {
            self.faults.late_next -= 1;
            return Fate::Late;
        }
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return Fate::AnswerLost;
        }
        if self.rng.random_range(0..100) < self.faults.lose_percent {
            return Fate::AnswerLost;
        }
        Fate::Answered
    }

    fn draw_bookmark(&self) -> Option<Event> {
        (!self.faults.silent_watches).then_some(Event::Bookmark(self.revision))
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
                self.remember(Event::Deleted { name, revision });
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
        self.remember(Event::Put(object));
        Ok(self.revision)
    }

    fn remember(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() > HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.forgotten = oldest.revision();
        }
    }

    fn read_history(&self, prefix: &str, position: Revision) -> Result<Vec<Event>, Error> {
        if self.faults.silent_watches {
            return Ok(Vec::new());
        }
        if position < self.forgotten {
            return Err(Error::Gone);
        }
        let newer = self
            .history
            .partition_point(|event| event.revision() <= position);
        let named = self.history.range(newer..).filter(|event| match event {
            Event::Put(object) => object.name.starts_with(prefix),
            Event::Deleted { name, .. } => name.starts_with(prefix),
            Event::Bookmark(_) => false,
        });
        Ok(named.cloned().collect())
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> List {
        let start = prefix.max(after);
        let bound = if after < prefix {
            Bound::Included(start)
        } else {
            Bound::Excluded(start)
        };
        let mut named = self
            .objects
            .range::<str, _>((bound, Bound::Unbounded))
            .map(|(_, object)| object)
            .take_while(|object| object.name.starts_with(prefix));
        let items = named.by_ref().take(limit).cloned().collect();
        List {
            items,
            revision: self.revision,
            has_more: named.next().is_some(),
        }
    }
}

impl Store for MemoryStore {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        self.read(|table| table.objects.get(name).cloned()).await
    }

    async fn list(&self, folder: &str, after: &str, limit: usize) -> Result<List, Error> {
        self.read(|table| table.list(folder, after, limit)).await
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
        self.lock().counts.watches += 1;
        self.enter().await?;
        let (sender, watch) = Watch::channel();
        tokio::spawn(self.clone().feed(folder.into(), from, sender));
        Ok(watch)
    }
}
