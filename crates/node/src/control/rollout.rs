//! Reads operators' roll-outs in the platform, and writes there how far they have come.

use crate::shared::Shared;
use clock::Clock;
use config::Rollout;
use log::{info, warn};
use platform::rollout::{self, Standing};
use policy::backoff::Backoff;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};
use store::{Error, Object, Revision, Store};

/// Orders read at once.
const PAGE: usize = 100;

/// Bounds of the wait before the platform is asked again.
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LAST_WAIT: Duration = Duration::from_millis(800);

/// The place of roll-outs in the platform.
#[derive(Debug)]
pub(crate) struct Book<C, S>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    store: S,
}

impl<C, S> Book<C, S>
where
    C: Clock,
    S: Store,
{
    pub(crate) fn open(shared: Arc<Shared<C>>, store: S) -> Self {
        Self { shared, store }
    }

    /// Reads all roll-outs.
    pub(crate) async fn list(&self) -> Result<Vec<Rollout>, Error> {
        let page = self.store.list(rollout::FOLDER, "", PAGE).await?;
        let objects = page.items.iter();
        let standings = objects.filter_map(|object| read(&self.shared, object));
        Ok(standings.map(|standing| standing.rollout).collect())
    }

    /// Reports that an order of which nothing is reported yet is in progress.
    ///
    /// One that others report on at the same moment is left to them.
    pub(crate) async fn settle(&self, standing: Standing, revision: Revision) -> Rollout {
        if !standing.is_reported
            && let Err(error) = self.write(&standing.rollout, revision).await
        {
            info!(service = standing.rollout.service.as_str(), error:%; "rollout_not_written");
        }
        standing.rollout
    }

    /// Writes how far a roll-out has come, until that or another verdict stands there.
    ///
    /// Each write is bound to the revision just read, so that of two verdicts one stands. Gives
    /// what stands then; nothing when the order is gone or another one has taken its place.
    pub(crate) async fn report(&self, wanted: Rollout) -> Vec<Rollout> {
        let mut backoff = Backoff::new(FIRST_WAIT, LAST_WAIT);
        loop {
            match self.try_report(&wanted).await {
                Ok(stands) => return stands.into_iter().collect(),
                Err(error) => {
                    warn!(service = wanted.service.as_str(), error:%; "rollout_not_written");
                }
            }
            let wait = backoff.next_delay(&mut rand::rng());
            tokio::time::sleep(wait).await;
        }
    }

    async fn try_report(&self, wanted: &Rollout) -> Result<Option<Rollout>, Error> {
        let name = format!("{}{}", rollout::FOLDER, wanted.service);
        let Some(object) = self.store.get(&name).await? else {
            return Ok(None);
        };
        let Some(standing) = read(&self.shared, &object) else {
            return Ok(None);
        };
        let is_other = standing.rollout.target != wanted.target;
        if is_other || standing.rollout.stage.is_final() {
            return Ok(Some(standing.rollout));
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

/// Reads one roll-out; one that can't be read is told and left out.
pub(crate) fn read<C>(shared: &Shared<C>, object: &Object) -> Option<Standing>
where
    C: Clock,
{
    match rollout::decode(object, now_ms(shared)) {
        Ok(standing) => Some(standing),
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
    let since = shared.clock.wall().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
