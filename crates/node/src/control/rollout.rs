//! Reads the roll-outs that operators order in the platform, and writes their progress there.

use crate::shared::Shared;
use clock::Clock;
use config::Rollout;
use log::{info, warn};
use platform::rollout::{self, StoredRollout};
use policy::backoff::Backoff;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};
use store::{Error, Object, Revision, Store};

/// Maximum number of orders that are read.
const PAGE_SIZE: usize = 100;

/// Backoff between attempts to write to the platform.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
const BACKOFF_CAP: Duration = Duration::from_millis(800);

/// Access to the roll-outs stored in the platform.
#[derive(Debug)]
pub(crate) struct RolloutStore<C, S>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    store: S,
}

impl<C, S> RolloutStore<C, S>
where
    C: Clock,
    S: Store,
{
    pub(crate) fn open(shared: Arc<Shared<C>>, store: S) -> Self {
        Self { shared, store }
    }

    /// Reads the roll-outs, at most [`PAGE_SIZE`].
    pub(crate) async fn list(&self) -> Result<Vec<Rollout>, Error> {
        let page = self.store.list(rollout::FOLDER, "", PAGE_SIZE).await?;
        let objects = page.items.iter();
        let stored_rollouts = objects.filter_map(|object| decode(&self.shared, object));
        Ok(stored_rollouts.map(|stored| stored.rollout).collect())
    }

    /// Reports an order as in progress if nothing has been reported on it yet.
    ///
    /// A write that fails is not retried: another root may have reported on the order at the same
    /// time.
    pub(crate) async fn mark_in_progress(
        &self,
        stored: StoredRollout,
        revision: Revision,
    ) -> Rollout {
        if !stored.has_status
            && let Err(error) = self.write(&stored.rollout, revision).await
        {
            info!(service = stored.rollout.service.as_str(), error:%; "rollout_not_written");
        }
        stored.rollout
    }

    /// Writes the progress of a roll-out; retries until this progress, a final stage or a newer
    /// order is stored.
    ///
    /// Each write is conditional on the revision just read, so that of two concurrent outcomes only
    /// one is stored. Returns the stored roll-out, which may be a newer order, or nothing if the
    /// order is gone or can't be decoded.
    pub(crate) async fn write_with_retries(&self, wanted: Rollout) -> Vec<Rollout> {
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP);
        loop {
            match self.try_write(&wanted).await {
                Ok(stored) => return stored.into_iter().collect(),
                Err(error) => {
                    warn!(service = wanted.service.as_str(), error:%; "rollout_not_written");
                }
            }
            let wait = backoff.next_delay(&mut rand::rng());
            tokio::time::sleep(wait).await;
        }
    }

    async fn try_write(&self, wanted: &Rollout) -> Result<Option<Rollout>, Error> {
        let name = format!("{}{}", rollout::FOLDER, wanted.service);
        let Some(object) = self.store.get(&name).await? else {
            return Ok(None);
        };
        let Some(stored) = decode(&self.shared, &object) else {
            return Ok(None);
        };
        let is_replaced = stored.rollout.target != wanted.target;
        if is_replaced || stored.rollout.stage.is_final() {
            return Ok(Some(stored.rollout));
        }
        self.write(wanted, object.revision).await?;
        info!(
            service = wanted.service.as_str(),
            target = wanted.target.as_str(),
            stage:? = wanted.stage;
            "rollout_reported"
        );
        Ok(Some(wanted.clone()))
    }

    async fn write(&self, rollout: &Rollout, revision: Revision) -> Result<(), Error> {
        let name = format!("{}{}", rollout::FOLDER, rollout.service);
        let status = rollout::encode(rollout, now_ms(&self.shared));
        self.store.update_status(&name, &status, revision).await?;
        Ok(())
    }
}

/// Decodes one roll-out; one that can't be decoded is logged and skipped.
pub(crate) fn decode<C>(shared: &Shared<C>, object: &Object) -> Option<StoredRollout>
where
    C: Clock,
{
    match rollout::decode(object, now_ms(shared)) {
        Ok(stored) => Some(stored),
        Err(error) => {
            warn!(object:% = object.name, error:%; "rollout_unreadable");
            None
        }
    }
}

fn now_ms<C>(shared: &Shared<C>) -> u64
where
    C: Clock,
{
    let elapsed = shared.clock.wall().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
