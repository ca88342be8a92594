//! Errors for patches and configurations that are refused.

use crate::{Digest, Version};
use quick_error::quick_error;
use smol_str::SmolStr;

quick_error! {
    /// The rule that a configuration or a change of it violates.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Violation {
        /// A name is empty, too long, or contains a character that is not allowed in names.
        InvalidName(name: SmolStr) {
            display("{:?} is not a valid name: expected 1 to {} letters, digits, '-', '_' or '.'", name, crate::validate::MAX_NAME_BYTES)
        }
        /// A route prefix is malformed.
        InvalidPrefix(prefix: SmolStr) {
            display("{:?} is not a valid route prefix: expected a path that starts with '/' and has no empty segment, '?', '#' or space, optionally after a host name in lower case", prefix)
        }
        /// A change removes a service that does not exist.
        NoSuchService(name: SmolStr) {
            display("there is no service {:?} to remove", name)
        }
        /// A change removes a route that does not exist.
        NoSuchRoute(prefix: SmolStr) {
            display("there is no route {:?} to remove", prefix)
        }
        /// A change removes a retry rule that does not exist.
        NoSuchRetry(name: SmolStr) {
            display("there is no retry rule {:?} to remove", name)
        }
        /// A change removes a team that does not exist.
        NoSuchTeam(name: SmolStr) {
            display("there is no team {:?} to remove", name)
        }
        /// Two teams hold the same key, so that its calls belong to neither.
        SharedKey(one: SmolStr, other: SmolStr) {
            display("teams {:?} and {:?} hold the same key", one, other)
        }
        /// A team holds the digest of the empty key.
        EmptyKey(team: SmolStr) {
            display("a key of team {:?} is empty", team)
        }
        /// There are teams, but calls need no keys.
        KeysNotRequired {
            display("there are teams, so calls must need keys; remove all teams first")
        }
        /// A route refers to a service that does not exist.
        MissingService(prefix: SmolStr, service: SmolStr) {
            display("route {:?} points at service {:?}, which isn't there", prefix, service)
        }
        /// A route refers to a retry rule that does not exist.
        MissingRetry(prefix: SmolStr, retry: SmolStr) {
            display("route {:?} names retry rule {:?}, which isn't there", prefix, retry)
        }
        /// A retry rule would repeat calls of a route that may never be repeated.
        ForbiddenRepeat(prefix: SmolStr, retry: SmolStr) {
            display("retry rule {:?} repeats calls of route {:?}, which may never be repeated", retry, prefix)
        }
        /// A route has no targets, too many, or the same one twice.
        InvalidTargets(prefix: SmolStr) {
            display("route {:?} needs 1 to {} targets, each once", prefix, crate::validate::MAX_TARGETS)
        }
        /// The shares of a route's targets are not all positive or do not add up to 100 per cent.
        InvalidShares(prefix: SmolStr, sum: u32) {
            display("shares of route {:?} must be positive and add up to 100, not {}", prefix, sum)
        }
        /// A number is out of range.
        OutOfRange(what: &'static str, low: u32, high: u32) {
            display("{} must be from {} to {}", what, low, high)
        }
        /// The configuration or patch contains too many items of one kind.
        TooMany(what: &'static str, limit: usize) {
            display("more than {} {}", limit, what)
        }
    }
}

quick_error! {
    /// The reason why a patch or a configuration is refused.
    #[derive(Debug)]
    pub enum Error {
        /// A line of a patch file can't be parsed as a change.
        Syntax(line: usize, source: serde_json::Error) {
            display("line {}: not a change: {}", line, source)
            source(source)
        }
        /// A change can't be applied, or makes the configuration invalid.
        Change(line: usize, violation: Violation) {
            display("line {}: {}", line, violation)
            source(violation)
        }
        /// The configuration as a whole violates a rule.
        Mesh(violation: Violation) {
            display("{}", violation)
            source(violation)
        }
        /// The offered version is not higher than the current version.
        Stale(current: Version, offered: Version) {
            display("version {} is not higher than the current version {}", offered, current)
        }
        /// The patch is based on a version other than the current version.
        Gap(current: Version, offered: Version) {
            display("version {} can't be applied on top of the current version {}", offered, current)
        }
        /// The digest of the result differs from the announced one.
        Mismatch(version: Version, announced: Digest, computed: Digest) {
            display("version {} has digest {}, but {} was announced", version, computed, announced)
        }
    }
}
