//! TCP forwarders in front of nodes. A forwarder can drop, hold back or delay the bytes of its
//! connections, separately for each direction.

use crate::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a forwarder does with the bytes of one direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardMode {
    /// Forwards the bytes.
    Pass,
    /// Drops the bytes silently; the connection stays open.
    Drop,
    /// Holds the bytes back until the mode changes.
    Hold,
    /// Forwards each chunk of bytes after a delay of 40 ms.
    Delay,
}

/// Delay of each chunk of bytes in [`ForwardMode::Delay`], as between distant regions.
const CHUNK_DELAY: Duration = Duration::from_millis(40);

type ModeSender = watch::Sender<ForwardMode>;

/// A forwarder in front of one node; clones share its connections.
#[derive(Debug, Clone, Default)]
pub struct Forwarder {
    connections: Arc<Mutex<Vec<(ModeSender, ModeSender)>>>,
}

impl Forwarder {
    /// Forwards connections from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// When `listen` can't be bound.
    pub async fn spawn(listen: SocketAddr, target: SocketAddr) -> Result<Self, Error> {
        let listener = TcpListener::bind(listen).await?;
        let forwarder = Self::default();
        tokio::spawn(forwarder.clone().accept(listener, target));
        Ok(forwarder)
    }

    /// Sets the modes of all open connections, `up` towards the node and `down` from it; new
    /// connections start with [`ForwardMode::Pass`].
    pub fn set_modes(&self, up: ForwardMode, down: ForwardMode) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|connection| {
            connection.0.receiver_count() > 0 || connection.1.receiver_count() > 0
        });
        for connection in connections.iter() {
            switch_mode(&connection.0, up);
            switch_mode(&connection.1, down);
        }
    }

    /// Closes all open connections.
    pub fn close_all(&self) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.clear();
    }

    /// Closes the connections that drop bytes, as if a network device that had lost the state of
    /// these connections had been replaced.
    pub fn close_lossy(&self) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|connection| {
            *connection.0.borrow() != ForwardMode::Drop
                && *connection.1.borrow() != ForwardMode::Drop
        });
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            // If the target refuses the connection, the client's connection is closed at once.
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
                continue;
            }
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let (up, down) = (
                ModeSender::new(ForwardMode::Pass),
                ModeSender::new(ForwardMode::Pass),
            );
            tokio::spawn(copy(near_read, far_write, up.subscribe()));
            tokio::spawn(copy(far_read, near_write, down.subscribe()));
            let mut connections = self
                .connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            connections.push((up, down));
        }
    }
}

async fn wait_until_closed(mut mode: watch::Receiver<ForwardMode>) {
    while mode.changed().await.is_ok() {}
}

/// Sets the mode of one direction of a connection. A direction that drops bytes keeps this mode,
/// because forwarding the later bytes would leave a gap in the byte stream.
fn switch_mode(direction: &ModeSender, mode: ForwardMode) {
    direction.send_if_modified(|current| {
        let changes = *current != ForwardMode::Drop && *current != mode;
        if changes {
            *current = mode;
        }
        changes
    });
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<ForwardMode>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = tokio::select! {
            count = from.read(&mut buffer) => count.unwrap_or(0),
            () = wait_until_closed(mode.clone()) => return,
        };
        let chosen = mode.wait_for(|mode| *mode != ForwardMode::Hold).await;
        let Ok(chosen) = chosen.map(|mode| *mode) else {
            return;
        };
        let is_dropped = chosen == ForwardMode::Drop;
        if chosen == ForwardMode::Delay {
            tokio::time::sleep(CHUNK_DELAY).await;
        }
        if count == 0 && is_dropped {
            // The end of the stream is not forwarded either; the direction ends when the forwarder
            // closes the connection.
            while mode.changed().await.is_ok() {}
            return;
        }
        if is_dropped {
            continue;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
