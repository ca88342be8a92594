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
pub enum Rejection {
    /// The text has another form.
    Form,
    /// The value is a limit of zero, which would stop all work.
    Zero,
}

/// A type that a setting can have.
pub trait Value: Sized {
    /// What a right text looks like, with an example.
    const FORM: &str;

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Says in which way the text is not a value.
    fn read(text: &str) -> Result<Self, Rejection>;
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
    const FORM: &str = "a name of 1 to 63 letters, digits, '-', '_' or '.', such as records-1";

    fn read(text: &str) -> Result<Self, Rejection> {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let fits = (1..=MAX_NAME).contains(&text.len()) && text.chars().all(is_plain);
        if fits {
            Ok(text.into())
        } else {
            Err(Rejection::Form)
        }
    }
}

impl Value for SocketAddr {
    const FORM: &str =
        "an IP address with a port, such as 127.0.0.1:7001 (names are not looked up)";

    fn read(text: &str) -> Result<Self, Rejection> {
        let address = text.parse::<Self>().ok().ok_or(Rejection::Form)?;
        if address.port() == 0 {
            return Err(Rejection::Zero);
        }
        Ok(address)
    }
}

impl Value for Vec<SocketAddr> {
    const FORM: &str =
        "IP addresses with ports, parted by commas, such as 127.0.0.1:7001, 127.0.0.1:7002";

    fn read(text: &str) -> Result<Self, Rejection> {
        if text.is_empty() {
            return Ok(Self::new());
        }
        text.split(',')
            .map(|part| SocketAddr::read(part.trim()))
            .collect()
    }
}

/// How versions and endpoints reach a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distribution {
    /// Through its zone's tree of relays.
    Tree,
    /// As `Tree`, but every version whole in place of its patch: a baseline of measurements.
    Whole,
    /// From the platform, which every node then watches: a baseline of measurements.
    Watch,
}

impl Value for Distribution {
    const FORM: &str = "tree, whole or watch";

    fn read(text: &str) -> Result<Self, Rejection> {
        match text {
            "tree" => Ok(Self::Tree),
            "whole" => Ok(Self::Whole),
            "watch" => Ok(Self::Watch),
            _ => Err(Rejection::Form),
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
    const FORM: &str = "own or platform";

    fn read(text: &str) -> Result<Self, Rejection> {
        match text {
            "own" => Ok(Self::Own),
            "platform" => Ok(Self::Platform),
            _ => Err(Rejection::Form),
        }
    }
}

impl<T> Value for Option<T>
where
    T: Value,
{
    const FORM: &str = T::FORM;

    fn read(text: &str) -> Result<Self, Rejection> {
        if text.is_empty() {
            return Ok(None);
        }
        T::read(text).map(Some)
    }
}

impl Value for PathBuf {
    const FORM: &str = "the path of a file, such as /run/secrets/token";

    fn read(text: &str) -> Result<Self, Rejection> {
        if text.is_empty() {
            Err(Rejection::Form)
        } else {
            Ok(text.into())
        }
    }
}

impl Value for Duration {
    const FORM: &str = "a number above zero with a unit (ms, s, min or h), such as 30 s";

    fn read(text: &str) -> Result<Self, Rejection> {
        let (digits, factor) = UNITS
            .iter()
            .find_map(|(unit, factor)| Some((text.strip_suffix(unit)?.trim_end(), factor)))
            .ok_or(Rejection::Form)?;
        let nanos = read_fraction(digits, factor * NANOS_PER_MS)?;
        if nanos == 0 {
            return Err(Rejection::Zero);
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
    const FORM: &str = "a share from 0 to 1, such as 0.2";

    fn read(text: &str) -> Result<Self, Rejection> {
        let millionths = read_fraction(text, MILLION)?;
        if millionths > MILLION {
            return Err(Rejection::Form);
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
    const FORM: &str = "a number from 0, such as 50 or 30.7";

    fn read(text: &str) -> Result<Self, Rejection> {
        read_fraction(text, MILLION).map(Self)
    }
}

/// A rate of a link, in kilobits a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate(u64);

impl Rate {
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

impl Value for Rate {
    const FORM: &str = "megabits a second above zero, at most 1000000, such as 1000 or 8.4";

    fn read(text: &str) -> Result<Self, Rejection> {
        match read_fraction(text, KILO)? {
            0 => Err(Rejection::Zero),
            kilobits if kilobits > MOST_KILOBITS => Err(Rejection::Form),
            kilobits => Ok(Self(kilobits)),
        }
    }
}

impl Value for Token {
    const FORM: &str =
        "a secret of at least 16 characters without spaces, or none to refuse operators' writes";

    fn read(text: &str) -> Result<Self, Rejection> {
        if text == NO_TOKEN {
            return Ok(Self(None));
        }
        let fits = text.len() >= MIN_TOKEN && text.chars().all(|c| c.is_ascii_graphic());
        if fits {
            Ok(Self(Some(text.to_owned())))
        } else {
            Err(Rejection::Form)
        }
    }
}

impl Value for u64 {
    const FORM: &str = "a whole number above zero, such as 64";

    fn read(text: &str) -> Result<Self, Rejection> {
        read_count(text)
    }
}

impl Value for u32 {
    const FORM: &str = u64::FORM;

    fn read(text: &str) -> Result<Self, Rejection> {
        Self::try_from(read_count(text)?)
            .ok()
            .ok_or(Rejection::Form)
    }
}

impl Value for u16 {
    const FORM: &str = "a whole number from 1 to 65535, such as 64";

    fn read(text: &str) -> Result<Self, Rejection> {
        Self::try_from(read_count(text)?)
            .ok()
            .ok_or(Rejection::Form)
    }
}

impl Value for usize {
    const FORM: &str = u64::FORM;

    fn read(text: &str) -> Result<Self, Rejection> {
        Self::try_from(read_count(text)?)
            .ok()
            .ok_or(Rejection::Form)
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
fn read_fraction(text: &str, parts: u64) -> Result<u64, Rejection> {
    if let Ok(count) = read_count(text) {
        return count.checked_mul(parts).ok_or(Rejection::Form);
    }
    let is_number = |c: char| c.is_ascii_digit() || matches!(c, '.' | 'e' | 'E' | '-' | '+');
    if !text.starts_with(|c: char| c.is_ascii_digit()) || !text.chars().all(is_number) {
        return Err(Rejection::Form);
    }
    let number = text.parse::<f64>().ok().ok_or(Rejection::Form)?;
    #[expect(
        clippy::cast_precision_loss,
        reason = "parts are round and far below 2^53"
    )]
    let scaled = number * parts as f64;
    if scaled >= MOST_PARTS {
        return Err(Rejection::Form);
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
fn read_count(text: &str) -> Result<u64, Rejection> {
    if text.is_empty() || !text.chars().all(|c| c.is_ascii_digit()) {
        return Err(Rejection::Form);
    }
    match text.parse() {
        Ok(0) => Err(Rejection::Zero),
        Ok(count) => Ok(count),
        Err(_) => Err(Rejection::Form),
    }
}
