//! What the lenders of a team's tokens have lent, as they report it to one another.
//!
//! Load pattern: the owner of a team's limit is replaced while the team sends ten times its limit.
//! An owner that does not know what its predecessor lent lends the tokens of the same window again.
//!
//! Each process that lends reports what it has lent in the window ([`Report`]), at short intervals
//! and also while a change of owners is known to one of two lenders only. A [`Book`] holds the
//! newest report of each other lender. Reports are never added up on the way, so a repeated,
//! reordered or relayed one does not count twice. Times are ages at the arrival of the report, so a
//! late report keeps its tokens in the window for longer, never for less.
//!
//! A lender of which a book holds nothing, though a node says that it lent lately, is taken to have
//! lent all that its limit allowed.

use std::time::{Duration, Instant};

/// Number of slots into which a report divides the window.
pub const SLOTS: u32 = 10;

/// What one process has lent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Identifies the process.
    pub lender: u64,
    /// Number of tokens lent since the process started: the report with the most is the newest.
    pub total: u64,
    /// Tokens lent in each slot of the window, the newest first.
    pub slots: Vec<u32>,
}

impl Report {
    /// Adds tokens that were lent `age` ago at the least.
    pub fn add(&mut self, window: Duration, age: Duration, tokens: u32) {
        let slot = slot_of(window, age);
        if slot > SLOTS as usize {
            return;
        }
        if self.slots.len() <= slot {
            self.slots.resize(slot + 1, 0);
        }
        self.slots[slot] = self.slots[slot].saturating_add(tokens);
    }

    /// Returns the most that a lender may have lent in a window: `burst` at once, and at most
    /// `per_window` altogether.
    #[must_use]
    pub fn worst(lender: u64, per_window: u32, burst: u32) -> Self {
        let part = per_window.div_ceil(SLOTS);
        let mut rest = per_window;
        let mut slots = Vec::new();
        while rest > 0 {
            let most = if slots.is_empty() { part + burst } else { part };
            let lent = rest.min(most);
            rest -= lent;
            slots.push(lent);
        }
        Self {
            lender,
            total: 0,
            slots,
        }
    }
}

/// A report and when it arrived.
#[derive(Debug, Clone)]
struct Entry {
    report: Report,
    at: Instant,
}

impl Entry {
    /// Returns the tokens that may still be in the window, each with the slot that it is now in.
    fn slots(&self, now: Instant, window: Duration) -> impl Iterator<Item = (usize, u32)> + '_ {
        let age = now.saturating_duration_since(self.at);
        let slot = window / SLOTS;
        let first_ages = (0..).map(move |index| slot * index + age);
        let slots = self.report.slots.iter().copied().zip(first_ages);
        slots
            .filter(move |(_, first_age)| *first_age <= window)
            .map(move |(tokens, first_age)| {
                let slot = slot_of(window, first_age).min(SLOTS as usize);
                (slot, tokens)
            })
    }
}

/// The newest reports of the other lenders of a team.
#[derive(Debug, Clone, Default)]
pub struct Book {
    entries: Vec<Entry>,
}

impl Book {
    /// Takes a report if it is newer than the one held. Returns the tokens lent since that one, and
    /// `None` for a lender that is new to this book.
    pub fn merge(&mut self, now: Instant, window: Duration, report: Report) -> Option<u64> {
        self.forget(now, window);
        let mut entries = self.entries.iter_mut();
        let Some(entry) = entries.find(|entry| entry.report.lender == report.lender) else {
            self.entries.push(Entry { report, at: now });
            return None;
        };
        let known = entry.report.total;
        let lent = report.total.saturating_sub(known);
        if lent > 0 {
            *entry = Entry { report, at: now };
        }
        // Nothing is known of a lender that was taken to have lent all.
        (known > 0 || lent == 0).then_some(lent)
    }

    /// Returns whether a report of a lender is held.
    #[must_use]
    pub fn contains(&self, lender: u64) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.report.lender == lender)
    }

    /// Returns the tokens that all these lenders may have lent in the window.
    #[must_use]
    pub fn in_window(&self, now: Instant, window: Duration) -> u64 {
        let slots = self.slots(now, window);
        slots.map(|(_, tokens)| u64::from(tokens)).sum()
    }

    /// Returns the tokens of a bucket from which all of this was lent, if it was full a window ago.
    #[must_use]
    pub fn bucket_level(&self, now: Instant, window: Duration, rate: f64, capacity: f64) -> f64 {
        let mut lent = [0.0; SLOTS as usize + 1];
        for (slot, tokens) in self.slots(now, window) {
            lent[slot] += f64::from(tokens);
        }
        let earned = rate * (window / SLOTS).as_secs_f64();
        lent.iter().rev().fold(capacity, |level, lent| {
            ((level + earned).min(capacity) - lent).max(0.0)
        })
    }

    /// Returns the reports as they are now, for other lenders.
    pub fn reports(&self, now: Instant, window: Duration) -> impl Iterator<Item = Report> + '_ {
        let entries = self.entries.iter();
        let reports = entries.map(move |entry| {
            let mut report = Report {
                lender: entry.report.lender,
                total: entry.report.total,
                slots: Vec::new(),
            };
            let slot_length = window / SLOTS;
            for (slot, tokens) in entry.slots(now, window) {
                let age = u32::try_from(slot).map_or(window, |slot| slot_length * slot);
                report.add(window, age, tokens);
            }
            report
        });
        reports.filter(|report| !report.slots.is_empty())
    }

    fn slots(&self, now: Instant, window: Duration) -> impl Iterator<Item = (usize, u32)> + '_ {
        let entries = self.entries.iter();
        entries.flat_map(move |entry| entry.slots(now, window))
    }

    /// Drops the reports of lenders that have lent nothing in the window.
    fn forget(&mut self, now: Instant, window: Duration) {
        self.entries
            .retain(|entry| entry.slots(now, window).next().is_some());
    }
}

/// Returns the slot of tokens that were lent `age` ago.
fn slot_of(window: Duration, age: Duration) -> usize {
    let slot = (window / SLOTS).as_nanos().max(1);
    usize::try_from(age.as_nanos() / slot).unwrap_or(usize::MAX)
}
