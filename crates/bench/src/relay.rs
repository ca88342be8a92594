//! A forwarder of TCP connections that can fall silent, to cut a zone from the platform.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes taken at once.
const CHUNK: usize = 16 << 10;

/// A running forwarder.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    silent: watch::Sender<bool>,
}

/// Forwards connections to `target` until the handle is dropped.
///
/// # Errors
///
/// When no address is free.
pub async fn bind(target: SocketAddr) -> io::Result<Relay> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let (silent, silence) = watch::channel(false);
    tokio::spawn(accept(listener, target, silence));
    Ok(Relay { address, silent })
}

impl Relay {
    /// Holds all bytes back, on open connections and new ones, or lets them go on.
    pub fn set_stalled(&self, is_silent: bool) {
        self.silent.send_replace(is_silent);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut silence: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(forward(stream, target, silence.clone()));
                }
            }
            changed = silence.changed() => if changed.is_err() { return },
        }
    }
}

async fn forward(stream: TcpStream, target: SocketAddr, silence: watch::Receiver<bool>) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let (from, to) = stream.into_split();
    let (back, forth) = other.into_split();
    tokio::select! {
        () = copy(from, forth, silence.clone()) => {}
        () = copy(back, to, silence) => {}
    }
}

async fn copy(
    mut source: OwnedReadHalf,
    mut sink: OwnedWriteHalf,
    mut silence: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok(count @ 1..) = source.read(&mut buffer).await else {
            return;
        };
        if silence.wait_for(|is_silent| !is_silent).await.is_err() {
            return;
        }
        if sink.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
