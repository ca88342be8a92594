//! Call durations, learned per route.
//!
//! Calls of a few milliseconds and jobs of seconds share one backend server. If every wait were
//! predicted from one mean, it would be wrong for both. The tables are of fixed size, because
//! operators may configure any number of routes, while the memory of the VM is limited.

use std::time::Duration;

/// Rows for the one backend server of a node: 12 KB.
pub const LOCAL_ROWS: usize = 256;

/// Rows for each service that a node calls: 1.5 KB, so that 410 services take 0.6 MB of a
/// node's 32 MB.
pub const SERVICE_ROWS: usize = 32;

/// Samples after which a mean becomes an exponential moving average: it then forgets a former
/// speed within about 16 calls, a tenth of a second at 6 slots of 4 ms.
const MEAN_SAMPLES: u32 = 16;

/// The same for durations under light load, the baseline of the slowdown: with service times
/// that vary as much as their mean, this baseline is off by 6%.
const LIGHT_MEAN_SAMPLES: u32 = 128;

/// Calls under light load that are required before others are compared with them. Without a
/// minimum, the first few could by chance cut the limit of healthy backend servers.
const MIN_LIGHT_SAMPLES: u32 = 32;

/// Duration assumed for a route, in seconds, before any call has ended.
const DEFAULT_SECONDS: f64 = 0.010;

/// Multiple of the typical (geometric mean) duration from which a call counts as long.
///
/// With a lower factor, the ordinary variance between look-ups would count; a job worth keeping
/// apart blocks a slot for the time of several short calls.
const LONG_FACTOR: f64 = 4.0;

/// Durations of calls, learned per route.
#[derive(Debug, Clone)]
pub struct Estimator {
    rows: Box<[Row]>,
    overall: Mean<MEAN_SAMPLES>,
    log_mean: Mean<MEAN_SAMPLES>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Row {
    route: u64,
    claims: u32,
    mean: Mean<MEAN_SAMPLES>,
    light_mean: Mean<LIGHT_MEAN_SAMPLES>,
}

impl Estimator {
    /// Creates an empty table with this number of rows.
    #[must_use]
    pub fn new(rows: usize) -> Self {
        Self {
            rows: vec![Row::default(); rows].into_boxed_slice(),
            overall: Mean::default(),
            log_mean: Mean::default(),
        }
    }

    /// Returns the seconds that a call of `route` is expected to take.
    #[must_use]
    pub fn expected(&self, route: u64) -> f64 {
        self.route_mean(route)
            .unwrap_or_else(|| self.overall_mean())
    }

    /// Returns the mean seconds of calls of `route`, if any has run.
    #[must_use]
    pub fn route_mean(&self, route: u64) -> Option<f64> {
        self.find_row(route).and_then(|row| row.mean.get())
    }

    /// Returns the mean seconds of calls of all routes.
    #[must_use]
    pub fn overall_mean(&self) -> f64 {
        self.overall.get().unwrap_or(DEFAULT_SECONDS)
    }

    /// Returns whether calls of `route` take many times as long as the typical call.
    #[must_use]
    pub fn is_long(&self, route: u64) -> bool {
        match (
            self.find_row(route).and_then(|row| row.mean.get()),
            self.log_mean.get(),
        ) {
            (Some(took), Some(log)) => took > LONG_FACTOR * log.exp(),
            _ => false,
        }
    }

    /// Records how long a call took; `light` means that the backend server had little else to
    /// do.
    ///
    /// Returns the slowdown compared with calls of the route under light load, once that is
    /// known.
    pub fn record(&mut self, route: u64, took: Duration, light: bool) -> Option<f64> {
        let seconds = took.as_secs_f64().max(1e-6);
        self.overall.add(seconds);
        self.log_mean.add(seconds.ln());
        let row = self.claim_row(route)?;
        row.mean.add(seconds);
        let baseline = row
            .light_mean
            .get()
            .filter(|_| row.light_mean.count >= MIN_LIGHT_SAMPLES);
        let slowdown = baseline.map(|baseline| seconds / baseline);
        if light {
            row.light_mean.add(seconds);
        }
        slowdown
    }

    fn index_of(&self, route: u64) -> usize {
        usize::try_from(route % self.rows.len() as u64).unwrap_or(0)
    }

    fn find_row(&self, route: u64) -> Option<&Row> {
        let row = &self.rows[self.index_of(route)];
        (row.claims > 0 && row.route == route).then_some(row)
    }

    /// Returns the row of `route`. A row that another route holds is given up only after it was
    /// requested as often as it was used: a scan of one-off routes would otherwise evict the
    /// routes in use.
    fn claim_row(&mut self, route: u64) -> Option<&mut Row> {
        let index = self.index_of(route);
        let row = &mut self.rows[index];
        if row.claims > 0 && row.route != route {
            row.claims -= 1;
            if row.claims > 0 {
                return None;
            }
        }
        if row.claims == 0 {
            *row = Row {
                route,
                ..Row::default()
            };
        }
        row.claims = (row.claims + 1).min(MEAN_SAMPLES);
        Some(row)
    }
}

/// Arithmetic mean of the first `N` samples, then an exponential moving average.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean<const N: u32> {
    value: f64,
    count: u32,
}

impl<const N: u32> Mean<N> {
    pub(crate) fn add(&mut self, sample: f64) {
        self.count = (self.count + 1).min(N);
        self.value += (sample - self.value) / f64::from(self.count);
    }

    pub(crate) fn get(self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }
}
