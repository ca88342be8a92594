//! TCP forwarder that can stall its existing connections while new connections work.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A running forwarder; clones share it.
#[derive(Debug, Clone)]
pub struct Forwarder {
    address: SocketAddr,
    /// Incremented to stall all connections accepted so far.
    stalls: Arc<watch::Sender<u64>>,
}

impl Forwarder {
    /// Forwards connections from a free port on loopback to `target`.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn spawn(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let stalls = Arc::new(watch::Sender::new(0));
        tokio::spawn(accept(listener, target, Arc::clone(&stalls)));
        Ok(Self { address, stalls })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stalls all existing connections: they stay open at both ends but carry no more data.
    pub fn stall_connections(&self) {
        self.stalls.send_modify(|generation| *generation += 1);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, stalls: Arc<watch::Sender<u64>>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(forward(client, target, stalls.subscribe()));
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, mut stalls: watch::Receiver<u64>) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let copied = tokio::select! {
        copied = tokio::io::copy_bidirectional(&mut client, &mut server) => Some(copied),
        _ = stalls.changed() => None,
    };
    if copied.is_none() {
        // Keeps both sockets open without reading or writing, so that neither end is notified.
        std::future::pending::<()>().await;
    }
}
