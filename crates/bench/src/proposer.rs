//! An operator who proposes one version after another.

use crate::deployment::{put_route, put_service};
use crate::error::Error;
use clock::System;
use config::{Change, Class, Mesh, Patch, Repeat, Version};
use platform::Client;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use store::Journal;
use store::propose::{Outcome, Proposal, propose};
use store::version::{Id, JOURNAL};

/// Changes in one proposal of the first configuration.
const FIRST_CHANGES: usize = 400;

/// An operator, and what was accepted so far.
#[derive(Debug)]
pub struct Proposer {
    /// The last version.
    pub version: Version,
    /// Its configuration.
    pub mesh: Mesh,
    /// When each version was about to be proposed, in milliseconds of the Unix
    /// epoch, and how long that took.
    pub proposed: BTreeMap<Version, (u64, Duration)>,
    /// Bytes of all patches as JSON.
    pub patch_bytes: usize,
    journal: Journal<Client, System>,
}

impl Proposer {
    /// Starts with the platform's empty journal.
    #[must_use]
    pub fn open(platform: SocketAddr) -> Self {
        let store = Client::open(platform, platform::client::Limits::default());
        Self {
            version: Version::ZERO,
            mesh: Mesh::default(),
            proposed: BTreeMap::new(),
            patch_bytes: 0,
            journal: Journal::open(store, System, JOURNAL),
        }
    }

    /// Proposes `count` services with a route each; they don't count as proposed.
    ///
    /// # Errors
    ///
    /// When they are not accepted.
    pub async fn propose_services(&mut self, count: usize) -> Result<(), Error> {
        let mut changes = Vec::new();
        for index in 0..count {
            let name = service_name(index);
            changes.push(put_service(&name));
            let prefix = format!("/{name}");
            changes.push(put_route(&prefix, &name, Class::Lookup, Repeat::ByMethod));
        }
        for part in changes.chunks(FIRST_CHANGES) {
            self.propose(part.to_vec()).await?;
        }
        self.proposed.clear();
        self.patch_bytes = 0;
        Ok(())
    }

    /// Proposes changes against the last version.
    ///
    /// # Errors
    ///
    /// When they are not accepted.
    pub async fn propose(&mut self, changes: Vec<Change>) -> Result<(), Error> {
        let patch = Patch::from(changes);
        let json = serde_json::to_vec(&patch);
        let json = json.map_err(|error| Error::Unexpected(error.to_string()))?;
        let proposal = Proposal {
            id: Id::generate(self.version),
            author: "bench".into(),
            patch,
        };
        let (at_ms, begun) = (wall_ms(), Instant::now());
        match propose(&self.journal, &proposal).await {
            Outcome::Accepted(version) => {
                self.version = version;
                self.proposed.insert(version, (at_ms, begun.elapsed()));
                self.patch_bytes += json.len();
                let next = proposal.patch.apply(&self.mesh);
                self.mesh = next.map_err(|error| Error::Unexpected(error.to_string()))?;
                Ok(())
            }
            outcome => Err(Error::Unexpected(format!("not accepted: {outcome:?}"))),
        }
    }
}

/// Names a service of the first configuration.
#[must_use]
pub fn service_name(index: usize) -> String {
    format!("service-{index}")
}

fn wall_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(wall.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
