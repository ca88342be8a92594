//! How many calls a backend server runs at once without harm.
//!
//! *Load pattern:* a backend server says that it has six slots and has three,
//! or has six and half of its processor is taken away. *Without it* the calls
//! beyond queue inside the backend server, out of reach of class, fair share
//! and deadline. *Grounds:* additive increase and multiplicative decrease
//! converge to a fair and full use (Chiu and Jain, 1989); the latency signal
//! is a ratio to the same route's own under light load, in the manner of TCP
//! Vegas and Netflix's concurrency limits. The slots told are a hint that is
//! used as the upper bound: a backend server is never given more than it
//! asked for.

use std::time::{Duration, Instant};

/// How a call at the backend server ended, as far as load goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Done,
    /// The backend server refused it for load.
    Shed,
    /// It failed, or was given up on: its duration says nothing.
    Failed,
}

/// Slots assumed when a backend server tells none: the size of today's.
const DEFAULT_SLOTS: u16 = 6;

/// Samples under load that make a verdict on the limit. With service times
/// that vary as much as their mean, the mean of 64 is off by 13%.
const WINDOW: u32 = 64;

/// Stretch (duration over the one under light load) from which the limit is cut:
/// 1.5 is three deviations of a window's mean.
const TOO_SLOW: f64 = 1.5;

/// Deepest cut in one step.
const DEEPEST_CUT: f64 = 0.5;

/// Share of the former stretch to which a cut must bring it down to be upheld.
const HELPED: f64 = 0.85;

/// Between raises by one, once the limit has been cut: slow up.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// Between raises by one at the start, before anything spoke against it.
const START_INTERVAL: Duration = Duration::from_millis(100);

/// A concurrency limit that is found from what is seen.
#[derive(Debug, Clone)]
pub struct Limit {
    told: f64,
    found: f64,
    raised_at: Instant,
    raise_interval: Duration,
    window: Window,
    /// Stretch that is known not to come from concurrency.
    usual: f64,
    /// What the limit and the stretch were before a cut that is on trial.
    trial: Option<Trial>,
}

#[derive(Debug, Clone, Copy)]
struct Trial {
    found: f64,
    stretch: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    sum: f64,
    count: u32,
}

impl Limit {
    /// Starts at half of the slots told, so that the first calls show the speed under light load.
    #[must_use]
    pub fn new(now: Instant, told: u16) -> Self {
        let told = f64::from(if told == 0 { DEFAULT_SLOTS } else { told });
        Self {
            told,
            found: (told / 2.0).ceil(),
            raised_at: now,
            raise_interval: START_INTERVAL,
            window: Window::default(),
            usual: 1.0,
            trial: None,
        }
    }

    /// Takes in how many slots the backend server says it has.
    pub fn tell(&mut self, told: u16) {
        self.told = f64::from(if told == 0 { DEFAULT_SLOTS } else { told });
        self.found = self.found.min(self.told);
    }

    /// Gives how many calls may run at once; at least one.
    #[must_use]
    pub fn slots(&self) -> f64 {
        self.found.floor().max(1.0)
    }

    /// Tells whether `running` calls are few for this backend server.
    #[must_use]
    pub fn is_light(&self, running: u32) -> bool {
        f64::from(running) <= (self.found / 2.0).floor().max(1.0)
    }

    /// Takes in the end of a call that started as the `running`th.
    pub fn finish(&mut self, now: Instant, running: u32, outcome: Outcome, stretch: Option<f64>) {
        match outcome {
            Outcome::Shed => self.cut_below(now, running),
            Outcome::Failed => {}
            Outcome::Done => self.weigh(now, running, stretch),
        }
    }

    /// Cuts to just under the concurrency that was refused.
    fn cut_below(&mut self, now: Instant, running: u32) {
        let refused = f64::from(running).min(self.found);
        self.found = (refused - 1.0).max(self.found * DEEPEST_CUT).max(1.0);
        self.hold(now);
    }

    fn weigh(&mut self, now: Instant, running: u32, stretch: Option<f64>) {
        if f64::from(running) + 1.0 <= self.slots() {
            return;
        }
        if let Some(stretch) = stretch {
            self.window.sum += stretch;
            self.window.count += 1;
            if self.window.count >= WINDOW {
                self.judge(now);
            }
        }
        if now.duration_since(self.raised_at) >= self.raise_interval && self.found < self.told {
            self.found = (self.found + 1.0).min(self.told);
            self.raised_at = now;
        }
    }

    fn judge(&mut self, now: Instant) {
        let stretch = self.window.sum / f64::from(self.window.count);
        self.window = Window::default();
        // A cut that brought no relief was not the cause's cure: the work
        // itself has become slower, and fewer slots would only lose capacity.
        if let Some(trial) = self.trial.take()
            && stretch > trial.stretch * HELPED
        {
            self.found = trial.found.min(self.told);
            self.usual = stretch;
            return;
        }
        self.usual = self.usual.min(stretch).max(1.0);
        if stretch > TOO_SLOW * self.usual && self.found > 1.0 {
            self.trial = Some(Trial {
                found: self.found,
                stretch,
            });
            let share = (self.usual / stretch).max(DEEPEST_CUT);
            self.found = (self.found * share).floor().max(1.0);
            self.hold(now);
        }
    }

    fn hold(&mut self, now: Instant) {
        self.raised_at = now;
        self.raise_interval = RAISE_INTERVAL;
        self.window = Window::default();
    }
}
