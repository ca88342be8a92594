//! The platform as the rest of the system sees it.

use crate::Error;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use std::fmt;
use tokio::sync::{mpsc, watch};

/// Largest value, in bytes of JSON (the platform's limit of a megabyte).
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The place of a write among all the platform's writes.
///
/// Numbers only grow within an era. A platform that comes back from a copy gives the numbers of
/// what it has lost out again, and begins a new era, all of whose writes come after the former's.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the platform had come back from a copy.
    pub era: u64,
    /// Number of the write.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// An object as it stood at a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// Name, `FOLDER/LEAF` such as `versions/log/00000000000000000007`.
    pub name: SmolStr,
    /// The write that made it so.
    pub revision: Revision,
    /// What it holds.
    pub value: Value,
    /// What whoever acts on it reports; null as long as nobody has.
    pub status: Value,
}

/// Objects in the order of their names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct List {
    /// The objects.
    pub items: Vec<Object>,
    /// The revision at which they were read; a watch from here misses nothing.
    pub revision: Revision,
    /// Whether there are more after the last one.
    pub has_more: bool,
}

/// News of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An object was made or changed.
    Put(Object),
    /// An object was deleted.
    Deleted {
        /// Its name.
        name: SmolStr,
        /// The deletion's revision.
        revision: Revision,
    },
    /// Nothing up to this revision concerns the watch; it also shows that the watch lives.
    Bookmark(Revision),
}

impl Event {
    /// Tells whether an object has changed.
    #[must_use]
    pub fn is_change(&self) -> bool {
        !matches!(self, Self::Bookmark(_))
    }

    /// Gives the revision that a watch may go on from after this event.
    #[must_use]
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(object) => object.revision,
            Self::Deleted { revision, .. } | Self::Bookmark(revision) => *revision,
        }
    }
}

/// Events that wait for the reader of a watch, before the sender has to wait.
const WATCH_BUFFER: usize = 64;

/// A running watch; dropping it ends it.
#[derive(Debug)]
pub struct Watch {
    events: mpsc::Receiver<Result<Event, Error>>,
}

impl Watch {
    /// Makes a watch and the end that feeds it.
    #[must_use]
    pub fn channel() -> (mpsc::Sender<Result<Event, Error>>, Self) {
        let (sender, events) = mpsc::channel(WATCH_BUFFER);
        (sender, Self { events })
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Any error ends the watch: [`Error::Gone`] asks for a new list, all
    /// others for a new watch from the last event's revision.
    pub async fn next(&mut self) -> Result<Event, Error> {
        match self.events.recv().await {
            Some(event) => event,
            None => Err(Error::Unavailable("the watch has ended".into())),
        }
    }
}

/// The platform's object API.
///
/// Names are paths; lists and watches take whole folders.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Reads an object's value as JSON text, which costs a fifth of the memory of a [`Value`].
    fn get_text(&self, name: &str) -> impl Future<Output = Result<Option<String>, Error>> + Send {
        async move { Ok(self.get(name).await?.map(|object| object.value.to_string())) }
    }

    /// Reads up to `limit` objects of a folder (`versions/log/`) that come after `after`, in order.
    fn list(
        &self,
        folder: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<List, Error>> + Send;

    /// The same as [`Store::list`], but perhaps as it was some seconds ago; cheaper where the platform can.
    fn list_stale(
        &self,
        folder: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<List, Error>> + Send {
        self.list(folder, after, limit)
    }

    /// Gives the same store for a reader whom another one backs up: its watches ask less often.
    #[must_use]
    fn with_relaxed_polling(&self) -> Self {
        self.clone()
    }

    /// Makes an object; [`Error::Conflict`] when it stands already.
    fn create(
        &self,
        name: &str,
        value: &Value,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Tells the platform's era once it is known, and when another one begins: then its last
    /// seconds are gone.
    fn watch_era(&self) -> watch::Receiver<Option<u64>>;

    /// Changes an object that is still at `expected`; [`Error::Conflict`] when it is not, and
    /// [`Error::Gone`] when that is of another era.
    fn update(
        &self,
        name: &str,
        value: &Value,
        expected: Revision,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Reports on an object that is still at `expected`; [`Error::Conflict`] when it is not.
    fn update_status(
        &self,
        name: &str,
        status: &Value,
        expected: Revision,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Deletes an object, only if it is still at `expected` where that is given.
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
