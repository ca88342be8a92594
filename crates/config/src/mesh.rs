//! A whole configuration: services, routes and retry rules.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// What a call is worth to its caller, which decides who waits and who is refused.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Commits money or capacity.
    Commit,
    /// Somebody waits for the answer.
    #[default]
    Lookup,
    /// A board that will be read again soon.
    Refresh,
}

/// Whether a call may be sent to a backend server again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Only when its method is safe by RFC 9110.
    #[default]
    ByMethod,
    /// Never, unless it surely has not run.
    Never,
    /// Always: the backend server has declared it idempotent.
    Always,
}

/// What a service promises, for the report on burn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Share of calls to be answered well, in parts per million.
    pub availability_ppm: u32,
    /// Answers later than this count as slow, in milliseconds.
    pub latency_ms: u32,
    /// Share of calls to be answered within `latency_ms`, in parts per million.
    pub latency_ppm: u32,
}

/// A service that routes may point at.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What the service promises, if anything.
    #[serde(default)]
    pub objective: Option<Objective>,
}

/// A service with its share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the service.
    pub service: SmolStr,
    /// Share of the route's calls, in per cent; a route's shares add up to 100.
    pub percent: u8,
}

/// Where calls under a prefix go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The services, with their shares.
    pub targets: Vec<Target>,
    /// What the calls are worth.
    #[serde(default)]
    pub class: Class,
    /// Whether the calls may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// Name of the retry rule, if calls are to be tried again.
    #[serde(default)]
    pub retry: Option<SmolStr>,
    /// Time for a call when the caller names none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
    /// Longest time that a call is kept waiting, whatever its caller says, in milliseconds.
    #[serde(default)]
    pub limit_ms: Option<u32>,
    /// Time within which an answer is worth most to its caller, in milliseconds.
    #[serde(default)]
    pub target_ms: Option<u32>,
}

/// How calls are tried again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Tries that may reach a backend server, the first included.
    pub attempts: u8,
    /// Retries allowed as a share of successes, in per cent.
    pub budget_percent: u8,
    /// Whether a second copy may be sent while the first is late.
    #[serde(default)]
    pub hedge: bool,
    /// Whether the rule also repeats calls that may have run; never with [`Repeat::Never`].
    #[serde(default)]
    pub repeat_may_have_run: bool,
}

/// A whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mesh {
    /// Services by name.
    pub services: BTreeMap<SmolStr, Service>,
    /// Routes by prefix: a path, or a host and a path (`shop.example/parts/`).
    ///
    /// One with a host goes before all without. One that ends with a slash
    /// takes only what lies below it.
    pub routes: BTreeMap<SmolStr, Route>,
    /// Retry rules by name.
    pub retries: BTreeMap<SmolStr, Retry>,
}

/// Time for a call when neither caller nor route names one, in milliseconds.
const DEFAULT_TIMEOUT_MS: u32 = 5_000;

fn default_timeout_ms() -> u32 {
    DEFAULT_TIMEOUT_MS
}
