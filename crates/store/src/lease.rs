//! Leases, which assign a task to one process at a time. Leases only avoid duplicate work.
//!
//! A lease does not protect its holder's writes: a holder that was paused may still act after
//! its lease has expired, before it checks the clock. Anything that correctness depends on is
//! guarded by the journal's record numbers instead.

use crate::{Error, Object, Revision, Store};
use clock::Clock;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use std::time::{Duration, Instant};

/// Content of a lease's object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseContent {
    holder: SmolStr,
    nonce: SmolStr,
    duration_ms: u64,
}

/// A lease as stored on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Name of the lease.
    pub name: SmolStr,
    /// Current holder, or the last one if the lease has expired.
    pub holder: SmolStr,
    /// Revision of the lease's last write.
    pub revision: Revision,
    /// Time until the lease expires without a renewal.
    pub duration: Duration,
}

/// Number of leases read per list request.
const PAGE_SIZE: usize = 100;

/// Reads all leases whose names start with `prefix`. Unless `is_exact`, the result may be some
/// seconds old.
///
/// # Errors
///
/// Fails when the platform can't be read.
pub async fn list<S>(store: &S, prefix: &str, is_exact: bool) -> Result<Vec<LeaseRecord>, Error>
where
    S: Store,
{
    let prefix = format!("{FOLDER}{prefix}");
    let mut all = Vec::new();
    let mut after = SmolStr::default();
    loop {
        let page = if is_exact {
            store.list(&prefix, &after, PAGE_SIZE).await?
        } else {
            store.list_stale(&prefix, &after, PAGE_SIZE).await?
        };
        all.extend(page.items.iter().filter_map(parse_record));
        match page.items.last() {
            Some(last) if page.has_more => after = last.name.clone(),
            _ => return Ok(all),
        }
    }
}

fn parse_content(object: &Object) -> Option<LeaseContent> {
    LeaseContent::deserialize(&object.value).ok()
}

fn parse_record(object: &Object) -> Option<LeaseRecord> {
    let content = parse_content(object)?;
    Some(LeaseRecord {
        name: object.name.strip_prefix(FOLDER)?.into(),
        holder: content.holder,
        revision: object.revision,
        duration: Duration::from_millis(content.duration_ms),
    })
}

/// Folder of all leases.
const FOLDER: &str = "leases/";

/// A lease held by another process, as this process has observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ObservedLease {
    revision: Revision,
    /// When this process first saw the lease at this revision.
    first_seen: Instant,
    duration: Duration,
}

/// A lease that this process holds or tries to acquire.
#[derive(Debug)]
pub struct Lease<S, C> {
    store: S,
    clock: C,
    name: SmolStr,
    holder: SmolStr,
    duration: Duration,
    expires_at: Option<Instant>,
    /// Revision that the next renewal replaces, or `None` if the lease has to be acquired first.
    revision: Option<Revision>,
    observed: Option<ObservedLease>,
}

impl<S, C> Lease<S, C>
where
    S: Store,
    C: Clock,
{
    /// Creates a client of the lease `name`, on behalf of `holder`, without accessing the
    /// platform. Each renewal extends the lease by `duration`.
    #[must_use]
    pub fn open(store: S, clock: C, name: &str, holder: &str, duration: Duration) -> Self {
        Self {
            store,
            clock,
            name: format_smolstr!("{FOLDER}{name}"),
            holder: holder.into(),
            duration,
            expires_at: None,
            revision: None,
            observed: None,
        }
    }

    /// Returns whether the lease is certainly held now.
    ///
    /// The lease's duration counts from before its last renewal was sent. A holder that was paused
    /// learns only from this method that its lease may have expired, so it has to call the method
    /// each time before it acts.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.expires_at
            .is_some_and(|expires_at| self.clock.now() < expires_at)
    }

    /// Returns when the lease expires, if it is certainly held now.
    #[must_use]
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at.filter(|_| self.is_held())
    }

    /// Renews the lease, or acquires it when it is free or has expired. Returns whether it is held.
    ///
    /// To keep the lease, the holder has to call this method several times within the lease's
    /// duration.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be read or written. The lease then counts as held until the
    /// previously known expiry at most.
    pub async fn acquire_or_renew(&mut self) -> Result<bool, Error> {
        let sent_at = self.clock.now();
        let nonce = format_smolstr!("{:016x}", rand::random::<u64>());
        let outcome = match self.revision {
            Some(revision) => self.update(&nonce, revision).await,
            None => self.acquire(&nonce).await,
        };
        match outcome {
            Ok(Some(revision)) => {
                self.revision = Some(revision);
                self.expires_at = Some(sent_at + self.duration);
            }
            Ok(None) => {}
            // The platform was restored from a backup and has lost the lease's last writes. The
            // lease is acquired again, unless another process was faster.
            Err(Error::Gone) => {
                self.clear();
                self.reacquire(&nonce, sent_at).await?;
            }
            Err(Error::Conflict | Error::NotFound) => self.clear(),
            Err(Error::Unknown(reason)) => {
                return self.resolve_lost_write(&nonce, sent_at, reason).await;
            }
            Err(error) => return Err(error),
        }
        Ok(self.is_held())
    }

    /// Takes the lease over from a holder that can't be reached, if it is still at `revision`.
    ///
    /// The former holder may be alive and continue to act; see the module documentation for what
    /// a lease guarantees.
    ///
    /// # Errors
    ///
    /// Fails as [`Lease::acquire_or_renew`] does.
    pub async fn take_over(&mut self, revision: Revision) -> Result<bool, Error> {
        self.revision = Some(revision);
        let outcome = self.acquire_or_renew().await;
        if !self.is_held() {
            self.clear();
        }
        outcome
    }

    /// Releases the lease, so that another process need not wait for its expiry.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be written; the lease then expires by itself.
    pub async fn release(&mut self) -> Result<(), Error> {
        self.expires_at = None;
        let Some(revision) = self.revision.take() else {
            return Ok(());
        };
        match self.store.delete(&self.name, Some(revision)).await {
            Err(Error::Conflict | Error::NotFound) => Ok(()),
            outcome => outcome,
        }
    }

    fn clear(&mut self) {
        self.expires_at = None;
        self.revision = None;
    }

    fn make_content(&self, nonce: &str) -> Result<serde_json::Value, Error> {
        let content = LeaseContent {
            holder: self.holder.clone(),
            nonce: nonce.into(),
            duration_ms: u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX),
        };
        serde_json::to_value(content).map_err(|error| Error::Invalid(error.to_string()))
    }

    /// Acquires the lease again after the platform was restored from a backup.
    async fn reacquire(&mut self, nonce: &str, sent_at: Instant) -> Result<(), Error> {
        let object = self.store.get(&self.name).await?;
        let content = object.as_ref().and_then(parse_content);
        let is_own = content.is_some_and(|content| content.holder == self.holder);
        let written = match &object {
            Some(object) if is_own => self.update(nonce, object.revision).await,
            _ => self.acquire(nonce).await,
        };
        match written {
            Ok(revision) => {
                self.expires_at = revision.map(|_| sent_at + self.duration);
                self.revision = revision;
                Ok(())
            }
            Err(Error::Conflict | Error::NotFound | Error::Gone) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn update(&self, nonce: &str, revision: Revision) -> Result<Option<Revision>, Error> {
        let content = self.make_content(nonce)?;
        let updated = self.store.update(&self.name, &content, revision).await?;
        Ok(Some(updated))
    }

    async fn acquire(&mut self, nonce: &str) -> Result<Option<Revision>, Error> {
        let Some(object) = self.store.get(&self.name).await? else {
            let content = self.make_content(nonce)?;
            return self.store.create(&self.name, &content).await.map(Some);
        };
        if self.has_expired(&object) {
            return self.update(nonce, object.revision).await;
        }
        Ok(None)
    }

    /// Returns whether another process's lease has been unchanged for its whole duration.
    ///
    /// The duration counts, by this process's clock, from when it first saw the lease's revision.
    /// The holder counts the duration from before its write was sent, so it stops acting earlier.
    fn has_expired(&mut self, object: &Object) -> bool {
        let now = self.clock.now();
        if let Some(observed) = &self.observed
            && observed.revision == object.revision
        {
            return now.duration_since(observed.first_seen) >= observed.duration;
        }
        let content = parse_content(object);
        let duration = content.map_or(self.duration, |content| {
            Duration::from_millis(content.duration_ms)
        });
        self.observed = Some(ObservedLease {
            revision: object.revision,
            first_seen: now,
            duration,
        });
        false
    }

    /// Determines whether a write whose response was lost took effect.
    async fn resolve_lost_write(
        &mut self,
        nonce: &str,
        sent_at: Instant,
        reason: String,
    ) -> Result<bool, Error> {
        let Some(object) = self.store.get(&self.name).await? else {
            self.clear();
            return Ok(false);
        };
        let content = parse_content(&object);
        if content.is_some_and(|content| content.nonce == nonce) {
            self.revision = Some(object.revision);
            self.expires_at = Some(sent_at + self.duration);
            return Ok(self.is_held());
        }
        // The write has not taken effect yet, and may still do so.
        if Some(object.revision) != self.revision {
            self.clear();
        }
        Err(Error::Unknown(reason))
    }
}
