//! The types of settings and how their values are written.

use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum length of the name of a node, service, availability zone or region, in bytes: that of a
/// DNS label.
const MAX_NAME_LEN: usize = 63;

/// Minimum length of a token, in characters: 16 hexadecimal digits hold 64 bits.
const MIN_TOKEN_LEN: usize = 16;

/// Units of time and their length in milliseconds. `ms` is tried before `s`, because a text that
/// ends in `ms` also ends in `s`.
const TIME_UNITS: [(&str, u64); 4] = [("ms", 1), ("min", 60_000), ("s", 1_000), ("h", 3_600_000)];

/// Why a text is not a valid value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// The text does not have the expected form.
    Malformed,
    /// The value is zero, which as a limit would stop all work.
    Zero,
}

/// A type that a setting can have.
pub trait Value: Sized {
    /// Description of a valid text, with an example.
    const EXPECTED: &str;

    /// Parses a value.
    ///
    /// # Errors
    ///
    /// When the text is not a valid value.
    fn parse(text: &str) -> Result<Self, ParseError>;
}

/// The secret that operators' writes must carry; with `None`, every write is refused. `Debug` does
/// not show the secret.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(pub Option<String>);

/// Value of a token setting that configures no token.
const NO_TOKEN: &str = "none";

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

impl Value for SmolStr {
    const EXPECTED: &str = "a name of 1 to 63 letters, digits, '-', '_' or '.', such as records-1";

    fn parse(text: &str) -> Result<Self, ParseError> {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let fits = (1..=MAX_NAME_LEN).contains(&text.len()) && text.chars().all(is_plain);
        if fits {
            Ok(text.into())
        } else {
            Err(ParseError::Malformed)
        }
    }
}

impl Value for SocketAddr {
    const EXPECTED: &str =
        "an IP address with a port, such as 127.0.0.1:7001 (names are not looked up)";

    fn parse(text: &str) -> Result<Self, ParseError> {
        let address = text.parse::<Self>().ok().ok_or(ParseError::Malformed)?;
        if address.port() == 0 {
            return Err(ParseError::Zero);
        }
        Ok(address)
    }
}

impl Value for Vec<SocketAddr> {
    const EXPECTED: &str =
        "IP addresses with ports, parted by commas, such as 127.0.0.1:7001, 127.0.0.1:7002";

    fn parse(text: &str) -> Result<Self, ParseError> {
        if text.is_empty() {
            return Ok(Self::new());
        }
        text.split(',')
            .map(|part| SocketAddr::parse(part.trim()))
            .collect()
    }
}

/// How configuration versions and endpoints reach a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distribution {
    /// Through the distribution tree of its availability zone.
    Tree,
    /// As `Tree`, but with a full configuration in place of each patch: a baseline for
    /// measurements.
    Full,
    /// From the platform, which every node watches directly: a baseline for measurements.
    Watch,
}

impl Value for Distribution {
    const EXPECTED: &str = "tree, whole or watch";

    fn parse(text: &str) -> Result<Self, ParseError> {
        match text {
            "tree" => Ok(Self::Tree),
            "whole" => Ok(Self::Full),
            "watch" => Ok(Self::Watch),
            _ => Err(ParseError::Malformed),
        }
    }
}

/// The API that callers, backend servers and operators' configurations use: its headers,
/// announcements and stored objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiKind {
    /// The product's own API.
    Own,
    /// The API of the platform that the VMs run on.
    Platform,
}

impl Value for ApiKind {
    const EXPECTED: &str = "own or platform";

    fn parse(text: &str) -> Result<Self, ParseError> {
        match text {
            "own" => Ok(Self::Own),
            "platform" => Ok(Self::Platform),
            _ => Err(ParseError::Malformed),
        }
    }
}

/// Which calls start first where nested calls and direct calls wait for the same backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NestedCalls {
    /// Each kind gets its share of the slots.
    Weighted,
    /// Nested calls, while the direct calls can still wait.
    First,
}

impl Value for NestedCalls {
    const EXPECTED: &str = "weighted or first";

    fn parse(text: &str) -> Result<Self, ParseError> {
        match text {
            "weighted" => Ok(Self::Weighted),
            "first" => Ok(Self::First),
            _ => Err(ParseError::Malformed),
        }
    }
}

/// Whether the load that backend servers report in their responses is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerLoad {
    /// It corrects the predicted duration of calls.
    Use,
    /// It is not read.
    Ignore,
}

impl Value for ServerLoad {
    const EXPECTED: &str = "use or ignore";

    fn parse(text: &str) -> Result<Self, ParseError> {
        match text {
            "use" => Ok(Self::Use),
            "ignore" => Ok(Self::Ignore),
            _ => Err(ParseError::Malformed),
        }
    }
}

impl<T> Value for Option<T>
where
    T: Value,
{
    const EXPECTED: &str = T::EXPECTED;

    fn parse(text: &str) -> Result<Self, ParseError> {
        if text.is_empty() {
            return Ok(None);
        }
        T::parse(text).map(Some)
    }
}

impl Value for PathBuf {
    const EXPECTED: &str = "the path of a file, such as /run/secrets/token";

    fn parse(text: &str) -> Result<Self, ParseError> {
        if text.is_empty() {
            Err(ParseError::Malformed)
        } else {
            Ok(text.into())
        }
    }
}

impl Value for Duration {
    const EXPECTED: &str = "a number above zero with a unit (ms, s, min or h), such as 30 s";

    fn parse(text: &str) -> Result<Self, ParseError> {
        let (digits, factor) = TIME_UNITS
            .iter()
            .find_map(|(unit, factor)| Some((text.strip_suffix(unit)?.trim_end(), factor)))
            .ok_or(ParseError::Malformed)?;
        let nanos = parse_fraction(digits, factor * NANOS_PER_MS)?;
        if nanos == 0 {
            return Err(ParseError::Zero);
        }
        Ok(Self::from_nanos(nanos))
    }
}

/// A share from 0 to 1, in millionths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share(u64);

impl Share {
    /// Returns the share as a fraction.
    #[must_use]
    pub fn get(self) -> f64 {
        millionths_to_f64(self.0)
    }
}

impl Value for Share {
    const EXPECTED: &str = "a share from 0 to 1, such as 0.2";

    fn parse(text: &str) -> Result<Self, ParseError> {
        let millionths = parse_fraction(text, MILLIONTHS_PER_UNIT)?;
        if millionths > MILLIONTHS_PER_UNIT {
            return Err(ParseError::Malformed);
        }
        Ok(Self(millionths))
    }
}

/// A number of events that a fleet, or a part of it, is allowed, in millionths.
///
/// A part of a fleet gets the corresponding part of the fleet's number, which is rarely a whole
/// number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota(u64);

impl Quota {
    /// Returns the number of events.
    #[must_use]
    pub fn get(self) -> f64 {
        millionths_to_f64(self.0)
    }
}

impl Value for Quota {
    const EXPECTED: &str = "a number from 0, such as 50 or 30.7";

    fn parse(text: &str) -> Result<Self, ParseError> {
        parse_fraction(text, MILLIONTHS_PER_UNIT).map(Self)
    }
}

/// Capacity of a network link, in kilobits per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRate(u64);

impl LinkRate {
    /// Returns the capacity in bytes per second.
    #[must_use]
    pub fn bytes_per_second(self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
        let kilobits = self.0 as f64;
        kilobits * 125.0
    }
}

/// Factor from megabits, the unit of the setting, to kilobits, the unit of [`LinkRate`].
const KILOBITS_PER_MEGABIT: u64 = 1_000;

/// Maximum capacity that can be set: a terabit per second.
const MAX_KILOBITS_PER_SECOND: u64 = 1_000_000_000;

impl Value for LinkRate {
    const EXPECTED: &str = "megabits a second above zero, at most 1000000, such as 1000 or 8.4";

    fn parse(text: &str) -> Result<Self, ParseError> {
        match parse_fraction(text, KILOBITS_PER_MEGABIT)? {
            0 => Err(ParseError::Zero),
            kilobits if kilobits > MAX_KILOBITS_PER_SECOND => Err(ParseError::Malformed),
            kilobits => Ok(Self(kilobits)),
        }
    }
}

impl Value for Token {
    const EXPECTED: &str =
        "a secret of at least 16 characters without spaces, or none to refuse operators' writes";

    fn parse(text: &str) -> Result<Self, ParseError> {
        if text == NO_TOKEN {
            return Ok(Self(None));
        }
        let fits = text.len() >= MIN_TOKEN_LEN && text.chars().all(|c| c.is_ascii_graphic());
        if fits {
            Ok(Self(Some(text.to_owned())))
        } else {
            Err(ParseError::Malformed)
        }
    }
}

impl Value for u64 {
    const EXPECTED: &str = "a whole number above zero, such as 64";

    fn parse(text: &str) -> Result<Self, ParseError> {
        parse_count(text)
    }
}

impl Value for u32 {
    const EXPECTED: &str = u64::EXPECTED;

    fn parse(text: &str) -> Result<Self, ParseError> {
        Self::try_from(parse_count(text)?)
            .ok()
            .ok_or(ParseError::Malformed)
    }
}

impl Value for u16 {
    const EXPECTED: &str = "a whole number from 1 to 65535, such as 64";

    fn parse(text: &str) -> Result<Self, ParseError> {
        Self::try_from(parse_count(text)?)
            .ok()
            .ok_or(ParseError::Malformed)
    }
}

impl Value for usize {
    const EXPECTED: &str = u64::EXPECTED;

    fn parse(text: &str) -> Result<Self, ParseError> {
        Self::try_from(parse_count(text)?)
            .ok()
            .ok_or(ParseError::Malformed)
    }
}

/// Factor from a share or quota to the millionths in which it is stored.
const MILLIONTHS_PER_UNIT: u64 = 1_000_000;

/// Nanoseconds in a millisecond, the unit of [`TIME_UNITS`].
const NANOS_PER_MS: u64 = 1_000_000;

/// Parses a number that may have a fraction, and returns it multiplied by `parts`.
///
/// The result is rounded down, because these numbers are limits. But a number above zero gives at
/// least 1, so that a small allowance does not become zero.
fn parse_fraction(text: &str, parts: u64) -> Result<u64, ParseError> {
    if let Ok(count) = parse_count(text) {
        return count.checked_mul(parts).ok_or(ParseError::Malformed);
    }
    let is_number = |c: char| c.is_ascii_digit() || matches!(c, '.' | 'e' | 'E' | '-' | '+');
    if !text.starts_with(|c: char| c.is_ascii_digit()) || !text.chars().all(is_number) {
        return Err(ParseError::Malformed);
    }
    let number = text.parse::<f64>().ok().ok_or(ParseError::Malformed)?;
    #[expect(
        clippy::cast_precision_loss,
        reason = "parts are round and far below 2^53"
    )]
    let scaled = number * parts as f64;
    if scaled >= PARTS_LIMIT {
        return Err(ParseError::Malformed);
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rounded down on purpose; from 0 to 2^63 by the checks above"
    )]
    let whole = scaled as u64;
    Ok(if number > 0.0 { whole.max(1) } else { 0 })
}

/// Smallest number that [`parse_fraction`] refuses as too large after the multiplication by
/// `parts`: 2^63.
const PARTS_LIMIT: f64 = 9_223_372_036_854_775_808.0;

fn millionths_to_f64(millionths: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a limit needs no more digits")]
    let millionths = millionths as f64;
    millionths / 1e6
}

/// Parses a count, which consists of digits only. Every count in settings is a limit, so zero is
/// refused.
fn parse_count(text: &str) -> Result<u64, ParseError> {
    if text.is_empty() || !text.chars().all(|c| c.is_ascii_digit()) {
        return Err(ParseError::Malformed);
    }
    match text.parse() {
        Ok(0) => Err(ParseError::Zero),
        Ok(count) => Ok(count),
        Err(_) => Err(ParseError::Malformed),
    }
}
