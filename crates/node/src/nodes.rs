//! Listener for other nodes: exchanges hellos, then passes the link to the handler of its kind.

use crate::control;
use crate::inbound;
use crate::reserve;
use crate::shared::Shared;
use clock::Clock;
use log::debug;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{JoinHandle, JoinSet};
use wire::{Error, Hello, LinkKind, PROTOCOL_VERSION, codec};

/// Timeout for a peer's hello, so that connections that never identify themselves
/// do not occupy memory.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of concurrent hello exchanges. Further connections wait in the
/// system's accept queue, so that many unidentified peers at once can't exhaust
/// the memory.
const MAX_HANDSHAKES: usize = 256;

/// Name of this listener in settings and metrics.
const LISTENER: &str = "nodes";

/// Pause after a failed accept; without it, running out of file descriptors would cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running listener for nodes; dropping it stops the listener but keeps established links.
#[derive(Debug)]
pub struct Handle {
    task: JoinHandle<()>,
    close: Arc<Notify>,
}

impl Handle {
    /// Stops the listener and ends the hello exchanges in progress, but keeps established links.
    ///
    /// A peer whose hello was answered may send a request at once. After this function has
    /// returned, the links of all such peers have been passed to their handlers.
    pub async fn close(mut self) {
        self.close.notify_one();
        // Fails only if the runtime is shutting down.
        drop((&mut self.task).await);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes the hello that this node sends on a link.
#[must_use]
pub fn make_hello<C>(shared: &Shared<C>, link: LinkKind) -> Hello
where
    C: Clock,
{
    Hello {
        protocol: PROTOCOL_VERSION,
        node: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        zone: shared.settings.zone.clone(),
        link,
    }
}

/// Starts the listener for other nodes on `tcp`.
#[must_use]
pub fn spawn<C>(
    tcp: TcpListener,
    shared: Arc<Shared<C>>,
    inbound: inbound::Handle<C>,
    control: control::Handle<C>,
    reserve: reserve::Handle<C>,
) -> Handle
where
    C: Clock,
{
    let handlers = Arc::new(LinkHandlers {
        shared,
        inbound,
        control,
        reserve,
    });
    let close = Arc::new(Notify::new());
    let closing = Arc::clone(&close);
    let task = tokio::spawn(async move {
        let mut handshakes = JoinSet::new();
        tokio::select! {
            biased;
            () = closing.notified() => {}
            () = accept(&tcp, handlers, &mut handshakes) => {}
        }
        drop(tcp);
        handshakes.shutdown().await;
    });
    Handle { task, close }
}

#[derive(Debug)]
struct LinkHandlers<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    inbound: inbound::Handle<C>,
    control: control::Handle<C>,
    reserve: reserve::Handle<C>,
}

async fn accept<C>(tcp: &TcpListener, handlers: Arc<LinkHandlers<C>>, handshakes: &mut JoinSet<()>)
where
    C: Clock,
{
    let permits = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let bad_requests = handlers.shared.metrics.bad_requests(LISTENER);
    while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
        let Ok((stream, _peer)) = tcp.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handlers = Arc::clone(&handlers);
        let bad_requests = bad_requests.clone();
        while handshakes.try_join_next().is_some() {}
        handshakes.spawn(async move {
            if let Err(error) = accept_link(stream, &handlers).await {
                debug!(error:%; "link_refused");
                bad_requests.inc();
            }
            drop(permit);
        });
    }
}

async fn accept_link<C>(mut stream: TcpStream, handlers: &LinkHandlers<C>) -> Result<(), Error>
where
    C: Clock,
{
    stream.set_nodelay(true)?;
    let hellos = exchange_hellos(&mut stream, &handlers.shared);
    let hello = match tokio::time::timeout(HELLO_TIMEOUT, hellos).await {
        Ok(hello) => hello?,
        Err(_elapsed) => return Err(io::Error::from(io::ErrorKind::TimedOut).into()),
    };
    match hello.link {
        LinkKind::Call => handlers.inbound.accept(stream, &hello)?,
        LinkKind::Control => handlers.control.accept(stream, &hello)?,
        LinkKind::Reserve => handlers.reserve.accept(stream),
    }
    Ok(())
}

async fn exchange_hellos<C>(stream: &mut TcpStream, shared: &Shared<C>) -> Result<Hello, Error>
where
    C: Clock,
{
    let peer_hello = codec::read_hello(stream).await?;
    codec::write(stream, &make_hello(shared, peer_hello.link)).await?;
    Ok(peer_hello)
}
