//! A node that calls are sent to, and the link that is up to it.

use crate::outbound::link::Link;
use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a failure to connect stands for all who ask for the link: one
/// connection a quarter of a second costs nothing, and finds a node that is
/// back as soon as its callers care.
const FAILURE_RETENTION: Duration = Duration::from_millis(250);

/// Time after which a try to connect that nobody waits for any more counts as failed.
const LEAST_ATTEMPT: Duration = Duration::from_millis(100);

/// A node that calls are sent to.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) current: Mutex<Option<Arc<Link>>>,
    /// Held while connecting, so that one connection is made for all who wait.
    pub(crate) connecting: tokio::sync::Mutex<()>,
    /// When the last try to connect failed, and how.
    failed: Mutex<Option<(Instant, io::ErrorKind)>>,
}

impl Peer {
    pub(crate) fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            current: Mutex::default(),
            connecting: tokio::sync::Mutex::default(),
            failed: Mutex::default(),
        })
    }

    /// Begins a try to connect.
    pub(crate) fn attempt(&self) -> Attempt<'_> {
        Attempt {
            peer: self,
            since: Instant::now(),
        }
    }

    /// Tells how connecting failed, if it did just now.
    ///
    /// Without it, each call to a node that can't be reached would wait for the
    /// tries of all before it, and then make its own.
    pub(crate) fn failure(&self) -> Option<io::ErrorKind> {
        let (at, kind) = (*self.failed.lock())?;
        (at.elapsed() < FAILURE_RETENTION).then_some(kind)
    }

    pub(crate) fn note_failure(&self, error: &wire::Error) {
        let kind = match error {
            wire::Error::Io(error) => error.kind(),
            _ => io::ErrorKind::InvalidData,
        };
        *self.failed.lock() = Some((Instant::now(), kind));
    }

    pub(crate) fn live(&self) -> Option<Arc<Link>> {
        let current = self.current.lock();
        let link = current.as_ref()?;
        (!link.is_closed()).then(|| Arc::clone(link))
    }
}

/// A try to connect that is under way; dropped before its end, it failed like one that timed out.
///
/// Callers with short deadlines give up before it ends. Without this, each of
/// them would begin another one, and none would ever count as failed.
pub(crate) struct Attempt<'a> {
    peer: &'a Peer,
    since: Instant,
}

impl Attempt<'_> {
    /// Ends it, however it ended.
    pub(crate) fn end(mut self) {
        self.since = Instant::now();
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if self.since.elapsed() >= LEAST_ATTEMPT {
            *self.peer.failed.lock() = Some((Instant::now(), io::ErrorKind::TimedOut));
        }
    }
}
