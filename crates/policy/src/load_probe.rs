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
use crate::choice::{AMPLE, Call, SOONER};
use crate::outlier::Phase;
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
const NEAR: usize = 3;

/// Backend servers of a further tier that are asked when no near one suffices.
const FAR: usize = 2;

/// Mean load told from which backend servers are asked before a call is sent.
///
/// Below it nearly any of them has a free slot, and the call saves the trip.
const PRESSED: f64 = 0.4;

/// Weight of a further load told in that mean.
const WEIGHT: f64 = 0.1;

/// Time for which they are asked after a call has failed: one that is gone is in the view of
/// others for some seconds.
const ALARM: Duration = Duration::from_secs(5);

/// Times its usual duration that a call is taken to run on a backend server that has not run one like it.
const UNTRIED: f64 = 1.5;

/// Share of its duration up to which a wait at a near one is no reason to ask further away.
const SHORT_WAIT: f64 = 0.5;

/// What tells whether backend servers are to be asked.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pressure {
    load: f64,
    alarmed_until: Option<Instant>,
}

impl Pressure {
    pub(crate) fn tell_load(&mut self, load: f64) {
        self.load += WEIGHT * (load - self.load);
    }

    pub(crate) fn alarm(&mut self, now: Instant) {
        self.alarmed_until = Some(now + ALARM);
    }

    fn is_high(&self, now: Instant) -> bool {
        self.load > PRESSED || self.alarmed_until.is_some_and(|until| now < until)
    }
}

impl Balancer {
    /// Gives the backend servers to ask about a call, those of the nearest tier that has any.
    ///
    /// None are given while the service is far from busy: nearly each has a free slot then.
    pub fn probe_targets<R>(&self, now: Instant, ask: &PickArgs<'_>, rng: &mut R) -> Vec<Key>
    where
        R: Rng,
    {
        if !self.pressure.is_high(now) || self.len() < 2 {
            return Vec::new();
        }
        let mut keys = self.draw_some(Distance::Vm, now, ask, NEAR, rng);
        for tier in [Distance::Zone, Distance::Region, Distance::Far] {
            let found = self.draw_some(tier, now, ask, NEAR, rng);
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
        ask: &PickArgs<'_>,
        seen: &[ProbeResult],
        rng: &mut R,
    ) -> Vec<Key>
    where
        R: Rng,
    {
        let call = Call::new(now, ask);
        if self
            .find_best(seen, &call)
            .is_some_and(|best| Self::suffices(&best, &call))
        {
            return Vec::new();
        }
        let farthest = seen.iter().filter_map(|one| self.distance(one.key)).max();
        let tiers = [Distance::Zone, Distance::Region, Distance::Far];
        let further = tiers.into_iter().filter(|tier| Some(*tier) > farthest);
        further
            .map(|tier| self.draw_some(tier, now, ask, FAR, rng))
            .find(|keys| !keys.is_empty())
            .unwrap_or_default()
    }

    /// Chooses a backend server by what those that were asked have told, and counts a call to it.
    ///
    /// When none has told anything, it chooses as [`Balancer::pick`] does.
    pub fn pick_probed<R>(
        &mut self,
        now: Instant,
        ask: &PickArgs<'_>,
        seen: &[ProbeResult],
        rng: &mut R,
    ) -> Option<Key>
    where
        R: Rng,
    {
        for one in seen {
            self.take_outlook(now, one);
        }
        let call = Call::new(now, ask);
        let is_near = |one: &&ProbeResult| {
            self.distance(one.key)
                .is_some_and(|distance| distance <= Distance::Zone)
        };
        let near: Vec<_> = seen.iter().filter(is_near).copied().collect();
        let near = self.find_best(&near, &call);
        let best = self.find_best(seen, &call);
        let (Some(best), false) = (best, self.has_probe(now, ask)) else {
            return self.pick(now, ask, rng);
        };
        let chosen = match near {
            Some(near) if Self::suffices(&near, &call) => near,
            Some(near) if best.takes == near.takes && best.time * SOONER >= near.time => near,
            _ => best,
        };
        self.start(now, chosen.key);
        Some(chosen.key)
    }

    fn take_outlook(&mut self, now: Instant, one: &ProbeResult) {
        let Some(outlook) = one.estimate else {
            self.miss(now, one.key);
            return;
        };
        self.pressure.tell_load(outlook.load);
        self.tell_load(now, one.key, outlook.load);
    }

    /// Gives the one that would end the call soonest, of those that would take it if there are any.
    fn find_best(&self, seen: &[ProbeResult], call: &Call<'_>) -> Option<Prospect> {
        let prospects = seen.iter().filter_map(|one| self.foresee(one, call));
        prospects.min_by(|one, two| {
            let by_taking = two.takes.cmp(&one.takes);
            by_taking.then(one.cost.total_cmp(&two.cost))
        })
    }

    fn foresee(&self, one: &ProbeResult, call: &Call<'_>) -> Option<Prospect> {
        let outlook = one.estimate?;
        let usual = self.durations.expected(call.route);
        let run = outlook.run.map_or(UNTRIED * usual, |run| run.as_secs_f64());
        let wait = outlook.wait.as_secs_f64();
        let failures = self.failure_factor(one.key, call.repeatable)?;
        let fullness = outlook.load.min(1.0).powi(2);
        Some(Prospect {
            key: one.key,
            takes: outlook.accepts,
            wait,
            run,
            time: (wait + run) * failures,
            cost: (wait + run * (1.0 + fullness)) * failures,
        })
    }

    /// Tells whether a near one answers well enough that no further one need be asked.
    fn suffices(one: &Prospect, call: &Call<'_>) -> bool {
        let in_time = match call.left {
            Some(left) => one.time * AMPLE <= left,
            None => one.wait <= SHORT_WAIT * one.run,
        };
        one.takes && in_time
    }

    /// Draws up to `count` different ones of a tier, a cold one less often.
    fn draw_some<R>(
        &self,
        tier: Distance,
        now: Instant,
        ask: &PickArgs<'_>,
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
                !ask.tried.contains(&self.key(*index))
                    && server.health.phase(now) == Phase::In
                    && server.is_heard(now)
            })
            .collect();
        let warm = drawn.into_iter().filter(|index| {
            let warmth = self.servers[*index as usize].warmth(now);
            rng.random_bool(warmth)
        });
        warm.take(count).map(|index| self.key(index)).collect()
    }
}

/// What a call would come to at one that told its outlook.
#[derive(Debug, Clone, Copy)]
struct Prospect {
    key: Key,
    takes: bool,
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
