//! Outcomes of calls, their counts and the time windows of the counts.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::Duration;

/// Outcome of a call, as the objectives of the called service count it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The service answered.
    Served {
        /// Whether the answer took longer than the objective's latency.
        slow: bool,
    },
    /// No answer, an error of the service, or a refusal for lack of capacity.
    Failed,
    /// A refusal because of an error of the caller; such a call is not counted.
    CallerFault,
}

impl Outcome {
    /// Classifies an answer by its HTTP status.
    ///
    /// 429 means a lack of capacity, so it counts against the service; every other 4xx is the
    /// caller's error.
    #[must_use]
    pub fn from_status(status: u16, slow: bool) -> Self {
        match status {
            429 | 500.. => Self::Failed,
            400..=499 => Self::CallerFault,
            _ => Self::Served { slow },
        }
    }
}

/// Call counts of one service in a period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that were served or failed.
    pub calls: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that were served, but took longer than the objective's latency.
    pub slow: u64,
}

impl Counts {
    /// Counts one call.
    pub fn record(&mut self, outcome: Outcome) {
        let (failed, slow) = match outcome {
            Outcome::CallerFault => return,
            Outcome::Failed => (1, 0),
            Outcome::Served { slow } => (0, u64::from(slow)),
        };
        *self += Self {
            calls: 1,
            failed,
            slow,
        };
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, rhs: Self) {
        self.calls += rhs.calls;
        self.failed += rhs.failed;
        self.slow += rhs.slow;
    }
}

/// A time window over which calls are counted. The windows are those in table 5-8 of the Site
/// Reliability Workbook, shortest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Window {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Thirty minutes.
    #[serde(rename = "30m")]
    HalfHour,
    /// One hour.
    #[serde(rename = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
    /// Three days.
    #[serde(rename = "3d")]
    ThreeDays,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 5] = [
        Self::FiveMinutes,
        Self::HalfHour,
        Self::Hour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Returns the length of the window.
    #[must_use]
    pub const fn length(self) -> Duration {
        let minutes = match self {
            Self::FiveMinutes => 5,
            Self::HalfHour => 30,
            Self::Hour => 60,
            Self::SixHours => 6 * 60,
            Self::ThreeDays => 3 * 24 * 60,
        };
        Duration::from_secs(minutes * 60)
    }

    /// Returns the short name of the window.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::HalfHour => "30m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }
}

/// Call counts of one service, by window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tally(BTreeMap<Window, Counts>);

impl Tally {
    /// Returns the counts of a window.
    #[must_use]
    pub fn counts(&self, window: Window) -> Counts {
        self.0.get(&window).copied().unwrap_or_default()
    }

    /// Adds `counts` to those of a window.
    pub fn add(&mut self, window: Window, counts: Counts) {
        *self.0.entry(window).or_default() += counts;
    }
}

impl AddAssign<&Self> for Tally {
    fn add_assign(&mut self, rhs: &Self) {
        for (window, counts) in &rhs.0 {
            self.add(*window, *counts);
        }
    }
}
