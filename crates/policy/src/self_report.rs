//! What a backend server reports about itself in its responses: the rate of requests that it takes,
//! its load, and that it is leaving.

use std::fmt;
use std::num::NonZeroU16;

/// Rate of requests, in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(u32);

impl Rate {
    /// Creates a rate from thousandths of a request per second.
    #[must_use]
    pub fn from_millis(millis: u32) -> Self {
        Self(millis)
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub fn as_millis(self) -> u32 {
        self.0
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Reads a rate in requests per second: decimal digits with at most one decimal point.
    ///
    /// A rate that is too high to represent is read as the highest rate. Digits beyond the third
    /// decimal place are cut off.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim_ascii();
        let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
        let is_number = |digits: &str| digits.bytes().all(|byte| byte.is_ascii_digit());
        if whole.len() + fraction.len() == 0 || !is_number(whole) || !is_number(fraction) {
            return None;
        }
        let digits = whole.bytes().chain(fraction.bytes().chain(*b"000").take(3));
        let append = |millis: u32, digit: u8| {
            millis
                .saturating_mul(10)
                .saturating_add(u32::from(digit - b'0'))
        };
        Some(Self(digits.fold(0, append)))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// What one response reports about the rate that its backend server takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RateReading {
    /// The response names no rate: there is no limit.
    #[default]
    Absent,
    /// The response names this rate; of several, the lowest one.
    Named(Rate),
    /// The response names a rate that can't be read: the limit stays as it was.
    Unreadable,
}

/// How long work takes on the machine of a backend server, in percent of the usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Percent(NonZeroU16);

impl Percent {
    /// Returns the duration of work in multiples of the usual.
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0.get()) / 100.0
    }
}

/// Load that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of calls that run.
    pub running: u32,
    /// Number of calls that wait.
    pub waiting: u32,
    /// Number of calls that it runs at once.
    pub slots: u32,
    /// How long work takes on its machine at this moment; `None` from backend servers that report
    /// only the numbers of calls.
    pub pace: Option<Percent>,
}

impl Load {
    /// Reads a load: the running and the waiting calls, the slots and possibly the pace, as whole
    /// numbers with commas between them.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(str::trim_ascii);
        let mut next = || figures.next()?.parse().ok();
        let (running, waiting, slots) = (next()?, next()?, next()?);
        let pace = match figures.next() {
            Some(pace) => Some(Percent(pace.parse().ok()?)),
            None => None,
        };
        figures.next().is_none().then_some(Self {
            running,
            waiting,
            slots,
            pace,
        })
    }
}

/// What one response reports about its backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reading {
    /// The rate that it takes.
    pub rate: RateReading,
    /// Whether it is leaving and must get no new calls.
    pub leaving: bool,
    /// Its load, unless the response names none or contradicts itself.
    pub load: Option<Load>,
    /// Number of values that could not be read, or that contradict each other.
    pub invalid: u32,
}

impl Reading {
    /// Adds a value of the header for the rate limit.
    pub fn add_rate(&mut self, text: &str) {
        let rate = Rate::parse(text);
        self.rate = match (self.rate, rate) {
            (RateReading::Absent, Some(rate)) => RateReading::Named(rate),
            (RateReading::Named(earlier), Some(rate)) => {
                self.invalid += u32::from(earlier != rate);
                RateReading::Named(earlier.min(rate))
            }
            (RateReading::Named(earlier), None) => {
                self.invalid += 1;
                RateReading::Named(earlier)
            }
            (RateReading::Absent, None) => {
                self.invalid += 1;
                RateReading::Unreadable
            }
            (RateReading::Unreadable, rate) => {
                rate.map_or(RateReading::Unreadable, RateReading::Named)
            }
        };
    }

    /// Adds a value of the header for leaving: 1 if the backend server is leaving, 0 if not.
    pub fn add_leaving(&mut self, text: &str) {
        match text.trim_ascii() {
            "1" => self.leaving = true,
            "0" => {}
            _ => self.invalid += 1,
        }
    }

    /// Adds the values of a header for the load.
    pub fn add_loads<'a, I>(&mut self, texts: I)
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut loads = texts.into_iter().map(Load::parse);
        let Some(first) = loads.next() else {
            return;
        };
        // Of different values, none is known to be the current one.
        self.load = first.filter(|_| loads.all(|load| load == first));
        self.invalid += u32::from(self.load.is_none());
    }
}
