//! A backend server that sends given bytes, whatever it is asked.

use crate::mesh::bind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Size of the writes of a server that doesn't pause.
const BLOCK_BYTES: usize = 16 << 10;

/// What a raw server sends on each connection.
#[derive(Debug, Clone, Copy)]
pub struct Script {
    /// Whether it waits for the head of a request first.
    pub awaits_request: bool,
    /// Sent once, in answer to each request.
    pub start: &'static str,
    /// Sent again and again after `start`; empty to await the next request.
    pub endless: &'static str,
    /// Pause between two writes of `endless`.
    pub pause: Duration,
}

impl Script {
    /// Answers each request with `start`, then sends `endless` without pause.
    pub fn new(start: &'static str, endless: &'static str) -> Self {
        Self {
            awaits_request: true,
            start,
            endless,
            pause: Duration::ZERO,
        }
    }
}

/// A running raw server.
#[derive(Debug)]
pub struct RawServer {
    pub address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    /// Connections that the peer has closed, and the bytes that were sent on all of them.
    closed: watch::Receiver<(usize, usize)>,
}

impl RawServer {
    /// Starts a server that follows `script` on each connection.
    pub async fn spawn(script: Script) -> Self {
        let (listener, address) = bind().await;
        let accepted = Arc::<AtomicUsize>::default();
        let (sender, closed) = watch::channel((0, 0));
        let counter = Arc::clone(&accepted);
        let sender = Arc::new(sender);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::Relaxed);
                let sender = Arc::clone(&sender);
                tokio::spawn(async move {
                    let sent = follow(script, stream).await;
                    sender.send_modify(|(count, bytes)| {
                        *count += 1;
                        *bytes += sent;
                    });
                });
            }
        });
        Self {
            address,
            accepted,
            closed,
        }
    }

    /// Returns the number of connections that were made.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Waits until the peer has closed `count` connections; returns the bytes sent on them. Panics
    /// after `limit`.
    pub async fn wait_closed(&self, count: usize, limit: Duration) -> usize {
        let mut closed = self.closed.clone();
        let waiting = closed.wait_for(|(closed, _)| *closed >= count);
        let waited = tokio::time::timeout(limit, waiting).await;
        waited.expect("the connection stays open").unwrap().1
    }
}

/// Follows a script until the peer closes the connection; returns the number of bytes sent.
async fn follow(script: Script, mut stream: TcpStream) -> usize {
    let mut sent = 0;
    let is_paced = !script.pause.is_zero();
    let copies = if is_paced {
        1
    } else {
        BLOCK_BYTES / script.endless.len().max(1)
    };
    let block = script.endless.repeat(copies.max(1));
    loop {
        if script.awaits_request && !read_head(&mut stream).await {
            return sent;
        }
        let mut next = script.start;
        while !next.is_empty() {
            if stream.write_all(next.as_bytes()).await.is_err() {
                return sent;
            }
            sent += next.len();
            next = &block;
            if is_paced {
                tokio::time::sleep(script.pause).await;
            }
        }
    }
}

/// Reads the head of a request; returns false at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return false,
        }
    }
    true
}
