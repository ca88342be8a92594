//! A TCP forwarder that can drop or hold the bytes of existing connections, per direction.

use crate::mesh::bind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// What happens to the bytes of one direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// They are forwarded.
    Pass,
    /// They are discarded, and the connection stays open.
    Drop,
    /// They are held back until the mode changes.
    Hold,
}

/// One direction of a connection.
type Direction = watch::Sender<Mode>;

/// Forwards connections to a target address. Clones share the connections.
#[derive(Debug, Clone)]
pub struct Forwarder {
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    connections: Arc<Mutex<Vec<(Direction, Direction)>>>,
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
}

impl Forwarder {
    /// Starts forwarding connections to `target`.
    pub async fn spawn(target: SocketAddr) -> Self {
        let (listener, address) = bind().await;
        let connections = Arc::<Mutex<Vec<(Direction, Direction)>>>::default();
        let accepted = Arc::clone(&connections);
        let target = Arc::new(Mutex::new(target));
        let current_target = Arc::clone(&target);
        let tasks = Arc::<Mutex<Vec<AbortHandle>>>::default();
        let copying = Arc::clone(&tasks);
        let accepting = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let target = *current_target.lock().unwrap();
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                near.set_nodelay(true).unwrap();
                far.set_nodelay(true).unwrap();
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                let up = Direction::new(Mode::Pass);
                let down = Direction::new(Mode::Pass);
                let sending = tokio::spawn(copy(near_read, far_write, up.subscribe()));
                let returning = tokio::spawn(copy(far_read, near_write, down.subscribe()));
                let aborts = [sending.abort_handle(), returning.abort_handle()];
                copying.lock().unwrap().extend(aborts);
                accepted.lock().unwrap().push((up, down));
            }
        });
        tasks.lock().unwrap().push(accepting.abort_handle());
        Self {
            address,
            target,
            connections,
            tasks,
        }
    }

    /// Closes all connections and refuses new ones, as the end of the target's process does.
    pub fn close(&self) {
        for task in self.tasks.lock().unwrap().iter() {
            task.abort();
        }
    }

    /// Sets the modes of all existing connections, towards the target and back.
    pub fn set_modes(&self, up: Mode, down: Mode) {
        for connection in self.connections.lock().unwrap().iter() {
            connection.0.send_replace(up);
            connection.1.send_replace(down);
        }
    }

    /// Sets the target of connections that are opened from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = target;
    }

    /// Returns the total number of connections so far.
    pub fn count(&self) -> usize {
        self.connections.lock().unwrap().len()
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut mode: watch::Receiver<Mode>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let Ok(now) = mode
            .wait_for(|mode| *mode != Mode::Hold)
            .await
            .map(|mode| *mode)
        else {
            return;
        };
        if now == Mode::Drop && count > 0 {
            continue;
        }
        // In `Mode::Drop`, the end of the connection is discarded as well.
        if now == Mode::Drop {
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
