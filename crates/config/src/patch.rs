//! Patches: typed changes that lead from one version to the next.

use crate::error::{Error, Violation};
use crate::mesh::{Mesh, Retry, Route, Service};
use crate::{Team, validate};
use serde::de::Error as _;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A change of a configuration; a patch file contains one per line, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Adds or replaces a service.
    PutService {
        /// Name of the service.
        name: SmolStr,
        /// Configuration of the service.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: SmolStr,
    },
    /// Adds or replaces a route.
    PutRoute {
        /// Path prefix with its leading slash, preceded by a host name if it applies to that host only.
        prefix: SmolStr,
        /// Configuration of the route.
        route: Route,
    },
    /// Removes a route.
    RemoveRoute {
        /// Prefix of the route.
        prefix: SmolStr,
    },
    /// Adds or replaces a retry rule.
    PutRetry {
        /// Name of the rule.
        name: SmolStr,
        /// Configuration of the rule.
        retry: Retry,
    },
    /// Removes a retry rule.
    RemoveRetry {
        /// Name of the rule.
        name: SmolStr,
    },
    /// Adds or replaces a team; calls then need keys.
    PutTeam {
        /// Name of the team.
        name: SmolStr,
        /// Configuration of the team.
        team: Team,
    },
    /// Removes a team with its keys.
    RemoveTeam {
        /// Name of the team.
        name: SmolStr,
    },
    /// Sets whether calls need keys; must stay set while there are teams.
    RequireKeys {
        /// Whether calls need keys.
        required: bool,
    },
}

/// The changes that lead from one version to the next, applied all or not at all.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Patch {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Line number of each change in the patch file; not serialized.
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
    /// Parses a patch file: one JSON change per line; blank lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error with the number of the first line that is not a change.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut patch = Self::default();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let change = serde_json::from_str(line)
                .map_err(|source| Error::Syntax(number, redact_team(line, source)))?;
            patch.changes.push(change);
            patch.lines.push(number);
        }
        Ok(patch)
    }

    /// Returns the configuration with this patch applied; `mesh` itself is not modified.
    ///
    /// References are checked after the last change, so that they don't depend
    /// on the order of changes in the patch.
    ///
    /// # Errors
    ///
    /// Returns an error with the line number of the change that can't be applied or that makes the
    /// configuration invalid. For a patch that was not parsed from a file, the error contains the
    /// position of the change in the patch instead, counted from 1.
    pub fn apply(&self, mesh: &Mesh) -> Result<Mesh, Error> {
        validate::check_size("changes", self.changes.len(), validate::MAX_CHANGES)
            .map_err(Error::Mesh)?;
        let mut next = mesh.clone();
        for (index, change) in self.changes.iter().enumerate() {
            check_change(change)
                .and_then(|()| apply_change(&mut next, change))
                .map_err(|violation| Error::Change(self.line_number(index), violation))?;
        }
        match validate::check_mesh(&next) {
            Ok(()) => Ok(next),
            Err(violation) => Err(self.attribute(violation)),
        }
    }

    fn line_number(&self, index: usize) -> usize {
        self.lines.get(index).copied().unwrap_or(index + 1)
    }

    /// Attributes a violation to the last change that can have caused it.
    fn attribute(&self, violation: Violation) -> Error {
        let found = self
            .changes
            .iter()
            .rposition(|change| is_cause(change, &violation));
        match found {
            Some(index) => Error::Change(self.line_number(index), violation),
            None => Error::Mesh(violation),
        }
    }
}

/// Replaces the error of a line about a team, since errors quote what they found, which may be a
/// key given in place of its digest.
fn redact_team(line: &str, error: serde_json::Error) -> serde_json::Error {
    if !line.contains("_team") {
        return error;
    }
    let column = error.column();
    serde_json::Error::custom(format!(
        "column {column}: expected a team with `keys` (SHA-256 digests of 64 hexadecimal digits), \
         `class` and `limit` (`per_minute`, `burst`)"
    ))
}

/// Checks a change by itself, without the names of services and retry rules that it refers to.
fn check_change(change: &Change) -> Result<(), Violation> {
    match change {
        Change::PutService { name, service } => {
            validate::check_name(name)?;
            let objective = service.objective.as_ref();
            objective.map_or(Ok(()), validate::check_objective)
        }
        Change::PutRoute { prefix, route } => {
            validate::check_prefix(prefix)?;
            validate::check_route_fields(prefix, route)
        }
        Change::PutRetry { name, retry } => {
            validate::check_name(name)?;
            validate::check_retry(retry)
        }
        Change::PutTeam { name, team } => {
            validate::check_name(name)?;
            validate::check_team(name, team)
        }
        Change::RemoveService { .. }
        | Change::RemoveRoute { .. }
        | Change::RemoveRetry { .. }
        | Change::RemoveTeam { .. }
        | Change::RequireKeys { .. } => Ok(()),
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
        Change::PutTeam { name, team } => {
            mesh.teams.insert(name.clone(), team.clone());
            mesh.requires_keys = true;
        }
        Change::RemoveTeam { name } => {
            let removed = mesh.teams.remove(name);
            removed.ok_or_else(|| Violation::NoSuchTeam(name.clone()))?;
        }
        Change::RequireKeys { required } => mesh.requires_keys = *required,
    }
    validate::check_sizes(mesh)
}

/// Returns whether `change` can have caused `violation`, which is detected in the resulting configuration.
fn is_cause(change: &Change, violation: &Violation) -> bool {
    match change {
        Change::RemoveService { name } => {
            matches!(violation, Violation::MissingService(_, missing) if missing == name)
        }
        Change::RemoveRetry { name } => {
            matches!(violation, Violation::MissingRetry(_, missing) if missing == name)
        }
        Change::PutRetry { name, .. } => {
            matches!(violation, Violation::ForbiddenRepeat(_, retry) if retry == name)
        }
        Change::PutRoute { prefix, .. } => matches!(
            violation,
            Violation::MissingService(at, _) | Violation::MissingRetry(at, _) | Violation::ForbiddenRepeat(at, _)
                if at == prefix
        ),
        Change::PutTeam { name, .. } => {
            matches!(violation, Violation::SharedKey(one, other) if one == name || other == name)
        }
        Change::RequireKeys { .. } => matches!(violation, Violation::KeysNotRequired),
        Change::PutService { .. } | Change::RemoveRoute { .. } | Change::RemoveTeam { .. } => false,
    }
}
