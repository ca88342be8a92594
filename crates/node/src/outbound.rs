//! The outbound proxy: accepts calls over HTTP and forwards them to backend servers.

pub(crate) mod access;
pub(crate) mod attempt;
pub(crate) mod call_log;
pub(crate) mod hedge;
pub(crate) mod judge;
pub(crate) mod keyed;
pub(crate) mod link;
pub(crate) mod local_body;
pub(crate) mod peer;
pub(crate) mod pick;
pub(crate) mod pipeline;
pub(crate) mod plan;
pub(crate) mod remote_attempt;
pub(crate) mod reports;
pub(crate) mod resolve;
pub(crate) mod response;
pub(crate) mod send;
pub(crate) mod serve;
pub(crate) mod service;
pub(crate) mod tried;

use crate::accept;
use crate::call_length::Lengths;
use crate::connection::{self, Closing, RequestBody};
use crate::inbound;
use crate::outbound::link::LinkPool;
use crate::outbound::pipeline::{EarlyCalls, Starter};
use crate::outbound::reports::ServerReports;
use crate::outbound::response::{Body, RETRY_AFTER_HEADER};
use crate::outbound::service::{Locality, ServiceClients};
use crate::reserve;
use crate::shared::{CountGuard, Shared};
use crate::start_steps::StartStep;
use crate::team_limits;
use clock::Clock;
use config::{ServiceKey, Version};
use http::{Request, Response};
use rand::Rng;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use wire::{Hello, LinkKind, PROTOCOL_VERSION};

/// Name of this listener in settings and metrics.
const LISTENER: &str = "callers";

/// Maximum size of a request head, in bytes. Most HTTP servers use the same limit.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How long a leaving node keeps accepting calls on existing connections.
///
/// Closing an idle connection can race with a request that is already on the way, and the caller
/// then can't tell whether the request ran. Callers that send regularly send another request within
/// this time, and its response tells them that the connection closes.
const LAME_DUCK_DURATION: Duration = Duration::from_secs(1);

/// Maximum time for which a caller may read nothing of its response.
///
/// Without this limit, a caller that stopped reading in the middle of a response
/// held the slot of the local backend server until its connection was closed.
/// Five seconds is also the limit for nodes that read responses over a link.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Polling interval while waiting for the first routes. This is short compared to the start of a
/// process.
const ROUTES_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Length of the kernel's accept queue, the same as tokio's default.
const LISTEN_BACKLOG: u32 = 1_024;

/// Delay after a failed accept, to avoid a busy loop when the process is out of sockets.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns how long a node that has `timeout` to leave keeps accepting calls.
#[must_use]
pub fn lame_duck_duration(timeout: Duration) -> Duration {
    LAME_DUCK_DURATION.min(timeout / 2)
}

/// Handle to the outbound proxy.
#[derive(Debug)]
pub struct Handle<C>
where
    C: Clock,
{
    inner: Arc<Inner<C>>,
    address: SocketAddr,
}

#[derive(Debug)]
pub(crate) struct Inner<C>
where
    C: Clock,
{
    pub(crate) shared: Arc<Shared<C>>,
    pub(crate) inbound: inbound::Handle<C>,
    pub(crate) links: Arc<LinkPool>,
    pub(crate) services: ServiceClients,
    /// What backend servers have reported about themselves.
    pub(crate) reports: Arc<ServerReports>,
    pub(crate) locality: Locality,
    pub(crate) reserve: reserve::Handle<C>,
    /// Lengths of callers' calls.
    pub(crate) lengths: Arc<Lengths<C>>,
    early_calls: EarlyCalls,
    connection_permits: Arc<Semaphore>,
    /// One permit per running call with an idempotency key, whether its caller is still connected or not.
    keyed_permits: Arc<Semaphore>,
    stage: watch::Sender<ShutdownStage>,
}

/// Counts a running call with an idempotency key until it is dropped.
#[derive(Debug)]
pub(crate) struct KeyedCall<C>
where
    C: Clock,
{
    _permit: OwnedSemaphorePermit,
    _counted: CountGuard<C>,
}

/// Shutdown stage of the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ShutdownStage {
    Serving,
    /// Each response closes its connection.
    LameDuck,
    /// No new connections or requests are accepted.
    Closing,
    /// The listener is closed.
    Closed,
}

/// Starts serving callers on `listener`.
///
/// # Errors
///
/// Returns an error if the listener's address can't be read.
pub fn spawn<C>(
    listener: TcpListener,
    shared: Arc<Shared<C>>,
    inbound: inbound::Handle<C>,
    reserve: reserve::Handle<C>,
) -> std::io::Result<Handle<C>>
where
    C: Clock,
{
    let handle = new_handle(listener.local_addr()?, shared, inbound, reserve);
    let inner = Arc::clone(&handle.inner);
    tokio::spawn(team_limits::exchange(Arc::downgrade(&inner)));
    tokio::spawn(async move {
        accept_all(listener, &inner).await;
        inner.advance(ShutdownStage::Closed);
    });
    Ok(handle)
}

/// Starts serving callers on the address that `socket` is bound to as soon as routes are known.
///
/// The callers of a node that restarts under load call that node again as soon as it accepts
/// connections. A node without a configuration could only refuse their calls. While the node
/// doesn't listen, connections to it are refused, so callers know that nothing was sent and go to
/// another node. A node that gets no configuration starts accepting after `[limits] routes_wait`
/// and refuses calls with the reason `no-routes-yet`.
///
/// # Errors
///
/// Returns an error if the socket's address can't be read.
pub fn spawn_after_routes<C>(
    socket: TcpSocket,
    shared: Arc<Shared<C>>,
    inbound: inbound::Handle<C>,
    reserve: reserve::Handle<C>,
) -> std::io::Result<Handle<C>>
where
    C: Clock,
{
    let handle = new_handle(socket.local_addr()?, shared, inbound, reserve);
    let inner = Arc::clone(&handle.inner);
    tokio::spawn(team_limits::exchange(Arc::downgrade(&inner)));
    tokio::spawn(async move {
        accept_after_routes(socket, &inner).await;
        inner.advance(ShutdownStage::Closed);
    });
    Ok(handle)
}

async fn accept_after_routes<C>(socket: TcpSocket, inner: &Arc<Inner<C>>)
where
    C: Clock,
{
    let mut stage = inner.stage.subscribe();
    tokio::select! {
        () = wait_for_routes(&inner.shared) => {}
        () = wait_for_closing(&mut stage) => return,
    }
    match socket.listen(LISTEN_BACKLOG) {
        Ok(listener) => {
            inner
                .shared
                .callers_listening
                .store(true, Ordering::Release);
            inner.shared.reach(StartStep::Listener);
            accept_all(listener, inner).await;
        }
        Err(error) => log::error!(error:%; "listen_failed"),
    }
}

async fn wait_for_routes<C>(shared: &Shared<C>)
where
    C: Clock,
{
    let arrived = async {
        while shared.view.load().version() == Version::ZERO {
            tokio::time::sleep(ROUTES_POLL_INTERVAL).await;
        }
    };
    // After the timeout, calls are accepted and refused with the reason `no-routes-yet`.
    drop(tokio::time::timeout(shared.settings.routes_wait, arrived).await);
}

fn new_handle<C>(
    address: SocketAddr,
    shared: Arc<Shared<C>>,
    inbound: inbound::Handle<C>,
    reserve: reserve::Handle<C>,
) -> Handle<C>
where
    C: Clock,
{
    let connections = usize::from(shared.settings.connections);
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        node: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        zone: shared.settings.zone.clone(),
        link: LinkKind::Call,
    };
    let locality = Locality {
        node: shared.settings.name.clone(),
        zone: shared.settings.zone.clone(),
        region: shared.settings.region.clone(),
    };
    let services = ServiceClients::new(&shared.settings);
    let early_calls = EarlyCalls::new(&shared.settings);
    let reports = Arc::<ServerReports>::default();
    let inner = Arc::new(Inner {
        lengths: Arc::new(Lengths::new(shared.clock.clone())),
        shared,
        services,
        locality,
        inbound,
        links: LinkPool::spawn(hello, Arc::clone(&reports)),
        reports,
        reserve,
        early_calls,
        connection_permits: Arc::new(Semaphore::new(connections)),
        keyed_permits: Arc::new(Semaphore::new(connections)),
        stage: watch::Sender::new(ShutdownStage::Serving),
    });
    Handle { inner, address }
}

impl<C> Handle<C>
where
    C: Clock,
{
    /// Returns the address that callers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes callers' connections as their responses end, and waits until no connection is open
    /// and no call with an idempotency key runs; returns 0 then. At `timeout`, returns the number
    /// of open connections or that of running calls with a key, whichever is larger, but at least
    /// 1.
    pub async fn drain(&self, timeout: Duration) -> usize {
        self.inner.advance(ShutdownStage::LameDuck);
        let max_connections = u32::from(self.inner.shared.settings.connections);
        let ended = async {
            tokio::time::sleep(lame_duck_duration(timeout)).await;
            self.inner.wait_local_calls().await;
            self.inner.advance(ShutdownStage::Closing);
            let mut stage = self.inner.stage.subscribe();
            drop(
                stage
                    .wait_for(|stage| *stage == ShutdownStage::Closed)
                    .await,
            );
            let mut connections = self.inner.shared.caller_connections.subscribe();
            drop(connections.wait_for(|open| *open == 0).await);
            drop(self.inner.keyed_permits.acquire_many(max_connections).await);
        };
        match tokio::time::timeout(timeout, ended).await {
            Ok(()) => 0,
            Err(_) => self.inner.open_count(),
        }
    }
}

impl<C> Inner<C>
where
    C: Clock,
{
    /// Counts a call with an idempotency key until the guard is dropped. Returns `None` at the limit.
    pub(crate) fn begin_keyed(&self) -> Option<KeyedCall<C>> {
        let permit = Arc::clone(&self.keyed_permits).try_acquire_owned().ok()?;
        let counted = self.shared.count(|shared| &shared.keyed_calls);
        Some(KeyedCall {
            _permit: permit,
            _counted: counted,
        })
    }

    /// Waits until the local backend server runs no more calls, or until calls have to end.
    ///
    /// The backend server sends its nested calls here. If the listener were closed first, its
    /// running calls would fail.
    async fn wait_local_calls(&self) {
        let mut calls = self.shared.in_flight.subscribe();
        tokio::select! {
            _ = calls.wait_for(|calls| *calls == 0) => {}
            () = self.shared.call_end.reached(&self.shared.clock) => {}
        }
    }

    fn advance(&self, stage: ShutdownStage) {
        self.stage.send_modify(|now| *now = stage.max(*now));
    }

    fn open_count(&self) -> usize {
        let callers = *self.shared.caller_connections.borrow();
        callers.max(*self.shared.keyed_calls.borrow()).max(1)
    }
}

/// Accepts connections until the proxy closes, including those already in the accept queue.
async fn accept_all<C>(listener: TcpListener, inner: &Arc<Inner<C>>)
where
    C: Clock,
{
    let mut stage = inner.stage.subscribe();
    loop {
        let permit = tokio::select! {
            biased;
            permit = Arc::clone(&inner.connection_permits).acquire_owned() => permit,
            () = wait_for_closing(&mut stage) => break,
        };
        let Ok(permit) = permit else {
            break;
        };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = wait_for_closing(&mut stage) => break,
        };
        match accepted {
            Ok((tcp, _)) => spawn_connection(tcp, Some(permit), inner),
            Err(error) => {
                log::warn!(error:%; "accept_failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // The accept queue may hold more connections than there are permits.
    for tcp in accept::close(listener) {
        spawn_connection(tcp, None, inner);
    }
}

fn spawn_connection<C>(tcp: TcpStream, permit: Option<OwnedSemaphorePermit>, inner: &Arc<Inner<C>>)
where
    C: Clock,
{
    let inner = Arc::clone(inner);
    let counted = inner.shared.count(|shared| &shared.caller_connections);
    tokio::spawn(async move {
        serve_connection(tcp, inner).await;
        drop((counted, permit));
    });
}

async fn serve_connection<C>(tcp: TcpStream, inner: Arc<Inner<C>>)
where
    C: Clock,
{
    // Fails if the caller has closed the connection already.
    let Ok(peer) = tcp.peer_addr() else {
        return;
    };
    let limits = connection::Limits {
        head_timeout: inner.shared.settings.head_timeout,
        head_bytes: MAX_HEAD_BYTES,
        write_timeout: Some(CALLER_WRITE_TIMEOUT),
    };
    let mut stage = inner.stage.subscribe();
    let handler = |request: Request<RequestBody>| {
        let inner = Arc::clone(&inner);
        async move { respond(&inner, request.map(Some), peer.ip(), &Arc::default()).await }
    };
    let starter = Starter::new(&inner, peer.ip());
    let closing = Closing {
        is_announced: || *inner.stage.borrow() >= ShutdownStage::LameDuck,
        started: wait_for_closing(&mut stage),
    };
    let bad_requests = inner.shared.metrics.bad_requests(LISTENER);
    connection::serve(tcp, limits, handler, starter, closing, &bad_requests).await;
}

/// Serves one call, and completes the response for the caller's interface.
async fn respond<C>(
    inner: &Arc<Inner<C>>,
    request: Request<Option<RequestBody>>,
    peer: IpAddr,
    is_dispatched: &Arc<AtomicBool>,
) -> Response<Body<C>>
where
    C: Clock,
{
    let mut response = serve::serve(inner, request, peer, is_dispatched).await;
    if inner.shared.uses_platform_interface() {
        set_platform_retry_after(&mut response);
    }
    response
}

async fn wait_for_closing(stage: &mut watch::Receiver<ShutdownStage>) {
    // The sender is dropped only with the proxy.
    drop(
        stage
            .wait_for(|stage| *stage >= ShutdownStage::Closing)
            .await,
    );
}

/// Adds the platform's retry-after header, which has a resolution below one second.
fn set_platform_retry_after<C>(response: &mut Response<Body<C>>)
where
    C: Clock,
{
    let header = response.headers().get(&RETRY_AFTER_HEADER);
    let wait = header.and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(wait) = wait {
        platform::header::set_retry_after(response.headers_mut(), Duration::from_millis(wait));
    }
}

/// Picks one of a route's services at random, weighted by their percentages.
pub(crate) fn pick_target(targets: &[(ServiceKey, u8)]) -> ServiceKey {
    let mut point = if targets.len() > 1 {
        rand::rng().random_range(0..100)
    } else {
        0
    };
    for (service, percent) in targets {
        if point < *percent {
            return *service;
        }
        point -= percent;
    }
    targets[0].0
}
