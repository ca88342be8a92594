//! Description of a simulated run: callers, proxies and backend servers.

use config::Class;
use std::ops::Range;

/// Default mean service time, in seconds.
pub const SERVICE_TIME: f64 = 0.030;

/// Calls per second that four backend servers of six slots serve at the default service time.
pub const CAPACITY: f64 = 24.0 / SERVICE_TIME;

/// The kind of proxies between callers and backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum System {
    /// The modules under test.
    Policy,
    /// Round robin, an unbounded first-come, first-served queue, three retries.
    Baseline,
}

/// How the time that a caller has waited before a retry counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerRetry {
    /// Not at all: a retry is a new call.
    NewCall,
    /// The caller has waited since its first call, but the nodes do not know it.
    Unmarked,
    /// The caller has waited since its first call, and the nodes know it.
    Marked,
}

/// Which calls start first where nested calls and direct calls wait for a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NestedCalls {
    /// Each kind gets its share of the slots.
    Weighted,
    /// Nested calls, while the direct calls can still wait.
    First,
}

/// Calls of one caller to one route.
#[derive(Debug, Clone)]
pub struct Flow {
    pub caller: u32,
    pub class: Class,
    pub route: u32,
    pub key: u32,
    /// Calls per second.
    pub rate: f64,
    /// Start and end, in seconds.
    pub span: (f64, f64),
    /// Mean service time, in seconds.
    pub service_time: f64,
    /// Time from a call to its deadline, in seconds.
    pub timeout: f64,
    /// Latency target in seconds, if the callers state one.
    pub target: Option<f64>,
    /// Class of the parent calls, which run elsewhere and wait for these calls, if these are
    /// nested.
    pub parent_class: Option<Class>,
    /// Team of the callers, if they have one.
    pub team: Option<u64>,
}

impl Flow {
    /// Creates a flow of `rate` calls per second with a mean service time of 30 ms and a timeout of
    /// one second.
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
            service_time: SERVICE_TIME,
            timeout: 1.0,
            target: None,
            parent_class: None,
            team: None,
        }
    }

    /// Splits the rate evenly among callers, each with its own key.
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
    /// Slots that it advertises.
    pub advertised_slots: u16,
    /// Calls that it runs at once.
    pub slots: usize,
    /// Factor on the service time of a call that starts at the given second.
    pub slowdown: fn(f64) -> f64,
    /// Like `slowdown`, but by others' work on the machine of the server with the given index.
    pub neighbour: fn(usize, f64) -> f64,
    /// What the server with the given index reports as its pace, in percent.
    pub reported_pace: fn(usize, f64) -> Option<u32>,
    /// Whether a call that starts at the given second fails at once.
    pub is_failing: fn(f64) -> bool,
    /// Whether the backend server has no power at the given second, so that anything sent to it is
    /// lost.
    pub is_dead: fn(f64) -> bool,
    /// Time span, in seconds, in which the backend server is in the views of the outbound proxies.
    pub in_view_span_s: (f64, f64),
}

impl Default for Server {
    fn default() -> Self {
        Self {
            zone: 0,
            advertised_slots: 6,
            slots: 6,
            slowdown: |_| 1.0,
            neighbour: |_, _| 1.0,
            reported_pace: |_, _| None,
            is_failing: |_| false,
            is_dead: |_| false,
            in_view_span_s: (0.0, f64::MAX),
        }
    }
}

/// A simulated run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub seconds: f64,
    pub flows: Vec<Flow>,
    pub servers: Vec<Server>,
    /// Availability zone of each outbound proxy.
    pub proxy_zones: Vec<u32>,
    /// How often callers themselves retry after a refusal or failure.
    pub caller_retries: u32,
    /// How the time that a caller has waited before a retry counts.
    pub caller_retry: CallerRetry,
    /// Baseline only: time after which an attempt counts as lost and is repeated, in seconds.
    pub attempt_timeout: f64,
    /// Whether late calls are hedged.
    pub hedge: bool,
    /// Whether load probes are sent to backend servers before a call.
    pub probes: bool,
    /// Which calls start first where nested calls and direct calls wait.
    pub nested_calls: NestedCalls,
    /// Whether service times are uniform within half of their mean, instead of exponential.
    pub uniform_service_times: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 10.0,
            flows: Vec::new(),
            servers: vec![Server::default(); 4],
            proxy_zones: vec![0; 4],
            caller_retries: 0,
            caller_retry: CallerRetry::NewCall,
            attempt_timeout: f64::MAX,
            hedge: false,
            probes: true,
            nested_calls: NestedCalls::Weighted,
            uniform_service_times: false,
        }
    }
}
