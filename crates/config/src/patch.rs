//! Typed changes from one version to the next.

use crate::error::Error;
use crate::mesh::{Mesh, Retry, Route, Service};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One change of a configuration; a patch file holds one a line, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Adds or replaces a service.
    PutService {
        /// Name of the service.
        name: SmolStr,
        /// The service.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: SmolStr,
    },
    /// Adds or replaces a route.
    PutRoute {
        /// Path prefix, with its leading slash.
        prefix: SmolStr,
        /// The route.
        route: Route,
    },
    /// Removes a route.
    RemoveRoute {
        /// Path prefix, with its leading slash.
        prefix: SmolStr,
    },
    /// Adds or replaces a retry rule.
    PutRetry {
        /// Name of the rule.
        name: SmolStr,
        /// The rule.
        retry: Retry,
    },
    /// Removes a retry rule.
    RemoveRetry {
        /// Name of the rule.
        name: SmolStr,
    },
}

/// The changes that lead from one version to the next, all of them or none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Patch {
    /// The changes, in order.
    pub changes: Vec<Change>,
}

impl Patch {
    /// Reads a patch file: one JSON change a line; blank lines and `#` lines are passed over.
    ///
    /// # Errors
    ///
    /// Names the first line that is not a change.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut changes = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let change =
                serde_json::from_str(line).map_err(|source| Error::Syntax(index + 1, source))?;
            changes.push(change);
        }
        Ok(Self { changes })
    }

    /// Gives the configuration after this patch; `mesh` itself stays as it is.
    ///
    /// # Errors
    ///
    /// Names the change that can't be applied.
    pub fn apply(&self, mesh: &Mesh) -> Result<Mesh, Error> {
        let mut next = mesh.clone();
        for change in &self.changes {
            apply_change(&mut next, change.clone());
        }
        Ok(next)
    }
}

fn apply_change(mesh: &mut Mesh, change: Change) {
    match change {
        Change::PutService { name, service } => {
            mesh.services.insert(name, service);
        }
        Change::RemoveService { name } => {
            mesh.services.remove(&name);
        }
        Change::PutRoute { prefix, route } => {
            mesh.routes.insert(prefix, route);
        }
        Change::RemoveRoute { prefix } => {
            mesh.routes.remove(&prefix);
        }
        Change::PutRetry { name, retry } => {
            mesh.retries.insert(name, retry);
        }
        Change::RemoveRetry { name } => {
            mesh.retries.remove(&name);
        }
    }
}
