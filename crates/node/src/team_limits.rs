//! Limits on the calls of teams: the tokens of this node, and those that it lends to others
//! ([`ledgers`]).

mod ledgers;

pub(crate) use ledgers::exchange;

use crate::inbound::run::Refused;
use crate::millis::whole_ms;
use crate::outbound::Inner;
use crate::outbound::link::LinkPool;
use crate::shared::Shared;
use call::owner::pick_owners;
use clock::Clock;
use config::{Endpoint, State, View, team};
use ledgers::Ledgers;
use parking_lot::Mutex;
use policy::team_limit::{Cause, Decision, Grant, Limit, Request, Wallet};
use settings::node::{Quota, Settings, Share};
use smol_str::SmolStr;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use wire::call::{Reason, Shortage, TokenGrant, TokenRequest};

/// Longest wait for the reply of a team's owner, including the connection to it. Within a region
/// the reply takes some milliseconds, and tens of them from a VM with a tenth of a core.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an owner that did not reply is not asked.
const FAILED_OWNER_PAUSE: Duration = Duration::from_secs(1);

/// Window in which calls are counted if the settings name none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(5);

/// Time for which the highest number of nodes is used after it was last seen. A node that is cut
/// off sees few others and would otherwise take too large a part of the burst.
const NODE_COUNT_MEMORY: Duration = Duration::from_mins(1);

/// Tokens of teams on this node, and the ledgers of the teams that it owns.
#[derive(Debug)]
pub struct TeamLimits {
    accounts: Mutex<HashMap<SmolStr, Account>>,
    ledgers: Ledgers,
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
    /// Whether a task waits for the end of a pause, to request tokens for calls that wait.
    is_pausing: bool,
}

/// The nodes that lend tokens of a team, the owner first, as found in a view.
#[derive(Debug, Clone, Default)]
struct Owners {
    view: Weak<View>,
    nodes: [Option<(SmolStr, SocketAddr)>; 2],
}

impl TeamLimits {
    /// Creates the limits of the process `id`, which starts at `now`.
    #[must_use]
    pub fn new(id: u64, now: Instant) -> Self {
        Self {
            accounts: Mutex::default(),
            ledgers: Ledgers::new(id),
            node_count: Mutex::new((1, now)),
        }
    }

    /// Answers another node's request for tokens, or another lender's reports.
    pub(crate) fn answer<C>(&self, shared: &Shared<C>, request: TokenRequest) -> TokenGrant
    where
        C: Clock,
    {
        self.ledgers.answer(shared, request)
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

    /// Returns why a team's owner last had too few tokens.
    fn shortage(&self, team: &str) -> Cause {
        let accounts = self.accounts.lock();
        let account = accounts.get(team);
        account.map_or(Cause::Window, |account| account.wallet.cause())
    }
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

impl Owners {
    /// Finds the owners anew if the view has changed; returns whether they are others then.
    fn update(&mut self, view: &Arc<View>, team: &str) -> bool {
        if std::ptr::eq(self.view.as_ptr(), Arc::as_ptr(view)) {
            return false;
        }
        let nodes = find_owners(view, team);
        let has_changed = nodes != self.nodes;
        *self = Self {
            view: Arc::downgrade(view),
            nodes,
        };
        has_changed
    }
}

/// Finds the owner of a team's limit, and its deputy: the node of another zone that is next in
/// rank, as the loss of a zone must not stop all calls of a team.
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
    let pick = |endpoints: &[&Arc<Endpoint>]| {
        let names = endpoints.iter().map(|endpoint| endpoint.node.as_str());
        pick_owners(shard, names)
    };
    let [owner, second] = pick(&serving);
    let Some(owner) = owner.map(|index| serving[index]) else {
        return [None, None];
    };
    let elsewhere = serving.iter().copied();
    let elsewhere: Vec<_> = elsewhere
        .filter(|endpoint| endpoint.zone != owner.zone)
        .collect();
    let deputy = pick(&elsewhere)[0].map(|index| elsewhere[index]);
    let deputy = deputy.or(second.map(|index| serving[index]));
    [Some(owner), deputy].map(|lender| {
        let endpoint = lender?;
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
    // Without a request, the call may wait out a pause.
    if request.is_some() || decision == Decision::Wait {
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
            let cause = limits.shortage(&team.name);
            let was_asked = decision == Decision::Wait;
            let access = &shared.metrics.access;
            access.count_over_limit(&team.name);
            access.count_cause(cause_name(cause), was_asked);
        }
        Err(_) => {}
    }
    outcome
}

fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::Window => "window",
        Cause::Spread => "spread",
        Cause::Share => "share",
        Cause::Unavailable => "unavailable",
    }
}

fn over_limit(wait: Duration) -> Refused {
    Refused::not_run(Reason::OverLimit, whole_ms(wait).max(1))
}

/// Refuses a call whose team's limit can't be checked.
fn no_owner() -> Refused {
    Refused::not_run(Reason::Unconfirmed, 0)
}

/// Borrows tokens of a team from its owner, for as long as calls wait or few are left.
async fn borrow<C>(inner: Arc<Inner<C>>, team: SmolStr, request: Option<Request>)
where
    C: Clock,
{
    let mut next = request;
    loop {
        let Some(request) = next else {
            let Some(at) = start_pause(&inner.shared, &team) else {
                return;
            };
            tokio::time::sleep_until(at.into()).await;
            let mut accounts = inner.shared.team_limits.accounts.lock();
            let Some(account) = accounts.get_mut(&team) else {
                return;
            };
            account.is_pausing = false;
            next = account.wallet.next_request(inner.shared.clock.now());
            continue;
        };
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

/// Returns the token of a call that has not run and never will; the call began at `lent_at`.
pub(crate) fn give_back<C>(inner: &Arc<Inner<C>>, team: &team::Entry, lent_at: Instant)
where
    C: Clock,
{
    let now = inner.shared.clock.now();
    let request = {
        let mut accounts = inner.shared.team_limits.accounts.lock();
        accounts.get_mut(&team.name).and_then(|account| {
            account.wallet.give_back(lent_at);
            account.wallet.next_request(now)
        })
    };
    if request.is_some() {
        tokio::spawn(borrow(Arc::clone(inner), team.name.clone(), request));
    }
}

/// Returns when to request tokens for calls that wait out a pause, unless another task does.
fn start_pause<C>(shared: &Shared<C>, team: &str) -> Option<Instant>
where
    C: Clock,
{
    let mut accounts = shared.team_limits.accounts.lock();
    let account = accounts.get_mut(team)?;
    let at = account.wallet.resume_at()?;
    (!std::mem::replace(&mut account.is_pausing, true)).then_some(at)
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
            self.wallet.give_back(now);
        }
        if self.wallet.waiting() == 0 {
            self.refuse_waiting(over_limit(grant.wait));
        }
        // Callers that have gone need no tokens.
        while self.wallet.waiting() as usize > self.waiting.len() {
            self.wallet.cancel();
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
        account.owners.update(&view, team);
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
            return Some(shared.team_limits.ledgers.lend(shared, team, request));
        }
        let (lender, returned) = (request.lender, request.returned);
        let request = TokenRequest {
            serial: 0,
            team: team.clone(),
            needed: request.needed,
            advance: request.advance,
            lender: lender.map(|lender| (lender.id, whole_ms(lender.age))),
            reports: None,
            returned: (returned.tokens, whole_ms(returned.age) + 1),
        };
        let reply = request_remotely(&inner.links, address, request);
        if let Ok(Some(grant)) = tokio::time::timeout(OWNER_TIMEOUT, reply).await {
            return Some(Grant {
                tokens: grant.tokens,
                wait: Duration::from_millis(grant.wait_ms.into()),
                lender: grant.lender,
                cause: match grant.shortage {
                    Shortage::Window => Cause::Window,
                    Shortage::Spread => Cause::Spread,
                    Shortage::Share => Cause::Share,
                    Shortage::Unavailable => Cause::Unavailable,
                },
            });
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
    request: TokenRequest,
) -> Option<TokenGrant> {
    let link = links.get_or_connect(address).await.ok()?;
    link.request_tokens(request)?.reply().await
}
