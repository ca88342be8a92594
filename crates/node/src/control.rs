//! How a node learns of configuration and endpoints.

use crate::control_watch;
use crate::shared::Shared;
use clock::Clock;
use platform::Store;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use wire::Hello;

/// The running control part of a node; clones share it.
#[derive(Debug)]
pub struct Handle<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    task: Arc<JoinHandle<()>>,
}

impl<C> Clone for Handle<C>
where
    C: Clock,
{
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            task: Arc::clone(&self.task),
        }
    }
}

/// Starts to learn, and to announce the own backend server.
#[must_use]
pub fn spawn<C, S>(shared: Arc<Shared<C>>, store: S) -> Handle<C>
where
    C: Clock,
    S: Store,
{
    let task = tokio::spawn(control_watch::run(Arc::clone(&shared), store));
    Handle {
        shared,
        task: Arc::new(task),
    }
}

impl<C> Handle<C>
where
    C: Clock,
{
    /// Takes over an accepted control link, whose hellos are done both ways.
    ///
    /// # Errors
    ///
    /// Always: a node that watches the platform itself has no children.
    pub fn accept(&self, _stream: TcpStream, _hello: &Hello) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Ends, once the others have been told that this node has left.
    pub async fn leave(&self) {
        control_watch::announce_gone(&self.shared).await;
        self.task.abort();
    }
}
