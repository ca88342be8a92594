//! State that the components of a node share.

use crate::announce::farewells::Farewells;
use crate::announce::process::{ProcessTracker, identify};
use crate::freshness::Freshness;
use crate::logs::RateLimiter;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::rollout::Rollouts;
use crate::start_steps::{StartStep, StartSteps};
use crate::stop;
use crate::team_limits::TeamLimits;
use crate::team_usage::TeamUsage;
use arc_swap::ArcSwap;
use clock::Clock;
use config::{Version, View};
use parking_lot::Mutex;
use settings::node::{ApiKind, Settings, Share};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::sync::watch;

/// The local backend server, as it has announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service that the backend server belongs to.
    pub service: smol_str::SmolStr,
    /// Software version of the backend server; empty if not announced.
    pub version: smol_str::SmolStr,
    /// Name of the backend server's process, if calls must be addressed to a named process.
    pub instance: Option<smol_str::SmolStr>,
    /// Random number that identifies the backend server's process, if announced.
    ///
    /// Detects restarts: a process that was killed and started again at the same address announces
    /// the same values except for this number. If the restart went unnoticed, connections to the
    /// former process would be kept, and the whole fleet would skip the slow start of the new one.
    pub incarnation: Option<u64>,
    /// Start time of the backend server's process, in milliseconds since the Unix epoch, if
    /// announced.
    pub process_started_ms: Option<u64>,
    /// Address on this VM at which the backend server accepts calls.
    pub address: std::net::SocketAddr,
    /// Number of calls that the backend server runs concurrently, as announced.
    pub slots: u16,
    /// Warm-up time that remained at the backend server's first announcement, in milliseconds, if
    /// announced.
    pub cold_ms: Option<u32>,
    /// Whether the backend server has sent a leave request.
    pub leaving: bool,
}

impl Backend {
    /// Returns a number that identifies the current process among all processes of the local
    /// backend server.
    #[must_use]
    pub fn process(&self) -> u64 {
        let instance = self.instance.as_deref().unwrap_or_default();
        identify(instance, self.incarnation, self.process_started_ms)
    }
}

/// State that the components of a node share.
#[derive(Debug)]
pub struct Shared<C>
where
    C: Clock,
{
    /// The node's settings.
    pub settings: Settings,
    /// Random number that identifies this process of the node.
    pub incarnation: u64,
    /// Clock by which all components measure time.
    pub clock: C,
    /// The view that calls use; replaced as a whole.
    pub view: ArcSwap<View>,
    /// How old the configuration of `view` may be.
    pub freshness: Freshness,
    /// The local backend server, once announced.
    pub backend: watch::Sender<Option<Backend>>,
    /// The processes of the local backend server, by their announcements and reports.
    pub(crate) processes: Mutex<ProcessTracker>,
    /// Leave requests of the local backend server, on their way to the other nodes.
    pub(crate) farewells: Farewells,
    /// Whether the node will leave soon, and therefore reports that it is not ready.
    pub stopping: AtomicBool,
    /// Whether the node itself (and not only its backend server) is leaving.
    pub leaving: watch::Sender<bool>,
    /// Calls that are queued for the local backend server or run on it.
    pub in_flight: watch::Sender<usize>,
    /// Calls of other nodes whose answers have not been read to the end.
    pub unread_answers: watch::Sender<usize>,
    /// Connections of callers.
    pub caller_connections: watch::Sender<usize>,
    /// Running calls with idempotency keys, also those whose callers have disconnected.
    pub keyed_calls: watch::Sender<usize>,
    /// When the calls of a stopping node have to end.
    pub call_end: stop::CallEnd,
    /// Current step of a stop; `None` until its calls have ended.
    pub stop_step: Mutex<Option<stop::StopStep>>,
    /// Whether the listener for callers, which opens last, is open.
    pub callers_listening: AtomicBool,
    /// The steps of the start that the node has reached.
    pub start_steps: StartSteps,
    /// State of this node in configuration distribution.
    pub distribution: ArcSwap<status::Distribution>,
    /// Requests that crash backend servers.
    pub quarantine: Quarantine,
    /// Limits on the calls of teams.
    pub team_limits: TeamLimits,
    /// Calls of each team at this node.
    pub team_usage: TeamUsage,
    /// Roll-outs known to this node.
    pub rollouts: Arc<Rollouts>,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Limits on log lines about calls.
    pub log_limits: LogLimits,
}

/// Limits on log lines per second, by kind of event.
#[derive(Debug, Default)]
pub struct LogLimits {
    /// Attempts without an answer.
    pub attempts: RateLimiter,
    /// Calls without an answer.
    pub calls: RateLimiter,
    /// Calls that were answered late or with a failure.
    pub answers: RateLimiter,
    /// Calls that the local backend server's admission gate refused.
    pub gate: RateLimiter,
    /// What the local backend server reports about itself.
    pub reports: RateLimiter,
}

/// Selects one of the counts in [`Shared`].
type CountSelector<C> = fn(&Shared<C>) -> &watch::Sender<usize>;

/// Keeps a count incremented by one until the guard is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    counter: CountSelector<C>,
}

impl<C> Drop for CountGuard<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        (self.counter)(&self.shared).send_if_modified(|count| {
            *count -= 1;
            *count == 0
        });
    }
}

impl<C> Shared<C>
where
    C: Clock,
{
    /// Increments the count that `counter` selects until the guard is dropped.
    pub(crate) fn count(self: &Arc<Self>, counter: CountSelector<C>) -> CountGuard<C> {
        counter(self).send_if_modified(|count| {
            *count += 1;
            false
        });
        CountGuard {
            shared: Arc::clone(self),
            counter,
        }
    }

    /// Logs a step of the start the first time that it is reached.
    pub(crate) fn reach(&self, step: StartStep) {
        let elapsed = || self.metrics.elapsed(self.clock.now());
        self.start_steps.reach(step, elapsed);
    }

    /// Logs the steps of the start that a new view means.
    pub(crate) fn reach_view_steps(&self) {
        let view = self.view.load();
        if view.version() > Version::ZERO {
            self.reach(StartStep::Configuration);
        }
        if !view.endpoints().is_empty() {
            self.reach(StartStep::Endpoint);
        }
    }

    /// Returns whether callers and backend servers use the platform's headers and messages.
    #[must_use]
    pub fn uses_platform_interface(&self) -> bool {
        self.settings.interface == ApiKind::Platform
    }

    /// Creates the state of a node without configuration or backend server.
    #[must_use]
    pub fn new(settings: Settings, incarnation: u64, clock: C) -> Arc<Self> {
        let metrics = Metrics::new(clock.now());
        let team_limits = TeamLimits::new(incarnation, clock.now());
        let max_canary_share = settings.canary_share.map_or(0.0, Share::get);
        let rollouts = Arc::new(Rollouts::new(max_canary_share));
        Arc::new(Self {
            settings,
            incarnation,
            clock,
            view: ArcSwap::default(),
            freshness: Freshness::default(),
            backend: watch::Sender::new(None),
            processes: Mutex::default(),
            farewells: Farewells::default(),
            stopping: AtomicBool::new(false),
            leaving: watch::Sender::new(false),
            in_flight: watch::Sender::new(0),
            unread_answers: watch::Sender::new(0),
            caller_connections: watch::Sender::new(0),
            keyed_calls: watch::Sender::new(0),
            call_end: stop::CallEnd::default(),
            stop_step: Mutex::default(),
            callers_listening: AtomicBool::new(false),
            start_steps: StartSteps::default(),
            distribution: ArcSwap::default(),
            quarantine: Quarantine::default(),
            team_limits,
            team_usage: TeamUsage::default(),
            rollouts,
            metrics,
            log_limits: LogLimits::default(),
        })
    }
}
