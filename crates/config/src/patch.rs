//! Typed changes from one version to the next.

use crate::error::{Error, Violation};
use crate::mesh::{Mesh, Retry, Route, Service};
use crate::validate;
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
        /// Path prefix with its leading slash, after a host if it is for that alone.
        prefix: SmolStr,
        /// The route.
        route: Route,
    },
    /// Removes a route.
    RemoveRoute {
        /// Prefix that the route stands under.
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
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Patch {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Line of each change in the file that it was read from; not sent on.
    #[serde(skip)]
    lines: Vec<usize>,
}

impl PartialEq for Patch {
    fn eq(&self, other: &Self) -> bool {
        self.changes == other.changes
    }
}

impl Eq for Patch {}

impl From<Vec<Change>> for Patch {
    fn from(changes: Vec<Change>) -> Self {
        Self {
            changes,
            lines: Vec::new(),
        }
    }
}

impl Patch {
    /// Reads a patch file: one JSON change a line; blank lines and `#` lines are passed over.
    ///
    /// # Errors
    ///
    /// Names the first line that is not a change.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut patch = Self::default();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let change =
                serde_json::from_str(line).map_err(|source| Error::Syntax(number, source))?;
            patch.changes.push(change);
            patch.lines.push(number);
        }
        Ok(patch)
    }

    /// Gives the configuration after this patch; `mesh` itself stays as it is.
    ///
    /// Order within the patch doesn't matter for references: they must hold
    /// after the last change.
    ///
    /// # Errors
    ///
    /// Names the line of the change that can't be applied. A patch that was
    /// not read from a file counts its changes as lines.
    pub fn apply(&self, mesh: &Mesh) -> Result<Mesh, Error> {
        validate::check_size("changes", self.changes.len(), validate::MAX_CHANGES)
            .map_err(Error::Mesh)?;
        let mut next = mesh.clone();
        for (index, change) in self.changes.iter().enumerate() {
            check_change(change)
                .and_then(|()| apply_change(&mut next, change))
                .map_err(|fault| Error::Change(self.line(index), fault))?;
        }
        match validate::check_mesh(&next) {
            Ok(()) => Ok(next),
            Err(fault) => Err(self.blame(fault)),
        }
    }

    fn line(&self, index: usize) -> usize {
        self.lines.get(index).copied().unwrap_or(index + 1)
    }

    /// Finds the last change that touched what `fault` is about.
    fn blame(&self, fault: Violation) -> Error {
        let found = self
            .changes
            .iter()
            .rposition(|change| is_cause(change, &fault));
        match found {
            Some(index) => Error::Change(self.line(index), fault),
            None => Error::Mesh(fault),
        }
    }
}

/// Checks what a change says for itself.
fn check_change(change: &Change) -> Result<(), Violation> {
    match change {
        Change::PutService { name, service } => {
            validate::check_name(name)?;
            let objective = service.objective.as_ref();
            objective.map_or(Ok(()), validate::check_objective)
        }
        Change::PutRoute { prefix, route } => {
            validate::check_prefix(prefix)?;
            validate::check_targets(prefix, route)
        }
        Change::PutRetry { name, retry } => {
            validate::check_name(name)?;
            validate::check_retry(retry)
        }
        Change::RemoveService { .. } | Change::RemoveRoute { .. } | Change::RemoveRetry { .. } => {
            Ok(())
        }
    }
}

fn apply_change(mesh: &mut Mesh, change: &Change) -> Result<(), Violation> {
    match change {
        Change::PutService { name, service } => {
            mesh.services.insert(name.clone(), service.clone());
        }
        Change::PutRoute { prefix, route } => {
            mesh.routes.insert(prefix.clone(), route.clone());
        }
        Change::PutRetry { name, retry } => {
            mesh.retries.insert(name.clone(), retry.clone());
        }
        Change::RemoveService { name } => {
            let removed = mesh.services.remove(name);
            removed.ok_or_else(|| Violation::NoSuchService(name.clone()))?;
        }
        Change::RemoveRoute { prefix } => {
            let removed = mesh.routes.remove(prefix);
            removed.ok_or_else(|| Violation::NoSuchRoute(prefix.clone()))?;
        }
        Change::RemoveRetry { name } => {
            let removed = mesh.retries.remove(name);
            removed.ok_or_else(|| Violation::NoSuchRetry(name.clone()))?;
        }
    }
    validate::check_sizes(mesh)
}

/// Tells whether `change` brought about `fault`, which only shows in the whole.
fn is_cause(change: &Change, fault: &Violation) -> bool {
    match change {
        Change::RemoveService { name } => {
            matches!(fault, Violation::MissingService(_, gone) if gone == name)
        }
        Change::RemoveRetry { name } => {
            matches!(fault, Violation::MissingRetry(_, gone) if gone == name)
        }
        Change::PutRetry { name, .. } => {
            matches!(fault, Violation::ForbiddenRepeat(_, retry) if retry == name)
        }
        Change::PutRoute { prefix, .. } => matches!(
            fault,
            Violation::MissingService(at, _) | Violation::MissingRetry(at, _) | Violation::ForbiddenRepeat(at, _)
                if at == prefix
        ),
        Change::PutService { .. } | Change::RemoveRoute { .. } => false,
    }
}
