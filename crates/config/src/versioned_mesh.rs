//! A configuration with its version, which only ever increases.

use crate::error::Error;
use crate::{Digest, Mesh, Patch, Version, team, validate};
use std::sync::Arc;

/// A full configuration with its version and digest; can't return to a lower version.
///
/// Guards against a parent with an older configuration and against frames that
/// arrive late, twice or damaged, which would restore outdated routes or install
/// part of a newer configuration. The fields are private. Each update first
/// compares version numbers, then works on a copy whose digest is checked last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedMesh {
    version: Version,
    digest: Digest,
    mesh: Arc<Mesh>,
    teams: Arc<team::Table>,
}

impl Default for VersionedMesh {
    /// Creates the empty configuration, version zero.
    fn default() -> Self {
        let mesh = Mesh::default();
        Self {
            version: Version::ZERO,
            digest: Digest::of(&mesh),
            mesh: Arc::new(mesh),
            teams: Arc::default(),
        }
    }
}

impl VersionedMesh {
    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of the full configuration.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the configuration.
    #[must_use]
    pub fn mesh(&self) -> &Arc<Mesh> {
        &self.mesh
    }

    /// Returns the teams of the configuration, to be found by key.
    #[must_use]
    pub fn teams(&self) -> &Arc<team::Table> {
        &self.teams
    }

    /// Applies a patch that leads from version `base` to `version`, which need not be the next number.
    ///
    /// # Errors
    ///
    /// Fails if `version` is not higher than the current version, `base` is not the current
    /// version, the patch can't be applied, or the result has a different digest. The current
    /// configuration is then kept.
    pub fn apply_patch(
        &mut self,
        base: Version,
        version: Version,
        patch: &Patch,
        digest: Digest,
    ) -> Result<(), Error> {
        self.check_newer(version)?;
        if base != self.version {
            return Err(Error::Gap(self.version, version));
        }
        let mesh = patch.apply(&self.mesh)?;
        self.install(version, mesh, digest)
    }

    /// Replaces the configuration with the full configuration of a higher version.
    ///
    /// # Errors
    ///
    /// Fails if `version` is not higher than the current version, the configuration violates a
    /// rule, or its digest is not `digest`. The current configuration is then kept.
    pub fn replace(&mut self, version: Version, mesh: Mesh, digest: Digest) -> Result<(), Error> {
        self.check_newer(version)?;
        validate::check_mesh(&mesh).map_err(Error::Mesh)?;
        self.install(version, mesh, digest)
    }

    /// Replaces the configuration with the full configuration of a higher version, which comes from
    /// its original source without a digest.
    ///
    /// # Errors
    ///
    /// As [`VersionedMesh::replace`], except that no digest is compared.
    pub fn replace_without_digest(&mut self, version: Version, mesh: Mesh) -> Result<(), Error> {
        self.check_newer(version)?;
        validate::check_mesh(&mesh).map_err(Error::Mesh)?;
        let digest = Digest::of(&mesh);
        self.set(version, mesh, digest);
        Ok(())
    }

    fn check_newer(&self, version: Version) -> Result<(), Error> {
        if version <= self.version {
            return Err(Error::Stale(self.version, version));
        }
        Ok(())
    }

    fn install(&mut self, version: Version, mesh: Mesh, digest: Digest) -> Result<(), Error> {
        let computed = Digest::of(&mesh);
        if computed != digest {
            return Err(Error::Mismatch(version, digest, computed));
        }
        self.set(version, mesh, digest);
        Ok(())
    }

    fn set(&mut self, version: Version, mesh: Mesh, digest: Digest) {
        assert!(version > self.version, "the version only ever increases");
        self.version = version;
        self.digest = digest;
        // Most versions leave the teams as they are, and hold up to some thousand of them.
        if mesh.teams != self.mesh.teams || mesh.requires_keys != self.mesh.requires_keys {
            self.teams = Arc::new(team::Table::build(&mesh));
        }
        self.mesh = Arc::new(mesh);
    }
}
