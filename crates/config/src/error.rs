//! Why a patch or a configuration is refused.

use crate::{Digest, Version};
use quick_error::quick_error;
use smol_str::SmolStr;

quick_error! {
    /// What is wrong with a configuration or a change of it.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Violation {
        /// A name is empty, too long or holds a character that names may not hold.
        InvalidName(name: SmolStr) {
            display("{:?} is no name: 1 to {} letters, digits, '-', '_' or '.'", name, crate::validate::MAX_NAME)
        }
        /// A prefix has the wrong shape.
        InvalidPrefix(prefix: SmolStr) {
            display("{:?} is no prefix: a path that starts with '/' and has no empty part, '?', '#' or blank, after a host in lower case if it is for that alone", prefix)
        }
        /// A service that isn't there is to be removed.
        NoSuchService(name: SmolStr) {
            display("there is no service {:?} to remove", name)
        }
        /// A route that isn't there is to be removed.
        NoSuchRoute(prefix: SmolStr) {
            display("there is no route {:?} to remove", prefix)
        }
        /// A retry rule that isn't there is to be removed.
        NoSuchRetry(name: SmolStr) {
            display("there is no retry rule {:?} to remove", name)
        }
        /// A route points at a service that isn't there.
        MissingService(prefix: SmolStr, service: SmolStr) {
            display("route {:?} points at service {:?}, which isn't there", prefix, service)
        }
        /// A route names a retry rule that isn't there.
        MissingRetry(prefix: SmolStr, retry: SmolStr) {
            display("route {:?} names retry rule {:?}, which isn't there", prefix, retry)
        }
        /// A retry rule would repeat calls that may never be repeated.
        ForbiddenRepeat(prefix: SmolStr, retry: SmolStr) {
            display("retry rule {:?} repeats calls of route {:?}, which may never be repeated", retry, prefix)
        }
        /// A route has no target, too many, or one twice.
        InvalidTargets(prefix: SmolStr) {
            display("route {:?} needs 1 to {} targets, each once", prefix, crate::validate::MAX_TARGETS)
        }
        /// A route's shares don't add up.
        InvalidShares(prefix: SmolStr, sum: u32) {
            display("shares of route {:?} are positive and add up to 100, not {}", prefix, sum)
        }
        /// A figure is out of its range.
        OutOfRange(what: &'static str, low: u32, high: u32) {
            display("{} must be from {} to {}", what, low, high)
        }
        /// There is too much of something.
        TooMany(what: &'static str, limit: usize) {
            display("more than {} {}", limit, what)
        }
    }
}

quick_error! {
    /// Why a patch or a configuration is refused.
    #[derive(Debug)]
    pub enum Error {
        /// A line of a patch file is not a change.
        Syntax(line: usize, source: serde_json::Error) {
            display("line {}: not a change: {}", line, source)
            source(source)
        }
        /// A change can't be applied.
        Change(line: usize, fault: Violation) {
            display("line {}: {}", line, fault)
            source(fault)
        }
        /// A whole configuration breaks a rule.
        Mesh(fault: Violation) {
            display("{}", fault)
            source(fault)
        }
        /// A version that is not above the one held.
        Stale(held: Version, offered: Version) {
            display("version {} is not above version {}, which is held", offered, held)
        }
        /// A patch for another version than the one held.
        Gap(held: Version, offered: Version) {
            display("version {} can't follow version {}, which is held", offered, held)
        }
        /// The result has another digest than the one announced.
        Mismatch(version: Version, announced: Digest, found: Digest) {
            display("version {} has digest {}, but {} was announced", version, found, announced)
        }
    }
}
