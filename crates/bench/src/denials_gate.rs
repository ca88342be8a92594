//! A TCP gate in front of the platform stand-in, which turns away the node behind it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay of each chunk of the responses in [`Denial::Slow`], longer than a version may take.
const CHUNK_DELAY: Duration = Duration::from_secs(3);

/// Size of a read buffer, in bytes.
const BUFFER_SIZE: usize = 16 << 10;

/// How the platform turns a node away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// Requests are answered with status 503.
    Unavailable,
    /// Requests are answered with status 429.
    Busy,
    /// Connections are closed.
    Reset,
    /// Connections stay open and carry nothing.
    Silent,
    /// Responses come late.
    Slow,
    /// Requests arrive, and responses are lost.
    NoResponses,
}

impl Denial {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Unavailable,
        Self::Busy,
        Self::Reset,
        Self::Silent,
        Self::Slow,
        Self::NoResponses,
    ];
}

/// A running gate.
#[derive(Debug)]
pub struct Gate {
    /// Address on which the gate listens.
    pub address: SocketAddr,
    denial: watch::Sender<Option<Denial>>,
}

/// Forwards connections to `target` until the returned handle is dropped.
///
/// # Errors
///
/// When the listener can't be bound.
pub async fn bind(target: SocketAddr) -> io::Result<Gate> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let (denial, watched) = watch::channel(None);
    tokio::spawn(accept(listener, target, watched));
    Ok(Gate { address, denial })
}

impl Gate {
    /// Turns the node away, on open and on new connections, or lets it through again.
    pub fn set(&self, denial: Option<Denial>) {
        self.denial.send_replace(denial);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut denial: watch::Receiver<Option<Denial>>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve(stream, target, denial.clone()));
                }
            }
            changed = denial.changed() => if changed.is_err() { return },
        }
    }
}

async fn serve(
    mut near: TcpStream,
    target: SocketAddr,
    mut denial: watch::Receiver<Option<Denial>>,
) {
    let current = *denial.borrow_and_update();
    tokio::select! {
        _ = serve_as(&mut near, target, current) => return,
        _ = denial.changed() => {}
    }
    // A connection that falls silent stays open; all others are closed when the denial changes.
    if *denial.borrow_and_update() == Some(Denial::Silent) {
        drop(denial.changed().await);
    }
}

async fn serve_as(
    near: &mut TcpStream,
    target: SocketAddr,
    denial: Option<Denial>,
) -> io::Result<()> {
    match denial {
        Some(Denial::Unavailable) => reject(near, "503 Service Unavailable").await,
        Some(Denial::Busy) => reject(near, "429 Too Many Requests\r\nretry-after: 1").await,
        Some(Denial::Reset) => Ok(()),
        Some(Denial::Silent) => std::future::pending().await,
        None | Some(Denial::Slow | Denial::NoResponses) => {
            let mut far = TcpStream::connect(target).await?;
            near.set_nodelay(true)?;
            far.set_nodelay(true)?;
            let (near_read, near_write) = near.split();
            let (far_read, far_write) = far.split();
            tokio::select! {
                copied = copy(near_read, far_write, None) => copied,
                copied = copy(far_read, near_write, denial) => copied,
            }
        }
    }
}

/// Reads a request, at least in part, and rejects it.
async fn reject(near: &mut TcpStream, status: &str) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_SIZE];
    if near.read(&mut buffer).await? > 0 {
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
        near.write_all(head.as_bytes()).await?;
    }
    Ok(())
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    denial: Option<Denial>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let count = from.read(&mut buffer).await?;
        match denial {
            _ if count == 0 => return Ok(()),
            Some(Denial::NoResponses) => continue,
            Some(Denial::Slow) => tokio::time::sleep(CHUNK_DELAY).await,
            _ => {}
        }
        to.write_all(&buffer[..count]).await?;
    }
}
