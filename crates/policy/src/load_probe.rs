//! What would become of a call at a backend server that it has not been sent to, and where it goes by that.
//!
//! *Load pattern:* hundreds of outbound proxies, each with a few calls a second, in front of a
//! hundred backend servers of unlike speed whose slots are mostly taken. *Without it* a proxy hears
//! of each backend server every few seconds only, far longer than a queue there lasts. It chooses
//! as good as blindly: calls wait in front of the slow ones while slots of the fast ones stand
//! idle. *Grounds:* a few that are drawn at random are asked when the call is there, and the one
//! that would end it soonest gets it (Sparrow's batch sampling, Ousterhout et al., 2013), so that
//! figures are one trip old however small a proxy's part of the traffic is. Each call asks a
//! fixed number of them, so that the cost doesn't grow with the fleet. What doesn't answer is
//! passed over: a VM without power says nothing, and a commit that is sent there is lost.

use crate::balance::{Balancer, Distance, Key, PickArgs};
use crate::choice::{FAR_SPEEDUP, PickContext, TARGET_MARGIN};
use crate::outlier::EjectionState;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::time::{Duration, Instant};

/// What an inbound proxy expects of a call that it has not got.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Whether it would be let in.
    pub accepts: bool,
    /// How long it would wait for a slot.
    pub wait: Duration,
    /// How long calls of its route run there, if any has.
    pub run: Option<Duration>,
    /// Calls running and waiting over slots.
    pub load: f64,
}

/// A backend server that was asked about a call, and what it told, if it did.
#[derive(Debug, Clone, Copy)]
pub struct ProbeResult {
    /// Which one.
    pub key: Key,
    /// What it told.
    pub estimate: Option<Estimate>,
}

/// Backend servers of the nearest tier that are asked about a call.
///
/// With a third of them free, three draws meet a free one seven times in ten; each further
/// draw costs two messages a call.
const NEAR_PROBES: usize = 3;

/// Backend servers of a further tier that are asked when no near one suffices.
const FAR_PROBES: usize = 2;

/// Mean load told from which backend servers are asked before a call is sent.
///
/// Below it nearly any of them has a free slot, and the call saves the trip.
const PROBE_LOAD: f64 = 0.4;

/// Weight of a further load told in that mean.
const LOAD_WEIGHT: f64 = 0.1;

/// Time for which they are asked after a call has failed: one that is gone is in the view of
/// others for some seconds.
const FAILURE_PROBING: Duration = Duration::from_secs(5);

/// Times its usual duration that a call is taken to run on a backend server that has not run one like it.
const UNKNOWN_RUN_FACTOR: f64 = 1.5;

/// Share of its duration up to which a wait at a near one is no reason to ask further away.
const SHORT_WAIT_SHARE: f64 = 0.5;

/// What tells whether backend servers are to be asked.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProbeTrigger {
    load: f64,
    active_until: Option<Instant>,
}

impl ProbeTrigger {
    pub(crate) fn record_load(&mut self, load: f64) {
        self.load += LOAD_WEIGHT * (load - self.load);
    }

    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.active_until = Some(now + FAILURE_PROBING);
    }

    fn is_active(&self, now: Instant) -> bool {
        self.load > PROBE_LOAD || self.active_until.is_some_and(|until| now < until)
    }
}

impl Balancer {
    /// Gives the backend servers to ask about a call, those of the nearest tier that has any.
    ///
    /// None are given while the service is far from busy: nearly each has a free slot then.
    pub fn probe_targets<R>(&self, now: Instant, args: &PickArgs<'_>, rng: &mut R) -> Vec<Key>
    where
        R: Rng,
    {
        if !self.probe_trigger.is_active(now) || self.len() < 2 {
            return Vec::new();
        }
        let mut keys = self.draw_targets(Distance::Vm, now, args, NEAR_PROBES, rng);
        for tier in [Distance::Zone, Distance::Region, Distance::Far] {
            let found = self.draw_targets(tier, now, args, NEAR_PROBES, rng);
            if !found.is_empty() {
                keys.extend(found);
                return keys;
            }
        }
        keys
    }

    /// Gives further ones to ask, in the next tier, when none of those `seen` suffices.
    pub fn further_probe_targets<R>(
        &self,
        now: Instant,
        args: &PickArgs<'_>,
        results: &[ProbeResult],
        rng: &mut R,
    ) -> Vec<Key>
    where
        R: Rng,
    {
        let call = PickContext::new(now, args);
        if self
            .find_soonest(results, &call)
            .is_some_and(|best| Self::suffices(&best, &call))
        {
            return Vec::new();
        }
        let farthest = results
            .iter()
            .filter_map(|result| self.distance(result.key))
            .max();
        let tiers = [Distance::Zone, Distance::Region, Distance::Far];
        let further = tiers.into_iter().filter(|tier| Some(*tier) > farthest);
        further
            .map(|tier| self.draw_targets(tier, now, args, FAR_PROBES, rng))
            .find(|keys| !keys.is_empty())
            .unwrap_or_default()
    }

    /// Chooses a backend server by what those that were asked have told, and counts a call to it.
    ///
    /// When none has told anything, it chooses as [`Balancer::pick`] does.
    pub fn pick_probed<R>(
        &mut self,
        now: Instant,
        args: &PickArgs<'_>,
        results: &[ProbeResult],
        rng: &mut R,
    ) -> Option<Key>
    where
        R: Rng,
    {
        for result in results {
            self.record_probe(now, result);
        }
        let call = PickContext::new(now, args);
        let is_near = |result: &&ProbeResult| {
            self.distance(result.key)
                .is_some_and(|distance| distance <= Distance::Zone)
        };
        let near: Vec<_> = results.iter().filter(is_near).copied().collect();
        let near = self.find_soonest(&near, &call);
        let best = self.find_soonest(results, &call);
        let (Some(best), false) = (best, self.has_half_open(now, args)) else {
            return self.pick(now, args, rng);
        };
        let chosen = match near {
            Some(near) if Self::suffices(&near, &call) => near,
            Some(near) if best.accepts == near.accepts && best.time * FAR_SPEEDUP >= near.time => {
                near
            }
            _ => best,
        };
        self.start_call(now, chosen.key);
        Some(chosen.key)
    }

    fn record_probe(&mut self, now: Instant, result: &ProbeResult) {
        let Some(estimate) = result.estimate else {
            self.record_missed_probe(now, result.key);
            return;
        };
        self.probe_trigger.record_load(estimate.load);
        self.set_load(now, result.key, estimate.load);
    }

    /// Gives the one that would end the call soonest, of those that would take it if there are any.
    fn find_soonest(&self, results: &[ProbeResult], call: &PickContext<'_>) -> Option<Prediction> {
        let predictions = results
            .iter()
            .filter_map(|result| self.predict(result, call));
        predictions.min_by(|a, b| {
            let by_acceptance = b.accepts.cmp(&a.accepts);
            by_acceptance.then(a.cost.total_cmp(&b.cost))
        })
    }

    fn predict(&self, result: &ProbeResult, call: &PickContext<'_>) -> Option<Prediction> {
        let estimate = result.estimate?;
        let expected = self.durations.expected(call.route);
        let run = estimate
            .run
            .map_or(UNKNOWN_RUN_FACTOR * expected, |run| run.as_secs_f64());
        let wait = estimate.wait.as_secs_f64();
        let failures = self.failure_factor(result.key, call.repeatable)?;
        let fullness = estimate.load.min(1.0).powi(2);
        Some(Prediction {
            key: result.key,
            accepts: estimate.accepts,
            wait,
            run,
            time: (wait + run) * failures,
            cost: (wait + run * (1.0 + fullness)) * failures,
        })
    }

    /// Tells whether a near one answers well enough that no further one need be asked.
    fn suffices(prediction: &Prediction, call: &PickContext<'_>) -> bool {
        let in_time = match call.time_left {
            Some(time_left) => prediction.time * TARGET_MARGIN <= time_left,
            None => prediction.wait <= SHORT_WAIT_SHARE * prediction.run,
        };
        prediction.accepts && in_time
    }

    /// Draws up to `count` different ones of a tier, a cold one less often.
    fn draw_targets<R>(
        &self,
        tier: Distance,
        now: Instant,
        args: &PickArgs<'_>,
        count: usize,
        rng: &mut R,
    ) -> Vec<Key>
    where
        R: Rng,
    {
        let servers = &self.tiers[tier as usize];
        // Twice as many, as some are out, have been tried, or are cold.
        let drawn = servers.choose_multiple(rng, 2 * count).copied();
        let drawn: Vec<_> = drawn
            .filter(|index| {
                let server = &self.servers[*index as usize];
                !args.tried.contains(&self.key(*index))
                    && server.health.state(now) == EjectionState::Active
                    && server.may_probe(now)
            })
            .collect();
        let warm = drawn.into_iter().filter(|index| {
            let slow_start_weight = self.servers[*index as usize].slow_start_weight(now);
            rng.random_bool(slow_start_weight)
        });
        warm.take(count).map(|index| self.key(index)).collect()
    }
}

/// What a call would come to at one that told its outlook.
#[derive(Debug, Clone, Copy)]
struct Prediction {
    key: Key,
    accepts: bool,
    /// Seconds until it gets a slot.
    wait: f64,
    /// Seconds that it then runs.
    run: f64,
    /// Seconds until its answer, more for one that fails calls.
    time: f64,
    /// The same, and up to a further run for what runs there already.
    ///
    /// What is told of runs is the mean of a few. By time alone, all proxies would follow the
    /// luck of the last calls and fill one backend server while others have most slots free.
    cost: f64,
}
