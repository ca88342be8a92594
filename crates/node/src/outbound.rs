//! The outbound proxy: takes calls of callers over HTTP and sends them where they run.

pub(crate) mod attempt;
pub(crate) mod hedge;
pub(crate) mod keyed;
pub(crate) mod link;
pub(crate) mod peer;
pub(crate) mod pick;
pub(crate) mod plan;
pub(crate) mod remote_attempt;
pub(crate) mod resolve;
pub(crate) mod response;
pub(crate) mod send;
pub(crate) mod serve;
pub(crate) mod service;
pub(crate) mod tell;
pub(crate) mod tried;

use crate::inbound;
use crate::listener::ConnectionEnd;
use crate::outbound::link::LinkPool;
use crate::outbound::response::{Body, RETRY_AFTER_HEADER};
use crate::outbound::service::{Locality, ServiceClients};
use crate::reserve;
use crate::shared::{CountGuard, Shared};
use clock::Clock;
use config::{ServiceKey, Version};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::Rng;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_io_timeout::TimeoutStream;
use wire::{Hello, LinkKind, PROTOCOL_VERSION};

/// Name of this listener in settings and metrics.
const LISTENER: &str = "callers";

/// Largest head of a request, in bytes, as with most servers.
const MAX_HEAD: usize = 64 << 10;

/// How long a leaving node goes on taking calls on the connections that it has.
///
/// A connection that is closed while idle may cross a request, and its caller
/// then can't tell whether that ran. Callers in steady use send within this
/// time, and are told in the answer that the connection ends.
const LAME_DUCK: Duration = Duration::from_secs(1);

/// How long a closing node waits for the first request of a connection: many
/// round trips of the farthest callers, who are 8 ms away.
///
/// A connection that was taken a moment ago mostly has its request on the way;
/// closed at once, its caller can't tell whether that ran.
const FIRST_REQUEST: Duration = Duration::from_millis(250);

/// Longest time for which a caller may take nothing of its answer.
///
/// Guards against a caller that stands still in the midst of an answer: the slot
/// of the backend server on the same VM was held for as long as its connection
/// lived. Five seconds, as for the readers of answers at other nodes.
const CALLER_STALL: Duration = Duration::from_secs(5);

/// Time between two looks for the first routes: short beside the start of a process.
const ROUTES_POLL: Duration = Duration::from_millis(10);

/// Connections that the system takes before they are accepted, as in tokio.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept, so that running out of sockets does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Gives how long a node that has `timeout` to leave goes on taking calls of its callers.
#[must_use]
pub fn lame_duck_duration(timeout: Duration) -> Duration {
    LAME_DUCK.min(timeout / 2)
}

/// The outbound proxy.
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
    pub(crate) locality: Locality,
    pub(crate) reserve: reserve::Handle<C>,
    connections: Arc<Semaphore>,
    /// A permit is out for each keyed call that runs, be its caller there or not.
    keyed: Arc<Semaphore>,
    stage: watch::Sender<Stage>,
}

/// A keyed call that runs, as long as it is held.
#[derive(Debug)]
pub(crate) struct Keyed<C>
where
    C: Clock,
{
    _permit: OwnedSemaphorePermit,
    _counted: CountGuard<C>,
}

/// How far the proxy has come in leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Serving,
    /// Answers end their connections.
    LameDuck,
    /// Nothing new is taken.
    Closing,
    /// The listener is closed.
    Closed,
}

/// Starts to serve callers on `listener`.
///
/// # Errors
///
/// When the listener has no address.
pub fn spawn<C>(
    listener: TcpListener,
    shared: Arc<Shared<C>>,
    inbound: inbound::Handle<C>,
    reserve: reserve::Handle<C>,
) -> std::io::Result<Handle<C>>
where
    C: Clock,
{
    let handle = build(listener.local_addr()?, shared, inbound, reserve);
    let inner = Arc::clone(&handle.inner);
    tokio::spawn(async move {
        accept(listener, &inner).await;
        inner.advance(Stage::Closed);
    });
    Ok(handle)
}

/// Starts to serve callers on the address that `socket` is bound to, once there are routes.
///
/// Guards against a node that is restarted under load: its callers come back
/// with the first connection that it takes, and before the configuration has
/// come it could only send them away. A connection that is refused tells them
/// that nothing was sent, so they go to another node. A node that gets no
/// configuration takes them after `[limits] routes_wait` and says so.
///
/// # Errors
///
/// When the socket has no address.
pub fn spawn_after_routes<C>(
    socket: TcpSocket,
    shared: Arc<Shared<C>>,
    inbound: inbound::Handle<C>,
    reserve: reserve::Handle<C>,
) -> std::io::Result<Handle<C>>
where
    C: Clock,
{
    let handle = build(socket.local_addr()?, shared, inbound, reserve);
    let inner = Arc::clone(&handle.inner);
    tokio::spawn(async move {
        accept_after_routes(socket, &inner).await;
        inner.advance(Stage::Closed);
    });
    Ok(handle)
}

async fn accept_after_routes<C>(socket: TcpSocket, inner: &Arc<Inner<C>>)
where
    C: Clock,
{
    let mut stage = inner.stage.subscribe();
    tokio::select! {
        () = wait_routes(&inner.shared) => {}
        () = wait_closing(&mut stage) => return,
    }
    match socket.listen(BACKLOG) {
        Ok(listener) => {
            inner.shared.listening.store(true, Ordering::Release);
            accept(listener, inner).await;
        }
        Err(error) => log::error!(error:%; "listen_failed"),
    }
}

async fn wait_routes<C>(shared: &Shared<C>)
where
    C: Clock,
{
    let arrived = async {
        while shared.view.load().version() == Version::ZERO {
            tokio::time::sleep(ROUTES_POLL).await;
        }
    };
    // Without routes in time, callers are told so.
    drop(tokio::time::timeout(shared.settings.routes_wait, arrived).await);
}

fn build<C>(
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
    let inner = Arc::new(Inner {
        shared,
        services,
        locality,
        inbound,
        links: LinkPool::spawn(hello),
        reserve,
        connections: Arc::new(Semaphore::new(connections)),
        keyed: Arc::new(Semaphore::new(connections)),
        stage: watch::Sender::new(Stage::Serving),
    });
    Handle { inner, address }
}

impl<C> Handle<C>
where
    C: Clock,
{
    /// Gives the address that callers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the connections of callers as their answers end, and gives how many are left at `timeout`.
    pub async fn drain(&self, timeout: Duration) -> usize {
        self.inner.advance(Stage::LameDuck);
        let all = u32::from(self.inner.shared.settings.connections);
        let ended = async {
            tokio::time::sleep(lame_duck_duration(timeout)).await;
            self.inner.advance(Stage::Closing);
            // Waiting for all permits keeps every further one from the listener.
            let mut stage = self.inner.stage.subscribe();
            drop(stage.wait_for(|stage| *stage == Stage::Closed).await);
            drop(self.inner.connections.acquire_many(all).await);
            drop(self.inner.keyed.acquire_many(all).await);
        };
        match tokio::time::timeout(timeout, ended).await {
            Ok(()) => 0,
            Err(_) => self.inner.count_open(),
        }
    }
}

impl<C> Inner<C>
where
    C: Clock,
{
    /// Counts a keyed call until the permit is dropped; none is given while too many run.
    pub(crate) fn count_keyed(&self) -> Option<Keyed<C>> {
        let permit = Arc::clone(&self.keyed).try_acquire_owned().ok()?;
        let counted = self.shared.count(|shared| &shared.keyed_calls);
        Some(Keyed {
            _permit: permit,
            _counted: counted,
        })
    }

    fn advance(&self, stage: Stage) {
        self.stage.send_modify(|now| *now = stage.max(*now));
    }

    fn count_open(&self) -> usize {
        let callers = *self.shared.caller_connections.borrow();
        callers.max(*self.shared.keyed_calls.borrow()).max(1)
    }
}

/// Takes connections until the node closes, and then those that the system has taken already.
///
/// Guards against a listener that is closed over connections which wait in the
/// system's queue: these are reset, and a caller who has sent its request on
/// one can't tell whether it ran.
async fn accept<C>(listener: TcpListener, inner: &Arc<Inner<C>>)
where
    C: Clock,
{
    let mut stage = inner.stage.subscribe();
    loop {
        let permit = tokio::select! {
            biased;
            permit = Arc::clone(&inner.connections).acquire_owned() => permit,
            () = wait_closing(&mut stage) => return,
        };
        let Ok(permit) = permit else {
            return;
        };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = wait_closing(&mut stage) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let inner = Arc::clone(inner);
                tokio::spawn(async move {
                    let counted = inner.shared.count(|shared| &shared.caller_connections);
                    serve_connection(stream, peer.ip(), inner).await;
                    drop((counted, permit));
                });
            }
            Err(error) => {
                log::warn!(error:%; "accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<C>(stream: TcpStream, peer: IpAddr, inner: Arc<Inner<C>>)
where
    C: Clock,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(CALLER_STALL));
    let head_timeout = inner.shared.settings.head_timeout;
    let bad_requests = inner.shared.metrics.bad_requests(LISTENER);
    let mut stage = inner.stage.subscribe();
    let asked = Arc::new(AtomicBool::new(false));
    let asks = Arc::clone(&asked);
    let service = service_fn(move |request| {
        asks.store(true, Ordering::Relaxed);
        let inner = Arc::clone(&inner);
        async move {
            let mut response = serve::serve(&inner, request, peer).await;
            if inner.shared.uses_platform_interface() {
                tell_wait(&mut response);
            }
            if *inner.stage.borrow() >= Stage::LameDuck {
                end_connection(&mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut early = tokio::select! {
        ended = &mut connection => Some(ended),
        () = wait_closing(&mut stage) => None,
    };
    if early.is_none() && !asked.load(Ordering::Relaxed) {
        let first = tokio::time::timeout(FIRST_REQUEST, &mut connection);
        early = first.await.ok();
    }
    let ended = if let Some(ended) = early {
        ended
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        (&mut connection).await
    };
    if ConnectionEnd::classify(&ended, connection.into_parts().read_buf.len())
        == ConnectionEnd::BadRequest
    {
        bad_requests.inc();
    }
}

async fn wait_closing(stage: &mut watch::Receiver<Stage>) {
    // The sender lives as long as the proxy.
    drop(stage.wait_for(|stage| *stage >= Stage::Closing).await);
}

/// Tells when to come back in the platform's way, which has fractions of a second.
fn tell_wait<C>(response: &mut http::Response<Body<C>>)
where
    C: Clock,
{
    let own = response.headers().get(&RETRY_AFTER_HEADER);
    let wait = own.and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(wait) = wait {
        platform::header::set_retry_after(response.headers_mut(), Duration::from_millis(wait));
    }
}

fn end_connection<C>(response: &mut http::Response<Body<C>>)
where
    C: Clock,
{
    let close = http::HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(http::header::CONNECTION, close);
}

/// Picks a route's service by its shares.
pub(crate) fn pick_target(targets: &[(ServiceKey, u8)]) -> ServiceKey {
    let mut draw = if targets.len() > 1 {
        rand::rng().random_range(0..100)
    } else {
        0
    };
    for (service, percent) in targets {
        if draw < *percent {
            return *service;
        }
        draw -= percent;
    }
    targets[0].0
}
