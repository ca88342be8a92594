//! Metrics of a node, for Prometheus and for the report on burn rates.
//!
//! The call path looks up the [`ServiceMetrics`] handle of a call when the call ends, and then uses
//! only atomics and one short lock to record it. Label values come only from the configuration;
//! services beyond [`MAX_SERVICE_LABELS`] share one label.

pub(crate) mod access;
pub(crate) mod control;
pub(crate) mod failures;
pub(crate) mod pipeline;
pub(crate) mod quarantine;
pub(crate) mod reserve;
pub(crate) mod retries;
pub(crate) mod self_report;
pub(crate) mod service;

pub use crate::metrics::access::AccessMetrics;
pub use crate::metrics::control::ControlMetrics;
pub use crate::metrics::failures::FailureMetrics;
pub use crate::metrics::pipeline::PipelineMetrics;
pub use crate::metrics::quarantine::QuarantineMetrics;
pub use crate::metrics::reserve::ReserveMetrics;
pub use crate::metrics::self_report::SelfReportMetrics;
pub use crate::metrics::service::{Ending, ServiceMetrics};

use crate::metrics::retries::RetryFamilies;
use crate::metrics::service::ENDING_LABELS;
use parking_lot::{Mutex, RwLock};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

/// Maximum number of services with their own label: twice the 410 that the fleet is designed for.
pub const MAX_SERVICE_LABELS: usize = 820;

/// Label of all services beyond [`MAX_SERVICE_LABELS`].
pub const OTHER_SERVICES: &str = "other";

/// Bucket bounds of duration histograms, in seconds: finest around the 0.36 ms
/// that both proxies together may add, and up to the default timeout of 5 s.
const DURATION_BOUNDS: [f64; 14] = [
    0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabel {
    service: String,
    ending: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListenerLabel {
    listener: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabel {
    direction: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// Values of the gauges, read from the node's state for each scrape.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GaugeValues {
    /// Version of the configuration in use for calls.
    pub version: u64,
    /// Endpoints known to this node.
    pub endpoints: usize,
    /// Routes in force.
    pub routes: usize,
    /// Routes withheld because services that they name are missing.
    pub withheld_routes: usize,
    /// Calls that are queued for the local backend server or run on it.
    pub in_flight: usize,
    /// Requests held in quarantine because they crash backend servers.
    pub held_requests: usize,
    /// Whether the node is ready for calls.
    pub ready: bool,
    /// Whether the node or its backend server is leaving.
    pub leaving: bool,
    /// What a graceful stop waits for, or would wait for if it started now.
    pub waits: status::StopWaits,
    /// Memory and CPU time of the process.
    pub process: crate::process::Usage,
}

/// Metrics that are set from [`GaugeValues`] for each scrape.
#[derive(Debug, Default)]
struct Gauges {
    version: Gauge,
    endpoints: Gauge,
    routes: Gauge,
    withheld_routes: Gauge,
    in_flight: Gauge,
    held_requests: Gauge,
    ready: Gauge,
    leaving: Gauge,
    waits: Family<KindLabel, Gauge>,
    resident: Gauge,
    cpu: Counter<f64, AtomicU64>,
}

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    start: Instant,
    registry: Registry,
    calls: Family<CallLabel, Counter>,
    durations: Family<ServiceLabel, Histogram, fn() -> Histogram>,
    retries: RetryFamilies,
    bad_requests: Family<ListenerLabel, Counter>,
    control_bytes: Family<DirectionLabel, Counter>,
    /// Counts of calls without an answer, and how long calls waited at the admission gate.
    pub failures: FailureMetrics,
    /// Metrics of configuration distribution.
    pub control: ControlMetrics,
    /// Metrics of reservations of idempotency keys.
    pub reserve: ReserveMetrics,
    /// Counters of calls with keys.
    pub access: AccessMetrics,
    /// Counters of calls that start early on their connection.
    pub pipeline: PipelineMetrics,
    /// Metrics of requests that crash backend servers.
    pub quarantine: QuarantineMetrics,
    /// Metrics of what the local backend server reports about itself.
    pub self_report: SelfReportMetrics,
    gauges: Gauges,
    services: RwLock<HashMap<SmolStr, Arc<ServiceMetrics>>>,
    rendering: Mutex<()>,
}

impl Metrics {
    /// Creates the metrics of a node that started at `start`.
    #[must_use]
    pub fn new(start: Instant) -> Self {
        let new_histogram: fn() -> Histogram = || Histogram::new(DURATION_BOUNDS);
        let mut metrics = Self {
            start,
            registry: Registry::with_prefix("bluebellpick"),
            calls: Family::default(),
            durations: Family::new_with_constructor(new_histogram),
            bad_requests: Family::default(),
            control_bytes: Family::default(),
            failures: FailureMetrics::default(),
            control: ControlMetrics::default(),
            reserve: ReserveMetrics::default(),
            retries: RetryFamilies::default(),
            access: AccessMetrics::default(),
            pipeline: PipelineMetrics::default(),
            quarantine: QuarantineMetrics::default(),
            self_report: SelfReportMetrics::default(),
            gauges: Gauges::default(),
            services: RwLock::default(),
            rendering: Mutex::default(),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        let help = "Calls of this node's callers, by service and how they ended";
        registry.register("calls", help, self.calls.clone());
        let help = "Time from a call's arrival at this node to its end";
        let durations = self.durations.clone();
        registry.register_with_unit("call_duration", help, Unit::Seconds, durations);
        let help = "Connections closed because of what their peer sent, by listener";
        registry.register("bad_requests", help, self.bad_requests.clone());
        let help = "Bytes of configuration, endpoints and status between nodes, by direction";
        let bytes = self.control_bytes.clone();
        registry.register_with_unit("control", help, Unit::Bytes, bytes);
        self.failures.register(&mut self.registry);
        self.control.register(&mut self.registry);
        self.reserve.register(&mut self.registry);
        self.retries.register(&mut self.registry);
        self.access.register(&mut self.registry);
        self.pipeline.register(&mut self.registry);
        self.quarantine.register(&mut self.registry);
        self.self_report.register(&mut self.registry);
    }

    fn register_gauges(&mut self) {
        let gauges = &self.gauges;
        let plain = [
            (
                "config_version",
                "Version of the configuration that calls are served by",
                &gauges.version,
            ),
            (
                "endpoints",
                "Endpoints known to this node",
                &gauges.endpoints,
            ),
            ("routes", "Routes in force", &gauges.routes),
            (
                "withheld_routes",
                "Routes withheld until their services are there",
                &gauges.withheld_routes,
            ),
            (
                "in_flight_calls",
                "Calls that wait for the own backend server or run on it",
                &gauges.in_flight,
            ),
            (
                "held_requests",
                "Requests that are held because they crash backend servers",
                &gauges.held_requests,
            ),
            (
                "ready",
                "Whether the node takes calls, 0 or 1",
                &gauges.ready,
            ),
            (
                "leaving",
                "Whether the node or its backend server leaves, 0 or 1",
                &gauges.leaving,
            ),
        ];
        for (name, help, gauge) in plain {
            self.registry.register(name, help, gauge.clone());
        }
        let help = "What the node's stop waits for, or would if it came now, by kind";
        self.registry
            .register("stop_waits", help, gauges.waits.clone());
        let help = "Memory of the process that is in RAM";
        let resident = gauges.resident.clone();
        self.registry
            .register_with_unit("resident_memory", help, Unit::Bytes, resident);
        let help = "Processor time of the process, user and system";
        let cpu = gauges.cpu.clone();
        self.registry
            .register_with_unit("cpu", help, Unit::Seconds, cpu);
    }

    /// Returns the counters of a service; further calls return the same counters.
    #[must_use]
    pub fn service(&self, name: &str) -> Arc<ServiceMetrics> {
        if let Some(known) = self.services.read().get(name) {
            return Arc::clone(known);
        }
        let mut services = self.services.write();
        let name = if services.len() < MAX_SERVICE_LABELS {
            name
        } else {
            OTHER_SERVICES
        };
        let service = services
            .entry(name.into())
            .or_insert_with(|| Arc::new(self.make_service(name)));
        Arc::clone(service)
    }

    fn make_service(&self, name: &str) -> ServiceMetrics {
        let service = name.to_owned();
        let endings = ENDING_LABELS.map(|ending| {
            let service = service.clone();
            self.calls
                .get_or_create_owned(&CallLabel { service, ending })
        });
        let durations = self
            .durations
            .get_or_create_owned(&ServiceLabel { service });
        ServiceMetrics::new(self.start, endings, durations, self.retries.counters(name))
    }

    /// Returns the counter of bad requests of a listener.
    #[must_use]
    pub fn bad_requests(&self, listener: &'static str) -> Counter {
        self.bad_requests
            .get_or_create_owned(&ListenerLabel { listener })
    }

    /// Returns the counter of control bytes sent to other nodes.
    #[must_use]
    pub fn control_sent(&self) -> Counter {
        let direction = "sent";
        self.control_bytes
            .get_or_create_owned(&DirectionLabel { direction })
    }

    /// Returns the counter of control bytes received from other nodes.
    #[must_use]
    pub fn control_received(&self) -> Counter {
        let direction = "received";
        self.control_bytes
            .get_or_create_owned(&DirectionLabel { direction })
    }

    /// Returns the call counts of each service that this node's callers have called.
    #[must_use]
    pub fn tallies(&self, now: Instant) -> BTreeMap<SmolStr, burn::ServiceCounts> {
        let services = self.services.read();
        services
            .iter()
            .map(|(name, service)| (name.clone(), service.tally(now)))
            .collect()
    }

    /// Returns the time since the node started to count.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.start)
    }

    /// Renders all metrics in the text format of `OpenMetrics`.
    ///
    /// # Panics
    ///
    /// Never: writing to a string does not fail.
    #[must_use]
    pub fn render(&self, values: &GaugeValues) -> String {
        // Concurrent scrapes would both add the CPU time since the last scrape.
        let _one_at_a_time = self.rendering.lock();
        let gauges = &self.gauges;
        gauges.version.set(saturate(values.version));
        gauges.endpoints.set(saturate(values.endpoints));
        gauges.routes.set(saturate(values.routes));
        gauges.withheld_routes.set(saturate(values.withheld_routes));
        gauges.in_flight.set(saturate(values.in_flight));
        gauges.held_requests.set(saturate(values.held_requests));
        gauges.ready.set(i64::from(values.ready));
        gauges.leaving.set(i64::from(values.leaving));
        for (kind, count) in values.waits.kinds() {
            gauges
                .waits
                .get_or_create(&KindLabel { kind })
                .set(saturate(count));
        }
        gauges.resident.set(saturate(values.process.resident_bytes));
        let cpu = values.process.cpu_time.as_secs_f64();
        gauges.cpu.inc_by((cpu - gauges.cpu.get()).max(0.0));
        let mut text = String::new();
        text::encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

fn saturate<N>(count: N) -> i64
where
    i64: TryFrom<N>,
{
    i64::try_from(count).unwrap_or(i64::MAX)
}
