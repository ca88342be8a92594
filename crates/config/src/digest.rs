//! The digest of a full configuration.

use crate::mesh::{Class, Mesh, Repeat, Retry, Route, Service, Target};
use crate::team::Team;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{BufWriter, Write};

/// Bytes of JSON hashed at a time; a configuration of 2,000 routes is 460 kB.
const BUFFER_BYTES: usize = 4 << 10;

/// SHA-256 of a configuration's canonical JSON, truncated to 16 bytes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Computes the digest of `mesh`; equal configurations give equal digests.
    ///
    /// # Panics
    ///
    /// Never: a mesh can always be serialized to JSON.
    #[must_use]
    pub fn of(mesh: &Mesh) -> Self {
        let mut hasher = Sha256::new();
        // Without a buffer the hasher would be called for each JSON token.
        let mut writer = BufWriter::with_capacity(BUFFER_BYTES, &mut hasher);
        serde_json::to_writer(&mut writer, &Canonical::from(mesh))
            .expect("a mesh can always be serialized to JSON");
        writer.flush().expect("writing to a hasher never fails");
        drop(writer);
        let full = hasher.finalize();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&full[..16]);
        Self(truncated)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// A configuration as it is hashed.
///
/// Fields that came later are left out while they have their default, so that the digests of
/// records in the platform's journal, which earlier builds have written, stay the same.
#[derive(Serialize)]
struct Canonical<'a> {
    services: &'a BTreeMap<SmolStr, Service>,
    routes: BTreeMap<&'a SmolStr, CanonicalRoute<'a>>,
    retries: &'a BTreeMap<SmolStr, Retry>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    teams: &'a BTreeMap<SmolStr, Team>,
    #[serde(skip_serializing_if = "is_default")]
    requires_keys: bool,
}

/// A route as it is hashed.
#[derive(Serialize)]
struct CanonicalRoute<'a> {
    targets: &'a [Target],
    class: Class,
    repeat: Repeat,
    retry: &'a Option<SmolStr>,
    timeout_ms: u32,
    limit_ms: Option<u32>,
    target_ms: Option<u32>,
    #[serde(skip_serializing_if = "is_default")]
    public: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde hands the field over by reference"
)]
fn is_default(field: &bool) -> bool {
    !field
}

impl<'a> From<&'a Mesh> for Canonical<'a> {
    fn from(mesh: &'a Mesh) -> Self {
        let routes = mesh.routes.iter();
        Self {
            services: &mesh.services,
            routes: routes
                .map(|(prefix, route)| (prefix, route.into()))
                .collect(),
            retries: &mesh.retries,
            teams: &mesh.teams,
            requires_keys: mesh.requires_keys,
        }
    }
}

impl<'a> From<&'a Route> for CanonicalRoute<'a> {
    fn from(route: &'a Route) -> Self {
        Self {
            targets: &route.targets,
            class: route.class,
            repeat: route.repeat,
            retry: &route.retry,
            timeout_ms: route.timeout_ms,
            limit_ms: route.limit_ms,
            target_ms: route.target_ms,
            public: route.public,
        }
    }
}
