//! A forwarder that loses track of connections, one way, while new ones work.

use crate::mesh::bind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// What happens to bytes that go one way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// They arrive.
    Pass,
    /// They are lost, and nobody is told.
    Drop,
    /// They wait.
    Hold,
}

/// One way of one connection.
type Way = watch::Sender<Mode>;

/// A forwarder of connections to one address; clones share them.
#[derive(Debug, Clone)]
pub struct Forwarder {
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    lines: Arc<Mutex<Vec<(Way, Way)>>>,
}

impl Forwarder {
    /// Forwards connections to `target`.
    pub async fn spawn(target: SocketAddr) -> Self {
        let (listener, address) = bind().await;
        let lines = Arc::<Mutex<Vec<(Way, Way)>>>::default();
        let kept = Arc::clone(&lines);
        let target = Arc::new(Mutex::new(target));
        let aimed = Arc::clone(&target);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let target = *aimed.lock().unwrap();
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                near.set_nodelay(true).unwrap();
                far.set_nodelay(true).unwrap();
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                let up = Way::new(Mode::Pass);
                let down = Way::new(Mode::Pass);
                tokio::spawn(copy(near_read, far_write, up.subscribe()));
                tokio::spawn(copy(far_read, near_write, down.subscribe()));
                kept.lock().unwrap().push((up, down));
            }
        });
        Self {
            address,
            target,
            lines,
        }
    }

    /// Sets what happens on the connections that are there now, towards the target and back.
    pub fn set(&self, up: Mode, down: Mode) {
        for line in self.lines.lock().unwrap().iter() {
            line.0.send_replace(up);
            line.1.send_replace(down);
        }
    }

    /// Sends new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = target;
    }

    /// Gives how many connections there have been.
    pub fn count(&self) -> usize {
        self.lines.lock().unwrap().len()
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
        // The end of a lost connection is lost as well.
        if now == Mode::Drop {
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
