//! Crashes that roots write to the platform, for nodes that no control link reaches.
//!
//! Each root lease has its own object, with all crashes that the lease's holder remembers;
//! readers merge the objects. Writers therefore never wait for each other, and a fleet that
//! restarts completely gets its crash history back.

use crate::{Error, Object, Store};
use call::Crash;
use clock::Clock;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Folder that holds one object per root lease.
pub const FOLDER: &str = "crashes/";

/// Number of objects read per list request.
const PAGE_SIZE: usize = 100;

/// Content of an object: the crashes that a root remembers.
#[derive(Debug, Serialize, Deserialize)]
struct StoredCrashes {
    /// Time of writing, in milliseconds since the Unix epoch; the crashes' ages are relative to it.
    #[serde(rename = "told_ms")]
    written_ms: u64,
    crashes: Vec<Value>,
}

/// The crashes that roots publish on the platform.
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
    /// Opens the crash objects of `store`, without accessing the platform.
    #[must_use]
    pub fn open(store: S, clock: C) -> Self {
        Self { store, clock }
    }

    /// Replaces the crashes stored for the root lease `lease`.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached, or when another holder of the lease writes at the
    /// same time.
    pub async fn write(&self, lease: &str, crashes: &[Crash]) -> Result<(), Error> {
        let to_invalid = |error: serde_json::Error| Error::Invalid(error.to_string());
        let values = crashes.iter().map(serde_json::to_value);
        let stored = StoredCrashes {
            written_ms: unix_ms(self.clock.wall()),
            crashes: values.collect::<Result<_, _>>().map_err(to_invalid)?,
        };
        let value = serde_json::to_value(stored).map_err(to_invalid)?;
        let name = format!("{FOLDER}{lease}");
        match self.store.get(&name).await? {
            Some(existing) => self.store.update(&name, &value, existing.revision).await?,
            None => self.store.create(&name, &value).await?,
        };
        Ok(())
    }

    /// Reads the crashes of all root leases.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached.
    pub async fn list(&self) -> Result<Vec<Crash>, Error> {
        let page = self.store.list(FOLDER, "", PAGE_SIZE).await?;
        let objects = page.items.iter();
        Ok(objects.flat_map(|object| self.decode(object)).collect())
    }

    /// Decodes the crashes of one object, with their ages as of now.
    ///
    /// Crashes that can't be decoded are left out: another version of the software may write
    /// more kinds of data about a crash.
    #[must_use]
    pub fn decode(&self, object: &Object) -> Vec<Crash> {
        let stored = match StoredCrashes::deserialize(&object.value) {
            Ok(stored) => stored,
            Err(error) => {
                log::warn!(object:% = object.name, error:%; "board_unreadable");
                return Vec::new();
            }
        };
        let written_at = UNIX_EPOCH + Duration::from_millis(stored.written_ms);
        let elapsed = self
            .clock
            .wall()
            .duration_since(written_at)
            .unwrap_or_default();
        let elapsed = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        let mut crashes = Vec::new();
        for value in &stored.crashes {
            match Crash::deserialize(value) {
                Ok(crash) => crashes.push(Crash {
                    age_ms: crash.age_ms.saturating_add(elapsed),
                    ..crash
                }),
                Err(error) => log::warn!(object:% = object.name, error:%; "board_unreadable"),
            }
        }
        crashes
    }
}

fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
