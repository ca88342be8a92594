//! Limits on the calls of teams: this node's tokens, and those that it lends as an owner
//! (`policy::team_limit`).
//!
//! The owner of a team is found by rendezvous hashing over the serving endpoints. While it does not
//! reply, the next node lends in its place, at a part of the rate, and only while it is in touch
//! with the platform: on both sides of a cut there may be a node that takes itself for the owner.

use crate::inbound::run::Refused;
use crate::millis::whole_ms;
use crate::outbound::Inner;
use crate::outbound::link::LinkPool;
use crate::shared::Shared;
use call::owner::pick_owners;
use clock::Clock;
use config::{State, View, team};
use parking_lot::Mutex;
use policy::team_limit::{Decision, Grant, Ledger, Limit, Request, Wallet};
use settings::node::{Quota, Settings, Share};
use smol_str::SmolStr;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use wire::call::Reason;

/// Longest wait for the reply of a team's owner, including the connection to it. Within a region
/// the reply takes some milliseconds, and tens of them from a VM with a tenth of a core.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an owner that did not reply is not asked.
const FAILED_OWNER_PAUSE: Duration = Duration::from_secs(1);

/// Window in which calls are counted if the settings name none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(5);

/// Part of a team's limit that a node lends in place of the owner.
const DEPUTY_SHARE: f64 = 0.5;

/// Wait after which a node asks again whose owner does not know the team yet.
const UNKNOWN_TEAM_WAIT: Duration = Duration::from_millis(200);

/// Time for which the highest number of nodes is used after it was last seen. A node that is cut
/// off sees few others and would otherwise take too large a part of the burst.
const NODE_COUNT_MEMORY: Duration = Duration::from_mins(1);

/// Tokens of teams on this node, and the ledgers of the teams that it owns.
#[derive(Debug)]
pub struct TeamLimits {
    started: Instant,
    accounts: Mutex<HashMap<SmolStr, Account>>,
    ledgers: Mutex<HashMap<SmolStr, Ledger>>,
    node_count: Mutex<(usize, Instant)>,
}

/// One team's tokens on this node.
#[derive(Debug, Default)]
struct Account {
    wallet: Wallet,
    /// Calls that wait for a token, in the order in which they came.
    waiting: VecDeque<oneshot::Sender<Result<(), Refused>>>,
    owners: Owners,
    owner_failed_at: Option<Instant>,
}

/// The nodes that lend tokens of a team, the owner first, as found in a view.
#[derive(Debug, Clone, Default)]
struct Owners {
    view: Weak<View>,
    nodes: [Option<(SmolStr, SocketAddr)>; 2],
}

impl TeamLimits {
    /// Creates the limits of a process that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            accounts: Mutex::default(),
            ledgers: Mutex::default(),
            node_count: Mutex::new((1, now)),
        }
    }

    /// Lends tokens of a team to a node.
    pub(crate) fn lend<C>(&self, shared: &Shared<C>, name: &str, request: Request) -> Grant
    where
        C: Clock,
    {
        let now = shared.clock.now();
        let view = shared.view.load();
        let refused = Grant {
            tokens: 0,
            wait: UNKNOWN_TEAM_WAIT,
        };
        let Some(entry) = view.teams().find_by_name(name) else {
            return refused;
        };
        let Some(limit) = limit_of(entry, &shared.settings) else {
            return Grant {
                tokens: request.needed,
                wait: Duration::ZERO,
            };
        };
        let owner = find_owners(&view, name).into_iter().next().flatten();
        let is_owner = owner.is_some_and(|(node, _)| node == shared.settings.name);
        if !is_owner && !is_in_touch(shared) {
            return refused;
        }
        let share = if is_owner { 1.0 } else { DEPUTY_SHARE };
        let limit = Limit {
            rate: limit.rate * share,
            burst: limit.burst * share,
            ..limit
        };
        let nodes = self.count_nodes(now, &view);
        let mut ledgers = self.ledgers.lock();
        let ledger = ledgers
            .entry(name.into())
            .or_insert_with(|| Ledger::new(self.started, limit, nodes));
        ledger.set_limit(now, limit, nodes);
        let grant = ledger.lend(now, request);
        shared.metrics.access.count_lent(grant.tokens);
        grant
    }

    /// Returns the highest number of nodes seen lately.
    fn count_nodes(&self, now: Instant, view: &View) -> usize {
        let mut known = self.node_count.lock();
        let is_stale = now.saturating_duration_since(known.1) > NODE_COUNT_MEMORY;
        let nodes = view.endpoints().len();
        if nodes >= known.0 || is_stale {
            *known = (nodes.max(1), now);
        }
        known.0
    }

    /// Takes back the token of a call that has not run and never will.
    pub(crate) fn give_back(&self, team: &str) {
        if let Some(account) = self.accounts.lock().get_mut(team) {
            account.wallet.give_back();
        }
    }
}

/// Returns whether this node had its configuration confirmed lately, if a bound on its age is set.
fn is_in_touch<C>(shared: &Shared<C>) -> bool
where
    C: Clock,
{
    let Some(max_age) = shared.settings.revoke else {
        return true;
    };
    let age = shared.freshness.age(&shared.clock);
    age.is_some_and(|age| age < max_age / 2)
}

fn limit_of(team: &team::Entry, settings: &Settings) -> Option<Limit> {
    let limit = team.limit?;
    let (rate, burst) = (limit.per_second(), f64::from(limit.burst));
    let window = settings.team_window.unwrap_or(DEFAULT_WINDOW);
    let per_window = rate * window.as_secs_f64() + burst;
    let overage = settings.team_overage.map_or(0.0, Share::get);
    let slack = settings.team_slack.map_or(0.0, Quota::get);
    Some(Limit {
        rate,
        burst,
        window,
        tolerance: overage * per_window + slack,
    })
}

fn find_owners(view: &View, team: &str) -> [Option<(SmolStr, SocketAddr)>; 2] {
    let serving = view.endpoints().iter();
    let serving: Vec<_> = serving
        .filter(|endpoint| endpoint.state == State::Serving)
        .collect();
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a part of the hash is enough to spread the teams"
    )]
    let shard = policy::hash(team) as u16;
    let names = serving.iter().map(|endpoint| endpoint.node.as_str());
    pick_owners(shard, names).map(|index| {
        let endpoint = serving[index?];
        Some((endpoint.node.clone(), endpoint.address))
    })
}

/// Takes a token for a call of a team, and waits for the owner's reply if there is none here.
///
/// # Errors
///
/// If the team is over its limit, or no owner replied. The call must not run then.
pub(crate) async fn acquire<C>(inner: &Arc<Inner<C>>, team: &team::Entry) -> Result<(), Refused>
where
    C: Clock,
{
    let shared = &inner.shared;
    let Some(limit) = limit_of(team, &shared.settings) else {
        return Ok(());
    };
    let limits = &shared.team_limits;
    let now = shared.clock.now();
    let advance = limit.advance_per_node(limits.count_nodes(now, &shared.view.load()));
    let (decision, receiver, request) = {
        let mut accounts = limits.accounts.lock();
        let account = accounts.entry(team.name.clone()).or_default();
        account.wallet.set_advance(advance);
        let decision = account.wallet.take(now);
        let receiver = (decision == Decision::Wait).then(|| {
            let (sender, receiver) = oneshot::channel();
            account.waiting.push_back(sender);
            receiver
        });
        (decision, receiver, account.wallet.next_request(now))
    };
    if let Some(request) = request {
        tokio::spawn(borrow(Arc::clone(inner), team.name.clone(), request));
    }
    let outcome = match (decision, receiver) {
        (Decision::Admit, _) => Ok(()),
        (Decision::Refuse(wait), _) => Err(over_limit(wait)),
        (Decision::Wait, Some(receiver)) => receiver.await.unwrap_or_else(|_| Err(no_owner())),
        (Decision::Wait, None) => Err(no_owner()),
    };
    match &outcome {
        Ok(()) => shared.metrics.access.count_admitted(&team.name),
        Err(refused) if refused.reason == Reason::OverLimit => {
            shared.metrics.access.count_over_limit(&team.name);
        }
        Err(_) => {}
    }
    outcome
}

fn over_limit(wait: Duration) -> Refused {
    Refused::not_run(Reason::OverLimit, whole_ms(wait).max(1))
}

/// Refuses a call whose team's limit can't be checked.
fn no_owner() -> Refused {
    Refused::not_run(Reason::Unconfirmed, 0)
}

/// Borrows tokens of a team from its owner, for as long as calls wait or few are left.
async fn borrow<C>(inner: Arc<Inner<C>>, team: SmolStr, request: Request)
where
    C: Clock,
{
    let mut next = Some(request);
    while let Some(request) = next {
        let grant = request_tokens(&inner, &team, request).await;
        let now = inner.shared.clock.now();
        let mut accounts = inner.shared.team_limits.accounts.lock();
        let Some(account) = accounts.get_mut(&team) else {
            return;
        };
        match grant {
            Some(grant) => account.settle(now, grant),
            None => account.fail(now),
        }
        next = account.wallet.next_request(now);
    }
}

impl Account {
    /// Admits calls that wait, and refuses the others if the team is over its limit.
    fn settle(&mut self, now: Instant, grant: Grant) {
        let mut admitted = self.wallet.on_grant(now, grant);
        while admitted > 0 {
            let Some(sender) = self.waiting.pop_front() else {
                break;
            };
            // A caller that has gone leaves its token to the next.
            if sender.send(Ok(())).is_ok() {
                admitted -= 1;
            }
        }
        for _ in 0..admitted {
            self.wallet.give_back();
        }
        if !grant.wait.is_zero() {
            self.refuse_waiting(over_limit(grant.wait));
        }
    }

    fn fail(&mut self, now: Instant) {
        self.wallet.on_failure(now);
        self.refuse_waiting(no_owner());
    }

    fn refuse_waiting(&mut self, refused: Refused) {
        for sender in self.waiting.drain(..) {
            // The caller may have gone.
            let _sent = sender.send(Err(refused));
        }
    }
}

/// Requests tokens from the team's owner, or from its deputy; `None` if neither replies.
async fn request_tokens<C>(inner: &Arc<Inner<C>>, team: &SmolStr, request: Request) -> Option<Grant>
where
    C: Clock,
{
    let shared = &inner.shared;
    let (owners, skips_owner) = {
        let now = shared.clock.now();
        let view = shared.view.load_full();
        let mut accounts = shared.team_limits.accounts.lock();
        let account = accounts.get_mut(team)?;
        if !std::ptr::eq(account.owners.view.as_ptr(), Arc::as_ptr(&view)) {
            account.owners = Owners {
                view: Arc::downgrade(&view),
                nodes: find_owners(&view, team),
            };
        }
        let failed_at = account.owner_failed_at;
        let has_failed =
            failed_at.is_some_and(|at| now.saturating_duration_since(at) < FAILED_OWNER_PAUSE);
        (account.owners.nodes.clone(), has_failed)
    };
    for (index, (node, address)) in owners.into_iter().flatten().enumerate() {
        if index == 0 && skips_owner {
            continue;
        }
        if node == shared.settings.name {
            return Some(shared.team_limits.lend(shared, team, request));
        }
        let reply = request_remotely(&inner.links, address, team, request);
        if let Ok(Some(grant)) = tokio::time::timeout(OWNER_TIMEOUT, reply).await {
            return Some(grant);
        }
        shared.metrics.access.count_owner_lost();
        if index == 0
            && let Some(account) = shared.team_limits.accounts.lock().get_mut(team)
        {
            account.owner_failed_at = Some(shared.clock.now());
        }
    }
    None
}

async fn request_remotely(
    links: &Arc<LinkPool>,
    address: SocketAddr,
    team: &SmolStr,
    request: Request,
) -> Option<Grant> {
    let link = links.get_or_connect(address).await.ok()?;
    let reply = link.request_tokens(team.clone(), request)?.reply().await?;
    Some(Grant {
        tokens: reply.tokens,
        wait: Duration::from_millis(reply.wait_ms.into()),
    })
}
