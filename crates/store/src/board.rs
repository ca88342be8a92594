//! Crashes that roots write to the platform, for those whom no link leads to.
//!
//! Each seat of a root has an object of its own, which says all that its holder
//! remembers; whoever reads them joins them. So writers never wait for each other, and
//! a fleet that restarts whole finds what it knew.

use crate::{Error, Object, Store};
use call::Crash;
use clock::Clock;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Folder of the objects.
pub const FOLDER: &str = "crashes/";

/// Objects read at once.
const PAGE: usize = 100;

/// What an object says.
#[derive(Debug, Serialize, Deserialize)]
struct Note {
    /// When it was written, in milliseconds of the Unix epoch: ages count from here.
    told_ms: u64,
    crashes: Vec<Value>,
}

/// Where roots write and read crashes.
#[derive(Debug, Clone)]
pub struct CrashStore<S, C> {
    store: S,
    clock: C,
}

impl<S, C> CrashStore<S, C>
where
    S: Store,
    C: Clock,
{
    /// Names the place in a store.
    #[must_use]
    pub fn open(store: S, clock: C) -> Self {
        Self { store, clock }
    }

    /// Writes what the holder of a seat remembers, in place of what stood there.
    ///
    /// # Errors
    ///
    /// When the platform can't be reached, or another holder writes at the same moment.
    pub async fn write(&self, seat: &str, crashes: &[Crash]) -> Result<(), Error> {
        let as_invalid = |error: serde_json::Error| Error::Invalid(error.to_string());
        let values = crashes.iter().map(serde_json::to_value);
        let note = Note {
            told_ms: millis_of(self.clock.wall()),
            crashes: values.collect::<Result<_, _>>().map_err(as_invalid)?,
        };
        let value = serde_json::to_value(note).map_err(as_invalid)?;
        let name = format!("{FOLDER}{seat}");
        match self.store.get(&name).await? {
            Some(held) => self.store.update(&name, &value, held.revision).await?,
            None => self.store.create(&name, &value).await?,
        };
        Ok(())
    }

    /// Reads what all seats say.
    ///
    /// # Errors
    ///
    /// When the platform can't be reached.
    pub async fn list(&self) -> Result<Vec<Crash>, Error> {
        let page = self.store.list(FOLDER, "", PAGE).await?;
        let objects = page.items.iter();
        Ok(objects.flat_map(|object| self.decode(object)).collect())
    }

    /// Reads what one object says, with the ages that the crashes have now.
    ///
    /// What can't be read is left out: another writer may know more kinds of evidence.
    #[must_use]
    pub fn decode(&self, object: &Object) -> Vec<Crash> {
        let note = match Note::deserialize(&object.value) {
            Ok(note) => note,
            Err(error) => {
                log::warn!(object:% = object.name, error:%; "board_unreadable");
                return Vec::new();
            }
        };
        let told = UNIX_EPOCH + Duration::from_millis(note.told_ms);
        let since = self.clock.wall().duration_since(told).unwrap_or_default();
        let since = u32::try_from(since.as_millis()).unwrap_or(u32::MAX);
        let mut crashes = Vec::new();
        for value in &note.crashes {
            match Crash::deserialize(value) {
                Ok(crash) => crashes.push(Crash {
                    age_ms: crash.age_ms.saturating_add(since),
                    ..crash
                }),
                Err(error) => log::warn!(object:% = object.name, error:%; "board_unreadable"),
            }
        }
        crashes
    }
}

fn millis_of(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
