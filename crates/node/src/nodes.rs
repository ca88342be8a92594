//! Where other nodes connect: hellos both ways, then the link goes to its part.

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
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use wire::{Error, Hello, Link, PROTOCOL, codec};

/// Longest wait for a peer's hello: a link that never says who it is takes
/// memory for nothing.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// Connections that may be saying hello at once; more wait in the system's
/// accept queue, so that a herd of strangers can't fill the memory.
const MAX_STRANGERS: usize = 256;

/// Name of this listener in settings and metrics.
const LISTENER: &str = "nodes";

/// Wait after a failed accept: running out of file descriptors would spin otherwise.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running listener for nodes; dropping it ends it, but not the links.
#[derive(Debug)]
pub struct Handle {
    task: JoinHandle<()>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Gives what this node says of itself on a link.
#[must_use]
pub fn make_hello<C>(shared: &Shared<C>, link: Link) -> Hello
where
    C: Clock,
{
    Hello {
        protocol: PROTOCOL,
        node: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        zone: shared.settings.zone.clone(),
        link,
    }
}

/// Listens for nodes on `tcp`.
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
    let desk = Arc::new(Desk {
        shared,
        inbound,
        control,
        reserve,
    });
    let task = tokio::spawn(accept(tcp, desk));
    Handle { task }
}

#[derive(Debug)]
struct Desk<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    inbound: inbound::Handle<C>,
    control: control::Handle<C>,
    reserve: reserve::Handle<C>,
}

async fn accept<C>(tcp: TcpListener, desk: Arc<Desk<C>>)
where
    C: Clock,
{
    let strangers = Arc::new(Semaphore::new(MAX_STRANGERS));
    let bad_requests = desk.shared.metrics.bad_requests(LISTENER);
    while let Ok(permit) = Arc::clone(&strangers).acquire_owned().await {
        let Ok((stream, _peer)) = tcp.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let desk = Arc::clone(&desk);
        let bad_requests = bad_requests.clone();
        tokio::spawn(async move {
            if let Err(error) = greet(stream, &desk).await {
                debug!(error:%; "link_refused");
                bad_requests.inc();
            }
            drop(permit);
        });
    }
}

async fn greet<C>(mut stream: TcpStream, desk: &Desk<C>) -> Result<(), Error>
where
    C: Clock,
{
    stream.set_nodelay(true)?;
    let hellos = exchange_hellos(&mut stream, &desk.shared);
    let hello = match tokio::time::timeout(HELLO_TIMEOUT, hellos).await {
        Ok(hello) => hello?,
        Err(_elapsed) => return Err(io::Error::from(io::ErrorKind::TimedOut).into()),
    };
    match hello.link {
        Link::Call => desk.inbound.accept(stream, &hello)?,
        Link::Control => desk.control.accept(stream, &hello)?,
        Link::Reserve => desk.reserve.accept(stream),
    }
    Ok(())
}

async fn exchange_hellos<C>(stream: &mut TcpStream, shared: &Shared<C>) -> Result<Hello, Error>
where
    C: Clock,
{
    let theirs = codec::read_hello(stream).await?;
    codec::write(stream, &make_hello(shared, theirs.link)).await?;
    Ok(theirs)
}
