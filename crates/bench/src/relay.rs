//! A TCP relay that can stall its connections, to cut a zone off from the platform.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of a read buffer, in bytes.
const BUFFER_SIZE: usize = 16 << 10;

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    stalled: watch::Sender<bool>,
}

/// Relays connections to `target` until the returned handle is dropped.
///
/// # Errors
///
/// When the listener can't be bound.
pub async fn bind(target: SocketAddr) -> io::Result<Relay> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let (stalled, stall) = watch::channel(false);
    tokio::spawn(accept(listener, target, stall));
    Ok(Relay { address, stalled })
}

impl Relay {
    /// Sets whether the relay holds back all bytes, on open and on new connections.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.stalled.send_replace(is_stalled);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut stall: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(forward(stream, target, stall.clone()));
                }
            }
            changed = stall.changed() => if changed.is_err() { return },
        }
    }
}

async fn forward(stream: TcpStream, target: SocketAddr, stall: watch::Receiver<bool>) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (request_source, response_sink) = stream.into_split();
    let (response_source, request_sink) = upstream.into_split();
    tokio::select! {
        () = copy(request_source, request_sink, stall.clone()) => {}
        () = copy(response_source, response_sink, stall) => {}
    }
}

async fn copy(
    mut source: OwnedReadHalf,
    mut sink: OwnedWriteHalf,
    mut stall: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let Ok(count @ 1..) = source.read(&mut buffer).await else {
            return;
        };
        if stall.wait_for(|is_stalled| !is_stalled).await.is_err() {
            return;
        }
        if sink.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
