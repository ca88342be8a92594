//! Leases: who does a job that one should do. They save work only.
//!
//! A lease says nothing about what its holder's writes may do: a holder that
//! was paused may act after its lease lapsed, and before it has looked at the
//! clock. Whatever must hold is guarded by the journal's numbers instead.

use crate::{Error, Object, Revision, Store};
use clock::Clock;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use std::time::{Duration, Instant};

/// What a lease's object says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Grant {
    holder: SmolStr,
    nonce: SmolStr,
    duration_ms: u64,
}

/// A lease as it stands in the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Name of the lease.
    pub name: SmolStr,
    /// Who holds it, or held it last.
    pub holder: SmolStr,
    /// The write that made it so.
    pub revision: Revision,
    /// How long it stands without a renewal.
    pub duration: Duration,
}

/// Leases read at once.
const PAGE: usize = 100;

/// Reads all leases whose names start with `prefix`, as they are now or were some seconds ago.
///
/// # Errors
///
/// When the platform can't be read.
pub async fn list<S>(store: &S, prefix: &str, is_exact: bool) -> Result<Vec<LeaseRecord>, Error>
where
    S: Store,
{
    let prefix = format!("{FOLDER}{prefix}");
    let mut all = Vec::new();
    let mut after = SmolStr::default();
    loop {
        let page = if is_exact {
            store.list(&prefix, &after, PAGE).await?
        } else {
            store.list_stale(&prefix, &after, PAGE).await?
        };
        all.extend(page.items.iter().filter_map(read_standing));
        match page.items.last() {
            Some(last) if page.has_more => after = last.name.clone(),
            _ => return Ok(all),
        }
    }
}

fn read_grant(object: &Object) -> Option<Grant> {
    Grant::deserialize(&object.value).ok()
}

fn read_standing(object: &Object) -> Option<LeaseRecord> {
    let grant = read_grant(object)?;
    Some(LeaseRecord {
        name: object.name.strip_prefix(FOLDER)?.into(),
        holder: grant.holder,
        revision: object.revision,
        duration: Duration::from_millis(grant.duration_ms),
    })
}

/// Folder of all leases.
const FOLDER: &str = "leases/";

/// Another's lease as this process has seen it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    revision: Revision,
    since: Instant,
    duration: Duration,
}

/// A lease that this process holds or would like to hold.
#[derive(Debug)]
pub struct Lease<S, C> {
    store: S,
    clock: C,
    name: SmolStr,
    holder: SmolStr,
    duration: Duration,
    until: Option<Instant>,
    revision: Option<Revision>,
    rival: Option<Seen>,
}

impl<S, C> Lease<S, C>
where
    S: Store,
    C: Clock,
{
    /// Names a lease that `holder` would like to hold for `duration` at a time.
    #[must_use]
    pub fn open(store: S, clock: C, name: &str, holder: &str, duration: Duration) -> Self {
        Self {
            store,
            clock,
            name: format_smolstr!("{FOLDER}{name}"),
            holder: holder.into(),
            duration,
            until: None,
            revision: None,
            rival: None,
        }
    }

    /// Tells whether the lease is surely held at this moment.
    ///
    /// The time counts from before the renewal was sent. A holder that was
    /// paused finds here that its lease may have lapsed, even though nobody
    /// told it; that is why it has to ask each time before it acts.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.until.is_some_and(|until| self.clock.now() < until)
    }

    /// Gives the end of the lease, as far as it is known to be held.
    #[must_use]
    pub fn expires_at(&self) -> Option<Instant> {
        self.until.filter(|_| self.is_held())
    }

    /// Renews the lease, or takes it when it is free or has lapsed; tells whether it is held.
    ///
    /// To be called a few times within each duration.
    ///
    /// # Errors
    ///
    /// When the platform can't be read or written. The lease is then held up
    /// to the end that was known before.
    pub async fn acquire_or_renew(&mut self) -> Result<bool, Error> {
        let sent = self.clock.now();
        let nonce = format_smolstr!("{:016x}", rand::random::<u64>());
        let outcome = match self.revision {
            Some(revision) => self.update(&nonce, revision).await,
            None => self.take(&nonce).await,
        };
        match outcome {
            Ok(Some(revision)) => {
                self.revision = Some(revision);
                self.until = Some(sent + self.duration);
            }
            Ok(None) => {}
            // What was held is gone with the platform's last seconds; it is taken anew, unless
            // somebody else was faster.
            Err(Error::Gone) => {
                self.lose();
                self.retake(&nonce, sent).await?;
            }
            Err(Error::Conflict | Error::NotFound) => self.lose(),
            Err(Error::Unknown(why)) => return self.settle(&nonce, sent, why).await,
            Err(error) => return Err(error),
        }
        Ok(self.is_held())
    }

    /// Takes the lease from a holder that can't be reached, if it still stands at `revision`.
    ///
    /// The holder may live and go on: see the module's words on what a lease is for.
    ///
    /// # Errors
    ///
    /// As [`Lease::acquire_or_renew`].
    pub async fn take_over(&mut self, revision: Revision) -> Result<bool, Error> {
        self.revision = Some(revision);
        let outcome = self.acquire_or_renew().await;
        if !self.is_held() {
            self.lose();
        }
        outcome
    }

    /// Gives the lease up, so that another need not wait for its end.
    ///
    /// # Errors
    ///
    /// When the platform can't be written; the lease then lapses by itself.
    pub async fn release(&mut self) -> Result<(), Error> {
        self.until = None;
        let Some(revision) = self.revision.take() else {
            return Ok(());
        };
        match self.store.delete(&self.name, Some(revision)).await {
            Err(Error::Conflict | Error::NotFound) => Ok(()),
            outcome => outcome,
        }
    }

    fn lose(&mut self) {
        self.until = None;
        self.revision = None;
    }

    fn grant(&self, nonce: &str) -> Result<serde_json::Value, Error> {
        let grant = Grant {
            holder: self.holder.clone(),
            nonce: nonce.into(),
            duration_ms: u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX),
        };
        serde_json::to_value(grant).map_err(|error| Error::Invalid(error.to_string()))
    }

    /// Takes the lease again after the platform has come back from a copy.
    async fn retake(&mut self, nonce: &str, sent: Instant) -> Result<(), Error> {
        let object = self.store.get(&self.name).await?;
        let grant = object.as_ref().and_then(read_grant);
        let is_own = grant.is_some_and(|grant| grant.holder == self.holder);
        let taken = match &object {
            Some(object) if is_own => self.update(nonce, object.revision).await,
            _ => self.take(nonce).await,
        };
        match taken {
            Ok(revision) => {
                self.until = revision.map(|_| sent + self.duration);
                self.revision = revision;
                Ok(())
            }
            Err(Error::Conflict | Error::NotFound | Error::Gone) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn update(&self, nonce: &str, revision: Revision) -> Result<Option<Revision>, Error> {
        let grant = self.grant(nonce)?;
        let updated = self.store.update(&self.name, &grant, revision).await?;
        Ok(Some(updated))
    }

    async fn take(&mut self, nonce: &str) -> Result<Option<Revision>, Error> {
        let Some(object) = self.store.get(&self.name).await? else {
            let grant = self.grant(nonce)?;
            return self.store.create(&self.name, &grant).await.map(Some);
        };
        if self.has_lapsed(&object) {
            return self.update(nonce, object.revision).await;
        }
        Ok(None)
    }

    /// Tells whether another's lease has stood unchanged for its whole duration.
    ///
    /// That is measured by this process's clock since it first saw it so; the
    /// holder counts from before it was sent, thus ends earlier.
    fn has_lapsed(&mut self, object: &Object) -> bool {
        let now = self.clock.now();
        if let Some(seen) = &self.rival
            && seen.revision == object.revision
        {
            return now.duration_since(seen.since) >= seen.duration;
        }
        let grant = read_grant(object);
        let duration = grant.map_or(self.duration, |grant| {
            Duration::from_millis(grant.duration_ms)
        });
        self.rival = Some(Seen {
            revision: object.revision,
            since: now,
            duration,
        });
        false
    }

    /// Finds out whether a write whose answer was lost took effect.
    async fn settle(&mut self, nonce: &str, sent: Instant, why: String) -> Result<bool, Error> {
        let Some(object) = self.store.get(&self.name).await? else {
            self.lose();
            return Ok(false);
        };
        let grant = read_grant(&object);
        if grant.is_some_and(|grant| grant.nonce == nonce) {
            self.revision = Some(object.revision);
            self.until = Some(sent + self.duration);
            return Ok(self.is_held());
        }
        // It did not take effect yet, and may still do so.
        if Some(object.revision) != self.revision {
            self.lose();
        }
        Err(Error::Unknown(why))
    }
}
