//! The configuration that a node holds, which only moves on.

use crate::error::Error;
use crate::{Digest, Mesh, Patch, Version, validate};
use std::sync::Arc;

/// A version with its whole configuration; there is no way back to a lower one.
///
/// Guards against a parent that is older, frames that come late or twice, and
/// damaged ones: routes of yesterday would come back, or half of tomorrow's.
/// The fields are private, and both ways on compare the numbers first and the
/// digest last, on a copy aside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedMesh {
    version: Version,
    digest: Digest,
    mesh: Arc<Mesh>,
}

impl Default for VersionedMesh {
    /// Holds the empty configuration, version zero.
    fn default() -> Self {
        let mesh = Mesh::default();
        Self {
            version: Version::ZERO,
            digest: Digest::of(&mesh),
            mesh: Arc::new(mesh),
        }
    }
}

impl VersionedMesh {
    /// Gives the version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Gives the digest of the whole configuration.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Gives the configuration.
    #[must_use]
    pub fn mesh(&self) -> &Arc<Mesh> {
        &self.mesh
    }

    /// Moves on from version `base` to `version`, which need not be the next number.
    ///
    /// # Errors
    ///
    /// Refuses a step from any version but the one held, a patch that can't be
    /// applied, and a result that has another digest; what is held then stays.
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

    /// Moves on to a whole configuration.
    ///
    /// # Errors
    ///
    /// Refuses a version that is not higher, a configuration that breaks a
    /// rule, and one of another digest; what is held then stays.
    pub fn replace(&mut self, version: Version, mesh: Mesh, digest: Digest) -> Result<(), Error> {
        self.check_newer(version)?;
        validate::check_mesh(&mesh).map_err(Error::Mesh)?;
        self.install(version, mesh, digest)
    }

    /// Moves on to a whole configuration from where it is made, so that it has no digest yet.
    ///
    /// # Errors
    ///
    /// As [`VersionedMesh::replace`], but for the digest.
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
        let found = Digest::of(&mesh);
        if found != digest {
            return Err(Error::Mismatch(version, digest, found));
        }
        self.set(version, mesh, digest);
        Ok(())
    }

    fn set(&mut self, version: Version, mesh: Mesh, digest: Digest) {
        assert!(version > self.version, "a held version never falls");
        self.version = version;
        self.digest = digest;
        self.mesh = Arc::new(mesh);
    }
}
