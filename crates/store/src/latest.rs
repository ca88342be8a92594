//! A reader of one object that is replaced as a whole.

use crate::{Error, Event, Object, Revision, Store, Watch};
use policy::backoff::Backoff;
use smol_str::SmolStr;
use std::time::Duration;

/// First bound of the wait before the platform is asked again.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Last bound: a version is to be in force 2 s after the platform took it, also
/// when that was the first thing it did after an outage.
const LAST_WAIT: Duration = Duration::from_millis(800);

/// Objects read at once; the folder holds few.
const PAGE: usize = 100;

/// A reader of one object that is replaced as a whole.
#[derive(Debug)]
pub struct Latest<S> {
    store: S,
    name: SmolStr,
    folder: SmolStr,
    watch: Option<Watch>,
    seen: Option<Revision>,
    is_connected: bool,
    backoff: Backoff,
}

impl<S> Latest<S>
where
    S: Store,
{
    /// Starts to follow the object `name`.
    #[must_use]
    pub fn open(store: S, name: &str) -> Self {
        Self {
            store,
            name: name.into(),
            folder: name
                .rsplit_once('/')
                .map_or("", |(folder, _)| folder)
                .into(),
            watch: None,
            seen: None,
            is_connected: true,
            backoff: Backoff::new(FIRST_WAIT, LAST_WAIT),
        }
    }

    /// Waits for the object's next state, through outages; states in between may be left out.
    pub async fn next(&mut self) -> Object {
        loop {
            match self.advance().await {
                Ok(found) => {
                    if !self.is_connected {
                        log::info!(object:% = self.name; "platform_back");
                    }
                    self.is_connected = true;
                    self.backoff.reset();
                    if let Some(object) = found {
                        return object;
                    }
                }
                // The events in between are gone, the object is not.
                Err(Error::Gone) => self.watch = None,
                Err(error) => self.pause(&error).await,
            }
        }
    }

    async fn advance(&mut self) -> Result<Option<Object>, Error> {
        let Some(watch) = &mut self.watch else {
            return self.read().await;
        };
        match watch.next().await? {
            Event::Put(object) if object.name == self.name => Ok(self.take(object)),
            Event::Put(_) | Event::Deleted { .. } | Event::Bookmark(_) => Ok(None),
        }
    }

    /// Reads the folder, whose revision is where the watch goes on from.
    async fn read(&mut self) -> Result<Option<Object>, Error> {
        let list = self.store.list(&self.folder, "", PAGE).await?;
        self.watch = Some(self.store.watch(&self.folder, list.revision).await?);
        let found = list
            .items
            .into_iter()
            .find(|object| object.name == self.name);
        Ok(found.and_then(|object| self.take(object)))
    }

    /// Gives the object if it is newer than what was given before.
    fn take(&mut self, object: Object) -> Option<Object> {
        if self.seen.is_some_and(|seen| object.revision <= seen) {
            return None;
        }
        self.seen = Some(object.revision);
        Some(object)
    }

    /// Waits with full jitter, so that the readers of all zones don't come back at once.
    async fn pause(&mut self, error: &Error) {
        if self.is_connected {
            log::warn!(object:% = self.name, error:%; "platform_lost");
        }
        self.is_connected = false;
        self.watch = None;
        let wait = self.backoff.next(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}
