//! What the parts of a node share.

use crate::logs::RateLimiter;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::rollout::Rollouts;
use crate::stop;
use arc_swap::ArcSwap;
use clock::Clock;
use config::View;
use parking_lot::Mutex;
use settings::node::{Interface, Settings, Share};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use tokio::sync::watch;

/// What the node's own backend server has announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service that it belongs to.
    pub service: smol_str::SmolStr,
    /// Version of its software; empty if it doesn't say.
    pub version: smol_str::SmolStr,
    /// Name of its process, if it has one that calls are to be addressed to.
    pub instance: Option<smol_str::SmolStr>,
    /// Random number of its process, if it gave one.
    ///
    /// Guards against a restart that goes unnoticed: a process that was killed and comes back at
    /// its address says the same of itself but for this. Connections to the former one would
    /// stay, and the whole fleet would take the cold one for warm.
    pub incarnation: Option<u64>,
    /// When that process started, in milliseconds since the Unix epoch, if it said so.
    pub process_started_ms: Option<u64>,
    /// Where it takes calls, on this VM.
    pub address: std::net::SocketAddr,
    /// Calls that it says it runs at once.
    pub slots: u16,
    /// How long it was slow from its first announcement on, in milliseconds, if it said so.
    pub cold_ms: Option<u32>,
    /// Whether it has asked to leave.
    pub leaving: bool,
}

impl Backend {
    /// Names its process among those that this node's backend server has had.
    #[must_use]
    pub fn process(&self) -> u64 {
        let instance = self.instance.as_deref().unwrap_or_default();
        let start = self.process_started_ms.unwrap_or_default();
        policy::hash(instance) ^ self.incarnation.unwrap_or_default() ^ start
    }
}

/// What the parts of a node share.
#[derive(Debug)]
pub struct Shared<C>
where
    C: Clock,
{
    /// The node's settings.
    pub settings: Settings,
    /// Random number of this process.
    pub incarnation: u64,
    /// Source of time.
    pub clock: C,
    /// What calls are served by; swapped whole.
    pub view: ArcSwap<View>,
    /// The node's own backend server, once announced.
    pub backend: watch::Sender<Option<Backend>>,
    /// Whether the node is about to leave, and tells that it is not ready.
    pub stopping: AtomicBool,
    /// Whether the node itself is leaving.
    pub leaving: watch::Sender<bool>,
    /// Calls that wait for the own backend server or run on it.
    pub in_flight: watch::Sender<usize>,
    /// Calls of other nodes whose answers have not been taken.
    pub unread_answers: watch::Sender<usize>,
    /// Connections of callers.
    pub caller_connections: watch::Sender<usize>,
    /// Keyed calls that run, be their callers there or not.
    pub keyed_calls: watch::Sender<usize>,
    /// How far a stop has come once its calls have ended.
    pub stop_step: Mutex<Option<stop::Step>>,
    /// Whether all listeners run.
    pub listening: AtomicBool,
    /// The node's part in distribution.
    pub distribution: ArcSwap<status::Distribution>,
    /// What is known of requests that crash backend servers.
    pub quarantine: Quarantine,
    /// What is known of roll-outs.
    pub rollouts: Arc<Rollouts>,
    /// What the node counts.
    pub metrics: Metrics,
    /// How many lines about calls the log takes.
    pub log_limits: LogLimits,
}

/// How many lines a second the log takes, by what they are about.
#[derive(Debug, Default)]
pub struct LogLimits {
    /// Tries without an answer.
    pub attempts: RateLimiter,
    /// Calls without an answer.
    pub calls: RateLimiter,
    /// Calls that were answered late, or with a failure.
    pub answers: RateLimiter,
    /// Calls that the own backend server's gate turned away.
    pub gate: RateLimiter,
}

/// One of the counts of what is there now.
type Counter<C> = fn(&Shared<C>) -> &watch::Sender<usize>;

/// Counts one thing as there until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    counter: Counter<C>,
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
    /// Counts one more thing of those that `counter` counts.
    pub(crate) fn count(self: &Arc<Self>, counter: Counter<C>) -> CountGuard<C> {
        counter(self).send_if_modified(|count| {
            *count += 1;
            false
        });
        CountGuard {
            shared: Arc::clone(self),
            counter,
        }
    }

    /// Tells whether callers and backend servers speak the platform's words.
    #[must_use]
    pub fn uses_platform_interface(&self) -> bool {
        self.settings.interface == Interface::Platform
    }

    /// Makes the shared state of a node that holds nothing yet.
    #[must_use]
    pub fn new(settings: Settings, incarnation: u64, clock: C) -> Arc<Self> {
        let metrics = Metrics::new(clock.now());
        let allowed = settings.canary_share.map_or(0.0, Share::get);
        let rollouts = Arc::new(Rollouts::new(allowed));
        Arc::new(Self {
            settings,
            incarnation,
            clock,
            view: ArcSwap::default(),
            backend: watch::Sender::new(None),
            stopping: AtomicBool::new(false),
            leaving: watch::Sender::new(false),
            in_flight: watch::Sender::new(0),
            unread_answers: watch::Sender::new(0),
            caller_connections: watch::Sender::new(0),
            keyed_calls: watch::Sender::new(0),
            stop_step: Mutex::default(),
            listening: AtomicBool::new(false),
            distribution: ArcSwap::default(),
            quarantine: Quarantine::default(),
            rollouts,
            metrics,
            log_limits: LogLimits::default(),
        })
    }
}
