//! A full configuration: services, routes, retry rules and teams.

use crate::Team;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The priority class of a call, which determines under overload which calls wait and which are refused.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Commits money or capacity.
    Commit,
    /// Someone is waiting for the answer.
    #[default]
    Lookup,
    /// Refreshes a display that will be read again soon.
    Refresh,
}

/// Whether a call may be sent to a backend server more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Only if the method of the call is safe according to RFC 9110.
    #[default]
    ByMethod,
    /// Never, unless it is certain that the call has not run.
    Never,
    /// Always: the backend server has declared it idempotent.
    Always,
}

/// The service level objective of a service, for the error budget burn report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Share of calls that must be answered successfully, in parts per million.
    pub availability_ppm: u32,
    /// Latency above which an answer counts as slow, in milliseconds.
    pub latency_ms: u32,
    /// Share of calls that must be answered within `latency_ms`, in parts per million.
    pub latency_ppm: u32,
}

/// A service that routes can refer to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service level objective, if any.
    #[serde(default)]
    pub objective: Option<Objective>,
}

/// A service and its share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of the route's calls, in per cent; a route's shares add up to 100.
    pub percent: u8,
}

/// How calls under a prefix are routed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The services that the calls are split over, with their shares.
    pub targets: Vec<Target>,
    /// Priority class of the calls.
    #[serde(default)]
    pub class: Class,
    /// Whether the calls may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// Name of the retry rule, if calls are retried.
    #[serde(default)]
    pub retry: Option<SmolStr>,
    /// Timeout of a call if its caller sets none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
    /// Upper bound on the time that a call may take, whatever timeout its caller sets, in milliseconds.
    #[serde(default)]
    pub limit_ms: Option<u32>,
    /// Latency target: time within which an answer has its full value to the caller, in milliseconds.
    #[serde(default)]
    pub target_ms: Option<u32>,
    /// Whether the calls need no key, also where the configuration requires keys.
    #[serde(default)]
    pub public: bool,
}

/// A rule for retries and hedging.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Maximum number of attempts that may reach a backend server, including the first.
    pub attempts: u8,
    /// Retry budget: retries allowed as a share of successful calls, in per cent.
    pub budget_percent: u8,
    /// Whether a hedge (a second attempt) may be sent while the first attempt is late.
    #[serde(default)]
    pub hedge: bool,
    /// Whether calls that may have run are retried too; not allowed with [`Repeat::Never`].
    #[serde(default)]
    pub repeat_may_have_run: bool,
}

/// A full configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mesh {
    /// Services by name.
    pub services: BTreeMap<SmolStr, Service>,
    /// Routes by prefix: a path, or a host and a path (`shop.example/parts/`).
    ///
    /// Prefixes with a host take precedence over all prefixes without one. A
    /// prefix that ends with a slash matches only paths that start with it, and
    /// not the path without that slash.
    pub routes: BTreeMap<SmolStr, Route>,
    /// Retry rules by name.
    pub retries: BTreeMap<SmolStr, Retry>,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<SmolStr, Team>,
    /// Whether calls need the key of a team, unless their route is public. Always so if there are
    /// teams; it stays so when the last team is removed, until operators decide otherwise.
    #[serde(default)]
    pub requires_keys: bool,
}

/// Timeout of a call if neither its caller nor its route sets one, in milliseconds.
const DEFAULT_TIMEOUT_MS: u32 = 5_000;

fn default_timeout_ms() -> u32 {
    DEFAULT_TIMEOUT_MS
}
