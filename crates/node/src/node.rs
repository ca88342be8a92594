//! The node process: starts all listeners and components, and stops them gracefully.

use crate::shared::Shared;
use crate::stop::{StopPlan, StopStep, log_waits, read_waits};
use crate::{announce, control, inbound, listener, nodes, operate, outbound, reserve};
use clock::Clock;
use log::{info, warn};
use platform::Client;
use settings::node::Settings;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime;
use tokio::sync::oneshot;

/// A running node.
#[derive(Debug)]
pub struct Handle<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    inbound: inbound::Handle<C>,
    outbound: outbound::Handle<C>,
    control: control::Handle<C>,
    nodes: nodes::Handle,
    announce: listener::Handle,
    operate: listener::Handle,
    reserve: reserve::Handle<C>,
}

/// Binds all listeners, then starts all components.
///
/// Configuration distribution and the operators' listener run on `background` and not on the
/// runtime of the calls: building a view of 14,000 endpoints takes 1 ms of CPU time, for which
/// concurrent calls would have to wait.
///
/// # Errors
///
/// Fails if an address can't be bound. Nothing has been started then.
pub async fn spawn<C>(
    settings: Settings,
    clock: C,
    background: &runtime::Handle,
) -> io::Result<Handle<C>>
where
    C: Clock,
{
    let callers = bind_without_listening(settings.callers)?;
    let backend = bind(settings.backend).await?;
    let peers = bind(settings.nodes).await?;
    let operators = bind(settings.operators).await?;
    let store = Client::open(settings.platform, platform::client::Limits::default());
    let shared = Shared::new(settings, rand::random(), clock);
    let inbound = inbound::spawn(Arc::clone(&shared));
    let reserve = reserve::spawn(Arc::clone(&shared), &store);
    let (control, operate) = {
        let _entered = background.enter();
        let control = control::spawn(Arc::clone(&shared), store);
        (control, operate::spawn(operators, Arc::clone(&shared))?)
    };
    let nodes = nodes::spawn(
        peers,
        Arc::clone(&shared),
        inbound.clone(),
        control.clone(),
        reserve.clone(),
    );
    let announce = announce::spawn(backend, Arc::clone(&shared))?;
    let outbound = outbound::spawn_after_routes(
        callers,
        Arc::clone(&shared),
        inbound.clone(),
        reserve.clone(),
    )?;
    info!(
        node = shared.settings.name.as_str(),
        zone = shared.settings.zone.as_str(),
        incarnation = shared.incarnation,
        stop_limit_s = shared.settings.stop_limit().as_secs_f64();
        "started"
    );
    Ok(Handle {
        shared,
        inbound,
        outbound,
        control,
        nodes,
        announce,
        operate,
        reserve,
    })
}

impl<C> Handle<C>
where
    C: Clock,
{
    /// Returns the state that the components share.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared<C>> {
        &self.shared
    }

    /// Reports that the node is not ready and keeps serving until callers are routed elsewhere.
    ///
    /// A readiness check takes some seconds to notice that a node is leaving. If the node closed
    /// its listener at once, calls in that time would find a closed port.
    async fn hand_over(&self, limit: Duration) {
        let wait = self.shared.settings.handover.unwrap_or_default();
        let wait = wait.min(limit / 2);
        self.shared.stopping.store(true, Ordering::Release);
        if !wait.is_zero() {
            info!(handover_s = wait.as_secs_f64(); "handing_over");
            tokio::time::sleep(wait).await;
        }
    }

    /// Stops gracefully: from now on takes only calls that can end in time, after the handover no
    /// new work, and lets calls in flight finish.
    ///
    /// The drain timeout of the settings bounds the wait. The numbers of calls that this timeout
    /// cuts off are logged.
    pub async fn stop(self) {
        let limit = self.shared.settings.stop_limit();
        let plan = StopPlan::new(self.shared.clock.now(), limit);
        self.shared.call_end.set(plan.call_end());
        self.hand_over(limit).await;
        let time = plan.time_left(self.shared.clock.now());
        info!(stop_limit_s = time.as_secs_f64(); "leaving");
        let shared = Arc::clone(&self.shared);
        tokio::select! {
            biased;
            () = self.stop_components(plan) => {}
            never = log_waits(&shared) => match never {},
        }
        info!("stopped");
    }

    /// Drains the calls and stops the components, each step within its time limit. Calls that take
    /// long go on while the components that they don't need are stopped.
    async fn stop_components(self, plan: StopPlan) {
        let shared = Arc::clone(&self.shared);
        let now = || shared.clock.now();
        let begin = |step| {
            *shared.stop_step.lock() = Some(step);
            plan.step_time(step, now())
        };
        let (ended, calls_ended) = oneshot::channel();
        let drain = async {
            let time = plan.time_left(now());
            let counts = end_calls(&self.shared, &self.inbound, &self.outbound, time).await;
            // An error means that the cleanup has begun.
            let _sent = ended.send(());
            counts
        };
        let clean_up = async {
            let wait = plan.cleanup_start().saturating_duration_since(now());
            drop(tokio::time::timeout(wait, calls_ended).await);
            self.reserve.flush(begin(StopStep::Outcomes)).await;
            self.control.leave(begin(StopStep::Farewell)).await;
        };
        let ((callers, calls), ()) = tokio::join!(drain, clean_up);
        let cut_off = shared.call_end.cut_off();
        if callers + calls + cut_off > 0 {
            let waits = read_waits(&shared);
            let (answers, keyed) = (waits.answers, waits.keyed);
            warn!(callers, calls, answers, keyed, answered = cut_off; "cut_off");
        }
        // Outcomes of calls that have ended since.
        self.reserve.flush(begin(StopStep::Outcomes)).await;
        let time = begin(StopStep::Listeners);
        // Calls may still arrive over links that were opened since the calls were drained.
        let links = async {
            self.nodes.close().await;
            self.inbound.drain(time / 2).await
        };
        tokio::join!(links, self.announce.stop(time), self.operate.stop(time));
    }
}

/// Drains the calls of callers and of other nodes, and returns how many calls of each of the two
/// are left at `limit`.
///
/// During its lame-duck time, the node sends its own callers away but still serves other nodes; it
/// refuses their calls only after that time. The backend server keeps running, but is unavailable
/// to other nodes for as long as its node refuses their calls. When the node sent its callers away
/// and refused the calls of other nodes at the same time, a restart of the node next to the last
/// backend server of a service made that service unavailable to all callers for 1.6 s to 2.5 s.
/// Refusing the calls of other nodes later saves 1 s of that.
pub async fn end_calls<C>(
    shared: &Shared<C>,
    inbound: &inbound::Handle<C>,
    outbound: &outbound::Handle<C>,
    limit: Duration,
) -> (usize, usize)
where
    C: Clock,
{
    let wait = outbound::lame_duck_duration(limit);
    let calls = async {
        tokio::time::sleep(wait).await;
        shared.leaving.send_replace(true);
        inbound.drain(limit.saturating_sub(wait)).await
    };
    tokio::join!(outbound.drain(limit), calls)
}

/// Binds an address without listening yet, so that an address in use is detected at the start.
fn bind_without_listening(address: SocketAddr) -> io::Result<TcpSocket> {
    let bound = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // Connections of the previous process may still be closing.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(socket)
    };
    bound().map_err(|error| add_address(address, &error))
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| add_address(address, &error))
}

fn add_address(address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{address}: {error}"))
}
