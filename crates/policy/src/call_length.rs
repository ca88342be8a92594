//! How long the calls of each route take, as far as that is known.
//!
//! A process that ends at a known time must not take a call that lasts longer. The length of a
//! single call is not known in advance. What is known is the longest of the recent calls of its
//! route, once there have been enough of them; calls that are still running count with their age.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Length of a window; the calls of the current and the previous one count.
const WINDOW: Duration = Duration::from_secs(10);

/// Number of calls from which the longest one says how long others take.
const MIN_CALLS: u32 = 100;

/// Factor by which a call may take longer than the longest one known.
const MARGIN: f64 = 1.5;

/// Maximum number of routes that are tracked.
const MAX_ROUTES: usize = 4_096;

/// Lengths of calls, by route.
#[derive(Debug, Default)]
pub struct CallLengths {
    routes: HashMap<u64, RouteLengths>,
}

#[derive(Debug)]
struct RouteLengths {
    window_started: Instant,
    current: Window,
    previous: Window,
    /// Number of running calls by the time at which they began.
    running: BTreeMap<Instant, u32>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    calls: u32,
    longest: Duration,
}

impl CallLengths {
    /// Records that a call of `route` begins. A call of a route beyond the maximum is not tracked.
    pub fn begin(&mut self, route: u64, now: Instant) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            self.routes.retain(|_, lengths| lengths.is_in_use(now));
            if self.routes.len() >= MAX_ROUTES {
                return;
            }
        }
        let lengths = self.routes.entry(route).or_insert_with(|| RouteLengths {
            window_started: now,
            current: Window::default(),
            previous: Window::default(),
            running: BTreeMap::new(),
        });
        *lengths.running.entry(now).or_default() += 1;
    }

    /// Records the end of a call that began at `started`. A call that has not run says nothing about
    /// the length of others.
    pub fn finish(&mut self, route: u64, started: Instant, now: Instant, has_run: bool) {
        let Some(lengths) = self.routes.get_mut(&route) else {
            return;
        };
        if let Some(count) = lengths.running.get_mut(&started) {
            *count -= 1;
            if *count == 0 {
                lengths.running.remove(&started);
            }
        }
        if has_run {
            lengths.advance(now);
            let window = &mut lengths.current;
            window.calls = window.calls.saturating_add(1);
            window.longest = window.longest.max(now.saturating_duration_since(started));
        }
    }

    /// Returns the time that a call of `route` takes at most, as far as others show; `None` if too
    /// few have run of late.
    #[must_use]
    pub fn expect(&self, route: u64, now: Instant) -> Option<Duration> {
        let lengths = self.routes.get(&route)?;
        let windows = lengths.windows(now);
        let calls: u32 = windows.iter().map(|window| window.calls).sum();
        if calls < MIN_CALLS {
            return None;
        }
        let longest = windows.iter().map(|window| window.longest).max()?;
        let oldest = lengths.running.keys().next();
        let age = oldest.map_or(Duration::ZERO, |began| {
            now.saturating_duration_since(*began)
        });
        Some(longest.max(age).mul_f64(MARGIN))
    }
}

impl RouteLengths {
    fn advance(&mut self, now: Instant) {
        let [current, previous] = self.windows(now);
        let since = now.saturating_duration_since(self.window_started);
        if since >= WINDOW {
            self.window_started = now;
        }
        (self.current, self.previous) = (current, previous);
    }

    /// Returns the current and the previous window as of `now`.
    fn windows(&self, now: Instant) -> [Window; 2] {
        let since = now.saturating_duration_since(self.window_started);
        if since < WINDOW {
            [self.current, self.previous]
        } else if since < 2 * WINDOW {
            [Window::default(), self.current]
        } else {
            [Window::default(); 2]
        }
    }

    fn is_in_use(&self, now: Instant) -> bool {
        !self.running.is_empty() || self.windows(now).iter().any(|window| window.calls > 0)
    }
}
