//! What a run is made of: callers, backend servers and what stands between.

use config::Class;
use std::ops::Range;

/// Mean service time in seconds, where a test needs no other.
pub const MEAN: f64 = 0.030;

/// Calls a second that four backend servers of six slots serve.
pub const CAPACITY: f64 = 24.0 / MEAN;

/// What stands between callers and backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum System {
    /// The modules under test.
    Policy,
    /// Round robin, first come first served without bound, three retries.
    Baseline,
}

/// What a caller that comes back is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comeback {
    /// Its time begins anew.
    Fresh,
    /// It has been waiting since it first came, and nobody knows.
    Unknown,
    /// The same, and it is known.
    Known,
}

/// Calls of one caller along one route.
#[derive(Debug, Clone)]
pub struct Flow {
    pub caller: u32,
    pub class: Class,
    pub route: u32,
    pub key: u32,
    /// Calls a second.
    pub rate: f64,
    /// Seconds at which it begins and ends.
    pub span: (f64, f64),
    /// Mean service time in seconds; exponential.
    pub mean: f64,
    /// Seconds until nobody waits any more.
    pub timeout: f64,
    /// Seconds within which an answer is worth most, if callers say so.
    pub target: Option<f64>,
    /// Whether a call that runs elsewhere waits for them.
    pub nested: Option<Class>,
}

impl Flow {
    /// Calls at `rate` a second that take 30 ms and may take a second.
    pub fn new(class: Class, rate: f64) -> Self {
        let route = match class {
            Class::Commit => 1,
            Class::Lookup => 2,
            Class::Refresh => 3,
        };
        Self {
            caller: 0,
            class,
            route,
            key: 1000 * route,
            rate,
            span: (0.0, f64::MAX),
            mean: MEAN,
            timeout: 1.0,
            target: None,
            nested: None,
        }
    }

    /// Splits the rate evenly among callers, each with a key of its own.
    pub fn split(&self, callers: Range<u32>) -> Vec<Self> {
        let rate = self.rate / f64::from(callers.end - callers.start);
        let of_caller = |caller| Self {
            caller,
            rate,
            key: self.key + caller,
            ..self.clone()
        };
        callers.map(of_caller).collect()
    }
}

/// A backend server with its inbound proxy.
#[derive(Debug, Clone)]
pub struct Server {
    pub zone: u32,
    pub told: u16,
    pub slots: usize,
    /// Factor on service times at a second.
    pub slow: fn(f64) -> f64,
    /// Whether a call that starts at a second is broken off at once.
    pub broken: fn(f64) -> bool,
    /// Whether it is without power at a second: what reaches it is lost.
    pub dark: fn(f64) -> bool,
    /// Seconds between which it is in the outbound proxies' views.
    pub seen: (f64, f64),
}

impl Default for Server {
    fn default() -> Self {
        Self {
            zone: 0,
            told: 6,
            slots: 6,
            slow: |_| 1.0,
            broken: |_| false,
            dark: |_| false,
            seen: (0.0, f64::MAX),
        }
    }
}

/// A whole run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub seconds: f64,
    pub flows: Vec<Flow>,
    pub servers: Vec<Server>,
    /// Availability zone of each outbound proxy.
    pub proxies: Vec<u32>,
    /// How often callers themselves come back after a refusal or failure.
    pub returns: u32,
    /// What a caller that comes back is taken for.
    pub comeback: Comeback,
    /// Baseline only: seconds after which a try counts as lost and is repeated.
    pub try_timeout: f64,
    /// Whether late calls get a second copy.
    pub hedge: bool,
    /// Whether backend servers are asked before a call is sent.
    pub asks: bool,
    /// Whether durations vary by half of their mean at most, in place of exponentially.
    pub steady: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 10.0,
            flows: Vec::new(),
            servers: vec![Server::default(); 4],
            proxies: vec![0; 4],
            returns: 0,
            comeback: Comeback::Fresh,
            try_timeout: f64::MAX,
            hedge: false,
            asks: true,
            steady: false,
        }
    }
}
