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
/// that vary as much as their mean, the mean of 96 is off by 10%.
const WINDOW_SAMPLES: u32 = 96;

/// Stretch (duration over the one under light load) from which the limit is cut:
/// 1.6 is more than four deviations of a window's mean.
const MAX_SLOWDOWN: f64 = 1.6;

/// Deepest cut in one step.
const MIN_CUT_FACTOR: f64 = 0.5;

/// Share of the former rate of calls that must be left for a cut to be upheld.
/// A cut to what there really is loses nothing, one by mistake a third or more.
const MIN_KEPT_RATE: f64 = 0.8;

/// Time for which a cut that was not upheld is not tried again: half a second
/// at two thirds of the capacity each time.
const REVERTED_CUT_PAUSE: Duration = Duration::from_secs(10);

/// Between raises by one: slow up.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// Calls under light load that a probe asks for, with half of the limit.
const PROBE_CALLS: u32 = 64;

/// Longest probe, for a backend server whose calls take long.
const MAX_PROBE_TIME: Duration = Duration::from_secs(1);

/// Time without the end of any call after which a probe is over. Less than the
/// patience of the shortest queue (0.3 s for a first look-up), so that a probe
/// behind long calls makes others wait but refuses none.
const PROBE_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without any call under light load after which a probe is made. Under
/// lasting overload there would be nothing to compare with; 64 calls of 30 ms
/// at half speed, every 30 s, cost 1% of the capacity.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Share of calls refused under light load from which refusals say nothing of
/// concurrency: one in ten, where a full backend server has none.
const MAX_LIGHT_SHED_SHARE: f64 = 0.1;

/// Weight of a call under light load in that share: some ten calls.
const SHED_WEIGHT: f64 = 0.1;

/// A concurrency limit that is found from what is seen.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    advertised: f64,
    current: f64,
    raised_at: Instant,
    probe: Option<Probe>,
    light_load_at: Instant,
    window: Window,
    /// Stretch that is known not to come from concurrency.
    baseline: f64,
    baseline_until: Instant,
    /// What things were before a cut that is on trial.
    pending_cut: Option<PendingCut>,
    /// Share of the calls under light load that were refused lately.
    light_shed_share: f64,
}

#[derive(Debug, Clone, Copy)]
struct PendingCut {
    previous: f64,
    slowdown: f64,
    rate: f64,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    calls_left: u32,
    ends_by: Instant,
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
    /// Starts with a probe at half of the slots told: the first calls show the speed under light load.
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
            baseline: 1.0,
            baseline_until: now,
            pending_cut: None,
            light_shed_share: 0.0,
        }
    }

    /// Takes in how many slots the backend server says it has.
    pub fn set_advertised(&mut self, advertised: u16) {
        self.advertised = f64::from(if advertised == 0 {
            DEFAULT_SLOTS
        } else {
            advertised
        });
        self.current = self.current.min(self.advertised);
    }

    /// Gives how many calls may run at once; at least one.
    #[must_use]
    pub fn slots(&self) -> f64 {
        if self.probe.is_some() {
            self.half_limit()
        } else {
            self.current.floor().max(1.0)
        }
    }

    /// Gives half of the slots, but no less than two: in a probe of one slot a
    /// single long call would keep all others out.
    fn half_limit(&self) -> f64 {
        (self.current / 2.0)
            .floor()
            .max(self.current.clamp(1.0, 2.0))
    }

    /// Ends a probe whose time is up.
    ///
    /// Calls that stream for minutes don't end, so that a probe which looked at
    /// the time only when a call ends would keep the other slots closed.
    pub(crate) fn end_probe(&mut self, now: Instant) {
        if self.probe.is_some_and(|probe| now >= probe.ends_at()) {
            self.probe = None;
        }
    }

    /// Gives when a probe is over at the latest.
    pub(crate) fn probe_ends_at(&self) -> Option<Instant> {
        self.probe.map(|probe| probe.ends_at())
    }

    /// Tells whether `running` calls are few for this backend server.
    #[must_use]
    pub fn is_light(&self, running: u32) -> bool {
        f64::from(running) <= self.half_limit()
    }

    /// Takes in the end of a call that started as the `running`th.
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

    /// Takes in that the backend server refused a call for load.
    ///
    /// *Load pattern:* a backend server that refuses half of its calls however
    /// few it runs. *Without it* each refusal cuts the limit, down to one call
    /// at a time, and a service whose backend servers are all so serves a sixth
    /// of what they would take. What is refused under light load as well is no
    /// matter of concurrency.
    fn record_shed(&mut self, now: Instant, running: u32) {
        if self.is_light(running) {
            self.record_light_shed(true);
        } else if self.light_shed_share < MAX_LIGHT_SHED_SHARE {
            self.cut_below(now, running);
        }
    }

    fn record_light_shed(&mut self, shed: bool) {
        let sample = if shed { 1.0 } else { 0.0 };
        self.light_shed_share += SHED_WEIGHT * (sample - self.light_shed_share);
    }

    /// Cuts to just under the concurrency that was refused.
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
        // Calls from before a cut were slowed by what it has ended.
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
        // Not while a cut is on trial: what is judged then must be the cut.
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
        // Fewer calls get done: it was not the concurrency that made them slow
        // but chance, or the work itself, and the cut only loses capacity.
        if let Some(pending_cut) = self.pending_cut.take()
            && rate < pending_cut.rate * MIN_KEPT_RATE
        {
            self.current = pending_cut.previous.min(self.advertised);
            self.baseline = pending_cut.slowdown;
            self.baseline_until = now + REVERTED_CUT_PAUSE;
            return;
        }
        self.baseline = if now < self.baseline_until {
            self.baseline.min(slowdown).max(1.0)
        } else {
            1.0
        };
        if slowdown > MAX_SLOWDOWN * self.baseline && self.current > 1.0 {
            self.pending_cut = Some(PendingCut {
                previous: self.current,
                slowdown,
                rate,
            });
            let factor = (self.baseline / slowdown).max(MIN_CUT_FACTOR);
            self.current = (self.current * factor).round().max(1.0);
            self.restart_window(now);
        }
    }

    fn restart_window(&mut self, now: Instant) {
        self.raised_at = now;
        self.window = Window::default();
    }
}
