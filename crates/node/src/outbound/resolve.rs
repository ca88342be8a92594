//! Determines the outcome of attempts whose link ended.

use crate::outbound::attempt::Attempt;
use crate::outbound::link::LinkPool;
use crate::outbound::peer::Peer;
use call::Verdict;
use std::io;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::mpsc;
use wire::call::Reason;

/// Initial delay between attempts to reconnect to the peer; doubles each time.
const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between attempts to reconnect to the peer.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(800);

/// A link that ended, with the attempts whose outcome only the peer knows.
#[derive(Debug)]
pub(crate) struct EndedLink {
    pub(crate) peer: Arc<Peer>,
    pub(crate) incarnation: u64,
    pub(crate) unresolved: Vec<Arc<Attempt>>,
}

/// Resolves the attempts of each link that ends.
pub(crate) async fn resolve_all(
    links: Weak<LinkPool>,
    mut ended: mpsc::UnboundedReceiver<EndedLink>,
) {
    while let Some(link) = ended.recv().await {
        let Some(links) = links.upgrade() else {
            return;
        };
        tokio::spawn(resolve(links, link));
    }
}

/// Finishes the attempts whose outcome is known without the peer, and returns the others.
pub(crate) fn resolve_known(attempts: Vec<Arc<Attempt>>) -> Vec<Arc<Attempt>> {
    let mut unresolved = Vec::new();
    for attempt in attempts {
        if !attempt.was_written() {
            attempt.fail(Verdict::NotRun, Reason::Backend);
        } else if attempt.repeatable {
            attempt.fail(Verdict::MayHaveRun, Reason::Backend);
        } else {
            unresolved.push(attempt);
        }
    }
    unresolved
}

/// Asks the peer, over a new link, for the outcome of the attempts of the ended link.
///
/// A link that stopped responding may have delivered its requests or lost them. The peer's attempt
/// table records the outcome, but only in the process that received the requests. After that
/// process has ended, nobody can say of any of these calls that the call has not run.
async fn resolve(links: Arc<LinkPool>, ended: EndedLink) {
    let EndedLink {
        peer,
        incarnation,
        mut unresolved,
    } = ended;
    let mut delay = INITIAL_RECONNECT_DELAY;
    loop {
        unresolved.retain(|attempt| !attempt.is_abandoned());
        if unresolved.is_empty() {
            return;
        }
        match links.connect(&peer).await {
            Ok(link) if link.incarnation == incarnation => {
                for attempt in &unresolved {
                    link.query_outcome(attempt);
                }
                return;
            }
            Err(wire::Error::Io(error)) if error.kind() == io::ErrorKind::TimedOut => {}
            // The process that received the requests has ended, and its attempt table is lost.
            Ok(_) | Err(_) => break,
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
    for attempt in unresolved {
        attempt.fail(Verdict::MayHaveRun, Reason::Backend);
    }
}
