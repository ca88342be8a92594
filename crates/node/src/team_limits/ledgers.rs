//! The tokens of teams' limits that this node lends, as the owner of a team or in the owner's
//! place (`policy::team_limit`).
//!
//! The owner of a team is found by rendezvous hashing over the serving endpoints. While it does not
//! reply, the next node, the *deputy*, lends in its place, at a part of the limit, and only while it
//! is in touch with the platform: on both sides of a cut there may be a node that takes itself for
//! the owner.
//!
//! Owner and deputy exchange reports of what was lent shortly after each lending. As the deputy is
//! the node that becomes the owner when the owner leaves, and the former owner is the deputy of one
//! that joins, a new owner knows what was lent before. One that has received no report asks first.

use crate::millis::whole_ms;
use crate::outbound::Inner;
use crate::shared::Shared;
use crate::team_limits::{Owners, limit_of, request_remotely};
use clock::Clock;
use config::View;
use parking_lot::Mutex;
use policy::lending::Report;
use policy::team_limit::{Cause, Grant, Ledger, Lender, Limit, Request, Returned};
use smol_str::SmolStr;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use wire::call::{LenderReport, Shortage, TokenGrant, TokenRequest};

/// Interval between two exchanges of reports about a team: what a lender does not know of another
/// is what is lent in this time.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a node that lends nothing looks whether its outbound proxy has ended.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the reply to reports.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a reply of the deputy after which the owner lends in part only: the deputy may be
/// beyond a cut and lend in its place.
const DEPUTY_TIMEOUT: Duration = Duration::from_millis(500);

/// Part of a team's limit that is lent by a deputy, or by an owner that may be cut off.
const SHARE_IN_CUT: f64 = 0.5;

/// Wait after which a node asks again whose owner can't lend: it does not know the team, or takes
/// another node for the owner. Calls are held for as long, and views hardly differ for longer.
const UNAVAILABLE_WAIT: Duration = Duration::from_millis(50);

/// The ledgers of the teams that this node lends tokens of.
#[derive(Debug)]
pub(super) struct Ledgers {
    /// Identifies this process to other lenders.
    id: u64,
    teams: Mutex<HashMap<SmolStr, Team>>,
    /// Wakes the exchange of reports before its interval is over.
    wake: Notify,
}

/// One team's ledger.
#[derive(Debug)]
struct Team {
    ledger: Ledger,
    owners: Owners,
    window: Duration,
    /// When tokens were last lent.
    lent_at: Option<Instant>,
    /// Whether other lenders are to be sent a report.
    is_due: bool,
    /// Whether reports are on the way.
    is_exchanging: bool,
    /// Since when the other lender has not replied.
    silent_since: Option<Instant>,
    /// Whether this node was the owner when it was last in touch.
    is_confirmed_owner: bool,
}

impl Ledgers {
    pub(super) fn new(id: u64) -> Self {
        Self {
            id,
            teams: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Returns a reply that lends nothing.
    fn unavailable(&self) -> Grant {
        Grant {
            tokens: 0,
            wait: UNAVAILABLE_WAIT,
            lender: self.id,
            cause: Cause::Unavailable,
        }
    }

    /// Lends tokens of a team to a node.
    pub(super) fn lend<C>(&self, shared: &Shared<C>, name: &str, request: Request) -> Grant
    where
        C: Clock,
    {
        let now = shared.clock.now();
        let view = shared.view.load_full();
        let Some(entry) = view.teams().find_by_name(name) else {
            return self.unavailable();
        };
        let Some(limit) = limit_of(entry, &shared.settings) else {
            return Grant {
                tokens: request.needed,
                wait: Duration::ZERO,
                lender: self.id,
                cause: Cause::Window,
            };
        };
        let nodes = shared.team_limits.count_nodes(now, &view);
        let touch = Touch::of(shared);
        let mut teams = self.teams.lock();
        let team = teams
            .entry(name.into())
            .or_insert_with(|| Team::new(now, self.id, limit, nodes));
        team.update(now, &view, name, limit, nodes);
        let Some(share) = team.share(now, &shared.settings.name, touch) else {
            return self.unavailable();
        };
        if !team.ledger.is_open() && team.other_lenders(&shared.settings.name).next().is_none() {
            team.ledger.open();
        }
        team.ledger.set_share(now, share);
        let grant = team.ledger.lend(now, request);
        let was_idle = !team.has_lent_lately(now);
        if grant.tokens > 0 {
            team.lent_at = Some(now);
        }
        if grant.tokens > 0 || !team.ledger.is_open() {
            team.is_due = true;
        }
        if was_idle {
            self.wake.notify_one();
        }
        shared.metrics.access.count_lent(grant.tokens);
        grant
    }

    /// Takes the reports of another lender; returns those of this node.
    fn take_reports<C>(
        &self,
        shared: &Shared<C>,
        name: &str,
        reports: Vec<LenderReport>,
    ) -> Vec<LenderReport>
    where
        C: Clock,
    {
        let now = shared.clock.now();
        let view = shared.view.load_full();
        let entry = view.teams().find_by_name(name);
        let Some(limit) = entry.and_then(|entry| limit_of(entry, &shared.settings)) else {
            return Vec::new();
        };
        let nodes = shared.team_limits.count_nodes(now, &view);
        let mut teams = self.teams.lock();
        let team = teams
            .entry(name.into())
            .or_insert_with(|| Team::new(now, self.id, limit, nodes));
        if !reports.is_empty() {
            team.ledger.open();
        }
        team.ledger.merge(now, reports.into_iter().map(from_wire));
        to_wire(team.ledger.reports(now))
    }

    /// Returns the reports that are to be sent now, with their receivers. Ledgers whose tokens have
    /// all left the window have none.
    fn due<C>(&self, shared: &Shared<C>) -> Vec<Exchange>
    where
        C: Clock,
    {
        let now = shared.clock.now();
        let view = shared.view.load_full();
        let mut teams = self.teams.lock();
        let mut exchanges = Vec::new();
        for (name, team) in teams.iter_mut() {
            let has_moved = team.has_lent_lately(now) && team.owners.update(&view, name);
            if has_moved {
                team.silent_since = None;
            }
            if !(team.is_due || has_moved) || team.is_exchanging {
                continue;
            }
            team.is_due = false;
            let receivers: Vec<_> = team.other_lenders(&shared.settings.name).collect();
            if receivers.is_empty() {
                team.ledger.open();
                continue;
            }
            team.is_exchanging = true;
            exchanges.push(Exchange {
                team: name.clone(),
                receivers,
                reports: to_wire(team.ledger.reports(now)),
            });
        }
        exchanges
    }

    /// Records the replies of one exchange, `None` for each lender that did not reply.
    fn finish(&self, now: Instant, name: &str, replies: Vec<Option<Vec<LenderReport>>>) {
        let mut teams = self.teams.lock();
        let Some(team) = teams.get_mut(name) else {
            return;
        };
        team.is_exchanging = false;
        // What lenders that do not reply have lent is known from the nodes that ask, if at all.
        team.ledger.open();
        if replies.iter().all(Option::is_some) {
            team.silent_since = None;
        } else {
            team.silent_since.get_or_insert(now);
            team.is_due |= team.has_lent_lately(now);
        }
        let reports = replies.into_iter().flatten().flatten();
        team.ledger.merge(now, reports.map(from_wire));
    }

    fn has_lent_lately(&self, now: Instant) -> bool {
        let teams = self.teams.lock();
        teams.values().any(|team| team.has_lent_lately(now))
    }

    /// Answers a request for tokens, or another lender's reports.
    pub(super) fn answer<C>(&self, shared: &Shared<C>, request: TokenRequest) -> TokenGrant
    where
        C: Clock,
    {
        if let Some(reports) = request.reports {
            return TokenGrant {
                serial: request.serial,
                tokens: 0,
                wait_ms: 0,
                lender: self.id,
                reports: self.take_reports(shared, &request.team, reports),
                shortage: Shortage::Window,
            };
        }
        let lender = request.lender.map(|(id, age_ms)| Lender {
            id,
            age: Duration::from_millis(age_ms.into()),
        });
        let wanted = Request {
            needed: request.needed,
            advance: request.advance,
            lender,
            returned: Returned {
                tokens: request.returned.0,
                age: Duration::from_millis(request.returned.1.into()),
            },
        };
        let grant = self.lend(shared, &request.team, wanted);
        TokenGrant {
            serial: request.serial,
            tokens: grant.tokens,
            wait_ms: whole_ms(grant.wait),
            lender: grant.lender,
            reports: Vec::new(),
            shortage: match grant.cause {
                Cause::Window => Shortage::Window,
                Cause::Spread => Shortage::Spread,
                Cause::Share => Shortage::Share,
                Cause::Unavailable => Shortage::Unavailable,
            },
        }
    }
}

impl Team {
    fn new(now: Instant, id: u64, limit: Limit, nodes: usize) -> Self {
        Self {
            ledger: Ledger::new(now, id, limit, nodes),
            owners: Owners::default(),
            window: limit.window,
            lent_at: None,
            is_due: false,
            is_exchanging: false,
            silent_since: None,
            is_confirmed_owner: false,
        }
    }

    fn update(&mut self, now: Instant, view: &Arc<View>, name: &str, limit: Limit, nodes: usize) {
        self.window = limit.window;
        self.ledger.set_limit(now, limit, nodes);
        if self.owners.update(view, name) {
            self.silent_since = None;
            self.is_due |= self.lent_at.is_some();
        }
    }

    /// Returns the part of the limit that this node may lend, if any.
    fn share(&mut self, now: Instant, node: &str, touch: Touch) -> Option<f64> {
        let lenders = self.owners.nodes.iter();
        let names = lenders.map(|lender| lender.as_ref().map(|(name, _)| name.as_str()));
        let rank = names.into_iter().position(|name| name == Some(node));
        let is_silent = |since| now.saturating_duration_since(since) >= DEPUTY_TIMEOUT;
        let is_deputy_silent = self.silent_since.is_some_and(is_silent);
        if rank != Some(0) {
            self.is_confirmed_owner = false;
        } else if touch != Touch::Lost {
            self.is_confirmed_owner = true;
        }
        match (rank, touch) {
            (Some(0), Touch::Lost) => {
                (self.is_confirmed_owner && !is_deputy_silent).then_some(SHARE_IN_CUT)
            }
            (Some(0), _) => Some(if is_deputy_silent { SHARE_IN_CUT } else { 1.0 }),
            (Some(_), Touch::Confirmed) => Some(SHARE_IN_CUT),
            _ => None,
        }
    }

    fn has_lent_lately(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= self.window;
        self.lent_at.is_some_and(is_recent)
    }

    fn other_lenders<'a>(&'a self, node: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let lenders = self.owners.nodes.iter().flatten();
        let others = lenders.filter(move |(name, _)| name != node);
        others.map(|(_, address)| *address)
    }
}

/// Whether this node's configuration was confirmed lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Touch {
    Confirmed,
    Lost,
    /// No bound on the age of a confirmation is set.
    Unknown,
}

impl Touch {
    fn of<C>(shared: &Shared<C>) -> Self
    where
        C: Clock,
    {
        let settings = &shared.settings;
        let Some(max_age) = settings.revoke.or(settings.team_window) else {
            return Self::Unknown;
        };
        let age = shared.freshness.age(&shared.clock);
        if age.is_some_and(|age| age < max_age / 2) {
            Self::Confirmed
        } else {
            Self::Lost
        }
    }
}

/// Reports about one team for other lenders.
#[derive(Debug)]
struct Exchange {
    team: SmolStr,
    receivers: Vec<SocketAddr>,
    reports: Vec<LenderReport>,
}

impl Exchange {
    async fn run<C>(self, inner: Arc<Inner<C>>)
    where
        C: Clock,
    {
        let mut replies = Vec::new();
        for address in self.receivers {
            let request = TokenRequest {
                serial: 0,
                team: self.team.clone(),
                needed: 0,
                advance: 0,
                lender: None,
                reports: Some(self.reports.clone()),
                returned: (0, 0),
            };
            let reply = request_remotely(&inner.links, address, request);
            let reply = tokio::time::timeout(EXCHANGE_TIMEOUT, reply).await;
            replies.push(reply.ok().flatten().map(|grant| grant.reports));
        }
        let shared = &inner.shared;
        let ledgers = &shared.team_limits.ledgers;
        ledgers.finish(shared.clock.now(), &self.team, replies);
    }
}

/// Sends reports to other lenders until the outbound proxy ends.
pub(crate) async fn exchange<C>(inner: Weak<Inner<C>>)
where
    C: Clock,
{
    let Some(shared) = inner.upgrade().map(|inner| Arc::clone(&inner.shared)) else {
        return;
    };
    let ledgers = &shared.team_limits.ledgers;
    loop {
        let pause = if ledgers.has_lent_lately(shared.clock.now()) {
            EXCHANGE_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        drop(tokio::time::timeout(pause, ledgers.wake.notified()).await);
        let Some(inner) = inner.upgrade() else {
            return;
        };
        for exchange in ledgers.due(&shared) {
            tokio::spawn(exchange.run(Arc::clone(&inner)));
        }
    }
}

fn to_wire(reports: Vec<Report>) -> Vec<LenderReport> {
    let reports = reports.into_iter();
    let convert = |report: Report| LenderReport {
        lender: report.lender,
        total: report.total,
        slots: report.slots,
    };
    reports.map(convert).collect()
}

fn from_wire(report: LenderReport) -> Report {
    Report {
        lender: report.lender,
        total: report.total,
        slots: report.slots,
    }
}
