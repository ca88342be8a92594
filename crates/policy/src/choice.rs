//! The choice itself: two at random of the nearest tier, with spill-over by load.
//!
//! The load patterns and grounds stand in [`crate::balance`].

use crate::balance::{Balancer, Distance, Key, PickArgs};
use crate::outlier::EjectionState;
use rand::Rng;
use std::time::Instant;

/// Load of the own zone's choice from which other zones are looked at by calls
/// without a target; from here to a full load ever more calls look.
const SPILLOVER_LOAD: f64 = 0.7;

/// Times the score that a backend server elsewhere must stay under for them.
const SPILLOVER_COST: f64 = 1.5;

/// Times sooner that a backend server elsewhere must answer for calls with one.
pub(crate) const FAR_SPEEDUP: f64 = 1.25;

/// Times the expected time of an answer that must be left until its target for
/// the nearer one to do: durations vary by half of their mean, and bytes
/// between availability zones are paid for.
pub(crate) const TARGET_MARGIN: f64 = 1.1;

/// Draws before one that is cold or already tried is taken as it is.
const MAX_DRAWS: usize = 8;

/// What a choice depends on besides the backend servers.
pub(crate) struct PickContext<'a> {
    pub(crate) now: Instant,
    pub(crate) tried: &'a [Key],
    pub(crate) repeatable: bool,
    pub(crate) route: u64,
    /// Seconds until its target, if it has one.
    pub(crate) time_left: Option<f64>,
}

impl<'a> PickContext<'a> {
    pub(crate) fn new(now: Instant, args: &PickArgs<'a>) -> Self {
        let time_left = |target: Instant| target.saturating_duration_since(now).as_secs_f64();
        Self {
            now,
            tried: args.tried,
            repeatable: args.repeatable,
            route: args.route,
            time_left: args.target.map(time_left),
        }
    }
}

impl Balancer {
    /// Chooses for one call: the better of two in the nearest tier, or further away as the near ones fill.
    pub(crate) fn select<R>(&self, call: &PickContext<'_>, rng: &mut R) -> Option<u32>
    where
        R: Rng,
    {
        let mut best = None;
        let mut cold = None;
        for (tier, servers) in self.tiers.iter().enumerate() {
            let Some(found) = self.select_of_two(servers, call, rng) else {
                continue;
            };
            // Alone in its tier, a cold one would get all that comes in on its VM.
            let slow_start_weight = self.servers[found as usize].slow_start_weight(call.now);
            if tier == Distance::Vm as usize && !rng.random_bool(slow_start_weight) {
                cold = Some(found);
                continue;
            }
            let Some(near) = best else {
                best = Some(found);
                continue;
            };
            best = Some(self.select_by_distance(near, found, call, rng));
        }
        best.or(cold).or_else(|| self.select_ejected(call))
    }

    /// Chooses among those that are out, if there are no others at all.
    ///
    /// The floor of ejections holds when one is ejected; when the others leave
    /// afterwards, callers would be told that there is no backend server.
    fn select_ejected(&self, call: &PickContext<'_>) -> Option<u32> {
        let health = |index: u32| &self.servers[index as usize].health;
        if self
            .tier_members()
            .any(|index| health(index).state(call.now) == EjectionState::Active)
        {
            return None;
        }
        self.tier_members()
            .filter(|index| !call.tried.contains(&self.key(*index)))
            .min_by_key(|index| health(*index).ejected_until())
    }

    /// Decides between the nearer and the further of two.
    ///
    /// The near one will do where it answers well in time. Without a target
    /// that is told by its load: from a point on ever more calls look further,
    /// and as the look is a matter of chance that grows steadily, no threshold
    /// makes the flow flap.
    fn select_by_distance<R>(&self, near: u32, far: u32, call: &PickContext<'_>, rng: &mut R) -> u32
    where
        R: Rng,
    {
        let (considers_far, cost) = if let Some(time_left) = call.time_left {
            let expected = self.score(near, call) * self.durations.expected(call.route);
            (expected * TARGET_MARGIN > time_left, FAR_SPEEDUP)
        } else {
            let load = self.servers[near as usize].load(call.now);
            let spill_share = ((load - SPILLOVER_LOAD) / (1.0 - SPILLOVER_LOAD)).clamp(0.0, 1.0);
            (rng.random_bool(spill_share), SPILLOVER_COST)
        };
        if !considers_far {
            return near;
        }
        if self.score(far, call) * cost < self.score(near, call) {
            far
        } else {
            near
        }
    }

    pub(crate) fn select_of_two<R>(
        &self,
        tier: &[u32],
        call: &PickContext<'_>,
        rng: &mut R,
    ) -> Option<u32>
    where
        R: Rng,
    {
        let first = self.draw_usable(tier, call, None, rng)?;
        let Some(second) = self.draw_usable(tier, call, Some(first), rng) else {
            return Some(first);
        };
        let is_better = self.score(second, call) < self.score(first, call);
        Some(if is_better { second } else { first })
    }

    /// Draws one that is in the choice, a cold one less often.
    fn draw_usable<R>(
        &self,
        tier: &[u32],
        call: &PickContext<'_>,
        except: Option<u32>,
        rng: &mut R,
    ) -> Option<u32>
    where
        R: Rng,
    {
        let usable = |index: u32| {
            Some(index) != except
                && !call.tried.contains(&self.key(index))
                && self.servers[index as usize].health.state(call.now) == EjectionState::Active
        };
        let mut cold = None;
        for _ in 0..MAX_DRAWS {
            let index = *tier.get(rng.random_range(0..tier.len().max(1)))?;
            if !usable(index) {
                continue;
            }
            if rng.random_bool(self.servers[index as usize].slow_start_weight(call.now)) {
                return Some(index);
            }
            cold = Some(index);
        }
        // Luck failed; a first choice has to be found if there is any.
        cold.or_else(|| {
            let found = tier.iter().copied().find(|index| usable(*index));
            found.filter(|_| except.is_none())
        })
    }

    /// Gives what one is compared with others by: how soon it would answer a
    /// call that has a target, else how much there is in front of the call.
    fn score(&self, index: u32, call: &PickContext<'_>) -> f64 {
        let (server, mean_duration) =
            (&self.servers[index as usize], self.durations.overall_mean());
        match call.time_left {
            Some(_) => server.expected_finish(call.now, mean_duration, call.repeatable),
            None => server.load_score(call.now, mean_duration, call.repeatable),
        }
    }
}
