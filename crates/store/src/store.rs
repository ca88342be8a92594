//! Interface to the platform's object API.

use crate::Error;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use std::fmt;
use std::time::Instant;
use tokio::sync::{mpsc, watch};

/// Maximum size of a value, in bytes of JSON (the platform's limit is a megabyte).
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Position of a write in the order of all the platform's writes.
///
/// Numbers only grow within an era. A platform that is restored from a backup reuses the
/// numbers of the writes it has lost, and begins a new era, whose writes all come after those
/// of the previous era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How many times the platform had been restored from a backup before the write.
    pub era: u64,
    /// Number of the write within its era.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// An object at a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// Name, `FOLDER/LEAF` such as `versions/log/00000000000000000007`.
    pub name: SmolStr,
    /// Revision of the object's last write.
    pub revision: Revision,
    /// Content of the object.
    pub value: Value,
    /// Status reported by the process that acts on the object; null until such a process has
    /// reported.
    pub status: Value,
}

/// A page of objects, in the order of their names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct List {
    /// The objects.
    pub items: Vec<Object>,
    /// Revision at which the objects were read; a watch from this revision misses no later write.
    pub revision: Revision,
    /// Whether more objects follow the last object of this page.
    pub has_more: bool,
}

/// Event of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An object was created or changed.
    Put(Object),
    /// An object was deleted.
    Deleted {
        /// Name of the object.
        name: SmolStr,
        /// Revision of the deletion.
        revision: Revision,
    },
    /// The watch has delivered all its events up to this revision. Bookmarks also show that the
    /// watch is alive.
    Bookmark {
        /// Revision from which the watch may resume.
        revision: Revision,
        /// A moment at which the platform had no further events.
        at: Instant,
    },
}

impl Event {
    /// Returns whether the event is a change or deletion of an object, not a bookmark.
    #[must_use]
    pub fn is_change(&self) -> bool {
        !matches!(self, Self::Bookmark { .. })
    }

    /// Returns the revision from which a watch may resume after this event.
    #[must_use]
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(object) => object.revision,
            Self::Deleted { revision, .. } | Self::Bookmark { revision, .. } => *revision,
        }
    }
}

/// What the reader of a watch learns next.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice<T> {
    /// Something has changed.
    Update(T),
    /// Nothing had changed at this moment.
    Unchanged(Instant),
}

/// Number of events that are buffered for the reader of a watch before the sender has to wait.
const WATCH_BUFFER: usize = 64;

/// A running watch, which ends when it is dropped.
#[derive(Debug)]
pub struct Watch {
    events: mpsc::Receiver<Result<Event, Error>>,
}

impl Watch {
    /// Creates a watch and the sender of its events.
    #[must_use]
    pub fn channel() -> (mpsc::Sender<Result<Event, Error>>, Self) {
        let (sender, events) = mpsc::channel(WATCH_BUFFER);
        (sender, Self { events })
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Any error ends the watch. After [`Error::Gone`] the reader has to list the objects again;
    /// after any other error it has to open a new watch from the revision of the last event.
    pub async fn next(&mut self) -> Result<Event, Error> {
        match self.events.recv().await {
            Some(event) => event,
            None => Err(Error::Unavailable("the watch has ended".into())),
        }
    }
}

/// The platform's object API.
///
/// Names are paths; lists and watches cover whole folders.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Reads an object's value as JSON text, which costs a fifth of the memory of a [`Value`].
    fn get_text(&self, name: &str) -> impl Future<Output = Result<Option<String>, Error>> + Send {
        async move { Ok(self.get(name).await?.map(|object| object.value.to_string())) }
    }

    /// Reads up to `limit` objects of a folder (such as `versions/log/`) whose names come after
    /// `after`, in the order of their names.
    fn list(
        &self,
        folder: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<List, Error>> + Send;

    /// Like [`Store::list`], but the result may be some seconds old; cheaper where the platform
    /// supports it.
    fn list_stale(
        &self,
        folder: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<List, Error>> + Send {
        self.list(folder, after, limit)
    }

    /// Returns the same store for a redundant reader, whose watches poll less often because
    /// another reader backs it up.
    #[must_use]
    fn with_relaxed_polling(&self) -> Self {
        self.clone()
    }

    /// Creates an object; fails with [`Error::Conflict`] when it already exists.
    fn create(
        &self,
        name: &str,
        value: &Value,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Returns a receiver of the platform's era, which is `None` until it is known. When a new era
    /// begins, the platform has lost its last seconds of writes.
    fn watch_era(&self) -> watch::Receiver<Option<u64>>;

    /// Changes an object that is still at `expected`; fails with [`Error::Conflict`] when it is
    /// not, and with [`Error::Gone`] when `expected` is of another era.
    fn update(
        &self,
        name: &str,
        value: &Value,
        expected: Revision,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Sets the status of an object that is still at `expected`; fails with
    /// [`Error::Conflict`] when it is not.
    fn update_status(
        &self,
        name: &str,
        status: &Value,
        expected: Revision,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Deletes an object. If `expected` is given, the object is deleted only while it is at that
    /// revision.
    fn delete(
        &self,
        name: &str,
        expected: Option<Revision>,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Watches the objects of a folder for all writes after `from`.
    fn watch(
        &self,
        folder: &str,
        from: Revision,
    ) -> impl Future<Output = Result<Watch, Error>> + Send;
}
