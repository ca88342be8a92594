//! A node that calls are sent to, with its current link and the last failure to connect.

use crate::outbound::link::Link;
use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a failure to connect is returned to all calls that need the link.
///
/// One attempt to connect every quarter of a second costs almost nothing, and callers learn soon
/// enough that the node is reachable again.
const FAILURE_TTL: Duration = Duration::from_millis(250);

/// Age from which an abandoned attempt to connect counts as timed out.
const ABANDONED_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A node that calls are sent to.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) current_link: Mutex<Option<Arc<Link>>>,
    /// Held while connecting, so that concurrent callers share one connection.
    pub(crate) connecting: tokio::sync::Mutex<()>,
    /// When the last attempt to connect failed, and how.
    last_failure: Mutex<Option<(Instant, io::ErrorKind)>>,
}

impl Peer {
    pub(crate) fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            current_link: Mutex::default(),
            connecting: tokio::sync::Mutex::default(),
            last_failure: Mutex::default(),
        })
    }

    /// Begins an attempt to connect.
    pub(crate) fn begin_connect(&self) -> ConnectAttempt<'_> {
        ConnectAttempt {
            peer: self,
            started: Instant::now(),
        }
    }

    /// Returns how the last attempt to connect failed, if that was recently.
    ///
    /// Without this record, each call to an unreachable node would wait for the attempts to connect
    /// of all earlier calls and then make an attempt of its own.
    pub(crate) fn recent_failure(&self) -> Option<io::ErrorKind> {
        let (at, kind) = (*self.last_failure.lock())?;
        (at.elapsed() < FAILURE_TTL).then_some(kind)
    }

    pub(crate) fn record_failure(&self, error: &wire::Error) {
        let kind = match error {
            wire::Error::Io(error) => error.kind(),
            _ => io::ErrorKind::InvalidData,
        };
        *self.last_failure.lock() = Some((Instant::now(), kind));
    }

    pub(crate) fn open_link(&self) -> Option<Arc<Link>> {
        let current = self.current_link.lock();
        let link = current.as_ref()?;
        (!link.is_closed()).then(|| Arc::clone(link))
    }
}

/// An attempt to connect. If it is dropped before it has finished, it counts as
/// timed out, provided that it is at least [`ABANDONED_CONNECT_TIMEOUT`] old.
///
/// Callers with short deadlines give up before the attempt ends. If abandoned attempts were
/// ignored, each such caller would begin a new attempt, and no attempt would ever count as failed.
pub(crate) struct ConnectAttempt<'a> {
    peer: &'a Peer,
    started: Instant,
}

impl ConnectAttempt<'_> {
    /// Finishes the attempt, whether it succeeded or failed. As its start time is
    /// reset, `drop` doesn't count it as abandoned.
    pub(crate) fn finish(mut self) {
        self.started = Instant::now();
    }
}

impl Drop for ConnectAttempt<'_> {
    fn drop(&mut self) {
        if self.started.elapsed() >= ABANDONED_CONNECT_TIMEOUT {
            *self.peer.last_failure.lock() = Some((Instant::now(), io::ErrorKind::TimedOut));
        }
    }
}
