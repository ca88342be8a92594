//! Limits on the calls of a team through all nodes together.
//!
//! Load pattern: the callers of one team, spread unevenly over all nodes, send ten times what the
//! team may. With an equal part of the limit for each node, a team whose callers are all on one VM
//! is refused far below its limit; with the whole limit on each node, it gets hundreds of times its
//! limit.
//!
//! One node per team, the *owner*, counts what it lends in a sliding window ([`Ledger`]). All others
//! borrow tokens from it for the calls that wait, and keep a few in advance ([`Wallet`]). What all
//! wallets together may keep is part of the tolerance of the limit. So in any window the team's
//! calls are at most what the limit and its tolerance allow, whatever the nodes, their clocks or the
//! network do, as long as there is one owner. A token bucket spreads the calls over the window:
//! without it, a hot team would use up its window at once and overload backend servers.
//!
//! While owners change, several nodes may lend. Each counts what the others have reported
//! ([`crate::lending`]) against its window and its bucket. A lender that can't report to the next in
//! rank, and one that lends in place of the owner, keep to a part of the window, so that on both
//! sides of a cut they do not lend more than a window together.
//!
//! While a team is over its limit, nodes wait before they ask again, each for as long as it takes
//! to earn one token for every node that was refused lately. The owner's load is thus bounded by
//! the number of nodes, not by the callers' impatience.

use crate::lending::{Book, Report};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the tolerance of a limit that is used, for tokens that nodes keep in advance or else for
/// calls. The rest is for owners that change, and for nodes that know of a lower limit late.
const TOLERANCE_SHARE: f64 = 0.5;

/// Number of slots that a window is divided into. A slot counts as a whole until all of it has left
/// the window.
const SLOTS_PER_WINDOW: u32 = 50;

/// Part of the tokens left in the bucket that one node gets in advance at most, so that one node's
/// advance does not turn away the calls of another.
const ADVANCE_PART: f64 = 0.25;

/// Minimum time between two requests for tokens in advance.
const ADVANCE_PAUSE: Duration = Duration::from_millis(100);

/// Time after which a node asks a lender again that is asking others what they have lent.
const OPENING_WAIT: Duration = Duration::from_millis(10);

/// Minimum time between two requests that only give tokens back.
const RETURN_PAUSE: Duration = Duration::from_millis(100);

/// Shortest wait until a node may ask for tokens again.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Longest wait until a node may ask for tokens again.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for tokens for which calls are held instead of refused. It is some round trips, and
/// short against the latency targets of callers.
const MAX_HOLD: Duration = Duration::from_millis(50);

/// Time in which refused requests for tokens are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// A limit on calls: in any window, `rate` times its length, and `burst` more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Calls a second.
    pub rate: f64,
    /// Calls in addition, in each window.
    pub burst: f64,
    /// Length of a window.
    pub window: Duration,
    /// Calls in a window by which the limit may be exceeded, to keep the cost of counting low.
    pub tolerance: f64,
}

impl Limit {
    /// Returns the number of tokens that each of `nodes` nodes may keep in advance.
    #[must_use]
    pub fn advance_per_node(&self, nodes: usize) -> u32 {
        let nodes = f64::from(u32::try_from(nodes).unwrap_or(u32::MAX)).max(1.0);
        to_count(TOLERANCE_SHARE * self.tolerance / nodes)
    }

    /// Returns the number of tokens that may be lent in a window to `nodes` nodes.
    fn per_window(&self, nodes: usize) -> f64 {
        let nodes_count = f64::from(u32::try_from(nodes).unwrap_or(u32::MAX));
        let kept = f64::from(self.advance_per_node(nodes)) * nodes_count;
        let tolerance = (TOLERANCE_SHARE * self.tolerance - kept).max(0.0);
        self.rate * self.window.as_secs_f64() + self.burst + tolerance
    }

    /// Returns the largest number of calls at once. Without room for one, a team with a burst of
    /// zero could never call.
    fn capacity(&self) -> f64 {
        self.burst.max(1.0)
    }
}

/// The process that last lent tokens to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lender {
    /// Identifies the process.
    pub id: u64,
    /// Time since its grant arrived.
    pub age: Duration,
}

/// Tokens of calls that have not run and never will.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Returned {
    /// Number of tokens.
    pub tokens: u32,
    /// Time since the first of them was lent.
    pub age: Duration,
}

/// A request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Number of calls that wait.
    pub needed: u32,
    /// Number of tokens to keep in advance.
    pub advance: u32,
    /// The process that last lent tokens to this node.
    pub lender: Option<Lender>,
    /// Tokens of that lender that are given back.
    pub returned: Returned,
}

/// Why fewer tokens are lent than are needed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Cause {
    /// What the limit and its tolerance allow in a window is lent: the team is over its limit.
    #[default]
    Window,
    /// The window has room; the bucket spreads it.
    Spread,
    /// The window has room, and this lender has lent its part of it.
    Share,
    /// The lender does not know yet what others have lent, or can't lend.
    Unavailable,
}

/// The reply to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Number of tokens, at most the number requested.
    pub tokens: u32,
    /// Time after which to ask again, if these are less than needed; zero otherwise.
    pub wait: Duration,
    /// The process that lends.
    pub lender: u64,
    /// Why these are less than needed, if they are.
    pub cause: Cause,
}

/// What a lender of a team's tokens has lent, and what others have.
#[derive(Debug, Clone)]
pub struct Ledger {
    id: u64,
    limit: Limit,
    /// Part of the window that this lender may lend.
    share: f64,
    /// Whether this lender has asked the next in rank for what others have lent.
    is_open: bool,
    /// Number of tokens lent since the start.
    total: u64,
    book: Book,
    /// Number of tokens that may be lent in a window.
    per_window: f64,
    /// Tokens of the bucket that spreads calls over the window.
    tokens: f64,
    updated_at: Instant,
    /// Tokens lent in each slot of the window, by the start of the slot.
    lent: VecDeque<(Instant, u32)>,
    /// Requests that were refused in the current second and in the one before it.
    refusals: [u32; 2],
    refusals_since: Instant,
}

impl Ledger {
    /// Creates the ledger of the lender `id` in a fleet of `nodes` nodes.
    ///
    /// It lends nothing until it is opened.
    #[must_use]
    pub fn new(now: Instant, id: u64, limit: Limit, nodes: usize) -> Self {
        Self {
            id,
            limit,
            share: 1.0,
            is_open: false,
            total: 0,
            book: Book::default(),
            per_window: limit.per_window(nodes),
            tokens: limit.capacity(),
            updated_at: now,
            lent: VecDeque::new(),
            refusals: [0; 2],
            refusals_since: now,
        }
    }

    /// Returns whether this lender lends.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Lends from now on: what others have lent was asked for, or can't be found out.
    pub fn open(&mut self) {
        self.is_open = true;
    }

    /// Sets the part of the window that this lender may lend.
    pub fn set_share(&mut self, now: Instant, share: f64) {
        if share.to_bits() != self.share.to_bits() {
            self.refill(now);
            self.share = share;
        }
    }

    /// Takes reports of lenders.
    pub fn merge<I>(&mut self, now: Instant, reports: I)
    where
        I: IntoIterator<Item = Report>,
    {
        self.refill(now);
        let window = self.limit.window;
        let mut is_level_known = true;
        for report in reports {
            if report.lender == self.id {
                continue;
            }
            match self.book.merge(now, window, report) {
                Some(lent) => {
                    let lent = u32::try_from(lent).unwrap_or(u32::MAX);
                    self.tokens = (self.tokens - f64::from(lent)).max(0.0);
                }
                None => is_level_known = false,
            }
        }
        if !is_level_known {
            let (rate, capacity) = (self.sustained_rate(), self.limit.capacity());
            let level = self.book.bucket_level(now, window, rate, capacity);
            self.tokens = self.tokens.min(level);
        }
    }

    /// Returns what this lender has lent, and what it knows of others.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let window = self.limit.window;
        let mut own = Report {
            lender: self.id,
            total: self.total,
            slots: Vec::new(),
        };
        for (since, lent) in &self.lent {
            let age = now.saturating_duration_since(*since);
            let last_age = age.saturating_sub(window / SLOTS_PER_WINDOW);
            own.add(window, last_age, *lent);
        }
        let own = (!own.slots.is_empty()).then_some(own);
        own.into_iter()
            .chain(self.book.reports(now, window))
            .collect()
    }

    /// Sets the limit and the number of nodes from `now` on.
    pub fn set_limit(&mut self, now: Instant, limit: Limit, nodes: usize) {
        let per_window = limit.per_window(nodes);
        if limit != self.limit || per_window.to_bits() != self.per_window.to_bits() {
            self.refill(now);
            self.limit = limit;
            self.per_window = per_window;
            self.tokens = self.tokens.min(limit.capacity());
        }
    }

    /// Lends the tokens that are needed, as far as there are any, and some in advance.
    pub fn lend(&mut self, now: Instant, request: Request) -> Grant {
        self.refill(now);
        if !self.is_open {
            return Grant {
                tokens: 0,
                wait: if request.needed > 0 {
                    OPENING_WAIT
                } else {
                    Duration::ZERO
                },
                lender: self.id,
                cause: Cause::Unavailable,
            };
        }
        if let Some(lender) = request.lender {
            self.notice(now, lender);
            if lender.id == self.id {
                self.take_back(now, request.returned);
            }
        }
        let (room, part) = self.room(now);
        let available = room.min(part).min(self.tokens);
        let cause = if available >= room {
            Cause::Window
        } else if available >= part {
            Cause::Share
        } else {
            Cause::Spread
        };
        let tokens = request.needed.min(to_count(available));
        let is_enough = tokens == request.needed;
        let advance = if is_enough {
            let rest = available - f64::from(tokens);
            request.advance.min(to_count(ADVANCE_PART * rest))
        } else {
            0
        };
        let tokens = tokens + advance;
        self.record(now, tokens);
        let wait = if is_enough {
            Duration::ZERO
        } else {
            self.record_refusal(now)
        };
        Grant {
            tokens,
            wait,
            lender: self.id,
            cause,
        }
    }

    /// Returns how much may still be lent in the window, by all and by this lender.
    fn room(&self, now: Instant) -> (f64, f64) {
        let own: u32 = self.lent.iter().map(|(_, lent)| lent).sum();
        let others = self.book.in_window(now, self.limit.window);
        let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
        let own = f64::from(own);
        (
            self.per_window - others - own,
            self.share * self.per_window - own,
        )
    }

    /// Lets tokens that were given back be lent again, where they were lent or earlier.
    ///
    /// In a later slot they would be missing from the window for longer than they were in it.
    fn take_back(&mut self, now: Instant, returned: Returned) {
        let mut left = returned.tokens;
        for (since, lent) in self.lent.iter_mut().rev() {
            if now.saturating_duration_since(*since) >= returned.age {
                let taken = left.min(*lent);
                *lent -= taken;
                left -= taken;
            }
        }
        let taken = f64::from(returned.tokens - left);
        self.tokens = (self.tokens + taken).min(self.limit.capacity());
    }

    /// Takes a lender that has reported nothing to have lent all that it might.
    fn notice(&mut self, now: Instant, lender: Lender) {
        let window = self.limit.window;
        if lender.id == self.id || lender.age > window || self.book.contains(lender.id) {
            return;
        }
        let (per_window, burst) = (self.per_window.ceil(), self.limit.capacity().ceil());
        let report = Report::worst(lender.id, to_count(per_window), to_count(burst));
        // The book counts ages from the arrival; without the age of the grant, what was lent before
        // it only stays in the window for longer.
        self.merge(now, [report]);
    }

    fn record(&mut self, now: Instant, tokens: u32) {
        if tokens == 0 {
            return;
        }
        self.tokens -= f64::from(tokens);
        self.total += u64::from(tokens);
        let length = self.limit.window / SLOTS_PER_WINDOW;
        match self.lent.back_mut() {
            Some((since, lent)) if now.saturating_duration_since(*since) < length => {
                *lent += tokens;
            }
            _ => self.lent.push_back((now, tokens)),
        }
    }

    /// Counts a refusal; returns when to ask again.
    fn record_refusal(&mut self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.refusals_since);
        if age >= REFUSAL_WINDOW {
            let previous = self.refusals[0];
            self.refusals = [
                0,
                if age < 2 * REFUSAL_WINDOW {
                    previous
                } else {
                    0
                },
            ];
            self.refusals_since = now;
        }
        self.refusals[0] += 1;
        let refused = f64::from(self.refusals[0].max(self.refusals[1]));
        let missing = (1.0 - self.tokens).max(refused);
        let wait = Duration::try_from_secs_f64(missing / (self.share * self.sustained_rate()));
        wait.map_or(MAX_WAIT, |wait| wait.clamp(MIN_WAIT, MAX_WAIT))
    }

    /// Returns the highest number of calls a second that can go on.
    fn sustained_rate(&self) -> f64 {
        self.per_window / self.limit.window.as_secs_f64()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let earned = self.share * self.sustained_rate() * elapsed.as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.limit.capacity());
        let window = self.limit.window + self.limit.window / SLOTS_PER_WINDOW;
        let is_over = |since: Instant| now.saturating_duration_since(since) > window;
        while self.lent.front().is_some_and(|(since, _)| is_over(*since)) {
            self.lent.pop_front();
        }
    }
}

/// What becomes of a call that needs a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call may run.
    Admit,
    /// The call waits for the owner's reply.
    Wait,
    /// The team is over its limit; its next call has a chance after this time.
    Refuse(Duration),
}

/// The tokens of a team on one node, and the calls that wait for some.
#[derive(Debug, Clone, Default)]
pub struct Wallet {
    tokens: u32,
    /// Number of tokens to keep in advance.
    advance: u32,
    waiting: u32,
    is_requesting: bool,
    empty_until: Option<Instant>,
    /// Why the owner had too few tokens.
    cause: Cause,
    /// Until when calls are held that the last grants were not enough for.
    held_until: Option<Instant>,
    /// The process that last lent tokens, and when.
    lender: Option<(u64, Instant)>,
    /// Tokens to give back to it, and when the first of them was lent.
    returned: Option<(u32, Instant)>,
    /// When to give tokens back again.
    return_at: Option<Instant>,
    /// When to request tokens in advance again, after the owner had too few.
    advance_at: Option<Instant>,
}

impl Wallet {
    /// Sets the number of tokens to keep in advance; tokens beyond it are dropped.
    pub fn set_advance(&mut self, advance: u32) {
        self.advance = advance;
        self.tokens = self.tokens.min(advance);
    }

    /// Takes a token for a call, or lets the call wait for the owner's reply.
    pub fn take(&mut self, now: Instant) -> Decision {
        if self.tokens > 0 && self.waiting == 0 {
            self.tokens -= 1;
            return Decision::Admit;
        }
        if let Some(until) = self.empty_until.filter(|until| now + MAX_HOLD < *until) {
            return Decision::Refuse(until - now);
        }
        self.waiting += 1;
        Decision::Wait
    }

    /// Takes back the token, lent at `lent_at` or later, of a call that has not run.
    ///
    /// What can't be kept in advance goes back to the owner, so that another call runs for it.
    pub fn give_back(&mut self, lent_at: Instant) {
        if self.tokens < self.advance {
            self.tokens += 1;
            return;
        }
        let (tokens, first) = self.returned.unwrap_or((0, lent_at));
        self.returned = Some((tokens + 1, first.min(lent_at)));
    }

    /// Records that a waiting call has gone away.
    pub fn cancel(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the request to send now, if any; it then counts as sent.
    ///
    /// More tokens are requested in advance once half of those kept are used.
    pub fn next_request(&mut self, now: Instant) -> Option<Request> {
        let is_half_used = self.tokens <= self.advance / 2 && self.advance > 0;
        let is_low = is_half_used && self.advance_at.is_none_or(|at| now >= at);
        let is_paused = self.empty_until.is_some_and(|until| now < until);
        let returns = self.returned.is_some() && self.return_at.is_none_or(|at| now >= at);
        let is_short = !is_paused && (self.waiting > 0 || is_low);
        if self.is_requesting || !(is_short || returns) {
            return None;
        }
        self.is_requesting = true;
        let returned = self.returned.take();
        if returned.is_some() {
            self.return_at = Some(now + RETURN_PAUSE);
        }
        let returned = returned.map(|(tokens, first)| Returned {
            tokens,
            age: now.saturating_duration_since(first),
        });
        Some(Request {
            needed: if is_paused { 0 } else { self.waiting },
            advance: if is_paused {
                0
            } else {
                self.advance - self.tokens
            },
            returned: returned.unwrap_or_default(),
            lender: self.lender.map(|(id, at)| Lender {
                id,
                age: now.saturating_duration_since(at),
            }),
        })
    }

    /// Handles the owner's reply. Returns how many waiting calls are admitted, in the order in
    /// which they came; if the grant has a long wait, all others are refused.
    pub fn on_grant(&mut self, now: Instant, grant: Grant) -> u32 {
        self.is_requesting = false;
        let admitted = (self.tokens + grant.tokens).min(self.waiting);
        self.tokens = (self.tokens + grant.tokens - admitted).min(self.advance);
        self.waiting -= admitted;
        // Without the pause, a node would ask an owner that has no tokens left again and again.
        self.advance_at = Some(now + ADVANCE_PAUSE);
        if grant.tokens > 0 {
            // Tokens of another lender are not in the ledger of this one.
            if self.lender.is_some_and(|(id, _)| id != grant.lender) {
                self.returned = None;
            }
            self.lender = Some((grant.lender, now));
        }
        if !grant.wait.is_zero() {
            self.empty_until = Some(now + grant.wait);
            self.cause = grant.cause;
        }
        let held_until = *self.held_until.get_or_insert(now + MAX_HOLD);
        if !grant.wait.is_zero() && now + grant.wait > held_until {
            self.waiting = 0;
        }
        if self.waiting == 0 || grant.wait.is_zero() {
            self.held_until = None;
        }
        admitted
    }

    /// Returns why the owner last had too few tokens.
    #[must_use]
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Returns the number of calls that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns when to request tokens for the calls that wait out a pause, if any do.
    #[must_use]
    pub fn resume_at(&self) -> Option<Instant> {
        (self.waiting > 0 && !self.is_requesting)
            .then_some(self.empty_until)
            .flatten()
    }

    /// Handles that no owner replied; all waiting calls are refused.
    pub fn on_failure(&mut self, now: Instant) {
        self.is_requesting = false;
        self.waiting = 0;
        self.held_until = None;
        self.advance_at = Some(now + ADVANCE_PAUSE);
    }
}

/// Rounds a count down to a whole number.
fn to_count(count: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is within the bounds"
    )]
    let whole = count.clamp(0.0, f64::from(u32::MAX)) as u32;
    whole
}
