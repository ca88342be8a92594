//! Call durations, learned per route.
//!
//! Calls of a few milliseconds and jobs of seconds share one backend server. If every wait were
//! predicted from one mean, it would be wrong for both. The tables are of fixed size, because
//! operators may configure any number of routes, while the memory of the VM is limited.

use std::time::Duration;

/// Rows of the table for the one backend server of a node; the table takes 12 KB.
pub const LOCAL_ROWS: usize = 256;

/// Rows of the table for each service that a node calls; a table takes 1.5 KB, so that the tables
/// of 410 services take 0.6 MB of the 32 MB of a node.
pub const SERVICE_ROWS: usize = 32;

/// Samples after which a mean becomes an exponential moving average, which forgets a former speed
/// within about 16 calls, a tenth of a second at 6 slots of 4 ms.
const MEAN_SAMPLES: u32 = 16;

/// Samples after which the mean duration under light load, the baseline of the slowdown, becomes an
/// exponential moving average. With service times that vary as much as their mean, this baseline is
/// off by 6%.
const LIGHT_MEAN_SAMPLES: u32 = 128;

/// Number of calls under light load that are required before the slowdown of calls is computed.
/// Without a minimum, the first few calls could by chance cut the limit of healthy backend servers.
const MIN_LIGHT_SAMPLES: u32 = 32;

/// Duration assumed for a route, in seconds, before any call has ended.
const DEFAULT_DURATION_SECONDS: f64 = 0.010;

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
    /// Mean of the logarithms of durations in seconds, from which the geometric mean is computed.
    log_mean: Mean<MEAN_SAMPLES>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Row {
    route: u64,
    /// How often the route was recorded, minus how often other routes requested the row; at most
    /// [`MEAN_SAMPLES`].
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
        self.overall.get().unwrap_or(DEFAULT_DURATION_SECONDS)
    }

    /// Returns whether calls of `route` take many times as long as the typical call.
    #[must_use]
    pub fn is_long(&self, route: u64) -> bool {
        self.route_mean(route)
            .is_some_and(|took| took > self.long_duration())
    }

    /// Returns the duration in seconds above which a call counts as long.
    #[must_use]
    pub fn long_duration(&self) -> f64 {
        let log = self.log_mean.get();
        log.map_or(f64::INFINITY, |log| LONG_FACTOR * log.exp())
    }

    /// Records how long a call took; `light` means that the backend server had little else to
    /// do.
    ///
    /// Returns the slowdown compared with calls of the route under light load, once enough of these
    /// have been recorded.
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

    /// Returns the row of `route`, or `None` if another route keeps the row. A route gives up its
    /// row only after other routes have requested the row as often as the route itself: a scan of
    /// one-off routes would otherwise evict the routes in use.
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
