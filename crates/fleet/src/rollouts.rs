//! Roll-outs of versions: orders, stages, and the calls counted across the fleet.
//!
//! Orders and stages are few and are flooded over all links; stages only advance, so updates can be
//! merged in any order. Counts of calls are summed up on the way to the roots, so that a link
//! carries one sum, however many nodes the sum covers. A node without a path to a root decides by
//! the counts of its own subtree.

use crate::event::{Action, PlatformRequest};
use crate::link::{Link, LinkKey, Role};
use crate::node::Node;
use config::Rollout;
use config::rollout::{Stage, Tally};
use policy::rollout::{Decision, Evaluator};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use wire::control::{Frame, MAX_ROLLOUTS, RolloutTally};

/// Interval at which a roll-out is evaluated and its counts are sent to neighbours.
///
/// The counts that a root decides by are a few intervals old.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a completed roll-out still applies, so that calls avoid the version that was
/// replaced.
const COMPLETED_RETENTION: Duration = Duration::from_secs(10);

/// Where updates of roll-outs come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A neighbour.
    Link(LinkKey),
    /// The platform.
    Platform,
}

/// A roll-out as this node knows it.
#[derive(Debug)]
struct KnownRollout {
    rollout: Rollout,
    /// When the roll-out was ordered.
    ordered_at: Instant,
    /// When the stage of the roll-out last changed, as far as this node knows.
    changed_at: Instant,
    evaluator: Evaluator,
    /// Whether the completion of the roll-out is being written to the platform; the write is
    /// retried until it succeeds.
    is_completing: bool,
    /// Counts of this node's own calls.
    local_tally: Tally,
}

/// The roll-outs that a node knows of.
#[derive(Debug, Default)]
pub(crate) struct RolloutState {
    known: BTreeMap<SmolStr, KnownRollout>,
    step_at: Option<Instant>,
}

impl RolloutState {
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.step_at
    }

    /// Returns all known roll-outs, up to the limit of one frame.
    fn list(&self, now: Instant) -> Vec<Rollout> {
        let all = self.known.values();
        all.map(|known| known.to_rollout(now))
            .take(MAX_ROLLOUTS)
            .collect()
    }
}

impl KnownRollout {
    fn new(now: Instant, rollout: &Rollout) -> Self {
        let age = Duration::from_millis(rollout.age_ms.into());
        Self {
            rollout: rollout.clone(),
            ordered_at: now.checked_sub(age).unwrap_or(now),
            changed_at: now,
            evaluator: Evaluator::new(now),
            is_completing: false,
            local_tally: Tally::default(),
        }
    }

    fn to_rollout(&self, now: Instant) -> Rollout {
        let age = now.saturating_duration_since(self.ordered_at).as_millis();
        Rollout {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            ..self.rollout.clone()
        }
    }

    fn is_active(&self) -> bool {
        !self.rollout.stage.is_final()
    }

    /// Merges an update for the same service; returns whether anything has changed.
    fn merge(&mut self, now: Instant, update: &Rollout) -> bool {
        let known = &self.rollout;
        if is_newer_order(known, update) {
            *self = Self::new(now, update);
            return true;
        }
        if known.target != update.target {
            return false;
        }
        let new_entry = Self::new(now, update);
        self.ordered_at = self.ordered_at.min(new_entry.ordered_at);
        self.rollout.order = known.order.max(update.order);
        if update.stage <= self.rollout.stage {
            return false;
        }
        self.rollout.stage = update.stage;
        self.changed_at = now;
        true
    }
}

/// Returns whether `update` is a newer order for the service than `known`.
///
/// An order for the same version is newer only if the known order has ended and the platform's
/// store has not been restored from a backup since: an order written again after a restore is the
/// same order.
fn is_newer_order(known: &Rollout, update: &Rollout) -> bool {
    let is_later = update.order > known.order;
    if known.target != update.target {
        return is_later;
    }
    let is_repeated = known.stage.is_final() && update.order.era == known.order.era;
    is_later && is_repeated && !update.stage.is_final()
}

impl Node {
    /// Merges roll-outs and forwards those that have changed.
    pub(crate) fn on_rollouts(&mut self, now: Instant, origin: Origin, list: &[Rollout]) {
        let mut changed = Vec::new();
        for update in list.iter().take(MAX_ROLLOUTS) {
            let known = self.rollouts.known.get_mut(&update.service);
            let is_changed = if let Some(known) = known {
                known.merge(now, update)
            } else {
                let known = KnownRollout::new(now, update);
                self.rollouts.known.insert(update.service.clone(), known);
                true
            };
            let Some(known) = self.rollouts.known.get_mut(&update.service) else {
                continue;
            };
            // If the platform shows a stage that is not final, the completion must be written
            // again: an earlier write was not stored if the order was missing after a restore.
            known.is_completing &= origin != Origin::Platform || update.stage.is_final();
            let current = known.to_rollout(now);
            if is_changed {
                changed.push(current.clone());
            }
            // Whether the platform lacks the outcome, which was not written yet or has been lost.
            let is_missing = match origin {
                Origin::Platform => !update.stage.is_final() && current.target == update.target,
                Origin::Link(_) => is_changed && current.stage == Stage::Stopped,
            };
            if is_missing && self.lease.is_root() {
                self.write_outcome(current);
            }
        }
        self.flood_rollouts(now, Some(origin), &changed);
    }

    /// Writes the outcome of a roll-out to the platform, if the roll-out has an outcome already.
    fn write_outcome(&mut self, rollout: Rollout) {
        let stage = match rollout.stage {
            Stage::Stopped => Stage::RolledBack,
            stage if stage.is_final() => stage,
            _ => return,
        };
        self.actions
            .push(Action::WriteRollout(Rollout { stage, ..rollout }));
    }

    /// Writes all outcomes again, as the platform may have lost them.
    ///
    /// Does nothing on nodes other than the root with the lowest slot of its zone.
    pub(crate) fn rewrite_outcomes(&mut self, now: Instant) {
        if !self.lease.is_root() || !self.lease.has_lowest_slot(&self.settings.local) {
            return;
        }
        for rollout in self.rollouts.list(now) {
            self.write_outcome(rollout);
        }
    }

    fn flood_rollouts(&mut self, now: Instant, origin: Option<Origin>, changed: &[Rollout]) {
        if changed.is_empty() {
            return;
        }
        for link in self.find_links(Link::is_established) {
            if origin != Some(Origin::Link(link)) {
                self.send(link, Frame::Rollouts(changed.to_vec()));
            }
        }
        self.rollouts.step_at.get_or_insert(now + STEP_INTERVAL);
        self.apply_rollouts(now);
    }

    /// Applies all known roll-outs to calls, each in its current stage.
    fn apply_rollouts(&mut self, now: Instant) {
        let known = self.rollouts.known.values();
        let followed = known.filter(|known| {
            let is_past_retention = now >= known.changed_at + COMPLETED_RETENTION;
            known.rollout.stage != Stage::Completed || !is_past_retention
        });
        let list = followed.map(|known| known.to_rollout(now)).collect();
        self.actions.push(Action::ApplyRollouts(list));
    }

    /// Sends all known roll-outs to a new neighbour.
    pub(crate) fn send_rollouts(&mut self, now: Instant, key: LinkKey) {
        let list = self.rollouts.list(now);
        if !list.is_empty() {
            self.send(key, Frame::Rollouts(list));
        }
    }

    /// Records the counts of this node's outbound proxy.
    pub(crate) fn on_local_tallies(&mut self, tallies: Vec<(SmolStr, Tally)>) {
        for (service, tally) in tallies {
            if let Some(known) = self.rollouts.known.get_mut(&service) {
                known.local_tally = tally;
            }
        }
    }

    /// Records the counts of a neighbour's part of the fleet.
    pub(crate) fn on_neighbour_tallies(&mut self, key: LinkKey, tallies: Vec<RolloutTally>) {
        if let Some(link) = self.links.get_mut(&key) {
            link.tallies = tallies;
        }
    }

    /// Queries the platform for roll-outs, also for orders that this node has not heard of. Called
    /// on a node that no reading of the platform has reached in time.
    pub(crate) fn query_rollouts(&mut self) {
        if self.settings.follows_rollouts {
            self.actions
                .push(Action::QueryPlatform(PlatformRequest::Rollouts));
        }
    }

    pub(crate) fn step_rollouts(&mut self, now: Instant) {
        if self.rollouts.step_at.is_none_or(|at| now < at) {
            return;
        }
        let is_kept = |known: &KnownRollout| {
            known.is_active() || now < known.changed_at + 2 * COMPLETED_RETENTION
        };
        let is_needed = self.rollouts.known.values().any(is_kept);
        self.rollouts.step_at = is_needed.then_some(now + STEP_INTERVAL);
        let known = self.rollouts.known.iter();
        let active = known.filter(|(_, known)| known.is_active());
        let active: Vec<_> = active.map(|(service, _)| service.clone()).collect();
        if active.is_empty() {
            self.apply_rollouts(now);
            return;
        }
        for service in &active {
            self.evaluate_rollout(now, service);
        }
        self.send_tallies(&active);
    }

    fn evaluate_rollout(&mut self, now: Instant, service: &SmolStr) {
        let is_root = self.lease.is_root();
        if !is_root && self.has_root() {
            return;
        }
        let total = if is_root {
            self.fleet_tally(service)
        } else {
            self.subtree_tally(service)
        };
        let is_leader = is_root && self.lease.has_lowest_slot(&self.settings.local);
        let Some(known) = self.rollouts.known.get_mut(service) else {
            return;
        };
        known.evaluator.observe(now, &total);
        let current = known.to_rollout(now);
        let next = match known.evaluator.decide(now, &current) {
            Decision::Stop(reason) => {
                self.actions.push(Action::RolloutStopped {
                    rollout: current.clone(),
                    reason,
                    tally: total,
                });
                Stage::Stopped
            }
            Decision::Advance(stage) if is_leader => stage,
            Decision::Advance(_) | Decision::Remain => return,
        };
        if next == Stage::Completed {
            // A completion takes effect once the platform has stored it. Its write is requested
            // only once: a request at each interval would replace the pending write, and a slow
            // platform would never finish it.
            if std::mem::replace(&mut known.is_completing, true) {
                return;
            }
            let report = Rollout {
                stage: next,
                ..current
            };
            self.actions.push(Action::WriteRollout(report));
            return;
        }
        known.rollout.stage = next;
        known.changed_at = now;
        let changed = known.to_rollout(now);
        if is_root {
            self.write_outcome(changed.clone());
        }
        self.flood_rollouts(now, None, &[changed]);
    }

    /// Sends the counts of this part of the fleet to parents and other roots.
    fn send_tallies(&mut self, services: &[SmolStr]) {
        for key in self.find_links(|link| matches!(link.role, Role::Parent | Role::RootPeer)) {
            let Some(link) = self.links.get(&key) else {
                continue;
            };
            let zone = link.peer.as_ref().map(|peer| &peer.zone);
            let is_other_zone =
                link.role == Role::RootPeer && zone != Some(&self.settings.local.zone);
            let sum = |service: &SmolStr| {
                if is_other_zone {
                    self.zone_tally(service)
                } else {
                    self.subtree_tally(service)
                }
            };
            let tallies = services.iter().filter_map(|service| {
                let known = self.rollouts.known.get(service)?;
                Some(RolloutTally {
                    service: service.clone(),
                    target: known.rollout.target.clone(),
                    tally: sum(service),
                })
            });
            let tallies = tallies.collect::<Vec<_>>();
            if tallies != link.sent_tallies {
                self.send(key, Frame::Tallies(tallies.clone()));
                if let Some(link) = self.links.get_mut(&key) {
                    link.sent_tallies = tallies;
                }
            }
        }
    }

    fn sum_tallies<F>(&self, service: &SmolStr, is_wanted: F) -> Tally
    where
        F: Fn(&Link) -> bool,
    {
        let mut sum = Tally::default();
        for link in self.links.values().filter(|link| is_wanted(link)) {
            if let Some(reported) = self.find_tally(link, service) {
                sum.add(&reported.tally);
            }
        }
        sum
    }

    fn find_tally<'a>(&self, link: &'a Link, service: &SmolStr) -> Option<&'a RolloutTally> {
        let target = &self.rollouts.known.get(service)?.rollout.target;
        let mut tallies = link.tallies.iter();
        tallies.find(|reported| reported.service == *service && reported.target == *target)
    }

    /// Sums up the counts of this node and its descendants.
    fn subtree_tally(&self, service: &SmolStr) -> Tally {
        let mut sum = self.sum_tallies(service, |link| link.role == Role::Child);
        if let Some(known) = self.rollouts.known.get(service) {
            sum.add(&known.local_tally);
        }
        sum
    }

    /// Sums up the counts of this zone, on a root.
    fn zone_tally(&self, service: &SmolStr) -> Tally {
        let zone = &self.settings.local.zone;
        let mut sum = self.sum_tallies(service, |link| {
            let peer = link.peer.as_ref();
            link.role == Role::RootPeer && peer.is_some_and(|peer| peer.zone == *zone)
        });
        sum.add(&self.subtree_tally(service));
        sum
    }

    /// Sums up the counts of all zones, on a root.
    ///
    /// If several roots report on one zone, the report with the most ended trial calls is used.
    fn fleet_tally(&self, service: &SmolStr) -> Tally {
        let own_zone = &self.settings.local.zone;
        let mut zones: BTreeMap<&SmolStr, &Tally> = BTreeMap::new();
        for link in self
            .links
            .values()
            .filter(|link| link.role == Role::RootPeer)
        {
            let (Some(peer), Some(reported)) = (&link.peer, self.find_tally(link, service)) else {
                continue;
            };
            let known = zones.get(&peer.zone).map_or(0, |tally| tally.trial_ended());
            if peer.zone != *own_zone && reported.tally.trial_ended() >= known {
                zones.insert(&peer.zone, &reported.tally);
            }
        }
        let mut sum = self.zone_tally(service);
        for tally in zones.into_values() {
            sum.add(tally);
        }
        sum
    }
}
