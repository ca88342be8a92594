//! Roll-outs of versions: orders, how far they have come, and what the fleet has counted.
//!
//! Orders and stages are few and flooded over all links, as they only go on and merge in any
//! order. Counts are summed up on the way to the roots, so that a link carries one sum however
//! many nodes stand behind it. A node without a root judges by what it has itself.

use crate::event::{Action, PlatformRequest};
use crate::link::{Link, LinkKey, Role};
use crate::node::Node;
use config::Rollout;
use config::rollout::{Stage, Tally};
use policy::rollout::{Decision, Evaluator};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use wire::control::{Frame, MAX_ROLLOUTS, Part};

/// Time between two sums of one roll-out: its verdict is some of these old at a root.
const STEP: Duration = Duration::from_millis(250);

/// How long after its end calls keep away from what a completed roll-out has replaced.
const AFTERMATH: Duration = Duration::from_secs(10);

/// Where news of roll-outs come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A neighbour.
    Link(LinkKey),
    /// The platform.
    Platform,
}

/// A roll-out as this node knows it.
#[derive(Debug)]
struct Known {
    rollout: Rollout,
    /// When it was ordered.
    ordered: Instant,
    /// When it was last known to change.
    changed: Instant,
    judge: Evaluator,
    /// Whether its completion is being written; that goes on until it stands.
    is_completing: bool,
    /// What this node's own calls came to.
    own: Tally,
}

/// What a node knows of roll-outs.
#[derive(Debug, Default)]
pub(crate) struct RolloutState {
    known: BTreeMap<SmolStr, Known>,
    step_at: Option<Instant>,
}

impl RolloutState {
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.step_at
    }

    /// Gives all that is known, as far as one frame takes it.
    fn list(&self, now: Instant) -> Vec<Rollout> {
        let all = self.known.values();
        all.map(|known| known.tell(now))
            .take(MAX_ROLLOUTS)
            .collect()
    }
}

impl Known {
    fn new(now: Instant, rollout: &Rollout) -> Self {
        let age = Duration::from_millis(rollout.age_ms.into());
        Self {
            rollout: rollout.clone(),
            ordered: now.checked_sub(age).unwrap_or(now),
            changed: now,
            judge: Evaluator::new(now),
            is_completing: false,
            own: Tally::default(),
        }
    }

    fn tell(&self, now: Instant) -> Rollout {
        let age = now.saturating_duration_since(self.ordered).as_millis();
        Rollout {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            ..self.rollout.clone()
        }
    }

    fn is_active(&self) -> bool {
        !self.rollout.stage.is_final()
    }

    /// Takes in news of the same service; tells whether anything has changed.
    fn merge(&mut self, now: Instant, news: &Rollout) -> bool {
        let known = &self.rollout;
        if is_next(known, news) {
            *self = Self::new(now, news);
            return true;
        }
        if known.target != news.target {
            return false;
        }
        let told = Self::new(now, news);
        self.ordered = self.ordered.min(told.ordered);
        self.rollout.place = known.place.max(news.place);
        if news.stage <= self.rollout.stage {
            return false;
        }
        self.rollout.stage = news.stage;
        self.changed = now;
        true
    }
}

/// Tells whether an order comes after another one of its service.
///
/// One for the same version does when that one has its verdict and the store has not come back
/// from a copy since: an order that is written again after a drill is the former one.
fn is_next(known: &Rollout, news: &Rollout) -> bool {
    let is_later = news.place > known.place;
    if known.target != news.target {
        return is_later;
    }
    let is_repeated = known.stage.is_final() && news.place.era == known.place.era;
    is_later && is_repeated && !news.stage.is_final()
}

impl Node {
    /// Takes roll-outs in, and hands on what is news.
    pub(crate) fn on_rollouts(&mut self, now: Instant, origin: Origin, list: &[Rollout]) {
        let mut news = Vec::new();
        for told in list.iter().take(MAX_ROLLOUTS) {
            let known = self.rollouts.known.get_mut(&told.service);
            let is_news = if let Some(known) = known {
                known.merge(now, told)
            } else {
                let known = Known::new(now, told);
                self.rollouts.known.insert(told.service.clone(), known);
                true
            };
            let Some(known) = self.rollouts.known.get_mut(&told.service) else {
                continue;
            };
            // An order that was away in a drill has taken no report; this one can.
            known.is_completing &= origin != Origin::Platform || told.stage.is_final();
            let stands = known.tell(now);
            if is_news {
                news.push(stands.clone());
            }
            // A verdict that the platform lacks was not written yet, or has been lost.
            let is_untold = match origin {
                Origin::Platform => !told.stage.is_final() && stands.target == told.target,
                Origin::Link(_) => is_news && stands.stage == Stage::Stopped,
            };
            if is_untold && self.lease.is_root() {
                self.report_verdict(stands);
            }
        }
        self.spread_rollouts(now, Some(origin), &news);
    }

    /// Has the verdict written, if there is one.
    fn report_verdict(&mut self, rollout: Rollout) {
        let stage = match rollout.stage {
            Stage::Stopped => Stage::RolledBack,
            stage if stage.is_final() => stage,
            _ => return,
        };
        self.actions
            .push(Action::WriteRollout(Rollout { stage, ..rollout }));
    }

    /// Has a zone's first root write all verdicts again, which the platform may have lost.
    pub(crate) fn rewrite_outcomes(&mut self, now: Instant) {
        if !self.lease.is_root() || !self.lease.has_lowest_slot(&self.settings.local) {
            return;
        }
        for rollout in self.rollouts.list(now) {
            self.report_verdict(rollout);
        }
    }

    fn spread_rollouts(&mut self, now: Instant, origin: Option<Origin>, news: &[Rollout]) {
        if news.is_empty() {
            return;
        }
        for link in self.find_links(Link::is_established) {
            if origin != Some(Origin::Link(link)) {
                self.send(link, Frame::Rollouts(news.to_vec()));
            }
        }
        self.rollouts.step_at.get_or_insert(now + STEP);
        self.install_rollouts(now);
    }

    /// Has calls follow the roll-outs as they stand.
    fn install_rollouts(&mut self, now: Instant) {
        let known = self.rollouts.known.values();
        let followed = known.filter(|known| {
            let is_over = now >= known.changed + AFTERMATH;
            known.rollout.stage != Stage::Completed || !is_over
        });
        let list = followed.map(|known| known.tell(now)).collect();
        self.actions.push(Action::ApplyRollouts(list));
    }

    /// Tells a new neighbour all that is known.
    pub(crate) fn send_rollouts(&mut self, now: Instant, key: LinkKey) {
        let list = self.rollouts.list(now);
        if !list.is_empty() {
            self.send(key, Frame::Rollouts(list));
        }
    }

    /// Takes in what the own outbound proxy has counted.
    pub(crate) fn on_local_tallies(&mut self, tallies: Vec<(SmolStr, Tally)>) {
        for (service, tally) in tallies {
            if let Some(known) = self.rollouts.known.get_mut(&service) {
                known.own = tally;
            }
        }
    }

    /// Takes in what a neighbour's part of the fleet has counted.
    pub(crate) fn on_neighbour_tallies(&mut self, key: LinkKey, parts: Vec<Part>) {
        if let Some(link) = self.links.get_mut(&key) {
            link.tallies = parts;
        }
    }

    /// Asks the platform what became of roll-outs that go on, for a node that hears from no root.
    pub(crate) fn query_rollouts(&mut self) {
        if self.rollouts.known.values().any(Known::is_active) {
            self.actions
                .push(Action::QueryPlatform(PlatformRequest::Rollouts));
        }
    }

    pub(crate) fn step_rollouts(&mut self, now: Instant) {
        if self.rollouts.step_at.is_none_or(|at| now < at) {
            return;
        }
        let is_kept = |known: &Known| known.is_active() || now < known.changed + 2 * AFTERMATH;
        let is_on = self.rollouts.known.values().any(is_kept);
        self.rollouts.step_at = is_on.then_some(now + STEP);
        let known = self.rollouts.known.iter();
        let active = known.filter(|(_, known)| known.is_active());
        let active: Vec<_> = active.map(|(service, _)| service.clone()).collect();
        if active.is_empty() {
            self.install_rollouts(now);
            return;
        }
        for service in &active {
            self.judge_rollout(now, service);
        }
        self.tell_parts(&active);
    }

    fn judge_rollout(&mut self, now: Instant, service: &SmolStr) {
        let is_root = self.lease.is_root();
        if !is_root && self.has_root() {
            return;
        }
        let total = if is_root {
            self.fleet_tally(service)
        } else {
            self.subtree_tally(service)
        };
        let leads = is_root && self.lease.has_lowest_slot(&self.settings.local);
        let Some(known) = self.rollouts.known.get_mut(service) else {
            return;
        };
        known.judge.observe(now, &total);
        let stands = known.tell(now);
        let next = match known.judge.decide(now, &stands) {
            Decision::Stop(reason) => {
                self.actions.push(Action::RolloutStopped {
                    rollout: stands.clone(),
                    reason,
                    tally: total,
                });
                Stage::Stopped
            }
            Decision::Advance(stage) if leads => stage,
            Decision::Advance(_) | Decision::Remain => return,
        };
        if next == Stage::Completed {
            // It takes effect once it is written. Asked again at each step, a slow platform
            // would never be waited for.
            if std::mem::replace(&mut known.is_completing, true) {
                return;
            }
            let report = Rollout {
                stage: next,
                ..stands
            };
            self.actions.push(Action::WriteRollout(report));
            return;
        }
        known.rollout.stage = next;
        known.changed = now;
        let news = known.tell(now);
        if is_root {
            self.report_verdict(news.clone());
        }
        self.spread_rollouts(now, None, &[news]);
    }

    /// Tells parents and other roots what this part of the fleet has counted.
    fn tell_parts(&mut self, services: &[SmolStr]) {
        for key in self.find_links(|link| matches!(link.role, Role::Parent | Role::RootPeer)) {
            let Some(link) = self.links.get(&key) else {
                continue;
            };
            let zone = link.peer.as_ref().map(|peer| &peer.zone);
            let is_far = link.role == Role::RootPeer && zone != Some(&self.settings.local.zone);
            let sum = |service: &SmolStr| {
                if is_far {
                    self.zone_tally(service)
                } else {
                    self.subtree_tally(service)
                }
            };
            let parts = services.iter().filter_map(|service| {
                let known = self.rollouts.known.get(service)?;
                Some(Part {
                    service: service.clone(),
                    target: known.rollout.target.clone(),
                    tally: sum(service),
                })
            });
            let parts = parts.collect::<Vec<_>>();
            if parts != link.sent_tallies {
                self.send(key, Frame::Tallies(parts.clone()));
                if let Some(link) = self.links.get_mut(&key) {
                    link.sent_tallies = parts;
                }
            }
        }
    }

    fn sum_parts<F>(&self, service: &SmolStr, is_wanted: F) -> Tally
    where
        F: Fn(&Link) -> bool,
    {
        let mut sum = Tally::default();
        for link in self.links.values().filter(|link| is_wanted(link)) {
            if let Some(part) = self.find_part(link, service) {
                sum.add(&part.tally);
            }
        }
        sum
    }

    fn find_part<'a>(&self, link: &'a Link, service: &SmolStr) -> Option<&'a Part> {
        let target = &self.rollouts.known.get(service)?.rollout.target;
        let mut parts = link.tallies.iter();
        parts.find(|part| part.service == *service && part.target == *target)
    }

    /// Sums up this node and all below it.
    fn subtree_tally(&self, service: &SmolStr) -> Tally {
        let mut sum = self.sum_parts(service, |link| link.role == Role::Child);
        if let Some(known) = self.rollouts.known.get(service) {
            sum.add(&known.own);
        }
        sum
    }

    /// Sums up the own zone, on a root.
    fn zone_tally(&self, service: &SmolStr) -> Tally {
        let zone = &self.settings.local.zone;
        let mut sum = self.sum_parts(service, |link| {
            let peer = link.peer.as_ref();
            link.role == Role::RootPeer && peer.is_some_and(|peer| peer.zone == *zone)
        });
        sum.add(&self.subtree_tally(service));
        sum
    }

    /// Sums up all zones, on a root; of several that tell of one zone the fullest sum counts.
    fn fleet_tally(&self, service: &SmolStr) -> Tally {
        let own_zone = &self.settings.local.zone;
        let mut zones: BTreeMap<&SmolStr, &Tally> = BTreeMap::new();
        for link in self
            .links
            .values()
            .filter(|link| link.role == Role::RootPeer)
        {
            let (Some(peer), Some(part)) = (&link.peer, self.find_part(link, service)) else {
                continue;
            };
            let known = zones.get(&peer.zone).map_or(0, |tally| tally.tried());
            if peer.zone != *own_zone && part.tally.tried() >= known {
                zones.insert(&peer.zone, &part.tally);
            }
        }
        let mut sum = self.zone_tally(service);
        for part in zones.into_values() {
            sum.add(part);
        }
        sum
    }
}
