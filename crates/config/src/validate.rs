//! Validation rules for configurations.
//!
//! A mesh is validated before it is proposed and again before a node applies
//! it, so that no view can contain a dangling reference.

use crate::error::Violation;
use crate::mesh::{Mesh, Objective, Repeat, Retry, Route};
use crate::team::{KeyDigest, Team};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

/// Longest name, in bytes: the limit of a DNS label, as names become part of DNS names.
pub const MAX_NAME_BYTES: usize = 63;

/// Longest route prefix, in bytes: room for a host name of up to 253 bytes and a path of the same
/// length.
pub const MAX_PREFIX_BYTES: usize = 512;

/// Maximum number of services: ten times the planned 410.
pub const MAX_SERVICES: usize = 4_096;

/// Maximum number of routes: four per service.
pub const MAX_ROUTES: usize = 16_384;

/// Maximum number of retry rules: one per service.
pub const MAX_RETRIES: usize = 4_096;

/// Maximum number of services that a route can split its calls over.
pub const MAX_TARGETS: usize = 16;

/// Maximum number of teams: twice the planned 4,000.
pub const MAX_TEAMS: usize = 8_192;

/// Maximum number of keys of a team: callers change keys one after the other, with two in force
/// meanwhile.
pub const MAX_KEYS: usize = 64;

/// Maximum number of changes in a patch: enough to replace a full configuration.
pub const MAX_CHANGES: usize = 2 * (MAX_SERVICES + MAX_ROUTES + MAX_RETRIES + MAX_TEAMS);

/// Maximum number of attempts of one call that a retry rule can allow: attempts multiply with each
/// layer of nested calls.
pub const MAX_ATTEMPTS: u32 = 10;

/// Longest timeout of a call, in milliseconds: ten minutes.
pub const MAX_TIMEOUT_MS: u32 = 600_000;

/// The whole, in parts per million: the highest share that an objective can require.
const WHOLE_PPM: u32 = 1_000_000;

/// The whole, in per cent: the sum of the shares of a route, and the highest retry budget.
const WHOLE_PERCENT: u32 = 100;

/// Validates a full configuration, including references.
pub(crate) fn check_mesh(mesh: &Mesh) -> Result<(), Violation> {
    check_sizes(mesh)?;
    for (name, service) in &mesh.services {
        check_name(name)?;
        service.objective.as_ref().map_or(Ok(()), check_objective)?;
    }
    for (name, retry) in &mesh.retries {
        check_name(name)?;
        check_retry(retry)?;
    }
    for (prefix, route) in &mesh.routes {
        check_prefix(prefix)?;
        check_route(mesh, prefix, route)?;
    }
    check_teams(mesh)
}

fn check_teams(mesh: &Mesh) -> Result<(), Violation> {
    if !mesh.teams.is_empty() && !mesh.requires_keys {
        return Err(Violation::KeysNotRequired);
    }
    let mut holders: BTreeMap<&KeyDigest, &SmolStr> = BTreeMap::new();
    for (name, team) in &mesh.teams {
        check_name(name)?;
        check_team(name, team)?;
        for key in &team.keys {
            if let Some(other) = holders.insert(key, name) {
                return Err(Violation::SharedKey(other.clone(), name.clone()));
            }
        }
    }
    Ok(())
}

/// Checks a team by itself.
pub(crate) fn check_team(name: &SmolStr, team: &Team) -> Result<(), Violation> {
    check_size("keys of a team", team.keys.len(), MAX_KEYS)?;
    if team.keys.contains(&KeyDigest::of(b"")) {
        return Err(Violation::EmptyKey(name.clone()));
    }
    Ok(())
}

/// Checks the number of services, routes, retry rules and teams against their limits.
pub(crate) fn check_sizes(mesh: &Mesh) -> Result<(), Violation> {
    check_size("services", mesh.services.len(), MAX_SERVICES)?;
    check_size("routes", mesh.routes.len(), MAX_ROUTES)?;
    check_size("teams", mesh.teams.len(), MAX_TEAMS)?;
    check_size("retry rules", mesh.retries.len(), MAX_RETRIES)
}

pub(crate) fn check_size(what: &'static str, size: usize, limit: usize) -> Result<(), Violation> {
    if size > limit {
        return Err(Violation::TooMany(what, limit));
    }
    Ok(())
}

pub(crate) fn check_name(name: &SmolStr) -> Result<(), Violation> {
    let is_valid = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if !is_valid {
        return Err(Violation::InvalidName(name.clone()));
    }
    Ok(())
}

pub(crate) fn check_prefix(prefix: &SmolStr) -> Result<(), Violation> {
    let path = prefix.find('/').map(|slash| prefix.split_at(slash));
    let is_valid = path.is_some_and(|(host, path)| {
        prefix.len() <= MAX_PREFIX_BYTES
            && (host.is_empty() || is_host(host))
            && !path.contains("//")
            && path
                .bytes()
                .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'))
    });
    if !is_valid {
        return Err(Violation::InvalidPrefix(prefix.clone()));
    }
    Ok(())
}

/// Returns whether `text` is a host name in the form in which a view looks it up: in lower case and
/// without a port.
fn is_host(text: &str) -> bool {
    text.bytes()
        .all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'))
}

pub(crate) fn check_objective(objective: &Objective) -> Result<(), Violation> {
    check_range("availability_ppm", objective.availability_ppm, 1, WHOLE_PPM)?;
    check_range("latency_ppm", objective.latency_ppm, 1, WHOLE_PPM)?;
    check_range("latency_ms", objective.latency_ms, 1, MAX_TIMEOUT_MS)
}

pub(crate) fn check_retry(retry: &Retry) -> Result<(), Violation> {
    check_range("attempts", retry.attempts.into(), 1, MAX_ATTEMPTS)?;
    check_range(
        "budget_percent",
        retry.budget_percent.into(),
        0,
        WHOLE_PERCENT,
    )
}

/// Checks the fields of a route that don't depend on the rest of the configuration.
pub(crate) fn check_route_fields(prefix: &SmolStr, route: &Route) -> Result<(), Violation> {
    let services: BTreeSet<_> = route.targets.iter().map(|target| &target.service).collect();
    let count = route.targets.len();
    if count == 0 || count > MAX_TARGETS || services.len() != count {
        return Err(Violation::InvalidTargets(prefix.clone()));
    }
    let sum = route.targets.iter().map(|target| u32::from(target.percent));
    let sum = sum.sum();
    if sum != WHOLE_PERCENT || route.targets.iter().any(|target| target.percent == 0) {
        return Err(Violation::InvalidShares(prefix.clone(), sum));
    }
    check_range("timeout_ms", route.timeout_ms, 1, MAX_TIMEOUT_MS)?;
    for (what, time) in [("limit_ms", route.limit_ms), ("target_ms", route.target_ms)] {
        time.map_or(Ok(()), |time| check_range(what, time, 1, MAX_TIMEOUT_MS))?;
    }
    Ok(())
}

fn check_route(mesh: &Mesh, prefix: &SmolStr, route: &Route) -> Result<(), Violation> {
    check_route_fields(prefix, route)?;
    for target in &route.targets {
        if !mesh.services.contains_key(&target.service) {
            let service = target.service.clone();
            return Err(Violation::MissingService(prefix.clone(), service));
        }
    }
    let Some(name) = &route.retry else {
        return Ok(());
    };
    let Some(retry) = mesh.retries.get(name) else {
        return Err(Violation::MissingRetry(prefix.clone(), name.clone()));
    };
    if route.repeat == Repeat::Never && (retry.repeat_may_have_run || retry.hedge) {
        return Err(Violation::ForbiddenRepeat(prefix.clone(), name.clone()));
    }
    Ok(())
}

fn check_range(what: &'static str, value: u32, low: u32, high: u32) -> Result<(), Violation> {
    if !(low..=high).contains(&value) {
        return Err(Violation::OutOfRange(what, low, high));
    }
    Ok(())
}
