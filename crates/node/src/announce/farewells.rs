//! Leave requests and drains on their way to the platform and the other nodes.

use config::Farewell;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Maximum wait until a farewell is recorded. Backend servers wait about a second for the response to
/// a leave request.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(800);

/// A farewell that has to be recorded.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) farewell: Farewell,
    /// Notified once the platform and other nodes hold it.
    pub(crate) received: oneshot::Sender<()>,
}

/// Passes farewells to the component that records them.
#[derive(Debug, Default)]
pub(crate) struct Farewells {
    requests: OnceLock<mpsc::UnboundedSender<Request>>,
}

impl Farewells {
    /// Returns the receiver of all farewells from now on.
    ///
    /// # Panics
    ///
    /// If called twice.
    pub(crate) fn subscribe(&self) -> mpsc::UnboundedReceiver<Request> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let is_first = self.requests.set(sender).is_ok();
        assert!(is_first, "farewells have one receiver");
        receiver
    }

    /// Passes on a farewell without waiting.
    pub(crate) fn pass_on(&self, farewell: Farewell) -> Option<oneshot::Receiver<()>> {
        let (received, receipt) = oneshot::channel();
        let request = Request { farewell, received };
        // Without a receiver, this node belongs to no fleet.
        let requests = self.requests.get()?;
        // Sending fails only when the node stops; the receipt then fails as well.
        drop(requests.send(request));
        Some(receipt)
    }

    /// Passes on a farewell, and returns whether it is recorded.
    ///
    /// Guards against a node that is killed as soon as it has acknowledged a leave request: its next
    /// process took a late report of the process that had left for one of a process that serves.
    pub(crate) async fn are_received(&self, farewell: Farewell) -> bool {
        match self.pass_on(farewell) {
            Some(receipt) => matches!(timeout(RECEIPT_TIMEOUT, receipt).await, Ok(Ok(()))),
            None => true,
        }
    }
}
