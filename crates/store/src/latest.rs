//! A reader of objects that are replaced as a whole.

use crate::{Error, Event, Object, Revision, Store, Watch};
use policy::backoff::Backoff;
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::time::Duration;

/// First bound of the wait before the platform is asked again.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Last bound: a version is to be in force 2 s after the platform took it, also
/// when that was the first thing it did after an outage.
const LAST_WAIT: Duration = Duration::from_millis(800);

/// Objects read at once; the folder holds few.
const PAGE: usize = 100;

/// A reader of one object, or of all objects of a folder, that are replaced as a whole.
#[derive(Debug)]
pub struct ObjectWatcher<S> {
    store: S,
    /// The object; none stands for all of the folder.
    name: Option<SmolStr>,
    folder: SmolStr,
    watch: Option<Watch>,
    /// Objects that were read and not given yet.
    ready: VecDeque<Object>,
    seen: Option<Revision>,
    is_connected: bool,
    backoff: Backoff,
}

impl<S> ObjectWatcher<S>
where
    S: Store,
{
    /// Starts to follow the object `name`.
    #[must_use]
    pub fn open(store: S, name: &str) -> Self {
        let folder = name.rsplit_once('/').map_or("", |(folder, _)| folder);
        Self::follow(store, folder, Some(name.into()))
    }

    /// Starts to follow all objects of a folder, none of which may be deleted.
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
            ready: VecDeque::new(),
            seen: None,
            is_connected: true,
            backoff: Backoff::new(FIRST_WAIT, LAST_WAIT),
        }
    }

    /// Waits for an object's next state, through outages; states in between may be left out.
    pub async fn next(&mut self) -> Object {
        loop {
            if let Some(object) = self.ready.pop_front() {
                return object;
            }
            match self.advance().await {
                Ok(()) => {
                    if !self.is_connected {
                        log::info!(object:% = self.what(); "platform_back");
                    }
                    self.is_connected = true;
                    self.backoff.reset();
                }
                // The events in between are gone, the object is not.
                Err(Error::Gone) => self.watch = None,
                Err(error) => self.pause(&error).await,
            }
        }
    }

    async fn advance(&mut self) -> Result<(), Error> {
        let Some(watch) = &mut self.watch else {
            return self.read().await;
        };
        if let Event::Put(object) = watch.next().await? {
            self.take(object);
        }
        Ok(())
    }

    /// Reads the folder, whose revision is where the watch goes on from.
    async fn read(&mut self) -> Result<(), Error> {
        let list = self.store.list(&self.folder, "", PAGE).await?;
        self.watch = Some(self.store.watch(&self.folder, list.revision).await?);
        let mut items = list.items;
        items.sort_by_key(|object| object.revision);
        for object in items {
            self.take(object);
        }
        Ok(())
    }

    /// Keeps an object for the reader if it is newer than what was kept before.
    fn take(&mut self, object: Object) {
        let is_wanted = self.name.as_ref().is_none_or(|name| *name == object.name);
        if is_wanted && self.seen.is_none_or(|seen| object.revision > seen) {
            self.seen = Some(object.revision);
            self.ready.push_back(object);
        }
    }

    fn what(&self) -> &SmolStr {
        self.name.as_ref().unwrap_or(&self.folder)
    }

    /// Waits with full jitter, so that the readers of all zones don't come back at once.
    async fn pause(&mut self, error: &Error) {
        if self.is_connected {
            log::warn!(object:% = self.what(), error:%; "platform_lost");
        }
        self.is_connected = false;
        self.watch = None;
        let wait = self.backoff.next_delay(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}
