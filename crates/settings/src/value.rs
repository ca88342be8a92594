//! Types that a setting can have, and their text forms.

use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Longest name of a node, availability zone or region: that of a DNS label.
const MAX_NAME: usize = 63;

/// Shortest token: 16 characters of hexadecimal digits are 64 bits.
const MIN_TOKEN: usize = 16;

/// Units of time, longest suffix first, so that `ms` is not taken for `s`.
const UNITS: [(&str, u64); 4] = [("ms", 1), ("min", 60_000), ("s", 1_000), ("h", 3_600_000)];

/// Why a text is not a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// The text has another form.
    Malformed,
    /// The value is a limit of zero, which would stop all work.
    Zero,
}

/// A type that a setting can have.
pub trait Value: Sized {
    /// What a right text looks like, with an example.
    const EXPECTED: &str;

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Says in which way the text is not a value.
    fn parse(text: &str) -> Result<Self, ParseError>;
}

/// A secret that is never shown, or none where nobody is to have it.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(pub Option<String>);

/// Word that stands for no secret.
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
        let fits = (1..=MAX_NAME).contains(&text.len()) && text.chars().all(is_plain);
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

/// How versions and endpoints reach a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distribution {
    /// Through its zone's tree of relays.
    Tree,
    /// As `Tree`, but every version whole in place of its patch: a baseline of measurements.
    Full,
    /// From the platform, which every node then watches: a baseline of measurements.
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

/// Whose words callers, backend servers and operators' configurations are in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// The product's own.
    Own,
    /// Those of the platform that the VMs run on.
    Platform,
}

impl Value for Interface {
    const EXPECTED: &str = "own or platform";

    fn parse(text: &str) -> Result<Self, ParseError> {
        match text {
            "own" => Ok(Self::Own),
            "platform" => Ok(Self::Platform),
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
        let (digits, factor) = UNITS
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

/// A share, in millionths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share(u64);

impl Share {
    /// Gives the share as a fraction.
    #[must_use]
    pub fn get(self) -> f64 {
        millionths_to_f64(self.0)
    }
}

impl Value for Share {
    const EXPECTED: &str = "a share from 0 to 1, such as 0.2";

    fn parse(text: &str) -> Result<Self, ParseError> {
        let millionths = parse_fraction(text, MILLION)?;
        if millionths > MILLION {
            return Err(ParseError::Malformed);
        }
        Ok(Self(millionths))
    }
}

/// A number of things that a part of a fleet may do, in millionths.
///
/// A part of a fleet has a part of its budget, which mostly is no whole number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota(u64);

impl Quota {
    /// Gives the number.
    #[must_use]
    pub fn get(self) -> f64 {
        millionths_to_f64(self.0)
    }
}

impl Value for Quota {
    const EXPECTED: &str = "a number from 0, such as 50 or 30.7";

    fn parse(text: &str) -> Result<Self, ParseError> {
        parse_fraction(text, MILLION).map(Self)
    }
}

/// A rate of a link, in kilobits a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRate(u64);

impl LinkRate {
    /// Gives the rate in bytes a second.
    #[must_use]
    pub fn bytes_per_second(self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
        let kilobits = self.0 as f64;
        kilobits * 125.0
    }
}

/// Kilobits in a megabit.
const KILO: u64 = 1_000;

/// Fastest link that settings can tell: a terabit a second.
const MOST_KILOBITS: u64 = 1_000_000_000;

impl Value for LinkRate {
    const EXPECTED: &str = "megabits a second above zero, at most 1000000, such as 1000 or 8.4";

    fn parse(text: &str) -> Result<Self, ParseError> {
        match parse_fraction(text, KILO)? {
            0 => Err(ParseError::Zero),
            kilobits if kilobits > MOST_KILOBITS => Err(ParseError::Malformed),
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
        let fits = text.len() >= MIN_TOKEN && text.chars().all(|c| c.is_ascii_graphic());
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

/// Millionths in one.
const MILLION: u64 = 1_000_000;

/// Nanoseconds in a millisecond, the unit that [`UNITS`] are told in.
const NANOS_PER_MS: u64 = 1_000_000;

/// Reads a number that may have a fraction, in parts of which one has so many.
///
/// What is finer than a part is rounded down, as these numbers are limits, but not to nothing:
/// a little that is allowed must not come to none at all.
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
    if scaled >= MOST_PARTS {
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

/// Number of parts, 2^63, from which on a number is refused as too large.
const MOST_PARTS: f64 = 9_223_372_036_854_775_808.0;

fn millionths_to_f64(millionths: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a limit needs no more digits")]
    let millionths = millionths as f64;
    millionths / 1e6
}

/// Reads a count of digits alone; every count in settings is a limit, so zero is refused.
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
