//! A forwarder that loses track of its connections, while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A running forwarder; clones share it.
#[derive(Debug, Clone)]
pub struct Forwarder {
    address: SocketAddr,
    /// Counts the times that it lost track; a connection made before swallows all.
    lost: Arc<watch::Sender<u64>>,
}

impl Forwarder {
    /// Forwards connections from a free port on loopback to `target`.
    ///
    /// # Errors
    ///
    /// When there is no free port.
    pub async fn spawn(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let lost = Arc::new(watch::Sender::new(0));
        tokio::spawn(accept(listener, target, Arc::clone(&lost)));
        Ok(Self { address, lost })
    }

    /// Gives the address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Loses track of all connections: they stay open at both ends and carry nothing any more.
    pub fn stall_connections(&self) {
        self.lost.send_modify(|count| *count += 1);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, lost: Arc<watch::Sender<u64>>) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(forward(near, target, lost.subscribe()));
    }
}

async fn forward(mut near: TcpStream, target: SocketAddr, mut lost: watch::Receiver<u64>) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    drop(near.set_nodelay(true));
    drop(far.set_nodelay(true));
    let copied = tokio::select! {
        copied = tokio::io::copy_bidirectional(&mut near, &mut far) => Some(copied),
        _ = lost.changed() => None,
    };
    if copied.is_none() {
        // Neither end is told: the sockets are kept open and left alone.
        std::future::pending::<()>().await;
    }
}
