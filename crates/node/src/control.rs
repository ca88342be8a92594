//! Receives configuration and endpoints from the fleet.
//!
//! By default a node joins the distribution tree of its zone: [`fleet::Node`] makes the decisions
//! and the module `tree` does the I/O. With `distribution = watch` in the settings, the node
//! watches the platform directly instead, as a baseline for measurements.

pub(crate) mod link;
pub(crate) mod platform_worker;
pub(crate) mod removal;
pub(crate) mod rollout;
pub(crate) mod tree;
pub(crate) mod watch;

use crate::control::tree::Input;
use crate::shared::Shared;
use clock::Clock;
use fleet::Peer;
use settings::node::Distribution;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use store::Store;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use wire::Hello;

/// Capacity of the state machine's inbox in inputs; readers of links wait when it is full.
const INBOX_CAPACITY: usize = 1_024;

/// Handle to the running control component of a node; clones share it.
#[derive(Debug, Clone)]
pub struct Handle<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    inbox: Option<mpsc::Sender<Input>>,
    task: Arc<JoinHandle<()>>,
}

/// Starts to receive configuration and endpoints, and to announce the local backend server.
#[must_use]
pub fn spawn<C, S>(shared: Arc<Shared<C>>, store: S) -> Handle<C>
where
    C: Clock,
    S: Store,
{
    let (inbox, task) = match shared.settings.distribution {
        Distribution::Watch => {
            let task = tokio::spawn(watch::run(Arc::clone(&shared), store));
            (None, task)
        }
        Distribution::Tree | Distribution::Full => {
            let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
            let farewells = shared.farewells.subscribe();
            let run = tree::run(
                Arc::clone(&shared),
                store,
                sender.clone(),
                receiver,
                farewells,
            );
            (Some(sender), tokio::spawn(run))
        }
    };
    Handle {
        shared,
        inbox,
        task: Arc::new(task),
    }
}

impl<C> Handle<C>
where
    C: Clock,
{
    /// Takes over an accepted control link whose hellos have been exchanged.
    ///
    /// # Errors
    ///
    /// Fails when the node watches the platform directly and thus has no children, or when its
    /// inbox is full.
    pub fn accept(&self, stream: TcpStream, hello: &Hello) -> io::Result<()> {
        let Some(inbox) = &self.inbox else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let peer = Peer {
            node: hello.node.clone(),
            zone: hello.zone.clone(),
            // The address where the peer listens comes with its first frame.
            address: stream.peer_addr()?,
        };
        match inbox.try_send(Input::Accepted { stream, peer }) {
            Ok(()) => Ok(()),
            Err(_) => Err(io::ErrorKind::ResourceBusy.into()),
        }
    }

    /// Tells the other nodes that this node leaves, waiting at most `limit`, and stops the control
    /// component.
    pub async fn leave(&self, limit: Duration) {
        match &self.inbox {
            None => {
                let leave = watch::announce_gone(&self.shared);
                drop(tokio::time::timeout(limit, leave).await);
            }
            Some(inbox) => {
                let (done, completed) = oneshot::channel();
                let leave = async {
                    if inbox.send(Input::Leave(done)).await.is_ok() {
                        // An error means that the task has ended, so all frames are written.
                        drop(completed.await);
                    }
                };
                drop(tokio::time::timeout(limit, leave).await);
            }
        }
        self.task.abort();
    }
}
