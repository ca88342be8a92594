//! Versioned mesh configurations: patches, validation, digests and views.
//!
//! Operators write a [`Patch`] against the [`Version`] they last saw. Applying it to the [`Mesh`]
//! of that version either produces the configuration of the next version or returns an [`Error`]
//! that names the invalid change; a patch is never applied in part.

mod diff;
mod digest;
mod endpoint;
mod error;
mod mesh;
mod patch;
pub mod rollout;
pub mod team;
pub mod validate;
mod version;
mod versioned_mesh;
mod view;

pub use diff::diff;
pub use digest::Digest;
pub use endpoint::{Endpoint, Farewell, MAX_FAREWELLS, State, is_drained, merge_farewells};
pub use error::{Error, Violation};
pub use mesh::{Class, Mesh, Objective, Repeat, Retry, Route, Service, Target};
pub use patch::{Change, Patch};
pub use rollout::Rollout;
pub use team::Team;
pub use version::Version;
pub use versioned_mesh::VersionedMesh;
pub use view::{EndpointKey, RouteEntry, RouteKey, ServiceEntry, ServiceKey, View, WithheldEntry};
