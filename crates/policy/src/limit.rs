//! Concurrency limit of a backend server, adapted to what it can run without harm.
//!
//! A backend server may advertise six slots and have three, or lose half of its CPU. Without an
//! adaptive limit, the excess calls queue inside the backend server, where class, fair share
//! and deadline have no effect.
//!
//! Additive increase and multiplicative decrease converge to a fair and full use of the capacity
//! (Chiu and Jain, 1989). The latency signal is the duration of a call divided by the duration of
//! calls of the same route under light load, as in TCP Vegas and Netflix's concurrency limits. The
//! advertised slots are an upper bound: a backend server never gets more calls than it asked for.

use std::time::{Duration, Instant};

/// How a call at the backend server ended, for the purposes of load control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call was answered.
    Done,
    /// The backend server refused the call because of load.
    Shed,
    /// The call failed or was given up; its duration carries no information.
    Failed,
}

/// Slots assumed when a backend server advertises none: as many as backend servers have today.
const DEFAULT_SLOTS: u16 = 6;

/// Samples under load per evaluation of the limit. With service times that vary as much as
/// their mean, the mean of 96 samples is off by 10%.
const WINDOW_SAMPLES: u32 = 96;

/// Slowdown (duration over the duration under light load) above which the limit is cut: 1.6 exceeds
/// the normal 1 by more than four standard deviations of a window's mean.
const MAX_SLOWDOWN: f64 = 1.6;

/// Lower bound of the factor by which one step cuts the limit.
const MIN_CUT_FACTOR: f64 = 0.5;

/// Share of the former call rate that must remain for a cut to be kept. A cut to the real capacity
/// loses no calls, a mistaken cut a third of them or more.
const MIN_KEPT_RATE_SHARE: f64 = 0.8;

/// Time for which a cut is not tried again after it was reverted: each trial costs half a
/// second at two thirds of the capacity.
const REVERTED_CUT_PAUSE: Duration = Duration::from_secs(10);

/// Time between increases by one, so that the limit rises slowly.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of calls under light load after which a probe ends. During a probe, the backend server
/// runs at half of the limit.
const PROBE_CALLS: u32 = 64;

/// Maximum duration of a probe, for backend servers whose calls take long.
const MAX_PROBE_TIME: Duration = Duration::from_secs(1);

/// Time without the end of any call after which a probe is over. It is less than the shortest limit
/// on the time in the queue (0.3 s, for a look-up before any call has ended), so that a probe
/// behind long calls makes other calls wait but refuses none.
const PROBE_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without any call under light load after which a probe starts. Without probes, there would
/// be no baseline to compare with under lasting overload; 64 calls of 30 ms at half speed, every 30
/// s, cost 1% of the capacity.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Share of calls under light load that are refused, from which refusals no longer count as a sign
/// of excess concurrency: one in ten, whereas a backend server that is merely full refuses none
/// under light load.
const MAX_LIGHT_SHED_SHARE: f64 = 0.1;

/// Weight of one call in the share of calls refused under light load, which spans some ten calls.
const LIGHT_SHED_WEIGHT: f64 = 0.1;

/// Concurrency limit that adapts to measured latencies and refusals.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    advertised: f64,
    current: f64,
    raised_at: Instant,
    probe: Option<Probe>,
    /// When a call last ended under light load, or a probe was started for lack of such calls.
    light_load_at: Instant,
    window: Window,
    /// Slowdown that is assumed not to be caused by concurrency.
    baseline_slowdown: f64,
    /// When `baseline_slowdown` returns to 1, after a reverted cut.
    baseline_slowdown_until: Instant,
    /// What was measured before a cut that is still being evaluated.
    pending_cut: Option<PendingCut>,
    /// Recent share of the calls under light load that were refused.
    light_shed_share: f64,
}

#[derive(Debug, Clone, Copy)]
struct PendingCut {
    /// Limit before the cut.
    previous: f64,
    slowdown: f64,
    /// Calls that ended per second.
    rate: f64,
}

/// A period at half of the limit, in which durations under light load are measured; not a load
/// probe.
#[derive(Debug, Clone, Copy)]
struct Probe {
    calls_left: u32,
    ends_by: Instant,
    /// When the probe ends unless a call under light load ends before.
    stalls_at: Instant,
}

impl Probe {
    fn start(now: Instant) -> Self {
        Self {
            calls_left: PROBE_CALLS,
            ends_by: now + MAX_PROBE_TIME,
            stalls_at: now + PROBE_STALL_TIMEOUT,
        }
    }

    fn ends_at(&self) -> Instant {
        self.ends_by.min(self.stalls_at)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    sum: f64,
    count: u32,
    since: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit at the advertised slots, and starts a probe at half of them, as the first
    /// calls show the speed under light load.
    #[must_use]
    pub fn new(now: Instant, advertised: u16) -> Self {
        let advertised = f64::from(if advertised == 0 {
            DEFAULT_SLOTS
        } else {
            advertised
        });
        Self {
            advertised,
            current: advertised,
            raised_at: now,
            probe: Some(Probe::start(now)),
            light_load_at: now,
            window: Window::default(),
            baseline_slowdown: 1.0,
            baseline_slowdown_until: now,
            pending_cut: None,
            light_shed_share: 0.0,
        }
    }

    /// Updates the number of slots that the backend server advertises.
    pub fn set_advertised(&mut self, advertised: u16) {
        self.advertised = f64::from(if advertised == 0 {
            DEFAULT_SLOTS
        } else {
            advertised
        });
        self.current = self.current.min(self.advertised);
    }

    /// Returns the number of calls that may run at once; at least one.
    #[must_use]
    pub fn slots(&self) -> f64 {
        if self.probe.is_some() {
            self.half_limit()
        } else {
            self.current.floor().max(1.0)
        }
    }

    /// Returns half of the limit, but at least two slots if the limit allows two: with one slot, a
    /// single long call would block all others during the probe.
    fn half_limit(&self) -> f64 {
        (self.current / 2.0)
            .floor()
            .max(self.current.clamp(1.0, 2.0))
    }

    /// Ends a probe whose time is up.
    ///
    /// A streaming call can last for minutes. If the time were checked only at the end of a call,
    /// the probe could halve the slots for that long.
    pub(crate) fn end_probe(&mut self, now: Instant) {
        if self.probe.is_some_and(|probe| now >= probe.ends_at()) {
            self.probe = None;
        }
    }

    /// Returns when the probe in progress, if any, ends unless a call ends before.
    pub(crate) fn probe_ends_at(&self) -> Option<Instant> {
        self.probe.map(|probe| probe.ends_at())
    }

    /// Returns whether `running` calls count as light load for this backend server.
    #[must_use]
    pub fn is_light(&self, running: u32) -> bool {
        f64::from(running) <= self.half_limit()
    }

    /// Records the end of a call; `running` calls were running once it had started.
    pub fn record(&mut self, now: Instant, running: u32, outcome: Outcome, slowdown: Option<f64>) {
        match outcome {
            Outcome::Shed => self.record_shed(now, running),
            Outcome::Failed => {}
            Outcome::Done => {
                if self.is_light(running) {
                    self.record_light_shed(false);
                }
                self.record_done(now, running, slowdown);
            }
        }
    }

    /// Records that the backend server refused a call because of load.
    ///
    /// A backend server may refuse half of its calls no matter how few it runs. If each refusal
    /// cut the limit, it would fall to one call at a time, and a service whose backend servers
    /// all behave like this would serve a sixth of what they would accept. Refusals that also
    /// occur under light load aren't caused by concurrency.
    fn record_shed(&mut self, now: Instant, running: u32) {
        if self.is_light(running) {
            self.record_light_shed(true);
        } else if self.light_shed_share < MAX_LIGHT_SHED_SHARE {
            self.cut_below(now, running);
        }
    }

    fn record_light_shed(&mut self, shed: bool) {
        let sample = if shed { 1.0 } else { 0.0 };
        self.light_shed_share += LIGHT_SHED_WEIGHT * (sample - self.light_shed_share);
    }

    /// Cuts the limit to just below the concurrency at which a call was refused, but at most by
    /// half.
    fn cut_below(&mut self, now: Instant, running: u32) {
        let refused = f64::from(running).min(self.current);
        self.current = (refused - 1.0).max(self.current * MIN_CUT_FACTOR).max(1.0);
        self.restart_window(now);
    }

    fn record_done(&mut self, now: Instant, running: u32, slowdown: Option<f64>) {
        if self.is_light(running) {
            self.record_light_load(now);
        } else if now.saturating_duration_since(self.light_load_at) > PROBE_INTERVAL {
            self.probe = Some(Probe::start(now));
            self.light_load_at = now;
        }
        // Only calls that started at the current limit count: those that started before a cut were
        // slowed down by load that the cut has removed.
        if (f64::from(running) - self.current.floor()).abs() > 0.5 {
            return;
        }
        if let Some(slowdown) = slowdown {
            self.window.since.get_or_insert(now);
            self.window.sum += slowdown;
            self.window.count += 1;
            if self.window.count >= WINDOW_SAMPLES {
                self.evaluate_window(now);
            }
        }
        let raise_due = now.saturating_duration_since(self.raised_at) >= RAISE_INTERVAL;
        // The limit is not raised while a cut is being evaluated, so that only the effect of the
        // cut is measured.
        if raise_due && self.pending_cut.is_none() && self.current < self.advertised {
            self.current = (self.current + 1.0).min(self.advertised);
            self.raised_at = now;
        }
    }

    fn record_light_load(&mut self, now: Instant) {
        self.light_load_at = now;
        if let Some(probe) = &mut self.probe {
            probe.calls_left -= 1;
            probe.stalls_at = now + PROBE_STALL_TIMEOUT;
            if probe.calls_left == 0 {
                self.probe = None;
            }
        }
        self.end_probe(now);
    }

    fn evaluate_window(&mut self, now: Instant) {
        let slowdown = self.window.sum / f64::from(self.window.count);
        let since = self.window.since.unwrap_or(now);
        let age = now.saturating_duration_since(since).as_secs_f64();
        let rate = f64::from(self.window.count) / age.max(1e-3);
        self.window = Window::default();
        // The call rate fell after the cut, so the cause of the slowdown wasn't concurrency but
        // chance or the work itself, and the cut only loses capacity.
        if let Some(pending_cut) = self.pending_cut.take()
            && rate < pending_cut.rate * MIN_KEPT_RATE_SHARE
        {
            self.current = pending_cut.previous.min(self.advertised);
            self.baseline_slowdown = pending_cut.slowdown;
            self.baseline_slowdown_until = now + REVERTED_CUT_PAUSE;
            return;
        }
        self.baseline_slowdown = if now < self.baseline_slowdown_until {
            self.baseline_slowdown.min(slowdown).max(1.0)
        } else {
            1.0
        };
        if slowdown > MAX_SLOWDOWN * self.baseline_slowdown && self.current > 1.0 {
            self.pending_cut = Some(PendingCut {
                previous: self.current,
                slowdown,
                rate,
            });
            let factor = (self.baseline_slowdown / slowdown).max(MIN_CUT_FACTOR);
            self.current = (self.current * factor).round().max(1.0);
            self.restart_window(now);
        }
    }

    fn restart_window(&mut self, now: Instant) {
        self.raised_at = now;
        self.window = Window::default();
    }
}
