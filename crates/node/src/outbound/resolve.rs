//! What became of the tries of a link that ended.

use crate::outbound::attempt::Attempt;
use crate::outbound::link::LinkPool;
use crate::outbound::peer::Peer;
use call::Verdict;
use std::io;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::mpsc;
use wire::call::Reason;

/// First pause before another try to reach a peer that owes outcomes; doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between tries to reach a peer that owes outcomes.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// A link that ended, with the tries whose outcome must be asked for.
#[derive(Debug)]
pub(crate) struct EndedLink {
    pub(crate) peer: Arc<Peer>,
    pub(crate) incarnation: u64,
    pub(crate) unresolved: Vec<Arc<Attempt>>,
}

/// Settles the tries of each link that ends.
pub(crate) async fn resolve_all(
    links: Weak<LinkPool>,
    mut ended: mpsc::UnboundedReceiver<EndedLink>,
) {
    while let Some(one) = ended.recv().await {
        let Some(links) = links.upgrade() else {
            return;
        };
        tokio::spawn(resolve(links, one));
    }
}

/// Ends the tries whose outcome needs no asking and gives the others.
pub(crate) fn resolve_known(tries: Vec<Arc<Attempt>>) -> Vec<Arc<Attempt>> {
    let mut unresolved = Vec::new();
    for one in tries {
        if !one.was_written() {
            one.fail(Verdict::NotRun, Reason::Backend);
        } else if one.repeatable {
            one.fail(Verdict::MayHaveRun, Reason::Backend);
        } else {
            unresolved.push(one);
        }
    }
    unresolved
}

/// Asks the peer, over a new link, what became of the tries of one that ended.
///
/// A link that goes silent may have delivered its requests or lost them. The
/// peer's table of calls knows, but only in the process that got them: after
/// a restart nobody can say that a call has not run.
async fn resolve(links: Arc<LinkPool>, ended: EndedLink) {
    let EndedLink {
        peer,
        incarnation,
        mut unresolved,
    } = ended;
    let mut pause = FIRST_PAUSE;
    loop {
        unresolved.retain(|one| !one.is_abandoned());
        if unresolved.is_empty() {
            return;
        }
        match links.connect(&peer).await {
            Ok(link) if link.incarnation == incarnation => {
                for one in &unresolved {
                    link.query_outcome(one);
                }
                return;
            }
            Err(wire::Error::Io(error)) if error.kind() == io::ErrorKind::TimedOut => {}
            // The process that got them is gone, and its table of calls with it.
            Ok(_) | Err(_) => break,
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    for one in unresolved {
        one.fail(Verdict::MayHaveRun, Reason::Backend);
    }
}
