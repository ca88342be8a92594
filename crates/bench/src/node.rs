//! Reads a node's status, metrics and log, and announces backend servers to a node.

use crate::caller::{Call, Caller};
use crate::deployment::Vm;
use crate::error::Error;
use config::Version;
use http::Method;
use status::Status;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use store::memory::RequestCounts;

/// Time limit of a call to a node or to the platform stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a node's status.
///
/// # Errors
///
/// When the node does not answer, or its answer is not a status.
pub async fn read_status(vm: &Vm) -> Result<Status, Error> {
    let call = Call::get("/v1/status");
    let answer = Caller::new(vm.operators_address())
        .send_within(&call, CALL_TIMEOUT)
        .await?;
    serde_json::from_slice(&answer.body).map_err(|error| Error::Unexpected(error.to_string()))
}

/// Values of a node's metrics, by name and labels as they are written in the output.
#[derive(Debug, Clone, Default)]
pub struct Metrics(BTreeMap<String, f64>);

impl Metrics {
    /// Returns a metric's value, or zero if it is absent.
    #[must_use]
    pub fn get(&self, name: &str) -> f64 {
        self.0.get(name).copied().unwrap_or_default()
    }

    /// Returns the number of control bytes that the node has sent since its start.
    #[must_use]
    pub fn control_sent(&self) -> f64 {
        self.get("bluebellpick_control_bytes_total{direction=\"sent\"}")
    }

    /// Returns the number of control bytes that the node has received since its start.
    #[must_use]
    pub fn control_received(&self) -> f64 {
        self.get("bluebellpick_control_bytes_total{direction=\"received\"}")
    }
}

/// Reads a node's metrics.
///
/// # Errors
///
/// When the node does not answer.
pub async fn read_metrics(vm: &Vm) -> Result<Metrics, Error> {
    let call = Call::get("/metrics");
    let answer = Caller::new(vm.operators_address())
        .send_within(&call, CALL_TIMEOUT)
        .await?;
    let text = String::from_utf8_lossy(&answer.body);
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let pairs = lines.filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    });
    Ok(Metrics(pairs.collect()))
}

/// Announces a backend server to a node, at the address of the VM's backend server. If the VM has
/// no backend server, nothing listens on that address.
///
/// # Errors
///
/// When the node does not accept the announcement.
pub async fn announce(vm: &Vm, service: &str) -> Result<(), Error> {
    let body =
        serde_json::json!({ "service": service, "address": vm.backend_address(), "slots": 6 });
    let call = Call::new(Method::PUT, "/v1/announce")
        .header("content-type", "application/json")
        .body(body.to_string().into());
    let answer = Caller::new(vm.announce_address())
        .send_within(&call, CALL_TIMEOUT)
        .await?;
    if answer.status.is_success() {
        Ok(())
    } else {
        Err(Error::Unexpected(format!(
            "announcement refused: {answer:?}"
        )))
    }
}

/// Reads how many calls of each kind the platform stand-in has received.
///
/// # Errors
///
/// When the stand-in does not answer, or its answer is malformed.
pub async fn read_platform_counts(platform: SocketAddr) -> Result<RequestCounts, Error> {
    let call = Call::get("/counts");
    let answer = Caller::new(platform)
        .send_within(&call, CALL_TIMEOUT)
        .await?;
    serde_json::from_slice(&answer.body).map_err(|error| Error::Unexpected(error.to_string()))
}

/// A version that a node put into force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstalledVersion {
    /// Number of the version.
    pub version: Version,
    /// Time at which the version came into force, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Reads the versions that a node put into force from the node's log, which contains the lines of
/// all processes of the node so far.
///
/// # Errors
///
/// When the log can't be read.
pub fn read_installed(log: &Path) -> Result<Vec<InstalledVersion>, Error> {
    let text = std::fs::read_to_string(log)?;
    Ok(text.lines().filter_map(parse_installed).collect())
}

fn parse_installed(line: &str) -> Option<InstalledVersion> {
    let rest = line.split_once("version_installed")?.1;
    let version = rest.split_once("version=")?.1.split_whitespace().next()?;
    let at_ms = parse_time_ms(line.trim_start_matches('[').split_whitespace().next()?)?;
    Some(InstalledVersion {
        version: Version(version.parse().ok()?),
        at_ms,
    })
}

/// Parses a time such as `2026-01-31T12:00:00.123Z` to milliseconds since the Unix epoch.
fn parse_time_ms(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(str::parse::<u64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let (clock, millis) = time.split_once('.')?;
    let mut clock = clock.split(':').map(str::parse::<u64>);
    let (hour, minute, second) = (
        clock.next()?.ok()?,
        clock.next()?.ok()?,
        clock.next()?.ok()?,
    );
    // The days are counted in years that begin in March, so that a leap day is the last day of its
    // year. 719,468 is the number of days from 0000-03-01 to 1970-01-01.
    let (year, month) = if month > 2 {
        (year, month - 3)
    } else {
        (year - 1, month + 9)
    };
    let days = 365 * year + year / 4 - year / 100 + year / 400 + (153 * month + 2) / 5 + day - 1;
    let days = days.checked_sub(719_468)?;
    let seconds = ((days * 24 + hour) * 60 + minute) * 60 + second;
    Some(seconds * 1_000 + millis.parse::<u64>().ok()?)
}
