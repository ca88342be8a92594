//! Load probes: asks backend servers about a call before it is sent, and selects one by their
//! replies.
//!
//! Consider hundreds of outbound proxies with a few calls a second each, in front of a hundred
//! backend servers that differ in speed and whose slots are mostly taken. A proxy learns the load
//! of a backend server only from the answers to its own calls, that is, every few seconds, and a
//! queue lasts much less than that. Without probes, the choice of a proxy would be almost blind:
//! calls would wait in front of slow backend servers while slots of fast ones stay idle.
//!
//! A few randomly drawn backend servers are therefore probed for each call, and the call goes to
//! the one that would finish it soonest (batch sampling as in Sparrow, Ousterhout et al., 2013).
//! The load figures are then only one round trip old, however little traffic a proxy has. The
//! number of probes per call is fixed, so the cost does not grow with the fleet. A backend server
//! that does not answer is passed over: a VM without power does not reply, and a commit sent to it
//! would be lost.

use crate::balance::{Balancer, Distance, Key, PickArgs};
use crate::choice::{FAR_SPEEDUP, PickContext, RateLimited, TARGET_MARGIN};
use crate::outlier::EjectionState;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::time::{Duration, Instant};

/// What an inbound proxy expects of a call that it has not received: its reply to a load probe.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Whether the call would be admitted.
    pub accepts: bool,
    /// How long the call would wait for a slot.
    pub wait: Duration,
    /// Mean duration of calls of the same route at this backend server, if any have run.
    pub run: Option<Duration>,
    /// Running and waiting calls, divided by the slots.
    pub load: f64,
    /// How long calls take now, in multiples of their usual duration, if the backend server reports
    /// it; `wait` and `run` take it into account.
    pub pace: Option<f64>,
}

/// A probed backend server and its reply, if it answered.
#[derive(Debug, Clone, Copy)]
pub struct ProbeResult {
    /// The backend server that was probed.
    pub key: Key,
    /// Its reply.
    pub estimate: Option<Estimate>,
}

/// Maximum number of backend servers that are probed for a call on this VM, and in the nearest tier
/// beyond it.
///
/// If a third of them have a free slot, three draws find one in seven of ten cases; each further
/// draw costs two messages a call.
const NEAR_PROBES: usize = 3;

/// Maximum number of backend servers of a more distant tier that are probed when no nearer one
/// suffices.
const FAR_PROBES: usize = 2;

/// Mean reported load above which calls are preceded by probes.
///
/// Below it, almost every backend server has a free slot, and a call without probes saves a round
/// trip.
const PROBE_LOAD: f64 = 0.4;

/// Weight of a new report in the mean reported load.
const LOAD_WEIGHT: f64 = 0.1;

/// Time for which calls are preceded by probes after a call has failed: a backend server that is
/// gone stays in the view for some seconds.
const FAILURE_PROBING_TIME: Duration = Duration::from_secs(5);

/// Assumed duration of a call, in multiples of the route's mean, on a backend server that has not
/// run a call of this route.
const UNKNOWN_RUN_FACTOR: f64 = 1.5;

/// Longest wait for a slot, as a share of the predicted run time, with which a near backend server
/// is good enough for a call without a target, so that no more distant one is probed.
const SHORT_WAIT_SHARE: f64 = 0.5;

/// Decides whether calls are preceded by probes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProbeTrigger {
    /// Mean reported load.
    load: f64,
    active_until: Option<Instant>,
}

impl ProbeTrigger {
    pub(crate) fn record_load(&mut self, load: f64) {
        self.load += LOAD_WEIGHT * (load - self.load);
    }

    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.active_until = Some(now + FAILURE_PROBING_TIME);
    }

    fn is_active(&self, now: Instant) -> bool {
        self.load > PROBE_LOAD || self.active_until.is_some_and(|until| now < until)
    }
}

impl Balancer {
    /// Returns the backend servers to probe for a call: some on this VM, and some of the nearest
    /// tier beyond the VM that has usable ones.
    ///
    /// Returns none while the service has low load and no call has failed recently, as almost every
    /// backend server then has a free slot.
    pub fn probe_targets<R>(&self, now: Instant, args: &PickArgs<'_>, rng: &mut R) -> Vec<Key>
    where
        R: Rng,
    {
        if self.len() < 2 {
            return Vec::new();
        }
        if !self.is_probing(now, args) {
            return self.draw_rate_limited(now, args, rng).into_iter().collect();
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

    /// Returns whether calls are preceded by probes of several backend servers.
    fn is_probing(&self, now: Instant, args: &PickArgs<'_>) -> bool {
        self.probe_trigger.is_active(now) || !self.has_unlimited(&PickContext::new(now, args))
    }

    /// Selects a backend server as for a call without probes, and returns it if it has a rate limit:
    /// whether the limit allows a call now is known only at the backend server.
    pub fn draw_rate_limited<R>(
        &self,
        now: Instant,
        args: &PickArgs<'_>,
        rng: &mut R,
    ) -> Option<Key>
    where
        R: Rng,
    {
        if !self.has_rate_limits {
            return None;
        }
        let call = PickContext::new(now, args).with(RateLimited::Available);
        let index = self.select(&call, rng)?;
        let server = &self.servers[index as usize];
        (server.is_rate_limited && server.may_probe(now)).then(|| self.key(index))
    }

    /// Returns further backend servers to probe, from the next tier, if none of the `results` so
    /// far is good enough.
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
        if !self.is_probing(now, args) {
            return Vec::new();
        }
        if self
            .find_best(results, &call)
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

    /// Picks a backend server by the results of load probes and counts a call to it.
    ///
    /// If no probe was answered, it picks as [`Balancer::pick`] does.
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
        let near = self.find_best(&near, &call);
        let best = self.find_best(results, &call);
        let (Some(best), false) = (best, self.will_test_ejected(now, args)) else {
            return self.pick(now, args, rng);
        };
        let chosen = match near {
            Some(near) if Self::suffices(&near, &call) => near,
            Some(near) if best.accepts == near.accepts && best.time * FAR_SPEEDUP >= near.time => {
                near
            }
            _ => best,
        };
        let must_wait = !chosen.accepts || chosen.wait > 0.0 && !self.is_probing(now, args);
        if self.is_rate_limited(chosen.key)
            && must_wait
            && let Some(index) = self.select(&call.with(RateLimited::None), rng)
        {
            let key = self.key(index);
            self.start_call(now, key);
            return Some(key);
        }
        self.start_call(now, chosen.key);
        Some(chosen.key)
    }

    fn record_probe(&mut self, now: Instant, result: &ProbeResult) {
        let Some(estimate) = result.estimate else {
            self.record_missed_probe(now, result.key);
            return;
        };
        if !self.is_rate_limited(result.key) {
            self.probe_trigger.record_load(estimate.load);
        } else if !estimate.accepts || !estimate.wait.is_zero() {
            self.pause_probes(now, result.key, estimate.wait);
        }
        self.set_load(now, result.key, estimate.load, estimate.pace);
    }

    /// Returns the prediction with the lowest cost, preferring backend servers that would admit the
    /// call.
    fn find_best(&self, results: &[ProbeResult], call: &PickContext<'_>) -> Option<Prediction> {
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
        let failure_factor = self.failure_factor(result.key, call.repeatable)?;
        let fullness = estimate.load.min(1.0).powi(2);
        Some(Prediction {
            key: result.key,
            accepts: estimate.accepts,
            wait,
            run,
            time: (wait + run) * failure_factor,
            cost: (wait + run * (1.0 + fullness)) * failure_factor,
        })
    }

    /// Returns whether a near backend server is good enough that no more distant one has to be
    /// probed.
    fn suffices(prediction: &Prediction, call: &PickContext<'_>) -> bool {
        let in_time = match call.time_left {
            Some(time_left) => prediction.time * TARGET_MARGIN <= time_left,
            None => prediction.wait <= SHORT_WAIT_SHARE * prediction.run,
        };
        prediction.accepts && in_time
    }

    /// Draws up to `count` distinct backend servers of a tier; those in slow start are drawn less
    /// often.
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
        // Twice as many as needed are drawn, because some are ejected, already tried, in slow start
        // or not to be probed now.
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

/// Predicted course of a call at a backend server that answered a load probe.
#[derive(Debug, Clone, Copy)]
struct Prediction {
    key: Key,
    accepts: bool,
    /// Seconds until the call gets a slot.
    wait: f64,
    /// Seconds that the call then runs.
    run: f64,
    /// Seconds until the answer, increased for a backend server that fails calls.
    time: f64,
    /// As `time`, but with up to one more run time added before the increase, in proportion to the
    /// square of the load of the backend server.
    ///
    /// The reported run time is the mean of a few calls. By time alone, all proxies would follow
    /// the random variation of the last calls and fill one backend server while others have most
    /// slots free.
    cost: f64,
}
