//! Proposes one configuration version after another, as an operator would.

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

/// Maximum number of changes in one proposal of the initial configuration.
const INITIAL_BATCH_SIZE: usize = 400;

/// Proposes versions, and keeps the last accepted configuration.
#[derive(Debug)]
pub struct Proposer {
    /// The last accepted version.
    pub version: Version,
    /// Configuration of the last accepted version.
    pub mesh: Mesh,
    /// For each version, the time right before the proposal, in milliseconds since the Unix epoch,
    /// and the duration of the proposal.
    pub proposal_times: BTreeMap<Version, (u64, Duration)>,
    /// Total size of the patches of the versions in `proposal_times`, as JSON, in bytes.
    pub patch_bytes: usize,
    journal: Journal<Client, System>,
}

impl Proposer {
    /// Opens the platform's journal, which must be empty.
    #[must_use]
    pub fn open(platform: SocketAddr) -> Self {
        let store = Client::open(platform, platform::client::Limits::default());
        Self {
            version: Version::ZERO,
            mesh: Mesh::default(),
            proposal_times: BTreeMap::new(),
            patch_bytes: 0,
            journal: Journal::open(store, System, JOURNAL),
        }
    }

    /// Proposes `count` services with a route each. The versions are not counted in
    /// `proposal_times` and `patch_bytes`, which are cleared.
    ///
    /// # Errors
    ///
    /// When a proposal is not accepted.
    pub async fn propose_services(&mut self, count: usize) -> Result<(), Error> {
        let mut changes = Vec::new();
        for index in 0..count {
            let name = service_name(index);
            changes.push(put_service(&name));
            let prefix = format!("/{name}");
            changes.push(put_route(&prefix, &name, Class::Lookup, Repeat::ByMethod));
        }
        for part in changes.chunks(INITIAL_BATCH_SIZE) {
            self.propose(part.to_vec()).await?;
        }
        self.proposal_times.clear();
        self.patch_bytes = 0;
        Ok(())
    }

    /// Proposes changes based on the last accepted version.
    ///
    /// # Errors
    ///
    /// When the changes are not accepted.
    pub async fn propose(&mut self, changes: Vec<Change>) -> Result<(), Error> {
        let patch = Patch::from(changes);
        let json = serde_json::to_vec(&patch);
        let json = json.map_err(|error| Error::Unexpected(error.to_string()))?;
        let proposal = Proposal {
            id: Id::generate(self.version),
            author: "bench".into(),
            patch,
        };
        let (at_ms, start) = (unix_time_ms(), Instant::now());
        match propose(&self.journal, &proposal).await {
            Outcome::Accepted(version) => {
                self.version = version;
                self.proposal_times
                    .insert(version, (at_ms, start.elapsed()));
                self.patch_bytes += json.len();
                let next = proposal.patch.apply(&self.mesh);
                self.mesh = next.map_err(|error| Error::Unexpected(error.to_string()))?;
                Ok(())
            }
            outcome => Err(Error::Unexpected(format!(
                "proposal not accepted: {outcome:?}"
            ))),
        }
    }
}

/// Returns the name of a service of the initial configuration.
#[must_use]
pub fn service_name(index: usize) -> String {
    format!("service-{index}")
}

fn unix_time_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(wall.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
