//! Watches objects that are replaced as a whole.

use crate::{Error, Event, Notice, Object, Revision, Store, Watch};
use policy::backoff::Backoff;
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Upper bound of the random delay before the platform is called again after a first failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);

/// Upper bound of this delay after any number of failures. A version has to be in force 2 s after
/// the platform accepted it, even if that was the platform's first write after an outage.
const BACKOFF_CAP: Duration = Duration::from_millis(800);

/// Number of objects read per list request; a folder holds fewer.
const PAGE_SIZE: usize = 100;

/// Follows one object, or all objects of a folder, that are replaced as a whole.
#[derive(Debug)]
pub struct ObjectWatcher<S> {
    store: S,
    /// Name of the object, or `None` for all objects of the folder.
    name: Option<SmolStr>,
    folder: SmolStr,
    watch: Option<Watch>,
    /// Objects that were read and not returned yet.
    pending: VecDeque<Object>,
    /// Revision of the newest object received.
    newest: Option<Revision>,
    is_connected: bool,
    backoff: Backoff,
}

impl<S> ObjectWatcher<S>
where
    S: Store,
{
    /// Follows the object `name`.
    #[must_use]
    pub fn open(store: S, name: &str) -> Self {
        let folder = name.rsplit_once('/').map_or("", |(folder, _)| folder);
        Self::follow(store, folder, Some(name.into()))
    }

    /// Follows all objects of a folder, none of which may be deleted.
    #[must_use]
    pub fn open_folder(store: S, folder: &str) -> Self {
        Self::follow(store, folder, None)
    }

    fn follow(store: S, folder: &str, name: Option<SmolStr>) -> Self {
        Self {
            store,
            name,
            folder: folder.into(),
            watch: None,
            pending: VecDeque::new(),
            newest: None,
            is_connected: true,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP),
        }
    }

    /// Waits for the next state of an object, across outages; intermediate states may be skipped.
    pub async fn next(&mut self) -> Object {
        loop {
            if let Notice::Update(object) = self.next_notice().await {
                return object;
            }
        }
    }

    /// As [`ObjectWatcher::next`], and also returns each time that the platform reports no change.
    pub async fn next_notice(&mut self) -> Notice<Object> {
        loop {
            if let Some(object) = self.pending.pop_front() {
                return Notice::Update(object);
            }
            match self.advance().await {
                Ok(unchanged_at) => {
                    if !self.is_connected {
                        log::info!(object:% = self.target(); "platform_back");
                    }
                    self.is_connected = true;
                    self.backoff.reset();
                    if let Some(at) = unchanged_at {
                        return Notice::Unchanged(at);
                    }
                }
                // The events since the watch's revision are no longer available, but the objects
                // can be listed again.
                Err(Error::Gone) => self.watch = None,
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Receives the next event of the watch. If no watch is open, lists the folder and opens a
    /// watch. Returns the moment of a bookmark.
    async fn advance(&mut self) -> Result<Option<Instant>, Error> {
        let Some(watch) = &mut self.watch else {
            self.list_and_watch().await?;
            return Ok(None);
        };
        match watch.next().await? {
            Event::Put(object) => self.enqueue(object),
            Event::Deleted { .. } => {}
            Event::Bookmark { at, .. } => return Ok(Some(at)),
        }
        Ok(None)
    }

    /// Lists the folder and watches it from the list's revision.
    async fn list_and_watch(&mut self) -> Result<(), Error> {
        let list = self.store.list(&self.folder, "", PAGE_SIZE).await?;
        self.watch = Some(self.store.watch(&self.folder, list.revision).await?);
        let mut items = list.items;
        items.sort_by_key(|object| object.revision);
        for object in items {
            self.enqueue(object);
        }
        Ok(())
    }

    /// Queues an object for the reader if it is newer than all objects queued before.
    fn enqueue(&mut self, object: Object) {
        let is_followed = self.name.as_ref().is_none_or(|name| *name == object.name);
        if is_followed && self.newest.is_none_or(|newest| object.revision > newest) {
            self.newest = Some(object.revision);
            self.pending.push_back(object);
        }
    }

    /// Returns the name of the object or folder, for log lines.
    fn target(&self) -> &SmolStr {
        self.name.as_ref().unwrap_or(&self.folder)
    }

    /// Waits with full jitter, so that the readers of all zones don't reconnect at once.
    async fn back_off(&mut self, error: &Error) {
        if self.is_connected {
            log::warn!(object:% = self.target(), error:%; "platform_lost");
        }
        self.is_connected = false;
        self.watch = None;
        let wait = self.backoff.next_delay(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}
