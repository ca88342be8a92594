//! Forwarders in front of nodes, which lose track of connections one way.

use crate::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What happens to bytes that go one way over a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// They arrive.
    Pass,
    /// They are lost, and nobody is told.
    Lose,
    /// They wait.
    Hold,
    /// They arrive late, each chunk after [`LAG`].
    Lag,
}

/// How late bytes arrive: as between far regions.
const LAG: Duration = Duration::from_millis(40);

type Way = watch::Sender<Mode>;

/// A forwarder in front of one node; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Forwarder {
    lines: Arc<Mutex<Vec<(Way, Way)>>>,
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

    /// Sets what happens on the connections of now, towards the node and back; new ones pass.
    pub fn set(&self, up: Mode, down: Mode) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.retain(|line| line.0.receiver_count() > 0 || line.1.receiver_count() > 0);
        for line in lines.iter() {
            turn(&line.0, up);
            turn(&line.1, down);
        }
    }

    /// Closes all connections of now.
    pub fn reset(&self) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.clear();
    }

    /// Closes the connections that have lost bytes, as if what lost track of them had been replaced.
    pub fn sever(&self) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.retain(|line| *line.0.borrow() != Mode::Lose && *line.1.borrow() != Mode::Lose);
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            // A refused connection is passed on as one that ends at once.
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
                continue;
            }
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let (up, down) = (Way::new(Mode::Pass), Way::new(Mode::Pass));
            tokio::spawn(copy(near_read, far_write, up.subscribe()));
            tokio::spawn(copy(far_read, near_write, down.subscribe()));
            let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push((up, down));
        }
    }
}

async fn severed(mut mode: watch::Receiver<Mode>) {
    while mode.changed().await.is_ok() {}
}

/// Sets one way; what has lost bytes stays lost, for the rest would make no sense.
fn turn(way: &Way, mode: Mode) {
    way.send_if_modified(|now| {
        let turns = *now != Mode::Lose && *now != mode;
        if turns {
            *now = mode;
        }
        turns
    });
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut mode: watch::Receiver<Mode>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = tokio::select! {
            count = from.read(&mut buffer) => count.unwrap_or(0),
            () = severed(mode.clone()) => return,
        };
        let decided = mode.wait_for(|mode| *mode != Mode::Hold).await;
        let Ok(decided) = decided.map(|mode| *mode) else {
            return;
        };
        let lost = decided == Mode::Lose;
        if decided == Mode::Lag {
            tokio::time::sleep(LAG).await;
        }
        if count == 0 && lost {
            // The end of a lost connection is lost as well, until it is severed.
            while mode.changed().await.is_ok() {}
            return;
        }
        if lost {
            continue;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
